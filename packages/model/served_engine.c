#include "private/served_engine.h"

#include <assert.h>

/* Longer than a simulation: prompts leave the cache only by eviction. */
#define CACHE_IDLE_MS (24 * 3600 * MSEC_PER_SEC)

void served_engine_init(served_engine_t *e, int data_centre, int slots,
			int prompts)
{
	assert(e && slots > 0);
	*e = (served_engine_t){ .data_centre = data_centre, .slots = slots };
	g_queue_init(&e->queue);
	lru_init(&e->cache, prompts, CACHE_IDLE_MS);
}

void served_engine_finish(served_engine_t *e)
{
	g_queue_clear(&e->queue);
	lru_finish(&e->cache);
}

int served_engine_load(const served_engine_t *e)
{
	return e->running + (int)e->queue.length;
}

static void start_(served_engine_t *e, served_request_t *r, mstime_t now)
{
	const lru_entry_t *entry = lru_get(&e->cache, now, r->prompt);

	e->running++;
	r->warm = entry != NULL;
	r->copied = !r->warm && r->source &&
		    served_engine_has(r->source, r->prompt, now);
	lru_put(&e->cache, now, r->prompt, entry ? entry->value : 0, 1);
}

void served_engine_read(served_engine_t *e, const served_request_t *r,
			mstime_t until, mstime_t now)
{
	lru_put(&e->cache, now, r->prompt, (uint32_t)until, 1);
}

bool served_engine_has(const served_engine_t *e, uint64_t prompt, mstime_t now)
{
	const lru_entry_t *entry = lru_get(&e->cache, now, prompt);

	return entry && entry->value <= now;
}

bool served_engine_submit(served_engine_t *e, served_request_t *r, mstime_t now)
{
	if (e->running >= e->slots) {
		g_queue_push_tail(&e->queue, r);
		return false;
	}
	start_(e, r, now);
	return true;
}

served_request_t *served_engine_complete(served_engine_t *e, mstime_t now)
{
	served_request_t *next = g_queue_pop_head(&e->queue);

	assert(e->running > 0);
	e->running--;
	if (next)
		start_(e, next, now);
	return next;
}
