-- Bad input gets a clear problem answer with a true "ran", and other requests
-- go on unharmed.
local f = start_fleet { nodes = 2, idle_timeout_s = 2 }
local n = f.nodes[1]

local function good(why)
	local r = chat(n, { chat = "good", id = "good-1" })
	expect(r.status == 200 and r.headers["X-Request-Id"] == "good-1", "after %s: %s %s", why, r.status, r.body)
end

local function post(path, body, headers)
	local h = { Authorization = "Bearer " .. KEY }
	for k, v in pairs(headers or {}) do h[k] = v ~= "" and v or nil end
	return http { method = "POST", url = "http://" .. n.callers .. path, body = body, headers = h }
end

local chat_path = "/v1/chat/completions"
local fine = json_encode { model = MODEL, messages = { { role = "user", content = "x" } } }
local rows = {
	{ "oversized body", chat_path, string.rep("x", 2 * 1024 * 1024), {}, 413 },
	{ "no JSON", chat_path, "{", {}, 400 },
	{ "no messages", chat_path, "{\"model\":\"redactor\"}", {}, 400 },
	{ "messages of the wrong type", chat_path, "{\"model\":\"redactor\",\"messages\":{}}", {}, 400 },
	{ "deep JSON", chat_path, string.rep("[", 100000), {}, 400 },
	{ "JSON with bad UTF-8", chat_path, "{\"model\":\"\xff\",\"messages\":[]}", {}, 400 },
	{ "unknown model", chat_path, "{\"model\":\"none\",\"messages\":[]}", {}, 404 },
	{ "model of the wrong type", chat_path, "{\"model\":7,\"messages\":[]}", {}, 404 },
	{ "unknown adapter", chat_path, "{\"model\":\"redactor:none\",\"messages\":[]}", {}, 404 },
	{ "unknown key", chat_path, fine, { Authorization = "Bearer nobody" }, 401 },
	{ "no key", chat_path, fine, { Authorization = "" }, 401 },
	{ "another scheme", chat_path, fine, { Authorization = "Basic eA==" }, 401 },
	{ "malformed request id", chat_path, fine, { ["X-Request-Id"] = "a b" }, 400 },
	{ "long request id", chat_path, fine, { ["X-Request-Id"] = string.rep("a", 200) }, 400 },
	{ "malformed deadline", chat_path, fine, { ["X-Deadline-Ms"] = "soon" }, 400 },
	{ "negative deadline", chat_path, fine, { ["X-Deadline-Ms"] = "-5" }, 400 },
	{ "forged hop", chat_path, fine, { ["X-Kcf-Hop"] = "1.00000000.1.00" }, 400 },
	{ "unknown service", "/v1/services/none/x", "", {}, 404 },
	{ "no service", "/v1/services/", "", {}, 404 },
	{ "unknown path", "/v2/none", "", {}, 404 },
	{ "run-once call without a key", "/v1/services/mostrador/holds", "{}", {}, 400 },
	{ "run-once call with a key without a time", "/v1/services/mostrador/holds", "{}", { ["Idempotency-Key"] = "abc" }, 400 },
	{ "run-once call with an old key", "/v1/services/mostrador/holds", "{}", { ["Idempotency-Key"] = "1000000000-a" }, 400, "unknown" },
}
for _, row in ipairs(rows) do
	local what, path, body, headers, status, ran = table.unpack(row)
	local r = post(path, body, headers)
	expect(r.status == status, "%s: %s %s %s", what, r.status, r.err or "", r.body)
	expect(problem(r).ran == (ran or "no"), "%s: ran %s", what, r.body)
	good(what)
end

local function raw(bytes, ms)
	local fd = raw_open(n.callers, bytes)
	local text, closed = raw_read(fd, ms or 500)
	raw_close(fd)
	return text, closed
end

local head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " .. KEY .. "\r\n"
local text = raw(head .. "\r\n")
expect(text:find("^HTTP/1.1 411") and text:find('"ran":"no"', 1, true), "missing length: %s", text)
good("missing length")

text = raw(head .. "Content-Length: 9999999999\r\n\r\nx")
expect(text:find("^HTTP/1.1 413"), "announced too long: %s", text)
good("announced too long")

local _, closed = raw(head .. string.rep("X-Flood: " .. string.rep("y", 1000) .. "\r\n", 1000) .. "\r\n")
expect(closed, "header flood: connection stays open")
good("header flood")

_, closed = raw("\0\1\2 nonsense\r\n\r\n", 5000)
expect(closed, "no HTTP: connection stays open")
good("no HTTP")

-- A caller that has sent everything and closed its sending side gets its answer.
local fd = raw_open(n.callers, head .. "Content-Length: " .. #fine .. "\r\n\r\n" .. fine)
raw_half_close(fd)
text = raw_read(fd, 3000)
raw_close(fd)
expect(text:find("^HTTP/1.1 200"), "half-closed: %s", text)

-- Half a body and then silence: the connection is closed, nothing has run.
local before = 0
for _, e in ipairs(f.engines) do before = before + stats(e).requests end
fd = raw_open(n.callers, head .. "Content-Length: 500\r\n\r\nabc")
_, closed = raw_read(fd, 6000)
raw_close(fd)
expect(closed, "half a body: connection stays open")
local after = 0
for _, e in ipairs(f.engines) do after = after + stats(e).requests end
expect(after == before, "half a body has run")

-- A caller that stops reading holds no more than its own stream.
for _, e in ipairs(f.engines) do fault(e, { token_ms = 0 }) end
local body = json_encode { model = MODEL, stream = true, max_tokens = 60000, messages = { { role = "user", content = "x" } } }
fd = raw_open(n.callers, head .. "Content-Length: " .. #body .. "\r\n\r\n" .. body)
good("a caller that does not read")
wait_for("the stalled caller is given up", 20000, function()
	return metric(n, "kcf_open_requests") == 0
end)
raw_close(fd)
local running = 0
wait_for("its engine is free again", 5000, function()
	running = 0
	for _, e in ipairs(f.engines) do running = running + stats(e).outstanding end
	return running == 0
end)
good("the stalled caller")
for _, node in ipairs(f.nodes) do
	expect(ready(node), "%s is not ready any more", node.name)
end

-- The operators' side.
local rows_operator = {
	{ "PUT", "/v1/resources/Nothing/x", {}, 404 },
	{ "PUT", "/v1/resources/Site/UPPER", {}, 404 },
	{ "PUT", "/v1/resources/Upstream/u", { service = "none", address = "x", odd = 1 }, 422 },
	{ "PUT", "/v1/resources/Customer/c", { keys = "x" }, 422 },
	{ "DELETE", "/v1/resources/Service/mostrador", nil, 422 },
	{ "DELETE", "/v1/resources/Service/none", nil, 404 },
	{ "POST", "/v1/resources/Site/site", {}, 405 },
	{ "GET", "/v1/none", nil, 404 },
}
for _, row in ipairs(rows_operator) do
	local r = operator(n, row[1], row[2], row[3])
	expect(r.status == row[4], "%s %s: %s %s", row[1], row[2], r.status, r.body)
end
local r = operator(n, "PUT", "/v1/resources/Upstream/u", { service = "none", address = "x", odd = 1 })
expect(#r.json.faults == 3, "faults: %s", r.body)
expect(operator(n, "GET", "/v1/nodes", nil, {}, "wrong").status == 401, "wrong operator key")
