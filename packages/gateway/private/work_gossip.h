/*
 * work_gossip - tells other nodes at once when an upstream begins to prefill a
 * long prompt for a request of this node.
 *
 * Such a prefill lasts some hundred milliseconds, so a report that waits for
 * its turn comes too late. Nothing is sent for an upstream of a service that
 * reports no pace. A lost message is not repeated.
 */
#ifndef KCF_PRIVATE_WORK_GOSSIP_H
#define KCF_PRIVATE_WORK_GOSSIP_H

#include <kcf/datagram.h>
#include <kcf/work.h>

/* What the gossip needs of its node. */
typedef struct work_gossip_ops {
	/* Applies an entry of the node with this key. */
	void (*apply)(void *ctx, uint64_t node, const work_entry_t *entry,
		      mstime_t now);
	/* Number of nodes that may be told, this one included. */
	int (*count)(void *ctx, mstime_t now);
	/* Peer address of one of them; NULL for this node. */
	const char *(*target)(void *ctx, int index);
	/* May drop the message. */
	void (*send)(void *ctx, const char *to, const peer_work_t *m);
} work_gossip_ops_t;

typedef struct work_gossip {
	const work_gossip_ops_t *ops;
	void *ctx;
	uint32_t node; /* key of this node */
	work_notices_t notices;
	unsigned int turn; /* where the next one begins if not all are told */
} work_gossip_t;

/*
 * work_gossip_init - begins with nothing sent; holds no memory of its own.
 * @node: key of this node, see member_key
 */
void work_gossip_init(work_gossip_t *w, uint32_t node,
		      const work_gossip_ops_t *ops, void *ctx);

/*
 * work_gossip_notify - tells other nodes of an upstream that begins a prefill,
 * if it is long enough and as far as the budget goes.
 * @read_ms: expected time of the prefill
 */
void work_gossip_notify(work_gossip_t *w, const work_entry_t *entry,
			int read_ms, mstime_t now);

/*
 * work_gossip_receive - applies a message of another node.
 */
void work_gossip_receive(work_gossip_t *w, const peer_work_t *m, mstime_t now);

#endif
