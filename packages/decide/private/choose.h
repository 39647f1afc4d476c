/*
 * choose - which upstreams could take a request, and in what order.
 */
#ifndef KCF_PRIVATE_CHOOSE_H
#define KCF_PRIVATE_CHOOSE_H

#include "slot.h"

/* Which entries a ranking may return. */
typedef enum rank_filter {
	RANK_ANY,
	RANK_STABLE, /* only those that were not away of late */
	RANK_OWNED,
} rank_filter_t;

/* How sure a load within the bound of the mean must be. */
typedef enum bound_estimate {
	BOUND_EXPECTED,	    /* as far as known */
	BOUND_CONSERVATIVE, /* also if others' loads have fallen since they were
			       heard */
} bound_estimate_t;

/* Load of all upstreams that could take a request. */
typedef struct totals {
	double outstanding; /* expected there now */
	int slots;
	double variance; /* of out, for what has changed since it was heard */
	double expected_ends; /* own requests that are taken to have ended there
			       */
} totals_t;

/* The last sum, and what it was made of. */
typedef struct totals_cache {
	const service_t *service;
	mstime_t now;
	uint64_t load_epoch;
	totals_t totals;
} totals_cache_t;

/*
 * choose_lookup - what is known of an upstream, or NULL.
 */
sched_upstream_t *choose_lookup(const sched_t *s, uint32_t key);

/*
 * choose_can_serve - whether configuration lets an upstream take a request.
 */
bool choose_can_serve(const sched_request_t *r, const sched_upstream_t *u);

/*
 * choose_is_bounded - whether the load bound is in force, which baselines lack.
 */
bool choose_is_bounded(const sched_t *s);

/*
 * choose_has_capacity - whether one more request of a customer is within the
 * upstream's limit and the bound of the mean.
 */
bool choose_has_capacity(const sched_t *s, mstime_t now,
			 const sched_upstream_t *u, const char *customer,
			 bound_estimate_t estimate);

/*
 * choose_by_rank - first by rank: of the region, else of all; upstreams that
 * are held back only if need be. NULL for none.
 */
sched_upstream_t *choose_by_rank(const sched_t *s, mstime_t now,
				 const sched_request_t *r,
				 rank_filter_t filter);

/*
 * choose_least_loaded - least loaded of the region that has room, or NULL.
 */
sched_upstream_t *choose_least_loaded(const sched_t *s, mstime_t now,
				      const sched_request_t *r,
				      bound_estimate_t estimate);

/*
 * choose_is_warm - whether an owned upstream is believed to hold the chat.
 */
bool choose_is_warm(const sched_upstream_t *u, mstime_t now,
		    const sched_request_t *r);

/*
 * choose_preferred - first-ranked upstream of a chat, or where it is still
 * warm.
 */
sched_upstream_t *choose_preferred(const sched_t *s, mstime_t now,
				   const sched_request_t *r);

/*
 * choose_by_placement - choice by the placement that the Site names, or NULL.
 */
sched_upstream_t *choose_by_placement(sched_t *s, mstime_t now,
				      const sched_request_t *r);

#endif
