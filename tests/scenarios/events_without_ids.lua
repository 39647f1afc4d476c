-- Guards against pieces that come twice when a stream is sent again that had events without an id since the last one.
dofile(scenarios .. "/gateway_words.lua")
local MET_MIN, ROUNDS_MAX = 4, 80
local f = start_site { gateways = 1, retry_ratio = 10, retry_burst = 300 }
local g = f.gateways[1]
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }

local texts = {
	"data: a\n\ndata: b\n\n",
	"id: 1\ndata: a\n\ndata: b\n\n",
	"id: x1\ndata: a\n\nid: x2\ndata: b\n\n",
	"id: 99999999999999999998\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n",
}

local function pieces(body)
	local list = {}
	for piece in body:gmatch("data: (%w+)\n") do list[#list + 1] = piece end
	return table.concat(list, " ")
end

local problems = {}
for _, text in ipairs(texts) do
	local met, wrong, seen_pieces = 0, 0, nil
	for round = 1, ROUNDS_MAX do
		if met >= MET_MIN then break end
		-- One that breaks often gets less to do.
		local broken = engines[round % 3 + 1]
		for _, e in ipairs(engines) do set_fault(e, (e == broken and "breaks" or "ends") .. " chunks 0 " .. text, -1) end
		local id = fresh_id()
		local r = send(g, "/stream/x", { id = id })
		if (seen(broken).runs[id] or 0) > 0 then
			met = met + 1
			-- Whole, or as far as it came and not complete.
			local p = pieces(r.body)
			if p ~= "a b" or r.status ~= 200 then
				wrong = wrong + 1
				seen_pieces = string.format("%s, pieces %q, %s", r.status, p, r.err or "complete")
			end
		end
	end
	expect(met >= MET_MIN, "%q: %d streams met the upstream that resets", text, met)
	if wrong > 0 then problems[#problems + 1] = string.format("%q: %d of %d: %s", text, wrong, met, seen_pieces) end
end
expect(#problems == 0, "%s", table.concat(problems, "\n"))
