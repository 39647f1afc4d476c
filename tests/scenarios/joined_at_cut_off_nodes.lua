-- Guards against streams joined from two versions at nodes that are cut off from the store and other nodes while a version comes.
dofile(scenarios .. "/gateway_words.lua")
dofile(scenarios .. "/restore_words.lua")
dofile(scenarios .. "/cut_words.lua")
local NODES, UPSTREAMS, SECOND, KILLED = 7, 6, 3, 3
local KILL_MS, RATE = 1500, 40
local problems = {}

-- early_ms: the cut begins so long before the second version comes, and ends late_ms after that. how: as in cut_words; from: "store", "nodes" or
-- both. group: so many nodes are cut off together. renamed: the second version has ids of its own. second: upstreams of it. kill_ms: three
-- other nodes end so long after it comes. away: the store is away for all, too, that long after it comes, until the cut ends. leaves: the first
-- version does, so long after. storm: further troubles, each {after the second comes, what, node}.
local plays = {
	{ name = "4 s before", early_ms = 4000, late_ms = 4000, renamed = true },
	{ name = "4 s before, one upstream", early_ms = 4000, late_ms = 4000, renamed = true, second = 1 },
	{ name = "4 s before, the same ids", early_ms = 4000, late_ms = 4000 },
	{ name = "2 s before, links hang", early_ms = 2000, late_ms = 4000, renamed = true, how = "silent" },
	{ name = "two nodes together", early_ms = 4000, late_ms = 4000, renamed = true, group = 2 },
	{ name = "six of seven together", early_ms = 4000, late_ms = 4000, renamed = true, group = 6 },
	{ name = "three nodes together, the same ids", early_ms = 2000, late_ms = 4000, group = 3 },
}

-- KCF_SEED: one play drawn from it instead.
local function drawn(seed)
	math.randomseed(seed)
	local function chance(n) return math.random(n) == 1 end
	local p = { seed = seed, early_ms = math.random(0, 8000), late_ms = math.random(1600, 8000), renamed = chance(2), group = chance(3) and math.random(2, 4) or 1,
		    how = ({ "reset", "silent", "deaf" })[math.random(3)], second = math.random(SECOND), kill_ms = math.random(800, 2500) }
	if chance(3) then p.from = chance(2) and "store" or "nodes" end
	if chance(5) then p.away = math.random(2000) end
	if chance(4) then p.leaves = math.random(4000) end
	if chance(2) then
		p.storm = {}
		for i = 1, math.random(6) do
			p.storm[i] = { math.random(0, p.late_ms + 2000), ({ "kill", "pause", "cut", "store" })[math.random(4)], math.random(NODES) }
		end
	end
	p.name = "seed " .. seed .. " " .. json_encode(p)
	return p
end

local function begin_cut(p)
	local group, others = {}, {}
	for i, g in ipairs(f.gateways) do
		local list = i <= (p.group or 1) and group or others
		list[#list + 1] = g
	end
	local from = p.from == "store" and {} or { table.unpack(others) }
	if p.from ~= "nodes" then from[#from + 1] = f.store end
	for _, g in ipairs(group) do cut_off(g, p.how or "reset", from) end
	return group, others
end

local function second_comes(p)
	if not p.renamed then
		start_again_as({ table.unpack(engines_of_site(), 1, p.second or SECOND) }, "v2")
		return
	end
	for i = 1, p.second or SECOND do add_version("v2", "engine-second-" .. i) end
end

-- Callers of the nodes that are killed come to those that are cut off next.
local function callers_between(killed, group)
	local list = {}
	for i, g in ipairs(killed) do
		list[#list + 1] = g
		list[#list + 1] = group[(i - 1) % #group + 1]
	end
	return list
end

local function leave(list)
	for _, r in ipairs(list) do
		announce(f, r, { version = r.version, slot_count = 64, state = "draining", sequence = 2 })
	end
end

-- Brings a node in trouble, and out of it again; others may have had it by then.
local TROUBLES = {
	kill = function(g) kill_process(g.pid, 9) end,
	pause = freeze,
	cut = function(g) cut_off(g, "reset", { f.store, f.gateways[1], f.gateways[NODES] }) end,
	store = function() fault(f.store, { busy = 1 }) end,
}
local ENDS = {
	kill = function(g)
		wait_exit(g, 5000)
		start_gateway(f, g)
	end,
	pause = thaw, cut = rejoin, store = function() fault(f.store, { busy = 0 }) end,
}
local TROUBLE_MS = 1600

-- All that is done after the second version has come, in order.
local function steps_of(p, group, killed, first)
	local list = { { p.kill_ms or KILL_MS, function()
		for _, g in ipairs(killed) do kill_process(g.pid, 9) end
	end }, { p.late_ms, function()
		for _, g in ipairs(group) do rejoin(g) end
		if p.away then fault(f.store, { busy = 0 }) end
	end } }
	if p.away then list[#list + 1] = { p.away, function() fault(f.store, { busy = 1 }) end } end
	if p.leaves then list[#list + 1] = { p.leaves, function() leave(first) end } end
	local troubled = {}
	for _, g in ipairs(killed) do troubled[g] = true end
	for _, t in ipairs(p.storm or {}) do
		local g = t[2] == "store" and f.store or f.gateways[t[3]]
		if not troubled[g] then
			list[#list + 1] = { t[1], function() TROUBLES[t[2]](g) end }
			list[#list + 1] = { t[1] + TROUBLE_MS, function() ENDS[t[2]](g) end }
			troubled[g] = true -- one trouble each
		end
	end
	table.sort(list, function(a, b) return a[1] < b[1] end)
	return list
end

local function play(i, p)
	fresh_site(NODES, function(site)
		f = site
		may_be_cut(site)
		for k = #engines_of_site() + 1, UPSTREAMS do add_version("v1", "engine-" .. k) end
	end)
	local group, others = begin_cut(p)
	local killed = { table.unpack(others, 1, KILLED) }
	sleep_ms(p.early_ms)
	local first = p.renamed and engines_of_site() or { table.unpack(engines_of_site(), (p.second or SECOND) + 1) }
	second_comes(p)
	local came = now_ms()
	local nodes = callers_between(killed, group)
	for _, g in ipairs(p.storm and others or {}) do nodes[#nodes + 1] = g end
	local load = begin_load(p.seed or i, p.kill_ms or KILL_MS, RATE, nodes)
	for _, step in ipairs(steps_of(p, group, killed, first)) do
		sleep_ms(math.max(0, came + step[1] - now_ms()))
		step[2]()
	end
	local a = finish_callers(load)
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end, %d joined", p.name, a.sent, a.whole, a.resumed, a.resumed_whole,
			    a.joined))
	for _, text in ipairs(a.faulty) do print("  " .. text) end
	if a.joined > 0 then problems[#problems + 1] = string.format("%s: %d of %d joined", p.name, a.joined, a.resumed) end
	if a.resumed == 0 and not p.seed then problems[#problems + 1] = p.name .. ": no stream was taken up" end
end

local seed = tonumber(os.getenv("KCF_SEED") or "")
if seed then plays = { drawn(seed) } end
local only = tonumber(os.getenv("KCF_PLAY") or "")
for i, p in ipairs(plays) do
	if not only or only == i then play(i, p) end
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
