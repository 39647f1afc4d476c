/*
 * origins - which software version began a stream.
 *
 * What two versions of a service write does not fit together, so a stream goes
 * on only at the version that began it. The node that begins a stream keeps the
 * version under a key that the caller repeats, and tells the stream's homes:
 * the nodes ranked first for the key. A node that does not know a stream which
 * a caller takes up asks them. Once all of them have restarted it may still be
 * in the platform's log; else the stream goes on only if a single version can
 * have begun it. Pure logic: no socket, no clock.
 */
#ifndef KCF_ORIGINS_H
#define KCF_ORIGINS_H

#include <kcf/balance.h>
#include <kcf/lru.h>
#include <kcf/versions.h>

/* Nodes that are told of a stream, besides the one that began it. */
#define ORIGINS_HOMES 3
/*
 * Nodes that are asked, the homes first: so many that fewer than half of a
 * fleet, cut off together, are hardly ever all of them.
 */
#define ORIGINS_ASKED 16

/*
 * A stream that was begun at an upstream whose entry may describe an earlier
 * start of it.
 */
typedef struct origin_doubt {
	uint64_t stream;
	balance_begin_t begin;
	bool own;	/* it was begun at this node, which tells others */
	mstime_t until; /* dropped then */
} origin_doubt_t;

/* Heartbeats that are later than this do not come. */
#define ORIGIN_DOUBT_MAX_MS 10000

typedef struct origins {
	lru_t streams;	/* key to the version, 0 after contradicting ones */
	GArray *doubts; /* origin_doubt_t, none of them in streams */
} origins_t;

/* How the version of a stream is known. */
typedef enum origin_source {
	ORIGIN_UNKNOWN,
	ORIGIN_TOLD, /* this node began it, or was told */
	ORIGIN_ONLY, /* no other version can have begun it */
	ORIGIN_SOURCE_COUNT,
} origin_source_t;

/* Parallel to origin_source_t. */
extern const char *const origin_source_string[];

typedef enum origin_verdict {
	ORIGIN_FOUND,
	ORIGIN_ASK,	     /* the homes first */
	ORIGIN_READ,	     /* the record of versions first */
	ORIGIN_READ_LOG,     /* the log of streams first */
	ORIGIN_READ_ENTRIES, /* the latest entries of upstreams first */
	ORIGIN_AMBIGUOUS,    /* several versions can have begun it */
	ORIGIN_INCOMPLETE, /* versions that this node does not know can, too */
	ORIGIN_NONE,	   /* the services have had no version */
	ORIGIN_UNVOUCHED,  /* versions can that came after what is known here */
} origin_verdict_t;

/* A stream that a caller takes up. */
typedef struct origin_query {
	uint64_t stream;	     /* its key, 0 if the caller names no try */
	const char *const *services; /* that its route may choose */
	int service_count;
	mstime_t came_at;  /* it was begun before */
	mstime_t known_to; /* all entries written before are known */
	mstime_t log_to;   /* all of the log of streams written before is */
	bool asked;	   /* the homes have answered, or had time to */
	bool untold;	   /* see origins_is_untold */
	bool read;	   /* the record was read, or there was time to */
	bool logged;	   /* the log of streams was */
	bool refreshed;	   /* the latest entries were */
} origin_query_t;

/* Another node, as one that is told of streams. */
typedef struct origin_witness {
	uint32_t key;
	/* It was told nothing of the stream, and has run since then. */
	bool untold;
	/* It was heard shortly before the stream was taken up: it may be silent
	 * as it has ended, and was no part of a cut before.
	 */
	bool heard;
} origin_witness_t;

typedef struct origin_answer {
	origin_verdict_t verdict;
	origin_source_t source;
	uint32_t version; /* if found */
} origin_answer_t;

void origins_init(origins_t *o);
void origins_finish(origins_t *o);

/*
 * origins_put - records the version that began a stream. A stream for which
 * two versions are named is not known any more.
 *
 * Return: whether it was new.
 */
bool origins_put(origins_t *o, uint64_t stream, uint32_t version, mstime_t now);

/*
 * origins_put_unknown - records that nobody knows the version that began a
 * stream, however many are known.
 */
void origins_put_unknown(origins_t *o, uint64_t stream, mstime_t now);

/*
 * origins_doubt - keeps the version that may have begun a stream, until it is
 * known.
 *
 * Return: false if there was a doubt of the stream before.
 */
bool origins_doubt(origins_t *o, const origin_doubt_t *doubt);

/*
 * origins_find_doubt - the doubt of a stream, or NULL; valid until the next
 * change.
 */
const origin_doubt_t *origins_find_doubt(const origins_t *o, uint64_t stream);

/*
 * origins_settle - takes out one of the doubts that are settled.
 * @b:   knows the upstreams
 * @out: receives it
 * @sure: receives whether its version began the stream; else that stays
 *       unknown
 *
 * Return: false when none is settled.
 */
bool origins_settle(origins_t *o, const balance_t *b, mstime_t now,
		    origin_doubt_t *out, bool *sure);

/*
 * origins_get - the version that began a stream, or 0.
 */
uint32_t origins_get(const origins_t *o, uint64_t stream, mstime_t now);

/*
 * origins_is_unknown - whether nobody can know any more which version began a
 * stream.
 */
bool origins_is_unknown(const origins_t *o, uint64_t stream, mstime_t now);

/*
 * origins_tick - drops streams that no caller takes up any more.
 * @life_ms: for which a stream may be taken up
 */
void origins_tick(origins_t *o, mstime_t life_ms, mstime_t now);

/*
 * origins_resolve - at which version a stream goes on.
 */
origin_answer_t origins_resolve(const origins_t *o, const versions_t *v,
				const origin_query_t *query, mstime_t now);

/*
 * origins_is_untold - whether nodes that would know of a stream of several
 * versions say that they do not: most of those that are asked, and none of the
 * others has been silent for longer. Nodes that are cut off together are told
 * nothing, and know no entries that were written since.
 * @nodes: the others that are there or lost
 */
bool origins_is_untold(uint64_t stream, const origin_witness_t *nodes,
		       guint count);

/*
 * origins_select_homes - the nodes ranked first for a stream.
 * @nodes: keys of the nodes, in any order
 * @out:   receives indices into nodes, the first home first
 *
 * Return: number of indices.
 */
int origins_select_homes(uint64_t stream, const uint32_t *nodes, guint count,
			 guint *out, int max);

#endif
