-- Guards against parts of answers without framing that look complete because their end waited behind unread events, while
-- their upstream's process, which names no start, ended and the next one came.
names_start = false
dofile(scenarios .. "/gateway_words.lua")
local EVENT_BYTES, GAP_MS = 8000, 1
-- Whose events wait: those of a caller that does not read, or of a node that is paused; and how many.
local CASES = { { "caller", 100 }, { "node", 60 }, { "node", 140 } }
-- Until all that is written waits.
local WRITTEN_MS = 700
local f = start_site { engine = { gap_ms = GAP_MS, event_bytes = EVENT_BYTES }, retry_ratio = 10, retry_burst = 300,
	each = function(f)
		for _, g in ipairs(f.gateways) do g.node_settings = "max_descriptors = 4100\nmemory_mb = 160\n" end
	end }
configure(f, 2, {
	route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 8000 }),
	route("/once/stream/", "streaming", "engines", { max_attempts = 1, timeout_ms = 8000 }),
	route("/new/", "idempotent", "counter") })
for _, g in ipairs(f.gateways) do
	wait_for("the routes are in force", 4000, function() return send(g, "/new/w").status == 200 end)
end
local g = f.gateways[1]
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }
local bad = {}
local function check(ok, ...)
	if not ok then bad[#bad + 1] = string.format(...) end
end

local function open(path, id)
	return raw_open(g.callers, "POST " .. path .. " HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 8000\r\nAttempt-Id: " .. id .. "\r\nContent-Length: 0\r\n\r\n")
end

local padding = ("."):rep(EVENT_BYTES)
local function events_of(id, from, to)
	local parts = {}
	for i = from, to do parts[#parts + 1] = "id: " .. i .. "\ndata: " .. id .. "-" .. i .. padding .. "\n\n" end
	return table.concat(parts)
end

local function start_again(r)
	spawn_runner(f, r)
	wait_for(r.name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
end

local function with_events(n)
	for _, r in ipairs(engines) do
		kill(r)
		local has
		for i, w in ipairs(r.argv) do
			if w == "--events" then r.argv[i + 1], has = tostring(n), true end
		end
		if not has then table.move({ "--events", tostring(n) }, 1, 2, #r.argv + 1, r.argv) end
		start_again(r)
	end
end

for _, c in ipairs(CASES) do
	local who, events = table.unpack(c)
	with_events(2 * events)
	wait_for("requests are served again", 6000, function() return send(g, "/once/stream/calm").status == 200 end)
	for _, path in ipairs { "/stream/x", "/once/stream/x" } do
		local id = fresh_id()
		everywhere(engines, "unframed_stall", -1)
		local fd = open(path, id)
		local r = runner_of(engines, id)
		everywhere(engines, "", 0)
		if who == "node" then freeze(g) end
		sleep_ms(WRITTEN_MS)
		kill(r)
		start_again(r)
		if who == "node" then thaw(g) end
		-- Longer than the end of the answer may wait.
		local bytes = raw_read(fd, 1300)
		raw_close(fd)
		local body, ended = unchunk(bytes)
		local whole = events_of(id, 1, 2 * events)
		local what = string.format("events of a %s wait, %s, %d of them", who, path, events)
		say("%s: %d of %d bytes, %s", what, #body, #whole, ended and "ended" or "cut")
		check(#body > 0 and whole:sub(1, #body) == body, "%s: pieces are missing or come twice", what)
		check(not ended or #body == #whole, "%s: complete after %d of %d bytes", what, #body, #whole)
		wait_for("requests are served again", 6000, function() return send(g, "/once/stream/calm").status == 200 end)
	end
end
expect(#bad == 0, "%s", table.concat(bad, "\n"))
