-- Graceful stops: a node, an upstream, a data centre leave under load and
-- come back. No answer is cut and nothing new reaches what has left.
local f = start_fleet { engine = { token_ms = 20 } }
local n = f.nodes[1]

local function newest(names)
	local t = 0
	for _, s in pairs(f.upstreams) do
		if names(s) then t = math.max(t, stats(s).last_new) end
	end
	return t
end

local function in_dc(dc)
	local set = {}
	for _, r in ipairs(f.resources) do
		if r.kind == "Upstream" and r.body.data_centre == dc then set[r.name] = true end
	end
	return function(s) return set[s.name] end
end

local function no_cuts(what, report)
	local count, text = refusals(report)
	expect(count == 0, "%s: %d not answered: %s", what, count, text)
	expect(report.ok == report.sent, "%s: %d of %d", what, report.ok, report.sent)
end

-- A node.
local load = start_load(n, { key = nil, model = MODEL, service = SERVICE, keys = KEY, rate = 60, duration_ms = 9000,
			     chats = 300, max_tokens = 40, stream = true })
sleep_ms(2000)
local leaver = f.nodes[3]
stop(leaver)
sleep_ms(1000)
for i = 1, 50 do
	local w = http { url = "http://" .. n.callers .. "/v1/where?service=" .. SERVICE .. "&chat=c" .. i,
			 headers = { Authorization = "Bearer " .. KEY } }
	for _, a in ipairs(json_decode(w.body).addresses) do
		expect(a ~= leaver.callers, "callers are sent to the leaving node")
	end
end
expect(wait_exit(leaver, 15000) == 0, "leaving node did not end well")
no_cuts("node leaves", finish_load(load))
start_node(f, leaver)
wait_ready(f)

-- An upstream.
load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 60, duration_ms = 9000, chats = 300,
		       max_tokens = 40, stream = true })
sleep_ms(1500)
local name = f.engines[2].name
local at = wall_ms()
change(n, "Upstream", name, { state = "leaving" })
no_cuts("upstream leaves", finish_load(load))
local late = stats(f.engines[2]).last_new - at
expect(late < 5000, "leaving upstream got work after %d ms", late)
change(n, "Upstream", name, { state = "in" })

-- A data centre.
load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 60, duration_ms = 14000, chats = 300,
		       max_tokens = 40, stream = true })
sleep_ms(1500)
at = wall_ms()
change(n, "DataCentre", "baires-2", { state = "out" })
sleep_ms(6000)
late = newest(in_dc("baires-2")) - at
expect(late < 5000, "data centre that is out got work after %d ms", late)
local back = wall_ms()
change(n, "DataCentre", "baires-2", { state = "in" })
no_cuts("data centre leaves and returns", finish_load(load))
expect(newest(in_dc("baires-2")) > back, "data centre got no work after its return")

-- The whole fleet, one node after the other, under load.
load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 40, duration_ms = 32000, chats = 300,
		       max_tokens = 40, stream = true })
local versions = {}
for _, r in ipairs(f.resources) do versions[r.name] = get(n, r.kind, r.name).version end
for i = 2, #f.nodes do
	local node = f.nodes[i]
	stop(node)
	expect(wait_exit(node, 15000) == 0, "%s did not end well", node.name)
	start_node(f, node)
	wait_for(node.name .. " is ready", 15000, function() return ready(node) end)
	for _, r in ipairs(f.resources) do
		expect(get(node, r.kind, r.name).version >= versions[r.name], "%s is older on %s", r.name, node.name)
	end
end
no_cuts("rolling replacement", finish_load(load))
