/*
 * Retry times of callers that were refused for load.
 */
#include "private/balance.h"

/* By then some of the outstanding requests have ended. */
#define RETRY_MIN_MS 250
/*
 * Callers wait at most a third of the time to their deadline, which is mostly
 * less than 6 s away.
 */
#define RETRY_MAX_MS 2000

/*
 * Mean time between two slots that become free for this node's share of the
 * requests.
 */
static double release_interval_(const balance_t *b, const candidates_t *c)
{
	int slots = 0;

	for (guint i = 0; i < c->count; i++)
		slots += c->list[i]->slots;
	return slots ? c->mean_latency_ms * b->node_count / slots : 0;
}

mstime_t balance_retry_delay(balance_t *b, const char *service,
			     const candidates_t *c, mstime_t now)
{
	double *last = g_hash_table_lookup(b->last_retry_at, service);
	double at = (double)now + RETRY_MIN_MS;

	if (!last) {
		last = g_new0(double, 1);
		g_hash_table_insert(b->last_retry_at, g_strdup(service), last);
	}
	at = MAX(at, *last + release_interval_(b, c));
	*last = MIN(at, (double)now + RETRY_MAX_MS);
	return (mstime_t)*last - now;
}
