-- Guards against requests that change, run twice, are lost or outlive their callers on their way through another node.
dofile(scenarios .. "/gateway_words.lua")
local LEFT_BY_MS, EVENTS, GAP_MS, LONG_MS = 500, 20, 100, 8000

local f = start_site { gateways = 4, engine = { events = EVENTS, gap_ms = GAP_MS }, each = function(f)
	for _, g in ipairs(f.gateways) do g.source = g.callers:match("[%d.]+") end
end }
configure(f, 2, { route("/safe/", "idempotent", "counter", { timeout_ms = LONG_MS }),
		  route("/hold/", "non_idempotent", "counter", { timeout_ms = LONG_MS, max_attempts = 1 }),
		  route("/stream/", "streaming", "engines", { timeout_ms = LONG_MS, stream_resume = true }),
		  route("/once/stream/", "streaming", "engines", { timeout_ms = LONG_MS, max_attempts = 1 }) })
local g1, g2 = f.gateways[1], f.gateways[2]
local others = { g2, f.gateways[3], f.gateways[4] }
local counters = { f["counter-1"], f["counter-2"] }
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }
for _, g in ipairs(f.gateways) do
	wait_for("the routes are in force", 4000, function() return log_of(g):find("event=config.in_force version=2", 1, true) end)
end

local function set_cut(g, how)
	for _, r in ipairs(f.runners) do
		local a = http { method = "POST", url = "http://" .. r.address .. "/cut", body = json_encode { source = g.source, how = how } }
		expect(a.status == 200, "a cut was not made")
	end
end

-- Requests at the other nodes, whose answers they report.
local function stir()
	local list = {}
	for _ = 1, 2 do
		for _, g in ipairs(others) do
			if not g.gone then list[#list + 1] = ask(g, "/safe/stir", { left = 1000, timeout_ms = 1000 }) end
		end
	end
	http_all(list)
end

local function is_cut() return json_decode(http { url = "http://" .. g1.admin .. "/v1/status" }.body).reach == "cut" end

local function cut_off()
	wait_for("the node knows that it is cut", 6000, function()
		stir()
		send(g1, "/safe/first", { left = 500, timeout_ms = 700 })
		return is_cut()
	end)
end

local function arrival_of(id)
	for _, r in ipairs(f.runners) do
		for _, a in ipairs(seen(r).arrivals) do
			if a.id == id then return a end
		end
	end
end

-- The node that helps with a request, by the log of the one that asks.
local function open_requests(g)
	return tonumber(http { url = "http://" .. g.admin .. "/metrics" }.body:match("\nkcf_open_requests (%d+)"))
end

-- Without this, an answer to stir() that has just ended may be taken for the request of interest.
local function none_open()
	wait_for("no request is open", 2000, function()
		for _, g in ipairs(others) do
			if not g.gone and open_requests(g) > 0 then return false end
		end
		return true
	end)
end

local function helper_of(id)
	local name
	wait_for("the helping node is known", 2000, function()
		for _, g in ipairs(others) do
			if open_requests(g) > 0 then name = g end
		end
		return name
	end)
	return name
end

local function stream_of(id, from)
	local text = ""
	for i = from, EVENTS do text = text .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	return text
end

set_cut(g1, "reset")
cut_off()

-- The same request, once, and whose it was.
do
	local id = fresh_id()
	local r = send(g1, "/hold/a%20b?x=1&y=%2f", { id = id, body = "body of\r\n\r\nbytes", headers = { ["X-Own"] = "kept", ["X-Kcf-Relay"] = "callers'" } })
	expect(r.status == 200, "not served: %s %s", r.status, r.body)
	local a = arrival_of(id)
	expect(a and a.target == "/hold/a%20b?x=1&y=%2f" and a.method == "POST" and a.body == "body of\r\n\r\nbytes", "it changed: %s", a and json_encode(a))
	expect(a["X-Own"] == "kept" and a.Tenant == "acme" and not a["X-Api-Key"], "headers: %s", json_encode(a))
	expect(a.from ~= g1.source and tonumber(a["Deadline-Ms"]) <= 2500 and tonumber(a["Deadline-Ms"]) > 2000, "from, time left: %s", json_encode(a))
	expect(runs_of(f, id) == 1, "%d runs", runs_of(f, id))
	wait_for("both nodes log it", 2000, function()
		local text, line = "", "event=request.end request=" .. id:gsub("%-", "%%-") .. "[^\n]* "
		for _, g in ipairs(others) do text = text .. log_of(g) end
		return log_of(g1):find(line .. "via=[%d.:]+ relayed_by=%- ") and text:find(line .. "via=%- relayed_by=g1 ")
	end)
end

-- What callers send to the address for nodes goes nowhere.
do
	local order = string.format("%s %d %s 0 0 0 0 g1", string.rep("0", 32), wall_ms(), string.rep("a", 16))
	for _, value in ipairs { "", "x", order, order .. string.rep("g", 300) } do
		local id = fresh_id()
		local q = ask(g2, "/hold/forged", { id = id, headers = { ["X-Kcf-Relay"] = value } })
		q.url = "http://" .. g2.peers .. "/hold/forged"
		local r = http(q)
		expect(r.status == 403, "a caller got %s", r.status)
		expect(not arrival_of(id), "a caller's request was sent on")
	end
	expect(send(g1, "/safe/x", { key = "no-key" }).status == 401, "an unknown key")
end

-- A caller that leaves ends the work, also behind another node.
do
	everywhere(counters, "hang", 1)
	local before = aborted(counters)
	send(g1, "/safe/leave", { timeout_ms = 200 })
	wait_for("the runner is told", LEFT_BY_MS, function() return aborted(counters) > before end)
	everywhere(counters, "", 0)
	stir()
	before = aborted(engines)
	local r = send(g1, "/stream/leave", { timeout_ms = 500 })
	expect(r.body:find("id: 1\n", 1, true), "no event had come when the caller left: %q", r.body)
	wait_for("the runner is told of a stream", LEFT_BY_MS, function() return aborted(engines) > before end)
end

-- A refusal is passed on as it is.
do
	stir()
	everywhere(counters, "shed", -1)
	local id = fresh_id()
	local r = send(g1, "/hold/shed", { id = id })
	everywhere(counters, "", 0)
	expect(r.status == 503 and (r.headers["Retry-After"] or r.headers["retry-after"]), "refused: %s", r.status)
	expect(runs_of(f, id) == 0, "a request that was refused ran")
	stir()
	everywhere(counters, "error", -1)
	r = send(g1, "/hold/error")
	everywhere(counters, "", 0)
	expect(r.status == 500, "an upstream's error: %s", r.status)
end

-- A stream whole, and one that is taken up.
do
	stir()
	local id = fresh_id()
	local r = send(g1, "/stream/whole", { id = id, left = LONG_MS })
	expect(r.status == 200 and r.body == stream_of(id, 1), "a stream: %s %s %q", r.status, r.err, r.body)
	stir()
	local next_id = fresh_id()
	r = send(g1, "/stream/whole", { id = next_id, left = LONG_MS, headers = { ["Last-Event-Id"] = "7", Resumes = id } })
	expect(r.status == 200 and r.body == stream_of(next_id, 8), "taken up: %s %s %q", r.status, r.err, r.body)
	local a = arrival_of(next_id)
	expect(a["Last-Event-Id"] == "7" and a.Resumes == id, "taken up: %s", json_encode(a))
end

-- The helping node dies: what may run once is not sent again, the rest goes on.
do
	stir()
	everywhere(counters, "hang", 1)
	local held = fresh_id()
	none_open()
	local h = http_start { ask(g1, "/hold/lost", { id = held, left = LONG_MS, timeout_ms = LONG_MS }) }
	local helper = helper_of(held)
	kill(helper)
	helper.gone = true
	local a = http_finish(h)[1]
	everywhere(counters, "", 0)
	expect(a.status == 502, "a lost request: %s", a.status)
	expect(runs_of(f, held) <= 1, "it ran %d times", runs_of(f, held))
	start_gateway(f, helper)
	wait_for("the node is ready again", 8000, function() return is_ready(helper) end)
	helper.gone = nil
	wait_for("it reports again", 5000, function()
		stir()
		return send(g1, "/safe/again").status == 200
	end)

	local id = fresh_id()
	none_open()
	h = http_start { ask(g1, "/stream/lost", { id = id, left = LONG_MS, timeout_ms = LONG_MS }) }
	sleep_ms(400)
	helper = helper_of(id)
	kill(helper)
	helper.gone = true
	a = http_finish(h)[1]
	expect(a.status == 200 and not a.err and a.body == stream_of(id, 1), "a stream did not go on: %s %s %q", a.status, a.err, a.body)
	start_gateway(f, helper)
	wait_for("the node is ready again", 8000, function() return is_ready(helper) end)
	helper.gone = nil
end

-- Planned stops of the helping node, then of the one that is cut.
do
	for _ = 1, 5 do stir() end
	local id = fresh_id()
	local h = http_start { ask(g1, "/once/stream/stop", { id = id, left = LONG_MS, timeout_ms = LONG_MS }) }
	sleep_ms(300)
	local helper = helper_of(id)
	stop(helper)
	helper.gone = true
	local a = http_finish(h)[1]
	expect(a.status == 200 and not a.err and a.body == stream_of(id, 1), "a stream was lost at a stop: %s %s %q", a.status, a.err, a.body)
	expect(wait_exit(helper, f.stop_s * 1000) == 0, "the stop failed")
	stir()
	expect(is_cut(), "the node is not cut any more")
	id = fresh_id()
	h = http_start { ask(g1, "/once/stream/stop", { id = id, left = LONG_MS, timeout_ms = LONG_MS }) }
	sleep_ms(300)
	stop(g1)
	a = http_finish(h)[1]
	expect(a.status == 200 and not a.err and a.body == stream_of(id, 1), "a stream was lost at the stop of its node: %s %s %q", a.status, a.err, a.body)
	expect(wait_exit(g1, f.stop_s * 1000) == 0, "the stop failed")
end
