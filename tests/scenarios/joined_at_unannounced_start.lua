-- Guards against streams that the first upstream of another version begins under a former id before it checks in, and that go on at the former version.
upstream_options = { events = 40, gap_ms = 50, slots = 64 }
site_options = { gateways = 7, retry_burst = 1000 }
dofile(scenarios .. "/version_words.lua")
local RATE, BEFORE_MS, JOINED_MAX = 100, 1000, 2
local engines = checking_in()
pass(engines, 6000)

-- The former version starts in the place of an upstream that has ended.
local function come_back(r)
	r.version, r.born, r.sequence, r.beat_at = "v1", wall_ms(), 0, now_ms() + 600
	set_word(r.argv, "--version", r.version)
	set_word(r.argv, "--born", tostring(r.born))
	spawn_runner(f, r)
end

-- check_in_ms: after its first answer, nil for never; life_ms: until it ends; alone: no other upstream takes a request meanwhile.
local plays = {
	{ name = "of the same version", same = true, life_ms = 600 },
	{ name = "never checks in", life_ms = 600 },
	{ name = "never checks in, others are full", life_ms = 600, alone = true },
	{ name = "checks in, and ends", check_in_ms = 300, life_ms = 700 },
}
for i, p in ipairs(plays) do
	local r = engines[1]
	local load = start_callers(f, { to = callers_of(f), path = "/stream/long", rate = RATE, duration_ms = BEFORE_MS + p.life_ms + 200,
					timeout_ms = 7000, tries = 6, pause_ms = 100, seed = i, distinct = "", resume = "" })
	pass(engines, BEFORE_MS)
	if p.same then r.version = "v1.1" end
	start_again(r)
	r.beat_at = p.check_in_ms and now_ms() + p.check_in_ms or now_ms() + 1e9
	for k = 2, #engines do set_fault(engines[k], p.alone and "shed" or "", p.alone and -1 or 0) end
	pass(engines, p.life_ms)
	for k = 2, #engines do set_fault(engines[k], "", 0) end
	kill(r)
	r.beat_at = now_ms() + 1e9
	local a = finish_callers(load)
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end, %d joined", p.name, a.sent, a.whole, a.resumed,
			    a.resumed_whole, a.joined))
	check(a.joined <= JOINED_MAX, "%s: %d of %d streams hold events of two versions", p.name, a.joined, a.sent)
	check(not p.same or a.resumed == 0 or a.resumed_whole >= 0.5 * a.resumed, "%s: %d of %d that were taken up went on", p.name,
	      a.resumed_whole, a.resumed)
	come_back(r)
	pass(engines, 6000)
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
