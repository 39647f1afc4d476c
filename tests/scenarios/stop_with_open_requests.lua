-- Guards against a node that aborts when it has to exit while requests are open, and against requests that it leaves without an answer.
dofile(scenarios .. "/gateway_words.lua")

-- Exits by itself, well before the platform would kill it.
local function check_end(n, stopped, within_ms, log)
	local status = wait_exit(n, within_ms + 3000)
	local ms = now_ms() - stopped
	expect(status == 0, "%s ended with status %s: %s", n.name, status, log())
	expect(ms < within_ms, "%s ended after %d ms", n.name, ms)
	local text = log()
	expect(text:find("event=node.stop ", 1, true), "%s: the last log line is missing", n.name)
	expect(not text:find("Fatal error", 1, true), "%s: %s", n.name, text:match("Fatal error[^\n]*"))
end

-- A gateway.
do
	local STOP_S = 4
	local f = start_site { stop_s = STOP_S, engine = { gap_ms = 200, events = 200 } }
	configure(f, 2, {
		route("/hold/", "non_idempotent", "counter", { max_attempts = 1, timeout_ms = 20000 }),
		route("/safe/", "idempotent", "counter", { timeout_ms = 20000 }),
		route("/once/stream/", "streaming", "engines", { max_attempts = 1, timeout_ms = 20000 }) })
	local g = f.gateways[1]
	wait_for("the routes are in force", 4000, function() return log_of(g):find("event=config.in_force version=2", 1, true) end)
	everywhere({ f["counter-1"], f["counter-2"] }, "hang", -1)
	local id = fresh_id()
	local held = http_start {
		ask(g, "/hold/x", { id = id, left = 15000, timeout_ms = 15000 }),
		ask(g, "/safe/x", { left = 15000, timeout_ms = 15000 }),
		ask(g, "/once/stream/x", { left = 15000, timeout_ms = 15000 }),
	}
	local half = raw_open(g.callers, "POST /safe/half HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 15000\r\nAttempt-Id: " .. fresh_id() .. "\r\nContent-Length: 10\r\n\r\nfirst")
	local unread = raw_open(g.callers, "POST /once/stream/y HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 15000\r\nAttempt-Id: " .. fresh_id() .. "\r\nContent-Length: 0\r\n\r\n")
	sleep_ms(500)
	local stopped = now_ms()
	stop(g)
	local answers = http_finish(held)
	for i = 1, 2 do
		expect(answers[i].status == 502 and not answers[i].err, "open request %d: %s %s", i, answers[i].status, answers[i].err)
		expect(json_decode(answers[i].body).ran == "unknown", "open request %d: %s", i, answers[i].body)
	end
	expect(answers[3].status == 200 and answers[3].err, "an open stream looked whole")
	check_end(g, stopped, STOP_S * 1000, function() return log_of(g) .. read_file(f.dir .. "/" .. g.name .. ".err") end)
	expect(log_of(g):find("event=request.end request=" .. id .. ' outcome="node has stopped" status=502', 1, true), "the log does not tell the reason")
	expect(runs_of(f, id) == 1, "%d runs", runs_of(f, id))
	raw_close(half)
	raw_close(unread)
	for _, other in ipairs(f.gateways) do
		if other ~= g then kill(other) end
	end
	for _, r in ipairs(f.runners) do kill(r) end
	kill(f.store)
end

-- A node with owners.
do
	local DRAIN_S = 3
	local f = start_fleet { nodes = 3, drain_s = DRAIN_S, engine = { token_ms = 100 } }
	local n = f.nodes[1]
	for _, s in ipairs(f.services) do fault(s, { hang = 1 }) end
	local held = http_start {
		call_request(n, PLAIN, "GET", "/boats", { deadline_ms = 15000, timeout_ms = 15000 }),
		call_request(f.nodes[2], PLAIN, "GET", "/boats", { deadline_ms = 15000, timeout_ms = 15000 }),
		chat_request(n, { chat = "open", stream = true, tokens = 400, deadline_ms = 15000, timeout_ms = 15000 }),
		{ url = operators_url(n) .. "/v1/resources/Customer?watch=1", timeout_ms = 15000 },
	}
	sleep_ms(800)
	local stopped = now_ms()
	stop(n)
	-- The time to detect it and the checks of a leave come on top.
	check_end(n, stopped, DRAIN_S * 1000 + 1500, function() return read_file(n.logfile) end)
	for _, s in ipairs(f.services) do fault(s, { hang = 0 }) end
	local answers = http_finish(held)
	expect(answers[1].status == 502 and not answers[1].err, "open call: %s %s", answers[1].status, answers[1].err)
	expect(problem(answers[1]).ran == "unknown", "open call: %s", answers[1].body)
	expect(answers[3].status == 200 and answers[3].err, "an open stream looked whole")
end
