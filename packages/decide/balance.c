#include "private/balance.h"

#include <assert.h>
#include <kcf/versions.h>
#include <string.h>

/* How long a report stays fresh; requests last about a second. */
#define REPORT_VALID_MS 2000
/* Weights of the newest sample in the moving means. */
#define OUTCOME_WEIGHT 0.15
#define LATENCY_WEIGHT 0.15
/* Growth of the least time per request, so that it follows slower upstreams. */
#define LEAST_GROWTH 1.02
/* Slow start of the upstreams of a data centre that was drained. */
#define DRAIN_SLOW_START_MS 3000
/*
 * An upstream's entry may lapse and come back. A leaving one has ended long
 * before this time; some serve on for many seconds.
 */
#define STATEMENT_KEEP_MS 600000
/*
 * Serving nodes that are missing may only be out of touch: their parts of
 * brittle upstreams stay theirs for this long.
 */
#define FEWER_NODES_MS 20000

static void release_upstream_(gpointer p);

void balance_init(balance_t *b, const char *data_centre, guint32 seed)
{
	assert(b && data_centre);
	*b = (balance_t){ .node_count = 1 };
	b->data_centre = g_strdup(data_centre);
	b->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 release_upstream_);
	b->by_key = g_hash_table_new(NULL, NULL);
	b->statements = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->drained =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->affinities = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	b->warmth_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->last_retry_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->work_rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->rand = g_rand_new_with_seed(seed);
}

void balance_finish(balance_t *b)
{
	GHashTableIter iter;
	gpointer value;

	/*
	 * No one calls balance_end_request for open requests any more; their
	 * count must not keep the upstreams from being freed.
	 */
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((balance_upstream_t *)value)->own_outstanding = 0;
	g_hash_table_destroy(b->by_key);
	g_hash_table_destroy(b->by_id);
	g_hash_table_destroy(b->statements);
	g_hash_table_destroy(b->services);
	g_hash_table_destroy(b->drained);
	g_hash_table_destroy(b->affinities);
	g_hash_table_destroy(b->warmth_services);
	g_hash_table_destroy(b->last_retry_at);
	g_hash_table_destroy(b->work_rates);
	g_free(b->data_centre);
	g_rand_free(b->rand);
}

void balance_free_if_unused(balance_upstream_t *u)
{
	if (!u->removed || u->own_outstanding)
		return;
	g_free(u->id);
	g_free(u->service);
	g_free(u->address);
	g_free(u->data_centre);
	g_free(u->version);
	g_free(u);
}

static void release_upstream_(gpointer p)
{
	balance_upstream_t *u = p;

	u->removed = true;
	balance_free_if_unused(u);
}

static bool is_same_entry_(const balance_upstream_t *u,
			   const balance_spec_t *spec)
{
	bool leaving = spec->leaving || u->announced_leaving;

	return u->start_id == spec->start_id && u->leaving == leaving &&
	       u->slots == spec->slots && !strcmp(u->address, spec->address) &&
	       !strcmp(u->service, spec->service) &&
	       !strcmp(u->version, spec->version ? spec->version : "") &&
	       !strcmp(u->data_centre, spec->data_centre);
}

static void set_cold_until_(balance_upstream_t *u, mstime_t until, mstime_t now)
{
	if (until <= now)
		return;
	if (u->cold_until <= now) {
		u->cold_tokens = 0;
		u->cold_tokens_at = now;
	}
	u->cold_until = MAX(u->cold_until, until);
}

static void restore_statement_(const balance_t *b, balance_upstream_t *u)
{
	const balance_statement_t *s =
		g_hash_table_lookup(b->statements, GUINT_TO_POINTER(u->key));

	if (!s)
		return;
	u->announced_leaving = s->leaving;
	u->rate_limit = s->rate_limit;
	u->brittle = s->brittle;
}

bool balance_put_upstream(balance_t *b, const balance_spec_t *spec,
			  mstime_t now)
{
	balance_upstream_t *u = g_hash_table_lookup(b->by_id, spec->id);
	bool changed = !u || !is_same_entry_(u, spec) ||
		       (spec->cold_until > now && u->cold_until <= now);
	bool replaced = u && u->start_id != spec->start_id;

	assert(spec->slots > 0);
	if (u && (u->start_id != spec->start_id ||
		  strcmp(u->service, spec->service) != 0 ||
		  strcmp(u->address, spec->address) != 0 ||
		  strcmp(u->version, spec->version ? spec->version : "") != 0 ||
		  strcmp(u->data_centre, spec->data_centre) != 0)) {
		balance_remove_upstream(b, spec->id);
		u = NULL;
	}
	if (!u) {
		u = g_new0(balance_upstream_t, 1);
		u->local_id = ++b->last_local_id;
		u->id = g_strdup(spec->id);
		u->service = g_strdup(spec->service);
		u->address = g_strdup(spec->address);
		u->data_centre = g_strdup(spec->data_centre);
		u->version = g_strdup(spec->version ? spec->version : "");
		u->version_key = versions_key(u->service, u->version);
		u->start_id = spec->start_id;
		u->hash = str_hash64(str_of(spec->id), 0);
		u->nameless_until = spec->start_id ? 0 : MSTIME_NEVER;
		u->replaced_at = replaced ? now : 0;
		u->key = (uint32_t)str_hash64(str_of(spec->id), spec->start_id);
		restore_statement_(b, u);
		g_hash_table_insert(b->by_id, u->id, u);
		g_hash_table_insert(b->by_key, GUINT_TO_POINTER(u->key), u);
	}
	u->slots = spec->slots;
	u->leaving = spec->leaving || u->announced_leaving;
	set_cold_until_(u, spec->cold_until, now);
	return changed;
}

bool balance_remove_upstream(balance_t *b, const char *id)
{
	const balance_upstream_t *u = g_hash_table_lookup(b->by_id, id);
	balance_statement_t *s;

	if (!u)
		return false;
	s = g_hash_table_lookup(b->statements, GUINT_TO_POINTER(u->key));
	/* What was spent of the rate since it was named. */
	if (s) {
		s->rate_limit = u->rate_limit;
		s->brittle = u->brittle;
	}
	if (b->warmth)
		warmth_remove_upstream(b->warmth, u->key);
	g_hash_table_remove(b->by_key, GUINT_TO_POINTER(u->key));
	return g_hash_table_remove(b->by_id, id);
}

void balance_record_alive(balance_t *b, uint32_t key, mstime_t at)
{
	balance_upstream_t *u =
		g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(key));

	if (u)
		u->alive_at = MAX(u->alive_at, at);
}

void balance_set_contested(balance_t *b, const char *id, bool contested)
{
	balance_upstream_t *u;

	assert(b && id);
	u = g_hash_table_lookup(b->by_id, id);
	if (u)
		u->contested = contested;
}

static mstime_t alive_at_(const balance_t *b, const balance_upstream_t *u)
{
	bool vouches = !u->removed && !u->contested &&
		       b->entries_alive_at >= u->replaced_at;

	return vouches ? MAX(u->alive_at, b->entries_alive_at) : u->alive_at;
}

bool balance_is_start(const balance_t *b, const balance_upstream_t *u,
		      mstime_t since, uint64_t named)
{
	assert(b && u);
	if (named)
		return named == u->start_id;
	return since <= alive_at_(b, u);
}

static uint64_t address_hash_(const balance_upstream_t *u)
{
	return str_hash64(str_of(u->address), 0);
}

void balance_describe_begin(const balance_upstream_t *u, mstime_t since,
			    uint64_t named, balance_begin_t *out)
{
	bool other = named && named != u->start_id;

	assert(u && out);
	*out = (balance_begin_t){ .id = u->hash,
				  .address = address_hash_(u),
				  .start_id = other ? named : u->start_id,
				  .version = other ? 0 : u->version_key,
				  .since = since };
}

bool balance_is_at(const balance_upstream_t *u, const balance_begin_t *begin)
{
	assert(u && begin);
	return address_hash_(u) == begin->address;
}

const balance_upstream_t *balance_find_begin(const balance_t *b,
					     const balance_begin_t *begin)
{
	GHashTableIter iter;
	gpointer value;

	assert(b && begin);
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const balance_upstream_t *)value)->hash == begin->id)
			return value;
	}
	return NULL;
}

/* Whether a later upstream has the address. */
static bool is_replaced_(const balance_t *b, const balance_begin_t *begin)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (u->hash != begin->id && u->start_id > begin->start_id &&
		    balance_is_at(u, begin))
			return true;
	}
	return false;
}

/* The version of a start is in its entry, once that has come. */
static balance_trust_t check_named_(const balance_upstream_t *u,
				    const balance_begin_t *begin,
				    uint32_t *version)
{
	if (!u || u->start_id < begin->start_id)
		return BALANCE_TRUST_UNSURE;
	if (u->start_id > begin->start_id)
		return BALANCE_TRUST_NONE;
	*version = u->version_key;
	return BALANCE_TRUST_SURE;
}

balance_trust_t balance_check_start(const balance_t *b,
				    const balance_begin_t *begin,
				    uint32_t *version)
{
	const balance_upstream_t *u = balance_find_begin(b, begin);

	if (!begin->version)
		return check_named_(u, begin, version);
	*version = begin->version;
	/* A later start under the id may not have written its entry yet. */
	if (!u)
		return is_replaced_(b, begin) ? BALANCE_TRUST_SURE
					      : BALANCE_TRUST_UNSURE;
	if (u->start_id != begin->start_id || u->version_key != begin->version)
		return BALANCE_TRUST_NONE;
	if (balance_is_start(b, u, begin->since, 0) || is_replaced_(b, begin))
		return BALANCE_TRUST_SURE;
	return BALANCE_TRUST_UNSURE;
}

balance_trust_t balance_trust(const balance_upstream_t *u, mstime_t now)
{
	if (u->refuted)
		return BALANCE_TRUST_REFUTED;
	if (u->proven)
		return BALANCE_TRUST_SURE;
	if (now >= u->nameless_until)
		return BALANCE_TRUST_UNKNOWN;
	return u->ended ? BALANCE_TRUST_REFUTED : BALANCE_TRUST_UNSURE;
}

const balance_upstream_t *balance_find_key(const balance_t *b, uint32_t key)
{
	assert(b);
	return g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(key));
}

bool balance_has_refuted(const balance_t *b, const char *service)
{
	GHashTableIter iter;
	gpointer value;

	assert(b && service);
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (u->refuted && !strcmp(u->service, service))
			return true;
	}
	return false;
}

bool balance_has_version(const balance_t *b, uint32_t version)
{
	GHashTableIter iter;
	gpointer value;

	assert(b);
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const balance_upstream_t *)value)->version_key == version)
			return true;
	}
	return false;
}

/* The same start of an upstream, if its entry was away since. */
static balance_upstream_t *present_(const balance_t *b, balance_upstream_t *u)
{
	balance_upstream_t *present =
		g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(u->key));

	return present ? present : u;
}

static gboolean has_expired_(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((const balance_statement_t *)value)->kept_until <=
	       *(const mstime_t *)now;
}

static void keep_statement_(balance_t *b, const balance_upstream_t *u,
			    mstime_t now)
{
	balance_statement_t *s =
		g_hash_table_lookup(b->statements, GUINT_TO_POINTER(u->key));

	if (!s) {
		g_hash_table_foreach_remove(b->statements, has_expired_, &now);
		s = g_new(balance_statement_t, 1);
		g_hash_table_insert(b->statements, GUINT_TO_POINTER(u->key), s);
	}
	*s = (balance_statement_t){ now + STATEMENT_KEEP_MS,
				    u->announced_leaving, u->rate_limit,
				    u->brittle };
}

bool balance_name_rate(balance_t *b, balance_upstream_t *u, double per_s,
		       mstime_t now)
{
	bool changed;

	u = present_(b, u);
	u->reports_rate = true;
	u->reported_per_s = per_s;
	changed = rate_limit_name(&u->rate_limit, per_s, now);
	keep_statement_(b, u, now);
	return changed;
}

bool balance_omit_rate(balance_t *b, balance_upstream_t *u, mstime_t sent_at,
		       mstime_t now)
{
	u = present_(b, u);
	u->reports_rate = true;
	u->reported_per_s = -1;
	if (!rate_limit_omit(&u->rate_limit, sent_at, now))
		return false;
	keep_statement_(b, u, now);
	return true;
}

bool balance_name_brittle(balance_t *b, balance_upstream_t *u, int turned_per_s,
			  mstime_t now)
{
	bool changed;

	u = present_(b, u);
	u->reports_brittle = true;
	u->reported_turned_per_s = turned_per_s;
	changed = brittle_name(&u->brittle, turned_per_s, now);
	keep_statement_(b, u, now);
	return changed;
}

bool balance_omit_brittle(balance_t *b, balance_upstream_t *u, mstime_t sent_at,
			  mstime_t now)
{
	u = present_(b, u);
	u->reports_brittle = true;
	u->reported_turned_per_s = -1;
	if (!brittle_omit(&u->brittle, sent_at))
		return false;
	keep_statement_(b, u, now);
	return true;
}

void balance_share_rates(balance_t *b, const uint64_t *keys, guint count,
			 guint own, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (count >= b->most_nodes || now >= b->most_nodes_until) {
		b->most_nodes = count;
		b->most_nodes_until = now + FEWER_NODES_MS;
	}
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		balance_upstream_t *u = value;
		rate_limit_t *l = &u->rate_limit;

		if (l->active)
			l->holder_share = rate_limit_share(keys, count, own,
							   u->key, l->per_s);
		if (u->brittle.active)
			brittle_share(&u->brittle, keys, count, own, u->key,
				      u->slots, b->most_nodes);
	}
}

bool balance_announce_leaving(balance_t *b, balance_upstream_t *u, mstime_t now)
{
	assert(b && u);
	u = present_(b, u);
	if (u->announced_leaving)
		return false;
	u->announced_leaving = true;
	u->leaving = true;
	keep_statement_(b, u, now);
	return true;
}

void balance_set_service_limits(balance_t *b, const char *service,
				const balance_service_t *limits)
{
	balance_service_t *s = g_new(balance_service_t, 1);

	*s = *limits;
	g_hash_table_replace(b->services, g_strdup(service), s);
}

void balance_set_drained(balance_t *b, const char *data_centre, bool drained,
			 mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (drained) {
		g_hash_table_add(b->drained, g_strdup(data_centre));
		return;
	}
	if (!g_hash_table_remove(b->drained, data_centre))
		return;
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		balance_upstream_t *u = value;

		if (!strcmp(u->data_centre, data_centre))
			set_cold_until_(u, now + DRAIN_SLOW_START_MS, now);
	}
}

bool balance_has_fresh_report(const balance_upstream_t *u, mstime_t now)
{
	return u->reported_at && now - u->reported_at < REPORT_VALID_MS;
}

static void record_outcome_(balance_upstream_t *u, bool failed)
{
	u->failure_rate +=
		OUTCOME_WEIGHT * ((failed ? 1.0 : 0.0) - u->failure_rate);
	u->outcome_count++;
}

void balance_end_request(balance_upstream_t *u, balance_outcome_t outcome,
			 mstime_t latency_ms, mstime_t now)
{
	assert(u->own_outstanding > 0);
	balance_count_own(u, -1, now);
	if (outcome == BALANCE_OK || outcome == BALANCE_FAILED)
		record_outcome_(u, outcome == BALANCE_FAILED);
	if (outcome == BALANCE_SHED) {
		record_outcome_(u, true);
		brittle_turned_away(&u->brittle, now);
	}
	if (latency_ms >= 0 && u->latency_ms > 0)
		u->latency_ms +=
			LATENCY_WEIGHT * ((double)latency_ms - u->latency_ms);
	else if (latency_ms >= 0)
		u->latency_ms = (double)MAX(1, latency_ms);
	balance_free_if_unused(u);
}

void balance_record_hold(balance_upstream_t *u, mstime_t total_ms)
{
	/* Of that time it waited while others were in the slots. */
	int load = MAX(u->slots, u->own_outstanding + u->remote_outstanding);
	double ms = MAX(1.0, (double)total_ms * u->slots / load);

	assert(total_ms >= 0);
	u->least_ms =
		u->least_ms > 0 ? MIN(u->least_ms * LEAST_GROWTH, ms) : ms;
	u->hold_ms += (u->hold_ms > 0 ? LATENCY_WEIGHT : 1) * (ms - u->hold_ms);
}

void balance_count_overdue(balance_upstream_t *u)
{
	record_outcome_(u, true);
}

void balance_eject(balance_upstream_t *u, mstime_t until)
{
	u->ejected_until = MAX(u->ejected_until, until);
}

void balance_apply_report(balance_upstream_t *u, int outstanding, int slots,
			  mstime_t now)
{
	balance_set_remote(u, MAX(0, outstanding - u->own_outstanding), now);
	if (slots > 0)
		u->slots = slots;
}

double balance_total_outstanding(const balance_t *b, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;
	guint reported = 0;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (!balance_has_fresh_report(u, now))
			continue;
		sum += u->own_outstanding + u->remote_outstanding;
		reported++;
	}
	/* Those without a fresh report are assumed to be like the others. */
	return reported ? sum * g_hash_table_size(b->by_id) / reported : 0;
}

double balance_mean_latency(const balance_t *b, const char *service)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;
	int n = 0;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (u->latency_ms <= 0 || strcmp(u->service, service) != 0)
			continue;
		sum += u->latency_ms;
		n++;
	}
	return n ? sum / n : 0;
}

double balance_capacity(const balance_t *b, const char *service)
{
	GHashTableIter iter;
	gpointer value;
	double hold_ms = 0;
	int slots = 0;
	int n = 0;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (u->leaving || strcmp(u->service, service) != 0)
			continue;
		slots += u->slots;
		hold_ms += u->hold_ms;
		n += u->hold_ms > 0;
	}
	return n ? slots * MSEC_PER_SEC / (hold_ms / n) : 0;
}
