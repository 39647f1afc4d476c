-- Guards against a pace that is lost on the way (load header with four figures), and against a long prefill that only
-- its own node knows of: another node sends what is cached at that upstream elsewhere while it lasts, and sends the
-- prompt that is being prefilled to no second upstream.
dofile(scenarios .. "/gateway_words.lua")

local READ_MS = 350 -- the first event comes then, before it is overdue
local TOKENS = 30000
local PACE = 100
local SLOWEST_RATE = 40 -- tokens/ms that a node may have learnt here

local function field(g, id, name)
	for line in log_of(g):gmatch("[^\n]+") do
		if line:find("event=request.end", 1, true) and line:find("request=" .. id, 1, true) then
			return line:match(" " .. name .. "=(%S+)")
		end
	end
end

local function gauge(g, name)
	local body = http { url = "http://" .. g.admin .. "/metrics", timeout_ms = 500 }.body or ""
	return tonumber(body:match("\n" .. name:gsub("[{}\"]", "%%%0") .. " (%d+)"))
end

-- A request with a shared prompt of some tokens and as many of its own.
local function long_ask(g, prompt, shared, own)
	local id = fresh_id()
	return id, ask(g, "/stream/" .. id, { id = id, headers = { Model = "m", ["Token-Usage"] = shared + own .. ",64",
		["Length-Hint"] = "30", ["Prompt-Prefix"] = prompt .. ":" .. shared .. ",q:" .. own } })
end

local function upstream_of(g, id)
	local at
	wait_for("the line of " .. id, 3000, function()
		at = field(g, id, "upstream")
		return at
	end)
	return at
end

-- Starts a long prefill at the first node and, while it lasts, the second request; returns both ids and what is pending.
local function meet(f, id1, first, id2, second)
	local one = http_start({ first })
	local pending
	wait_for("pending tokens", READ_MS, function()
		pending = gauge(f.gateways[1], "kcf_work_pending_tokens")
		return pending > 0
	end)
	local two = http_start({ second })
	for _, load in ipairs { one, two } do
		for _, a in ipairs(http_finish(load)) do expect(a.status == 200, "%s: %d", id1, a.status) end
	end
	return upstream_of(f.gateways[1], id1), upstream_of(f.gateways[2], id2), pending
end

local f = start_site { engine = { pace = PACE, events = 2, delay_ms = READ_MS } }
-- All nodes hear of the paces, and know where some prompts are cached.
local homes, pair = {}, nil
for n = 1, 12 do
	local prompt = "w" .. n
	for _, g in ipairs(f.gateways) do
		local id, request = long_ask(g, prompt, 10, 10)
		http_all { request }
		local at = upstream_of(g, id)
		pair = pair or (homes[at] and homes[at] ~= prompt and { homes[at], prompt, at })
		homes[at] = homes[at] or prompt
	end
end
expect(pair, "no two prompts at one upstream")
for n = 1, 3 do
	-- What other nodes have heard of the last prefill is over by then.
	sleep_ms(2 * TOKENS / SLOWEST_RATE)
	local id1, first = long_ask(f.gateways[1], pair[1], 10, TOKENS)
	local id2, second = long_ask(f.gateways[2], pair[2], 10, 10)
	local one, two, pending = meet(f, id1, first, id2, second)
	local placed, expected = field(f.gateways[2], id2, "placed"), field(f.gateways[1], id1, "expected_ms")
	say("%s and %s, %s pending, placed %s, %s ms expected", one, two, pending, placed, expected)
	local own = field(f.gateways[1], id1, "own_tokens")
	expect(own == tostring(TOKENS), "own_tokens=%s", own)
	expect(pending > 0, "%s pending", pending)
	expect(tonumber(expected) > 0, "expected_ms=%s", expected)
	expect(one ~= two and placed == "work", "the second went to %s as well, placed %s", two, placed)
end
for n = 1, 3 do
	sleep_ms(2 * TOKENS / SLOWEST_RATE)
	local id1, first = long_ask(f.gateways[1], "p" .. n, TOKENS, 10)
	local id2, second = long_ask(f.gateways[2], "p" .. n, TOKENS, 10)
	local one, two = meet(f, id1, first, id2, second)
	local shared = field(f.gateways[1], id1, "shared_tokens")
	expect(shared == tostring(TOKENS), "shared_tokens=%s", shared)
	expect(one == two, "p%d is prefilled at %s and %s", n, one, two)
end
for _, g in ipairs(f.gateways) do
	expect(gauge(g, "kcf_work_pace") == PACE, "kcf_work_pace %s", gauge(g, "kcf_work_pace"))
	expect(gauge(g, "kcf_work_pending_tokens") == 0, "tokens are left pending")
	expect(gauge(g, "kcf_datagrams_rejected_total") == 0, "datagrams were rejected")
end
