-- Two builds in one fleet of nodes with owners: what the older build stored is
-- read by the newer one, and both serve side by side while nodes of each are
-- killed and stopped. The folder of the older build is given as --old DIR;
-- without it there is nothing to compare.
if not old then
	say("no older build is given, nothing was compared")
	return
end
local f = start_fleet { nodes = 6, engine = { token_ms = 15 }, service = { delay_ms = 30 }, builds = function() return old end }
local a = f.nodes[1]

local function runs(key)
	local n = 0
	for _, s in ipairs(f.services) do n = n + (stats(s).runs[key] or 0) end
	return n
end

local function hold(n, key) return call(n, PLAIN, "POST", ONCE, { once = key, body = "{}" }) end
local function replayed(r) return r.status == 200 and r.headers["Idempotent-Replayed"] == "true" end

local function hold_key(name, i) return string.format("%d-mixed-%s-%d", wall_ms() // 1000, name, i) end

local function submit(n, i)
	local req = chat_request(n, { id = "mixed-" .. i, text = "digest " .. i, tokens = 10 })
	req.headers.Prefer = "respond-async"
	local r = http(req)
	expect(r.status == 202, "job %d: %s %s", i, r.status, r.body)
	return { id = json_decode(r.body).job, req = req }
end

local function expect_done(n, jobs)
	for _, j in ipairs(jobs) do
		local r
		wait_for("job " .. j.id .. " is done", 30000, function()
			r = json_decode(http { url = "http://" .. n.callers .. "/v1/jobs/" .. j.id, headers = { Authorization = "Bearer " .. KEY } }.body)
			return r and r.state == "done"
		end)
		expect(json_decode(r.answer).choices[1].message.content ==
			json_decode(direct(f.engines[1], j.req).body).choices[1].message.content, "%s: answer differs", j.id)
	end
end

local function expect_version(version)
	wait_for("all engines have version " .. version, 60000, function()
		for _, e in ipairs(f.engines) do
			if stats(e).models[MODEL] ~= version then return false end
		end
		return true
	end)
end

local function replace(n, dir)
	stop(n)
	expect(wait_exit(n, 15000) == 0, "%s did not end well", n.name)
	n.bin = dir
	start_node(f, n)
	wait_for(n.name .. " is ready", 20000, function() return ready(n) end)
end

local function expect_members()
	wait_for("all nodes know each other", 20000, function()
		for _, n in ipairs(f.nodes) do
			if metric(n, "kcf_members_live") ~= #f.nodes then return false end
		end
		return true
	end)
end

-- The older build writes configuration, keys, jobs and orders.
for _, e in ipairs(f.engines) do fault(e, { models = { [MODEL] = "1" } }) end
sleep_ms(1500)
change(a, "Model", MODEL, { version = "2" })
expect_version("2")
local versions, keys, jobs = {}, {}, {}
for _, r in ipairs(f.resources) do versions[r.name] = get(a, r.kind, r.name).version end
for i = 1, 8 do
	keys[i] = hold_key("old", i)
	expect(hold(f.nodes[i % 6 + 1], keys[i]).status == 200, "run-once call %d", i)
	jobs[i] = submit(f.nodes[i % 6 + 1], i)
end
expect_done(a, jobs)
-- These are left to the newer build.
for _, e in ipairs(f.engines) do fault(e, { refuse = 1 }) end
local left = {}
for i = 9, 14 do left[#left + 1] = submit(f.nodes[i % 6 + 1], i) end
for _, n in ipairs(f.nodes) do kill(n) end
for _, e in ipairs(f.engines) do fault(e, { refuse = 0 }) end

-- The newer build reads them.
for _, n in ipairs(f.nodes) do
	n.bin = nil
	start_node(f, n)
end
wait_ready(f)
expect_members()
for _, n in ipairs(f.nodes) do
	for _, r in ipairs(f.resources) do
		expect(get(n, r.kind, r.name).version >= versions[r.name], "%s is older at %s", r.name, n.name)
	end
end
for i, key in ipairs(keys) do
	local r = hold(f.nodes[i % 6 + 1], key)
	expect(replayed(r) and runs(key) == 1, "key of the older build: %s %s, %d runs", r.status, r.body, runs(key))
end
expect_done(a, jobs)
expect_done(a, left)
for _, e in ipairs(f.engines) do expect(stats(e).models[MODEL] == "2", "%s has gone back", e.name) end
say("configuration, %d keys, %d jobs and orders of the older build were read", #keys, #jobs + #left)

-- Both builds side by side; the older one reads what the newer one writes.
for i = 2, 6, 2 do replace(f.nodes[i], old) end
expect_members()
change(a, "Model", MODEL, { version = "3" })
expect_version("3")
for i = 1, 6 do
	local key = hold_key("new", i)
	expect(hold(f.nodes[i], key).status == 200, "run-once call at %s", f.nodes[i].name)
	expect(replayed(hold(f.nodes[i % 6 + 1], key)) and runs(key) == 1, "key across builds: %d runs", runs(key))
end
local across = {}
for i = 21, 26 do across[#across + 1] = submit(f.nodes[i % 6 + 1], i) end
expect_done(f.nodes[1], across)
expect_done(f.nodes[2], across)

-- The owner of the engines, once of each build, is killed while a node of the
-- other build is stopped, under load.
local function disturb(round, victim, leaver)
	local list, what = {}, {}
	for i = 1, 40 do
		local n = f.nodes[i % 6 + 1]
		local key = hold_key("load-" .. round, i)
		list[#list + 1] = call_request(n, PLAIN, "POST", ONCE, { once = key, body = "{}", timeout_ms = 9000 })
		what[#what + 1] = { key = key, n = n }
		local req = chat_request(n, { chat = "mixed-" .. i, id = "mixed-" .. round .. "-" .. i, stream = true, tokens = 30,
					      text = "round " .. round, timeout_ms = 15000 })
		list[#list + 1] = req
		what[#what + 1] = { req = req, n = n }
	end
	local pending = http_start(list)
	sleep_ms(150)
	kill(victim)
	stop(leaver)
	local whole = 0
	for i, r in ipairs(http_finish(pending)) do
		local w = what[i]
		if w.key then
			expect(runs(w.key) <= 1, "key %s ran %d times", w.key, runs(w.key))
			if r.status ~= 200 and problem(r).ran == "no" then expect(runs(w.key) == 0, "untrue 'not run': %s", r.body) end
			if r.status == 200 and not r.err then expect(runs(w.key) == 1, "success, but %d runs", runs(w.key)) end
		elseif w.n ~= victim then
			expect(r.status == 200 and not r.err, "a stream at %s: %s %s %s", w.n.name, r.status, r.err, r.body)
			expect(events(r.body) == direct(f.engines[1], w.req).body, "stream %s differs", w.req.headers["X-Request-Id"])
			whole = whole + 1
		end
	end
	expect(wait_exit(leaver, 15000) == 0, "%s did not end well", leaver.name)
	start_node(f, victim)
	start_node(f, leaver)
	wait_ready(f)
	expect_members()
	say("round %d: %d whole streams", round, whole)
end
for round, dir in ipairs { old, false } do
	local owner = owner_of(f, SERVICE)
	if owner.bin ~= (dir or nil) then replace(owner, dir or nil) end
	local leaver
	for _, n in ipairs(f.nodes) do
		if n ~= owner and (n.bin ~= nil) ~= (owner.bin ~= nil) then leaver = n end
	end
	expect_members()
	disturb(round, owner, leaver)
end
