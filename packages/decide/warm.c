#include "private/warm.h"

/* Upstreams of other nodes that are recorded for each chat. */
#define REMOTE_PLACEMENTS_PER_CHAT 3
/*
 * Cost of a prefill as a multiple of its time: it delays the request itself and
 * as much again the requests that share the engine with it.
 */
#define PREFILL_COST 2
/*
 * The preferred upstream is used if it has at least this fraction of the tokens
 * cached that the upstream with the most has.
 */
#define PREFERRED_FRACTION 0.8

/* Tokens of the prompt that an owned upstream is assumed to have cached. */
static int64_t cached_tokens_(const sched_upstream_t *u, mstime_t now,
			      const sched_request_t *r)
{
	const lru_entry_t *e;

	if (!r->sticky || !u->owned)
		return 0;
	e = lru_get(&u->cached_chats, now, r->chat);
	return e ? MIN(e->weight, MAX(1, r->prompt_tokens)) : 0;
}

/* Key of the n-th remote placement of a chat. */
static uint64_t remote_placement_key_(const sched_request_t *r, int n)
{
	return str_hash64((str_t){ (const char *)&r->chat, sizeof(r->chat) },
			  (uint64_t)n + 1);
}

static sched_upstream_t *remote_placement_(sched_t *s, mstime_t now,
					   const sched_request_t *r, int n)
{
	const lru_entry_t *e =
		lru_get(s->remote_placements, now, remote_placement_key_(r, n));
	sched_upstream_t *u = e ? choose_lookup(s, e->value) : NULL;

	if (u && !u->owned && choose_can_serve(r, u) &&
	    sched_upstream_alive(u, now))
		return u;
	if (e)
		lru_remove(s->remote_placements, remote_placement_key_(r, n));
	return NULL;
}

void warm_note_placement(sched_t *s, mstime_t now, const sched_request_t *r,
			 const sched_upstream_t *u)
{
	mstime_t oldest = MSTIME_NEVER;
	int at = 0;

	if (!r->sticky)
		return;
	/* Refresh the entry of this upstream, else replace the oldest one. */
	for (int n = 0; n < REMOTE_PLACEMENTS_PER_CHAT; n++) {
		const lru_entry_t *e = lru_get(s->remote_placements, now,
					       remote_placement_key_(r, n));
		mstime_t used_at = e ? e->used_at : 0;

		if (e && e->value == u->key) {
			at = n;
			break;
		}
		if (used_at < oldest) {
			oldest = used_at;
			at = n;
		}
	}
	lru_put(s->remote_placements, now, remote_placement_key_(r, at), u->key,
		1);
}

static bool has_capacity_(const sched_t *s, mstime_t now,
			  const sched_upstream_t *u, const sched_request_t *r)
{
	return choose_has_capacity(s, now, u, r->customer, BOUND_CONSERVATIVE);
}

/*
 * Owned upstream with capacity that has the most tokens cached; the less loaded
 * of equals.
 */
static sched_upstream_t *most_cached_(sched_t *s, mstime_t now,
				      const sched_request_t *r, int64_t *most)
{
	GHashTableIter iter;
	gpointer value;
	sched_upstream_t *best = NULL;

	*most = 0;
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		int64_t cached = cached_tokens_(u, now, r);

		if (!cached || cached < *most || !choose_can_serve(r, u) ||
		    !sched_upstream_alive(u, now) ||
		    !has_capacity_(s, now, u, r))
			continue;
		if (best && cached == *most &&
		    sched_upstream_load(u, now) >=
			    sched_upstream_load(best, now))
			continue;
		best = u;
		*most = cached;
	}
	return best;
}

/*
 * Least loaded of the chat's remote placements that have capacity.
 * @found: set to true if there are any remote placements
 */
static sched_upstream_t *least_loaded_remote_(sched_t *s, mstime_t now,
					      const sched_request_t *r,
					      bool *found)
{
	sched_upstream_t *best = NULL;

	for (int n = 0; r->sticky && n < REMOTE_PLACEMENTS_PER_CHAT; n++) {
		sched_upstream_t *u = remote_placement_(s, now, r, n);

		if (!u)
			continue;
		*found = true;
		if (has_capacity_(s, now, u, r) &&
		    (!best || sched_upstream_load(u, now) <
				      sched_upstream_load(best, now)))
			best = u;
	}
	return best;
}

/* Owned upstream with the chat cached that would start the request first. */
static sched_upstream_t *earliest_start_(sched_t *s, mstime_t now,
					 const sched_request_t *r)
{
	GHashTableIter iter;
	gpointer value;
	sched_upstream_t *best = NULL;
	mstime_t best_wait = MSTIME_NEVER;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		mstime_t wait;

		if (!cached_tokens_(u, now, r) || !choose_can_serve(r, u) ||
		    !sched_upstream_alive(u, now))
			continue;
		wait = sched_upstream_wait(u, s, now, r->customer);
		if (wait < best_wait) {
			best = u;
			best_wait = wait;
		}
	}
	return best;
}

sched_upstream_t *warm_with_capacity(sched_t *s, mstime_t now,
				     sched_upstream_t *preferred,
				     const sched_request_t *r,
				     sched_upstream_t **earliest)
{
	bool preferred_has_capacity = has_capacity_(s, now, preferred, r);
	int64_t most;
	bool cached_anywhere;
	sched_upstream_t *u = most_cached_(s, now, r, &most);

	if (u && preferred_has_capacity &&
	    (double)cached_tokens_(preferred, now, r) >=
		    PREFERRED_FRACTION * (double)most)
		return preferred;
	if (u)
		return u;
	*earliest = earliest_start_(s, now, r);
	cached_anywhere = *earliest != NULL;
	u = least_loaded_remote_(s, now, r, &cached_anywhere);
	if (u)
		return u;
	return !cached_anywhere && preferred_has_capacity ? preferred : NULL;
}

mstime_t warm_max_wait_ms(const sched_upstream_t *u, const sched_request_t *r)
{
	return PREFILL_COST * sched_upstream_prefill_ms(u, r->prompt_tokens);
}
