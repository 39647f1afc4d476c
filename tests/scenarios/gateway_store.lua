-- The platform is away, for all or for one node: service goes on, and what
-- others know reaches the one.
dofile(scenarios .. "/gateway_words.lua")
local dead = string.format("127.%s.9.9:9999", net)
local f = start_site { each = function(f) f.gateways[3].store = dead end }
local cut = f.gateways[3]

-- The third node never reached the platform. It serves, and learns.
expect(send(cut, "/safe/a").status == 200, "a node without the platform does not serve")
configure(f, 2, { route("/later/", "idempotent", "counter") })
sleep_ms(1900)
expect(send(cut, "/later/a").status == 200, "a change did not reach the node without the platform")
expect(send(cut, "/safe/a").status == 404, "an old route is in force at the node without the platform")
announce(f, f["counter-1"], { state = "draining", sequence = 2 })
sleep_ms(1900)
local before = #seen(f["counter-1"]).arrivals
for _ = 1, 10 do send(cut, "/later/b") end
expect(#seen(f["counter-1"]).arrivals == before, "the node without the platform used a leaving runner")
announce(f, f["counter-1"], { sequence = 3 })

-- History is dropped: a node reads all again, and misses no removal.
configure(f, 3)
sleep_ms(1500)
store_drop(f, "keyed.servers", "engine-1")
fault(f.store, { compact = true })
sleep_ms(2200)
before = #seen(f["engine-1"]).arrivals
for _, g in ipairs(f.gateways) do
	for _ = 1, 6 do expect(send(g, "/stream/c").status == 200, "not served after a compaction") end
end
expect(#seen(f["engine-1"]).arrivals == before, "a removal got lost in a compaction")
announce(f, f["engine-1"], { sequence = 5 })

-- The platform falls silent, then refuses: what is known stays in force.
for _, switch in ipairs { "silent", "busy" } do
	fault(f.store, { [switch] = true })
	sleep_ms(3500)
	for _, g in ipairs(f.gateways) do
		expect(is_ready(g), "%s is not ready while the platform is %s", g.name, switch)
		expect(send(g, "/safe/d").status == 200, "%s does not serve while the platform is %s", g.name, switch)
	end
	fault(f.store, { [switch] = false })
end

-- Every entry lapsed meanwhile and comes back: nobody is refused.
kill(f.store)
sleep_ms(3000)
restart(f.store)
configure(f, 9)
local refused = 0
for i = 1, 30 do
	if i == 15 then
		for n, r in ipairs(f.runners) do announce(f, r, { sequence = 10 + n }) end
	end
	if send(f.gateways[1], "/safe/e").status ~= 200 then refused = refused + 1 end
	sleep_ms(50)
end
expect(refused == 0, "%d requests refused after the platform's return", refused)

-- All nodes lose power: they serve again from the platform alone.
for _, g in ipairs(f.gateways) do kill(g) end
f.gateways[3].store = nil
for _, g in ipairs(f.gateways) do start_gateway(f, g) end
wait_for("service after a loss of power", 5000, function()
	for _, g in ipairs(f.gateways) do
		if not is_ready(g) or send(g, "/safe/f").status ~= 200 then return false end
	end
	return true
end)

-- A node that knows no configuration refuses nothing for good.
local lone = { name = "lone", dc = "dc-1", store = dead }
for i, name in ipairs { "callers", "readiness", "directory", "admin", "peers" } do
	lone[name] = string.format("127.%s.5.1:%d", net, 8000 + i)
end
f.gateways = { lone }
start_gateway(f, lone)
sleep_ms(1000)
expect(not is_ready(lone), "ready without a configuration")
for _, path in ipairs { "/safe/a", "/none/a" } do
	expect(send(lone, path).status == 503, "answered %s without a configuration", path)
end
