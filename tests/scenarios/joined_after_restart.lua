-- Guards against streams joined from two software versions after all nodes were killed at once.
dofile(scenarios .. "/version_words.lua")

-- One version, and all nodes lose power.
local load = start_streams(1, 4000)
sleep_ms(2500)
power_cycle(f.gateways, 300)
judge("one version, all nodes killed", load, true)

for _ = 1, 3 do add("v1.1") end
sleep_ms(1000)
-- Both serve on.
load = start_streams(6, 4000)
sleep_ms(2500)
power_cycle(f.gateways, 600)
judge("two versions, all nodes killed", load, true)

-- The older version has left, and all nodes lose power at once.
load = start_streams(4, 4000)
sleep_ms(2000)
leave("v1")
sleep_ms(300)
power_cycle(f.gateways, 600)
bury()
judge("all nodes killed after v1 has left", load, false)

-- Two versions are replaced, and all nodes lose power twice in a row.
load = start_streams(5, 6000)
sleep_ms(1000)
for _ = 1, 3 do add("v1.2") end
sleep_ms(1000)
leave("v1.1")
sleep_ms(100)
power_cycle(f.gateways, 100)
bury()
sleep_ms(1500)
power_cycle(f.gateways, 100)
judge("v1.1 is replaced, all nodes killed twice", load, false)
expect(#problems == 0, "%s", table.concat(problems, "\n"))
