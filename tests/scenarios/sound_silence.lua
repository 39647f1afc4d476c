-- Guards against sound upstreams that fall silent for a second and are taken for crashed, or their nodes for cut.
dofile(scenarios .. "/gateway_words.lua")
local EVENTS, BATCH, PART_MS, BACK_MS = 20, 12, 150, 1500
local SILENCES_MS = { 800, 1300, 1800 }
local f = start_site { engine = { events = EVENTS, gap_ms = 100 } }
configure(f, 2, { route("/safe/", "idempotent", "counter"),
		  route("/hold/", "non_idempotent", "counter", { max_attempts = 1 }),
		  route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 8000 }),
		  route("/once/stream/", "streaming", "engines", { max_attempts = 1, timeout_ms = 8000 }) })
wait_for("the routes are in force", 4000, function()
	for _, g in ipairs(f.gateways) do
		local r = send(g, "/hold/w")
		if r.status ~= 200 or send(g, "/once/stream/w", { left = 8000 }).status ~= 200 then return false end
	end
	return true
end)

local failures = {}
local function want(ok, fmt, ...)
	if not ok then failures[#failures + 1] = string.format(fmt, ...) end
end

local function stream_of(id)
	local text = ""
	for i = 1, EVENTS do text = text .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	return text
end

local asked = {}
local function start(list, path, n, left)
	local calls = {}
	for i = 1, n do
		local g, id = f.gateways[i % #f.gateways + 1], fresh_id()
		local q = ask(g, path, { id = id, left = left, timeout_ms = left + 1000 })
		calls[i] = q
		asked[#asked + 1] = { id = id, path = path, batch = list, n = i }
	end
	list.path, list.handle = path, http_start(calls)
	return list
end

local function play(upstream, ms)
	local batches = { start({}, "/stream/x", 6, 8000), start({}, "/once/stream/x", 6, 8000) }
	sleep_ms(PART_MS)
	batches[#batches + 1] = start({}, "/hold/x", BATCH, 2500)
	freeze(upstream)
	local from = now_ms()
	batches[#batches + 1] = start({}, "/hold/x", BATCH, 2500)
	batches[#batches + 1] = start({}, "/safe/x", BATCH, 2500)
	sleep_ms(PART_MS)
	batches[#batches + 1] = start({}, "/hold/x", BATCH, 2500)
	sleep_ms(math.max(0, from + ms - now_ms()))
	thaw(upstream)
	for _, b in ipairs(batches) do b.answers = http_finish(b.handle) end
	sleep_ms(BACK_MS)
end

for _, name in ipairs { "counter-1", "engine-1" } do
	for _, ms in ipairs(SILENCES_MS) do
		asked = {}
		play(f[name], ms)
		local twice, late = {}, 0
		for _, q in ipairs(asked) do
			local r, runs = q.batch.answers[q.n], runs_of(f, q.id)
			if r.ms > 600 then late = late + 1 end
			want(r.status == 200 and not r.err, "%s silent for %d ms, %s: %s %s %s", name, ms, q.path, r.status, r.err, r.body)
			if q.path:find("stream") then want(r.body == stream_of(q.id), "%s silent for %d ms, %s: not whole: %q", name, ms, q.path, r.body) end
			if runs ~= 1 then twice[q.path] = (twice[q.path] or 0) + 1 end
		end
		want(not twice["/hold/x"] and not twice["/once/stream/x"], "%s silent for %d ms: requests for one run ran otherwise", name, ms)
		print(string.format("%s silent for %d ms: %d of %d over 600 ms; run again: %d reads, %d streams", name, ms, late, #asked,
			twice["/safe/x"] or 0, twice["/stream/x"] or 0))
	end
end
for _, g in ipairs(f.gateways) do
	local log = log_of(g)
	for line in log:gmatch("[^\n]+") do
		if line:find("reach.changed", 1, true) then print(g.name .. ": " .. line) end
		want(not (line:find("reach.changed", 1, true) and line:find("cut", 1, true)), "%s took it for a cut: %s", g.name, line)
		want(not line:find("quarantine", 1, true), "%s blames a crash: %s", g.name, line)
	end
end
expect(#failures == 0, "%d failures:\n%s", #failures, table.concat(failures, "\n", 1, math.min(#failures, 20)))
