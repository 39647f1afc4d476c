/*
 * choose - which upstreams could take a request, and in what order.
 */
#ifndef KCF_PRIVATE_CHOOSE_H
#define KCF_PRIVATE_CHOOSE_H

#include "slot.h"

/* Which entries a ranking may return. */
typedef enum rank_filter {
	RANK_ANY,
	RANK_SETTLED, /* only those that were not away of late */
	RANK_OWNED,
} rank_filter_t;

/* How sure a load within the bound of the mean must be. */
typedef enum certainty {
	LIKELY,	 /* as far as known */
	CERTAIN, /* also if others' loads have fallen since they were heard */
} certainty_t;

/* Load of all upstreams that could take a request. */
typedef struct totals {
	double out; /* expected there now */
	int slots;
	double variance; /* of out, for what has changed since it was heard */
	double ended;	 /* own requests that are taken to have ended there */
} totals_t;

/* The last sum, and what it was made of. */
typedef struct choose_cache {
	const service_t *service;
	mstime_t now;
	uint64_t epoch;
	totals_t totals;
} choose_cache_t;

/*
 * choose_slot - what is known of an upstream, or NULL.
 */
slot_t *choose_slot(const sched_t *s, uint32_t key);

/*
 * choose_fits - whether configuration lets an upstream take a request.
 */
bool choose_fits(const sched_request_t *r, const slot_t *sl);

/*
 * choose_bounded - whether the load bound is in force, which baselines lack.
 */
bool choose_bounded(const sched_t *s);

/*
 * choose_has_room - whether one more request of a customer is within the
 * upstream's limit and the bound of the mean.
 */
bool choose_has_room(const sched_t *s, mstime_t now, const slot_t *sl,
		     const char *customer, certainty_t certainty);

/*
 * choose_ranked - first by rank: of the region, else of all; upstreams that
 * are held back only if need be. NULL for none.
 */
slot_t *choose_ranked(const sched_t *s, mstime_t now, const sched_request_t *r,
		      rank_filter_t filter);

/*
 * choose_least_loaded - least loaded of the region that has room, or NULL.
 */
slot_t *choose_least_loaded(const sched_t *s, mstime_t now,
			    const sched_request_t *r, certainty_t certainty);

/*
 * choose_warm - whether an owned upstream is believed to hold the chat.
 */
bool choose_warm(const slot_t *sl, mstime_t now, const sched_request_t *r);

/*
 * choose_home - first-ranked upstream of a chat, or where it is still warm.
 */
slot_t *choose_home(const sched_t *s, mstime_t now, const sched_request_t *r);

/*
 * choose_first - choice by the placement that the Site names, or NULL.
 */
slot_t *choose_first(sched_t *s, mstime_t now, const sched_request_t *r);

#endif
