-- The load tool: a report that names the slowest request, and a picture.
local f = start_fleet { nodes = 3 }

local function head(path)
	local file = io.open(path, "rb")
	local text = file and file:read(4)
	if file then file:close() end
	return text
end

for _, row in ipairs {
	{ "load.png", 0 },
	{ "nowhere/load.png", 1 },
} do
	local path, want = f.dir .. "/" .. row[1], row[2]
	local status, out, err = ctl { "--output", "json", "--callers", f.nodes[1].callers, "load", "--model", MODEL,
				       "--service", SERVICE, "--keys", KEY, "--rate", "20", "--duration-ms", "1500", "--plot", path }
	local report = json_decode(out)
	expect(status == want, "%s: exit %d, %s", path, status, err)
	expect(report.ok == report.sent, "%s: report %s", path, out)
	expect(report.slowest:match("^load%-1%-%d+$"), "%s: slowest %s", path, report.slowest)
	if want == 0 then
		expect(head(path) == "\137PNG", "%s is no picture", path)
	else
		expect(err:find(path, 1, true), "complaint does not name the file: %s", err)
	end
end
