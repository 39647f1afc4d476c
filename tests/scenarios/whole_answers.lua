-- Streams and answers come whole, byte for byte, whatever the engine does.
local f = start_fleet {
	edit = function(resources)
		for _, r in ipairs(resources) do
			if r.name == SERVICE then r.body.gap_ms = 600 end
		end
	end,
}
local n = f.nodes[1]
local by_name = {}
for _, e in ipairs(f.engines) do by_name[e.name] = e end

-- The engine that a chat has settled on: the same for two requests in a row.
local function home(chat_id)
	local last
	for _ = 1, 10 do
		local r = chat(n, { chat = chat_id, text = "first" })
		expect(r.status == 200, "%s: %s %s", chat_id, r.status, r.body)
		local e = by_name[r.headers["X-Upstream"]]
		if e == last then return e end
		last = e
	end
	error(chat_id .. " does not settle on an engine")
end

local function crossed_at_nodes()
	local total = 0
	for _, node in ipairs(f.nodes) do total = total + metric(node, "kcf_crossed_answers_total") end
	return total
end

local function crossed_at_engines()
	local total = 0
	for _, e in ipairs(f.engines) do total = total + stats(e).crossed end
	return total
end

local function check_stream(what, req, r)
	local other = f.engines[1]
	expect(r.status == 200, "%s: %s %s", what, r.status, r.body)
	expect(events(r.body) == direct(other, req).body, "%s: stream differs\n%s", what, r.body)
end

local function text_of(r) return json_decode(r.body).choices[1].message.content end

for i, row in ipairs {
	{ "silent connection", { silent_after = 5 }, { silent_after = 0 } },
	{ "cut connection", { cut_after = 7 }, { cut_after = 0 } },
	{ "crossed answer", { crossed = 1 }, { crossed = 0 } },
	{ "engine that hangs", { hang = 1 }, { hang = 0 } },
} do
	local what, on, off = table.unpack(row)
	local e = home("whole-" .. i)
	fault(e, on)
	if not on.hang then
		local req = chat_request(n, { chat = "whole-" .. i, id = "s-" .. i, stream = true, tokens = 30, text = what })
		local r = http(req)
		fault(e, off)
		check_stream(what, req, r)
		fault(e, on)
	end
	if on.cut_after or on.crossed then
		local req = chat_request(n, { chat = "whole-" .. i, id = "w-" .. i, tokens = 30, text = what })
		local r = http(req)
		fault(e, off)
		expect(r.status == 200, "%s, not streamed: %s %s %s", what, r.status, r.err or "", r.body)
		expect(text_of(r) == text_of(direct(f.engines[2], req)), "%s, not streamed: differs", what)
	end
	if on.hang then
		local started = now_ms()
		local r = chat(n, { chat = "whole-" .. i, deadline_ms = 1500 })
		expect(r.status == 504 and problem(r).ran == "unknown", "%s: %s %s", what, r.status, r.body)
		expect(now_ms() - started < 4000, "%s: answer held back", what)
	end
	fault(e, off)
end
-- Each answer that an engine sent under another id was noticed and dropped.
expect(crossed_at_engines() >= 2, "crossed answers sent: %d", crossed_at_engines())
expect(crossed_at_nodes() == crossed_at_engines(), "%d of %d crossed answers noticed", crossed_at_nodes(), crossed_at_engines())

-- A stream that its engine ends inside an event, with complete framing, goes on. Calm calls first, which retries are a part of.
for _ = 1, 40 do expect(call(n, PLAIN, "GET", "/calm").status == 200, "a calm call failed") end
local ending = home("ending")
fault(ending, { end_after = 7 })
local whole = chat_request(n, { chat = "ending", id = "ending-1", stream = true, tokens = 30 })
local ended_early = http(whole)
fault(ending, { end_after = 0 })
check_stream("end inside an event", whole, ended_early)
for _ = 1, 40 do expect(call(n, PLAIN, "GET", "/calm").status == 200, "a calm call failed") end

-- The engine dies in the middle of a stream: it goes on elsewhere.
local e = home("dying")
local req = chat_request(n, { chat = "dying", id = "dying-1", stream = true, tokens = 100 })
local pending = http_start { req }
sleep_ms(400)
kill(e)
local r = http_finish(pending)[1]
check_stream("killed engine", req, r)
restart(e)

-- The node dies in the middle: the caller goes on at another.
local lost = f.nodes[2]
req = chat_request(lost, { chat = "moving", id = "moving-1", stream = true, tokens = 100 })
pending = http_start { req }
sleep_ms(500)
kill(lost)
lost.gone = true
r = http_finish(pending)[1]
expect(r.err, "the killed node's stream ended as if whole")
local have = events(r.body):match("^(.*\n\n)") or ""
local last = tonumber(have:match(".*id: (%d+)\n")) or 0
expect(last > 0 and last < 100, "last event %s", last)
local rest
wait_for("another node goes on", 10000, function()
	rest = chat(n, { chat = "moving", id = "moving-1", stream = true, tokens = 100, last = last })
	return rest.status == 200
end)
expect(have .. events(rest.body) == direct(f.engines[1], req).body, "continued stream differs")

-- A caller that has the end, but not the close after it, asks once more: the
-- stream ends well, and only the end is told again.
local ended = chat(n, { chat = "ended", id = "ended-1", stream = true, tokens = 8, last = 9, timeout_ms = 5000 })
expect(ended.status == 200 and not ended.err and events(ended.body) == "id: 9\ndata: [DONE]\n\n", "after the end: %s %s %s", ended.status, ended.err, ended.body)

-- Guards against an answer over the bound of a node that is passed on cut at that bound.
local BOUND = 32 * 1024 * 1024
for _, service in ipairs(f.services) do fault(service, { pad_bytes = BOUND - 1024 }) end
local padded = call(n, PLAIN, "GET", "/below")
expect(padded.status == 200 and #json_decode(padded.body).pad == BOUND - 1024, "an answer below the bound: %s, %d bytes", padded.status, #padded.body)
for _, service in ipairs(f.services) do fault(service, { pad_bytes = BOUND }) end
padded = call(n, PLAIN, "GET", "/above")
-- 503 if all upstreams were tried; each of them has run it.
expect(padded.status == 502 or padded.status == 503, "an answer over the bound: %s, %d bytes", padded.status, #padded.body)
expect(problem(padded).ran == "unknown", "an answer over the bound: %s", padded.body)
for _, service in ipairs(f.services) do fault(service, { pad_bytes = 0 }) end

-- A slow reader gets everything.
for _, engine in ipairs(f.engines) do fault(engine, { token_ms = 0 }) end
local body = json_encode { model = MODEL, stream = true, max_tokens = 8000, messages = { { role = "user", content = "slow" } } }
local head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: slow-1\r\nAuthorization: Bearer " ..
	KEY .. "\r\nContent-Length: " .. #body .. "\r\n\r\n"
local fd = raw_open(n.callers, head .. body)
sleep_ms(3000)
local text = raw_read(fd, 3000)
raw_close(fd)
-- The body without its chunks' framing, which may stand in the middle of a line.
local function dechunk(bytes)
	local out, at = {}, bytes:find("\r\n\r\n", 1, true) + 4
	while true do
		local size, next_at = bytes:match("^(%x+)\r\n()", at)
		expect(size, "slow reader: the framing breaks off at %d of %d", at, #bytes)
		if tonumber(size, 16) == 0 then return table.concat(out) end
		out[#out + 1] = bytes:sub(next_at, next_at + tonumber(size, 16) - 1)
		at = next_at + tonumber(size, 16) + 2
	end
end
text = events(dechunk(text))
expect(text:find("data: [DONE]", 1, true), "slow reader: the end is missing")
local count = select(2, ("\n" .. text):gsub("\ndata: ", ""))
expect(count == 8001, "slow reader: %d events", count)
