-- Both users' deployments: a request sent to any of 7 nodes is answered whole,
-- streamed and not, and carries its own request id.
for _, example in ipairs { "nautica", "plainleaf" } do
	if example == "nautica" then nautica() else plainleaf() end
	local f = start_fleet { example = example }
	for i, n in ipairs(f.nodes) do
		for _, stream in ipairs { false, true } do
			local id = string.format("req-%s-%d-%s", example, i, stream)
			local req = chat_request(n, { chat = "chat-" .. i, id = id, stream = stream, tokens = 20 })
			local r = http(req)
			expect(r.status == 200, "%s: status %s %s %s", id, r.status, r.err or "", r.body)
			expect(r.headers["X-Request-Id"] == id, "%s: id %s", id, r.headers["X-Request-Id"])
			local want = direct(f.engines[1], req)
			if stream then
				expect(events(r.body) == want.body, "%s: stream differs", id)
			else
				local got, model = json_decode(r.body), json_decode(want.body)
				expect(got.id == id, "%s: body of another", id)
				expect(got.choices[1].message.content == model.choices[1].message.content, "%s: text differs", id)
			end
		end
		local r = call(n, PLAIN, "GET", "/boats?length=9", { id = "plain-" .. i })
		expect(r.status == 200, "plain: %s %s", r.status, r.body)
		local got = json_decode(r.body)
		expect(got.path == "/boats" and got.request_id == "plain-" .. i, "plain: %s", r.body)
		local models = http { url = "http://" .. n.callers .. "/v1/models", headers = { Authorization = "Bearer " .. KEY } }
		expect(json_decode(models.body).data[1].id == MODEL, "models: %s", models.body)
	end
	for _, p in ipairs(f.nodes) do stop(p) end
	for _, p in ipairs(f.nodes) do expect(wait_exit(p, 15000) == 0, "%s did not stop gracefully", p.name) end
	for _, p in pairs(f.upstreams) do stop(p); wait_exit(p, 5000) end
	stop(f.log); wait_exit(f.log, 5000)
	stop(f.hosts); wait_exit(f.hosts, 5000)
end
