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
-- All nodes tell operators the same; the one that decides has the evidence of all.
local deciding = 0
for _, g in ipairs(f.gateways) do
	local item = json_decode(http { url = "http://" .. g.admin .. "/v1/rollouts" }.body).items[1]
	expect(item.to == NEW and (item.phase == "completed" or item.phase == "completing"), "%s knows the phase %s of %s", g.name, item.phase, item.to)
	if item.deciding then deciding = deciding + 1 end
	expect(not item.deciding or item.new.answered > 20, "the deciding node knows %d answers", item.new.answered)
end
expect(deciding == 1, "%d nodes decide", deciding)
local out = f.dir .. "/kcfctl.out"
expect(wait_exit({ name = "kcfctl", pid = spawn({ bin .. "/kcfctl", "-o", f.gateways[1].admin, "rollouts" }, f.dir .. "/kcfctl.err", out) }, 5000) == 0, "kcfctl rollouts failed")
expect(read_file(out):find(NEW, 1, true), "kcfctl rollouts shows no %s: %s", NEW, read_file(out))
stop_old(f)
local a = finish_load(load)
print(string.format("completed after %d ms, reason %s; %d requests, %d whole, %d at the new version", ms, record.reason, a.sent, a.whole, (arrivals(new))))
expect(a.whole == a.sent, "%d of %d requests were not answered", a.sent - a.whole, a.sent)
expect(record.to == NEW, "the record is of version %s", record.to)
