#include <kcf/retry_budget.h>

#include <assert.h>

/* The rest of the budget is left for windows that are cut differently. */
#define USED_SHARE 0.8

static void advance_(retry_budget_t *r, const retry_budget_conf_t *conf,
		     mstime_t now)
{
	mstime_t part = now * RETRY_BUDGET_PARTS / conf->window_ms;
	mstime_t steps = MIN(part - r->part, RETRY_BUDGET_PARTS);

	for (mstime_t i = 0; i < steps; i++) {
		size_t at = (size_t)((part - i) % RETRY_BUDGET_PARTS);

		r->requests[at] = 0;
		r->repeats[at] = 0;
	}
	if (part > r->part)
		r->part = part;
}

static int sum_(const int *parts)
{
	int sum = 0;

	for (int i = 0; i < RETRY_BUDGET_PARTS; i++)
		sum += parts[i];
	return sum;
}

void retry_budget_request(retry_budget_t *r, const retry_budget_conf_t *conf,
			  mstime_t now)
{
	assert(r && conf->window_ms > 0);
	advance_(r, conf, now);
	r->requests[r->part % RETRY_BUDGET_PARTS]++;
}

bool retry_budget_take(retry_budget_t *r, const retry_budget_conf_t *conf,
		       int nodes, mstime_t now)
{
	double allowed;

	assert(r && conf->window_ms > 0);
	advance_(r, conf, now);
	allowed = USED_SHARE * (conf->ratio * sum_(r->requests) +
				conf->burst / MAX(1, nodes));
	if (sum_(r->repeats) + 1 > allowed)
		return false;
	r->repeats[r->part % RETRY_BUDGET_PARTS]++;
	return true;
}
