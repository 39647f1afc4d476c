#include <kcf/clock.h>
#include <kcf/logline.h>

#include <string.h>
#include <unistd.h>

#define NODE_NAME_MAX 64

static struct {
	char node[NODE_NAME_MAX];
	int level;
} setup = { "-", LOG_INFO };

static void append_value_(GString *out, str_t v);
static bool needs_quotes_(str_t v);

void logline_setup(const char *node, int level)
{
	g_strlcpy(setup.node, node, sizeof(setup.node));
	setup.level = level;
}

int logline_level(const char *word)
{
	static const struct {
		const char *word;
		int level;
	} levels[] = {
		{ "error", LOG_ERR },	  { "warning", LOG_WARNING },
		{ "notice", LOG_NOTICE }, { "info", LOG_INFO },
		{ "debug", LOG_DEBUG },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (!strcmp(levels[i].word, word))
			return levels[i].level;
	}
	return -1;
}

void logline_format(GString *out, int level, const char *event,
		    const log_field_t *fields)
{
	g_string_append_printf(out,
			       "<%d>ts=%" G_GINT64_FORMAT " node=%s event=%s",
			       level, clock_wall(), setup.node, event);
	for (const log_field_t *f = fields; f->type != LOG_FIELD_END; f++) {
		g_string_append_printf(out, " %s=", f->key);
		if (f->type == LOG_FIELD_STR)
			append_value_(out, f->str);
		else if (f->type == LOG_FIELD_INT)
			g_string_append_printf(out, "%" G_GINT64_FORMAT,
					       f->num);
		else
			g_string_append_printf(out, "%.6g", f->real);
	}
	g_string_append_c(out, '\n');
}

void logline_write(int level, const char *event, const log_field_t *fields)
{
	GString *line;
	ssize_t n;

	if (level > setup.level)
		return;
	line = g_string_sized_new(256);
	logline_format(line, level, event, fields);
	/* A full or closed standard error must not stop the service. */
	n = write(STDERR_FILENO, line->str, line->len);
	(void)n;
	g_string_free(line, TRUE);
}

static bool needs_quotes_(str_t v)
{
	if (!v.len)
		return true;
	for (size_t i = 0; i < v.len; i++) {
		unsigned char c = (unsigned char)v.data[i];

		if (c <= ' ' || c == '"' || c == '=' || c == 0x7f)
			return true;
	}
	return false;
}

static void append_value_(GString *out, str_t v)
{
	if (!needs_quotes_(v)) {
		g_string_append_len(out, v.data, (gssize)v.len);
		return;
	}
	g_string_append_c(out, '"');
	for (size_t i = 0; i < v.len; i++) {
		unsigned char c = (unsigned char)v.data[i];

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < ' ' || c == 0x7f)
			g_string_append_printf(out, "\\x%02x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
}
