-- Guards against the second copy of a refusal that is taken for the answer to a later try of its request on the same connection.
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS, ROUNDS_MAX = 2, 8
local SETTLE_MS = 80
local f = start_site { gateways = 1, retry_ratio = 10, retry_burst = 1000, counter = { also = "second-entry" }, engine = { also = "second-entry" } }
local g = f.gateways[1]
local tries = { max_attempts = 3 }
configure(f, 2, { route("/safe/", "idempotent", "counter", tries), route("/hold/", "non_idempotent", "counter", tries),
		  route("/stream/", "streaming", "engines", { max_attempts = 3, stream_resume = true }),
		  route("/once/stream/", "streaming", "engines", tries) })
local promised = { [408] = true, [421] = true, [429] = true, [503] = true }
local born = wall_ms()

-- A new start in its entry, so that the node keeps no failures of the rounds before.
local function renew(r, id)
	born = born + 1
	announce(f, { name = id or r.name, service = r.service, dc = r.dc, address = r.address, born = born })
end

local function arrivals_at(r, id)
	local n = 0
	for _, a in ipairs(seen(r).arrivals) do
		if a.id == id then n = n + 1 end
	end
	return n
end

for _, service in ipairs {
	-- path, the upstream with two entries, another, all others
	{ "/hold/", f["counter-1"], f["counter-2"], {} },
	{ "/once/stream/", f["engine-1"], f["engine-2"], { f["engine-3"] } },
} do
	local path, twin, third, rest = table.unpack(service)
	for _, r in ipairs(rest) do store_drop(f, "keyed.servers", r.name) end
	for _, status in ipairs { 421, 503, 429, 408, 400 } do
		for _, place in ipairs { "behind", "before", "pieces", "with", "after" } do
			local met, i = 0, 0
			-- The first try may go to the third entry; then nothing is copied.
			while i < ROUNDS or (met == 0 and i < ROUNDS_MAX) do
				i = i + 1
				local what = string.format("%s, %d copied %s, round %d", path, status, place, i)
				-- With a third entry a request can run twice, without one it can run and be refused.
				if i % 2 == 0 then renew(third) else store_drop(f, "keyed.servers", third.name) end
				renew(twin)
				renew(twin, "second-entry")
				wait_for("the node has read the entries", 3000, function()
					return log_of(g):find("start=" .. born, 1, true)
				end)
				set_fault(twin, "refuse " .. status .. " " .. place, 1)
				local id = fresh_id()
				local r = send(g, path .. "x", { id = id })
				sleep_ms(SETTLE_MS)
				local runs = runs_of(f, id)
				if arrivals_at(twin, id) > 1 then met = met + 1 end
				expect(runs <= 1, "%s: it ran %d times", what, runs)
				expect(runs == 0 or not promised[r.status], "%s: answered %s and has run", what, r.status)
				expect(r.status == 200, "%s: answered %s", what, r.status)
				set_fault(twin, "", 0)
				-- Copies that are left come at requests that may be repeated, and give nobody a wrong answer.
				for _ = 1, 3 do
					local other = fresh_id()
					local a = send(g, path == "/hold/" and "/safe/x" or "/stream/x", { id = other })
					expect(a.status == 200 and a.body:find(other, 1, true), "%s: then %s %q", what, a.status, a.body)
				end
			end
			expect(met > 0, "%s, %d copied %s: no request came to one upstream twice", path, status, place)
		end
	end
	for _, r in ipairs(rest) do renew(r) end
end
