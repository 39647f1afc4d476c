#include "private/warm.h"

/* Places at other nodes that are remembered of a chat. */
#define PLACES_PER_CHAT 3
/*
 * Computing a prefix anew delays this request, and by as much again those that
 * share the engine with it.
 */
#define PREFILL_COST 2
/* Home is preferred while it holds this share of what the warmest holds. */
#define HOME_SHARE 0.8

/* Tokens of the request's prompt that an owned upstream is believed to hold. */
static int64_t held_(const slot_t *sl, mstime_t now, const sched_request_t *r)
{
	const lru_entry_t *e;

	if (!r->sticky || !sl->owned)
		return 0;
	e = lru_get(&sl->warm, now, r->chat);
	return e ? MIN(e->weight, MAX(1, r->prompt_tokens)) : 0;
}

/* Key under which the n-th place of a chat is remembered. */
static uint64_t place_key_(const sched_request_t *r, int n)
{
	return str_hash64((str_t){ (const char *)&r->chat, sizeof(r->chat) },
			  (uint64_t)n + 1);
}

static slot_t *place_(sched_t *s, mstime_t now, const sched_request_t *r, int n)
{
	const lru_entry_t *e = lru_get(s->places, now, place_key_(r, n));
	slot_t *sl = e ? choose_slot(s, e->value) : NULL;

	if (sl && !sl->owned && choose_fits(r, sl) && slot_alive(sl, now))
		return sl;
	if (e)
		lru_remove(s->places, place_key_(r, n));
	return NULL;
}

void warm_remember(sched_t *s, mstime_t now, const sched_request_t *r,
		   const slot_t *sl)
{
	mstime_t oldest = MSTIME_NEVER;
	int at = 0;

	if (!r->sticky)
		return;
	/* The oldest place gives way. */
	for (int n = 0; n < PLACES_PER_CHAT; n++) {
		const lru_entry_t *e =
			lru_get(s->places, now, place_key_(r, n));
		mstime_t touched = e ? e->used_at : 0;

		if (e && e->value == sl->key) {
			at = n;
			break;
		}
		if (touched < oldest) {
			oldest = touched;
			at = n;
		}
	}
	lru_put(s->places, now, place_key_(r, at), sl->key, 1);
}

static bool has_room_(const sched_t *s, mstime_t now, const slot_t *sl,
		      const sched_request_t *r)
{
	return choose_has_room(s, now, sl, r->customer, CERTAIN);
}

/* Owned upstream that holds most and has room; of equals the less loaded. */
static slot_t *warmest_(sched_t *s, mstime_t now, const sched_request_t *r,
			int64_t *most)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;

	*most = 0;
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		int64_t held = held_(sl, now, r);

		if (!held || held < *most || !choose_fits(r, sl) ||
		    !slot_alive(sl, now) || !has_room_(s, now, sl, r))
			continue;
		if (best && held == *most &&
		    slot_load(sl, now) >= slot_load(best, now))
			continue;
		best = sl;
		*most = held;
	}
	return best;
}

/* Least loaded of the places at other nodes; tells whether there are any. */
static slot_t *remembered_(sched_t *s, mstime_t now, const sched_request_t *r,
			   bool *any)
{
	slot_t *best = NULL;

	for (int n = 0; r->sticky && n < PLACES_PER_CHAT; n++) {
		slot_t *sl = place_(s, now, r, n);

		if (!sl)
			continue;
		*any = true;
		if (has_room_(s, now, sl, r) &&
		    (!best || slot_load(sl, now) < slot_load(best, now)))
			best = sl;
	}
	return best;
}

/* Owned upstream where the chat is warm and would start first, or NULL. */
static slot_t *soonest_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;
	mstime_t best_wait = MSTIME_NEVER;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		mstime_t wait;

		if (!held_(sl, now, r) || !choose_fits(r, sl) ||
		    !slot_alive(sl, now))
			continue;
		wait = slot_wait(sl, s, now, r->customer);
		if (wait < best_wait) {
			best = sl;
			best_wait = wait;
		}
	}
	return best;
}

slot_t *warm_with_room(sched_t *s, mstime_t now, slot_t *home,
		       const sched_request_t *r, slot_t **soonest)
{
	bool home_has_room = has_room_(s, now, home, r);
	int64_t most;
	bool known;
	slot_t *sl = warmest_(s, now, r, &most);

	if (sl && home_has_room &&
	    (double)held_(home, now, r) >= HOME_SHARE * (double)most)
		return home;
	if (sl)
		return sl;
	*soonest = soonest_(s, now, r);
	known = *soonest != NULL;
	sl = remembered_(s, now, r, &known);
	if (sl)
		return sl;
	return !known && home_has_room ? home : NULL;
}

mstime_t warm_worth_ms(const slot_t *sl, const sched_request_t *r)
{
	return PREFILL_COST * slot_prefill_ms(sl, r->prompt_tokens);
}
