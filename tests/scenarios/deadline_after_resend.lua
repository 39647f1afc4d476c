-- Guards against an answer long after its deadline, when a resent request is kept off the connection that it comes to.
local DELAY_MS, DEADLINE_MS, LATE_MS = 700, 1000, 250
local kept
local f = start_fleet { nodes = 1, edit = function(resources)
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
u.argv = { bin .. "/kcf-runner", "--listen", u.address, "--id", u.name, "--id-header", "X-Request-Id", "--delay-ms", DELAY_MS,
	   "--refusal-body", json_encode { title = "busy", ran = "no" } }
for i, v in ipairs(u.argv) do u.argv[i] = tostring(v) end
restart(u)
wait_for("the upstream serves", 10000, function() return call(n, "mostrador", "GET", "/ready").status == 200 end)

local met = 0
for i = 1, 4 do
	local id = "late-" .. i .. "-" .. now_ms()
	-- Two kept connections; the request is refused on one, which is busy when it comes again.
	http_finish(http_start { call_request(n, "mostrador", "GET", "/w"), call_request(n, "mostrador", "GET", "/w") })
	fault(u, { mode = "shed", count = 1 })
	expect(call(n, "mostrador", "GET", "/x", { id = id }).status == 503, "it is not refused")
	sleep_ms(1100)
	local other = http_start { call_request(n, "mostrador", "GET", "/w") }
	sleep_ms(100)
	fault(u, { mode = "close", count = 1 })
	local began = now_ms()
	sleep_ms(20)
	local r = call(n, "mostrador", "GET", "/x", { id = id, deadline_ms = DEADLINE_MS })
	local ms = now_ms() - began
	http_finish(other)
	local runs = stats(u).runs[id] or 0
	if runs > 1 then met = met + 1 end
	expect(ms <= DEADLINE_MS + LATE_MS, "round %d: answered %s after %d ms", i, r.status, ms)
end
expect(met > 0, "no request was resent")
