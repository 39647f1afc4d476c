-- Guards against brittle upstreams that fall over, and against a service that is held far below what they can run.
dofile(scenarios .. "/gateway_words.lua")
local UPSTREAMS, SLOTS, DELAY_MS, WAITS = 6, 4, 100, 8
local TURNED_PER_S, BRITTLE_WAITS, LEARN_MS, BRITTLE_MS = 4, 1, 3000, 15000
local RATE = 1.7 * UPSTREAMS * SLOTS * 1000 / DELAY_MS
local FALLS = 2 + UPSTREAMS // 10
local runner = { slots = SLOTS, delay_ms = DELAY_MS, waits = WAITS }
local f = start_site { gateways = 6, counter = runner, each = function(f)
	for i = 3, UPSTREAMS do start_runner(f, "counter-" .. i, "counter", "dc-" .. (i - 1) % 3 + 1, runner) end
	for i = 1, UPSTREAMS do announce(f, f["counter-" .. i], { slot_count = SLOTS, sequence = 2 }) end
end }
local counters = {}
for i = 1, UPSTREAMS do counters[i] = f["counter-" .. i] end
sleep_ms(4500) -- nodes that have just started know few others

local function turn_brittle(n)
	for _, r in ipairs(counters) do
		local a = http { method = "POST", url = "http://" .. r.address .. "/fault",
				 body = json_encode { brittle = n, waits = BRITTLE_WAITS } }
		expect(a.status == 200, "fault at %s", r.name)
	end
end

-- One that has fallen over answers later.
local function counts()
	local n = { turned_away = 0, falls = 0, runs = {} }
	for _, r in ipairs(counters) do
		local s = wait_for(r.name .. " answers", 8000, function()
			return json_decode(http { url = "http://" .. r.address .. "/stats", timeout_ms = 2000 }.body or "")
		end)
		n.turned_away, n.falls = n.turned_away + s.turned_away, n.falls + s.falls
		for id in pairs(s.runs) do n.runs[id] = true end
	end
	return n
end

-- An open load; the served part of what the slots can run, each request DELAY_MS long.
local function play(ms, seed)
	local before = counts()
	local r = finish_callers(start_callers(f, { to = callers_of(f), path = "/safe/x", rate = RATE, duration_ms = ms,
						    timeout_ms = 2500, seed = seed }))
	local after = counts()
	r.turned_away, r.falls = after.turned_away - before.turned_away, after.falls - before.falls
	r.share, r.untrue = r.whole / (UPSTREAMS * SLOTS * ms / DELAY_MS), 0
	for _, id in ipairs(r.promised) do r.untrue = r.untrue + (after.runs[id] and 1 or 0) end
	say("%d sent, %d served (%.2f of the slots), %d refused (%d untrue, %d without a time, p99 %.0f ms, max %.0f ms), %d other, %d failed; %d turned away by upstreams, %d falls",
	    r.sent, r.whole, r.share, r.refused, r.untrue, r.timeless, r.refused_ms.p99, r.refused_ms.max, r.other, r.failed, r.turned_away, r.falls)
	return r
end

local calm = play(5000, 1)
expect(calm.share >= 0.8, "%.2f of the slots were used before", calm.share)

local began = now_ms()
turn_brittle(TURNED_PER_S)
local learning = play(LEARN_MS, 2)
local r = play(BRITTLE_MS, 3)
turn_brittle(0)
say("brittle for %d ms", now_ms() - began)
local falls = learning.falls + r.falls
expect(falls <= FALLS, "%d falls of %d upstreams in one time of brittleness, %d allowed", falls, UPSTREAMS, FALLS)
expect(r.share >= 0.8, "%.2f of the slots were used", r.share)
expect(r.untrue == 0, "%d requests were refused and have run", r.untrue)
expect(r.timeless == 0, "%d refusals without a time to come back", r.timeless)
expect(r.refused_ms.p99 <= 100, "refusals took %.0f ms (p99)", r.refused_ms.p99)
expect(r.whole + r.refused >= 0.99 * r.sent, "%d of %d were neither served nor refused", r.sent - r.whole - r.refused, r.sent)
