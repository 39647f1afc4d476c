/*
 * sharing - among how many nodes a node divides limits of the whole fleet.
 *
 * Each node decides alone, from the nodes that it hears. The burst of the retry
 * budget is divided so that the shares of all nodes never sum up to more than
 * the whole, whatever each of them hears: a node that falls silent may be cut
 * off, and keeps the share it had; those that are heard divide the rest.
 */
#ifndef KCF_SHARING_H
#define KCF_SHARING_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/retry_budget.h>
#include <stdbool.h>
#include <stdint.h>

/* Time within which a starting node discovers most others. */
#define SHARING_DISCOVERY_MS 4000
/* A node that is silent for longer has ended. */
#define SHARING_MEMORY_MS 900000
/* It may go on to send for this long; longer than upstreams stay cold. */
#define SHARING_SILENT_MS 120000

/* Another node, as this one sees it. */
typedef struct sharing_member {
	uint32_t key;
	bool silent;  /* not heard any more */
	bool leaving; /* has announced its stop */
} sharing_member_t;

typedef struct sharing {
	mstime_t started_at;
	mstime_t stop_limit_ms; /* from the announcement of a stop to the end */
	mstime_t joined_at;	/* an unknown node was last heard */
	mstime_t updated_at;
	GHashTable *others;  /* key to other_t */
	bool expects_others; /* has addresses of others */
	bool settled;	     /* has its whole share */
	int heard;	     /* nodes that are heard, this one too */
	int staying;	     /* those of them that don't leave */
	int silent;	     /* nodes that may be cut off and still send */
	double reserved;     /* shares of those that are silent */
	double reserved_staying;
	mstime_t expires_at;  /* the next of the silent ones */
	int told;	      /* count of a sync source, 0 if unset */
	int parts;	      /* in force */
	int fewer;	      /* the most parts wanted since fewer_since */
	mstime_t fewer_since; /* fewer parts are wanted, or 0 */
} sharing_t;

/*
 * sharing_init - initializes the view of a node that starts.
 * @s: caller-owned memory
 * @stop_limit_ms: from the announcement of a stop to the end
 */
void sharing_init(sharing_t *s, mstime_t stop_limit_ms, mstime_t now);

/*
 * sharing_finish - releases all memory that s holds.
 */
void sharing_finish(sharing_t *s);

/*
 * sharing_see - applies a changed view of the other nodes.
 */
void sharing_see(sharing_t *s, const sharing_member_t *others, guint count,
		 mstime_t now);

/*
 * sharing_expect - sets whether there are addresses of other nodes.
 */
void sharing_expect(sharing_t *s, bool others);

/*
 * sharing_tell - applies the count of a node that has run for longer.
 */
void sharing_tell(sharing_t *s, int nodes);

/*
 * sharing_report - the count that this node tells to nodes that start: the
 * number of parts of the burst, without nodes that leave.
 */
int sharing_report(const sharing_t *s, mstime_t now);

/*
 * sharing_nodes - number of nodes that share limits at present.
 */
int sharing_nodes(const sharing_t *s, mstime_t now);

/*
 * sharing_senders - number of nodes that may send to upstreams at present: also
 * those that have fallen silent lately and may only be cut off.
 */
int sharing_senders(const sharing_t *s, mstime_t now);

/*
 * sharing_parts - number of parts into which the burst of the retry budget is
 * divided; this node may use one of them.
 * @window_ms: sliding window of the budget
 */
int sharing_parts(sharing_t *s, mstime_t window_ms, mstime_t now);

/*
 * sharing_budget - the retry budget of this node alone.
 * @all: budget of all nodes together
 */
retry_budget_conf_t sharing_budget(sharing_t *s, const retry_budget_conf_t *all,
				   mstime_t now);

#endif
