/*
 * reach - whether a node has lost its own links to upstreams, or upstreams are
 * down.
 *
 * Decided from what this node's own attempts met and from the answers that
 * other nodes report meanwhile. A silent attempt is covered by a report if that
 * upstream has answered another node after the attempt began, and no upstream
 * has answered this node since. One covered attempt is a reason for doubt. A
 * node is cut if attempts and reports alternate: an attempt that began after
 * others were answered was silent as well, and others were answered again.
 * Upstreams that were silent to all nodes and go on don't look like that, nor
 * do ones that are suddenly slow.
 *
 * While it is doubtful a node goes on to send its requests: further attempts
 * are what tells. Pure logic: no socket, no clock.
 */
#ifndef KCF_REACH_H
#define KCF_REACH_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Each probe has its price. */
#define REACH_PROBE_MS 500
/* Silent attempts and reports count for this long. */
#define REACH_EVIDENCE_MS 4000
/*
 * A node is not taken for cut any more if no other node has been answered for
 * this time: its state then says nothing about its own links.
 */
#define REACH_QUIET_MS 5000
/* Upstreams of which something is kept, about 700 bytes each. */
#define REACH_UPSTREAMS_MAX 2048

typedef enum reach_state {
	REACH_OPEN,	/* upstreams answer, or answer nobody */
	REACH_DOUBTFUL, /* attempts fail here, while other nodes get answers */
	REACH_CUT,	/* none answers this node, while they answer others */
} reach_state_t;

/* Parallel to reach_state_t. */
extern const char *const reach_state_string[];

typedef struct reach {
	GHashTable *upstreams; /* uint32_t key to private state */
	/* last answer of any upstream to this node, INT64_MIN before */
	mstime_t answered_at;
	mstime_t reported_at; /* to another node, INT64_MIN before */
	reach_state_t state;
	reach_state_t updated_state; /* as of the last reach_update */
	mstime_t next_probe_at;	     /* while it is cut */
} reach_t;

void reach_init(reach_t *r);
void reach_finish(reach_t *r);

/*
 * reach_record_answer - an upstream has sent a response to this node, or a
 * further part of one. The state is REACH_OPEN at once.
 * @upstream: its key, see balance_upstream_t
 */
void reach_record_answer(reach_t *r, uint32_t upstream, mstime_t now);

/*
 * reach_record_silence - an attempt has failed, or is overdue, without
 * anything from the upstream.
 * @sent_at: start of the attempt; it says nothing if an upstream has answered
 *           this node since
 */
void reach_record_silence(reach_t *r, uint32_t upstream, mstime_t sent_at,
			  mstime_t now);

/*
 * reach_record_report - another node reports that an upstream has answered. It
 * may be an echo of an answer to this node.
 * @answered_at: by this node's clock, not later than now
 */
void reach_record_report(reach_t *r, uint32_t upstream, mstime_t answered_at);

/*
 * reach_update - decides the state anew and forgets what is old.
 *
 * Return: whether the state differs from that of the last update.
 */
bool reach_update(reach_t *r, mstime_t now);

/*
 * reach_probe_due - whether an upstream is to be asked now, to learn whether a
 * cut has ended; true at most once in REACH_PROBE_MS, also over several cuts.
 */
bool reach_probe_due(reach_t *r, mstime_t now);

#endif
