#include <kcf/byte_budget.h>

#include <glib.h>

/* Seconds of the rate that may be saved up. */
#define BUDGET_SAVED_S 1

static double budget_max_(const budget_t *b)
{
	return (double)b->rate * BUDGET_SAVED_S;
}

static void budget_fill_(budget_t *b, mstime_t now)
{
	if (!b->filled)
		b->saved = budget_max_(b);
	else
		b->saved +=
			(double)(b->rate * (now - b->filled)) / MSEC_PER_SEC;
	b->filled = now;
	b->saved = MIN(b->saved, budget_max_(b));
}

bool budget_has(budget_t *b, mstime_t now, double share)
{
	budget_fill_(b, now);
	return b->saved >= budget_max_(b) * share;
}

bool budget_take(budget_t *b, mstime_t now, int64_t bytes, bool must)
{
	budget_fill_(b, now);
	if (b->saved < (double)bytes && !must)
		return false;
	b->saved -= (double)bytes;
	return true;
}
