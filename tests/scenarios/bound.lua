-- Peak engine load stays within the bound of the mean, one request of slack,
-- while engines come and go, one customer surges, and owners die or freeze.
dofile(scenarios .. "/measure.lua")
local f = start_fleet { engine = { token_ms = 20 } }
local keys = "key-ribera=4,key-delta-norte=3,key-puerto-sur=3,key-broker-1=1"

local function reset() for _, e in ipairs(f.engines) do fault(e, { reset = 1 }) end end

local function check(what, o, during)
	reset()
	local owner = owner_of(f, SERVICE)
	local load = start_load(other_than(f, owner), { model = MODEL, service = SERVICE, keys = keys, rate = o.rate or 80, duration_ms = 9000,
				     chats = 600, max_tokens = 30, stream = true, surge = o.surge, seed = o.seed or 1 })
	if during then
		sleep_ms(2500)
		during(owner)
	end
	local report = finish_load(load)
	local arrivals, over, worst = over_bound(f.engines, 1.25, 1, o.active)
	local count, text = refusals(report)
	say("%s: %d arrivals, %d over the bound, worst by %.2f; ok %d of %d, reuse %.2f; %s", what, arrivals, over, worst,
	    report.ok, report.sent, report.reuse, text)
	return arrivals, over, worst, report
end

local failed = {}
local function expect_bound(what, o, during)
	local arrivals, over, worst = check(what, o, during)
	if over > 0 then failed[#failed + 1] = string.format("%s: %d of %d, worst %.2f", what, over, arrivals, worst) end
end

expect_bound("steady", {})
expect_bound("surge", { surge = "0:6:2500:6000" })
local killed
expect_bound("owner killed", { seed = 2 }, function(owner)
	killed = owner
	kill(owner)
end)
start_node(f, killed)
wait_ready(f)
sleep_ms(3000)
expect_bound("owner frozen", { seed = 3 }, function(owner)
	freeze(owner)
	sleep_ms(3500)
	thaw(owner)
end)
sleep_ms(4000)
expect_bound("engine lost and back", { seed = 4, active = 9 }, function()
	kill(f.engines[3])
	sleep_ms(3000)
	restart(f.engines[3])
end)
expect(#failed == 0, "over the bound: %s", table.concat(failed, "; "))
