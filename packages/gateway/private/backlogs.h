/*
 * backlogs - bounds the bytes that a gateway holds for slow peers.
 *
 * Answers by their callers, requests by their upstreams; see kcf/backlog.h. The
 * owners of entries add and take bytes; what is to be cut is cut in an event of
 * its own, outside of the callbacks of connections.
 */
#ifndef KCF_PRIVATE_BACKLOGS_H
#define KCF_PRIVATE_BACKLOGS_H

#include <ev.h>
#include <kcf/backlog.h>

/* Why an entry is cut, for the log. */
typedef struct backlogs_cut {
	size_t held;		 /* bytes */
	mstime_t idle_ms;	 /* since its peer last took in any */
	size_t node_held;	 /* bytes of all */
	size_t node_max;	 /* 0 for no bound */
	size_t connection_bytes; /* of that */
	guint node_entries;
} backlogs_cut_t;

/* Ends what an entry's owner does; the entry has left its backlog. */
typedef struct backlogs_ops {
	void (*cut_answer)(void *owner, const backlogs_cut_t *cut);
	void (*cut_request)(void *owner, const backlogs_cut_t *cut);
} backlogs_ops_t;

typedef struct backlogs {
	struct ev_loop *loop;
	const backlogs_ops_t *ops;
	backlog_t answers;
	backlog_t requests;
	ev_timer timer; /* cuts */
	size_t peak;	/* bytes held since memory was given back */
	mstime_t trimmed_at;
} backlogs_t;

/*
 * backlogs_init - begins with nothing held.
 * @b:   caller-owned memory, to be kept in place until backlogs_finish
 * @ops: must outlive it
 */
void backlogs_init(backlogs_t *b, struct ev_loop *loop,
		   const backlog_limits_t *limits, const backlogs_ops_t *ops);

/* Precondition: all entries have left. */
void backlogs_finish(backlogs_t *b);

/*
 * backlogs_check - cuts soon what has to be cut. To be called after bytes were
 * added.
 */
void backlogs_check(backlogs_t *b);

/*
 * backlogs_tick - to be called several times a second: cuts what has to be cut,
 * sets the gauges of the bytes held, and gives memory back to the system.
 */
void backlogs_tick(backlogs_t *b, mstime_t now);

#endif
