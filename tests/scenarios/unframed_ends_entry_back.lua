-- Guards against a node that asks for the start of an upstream whose entry it has freed, while ends of its answers wait.
dofile(scenarios .. "/gateway_words.lua")
local EVENTS, GAP_MS = 4, 700
-- No question is answered in time, so that each end waits for as long as it may (1 s).
local f = start_site { engine = { events = EVENTS, gap_ms = GAP_MS, report_ms = 3000 }, gateways = 1 }
local g, r = f.gateways[1], f["engine-1"]
configure(f, 2, { route("/once/stream/", "streaming", "engines", { max_attempts = 1, timeout_ms = 6000 }),
		  route("/hold/", "non_idempotent", "engines", { max_attempts = 1, timeout_ms = 6000 }) })
local function wait_entry(name, there)
	wait_for(name .. (there and " is known" or " is gone"), 3000, function()
		local body = http { url = "http://" .. g.admin .. "/v1/status" }.body
		return not body:find(name, 1, true) == not there
	end)
end
for i = 2, 3 do
	store_drop(f, "keyed.servers", "engine-" .. i)
	wait_entry("engine-" .. i, false)
end
set_fault(r, "unframed", -1)
for i = 1, 2 do
	local ends = now_ms() + EVENTS * GAP_MS
	local first = http_start { ask(g, "/once/stream/first", { left = 6000, timeout_ms = 7000 }) }
	sleep_ms(100)
	store_drop(f, "keyed.servers", r.name)
	wait_entry(r.name, false)
	announce(f, r, { sequence = 2 * i })
	wait_entry(r.name, true)
	expect(now_ms() < ends, "the entry came back too late")
	-- Its end waits from then on, and longer than the first one's.
	sleep_ms(ends + 400 - now_ms())
	local second = http_start { ask(g, "/hold/second", { left = 6000, timeout_ms = 7000 }) }
	local a, b = http_finish(first)[1], http_finish(second)[1]
	say("%s %s; %s %s", a.status, a.err, b.status, b.err)
	expect(not exited(g.pid), "the node has ended")
	expect(a.status == 200 and a.err, "the first one: %s %s", a.status, a.err)
	expect(b.status == 502, "the second one: %s %s", b.status, b.err)
end
set_fault(r, "", -1)
expect(send(g, "/hold/x").status == 200, "no request is served")
