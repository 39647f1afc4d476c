-- Control traffic stays within 4 KB a second a node: idle, under load, and
-- while nodes fail.
local f = start_fleet {}
local n = f.nodes[1]
sleep_ms(3000)

local function window(what, ms, during)
	local before = {}
	for i, node in ipairs(f.nodes) do before[i] = metric(node, "kcf_control_sent_bytes_total") end
	local started = now_ms()
	if during then during() end
	sleep_ms(math.max(0, ms - (now_ms() - started)))
	local seconds = (now_ms() - started) / 1000
	local most = 0
	for i, node in ipairs(f.nodes) do
		local after = metric(node, "kcf_control_sent_bytes_total")
		if after then most = math.max(most, (after - before[i]) / seconds) end
	end
	say("%s: at most %.0f B/s a node", what, most)
	expect(most <= 4096, "%s: %.0f B/s", what, most)
end

window("idle", 8000)
local load = start_load(n, { model = MODEL, service = SERVICE, keys = KEY, rate = 80, duration_ms = 26000, chats = 600,
			     max_tokens = 30, stream = true })
window("under load", 8000)
window("two nodes killed", 12000, function()
	kill(f.nodes[6])
	sleep_ms(3000)
	kill(f.nodes[7])
end)
finish_load(load)
