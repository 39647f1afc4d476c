/*
 * choose - selects the upstream of a request: eligibility, rank and load bound.
 */
#ifndef KCF_PRIVATE_CHOOSE_H
#define KCF_PRIVATE_CHOOSE_H

#include "sched_upstream.h"

/* Which upstreams a ranking may return. */
typedef enum rank_filter {
	RANK_ANY,
	RANK_STABLE, /* only those of WEIGHT_STABLE */
	RANK_OWNED,
} rank_filter_t;

/* Estimate of the mean load from which the load bound is computed. */
typedef enum bound_estimate {
	BOUND_EXPECTED,	    /* by the last reports */
	BOUND_CONSERVATIVE, /* lower, as loads may have dropped since then */
} bound_estimate_t;

/* Sums over the upstreams of a service in the region. */
typedef struct totals {
	double outstanding; /* requests expected to run there now */
	int slots;
	double variance;      /* of outstanding, by the age of the reports */
	double expected_ends; /* see sched_upstream_expected_ends */
} totals_t;

/* Last result of the summation and the inputs that it is valid for. */
typedef struct totals_cache {
	const service_t *service;
	mstime_t now;
	uint64_t load_epoch;
	totals_t totals;
} totals_cache_t;

/*
 * choose_lookup - the upstream of a key, or NULL.
 */
sched_upstream_t *choose_lookup(const sched_t *s, uint32_t key);

/*
 * choose_can_serve - whether an upstream is in service, serves the request's
 * service and model, and is not excluded by the request.
 */
bool choose_can_serve(const sched_request_t *r, const sched_upstream_t *u);

/*
 * choose_is_bounded - whether the placement in force has the load bound; the
 * baselines have none.
 */
bool choose_is_bounded(const sched_t *s);

/*
 * choose_has_capacity - whether an upstream may be sent one more request of a
 * customer within its limit and the load bound.
 */
bool choose_has_capacity(const sched_t *s, mstime_t now,
			 const sched_upstream_t *u, const char *customer,
			 bound_estimate_t estimate);

/*
 * choose_by_rank - first upstream by rank in the region, else in any region.
 * Those of weight 0 are used only if there is no other. NULL for none.
 */
sched_upstream_t *choose_by_rank(const sched_t *s, mstime_t now,
				 const sched_request_t *r,
				 rank_filter_t filter);

/*
 * choose_least_loaded - least loaded upstream of the region that has capacity,
 * or NULL. Among equals the first by rank of the chat, so that nodes with the
 * same information do not all choose the same upstream.
 */
sched_upstream_t *choose_least_loaded(const sched_t *s, mstime_t now,
				      const sched_request_t *r,
				      bound_estimate_t estimate);

/*
 * choose_is_warm - whether an owned upstream is assumed to have the chat
 * cached.
 */
bool choose_is_warm(const sched_upstream_t *u, mstime_t now,
		    const sched_request_t *r);

/*
 * choose_preferred - first upstream of a chat by rank. While that one has
 * returned recently, the chat may still be cached where it ranked first in the
 * meantime; that upstream is preferred until it has dropped the chat.
 */
sched_upstream_t *choose_preferred(const sched_t *s, mstime_t now,
				   const sched_request_t *r);

/*
 * choose_by_placement - first choice of the placement that the Site resource
 * selects, or NULL.
 */
sched_upstream_t *choose_by_placement(sched_t *s, mstime_t now,
				      const sched_request_t *r);

#endif
