/*
 * balance - what its modules share.
 */
#ifndef KCF_PRIVATE_BALANCE_H
#define KCF_PRIVATE_BALANCE_H

#include <kcf/balance.h>

/* What is known of the upstreams that a request may go to. */
typedef struct candidates {
	balance_upstream_t **list;
	int *loads; /* parallel to list */
	guint count;
	double mean_load;    /* load of all of the service, in use or not */
	int own_outstanding; /* outstanding requests of this node, of the list
			      */
	double mean_failure_rate; /* mean share */
	double mean_latency_ms;	  /* mean, of those that have one */
} candidates_t;

/*
 * balance_collect_candidates - the upstreams of a service that a request may go
 * to.
 * @c: ended with balance_free_candidates
 */
void balance_collect_candidates(const balance_t *b,
				const balance_request_t *request, mstime_t now,
				candidates_t *c);
void balance_free_candidates(candidates_t *c);

/*
 * balance_is_unhealthy - whether an upstream fails or lags more than the
 * others. Failures that all upstreams share say nothing about one of them.
 */
bool balance_is_unhealthy(const candidates_t *c, const balance_upstream_t *u);

/*
 * balance_is_cold - whether an upstream starts slowly now.
 */
bool balance_is_cold(const balance_t *b, const balance_upstream_t *u,
		     mstime_t now);

/*
 * balance_cold_rate_allows - whether this node's share of a cold upstream's
 * rate leaves one more request. At most one is saved up.
 */
bool balance_cold_rate_allows(const balance_t *b, balance_upstream_t *u,
			      mstime_t now);

/*
 * balance_get_affinity - what is known of a prompt; kept until nobody asks for
 * it any more.
 */
balance_affinity_t *balance_get_affinity(balance_t *b, uint64_t affinity,
					 mstime_t now);

/*
 * balance_count_prompt - a request asks for a prompt, for the first time.
 */
void balance_count_prompt(balance_t *b, balance_affinity_t *entry);

/*
 * balance_prompt_share - moving share of a prompt among all that this node
 * gets, 0 to 1; 0 while that says nothing.
 */
double balance_prompt_share(const balance_t *b,
			    const balance_affinity_t *entry);

/*
 * balance_set_preferred - a prompt is warm at an upstream from now on.
 */
void balance_set_preferred(balance_t *b, uint64_t affinity, uint64_t local_id,
			   mstime_t now);

/*
 * balance_retry_delay - when a caller that is refused for load may come back:
 * those refused return one after the other, as places get free.
 *
 * Return: milliseconds from now.
 */
mstime_t balance_retry_delay(balance_t *b, const char *service,
			     const candidates_t *c, mstime_t now);

/*
 * balance_has_fresh_report - whether the last report of an upstream counts as
 * present.
 */
bool balance_has_fresh_report(const balance_upstream_t *u, mstime_t now);

/*
 * balance_set_remote - takes what others have outstanding, by a report.
 * @at: time of the report, later than that of the one before
 */
void balance_set_remote(balance_upstream_t *u, int remote, mstime_t at);

/*
 * balance_estimate_remote - what others are taken to have outstanding now.
 * @mean: over the upstreams that reports tell of
 */
double balance_estimate_remote(const balance_upstream_t *u, double mean,
			       mstime_t now);

/*
 * balance_remaining_remote - what is left of others' work where no new work
 * comes.
 */
double balance_remaining_remote(const balance_upstream_t *u, mstime_t now);

/*
 * balance_count_own - counts requests of this node that start (1) or end (-1).
 */
void balance_count_own(balance_upstream_t *u, int change, mstime_t now);

/*
 * balance_free_if_unused - frees an upstream that was removed, once nothing is
 * outstanding there.
 */
void balance_free_if_unused(balance_upstream_t *u);

#endif
