/*
 * sharing - among how many nodes a node divides limits of the whole fleet.
 *
 * Each node decides alone, from the nodes that it hears.
 */
#ifndef KCF_SHARING_H
#define KCF_SHARING_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Time within which a starting node discovers most others. */
#define SHARING_DISCOVERY_MS 4000

/* Another node, as this one sees it. */
typedef struct sharing_member {
	uint32_t key;
	bool silent;  /* not heard any more */
	bool leaving; /* has announced its stop */
} sharing_member_t;

typedef struct sharing {
	mstime_t started_at;
	int heard; /* nodes that are heard, this one too */
	int told;  /* the same from a sync source, 0 if unset */
} sharing_t;

/*
 * sharing_init - initializes the view of a node that starts.
 * @s: caller-owned memory
 */
void sharing_init(sharing_t *s, mstime_t now);

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
 * sharing_tell - applies the count of a node that has run for longer.
 */
void sharing_tell(sharing_t *s, int nodes);

/*
 * sharing_report - the count that this node tells to nodes that start.
 */
int sharing_report(const sharing_t *s);

/*
 * sharing_nodes - number of nodes that share limits at present.
 */
int sharing_nodes(const sharing_t *s, mstime_t now);

/*
 * sharing_parts - number of parts into which the burst of the retry budget is
 * divided; this node may use one of them.
 * @window_ms: sliding window of the budget
 */
int sharing_parts(sharing_t *s, mstime_t window_ms, mstime_t now);

#endif
