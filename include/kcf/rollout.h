/*
 * rollout - moves a service's traffic to a new software version of its
 * upstreams, or back.
 *
 * One node, the deciding node, merges what all nodes have seen of both versions
 * (the evidence) and decides how large a share of the requests goes to the new
 * one. The load that this addresses: a bad version must reach few callers, so
 * few requests go to it while it is observed for a good part of the duration;
 * the rest of the traffic is moved in a short ramp at the end, in which a
 * version that turns bad only then stays within the limit on its requests.
 * Pure logic: no socket, no clock.
 */
#ifndef KCF_ROLLOUT_H
#define KCF_ROLLOUT_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Routes that are told apart; the last entry counts all further ones. */
#define ROLLOUT_ROUTES_MAX 16

typedef enum rollout_side {
	ROLLOUT_OLD,
	ROLLOUT_NEW,
	ROLLOUT_SIDE_COUNT,
} rollout_side_t;

typedef enum rollout_phase {
	ROLLOUT_UNKNOWN, /* nothing goes to the new version */
	ROLLOUT_OBSERVE, /* a small share does */
	ROLLOUT_RAMP,	 /* more, in steps */
	ROLLOUT_FULL,	 /* all new requests do */
	/* All requests do, and the status is being written. */
	ROLLOUT_COMPLETING,
	ROLLOUT_COMPLETED, /* only once its record is acknowledged */
	ROLLOUT_REVERTED,
	ROLLOUT_PHASE_COUNT,
} rollout_phase_t;

/* Parallel to rollout_phase_t. */
extern const char *const rollout_phase_string[];

/* Limits on the requests of a bad version. */
typedef struct rollout_bounds {
	double share;	      /* of all requests, 0: no roll-outs */
	int tolerance;	      /* requests beyond that share */
	mstime_t rollback_ms; /* from the 50th bad answer to the last request */
} rollout_bounds_t;

/* Answers of one version on one route. All of them grow. */
typedef struct rollout_counts {
	uint32_t answered; /* failed ones included */
	uint32_t failed;
	uint32_t timed;	    /* neither cold nor failed: judged for their time */
	uint32_t slow;	    /* of those */
	uint32_t upstreams; /* bits of the upstreams that failed */
	uint32_t first_ms;  /* sum over timed, until the first byte */
	uint32_t whole_ms;  /* sum over timed, until the end */
} rollout_counts_t;

typedef struct rollout_route {
	uint32_t route; /* key, 0 for all further ones */
	rollout_counts_t sides[ROLLOUT_SIDE_COUNT];
} rollout_route_t;

/* What one node, or all of them, have seen. */
typedef struct rollout_tally {
	uint32_t requests[ROLLOUT_SIDE_COUNT]; /* sent, retries included */
	uint32_t open_once;    /* at the old version, must not be repeated */
	uint32_t open_streams; /* at the old version */
	rollout_route_t routes[ROLLOUT_ROUTES_MAX];
	guint route_count;
} rollout_tally_t;

/* One answer, or the lack of one. */
typedef struct rollout_answer {
	uint32_t route;
	rollout_side_t side;
	uint32_t upstream; /* key */
	bool failed;
	bool timed;	     /* false for an upstream that is cold */
	bool cache_may_miss; /* its prompt is not known to be cached there */
	mstime_t first_ms;
	mstime_t whole_ms;
	mstime_t objective_ms; /* of the route, 0 if it has none */
} rollout_answer_t;

/* Mean times of the old version on a route, 0 while they are unknown. */
typedef struct rollout_pace {
	uint32_t route;
	uint32_t first_ms;
	uint32_t whole_ms;
} rollout_pace_t;

/*
 * rollout_count_request - counts a request that is sent to an upstream.
 */
void rollout_count_request(rollout_tally_t *t, rollout_side_t side);

/*
 * rollout_count_answer - counts an answer.
 * @slow: see rollout_is_slow
 */
void rollout_count_answer(rollout_tally_t *t, const rollout_answer_t *a,
			  bool slow);

/*
 * rollout_is_slow - whether an answer, or the wait for one so far, takes
 * several times as long as the old version's mean on that route, and more than
 * a cache that lacks its prompt explains.
 */
bool rollout_is_slow(const rollout_pace_t *pace, const rollout_answer_t *a);

/*
 * rollout_tally_add - adds the counts of another tally.
 */
void rollout_tally_add(rollout_tally_t *t, const rollout_tally_t *other);

/*
 * rollout_tally_max - keeps the larger of each count; both tallies are of the
 * same node, and one may be older.
 */
void rollout_tally_max(rollout_tally_t *t, const rollout_tally_t *other);

/*
 * rollout_pace_of - mean times of the old version on a route of a tally.
 */
rollout_pace_t rollout_pace_of(const rollout_route_t *r);

/* What the deciding node has heard from one node. */
typedef struct rollout_node {
	uint32_t key;
	uint64_t incarnation;
	rollout_tally_t tally;
	mstime_t heard_at;
	uint32_t seq; /* of the last state that the node follows */
} rollout_node_t;

/* The evidence of all nodes. */
typedef struct rollout_evidence {
	GHashTable *nodes;	/* uint32_t key to rollout_node_t * */
	rollout_tally_t former; /* of earlier starts of nodes */
} rollout_evidence_t;

void rollout_evidence_init(rollout_evidence_t *e);
void rollout_evidence_finish(rollout_evidence_t *e);

/*
 * rollout_evidence_put - takes over what a node tells of itself. Late and
 * repeated messages do no harm, as the counts of a start only grow.
 * @node: heard_at is the present time
 */
void rollout_evidence_put(rollout_evidence_t *e, const rollout_node_t *node);

/*
 * rollout_evidence_sum - adds up the counts of all nodes. Open requests of
 * nodes that were not heard since a time don't count.
 */
void rollout_evidence_sum(const rollout_evidence_t *e, mstime_t open_since,
			  rollout_tally_t *out);

/*
 * rollout_find_fault - whether the evidence is against the new version.
 *
 * Its failures, or its slow answers, are significantly more frequent than those
 * of the old one, on the same route or on all routes together; failures that
 * both versions have alike don't count, nor do few of a single upstream.
 * @before: earlier counts; only what the new version has done since is judged,
 *          or all that it has done if this is NULL
 * @single: the new version has one upstream only
 *
 * Return: the reason, NULL without any.
 */
const char *rollout_find_fault(const rollout_tally_t *t,
			       const rollout_tally_t *before, bool single);

/*
 * rollout_is_doubtful - whether the evidence may yet come to be against the new
 * version, on some route, so that a larger share should wait for more of it.
 */
bool rollout_is_doubtful(const rollout_tally_t *t);

/* A roll-out at one node, the deciding one or another. */
typedef struct rollout {
	rollout_bounds_t bounds;
	mstime_t duration_ms;
	mstime_t started_at;   /* of the order */
	bool start_assumed;    /* this node does not know it */
	mstime_t counted_from; /* all nodes may have started again before */
	rollout_phase_t phase;
	double share;
	bool held; /* the allowance of the step is used up */
	mstime_t held_at;
	const char *reason; /* of the last step */
	mstime_t phase_since;
	int ramp_step;
	uint32_t seq;			    /* grows with each step */
	uint32_t floor[ROLLOUT_SIDE_COUNT]; /* requests that are known of */
	/*
	 * What was known when the step of the ramp began, or some time ago. A
	 * version that turns bad is not to be judged by its good answers before
	 * that.
	 */
	rollout_tally_t before;
	rollout_tally_t window; /* replaces it */
	mstime_t window_at;
	mstime_t step_since;
	mstime_t drain_ms;	 /* requests of the old version take it */
	mstime_t observed_since; /* an upstream of the new version serves, or 0
				  */
	/* the lease of this node */
	mstime_t lease_until;
	double credit; /* requests that it may send to the new version */
} rollout_t;

/* What the deciding node knows apart from the order. */
typedef struct rollout_view {
	rollout_tally_t sum;
	int new_upstreams; /* that serve */
	int old_slots;
	int new_warm_slots; /* of those that are no longer cold */
	double cold_per_s;  /* requests that the cold ones take */
	double demand;	    /* outstanding requests of the service */
	/* All live nodes have told of the present step. */
	bool all_follow;
} rollout_view_t;

/*
 * rollout_init - begins a roll-out in ROLLOUT_UNKNOWN.
 * @phase_offset: 0 to 1, differs between nodes, so that their first requests
 *                to the new version are spread
 */
void rollout_init(rollout_t *r, const rollout_bounds_t *bounds,
		  mstime_t duration_ms, double phase_offset, mstime_t now);

/*
 * rollout_begin - the deciding node knows that there is no earlier state.
 */
void rollout_begin(rollout_t *r, mstime_t now);

/*
 * rollout_take_over - another node decided so far. A ramp starts again, as
 * nodes have sent nothing to the new version since their leases ended.
 */
void rollout_take_over(rollout_t *r, mstime_t now);

/*
 * rollout_decide - takes the next step, if any, at the deciding node.
 *
 * Return: whether the phase or the share has changed.
 */
bool rollout_decide(rollout_t *r, const rollout_view_t *v, mstime_t now);

/* The state as nodes tell it to each other. */
typedef struct rollout_state {
	rollout_phase_t phase;
	double share;
	uint32_t seq;
	mstime_t age_ms; /* of the order */
	uint32_t requests[ROLLOUT_SIDE_COUNT];
} rollout_state_t;

/*
 * rollout_adopt - follows the state of the deciding node for a lease.
 * ROLLOUT_REVERTED and ROLLOUT_COMPLETED are final: the first stays unless the
 * record says otherwise, see rollout_settle.
 *
 * Return: whether the phase has changed.
 */
bool rollout_adopt(rollout_t *r, const rollout_state_t *s, mstime_t now);

/*
 * rollout_settle - the record in the platform's log has a final state.
 */
void rollout_settle(rollout_t *r, rollout_phase_t phase, mstime_t now);

/*
 * rollout_lease_ms - for how long a node follows a state.
 */
mstime_t rollout_lease_ms(const rollout_t *r);

/*
 * rollout_choose - the version for a request that is not bound to one.
 * @position: of its prompt's hash, 0 to 1, or below 0 without a prompt
 */
rollout_side_t rollout_choose(rollout_t *r, double position, mstime_t now);

#endif
