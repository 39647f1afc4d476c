/*
 * brittle - an upstream that falls over if it has to turn away more requests in
 * a second than it says in its answers.
 *
 * The bound holds for what all nodes send. The serving nodes divide the slots
 * of the upstream; each finds its part alike from the serving nodes' keys and
 * the upstream's, so that the parts fit. Nodes without a part send so few
 * requests that all of them may be turned away. After a refusal a node sends
 * nothing there for a while. Pure logic: no clock.
 *
 * Load: all upstreams of a service, for some seconds, at more than they run.
 */
#ifndef KCF_BRITTLE_H
#define KCF_BRITTLE_H

#include <kcf/rate_limit.h>

/* What this node knows of it; zeroed while the upstream is not brittle. */
typedef struct brittle {
	bool active;
	int turned_per_s;   /* it may turn away so many, as named last */
	mstime_t named_at;  /* by an answer */
	int part;	    /* slots of this node there */
	bool divided;	    /* the part was found with all nodes known */
	int holders;	    /* nodes that may have a part */
	rate_limit_t extra; /* requests of nodes without a part */
	mstime_t held_until;
	mstime_t hold_ms; /* that led to it */
} brittle_t;

/*
 * brittle_name - records that an answer names the upstream brittle.
 * @turned_per_s: at least 0
 *
 * Return: whether that is new or has changed.
 */
bool brittle_name(brittle_t *b, int turned_per_s, mstime_t now);

/*
 * brittle_omit - records that an answer does not.
 * @sent_at: of the request; one sent before the last naming proves nothing
 *
 * Return: whether it ends.
 */
bool brittle_omit(brittle_t *b, mstime_t sent_at);

/*
 * brittle_share - divides the slots anew.
 * @keys: of the serving nodes
 * @own: index of this node, or count if it does not serve
 * @seed: of the upstream
 * @nodes: that may serve, at least count; those that are missing may only be
 * out of touch
 */
void brittle_share(brittle_t *b, const uint64_t *keys, guint count, guint own,
		   uint64_t seed, int slots, guint nodes);

/*
 * brittle_allows - whether this node may send a request now.
 * @own: outstanding requests of this node there
 * @has_room: by a recent report, enough slots are free
 */
bool brittle_allows(brittle_t *b, const rate_limit_place_t *place,
		    uint64_t seed, int own, bool has_room, mstime_t now);

/*
 * brittle_spend - records that a request is sent; it was allowed.
 * @own: outstanding requests before it
 */
void brittle_spend(brittle_t *b, const rate_limit_place_t *place, uint64_t seed,
		   int own, mstime_t now);

/*
 * brittle_turned_away - records that the upstream has refused a request of this
 * node for want of room.
 */
void brittle_turned_away(brittle_t *b, mstime_t now);

#endif
