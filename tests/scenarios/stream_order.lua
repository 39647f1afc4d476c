-- Guards against streams whose callers miss an event, get one twice or torn, get events of two versions or (on a route
-- that may not be resumed) of two runs, or see an end as whole before the last event.
-- KCF_PLAY: one kind alone, for KCF_PLAY_S seconds. plays: the kinds that are played else. gateways: number of nodes.
-- upstreams: number of each version. unframed: of a hundred answers of upstreams, have neither length nor chunks. play_s: time of each play. KCF_UNNAMED: upstreams do not name their start. KCF_GATEWAYS,
-- KCF_UPSTREAMS: numbers of nodes, and of upstreams of each version. KCF_UNFRAMED, KCF_CLOCK_BACK_MS: as unframed, and
-- clock_back_max_ms of version_words; KCF_CLOCK: as clock there. KCF_STRIDE: as id_stride, between the ids of two events.
-- KCF_RUNNER: as more_options, further options of upstreams, as "unread=50,pieces=3". With the folder of an older build (--old DIR) each second
-- node is of that build.
-- KCF_SET: NAME=VALUE,... of play_options, which a scenario may set before: events, gap_ms, event_bytes of each stream; mode, report_ms of
-- the upstreams; coalesce ("loss", "all"), memory_mb, descriptors, descriptors_max (of the process) of each node; rate, slow, read_ms, rest_ms, rest_spread,
-- receive_bytes, body_bytes, patience_ms and loss (of 1000 packets) of the callers; timeout_ms and attempts of the routes.
play_options = play_options or {}
for k, v in (os.getenv("KCF_SET") or ""):gmatch("([%w_]+)=([^,]*)") do play_options[k] = tonumber(v) or v end
local set = play_options
local EVENTS = set.events or 16
if os.getenv("KCF_UNNAMED") then names_start = false end
gateways = tonumber(os.getenv("KCF_GATEWAYS")) or gateways
upstreams = tonumber(os.getenv("KCF_UPSTREAMS")) or upstreams
unframed = tonumber(os.getenv("KCF_UNFRAMED")) or unframed
clock_back_max_ms = tonumber(os.getenv("KCF_CLOCK_BACK_MS")) or clock_back_max_ms
clock = os.getenv("KCF_CLOCK") or clock
-- Each node reaches the store through a proxy of its own, in the kinds in which some are cut off from it.
local chosen = os.getenv("KCF_PLAY")
local proxied = chosen and (chosen:match("^apart") or chosen == "all_of_it")
local function start_proxy(f, g, i)
	local p = { address = address(6, i, 9200), control = address(6, i, 9201) }
	p.pid = spawn({ bin .. "/kcf-proxy", p.address, f.store.address, p.control }, f.dir .. "/proxy.log")
	g.proxy, g.store = p, p.address
end
local stride = tonumber(os.getenv("KCF_STRIDE")) or id_stride or 1
upstream_options = { stride = stride, events = EVENTS, gap_ms = set.gap_ms, event_bytes = set.event_bytes, report_ms = set.report_ms, big_bytes = 6000, marked = "", seed = tonumber(os.getenv("KCF_SEED") or "1") }
for k, v in pairs(more_options or {}) do upstream_options[k] = v end
for k, v in (os.getenv("KCF_RUNNER") or ""):gmatch("(%w+)=(%w+)") do upstream_options[k] = v end
if unframed then upstream_options.unframed = unframed end
local settings = ""
if set.coalesce then settings = string.format('[streams]\ncoalesce_ms = %d\ncoalesce_on = "%s"\n', set.coalesce_ms or 100, set.coalesce) end
site_options = { gateways = gateways or 4, more_settings = settings, each = function(f)
	for i, g in ipairs(f.gateways) do
		if set.memory_mb then g.node_settings = string.format("max_descriptors = %d\nmemory_mb = %d\n", set.descriptors or 4100, set.memory_mb) end
		g.descriptors_max = set.descriptors_max
		g.source = g.callers:match("[%d.]+")
		g.bin = i % 2 == 0 and old or nil
		if proxied then start_proxy(f, g, i) end
	end
end }
dofile(scenarios .. "/version_words.lua")
if set.coalesce or set.timeout_ms then
	local o = { timeout_ms = set.timeout_ms or 3000, target_itl_ms = 300 }
	local once = { max_attempts = 1 }
	for k, v in pairs(o) do once[k] = v end
	o.stream_resume = true
	o.max_attempts = set.attempts
	local list = routes()
	list[4], list[5] = route("/stream/", "streaming", "engines", o), route("/once/stream/", "streaming", "engines", once)
	configure(f, 2, list)
end
local PLAY_S, MIX_S = tonumber(os.getenv("KCF_PLAY_S") or "40"), 6
local RATE, ONCE_RATE, SLOW, LEAVE = set.rate or 26, (set.rate or 26) / 2, set.slow or 0.25, 0.4
local TRIES, PAUSE_MS, PATIENCE_MS = 12, 250, set.patience_ms or 7000
-- A write without an answer may be carried out this much later; an entry lapses; a node is cut off from the store.
local LATE_MAX_MS, LAPSE_MS, APART_MAX_MS = 6000, 3600, 6000
local STORE_CUTS = { "silent", "up", "down", "refuse", "delay 900" }
local CUTS = { "silent", "reset", "new_refused", "one_way" }

for _ = 4, upstreams or 3 do add("v1") end
for _ = 1, upstreams or 3 do add("v1.1") end
local engines = checking_in()
local cuts, troubled = {}, ""
-- Whether a copy of the store was taken; writes that are due; ids that were left, each with the time at which its entry lapses, or 0.
local copied, writes, gone = false, {}, {}

dofile(scenarios .. "/harm_words.lua")

-- Upstreams.

local function trouble(list, mode)
	for _, r in ipairs(list) do set_fault(r, mode, -1) end
	troubled = mode
end

local function again(renamed)
	return function()
		local r = engines[math.random(#engines)]
		if r.thaw_at or not may_start_again(engines, r) then return end
		note("%s ends", r.name)
		if renamed then gone[r.name] = 0 end
		start_again(r, renamed)
		note("%s answers, of %s", r.name, r.version)
		trouble({ r }, troubled)
	end
end

-- All of its streams stop, and go on.
local function freeze_one()
	local r = engines[math.random(#engines)]
	if r.thaw_at then return end
	freeze(r)
	r.thaw_at = now_ms() + 200 + math.random(2600)
	note("%s frozen", r.name)
end

local function thaw_upstreams(now)
	for _, r in ipairs(engines) do
		if r.thaw_at and now >= r.thaw_at then
			thaw(r)
			r.thaw_at = nil
			note("%s goes on", r.name)
		end
	end
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

-- The store: a copy of it is taken, and some seconds later it is as the copy was. What it has lost for good is removed again.

local function copy_or_restore()
	fault(f.store, copied and { restore = true } or { copy = true })
	note(copied and "restored" or "copied")
	if copied then
		for name, at in pairs(gone) do gone[name] = now_ms() + LAPSE_MS end
	end
	copied = not copied
end

local function lapse(now)
	for name, at in pairs(gone) do
		if at > 0 and now >= at then
			store_drop(f, "keyed.servers", name)
			gone[name] = 0
		end
	end
end

-- Writes of a start that the store carries out later, after its end.

local function late_writes(count)
	return function()
		local r = engines[math.random(#engines)]
		if not may_start_again(engines, r) then return end
		local before = { version = r.version, born = r.born, address = r.address, slot_count = 32 }
		local sequence, at = r.sequence, now_ms()
		note("%s ends", r.name)
		start_again(r, false)
		note("%s answers, of %s", r.name, r.version)
		trouble({ r }, troubled)
		for i = 1, math.random(count) do
			-- In the order of their counts, as one connection carries them.
			at = at + math.random(i == 1 and LATE_MAX_MS - 1000 or 1500)
			local fields = { sequence = sequence + i }
			for k, v in pairs(before) do fields[k] = v end
			writes[#writes + 1] = { at = at, r = r, fields = fields }
		end
	end
end

local announce_now = announce

local function write_late(now)
	for i = #writes, 1, -1 do
		local w = writes[i]
		if now >= w.at then
			table.remove(writes, i)
			announce_now(f, w.r, w.fields)
			note("%s late: %s of %d, %d", w.r.name, w.fields.version, w.fields.born, w.fields.sequence)
		end
	end
end

-- Of a hundred check-ins, are carried out late.
local late_percent = 0

function announce(f, r, fields)
	if late_percent == 0 or math.random(100) > late_percent then return announce_now(f, r, fields) end
	local copy, writer = { born = r.born }, { name = r.name, service = r.service, address = r.address, dc = r.dc }
	for k, v in pairs(fields) do copy[k] = v end
	writes[#writes + 1] = { at = now_ms() + 1000 + math.random(LATE_MAX_MS - 1000), r = writer, fields = copy }
end

-- Nodes that are cut off from the store.

local apart = {}

local function set_store(g, how)
	local fd = raw_open(g.proxy.control, how .. "\n")
	raw_read(fd, 200)
	raw_close(fd)
	note("%s and the store: %s", g.name, how)
end

local function cut_from_store()
	local g = f.gateways[math.random(#f.gateways)]
	local how = STORE_CUTS[math.random(#STORE_CUTS)]
	set_store(g, how)
	apart[g] = now_ms() + 600 + math.random(APART_MAX_MS - 600)
end

local function rejoin(now)
	for g, till in pairs(apart) do
		if now >= till then
			set_store(g, "pass")
			apart[g] = nil
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
	write_late(now)
	lapse(now)
	rejoin(now)
	lift(now)
	thaw_upstreams(now)
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
	calm = {},
	all = { troubled = true, leave = LEAVE, every(600, 2400, hurt_one_or_all), every(600, 2400, again(false)), every(1500, 3000, cut_two) },
	all_sound = { leave = LEAVE, every(600, 2400, hurt_one), every(600, 2400, again(false)) },
	frozen = { leave = LEAVE, every(600, 2400, freeze_one) },
	frozen_nodes = { leave = LEAVE, every(600, 2400, freeze_one), every(600, 2400, hurt_one), every(900, 2400, again(false)) },
	restored = { leave = LEAVE, every(600, 2400, again(false)), every(500, 4000, copy_or_restore) },
	restored_renamed = { leave = LEAVE, every(600, 2400, again(true)), every(500, 4000, copy_or_restore) },
	restored_nodes = { leave = LEAVE, every(600, 2400, again(false)), every(500, 4000, copy_or_restore), every(600, 2400, hurt_one_or_all) },
	late = { leave = LEAVE, every(600, 2400, late_writes(1)) },
	late_several = { leave = LEAVE, every(600, 2400, late_writes(4)) },
	late_nodes = { leave = LEAVE, every(600, 2400, late_writes(4)), every(600, 2400, hurt_one) },
	late_all = { leave = LEAVE, late = 40, every(600, 2400, again(false)), every(600, 2400, hurt_one) },
	apart = { leave = LEAVE, every(600, 2400, again(false)), every(600, 2400, cut_from_store) },
	apart_nodes = { leave = LEAVE, every(600, 2400, again(false)), every(600, 2400, cut_from_store), every(600, 2400, hurt_one) },
	apart_late = { leave = LEAVE, every(600, 2400, late_writes(4)), every(600, 2400, cut_from_store), every(600, 2400, hurt_one) },
	all_of_it = { leave = LEAVE, every(600, 2400, late_writes(4)), every(600, 2400, cut_from_store), every(600, 2400, hurt_one), every(500, 4000, copy_or_restore) },
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
	o.rest_ms, o.read_ms, o.rest_spread, o.receive_bytes, o.body_bytes = set.rest_ms, set.read_ms, set.rest_spread, set.receive_bytes, set.body_bytes
	o.env = set.loss and { "/usr/bin/env", "LD_PRELOAD=" .. bin .. "/kcf-source.so", "KCF_LOSS=" .. set.loss }
	return start_callers(f, o)
end

local function is_over(load) return read_file(load.path .. ".out") ~= "" end

local function play(name, kind, ms)
	trouble(engines, set.mode or kind.troubled and "troubled" or "")
	late_percent = kind.late or 0
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
	for _, r in ipairs(engines) do r.thaw_at = r.thaw_at and 0 end
	while not (is_over(loads[1]) and is_over(loads[2])) or (old and #old.open > 0) do
		turn(now_ms())
		if old then turn_old(false) end
	end
	for _, g in ipairs(f.gateways) do
		local status = read_file("/proc/" .. g.pid .. "/status")
		local stat = read_file("/proc/" .. g.pid .. "/stat"):gsub("^.*%) ", "")
		local n, ticks = 0, 0
		for w in stat:gmatch("%S+") do
			n = n + 1
			if n == 12 or n == 13 then ticks = ticks + tonumber(w) end
		end
		note("%s peak %s kB, size table %s descriptors, %d ms of processor time", g.name, status:match("VmHWM:%s+(%d+)"),
		     status:match("FDSize:%s+(%d+)"), ticks * 10)
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

expect(not chosen or kinds[chosen], "no such play: %s", chosen)
local ms = 1000 * (chosen and PLAY_S or play_s or MIX_S)
for _ = 1, 100 do turn(now_ms()) end
for _, name in ipairs(chosen and { chosen } or plays or { "told", "replaced", "cut" }) do
	judge_order(name, kinds[name], play(name, kinds[name], ms))
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
