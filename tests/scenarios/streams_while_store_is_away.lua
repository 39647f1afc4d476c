-- Guards against streams that nobody takes up where nodes end while the store is away for all, though the others are there and know one version.
dofile(scenarios .. "/gateway_words.lua")
dofile(scenarios .. "/restore_words.lua")
local NODES, RATE, LOAD_MS = 7, 40, 1500
local GO_ON_MIN = 0.5
local problems = {}
-- away_ms: the store is away for so long when nodes end.
local plays = { { ends = 1, away_ms = 4000 }, { ends = 3, away_ms = 4000 }, { ends = 1, away_ms = 1500 } }
for i, p in ipairs(plays) do
	fresh_site(NODES)
	fault(f.store, { busy = 1 })
	sleep_ms(p.away_ms - LOAD_MS)
	local load = begin_load(i, LOAD_MS, RATE)
	sleep_ms(LOAD_MS)
	for k = 1, p.ends do kill_process(f.gateways[k].pid, 9) end
	local a = finish_callers(load)
	print(string.format("%d of %d nodes end, the store is away for %d ms: %d streams, %d whole, %d taken up, %d of them to the end, %d joined", p.ends, NODES,
			    p.away_ms, a.sent, a.whole, a.resumed, a.resumed_whole, a.joined))
	if a.resumed == 0 or a.resumed_whole < GO_ON_MIN * a.resumed then
		problems[#problems + 1] = string.format("%d nodes end: %d of %d go on", p.ends, a.resumed_whole, a.resumed)
	end
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
