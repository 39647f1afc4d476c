#include "private/toml_shim.h"

#include <cstring>
#include <sstream>
#include <string>
#include <toml++/toml.h>

static void list_lines(const toml::node &node, const std::string &path,
		       std::ostringstream &out)
{
	if (!path.empty())
		out << (out.tellp() > 1 ? "," : "")
		    << toml::json_formatter{ toml::value<std::string>{ path } }
		    << ":" << node.source().begin.line;
	if (const toml::table *t = node.as_table()) {
		for (auto &&[k, v] : *t) {
			std::string key(k.str());

			list_lines(v, path.empty() ? key : path + "." + key,
				   out);
		}
	}
	if (const toml::array *a = node.as_array()) {
		for (std::size_t i = 0; i < a->size(); i++)
			list_lines((*a)[i],
				   path + "[" + std::to_string(i) + "]", out);
	}
}

void toml_shim_parse(const char *text, size_t len, toml_shim_result_t *out)
{
	*out = toml_shim_result_t{};
	try {
		toml::table root = toml::parse(std::string_view(text, len));
		std::ostringstream json;
		std::ostringstream lines;

		json << toml::json_formatter{ root };
		lines << "{";
		list_lines(root, "", lines);
		lines << "}";
		out->json = strdup(json.str().c_str());
		out->lines = strdup(lines.str().c_str());
	} catch (const toml::parse_error &e) {
		out->error = strdup(std::string(e.description()).c_str());
		out->error_line = static_cast<int>(e.source().begin.line);
	}
}
