-- Guards against streams that hold events of two software versions of a service.
dofile(scenarios .. "/version_words.lua")

-- Two versions; upstreams reset streams and crash.
for _ = 1, 3 do add("v1.1") end
sleep_ms(1500)
take_up("an attempt that nobody knows, two versions", "caller-none", 503)
take_up("no attempt, two versions", nil, 503)
local load = start_streams(2, 8000)
local ends = now_ms() + 7500
while now_ms() < ends do
	local version = math.random(2) == 1 and "v1" or "v1.1"
	local list = serving(version)
	local r = list[math.random(#list)]
	if math.random(3) == 1 then crash(r) else set_fault(r, "reset", 4) end
	sleep_ms(400)
end
judge("two versions, upstreams reset and crash", load, true)

-- Two versions; nodes are killed one after the other.
load = start_streams(3, 8000)
ends = now_ms() + 7500
while now_ms() < ends do
	power_cycle({ f.gateways[math.random(#f.gateways)] }, 100)
	sleep_ms(1200)
end
judge("two versions, nodes killed", load, true)

local page = json_decode(http { url = "http://" .. f.gateways[1].admin .. "/v1/versions" }.body)
local names = {}
for _, v in ipairs(page.versions) do names[v.service .. " " .. v.version] = true end
check(names["engines v1"] and names["engines v1.1"], "GET /v1/versions lacks a version")
expect(#problems == 0, "%s", table.concat(problems, "\n"))
