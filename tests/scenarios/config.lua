-- Configuration: operators race, the log has outages and loses answers, nodes
-- are restarted, records run out. Nobody ever sees an older version after a
-- newer one, and what was accepted is in force everywhere within 16 s.
local f = start_fleet { nodes = 5 }
local a, b = f.nodes[1], f.nodes[2]

local function everywhere(version, kind, name, ms)
	wait_for(name .. " in force everywhere", ms or 16000, function()
		for _, n in ipairs(f.nodes) do
			local r = not n.gone and get(n, kind, name)
			if not n.gone and (not r or r.version < version) then return false end
		end
		return true
	end)
end

-- Two operators on the same version: one wins, the other learns of it.
for round = 1, 5 do
	local base = get(a, "Site", "site")
	local function request(n, key, bound)
		return { method = "PUT", url = "http://" .. n.operators .. "/v1/resources/Site/site", body = json_encode { load_bound = bound },
			 headers = { Authorization = "Bearer " .. key, ["If-Match"] = '"' .. base.version .. '"', ["X-Reason"] = "race" } }
	end
	local r = http_all { request(a, OPERATOR, 1.25), request(b, "operator-key-2", 1.5) }
	local won = r[1].status == 200 and r[1] or r[2]
	local lost = won == r[1] and r[2] or r[1]
	expect(won.status == 200 and lost.status == 409, "race %d: %s and %s", round, r[1].status, r[2].status)
	local version = json_decode(won.body).version
	expect(json_decode(lost.body).winner.version == version, "loser is told of another winner: %s", lost.body)
	everywhere(version, "Site", "site")
end
wait_for("status tells of all nodes", 16000, function()
	local s = operator(a, "GET", "/v1/resources/Site/site/status").json
	return s.in_force_on == #f.nodes and s.of == #f.nodes
end)
local audit = operator(b, "GET", "/v1/audit?limit=1000").json.items
local applied, conflicts = 0, 0
for _, e in ipairs(audit) do
	if e.name == "site" and e.reason == "race" then
		if e.verdict == "applied" then applied = applied + 1 else conflicts = conflicts + 1 end
		expect(e.operator == "ana" or e.operator == "bruno", "operator %s", e.operator)
	end
end
expect(applied == 5 and conflicts == 5, "audit trail: %d and %d", applied, conflicts)

-- An append whose answer is lost has its effect once, and is answered.
fault(f.log, { lose_answers = 1 })
local r = put(a, "Site", "site", { load_bound = 2 })
expect(r.status == 200, "lost answer: %s %s", r.status, r.body)
fault(f.log, { lose_answers = 0 })
everywhere(r.json.version, "Site", "site")

-- Outage: a change is refused at once and truly; chats go on.
fault(f.log, { down = 1 })
local started = now_ms()
r = put(a, "Site", "site", { load_bound = 3 })
expect(r.status == 503 and r.json.ran == "no" and now_ms() - started < 1000, "outage: %s %s", r.status, r.body)
expect(chat(b, { chat = "outage" }).status == 200, "chat during an outage")

-- A node that starts during the outage takes the configuration from a peer.
local n = f.nodes[4]
kill(n)
start_node(f, n)
wait_for(n.name .. " is ready without the log", 15000, function() return ready(n) end)
expect(get(n, "Site", "site").body.load_bound == 2, "configuration from a peer")
expect(chat(n, { chat = "outage" }).status == 200, "chat at the node that joined during the outage")
fault(f.log, { down = 0 })
expect(get(a, "Site", "site").body.load_bound == 2, "refused change came into force")

-- Neither log nor peers: not ready, and nothing is served.
local alone = { name = "alone", dc = f.dcs[1], callers = a.callers:gsub("%d+:", "90:"), operators = a.operators:gsub("%d+:", "90:"),
		peer = a.peer:gsub("%d+:", "90:"), log = "127.0.0.1:1" }
local hosts, nodes = f.hosts.address, f.nodes
f.hosts.address, f.nodes = "127.0.0.1:1", {}
start_node(f, alone)
f.hosts.address, f.nodes = hosts, nodes
sleep_ms(3000)
expect(not ready(alone), "a node without log and peers is ready")
r = chat(alone, { chat = "x" })
expect(r.status == 503 and problem(r).ran == "no" and r.headers["Retry-After"], "not ready: %s %s", r.status, r.body)
kill(alone)

-- Retention: records are kept alive, a late node gets all, none gets older.
f.retention_s = 4
for _, node in ipairs(f.nodes) do
	stop(node)
	expect(wait_exit(node, 15000) == 0, "%s did not end well", node.name)
	start_node(f, node)
	wait_for(node.name .. " is ready", 15000, function() return ready(node) end)
end
local versions = {}
for _, res in ipairs(f.resources) do versions[res.name] = get(a, res.kind, res.name).version end
fault(f.log, { retention_ms = 4000 })
local deleted = get(a, "Customer", "broker-7")
expect(operator(a, "DELETE", "/v1/resources/Customer/broker-7").status == 200, "delete")
sleep_ms(9000)
kill(n)
start_node(f, n)
wait_for(n.name .. " is ready after retention", 15000, function() return ready(n) end)
for _, res in ipairs(f.resources) do
	local got = get(n, res.kind, res.name)
	if res.name == "broker-7" then
		expect(not got, "a deleted resource came back")
	else
		expect(got and got.version >= versions[res.name], "%s/%s after retention: %s", res.kind, res.name, got and got.version)
	end
end

-- Watch: the change arrives on the stream.
local watch = http_start { { url = "http://" .. b.operators .. "/v1/resources/Site?watch=1", timeout_ms = 3000,
			     headers = { Authorization = "Bearer " .. OPERATOR } } }
sleep_ms(500)
r = put(a, "Site", "site", { load_bound = 1.75 })
expect(r.status == 200, "change for the watch: %s", r.body)
local seen = http_finish(watch)[1].body
expect(seen:find('"load_bound":1.75', 1, true) and seen:find('"load_bound":2', 1, true), "watch: %s", seen)
