-- Guards against retries that reach an upstream again without a charge to the retry budget.
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS = 4
local f = start_site { gateways = 1, retry_burst = 3000 }
local g = f.gateways[1]
local function metric(name)
	return tonumber(http { url = "http://" .. g.admin .. "/metrics" }.body:match("\n" .. name .. " (%d+)"))
end
for i = 3, 6 do start_runner(f, "counter-" .. i, "counter", "dc-" .. (i % 3 + 1)) end
configure(f, 2, { route("/safe/", "idempotent", "counter", { max_attempts = 6 }) })
sleep_ms(15000)

-- Some upstreams can't be reached, others are of another start or refuse.
local cases = { { "gone", "other" }, { "gone", "shed" }, { "gone", "other", "shed" }, { "gone", "gone", "other", "other" } }
local repeats, met = 0, {}
for _, faults in ipairs(cases) do
	for round = 1, ROUNDS do
		for i, fault in ipairs(faults) do
			local r = f["counter-" .. ((i + round) % 6 + 1)]
			r.fault = fault
			if fault == "gone" then kill(r) else set_fault(r, fault, -1) end
		end
		local batch = {}
		for i = 1, 24 do batch[i] = ask(g, "/safe/x") end
		http_finish(http_start(batch))
		for i = 1, 6 do
			local r = f["counter-" .. i]
			for _, a in ipairs(r.fault == "gone" and {} or seen(r).arrivals) do
				local key = r.name .. r.pid .. a.id .. a.at
				if not met[key] then
					met[key] = true
					if met[a.id] then repeats = repeats + 1 end
					met[a.id] = true
				end
			end
			if r.fault == "gone" then
				spawn_runner(f, r)
			elseif r.fault then
				set_fault(r, "", 0)
			end
			r.fault = nil
		end
		sleep_ms(3200) -- ejected upstreams are taken again
		local charged = metric("kcf_retries_total") - metric("kcf_retries_uncharged_total")
		expect(repeats <= charged, "%s, round %d: %d repeats, %d charged", table.concat(faults, " "), round, repeats, charged)
	end
end
print(string.format("%d repeats, %d retries, %d of them uncharged", repeats, metric("kcf_retries_total"), metric("kcf_retries_uncharged_total")))
expect(repeats > 0 and metric("kcf_retries_uncharged_total") > 0, "nothing was repeated, or all of it charged")
