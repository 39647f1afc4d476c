/*
 * quarantine_gossip - spreads the reports of a quarantine over the nodes.
 *
 * A node that learns of a crash tells a few others at once; known crashes are
 * repeated to random nodes, and a node that starts or was paused asks for them.
 * Pure logic: sends through a table of functions.
 */
#ifndef KCF_QUARANTINE_GOSSIP_H
#define KCF_QUARANTINE_GOSSIP_H

#include <kcf/byte_budget.h>
#include <kcf/quarantine_report.h>

typedef struct quarantine_gossip_ops {
	/* Address of a random other node, or NULL; valid until the next call.
	 */
	const char *(*random_peer)(void *ctx);
	/* Sends a report; returns its bytes, 0 if it was not sent. */
	size_t (*send)(void *ctx, const char *to, const peer_crash_report_t *r);
} quarantine_gossip_ops_t;

typedef struct quarantine_gossip {
	quarantine_t *quarantine;
	byte_budget_t budget; /* of reports alone */
	mstime_t repeat_at;
	mstime_t ask_at;
	mstime_t ask_until; /* 0 once enough others have replied */
	int replies;	    /* that were complete, since it asks */
	const quarantine_gossip_ops_t *ops;
	void *ctx;
} quarantine_gossip_t;

/*
 * quarantine_gossip_init - the node asks others for the known crashes first.
 * @q, @ops, @ctx: must outlive the gossip
 */
void quarantine_gossip_init(quarantine_gossip_t *s, quarantine_t *q,
			    const quarantine_gossip_ops_t *ops, void *ctx,
			    mstime_t now);

/*
 * quarantine_gossip_ask - asks other nodes for crashes that this node may have
 * missed.
 */
void quarantine_gossip_ask(quarantine_gossip_t *s, mstime_t now);

/*
 * quarantine_gossip_flush - tells others what is new.
 */
void quarantine_gossip_flush(quarantine_gossip_t *s, mstime_t now);

/*
 * quarantine_gossip_tick - flushes, repeats and asks; called about ten times a
 * second.
 */
void quarantine_gossip_tick(quarantine_gossip_t *s, mstime_t now);

/*
 * quarantine_gossip_receive - applies or answers the message of another node.
 */
void quarantine_gossip_receive(quarantine_gossip_t *s,
			       const peer_crash_report_t *m, const char *from,
			       mstime_t now);

#endif
