-- Guards against requests to an upstream that has said in an answer that it leaves.
dofile(scenarios .. "/gateway_words.lua")
local REQUESTS = 30
-- An upstream at whose address another one answered is not used for 3 s.
local WRONG_INSTANCE_MS = 3300
local f = start_site { gateways = 1 }
local g = f.gateways[1]

-- One prompt, so that its requests stay with one engine.
local PROMPT = { Model = "m", ["Token-Usage"] = "900,80", ["Prompt-Prefix"] = "5c1e07a2:800,91bd3f06:9" }

local function arrivals(r) return #seen(r).arrivals end

local function request(path) return send(g, path, { headers = PROMPT }) end

-- The upstream that gets the requests of a path.
local function used_by(path)
	local before = {}
	for _, r in ipairs(f.runners) do before[r] = arrivals(r) end
	for _ = 1, REQUESTS do request(path) end
	local most = f.runners[1]
	for _, r in ipairs(f.runners) do
		if arrivals(r) - before[r] > arrivals(most) - before[most] then most = r end
	end
	return most
end

-- Sends requests of one path; how many of them reach an upstream.
local function reach(r, path)
	local before = arrivals(r)
	for _ = 1, REQUESTS do expect(request(path).status == 200, "%s is not served", path) end
	return arrivals(r) - before
end

local function is_leaving(r)
	for _, u in ipairs(json_decode(http { url = "http://" .. g.admin .. "/v1/status" }.body).upstreams) do
		if u.id == r.name then return u.leaving end
	end
end

-- Sends requests until an upstream has given an answer of the given kind.
local function provoke(r, path, mode)
	set_fault(r, mode, mode == "other_leaving" and 1 or -1)
	local before = arrivals(r)
	for _ = 1, REQUESTS do
		request(path)
		if arrivals(r) > before then return end
	end
	expect(false, "%s got no request", r.name)
end

for _, path in ipairs { "/safe/a", "/stream/a" } do
	local r = used_by(path)
	-- Values that say nothing, and a notice of another upstream at the address.
	for _, mode in ipairs { "leaving0", "leaving", "leavingyes", "leaving1x" } do
		provoke(r, path, mode)
		set_fault(r, "", 0)
		expect(reach(r, path) > 0, "%s: %s is not used after '%s'", path, r.name, mode)
	end
	provoke(r, path, "other_leaving")
	set_fault(r, "", 0)
	expect(not is_leaving(r), "%s: %s leaves by the notice of another instance", path, r.name)
	sleep_ms(WRONG_INSTANCE_MS)
	r = used_by(path)
	provoke(r, path, "leaving1")
	expect(reach(r, path) == 0, "%s: %s is used after its notice", path, r.name)
	set_fault(r, "", 0)
	-- Neither a heartbeat nor a lapse of its entry takes the notice back.
	announce(f, r, { sequence = 2 })
	sleep_ms(1500)
	expect(reach(r, path) == 0, "%s: %s is used after a heartbeat", path, r.name)
	store_drop(f, "keyed.servers", r.name)
	sleep_ms(1500)
	announce(f, r, { sequence = 3 })
	sleep_ms(1500)
	expect(reach(r, path) == 0, "%s: %s is used after its entry was back", path, r.name)
	-- A new start of the process does.
	announce(f, r, { born = r.born + 5000, sequence = 1 })
	sleep_ms(1500)
	expect(is_leaving(r) == false, "%s: %s is not in service after a new start", path, r.name)
end
