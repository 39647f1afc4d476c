#include <kcf/rate_limit.h>

#include <assert.h>
#include <kcf/rank.h>
#include <math.h>

/* Part of the rate that the holders divide. */
#define HOLDERS_FRACTION 0.7
/* Part that goes round in time slots. */
#define SLOTS_FRACTION 0.2
/* A rate of nearly zero would never be asked again whether it still holds. */
#define SLOTS_MIN_PER_S 0.25
/* A holder may send this many seconds of its share at once, and at least one
 * request.
 */
#define BURST_S 0.25
/* A rate that ends doubles in each step, until it is no longer felt. */
#define ENDING_STEP_MS 250.0
#define ENDING_MS 2000
/* A rate below this starts to rise from here. */
#define ENDING_MIN_PER_S 1.0
#define WAIT_MIN_MS 50
#define WAIT_MAX_MS 2000

double rate_limit_share(const uint64_t *keys, guint count, guint own,
			uint64_t seed, double per_s)
{
	/* A holder's share is then about one request a second or more. */
	double holders = CLAMP(ceil(per_s), 1, (double)MAX(1, count));
	double score;
	double ahead = 0;

	assert(keys || !count);
	if (own >= count)
		return 0;
	score = rank_score(seed, keys[own], 1);
	for (guint i = 0; i < count; i++)
		ahead += rank_score(seed, keys[i], 1) > score;
	return ahead < holders ? HOLDERS_FRACTION / holders : 0;
}

bool rate_limit_name(rate_limit_t *l, double per_s, mstime_t now)
{
	bool changed = !l->active || l->ending_at || l->per_s != per_s;

	assert(per_s >= 0);
	if (!l->active)
		*l = (rate_limit_t){ .active = true, .tokens_at = now };
	l->per_s = per_s;
	l->named_at = now;
	l->ending_at = 0;
	return changed;
}

bool rate_limit_omit(rate_limit_t *l, mstime_t sent_at, mstime_t now)
{
	if (!l->active || l->ending_at || sent_at < l->named_at)
		return false;
	l->ending_at = now;
	return true;
}

/* The rate now; it has ended if this is infinite. */
static double current_per_s_(const rate_limit_t *l, mstime_t now)
{
	double steps;

	if (!l->ending_at)
		return l->per_s;
	if (now - l->ending_at >= ENDING_MS)
		return HUGE_VAL;
	steps = (double)(now - l->ending_at) / ENDING_STEP_MS;
	return MAX(l->per_s, ENDING_MIN_PER_S) * exp2(steps);
}

static int64_t slot_(double per_s, const rate_limit_place_t *place,
		     mstime_t now)
{
	double slots_per_s = MAX(per_s * SLOTS_FRACTION, SLOTS_MIN_PER_S);

	return (int64_t)((double)(now + place->wall_offset) * slots_per_s /
			 MSEC_PER_SEC);
}

static bool is_own_slot_(const rate_limit_t *l, double per_s,
			 const rate_limit_place_t *place, uint64_t seed,
			 mstime_t now)
{
	int64_t slot;

	if (place->index >= place->count)
		return false;
	slot = slot_(per_s, place, now);
	return slot != l->used_slot &&
	       ((uint64_t)slot + seed) % place->count == place->index;
}

static void refill_(rate_limit_t *l, double per_s, mstime_t now)
{
	double own_per_s = per_s * l->holder_share;

	l->tokens += own_per_s * (double)(now - l->tokens_at) / MSEC_PER_SEC;
	l->tokens = MIN(l->tokens, MAX(1.0, own_per_s * BURST_S));
	l->tokens_at = now;
}

bool rate_limit_allows(rate_limit_t *l, const rate_limit_place_t *place,
		       uint64_t seed, mstime_t now)
{
	double per_s;

	if (!l->active)
		return true;
	per_s = current_per_s_(l, now);
	if (isinf(per_s)) {
		*l = (rate_limit_t){ 0 };
		return true;
	}
	refill_(l, per_s, now);
	return l->tokens >= 1 || is_own_slot_(l, per_s, place, seed, now);
}

void rate_limit_spend(rate_limit_t *l, const rate_limit_place_t *place,
		      uint64_t seed, mstime_t now)
{
	double per_s;

	if (!l->active)
		return;
	per_s = current_per_s_(l, now);
	if (is_own_slot_(l, per_s, place, seed, now))
		l->used_slot = slot_(per_s, place, now);
	else
		l->tokens -= 1;
}

mstime_t rate_limit_wait_ms(const rate_limit_t *l)
{
	double own_per_s = l->per_s * l->holder_share;
	double ms;

	if (own_per_s <= 0)
		return WAIT_MAX_MS;
	ms = (1 - l->tokens) * MSEC_PER_SEC / own_per_s;
	return (mstime_t)CLAMP(ms, WAIT_MIN_MS, WAIT_MAX_MS);
}
