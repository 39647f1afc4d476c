-- Guards against streams that look complete to the caller, though their upstream ended them inside an event.
dofile(scenarios .. "/gateway_words.lua")
-- More streams are resumed here than the usual retry budget allows.
local f = start_site { engine = { gap_ms = 5, events = 8 }, retry_ratio = 10, retry_burst = 300 }
local g, other = f.gateways[1], f.gateways[2]
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }
configure(f, 2, {
	route("/stream/", "streaming", "engines", { stream_resume = true }),
	route("/once/stream/", "streaming", "engines", { max_attempts = 1 }),
	route("/single/stream/", "streaming", "engines", { max_attempts = 1, stream_resume = true }),
	route("/hold/", "non_idempotent", "counter", { max_attempts = 1 }),
	route("/safe/", "idempotent", "counter") })
wait_for("the routes are in force", 4000, function()
	return send(g, "/single/stream/w").status == 200 and send(other, "/single/stream/w").status == 200
end)

local cases = {
	-- events before, what comes after them, whether the stream is whole
	{ 8, "", true },
	{ 8, ": end\n", true },
	{ 8, ": end\n\n", true },
	{ 7, "id: 8\rdata: last\r\r", true },
	{ 7, "id: 8\r\ndata: last\r\n\r\n", true },
	{ 7, "id: 8\r\ndata: last\r\n\r", true },
	{ 2, "i", false },
	{ 2, "id: 3\n", false },
	{ 2, "id: 3\ndata: la", false },
	{ 2, "id: 3\ndata: last\n", false },
	{ 2, "id: 3\r\ndata: last\r", false },
	{ 2, "id: 3\r\ndata: last\r\n", false },
	{ 2, "id: 3\n: comm", false },
	{ 2, "id: 3\n: comment\n", false },
	{ 2, ": comm", false },
	{ 7, "id: 8\ndata: last\n", false },
	{ 0, "", false },
	{ 0, ": comment\n\n", false },
	{ 0, "id: 1\nda", false },
}

local function describe(framing, c, path) return string.format("%s, %d events and %q, ended by %s", path, c[1], c[2], framing) end

local incomplete = 0
for _, framing in ipairs { "chunks", "length", "connection" } do
	for _, c in ipairs(cases) do
		local n, tail, whole = table.unpack(c)
		local mode = string.format("ends %s %d %s", framing, n, tail)
		everywhere(engines, mode, -1)

		-- A stream that may not be resumed.
		local id = fresh_id()
		local r = send(g, "/once/stream/x", { id = id })
		local what = describe(framing, c, "/once/")
		if whole then
			expect(r.status == 200 and not r.err, "%s: %s %s", what, r.status, r.err)
			expect(r.body == events_of(id, 1, n) .. tail, "%s: %q", what, r.body)
		else
			expect(r.status ~= 200 or r.err, "%s: looks complete: %q", what, r.body)
			if r.status == 200 then
				expect(r.body == events_of(id, 1, n) or n == 0, "%s: a part of an event was passed on: %q", what, r.body)
			end
			incomplete = incomplete + 1
			wait_for("the log tells why " .. id .. " ended", 1000, function()
				return log_of(g):find("request=" .. id .. ' why="stream ended early"', 1, true)
			end)
		end
		expect(runs_of(f, id) == 1, "%s: %d runs", what, runs_of(f, id))

		-- One that may goes on at another upstream, from the event that was cut.
		if n > 0 then
			id = fresh_id()
			r = send(g, "/stream/x", { id = id })
			what = describe(framing, c, "/stream/")
			expect(r.status == 200 and not r.err, "%s: %s %s", what, r.status, r.err)
			expect(r.body == (whole and events_of(id, 1, n) .. tail or events_of(id, 1, 8)), "%s: %q", what, r.body)
			expect(runs_of(f, id) == (whole and 1 or 2), "%s: %d runs", what, runs_of(f, id))
		end

		-- The caller takes it up at another node.
		if n > 0 and not whole then
			id = fresh_id()
			r = send(g, "/single/stream/x", { id = id })
			what = describe(framing, c, "/single/")
			expect(r.status == 200 and r.err, "%s: looks complete: %q", what, r.body)
			expect(r.body == events_of(id, 1, n), "%s: %q", what, r.body)
			local next_id = fresh_id()
			r = send(other, "/single/stream/x", { id = next_id, headers = { ["Last-Event-Id"] = tostring(n), Resumes = id } })
			expect(r.status == 200 and not r.err, "%s, taken up: %s %s", what, r.status, r.err)
			expect(r.body == events_of(next_id, n + 1, 8), "%s, taken up: %q", what, r.body)
		end
	end

	-- Nothing may be left for a caller that has the last event.
	everywhere(engines, "ends " .. framing .. " 8 ", -1)
	local r = send(g, "/stream/x", { headers = { ["Last-Event-Id"] = "8" } })
	expect(r.status == 200 and not r.err and r.body == "", "nothing left, %s: %s %s %q", framing, r.status, r.err, r.body)

	-- An event that one upstream began is missing when the next one ends without it.
	everywhere(engines, "ends_empty " .. framing .. " 2 id: 3\nda", -1)
	local id = fresh_id()
	r = send(g, "/stream/x", { id = id })
	expect(r.err and r.body == events_of(id, 1, 2), "the third event is missing, %s: %s %q", framing, r.err, r.body)
end
everywhere(engines, "", 0)

-- On a route of plain answers a stream is passed on whole or not at all.
local counters = { f["counter-1"], f["counter-2"] }
for _, framing in ipairs { "chunks", "length", "connection" } do
	for _, c in ipairs(cases) do
		local n, tail = table.unpack(c)
		local whole = c[3] or n == 0 and not tail:find("^id")
		everywhere(counters, string.format("ends %s %d %s", framing, n, tail), -1)
		local id = fresh_id()
		local r = send(g, "/hold/x", { id = id })
		local what = describe(framing, c, "/hold/")
		if whole then
			expect(r.status == 200 and not r.err and r.body == events_of(id, 1, n) .. tail, "%s: %s %s %q", what, r.status, r.err, r.body)
		else
			expect(r.status == 502, "%s: %s %q", what, r.status, r.body)
		end
		expect(runs_of(f, id) == 1, "%s: %d runs", what, runs_of(f, id))
	end
end
everywhere(counters, "", 0)

-- An answer to HEAD has no events.
local r = send(g, "/once/stream/head", { method = "HEAD" })
expect(r.status == 200 and not r.err, "HEAD: %s %s", r.status, r.err)

local metrics = http { url = "http://" .. g.admin .. "/metrics" }.body
local counted = tonumber(metrics:match("kcf_streams_incomplete_total (%d+)"))
expect(counted >= incomplete, "%d of %d incomplete streams were counted", counted, incomplete)
