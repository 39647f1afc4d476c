-- Guards against a request being held back, or not sent again, after upstreams that go on broke its connections.
dofile(scenarios .. "/gateway_words.lua")
-- Nothing else is sent meanwhile that could show which upstreams go on.
local PAUSE_MS = 1200
local f = start_site()
local g = f.gateways[1]
local counters = { f["counter-1"], f["counter-2"] }

-- Failed upstreams are used again and the budget of retries is full again.
local function settle()
	for _ = 1, 20 do send(g, "/safe/calm") end
end

wait_for("both upstreams are known", 4000, function()
	return http { url = "http://" .. g.admin .. "/v1/status" }.body:find("counter-2", 1, true)
end)

local problems = {}
local function check(ok, ...)
	if not ok then problems[#problems + 1] = string.format(...) end
end

for n, mode in ipairs { "close", "reset", "cut", "garbage" } do
	local path = "/safe/" .. mode
	settle()
	everywhere(counters, mode, -1)
	check(send(g, path).status == 502, "%s at each upstream was not seen", mode)
	everywhere(counters, "", 0)
	sleep_ms(PAUSE_MS)
	settle()
	set_fault(counters[n % 2 + 1], mode, 1)
	for _ = 1, 4 do
		local a = send(g, path)
		check(a.status == 200, "after %s at each upstream: %s %s", mode, a.status, a.body)
	end
	everywhere(counters, "", 0)
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
