/*
 * quarantine_report - how nodes tell each other, and operators, what the
 * quarantine knows.
 */
#ifndef KCF_QUARANTINE_REPORT_H
#define KCF_QUARANTINE_REPORT_H

#include <kcf/datagram.h>
#include <kcf/quarantine.h>
#include <jansson.h>

/* Size of a request's key as text: hexadecimal digits and the end. */
#define QUARANTINE_REQUEST_TEXT_MAX 17

/* Lists of one report, on the stack of its sender. */
typedef struct quarantine_report {
	peer_crash_report_t message;
	peer_crash_t crashes[PEER_CRASHES_MAX];
	quarantine_crash_t collected[PEER_CRASHES_MAX];
	peer_answered_t answered[PEER_ANSWERED_MAX];
} quarantine_report_t;

/*
 * quarantine_report_fill - fills a report with crashes and answered keys.
 * @r: its message refers to its lists
 */
void quarantine_report_fill(quarantine_t *q, quarantine_report_t *r,
			    mstime_t now);

/*
 * quarantine_report_apply - applies another node's report.
 */
void quarantine_report_apply(quarantine_t *q, const peer_crash_report_t *m,
			     mstime_t now);

/*
 * quarantine_format_prompt - keys of the segments as they are logged; released
 * with g_free.
 */
char *quarantine_format_prompt(const quarantine_prompt_t *p);

/*
 * quarantine_format_request - key of the request as it is logged.
 * @out: has at least QUARANTINE_REQUEST_TEXT_MAX bytes
 */
void quarantine_format_request(const quarantine_prompt_t *p, char *out);

/*
 * quarantine_report_json - holds and crashes for operators; a new reference.
 */
json_t *quarantine_report_json(const quarantine_t *q, mstime_t now);

/*
 * quarantine_log_suspected, quarantine_log_held, quarantine_log_released - for
 * quarantine_ops_t: write a log line and count; need no context.
 */
void quarantine_log_suspected(void *ctx, const quarantine_crash_t *crash);
void quarantine_log_held(void *ctx, const quarantine_hold_t *hold);
void quarantine_log_released(void *ctx, const quarantine_hold_t *hold,
			     const char *why);

#endif
