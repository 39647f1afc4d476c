/*
 * retry_budget - how many requests a node may send a second time.
 *
 * All nodes together may repeat a share of the requests of a service in a
 * sliding window, and some more. Each node keeps to its part.
 */
#ifndef KCF_RETRY_BUDGET_H
#define KCF_RETRY_BUDGET_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

/* Parts into which the window is divided. */
#define RETRY_BUDGET_BUCKETS 10

typedef struct retry_budget_conf {
	double ratio;	    /* repeats allowed for each request */
	double burst;	    /* repeats allowed besides, all nodes together */
	mstime_t window_ms; /* length of the sliding window */
} retry_budget_conf_t;

typedef struct retry_budget {
	mstime_t bucket; /* number of the newest part */
	int requests[RETRY_BUDGET_BUCKETS];
	int retries[RETRY_BUDGET_BUCKETS];
} retry_budget_t;

/*
 * retry_budget_count_request - counts the first sending of a request.
 */
void retry_budget_count_request(retry_budget_t *r,
				const retry_budget_conf_t *conf, mstime_t now);

/*
 * retry_budget_spend - takes one repeat.
 * @nodes: that share the burst
 *
 * Return: false when the budget is used up.
 */
bool retry_budget_spend(retry_budget_t *r, const retry_budget_conf_t *conf,
			int nodes, mstime_t now);

#endif
