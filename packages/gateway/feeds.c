#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* A platform that was silent for longer than this had an outage. */
#define OUTAGE_MIN_MS 2200
/* Entries that lapsed in an outage are back within two seconds of its end. */
#define LAPSE_HOLD_MS 2200
/* A lapse takes many entries at once; fewer than this share have really left.
 */
#define LAPSE_SHARE 0.25

const char *const feed_string[] = { "operators", "upstreams", "nodes" };

const char *const feed_err_string[] = {
	"ok",	     "no answer", "answer not understood", "history expired",
	"not taken",
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
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->states[i];

		*s = (feed_state_t){ .gateway = g, .feed = (feed_t)i };
		s->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, entry_free_);
		s->heard_at = clock_now();
	}
}

void feeds_finish(gateway_t *g)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		g_hash_table_destroy(g->states[i].entries);
		g_free(g->states[i].pass_after);
	}
}

/* False for one that is not newer than what is in force. */
static bool take_table_(gateway_t *g, route_table_t *table, uint64_t offset)
{
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
		  F_INT("routes", table->routes->len),
		  F_INT("keys", g_hash_table_size(table->customers)));
	route_table_unref(g->table);
	g->table = table;
	counter_add(COUNTER_CONFIG_APPLIED, 1);
	counter_set(GAUGE_APPLIED_OFFSET, (int64_t)offset);
	for (guint i = 0; i < table->services->len; i++) {
		const routing_service_t *service = table->services->pdata[i];
		balance_service_t limits = { service->cold_per_s };

		balance_set_service_limits(&g->balance, service->name, &limits);
	}
	return true;
}

/* False for a record that leaves the one before it in force. */
static bool take_operators_(gateway_t *g, const feed_record_t *r, mstime_t now)
{
	operator_change_t change;

	g->protocol->operator_change(r, &change);
	switch (change.kind) {
	case CHANGE_NONE:
		break;
	case CHANGE_BAD:
		counter_add(COUNTER_CONFIG_REJECTED, 1);
		LOG_EVENT(LOG_WARNING, "config.unreadable",
			  F_VIEW("key", r->key), F_STR("error", change.error),
			  F_INT("offset", (int64_t)r->offset));
		return false;
	case CHANGE_TABLE:
		return take_table_(g, change.table, r->offset);
	case CHANGE_DATA_CENTRE:
		LOG_EVENT(LOG_NOTICE, "data_centre.out",
			  F_STR("data_centre", change.data_centre),
			  F_INT("out", change.out),
			  F_INT("offset", (int64_t)r->offset));
		balance_set_drained(&g->balance, change.data_centre, change.out,
				    now);
		break;
	}
	return true;
}

static void forget_upstream_(gateway_t *g, const char *id, const char *why)
{
	if (balance_remove_upstream(&g->balance, id))
		LOG_EVENT(LOG_NOTICE, "upstream.gone", F_STR("upstream", id),
			  F_STR("why", why));
}

/* False when the record is a mere heartbeat. */
static bool take_upstream_(gateway_t *g, const char *id, const feed_record_t *r,
			   mstime_t now)
{
	json_t *holder = NULL;
	balance_spec_t spec;
	bool changed = true;

	if (!g->protocol->upstream_entry(r, now, &spec, &holder)) {
		LOG_EVENT(LOG_WARNING, "upstream.unreadable",
			  F_STR("upstream", id),
			  F_INT("offset", (int64_t)r->offset));
		forget_upstream_(g, id, "entry unreadable");
	} else {
		spec.id = id;
		changed = balance_put_upstream(&g->balance, &spec, now);
		if (changed)
			LOG_EVENT(
				LOG_NOTICE, "upstream.entry",
				F_STR("upstream", id),
				F_STR("service", spec.service),
				F_STR("address", spec.address),
				F_STR("data_centre", spec.data_centre),
				F_INT("leaving", spec.leaving),
				F_INT("cold_ms", MAX(0, spec.cold_until - now)),
				F_INT("start", (int64_t)spec.start_id),
				F_INT("offset", (int64_t)r->offset));
	}
	json_decref(holder);
	return changed;
}

/* Whether a removal may be a lapse that is soon taken back. */
static bool held_(feed_state_t *s, const char *id, mstime_t now)
{
	guint known = g_hash_table_size(s->gateway->balance.by_id);

	if (now >= s->hold_until || ++s->removals < known * LAPSE_SHARE)
		return false;
	LOG_EVENT(LOG_NOTICE, "upstream.held", F_STR("upstream", id),
		  F_INT("removals", s->removals),
		  F_INT("for_ms", s->hold_until - now));
	return true;
}

/* False when the record is a mere heartbeat. */
static bool act_on_upstream_(feed_state_t *s, const feed_entry_t *e,
			     const feed_record_t *r, mstime_t now)
{
	if (!r->removed)
		return take_upstream_(s->gateway, e->key, r, now);
	if (!held_(s, e->key, now))
		forget_upstream_(s->gateway, e->key, "entry removed");
	return true;
}

static void keep_(feed_entry_t *e, const feed_record_t *r)
{
	g_clear_pointer(&e->data, g_bytes_unref);
	if (!r->removed)
		e->data = g_bytes_new(r->data.data, r->data.len);
}

/* Other nodes are told of the records that are in force here. */
static void act_(feed_state_t *s, feed_entry_t *e, const feed_record_t *r,
		 mstime_t now)
{
	bool in_force = true;
	bool changed = true;

	switch (s->feed) {
	case FEED_OPERATORS:
		in_force = take_operators_(s->gateway, r, now);
		changed = in_force;
		break;
	case FEED_UPSTREAMS:
		changed = act_on_upstream_(s, e, r, now);
		break;
	case FEED_NODES:
	default:
		break;
	}
	e->offset = r->offset;
	if (in_force)
		keep_(e, r);
	if (!changed)
		return;
	e->changed = r->offset;
	s->news = MAX(s->news, r->offset + 1);
}

void feeds_take(feed_state_t *s, const feed_record_t *r, mstime_t now)
{
	char *key = str_dup(r->key);
	feed_entry_t *e = g_hash_table_lookup(s->entries, key);

	if (e)
		e->seen = true;
	if (e && e->offset >= r->offset) {
		g_free(key);
		return;
	}
	if (!e) {
		e = g_new0(feed_entry_t, 1);
		e->key = g_strdup(key);
		e->seen = true;
		g_hash_table_insert(s->entries, e->key, e);
	}
	g_free(key);
	act_(s, e, r, now);
}

void feeds_current(feed_state_t *s, mstime_t at, uint64_t next)
{
	s->next = MAX(s->next, next);
	s->current_at = MAX(s->current_at, at);
	if (!s->loaded)
		LOG_EVENT(LOG_NOTICE, "feed.loaded",
			  F_STR("feed", feed_string[s->feed]),
			  F_INT("next", (int64_t)s->next),
			  F_INT("keys", g_hash_table_size(s->entries)));
	s->loaded = true;
}

/* Keys that a whole pass did not show are dropped. */
static void drop_unseen_(feed_state_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		feed_entry_t *e = value;
		feed_record_t r = { .key = str_of(e->key), .removed = true };

		if (e->seen || !e->data || e->offset >= s->pass_end)
			continue;
		r.offset = s->pass_end - 1;
		act_(s, e, &r, now);
	}
}

void feeds_begin_pass(feed_state_t *s)
{
	GHashTableIter iter;
	gpointer value;

	s->passing = true;
	s->pass_end = 0;
	g_clear_pointer(&s->pass_after, g_free);
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((feed_entry_t *)value)->seen = false;
}

void feeds_drop_pass(feed_state_t *s)
{
	if (!s->passing)
		return;
	if (s->call)
		http_call_cancel(s->call);
	s->call = NULL;
	s->passing = false;
	g_clear_pointer(&s->pass_after, g_free);
}

void feeds_end_pass(feed_state_t *s, uint64_t end, mstime_t at, mstime_t now)
{
	s->passing = false;
	s->pass_end = end;
	drop_unseen_(s, now);
	s->complete_from = MAX(s->complete_from, end);
	feeds_current(s, at, end);
}

void feeds_heard(feed_state_t *s, mstime_t now)
{
	/* Operators' records do not lapse. */
	if (s->feed == FEED_UPSTREAMS && now - s->heard_at > OUTAGE_MIN_MS) {
		s->hold_until = now + LAPSE_HOLD_MS;
		s->removals = 0;
	}
	s->heard_at = now;
	if (!s->down)
		return;
	s->down = false;
	LOG_EVENT(LOG_NOTICE, "platform.regained",
		  F_STR("feed", feed_string[s->feed]));
}

void feeds_end_hold(feed_state_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (!s->hold_until || now < s->hold_until)
		return;
	s->hold_until = 0;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const feed_entry_t *e = value;

		if (!e->data)
			forget_upstream_(s->gateway, e->key, "entry lapsed");
	}
}
