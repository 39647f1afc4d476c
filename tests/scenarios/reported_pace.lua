-- Guards against a pace that is lost on the way (load header with four figures), and against a long prefill that only
-- its own node knows of: another node sends the same prompt elsewhere while it lasts.
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

local function long_ask(g, prompt, tokens)
	local id = fresh_id()
	return id, ask(g, "/stream/" .. id, { id = id, headers = { Model = "m", ["Token-Usage"] = tokens + 10 .. ",64",
		["Length-Hint"] = "30", ["Prompt-Prefix"] = prompt .. ":" .. tokens .. ",q:10" } })
end

-- Asks for a long prompt at the first node and, while it is read, at the second; returns both upstreams.
local function meet(f, prompt)
	local id1, first = long_ask(f.gateways[1], prompt, TOKENS)
	local id2, second = long_ask(f.gateways[2], prompt, TOKENS)
	local one = http_start({ first })
	local pending
	wait_for("pending tokens", READ_MS, function()
		pending = gauge(f.gateways[1], "kcf_work_pending_tokens")
		return pending > 0
	end)
	local two = http_start({ second })
	for _, load in ipairs { one, two } do
		for _, a in ipairs(http_finish(load)) do expect(a.status == 200, "%s: %d", prompt, a.status) end
	end
	local at = {}
	wait_for("both lines", 3000, function()
		at = { field(f.gateways[1], id1, "upstream"), field(f.gateways[2], id2, "upstream") }
		return at[1] and at[2]
	end)
	return at[1], at[2], pending, field(f.gateways[2], id2, "placed"), field(f.gateways[1], id1, "expected_ms"),
	       field(f.gateways[1], id1, "shared_tokens")
end

local f = start_site { engine = { pace = PACE, events = 2, delay_ms = READ_MS } }
-- All nodes hear of the paces.
for round = 1, 3 do
	for i, g in ipairs(f.gateways) do
		local _, request = long_ask(g, "w" .. round .. "x" .. i, 10)
		http_all { request }
	end
end
for n = 1, 3 do
	-- What other nodes have heard of the last prefill is over by then.
	sleep_ms(2 * TOKENS / SLOWEST_RATE)
	local one, two, pending, placed, expected, shared = meet(f, "p" .. n)
	say("%s and %s, %s pending, placed %s, %s ms expected", one, two, pending, placed, expected)
	expect(shared == tostring(TOKENS), "shared_tokens=%s", shared)
	expect(pending > 0, "%s pending", pending)
	expect(tonumber(expected) > 0, "expected_ms=%s", expected)
	expect(one ~= two and placed == "work", "the second went to %s as well, placed %s", two, placed)
end
for _, g in ipairs(f.gateways) do
	expect(gauge(g, "kcf_work_pace") == PACE, "kcf_work_pace %s", gauge(g, "kcf_work_pace"))
	expect(gauge(g, "kcf_work_pending_tokens") == 0, "tokens are left pending")
	expect(gauge(g, "kcf_datagrams_rejected_total") == 0, "datagrams were rejected")
end
