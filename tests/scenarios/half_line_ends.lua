-- Guards against events that are joined for callers that know only LF, when a stream breaks within the CRLF that ends an event.
dofile(scenarios .. "/gateway_words.lua")
local LAST = 8
-- More streams are resumed here than the usual retry budget allows.
local f = start_site { gateways = 4, engine = { gap_ms = 5, events = LAST }, retry_ratio = 10, retry_burst = 300, each = function(f)
	for _, g in ipairs(f.gateways) do g.source = g.callers:match("[%d.]+") end
end }
local g = f.gateways[1]
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }

-- The events that a caller sees which splits lines at LF alone, as "id=data,data".
local function read_at_lf(body)
	local list, event, data = {}, "", {}
	for line in body:gmatch("([^\n]*)\n") do
		line = line:gsub("\r$", "")
		if line == "" then
			if event ~= "" or #data > 0 then list[#list + 1] = event .. "=" .. table.concat(data, ",") end
			event, data = "", {}
		else
			event = line:match("^id: (.*)") or event
			data[#data + 1] = line:match("^data: (.*)")
		end
	end
	return table.concat(list, " ")
end

local function expected_at_lf(id, own)
	local list = {}
	for i = 1, LAST do list[i] = i .. "=" .. (own[i] or id .. "-" .. i) end
	return table.concat(list, " ")
end

local broken = {
	-- mode, events before, what comes before the reset, what the caller gets of it; the event of one's own
	{ "breaks", 2, "id: 3\r\ndata: x\r\n\r", "id: 3\r\ndata: x\r\n\r\n", 3 },
	{ "breaks", 2, "id: 3\r\ndata: x\r\n\r|\n", "id: 3\r\ndata: x\r\n\r\n", 3 },
	{ "breaks", 2, "id: 3\r\ndata: x\r\n\r|\nid: 4\r\nda", "id: 3\r\ndata: x\r\n\r\n", 3 },
	{ "breaks", 2, "id: 3\ndata: x\n\r", "id: 3\ndata: x\n\r\n", 3 },
	{ "breaks", 2, "id: 3\r\ndata: x\r\n\r\n: beat\r\n\r", "id: 3\r\ndata: x\r\n\r\n: beat\r\n\r\n", 3 },
	{ "breaks", 7, "id: 8\r\ndata: x\r\n\r", "id: 8\r\ndata: x\r\n\r\n", 8 },
	{ "breaks_again", 2, "id: 3\r\ndata: x\r\n\r", "id: 3\r\ndata: x\r\n\r\n", 3 },
	{ "breaks_again", 7, "id: 8\r\ndata: x\r\n\r", "id: 8\r\ndata: x\r\n\r\n", 8 },
	{ "breaks", 2, "id: 3\ndata: x\n\n", "id: 3\ndata: x\n\n", 3 },
	-- Lines that end in CR alone stay as they are.
	{ "breaks", 2, "id: 3\rdata: x\r\r", "id: 3\rdata: x\r\r" },
}

local total, joined, altered = 0, 0, 0
local function check(what, body, wanted, wanted_at_lf)
	local at_lf = read_at_lf(body)
	local is_joined = wanted_at_lf and at_lf ~= wanted_at_lf
	total = total + 1
	joined = joined + (is_joined and 1 or 0)
	altered = altered + (body ~= wanted and 1 or 0)
	if is_joined then
		print(string.format("%s: seen at LF: %s", what, at_lf))
	elseif body ~= wanted then
		print(string.format("%s: %q", what, body))
	end
end

local function check_broken(where)
	for _, framing in ipairs { "chunks", "length" } do
		for _, c in ipairs(broken) do
			local mode, n, text, got, own = table.unpack(c)
			everywhere(engines, string.format("%s %s %d %s", mode, framing, n, text), -1)
			local id = fresh_id()
			local r = send(g, "/stream/x", { id = id })
			local what = string.format("%s, %s %s, %d events and %q", where, mode, framing, n, text)
			expect(r.status == 200 and not r.err, "%s: %s %s %q", what, r.status, r.err, r.body)
			expect(runs_of(f, id) == 2, "%s: %d runs", what, runs_of(f, id))
			check(what, r.body, events_of(id, 1, n) .. got .. events_of(id, n + 2, LAST), own and expected_at_lf(id, { [own] = "x" }))
		end
	end
end

local sound = {
	"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
	"id: 1\r\ndata: x\r\n\r|\nid: 2\r\ndata: y\r\n\r|\n",
	"id: 1\r|\ndata: x\r\n|\r\n|id: 2\r\ndata: y\r|\n\r",
	"id: 1\r\ndata: x\r\n\r|\n: beat\r\n\r|\nid: 2\r\ndata: y\r\n\r\n",
	"id: 1\r\ndata: x\r\n\r|\n|: end\r\n",
	"id: 1\rdata: x\r\rid: 2\rdata: y\r\r",
	"id: 1\rdata: x\r|\r|id: 2\r|data: y\r\r",
	"id: 1\rdata: x\r\r|\nid: 2\rdata: y\r\r|\n",
	"id: 1\ndata: x\n|\nid: 2\n|data: y\n\n|",
	"id: 1\ndata: x\n\r|id: 2\ndata: y\n\r",
}

check_broken("sent by the node")
for _, framing in ipairs { "chunks", "length", "connection" } do
	for _, text in ipairs(sound) do
		everywhere(engines, string.format("ends %s 0 %s", framing, text), -1)
		local r = send(g, "/stream/x")
		expect(r.status == 200 and not r.err and r.body == text:gsub("|", ""), "%s, %q: %s %s %q", framing, text, r.status, r.err, r.body)
	end

	-- The LF comes with a repeated event, which is not passed on.
	everywhere(engines, "ends " .. framing .. " 6 id: 7\r\ndata: x\r\n\r|\nid: 7\r\ndata: x\r\n\r\n|id: 8\ndata: y\n\n", -1)
	local id = fresh_id()
	local r = send(g, "/stream/x", { id = id })
	expect(r.status == 200 and not r.err, "repeated, %s: %s %s", framing, r.status, r.err)
	check(string.format("repeated, %s", framing), r.body, events_of(id, 1, 6) .. "id: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\n",
	      expected_at_lf(id, { [7] = "x", [8] = "y" }))
end

-- A node that is cut off from the upstreams has the streams sent by another one.
for _, r in ipairs(f.runners) do
	local a = http { method = "POST", url = "http://" .. r.address .. "/cut", body = json_encode { source = g.source, how = "reset" } }
	expect(a.status == 200, "a cut was not made")
end
everywhere(engines, "", 0)
wait_for("the node is cut", 8000, function()
	for _, other in ipairs(f.gateways) do
		if other ~= g then http_all { ask(other, "/safe/stir"), ask(other, "/safe/stir") } end
	end
	send(g, "/safe/first", { left = 500, timeout_ms = 700 })
	return json_decode(http { url = "http://" .. g.admin .. "/v1/status" }.body).reach == "cut"
end)
check_broken("sent by another node")

expect(joined + altered == 0, "of %d streams %d hold joined events for callers that know only LF, %d have other bytes", total, joined, altered)
