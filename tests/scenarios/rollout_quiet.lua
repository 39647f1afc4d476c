-- Guards against roll-outs that do not end for want of requests, upstreams or nodes that know the order.
dofile(scenarios .. "/rollout_words.lua")
local f = start_rollout_site()

local function roll(name, version, rate, count, expected, duration_s, during)
	NEW = version
	local load = rate > 0 and start_load(f, rate, duration_s * 1000)
	order(f, version, duration_s)
	local new = count > 0 and start_new(f, count)
	if during then during() end
	local state, ms, record = final_state(f, duration_s * 1000)
	print(string.format("%s: %s after %d ms (%s)", name, state, ms, record and record.reason or "-"))
	expect(state == expected, "%s: the state is %s", name, state or "not written")
	if state == "completed" then stop_old(f) end
	if load then
		local a = finish_load(load)
		expect(a.whole == a.sent, "%s: %d of %d requests were not answered", name, a.sent - a.whole, a.sent)
	end
end

roll("no request", "v2", 0, 2, "completed", 6)
roll("no upstream", "v3", 30, 0, "reverted", 6)
roll("few requests", "v4", 2, 2, "completed", 12)
-- A node that starts meanwhile learns the state from others.
roll("a node starts", "v5", 0, 2, "completed", 12, function()
	sleep_ms(2000)
	kill(f.gateways[3])
	start_gateway(f, f.gateways[3])
	wait_for("the state is known", 4000, function()
		local a = http { url = "http://" .. f.gateways[3].admin .. "/v1/rollouts", timeout_ms = 300 }
		local item = a.status == 200 and json_decode(a.body).items[1]
		return item and item.phase ~= "unknown"
	end)
end)
