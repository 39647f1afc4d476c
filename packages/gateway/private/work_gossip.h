/*
 * work_gossip - tells other nodes how many prompt tokens of this node's
 * requests are pending at upstreams, and the paces that upstreams report.
 *
 * Nothing is sent while no upstream reports a pace. A lost message is not
 * repeated: the next one holds what is current then.
 */
#ifndef KCF_PRIVATE_WORK_GOSSIP_H
#define KCF_PRIVATE_WORK_GOSSIP_H

#include <kcf/datagram.h>
#include <kcf/work.h>

/* What the gossip needs of its node. */
typedef struct work_gossip_ops {
	/* Fills in at most WORK_GOSSIP_MAX entries; returns their number. */
	u_int (*collect)(void *ctx, mstime_t now, work_entry_t *out);
	/* Applies an entry of the node with this key. */
	void (*apply)(void *ctx, uint64_t node, const work_entry_t *entry,
		      mstime_t now);
	/* Peer address of the node to tell next, or NULL. */
	const char *(*target)(void *ctx, mstime_t now);
	/* May drop the message. */
	void (*send)(void *ctx, const char *to, const peer_work_t *m);
} work_gossip_ops_t;

typedef struct work_gossip {
	const work_gossip_ops_t *ops;
	void *ctx;
	uint32_t node; /* key of this node */
	mstime_t next_at;
} work_gossip_t;

/*
 * work_gossip_init - begins with nothing sent; holds no memory of its own.
 * @node: key of this node, see member_key
 */
void work_gossip_init(work_gossip_t *w, uint32_t node,
		      const work_gossip_ops_t *ops, void *ctx);

/*
 * work_gossip_tick - sends a message when one is due.
 */
void work_gossip_tick(work_gossip_t *w, mstime_t now);

/*
 * work_gossip_receive - applies a message of another node.
 */
void work_gossip_receive(work_gossip_t *w, const peer_work_t *m, mstime_t now);

#endif
