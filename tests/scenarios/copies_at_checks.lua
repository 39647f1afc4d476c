-- Guards against a late second answer that is taken for that of a health check, or one of a health check that comes at a request.
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS = 6
-- A check follows a crash by 0.4 s; an answer within 0.25 s of a crash tells nothing of it.
local SECOND_CRASH_MS = 310
local f = start_site { gateways = 1, retry_burst = 1000 }
local g = f.gateways[1]
local r = f["counter-1"]
store_drop(f, "keyed.servers", "counter-2")
configure(f, 2, { route("/safe/", "idempotent", "counter", { max_attempts = 1 }),
		  route("/hold/", "non_idempotent", "counter", { max_attempts = 1 }) })
local born = wall_ms()

local function set_health(mode)
	local a = http { method = "POST", url = "http://" .. r.address .. "/fault", body = json_encode { health = mode } }
	expect(a.status == 200, "fault of the health path")
end

-- The outcomes of all checks so far.
local function checks()
	local list = {}
	for alive in log_of(g):gmatch("quarantine%.checked[^\n]-alive=(%d)") do list[#list + 1] = tonumber(alive) end
	return list
end

local function wait_for_check(n)
	wait_for("check " .. n, 2000, function() return #checks() >= n end)
	return checks()[n]
end

-- A new start in its entry, so that the node keeps no failures, and kept connections.
local function begin()
	born = born + 1
	set_fault(r, "", 0)
	set_health("")
	announce(f, { name = r.name, service = r.service, dc = r.dc, address = r.address, born = born })
	wait_for("the node has read the entry", 3000, function() return log_of(g):find("start=" .. born, 1, true) end)
	local warm = {}
	for k = 1, 6 do warm[k] = ask(g, "/safe/warm") end
	for _, a in ipairs(http_finish(http_start(warm))) do expect(a.status == 200, "a calm request got %s", a.status) end
end

local problems = {}
local function check(ok, ...)
	if not ok then problems[#problems + 1] = string.format(...) end
end

local function crash(what)
	set_fault(r, "close", 1)
	local a = send(g, "/hold/" .. what)
	expect(a.status == 502, "a broken connection was answered %s", a.status)
end

for i = 1, ROUNDS do
	local n = #checks()
	begin()
	set_health("copied")
	crash("first-" .. i)
	wait_for_check(n + 1)
	for k = 1, 8 do
		local id = fresh_id()
		local a = send(g, "/hold/x", { id = id })
		check(a.status == 200, "round %d, request %d after a check: %s, ran %d times", i, k, a.status, runs_of(f, id))
	end

	n = #checks()
	begin()
	set_health("copied")
	crash("second-" .. i)
	sleep_ms(SECOND_CRASH_MS)
	crash("third-" .. i)
	wait_for_check(n + 1)
	set_health("down")
	check(wait_for_check(n + 2) == 0, "round %d: an upstream that answers 500 is said to go on", i)

	n = #checks()
	begin()
	crash("fourth-" .. i)
	set_fault(r, "refuse 503 before", 1)
	send(g, "/safe/refused")
	check(wait_for_check(n + 1) == 1, "round %d: an upstream that goes on is said not to", i)
	-- The copy that is left comes at another request, which tells it by its id but may not be sent again.
	local id = fresh_id()
	local a = send(g, "/safe/after", { id = id })
	check(a.status == 502 and runs_of(f, id) <= 1 or a.status == 200, "round %d: the copy that is left: %s", i, a.status)
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
