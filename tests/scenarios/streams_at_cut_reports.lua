-- Guards against upstreams that count as ones that do not name their start for a cut answer to that question.
site_options = { retry_burst = 1000 }
dofile(scenarios .. "/version_words.lua")
local STREAMS, AFTER = 24, 5
for _ = 1, 3 do add("v1.1") end
local engines = checking_in()
pass(engines, 3000)
-- They would tell of a start that does not name itself.
fault(f.store, { heartbeat_ms = 0 })
for _, r in ipairs(engines) do fault(r, { report_cut = true }) end
local begun = begin_streams(engines, STREAMS)
for _, r in ipairs(engines) do fault(r, { report_cut = false }) end
sleep_ms(8000)
local whole = 0
for _, a in ipairs(take_up_streams(engines, begun, AFTER)) do if a.status == 200 then whole = whole + 1 end end
for _, r in ipairs(engines) do print(r.name, seen(r).reports) end
print(string.format("%d taken up, %d whole", STREAMS, whole))
expect(whole >= 0.9 * STREAMS, "%d of %d went on", whole, STREAMS)
