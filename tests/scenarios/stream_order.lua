-- Guards against streams whose callers miss an event, get one twice or torn, get events of two versions or (on a route
-- that may not be resumed) of two runs, or see an end as whole before the last event.
-- KCF_PLAY: one kind alone, for KCF_PLAY_S seconds. plays: the kinds that are played else. gateways: number of nodes.
-- upstreams: number of each version. unframed: of a hundred answers of upstreams, have neither length nor chunks. play_s: time of each play. KCF_UNNAMED: upstreams do not name their start. KCF_GATEWAYS,
-- KCF_UPSTREAMS: numbers of nodes, and of upstreams of each version. KCF_UNFRAMED, KCF_CLOCK_BACK_MS: as unframed, and
-- clock_back_max_ms of version_words. KCF_STRIDE: as id_stride, between the
-- ids of two events. KCF_RUNNER: as more_options, further options of upstreams, as "unread=50,pieces=3". With the folder of an older build (--old DIR) each second
-- node is of that build.
local EVENTS = 16
if os.getenv("KCF_UNNAMED") then names_start = false end
gateways = tonumber(os.getenv("KCF_GATEWAYS")) or gateways
upstreams = tonumber(os.getenv("KCF_UPSTREAMS")) or upstreams
unframed = tonumber(os.getenv("KCF_UNFRAMED")) or unframed
clock_back_max_ms = tonumber(os.getenv("KCF_CLOCK_BACK_MS")) or clock_back_max_ms
local stride = tonumber(os.getenv("KCF_STRIDE")) or id_stride or 1
upstream_options = { stride = stride, events = EVENTS, big_bytes = 6000, marked = "", seed = tonumber(os.getenv("KCF_SEED") or "1") }
for k, v in pairs(more_options or {}) do upstream_options[k] = v end
for k, v in (os.getenv("KCF_RUNNER") or ""):gmatch("(%w+)=(%w+)") do upstream_options[k] = v end
if unframed then upstream_options.unframed = unframed end
site_options = { gateways = gateways or 4, each = function(f)
	for i, g in ipairs(f.gateways) do
		g.source = g.callers:match("[%d.]+")
		g.bin = i % 2 == 0 and old or nil
	end
end }
dofile(scenarios .. "/version_words.lua")
local PLAY_S, MIX_S = tonumber(os.getenv("KCF_PLAY_S") or "40"), 6
local RATE, ONCE_RATE, SLOW, LEAVE = 26, 13, 0.25, 0.4
local TRIES, PAUSE_MS, PATIENCE_MS = 12, 250, 7000
local DARK_MAX_MS, ALL_DARK_MAX_MS = 2800, 1000
local CUTS = { "silent", "reset", "new_refused", "one_way" }

for _ = 4, upstreams or 3 do add("v1") end
for _ = 1, upstreams or 3 do add("v1.1") end
local engines = checking_in()
local cuts, troubled = {}, ""

-- What is done when; beside the logs of the nodes.
local log = assert(io.open(f.dir .. "/play.log", "w"))
log:setvbuf("line")
local function note(fmt, ...) log:write(wall_ms(), " ", string.format(fmt, ...), "\n") end

-- Nodes: each is up, or comes back at a moment or once it has ended.

local function hurt(g)
	local how = math.random(3)
	g.back_at = now_ms() + 100 + math.random(DARK_MAX_MS - 100)
	if how == 1 then
		kill(g)
		g.hurt = "killed"
	elseif how == 2 then
		stop(g)
		g.hurt = "stopped"
	else
		freeze(g)
		g.hurt = "paused"
	end
	note("%s %s", g.name, g.hurt)
end

local function mend(g, now)
	if g.hurt == "paused" and now >= g.back_at then
		thaw(g)
		g.hurt = nil
		note("%s goes on", g.name)
	elseif g.hurt == "stopped" and exited(g.pid) then
		g.hurt = "killed"
	end
	if g.hurt == "killed" and now >= g.back_at then
		note("%s starts", g.name)
		start_gateway(f, g)
		g.hurt = nil
	end
end

local function hurt_one()
	local up = {}
	for _, g in ipairs(f.gateways) do
		if not g.hurt then up[#up + 1] = g end
	end
	if #up > 1 then hurt(up[math.random(#up)]) end
end

local function kill_all()
	local back_at = now_ms() + 100 + math.random(ALL_DARK_MAX_MS - 100)
	local up = {}
	for _, g in ipairs(f.gateways) do
		if g.hurt ~= "killed" then up[#up + 1] = g end
		g.hurt, g.back_at = "killed", back_at
	end
	note("all killed")
	-- All at once; kill waits for the end of each.
	for _, g in ipairs(up) do kill_process(g.pid, 9) end
	for _, g in ipairs(up) do wait_exit(g, 5000) end
end

local function hurt_one_or_all()
	if math.random(8) == 1 then kill_all() else hurt_one() end
end

-- Upstreams.

local function trouble(list, mode)
	for _, r in ipairs(list) do set_fault(r, mode, -1) end
	troubled = mode
end

-- Links from nodes to upstreams.

local function set_cut(cut, how)
	local a = http { method = "POST", url = "http://" .. cut.address .. "/cut",
			 body = json_encode { source = cut.source, how = how } }
	expect(a.status == 200, "a cut was not made: %s", a.err or a.status)
end

local function again(renamed)
	return function()
		local r = engines[math.random(#engines)]
		if not may_start_again(engines, r) then return end
		note("%s ends", r.name)
		start_again(r, renamed)
		note("%s answers, of %s", r.name, r.version)
		trouble({ r }, troubled)
		for _, cut in pairs(cuts) do
			if cut.address == r.address then set_cut(cut, cut.how) end
		end
	end
end

local function cut_two()
	local till = now_ms() + 600 + math.random(DARK_MAX_MS - 600)
	for _ = 1, 2 do
		local g, how = f.gateways[math.random(#f.gateways)], CUTS[math.random(#CUTS)]
		for _, r in ipairs(engines) do
			if math.random(3) > 1 then
				local cut = { address = r.address, source = g.source, how = how, till = till }
				cuts[r.address .. g.source] = cut
				set_cut(cut, how)
				note("%s cut from %s, %s", g.name, r.name, how)
			end
		end
	end
end

-- One node at a time has no link to any upstream, and asks others.
local CUT_OFF_MIN_MS, CUT_OFF_MAX_MS = 4000, 7000
local off

local function cut_off_one()
	local till = now_ms() + math.random(CUT_OFF_MIN_MS, CUT_OFF_MAX_MS)
	if off and now_ms() < off.till then return end
	local g, how = f.gateways[math.random(#f.gateways)], CUTS[math.random(#CUTS)]
	off = { node = g, till = till }
	for _, r in ipairs(f.runners) do
		local cut = { address = r.address, source = g.source, how = how, till = till }
		cuts[r.address .. g.source] = cut
		set_cut(cut, how)
	end
	note("%s cut off, %s", g.name, how)
end

local function hurt_on_relay()
	if off and not off.node.hurt and math.random(2) == 1 then hurt(off.node) else hurt_one() end
end

-- A node that is paused wakes when another one has just started.
local function pause_and_start()
	local up = {}
	for _, g in ipairs(f.gateways) do
		if not g.hurt then up[#up + 1] = g end
	end
	if #up < 3 then return end
	local i = math.random(#up)
	local paused = table.remove(up, i)
	-- The next one, where callers of the paused one come back.
	local started = up[(i - 1) % #up + 1]
	freeze(paused)
	paused.hurt, paused.back_at = "paused", now_ms() + math.random(600, DARK_MAX_MS)
	kill(started)
	started.hurt, started.back_at = "killed", now_ms() + math.random(50, 300)
	note("%s paused, %s killed", paused.name, started.name)
end

local function lift(now)
	for k, cut in pairs(cuts) do
		if now >= cut.till then
			set_cut(cut, "")
			cuts[k] = nil
		end
	end
end

-- Callers over HTTP/1.0, to which an end that is no reset is that of the whole stream.
local OLD_OPEN, OLD_PATHS = 24, { "/stream/long", "/once/stream/long" }
local old

local function open_old()
	local g, id = f.gateways[math.random(#f.gateways)], fresh_id()
	local path = OLD_PATHS[math.random(#OLD_PATHS)]
	local ok, fd = pcall(raw_open, g.callers, "POST " .. path .. "/" .. id .. " HTTP/1.0\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: " .. PATIENCE_MS .. "\r\nAttempt-Id: " .. id .. "\r\nContent-Length: 5\r\n\r\norder")
	if ok then
		old.open[#old.open + 1] = { fd = fd, id = id, path = path, node = g.name, bytes = "", till = now_ms() + 2 * PATIENCE_MS,
					    slow = math.random() < SLOW }
	end
end

local function judge_old(c, closed, reset)
	local status, body = c.bytes:match("^HTTP/1%.%d (%d+).-\r\n\r\n(.*)$")
	old.sent = old.sent + 1
	if status ~= "200" then
		old.refused = old.refused + 1
		return
	end
	local last, version, run, wrong = 0, nil, nil, nil
	local rest = body:gsub("id: (%d+)\ndata: ([^/]+)/[^\n]* run=([^\n]+)%.\n\n", function(id, v, r)
		if tonumber(id) ~= (last + 1) * stride then wrong = "disordered" end
		if v ~= (version or v) then wrong = "joined" end
		if r ~= (run or r) and c.path:find("^/once") then wrong = "of two runs" end
		last, version, run = last + 1, v, r
		return ""
	end)
	if closed and not reset then
		old.whole = old.whole + (last == EVENTS and 1 or 0)
		if last ~= EVENTS then wrong = "early" end
		if rest ~= "" then wrong = "torn" end
	else
		old.cut = old.cut + 1
	end
	if not wrong then return end
	old.faulty[#old.faulty + 1] = string.format("%s at %s, %s: %s to %d, at %d, %d bytes more", c.id, c.node, c.path, wrong, last, wall_ms(), #rest)
end

local function turn_old(more)
	for i = #old.open, 1, -1 do
		local c = old.open[i]
		if not c.slow or math.random(12) == 1 then
			local bytes, closed, reset = raw_read(c.fd, 0)
			c.bytes = c.bytes .. bytes
			if closed or now_ms() >= c.till then
				raw_close(c.fd)
				table.remove(old.open, i)
				judge_old(c, closed, reset)
			end
		end
	end
	for _ = #old.open + 1, more and OLD_OPEN or 0 do
		if math.random(8) == 1 then open_old() end
	end
end

-- What is due now, and a short wait.
local function turn(now)
	check_in(engines, now)
	lift(now)
	for _, g in ipairs(f.gateways) do mend(g, now) end
	sleep_ms(20)
end

local function every(min_ms, max_ms, act)
	return { min_ms = min_ms, max_ms = max_ms, act = act }
end

local kinds = {
	told = { troubled = true, every(600, 2400, hurt_one) },
	nodes = { every(600, 2400, hurt_one) },
	all_killed = { every(600, 2400, hurt_one_or_all) },
	replaced = { troubled = true, every(600, 2400, again(true)), every(600, 2400, hurt_one_or_all) },
	same_id = { troubled = true, every(200, 800, again(false)) },
	same_id_sound = { every(200, 800, again(false)) },
	same_id_often = { troubled = true, leave = LEAVE, every(600, 2400, again(false)) },
	same_id_nodes = { troubled = true, leave = LEAVE, every(600, 2400, again(false)), every(600, 2400, hurt_one) },
	same_id_all_killed = { troubled = true, leave = LEAVE, every(600, 2400, again(false)), every(600, 2400, hurt_one_or_all) },
	ends = { leave = LEAVE, every(600, 2400, again(false)) },
	ends_renamed = { leave = LEAVE, every(600, 2400, again(true)) },
	same_id_leave = { leave = LEAVE, every(200, 800, again(false)) },
	cut = { every(600, 2400, cut_two) },
	woken = { troubled = true, leave = LEAVE, load = { silence_ms = 400 }, every(1500, 3500, pause_and_start), every(600, 2400, again(false)) },
	woken_renamed = { troubled = true, leave = LEAVE, load = { silence_ms = 400 }, every(1500, 3500, pause_and_start), every(600, 2400, again(true)) },
	twice = { troubled = true, leave = 0.8, load = { twice = 1 }, every(600, 2400, again(false)), every(600, 2400, hurt_one) },
	back = { troubled = true, leave = 0.8, load = { back = 0.7 }, every(600, 2400, again(false)), every(600, 2400, hurt_one_or_all) },
	losses = { troubled = true, leave = 0.6, load = { back = 0.3, twice = 0.3, silence_ms = 400 }, every(600, 2400, again(false)), every(600, 2400, hurt_one_or_all), every(600, 2400, cut_two) },
	old_ends = { old = true, leave = LEAVE, every(200, 800, again(false)) },
	old_nodes = { old = true, troubled = true, leave = LEAVE, every(600, 2400, again(false)), every(600, 2400, hurt_one_or_all) },
	old_relay = { relays = true, old = true, leave = LEAVE, every(500, 1000, cut_off_one), every(600, 2400, hurt_on_relay), every(600, 2400, again(false)) },
	relay = { relays = true, leave = LEAVE, every(500, 1000, cut_off_one), every(600, 2400, hurt_on_relay) },
	relay_replaced = { relays = true, troubled = true, leave = LEAVE, load = { twice = 0.3 }, every(500, 1000, cut_off_one), every(600, 2400, hurt_on_relay), every(600, 2400, again(false)) },
}
local serial = 0

local function start_load(ms, o, more)
	for k, v in pairs(more or {}) do o[k] = v end
	serial = serial + 1
	o.to, o.duration_ms, o.seed = callers_of(f), ms, upstream_options.seed * 1000 + serial
	o.timeout_ms, o.tries, o.pause_ms = PATIENCE_MS, TRIES, PAUSE_MS
	o.slow, o.events, o.marked, o.distinct, o.stride = SLOW, EVENTS, "", "", stride
	return start_callers(f, o)
end

local function is_over(load) return read_file(load.path .. ".out") ~= "" end

local function play(name, kind, ms)
	trouble(engines, kind.troubled and "troubled" or "")
	old = kind.old and { open = {}, sent = 0, whole = 0, cut = 0, refused = 0, faulty = {} }
	local loads = { start_load(ms, { path = "/stream/long", rate = RATE, resume = "", leave = kind.leave or 0 }, kind.load),
			start_load(ms, { path = "/once/stream/long", rate = ONCE_RATE }) }
	local ends, next_at = now_ms() + ms, {}
	while now_ms() < ends do
		local now = now_ms()
		for i, e in ipairs(kind) do
			if now >= (next_at[i] or 0) then
				if next_at[i] then e.act() end
				next_at[i] = now_ms() + e.min_ms + math.random(e.max_ms - e.min_ms)
			end
		end
		turn(now)
		if old then turn_old(true) end
	end
	for _, g in ipairs(f.gateways) do g.back_at = 0 end
	while not (is_over(loads[1]) and is_over(loads[2])) or (old and #old.open > 0) do
		turn(now_ms())
		if old then turn_old(false) end
	end
	return finish_callers(loads[1]), finish_callers(loads[2])
end

-- Streams that another node has helped with.
local function relayed()
	local n = 0
	for _, g in ipairs(f.gateways) do
		n = n + select(2, log_of(g):gsub("event=request%.end [^\n]*route=r/[a-z/]*stream/ [^\n]* via=%d", ""))
	end
	return n
end

local function judge_order(name, kind, a, once)
	local n = {}
	for _, k in ipairs { "sent", "whole", "joined", "mixed", "disordered", "torn", "early", "refused", "failed" } do
		n[k] = a[k] + once[k]
	end
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end (%.2f), %d joined, %d of two runs, "
			    .. "%d disordered, %d torn, %d early, %d refused, %d broken (%d that may be resumed), %d left midway",
			    name, n.sent, n.whole, a.resumed, a.resumed_whole, a.resumed > 0 and a.resumed_whole / a.resumed or 0,
			    n.joined, n.mixed, n.disordered, n.torn, n.early, n.refused, n.failed, a.failed, a.left))
	local more = kind.load or {}
	check(a.seconds > 0 or not (more.twice or more.silence_ms), "%s: nobody came beside another caller", name)
	check(a.backed > 0 or not more.back, "%s: no try named an earlier event", name)
	check(not kind.relays or relayed() > 0, "%s: no node helped with a stream", name)
	if kind.relays then print(string.format("%s: nodes helped with %d streams", name, relayed())) end
	if a.seconds + a.backed > 0 then
		print(string.format("%s: %d came beside another caller, %d tries named an earlier event", name, a.seconds, a.backed))
	end
	if old then
		print(string.format("%s: %d streams over HTTP/1.0, %d whole, %d cut, %d refused, %d wrong", name, old.sent, old.whole, old.cut,
				    old.refused, #old.faulty))
		check(#old.faulty == 0, "%s: %d of %d streams over HTTP/1.0 are wrong", name, #old.faulty, old.sent)
		check(old.whole > 0, "%s: no stream over HTTP/1.0 came whole", name)
	end
	for _, list in ipairs { a.faulty, once.faulty, old and old.faulty or {} } do
		for _, text in ipairs(list) do print("  " .. text) end
	end
	check(n.joined == 0, "%s: %d of %d streams hold events of two versions", name, n.joined, n.sent)
	check(n.mixed == 0, "%s: %d of %d streams hold events of two runs", name, n.mixed, n.sent)
	check(n.disordered == 0, "%s: %d events out of order", name, n.disordered)
	check(n.torn == 0, "%s: %d events not whole", name, n.torn)
	check(n.early == 0, "%s: %d of %d streams ended as whole before the last event", name, n.early, n.sent)
	check(n.whole > 0, "%s: no stream came whole", name)
	check(a.resumed > 0, "%s: no stream was taken up", name)
end

local chosen = os.getenv("KCF_PLAY")
expect(not chosen or kinds[chosen], "no such play: %s", chosen)
local ms = 1000 * (chosen and PLAY_S or play_s or MIX_S)
for _ = 1, 100 do turn(now_ms()) end
for _, name in ipairs(chosen and { chosen } or plays or { "told", "replaced", "cut" }) do
	judge_order(name, kinds[name], play(name, kinds[name], ms))
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
