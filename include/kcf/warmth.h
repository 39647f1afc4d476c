/*
 * warmth - which upstreams have a shared prompt cached, as far as the fleet
 * tells.
 *
 * Load: many prompts that few nodes request at a time, so that most first
 * requests of a node are for prompts that another node has had read. A bounded
 * table maps the hash of a prompt to a few upstreams; what is new is told to
 * other nodes. Wrong information costs one cache look-up that fails, so it is
 * kept without proof. Pure logic: no socket, no clock.
 */
#ifndef KCF_WARMTH_H
#define KCF_WARMTH_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Upstreams kept for each prompt. */
#define WARMTH_PLACES 3
/*
 * Prompts in the table, 1 MB. Of others, all nodes learn at most some 50 a
 * second, and a node some 20 of its own requests; each is valid for
 * WARMTH_VALID_MS.
 */
#define WARMTH_PROMPTS_MAX 8192
/* Engines keep an idle prompt for half of this, and what is told of one in use
 * may be as old as the other half.
 */
#define WARMTH_VALID_MS 60000
/* Prefill of a long prompt of 30,000 tokens at a slow upstream. */
#define WARMTH_PREFILL_MS 1000
/* Interval at which a prompt in use is told again. */
#define WARMTH_REFRESH_MS 30000
/*
 * Nodes to which each node passes a pair on. With 4, all but 2 % of the nodes
 * are reached, and all but 3 % if a tenth of the messages is lost.
 */
#define WARMTH_PASSES 4
/* Pairs that wait to be told; the oldest are dropped beyond that. */
#define WARMTH_NEWS_MAX 512

/* A prompt and an upstream that has it, as nodes tell each other. */
typedef struct warmth_pair {
	uint64_t prompt; /* hash */
	uint32_t key;	 /* of the upstream, see balance_upstream_t */
	mstime_t age_ms; /* of the information */
} warmth_pair_t;

typedef struct warmth {
	GHashTable *entries; /* prompt to warmth_entry_t *, private */
	GQueue order;	     /* most recently used first */
	GQueue news;	     /* pairs to tell, in their order, private */
} warmth_t;

/*
 * warmth_init - initialises an empty table.
 */
void warmth_init(warmth_t *w);
void warmth_finish(warmth_t *w);

/*
 * warmth_learn - records that an upstream has a prompt, or reads it now for a
 * request of this node.
 *
 * Return: whether other nodes are to be told: few upstreams of the prompt are
 * known, or the prompt was last told long ago.
 */
bool warmth_learn(warmth_t *w, uint64_t prompt, uint32_t key, mstime_t now);

/*
 * warmth_begin_prefill - the same for an upstream that begins to prefill the
 * prompt now: for WARMTH_PREFILL_MS it cannot be copied from there.
 */
bool warmth_begin_prefill(warmth_t *w, uint64_t prompt, uint32_t key,
			  mstime_t now);

/*
 * warmth_apply - records what another node has told.
 *
 * Return: whether it is new here and is passed on.
 */
bool warmth_apply(warmth_t *w, const warmth_pair_t *pair, mstime_t now);

/*
 * warmth_observe - records that an upstream begins to prefill a prompt, of
 * which all nodes are told by another message, so that it is not passed on.
 */
void warmth_observe(warmth_t *w, uint64_t prompt, uint32_t key, mstime_t now);

/*
 * warmth_find - the upstreams that have a prompt; the prompt counts as used.
 * @keys: room for WARMTH_PLACES, receives the newest information first
 *
 * Return: their number.
 */
int warmth_find(warmth_t *w, uint64_t prompt, mstime_t now, uint32_t *keys);

/*
 * warmth_is_ready - whether an upstream that has a prompt is likely to have it
 * whole, so that others can copy it.
 */
bool warmth_is_ready(const warmth_t *w, uint64_t prompt, uint32_t key,
		     mstime_t now);

/*
 * warmth_remove_upstream - forgets an upstream that left or starts again.
 */
void warmth_remove_upstream(warmth_t *w, uint32_t key);

/*
 * warmth_has_news - whether there is anything to tell.
 */
bool warmth_has_news(const warmth_t *w);

/*
 * warmth_take_news - selects pairs for one other node, the newest first that no
 * node has been told. Each pair is selected WARMTH_PASSES times.
 *
 * Return: number of pairs written.
 */
guint warmth_take_news(warmth_t *w, warmth_pair_t *out, guint max,
		       mstime_t now);

/*
 * warmth_list_newest - lists the most recently used prompts for a node that has
 * just started, with the newest upstream of each.
 *
 * Return: number of pairs written.
 */
guint warmth_list_newest(const warmth_t *w, warmth_pair_t *out, guint max,
			 mstime_t now);

#endif
