#include <kcf/clock.h>
#include <kcf/logline.h>

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define NODE_NAME_MAX 64
/* No line is added to a buffer of at least this length. */
#define BUFFER_LIMIT_BYTES (256 * 1024)

static struct {
	char node[NODE_NAME_MAX];
	int level;
	GString *buffer;    /* for standard output; NULL for standard error */
	int64_t suppressed; /* lines dropped because the buffer was full */
} logger = { "-", LOG_INFO };

static void append_value_(GString *out, str_t v);
static bool needs_quotes_(str_t v);

void logline_setup(const char *node, int level)
{
	g_strlcpy(logger.node, node, sizeof(logger.node));
	logger.level = level;
}

int logline_parse_level(const char *name)
{
	static const struct {
		const char *name;
		int level;
	} levels[] = {
		{ "error", LOG_ERR },	  { "warning", LOG_WARNING },
		{ "notice", LOG_NOTICE }, { "info", LOG_INFO },
		{ "debug", LOG_DEBUG },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (!strcmp(levels[i].name, name))
			return levels[i].level;
	}
	return -1;
}

void logline_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	if (!logger.buffer)
		logger.buffer = g_string_new(NULL);
}

static void log_suppressed_(void)
{
	const log_field_t fields[] = { F_INT("lines", logger.suppressed),
				       { 0 } };

	logger.suppressed = 0;
	logline_write(LOG_WARNING, "log.suppressed", fields);
}

void logline_flush(void)
{
	ssize_t n;

	if (!logger.buffer || !logger.buffer->len)
		return;
	n = write(STDOUT_FILENO, logger.buffer->str, logger.buffer->len);
	if (n <= 0)
		return;
	g_string_erase(logger.buffer, 0, n);
	if (logger.suppressed && !logger.buffer->len)
		log_suppressed_();
}

void logline_format(GString *out, int level, const char *event,
		    const log_field_t *fields)
{
	if (!logger.buffer)
		g_string_append_printf(out, "<%d>", level);
	g_string_append_printf(out, "ts=%" G_GINT64_FORMAT " node=%s event=%s",
			       clock_wall(), logger.node, event);
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

	if (level > logger.level)
		return;
	if (logger.buffer) {
		if (logger.buffer->len < BUFFER_LIMIT_BYTES)
			logline_format(logger.buffer, level, event, fields);
		else
			logger.suppressed++;
		return;
	}
	line = g_string_sized_new(256);
	logline_format(line, level, event, fields);
	/* A full or closed standard error must not stop the process. */
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
