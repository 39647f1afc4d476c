-- Deferred jobs: none is dropped, whatever node takes it and whichever dies;
-- each runs to its end and its answer can be read anywhere.
local f = start_fleet { engine = { token_ms = 20 }, nodes = 5 }
local jobs = {}

local function submit(n, i)
	local req = chat_request(n, { id = "digest-" .. i, text = "digest " .. i, tokens = 20 })
	req.headers.Prefer = "respond-async"
	local r = http(req)
	if r.status == 202 then jobs[#jobs + 1] = { id = json_decode(r.body).job, req = req } end
	return r
end

local function ask(n, id, key)
	return http { url = "http://" .. n.callers .. "/v1/jobs/" .. id, headers = { Authorization = "Bearer " .. (key or KEY) } }
end

for i = 1, 20 do expect(submit(f.nodes[i % 5 + 1], i).status == 202, "job %d", i) end
kill(f.nodes[4])
f.nodes[4].gone = true
for i = 21, 30 do expect(submit(f.nodes[i % 3 + 1], i).status == 202, "job %d", i) end

-- No engine runs for a while: jobs wait.
for _, e in ipairs(f.engines) do fault(e, { refuse = 1 }) end
for i = 31, 40 do expect(submit(f.nodes[1], i).status == 202, "job %d", i) end
sleep_ms(3000)
for _, e in ipairs(f.engines) do fault(e, { refuse = 0 }) end

-- The log is out: a job is refused truly.
fault(f.log, { down = 1 })
local r = submit(f.nodes[1], 99)
expect(r.status == 503 and problem(r).ran == "no" and r.headers["Retry-After"], "log outage: %s %s", r.status, r.body)
sleep_ms(1000)
fault(f.log, { down = 0 })

wait_for("all jobs are done", 60000, function()
	for _, j in ipairs(jobs) do
		local a = ask(f.nodes[2], j.id)
		if a.status ~= 200 or json_decode(a.body).state ~= "done" then return false end
	end
	return true
end)
expect(#jobs == 40, "%d jobs were taken", #jobs)
for _, j in ipairs(jobs) do
	local a = json_decode(ask(f.nodes[3], j.id).body)
	local want = json_decode(direct(f.engines[1], j.req).body).choices[1].message.content
	expect(a.status == 200, "%s: status %s", j.id, a.status)
	expect(json_decode(a.answer).choices[1].message.content == want, "%s: answer differs", j.id)
end
expect(ask(f.nodes[1], jobs[1].id, "key-delta-norte").status == 404, "another customer's job is shown")
expect(ask(f.nodes[1], "job-none").status == 404, "unknown job")
