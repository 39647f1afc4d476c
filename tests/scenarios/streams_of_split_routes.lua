-- Guards against streams of a route over several services that no node but their own can take up, or that go on at another service.
upstream_options = { events = 40, gap_ms = 60, slots = 64, version = "v1" }
site_options = {
	gateways = 6, retry_burst = 1000,
	counter = { events = 40, gap_ms = 60, slots = 64, version = "w1" },
	each = function(f)
		for i = 1, 2 do announce(f, f["counter-" .. i], { version = "w1" }) end
	end,
}
dofile(scenarios .. "/version_words.lua")
local RATE, LONG_MS, MIN_TAKEN_UP = 60, 2400, 12
local APPLIED_MS = 2000 -- a change of the configuration is in force
local serial = 1

local function target(service) return { service = service } end
local function split(weight)
	return { traffic_split = { { service = "engines", weight = weight }, { service = "counter", weight = 100 - weight } } }
end

local function direct(o)
	serial = serial + 1
	local r = route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 8000 })
	if o.traffic_split then r.service = nil end
	for k, v in pairs(o) do r[k] = v end
	configure(f, serial, { r })
end

local function add_counter(version)
	for i = 1, 2 do
		local r = start_runner(f, "counter-" .. version .. "-" .. i, "counter", "dc-" .. i,
				       { events = 40, gap_ms = 60, slots = 64, version = version })
		announce(f, r, { version = version })
	end
end

local function kill_first() power_cycle({ f.gateways[1] }, 500) end

-- go_on: the least share of the streams that were taken up; at: since the streams began.
local plays = {
	{ name = "one service", before = target("engines"), go_on = 0.5 },
	{ name = "split", before = split(90), go_on = 0.5 },
	{ name = "split, a node that has just started takes up", before = split(90), go_on = 0.5,
	  early = function() power_cycle({ f.gateways[2] }, 100) end },
	{ name = "split, all nodes killed", before = split(90), go_on = 0.5, last = function() power_cycle(f.gateways, 300) end },
	{ name = "split is added", before = target("engines"), after = split(50), go_on = 0.5 },
	{ name = "split changes", before = split(90), after = split(20), go_on = 0.5 },
	-- What the other service began is not allowed to run there any more.
	{ name = "split is taken back", before = split(90), after = target("engines"), go_on = 0.5 },
	{ name = "route moves", before = target("engines"), after = target("counter") },
	{ name = "split, another version comes", before = split(50), go_on = 0.5, early = function() add_counter("w2") end },
	{ name = "split, of three versions", before = split(50), go_on = 0.5 },
}
for i, p in ipairs(plays) do
	direct(p.before)
	sleep_ms(APPLIED_MS)
	local load = start_callers(f, { to = callers_of(f), path = "/stream/long", rate = RATE, duration_ms = LONG_MS + 1000,
					timeout_ms = 7000, tries = 12, pause_ms = 250, seed = i, distinct = "", resume = "" })
	sleep_ms(700)
	if p.early then p.early() end
	sleep_ms(400)
	if p.after then direct(p.after) end
	sleep_ms(1000)
	local last = p.last or kill_first
	last()
	local a = finish_callers(load)
	print(string.format("%s: %d streams, %d whole, %d taken up, %d of them to the end, %d joined", p.name, a.sent, a.whole, a.resumed,
			    a.resumed_whole, a.joined))
	check(a.joined == 0, "%s: %d of %d streams hold events of two services or versions", p.name, a.joined, a.sent)
	check(a.resumed >= MIN_TAKEN_UP, "%s: %d streams were taken up", p.name, a.resumed)
	check(not p.go_on or a.resumed_whole >= p.go_on * a.resumed, "%s: %d of %d streams that were taken up went on", p.name,
	      a.resumed_whole, a.resumed)
	wait_for("all nodes are ready", 8000, function()
		for _, g in ipairs(f.gateways) do
			if not is_ready(g) then return false end
		end
		return true
	end)
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
