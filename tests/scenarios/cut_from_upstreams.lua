-- Guards against nodes that lose their links to all upstreams and serve their callers far worse than the others.
dofile(scenarios .. "/gateway_words.lua")
local CALM_MS, CUT_MS, COUNTED_FROM_MS, EVERY_MS = 1000, 7000, 3000, 100
local LIMIT_MS, LATE_MS, BACK_MS = 1500, 500, 3000
local EVENTS, STREAM_EACH, BACK_ASKS = 6, 5, 5
local promised = { [408] = true, [421] = true, [429] = true, [503] = true }

local f = start_site { gateways = 4, engine = { events = EVENTS, gap_ms = 100 }, each = function(f)
	for i = 3, 4 do start_runner(f, "counter-" .. i, "counter", "dc-" .. i - 2) end
	for i, g in ipairs(f.gateways) do
		g.dc = i <= 2 and "dc-1" or "dc-2"
		g.source = g.callers:match("[%d.]+")
	end
end }
configure(f, 2, { route("/safe/", "idempotent", "counter", { timeout_ms = LIMIT_MS }),
		  route("/hold/", "non_idempotent", "counter", { timeout_ms = LIMIT_MS, max_attempts = 1 }),
		  route("/stream/", "streaming", "engines", { timeout_ms = LIMIT_MS, stream_resume = true }) })
sleep_ms(2000)
local g1, g2, g3, g4 = table.unpack(f.gateways)

local cases = {
	{ name = "one node, silent", cut = { g1 }, how = "silent" },
	{ name = "one node, reset", cut = { g1 }, how = "reset" },
	{ name = "a data centre, silent", cut = { g1, g2 }, how = "silent", knock = true },
	{ name = "a data centre, reset", cut = { g1, g2 }, how = "reset" },
	{ name = "a data centre, new connections refused", cut = { g1, g2 }, how = "new_refused" },
	{ name = "a data centre, one way", cut = { g1, g2 }, how = "one_way" },
	{ name = "three of four, silent", cut = { g1, g2, g3 }, how = "silent" },
	{ name = "three of four, reset", cut = { g1, g2, g3 }, how = "reset" },
	{ name = "a node that starts inside the cut, silent", cut = { g1 }, how = "silent", starts = g1 },
	{ name = "a data centre, silent, store away", cut = { g1, g2 }, how = "silent", store_away = true },
	{ name = "a data centre, reset, a helping node stops", cut = { g1, g2 }, how = "reset", stops = g3 },
}

local failures = {}
local function want(ok, fmt, ...)
	if not ok then failures[#failures + 1] = string.format(fmt, ...) end
end

local function set_cuts(nodes, how)
	local list = {}
	for _, r in ipairs(f.runners) do
		for _, g in ipairs(nodes) do
			list[#list + 1] = { method = "POST", url = "http://" .. r.address .. "/cut",
					    body = json_encode { source = g.source, how = how } }
		end
	end
	for _, a in ipairs(http_all(list)) do expect(a.status == 200, "a cut was not made: %s", a.err or a.status) end
end

-- What ran where: runs and the nodes they came from, by request.
local function all_seen()
	local runs, from = {}, {}
	for _, r in ipairs(f.runners) do
		local s = seen(r)
		for id, n in pairs(s.runs) do runs[id] = (runs[id] or 0) + n end
		for _, a in ipairs(s.arrivals) do from[a.id] = a.from end
	end
	return runs, from
end

local function stream_of(id)
	local text = ""
	for i = 1, EVENTS do text = text .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	return text
end

-- Requests of one moment, at each of the nodes.
local function start_batch(nodes, serial, at)
	local b = { asked = {} }
	local list = {}
	for _, g in ipairs(nodes) do
		for _, path in ipairs { "/safe/x", "/hold/x", serial % STREAM_EACH == 0 and "/stream/x" or nil } do
			local id = fresh_id()
			b.asked[#b.asked + 1] = { id = id, path = path, node = g, at = at }
			list[#list + 1] = ask(g, path, { id = id, left = LIMIT_MS, timeout_ms = LIMIT_MS + 2 * LATE_MS })
		end
	end
	b.handle = http_start(list)
	return b
end

local function finish_batch(b, done)
	for i, r in ipairs(http_finish(b.handle)) do
		b.asked[i].answer = r
		done[#done + 1] = b.asked[i]
	end
end

local function without(nodes, other)
	local list = {}
	for _, g in ipairs(nodes) do
		if g ~= other then list[#list + 1] = g end
	end
	return list
end

-- The way between nodes is not for callers; these have no valid MAC.
local wrong_keys = { {}, { Authorization = "Bearer " .. string.rep("0", 64) },
		     { Mac = string.rep("0", 64), ["X-Peer-Mac"] = string.rep("0", 64) } }
local function knock()
	local list = {}
	for _, g in ipairs(f.gateways) do
		for _, headers in ipairs(wrong_keys) do
			for _, path in ipairs { "/safe/knock", "/hold/knock", "/" } do
				local q = ask(g, path, { headers = headers, timeout_ms = 500 })
				q.url = "http://" .. g.peers .. path
				list[#list + 1] = q
			end
		end
	end
	local answers = http_all(list)
	local _, from = all_seen()
	for i, q in ipairs(list) do
		want(answers[i].status ~= 200, "a caller was served at the address for nodes")
		want(not from[q.headers["Attempt-Id"]], "a caller's request at the address for nodes reached an upstream")
	end
end

local function begin_cut(case)
	set_cuts(case.cut, case.how)
	if case.store_away then fault(f.store, { silent = true }) end
	if case.starts then
		kill(case.starts)
		start_gateway(f, case.starts)
	end
end

-- Callers before and during a cut; gives their requests with the answers.
local function play(case)
	local began, serial, open, done = now_ms() + CALM_MS, 0, {}, {}
	local first, nodes = now_ms(), f.gateways
	local is_cut, stopped, knocked = false, false, not case.knock
	while now_ms() < began + CUT_MS do
		if not is_cut and now_ms() >= began then
			is_cut = true
			begin_cut(case)
		end
		local at = now_ms() - began
		if case.stops and not stopped and at >= COUNTED_FROM_MS + 500 then
			stop(case.stops)
			stopped = true
		end
		-- Callers leave a node before its planned stop.
		if case.stops and at >= COUNTED_FROM_MS then nodes = without(f.gateways, case.stops) end
		if not knocked and at >= COUNTED_FROM_MS + 1000 then
			knocked = true
			knock()
		end
		open[#open + 1] = start_batch(nodes, serial, at)
		serial = serial + 1
		while #open > (LIMIT_MS + 2 * LATE_MS) // EVERY_MS do finish_batch(table.remove(open, 1), done) end
		sleep_ms(math.max(0, first + serial * EVERY_MS - now_ms()))
	end
	for _, b in ipairs(open) do finish_batch(b, done) end
	set_cuts(case.cut, "")
	return done
end

local function judge(case, done)
	local is_cut, sent, served = {}, { cut = 0, other = 0 }, { cut = 0, other = 0 }
	local by_path, statuses, latest = {}, {}, 0
	local runs, from = all_seen()
	for _, g in ipairs(case.cut) do is_cut[g] = true end
	for _, q in ipairs(done) do
		local r, ran = q.answer, runs[q.id] or 0
		local stream = q.path == "/stream/x"
		local whole = r.status == 200 and not r.err and (not stream or r.body == stream_of(q.id))
		if q.path == "/hold/x" then
			want(ran <= 1, "%s: a request that may run once ran %d times (answer %s)", case.name, ran, r.status)
		end
		want(not promised[r.status] or ran == 0, "%s: %s was answered %s and ran", case.name, q.path, r.status)
		-- A node that was killed and is not back yet answers nothing.
		if not case.starts or q.node ~= case.starts or q.at >= COUNTED_FROM_MS then
			want(r.ms <= LIMIT_MS + LATE_MS, "%s: an answer of %s came after %d ms", case.name, q.path, r.ms)
		end
		if stream and r.status == 200 then
			want(stream_of(q.id):sub(1, #r.body) == r.body, "%s: events lost, twice or out of order: %q", case.name, r.body)
			want(r.err or #r.body == #stream_of(q.id), "%s: a stream ended early and looked whole: %q", case.name, r.body)
		end
		if q.at < -LIMIT_MS // 2 then want(whole, "%s: not served before the cut: %s", case.name, r.status) end
		if q.at >= COUNTED_FROM_MS then
			local where = is_cut[q.node] and "cut" or "other"
			sent[where] = sent[where] + 1
			served[where] = served[where] + (whole and 1 or 0)
			if where == "cut" then
				local p = by_path[q.path] or { 0, 0 }
				by_path[q.path] = { p[1] + (whole and 1 or 0), p[2] + 1 }
				local s = whole and 200 or r.status ~= 200 and r.status ~= 0 and r.status or "none"
				statuses[s] = (statuses[s] or 0) + 1
				latest = math.max(latest, r.ms)
			end
		end
	end
	local text = ""
	for path, p in pairs(by_path) do text = text .. string.format(" %s %d of %d", path, p[1], p[2]) end
	for s, n in pairs(statuses) do text = text .. string.format(" [%s]=%d", s, n) end
	say("%s: cut nodes %d of %d, others %d of %d; cut nodes:%s, latest %d ms", case.name, served.cut, sent.cut, served.other,
	    sent.other, text, latest)
	local failed = sent.cut - served.cut
	expect(sent.cut > 0 and sent.other > 0, "no requests")
	want(not (served.cut / sent.cut < 2 / 3 * served.other / sent.other and failed > 10 + sent.cut / 50),
	     "%s: served at cut nodes %d of %d, others %d of %d", case.name, served.cut, sent.cut, served.other, sent.other)
	want(served.cut >= 0.9 * sent.cut, "%s: under 0.9 served at cut nodes, %d of %d", case.name, served.cut, sent.cut)
	want(served.other >= 0.9 * sent.other, "%s: under 0.9 served at the others, %d of %d", case.name, served.other, sent.other)
end

-- The formerly cut nodes reach upstreams by themselves again.
local function come_back(case, lifted)
	local waiting = { table.unpack(case.cut) }
	while #waiting > 0 and now_ms() < lifted + BACK_MS do
		local list, left = {}, {}
		for i = 0, #waiting * BACK_ASKS - 1 do
			list[i + 1] = ask(waiting[i // BACK_ASKS + 1], "/safe/back", { left = 500, timeout_ms = 700 })
		end
		local answers = http_all(list)
		local _, from = all_seen()
		for i, g in ipairs(waiting) do
			local direct = 0
			for n = (i - 1) * BACK_ASKS + 1, i * BACK_ASKS do
				local came_from = from[list[n].headers["Attempt-Id"]]
				if answers[n].status == 200 and came_from == g.source then direct = direct + 1 end
			end
			if direct < BACK_ASKS then left[#left + 1] = g end
		end
		waiting = left
		sleep_ms(50)
	end
	say("%s: back after %d ms", case.name, now_ms() - lifted)
	for _, g in ipairs(waiting) do want(false, "%s: %s does not serve directly %d ms after the cut", case.name, g.name, BACK_MS) end
end

for _, case in ipairs(cases) do
	local done = play(case)
	local lifted = now_ms()
	if case.store_away then fault(f.store, { silent = false }) end
	come_back(case, lifted)
	judge(case, done)
	if case.stops then
		local status = wait_exit(case.stops, f.stop_s * 1000)
		want(status == 0, "%s: the stop ended with %s", case.name, status)
		start_gateway(f, case.stops)
		wait_for("the node is ready again", 5000, function() return is_ready(case.stops) end)
	end
end
knock()
for i, text in ipairs(failures) do
	if i <= 60 then say("%s", text) end
end
expect(#failures == 0, "%d expectations failed, the first: %s", #failures, failures[1])
