#include <kcf/byte_budget.h>

#include <glib.h>

/* Capacity, in seconds of the rate. */
#define CAPACITY_S 1

static double capacity_(const byte_budget_t *b)
{
	return (double)b->rate * CAPACITY_S;
}

static void refill_(byte_budget_t *b, mstime_t now)
{
	if (!b->refilled_at)
		b->available = capacity_(b);
	else
		b->available += (double)(b->rate * (now - b->refilled_at)) /
				MSEC_PER_SEC;
	b->refilled_at = now;
	b->available = MIN(b->available, capacity_(b));
}

bool byte_budget_has_fraction(byte_budget_t *b, mstime_t now, double fraction)
{
	refill_(b, now);
	return b->available >= capacity_(b) * fraction;
}

bool byte_budget_spend(byte_budget_t *b, mstime_t now, int64_t bytes,
		       bool force)
{
	refill_(b, now);
	if (b->available < (double)bytes && !force)
		return false;
	b->available -= (double)bytes;
	return true;
}
