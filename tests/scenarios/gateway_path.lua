-- The whole path on the users' platform: a caller's request reaches a runner
-- unchanged, and the runner's answer the caller.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site()
local g = f.gateways[1]

local function last(r)
	local a = seen(r).arrivals
	return a[#a]
end

local function arrival(id)
	for _, r in ipairs(f.runners) do
		for _, a in ipairs(seen(r).arrivals) do
			if a.id == id then return a, r end
		end
	end
end

-- Statuses by route, key and path.
for _, c in ipairs {
	{ "/safe/a", nil, 200 }, { "/safe/a", "unknown", 401 }, { "/open/a", "unknown", 200 }, { "/hold/a", nil, 200 },
	{ "/none/a", nil, 404 }, { "/safe", nil, 404 }, { "/stream/a", nil, 200 },
} do
	local r = send(g, c[1], { key = c[2] })
	expect(r.status == c[3], "%s with key %s: %s %s", c[1], c[2], r.status, r.body)
end

-- Path, query and body byte for byte; what others may not set is not passed on.
local id = fresh_id()
local path = "/safe/a%2Fb/../c//d;x=%20?q=%3D&q=a+b&empty"
local function raw(id, path, headers, body)
	local lines = { "POST " .. path .. " HTTP/1.1", "Host: " .. HOST, "X-Api-Key: " .. KEY1, "Deadline-Ms: 2500",
			"Attempt-Id: " .. id, "Content-Length: " .. #body }
	for k, v in pairs(headers) do lines[#lines + 1] = k .. ": " .. v end
	local fd = raw_open(g.callers, table.concat(lines, "\r\n") .. "\r\n\r\n" .. body)
	local bytes = raw_read(fd, 400)
	raw_close(fd)
	return bytes
end

local r = raw(id, path, {
	Tenant = "forged", ["Target-Instance"] = "forged", ["Kv-From"] = "forged", ["Cache-Retention"] = "forged",
	["Pin-Ms"] = "1", ["Kv-Replica"] = "forged", ["X-Own"] = "kept", ["X-Hop"] = "dropped", Connection = "X-Hop" },
	"body \1 bytes")
expect(r:find("^HTTP/1.1 200"), "answer %s", r)
local a, at = arrival(id)
expect(a.target == path, "path became %s", a.target)
expect(a.body == "body \1 bytes", "body became %q", a.body)
expect(a.Tenant == "acme" and a["Target-Instance"] == at.name, "set by us: %s %s", a.Tenant, a["Target-Instance"])
expect(not a["X-Api-Key"], "the key was passed on")
for _, h in ipairs { "Kv-From", "Cache-Retention", "Pin-Ms", "Kv-Replica", "X-Hop" } do
	expect(not a[h], "%s was passed on", h)
end
expect(a["X-Own"] == "kept", "a header got lost")
expect(tonumber(a["Deadline-Ms"]) <= 2500, "deadline %s", a["Deadline-Ms"])
expect(r:find("Response-Signature: sig-" .. at.name .. "-" .. id, 1, true), "signature: %s", r)

-- A stream is whole and in order.
id = fresh_id()
local answer = send(g, "/stream/a", { id = id })
local expected = ""
for i = 1, 5 do expected = expected .. "id: " .. i .. "\ndata: " .. id .. "-" .. i .. "\n\n" end
expect(answer.body == expected, "stream: %q", answer.body)

-- Prompts that share parts go to one runner, from every gateway.
local places = {}
for _, node in ipairs(f.gateways) do
	for i = 1, 4 do
		id = fresh_id()
		send(node, "/stream/p", { id = id, headers = { Model = "m", ["Token-Usage"] = "900,10",
			["Prompt-Prefix"] = "aa:500,bb:300,c" .. i .. ":100" } })
		local _, runner = arrival(id)
		places[runner.name] = true
	end
end
local count = 0
for _ in pairs(places) do count = count + 1 end
expect(count == 1, "a shared prompt went to %d runners", count)

-- The directory names all that are ready.
local addresses, ttl = lookup(g)
expect(#addresses == 3 and ttl > 0 and ttl <= 5, "directory: %d for %s s", #addresses, ttl)

-- A runner that leaves gets nothing after two seconds; one that comes is used.
announce(f, f["counter-1"], { state = "draining", sequence = 2 })
store_drop(f, "keyed.servers", "engine-1")
sleep_ms(2000)
local before, gone = #seen(f["counter-1"]).arrivals, #seen(f["engine-1"]).arrivals
for i = 1, 30 do
	expect(send(f.gateways[i % 3 + 1], "/safe/x").status == 200, "not served while a runner leaves")
	expect(send(f.gateways[i % 3 + 1], "/stream/x").status == 200, "no stream while a runner leaves")
end
expect(#seen(f["counter-1"]).arrivals == before, "a leaving runner got work")
expect(#seen(f["engine-1"]).arrivals == gone, "a runner that is gone got work")

-- Entries that cannot be read name no runner; the others hold.
for i, bytes in ipairs { "{", "[]", '{"service":"counter"}', '{"service":7,"address":"127.0.0.1:1"}' } do
	store_put(f, "keyed.servers", "odd-" .. i, bytes)
end
sleep_ms(1500)
expect(send(g, "/safe/x").status == 200, "an unreadable entry stopped service")

-- A data centre that is out gets nothing.
store_put(f, "keyed.op", "evacuate/dc-2", "{}")
sleep_ms(2000)
before = #seen(f["engine-2"]).arrivals
for i = 1, 20 do expect(send(g, "/stream/y" .. i).status == 200, "not served while a data centre is out") end
expect(#seen(f["engine-2"]).arrivals == before, "a data centre that is out got work")
store_drop(f, "keyed.op", "evacuate/dc-2")

-- Configuration only goes forward.
configure(f, 5, { route("/new/", "idempotent", "counter") })
configure(f, 4)
sleep_ms(2000)
for _, node in ipairs(f.gateways) do
	expect(send(node, "/new/a").status ~= 404, "%s lacks the new route", node.name)
	expect(send(node, "/safe/a").status == 404, "%s went back", node.name)
end

-- Metrics and logs explain what happened.
expect(http { url = "http://" .. g.admin .. "/metrics" }.body:find("kcf_requests_total"), "no metrics")
expect(log_of(g):find("event=request.end request=" .. id:gsub("%-", "%%-")) or
       log_of(f.gateways[3]):find("event=request.end request=" .. id:gsub("%-", "%%-")), "no log line of a request")
-- Upstreams that report no pace leave nodes without a word about prompts.
for _, node in ipairs(f.gateways) do
	local body = http { url = "http://" .. node.admin .. "/metrics" }.body
	expect(body:find('kcf_warmth_pairs_total{change="told"} 0\n', 1, true), "%s told of prompts", node.name)
end
-- What never got as far as a choice has no placement, and the time that its caller gave.
id = fresh_id()
raw(id, "/none/a", {}, "x")
local line = log_of(g):match("event=request.end request=" .. id:gsub("%-", "%%-") .. "[^\n]*")
expect(line and line:find("placed=%- ") and line:find("left_ms=2500"), "a request without a route: %s", line or "no line")
