#include "private/slot.h"

#define WARM_IDLE_MS (6 * 3600 * MSEC_PER_SEC)
#define DURATION_START_MS 500.0
#define PREFILL_START_TPS 8000.0
#define DURATION_SMOOTHING 0.2
#define PREFILL_SMOOTHING 0.1
/* Prompts below this say more of the queue than of the prefill. */
#define PREFILL_TOKENS_MIN 256
#define FAILURES_TO_DOWN 3
/* Hold of a flapping upstream doubles with each flap. */
#define FLAP_HOLD_MS 500
#define FLAP_HOLD_MAX_MS 60000
#define FLAP_FORGET_MS 60000
/* After a return, chats stay where they are warm for this long. */
#define RECENT_MS (10 * 60 * MSEC_PER_SEC)
/* Ramp of a new owner over an upstream that was known to be at full weight. */
#define TAKEOVER_RAMP_MS 2000
#define PEER_STALE_MS 15000
/* A new owner waits at most this long for a report. */
#define TAKEOVER_REPORT_MS 2500
/* A customer counts as active for this long after a request. */
#define TENANT_ACTIVE_MS 30000
/* Part of the limit that a dominant customer leaves to the others. */
#define RESERVE_PARTS 8
/* Misses in a row that show a cache gone cold. */
#define MISSES_TO_COLD 3
/* A cached share below this is a miss. */
#define MISS_SHARE 0.25

static mstime_t ramp_ms_(const slot_t *sl);

slot_t *slot_new(uint32_t key)
{
	slot_t *sl = g_new0(slot_t, 1);

	sl->key = key;
	sl->peer_weight = WEIGHT_SETTLED;
	sl->duration_ms = DURATION_START_MS;
	sl->prefill_tps = PREFILL_START_TPS;
	lru_init(&sl->warm, 0, WARM_IDLE_MS);
	fairq_init(&sl->queue);
	sl->tenants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sl;
}

void slot_free(void *p)
{
	slot_t *sl = p;

	lru_finish(&sl->warm);
	fairq_finish(&sl->queue);
	g_hash_table_destroy(sl->tenants);
	g_free(sl);
}

static bool peer_fresh_(const slot_t *sl, mstime_t now)
{
	return sl->peer_heard && now - sl->peer_heard < PEER_STALE_MS;
}

void slot_acquire(slot_t *sl, mstime_t now)
{
	sl->owned = true;
	sl->owned_since = now;
	sl->failures = 0;
	sl->down = false;
	sl->foreign = 0;
	sl->start_id = 0;
	sl->stable_at = now;
	/* A former owner's work may go on there: the first report tells. */
	sl->taken_over = sl->peer_heard != 0;
	sl->former = peer_fresh_(sl, now) ? sl->peer_weight : 0;
	sl->hold_until = sl->taken_over ? now + TAKEOVER_REPORT_MS : now;
	limit_init(&sl->limit, sl->up->slots, sl->up->floor, now, ramp_ms_(sl));
	lru_set_weight_max(&sl->warm, sl->up->cache_tokens);
}

uint32_t slot_start_tag(uint64_t start_id)
{
	uint64_t hash = str_hash64(
		(str_t){ (const char *)&start_id, sizeof(start_id) }, 0);

	return (uint32_t)hash << WEIGHT_START_SHIFT;
}

void slot_confirm(slot_t *sl, mstime_t now, uint64_t start_id, int outstanding)
{
	uint32_t tag = sl->former & ~((1u << WEIGHT_START_SHIFT) - 1);

	if (!sl->taken_over)
		return;
	sl->taken_over = false;
	if ((sl->former & WEIGHT_MASK) >= WEIGHT_FULL &&
	    tag == slot_start_tag(start_id))
		limit_resume(&sl->limit, now,
			     MIN(ramp_ms_(sl), TAKEOVER_RAMP_MS), outstanding);
}

void slot_lose(slot_t *sl)
{
	sl->owned = false;
	lru_clear(&sl->warm);
}

void slot_restarted(slot_t *sl, mstime_t now)
{
	limit_restart(&sl->limit, now, ramp_ms_(sl));
	lru_clear(&sl->warm);
	sl->returned = true;
	sl->stable_at = MAX(sl->stable_at, now);
}

bool slot_failed(slot_t *sl, mstime_t now)
{
	sl->failures++;
	limit_note(&sl->limit, now, LIMIT_FAILED);
	if (sl->down || sl->failures < FAILURES_TO_DOWN)
		return false;
	sl->down = true;
	return true;
}

void slot_recovered(slot_t *sl, mstime_t now)
{
	mstime_t hold = FLAP_HOLD_MS;

	sl->failures = 0;
	if (!sl->down)
		return;
	sl->down = false;
	if (now - sl->stable_at > FLAP_FORGET_MS)
		sl->flaps = 0;
	for (int i = 0; i < sl->flaps && hold < FLAP_HOLD_MAX_MS; i++)
		hold *= 2;
	sl->flaps++;
	sl->stable_at = now + MIN(hold, FLAP_HOLD_MAX_MS);
	sl->returned = true;
	limit_restart(&sl->limit, now, ramp_ms_(sl));
}

uint32_t slot_weight(const slot_t *sl, mstime_t now)
{
	mstime_t ramp;
	mstime_t age = now - sl->stable_at;

	if (!sl->owned)
		return peer_fresh_(sl, now) ? sl->peer_weight & WEIGHT_MASK
					    : WEIGHT_SETTLED;
	if (sl->down || age < 0)
		return 0;
	if (!sl->returned || age > RECENT_MS)
		return WEIGHT_SETTLED;
	ramp = ramp_ms_(sl);
	if (age >= ramp)
		return WEIGHT_RECENT;
	return (uint32_t)MAX(1, WEIGHT_FULL * age / ramp);
}

int slot_load(const slot_t *sl, mstime_t now)
{
	if (sl->owned)
		return sl->out + sl->foreign;
	return (peer_fresh_(sl, now) ? sl->peer_out : 0) + sl->handed;
}

/* Requests sent from here that may not have arrived yet. */
static int unarrived_(const slot_t *sl)
{
	return MIN(sl->recent, sl->out);
}

/* Share of requests that have ended within a time. */
static double share_ended_(const slot_t *sl, mstime_t ms)
{
	return MIN(1.0, (double)ms / MAX(1.0, sl->duration_ms));
}

double slot_ended(const slot_t *sl)
{
	return (sl->out - unarrived_(sl)) * share_ended_(sl, SLOT_END_MS);
}

double slot_load_there(const slot_t *sl, mstime_t now)
{
	if (!sl->owned)
		return slot_load(sl, now);
	return sl->out - unarrived_(sl) - slot_ended(sl) +
	       sl->foreign * (1 - share_ended_(sl, now - sl->foreign_at));
}

double slot_variance(const slot_t *sl, mstime_t now)
{
	if (sl->owned)
		return sl->foreign * share_ended_(sl, now - sl->foreign_at);
	if (!sl->peer_heard)
		return 0;
	return 2 * slot_load(sl, now) * share_ended_(sl, now - sl->peer_heard);
}

bool slot_alive(const slot_t *sl, mstime_t now)
{
	if (sl->owned)
		return !sl->down;
	return !peer_fresh_(sl, now) || sl->peer_limit > 0;
}

static int power_limit_(const slot_t *sl, const sched_t *s, mstime_t now)
{
	double share = power_share(s->view, sl->up);

	if (share <= 0)
		return sl->up->slots;
	share += power_balance(&s->power, now, sl->key);
	/* A former owner may have lent what it was able to lend. */
	if (now - sl->owned_since < POWER_LOAN_MS + POWER_LOAN_GUARD_MS &&
	    sl->peer_heard)
		share -= (share - sl->up->idle_w) / 2;
	return power_slots(sl->up, share);
}

int slot_limit(const slot_t *sl, const sched_t *s, mstime_t now)
{
	int limit;

	if (!sl->up)
		return 0;
	if (!sl->owned)
		return peer_fresh_(sl, now) ? sl->peer_limit : sl->up->slots;
	if (sl->down)
		return 0;
	limit = limit_now(&sl->limit, now);
	return MIN(limit, power_limit_(sl, s, now));
}

tenant_t *slot_tenant(slot_t *sl, const char *customer)
{
	tenant_t *t = g_hash_table_lookup(sl->tenants, customer);

	if (!t) {
		t = g_new0(tenant_t, 1);
		g_hash_table_insert(sl->tenants, g_strdup(customer), t);
	}
	return t;
}

int slot_reserve(const slot_t *sl, mstime_t now, const char *customer,
		 int limit)
{
	const tenant_t *own = g_hash_table_lookup(sl->tenants, customer);
	GHashTableIter iter;
	gpointer value;

	if (!own || own->out * 2 <= limit)
		return 0;
	g_hash_table_iter_init(&iter, sl->tenants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const tenant_t *t = value;

		if (t != own && now - t->seen < TENANT_ACTIVE_MS)
			return MAX(1, limit / RESERVE_PARTS);
	}
	return 0;
}

void slot_window(slot_t *sl)
{
	sl->out_max_last = sl->out_max;
	sl->out_max = sl->out;
}

/*
 * Time until a new request starts when so many run at a time: the first of
 * them ends after a part of its duration, then one follows the other.
 */
static mstime_t wait_(const slot_t *sl, const char *customer, int lanes)
{
	guint ahead = fairq_ahead(&sl->queue, customer);
	double n = MAX(1, lanes);

	return (mstime_t)(sl->duration_ms * (1 / (n + 1) + ahead / n));
}

mstime_t slot_wait(const slot_t *sl, const sched_t *s, mstime_t now,
		   const char *customer)
{
	return wait_(sl, customer, MIN(slot_limit(sl, s, now), sl->out));
}

mstime_t slot_wait_least(const slot_t *sl, const sched_t *s, mstime_t now,
			 const char *customer)
{
	return wait_(sl, customer, slot_limit(sl, s, now));
}

mstime_t slot_prefill_ms(const slot_t *sl, int64_t tokens)
{
	return (mstime_t)((double)(tokens * MSEC_PER_SEC) / sl->prefill_tps);
}

void slot_note_duration(slot_t *sl, mstime_t ms)
{
	sl->duration_ms += DURATION_SMOOTHING * ((double)ms - sl->duration_ms);
}

void slot_note_prefill(slot_t *sl, const sched_outcome_t *o)
{
	int64_t tokens = o->prompt_tokens - MAX(0, o->cached_tokens);
	double tps;

	if (o->result != SCHED_DONE || o->cached_tokens < 0 ||
	    tokens < PREFILL_TOKENS_MIN || o->first_token_ms <= 0)
		return;
	tps = (double)(tokens * MSEC_PER_SEC) / (double)o->first_token_ms;
	sl->prefill_tps += PREFILL_SMOOTHING * (tps - sl->prefill_tps);
}

void slot_note_cache(slot_t *sl, mstime_t now, const permit_t *p,
		     const sched_outcome_t *o)
{
	bool miss;

	if (o->start_id && sl->start_id && o->start_id != sl->start_id) {
		sl->start_id = o->start_id;
		slot_restarted(sl, now);
		return;
	}
	if (!p->sticky || o->cached_tokens < 0 || o->prompt_tokens <= 0)
		return;
	if (!p->warm)
		return;
	miss = (double)o->cached_tokens < MISS_SHARE * (double)o->prompt_tokens;
	sl->misses = miss ? sl->misses + 1 : 0;
	if (sl->misses < MISSES_TO_COLD)
		return;
	sl->misses = 0;
	lru_clear(&sl->warm);
}

static mstime_t ramp_ms_(const slot_t *sl)
{
	double s = MAX(sl->up->ramp_s, 0);

	return (mstime_t)(s * MSEC_PER_SEC);
}
