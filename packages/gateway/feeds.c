#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* Time without a response from the platform that counts as an outage. */
#define OUTAGE_MIN_MS 2200
/* After a restore of the log, operators and upstreams write again what they
 * last wrote; upstreams do so once a second.
 */
#define DROP_OLDER_MS 6000
/* Data of this age, in parts of the limit for platform changes, is as recent as
 * reads and copies make it; older data is of an outage.
 */
#define CURRENT_AGE_FRACTION 0.8
/* A read that takes longer has waited for a record. */
#define WAITED_MIN_MS 60
/* A restored log may bring back an upstream's entry from some seconds ago. */
#define REMOVAL_KEEP_MS 60000
/* Upstreams write their entries each second or so, and an entry lapses after
 * three that are missing.
 */
#define ENTRY_LAPSE_MS 4500
/* A start whose clock went back is told again and again for this long. */
#define RETOLD_MS 10000
/* Nodes that differ in the start of an upstream compare all they know after
 * this; by then one that lives has written several times.
 */
#define DIFFER_MAX_MS 5000
/* A node that starts, or sees a new epoch, asks for a copy for this long; then
 * there is no other node.
 */
#define FIRST_COPY_MAX_MS 2000
/* An outage expires many entries at once; removals of fewer than this fraction
 * of the upstreams are genuine.
 */
#define EXPIRED_MIN_FRACTION 0.25

const char *const feed_string[] = { "operators", "upstreams", "nodes",
				    "streams" };

const char *const feed_source_string[] = { "platform", "node" };

const char *const feed_err_string[] = {
	"ok",
	"no response",
	"malformed response",
	"history expired",
	"record rejected",
	"another record came first",
};

static void entry_free_(gpointer p)
{
	feed_entry_t *e = p;

	g_free(e->key);
	if (e->data)
		g_bytes_unref(e->data);
	g_free(e);
}

void feeds_init(gateway_t *g)
{
	g->first_copy_until = clock_now() + FIRST_COPY_MAX_MS;
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->feed_states[i];

		*s = (feed_state_t){ .gateway = g, .feed = (feed_t)i };
		s->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, entry_free_);
		s->outage_from = clock_now();
	}
}

void feeds_finish(gateway_t *g)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		g_hash_table_destroy(g->feed_states[i].entries);
		g_free(g->feed_states[i].scan_after);
	}
}

/* False if the table is not newer than the one in force. */
static bool apply_route_table_(feed_state_t *s, route_table_t *table,
			       uint64_t offset)
{
	gateway_t *g = s->gateway;

	if (g->table && table->version <= g->table->version) {
		LOG_EVENT(LOG_INFO, "config.older",
			  F_INT("version", (int64_t)table->version),
			  F_INT("in_force", (int64_t)g->table->version));
		route_table_unref(table);
		return false;
	}
	LOG_EVENT(LOG_NOTICE, "config.in_force",
		  F_INT("version", (int64_t)table->version),
		  F_INT("offset", (int64_t)offset),
		  F_STR("source", feed_source_string[s->source]),
		  F_INT("routes", table->routes->len),
		  F_INT("keys", g_hash_table_size(table->customers)));
	route_table_unref(g->table);
	g->table = table;
	resumes_apply_table(g);
	counter_add(COUNTER_CONFIG_APPLIED, 1);
	counter_set(GAUGE_APPLIED_OFFSET, (int64_t)offset);
	for (guint i = 0; i < table->services->len; i++) {
		const routing_service_t *service = table->services->pdata[i];
		balance_service_t limits = { service->cold_per_s };

		balance_set_service_limits(&g->balance, service->name, &limits);
	}
	return true;
}

static rollouts_news_t news_(const feed_state_t *s, const feed_record_t *r,
			     mstime_t now)
{
	mstime_t age_max =
		gateway_limit_fraction_ms(s->gateway, CURRENT_AGE_FRACTION);
	mstime_t waited = now - s->requested_at;

	return (rollouts_news_t){
		.offset = r->offset,
		.fresh = s->loaded && now - s->current_as_of <= age_max,
		/* A read that waits is answered when a record is written. */
		.prompt = s->loaded && s->source == FEED_FROM_PLATFORM &&
			  !s->scanning && waited >= WAITED_MIN_MS,
		.written_after = s->loaded ? s->current_as_of : 0,
	};
}

/* False if the record is rejected, and the one before it stays in force. */
static bool apply_operator_record_(feed_state_t *s, const feed_record_t *r,
				   mstime_t now)
{
	gateway_t *g = s->gateway;
	operator_change_t change;
	rollouts_news_t news;

	g->protocol->parse_operator_record(r, &change);
	switch (change.kind) {
	case CHANGE_NONE:
		break;
	case CHANGE_INVALID:
		counter_add(COUNTER_CONFIG_REJECTED, 1);
		LOG_EVENT(LOG_WARNING, "config.unreadable",
			  F_VIEW("key", r->key), F_STR("error", change.error),
			  F_INT("offset", (int64_t)r->offset));
		return false;
	case CHANGE_ROUTE_TABLE:
		return apply_route_table_(s, change.table, r->offset);
	case CHANGE_DATA_CENTRE:
		LOG_EVENT(LOG_NOTICE, "data_centre.out",
			  F_STR("data_centre", change.data_centre),
			  F_INT("out", change.drained),
			  F_INT("offset", (int64_t)r->offset),
			  F_STR("source", feed_source_string[s->source]));
		balance_set_drained(&g->balance, change.data_centre,
				    change.drained, now);
		break;
	case CHANGE_ROLLOUT:
		news = news_(s, r, now);
		rollouts_apply_order(&g->rollouts, &change.rollout, &news, now);
		break;
	}
	return true;
}

static void remove_upstream_(feed_state_t *s, const char *id, uint64_t offset,
			     const char *why)
{
	if (balance_remove_upstream(&s->gateway->balance, id))
		LOG_EVENT(LOG_NOTICE, "upstream.gone", F_STR("upstream", id),
			  F_STR("why", why), F_INT("offset", (int64_t)offset),
			  F_STR("source", feed_source_string[s->source]));
}

static void log_entry_(const feed_state_t *s, const balance_spec_t *spec,
		       const feed_record_t *r, mstime_t now)
{
	const balance_upstream_t *u =
		g_hash_table_lookup(s->gateway->balance.by_id, spec->id);
	char key[16];

	g_snprintf(key, sizeof(key), "%08x", u->key);
	LOG_EVENT(LOG_NOTICE, "upstream.entry", F_STR("upstream", spec->id),
		  F_STR("service", spec->service),
		  F_STR("address", spec->address),
		  F_STR("data_centre", spec->data_centre),
		  F_STR("version", u->version), F_INT("leaving", spec->leaving),
		  F_INT("cold_ms", MAX(0, spec->cold_until - now)),
		  F_INT("start", (int64_t)spec->start_id), F_STR("key", key),
		  F_INT("offset", (int64_t)r->offset),
		  F_STR("source", feed_source_string[s->source]));
}

static uint64_t epoch_(const feed_state_t *s, const feed_record_t *r)
{
	return r->epoch ? r->epoch : s->epoch;
}

static void record_alive_(const feed_state_t *s, const char *id,
			  const feed_record_t *r)
{
	balance_t *b = &s->gateway->balance;
	const balance_upstream_t *u = g_hash_table_lookup(b->by_id, id);

	/* What is corrected was not written at its offset. */
	if (s->end_at && !r->corrected && r->offset >= s->end_offset &&
	    epoch_(s, r) == s->epoch)
		balance_record_alive(b, u->key, s->end_at);
}

/* False if the record is only a heartbeat. */
static bool apply_upstream_entry_(feed_state_t *s, feed_entry_t *e,
				  const feed_record_t *r, mstime_t now)
{
	gateway_t *g = s->gateway;
	json_t *holder = NULL;
	balance_spec_t spec;
	bool changed = true;

	if (!g->protocol->parse_upstream_record(r, now, &spec, &holder)) {
		LOG_EVENT(LOG_WARNING, "upstream.unreadable",
			  F_STR("upstream", e->key),
			  F_INT("offset", (int64_t)r->offset));
		remove_upstream_(s, e->key, r->offset, "entry unreadable");
	} else {
		spec.id = e->key;
		/* What is corrected was not written at its offset. */
		start_order_put(&e->order, spec.start_id, spec.heartbeat,
				r->corrected ? 0 : now);
		start_order_tell(&e->order, r->overruled);
		changed = balance_put_upstream(&g->balance, &spec, now);
		if (!e->order.disputed && !r->contested)
			record_alive_(s, spec.id, r);
		resumes_observe(g, e->key, now);
		if (changed)
			log_entry_(s, &spec, r, now);
	}
	json_decref(holder);
	return changed;
}

/* Whether a removal may only be an entry that expired in an outage and will be
 * republished.
 */
static bool defer_removal_(feed_state_t *s, const char *id, mstime_t now)
{
	guint known = g_hash_table_size(s->gateway->balance.by_id);

	if (now >= s->defer_until ||
	    ++s->removals_since_outage < known * EXPIRED_MIN_FRACTION)
		return false;
	LOG_EVENT(LOG_NOTICE, "upstream.held", F_STR("upstream", id),
		  F_INT("removals", s->removals_since_outage),
		  F_INT("for_ms", s->defer_until - now));
	return true;
}

/* False if the record is only a heartbeat. */
static bool apply_upstream_record_(feed_state_t *s, feed_entry_t *e,
				   const feed_record_t *r, mstime_t now)
{
	if (!r->removed)
		return apply_upstream_entry_(s, e, r, now);
	e->removed_at = now;
	if (r->start_id)
		start_order_put(&e->order, r->start_id, r->heartbeat, now);
	if (!g_hash_table_contains(s->gateway->balance.by_id, e->key))
		return true;
	if (!defer_removal_(s, e->key, now))
		remove_upstream_(s, e->key, r->offset, "entry removed");
	return true;
}

/* What a record of an upstream says of its place among others. */
typedef struct upstream_word {
	uint64_t start_id;
	uint64_t heartbeat;
	bool leaving;
} upstream_word_t;

/* False if the record cannot be read. */
static bool read_word_(const feed_state_t *s, const feed_record_t *r,
		       mstime_t now, upstream_word_t *out)
{
	json_t *holder = NULL;
	balance_spec_t spec;
	bool ok;

	*out = (upstream_word_t){ r->start_id, r->heartbeat };
	if (r->removed)
		return true;
	ok = s->gateway->protocol->parse_upstream_record(r, now, &spec,
							 &holder);
	if (ok)
		*out = (upstream_word_t){ spec.start_id, spec.heartbeat,
					  spec.leaving };
	json_decref(holder);
	return ok;
}

/* Order against what is known: by start, then by heartbeat. */
static int compare_word_(const upstream_word_t *w, const feed_entry_t *e,
			 const feed_record_t *r)
{
	if (r->overruled && r->overruled >= e->order.start_id &&
	    w->start_id != e->order.start_id)
		return 1;
	return start_order_compare(&e->order, w->start_id, w->heartbeat);
}

/*
 * Whether the record is of a start that has come since, with a clock that is
 * behind. Other nodes send what they have in force; what they go on to send,
 * and nobody disputes, is so.
 */
static bool prevails_(const feed_state_t *s, feed_entry_t *e,
		      const feed_record_t *r, const upstream_word_t *w,
		      mstime_t now)
{
	const balance_upstream_t *u =
		g_hash_table_lookup(s->gateway->balance.by_id, e->key);
	bool told = s->source == FEED_FROM_NODE;
	bool left = told || !u || u->leaving;

	if (w->start_id == e->order.start_id ||
	    (told && (r->corrected || r->contested)))
		return false;
	return start_order_contend(&e->order, w->start_id, w->heartbeat, left,
				   now);
}

void feeds_observe_version(gateway_t *g, const feed_record_t *r,
			   feed_source_t source, mstime_t now)
{
	json_t *holder = NULL;
	balance_spec_t spec;

	if (!r->removed &&
	    g->protocol->parse_upstream_record(r, now, &spec, &holder))
		resumes_hear_version(g, spec.service, spec.version, now,
				     feed_source_string[source]);
	json_decref(holder);
}

/*
 * Whether an upstream has said something newer before. A write that the
 * platform did not answer may be carried out late, after later ones.
 */
static bool is_overtaken_(const feed_state_t *s, feed_entry_t *e,
			  const feed_record_t *r, mstime_t now)
{
	bool removed = e->removed_at && !e->data;
	upstream_word_t w;
	int order;

	if (r->removed || !read_word_(s, r, now, &w))
		return false;
	order = compare_word_(&w, e, r);
	if (order > 0 || (order < 0 && prevails_(s, e, r, &w, now)))
		return false;
	/* What an upstream said before its removal does not bring it back, if
	 * it counts what it says.
	 */
	if (!order && !(removed && e->order.heartbeat))
		return false;
	/* A start that has said so leaves, whenever that is read. */
	if (!removed && w.leaving && w.start_id == e->order.start_id)
		return false;
	feeds_observe_version(s->gateway, r, s->source, now);
	LOG_EVENT(LOG_NOTICE, "upstream.overtaken", F_STR("upstream", e->key),
		  F_INT("offset", (int64_t)r->offset),
		  F_INT("start", (int64_t)w.start_id),
		  F_INT("known_start", (int64_t)e->order.start_id),
		  F_INT("heartbeat", (int64_t)w.heartbeat),
		  F_INT("known_heartbeat", (int64_t)e->order.heartbeat),
		  F_INT("removed", removed),
		  F_STR("source", feed_source_string[s->source]));
	return true;
}

static void store_data_(feed_entry_t *e, const feed_record_t *r)
{
	g_clear_pointer(&e->data, g_bytes_unref);
	if (!r->removed)
		e->data = g_bytes_new(r->data.data, r->data.len);
}

/* False if the content is rejected and the one before it stays in force. */
static bool apply_content_(feed_state_t *s, feed_entry_t *e,
			   const feed_record_t *r, mstime_t now, bool *changed)
{
	*changed = true;
	switch (s->feed) {
	case FEED_OPERATORS:
		*changed = apply_operator_record_(s, r, now);
		return *changed;
	case FEED_UPSTREAMS:
		*changed = false;
		if (is_overtaken_(s, e, r, now))
			return false;
		*changed = apply_upstream_record_(s, e, r, now);
		return true;
	case FEED_STREAMS:
		if (!r->removed)
			stream_log_apply(s->gateway, r->data, now);
		return true;
	case FEED_NODES:
		rollouts_apply_status(&s->gateway->rollouts, r, now);
		return true;
	default:
		return true;
	}
}

/* Another node has something else in force. */
static void note_differs_(feed_state_t *s, mstime_t now)
{
	if (s->feed == FEED_UPSTREAMS && s->source == FEED_FROM_NODE &&
	    !s->ask_all_at)
		s->ask_all_at = now + DIFFER_MAX_MS;
}

static void set_contested_(feed_state_t *s, feed_entry_t *e, bool contested)
{
	e->contested = contested;
	if (s->feed == FEED_UPSTREAMS)
		balance_set_contested(&s->gateway->balance, e->key, contested);
}

/* Others may copy from nodes in turn that differ until then. */
static bool is_retold_(const feed_entry_t *e, mstime_t now)
{
	return e->order.overruled && now - e->order.since < RETOLD_MS;
}

static void record_change_(feed_state_t *s, feed_entry_t *e)
{
	if (e->epoch != s->epoch)
		return;
	e->change_offset = e->offset;
	s->changes_end = MAX(s->changes_end, e->offset + 1);
}

/*
 * Applies a record that is newer than its entry. Only data in force is stored,
 * as sync responses are built from it.
 */
static void apply_(feed_state_t *s, feed_entry_t *e, const feed_record_t *r,
		   mstime_t now)
{
	bool changed;
	bool in_force = apply_content_(s, e, r, now, &changed);
	bool was_corrected = e->corrected;
	bool was_contested = e->contested;

	e->epoch = epoch_(s, r);
	e->offset = r->offset;
	/* Other nodes get the content in force with the rejected offset. */
	e->corrected =
		r->corrected || (!in_force && (e->data || e->removed_at));
	if (in_force)
		store_data_(e, r);
	if (!in_force)
		note_differs_(s, now);
	if (s->source == FEED_FROM_NODE)
		start_order_set_disputed(&e->order,
					 e->corrected || r->contested);
	set_contested_(s, e, e->corrected || e->order.disputed);
	if (changed || e->corrected || was_corrected ||
	    e->contested != was_contested || is_retold_(e, now))
		record_change_(s, e);
}

/* Whether a record of an upstream says less than what is known of it. */
static bool is_older_upstream_(const feed_state_t *s, const feed_entry_t *e,
			       const feed_record_t *r, mstime_t now)
{
	upstream_word_t w;
	int order;

	if (!read_word_(s, r, now, &w))
		return true;
	order = compare_word_(&w, e, r);
	/* A removal comes after the last heartbeat. */
	return r->removed ? order < 0 : order <= 0;
}

/* Whether a record of operators has a version of its own. */
static bool is_versioned_(const feed_state_t *s, const feed_record_t *r)
{
	operator_change_t change;

	s->gateway->protocol->parse_operator_record(r, &change);
	if (change.kind != CHANGE_ROUTE_TABLE)
		return false;
	route_table_unref(change.table);
	return true;
}

/*
 * The epochs of a record and its entry differ, so that one of them may be of an
 * older copy of the log. The content decides which one is newer: the version of
 * a configuration, start and heartbeat of an upstream.
 *
 * Return: whether the record is to be applied.
 */
static bool is_newer_content_(feed_state_t *s, const feed_entry_t *e,
			      const feed_record_t *r, mstime_t now)
{
	bool later = epoch_(s, r) > e->epoch;

	/* A removal is not in a copy of the latest records: it was written. */
	if (later && r->removed)
		return true;
	switch (s->feed) {
	case FEED_UPSTREAMS:
		return !is_older_upstream_(s, e, r, now);
	case FEED_OPERATORS:
		return later || is_versioned_(s, r);
	case FEED_NODES:
	default:
		return later;
	}
}

/* It is of an older copy, or of a start whose clock went back. */
static bool is_of_other_start_(const feed_state_t *s, const feed_entry_t *e,
			       const feed_record_t *r, mstime_t now)
{
	upstream_word_t w;

	return s->feed == FEED_UPSTREAMS && read_word_(s, r, now, &w) &&
	       w.start_id != e->order.start_id;
}

/* Merges a record of another epoch than its entry. */
static void merge_(feed_state_t *s, feed_entry_t *e, const feed_record_t *r,
		   mstime_t now)
{
	bool later = epoch_(s, r) > e->epoch;
	bool newer = is_newer_content_(s, e, r, now);
	bool changed;

	if (s->feed == FEED_UPSTREAMS)
		feeds_observe_version(s->gateway, r, s->source, now);
	if (later && newer) {
		apply_(s, e, r, now);
		/* Nodes that copy know it as of the older epoch. */
		record_change_(s, e);
		return;
	}
	if (!later && !newer)
		return;
	if (later) {
		e->epoch = epoch_(s, r);
		e->offset = r->offset;
	} else {
		if (!apply_content_(s, e, r, now, &changed))
			return;
		store_data_(e, r);
	}
	if (later)
		note_differs_(s, now);
	if (later && is_of_other_start_(s, e, r, now))
		start_order_set_disputed(&e->order, true);
	/* The log's record is of an older copy. */
	e->corrected = true;
	set_contested_(s, e, true);
	record_change_(s, e);
}

/* Order of a record against its entry, of the same epoch. */
static bool is_newer_(const feed_entry_t *e, const feed_record_t *r)
{
	if (e->offset != r->offset)
		return e->offset < r->offset;
	return r->corrected && !e->corrected;
}

void feeds_apply_record(feed_state_t *s, const feed_record_t *r, mstime_t now)
{
	char *key = str_dup(r->key);
	feed_entry_t *e = g_hash_table_lookup(s->entries, key);
	bool scanned = s->scanning && s->source == s->scan_source;

	if (epoch_(s, r) < s->epoch && !s->drop_older_at)
		s->drop_older_at = now + DROP_OLDER_MS;
	if (!e) {
		e = g_new0(feed_entry_t, 1);
		e->key = g_strdup(key);
		e->seen = scanned;
		g_hash_table_insert(s->entries, e->key, e);
		apply_(s, e, r, now);
	} else {
		e->seen = e->seen || scanned;
		if (e->epoch != epoch_(s, r))
			merge_(s, e, r, now);
		else if (is_newer_(e, r))
			apply_(s, e, r, now);
		else if (s->feed == FEED_UPSTREAMS && r->offset < e->offset)
			feeds_observe_version(s->gateway, r, s->source, now);
	}
	g_free(key);
}

/* All entries that are there were written within the time that they last. */
static void record_all_alive_(feed_state_t *s)
{
	balance_t *b = &s->gateway->balance;

	if (clock_now() >= s->defer_until)
		b->entries_alive_at = MAX(b->entries_alive_at,
					  s->current_as_of - ENTRY_LAPSE_MS);
}

mstime_t feeds_known_to(const gateway_t *g, feed_t feed)
{
	return g->feed_states[feed].current_as_of;
}

void feeds_set_current(feed_state_t *s, mstime_t as_of, uint64_t next_offset)
{
	s->next_offset = MAX(s->next_offset, next_offset);
	s->current_as_of = MAX(s->current_as_of, as_of);
	s->outage_from = MAX(s->outage_from, as_of);
	if (s->feed == FEED_UPSTREAMS) {
		record_all_alive_(s);
		versions_watch(&s->gateway->versions, s->current_as_of);
	}
	if (!s->loaded)
		LOG_EVENT(LOG_NOTICE, "feed.loaded",
			  F_STR("feed", feed_string[s->feed]),
			  F_INT("next", (int64_t)s->next_offset),
			  F_INT("keys", g_hash_table_size(s->entries)),
			  F_STR("source", feed_source_string[s->source]));
	s->loaded = true;
	s->complete = true;
}

void feeds_set_end(feed_state_t *s, uint64_t end_offset, mstime_t at)
{
	s->end_offset = end_offset;
	s->end_at = at;
}

/* Entries of an older epoch are given time to be written again. */
static bool is_kept_unseen_(feed_state_t *s, const feed_entry_t *e)
{
	return e->epoch == s->epoch ? e->offset >= s->scan_end
				    : s->feed != FEED_NODES;
}

/* Removes keys that a completed scan has not found; their number. */
static int remove_unseen_(feed_state_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	int removed = 0;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		feed_entry_t *e = value;
		feed_record_t r = { .key = str_of(e->key), .removed = true };

		if (e->seen || !e->data || is_kept_unseen_(s, e))
			continue;
		r.offset = MAX(s->scan_end, 1) - 1;
		apply_(s, e, &r, now);
		removed++;
	}
	return removed;
}

/* The latest records do not tell what came and went since. */
static void skip_versions_(feed_state_t *s)
{
	versions_t *versions = &s->gateway->versions;

	if (s->loaded && !versions_is_restoring(versions))
		versions_skip(versions, clock_now());
	else
		versions_see_from(versions, VERSIONS_NOWHERE, clock_now());
}

/* The latest entries up to an offset were read in a scan. */
static void rescan_versions_(feed_state_t *s, uint64_t end, mstime_t as_of,
			     mstime_t now)
{
	versions_t *versions = &s->gateway->versions;

	/* A copy that came meanwhile has led less far. */
	if (s->loaded && end > s->next_offset &&
	    versions_is_complete(versions, now))
		versions_skip(versions, now);
	versions_rescan(versions, as_of - s->current_as_of, now);
	versions_see_from(versions, end, now);
}

/* Without the scan, reads go on where they were. */
static void resume_versions_(feed_state_t *s)
{
	if (s->feed == FEED_UPSTREAMS && s->complete)
		versions_see_from(&s->gateway->versions, s->next_offset,
				  clock_now());
}

void feeds_begin_scan(feed_state_t *s)
{
	GHashTableIter iter;
	gpointer value;

	if (s->feed == FEED_UPSTREAMS)
		skip_versions_(s);
	s->scanning = true;
	s->scan_source = s->source;
	s->scan_end = 0;
	g_clear_pointer(&s->scan_after, g_free);
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((feed_entry_t *)value)->seen = false;
}

void feeds_cancel_scan(feed_state_t *s)
{
	if (!s->scanning)
		return;
	if (s->call)
		http_call_cancel(s->call);
	s->call = NULL;
	s->scanning = false;
	g_clear_pointer(&s->scan_after, g_free);
	resume_versions_(s);
}

void feeds_end_scan(feed_state_t *s, uint64_t end, mstime_t as_of, mstime_t now)
{
	int removed;

	s->scanning = false;
	s->scan_end = end;
	if (s->feed == FEED_UPSTREAMS)
		rescan_versions_(s, end, as_of, now);
	removed = remove_unseen_(s, now);
	/* Later scans of an epoch give its older entries no more time. */
	if (!s->complete || !s->drop_older_at)
		s->drop_older_at = now + DROP_OLDER_MS;
	LOG_EVENT(LOG_NOTICE, "feed.scanned",
		  F_STR("feed", feed_string[s->feed]),
		  F_STR("source", feed_source_string[s->source]),
		  F_INT("end", (int64_t)end),
		  F_INT("known_to", (int64_t)s->next_offset),
		  F_INT("keys", g_hash_table_size(s->entries)),
		  F_INT("removed", removed), F_INT("ms", now - as_of));
	s->removals_complete_from = MAX(s->removals_complete_from, end);
	feeds_set_current(s, as_of, end);
}

void feeds_defer_removals(feed_state_t *s, mstime_t until)
{
	if (until <= s->defer_until)
		return;
	if (!s->defer_until)
		s->removals_since_outage = 0;
	s->defer_until = until;
}

void feeds_record_request(feed_state_t *s, mstime_t interval_ms, mstime_t now)
{
	if (!s->down)
		s->outage_from = MAX(s->outage_from, now - interval_ms);
}

void feeds_record_response(feed_state_t *s, mstime_t now)
{
	/* Operators' records do not expire. */
	if (s->feed == FEED_UPSTREAMS && now - s->outage_from > OUTAGE_MIN_MS) {
		s->defer_until = now + FEEDS_DEFER_REMOVALS_MS;
		s->removals_since_outage = 0;
		LOG_EVENT(LOG_NOTICE, "feed.outage",
			  F_STR("feed", feed_string[s->feed]),
			  F_INT("ms", now - s->outage_from),
			  F_INT("known_age_ms",
				s->loaded ? now - s->current_as_of : -1),
			  F_INT("defer_ms", FEEDS_DEFER_REMOVALS_MS));
	}
	s->outage_from = now;
	if (!s->down)
		return;
	s->down = false;
	LOG_EVENT(LOG_NOTICE, "platform.regained",
		  F_STR("feed", feed_string[s->feed]));
}

/* A configuration is only ever replaced. */
static bool has_version_(const feed_state_t *s, const feed_entry_t *e)
{
	feed_record_t r = { .key = str_of(e->key) };

	r.data.data = g_bytes_get_data(e->data, &r.data.len);
	return is_versioned_(s, &r);
}

/* Drops what the restored log lacks and nobody has written again. */
static void drop_older_(feed_state_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	s->drop_older_at = 0;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		feed_entry_t *e = value;
		feed_record_t r = { .key = str_of(e->key), .removed = true };

		if (e->epoch == s->epoch || !e->data ||
		    (s->feed == FEED_OPERATORS && has_version_(s, e)))
			continue;
		LOG_EVENT(LOG_NOTICE, "feed.dropped",
			  F_STR("feed", feed_string[s->feed]),
			  F_STR("key", e->key),
			  F_INT("epoch", (int64_t)e->epoch),
			  F_INT("now", (int64_t)s->epoch));
		apply_(s, e, &r, now);
	}
}

void feeds_apply_deferred_removals(feed_state_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (s->complete && s->drop_older_at && now >= s->drop_older_at)
		drop_older_(s, now);
	if (!s->defer_until || now < s->defer_until)
		return;
	s->defer_until = 0;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const feed_entry_t *e = value;

		if (!e->data)
			remove_upstream_(s, e->key, e->offset, "entry expired");
	}
}

/* The offsets known so far mean nothing in the restored log. */
static void begin_epoch_(feed_state_t *s, uint64_t epoch, mstime_t now)
{
	LOG_EVENT(LOG_NOTICE, "feed.restored",
		  F_STR("feed", feed_string[s->feed]),
		  F_INT("epoch", (int64_t)epoch),
		  F_INT("before", (int64_t)s->epoch),
		  F_INT("known_to", (int64_t)s->next_offset),
		  F_INT("keys", g_hash_table_size(s->entries)));
	feeds_cancel_scan(s);
	if (s->call)
		http_call_cancel(s->call);
	if (s->feed == FEED_UPSTREAMS)
		versions_restore(&s->gateway->versions, now);
	s->call = NULL;
	s->epoch = epoch;
	s->end_at = 0;
	s->next_offset = 0;
	s->changes_end = 0;
	s->removals_complete_from = 0;
	s->complete = false;
	s->drop_older_at = 0;
	s->next_read_at = now;
	s->wanted_read_at = now;
	s->fallback_at = 0;
}

bool feeds_take_ask_all(feed_state_t *s, mstime_t now)
{
	if (!s->ask_all_at || now < s->ask_all_at)
		return false;
	s->ask_all_at = 0;
	return true;
}

bool feeds_is_recently_removed(const feed_entry_t *e, mstime_t now)
{
	return !e->data && e->order.start_id &&
	       now - e->removed_at < REMOVAL_KEEP_MS;
}

void feeds_observe_epoch(gateway_t *g, uint64_t epoch, mstime_t now)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->feed_states[i];

		if (epoch <= s->epoch)
			continue;
		if (s->loaded) {
			begin_epoch_(s, epoch, now);
			g->first_copy_until = now + FIRST_COPY_MAX_MS;
		} else if (s->feed == FEED_UPSTREAMS) {
			/* The record may have been read in the one before. */
			versions_miss(&g->versions, now);
		}
		s->epoch = epoch;
	}
}
