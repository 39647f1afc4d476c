-- Words for nodes on the users' platform: a store, runners and gateways.

-- Directories list as many nodes as a fleet without load needs, and no more.
local LISTED_WITHOUT_LOAD = 15
HOST, KEY1, KEY_BETA = "site.example", "key-one", "key-beta"
PEER_KEY = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

-- Routes of a manifest; fields given go before these.
function route(prefix, kind, service, o)
	local r = { name = "r" .. prefix, host = HOST, path_prefix = prefix, route_type = kind, service = service,
		    timeout_ms = 3000, target_latency_ms = 200, priority = 1, max_attempts = 2, public = false,
		    session_affinity = kind == "streaming", stream_resume = false }
	for k, v in pairs(o or {}) do r[k] = v end
	return r
end

function manifest(version, routes)
	return json_encode { version = version, routes = routes,
		services = { { name = "engines", cold_per_s = 0, max_connections = 100, health_path = "/healthz" },
			     { name = "counter", cold_per_s = 0, max_connections = 100, health_path = "/healthz" } },
		tenants = { { name = "acme", api_keys = { KEY1, "key-two" } },
			    { name = "beta", api_keys = { KEY_BETA } } } }
end

function routes()
	return { route("/safe/", "idempotent", "counter"),
		 route("/hold/", "non_idempotent", "counter", { max_attempts = 1 }),
		 route("/open/", "idempotent", "counter", { public = true }),
		 route("/stream/", "streaming", "engines", { stream_resume = true }),
		 route("/once/stream/", "streaming", "engines", { max_attempts = 1 }) }
end

function store_put(f, topic, key, value) fault(f.store, { put = { { topic, key, value } } }) end
function store_drop(f, topic, key) fault(f.store, { put = { { topic, key, false } } }) end
function configure(f, version, list) store_put(f, "keyed.op", "config", manifest(version, list or routes())) end

function announce(f, r, fields)
	local e = { service = r.service, address = r.address, zone = r.dc, version = "v1", slot_count = 8,
		    state = "ready", cold_remaining_ms = 0, born = r.born, sequence = 1 }
	for k, v in pairs(fields or {}) do e[k] = v end
	store_put(f, "keyed.servers", r.name, json_encode(e))
end

-- Starts its process, the first time or again; its address may not be free yet if the one before has just been killed.
function spawn_runner(f, r) r.pid = spawn(r.argv, f.dir .. "/" .. r.name .. ".log") end

-- Its process ends, and its entry goes.
function remove_runner(f, r)
	kill(r)
	r.gone = true
	store_drop(f, "keyed.servers", r.name)
end

-- A scenario sets names_start to false before for runners that do not name their start.
function start_runner(f, name, service, dc, o)
	local n = #f.runners + 1
	local r = { name = name, service = service, dc = dc, address = address(5, n, 9000), born = wall_ms() }
	local argv = { bin .. "/kcf-runner", "--listen", r.address, "--id", name }
	if names_start ~= false then table.move({ "--born", tostring(r.born) }, 1, 2, #argv + 1, argv) end
	for k, v in pairs(o or {}) do
		argv[#argv + 1] = "--" .. k:gsub("_", "-")
		argv[#argv + 1] = tostring(v)
	end
	r.argv = argv
	spawn_runner(f, r)
	f.runners[n] = r
	f[name] = r
	wait_for(name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
	announce(f, r)
	return r
end

local function settings(f, g)
	local seeds = {}
	for _, other in ipairs(f.gateways) do
		if other ~= g and #seeds < 3 then seeds[#seeds + 1] = '"' .. other.admin .. '"' end
	end
	return string.format([[
[node]
name = "%s"
data_centre = "%s"
region = "r"
stop_s = %g
%s[listen]
callers = "%s"
readiness = "%s"
directory = "%s"
admin = "%s"
peers = "%s"
[peers]
key = "%s"
seeds = [%s]
[store]
address = "%s"
[retries]
ratio = %g
burst = %d
window_s = 10
%s]], g.name, g.dc, f.stop_s, g.node_settings or "", g.callers, g.readiness, g.directory, g.admin, g.peers, g.peer_key or PEER_KEY, table.concat(seeds, ", "),
		g.store or f.store.address, f.retry_ratio, f.retry_burst, (f.more_settings or "") .. (g.settings or ""))
end

function start_gateway(f, g)
	local path = f.dir .. "/" .. g.name .. ".toml"
	local out = assert(io.open(path, "w"))
	out:write(settings(f, g))
	out:close()
	g.out = f.dir .. "/" .. g.name .. ".out"
	g.started = now_ms()
	local argv = { (g.bin or bin) .. "/kingcupforkd", "--gateway", path }
	if g.source then
		argv = { "/usr/bin/env", "LD_PRELOAD=" .. bin .. "/kcf-source.so", "KCF_SOURCE=" .. g.source,
			 "KCF_CUT=" .. (g.cut_file or ""), table.unpack(argv) }
	end
	if g.descriptors_max then
		argv = { "/bin/sh", "-c", 'ulimit -n ' .. g.descriptors_max .. '; exec "$@"', "sh", table.unpack(argv) }
	end
	g.pid = spawn(argv, f.dir .. "/" .. g.name .. ".err", g.out)
end

-- Nodes of the fleet f lose power at once.
function power_cycle(list, dark_ms)
	for _, g in ipairs(list) do kill(g) end
	sleep_ms(dark_ms)
	for _, g in ipairs(list) do start_gateway(f, g) end
end

function is_ready(g) return http { url = "http://" .. g.readiness .. "/api/readyz", timeout_ms = 500 }.status == 200 end

function members_live(g)
	local body = http { url = "http://" .. g.admin .. "/metrics", timeout_ms = 500 }.body or ""
	return tonumber(body:match("\nkcf_members_live (%d+)"))
end

function start_site(o)
	o = o or {}
	local f = { runners = {}, gateways = {}, dir = work_dir, stop_s = o.stop_s or 8,
		    retry_ratio = o.retry_ratio or 0.2, retry_burst = o.retry_burst or 54, more_settings = o.more_settings }
	f.store = { name = "store", address = address(9, 2, 9300) }
	f.store.argv = { bin .. "/kcf-standin", "--mode", "store", "--listen", f.store.address }
	f.store.pid = spawn(f.store.argv, f.dir .. "/store.log")
	wait_for("store answers", 5000, function()
		return http { url = "http://" .. f.store.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
	configure(f, 1)
	for i = 1, 3 do start_runner(f, "engine-" .. i, "engines", "dc-" .. i, o.engine) end
	for i = 1, 2 do start_runner(f, "counter-" .. i, "counter", "dc-" .. i, o.counter) end
	for i = 1, o.gateways or 3 do
		f.gateways[i] = { name = "g" .. i, dc = "dc-" .. i, callers = address(4, i, 8001), readiness = address(4, i, 8002),
				  directory = address(4, i, 8003), admin = address(4, i, 8004), peers = address(4, i, 8005) }
	end
	if o.each then o.each(f) end
	for _, g in ipairs(f.gateways) do start_gateway(f, g) end
	for _, g in ipairs(f.gateways) do wait_for(g.name .. " is ready", 8000, function() return is_ready(g) end) end
	wait_for("all gateways know each other", 10000, function()
		for _, g in ipairs(f.gateways) do
			if #(lookup(g) or {}) ~= math.min(#f.gateways, LISTED_WITHOUT_LOAD) then return false end
			if members_live(g) ~= #f.gateways then return false end
		end
		return true
	end)
	return f
end

function lookup(g)
	local r = http { url = "http://" .. g.directory .. "/api/lookup?name=" .. HOST .. "&region=r&zone=dc-1", timeout_ms = 500 }
	local body = r.status == 200 and json_decode(r.body)
	return body and body.addresses, body and body.ttl_s
end

local serial = 0
function fresh_id()
	serial = serial + 1
	return string.format("%s-%d-%d", net, now_ms(), serial)
end

-- One request of a caller.
function ask(g, path, o)
	o = o or {}
	local h = { Host = HOST, ["Attempt-Id"] = o.id or fresh_id(), ["Deadline-Ms"] = tostring(o.left or 2500),
		    ["X-Api-Key"] = o.key or KEY1 }
	for k, v in pairs(o.headers or {}) do h[k] = v end
	return { method = o.method or "POST", url = "http://" .. g.callers .. path, headers = h, body = o.body or "order",
		 timeout_ms = o.timeout_ms or 5000 }
end

function send(g, path, o) return http(ask(g, path, o)) end

function set_fault(r, mode, count)
	local a = http { method = "POST", url = "http://" .. r.address .. "/fault",
			 body = json_encode { mode = mode, count = count or 1 } }
	expect(a.status == 200, "fault at %s", r.name)
end

function seen(r) return json_decode(http { url = "http://" .. r.address .. "/stats" }.body) end

-- The same fault at several runners.
function everywhere(list, mode, count)
	for _, r in ipairs(list) do set_fault(r, mode, count) end
end

-- Runs that several runners gave up because their caller had left.
function aborted(list)
	local n = 0
	for _, r in ipairs(list) do n = n + seen(r).aborted end
	return n
end

-- How often a request ran, at all runners together.
function runs_of(f, id)
	local n = 0
	for _, r in ipairs(f.runners) do
		if not r.gone then n = n + (seen(r).runs[id] or 0) end
	end
	return n
end

-- The upstream of a list that runs a request, once one does.
function runner_of(list, id)
	local found
	wait_for(id .. " runs", 3000, function()
		for _, r in ipairs(list) do
			if (seen(r).runs[id] or 0) > 0 then found = r end
		end
		return found
	end)
	return found
end

-- The events of an upstream's stream that has no version and no padding.
function events_of(id, from, to)
	local text = ""
	for i = from, to do text = text .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
	return text
end

-- The body of a chunked answer, and whether its end came.
function unchunk(bytes)
	local at = select(2, bytes:find("\r\n\r\n", 1, true)) + 1
	local parts = {}
	while true do
		local size, next_at = bytes:match("^(%x+)\r\n()", at)
		local n = size and tonumber(size, 16)
		if not n or n == 0 then return table.concat(parts), n == 0 end
		parts[#parts + 1] = bytes:sub(next_at, next_at + n - 1)
		at = next_at + n + 2
	end
end

function log_of(g) return read_file(g.out) end

-- Starts callers in the background; finish_callers gives their report.
function start_callers(f, o)
	local argv = { table.unpack(o.env or {}) }
	argv[#argv + 1] = bin .. "/kcf-caller"
	o.env = nil
	for k, v in pairs(o) do
		argv[#argv + 1] = "--" .. k:gsub("_", "-")
		if v ~= "" then argv[#argv + 1] = tostring(v) end
	end
	f.callers = (f.callers or 0) + 1
	local p = { name = "callers", path = f.dir .. "/callers-" .. f.callers }
	p.pid = spawn(argv, p.path .. ".err", p.path .. ".out")
	return p
end

function finish_callers(p)
	expect(wait_exit(p, 120000) == 0, "callers: %s", read_file(p.path .. ".err"))
	return json_decode(read_file(p.path .. ".out"))
end

function callers_of(f, nodes)
	local list = {}
	for _, g in ipairs(nodes or f.gateways) do list[#list + 1] = g.callers end
	return table.concat(list, ",")
end
