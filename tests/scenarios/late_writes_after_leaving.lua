-- Guards against an upstream that has left and is brought back by late writes of the start before.
dofile(scenarios .. "/version_words.lua")
local ROUNDS = 10
for _ = 1, 3 do add("v1.1") end
local engines = checking_in()
pass(engines, 3000)

local function arrivals(r) return #seen(r).arrivals end

-- The start before dies with two check-ins that the store carries out after the next start has left.
local r = engines[1]
local before = { version = r.version, born = r.born, slot_count = 32, sequence = r.sequence }
start_again(r)
pass(engines, 1000)
table.remove(engines, 1)
announce(f, r, { version = r.version, slot_count = 32, state = "draining", sequence = r.sequence + 1 })
pass(engines, 2200)
store_drop(f, "keyed.servers", r.name)
pass(engines, 300)
local left = arrivals(r)
for _ = 1, 2 do
	before.sequence = before.sequence + 1
	announce(f, r, before)
	pass(engines, HEARTBEAT_MS)
end
for round = 1, ROUNDS do
	local list = {}
	for i = 1, 2 * #f.gateways do list[i] = { id = fresh_id(), path = "/stream/x" .. round .. "-" .. i } end
	answers(engines, list, 200, 0)
end
local late = arrivals(r) - left
print(string.format("%d of %d requests at an upstream that had left", late, 2 * ROUNDS * #f.gateways))
expect(late == 0, "%d requests came to an upstream that had left", late)
