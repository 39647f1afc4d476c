/*
 * backlog - the bytes that a node holds since a peer reads slowly.
 *
 * Addresses thousands of slow readers at once on a node with little memory. One
 * backlog accounts answers (streams, and plain answers not yet written) by
 * their callers, another one requests by their upstreams. Each has a bound per
 * entry and one for all together. The owner adds and takes bytes, reads on or
 * pauses as the backlog says, and cuts what it names. Each call takes constant
 * time; only backlog_choose_cut looks at all entries, once the node's bound is
 * reached, and what it frees then pays for that.
 */
#ifndef KCF_BACKLOG_H
#define KCF_BACKLOG_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stddef.h>

/* Bytes that one entry may hold: those of the largest plain answer. */
#define BACKLOG_ENTRY_MAX_BYTES (4 * 1024 * 1024)

/*
 * What a connection of a caller takes, busy or idle: the pool that
 * libmicrohttpd keeps for its headers (32 KB), and its sockets. See
 * docs/design/backlog.md.
 */
#define BACKLOG_CONNECTION_BYTES (36 * 1024)

typedef struct backlog_conf {
	size_t node_max;  /* bytes of all entries, 0 for no bound */
	size_t node_min;  /* of that, whatever connections take */
	size_t cost;	  /* bytes in other places for an entry with an offer */
	size_t entry_max; /* an entry with more is cut, 0 for never */
	size_t high;	  /* reading for an entry pauses above it */
	size_t low;	  /* and goes on below it */
	mstime_t pause_max; /* or after that time, 0 for never */
	size_t step;	    /* bytes that are read after such a pause */
} backlog_conf_t;

/* Bounds that follow from the memory of a node. */
typedef struct backlog_limits {
	backlog_conf_t answers;
	backlog_conf_t requests;
	/* Bytes that the kernel takes of an answer and cannot send yet, and
	 * buffers for an answer that is not read; 0 for the system's own.
	 */
	int unsent_max;
	int unread_max;
} backlog_limits_t;

/*
 * backlog_limits - the bounds of a node.
 * @memory: bytes that it may use, 0 if unknown: then only reading pauses
 * @bodies: bytes of requests that it accepts at a time
 */
backlog_limits_t backlog_limits(size_t memory, size_t bodies);

/* Bytes held for one peer; the fields belong to the backlog. */
typedef struct backlog_entry {
	void *owner;
	size_t held;
	size_t unread;	    /* further bytes that wait in the kernel */
	size_t kept;	    /* of those held, not offered to the peer yet */
	size_t limit;	    /* reading pauses above it */
	mstime_t taken_at;  /* since then the peer has taken in nothing; 0 while
			       nothing is offered to it */
	mstime_t paused_at; /* 0 while reading goes on */
	guint place;	    /* in the backlog's entries */
	bool offered;	    /* its cost is counted */
	bool member;
} backlog_entry_t;

typedef struct backlog {
	backlog_conf_t conf;
	GPtrArray *entries;    /* backlog_entry_t * */
	size_t held;	       /* bytes of all, with their cost */
	size_t base;	       /* bytes that connections take of the bound */
	mstime_t barren_until; /* entries are not looked at before */
	bool cutting;	       /* until the bytes held are below the low mark */
	guint oversized;       /* entries with more than entry_max */
} backlog_t;

/*
 * backlog_init - prepares an empty backlog in memory of the caller.
 */
void backlog_init(backlog_t *b, const backlog_conf_t *conf);
void backlog_finish(backlog_t *b);

/*
 * backlog_join - adds an entry that holds nothing, in memory of the caller.
 */
void backlog_join(backlog_t *b, backlog_entry_t *e, void *owner);

/*
 * backlog_leave - removes an entry, if it is there, with all that it holds.
 */
void backlog_leave(backlog_t *b, backlog_entry_t *e);

/*
 * backlog_offer - the peer may take in what its entry holds from now on.
 */
void backlog_offer(backlog_t *b, backlog_entry_t *e, mstime_t now);

/*
 * backlog_add - bytes are held for a peer.
 */
void backlog_add(backlog_t *b, backlog_entry_t *e, size_t bytes);

/*
 * backlog_take - the peer has taken bytes in, at most those that are held.
 */
void backlog_take(backlog_t *b, backlog_entry_t *e, size_t bytes, mstime_t now);

/*
 * backlog_keep - the last bytes that were added are not offered yet: the peer
 * is not cut for them.
 */
void backlog_keep(backlog_entry_t *e, size_t bytes);

/*
 * backlog_hand_out - all that is held is offered from now on.
 */
void backlog_hand_out(backlog_entry_t *e, mstime_t now);

/*
 * backlog_drop - bytes are no longer held, though the peer has not taken them.
 */
void backlog_drop(backlog_t *b, backlog_entry_t *e, size_t bytes);

/*
 * backlog_set_unread - bytes that wait in the kernel since reading pauses.
 */
void backlog_set_unread(backlog_t *b, backlog_entry_t *e, size_t bytes);

/*
 * backlog_must_pause - whether no more is to be read for a peer. The owner then
 * calls backlog_pause.
 */
bool backlog_must_pause(const backlog_entry_t *e);
void backlog_pause(backlog_entry_t *e, mstime_t now);

/*
 * backlog_restart - reading begins anew, from another source.
 */
void backlog_restart(backlog_t *b, backlog_entry_t *e);

/*
 * backlog_read_on - whether a pause ends: the peer has taken in enough, or the
 * pause has lasted so long that the source would give up. After a true the
 * entry no longer pauses.
 */
bool backlog_read_on(backlog_t *b, backlog_entry_t *e, mstime_t now);

/*
 * backlog_set_connections - connections take a part of the node's bound.
 */
void backlog_set_connections(backlog_t *b, size_t count);

/*
 * backlog_is_over - whether entries are to be cut.
 */
bool backlog_is_over(const backlog_t *b);

/*
 * backlog_choose_cut - the entry that is to be cut: one that holds more than an
 * entry may, or that with the greatest product of the bytes that it holds and
 * the time since its peer last took bytes in. Of two that hold the same it is
 * the one that reads least, of two that read the same the one that holds most;
 * else the one whose cut gives back the most memory for the longest time.
 * Entries without an offer are not cut. The owner calls backlog_leave for it.
 *
 * Return: NULL when none has to be cut, or none can be. Once the node's bound
 * is reached, enough are cut for an eighth of it.
 */
backlog_entry_t *backlog_choose_cut(backlog_t *b, mstime_t now);

#endif
