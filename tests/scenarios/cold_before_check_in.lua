-- Guards against full load on an upstream that has started again under its id and is cold, before it checks in.
dofile(scenarios .. "/gateway_words.lua")
local COLD_PER_S, SECOND_MS, REQUESTS = 5, 1000, 300
local f = start_site { gateways = 3, counter = { slots = 32 } }
local m = json_decode(manifest(2, routes()))
for _, s in ipairs(m.services) do s.cold_per_s = COLD_PER_S end
store_put(f, "keyed.op", "config", json_encode(m))
fault(f.store, { heartbeat_ms = 0 })
for i = 1, 2 do announce(f, f["counter-" .. i], { sequence = 2 }) end
sleep_ms(2000)
local r = f["counter-1"]
kill(r)
r.born = wall_ms()
for i, w in ipairs(r.argv) do if w == "--born" then r.argv[i + 1] = tostring(r.born) end end
spawn_runner(f, r)
wait_for(r.name .. " answers", 5000, function()
	return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
end)
local started = now_ms()
local served = 0
for _ = 1, 10 do
	local list = {}
	for i = 1, REQUESTS / 10 do list[i] = ask(f.gateways[i % 3 + 1], "/safe/" .. i) end
	for _, a in ipairs(http_all(list)) do if a.status == 200 then served = served + 1 end end
	sleep_ms(60)
end
local ms, n = now_ms() - started, 0
for _, v in pairs(seen(r).arrivals) do n = n + (type(v) == "number" and v or 1) end
print(string.format("%d of %d served, %d at the new start in %d ms before its first check-in", served, REQUESTS, n, ms))
expect(n <= COLD_PER_S * 2 + 5, "%d requests at a cold upstream in %d ms", n, ms)
