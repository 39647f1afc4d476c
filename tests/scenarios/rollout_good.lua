-- Guards against a good version that is not completed in time, and against requests that its completion costs.
dofile(scenarios .. "/rollout_words.lua")
local f = start_rollout_site()
local load = start_load(f, 80, 15000)
sleep_ms(1000)
order(f)
local new = start_new(f, 2)
local state, ms, record = final_state(f, DURATION_S * 1000)
expect(state == "completed", "the state is %s after %d ms", state or "not written", ms)
local old_open = 0
for _, r in ipairs(f.runners) do
	if r.service == "counter" and r.version ~= "v2" then old_open = old_open + json_decode(http { url = "http://" .. r.address .. "/load" }.body).outstanding end
end
expect(old_open == 0, "%d requests were open at the old version at its completion", old_open)
stop_old(f)
local a = finish_load(load)
print(string.format("completed after %d ms, reason %s; %d requests, %d whole, %d at the new version", ms, record.reason, a.sent, a.whole, (arrivals(new))))
expect(a.whole == a.sent, "%d of %d requests were not answered", a.sent - a.whole, a.sent)
expect(record.to == "v2", "the record is of version %s", record.to)
