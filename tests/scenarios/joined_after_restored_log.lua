-- Guards against streams joined from two versions of which a restored log has only one, as nodes vouch for what they do not know.
dofile(scenarios .. "/gateway_words.lua")
dofile(scenarios .. "/restore_words.lua")
local NODES, AWAY_MS = 4, 500
local BEGIN_MS, RATE = 400, 60
local problems = {}

-- known_ms: from the first entry of the second version to the loss of the store; kill_ms: from its return to the end of all nodes.
-- some: perhaps no node has read the entry by then, or some have.
local plays = {
	{ known_ms = 2500, kill_ms = 0 },
	{ known_ms = 2500, kill_ms = 1200 },
	{ known_ms = 1000, kill_ms = 600 },
	{ known_ms = 1000, kill_ms = 2000 },
	{ known_ms = 600, kill_ms = 3000 },
	{ known_ms = 300, kill_ms = 2500, some = true },
}
local only = tonumber(os.getenv("KCF_PLAY") or "")
for i, p in ipairs(plays) do
	if not only or only == i then
		fresh_site(NODES)
		take_copy()
		sleep_ms(COPY_AGE_MS - p.known_ms)
		local second = add_version("v2")
		for k = 1, 3 do set_fault(f["engine-" .. k], "shed", -1) end
		local begin_ms = math.min(BEGIN_MS, p.known_ms)
		sleep_ms(p.known_ms - begin_ms)
		local load = begin_load(i, begin_ms, RATE)
		sleep_ms(begin_ms)
		fault(f.store, { busy = 1 })
		kill(second)
		second.pid = nil
		for k = 1, 3 do set_fault(f["engine-" .. k], "", 0) end
		restore(AWAY_MS)
		sleep_ms(p.kill_ms)
		power_cycle(f.gateways, 200)
		local a = finish_callers(load)
		print(string.format("known for %d ms, killed after %d ms: %d streams, %d whole, %d taken up, %d of them to the end, %d joined",
				    p.known_ms, p.kill_ms, a.sent, a.whole, a.resumed, a.resumed_whole, a.joined))
		if a.joined > 0 then
			problems[#problems + 1] = string.format("known for %d ms, killed after %d ms: %d of %d joined", p.known_ms, p.kill_ms,
							       a.joined, a.sent)
		end
		if a.resumed == 0 and not p.some then problems[#problems + 1] = "no stream was taken up" end
	end
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
