#include "private/sched_upstream.h"

#define CACHED_CHAT_IDLE_MS (6 * 3600 * MSEC_PER_SEC)
/* Estimates before the first request ends, and weights of a new sample. */
#define DURATION_INITIAL_MS 500.0
#define PREFILL_INITIAL_TPS 8000.0
#define DURATION_SMOOTHING 0.2
#define PREFILL_SMOOTHING 0.1
/* With shorter prompts the time to the first token is mostly queueing. */
#define PREFILL_TOKENS_MIN 256
#define FAILURES_TO_DOWN 3
/* Delay before a recovered upstream is used; doubles with each flap. */
#define FLAP_BACKOFF_MS 500
#define FLAP_BACKOFF_MAX_MS 60000
/* The number of flaps is reset after this time without one. */
#define FLAP_FORGET_MS 60000
/* After an upstream returns, chats stay where they are cached this long. */
#define RETURNED_MS (10 * 60 * MSEC_PER_SEC)
/* Longest ramp when a new owner takes over an upstream at full weight. */
#define TAKEOVER_RAMP_MS 2000
/* Older gossip of an upstream's load is not used. */
#define PEER_LOAD_STALE_MS 15000
/* A new owner waits at most this long for a load report. */
#define TAKEOVER_REPORT_WAIT_MS 2500
/* A customer counts as active for this long after a request. */
#define CUSTOMER_ACTIVE_MS 30000
/* A dominant customer leaves limit / RESERVE_DIVISOR to the others. */
#define RESERVE_DIVISOR 8
/* So many consecutive misses mean that the upstream lost its cache. */
#define MISSES_TO_CLEAR_CACHE 3
/* A response is a miss if less than this fraction of its prompt was cached. */
#define MISS_FRACTION 0.25

static mstime_t ramp_ms_(const sched_upstream_t *u);

sched_upstream_t *sched_upstream_new(uint32_t key)
{
	sched_upstream_t *u = g_new0(sched_upstream_t, 1);

	u->key = key;
	u->peer_weight = WEIGHT_STABLE;
	u->duration_ms = DURATION_INITIAL_MS;
	u->prefill_tps = PREFILL_INITIAL_TPS;
	lru_init(&u->cached_chats, 0, CACHED_CHAT_IDLE_MS);
	fairq_init(&u->queue);
	u->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return u;
}

void sched_upstream_free(void *upstream)
{
	sched_upstream_t *u = upstream;

	lru_finish(&u->cached_chats);
	fairq_finish(&u->queue);
	g_hash_table_destroy(u->customers);
	g_free(u);
}

static bool peer_load_is_fresh_(const sched_upstream_t *u, mstime_t now)
{
	return u->peer_updated_at &&
	       now - u->peer_updated_at < PEER_LOAD_STALE_MS;
}

void sched_upstream_own(sched_upstream_t *u, mstime_t now)
{
	u->owned = true;
	u->owned_since = now;
	u->consecutive_failures = 0;
	u->down = false;
	u->remote_outstanding = 0;
	u->start_id = 0;
	u->stable_at = now;
	/* Requests of a former owner may still run; wait for a load report. */
	u->takeover_pending = u->peer_updated_at != 0;
	u->former_weight = peer_load_is_fresh_(u, now) ? u->peer_weight : 0;
	u->wait_report_until =
		u->takeover_pending ? now + TAKEOVER_REPORT_WAIT_MS : now;
	limit_init(&u->limit, u->config->slots, u->config->floor, now,
		   ramp_ms_(u));
	lru_set_weight_max(&u->cached_chats, u->config->cache_tokens);
}

uint32_t sched_upstream_start_tag(uint64_t start_id)
{
	uint64_t hash = str_hash64(
		(str_t){ (const char *)&start_id, sizeof(start_id) }, 0);

	return (uint32_t)hash << WEIGHT_START_TAG_SHIFT;
}

void sched_upstream_confirm_takeover(sched_upstream_t *u, mstime_t now,
				     uint64_t start_id, int outstanding)
{
	uint32_t tag = u->former_weight & ~((1u << WEIGHT_START_TAG_SHIFT) - 1);

	if (!u->takeover_pending)
		return;
	u->takeover_pending = false;
	if ((u->former_weight & WEIGHT_MASK) >= WEIGHT_FULL &&
	    tag == sched_upstream_start_tag(start_id))
		limit_resume(&u->limit, now, MIN(ramp_ms_(u), TAKEOVER_RAMP_MS),
			     outstanding);
}

void sched_upstream_disown(sched_upstream_t *u)
{
	u->owned = false;
	lru_clear(&u->cached_chats);
}

void sched_upstream_note_restart(sched_upstream_t *u, mstime_t now)
{
	limit_restart(&u->limit, now, ramp_ms_(u));
	lru_clear(&u->cached_chats);
	u->returned = true;
	u->stable_at = MAX(u->stable_at, now);
}

bool sched_upstream_note_failure(sched_upstream_t *u, mstime_t now)
{
	u->consecutive_failures++;
	limit_note(&u->limit, now, LIMIT_FAILED);
	if (u->down || u->consecutive_failures < FAILURES_TO_DOWN)
		return false;
	u->down = true;
	return true;
}

void sched_upstream_note_recovery(sched_upstream_t *u, mstime_t now)
{
	mstime_t backoff_ms = FLAP_BACKOFF_MS;

	u->consecutive_failures = 0;
	if (!u->down)
		return;
	u->down = false;
	if (now - u->stable_at > FLAP_FORGET_MS)
		u->flaps = 0;
	for (int i = 0; i < u->flaps && backoff_ms < FLAP_BACKOFF_MAX_MS; i++)
		backoff_ms *= 2;
	u->flaps++;
	u->stable_at = now + MIN(backoff_ms, FLAP_BACKOFF_MAX_MS);
	u->returned = true;
	limit_restart(&u->limit, now, ramp_ms_(u));
}

uint32_t sched_upstream_weight(const sched_upstream_t *u, mstime_t now)
{
	mstime_t ramp;
	mstime_t age = now - u->stable_at;

	if (!u->owned)
		return peer_load_is_fresh_(u, now)
			       ? u->peer_weight & WEIGHT_MASK
			       : WEIGHT_STABLE;
	if (u->down || age < 0)
		return 0;
	if (!u->returned || age > RETURNED_MS)
		return WEIGHT_STABLE;
	ramp = ramp_ms_(u);
	if (age >= ramp)
		return WEIGHT_RETURNED;
	return (uint32_t)MAX(1, WEIGHT_FULL * age / ramp);
}

int sched_upstream_load(const sched_upstream_t *u, mstime_t now)
{
	if (u->owned)
		return u->own_outstanding + u->remote_outstanding;
	return (peer_load_is_fresh_(u, now) ? u->peer_outstanding : 0) +
	       u->forwarded;
}

/* Requests sent from here that may not have arrived yet. */
static int in_transit_(const sched_upstream_t *u)
{
	return MIN(u->in_transit, u->own_outstanding);
}

/* Fraction of requests expected to end within a time. */
static double fraction_ended_(const sched_upstream_t *u, mstime_t ms)
{
	return MIN(1.0, (double)ms / MAX(1.0, u->duration_ms));
}

double sched_upstream_expected_ends(const sched_upstream_t *u)
{
	return (u->own_outstanding - in_transit_(u)) *
	       fraction_ended_(u, COMPLETION_DELAY_MS);
}

double sched_upstream_expected_load(const sched_upstream_t *u, mstime_t now)
{
	if (!u->owned)
		return sched_upstream_load(u, now);
	return u->own_outstanding - in_transit_(u) -
	       sched_upstream_expected_ends(u) +
	       u->remote_outstanding *
		       (1 - fraction_ended_(u, now - u->remote_reported_at));
}

double sched_upstream_load_variance(const sched_upstream_t *u, mstime_t now)
{
	if (u->owned)
		return u->remote_outstanding *
		       fraction_ended_(u, now - u->remote_reported_at);
	if (!u->peer_updated_at)
		return 0;
	return 2 * sched_upstream_load(u, now) *
	       fraction_ended_(u, now - u->peer_updated_at);
}

bool sched_upstream_alive(const sched_upstream_t *u, mstime_t now)
{
	if (u->owned)
		return !u->down;
	return !peer_load_is_fresh_(u, now) || u->peer_limit > 0;
}

static int power_limit_(const sched_upstream_t *u, const sched_t *s,
			mstime_t now)
{
	double share = power_share(s->view, u->config);

	if (share <= 0)
		return u->config->slots;
	share += power_net_borrowed(&s->loans, now, u->key);
	/* A former owner may have lent as much as lend_from_ allows. */
	if (now - u->owned_since < POWER_LOAN_MS + POWER_LOAN_GUARD_MS &&
	    u->peer_updated_at)
		share -= (share - u->config->idle_w) / 2;
	return power_slots(u->config, share);
}

int sched_upstream_limit(const sched_upstream_t *u, const sched_t *s,
			 mstime_t now)
{
	int limit;

	if (!u->config)
		return 0;
	if (!u->owned)
		return peer_load_is_fresh_(u, now) ? u->peer_limit
						   : u->config->slots;
	if (u->down)
		return 0;
	limit = limit_now(&u->limit, now);
	return MIN(limit, power_limit_(u, s, now));
}

customer_usage_t *sched_upstream_customer(sched_upstream_t *u,
					  const char *customer)
{
	customer_usage_t *usage = g_hash_table_lookup(u->customers, customer);

	if (!usage) {
		usage = g_new0(customer_usage_t, 1);
		g_hash_table_insert(u->customers, g_strdup(customer), usage);
	}
	return usage;
}

int sched_upstream_reserve(const sched_upstream_t *u, mstime_t now,
			   const char *customer, int limit)
{
	const customer_usage_t *own =
		g_hash_table_lookup(u->customers, customer);
	GHashTableIter iter;
	gpointer value;

	if (!own || own->outstanding * 2 <= limit)
		return 0;
	g_hash_table_iter_init(&iter, u->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const customer_usage_t *other = value;

		if (other != own &&
		    now - other->last_request < CUSTOMER_ACTIVE_MS)
			return MAX(1, limit / RESERVE_DIVISOR);
	}
	return 0;
}

void sched_upstream_roll_window(sched_upstream_t *u)
{
	u->own_peak_previous = u->own_peak;
	u->own_peak = u->own_outstanding;
}

/*
 * With n requests running, the first is expected to end after 1/(n + 1) of the
 * mean duration, and the queue then advances by one each 1/n of it.
 */
static mstime_t estimate_wait_(const sched_upstream_t *u, const char *customer,
			       int concurrency)
{
	guint ahead = fairq_ahead(&u->queue, customer);
	double n = MAX(1, concurrency);

	return (mstime_t)(u->duration_ms * (1 / (n + 1) + ahead / n));
}

mstime_t sched_upstream_wait(const sched_upstream_t *u, const sched_t *s,
			     mstime_t now, const char *customer)
{
	return estimate_wait_(
		u, customer,
		MIN(sched_upstream_limit(u, s, now), u->own_outstanding));
}

mstime_t sched_upstream_min_wait(const sched_upstream_t *u, const sched_t *s,
				 mstime_t now, const char *customer)
{
	return estimate_wait_(u, customer, sched_upstream_limit(u, s, now));
}

mstime_t sched_upstream_prefill_ms(const sched_upstream_t *u, int64_t tokens)
{
	return (mstime_t)((double)(tokens * MSEC_PER_SEC) / u->prefill_tps);
}

void sched_upstream_note_duration(sched_upstream_t *u, mstime_t ms)
{
	u->duration_ms += DURATION_SMOOTHING * ((double)ms - u->duration_ms);
}

void sched_upstream_note_prefill(sched_upstream_t *u, const sched_outcome_t *o)
{
	int64_t tokens = o->prompt_tokens - MAX(0, o->cached_tokens);
	double tps;

	if (o->result != SCHED_DONE || o->cached_tokens < 0 ||
	    tokens < PREFILL_TOKENS_MIN || o->first_token_ms <= 0)
		return;
	tps = (double)(tokens * MSEC_PER_SEC) / (double)o->first_token_ms;
	u->prefill_tps += PREFILL_SMOOTHING * (tps - u->prefill_tps);
}

void sched_upstream_note_cache(sched_upstream_t *u, mstime_t now,
			       const permit_t *p, const sched_outcome_t *o)
{
	bool miss;

	if (o->start_id && u->start_id && o->start_id != u->start_id) {
		u->start_id = o->start_id;
		sched_upstream_note_restart(u, now);
		return;
	}
	if (!p->sticky || o->cached_tokens < 0 || o->prompt_tokens <= 0)
		return;
	if (!p->warm)
		return;
	miss = (double)o->cached_tokens <
	       MISS_FRACTION * (double)o->prompt_tokens;
	u->consecutive_misses = miss ? u->consecutive_misses + 1 : 0;
	if (u->consecutive_misses < MISSES_TO_CLEAR_CACHE)
		return;
	u->consecutive_misses = 0;
	lru_clear(&u->cached_chats);
}

static mstime_t ramp_ms_(const sched_upstream_t *u)
{
	double s = MAX(u->config->ramp_s, 0);

	return (mstime_t)(s * MSEC_PER_SEC);
}
