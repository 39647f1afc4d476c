-- Bytes of callers that two readers could read differently, and worse.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { gateways = 1 }
local g = f.gateways[1]

local function head(id, extra)
	return "POST /safe/x HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 .. "\r\nDeadline-Ms: 2000\r\nAttempt-Id: " ..
		id .. "\r\n" .. extra
end

local function inner(id) return head(id, "Content-Length: 0\r\n\r\n") end

-- Each of these hides a second request; it must not run.
local hidden = 0
for _, make in ipairs {
	function(s) return "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" .. s end,
	function(s) return "Content-Length: " .. #s .. "\r\nContent-Length: 0\r\n\r\n" .. s end,
	function(s) return "Transfer-Encoding: chunked\r\nContent-Length: " .. #s .. "\r\n\r\n" .. s end,
	function(s) return "Transfer-Encoding: xchunked\r\nContent-Length: " .. #s .. "\r\n\r\n" .. s end,
	function(s) return "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" .. s end,
	function(s) return "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" .. s end,
	function(s) return "Transfer-Encoding: chunked\r\n\r\nzz\r\n" .. s end,
	function(s) return "Content-Length: +0\r\n\r\n" .. s end,
	function(s) return "Content-Length: -1\r\n\r\n" .. s end,
	function(s) return "Content-Length : 0\r\n\r\n" .. s end,
} do
	local outer, inside = fresh_id(), fresh_id()
	local fd = raw_open(g.callers, head(outer, make(inner(inside))))
	local bytes = raw_read(fd, 400)
	raw_close(fd)
	hidden = hidden + 1
	expect(runs_of(f, inside) == 0, "hidden request %d ran", hidden)
	expect(not bytes:find("^HTTP/1.1 2"), "case %d was answered with success", hidden)
end

-- Honest framing is served, pieces and pauses included.
for _, c in ipairs {
	{ "Content-Length: 5\r\n\r\nhello", "hello" },
	{ "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", "hello" },
	{ "Content-Length: 0\r\n\r\n", "" },
} do
	local id = fresh_id()
	local fd = raw_open(g.callers, head(id, c[1]))
	local bytes = raw_read(fd, 400)
	raw_close(fd)
	expect(bytes:find("^HTTP/1.1 200"), "honest request: %s", bytes)
	local found
	for _, r in ipairs(f.runners) do
		for _, a in ipairs(seen(r).arrivals) do
			if a.id == id then found = a.body end
		end
	end
	expect(found == c[2], "body became %q", found)
end

-- Two requests in one write are two answers in order.
local one, two = fresh_id(), fresh_id()
local fd = raw_open(g.callers, inner(one) .. inner(two))
local bytes = raw_read(fd, 600)
raw_close(fd)
local first, second = bytes:find(one, 1, true), bytes:find(two, 1, true)
expect(first and second and first < second, "pipelined: %s", bytes)

-- A request without an id, and one that is cut.
fd = raw_open(g.callers, "GET /safe/x HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 .. "\r\n\r\n")
bytes = raw_read(fd, 400)
expect(bytes:find("^HTTP/1.1 400"), "without an id: %s", bytes)
raw_close(fd)
local cut = fresh_id()
fd = raw_open(g.callers, head(cut, "Content-Length: 50\r\n\r\nhalf"))
sleep_ms(200)
raw_close(fd)
sleep_ms(300)
expect(runs_of(f, cut) == 0, "half a request ran")
expect(send(g, "/safe/x").status == 200, "not served after bad input")
