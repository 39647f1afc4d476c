-- Guards against streams of two versions, with gaps or with early ends while versions are rolled out and reverted and nodes
-- are killed, stopped and paused. KCF_SEED, KCF_PLAY_S, KCF_GATEWAYS, KCF_UNFRAMED as of stream_order; KCF_PLAY=calm: no node is harmed.
service = "engines"
local SEED = tonumber(os.getenv("KCF_SEED") or "1")
local EVENTS, PLAY_S, UNFRAMED = 16, tonumber(os.getenv("KCF_PLAY_S") or "60"), tonumber(os.getenv("KCF_UNFRAMED") or "0")
local MODES = { "", "bad fail 60 1500 0 /", "", "bad slow 100 500 0 /", "unframed_cut", "reset" }
new_options = { "--events", tostring(EVENTS), "--gap-ms", "40", "--marked", "--unframed", tostring(UNFRAMED), "--seed", tostring(SEED) }
dofile(scenarios .. "/rollout_words.lua")
f = start_rollout_site { gateways = tonumber(os.getenv("KCF_GATEWAYS") or "5"),
	engine = { version = "v1", events = EVENTS, gap_ms = 40, slots = 16, marked = "", unframed = UNFRAMED, seed = SEED } }
fault(f.store, { heartbeat_ms = 1000 })
math.randomseed(SEED)
dofile(scenarios .. "/harm_words.lua")
local harmed = os.getenv("KCF_PLAY") ~= "calm"
local next_harm = 0

local function turn(now)
	for _, g in ipairs(f.gateways) do mend(g, now) end
	if harmed and now >= next_harm then
		if next_harm > 0 then hurt_one_or_all() end
		next_harm = now_ms() + 600 + math.random(1800)
	end
	sleep_ms(20)
end

local function pass(ms)
	local ends = now_ms() + ms
	while now_ms() < ends do turn(now_ms()) end
end

local function start_load(path, rate, o)
	o.to, o.path, o.rate, o.duration_ms, o.timeout_ms = callers_of(f), path, rate, PLAY_S * 1000, 7000
	o.tries, o.pause_ms, o.seed, o.slow, o.events, o.marked, o.distinct = 12, 250, SEED * 1000 + rate, 0.25, EVENTS, "", ""
	return start_callers(f, o)
end

local loads = { start_load("/stream/long", 26, { resume = "", leave = 0.4 }), start_load("/once/stream/long", 13, {}) }
local ends, round, states = now_ms() + PLAY_S * 1000, 0, {}
while now_ms() < ends do
	round = round + 1
	NEW = "v" .. round + 1
	local mode = MODES[(round - 1) % #MODES + 1]
	order(f)
	local new = start_new(f, 3, mode ~= "" and mode)
	note("%s is rolled out, %s", NEW, mode)
	local state
	while not state and now_ms() < f.ordered_at + (DURATION_S + 4) * 1000 do
		turn(now_ms())
		local s = state_of(f)
		if s == "completed" or s == "reverted" then state = s end
	end
	note("%s is %s", NEW, state or "neither")
	states[#states + 1] = (mode == "" and "good" or mode:match("^%S+ ?%a*")) .. " " .. (state or "neither")
	pass(state and 0 or 500)
	if state == "completed" then
		everywhere(new, "", 0)
		stop_old(f)
	else
		for _, r in ipairs(new) do
			remove_runner(f, r)
		end
	end
	pass(500)
end
harmed = false
for _, g in ipairs(f.gateways) do g.back_at = 0 end
pass(8000)
local problems = {}
print(table.concat(states, ", "))
for i, load in ipairs(loads) do
	local a = finish_callers(load)
	local name = i == 1 and "resumed" or "once"
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end, %d joined, %d of two runs, %d disordered, %d torn, "
			    .. "%d early, %d refused, %d broken", name, a.sent, a.whole, a.resumed, a.resumed_whole, a.joined, a.mixed,
			    a.disordered, a.torn, a.early, a.refused, a.failed))
	for _, text in ipairs(a.faulty) do print("  " .. text) end
	local n = a.joined + a.mixed + a.disordered + a.torn + a.early
	if n > 0 then problems[#problems + 1] = string.format("%s: %d faulty streams of %d", name, n, a.sent) end
	if a.whole == 0 then problems[#problems + 1] = name .. ": none whole" end
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
