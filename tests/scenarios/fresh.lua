-- An engine that has just started gets no more than its ramp allows, also
-- while its owner changes. Counted at the engine, by its own age.
local f = start_fleet {
	engine = { token_ms = 30 },
	edit = function(resources)
		for _, r in ipairs(resources) do
			if r.kind == "Upstream" then r.body.ramp_s, r.body.floor = 6, 1 end
		end
	end,
}
local n = f.nodes[1]
sleep_ms(7000)
local load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 110, duration_ms = 16000, chats = 900,
			     max_tokens = 30, stream = true })

local function owner(upstream)
	for _, u in ipairs(operator(n, "GET", "/v1/upstreams").json.items) do
		if u.upstream == upstream then return u.owner end
	end
end

local function check(e, what)
	local count = 0
	for _, pair in ipairs(stats(e).arrivals) do
		local age, outstanding = pair[1], pair[2]
		local allowed = age >= 6000 and 16 or 1 + 15 * age / 6000
		expect(outstanding <= allowed, "%s: %d outstanding at the age of %d ms", what, outstanding, age)
		if age < 6000 then count = count + 1 end
	end
	return count
end

sleep_ms(2000)
local e = f.engines[1]
kill(e)
sleep_ms(4500)
restart(e)
sleep_ms(2500)
-- Its owner dies during the ramp.
local name = owner(e.name)
for _, node in ipairs(f.nodes) do
	if node.name == name and node ~= n then kill(node) end
end
sleep_ms(6000)
local report = finish_load(load)
local count = check(e, "restarted engine")
expect(count > 0, "the restarted engine got no work during its ramp")
local refused, text = refusals(report)
expect(refused == 0, "not answered: %s", text)

-- Restarted so fast that no report fails: noticed by its start id.
load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 110, duration_ms = 8000, chats = 900,
		       max_tokens = 30, stream = true, seed = 2 })
sleep_ms(1500)
local quick = f.engines[5]
kill(quick)
restart(quick)
finish_load(load)
check(quick, "quickly restarted engine")
