-- All nodes are killed and start at once while callers keep coming. A node that
-- cannot read its data names a time that the caller accepts; nodes that have
-- just started, and know no loads, reject nothing for load.
dofile(scenarios .. "/gateway_words.lua")
local RATE, SLOTS, EVENTS, GAP_MS = 420, 64, 10, 40
local f = start_site { more_settings = "[placement]\nadmission = true\n", gateways = 7, engine = { slots = SLOTS, events = EVENTS, gap_ms = GAP_MS, pace = 100 },
		       counter = { slots = 24, delay_ms = 60, pace = 100 } }
for i = 1, 3 do announce(f, f["engine-" .. i], { slot_count = SLOTS, sequence = 2 }) end
for i = 1, 2 do announce(f, f["counter-" .. i], { slot_count = 24, sequence = 2 }) end
sleep_ms(1500)

local function restart_all()
	for _, g in ipairs(f.gateways) do kill(g) end
	for _, g in ipairs(f.gateways) do start_gateway(f, g) end
end

local function wait_ready()
	for _, g in ipairs(f.gateways) do wait_for(g.name .. " is ready", 8000, function() return is_ready(g) end) end
end

-- The log does not answer: no node is ready.
fault(f.store, { silent = true })
restart_all()
for _, left in ipairs { 300, 900, 2400, 5000 } do
	local a
	wait_for("an answer", 2000, function()
		a = send(f.gateways[1], "/safe/x", { left = left })
		return a.status ~= 0
	end)
	local after = tonumber(a.headers["Retry-After"])
	expect(a.status == 503 and a.body:find("not ready", 1, true), "%d ms left: %d %s", left, a.status, a.body)
	expect(after and after > 0 and after * 1000 <= left / 3, "%d ms left: Retry-After %s", left, tostring(after))
end
fault(f.store, { silent = false })
wait_ready()

-- Seven eighths of the slots of the engines are in use, and eight tenths of those of the service.
local to = callers_of(f)
local streams = start_callers(f, { to = to, path = "/stream/x", rate = RATE, tries = 3, duration_ms = 8000, seed = 1 })
local calls = start_callers(f, { to = to, path = "/safe/x", rate = 600, tries = 3, duration_ms = 8000, seed = 2 })
local others = start_callers(f, { to = to, path = "/safe/x", rate = 50, tries = 3, duration_ms = 8000, seed = 3, key = KEY_BETA })
sleep_ms(3000)
restart_all()
wait_ready()
finish_callers(streams)
finish_callers(calls)
finish_callers(others)
local served = 0
for _, g in ipairs(f.gateways) do
	for line in log_of(g):gmatch("[^\n]+") do
		local outcome, status = line:match('event=request.end.*outcome="?([^"=]-)"? status=(%d+)')
		served = served + (outcome == "answered" and 1 or 0)
		expect(not outcome or status == "200" or outcome == "node is not ready", "rejected: %s", line)
	end
end
expect(served > (RATE + 600) * 4, "only %d served by nodes that have started again", served)
