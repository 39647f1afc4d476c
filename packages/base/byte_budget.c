#include <kcf/byte_budget.h>

#include <glib.h>

/* Seconds of the rate that may be saved up. */
#define BUDGET_SAVED_S 1

static double budget_max_(const byte_budget_t *b)
{
	return (double)b->rate * BUDGET_SAVED_S;
}

static void budget_fill_(byte_budget_t *b, mstime_t now)
{
	if (!b->refilled_at)
		b->available = budget_max_(b);
	else
		b->available += (double)(b->rate * (now - b->refilled_at)) /
				MSEC_PER_SEC;
	b->refilled_at = now;
	b->available = MIN(b->available, budget_max_(b));
}

bool byte_budget_has_fraction(byte_budget_t *b, mstime_t now, double share)
{
	budget_fill_(b, now);
	return b->available >= budget_max_(b) * share;
}

bool byte_budget_spend(byte_budget_t *b, mstime_t now, int64_t bytes, bool must)
{
	budget_fill_(b, now);
	if (b->available < (double)bytes && !must)
		return false;
	b->available -= (double)bytes;
	return true;
}
