-- Run-once calls: at most one run a key, whatever fails and wherever the
-- caller tries again. Every "not run" is true, and with a healthy log no
-- success is lost.
local f = start_fleet { service = { delay_ms = 30 } }

local function runs(key)
	local n = 0
	for _, s in ipairs(f.services) do n = n + (stats(s).runs[key] or 0) end
	return n
end

local next_key = 0
local function new_key()
	next_key = next_key + 1
	return string.format("%d-hold-%d-%d", wall_ms() // 1000, net, next_key)
end

local function try(n, key, o)
	o = o or {}
	o.once, o.body = key, "{}"
	return call(n, PLAIN, "POST", ONCE, o)
end

-- A key tried at every node at the same time runs once; all get its outcome in the end.
for round = 1, 5 do
	local key = new_key()
	local list = {}
	for _, n in ipairs(f.nodes) do list[#list + 1] = call_request(n, PLAIN, "POST", ONCE, { once = key, body = "{}" }) end
	local ok = 0
	for _, r in ipairs(http_all(list)) do
		if r.status == 200 then ok = ok + 1 end
		expect(r.status == 200 or problem(r).ran ~= "no", "a rival try was told 'not run': %s", r.body)
	end
	expect(ok >= 1, "no try succeeded")
	local again = try(f.nodes[round], key)
	expect(again.status == 200 and again.headers["Idempotent-Replayed"] == "true", "replay: %s %s", again.status, again.body)
	expect(runs(key) == 1, "key ran %d times", runs(key))
end

-- Keys given out by the fleet.
for round = 1, 5 do
	local n = f.nodes[round]
	local w = http { url = "http://" .. n.callers .. "/v1/where?service=" .. PLAIN, headers = { Authorization = "Bearer " .. KEY } }
	local key = json_decode(w.body).key
	local first = try(f.nodes[(round + 2) % 7 + 1], key)
	expect(first.status == 200, "issued key: %s %s", first.status, first.body)
	local again = try(n, key)
	expect(again.status == 200 and again.headers["Idempotent-Replayed"] == "true", "issued key again: %s %s", again.status, again.body)
	expect(runs(key) == 1, "issued key ran %d times", runs(key))
end

-- The upstream runs and loses its answer: unknown for good, and no second run.
for _, s in ipairs(f.services) do fault(s, { cut = 1 }) end
local key = new_key()
local r = try(f.nodes[1], key)
expect(r.status ~= 200 and problem(r).ran == "unknown", "cut after running: %s %s", r.status, r.body)
for _, s in ipairs(f.services) do fault(s, { cut = 0 }) end
for i = 1, 3 do
	r = try(f.nodes[i], key)
	expect(r.status == 409 and problem(r).ran == "unknown", "after a cut: %s %s", r.status, r.body)
end
expect(runs(key) == 1, "cut key ran %d times", runs(key))

-- Refused before running: truly not run, and the key is free again.
for _, s in ipairs(f.services) do fault(s, { refuse = 1 }) end
key = new_key()
r = try(f.nodes[2], key)
expect(r.status == 503 and problem(r).ran == "no" and r.headers["Retry-After"], "refused: %s %s", r.status, r.body)
for _, s in ipairs(f.services) do fault(s, { refuse = 0 }) end
r = try(f.nodes[3], key)
expect(r.status == 200, "free key: %s %s", r.status, r.body)
expect(runs(key) == 1, "refused key ran %d times", runs(key))

-- Lost append answers: the call still succeeds, once.
fault(f.log, { lose_answers = 1 })
key = new_key()
local pending = http_start { call_request(f.nodes[4], PLAIN, "POST", ONCE, { once = key, body = "{}" }) }
sleep_ms(4000)
fault(f.log, { lose_answers = 0 })
r = http_finish(pending)[1]
expect(r.status == 200 or problem(r).ran ~= "no" or runs(key) == 0, "lost append: %s %s", r.status, r.body)
wait_for("the key is settled after lost appends", 10000, function() return try(f.nodes[5], key).status == 200 end)
expect(runs(key) == 1, "key with lost appends ran %d times", runs(key))

-- Log outage: caller-chosen keys are refused at once, keys of the fleet go on.
fault(f.log, { down = 1 })
key = new_key()
local started = now_ms()
r = try(f.nodes[1], key)
expect(r.status == 503 and now_ms() - started < 1000, "outage: %s %s", r.status, r.body)
expect(problem(r).ran == "no" and runs(key) == 0, "outage: ran %s", r.body)
local w = http { url = "http://" .. f.nodes[1].callers .. "/v1/where?service=" .. PLAIN, headers = { Authorization = "Bearer " .. KEY } }
local issued = json_decode(w.body).key
r = try(f.nodes[1], issued)
expect(r.status == 200 and runs(issued) == 1, "issued key during an outage: %s %s", r.status, r.body)
fault(f.log, { down = 0 })
r = try(f.nodes[1], key)
expect(r.status == 200 and runs(key) == 1, "after the outage: %s %s", r.status, r.body)

-- The node that gave a key out dies: nobody else runs it.
local n = f.nodes[6]
w = http { url = "http://" .. n.callers .. "/v1/where?service=" .. PLAIN, headers = { Authorization = "Bearer " .. KEY } }
issued = json_decode(w.body).key
kill(n)
n.gone = true
for i = 1, 3 do
	r = try(f.nodes[i], issued)
	expect(r.status ~= 200 and problem(r).ran ~= "no", "key of a dead node: %s %s", r.status, r.body)
end
expect(runs(issued) == 0, "key of a dead node ran")

-- The upstream's owner and settlers die in the middle.
for round = 1, 3 do
	for _, s in ipairs(f.services) do fault(s, { delay_ms = 400 }) end
	local keys, list = {}, {}
	for i = 1, 20 do
		keys[i] = new_key()
		list[i] = call_request(f.nodes[i % 3 + 1], PLAIN, "POST", ONCE, { once = keys[i], body = "{}" })
	end
	pending = http_start(list)
	sleep_ms(200)
	local victim = f.nodes[7]
	kill(victim)
	local results = http_finish(pending)
	for i, result in ipairs(results) do
		if problem(result).ran == "no" then expect(runs(keys[i]) == 0, "untrue 'not run': %s", result.body) end
	end
	for _, s in ipairs(f.services) do fault(s, { delay_ms = 0 }) end
	for i, k in ipairs(keys) do
		for at = 1, 3 do
			local again = try(f.nodes[at], k)
			if again.status ~= 200 and problem(again).ran == "no" then
				expect(runs(k) == 0, "untrue 'not run' afterwards: %s", again.body)
			end
		end
		expect(runs(k) <= 1, "key ran %d times after a kill", runs(k))
	end
	start_node(f, victim)
	wait_for("victim is ready again", 20000, function() return ready(victim) end)
end

-- An answer that is too long for the log is not replayed as an empty one, once the nodes that remember it are gone.
for _, s in ipairs(f.services) do fault(s, { pad_bytes = 20000 }) end
local long_key = new_key()
r = try(f.nodes[1], long_key)
expect(r.status == 200 and #r.body > 20000, "a long answer: %s, %d bytes", r.status, #r.body)
for _, s in ipairs(f.services) do fault(s, { pad_bytes = 0 }) end
local again = try(f.nodes[2], long_key)
expect(again.status == 200 and #again.body == #r.body, "a long answer again: %s, %d bytes", again.status, #again.body)
for _, node in ipairs(f.nodes) do
	if not node.gone then kill(node) end
end
for _, node in ipairs(f.nodes) do
	if not node.gone then start_node(f, node) end
end
wait_ready(f, 30000)
wait_for("the outcome of a long answer is known again", 20000, function()
	again = try(f.nodes[1], long_key)
	return again.status == 200 or problem(again).ran == "yes"
end)
expect(again.status == 409 and problem(again).ran == "yes", "a long answer after a restart: %s, %d bytes", again.status, #again.body)
expect(runs(long_key) == 1, "the key of a long answer ran %d times", runs(long_key))
