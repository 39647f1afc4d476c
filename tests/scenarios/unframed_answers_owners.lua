-- Guards against parts of plain answers that look complete though their upstream's process ended, at nodes with owners.
local ROUNDS = 4
local kept
local f = start_fleet { nodes = 1, edit = function(resources)
	-- One plain upstream, so that each try comes to it.
	for i = #resources, 1, -1 do
		local r = resources[i]
		if r.kind == "Upstream" and r.body.service == "mostrador" then
			if kept then table.remove(resources, i) end
			kept = kept or r
		end
	end
end }
local n = f.nodes[1]
local u = f.upstreams[kept.name]
kill(u)
u.argv = { bin .. "/kcf-runner", "--listen", u.address, "--id", u.name, "--id-header", "X-Request-Id" }
restart(u)
local function served() return call(n, "mostrador", "GET", "/ready").status == 200 end
wait_for("the upstream serves", 10000, served)

local bad = {}
for i = 1, ROUNDS do
	local method = i % 2 == 0 and "GET" or "POST"
	local id = string.format("part-%d-%d", i, now_ms())
	fault(u, { mode = "unframed_stall", count = -1 })
	local load = http_start { call_request(n, "mostrador", method, "/x", { id = id, body = method == "POST" and "{}" or nil }) }
	wait_for(id .. " runs", 3000, function() return (stats(u).runs[id] or 0) > 0 end)
	sleep_ms(60)
	kill(u)
	restart(u)
	local r = http_finish(load)[1]
	if r.status == 200 and not r.err and not pcall(function() expect(json_decode(r.body), "") end) then
		bad[#bad + 1] = string.format("%s: %s %q", method, r.status, r.body)
	end
	wait_for("the upstream serves again", 10000, served)
end
expect(#bad == 0, "%d of %d look complete: %s", #bad, ROUNDS, table.concat(bad, "\n"))
