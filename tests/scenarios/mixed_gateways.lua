-- Two builds in one fleet of gateways: feeds, loads, limits and directories go
-- between them in both directions while nodes of each are killed and stopped.
-- The folder of the older build is given as --old DIR; without it there is
-- nothing to compare.
if not old then
	say("no older build is given, nothing was compared")
	return
end
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { gateways = 8, engine = { gap_ms = 40, events = 12 },
		       each = function(site)
			       for i, g in ipairs(site.gateways) do g.bin = i % 2 == 0 and old or nil end
		       end }
local version = 1

-- A change is in force at each node within the configured time.
local function expect_in_force(list, what)
	version = version + 1
	local path = "/v" .. version .. "/"
	configure(f, version, { route(path, "idempotent", "counter"), route("/safe/", "idempotent", "counter"),
				route("/hold/", "non_idempotent", "counter", { max_attempts = 1 }),
				route("/stream/", "streaming", "engines", { stream_resume = true }) })
	sleep_ms(2000)
	for _, g in ipairs(list) do
		local r = send(g, path .. "x")
		expect(r.status == 200, "%s: %s has not got a change: %s", what, g.name, r.status)
	end
end

local function status(g) return json_decode(http { url = "http://" .. g.admin .. "/v1/status", timeout_ms = 1000 }.body) end

local function store_calls(g)
	local n = 0
	for v in http { url = "http://" .. g.admin .. "/metrics", timeout_ms = 1000 }.body:gmatch("kcf_store_calls_total{[^}]*} (%d+)") do
		n = n + tonumber(v)
	end
	return n
end

local function readers(list)
	local before, found = {}, {}
	for _, g in ipairs(list) do before[g] = store_calls(g) end
	sleep_ms(1500)
	for _, g in ipairs(list) do
		if store_calls(g) - before[g] >= 2 then found[#found + 1] = g end
	end
	return found
end

-- Every node knows the loads of upstreams that only one other node asked.
local function expect_gossip(at)
	for i = 1, 20 do expect(send(at, "/safe/g" .. i).status == 200, "at %s", at.name) end
	wait_for("loads reported to " .. at.name .. " are known everywhere", 5000, function()
		for _, g in ipairs(f.gateways) do
			for _, u in ipairs(status(g).upstreams) do
				if u.service == "counter" and (u.load_age_ms or -1) < 0 then return false end
			end
		end
		return true
	end)
end

local function disturb(what, victim, leaver)
	local list, ids = {}, {}
	for i, g in ipairs(f.gateways) do
		for k = 1, 6 do
			local id = fresh_id()
			list[#list + 1] = ask(g, k % 2 == 0 and "/stream/s" or "/hold/x", { id = id, left = 6000, timeout_ms = 8000 })
			ids[#list] = { id = id, g = g, once = k % 2 == 1 }
		end
	end
	local pending = http_start(list)
	sleep_ms(150)
	kill(victim)
	stop(leaver)
	for i, r in ipairs(http_finish(pending)) do
		local w = ids[i]
		if w.once then expect(runs_of(f, w.id) <= 1, "%s: an order ran %d times", what, runs_of(f, w.id)) end
		if w.g ~= victim then
			expect(r.status == 200 and not r.err, "%s: a request at %s: %s %s", what, w.g.name, r.status, r.err)
		end
	end
	expect(wait_exit(leaver, 10000) == 0, "%s: %s did not end well", what, leaver.name)
	local rest = {}
	for _, g in ipairs(f.gateways) do
		if g ~= victim and g ~= leaver then rest[#rest + 1] = g end
	end
	expect_in_force(rest, what)
	for _, g in ipairs { victim, leaver } do
		start_gateway(f, g)
		wait_for(g.name .. " is ready again", 8000, function() return is_ready(g) end)
	end
	wait_for("all gateways know each other", 10000, function()
		for _, g in ipairs(f.gateways) do
			if #(lookup(g) or {}) ~= #f.gateways then return false end
		end
		return true
	end)
end

sleep_ms(4500) -- nodes that have just started read by themselves
local few = readers(f.gateways)
local names = {}
for _, g in ipairs(few) do names[#names + 1] = g.name .. (g.bin and " (older)" or " (newer)") end
say("readers: %s", table.concat(names, ", "))
expect(#few == 2, "%d nodes read the platform", #few)
expect_in_force(f.gateways, "calm")
expect_gossip(f.gateways[1])
expect_gossip(f.gateways[2])
disturb("first round", f.gateways[3], f.gateways[4])
disturb("second round", f.gateways[6], f.gateways[5])

-- Readers of each build in turn: the fleet lives on what the other build reads.
sleep_ms(4500)
for round = 1, 3 do
	few = readers(f.gateways)
	local rest = {}
	for _, g in ipairs(f.gateways) do
		if g ~= few[1] and g ~= few[2] then rest[#rest + 1] = g end
	end
	for _, g in ipairs(few) do kill(g) end
	expect_in_force(rest, "readers killed")
	names = {}
	for _, g in ipairs(few) do
		names[#names + 1] = g.name .. (g.bin and " (older)" or " (newer)")
		start_gateway(f, g)
		wait_for(g.name .. " is ready again", 8000, function() return is_ready(g) end)
	end
	say("killed readers: %s", table.concat(names, ", "))
	sleep_ms(4500)
	expect_in_force(f.gateways, "readers back")
end

-- The newer build starts on settings that the older one used, and the other way
-- round.
for _, g in ipairs(f.gateways) do
	stop(g)
	expect(wait_exit(g, 10000) == 0, "%s did not end well", g.name)
	g.bin = not g.bin and old or nil
	start_gateway(f, g)
	wait_for(g.name .. " is ready as the other build", 8000, function() return is_ready(g) end)
end
sleep_ms(2000)
expect_in_force(f.gateways, "builds exchanged")
