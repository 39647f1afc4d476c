/*
 * lru - bounded map from chats to a number, least recently used out first.
 *
 * Serves as the model of an engine's prefix cache and as the memory of chats
 * that were placed away from their first-ranked engine.
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
 * lru_init - an empty map.
 * @weight_max: bound of the sum of weights
 * @idle_max_ms: entries untouched for longer are gone
 */
void lru_init(lru_t *l, int64_t weight_max, mstime_t idle_max_ms);
void lru_finish(lru_t *l);

/*
 * lru_put - stores or replaces an entry and makes it the most recent one.
 */
void lru_put(lru_t *l, mstime_t now, uint64_t key, uint32_t value,
	     int64_t weight);

/*
 * lru_get - looks an entry up without touching it; NULL when absent or idle
 * for too long.
 */
const lru_entry_t *lru_get(const lru_t *l, mstime_t now, uint64_t key);

void lru_remove(lru_t *l, uint64_t key);
void lru_clear(lru_t *l);

/*
 * lru_set_weight_max - changes the bound and evicts down to it.
 */
void lru_set_weight_max(lru_t *l, int64_t weight_max);

/*
 * lru_expire - drops entries that were idle for too long.
 */
void lru_expire(lru_t *l, mstime_t now);

#endif
