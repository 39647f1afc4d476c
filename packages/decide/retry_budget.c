#include <kcf/retry_budget.h>

#include <assert.h>

/* The rest is a margin for windows that don't start at a bucket's start. */
#define USED_FRACTION 0.8

static void advance_window_(retry_budget_t *r, const retry_budget_conf_t *conf,
			    mstime_t now)
{
	mstime_t bucket = now * RETRY_BUDGET_BUCKETS / conf->window_ms;
	mstime_t steps = MIN(bucket - r->bucket, RETRY_BUDGET_BUCKETS);

	for (mstime_t i = 0; i < steps; i++) {
		size_t at = (size_t)((bucket - i) % RETRY_BUDGET_BUCKETS);

		r->requests[at] = 0;
		r->retries[at] = 0;
	}
	if (bucket > r->bucket)
		r->bucket = bucket;
}

static int sum_(const int *buckets)
{
	int sum = 0;

	for (int i = 0; i < RETRY_BUDGET_BUCKETS; i++)
		sum += buckets[i];
	return sum;
}

void retry_budget_count_request(retry_budget_t *r,
				const retry_budget_conf_t *conf, mstime_t now)
{
	assert(r && conf->window_ms > 0);
	advance_window_(r, conf, now);
	r->requests[r->bucket % RETRY_BUDGET_BUCKETS]++;
}

bool retry_budget_spend(retry_budget_t *r, const retry_budget_conf_t *conf,
			int nodes, mstime_t now)
{
	double allowed;

	assert(r && conf->window_ms > 0);
	advance_window_(r, conf, now);
	allowed = USED_FRACTION * (conf->ratio * sum_(r->requests) +
				   conf->burst / MAX(1, nodes));
	if (sum_(r->retries) + 1 > allowed)
		return false;
	r->retries[r->bucket % RETRY_BUDGET_BUCKETS]++;
	return true;
}
