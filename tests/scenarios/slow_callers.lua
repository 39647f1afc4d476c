-- Guards against streams that are cut, or run again, because their caller has not read for a while.
dofile(scenarios .. "/gateway_words.lua")
-- More than the buffers of both sides and of the node together hold.
local EVENTS, EVENT_BYTES = 2000, 6000
local f = start_site { engine = { gap_ms = 1, events = EVENTS, event_bytes = EVENT_BYTES } }
configure(f, 2, {
	route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 20000 }),
	route("/once/stream/", "streaming", "engines", { max_attempts = 1, timeout_ms = 20000 }),
	route("/new/", "idempotent", "counter") })
for _, g in ipairs(f.gateways) do
	wait_for("the routes are in force", 4000, function() return send(g, "/new/w").status == 200 end)
end

local function open(g, path)
	local id = fresh_id()
	return raw_open(g.callers, "POST " .. path .. " HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 18000\r\nAttempt-Id: " .. id .. "\r\nContent-Length: 0\r\n\r\n"), id
end

local padding = ("."):rep(EVENT_BYTES)
local function expected(id)
	local parts = {}
	for i = 1, EVENTS do parts[i] = "id: " .. i .. "\ndata: " .. id .. "-" .. i .. padding .. "\n\n" end
	return table.concat(parts)
end

local problems = {}
local function judge(what, fd, id)
	local bytes = raw_read(fd, 1500)
	raw_close(fd)
	expect(bytes:find("^HTTP/1.1 200"), "%s: %q", what, bytes:sub(1, 200))
	local body, ended = unchunk(bytes)
	local whole = expected(id)
	expect(whole:sub(1, #body) == body, "%s: pieces are missing or come twice", what)
	expect(not ended or body == whole, "%s: complete after %d of %d bytes", what, #body, #whole)
	if not ended then problems[#problems + 1] = string.format("%s: cut after %d of %d bytes", what, #body, #whole) end
	local runs = runs_of(f, id)
	if runs ~= 1 then problems[#problems + 1] = string.format("%s: %d runs", what, runs) end
end

-- Below what a node waits for a caller that takes nothing in (5 s).
for _, hold_ms in ipairs { 1000, 1800, 3000 } do
	for _, path in ipairs { "/once/stream/x", "/stream/x" } do
		local fd, id = open(f.gateways[1], path)
		sleep_ms(hold_ms)
		judge(string.format("%s, not read for %d ms", path, hold_ms), fd, id)
	end
end

-- Megabytes are to come when the node is stopped.
for i, path in ipairs { "/once/stream/x", "/stream/x" } do
	local g = f.gateways[i + 1]
	local fd, id = open(g, path)
	sleep_ms(300)
	stop(g)
	sleep_ms(2700)
	judge(path .. ", node stopped, not read for 3000 ms", fd, id)
	expect(wait_exit(g, 9000) == 0, "%s did not end well", g.name)
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
