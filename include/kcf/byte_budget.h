/*
 * byte_budget - bucket of bytes that control traffic may take.
 */
#ifndef KCF_BYTE_BUDGET_H
#define KCF_BYTE_BUDGET_H

#include <kcf/clock.h>
#include <stdbool.h>

typedef struct byte_budget {
	int64_t rate; /* bytes a second */
	double available;
	mstime_t refilled_at;
} byte_budget_t;

/*
 * byte_budget_spend - asks to spend bytes of control traffic.
 * @must: spend even what is not saved; it is then missing later
 *
 * Return: false when the budget does not allow it.
 */
bool byte_budget_spend(byte_budget_t *b, mstime_t now, int64_t bytes,
		       bool force);

/*
 * byte_budget_has_fraction - whether a share of what can be saved is there.
 * @share: 0 to 1
 */
bool byte_budget_has_fraction(byte_budget_t *b, mstime_t now, double fraction);

#endif
