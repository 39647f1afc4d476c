-- Figures for docs/MEASUREMENTS.md; not a test. Prints Markdown.
dofile(scenarios .. "/measure.lua")

local function finish(f)
	for _, p in ipairs(f.nodes) do if not p.gone then kill(p) end end
	for _, p in pairs(f.upstreams) do kill(p) end
	kill(f.log)
	kill(f.hosts)
end

local function load(f, o)
	o.model, o.service, o.keys = MODEL, SERVICE, o.keys or KEY
	return start_load(o.at or f.nodes[1], o)
end

local f
if os.getenv("KCF_PART") ~= "placement" then
-- What a node adds to a request.
f = start_single_node()
row("## What a node adds to a request\n")
row("One node, 500 requests/s on loopback, whole answers of 8 tokens, 10 engines; the stand-in called directly in turn.\n")
row("| round | direct p50 ms | direct p99 ms | by node p50 ms | by node p99 ms |\n|---|---|---|---|---|")
for round = 1, 3 do
	local o = { rate = 500, duration_ms = 5000, chats = 500, max_tokens = 8, seed = round }
	o.direct = f.engines[1].address
	local direct = finish_load(load(f, o))
	o.direct, o.any = nil, true
	local node = finish_load(load(f, o))
	row("| %d | %.2f | %.2f | %.2f | %.2f |", round, direct.total_ms.p50, direct.total_ms.p99, node.total_ms.p50, node.total_ms.p99)
end
row("\nProcessor time of the node and slopes, same fleet:\n")
row("| requests/s | node CPU %% | per request ms |\n|---|---|---|")
for _, rate in ipairs { 250, 500, 1000 } do
	local before = cpu_ms(f.nodes[1])
	finish_load(load(f, { any = true, rate = rate, duration_ms = 4000, chats = 2000, max_tokens = 8, seed = rate }))
	local spent = cpu_ms(f.nodes[1]) - before
	row("| %d | %.1f | %.3f |", rate, spent / 40, spent / (4 * rate))
end
row("\nMemory of the node after this: %.1f MB.\n", rss_mb(f.nodes[1]))

for _, e in ipairs(f.engines) do fault(e, { token_ms = 1000 }) end
local before = rss_mb(f.nodes[1])
local p = load(f, { any = true, rate = 600, duration_ms = 6000, chats = 8000, max_tokens = 12, stream = true, seed = 9 })
sleep_ms(7000)
local open, memory = metric(f.nodes[1], "kcf_open_requests"), rss_mb(f.nodes[1])
local r = finish_load(p)
row("Open streams in one node: %d at a time (%d of %d whole in the end), %.1f MB; %.1f KB a stream.\n", open, r.ok, r.sent, memory, (memory - before) * 1024 / open)
finish(f)

-- Slopes of control traffic, memory and processor time with the number of nodes.
row("## Control traffic, memory and processor time of a node\n")
row("Idle fleets; the busiest node. Bytes are sent bytes with UDP and IP headers, polls included.\n")
row("| nodes | control B/s | node CPU %% | memory MB | whole fleet starts, s | one node joins, s |\n|---|---|---|---|---|---|")
for _, nodes in ipairs { 3, 7, 21, 63 } do
	local started = now_ms()
	f = start_fleet { nodes = nodes, settle_ms = 120000 }
	local joined = (now_ms() - started) / 1000
	sleep_ms(8000)
	local b, c = {}, {}
	for i, n in ipairs(f.nodes) do b[i], c[i] = metric(n, "kcf_control_sent_bytes_total"), cpu_ms(n) end
	sleep_ms(10000)
	local bytes, cpu, mb = 0, 0, 0
	for i, n in ipairs(f.nodes) do
		bytes = math.max(bytes, (metric(n, "kcf_control_sent_bytes_total") - b[i]) / 10)
		cpu = math.max(cpu, (cpu_ms(n) - c[i]) / 100)
		mb = math.max(mb, rss_mb(n))
	end
	local last = f.nodes[#f.nodes]
	kill(last)
	sleep_ms(8000)
	started = now_ms()
	start_node(f, last)
	wait_for("one node joins", 60000, function() return ready(last) and metric(last, "kcf_members_live") == nodes end)
	row("| %d | %.0f | %.2f | %.1f | %.1f | %.1f |", nodes, bytes, cpu, mb, joined, (now_ms() - started) / 1000)
	finish(f)
end
row("")
end

-- Placement beside the baselines.
if os.getenv("KCF_PART") == "nodes" then return end
-- Larger than what all chats need; engines and resources say the same.
local CACHE_TOKENS = 10000000
local function compare(title, o, during)
	row("## %s\n", title)
	row("| placement | reuse | ideal | share of ideal | peak over mean | over bound %% | p50 ms | p99 ms | not answered |\n|---|---|---|---|---|---|---|---|---|")
	for _, placement in ipairs { "bounded", "hash", "least_loaded", "random" } do
		f = start_fleet { example = o.example, engine = { token_ms = 10, cache_tokens = CACHE_TOKENS, prefill_tps = 4000 },
			edit = function(resources)
				for _, r in ipairs(resources) do
					if r.kind == "Upstream" then r.body.cache_tokens = CACHE_TOKENS end
				end
			end }
		put(f.nodes[1], "Site", "site", { load_bound = 1.25, placement = placement })
		sleep_ms(3000)
		local p = load(f, { rate = 60, warmup_ms = 12000, duration_ms = 12000 + o.ms, chats = 300, max_tokens = 30,
				    stream = true, seed = 5, prompt_bytes = 4096, surge = o.surge })
		sleep_ms(12000)
		for _, e in ipairs(f.engines) do fault(e, { reset = 1 }) end
		if during then during(f) end
		local r = finish_load(p)
		local arrivals, over = over_bound(f.engines, 1.25, 1)
		local peak, sums, n = 0, 0, 0
		replay(f.engines, function(t, e, l, sum) peak = math.max(peak, l); sums = sums + sum; n = n + 1 end)
		local refused = refusals(r)
		row("| %s | %.3f | %.3f | %.3f | %.2f | %.1f | %.0f | %.0f | %d |", placement, r.reuse, r.ideal_reuse,
		    r.reuse / math.max(r.ideal_reuse, 1e-9), peak / (sums / n / #f.engines), 100 * over / arrivals,
		    r.total_ms.p50, r.total_ms.p99, refused)
		finish(f)
	end
	row("")
end

compare("Cache reuse and skew, steady (Náutica, 300 returning chats, 60 requests/s)", { ms = 12000 })
compare("One engine of ten lost and regained", { ms = 20000 }, function(fleet)
	sleep_ms(4000)
	kill(fleet.engines[4])
	sleep_ms(5000)
	restart(fleet.engines[4])
end)
compare("A data centre leaves and returns", { ms = 20000 }, function(fleet)
	sleep_ms(4000)
	change(fleet.nodes[1], "DataCentre", "baires-2", { state = "out" })
	sleep_ms(7000)
	change(fleet.nodes[1], "DataCentre", "baires-2", { state = "in" })
end)


