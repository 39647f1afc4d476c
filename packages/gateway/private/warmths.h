/*
 * warmths - tells other nodes which upstreams have prompts cached, and learns
 * it from them. Silent until it is activated.
 */
#ifndef KCF_PRIVATE_WARMTHS_H
#define KCF_PRIVATE_WARMTHS_H

#include <kcf/byte_budget.h>
#include <kcf/datagram.h>
#include <kcf/warmth.h>

typedef struct warmths_ops {
	/* Address of a random other node, or NULL; valid until the next tick.
	 */
	const char *(*random_peer)(void *ctx);
	/* Sends a message; returns its bytes, 0 if it was not sent. */
	size_t (*send)(void *ctx, const char *to, const peer_warmth_t *m);
	/* Another node tells of an upstream: its service shares what is warm.
	 * Returns false if the upstream is not known here.
	 */
	bool (*share)(void *ctx, uint32_t key);
	mstime_t (*wall)(void *ctx); /* time of sending */
} warmths_ops_t;

typedef struct warmths {
	warmth_t table;
	byte_budget_t news;    /* bytes of what is new */
	byte_budget_t replies; /* bytes of replies to nodes that have started */
	bool active;
	int asks_left;
	mstime_t next_ask_at;
	const warmths_ops_t *ops;
	void *ctx;
} warmths_t;

/*
 * warmths_init - nothing is sent before warmths_activate.
 * @ops, @ctx: must outlive it
 */
void warmths_init(warmths_t *s, const warmths_ops_t *ops, void *ctx);
void warmths_finish(warmths_t *s);

/*
 * warmths_activate - a service shares what is warm: asks other nodes for the
 * newest once, and begins to tell.
 */
void warmths_activate(warmths_t *s);

/*
 * warmths_tick - tells what is new; called about ten times a second.
 */
void warmths_tick(warmths_t *s, mstime_t now);

/*
 * warmths_receive - applies or answers the message of another node.
 */
void warmths_receive(warmths_t *s, const peer_warmth_t *m, const char *from,
		     mstime_t now);

#endif
