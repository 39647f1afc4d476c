-- Guards against what happens while the end of an answer without framing waits for its proof: events that are held with it, a
-- node that is told to stop, a deadline, a caller that leaves.
dofile(scenarios .. "/gateway_words.lua")
-- A question is answered that long after the end; the last event comes ahead of that.
local EVENTS, GAP_MS, HOLD_MS, REPORT_MS, AHEAD_MS = 5, 20, 100, 250, 100
local f = start_site { engine = { gap_ms = GAP_MS, events = EVENTS, report_ms = REPORT_MS, unframed = 100 },
	more_settings = string.format('[streams]\ncoalesce_ms = %d\ncoalesce_on = "all"\n', HOLD_MS) }
local o = { timeout_ms = 20000, target_itl_ms = 300, stream_resume = true }
local once = { timeout_ms = 20000, target_itl_ms = 300, max_attempts = 1 }
configure(f, 2, { route("/stream/", "streaming", "engines", o), route("/once/stream/", "streaming", "engines", once),
	route("/new/", "idempotent", "counter") })
for _, g in ipairs(f.gateways) do
	wait_for("the routes are in force", 4000, function() return send(g, "/new/w").status == 200 end)
end
local g = f.gateways[1]
local bad = {}
local function check(ok, ...)
	if not ok then bad[#bad + 1] = string.format(...) end
end
local function events_of(id)
	local parts = {}
	for i = 1, EVENTS do parts[i] = "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	return table.concat(parts)
end
local function open(g, path, left)
	local id = fresh_id()
	return raw_open(g.callers, "POST " .. path .. " HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: " .. left .. "\r\nAttempt-Id: " .. id .. "\r\nContent-Length: 0\r\n\r\n"), id
end
-- What comes until the end or for ms; when the last event was there, and the end.
local function follow(fd, id, ms)
	local bytes, whole_at, end_at = "", nil, nil
	local from = now_ms()
	while not end_at and now_ms() < from + ms do
		bytes = bytes .. raw_read(fd, 1)
		if not whole_at and bytes:find("data: " .. id .. "-" .. EVENTS .. "\n\n", 1, true) then whole_at = now_ms() - from end
		if bytes:find("\r\n0\r\n\r\n", 1, true) then end_at = now_ms() - from end
	end
	return whole_at, end_at, bytes
end
for _, path in ipairs { "/stream/x", "/once/stream/x" } do
	-- Held events do not wait for the proof.
	local fd, id = open(g, path, 5000)
	local whole_at, end_at, bytes = follow(fd, id, 2000)
	raw_close(fd)
	say("%s: whole after %s ms, end after %s ms", path, whole_at, end_at)
	check(unchunk(bytes) == events_of(id), "%s: %q", path, bytes)
	check(end_at and whole_at and whole_at + AHEAD_MS <= end_at, "%s: the last event after %s ms, the end after %s ms", path,
	      whole_at, end_at)

	-- The deadline comes first: cut, and with all events.
	fd, id = open(g, path, EVENTS * GAP_MS + 140)
	whole_at, end_at, bytes = follow(fd, id, 1000)
	raw_close(fd)
	say("%s, deadline: whole after %s ms, end after %s ms", path, whole_at, end_at)
	check(not end_at, "%s: an end without its proof", path)

	-- The caller leaves; all of the node's requests go.
	for _ = 1, 10 do
		fd = open(g, path, 5000)
		sleep_ms(EVENTS * GAP_MS + 30)
		raw_close(fd)
	end
	sleep_ms(200)
	local open_now = http { url = "http://" .. g.admin .. "/metrics" }.body:match("\nkcf_open_requests (%d+)")
	check(open_now == "0", "%s: %s requests are open after their callers have left", path, open_now)
end
-- A node is told to stop while ends wait there.
for i, path in ipairs { "/stream/x", "/once/stream/x" } do
	local h = f.gateways[i + 1]
	local fd, id = open(h, path, 5000)
	sleep_ms(EVENTS * GAP_MS + 30)
	stop(h)
	local _, end_at, bytes = follow(fd, id, 2000)
	raw_close(fd)
	check(end_at and unchunk(bytes) == events_of(id), "%s, node stopped: %q", path, bytes)
	expect(wait_exit(h, 9000) == 0, "%s did not end well", h.name)
end
expect(#bad == 0, "%s", table.concat(bad, "\n"))
