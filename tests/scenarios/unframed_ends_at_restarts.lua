-- Guards against parts of answers without framing that look complete where the next process, which does not name its
-- start, answers within milliseconds of the end of the one before.
names_start = false
dofile(scenarios .. "/gateway_words.lua")
local EVENTS, HALF, EACH, OPEN_MS, DARK_MAX_MS = 8, 4, 6, 45, 45
local ROUNDS = tonumber(os.getenv("KCF_ROUNDS") or "50")
math.randomseed(tonumber(os.getenv("KCF_SEED") or "1"))
local f = start_site { engine = { events = EVENTS, gap_ms = 5, slots = 32 } }
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }
for i = 4, 6 do engines[i] = start_runner(f, "engine-" .. i, "engines", "dc-" .. i - 3, { events = EVENTS, gap_ms = 5, slots = 32 }) end

local function start_again(r, dark_ms)
	kill_process(r.pid, SIGKILL)
	local till, is_over = now_ms() + dark_ms, false
	while not is_over or now_ms() < till do
		is_over = is_over or exited(r.pid)
		sleep_ms(1)
	end
	spawn_runner(f, r)
	wait_for(r.name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
end

local sent, cut, early = 0, 0, {}
for round = 1, ROUNDS do
	everywhere(engines, "unframed_stall", -1)
	local list, ids = {}, {}
	for i = 1, EACH * #f.gateways do
		ids[i] = fresh_id()
		list[i] = ask(f.gateways[i % #f.gateways + 1], "/once/stream/x", { id = ids[i], left = 450 })
	end
	local load = http_start(list)
	sleep_ms(OPEN_MS)
	everywhere(engines, "", 0)
	local dark_ms = math.random(0, DARK_MAX_MS)
	for i = 1, 2 do start_again(engines[(2 * round + i) % #engines + 1], dark_ms) end
	for _, r in ipairs(engines) do announce(f, r, { sequence = round + 1 }) end
	for i, a in ipairs(http_finish(load)) do
		sent = sent + 1
		if a.err then cut = cut + 1 end
		if a.status == 200 and not a.err and a.body ~= events_of(ids[i], 1, EVENTS) then
			early[#early + 1] = string.format("round %d, dark for %d ms: %s %q", round, dark_ms, ids[i], a.body)
		end
	end
end
print(string.format("%d streams, %d cut, %d look complete", sent, cut, #early))
expect(cut > 0, "no stream was cut")
expect(#early == 0, "%d of %d streams look complete:\n%s", #early, sent, table.concat(early, "\n"))
