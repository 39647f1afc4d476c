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
local begun = {}
for i = 1, STREAMS do begun[i] = { id = fresh_id(), path = "/stream/long/" .. i } end
for _, a in ipairs(answers(engines, begun, 2600)) do expect(a.status == 200, "not begun: %s", a.err or a.status) end
for _, r in ipairs(engines) do fault(r, { report_cut = false }) end
sleep_ms(8000)
local list, whole = {}, 0
for i, s in ipairs(begun) do list[i] = { path = s.path, headers = { ["Last-Event-Id"] = tostring(AFTER), Resumes = s.id } } end
for _, a in ipairs(answers(engines, list, 2600)) do if a.status == 200 then whole = whole + 1 end end
for _, r in ipairs(engines) do print(r.name, seen(r).reports) end
print(string.format("%d taken up, %d whole", STREAMS, whole))
expect(whole >= 0.9 * STREAMS, "%d of %d went on", whole, STREAMS)
