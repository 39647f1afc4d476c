#include <kcf/retry_budget.h>

#include <assert.h>

/* The rest is a margin for retries that arrive later than they are sent. */
#define USED_FRACTION 0.8

static void advance_window_(retry_budget_t *r, const retry_budget_conf_t *conf,
			    mstime_t now)
{
	mstime_t bucket = now * RETRY_BUDGET_BUCKETS / conf->window_ms;
	mstime_t steps = MIN(bucket - r->bucket, RETRY_BUDGET_BUCKETS_KEPT);

	for (mstime_t i = 0; i < steps; i++) {
		size_t at = (size_t)((bucket - i) % RETRY_BUDGET_BUCKETS_KEPT);

		r->requests[at] = 0;
		r->retries[at] = 0;
	}
	if (bucket > r->bucket)
		r->bucket = bucket;
}

/* Sum of the newest buckets. */
static int sum_(const retry_budget_t *r, const int *buckets, int count)
{
	int sum = 0;

	for (int i = 0; i < count; i++)
		sum += buckets[(r->bucket - i) % RETRY_BUDGET_BUCKETS_KEPT];
	return sum;
}

void retry_budget_count_request(retry_budget_t *r,
				const retry_budget_conf_t *conf, mstime_t now)
{
	assert(r && conf->window_ms > 0);
	advance_window_(r, conf, now);
	r->requests[r->bucket % RETRY_BUDGET_BUCKETS_KEPT]++;
}

bool retry_budget_spend(retry_budget_t *r, const retry_budget_conf_t *conf,
			int nodes, mstime_t now)
{
	double allowed;
	int requests;
	int retries;

	assert(r && conf->window_ms > 0);
	advance_window_(r, conf, now);
	/* At most a window of requests, and at least a window of retries. */
	requests = sum_(r, r->requests, RETRY_BUDGET_BUCKETS);
	retries = sum_(r, r->retries, RETRY_BUDGET_BUCKETS_KEPT);
	allowed = USED_FRACTION *
		  (conf->ratio * requests + conf->burst / MAX(1, nodes));
	if (retries + 1 > allowed)
		return false;
	r->retries[r->bucket % RETRY_BUDGET_BUCKETS_KEPT]++;
	return true;
}
