/*
 * logline - structured log, one line of key=value pairs per event.
 *
 * Lines go to standard error, or to standard output after logline_to_stdout.
 * On standard error each line begins with the syslog severity in angle
 * brackets, which a supervisor such as systemd reads. Values that contain
 * blanks, quotes, equals signs or control characters are quoted and escaped.
 */
#ifndef KCF_LOGLINE_H
#define KCF_LOGLINE_H

#include <kcf/str.h>
#include <syslog.h>

typedef enum log_field_type {
	LOG_FIELD_END,
	LOG_FIELD_STR,
	LOG_FIELD_INT,
	LOG_FIELD_REAL,
} log_field_type_t;

/* One key=value pair. */
typedef struct log_field {
	log_field_type_t type;
	const char *key;
	str_t str;
	int64_t num;
	double real;
} log_field_t;

#define F_STR(k, v)                                                            \
	((log_field_t){ .type = LOG_FIELD_STR, .key = (k), .str = str_of(v) })
#define F_VIEW(k, v)                                                           \
	((log_field_t){ .type = LOG_FIELD_STR, .key = (k), .str = (v) })
#define F_INT(k, v)                                                            \
	((log_field_t){ .type = LOG_FIELD_INT, .key = (k), .num = (v) })
#define F_REAL(k, v)                                                           \
	((log_field_t){ .type = LOG_FIELD_REAL, .key = (k), .real = (v) })

/*
 * LOG_EVENT - writes one line.
 * @level: a syslog severity, LOG_ERR to LOG_DEBUG
 * @event: name of the event, lower case with dots
 * @...:   F_STR, F_VIEW, F_INT and F_REAL fields
 */
#define LOG_EVENT(level, event, ...)                                           \
	logline_write(level, event, (const log_field_t[]){ __VA_ARGS__, { 0 } })

/*
 * logline_setup - sets the node name in each line and the threshold.
 * @node:  name, copied
 * @level: least severe level to write
 */
void logline_setup(const char *node, int level);

/*
 * logline_to_stdout - writes lines to standard output through a bounded
 * buffer, without severities. Lines that find the buffer full are dropped and
 * counted; the count is logged once the buffer is empty.
 */
void logline_to_stdout(void);

/*
 * logline_flush - writes as much of the buffer as standard output accepts
 * without blocking.
 */
void logline_flush(void);

/*
 * logline_parse_level - converts a level from the settings to a severity.
 * @word: "error", "warning", "notice", "info" or "debug"
 *
 * Return: the syslog severity, or -1 for an unknown name.
 */
int logline_parse_level(const char *name);

/*
 * logline_format - renders a line without writing it.
 * @out:    receives the line with its newline
 * @fields: terminated by a field of type LOG_FIELD_END
 */
void logline_format(GString *out, int level, const char *event,
		    const log_field_t *fields);

/*
 * logline_write - renders a line and writes it, if its level is enabled.
 */
void logline_write(int level, const char *event, const log_field_t *fields);

#endif
