-- Guards against a roll-out that is lost, or goes on at two places, when its deciding node or all nodes die.
dofile(scenarios .. "/rollout_words.lua")
local f = start_rollout_site { gateways = 5 }

-- The node of rank 0 decides; it has said so in its log.
local function deciding()
	for _, g in ipairs(f.gateways) do
		if log_of(g):find("event=rollout.deciding", 1, true) and not g.dead then return g end
	end
end

local function remove(new)
	for _, r in ipairs(new) do
		remove_runner(f, r)
	end
end

local function roll(name, version, mode, duration_s, disturb, expected)
	NEW = version
	local load = start_load(f, 60, duration_s * 1000 + 500)
	sleep_ms(500)
	order(f, version, duration_s)
	local new = start_new(f, 2, mode)
	disturb()
	local state, ms, record = final_state(f, duration_s * 1000)
	if state == "reverted" then sleep_ms(500) end
	local n = arrivals(new)
	for _, r in ipairs(f.runners) do
		local old = r.service == "counter" and r.version ~= NEW and not r.gone
		local open = old and state == "completed" and json_decode(http { url = "http://" .. r.address .. "/load" }.body).outstanding
		expect(not open or open == 0, "%s: %s requests open at the old version at its completion", name, open)
	end
	print(string.format("%s: %s after %d ms (%s), %d requests at the new version", name, state, ms, record and record.reason or "-", n))
	expect(state == expected, "%s: the state is %s", name, state or "not written")
	if expected == "reverted" then expect(n <= half_bound(60 * duration_s), "%s: %d requests at the new version", name, n) end
	if expected == "completed" then stop_old(f) end
	finish_load(load)
	if expected == "reverted" then remove(new) end
	return new
end

local function kill_decider()
	wait_for("a node decides", 4000, deciding)
	sleep_ms(1500)
	local g = deciding()
	g.dead = true
	kill(g)
end

local function power_cycle()
	sleep_ms(3000)
	for _, g in ipairs(f.gateways) do kill(g) end
	sleep_ms(500)
	for _, g in ipairs(f.gateways) do start_gateway(f, g) end
end

local function silence()
	fault(f.store, { silent = true })
	sleep_ms(3000)
	fault(f.store, { silent = false })
end

roll("bad version, deciding node killed", "v2", "bad fail 60 3500 0 /", 14, kill_decider, "reverted")
local function revive()
	for _, g in ipairs(f.gateways) do
		if g.dead then start_gateway(f, g) end
		g.dead = nil
	end
	sleep_ms(4500)
end
revive()
roll("bad version, all nodes killed", "v3", "bad fail 60 6000 0 /", 16, power_cycle, "reverted")
sleep_ms(4500)
roll("bad version, log silent at the order", "v4", "bad fail 60 5000 0 /", 16, silence, "reverted")
sleep_ms(500)
roll("good version, deciding node killed", "v5", nil, 14, kill_decider, "completed")
revive()
roll("good version, all nodes killed", "v6", nil, 16, power_cycle, "completed")
sleep_ms(4500)
roll("good version, log silent at the order", "v7", nil, 14, silence, "completed")
