-- The sum of the engines' power never passes the cap: while shares are lent,
-- an owner is killed, another frozen and thawed.
dofile(scenarios .. "/measure.lua")
local IDLE, SLOT, CAP = 100, 20, 100 * 10 + 20 * 60
local f = start_fleet {
	engine = { token_ms = 40 },
	edit = function(resources)
		for _, r in ipairs(resources) do
			if r.kind == "Upstream" and r.body.service == SERVICE then
				r.body.idle_w, r.body.slot_w, r.body.ramp_s = IDLE, SLOT, 0.2
			end
			if r.kind == "Site" then r.body.power_cap_w = CAP end
		end
	end,
}
local n = f.nodes[1]
sleep_ms(1500)
for _, e in ipairs(f.engines) do fault(e, { reset = 1 }) end
local load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 60, duration_ms = 20000, chats = 900,
			     max_tokens = 30, stream = true, deadline_ms = 20000 })
sleep_ms(5000)
kill(f.nodes[4])
sleep_ms(5000)
freeze(f.nodes[6])
sleep_ms(4000)
thaw(f.nodes[6])
local report = finish_load(load)
local peak, over = 0, 0
replay(f.engines, function(t, e, load_now, sum)
	local watts = IDLE * #f.engines + SLOT * sum
	if watts > peak then peak = watts end
	if watts > CAP then over = over + 1 end
end)
say("peak %d W of %d W; ok %d of %d, p99 %.0f ms", peak, CAP, report.ok, report.sent, report.total_ms.p99)
expect(over == 0, "above the cap %d times, peak %d W of %d W", over, peak, CAP)
expect(peak >= 0.8 * CAP, "the cap is not used: peak %d W", peak)
