-- Guards against the second copy of a refusal that is taken for the answer to its request when the caller sends that again.
local ROUNDS = 3
-- Between tries, as callers are told.
local PAUSE_MS = 1100
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
u.argv = { bin .. "/kcf-runner", "--listen", u.address, "--id", u.name, "--id-header", "X-Request-Id",
	   "--refusal-body", json_encode { title = "busy", ran = "no" } }
restart(u)
wait_for("the upstream serves", 10000, function() return call(n, "mostrador", "GET", "/ready").status == 200 end)

local problems, met = {}, 0
for i = 1, ROUNDS do
	for _, status in ipairs { 503, 429 } do
		for _, place in ipairs { "before", "pieces", "with" } do
			local what = string.format("%d copied %s, round %d", status, place, i)
			local id = string.format("again-%s-%d", what:gsub("[ ,]+", "-"), now_ms())
			fault(u, { mode = "refuse " .. status .. " " .. place, count = 1 })
			local first = call(n, "mostrador", "GET", "/x", { id = id })
			if first.status ~= 503 or problem(first).ran ~= "no" then
				problems[#problems + 1] = string.format("%s: the refusal came as %s", what, first.status)
			end
			sleep_ms(PAUSE_MS)
			local r = call(n, "mostrador", "GET", "/x", { id = id })
			sleep_ms(100)
			local runs = stats(u).runs[id] or 0
			met = met + runs
			if r.status ~= 200 then
				problems[#problems + 1] = string.format("%s: answered %s, ran: %s, and ran %d times", what, r.status,
					problem(r).ran or "-", runs)
			end
		end
	end
end
expect(met > 0, "no request ran when it came again")
expect(#problems == 0, "%s", table.concat(problems, "\n"))

-- A job runs under one id until it is served.
for i = 1, ROUNDS do
	fault(u, { mode = "refuse 503 before", count = 1 })
	local order = call_request(n, "mostrador", "GET", "/x", { id = "order-" .. i .. "-" .. now_ms() })
	order.headers.Prefer = "respond-async"
	local taken = http(order)
	expect(taken.status == 202, "a job was answered %s %s", taken.status, taken.body)
	local job = json_decode(taken.body).job
	wait_for("the job is done", 15000, function()
		local a = http { url = "http://" .. n.callers .. "/v1/jobs/" .. job, headers = { Authorization = "Bearer " .. KEY } }
		return a.status == 200 and json_decode(a.body).state == "done"
	end)
	expect(stats(u).runs[job] == 1, "job %d was refused once and ran %s times", i, stats(u).runs[job])
end
