-- Guards against requests to an upstream that has said in an answer that it leaves.
dofile(scenarios .. "/gateway_words.lua")
local REQUESTS = 30
-- An upstream at whose address another one answered is not used for 3 s.
local WRONG_INSTANCE_MS = 3300
local f = start_site { gateways = 1 }
local g = f.gateways[1]

local function arrivals(r) return #seen(r).arrivals end

-- Sends requests of one path; how many of them reach an upstream.
local function reach(r, path)
	local before = arrivals(r)
	for _ = 1, REQUESTS do expect(send(g, path).status == 200, "%s is not served", path) end
	return arrivals(r) - before
end

-- Sends requests until an upstream has given an answer of the given kind.
local function provoke(r, path, mode)
	set_fault(r, mode, mode == "other_leaving" and 1 or -1)
	local before = arrivals(r)
	for _ = 1, REQUESTS do
		send(g, path)
		if arrivals(r) > before then return end
	end
	expect(false, "%s got no request", r.name)
end

for _, case in ipairs {
	{ runner = "counter-1", path = "/safe/a", others = "counter-2" },
	{ runner = "engine-2", path = "/stream/a", others = "engine-1" },
} do
	local r = f[case.runner]
	-- Values that say nothing, and a notice of another upstream at the address.
	for _, mode in ipairs { "leaving0", "leaving", "leavingyes", "leaving1x", "other_leaving" } do
		provoke(r, case.path, mode)
		set_fault(r, "", 0)
		if mode == "other_leaving" then sleep_ms(WRONG_INSTANCE_MS) end
		expect(reach(r, case.path) > 0, "%s: %s is not used after '%s'", case.path, r.name, mode)
	end
	provoke(r, case.path, "leaving1")
	expect(reach(r, case.path) == 0, "%s: %s is used after its notice", case.path, r.name)
	set_fault(r, "", 0)
	-- Neither a heartbeat nor a lapse of its entry takes the notice back.
	announce(f, r, { sequence = 2 })
	sleep_ms(1500)
	expect(reach(r, case.path) == 0, "%s: %s is used after a heartbeat", case.path, r.name)
	store_drop(f, "keyed.servers", r.name)
	sleep_ms(1500)
	announce(f, r, { sequence = 3 })
	sleep_ms(1500)
	expect(reach(r, case.path) == 0, "%s: %s is used after its entry was back", case.path, r.name)
	-- A new start of the process does.
	announce(f, r, { born = r.born + 5000, sequence = 1 })
	sleep_ms(1500)
	expect(reach(r, case.path) > 0, "%s: %s is not used after a new start", case.path, r.name)
end
