/*
 * byte_budget - token bucket for the bytes of control traffic.
 */
#ifndef KCF_BYTE_BUDGET_H
#define KCF_BYTE_BUDGET_H

#include <kcf/clock.h>
#include <stdbool.h>

typedef struct byte_budget {
	int64_t rate;	  /* bytes per second */
	double available; /* bytes */
	mstime_t refilled_at;
} byte_budget_t;

/*
 * byte_budget_spend - takes bytes from the budget if they are available.
 * @force: take them in any case; the budget may become negative
 *
 * Return: false when nothing was taken.
 */
bool byte_budget_spend(byte_budget_t *b, mstime_t now, int64_t bytes,
		       bool force);

/*
 * byte_budget_has_fraction - whether a fraction of the capacity is available.
 * @share: 0 to 1
 */
bool byte_budget_has_fraction(byte_budget_t *b, mstime_t now, double fraction);

#endif
