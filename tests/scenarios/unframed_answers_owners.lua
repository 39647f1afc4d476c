-- Guards against what unframed_answers does, at nodes with owners.
local CALM, EVENTS = 12, 8
local KEPT = 2 -- upstreams of each service
local bad = {}
local function check(ok, ...)
	if not ok then bad[#bad + 1] = string.format(...) end
end

local names = { [SERVICE] = {}, [PLAIN] = {} }
local f = start_fleet { nodes = 2, edit = function(resources)
	for i = 1, #resources do
		local r = resources[i]
		if r.kind == "Upstream" and names[r.body.service] then table.insert(names[r.body.service], r.name) end
	end
	for i = #resources, 1, -1 do
		local r = resources[i]
		local list = r.kind == "Upstream" and names[r.body.service]
		if list and r.name ~= list[1] and r.name ~= list[KEPT] then table.remove(resources, i) end
	end
end }
local lists = {}
for service, list in pairs(names) do
	lists[service] = {}
	for i = 1, KEPT do
		local u = f.upstreams[list[i]]
		kill(u)
		u.argv = { bin .. "/kcf-runner", "--listen", u.address, "--id", u.name, "--id-header", "X-Request-Id", "--events", tostring(EVENTS),
			   "--gap-ms", "5" }
		restart(u)
		table.insert(lists[service], u)
	end
end

local function plain(path, once)
	return function(n, id)
		return call_request(n, PLAIN, "POST", path, { id = id, once = once and os.time() .. "-" .. id or nil, body = id, deadline_ms = 4000 })
	end
end

local cases = {
	-- what, service, request, outcome
	-- It may have crashed its upstream, and is not tried again at once.
	{ "plain", PLAIN, plain("/x"), "failed" },
	{ "run-once", PLAIN, plain(ONCE, true), "failed" },
	{ "chat", SERVICE, function(n, id) return chat_request(n, { id = id, chat = id, deadline_ms = 4000 }) end, "whole" },
	-- Streams have a last event of their own, which these lack.
	{ "stream", PLAIN, plain("/stream/x"), "cut" },
}

local function everywhere(list, mode, count)
	for _, u in ipairs(list) do fault(u, { mode = mode, count = count }) end
end

local function runner_of(list, id)
	local found
	wait_for(id .. " runs", 3000, function()
		for _, u in ipairs(list) do
			if (stats(u).runs[id] or 0) > 0 then found = u end
		end
		return found
	end)
	return found
end

local function is_whole(id, body) return body:gsub('"from":"[%w-]+"', "") == '{,"id":"' .. id .. '"}' end

local function wait_served()
	for _, c in ipairs(cases) do
		for _, n in ipairs(f.nodes) do
			wait_for("requests are served", 10000, function()
				return c[4] == "cut" or http(c[3](n, "ready-" .. now_ms())).status == 200
			end)
		end
	end
end

wait_served()
local serial = 0
-- The process ends; the next one answers before its nodes see that, or comes later.
for _, comes in ipairs { "later", "before" } do
	for _, c in ipairs(cases) do
		for k, n in ipairs(f.nodes) do
			local what, service, request, outcome = table.unpack(c)
			serial = serial + 1
			local id = string.format("%s-%d", what, serial)
			local req = request(n, id)
			everywhere(lists[service], "unframed_stall", -1)
			local load = http_start { req }
			local u = runner_of(lists[service], id)
			everywhere(lists[service], "", 0)
			sleep_ms(60)
			if comes == "before" then
				for _, other in ipairs(f.nodes) do freeze(other) end
			end
			kill(u)
			if comes == "before" then
				restart(u)
				for _, other in ipairs(f.nodes) do thaw(other) end
			end
			local a = http_finish(load)[1]
			local where = string.format("%s at node %d, the next process comes %s", what, k, comes)
			if outcome == "whole" then
				check(a.status == 200 and not a.err and is_whole(id, a.body), "%s: %s %s %q", where, a.status, a.err, a.body)
			elseif outcome == "cut" then
				check(a.err or a.status ~= 200, "%s: %s %q", where, a.status, a.body)
			else
				check(a.status == 502 and problem(a).ran == "unknown", "%s: %s %s %q", where, a.status, a.err, a.body)
			end
			if what == "run-once" then
				local again = http(req)
				check(again.status == 409 and problem(again).ran == "unknown", "%s, once more: %s %q", where, again.status, again.body)
			end
			if comes == "later" then restart(u) end
			wait_served()
		end
	end
end

-- Upstreams that go on: each answer is whole, at its only try. Their nodes know them by two polls.
sleep_ms(2500)
for service, list in pairs(lists) do everywhere(list, "unframed", -1) end
for _, c in ipairs(cases) do
	for i = 1, c[4] == "cut" and 0 or CALM do
		local id = string.format("calm-%s-%d", c[1], i)
		local a = http(c[3](f.nodes[i % #f.nodes + 1], id))
		local runs = 0
		for _, u in ipairs(lists[c[2]]) do runs = runs + (stats(u).runs[id] or 0) end
		check(a.status == 200 and not a.err and is_whole(id, a.body) and runs == 1, "%s, calm: %s %s %q, %d runs", c[1], a.status, a.err, a.body, runs)
	end
end
expect(#bad == 0, "%d wrong\n%s", #bad, table.concat(bad, "\n"))
