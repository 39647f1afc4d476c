/*
 * once - claims to run-once keys, a state machine over log streams.
 *
 * An attempt appends an intent and reads the stream up to it. The first intent
 * of a key in log order claims the key, and only its attempt may run. The
 * attempt then records its outcome, or releases the key if it surely did not
 * run; after a release the next intent may claim the key.
 */
#ifndef KCF_ONCE_H
#define KCF_ONCE_H

#include <glib.h>
#include <jansson.h>
#include <kcf/clock.h>
#include <kcf/str.h>

/* Number of streams that share the keys, by hash. */
#define ONCE_PARTITIONS 64
/* Longer bodies are left out of the record, which then says so. */
#define ONCE_BODY_MAX 16384

typedef enum once_state {
	ONCE_ABSENT,	/* no attempt has claimed the key */
	ONCE_CLAIMED,	/* the owner attempt runs, or may have run */
	ONCE_COMPLETED, /* it ran, and its outcome is known */
} once_state_t;

typedef struct once_entry {
	char *key;
	char *owner_attempt; /* id of the attempt that claimed the key */
	once_state_t state;
	int status;
	GBytes *body; /* NULL if it is empty or left out */
	bool body_left_out;
	char *content_type;
	mstime_t recorded_at; /* wall time of the record */
} once_entry_t;

/* Keys of one partition, as far as its stream has been read. */
typedef struct once_keys {
	GHashTable *entries;  /* char * to once_entry_t * */
	uint64_t next_offset; /* next offset to read */
} once_keys_t;

/*
 * once_keys_init - no keys, nothing read; release with once_keys_finish.
 */
void once_keys_init(once_keys_t *k);
void once_keys_finish(once_keys_t *k);

/*
 * once_partition - number of the stream that a key belongs to.
 */
int once_partition(const char *key);

/*
 * once_apply_record - applies the next record of the stream; malformed entries
 * are skipped.
 */
void once_apply_record(once_keys_t *k, uint64_t offset, mstime_t wall,
		       str_t record);

/*
 * once_find - entry of a key, or NULL, which means ONCE_ABSENT.
 */
const once_entry_t *once_find(const once_keys_t *k, const char *key);

/*
 * once_expire - removes entries recorded before a wall time.
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
