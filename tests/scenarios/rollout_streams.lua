-- Guards against streams that a roll-out cuts or joins, and against a bad version of a streaming service.
service = "engines"
new_options = { "--events", "16", "--gap-ms", "40" }
dofile(scenarios .. "/rollout_words.lua")
local f = start_rollout_site { engine = { version = "v1", events = 16, gap_ms = 40, slots = 16 } }
fault(f.store, { heartbeat_ms = 1000 })

local function start_streams(ms, seed)
	return start_callers(f, { to = callers_of(f), path = "/stream/long", rate = 30, duration_ms = ms, timeout_ms = 7000, tries = 4,
				  pause_ms = 250, seed = seed, distinct = "", resume = "", events = 16 })
end

-- Some of its streams break off; what they have is not joined with events of the old version.
local load = start_streams(12000, 1)
sleep_ms(500)
order(f)
local new = start_new(f, 3, "bad fail 60 2600 0 /")
local state, ms, record = final_state(f, DURATION_S * 1000)
local a = finish_callers(load)
local n = arrivals(new)
print(string.format("bad: %s after %s ms (%s), %d of %d streams at the new version, %d whole, %d joined", state, ms, record and record.reason, n, a.sent, a.whole, a.joined))
expect(state == "reverted", "the state of the bad version is %s", state or "not written")
expect(n <= half_bound(a.sent), "%d of %d streams at the bad version", n, a.sent)
expect(a.joined == 0, "%d streams hold events of two versions", a.joined)
for _, r in ipairs(new) do
	remove_runner(f, r)
end
sleep_ms(1000)

NEW = "v3"
load = start_streams(16000, 2)
sleep_ms(500)
order(f)
new = start_new(f, 3)
state, ms, record = final_state(f, DURATION_S * 1000)
stop_old(f)
a = finish_callers(load)
print(string.format("good: %s after %s ms (%s), %d streams, %d whole, %d resumed, %d joined", state, ms, record and record.reason, a.sent, a.whole, a.resumed, a.joined))
expect(state == "completed", "the state of the good version is %s", state or "not written")
expect(a.joined == 0, "%d streams hold events of two versions", a.joined)
expect(a.whole == a.sent, "%d of %d streams did not come whole", a.sent - a.whole, a.sent)
