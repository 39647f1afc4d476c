-- Guards against orders that are mistaken when they are withdrawn, repeated or replaced, and when most nodes have no log.
dofile(scenarios .. "/rollout_words.lua")
local dead = string.format("127.%s.9.9:9999", net)
local f = start_rollout_site { gateways = 5, each = function(f)
	for i = 3, 5 do f.gateways[i].store = dead end
end }
local load = start_load(f, 60, 45000)
sleep_ms(500)

local function ends(name, expected, ms)
	local state, at, record = final_state(f, ms or DURATION_S * 1000)
	print(string.format("%s: %s after %d ms (%s)", name, state, at, record and record.reason or "-"))
	expect(state == expected, "%s: the state is %s", name, state or "not written")
	return at
end

local function idle(name, list, ms)
	sleep_ms(1500)
	local before = arrivals(list)
	sleep_ms(ms)
	local n = arrivals(list) - before
	expect(n == 0, "%s: %d requests at the new version", name, n)
end

-- Withdrawn: nothing goes to the new version, and no state is written for it.
order(f)
local v2 = start_new(f, 2)
sleep_ms(3000)
expect(arrivals(v2) > 0, "no request at the new version")
store_drop(f, "keyed.op", "rollout/counter")
idle("withdrawn", v2, 1500)
expect(state_of(f) == "in_progress", "a withdrawn order has the state %s", state_of(f))

-- Ordered again, and replaced: the first version is barred, the second completed.
order(f)
sleep_ms(3000)
NEW = "v3"
order(f)
local v3 = start_new(f, 2)
idle("replaced", v2, 1500)
-- A repetition is no new order.
sleep_ms(1000)
local at = f.ordered_at
order(f)
f.ordered_at = at
ends("repeated", "completed", DURATION_S * 1000)
stop_old(f)
local a = finish_load(load)
print(string.format("%d requests, %d whole", a.sent, a.whole))
expect(a.whole == a.sent, "%d of %d requests were not answered", a.sent - a.whole, a.sent)

-- A version that was reverted is tried again if the order is given again.
NEW = "v4"
load = start_load(f, 60, 22000)
order(f)
local v4 = start_new(f, 2, "bad fail 100 0 0 /")
ends("bad", "reverted")
idle("bad", v4, 2000)
for _, r in ipairs(v4) do set_fault(r, "", 0) end
order(f)
sleep_ms(1500)
ends("mended", "completed")
finish_load(load)
