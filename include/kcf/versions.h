/*
 * versions - the software versions of each service that may have begun a
 * stream which its caller takes up.
 *
 * A version may have, as long as the longest stream, after an upstream of it
 * was last among the known entries. A node that has just started does not know
 * which versions left before. It takes them from a record in the platform's
 * log. The record has a mark with the offset in the feed of entries before
 * which it lacks none; what was written from there on the node reads itself.
 * So a version counts from its first entry on, whenever it is recorded. Until
 * the node has done so, or has run for the life of a stream, or has copied
 * from a node that has, its set is not complete.
 *
 * A log that was restored from an older copy lacks what was written last, so
 * that neither an older mark nor the want of one proves anything. A node that
 * has run all the while still knows what it has seen. It vouches for its set
 * again once it has read the entries of the restored log and has asked the
 * other nodes. Pure logic: no socket, no clock.
 */
#ifndef KCF_VERSIONS_H
#define KCF_VERSIONS_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Least time, in milliseconds, from the begin of a stream to the last try of
 * its caller to take it up; longer where routes allow longer streams.
 */
#define VERSIONS_STREAM_LIFE_MS 30000
/*
 * Entries that were not read for longer, before and after a restore of the log,
 * may have been those of a version that came and went, and whose streams were
 * begun by nodes that are gone as well.
 */
#define VERSIONS_MISSED_MAX_MS 10000
/* The other nodes are asked as often, since messages may be lost. */
#define VERSIONS_ASKS 3
/* Between them, and for the last answers: some round trips in a region. */
#define VERSIONS_ASK_INTERVAL_MS 300
/* The epoch of a log that was never restored; 0 where none is stated. */
#define VERSIONS_FIRST_EPOCH 1
/* No entry was seen; the greatest number that copies can state. */
#define VERSIONS_NOWHERE ((uint64_t)G_MAXINT64)

typedef struct version {
	uint32_t key;
	char *service;
	char *name;
	bool seen;
	mstime_t seen_at; /* an upstream of it was known, or it was recorded */
	bool recorded;
	uint64_t recorded_epoch; /* of the log, when it was written */
} version_t;

/* Why no version is missing in a set. */
typedef enum versions_basis {
	VERSIONS_UNKNOWN,  /* one may be */
	VERSIONS_WATCHED,  /* all entries were seen for the life of a stream */
	VERSIONS_RECORDED, /* by the record, and all entries since its mark */
	VERSIONS_FIRST,	   /* no node has run before; by all entries */
	VERSIONS_COPIED,   /* from a node that lacks none */
	VERSIONS_VOUCHED,  /* known before a gap, and other nodes were asked */
} versions_basis_t;

/* What the record says of itself. */
typedef struct versions_mark {
	bool present;
	uint64_t epoch; /* of the log, when it was written */
	bool counted;	/* has an offset; those of older builds have none */
	/* The record has all versions of entries that were written before. */
	uint64_t offset;
} versions_mark_t;

typedef struct versions {
	GHashTable *by_key;    /* uint32_t to version_t * */
	mstime_t life_ms;      /* of a stream */
	mstime_t watched_from; /* no change was missed since */
	mstime_t watched_to;   /* entries written before are known */
	versions_basis_t basis;
	/* All versions of entries written from this offset on were seen. */
	uint64_t seen_from;
	/* The record was read, and needs what was written from its mark on. */
	bool record_holds;
	versions_mark_t mark; /* as read or written last */
	mstime_t marked_at;   /* when it was found to have changed */
	bool restored;	      /* this node has seen a restore of the log */
	bool was_complete;    /* before entries were skipped */
	bool rescanned;	      /* the entries were read since */
	int asks;	      /* of the other nodes since */
	mstime_t next_ask_at;
	GHashTable *unnamed; /* uint32_t keys to the second they were told */
} versions_t;

/* What another node says of its set, whose versions were observed. */
typedef struct versions_copy {
	bool complete;
	uint64_t seen_from; /* as in versions_t */
	uint64_t known_to;  /* end of the entries known here before */
	mstime_t missed_ms; /* since these were known */
} versions_copy_t;

typedef enum versions_change_kind {
	VERSIONS_ADD,	 /* write the version to the record */
	VERSIONS_REMOVE, /* remove it */
	VERSIONS_MARK,	 /* mark the record as complete */
} versions_change_kind_t;

/* A change that the record needs. */
typedef struct versions_change {
	versions_change_kind_t kind;
	version_t *version; /* NULL for a mark */
	uint64_t offset;    /* of a mark, see versions_mark_t */
} versions_change_t;

/*
 * versions_key - key of a version of a service, not 0; the same name in two
 * services gives two keys.
 */
uint32_t versions_key(const char *service, const char *name);

void versions_init(versions_t *v, mstime_t now);
void versions_finish(versions_t *v);

/*
 * versions_set_life - sets the time for which a stream may be taken up, at
 * least VERSIONS_STREAM_LIFE_MS.
 */
void versions_set_life(versions_t *v, mstime_t life_ms);

/*
 * versions_miss - changes of the entries may have been missed until now.
 */
void versions_miss(versions_t *v, mstime_t now);

/*
 * versions_skip - the log's history has gone where it was not read yet, and the
 * latest entries will be read: the set is not complete until the record says
 * so, or versions_take_ask has.
 */
void versions_skip(versions_t *v, mstime_t now);

/*
 * versions_restore - the same where the log was restored from an older copy.
 */
void versions_restore(versions_t *v, mstime_t now);

/*
 * versions_is_restoring - whether the set was complete before entries were
 * skipped, and may be so again.
 */
bool versions_is_restoring(const versions_t *v);

/*
 * versions_see_from - all entries written from an offset on will be observed.
 */
void versions_see_from(versions_t *v, uint64_t offset, mstime_t now);

/*
 * versions_watch - all entries that were written before a time were observed,
 * but for those that were missed or skipped.
 */
void versions_watch(versions_t *v, mstime_t to);

/*
 * versions_copy - the entries in force were copied from another node.
 */
void versions_copy(versions_t *v, const versions_copy_t *copy, mstime_t now);

/*
 * versions_wants_entries - whether entries that were written before the first
 * one that was seen are needed beside the record.
 * @from: receives the offset of the first of them
 */
bool versions_wants_entries(const versions_t *v, mstime_t now, uint64_t *from);

/*
 * versions_see_earlier - the entries from an offset up to the first one that
 * was seen were observed.
 */
void versions_see_earlier(versions_t *v, uint64_t from);

/*
 * versions_lack_entries - they are not to be had any more.
 */
void versions_lack_entries(versions_t *v);

/*
 * versions_rescan - the latest entries were read.
 * @missed_ms: since all earlier ones were known
 */
void versions_rescan(versions_t *v, mstime_t missed_ms, mstime_t now);

/*
 * versions_take_ask - whether the other nodes are to be asked now which
 * versions they know, since entries were skipped; when all answers had time,
 * the set is complete.
 */
bool versions_take_ask(versions_t *v, mstime_t now);

/*
 * versions_hear - another node has told of a stream of a version.
 */
void versions_hear(versions_t *v, uint32_t key, mstime_t now);

/*
 * versions_is_possible - whether a version may have begun a stream.
 */
bool versions_is_possible(const versions_t *v, const version_t *version,
			  mstime_t now);

/*
 * versions_observe - records that an upstream with this version is known.
 *
 * Return: whether the version may not have begun any stream until now.
 */
bool versions_observe(versions_t *v, const char *service, const char *name,
		      mstime_t now);

/*
 * versions_find - a version by its key, or NULL.
 */
const version_t *versions_find(const versions_t *v, uint32_t key);

/*
 * versions_count - versions of a service that may have begun a stream.
 * @only: receives the key of one of them, unless there is none
 */
int versions_count(const versions_t *v, const char *service, mstime_t now,
		   uint32_t *only);

/*
 * versions_is_any_mixed - whether several versions of one service may have
 * begun streams.
 */
bool versions_is_any_mixed(const versions_t *v, mstime_t now);

/*
 * versions_basis - why no version is missing, or VERSIONS_UNKNOWN.
 */
versions_basis_t versions_basis(const versions_t *v, mstime_t now);

/*
 * versions_basis_text - the same for logs.
 */
const char *versions_basis_text(const versions_t *v, mstime_t now);

/*
 * versions_is_complete - whether no version is missing.
 */
bool versions_is_complete(const versions_t *v, mstime_t now);

/*
 * versions_begin_record, versions_add_recorded, versions_add_marked,
 * versions_end_record - apply the record as it was read. A version is stated by
 * a key of its own, which older builds read, and by the mark.
 * @epoch: of the log when the key was written. A log that was restored from an
 *         older copy may lack versions; its mark is of an earlier epoch.
 * @read_epoch: of the log when the record was read
 */
void versions_begin_record(versions_t *v);
void versions_add_recorded(versions_t *v, const char *service, const char *name,
			   uint64_t epoch, mstime_t now);
void versions_add_marked(versions_t *v, const char *service, const char *name,
			 mstime_t now);
void versions_end_record(versions_t *v, const versions_mark_t *mark,
			 uint64_t read_epoch, mstime_t now);

/*
 * versions_next_change - what the record needs next, if anything.
 * @epoch: of the log
 * @mark_age_ms: an older mark is written anew
 */
bool versions_next_change(versions_t *v, uint64_t epoch, mstime_t mark_age_ms,
			  mstime_t now, versions_change_t *change);

/*
 * versions_apply_change - a change was written in an epoch of the log.
 */
void versions_apply_change(versions_t *v, const versions_change_t *change,
			   uint64_t epoch, mstime_t now);

#endif
