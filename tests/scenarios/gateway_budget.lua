-- Guards against retries of all nodes together that pass the retry budget while all upstreams refuse.
dofile(scenarios .. "/gateway_words.lua")
local RATIO, BURST, WINDOW_MS, BATCH = 0.2, 54, 10000, 30
-- A node that starts has its whole share after a window and 4 s.
local SETTLED_MS = 15000
local f = start_site { gateways = 2, retry_burst = BURST }
local counters = { f["counter-1"], f["counter-2"] }
local sent = {}

-- Sends a batch to each node.
local function refuse_batches(path)
	everywhere(counters, "shed", -1)
	local batch = {}
	for i = 1, BATCH do
		for _, g in ipairs(f.gateways) do batch[#batch + 1] = ask(g, path .. i) end
	end
	sent[#sent + 1] = { at = now_ms(), n = #batch }
	http_finish(http_start(batch))
	everywhere(counters, "", 0)
end

-- Times of the arrivals beyond the first of each request.
local function repeats(path)
	local all, met, times = {}, {}, {}
	for _, r in ipairs(counters) do
		for _, a in ipairs(seen(r).arrivals) do
			if a.target:find(path, 1, true) then all[#all + 1] = a end
		end
	end
	table.sort(all, function(a, b) return a.at < b.at end)
	for _, a in ipairs(all) do
		if met[a.id] then times[#times + 1] = a.at end
		met[a.id] = true
	end
	return times
end

local function check(what, path, requests)
	local times, most = repeats(path), 0
	for i, from in ipairs(times) do
		local n = 0
		for k = i, #times do n = n + (times[k] < from + WINDOW_MS and 1 or 0) end
		most = math.max(most, n)
	end
	print(string.format("%s: %d repeats in %d ms, %g allowed", what, most, WINDOW_MS, RATIO * requests + BURST))
	expect(most > 0, "%s: nothing was repeated", what)
	expect(most <= RATIO * requests + BURST, "%s: %d repeats, %g allowed", what, most, RATIO * requests + BURST)
end

local function play(what, path)
	sent = {}
	-- Late in a second, and early in the tenth one after it.
	sleep_ms(1600 - now_ms() % 1000)
	refuse_batches(path)
	sleep_ms(sent[1].at // 1000 * 1000 + WINDOW_MS + 50 - now_ms())
	refuse_batches(path)
	check(what, path, sent[1].n + (sent[2].at < sent[1].at + WINDOW_MS and sent[2].n or 0))
end

sleep_ms(SETTLED_MS)
play("nodes in touch", "/safe/touch/")

-- One of them comes back without a way to the other.
local lone = f.gateways[2]
kill(lone)
lone.peer_key = "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
start_gateway(f, lone)
wait_for("it is ready", 8000, function() return is_ready(lone) end)
sleep_ms(SETTLED_MS)
play("nodes apart", "/safe/apart/")
