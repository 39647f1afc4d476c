-- Upstreams report a pace: one customer asks for more than a service can do, ten
-- times what another one does. The little one is served, the other one is told
-- when to come back; nothing is rejected while the service has room, and what
-- cannot be answered by its deadline is rejected at once.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { more_settings = "[placement]\nadmission = true\n", counter = { slots = 6, delay_ms = 100, waits = 24, pace = 100 } }
local to = callers_of(f)
for i = 1, 2 do announce(f, f["counter-" .. i], { slot_count = 6, sequence = 2 }) end
sleep_ms(1500)

for i = 1, 30 do
	local a = send(f.gateways[i % 3 + 1], "/safe/x")
	expect(a.status == 200, "no load: %d %s", a.status, a.body)
end
for _, g in ipairs(f.gateways) do
	expect(log_of(g):find("event=admission.active", 1, true), "%s has not read the pace", g.name)
	local a = send(g, "/safe/x", { left = 30 })
	expect(a.status == 503 and a.body:find("late", 1, true), "30 ms for 100 ms of work: %d %s", a.status, a.body)
	wait_for("a line of the rejection", 1000, function() return log_of(g):find('outcome="?late"? status=503') end)
end

local much = start_callers(f, { to = to, path = "/safe/x", rate = 150, duration_ms = 6000, seed = 1 })
sleep_ms(500)
local little = start_callers(f, { to = to, path = "/safe/x", rate = 15, duration_ms = 5000, seed = 2, key = KEY_BETA })
local l, m = finish_callers(little), finish_callers(much)

expect(l.sent > 0 and l.whole >= 0.9 * l.sent, "the little customer: %s", json_encode(l))
expect(m.refused > 0 and m.whole + m.refused == m.sent, "the other one: %s", json_encode(m))
expect(m.timeless == 0 and l.timeless == 0, "rejections without Retry-After")
expect(log_of(f.gateways[1]):find('outcome="over its share" status=429'), "no line of a rejection")
-- Four fifths of 120 requests a second, less what the little one had.
expect(m.whole + l.whole >= 0.8 * 120 * 6, "slots were left empty: %d and %d", m.whole, l.whole)
