#include <kcf/http_hop.h>

#include <string.h>

static const char *const hop_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
};

static str_t trim_(str_t s)
{
	while (s.len && g_ascii_isspace(s.data[0]))
		s = str_skip(s, 1);
	while (s.len && g_ascii_isspace(s.data[s.len - 1]))
		s.len--;
	return s;
}

static bool named_(const char *name, str_t list)
{
	size_t len = strlen(name);

	while (list.len) {
		const char *comma = memchr(list.data, ',', list.len);
		size_t end = comma ? (size_t)(comma - list.data) : list.len;
		str_t token = trim_((str_t){ list.data, end });

		if (token.len == len &&
		    !g_ascii_strncasecmp(token.data, name, len))
			return true;
		list = str_skip(list, end + 1);
	}
	return false;
}

bool http_hop_header(const char *name, str_t connection)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (!g_ascii_strcasecmp(name, hop_headers[i]))
			return true;
	}
	return named_(name, connection);
}
