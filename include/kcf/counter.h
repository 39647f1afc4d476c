/*
 * counter - metrics of this process, served at /metrics.
 *
 * A fixed set of counters and gauges. All functions are lock-free and may be
 * called from any thread.
 */
#ifndef KCF_COUNTER_H
#define KCF_COUNTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum counter {
	COUNTER_REQUESTS,
	COUNTER_RESPONSES_COMPLETE,
	COUNTER_RESPONSES_TRUNCATED,
	COUNTER_FORWARDED,
	COUNTER_STREAMS_RESUMED,
	COUNTER_RESPONSES_MISMATCHED,
	COUNTER_RETRIES,
	COUNTER_OWNER_WAITS,
	COUNTER_REFUSED_INPUT,
	COUNTER_REFUSED_AUTH,
	COUNTER_REFUSED_LOAD,
	COUNTER_REFUSED_DEADLINE,
	COUNTER_REFUSED_UPSTREAM,
	COUNTER_REFUSED_NOT_READY,
	COUNTER_CALLERS_DISCONNECTED,
	COUNTER_CACHED_TOKENS,
	COUNTER_PROMPT_TOKENS,
	COUNTER_PLACED_FIRST,
	COUNTER_PLACED_WARM,
	COUNTER_PLACED_SPILL,
	COUNTER_QUEUED,
	COUNTER_CONFIG_APPLIED,
	COUNTER_CONFIG_REJECTED,
	COUNTER_CONFIG_CONFLICTS,
	COUNTER_CONTROL_SENT_BYTES,
	COUNTER_CONTROL_RECEIVED_BYTES,
	COUNTER_CONTROL_DROPPED,
	COUNTER_DATAGRAMS_REJECTED,
	COUNTER_LOG_ERRORS,
	COUNTER_STORE_NEWEST_CALLS,
	COUNTER_STORE_READ_CALLS,
	COUNTER_STORE_APPEND_CALLS,
	COUNTER_FEED_CALLS,
	COUNTER_ONCE_RUNS,
	COUNTER_ONCE_REFUSED,
	COUNTER_ONCE_UNKNOWN,
	GAUGE_OPEN_REQUESTS,
	GAUGE_APPLIED_OFFSET,
	GAUGE_MEMBERS_LIVE,
	GAUGE_OWNED_UPSTREAMS,
	GAUGE_QUEUE_LENGTH,
	COUNTER_COUNT,
} counter_t;

/*
 * counter_add - adds to a counter or gauge.
 * @n: amount; negative only for gauges
 */
void counter_add(counter_t c, int64_t n);

/*
 * counter_set - sets a gauge.
 */
void counter_set(counter_t c, int64_t v);

/*
 * counter_get - current value of a counter or gauge.
 */
int64_t counter_get(counter_t c);

/*
 * counter_render - appends all metrics in the Prometheus text format.
 */
void counter_render(GString *out);

#endif
