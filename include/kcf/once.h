/*
 * once - the record of run-once keys, a state machine over log streams.
 *
 * A try appends an intent and reads the stream up to it. The first live intent
 * of a key, in the log's order, is the one that may run; it records its
 * outcome, or frees the key when it has provably not run.
 */
#ifndef KCF_ONCE_H
#define KCF_ONCE_H

#include <glib.h>
#include <jansson.h>
#include <kcf/clock.h>
#include <kcf/str.h>

/* Keys are spread over this many streams. */
#define ONCE_PARTITIONS 64
/* Longer outcomes are kept without their body. */
#define ONCE_BODY_MAX 16384

typedef enum once_state {
	ONCE_ABSENT,	/* no try holds the key */
	ONCE_CLAIMED,	/* a try holds it: it runs, or may have run */
	ONCE_COMPLETED, /* it ran; the outcome is known */
} once_state_t;

typedef struct once_entry {
	char *key;
	char *owner_attempt; /* id of the try that holds the key */
	once_state_t state;
	int status;
	GBytes *body; /* NULL when it was too long */
	char *content_type;
	mstime_t recorded_at; /* wall time of the record */
} once_entry_t;

/* One partition's keys as far as its stream has been read. */
typedef struct once_keys {
	GHashTable *entries;  /* char * to once_entry_t * */
	uint64_t next_offset; /* offset to be read next */
} once_keys_t;

void once_keys_init(once_keys_t *k);
void once_keys_finish(once_keys_t *k);

/*
 * once_partition - stream that a key belongs to.
 */
int once_partition(const char *key);

/*
 * once_apply_record - takes the next record of the stream; what cannot be read
 * is passed over.
 */
void once_apply_record(once_keys_t *k, uint64_t offset, mstime_t wall,
		       str_t record);

/*
 * once_find - entry of a key; NULL means ONCE_ABSENT.
 */
const once_entry_t *once_find(const once_keys_t *k, const char *key);

/*
 * once_expire - forgets entries recorded before a wall time.
 */
void once_expire(once_keys_t *k, mstime_t before);

/*
 * once_intent, once_outcome, once_release - entries of a record; new
 * references. A record is a JSON array of entries.
 * @body: NULL for none
 */
json_t *once_intent(const char *key, const char *attempt_id);
json_t *once_outcome(const char *key, const char *attempt_id, int status,
		     const char *content_type, GBytes *body);
json_t *once_release(const char *key, const char *attempt_id);

#endif
