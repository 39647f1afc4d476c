-- Guards against nodes that go back to, or stay with, what a restored store has lost.
dofile(scenarios .. "/gateway_words.lua")
local BOUND_MS = 2000
local AWAY_MS = 600
local f = start_site { gateways = 4 }
sleep_ms(4500) -- nodes that have just started read by themselves

local function table_of(version, extra)
	local list = routes()
	for i = 1, extra do list[#list + 1] = route("/added" .. i .. "/", "idempotent", "counter") end
	local m = json_decode(manifest(version, list))
	m.tenants[2] = nil -- the key of beta is withdrawn
	return json_encode(m)
end

local function restore_store()
	fault(f.store, { silent = true })
	sleep_ms(AWAY_MS)
	fault(f.store, { restore = true })
	fault(f.store, { silent = false })
end

local function arrivals(r) return #seen(r).arrivals end

-- What was in force before a restore holds at each node that is ready.
local function expect_kept(what, added, gone)
	local before = {}
	for _, r in ipairs(gone) do before[r] = arrivals(r) end
	local until_ms = now_ms() + 4000
	while now_ms() < until_ms do
		for _, g in ipairs(f.gateways) do
			if is_ready(g) then
				local a = send(g, "/added" .. added .. "/x").status
				local k = send(g, "/safe/x", { key = KEY_BETA }).status
				local s = send(g, "/stream/x").status
				expect(a == 200, "%s: %s answers an added route with %s", what, g.name, a)
				expect(k == 401, "%s: %s answers a withdrawn key with %s", what, g.name, k)
				expect(s == 200, "%s: %s answers a stream with %s", what, g.name, s)
			end
		end
		sleep_ms(100)
	end
	for _, r in ipairs(gone) do
		expect(arrivals(r) == before[r], "%s: %s is used, though it had left", what, r.name)
	end
end

-- A change written after a restore is in force in time.
local function expect_in_force(what, version, extra)
	local at = now_ms()
	store_put(f, "keyed.op", "config", table_of(version, extra))
	sleep_ms(BOUND_MS - (now_ms() - at))
	for _, g in ipairs(f.gateways) do
		local s = send(g, "/added" .. extra .. "/x").status
		expect(s == 200, "%s: %s answers a route added after it with %s", what, g.name, s)
	end
end

-- A change, a withdrawn key, a leave and a removal are acknowledged and then lost.
fault(f.store, { copy = true })
store_put(f, "keyed.op", "config", table_of(2, 1))
announce(f, f["engine-1"], { state = "draining", sequence = 2 })
store_drop(f, "keyed.servers", "counter-2")
sleep_ms(BOUND_MS)
local late = f.gateways[4]
kill(late)
restore_store()
start_gateway(f, late)
expect_kept("restored", 1, { f["engine-1"], f["counter-2"] })

-- The others write again, and what is new comes through.
for i, name in ipairs { "engine-2", "engine-3", "counter-1" } do announce(f, f[name], { sequence = 10 + i }) end
announce(f, f["engine-1"], { state = "draining", sequence = 3 })
expect_in_force("after a restore", 3, 2)
announce(f, f["engine-2"], { state = "draining", sequence = 20 })
sleep_ms(BOUND_MS)
expect_kept("left after a restore", 2, { f["engine-1"], f["engine-2"] })

-- A second restore, while a node that knows all is cut off from nothing.
fault(f.store, { copy = true })
store_put(f, "keyed.op", "config", table_of(4, 3))
sleep_ms(BOUND_MS)
restore_store()
expect_kept("restored again", 3, { f["engine-2"] })
expect_in_force("after a second restore", 5, 4)

-- An upstream that the restored store lacks and that doesn't write again is gone.
fault(f.store, { copy = true })
start_runner(f, "counter-9", "counter", "dc-3")
sleep_ms(BOUND_MS)
restore_store()
sleep_ms(9000)
local before = arrivals(f["counter-9"])
for _, g in ipairs(f.gateways) do
	for _ = 1, 10 do expect(send(g, "/safe/y").status == 200, "%s does not serve", g.name) end
end
expect(arrivals(f["counter-9"]) == before, "an upstream without an entry is used")
