-- Guards against streams joined after nodes that know that nobody knows their version say that they were told nothing.
dofile(scenarios .. "/gateway_words.lua")
dofile(scenarios .. "/restore_words.lua")
local NODES, STREAMS, LAST = 7, 16, 3
upstream_events = 10
fresh_site(NODES)
local engines = engines_of_site()
fault(f.store, { heartbeat_ms = 0 })
-- The nodes see that connections end.
local warm = {}
for _, g in ipairs(f.gateways) do for i = 1, 4 do warm[#warm + 1] = ask(g, "/stream/warm/" .. i, { left = 9000, timeout_ms = 9000 }) end end
for _, a in ipairs(http_all(warm)) do expect(a.status == 200, "not served") end
start_unannounced_as(engines, "v2")
local begun, batch, list = {}, {}, {}
for i = 1, STREAMS do
	begun[i] = { id = fresh_id(), path = "/stream/long/" .. i }
	batch[i] = ask(f.gateways[1], begun[i].path, { id = begun[i].id, left = 9000, timeout_ms = 9000 })
end
local at_v2 = {}
for i, a in ipairs(http_all(batch)) do
	if a.status == 200 and (a.body or ""):find("data: v2/", 1, true) then at_v2[#at_v2 + 1] = begun[i] end
end
print(#at_v2 .. " of " .. STREAMS .. " begun at v2 before it has checked in")
start_again_as(engines, "v1")
sleep_ms(1500)
local n = { v1 = 0, v2 = 0, refused = 0 }
for k = 2, NODES do
	for _, s in ipairs(at_v2) do
		list[#list + 1] = ask(f.gateways[k], s.path, { left = 9000, timeout_ms = 9000, headers = { ["Last-Event-Id"] = tostring(LAST), Resumes = s.id } })
	end
end
for _, a in ipairs(http_all(list)) do
	local version = a.status == 200 and (a.body or ""):match("data: (v%d)/")
	n[version or "refused"] = n[version or "refused"] + 1
end
print(string.format("taken up %d times at v1, %d at v2, %d refused", n.v1, n.v2, n.refused))
expect(#at_v2 > 0, "none begun at v2")
expect(n.v1 == 0, "%d streams that v2 began went on at v1", n.v1)
