-- TLS towards callers, operators and between nodes; a new certificate is taken
-- without a restart, while an open stream goes on.
local certs = scenarios .. "/../certs"
CA_FILE = certs .. "/ca.pem"
local dir = os.tmpname()
os.remove(dir)
os.execute("mkdir -p " .. dir)

local function install(version)
	os.execute(string.format("cp %s/node-%d.pem %s/node.pem && cp %s/node-%d.key %s/node.key", certs, version, dir, certs, version, dir))
end

install(1)
local f = start_fleet { nodes = 3, engine = { token_ms = 30 },
	operators_tls = string.format('tls_cert = "%s/node.pem"\ntls_key = "%s/node.key"', dir, dir),
	tls = string.format('tls_cert = "%s/node.pem"\ntls_key = "%s/node.key"\ntls_ca = "%s"', dir, dir, CA_FILE) }
local n = f.nodes[1]
for i = 1, 10 do
	local req = chat_request(f.nodes[i % 3 + 1], { chat = "tls-" .. i, id = "tls-" .. i, stream = true })
	local r = http(req)
	expect(r.status == 200 and events(r.body) == direct(f.engines[1], req).body, "chat %d: %s %s", i, r.status, r.err or r.body)
end
local forwarded = 0
for _, node in ipairs(f.nodes) do forwarded = forwarded + metric(node, "kcf_forwarded_total") end
expect(forwarded > 0, "nothing went from node to node")
local plain = http { url = "http://" .. n.callers .. "/v1/models", timeout_ms = 2000 }
expect(plain.status ~= 200, "plain TCP is answered")

-- Operators: kcfctl with the authority; nothing without TLS, nothing for a stranger's certificate.
local status, out = ctl { "--operators", "https://" .. n.operators, "--ca-file", CA_FILE, "--key-file", dir .. "/key", "get", "Site", "site" }
expect(status ~= 0, "kcfctl without a key: %s", out)
local key = io.open(dir .. "/key", "w")
key:write(OPERATOR)
key:close()
local err
status, out, err = ctl { "--operators", "https://" .. n.operators, "--ca-file", CA_FILE, "--key-file", dir .. "/key", "get", "Site", "site" }
expect(status == 0 and out:find("load_bound", 1, true), "kcfctl over TLS: exit %d, %s %s", status, out, err)
for what, address in pairs { ["without TLS"] = n.operators, ["without the authority"] = "https://" .. n.operators } do
	status, out = ctl { "--operators", address, "--key-file", dir .. "/key", "get", "Site", "site" }
	expect(status == 5, "kcfctl %s: exit %d, %s", what, status, out)
end
-- A node that starts while the log is out takes the configuration from a peer over TLS.
fault(f.log, { down = 1 })
kill(f.nodes[3])
start_node(f, f.nodes[3])
wait_for("a node joins over TLS without the log", 15000, function() return ready(f.nodes[3]) end)
fault(f.log, { down = 0 })

local function serial(address)
	local pipe = io.popen("echo | openssl s_client -connect " .. (address or n.callers) .. " 2>/dev/null | openssl x509 -noout -subject 2>/dev/null")
	local text = pipe:read("a")
	pipe:close()
	return text
end

local req = chat_request(n, { chat = "long", id = "long-1", stream = true, tokens = 100 })
local pending = http_start { req }
sleep_ms(500)
local before = serial()
install(2)
kill_process(n.pid, SIGHUP)
sleep_ms(700)
local after = serial()
expect(before:find("node 1") and after:find("node 2"), "certificate: %s then %s", before, after)
expect(serial(n.operators):find("node 2"), "operators' certificate is the old one")
local r = http_finish(pending)[1]
expect(events(r.body) == direct(f.engines[1], req).body, "the open stream was cut by the reload")
expect(chat(n, { chat = "after" }).status == 200, "chat with the new certificate")

-- A broken file changes nothing.
local write = io.open(dir .. "/node.pem", "w")
write:write("nonsense")
write:close()
kill_process(n.pid, SIGHUP)
sleep_ms(500)
expect(chat(n, { chat = "after" }).status == 200, "chat after a broken certificate")
local last = serial()
expect(last:find("node 2"), "a broken certificate was taken: %s", last)
