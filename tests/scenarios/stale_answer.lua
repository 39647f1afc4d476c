-- Guards against a connection that is used again while its upstream still works on a request, after a late answer to another one.
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS = 8
-- A run that goes on elsewhere has ended at the upstream before by then.
local OVERLAP_MAX_MS = 400
local f = start_site { gateways = 1, retry_ratio = 10, retry_burst = 300 }
local g = f.gateways[1]
local counters, engines = { f["counter-1"], f["counter-2"] }, { f["engine-1"], f["engine-2"], f["engine-3"] }

local function aborted_within(list, before, ms)
	local limit = now_ms() + ms
	while aborted(list) <= before and now_ms() < limit do sleep_ms(10) end
	return aborted(list) - before
end

-- Whether the first arrival of a request came on a kept connection.
local function came_on_kept(list, id)
	local first
	for _, r in ipairs(list) do
		for _, a in ipairs(seen(r).arrivals) do
			if a.id == id and (not first or a.at < first.at) then first = a end
		end
	end
	return first.reused
end

for _, c in ipairs {
	-- path, upstreams, whether it may run again
	{ "/hold/", counters, false },
	{ "/safe/", counters, true },
	{ "/once/stream/", engines, false },
	{ "/stream/", engines, true },
} do
	local path, list, again = table.unpack(c)
	local met = 0
	for i = 1, ROUNDS do
		everywhere(list, "", 0)
		-- Side by side, so that each upstream has kept connections.
		local warm = {}
		for k = 1, 12 do warm[k] = ask(g, path .. "warm") end
		for _, r in ipairs(http_finish(http_start(warm))) do expect(r.status == 200, "a calm request is not served") end
		-- All of them send a late answer, once; what runs again does so on the second attempt.
		everywhere(list, "stale_answer", 1)
		local before = aborted(list)
		local id = fresh_id()
		local pending = http_start { ask(g, path .. "x", { id = id, left = 6000, timeout_ms = 7000 }) }
		wait_for("it runs", 2000, function() return runs_of(f, id) > 0 end)
		if came_on_kept(list, id) then
			met = met + 1
			expect(aborted_within(list, before, OVERLAP_MAX_MS) > 0,
				"%s, round %d: the upstream works on, %d runs", path, i, runs_of(f, id))
		end
		local r = http_finish(pending)[1]
		expect(r.status == 200 or r.status == 502, "%s, round %d: %s", path, i, r.status)
		expect(not r.body:find("stale", 1, true), "%s, round %d: answer of another request: %q", path, i, r.body)
		expect(again or runs_of(f, id) == 1, "%s, round %d: %d runs", path, i, runs_of(f, id))
	end
	expect(met > 0, "%s: %d of %d requests came on a kept connection", path, met, ROUNDS)
end

-- The connections that are left give everybody their own answer.
everywhere(counters, "", 0)
for _ = 1, 40 do
	local id = fresh_id()
	local r = send(g, "/safe/after", { id = id })
	expect(r.status == 200 and json_decode(r.body).id == id, "after late answers: %s %q", r.status, r.body)
end
