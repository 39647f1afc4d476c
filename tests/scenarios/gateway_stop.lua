-- Planned stops and pauses under load: nothing is lost, and no node acts on
-- what it knew before a pause.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { engine = { gap_ms = 100, events = 12 } }
local leaving, other = f.gateways[2], f.gateways[1]
sleep_ms(4000) -- the directory of a node that has just started is empty below three nodes

-- Streams that run, and requests on connections that stay open.
local open = {}
for i = 1, 8 do open[i] = ask(leaving, i % 2 == 0 and "/stream/s" or "/once/stream/s", { left = 8000 }) end
local handle = http_start(open)
sleep_ms(300)
local stopped = now_ms()
stop(leaving)
wait_for("the stop is told", 1000, function() return not is_ready(leaving) end)
wait_for("the directory leaves it out", 1500, function() return #(lookup(other) or {}) == 2 end)
-- Callers with an older answer still come.
for _ = 1, 5 do
	local r = send(leaving, "/safe/late")
	expect(r.status == 200, "a late caller got %s", r.status)
	sleep_ms(200)
end
for _, r in ipairs(http_finish(handle)) do
	expect(r.status == 200 and not r.err, "a stream was lost: %s %s", r.status, r.err)
end
-- What could not end in time is refused as not run, at once. Callers that keep
-- coming keep the node up until then.
while now_ms() < stopped + 4800 do
	expect(send(leaving, "/safe/late", { left = 500 }).status == 200, "a short call before the end")
	sleep_ms(200)
end
local late = fresh_id()
local r = send(leaving, "/once/stream/late", { id = late, left = 8000 })
expect(r.status == 503 and r.ms < 300, "long after SIGTERM: %s after %d ms", r.status, r.ms)
expect(runs_of(f, late) == 0, "a refused request ran")
local status = wait_exit(leaving, 9000)
expect(status == 0, "exit status %s", status)
expect(log_of(leaving):find("event=node.stopping") and log_of(leaving):find("event=node.stop "), "stop is not in the log")

-- A request that was half read when the stop came is answered.
start_gateway(f, leaving)
wait_for("it is back", 5000, function() return is_ready(leaving) end)
local half = fresh_id()
local slow = raw_open(leaving.callers, "POST /safe/half HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
	"\r\nDeadline-Ms: 2000\r\nAttempt-Id: " .. half .. "\r\nContent-Length: 10\r\n\r\nfirst")
sleep_ms(300)
stop(leaving)
sleep_ms(4200)
raw_send(slow, "later")
local bytes = raw_read(slow, 600)
raw_close(slow)
expect(bytes:find("^HTTP/1.1 200"), "half read at the stop: %q", bytes)
expect(wait_exit(leaving, 9000) == 0, "it did not end")

-- Two nodes stop at once while the platform is away: what each of them has is
-- answered whole, and the one that is left serves by what it knows.
start_gateway(f, leaving)
local second = f.gateways[3]
wait_for("both are there", 5000, function() return is_ready(leaving) and is_ready(second) end)
freeze(f.store)
sleep_ms(500)
local both = {}
for _, g in ipairs { leaving, second } do
	for i = 1, 10 do
		both[#both + 1] = ask(g, i % 2 == 0 and "/stream/two" or "/hold/two", { left = 6000, timeout_ms = 8000 })
	end
end
handle = http_start(both)
stop(leaving)
stop(second)
for _ = 1, 5 do
	local answer = send(other, "/safe/beside")
	expect(answer.status == 200, "beside two stops: %s", answer.status)
end
for _, answer in ipairs(http_finish(handle)) do
	expect(answer.status == 200 and not answer.err, "cut by one of two stops: %s %s", answer.status, answer.err)
end
say("%d requests and streams at two nodes that stopped at once", #both)
for _, g in ipairs { leaving, second } do expect(wait_exit(g, 9000) == 0, "%s did not end well", g.name) end
thaw(f.store)
start_gateway(f, second)
wait_for("it is back", 8000, function() return is_ready(second) and is_ready(other) end)

-- SIGHUP drops nothing.
kill_process(other.pid, SIGHUP)
expect(send(other, "/safe/hup").status == 200, "not served after SIGHUP")
wait_for("reload is told", 1000, function() return log_of(other):find("event=settings.reloaded") end)

-- A node that stood still sends nothing by its old knowledge.
local frozen = f.gateways[3]
freeze(frozen)
sleep_ms(500)
configure(f, 7, { route("/new/", "idempotent", "counter") })
store_drop(f, "keyed.servers", "counter-1")
sleep_ms(2500)
local before = #seen(f["counter-1"]).arrivals
local waiting = {}
for i = 1, 10 do waiting[i] = ask(frozen, i % 2 == 0 and "/safe/old" or "/new/x", { timeout_ms = 3000 }) end
handle = http_start(waiting)
sleep_ms(300)
thaw(frozen)
for i, answer in ipairs(http_finish(handle)) do
	expect(i % 2 == 1 or answer.status == 404 or answer.status == 503, "an old route after a pause: %s", answer.status)
end
expect(#seen(f["counter-1"]).arrivals == before, "a runner that had left got work after a pause")
wait_for("it serves again", 3000, function() return is_ready(frozen) and send(frozen, "/new/y").status == 200 end)
expect(log_of(frozen):find("event=node.paused"), "pause is not in the log")

-- Whatever comes first after a pause, requests wait in its sockets by then.
local flips = { { "/one/", "/two/" }, { "/two/", "/one/" } }
for round = 1, 6 do
	local new, old = table.unpack(flips[round % 2 + 1])
	freeze(frozen)
	sleep_ms(300)
	configure(f, 10 + round, { route(new, "idempotent", "counter") })
	sleep_ms(1200)
	waiting = {}
	for i = 1, 12 do waiting[i] = ask(frozen, (i % 2 == 0 and old or new) .. "x", { timeout_ms = 3000 }) end
	handle = http_start(waiting)
	sleep_ms(200)
	thaw(frozen)
	for i, answer in ipairs(http_finish(handle)) do
		if i % 2 == 0 then
			expect(answer.status ~= 200, "round %d: the old route was served after a pause", round)
		else
			expect(answer.status ~= 404, "round %d: the new route was refused after a pause", round)
		end
	end
end
