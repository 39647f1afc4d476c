-- Guards against events that are held too long, on connections that have lost nothing, or behind the first event or the
-- end of their stream; and against packets that are not fewer where they are held.
dofile(scenarios .. "/gateway_words.lua")
local EVENTS, GAP_MS, HOLD_MS = 40, 20, 80
-- An event reaches its caller that long after its upstream made it.
local LATE_MS = 200
local kinds = { "", "coalesce_ms = " .. HOLD_MS .. '\ncoalesce_on = "all"\n', "coalesce_ms = " .. HOLD_MS .. "\n" }
local f = start_site { engine = { gap_ms = GAP_MS, events = EVENTS }, each = function(f)
	for i, g in ipairs(f.gateways) do g.settings = "[streams]\n" .. kinds[i] end
end }
local off, all, on_loss = table.unpack(f.gateways)
local o = { max_attempts = 1, timeout_ms = 20000, target_itl_ms = 300 }
configure(f, 2, { route("/once/stream/", "streaming", "engines", o), route("/new/", "idempotent", "counter") })
for _, g in ipairs(f.gateways) do
	wait_for("the routes are in force", 4000, function() return send(g, "/new/w").status == 200 end)
end

-- Time of the head and of each event, and the number of chunks. lossy: all is lost for a while after the first events.
local function play(g, lossy)
	local id = fresh_id()
	local fd = raw_open(g.callers, "POST /once/stream/x HTTP/1.1\r\nHost: " .. HOST .. "\r\nX-Api-Key: " .. KEY1 ..
		"\r\nDeadline-Ms: 18000\r\nAttempt-Id: " .. id .. "\r\nContent-Length: 0\r\n\r\n")
	local bytes, at, seen, chunks = "", {}, 0, 0
	local from = now_ms()
	local dropped
	while not bytes:find("\r\n0\r\n\r\n", 1, true) and now_ms() < from + 8000 do
		bytes = bytes .. raw_read(fd, 1)
		local _, n = bytes:gsub("\n\n", "")
		for i = #at + 1, n do at[i] = now_ms() end
		if lossy and not dropped and n >= 5 then
			raw_drop(fd, true)
			sleep_ms(60)
			raw_drop(fd, false)
			dropped = n
		end
	end
	raw_close(fd)
	for size in bytes:gmatch("\r\n(%x+)\r\nid: ") do chunks = chunks + (tonumber(size, 16) > 0 and 1 or 0) end
	expect(#at == EVENTS, "%s: %d of %d events", g.name, #at, EVENTS)
	expect(bytes:find("\r\n0\r\n\r\n", 1, true), "%s: the stream has no end", g.name)
	local late_ms, pause_ms = 0, 0
	for i = 2, EVENTS do
		late_ms = math.max(late_ms, at[i] - at[1] - (i - 1) * GAP_MS)
		pause_ms = math.max(pause_ms, at[i] - at[i - 1])
	end
	say("%s%s: %d chunks, first after %d ms, latest event %d ms late, longest pause %d ms", g.name, lossy and " with loss" or "",
		chunks, at[1] - from, late_ms, pause_ms)
	return chunks, late_ms, pause_ms, at
end

for _ = 1, 3 do
	local plain = play(off)
	expect(plain == EVENTS, "off: %d chunks for %d events", plain, EVENTS)
	local chunks, late_ms, pause_ms = play(all)
	-- Events of 80 ms and the one that begins the time; the first one goes alone.
	expect(chunks <= EVENTS / 2, "all: %d chunks", chunks)
	expect(late_ms <= LATE_MS, "all: an event was %d ms late", late_ms)
	expect(pause_ms <= 300, "all: a pause of %d ms", pause_ms)
	chunks = play(on_loss)
	expect(chunks == EVENTS, "without loss: %d chunks for %d events", chunks, EVENTS)
	chunks = play(on_loss, true)
	expect(chunks <= EVENTS * 3 / 4, "with loss: %d chunks", chunks)
end
-- Two events in a row and the end: nothing waits.
everywhere({ f["engine-1"], f["engine-2"], f["engine-3"] }, "ends chunks 5 ", -1)
for _ = 1, 5 do
	local r = send(all, "/once/stream/x", { left = 9000 })
	expect(r.status == 200 and not r.err and r.ms < HOLD_MS, "the end came after %d ms", r.ms)
end
