#include <kcf/brittle.h>

#include <assert.h>
#include <kcf/rank.h>

/*
 * Requests of nodes without a part, as a fraction of what may be turned away.
 * Each may also cause the refusal of one within a part.
 */
#define EXTRA_FRACTION 0.25
/*
 * After a refusal a node waits as if all holders sent in turn, as many a second
 * as may be turned away; twice as long with each one that comes before this
 * time after the end of the last wait, since then the parts don't fit.
 */
#define HOLD_MEMORY_MS 3000
#define HOLD_MAX_MS 10000

bool brittle_name(brittle_t *b, int turned_per_s, mstime_t now)
{
	bool changed = !b->active || b->turned_per_s != turned_per_s;

	assert(turned_per_s >= 0);
	if (!b->active)
		*b = (brittle_t){ .active = true };
	b->turned_per_s = turned_per_s;
	b->named_at = now;
	rate_limit_name(&b->extra, turned_per_s * EXTRA_FRACTION, now);
	return changed;
}

bool brittle_omit(brittle_t *b, mstime_t sent_at)
{
	if (!b->active || sent_at < b->named_at)
		return false;
	*b = (brittle_t){ 0 };
	return true;
}

/* Slots that do not divide go to the first nodes by rendezvous hashing. */
static int part_(const uint64_t *keys, guint count, guint own, uint64_t seed,
		 int slots, guint nodes)
{
	double score = rank_score(seed, keys[own], 1);
	guint ahead = 0;

	for (guint i = 0; i < count; i++)
		ahead += rank_score(seed, keys[i], 1) > score;
	return slots / (int)nodes + (ahead < (guint)slots % nodes);
}

void brittle_share(brittle_t *b, const uint64_t *keys, guint count, guint own,
		   uint64_t seed, int slots, guint nodes)
{
	int part = 0;

	assert((keys || !count) && nodes >= count);
	b->extra.holder_share =
		rate_limit_share(keys, count, own, seed, b->extra.per_s);
	b->holders = MIN((int)nodes, slots);
	if (own < count)
		part = part_(keys, count, own, seed, slots, nodes);
	/* Without the missing nodes it may rank too high. */
	if (count < nodes && b->divided)
		part = MIN(part, b->part);
	b->divided = b->divided || (count == nodes && own < count);
	b->part = part;
}

bool brittle_allows(brittle_t *b, const rate_limit_place_t *place,
		    uint64_t seed, int own, bool has_room, mstime_t now)
{
	if (!b->active)
		return true;
	if (now < b->held_until)
		return false;
	if (own < b->part)
		return true;
	return !b->part && has_room && b->turned_per_s &&
	       rate_limit_allows(&b->extra, place, seed, now);
}

void brittle_spend(brittle_t *b, const rate_limit_place_t *place, uint64_t seed,
		   int own, mstime_t now)
{
	if (b->active && own >= b->part)
		rate_limit_spend(&b->extra, place, seed, now);
}

void brittle_turned_away(brittle_t *b, mstime_t now)
{
	mstime_t hold;

	if (!b->active)
		return;
	hold = MSEC_PER_SEC * MAX(1, b->holders) / MAX(1, b->turned_per_s);
	if (b->held_until && now < b->held_until + HOLD_MEMORY_MS)
		hold = MAX(hold, b->hold_ms * 2);
	b->hold_ms = MIN(hold, HOLD_MAX_MS);
	b->held_until = now + b->hold_ms;
}
