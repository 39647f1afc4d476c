-- Guards against streams joined from two versions when the entry of an upstream goes before the next start under its id checks in.
dofile(scenarios .. "/version_words.lua")
-- An entry lapses after three heartbeats that are missing.
local LAPSE_MS = 3600
local AGAIN_MS = 3000
for _ = 1, 3 do add("v1.1") end
local engines = checking_in()

local function turn(r, now)
	if r.die_at and now >= r.die_at then
		kill(r)
		r.die_at, r.dead = nil, true
	end
	if r.drop_at and now >= r.drop_at then
		store_drop(f, "keyed.servers", r.name)
		r.drop_at = nil
	end
	if r.back_at and now >= r.back_at then
		r.back_at, r.dead = nil, nil
		r.born, r.sequence, r.beat_at = wall_ms(), 0, now_ms() + 100
		set_word(r.argv, "--born", tostring(r.born))
		spawn_runner(f, r)
	end
end

local function pass_time(ms, each)
	local ends, next_at = now_ms() + ms, now_ms()
	while now_ms() < ends do
		local now = now_ms()
		check_in(engines, now)
		for _, r in ipairs(engines) do turn(r, now) end
		if each and now >= next_at then
			local r = engines[math.random(#engines)]
			if not (r.dead or r.die_at or r.drop_at or r.back_at) and may_start_again(engines, r) then each(r, now) end
			next_at = now + 900 + math.random(1200)
		end
		sleep_ms(20)
	end
end

local function play(name, seed, each)
	pass_time(3000)
	local load = start_streams(seed, 25000)
	pass_time(25500, each)
	pass_time(7500)
	judge(name, load, false)
end

-- A planned end: the entry goes as the process does.
play("removed", 2, function(r)
	store_drop(f, "keyed.servers", r.name)
	start_again(r)
	set_fault(r, "reset", 6)
end)

-- The next start ends before its first check-in, and the entry of the one before lapses.
play("lapsed", 3, function(r, now)
	local last = r.beat_at - 1200
	start_again(r)
	r.beat_at = now + 1e9
	r.die_at = now_ms() + 400
	r.drop_at = last + LAPSE_MS
	r.back_at = r.drop_at + AGAIN_MS
end)
expect(#problems == 0, "%s", table.concat(problems, "\n"))
