-- Guards against a node whose memory is taken by callers and upstreams that read nothing, and against their delaying
-- others.
dofile(scenarios .. "/gateway_words.lua")
local CALLERS, EVENTS, EVENT_BYTES, ANSWER_BYTES = 2500, 40, 2000, 1000000
-- Of the users' smallest host; its process may take as much as in gateway_endless.
local NODE_KB, PROCESS_KB = 160 * 1024, 120 * 1024
-- The objective of the routes below.
local ON_TIME_MS = 500
local f = start_site { gateways = 1, engine = { gap_ms = 0, events = EVENTS, event_bytes = EVENT_BYTES, answer_bytes = ANSWER_BYTES },
	each = function(f) f.gateways[1].node_settings = "max_descriptors = 8000\nmemory_mb = 160\n" end }
local g = f.gateways[1]
-- Writes long streams, and ends those that are not read for 2 s.
local LONG_EVENTS = 600
start_runner(f, "writer-1", "writers", "dc-1", { gap_ms = 0, events = LONG_EVENTS, event_bytes = EVENT_BYTES,
	unread_ms = 2000 })
local config = json_decode(manifest(2, {
	route("/long/stream/", "streaming", "writers", { max_attempts = 1, timeout_ms = 20000 }),
	route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 20000 }),
	route("/big/", "idempotent", "engines", { timeout_ms = 20000 }),
	route("/hold/", "non_idempotent", "counter", { max_attempts = 1, timeout_ms = 4000 }),
	route("/new/", "idempotent", "counter", { target_latency_ms = ON_TIME_MS }) }))
table.insert(config.services, { name = "writers", cold_per_s = 0, max_connections = 100, health_path = "/healthz" })
store_put(f, "keyed.op", "config", json_encode(config))
wait_for("the routes are in force", 4000, function() return send(g, "/new/w").status == 200 end)
wait_for("the writer is known", 4000, function() return send(g, "/long/stream/w").status == 200 end)

local function hex_address(a)
	local ip = { a:match("(%d+)%.(%d+)%.(%d+)%.(%d+):(%d+)") }
	return string.format("%02X%02X%02X%02X:%04X", ip[4], ip[3], ip[2], ip[1], ip[5])
end

-- Bytes in the kernel: to callers, and from upstreams.
local function queues_kb()
	local own, upstreams, bytes = hex_address(g.callers), {}, 0
	for _, r in ipairs(f.runners) do upstreams[hex_address(r.address)] = true end
	for here, there, tx, rx in read_file("/proc/net/tcp"):gmatch("%d+: (%x+:%x+) (%x+:%x+) %x+ (%x+):(%x+)") do
		if here == own then bytes = bytes + tonumber(tx, 16) end
		if upstreams[there] then bytes = bytes + tonumber(rx, 16) + tonumber(tx, 16) end
	end
	return bytes // 1024
end

local function memory_kb(name)
	return tonumber(read_file("/proc/" .. g.pid .. "/status"):match(name .. ":%s+(%d+)"))
end

local function metric(name)
	local body = http { url = "http://" .. g.admin .. "/metrics", timeout_ms = 2000 }.body
	return tonumber(body:match("\n" .. name:gsub("[%W]", "%%%0") .. " (%d+)"))
end

local function open(path, body)
	local id = fresh_id()
	return raw_open(g.callers, "POST " .. path .. " HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 18000\r\nAttempt-Id: " .. id .. "\r\nContent-Length: " .. #body .. "\r\n\r\n" .. body), id
end

local slowest, queues_most = 0, 0
local function check_others(what)
	local r = send(g, "/new/x")
	expect(r.status == 200, "%s: another caller got %s", what, r.status)
	slowest = math.max(slowest, r.ms)
	expect(r.ms <= ON_TIME_MS, "%s: another caller's answer took %d ms", what, r.ms)
	queues_most = math.max(queues_most, queues_kb())
	local node_kb = memory_kb("VmRSS") + queues_kb()
	expect(node_kb < NODE_KB, "%s: the node takes %d KB", what, node_kb)
	expect(memory_kb("VmHWM") < PROCESS_KB, "%s: the process took %d KB", what, memory_kb("VmHWM"))
end

local function report(what)
	say("%s: process at most %d KB, now %d KB, kernel at most %d KB; held %d KB; cut %d; slowest %d ms", what,
		memory_kb("VmHWM"), memory_kb("VmRSS"), queues_most, metric('kcf_held_bytes{for="caller"}') // 1024,
		metric('kcf_slow_cut_total{reader="caller"}'), slowest)
end

local padding = ("."):rep(EVENT_BYTES)
local function whole(id, events)
	local parts = {}
	for i = 1, events do parts[i] = "id: " .. i .. "\ndata: " .. id .. "-" .. i .. padding .. "\n\n" end
	return table.concat(parts)
end

-- A caller that reads nothing for a while: its upstream is read on.
local fd, id = open("/long/stream/x", "order")
sleep_ms(4000)
local bytes = raw_read(fd, 1500)
raw_close(fd)
local body, ended = unchunk(bytes)
expect(bytes:find("^HTTP/1.1 200"), "a long stream: %q", bytes:sub(1, 300))
expect(ended and body == whole(id, LONG_EVENTS), "a long stream ended after %d bytes", #body)
expect(runs_of(f, id) == 1, "the long stream ran %d times", runs_of(f, id))

-- Streams whose callers read nothing.
report("before")
local fds, ids = {}, {}
for i = 1, CALLERS do
	fds[i], ids[i] = open("/stream/x", "order")
	if i % 10 == 0 then sleep_ms(8) end
	if i % 250 == 0 then check_others(i .. " streams") end
end
report("streams")
local cut = metric('kcf_slow_cut_total{reader="caller"}')
expect(cut > 0, "none was cut")
-- The oldest were cut, the newest were not. What came does not look complete, nor is anything missing inside it.
local taken_up = ids[1]
for _, i in ipairs { 1, 2, 3, 50, 100, CALLERS - 1, CALLERS } do
	local bytes, _, reset = raw_read(fds[i], 300)
	local body, ended = unchunk(bytes)
	expect(whole(ids[i], EVENTS):sub(1, #body) == body, "stream %d: pieces are missing or come twice", i)
	expect(ended == (i > 100) and reset ~= ended, "stream %d: ended %s, reset %s", i, ended, reset)
	expect(not ended or #body == #whole(ids[i], EVENTS), "stream %d: complete after %d bytes", i, #body)
end
for _, fd in ipairs(fds) do raw_close(fd) end
-- A stream that was cut is taken up from its last event.
local r = send(g, "/stream/x", { headers = { Resumes = taken_up, ["Last-Event-Id"] = "2" } })
expect(r.status == 200 and r.body:match("^id: 3\n"), "a cut stream was not taken up: %s %q", r.status, (r.body or ""):sub(1, 40))
wait_for("the node holds nothing", 3000, function() return metric('kcf_held_bytes{for="caller"}') == 0 end)

-- Plain answers whose callers read nothing.
fds = {}
for i = 1, 200 do
	fds[i] = open("/big/x", "order")
	sleep_ms(10)
	if i % 20 == 0 then check_others(i .. " plain answers") end
end
report("plain answers")
expect(metric('kcf_slow_cut_total{reader="caller"}') > cut, "no plain answer was cut")
for _, fd in ipairs(fds) do raw_close(fd) end
r = send(g, "/big/x")
expect(r.status == 200 and #r.body > ANSWER_BYTES, "a plain answer has %d bytes", #(r.body or ""))

-- Requests that their upstreams do not read. Those of others are taken.
everywhere({ f["counter-1"], f["counter-2"] }, "unread 1000", 12)
fds = {}
for i = 1, 12 do
	fds[i] = open("/hold/x", ("b"):rep(3900000))
	sleep_ms(20)
end
everywhere({ f["counter-1"], f["counter-2"] }, "", 0)
for _ = 1, 10 do
	check_others("requests that are not read")
	sleep_ms(50)
end
report("requests")
say("requests cut: %d", metric('kcf_slow_cut_total{reader="upstream"}'))
expect(metric('kcf_slow_cut_total{reader="upstream"}') > 0, "no request was given up")
for _, fd in ipairs(fds) do raw_close(fd) end
