-- What runners do wrong, and what callers and other runners see of it.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { engine = { gap_ms = 20, events = 8 } }
local g = f.gateways[1]
local counters, engines = { f["counter-1"], f["counter-2"] }, { f["engine-1"], f["engine-2"], f["engine-3"] }

-- Pools hold connections that were used before: a library may send again on
-- another one by itself when one of these ends without an answer.
local function warm_pools()
	for _ = 1, 6 do
		expect(send(g, "/safe/w").status == 200, "not served while calm")
		expect(send(g, "/stream/w").status == 200, "no stream while calm")
	end
end

-- fault at all runners, path, statuses that are true, most runs
for _, c in ipairs {
	{ "shed", "/hold/", { [503] = true }, 0 },
	{ "shed", "/safe/", { [503] = true }, 0 },
	{ "other", "/hold/", { [503] = true }, 0 },
	{ "busy", "/hold/", { [502] = true }, 1 },
	{ "error", "/hold/", { [500] = true }, 1 },
	{ "error", "/safe/", { [500] = true }, 2 },
	{ "close", "/hold/", { [502] = true }, 1 },
	{ "reset", "/hold/", { [502] = true }, 1 },
	{ "cut", "/hold/", { [502] = true }, 1 },
	{ "garbage", "/hold/", { [502] = true }, 1 },
	{ "crossed", "/hold/", { [502] = true }, 1 },
	{ "unsigned", "/hold/", { [502] = true }, 1 },
	{ "encoded", "/hold/", { [502] = true }, 1 },
	{ "unframed_reset", "/hold/", { [502] = true }, 1 },
	{ "unframed", "/hold/", { [200] = true }, 1 },
	{ "extra", "/hold/", { [200] = true }, 1 },
	{ "extra_late", "/hold/", { [200] = true }, 1 },
	{ "copy", "/hold/", { [200] = true }, 1 },
	{ "copy_late", "/hold/", { [200] = true }, 1 },
	{ "hang", "/hold/", { [504] = true }, 1 },
	{ "close", "/safe/", { [502] = true }, 2 },
	{ "garbage", "/safe/", { [502] = true }, 2 },
	{ "close", "/once/stream/", { [502] = true }, 1 },
	{ "shed", "/once/stream/", { [503] = true }, 0 },
} do
	local mode, path, allowed, most = table.unpack(c)
	local list = path:find("stream") and engines or counters
	warm_pools()
	everywhere(list, mode, -1)
	local id = fresh_id()
	local r = send(g, path .. mode, { id = id, left = mode == "hang" and 600 or 2500 })
	everywhere(list, "", 0)
	expect(allowed[r.status], "%s on %s: status %s %s", mode, path, r.status, r.body)
	expect(runs_of(f, id) <= most, "%s on %s: ran %d times", mode, path, runs_of(f, id))
	if r.status == 200 then
		expect(json_decode(r.body).id == id, "%s on %s: answer of another request: %s", mode, path, r.body)
	end
	-- One that says it is another is not asked again for three seconds.
	if mode == "other" then sleep_ms(3100) end
	-- An answer that comes late meets the next request, which may have run; or
	-- it is there already, and the connection is not used any more.
	if mode:find("_late") then
		everywhere(list, mode, -1)
		for _ = 1, 6 do
			local next_id = fresh_id()
			local after = send(g, path .. "next", { id = next_id })
			expect(after.status == 200 or after.status == 502, "next to a late answer: %s", after.status)
			expect(runs_of(f, next_id) <= 1, "next to a late answer: ran twice")
			expect(after.status ~= 200 or json_decode(after.body).id == next_id, "a late answer was taken")
		end
		everywhere(list, "", 0)
		sleep_ms(200)
	end
	-- What was left on a connection must not become the next answer.
	for _ = 1, 4 do
		local next_id = fresh_id()
		local after = send(g, path .. "after", { id = next_id })
		expect(after.status == 200, "after %s on %s: status %s", mode, path, after.status)
		if not path:find("stream") then
			expect(json_decode(after.body).id == next_id, "after %s: answer of another request", mode)
		end
	end
end

-- One fault of one runner is not seen by callers of what may run again.
for _, mode in ipairs { "shed", "other", "error", "close", "reset", "cut", "garbage", "crossed", "unsigned" } do
	warm_pools()
	set_fault(counters[1], mode, 1)
	for _ = 1, 4 do
		local r = send(g, "/safe/" .. mode)
		expect(r.status == 200, "%s at one runner was seen: %s %s", mode, r.status, r.body)
	end
	set_fault(counters[1], "", 0)
	if mode == "other" then sleep_ms(3100) end
end

-- A stream that breaks goes on elsewhere where it may, and is cut where not.
for _, mode in ipairs { "cut", "reset" } do
	everywhere(engines, mode, 0)
	local id = fresh_id()
	local expected = ""
	for i = 1, 8 do expected = expected .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	for _, e in ipairs(engines) do set_fault(e, mode, 1) end
	local r = send(g, "/stream/" .. mode, { id = id })
	everywhere(engines, "", 0)
	-- The second attempt breaks too: two are allowed. What came is in order.
	expect(expected:sub(1, #r.body) == r.body, "%s: pieces out of order: %q", mode, r.body)
	expect(r.err, "%s: a cut stream looked whole", mode)
	expect(runs_of(f, id) <= 2, "%s: %d runs", mode, runs_of(f, id))
	id = fresh_id()
	r = send(g, "/once/stream/" .. mode, { id = id })
	expect(r.status == 200 and not r.err, "a stream after the fault: %s", r.status)
end
local broken = f.runners[1]
for _ = 1, 12 do
	local id = fresh_id()
	local expected = ""
	for i = 1, 8 do expected = expected .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	set_fault(broken, "reset", 1)
	local r = send(g, "/stream/one", { id = id })
	expect(r.status == 200 and not r.err and r.body == expected, "resumed stream: %s %s %q", r.status, r.err, r.body)
	expect(runs_of(f, id) <= 2, "%d runs", runs_of(f, id))
end
set_fault(broken, "", 0)

-- Without length and chunks a stream ends with its connection: whole after an
-- event, broken off inside one or before the first.
for mode, whole in pairs { unframed = true, unframed_cut = false, unframed_head = false } do
	local id = fresh_id()
	local expected = ""
	for i = 1, 8 do expected = expected .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	everywhere(engines, mode, -1)
	local r = send(g, "/once/stream/" .. mode, { id = id })
	everywhere(engines, "", 0)
	if whole then
		expect(r.status == 200 and not r.err and r.body == expected, "%s: %s %s %q", mode, r.status, r.err, r.body)
	else
		expect(r.status ~= 200 or r.err, "%s: a broken stream looked whole: %q", mode, r.body)
	end
end

-- A caller that leaves ends the work, also before the first byte.
everywhere(counters, "hang", 1)
local before = aborted(counters)
send(g, "/safe/leave", { timeout_ms = 100 })
wait_for("the runner is told", 1500, function() return aborted(counters) > before end)
everywhere(counters, "", 0)

-- Callers that leave while the node stands still: their requests and the end
-- of their connections wait side by side, and nothing of it is sent on.
freeze(g)
for _ = 1, 5 do
	local fd = raw_open(g.callers, "POST /safe/gone-before HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 2000\r\nAttempt-Id: " .. fresh_id() .. "\r\nContent-Length: 0\r\n\r\n")
	raw_close(fd)
end
sleep_ms(100)
thaw(g)
wait_for("those that stayed are served", 2000, function() return send(g, "/safe/stayed").status == 200 end)
expect(log_of(g):find('outcome="caller left"'), "callers that left are not told of")
local sent = 0
for _, r in ipairs(counters) do
	for _, a in ipairs(seen(r).arrivals) do sent = sent + (a.target:find("/safe/gone-before", 1, true) and 1 or 0) end
end
expect(sent == 0, "%d requests were sent on after their callers had left", sent)

-- A runner that is killed: the next requests go elsewhere at once.
kill(counters[1])
counters[1].gone = true
for _ = 1, 10 do
	local r = send(g, "/safe/gone")
	expect(r.status == 200 and r.ms < 1000, "with a runner gone: %s after %d ms", r.status, r.ms)
	r = send(g, "/hold/gone")
	expect(r.status == 200, "a hold with a runner gone: %s", r.status)
end

-- With none left the refusal comes at once, is true, and says when to return.
store_drop(f, "keyed.servers", "counter-1")
store_drop(f, "keyed.servers", "counter-2")
sleep_ms(2200)
local r = send(g, "/hold/none")
local after = r.headers["Retry-After"] or r.headers["retry-after"]
expect(r.status == 503 and r.ms < 300 and after, "none left: %s after %d ms, retry %s", r.status, r.ms, after)
