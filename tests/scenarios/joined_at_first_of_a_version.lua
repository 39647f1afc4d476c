-- Guards against streams that are sent on to the first upstream of another version, which has not checked in yet.
site_options = { retry_burst = 1000 }
dofile(scenarios .. "/version_words.lua")
local STREAMS, AFTER = 24, 5
for _ = 1, 3 do add("v1") end
local engines = checking_in()
pass(engines, 3000)
local begun = begin_streams(engines, STREAMS)
pass(engines, 6000)
start_again(engines[1])
engines[1].beat_at = now_ms() + 1e9
for i = 2, #engines do set_fault(engines[i], "shed", -1) end
local joined, whole = 0, 0
for _, a in ipairs(take_up_streams(engines, begun, AFTER)) do
	if (a.body or ""):match("data: v1%.1/") then joined = joined + 1 end
	if a.status == 200 then whole = whole + 1 end
end
print(string.format("%d taken up, %d whole, %d joined", #begun, whole, joined))
expect(joined == 0, "%d of %d streams hold events of two versions", joined, #begun)
