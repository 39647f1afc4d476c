-- Words for services whose upstreams have several software versions, and callers that take streams up.
dofile(scenarios .. "/gateway_words.lua")
-- Of streams that are taken up while two upstreams of their version serve, and the nodes are in touch.
local GO_ON_MIN = 0.5
-- An upstream's first check-in comes this long after its start; up to check_in_max_ms, if a scenario sets that before.
local CHECK_IN_MS = 600
HEARTBEAT_MS = 1200
local options = { events = 16, gap_ms = 40, slots = 32 }
-- A scenario may set both before: options of its upstreams, and of its site.
for k, v in pairs(upstream_options or {}) do options[k] = v end
local site = { gateways = 5, engine = { version = "v1" } }
for k, v in pairs(options) do site.engine[k] = v end
for k, v in pairs(site_options or {}) do site[k] = v end
f = start_site(site)
-- As upstreams do; what connections tell of a start is compared with it.
fault(f.store, { heartbeat_ms = HEARTBEAT_MS })
local serial = 3
math.randomseed(tonumber(os.getenv("KCF_SEED") or "1"))

function add(version)
	local o = { version = version }
	for k, v in pairs(options) do o[k] = v end
	serial = serial + 1
	local r = start_runner(f, "engine-" .. serial, "engines", "dc-" .. serial % 3 + 1, o)
	r.version = version
	announce(f, r, { version = version })
	return r
end

function serving(version)
	local list = {}
	for _, r in ipairs(f.runners) do
		if r.service == "engines" and not r.gone and (r.version or "v1") == version then list[#list + 1] = r end
	end
	return list
end

function leave(version)
	for _, r in ipairs(serving(version)) do
		r.gone = true
		announce(f, r, { version = version, state = "draining", sequence = 2 })
	end
end

-- Upstreams that were drained end, and their entries go.
function bury()
	for _, r in ipairs(f.runners) do
		if r.gone and r.pid then
			kill_process(r.pid, 9)
			r.pid = nil
			store_drop(f, "keyed.servers", r.name)
		end
	end
end

function crash(r)
	r.gone = true
	bury()
	add(r.version or "v1")
end

-- The upstreams of the streams, which check in from now on with check_in.
function checking_in()
	local list = {}
	fault(f.store, { heartbeat_ms = 0 })
	for _, r in ipairs(f.runners) do
		if r.service == "engines" and not r.gone then
			r.version, r.sequence, r.beat_at = r.version or "v1", 1, now_ms()
			list[#list + 1] = r
		end
	end
	return list
end

function check_in(list, now)
	for _, r in ipairs(list) do
		if now >= r.beat_at then
			if r.before then store_drop(f, "keyed.servers", r.before) end
			r.before = nil
			r.sequence = r.sequence + 1
			announce(f, r, { version = r.version, slot_count = options.slots, sequence = r.sequence })
			r.beat_at = now + HEARTBEAT_MS
		end
	end
end

function set_word(argv, word, value)
	for i, w in ipairs(argv) do
		if w == word then argv[i + 1] = value end
	end
end

-- A scenario may set clock_back_max_ms: by so much at most the new start's clock is behind the start before; with clock = "either"
-- it is behind the true one, with "equal" it stands still.
function born_again(r)
	if not clock_back_max_ms then return wall_ms() end
	if clock == "equal" then return r.born end
	if clock == "either" then return wall_ms() - math.random(clock_back_max_ms) end
	return r.born - math.random(clock_back_max_ms)
end

-- With the other version, at the same address; under its id, or under one of its own.
function start_again(r, renamed)
	kill(r)
	r.version = r.version == "v1" and "v1.1" or "v1"
	local check_in_ms = check_in_max_ms and math.random(0, check_in_max_ms) or CHECK_IN_MS
	r.born = born_again(r)
	r.sequence, r.beat_at = 0, now_ms() + check_in_ms
	if renamed then
		if r.before then store_drop(f, "keyed.servers", r.before) end
		serial = serial + 1
		r.before, r.name = r.name, "engine-" .. serial
	end
	set_word(r.argv, "--id", r.name)
	set_word(r.argv, "--version", r.version)
	set_word(r.argv, "--born", tostring(r.born))
	spawn_runner(f, r)
	wait_for(r.name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
end

-- Each of both versions keeps two upstreams.
function may_start_again(list, r)
	local left = 0
	for _, other in ipairs(list) do
		if other ~= r and other.version == r.version and other.sequence > 0 then left = left + 1 end
	end
	return left >= 2
end

-- Passes a time in which upstreams check in and something is done each min_ms to max_ms.
function pass(list, ms, min_ms, max_ms, each)
	local ends, next_at = now_ms() + ms, now_ms()
	while now_ms() < ends do
		local now = now_ms()
		check_in(list, now)
		if each and now >= next_at then
			each(now)
			next_at = now + min_ms + math.random(max_ms - min_ms)
		end
		sleep_ms(20)
	end
end

function start_streams(seed, ms, rate)
	return start_callers(f, { to = callers_of(f), path = "/stream/long", rate = rate or 40, duration_ms = ms, timeout_ms = 7000,
				  tries = 12, pause_ms = 250, seed = seed, distinct = "", resume = "" })
end

problems = {}
function check(ok, ...)
	if not ok then problems[#problems + 1] = string.format(...) end
end

function judge(name, load, go_on, go_on_min)
	local a = finish_callers(load)
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end, %d joined, %d disordered", name, a.sent,
			    a.whole, a.resumed, a.resumed_whole, a.joined, a.disordered))
	check(a.joined == 0, "%s: %d of %d streams hold events of two versions", name, a.joined, a.sent)
	check(a.disordered == 0, "%s: %d events out of order", name, a.disordered)
	check(a.resumed > 0 or not go_on, "%s: no stream was taken up", name)
	check(not go_on or a.resumed_whole >= (go_on_min or GO_ON_MIN) * a.resumed, "%s: %d of %d streams that were taken up went on", name, a.resumed_whole, a.resumed)
end

-- Names the attempts that a caller may name, and the answers it gets.
function take_up(name, resumes, expected)
	local a = send(f.gateways[1], "/stream/long", { headers = { ["Last-Event-Id"] = "3", Resumes = resumes } })
	check(a.status == expected, "%s: answered %s", name, a.status)
end

-- Answers to requests that are sent at the same time, each at the next node from the one after first; upstreams of list check in for ms.
function answers(list, requests, ms, first)
	local batch = {}
	for i, o in ipairs(requests) do
		batch[i] = ask(f.gateways[((first or 0) + i) % #f.gateways + 1], o.path, { id = o.id, headers = o.headers })
	end
	local load = http_start(batch)
	pass(list, ms)
	return http_finish(load)
end

-- Streams that are begun and end while upstreams of list check in.
function begin_streams(list, count)
	local begun = {}
	for i = 1, count do begun[i] = { id = fresh_id(), path = "/stream/long/" .. i } end
	for _, a in ipairs(answers(list, begun, 2600)) do expect(a.status == 200, "not begun: %s", a.err or a.status) end
	return begun
end

-- Answers to callers that take up such streams.
function take_up_streams(list, begun, after, ms)
	local requests = {}
	for i, s in ipairs(begun) do requests[i] = { path = s.path, headers = { ["Last-Event-Id"] = tostring(after), Resumes = s.id } } end
	return answers(list, requests, ms or 2600)
end
