/*
 * logline - log lines, one line of key=value pairs an event.
 *
 * Lines go to standard error, or to standard output after logline_to_stdout.
 * On standard error each line begins with the syslog severity in angle
 * brackets, so that a supervisor can file it. Values that hold blanks, quotes
 * or control characters are quoted and escaped.
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
 * @event: name of the event, dotted lower case
 * followed by F_STR, F_VIEW, F_INT and F_REAL fields
 */
#define LOG_EVENT(level, event, ...)                                           \
	logline_write(level, event, (const log_field_t[]){ __VA_ARGS__, { 0 } })

/*
 * logline_setup - names the process in each line and sets the threshold.
 * @node:  name, copied
 * @level: least severe level that is written
 */
void logline_setup(const char *node, int level);

/*
 * logline_to_stdout - sends lines to standard output through a bounded
 * buffer, without severities. Lines that find it full are counted, and the
 * count is told once there is room.
 */
void logline_to_stdout(void);

/*
 * logline_flush - writes what the buffer holds, as far as standard output
 * takes it without waiting.
 */
void logline_flush(void);

/*
 * logline_parse_level - severity named by a settings word.
 * @word: "error", "warning", "notice", "info" or "debug"
 *
 * Return: the severity, or -1 for an unknown word.
 */
int logline_parse_level(const char *name);

/*
 * logline_format - renders a line without writing it.
 * @out:    receives the line with its newline
 * @fields: ended by a field of type LOG_FIELD_END
 */
void logline_format(GString *out, int level, const char *event,
		    const log_field_t *fields);

/*
 * logline_write - renders a line and writes it.
 */
void logline_write(int level, const char *event, const log_field_t *fields);

#endif
