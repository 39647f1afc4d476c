-- Guards against an upstream that some nodes lose for good, though it writes again what a restored store lacks.
dofile(scenarios .. "/gateway_words.lua")
local HEARTBEAT_MS, WRITES, DROPPED_MS = 1200, 8, 9000
local f = start_site { gateways = 8 }
sleep_ms(4500) -- nodes that have just started read by themselves

local function knows(g, id)
	local status = json_decode(http { url = "http://" .. g.admin .. "/v1/status", timeout_ms = 1000 }.body)
	for _, u in ipairs(status.upstreams) do
		if u.id == id then return true end
	end
	return false
end

fault(f.store, { copy = true })
start_runner(f, "counter-9", "counter", "dc-3")
sleep_ms(2000)
for _, g in ipairs(f.gateways) do expect(knows(g, "counter-9"), "%s does not know it before", g.name) end
fault(f.store, { restore = true })
local ends = now_ms() + DROPPED_MS
for i = 1, WRITES do
	for _, name in ipairs { "engine-1", "engine-2", "engine-3", "counter-1", "counter-2" } do
		announce(f, f[name], { sequence = 1 + i })
	end
	sleep_ms(HEARTBEAT_MS)
	announce(f, f["counter-9"], { sequence = 1 + i })
end
sleep_ms(math.max(0, ends - now_ms()))
for _, g in ipairs(f.gateways) do expect(knows(g, "counter-9"), "%s has lost an upstream that lives", g.name) end
