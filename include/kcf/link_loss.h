/*
 * link_loss - whether the links of a node to its callers lose packets.
 *
 * Addresses links that lose about one packet in a thousand: a stream meets a
 * loss too seldom to tell by itself, and is late with the first one. A write
 * that stays unacknowledged for many round trips counts as lost. Pure logic: no
 * socket, no clock.
 */
#ifndef KCF_LINK_LOSS_H
#define KCF_LINK_LOSS_H

#include <kcf/clock.h>
#include <stdbool.h>

/* Interval at which a stream's connection is looked at. */
#define LINK_LOSS_INTERVAL_MS 50

/* Of a node; zeroed at first. */
typedef struct link_loss {
	double writes; /* moving sums */
	double losses;
} link_loss_t;

/* Of one connection; zeroed at first. */
typedef struct link_watch {
	mstime_t unacked_from; /* 0 while all is acknowledged */
	bool counted;	       /* as a loss, since then */
	mstime_t next_at;
} link_watch_t;

/*
 * link_loss_count_write - counts one write to a caller.
 */
void link_loss_count_write(link_loss_t *l);

/*
 * link_loss_watch - looks at a connection before a write.
 * @unacked:    bytes written before that are not acknowledged
 * @rtt_ms:     round-trip time of the connection
 * @written_at: time of the last write
 */
void link_loss_watch(link_loss_t *l, link_watch_t *w, int unacked,
		     mstime_t rtt_ms, mstime_t written_at, mstime_t now);

/*
 * link_loss_is_lossy - whether the links lose packets often enough to matter to
 * streams of some ten packets.
 */
bool link_loss_is_lossy(const link_loss_t *l);

#endif
