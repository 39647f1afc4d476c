-- A fleet of 7 nodes for Náutica's deployment answers a chat.
say("starting 7 nodes, 13 upstreams and the platform's stand-ins ...")
local f = start_fleet { example = "nautica" }
local n = f.nodes[1]
local status, out = ctl { "--operators", n.operators, "--key-file", (function()
	local path = f.dir .. "/operator.key"
	local file = io.open(path, "w")
	file:write(OPERATOR)
	file:close()
	return path
end)(), "nodes" }
expect(status == 0, "kcfctl nodes: %d", status)
print(out)
local r = chat(n, { chat = "demo", text = "Rewrite: sloop, 9 m, two owners, new sails." })
expect(r.status == 200, "chat: %d %s", r.status, r.body)
print("answer of " .. r.headers["X-Upstream"] .. ":")
print(json_decode(r.body).choices[1].message.content)
