-- Guards against a refusal or a second run of a request that an upstream runs.
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS = 20
local f = start_site { gateways = 1 }
local g = f.gateways[1]
local counters = { f["counter-1"], f["counter-2"] }
local promised = { [408] = true, [421] = true, [429] = true, [503] = true }

for i = 1, ROUNDS do
	-- Kept connections to both upstreams; on each, a refusal without an id comes before the next request is answered.
	for _ = 1, 6 do expect(send(g, "/hold/warm").status == 200, "a calm request is not served") end
	everywhere(counters, "stale_refusal", 1)
	local id = fresh_id()
	local r = send(g, "/hold/x", { id = id })
	sleep_ms(50)
	local runs = runs_of(f, id)
	expect(runs <= 1, "round %d: a request ran %d times", i, runs)
	expect(runs == 0 or not promised[r.status], "round %d: a request was answered %s and has run", i, r.status)
	everywhere(counters, "", 0)
end

-- On a new connection a refusal can only belong to its request: it is sent to another upstream.
kill(g)
start_gateway(f, g)
wait_for("the node is ready again", 5000, function() return is_ready(g) end)
set_fault(counters[1], "shed", 1)
set_fault(counters[2], "shed", 1)
local r = send(g, "/safe/x")
expect(promised[r.status] or r.status == 200, "a request that was shed got %s", r.status)
