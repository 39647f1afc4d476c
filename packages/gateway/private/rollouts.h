/*
 * rollouts - the roll-outs that are in force, as one node takes part in them.
 *
 * Counts the answers of both versions, tells them to the deciding node, follows
 * its state or decides, and writes the status to the platform's log. Needs a
 * tick ten times a second.
 */
#ifndef KCF_PRIVATE_ROLLOUTS_H
#define KCF_PRIVATE_ROLLOUTS_H

#include <kcf/datagram.h>
#include <kcf/protocol.h>
#include <kcf/rollout.h>
#include <kcf/versions.h>

/* A live node. */
typedef struct rollouts_peer {
	uint32_t key;
	const char *address; /* of its datagrams */
	bool self;
} rollouts_peer_t;

/* Access to the rest of the gateway. */
typedef struct rollouts_ops {
	mstime_t (*now)(void *ctx);
	mstime_t (*wall)(void *ctx); /* time of day */
	guint (*live_count)(void *ctx);
	/* False if there is none of that rank. */
	bool (*node_at)(void *ctx, guint rank, rollouts_peer_t *out);
	int (*own_rank)(void *ctx); /* below 0 if this node is not live */
	/* Whether this node has started too recently to know most others. */
	bool (*is_recent)(void *ctx);
	void (*send_evidence)(void *ctx, const char *to,
			      const peer_rollout_evidence_t *m);
	void (*send_state)(void *ctx, const char *to,
			   const peer_rollout_state_t *m);
	/* Fills in all that concerns upstreams. */
	void (*view_upstreams)(void *ctx, const char *service, uint32_t version,
			       rollout_view_t *view);
	/* Requests of this node that are open at other versions than one. */
	void (*count_open)(void *ctx, const char *service, uint32_t version,
			   rollout_tally_t *out);
	/* See feed_client_ops_t; the call is cancelled with the order. */
	http_call_t *(*read_status)(void *ctx, feed_fn fn, void *arg);
	http_call_t *(*write_status)(void *ctx, const rollout_status_t *status,
				     uint64_t end, feed_fn fn, void *arg);
	void (*cancel)(void *ctx, http_call_t *call);
	bool (*parse_status)(void *ctx, const feed_record_t *r,
			     rollout_status_t *out);
} rollouts_ops_t;

typedef struct rollouts {
	const rollouts_ops_t *ops;
	void *ctx;
	rollout_bounds_t bounds;
	uint32_t own_key; /* of this node */
	uint64_t incarnation;
	GHashTable *by_service; /* char * to an entry of rollouts.c */
} rollouts_t;

/* What a roll-out means for a request. */
typedef enum rollouts_way {
	ROLLOUTS_NONE,	 /* there is none */
	ROLLOUTS_OLD,	 /* to another version than the new one */
	ROLLOUTS_NEW,	 /* to the new version, or else to another */
	ROLLOUTS_BARRED, /* it is bound to a version that was reverted */
} rollouts_way_t;

/*
 * rollouts_init - begins without any.
 * @bounds: with a share of 0 orders are ignored
 */
void rollouts_init(rollouts_t *r, const rollouts_ops_t *ops, void *ctx,
		   const rollout_bounds_t *bounds);
void rollouts_finish(rollouts_t *r);
/* Sets what identifies this node in messages. */
void rollouts_set_self(rollouts_t *r, uint32_t key, uint64_t incarnation);

/* How an order was read. */
typedef struct rollouts_news {
	uint64_t offset; /* of its record */
	/* It was written while this node had recent data, so that it has no
	 * state that this node does not know.
	 */
	bool fresh;
	bool prompt;		/* it was written just now */
	mstime_t written_after; /* if not, then later than this; 0: unknown */
} rollouts_news_t;

/*
 * rollouts_apply_order - an order was read, or was withdrawn.
 */
void rollouts_apply_order(rollouts_t *r, const rollout_order_t *order,
			  const rollouts_news_t *news, mstime_t now);

/* A record of FEED_NODES was read, maybe a status. */
void rollouts_apply_status(rollouts_t *r, const feed_record_t *record,
			   mstime_t now);

void rollouts_tick(rollouts_t *r, mstime_t now);
/* from: address of the node, which may want the state */
void rollouts_receive_evidence(rollouts_t *r, const peer_rollout_evidence_t *m,
			       const char *from, mstime_t now);
void rollouts_receive_state(rollouts_t *r, const peer_rollout_state_t *m,
			    mstime_t now);

/*
 * rollouts_direct - chooses the version of a request and restricts it to that.
 * @met_new: an attempt at the new version has failed
 */
rollouts_way_t rollouts_direct(rollouts_t *r, balance_request_t *request,
			       bool met_new, mstime_t now);

/*
 * rollouts_relax - lifts the restriction of a request for which there was no
 * upstream, if that is allowed.
 * @old_known: an upstream of another version than the new one is known
 */
bool rollouts_relax(rollouts_t *r, balance_request_t *request,
		    rollouts_way_t way, bool old_known);

/*
 * rollouts_count_request - counts a request that is sent.
 * @side: receives the side of its upstream
 *
 * Return: false if its service has no roll-out.
 */
bool rollouts_count_request(rollouts_t *r, const char *service,
			    uint32_t version, rollout_side_t *side);

/* Counts the answer to such a request. */
void rollouts_count_answer(rollouts_t *r, const char *service,
			   const rollout_answer_t *a);

/* Whether an answer is slow by now, see rollout_is_slow. */
bool rollouts_is_slow(rollouts_t *r, const char *service,
		      const rollout_answer_t *a);

/* Whether any order is in force. */
bool rollouts_any(const rollouts_t *r);

/* For operators; a new reference. */
json_t *rollouts_json(rollouts_t *r, mstime_t now);

#endif
