-- Guards against parts of answers that look complete since their head names a transfer coding or a length that marks no end.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { engine = { events = 8, gap_ms = 5 }, gateways = 1 }
local counters, engines = { f["counter-1"], f["counter-2"] }, { f["engine-1"], f["engine-2"], f["engine-3"] }
local bad = {}

local cases = {
	{ "/hold/", counters, "unframed_identity_stall" },
	{ "/hold/", counters, "unframed_overlong_stall" },
	{ "/once/stream/", engines, "unframed_identity_stall" },
	{ "/once/stream/", engines, "unframed_overlong_stall" },
}

for _, c in ipairs(cases) do
	local path, list, mode = table.unpack(c)
	local id = fresh_id()
	everywhere(list, mode, -1)
	local load = http_start { ask(f.gateways[1], path .. "x", { id = id }) }
	local r = runner_of(list, id)
	sleep_ms(60)
	kill(r)
	local a = http_finish(load)[1]
	if a.status == 200 and not a.err then bad[#bad + 1] = string.format("%s, %s: %q", path, mode, a.body) end
	spawn_runner(f, r)
	wait_for(r.name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
	everywhere(list, "", 0)
	wait_for("requests are served again", 6000, function() return send(f.gateways[1], path .. "calm").status == 200 end)
end
expect(#bad == 0, "%d of %d look complete: %s", #bad, #cases, table.concat(bad, "\n"))
