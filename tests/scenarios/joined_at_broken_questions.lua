-- Guards against streams joined from two versions at upstreams that end while a node asks them for their start, and start again as another one, which
-- may answer too late.
dofile(scenarios .. "/gateway_words.lua")
dofile(scenarios .. "/restore_words.lua")
local NODES, STREAMS, LAST = 5, 16, 3
local QUESTION_MS, TRIES, PAUSE_MS = 300, 8, 200

local problems = {}
upstream_events = 10

local function play(report_ms)
	fresh_site(NODES)
	local engines = engines_of_site()
	local begun, batch = {}, {}
	for i = 1, STREAMS do
		begun[i] = { id = fresh_id(), path = "/stream/long/" .. i }
		batch[i] = ask(f.gateways[1], begun[i].path, { id = begun[i].id, left = 9000, timeout_ms = 9000 })
	end
	for _, a in ipairs(http_all(batch)) do expect(a.status == 200 and a.body:find("data: v1/", 1, true), "not begun: %s", a.err or a.status) end

	local function take_up()
		local list = {}
		for i, s in ipairs(begun) do
			list[i] = ask(f.gateways[2 + i % (NODES - 1)], s.path, { left = 9000, timeout_ms = 9000,
				      headers = { ["Last-Event-Id"] = tostring(LAST), Resumes = s.id } })
		end
		return http_start(list)
	end

	-- These nodes have no connection to the upstreams that could tell.
	fault(f.store, { heartbeat_ms = 0 })
	for _, r in ipairs(engines) do freeze(r) end
	local answers = { take_up() }
	sleep_ms(QUESTION_MS // 2)
	for _, r in ipairs(engines) do kill_process(r.pid, 9) end
	for _, r in ipairs(engines) do
		if report_ms then table.move({ "--report-ms", tostring(report_ms) }, 1, 2, #r.argv + 1, r.argv) end
	end
	start_unannounced_as(engines, "v2")
	for i = 2, TRIES do
		sleep_ms(PAUSE_MS)
		answers[i] = take_up()
	end
	local n = { v1 = 0, v2 = 0, refused = 0 }
	for _, handle in ipairs(answers) do
		for _, a in ipairs(http_finish(handle)) do
			local version = a.status == 200 and (a.body or ""):match("data: (v%d)/")
			n[version or "refused"] = n[version or "refused"] + 1
		end
	end
	local broke = 0
	for _, g in ipairs(f.gateways) do broke = broke + select(2, log_of(g):gsub('event=start%.asked [^\n]*error="connection broke"', "")) end
	print(string.format("reports take %d ms: %d streams of v1: taken up %d times at v1, %d at v2, %d refused or broken; %d questions broke", report_ms or 0, STREAMS, n.v1, n.v2, n.refused, broke))
	expect(broke > 0, "no question broke")
	if n.v2 > 0 then problems[#problems + 1] = string.format("reports take %d ms: %d streams that v1 began went on at v2", report_ms or 0, n.v2) end
end

play()
play(400) -- longer than nodes wait for it
expect(#problems == 0, "%s", table.concat(problems, "\n"))
