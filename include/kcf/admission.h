/*
 * admission - decides which requests a service takes while it is short of
 * slots.
 *
 * Every node decides by itself: from the load that upstreams report, the time
 * for which a request holds a slot, and what the request says of itself. The
 * limit of a request lies between two bounds and is drawn from its id, so that
 * all nodes together turn requests away gradually as the load rises, although
 * their reports are up to half a second old. Pure logic: no socket, no clock,
 * no random source.
 *
 * Load: a plain service of few slots (18) meets more requests than it can run
 * for some seconds, or one customer sends a multiple of what others send. Each
 * of many nodes (69) has less than one request outstanding there, so that its
 * own counts of outstanding requests say little.
 */
#ifndef KCF_ADMISSION_H
#define KCF_ADMISSION_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Urgency of the requests that are served last; 0 is served first. */
#define ADMISSION_URGENCY_LAST 9

/* What recent requests at this node say of the demand for each service. */
typedef struct admission {
	GHashTable *services; /* char * to service_demand_t * */
} admission_t;

/* A request as it arrives. */
typedef struct admission_arrival {
	const char *service;
	const char *customer; /* "" for callers without a key */
	const char *kind;     /* name of its route */
	int urgency;	      /* 0 is most urgent */
	double size;	      /* in mean requests, 1 if unknown */
	/* What the service can run, this node's part of it; 0 if unknown. */
	double capacity_per_s;
	bool ordered;	       /* see admission_claim_t */
	mstime_t objective_ms; /* latency objective, 0 if unset */
	mstime_t deadline;
	uint64_t hash; /* of its id */
} admission_arrival_t;

/* What is decided by; zeroed for a request that nothing is known of. */
typedef struct admission_claim {
	uint64_t hash;	       /* of its id */
	mstime_t objective_ms; /* latency objective, 0 if unset */
	mstime_t deadline;     /* 0 if unset */
	int outranked;	       /* more urgent classes seen lately */
	bool surplus;	       /* is above the share of its customer */
	bool above_even;       /* its customer sends more than most others */
	bool late;	       /* came back, and its objective has passed */
	bool ordered; /* upstreams start the most urgent of those that wait */
	bool begun; /* has been sent to an upstream before, or delivered in part
		     */
} admission_claim_t;

/* A service and one of its upstreams, as the node knows them. */
typedef struct admission_view {
	int load;  /* outstanding requests at the upstream */
	int slots; /* of the upstream */
	double service_load;
	int service_slots;
	double hold_ms;	 /* mean time for which a request holds a slot */
	double least_ms; /* time that the quickest requests take, 0 if unknown
			  */
} admission_view_t;

typedef enum admission_verdict {
	ADMISSION_ADMIT,
	ADMISSION_BUSY,	    /* would wait too long for its objective */
	ADMISSION_RESERVED, /* what is left is for more urgent requests */
	ADMISSION_SURPLUS,  /* what is left is for other customers */
	ADMISSION_LATE,	    /* cannot be answered before its deadline */
} admission_verdict_t;

/*
 * admission_init - initialises with no demand.
 */
void admission_init(admission_t *a);

/*
 * admission_finish - releases all.
 */
void admission_finish(admission_t *a);

/*
 * admission_record_arrival - records a request and compares it with the others
 * of the last seconds.
 * @claim: receives all
 */
void admission_record_arrival(admission_t *a,
			      const admission_arrival_t *arrival, mstime_t now,
			      admission_claim_t *claim);

/*
 * admission_decide - whether an upstream takes a request. While less than half
 * of the service's slots are in use, one with a free slot takes all that can be
 * answered in time.
 */
admission_verdict_t admission_decide(const admission_claim_t *claim,
				     const admission_view_t *view,
				     mstime_t now);

/*
 * admission_retry_ms - when a rejected request may come back: after the time in
 * which the requests that wait now get a slot, and by a third of its remaining
 * time, after which its caller would not come. All nodes name the same time for
 * a request; those with less time left come first.
 *
 * Return: milliseconds from now.
 */
mstime_t admission_retry_ms(const admission_claim_t *claim,
			    const admission_view_t *view, mstime_t now);

#endif
