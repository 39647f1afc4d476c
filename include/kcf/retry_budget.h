/*
 * retry_budget - limits the retries of a node.
 *
 * In a sliding window, all nodes together may retry a fraction of the requests
 * of a service, plus a burst. Each node keeps to its share of the limit.
 */
#ifndef KCF_RETRY_BUDGET_H
#define KCF_RETRY_BUDGET_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

/* Buckets into which the window is divided. */
#define RETRY_BUDGET_BUCKETS 20
/* With the one that a window ends in; it also covers a part of the oldest. */
#define RETRY_BUDGET_BUCKETS_KEPT (RETRY_BUDGET_BUCKETS + 1)

typedef struct retry_budget_conf {
	double ratio;	    /* retries allowed per request */
	double burst;	    /* further retries allowed, all nodes together */
	mstime_t window_ms; /* length of the sliding window */
} retry_budget_conf_t;

typedef struct retry_budget {
	mstime_t bucket; /* index of the newest bucket since time 0 */
	int requests[RETRY_BUDGET_BUCKETS_KEPT];
	int retries[RETRY_BUDGET_BUCKETS_KEPT];
} retry_budget_t;

/*
 * retry_budget_count_request - counts a request when it is first sent.
 */
void retry_budget_count_request(retry_budget_t *r,
				const retry_budget_conf_t *conf, mstime_t now);

/*
 * retry_budget_spend - takes one retry from the budget.
 * @nodes: number of nodes that share the burst
 *
 * Return: false when the budget is exhausted; the retry isn't allowed then.
 */
bool retry_budget_spend(retry_budget_t *r, const retry_budget_conf_t *conf,
			int nodes, mstime_t now);

#endif
