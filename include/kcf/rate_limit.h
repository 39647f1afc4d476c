/*
 * rate_limit - the request rate that an upstream asks for in its answers,
 * divided among the nodes.
 *
 * The rate holds for all nodes together, and they do not talk about it. A few
 * nodes, the holders, divide most of it; each node finds them alike from the
 * serving nodes' keys and the upstream's. The rest goes round all nodes in time
 * slots, so that each node gets an answer, and with it the present rate, now
 * and then. No node saves up more than a moment's share. Pure logic: no clock.
 *
 * Load: a share of a service's upstreams is degraded and takes a part of its
 * usual rate; the others have room for the rest, or have not.
 */
#ifndef KCF_RATE_LIMIT_H
#define KCF_RATE_LIMIT_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Rate of an upstream as this node knows it; zeroed while it has none. */
typedef struct rate_limit {
	bool active;
	double per_s;	     /* as named last */
	mstime_t named_at;   /* by an answer to this node */
	mstime_t ending_at;  /* an answer no longer named it, or 0 */
	double holder_share; /* fraction of the rate for this node, 0 to 1 */
	double tokens;	     /* requests that a holder may send now */
	mstime_t tokens_at;
	int64_t used_slot; /* last time slot in which this node has sent */
} rate_limit_t;

/* This node's place among all nodes that may send. */
typedef struct rate_limit_place {
	guint index;	      /* in an order that all nodes agree on */
	guint count;	      /* 0 while this node does not know the others */
	mstime_t wall_offset; /* from the steady clock to the time of day */
} rate_limit_place_t;

/*
 * rate_limit_share - fraction of a rate that a node may use as a holder.
 * @keys: of the serving nodes
 * @own:  index of this node, or count if it does not serve
 * @seed: of the upstream
 *
 * The shares of all nodes add up to less than 1; the rest is for time slots.
 */
double rate_limit_share(const uint64_t *keys, guint count, guint own,
			uint64_t seed, double per_s);

/*
 * rate_limit_name - records that an answer names a rate.
 * @per_s: at least 0
 *
 * Return: whether the rate is new or has changed.
 */
bool rate_limit_name(rate_limit_t *l, double per_s, mstime_t now);

/*
 * rate_limit_omit - records that an answer names no rate. The rate then rises
 * step by step and ends.
 * @sent_at: of the request; one sent before the rate was named proves nothing
 *
 * Return: whether the rate begins to end.
 */
bool rate_limit_omit(rate_limit_t *l, mstime_t sent_at, mstime_t now);

/*
 * rate_limit_allows - whether this node may send a request now.
 */
bool rate_limit_allows(rate_limit_t *l, const rate_limit_place_t *place,
		       uint64_t seed, mstime_t now);

/*
 * rate_limit_spend - records that a request is sent; it was allowed.
 */
void rate_limit_spend(rate_limit_t *l, const rate_limit_place_t *place,
		      uint64_t seed, mstime_t now);

/*
 * rate_limit_wait_ms - time until a holder's next request, the longest for
 * other nodes, which callers do better to avoid.
 */
mstime_t rate_limit_wait_ms(const rate_limit_t *l);

#endif
