-- What a gateway adds to a request beside a node with owners, and what it costs
-- in processor time; not a test. Prints Markdown.
dofile(scenarios .. "/measure.lua")
dofile(scenarios .. "/gateway_words.lua")

local RATE, MS = 500, 5000

local old = start_single_node()
local f = start_site { gateways = 1, counter = { delay_ms = 0, slots = 1000 }, engine = { slots = 1000, events = 50, gap_ms = 20 } }
local g = f.gateways[1]

local function node_load(o)
	o.model, o.service, o.keys, o.rate, o.duration_ms, o.chats, o.max_tokens = MODEL, SERVICE, KEY, RATE, MS, 500, 8
	return finish_load(start_load(old.nodes[1], o)).total_ms
end

local function callers(to, path, rate, seed)
	local r = finish_callers(start_callers(f, { to = to, path = path, rate = rate, duration_ms = MS, seed = seed }))
	expect(r.whole == r.sent, "%s", json_encode(r))
	return r
end

row("## What a node adds to a plain request\n")
row("%d requests/s for %d s on loopback, one node; the upstream called directly in turn.\n", RATE, MS // 1000)
row("| round | node with owners p50, p99 ms | its upstream | added p99 | gateway p50, p99 ms | its upstream | added p99 |\n|---|---|---|---|---|---|---|")
for round = 1, tonumber(os.getenv("KCF_ROUNDS") or 3) do
	local d1 = node_load { direct = old.engines[1].address, seed = round }
	local n1 = node_load { any = true, seed = round }
	local d2 = callers(f["counter-1"].address, "/safe/x", RATE, round).ms
	local n2 = callers(g.callers, "/safe/x", RATE, round).ms
	row("| %d | %.2f, %.2f | %.2f, %.2f | %.2f | %.2f, %.2f | %.2f, %.2f | %.2f |", round, n1.p50, n1.p99, d1.p50, d1.p99,
	    n1.p99 - d1.p99, n2.p50, n2.p99, d2.p50, d2.p99, n2.p99 - d2.p99)
end

row("\n## Processor time of a gateway\n")
row("| load | requests/s | events/s | core %% | microseconds each |\n|---|---|---|---|---|")
local function cost(what, path, rate)
	local before = cpu_ms(g)
	local r = callers(g.callers, path, rate, rate)
	local spent = cpu_ms(g) - before
	local each = r.events > r.sent and r.events or r.sent
	row("| %s | %d | %d | %.1f | %.0f |", what, rate, r.events * 1000 // MS, spent * 100 / MS, spent * 1000 / each)
	return spent
end

local idle = cpu_ms(g)
sleep_ms(MS)
row("| idle | 0 | 0 | %.1f | |", (cpu_ms(g) - idle) * 100 / MS)
for _, rate in ipairs { 100, 250, 500 } do cost("plain, a request", "/safe/x", rate) end
for _, rate in ipairs { 10, 20, 40 } do cost("streams of 50 events, an event", "/stream/x", rate) end
row("\nMemory after this: %.1f MB.", rss_mb(g))
