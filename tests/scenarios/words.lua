-- Words of the scenario language. A scenario starts a fleet with its
-- stand-ins, brings about failures, and expects something of the outside.

local work = os.getenv("KCF_WORK") or "/tmp"
local dir = string.format("%s/kcf-%s-%d", work, net, now_ms())
work_dir = dir
os.execute("mkdir -p " .. dir)

SIGTERM, SIGKILL, SIGSTOP, SIGCONT, SIGHUP = 15, 9, 19, 18, 1
OPERATOR = "operator-key"

function say(fmt, ...) io.stderr:write(string.format(fmt, ...), "\n") end

function expect(ok, fmt, ...)
	if not ok then error(string.format("expectation failed: " .. fmt, ...), 2) end
end

-- Waits until fn gives a true value; fails after ms.
function wait_for(what, ms, fn)
	local ends = now_ms() + ms
	while true do
		local v = fn()
		if v then return v end
		if now_ms() >= ends then error("timed out: " .. what, 2) end
		sleep_ms(50)
	end
end

function http(request) return http_all({ request })[1] end

-- An address of this scenario alone.
function address(a, b, port) return string.format("127.%s.%d.%d:%d", net, a, b, port) end

local function write_file(path, text)
	local f = assert(io.open(path, "w"))
	f:write(text)
	f:close()
end

-- Text of a file, empty when it cannot be read.
function read_file(path)
	local f = io.open(path)
	if not f then return "" end
	local text = f:read("a")
	f:close()
	return text
end

local function start_standin(name, mode, listen, args)
	local argv = { bin .. "/kcf-standin", "--mode", mode, "--listen", listen, "--name", name }
	for k, v in pairs(args or {}) do
		argv[#argv + 1] = "--" .. k:gsub("_", "-")
		argv[#argv + 1] = tostring(v)
	end
	return { name = name, mode = mode, address = listen, args = args, argv = argv,
		 pid = spawn(argv, dir .. "/" .. name .. ".log") }
end

function operators_url(n) return (n.operator_scheme or "http") .. "://" .. n.operators end

local function answers(addr, path)
	local url = addr:find("://", 1, true) and addr or "http://" .. addr
	local r = http { url = url .. path, timeout_ms = 1000 }
	return r.status == 200 and r or nil
end

-- Starts a stopped or killed stand-in again on the same address.
function restart(standin)
	standin.pid = spawn(standin.argv, dir .. "/" .. standin.name .. ".log")
	wait_for(standin.name .. " answers", 10000, function() return answers(standin.address, "/stats") end)
end

local function node_settings(f, n)
	local seeds = {}
	for _, other in ipairs(f.nodes) do
		if other.name ~= n.name and #seeds < 2 then seeds[#seeds + 1] = '"' .. other.peer .. '"' end
	end
	return string.format([[
[node]
name = "%s"
data_centre = "%s"
region = "%s"
drain_s = %d
[callers]
listen = "%s"
max_body_bytes = 1048576
heartbeat_ms = %d
idle_timeout_s = %d
%s
[operators]
listen = "%s"
keys = [{ operator = "ana", sha256 = "%s" }, { operator = "bruno", sha256 = "%s" }]
%s
[peers]
listen = "%s"
key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
budget_bytes_per_s = %d
seeds = [%s]
[platform]
log = "http://%s"
log_retention_s = %d
host_list = "http://%s/hosts"
[log]
level = "%s"
]], n.name, n.dc, f.region, f.drain_s, n.callers, f.heartbeat_ms, f.idle_timeout_s, f.tls or "", n.operators,
		sha256(OPERATOR), sha256("operator-key-2"), f.operators_tls or "", n.peer, f.budget,
		table.concat(seeds, ", "), n.log or f.log.address, f.retention_s, f.hosts.address, LEVEL or "info")
end

function start_node(f, n)
	write_file(dir .. "/" .. n.name .. ".toml", node_settings(f, n))
	n.logfile = dir .. "/" .. n.name .. ".log"
	n.pid = spawn({ (n.bin or bin) .. "/kingcupforkd", "--config", dir .. "/" .. n.name .. ".toml" }, n.logfile)
end

function ready(n) return answers(operators_url(n), "/readyz") end

function wait_ready(f, ms)
	for _, n in ipairs(f.nodes) do
		if not n.gone then wait_for(n.name .. " is ready", ms or 20000, function() return ready(n) end) end
	end
end

local function list_hosts(f)
	local hosts = {}
	for _, n in ipairs(f.nodes) do hosts[#hosts + 1] = { name = n.name, peer = n.peer } end
	fault(f.hosts, { hosts = hosts })
end

-- start_fleet { example = "nautica", nodes = 7, engine = {...}, service = {...}, edit = function(resources) }
function start_fleet(o)
	local text = read_file(examples .. "/" .. (o.example or "nautica") .. ".toml")
	local parsed = toml_decode((text:gsub("127%.0%.", "127." .. net .. ".")))
	local f = { resources = parsed.resource, nodes = {}, upstreams = {}, engines = {}, services = {},
		    dcs = {}, drain_s = o.drain_s or 10, heartbeat_ms = o.heartbeat_ms or 5000,
		    idle_timeout_s = o.idle_timeout_s or 60, budget = o.budget or 4096,
		    retention_s = o.retention_s or 3600, dir = dir }
	f.tls, f.scheme = o.tls, o.tls and "https" or "http"
	f.operators_tls = o.operators_tls
	if o.edit then o.edit(f.resources) end
	f.log = start_standin("log", "log", address(9, 1, 9100), o.log)
	f.hosts = start_standin("hosts", "hosts", address(9, 1, 9200))
	local types = {}
	for _, r in ipairs(f.resources) do
		if r.kind == "Service" then types[r.name] = r.body.type end
		if r.kind == "DataCentre" then
			f.dcs[#f.dcs + 1] = r.name
			f.region = f.region or r.body.region
		end
	end
	for _, r in ipairs(f.resources) do
		if r.kind == "Upstream" then
			local model = types[r.body.service] == "model"
			local s = start_standin(r.name, model and "engine" or "service", r.body.address,
				model and (o.engine or { cache_tokens = r.body.cache_tokens }) or o.service)
			f.upstreams[r.name] = s
			local list = model and f.engines or f.services
			list[#list + 1] = s
		end
	end
	for i = 1, o.nodes or 7 do
		local dc = f.dcs[(i - 1) % #f.dcs + 1]
		f.nodes[i] = { scheme = f.scheme, operator_scheme = o.operators_tls and "https", name = string.format("%s-n%d", dc, i), dc = dc, callers = address(1, i, 8080),
			       operators = address(1, i, 8081), peer = address(1, i, 7946) }
	end
	wait_for("log answers", 10000, function() return answers(f.log.address, "/stats") end)
	wait_for("host list answers", 10000, function() return answers(f.hosts.address, "/stats") end)
	list_hosts(f)
	for i, n in ipairs(f.nodes) do
		n.bin = o.builds and o.builds(i)
		start_node(f, n)
	end
	wait_ready(f)
	if not o.empty then
		apply_all(f, f.resources)
		wait_for("resources in force on all nodes", 16000, function()
			for _, n in ipairs(f.nodes) do
				if not get(n, "Customer", f.resources[#f.resources].name) then return false end
			end
			return true
		end)
		wait_for("all nodes know each other", o.settle_ms or 20000, function()
			for _, n in ipairs(f.nodes) do
				if metric(n, "kcf_members_live") ~= #f.nodes then return false end
			end
			return true
		end)
		wait_for("upstreams are owned and reported", 10000, function()
			local u = operator(f.nodes[1], "GET", "/v1/upstreams")
			for _, item in ipairs(u.json.items) do
				if not item.alive or item.owner == "" then return false end
			end
			return true
		end)
	end
	return f
end

-- One call to a node's operators' interface.
function operator(n, method, path, body, headers, key)
	local h = { Authorization = "Bearer " .. (key or OPERATOR) }
	for k, v in pairs(headers or {}) do h[k] = v end
	local r = http { method = method, url = operators_url(n) .. path, headers = h,
			 body = body and json_encode(body), timeout_ms = 15000 }
	r.json = json_decode(r.body)
	return r
end

function get(n, kind, name)
	local r = operator(n, "GET", "/v1/resources/" .. kind .. "/" .. name)
	return r.status == 200 and r.json or nil
end

function put(n, kind, name, body, headers, key)
	return operator(n, "PUT", "/v1/resources/" .. kind .. "/" .. name, body, headers, key)
end

function apply_all(f, resources)
	for _, r in ipairs(resources) do
		local done = put(f.nodes[1], r.kind, r.name, r.body)
		expect(done.status == 200, "apply %s/%s: %s %s", r.kind, r.name, done.status, done.body)
	end
end

-- Changes some fields of a resource.
function change(n, kind, name, fields)
	local present = get(n, kind, name)
	local body = present.body
	for k, v in pairs(fields) do body[k] = v end
	local r = put(n, kind, name, body)
	expect(r.status == 200, "change %s/%s: %s %s", kind, name, r.status, r.body)
	return r.json
end

function metric(n, name)
	local r = answers(operators_url(n), "/metrics")
	if not r then return nil end
	for line in r.body:gmatch("[^\n]+") do
		local k, v = line:match("^(%S+) (%S+)$")
		if k == name then return tonumber(v) end
	end
end

function stats(standin)
	local r = http { url = "http://" .. standin.address .. "/stats" }
	return json_decode(r.body)
end

function fault(standin, switches)
	local r = http { method = "POST", url = "http://" .. standin.address .. "/fault", body = json_encode(switches) }
	expect(r.status == 200, "fault at %s", standin.name)
end

function kill(p) kill_process(p.pid, SIGKILL); wait_exit(p, 5000) end
function freeze(p) kill_process(p.pid, SIGSTOP) end
function thaw(p) kill_process(p.pid, SIGCONT) end
function stop(p) kill_process(p.pid, SIGTERM) end

function wait_exit(p, ms)
	local status
	wait_for(p.name .. " ends", ms, function()
		status = exited(p.pid)
		return status
	end)
	return status
end

-- Request of one chat turn.
function chat_request(n, o)
	local body = o.body or json_encode { model = o.model or MODEL, stream = o.stream or false,
		max_tokens = o.tokens or 8, messages = { { role = "user", content = o.text or "hola" } } }
	local h = { Authorization = "Bearer " .. (o.key or KEY), ["Content-Type"] = "application/json",
		    ["X-Request-Id"] = o.id, ["X-Chat-Id"] = o.chat, ["X-Deadline-Ms"] = o.deadline_ms and tostring(o.deadline_ms),
		    ["Last-Event-ID"] = o.last and tostring(o.last), Priority = o.priority }
	return { method = "POST", url = (n.scheme or "http") .. "://" .. n.callers .. "/v1/chat/completions", body = body, headers = h,
		 timeout_ms = o.timeout_ms }
end

function chat(n, o) return http(chat_request(n, o)) end

-- Plain service call.
function call_request(n, service, method, path, o)
	o = o or {}
	return { method = method, url = (n.scheme or "http") .. "://" .. n.callers .. "/v1/services/" .. service .. path, body = o.body,
		 headers = { Authorization = "Bearer " .. (o.key or KEY), ["Idempotency-Key"] = o.once,
			     ["X-Request-Id"] = o.id, ["X-Deadline-Ms"] = o.deadline_ms and tostring(o.deadline_ms) },
		 timeout_ms = o.timeout_ms }
end

function call(n, service, method, path, o) return http(call_request(n, service, method, path, o)) end

-- The same request sent straight to an engine: what the answer must be.
function direct(engine, request)
	local h = {}
	for k, v in pairs(request.headers) do h[k] = v end
	h["Last-Event-ID"] = nil
	return http { method = "POST", url = "http://" .. engine.address .. "/v1/chat/completions",
		      body = request.body, headers = h }
end

-- A stream without heartbeats.
function events(body) return (body:gsub(": heartbeat\n\n", "")) end

function problem(r) return json_decode(r.body) or {} end

function kcfctl(args, out)
	local argv = { bin .. "/kcfctl" }
	for _, a in ipairs(args) do argv[#argv + 1] = a end
	local path = string.format("%s/ctl-%d", dir, now_ms() * 1000 + math.random(0, 999))
	local p = { name = "kcfctl " .. table.concat(args, " "), path = path }
	p.pid = spawn(argv, path .. ".err", path .. ".out")
	return p
end

-- Runs kcfctl to its end; gives exit status, output and complaints.
function ctl(args)
	local p = kcfctl(args)
	local status = wait_exit(p, 60000)
	return status, read_file(p.path .. ".out"), read_file(p.path .. ".err")
end

-- Starts kcfctl load in the background; finish_load gives its report.
function start_load(n, o)
	local argv = { "--output", "json", "--callers", n.callers, "load" }
	for k, v in pairs(o) do
		argv[#argv + 1] = "--" .. k:gsub("_", "-")
		if v ~= true then argv[#argv + 1] = tostring(v) end
	end
	local p = kcfctl(argv)
	p.until_ms = now_ms() + (o.duration_ms or 0)
	return p
end

function finish_load(p)
	wait_exit(p, 120000)
	local report = json_decode(read_file(p.path .. ".out"))
	expect(report, "no report: %s", read_file(p.path .. ".err"))
	return report
end

-- The node that owns most of a service's upstreams.
function owner_of(f, service)
	local count, most, asked = {}, nil, f.nodes[1]
	for _, n in ipairs(f.nodes) do
		if not n.gone then asked = n end
	end
	for _, u in ipairs(operator(asked, "GET", "/v1/upstreams").json.items) do
		if u.service == service then
			count[u.owner] = (count[u.owner] or 0) + 1
			if not most or count[u.owner] > count[most] then most = u.owner end
		end
	end
	for _, n in ipairs(f.nodes) do
		if n.name == most then return n end
	end
end

-- A node that is none of these, to enter at.
function other_than(f, ...)
	local out = {}
	for _, n in ipairs({ ... }) do out[n] = true end
	for _, n in ipairs(f.nodes) do
		if not out[n] and not n.gone then return n end
	end
end

function refusals(report)
	local n, text = 0, ""
	for k, v in pairs(report.refused) do
		n = n + v
		text = text .. k .. "=" .. v .. " "
	end
	return n, text
end

-- Deployments of the two users.
function nautica() MODEL, KEY, SERVICE, PLAIN, ONCE = "redactor", "key-ribera", "redaccion-ia", "mostrador", "/holds" end
function plainleaf() MODEL, KEY, SERVICE, PLAIN, ONCE = "easyread", "key-county-legal", "adapt-models", "casedesk", "/orders" end
nautica()
