/*
 * feed - keyed records that the platform publishes for the fleet.
 *
 * A feed is a compacted log: it keeps the latest record of each key and a
 * limited history. Offsets grow with each record. A record is applied only if
 * none of the same key with the same or a higher offset is known, so that late
 * and stale responses never undo a change.
 *
 * A log that was restored from an older copy has lost its latest records and
 * gives out their offsets again. Its epoch grows with each restore, so records
 * are ordered by epoch and offset.
 */
#ifndef KCF_FEED_H
#define KCF_FEED_H

#include <kcf/http_client.h>

typedef enum feed {
	FEED_OPERATORS, /* configuration and drained data centres */
	FEED_UPSTREAMS, /* entries that upstreams publish themselves */
	FEED_NODES,   /* addresses of some nodes of this fleet, and versions */
	FEED_STREAMS, /* which versions began streams, for some seconds */
	FEED_COUNT,
} feed_t;

/* Parallel to feed_t. */
extern const char *const feed_string[];

typedef enum feed_err {
	FEED_OK = 0,
	FEED_EDOWN = -1,    /* no response, or a refusal */
	FEED_EBAD = -2,	    /* malformed response */
	FEED_EEXPIRED = -3, /* the requested history no longer exists */
	FEED_EREFUSED = -4, /* the record was rejected */
	FEED_EMOVED = -5,   /* another record was written before */
} feed_err_t;

/* Parallel to feed_err_t, indexed by the negated error. */
extern const char *const feed_err_string[];

typedef struct feed_record {
	str_t key;
	str_t data;
	uint64_t offset;
	uint64_t epoch; /* of the offset; 0: that of the feed */
	bool removed;	/* the record removes its key */
	/* Known to be newer than the log's record at this offset, which is of
	 * an older copy.
	 */
	bool corrected;
	/* Another start has written as well, see start_order. */
	bool contested;
	/* The last start by its clock that its own has come after all the same,
	 * 0 for none, see start_order.
	 */
	uint64_t overruled;
	uint64_t start_id;  /* of a removed upstream, 0 if unknown */
	uint64_t heartbeat; /* its last one */
} feed_record_t;

typedef struct feed_batch {
	const feed_record_t *records;
	size_t count;
	uint64_t next_offset; /* offset after the last record */
	bool has_more;	      /* another page follows, or more records */
	uint64_t epoch;	      /* of the log, 0 if unstated */
} feed_batch_t;

/*
 * Receives a result; unless err is FEED_OK, batch only has the epoch, and
 * next_offset with FEED_EMOVED.
 */
typedef void (*feed_fn)(void *arg, int err, const feed_batch_t *batch);

typedef struct feed_client feed_client_t;

typedef struct feed_client_ops {
	/* Reads a page of the latest records of all keys behind a key, NULL for
	 * the first page.
	 */
	http_call_t *(*read_latest)(feed_client_t *c, feed_t feed,
				    const char *after, mstime_t deadline,
				    feed_fn fn, void *arg);
	/* Reads records from an offset on; waits up to wait_ms for one. */
	http_call_t *(*read_from)(feed_client_t *c, feed_t feed, uint64_t from,
				  mstime_t wait_ms, mstime_t deadline,
				  feed_fn fn, void *arg);
	/* Publishes a record of this fleet. */
	http_call_t *(*put)(feed_client_t *c, feed_t feed, str_t key,
			    str_t data, mstime_t deadline, feed_fn fn,
			    void *arg);
	/* The same, only if the feed still ends at an offset. */
	http_call_t *(*put_at)(feed_client_t *c, feed_t feed, str_t key,
			       str_t data, uint64_t end, mstime_t deadline,
			       feed_fn fn, void *arg);
} feed_client_ops_t;

struct feed_client {
	const feed_client_ops_t *ops;
	http_client_t *http;
	const char *address; /* ip:port */
};

#endif
