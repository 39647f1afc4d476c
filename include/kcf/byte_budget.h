/*
 * byte_budget - bucket of bytes that control traffic may take.
 */
#ifndef KCF_BYTE_BUDGET_H
#define KCF_BYTE_BUDGET_H

#include <kcf/clock.h>
#include <stdbool.h>

typedef struct budget {
	int64_t rate; /* bytes a second */
	double saved;
	mstime_t filled;
} budget_t;

/*
 * budget_take - asks to spend bytes of control traffic.
 * @must: spend even what is not saved; it is then missing later
 *
 * Return: false when the budget does not allow it.
 */
bool budget_take(budget_t *b, mstime_t now, int64_t bytes, bool must);

/*
 * budget_has - whether a share of what can be saved is there.
 * @share: 0 to 1
 */
bool budget_has(budget_t *b, mstime_t now, double share);

#endif
