/*
 * lru - map from a key to a number, bounded by weight; evicts the least
 * recently used entries.
 *
 * Models the prefix cache of an engine, and remembers chats that were placed
 * away from their preferred engine.
 */
#ifndef KCF_LRU_H
#define KCF_LRU_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct lru_entry {
	uint64_t key;
	uint32_t value;
	int64_t weight;
	mstime_t used_at;
	GList link;
} lru_entry_t;

typedef struct lru {
	GHashTable *map;
	GQueue order; /* most recently used first */
	int64_t weight;
	int64_t weight_max;
	mstime_t idle_max_ms;
} lru_t;

/*
 * lru_init - initialises an empty map.
 * @weight_max: limit of the sum of weights
 * @idle_max_ms: time from the last lru_put to the expiry of an entry
 */
void lru_init(lru_t *l, int64_t weight_max, mstime_t idle_max_ms);
void lru_finish(lru_t *l);

/*
 * lru_put - adds or replaces an entry and makes it the most recently used one.
 */
void lru_put(lru_t *l, mstime_t now, uint64_t key, uint32_t value,
	     int64_t weight);

/*
 * lru_get - looks up an entry, which doesn't count as a use. Returns NULL when
 * it is missing or expired.
 */
const lru_entry_t *lru_get(const lru_t *l, mstime_t now, uint64_t key);

void lru_remove(lru_t *l, uint64_t key);
void lru_clear(lru_t *l);

/*
 * lru_set_weight_max - changes the limit and evicts down to it.
 */
void lru_set_weight_max(lru_t *l, int64_t weight_max);

/*
 * lru_expire - removes expired entries.
 */
void lru_expire(lru_t *l, mstime_t now);

#endif
