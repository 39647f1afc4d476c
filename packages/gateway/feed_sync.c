/*
 * Copies feeds from node to node. A node sends a request to one of lower rank,
 * which is closer to the platform; the response is delayed until there is a
 * change (long polling).
 */
#include "private/gateway.h"

#include <assert.h>
#include <kcf/json_text.h>
#include <kcf/logline.h>
#include <string.h>
#include <zlib.h>

/* Longest delay of a response, as a fraction of the limit for platform changes.
 */
#define HOLD_FRACTION 0.12
/* Feeds whose age exceeds this fraction of the limit are stale: they are
 * requested from any other node too, at this interval.
 */
#define STALE_FRACTION 0.6
#define STALE_INTERVAL_MS 200
/* A reader whose data exceeds this fraction of the limit counts as cut off: a
 * read takes 0.35 and a round trip.
 */
#define CUT_AGE_FRACTION 0.45
/* A source that was cut off from the platform counts as such for this fraction
 * of the limit, in which it is asked again several times.
 */
#define CUT_MEMORY_FRACTION 1.0
/* One request in this many goes to a reader, the others to any live node. */
#define TURNS_STALE 2
#define TURNS_CUT_OFF 4
#define FAILED_INTERVAL_MS 50
/* Longest time for a response, in addition to the requested delay. */
#define RESPONSE_MAX_MS 500
/* Longer than any round trip in a region; a host without power never replies.
 */
#define CONNECT_MAX_MS 150
/* The same for a starting node: all records are large, and links may be slow.
 */
#define FULL_MAX_MS 1500
/* Reuse of a full response by nodes that start together. */
#define FULL_CACHE_MS 300
/* Waiting nodes are answered within one iteration of the event loop. */
#define RECENT_CACHE_MS 50
/* Granularity of offsets; upstreams write this many heartbeats in one to a few
 * seconds.
 */
#define OFFSET_STEP 256
/* Compressing a smaller response costs more than it saves. */
#define DEFLATE_MIN_BYTES 2048
/*
 * Milliseconds from the arrival of the request to the creation of the response;
 * negative for one that was created before.
 */
#define LEAD_HEADER "Kcf-Lead-Ms"
#define SYNCED_FEEDS (FEED_UPSTREAMS + 1)
/* Larger than any fleet. */
#define NODE_COUNT_MAX 100000

/* A request of another node that waits for a change. */
typedef struct waiter {
	gateway_t *gateway;
	http_request_t *req;
	uint64_t from[SYNCED_FEEDS];
	uint64_t epoch; /* of these offsets */
	mstime_t requested_at;
	mstime_t until;
} waiter_t;

static json_t *encode_entry_(const feed_state_t *s, const feed_entry_t *e,
			     GString *payload)
{
	gsize len = 0;
	const char *data = e->data ? g_bytes_get_data(e->data, &len) : NULL;
	json_t *entry = json_pack("{s:s,s:I}", "key", e->key, "offset",
				  (json_int_t)e->offset);

	if (e->epoch != s->epoch)
		json_object_set_new(entry, "epoch",
				    json_integer((json_int_t)e->epoch));
	if (e->corrected)
		json_object_set_new(entry, "corrected", json_true());
	else if (data && e->contested)
		json_object_set_new(entry, "contested", json_true());
	if (data && e->order.overruled)
		json_object_set_new(
			entry, "overruled",
			json_integer((json_int_t)e->order.overruled));
	if (data) {
		g_string_append_len(payload, data, (gssize)len);
		json_object_set_new(entry, "bytes",
				    json_integer((json_int_t)len));
	} else if (e->order.start_id) {
		json_object_set_new(
			entry, "start",
			json_integer((json_int_t)e->order.start_id));
		json_object_set_new(
			entry, "heartbeat",
			json_integer((json_int_t)e->order.heartbeat));
	}
	return entry;
}

/* Whether an entry is part of a response from an offset on. */
static bool includes_(const feed_state_t *s, const feed_entry_t *e,
		      uint64_t from, bool full, mstime_t now)
{
	/* What a restored log may lack or bring back. */
	if (e->epoch != s->epoch ||
	    (!from && feeds_is_recently_removed(e, now)))
		return true;
	return full ? e->data || e->corrected : e->change_offset >= from;
}

json_t *feed_sync_encode(const feed_state_t *s, uint64_t from, mstime_t now,
			 GString *payload)
{
	/* Deferred removals may only be expired entries of an outage. */
	bool removals_certain = s->complete && now >= s->defer_until;
	/* Removals before this offset are unknown here: all records are sent,
	 * and the receiver removes the others.
	 */
	bool full = from < s->removals_complete_from;
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const feed_entry_t *e = value;
		json_t *entry;

		if (!includes_(s, e, from, full, now))
			continue;
		entry = encode_entry_(s, e, payload);
		if (entry)
			json_array_append_new(list, entry);
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:o}", "epoch",
			 (json_int_t)s->epoch, "from", (json_int_t)from, "next",
			 (json_int_t)s->next_offset, "age_ms",
			 (json_int_t)(now - s->current_as_of), "loaded",
			 removals_certain, "whole", full, "defer_ms",
			 (json_int_t)MAX(0, s->defer_until - now), "entries",
			 list);
}

static GBytes *deflate_(str_t plain)
{
	uLongf size = compressBound((uLong)plain.len);
	guint8 *out = g_malloc(size);

	if (compress2(out, &size, (const Bytef *)plain.data, (uLong)plain.len,
		      Z_BEST_SPEED) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, size);
}

/* Callers' addresses of serving nodes, for a node that knows few members yet.
 */
static json_t *encode_serving_(gateway_t *g)
{
	GPtrArray *serving =
		gateway_peers_serving(g, STR_NONE, GATEWAY_DIRECTORY_MAX);
	json_t *list = json_array();

	for (guint i = 0; i < serving->len; i++)
		json_array_append_new(list, json_string(serving->pdata[i]));
	g_ptr_array_unref(serving);
	return list;
}

static void apply_serving_(gateway_t *g, const json_t *list)
{
	size_t i;
	json_t *address;

	if (!json_array_size(list))
		return;
	g_ptr_array_set_size(g->start_serving, 0);
	json_array_foreach (list, i, address) {
		if (json_is_string(address))
			g_ptr_array_add(g->start_serving,
					g_strdup(json_string_value(address)));
	}
}

/* Whether the platform answers neither this reader nor those that this node
 * copies from.
 */
static bool is_cut_off_(const gateway_t *g, mstime_t now)
{
	if (!reader_is_self(g, now))
		return now < g->sources_cut_until;
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		if (now - g->feed_states[i].current_as_of >
		    gateway_limit_fraction_ms(g, CUT_AGE_FRACTION))
			return true;
	}
	return false;
}

/*
 * Keys of upstreams of services with several versions, each with the age of
 * its last known heartbeat; heartbeats are not copied from node to node.
 */
static json_t *encode_alive_(const gateway_t *g, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (!u->alive_at || !resumes_is_mixed(g, u->service))
			continue;
		json_array_append_new(list, json_integer(u->key));
		json_array_append_new(list, json_integer(now - u->alive_at));
	}
	return list;
}

static void apply_alive_(gateway_t *g, const json_t *list, mstime_t created_at)
{
	for (size_t i = 0; i + 1 < json_array_size(list); i += 2) {
		const json_t *key = json_array_get(list, i);
		json_int_t age =
			json_integer_value(json_array_get(list, i + 1));

		balance_record_alive(&g->balance,
				     (uint32_t)json_integer_value(key),
				     created_at - MAX(0, age));
	}
}

/*
 * What entries in force do not tell: versions that came and went, which a node
 * may have missed between two copies, and whether any may be missing here.
 */
static json_t *encode_versions_(const gateway_t *g, mstime_t now)
{
	const versions_t *v = &g->versions;
	json_t *gone = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *version = value;

		if (!versions_is_possible(v, version, now) ||
		    balance_has_version(&g->balance, version->key))
			continue;
		json_array_append_new(
			gone,
			json_pack("[s,s,I]", version->service, version->name,
				  (json_int_t)(now - version->seen_at)));
	}
	return json_pack("{s:b,s:I,s:o}", "complete",
			 versions_is_complete(v, now), "seen_from",
			 (json_int_t)v->seen_from, "gone", gone);
}

static feed_sync_response_t build_response_(gateway_t *g, const uint64_t *from,
					    mstime_t now)
{
	feed_sync_response_t response = { .created_at = now };
	json_t *root = json_object();
	json_t *alive;
	GString *payload = g_string_new(NULL);
	GString *plain;
	char *head;

	for (int i = 0; i < SYNCED_FEEDS; i++) {
		response.epoch[i] = g->feed_states[i].epoch;
		response.from_offset[i] = from[i];
		response.changes_end[i] = g->feed_states[i].changes_end;
		json_object_set_new(root, feed_string[i],
				    feed_sync_encode(&g->feed_states[i],
						     from[i], now, payload));
	}
	if (is_cut_off_(g, now))
		json_object_set_new(root, "cut_off", json_true());
	alive = encode_alive_(g, now);
	if (json_array_size(alive))
		json_object_set(root, "alive", alive);
	json_decref(alive);
	json_object_set_new(root, "versions", encode_versions_(g, now));
	json_object_set_new(root, "serving",
			    json_integer(gateway_peers_serving_count(g, now)));
	if (!gateway_recently_started(g, now)) {
		json_object_set_new(
			root, "nodes",
			json_integer(sharing_report(&g->sharing, now)));
		if (!from[FEED_UPSTREAMS])
			json_object_set_new(root, "addresses",
					    encode_serving_(g));
	}
	head = json_text(root);
	plain = g_string_new(head);
	g_string_append_len(plain, payload->str, (gssize)payload->len);
	g_string_free(payload, TRUE);
	g_free(head);
	if (plain->len >= DEFLATE_MIN_BYTES)
		response.bytes = deflate_((str_t){ plain->str, plain->len });
	response.deflated = response.bytes;
	if (response.deflated)
		g_string_free(plain, TRUE);
	else
		response.bytes = g_string_free_to_bytes(plain);
	return response;
}

static void send_response_(http_request_t *req,
			   const feed_sync_response_t *response,
			   mstime_t requested_at)
{
	char lead[32];
	http_header_t headers[4] = { { "Content-Type", "application/json" },
				     { LEAD_HEADER, lead } };
	gsize len;
	const char *data = g_bytes_get_data(response->bytes, &len);

	g_snprintf(lead, sizeof(lead), "%" G_GINT64_FORMAT,
		   response->created_at - requested_at);
	if (response->deflated)
		headers[2] = (http_header_t){ "Content-Encoding", "deflate" };
	http_reply(req, 200, headers, (str_t){ data, len });
}

/* Whether a cached response has the same first offsets and the last change. */
static bool can_reuse_(const gateway_t *g, const feed_sync_response_t *response,
		       const uint64_t *from, mstime_t max_age_ms, mstime_t now)
{
	if (!response->bytes || now - response->created_at > max_age_ms)
		return false;
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		if (response->epoch[i] != g->feed_states[i].epoch ||
		    response->from_offset[i] != from[i] ||
		    response->changes_end[i] != g->feed_states[i].changes_end)
			return false;
	}
	return true;
}

static feed_sync_response_t *cached_response_(gateway_t *g, bool full,
					      bool lacks_config)
{
	if (full)
		return &g->sync_full;
	return lacks_config ? &g->sync_with_config : &g->sync_recent;
}

/*
 * A change is sent to many waiting nodes at once. They share one response, as
 * encoding and compressing a large configuration takes about ten milliseconds.
 * To make that possible their offsets are rounded down. Nodes that lack the
 * configuration also get all changes of upstreams, which are small beside it.
 */
const feed_sync_response_t *
feed_sync_response_for(gateway_t *g, const uint64_t *from, mstime_t now)
{
	const feed_state_t *operators = &g->feed_states[FEED_OPERATORS];
	const feed_state_t *upstreams = &g->feed_states[FEED_UPSTREAMS];
	bool full = from[FEED_UPSTREAMS] < upstreams->removals_complete_from ||
		    from[FEED_OPERATORS] < operators->removals_complete_from;
	bool lacks_config = from[FEED_OPERATORS] < operators->changes_end;
	feed_sync_response_t *response =
		cached_response_(g, full, lacks_config);
	uint64_t rounded_from[SYNCED_FEEDS] = { 0 };

	if (!full) {
		rounded_from[FEED_OPERATORS] =
			lacks_config ? operators->removals_complete_from
				     : from[FEED_OPERATORS];
		rounded_from[FEED_UPSTREAMS] =
			upstreams->removals_complete_from;
	}
	if (!full && !lacks_config)
		rounded_from[FEED_UPSTREAMS] =
			MAX(upstreams->removals_complete_from,
			    from[FEED_UPSTREAMS] / OFFSET_STEP * OFFSET_STEP);
	if (!can_reuse_(g, response, rounded_from,
			full ? FULL_CACHE_MS : RECENT_CACHE_MS, now)) {
		g_clear_pointer(&response->bytes, g_bytes_unref);
		*response = build_response_(g, rounded_from, now);
	}
	return response;
}

static void respond_(gateway_t *g, http_request_t *req, const uint64_t *from,
		     mstime_t requested_at, mstime_t now)
{
	send_response_(req, feed_sync_response_for(g, from, now), requested_at);
}

/* Offsets of another epoch say nothing: all records are sent. */
static void discard_other_epoch_(const gateway_t *g, uint64_t epoch,
				 uint64_t *from)
{
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		if (epoch != g->feed_states[i].epoch)
			from[i] = 0;
	}
}

static bool has_changes_(const gateway_t *g, const uint64_t *from)
{
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		const feed_state_t *s = &g->feed_states[i];

		if (s->complete && (!from[i] || s->changes_end > from[i] ||
				    from[i] < s->removals_complete_from))
			return true;
	}
	return false;
}

/* A response must cover both feeds, so that a starting node gets all it needs.
 */
static bool can_respond_now_(const gateway_t *g, const uint64_t *from)
{
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		if (!g->feed_states[i].complete)
			return false;
	}
	return has_changes_(g, from);
}

static void respond_to_waiter_(gateway_t *g, guint index, mstime_t now)
{
	waiter_t *w = g_ptr_array_steal_index_fast(g->sync_waiters, index);

	http_request_set_user(w->req, NULL);
	respond_(g, w->req, w->from, w->requested_at, now);
	g_free(w);
}

void feed_sync_on_closed(http_request_t *req)
{
	waiter_t *w = http_request_user(req);

	if (!w)
		return;
	g_ptr_array_remove_fast(w->gateway->sync_waiters, w);
	g_free(w);
}

void feed_sync_notify_waiters(gateway_t *g, mstime_t now)
{
	for (guint i = g->sync_waiters->len; i > 0; i--) {
		waiter_t *w = g->sync_waiters->pdata[i - 1];

		discard_other_epoch_(g, w->epoch, w->from);
		if (now >= w->until || can_respond_now_(g, w->from))
			respond_to_waiter_(g, i - 1, now);
	}
}

void feed_sync_stop(gateway_t *g)
{
	while (g->sync_waiters->len)
		respond_to_waiter_(g, 0, clock_now());
}

void feed_sync_finish(gateway_t *g)
{
	assert(!g->sync_waiters->len);
	g_ptr_array_unref(g->sync_waiters);
	g_clear_pointer(&g->sync_full.bytes, g_bytes_unref);
	g_clear_pointer(&g->sync_with_config.bytes, g_bytes_unref);
	g_clear_pointer(&g->sync_recent.bytes, g_bytes_unref);
}

void feed_sync_init(gateway_t *g)
{
	g->sync_waiters = g_ptr_array_new();
}

void feed_sync_reply(gateway_t *g, http_request_t *req)
{
	mstime_t now = clock_now();
	uint64_t from[SYNCED_FEEDS];
	int64_t hold = 0;
	int64_t epoch = 0;
	waiter_t *w;

	str_to_int(http_request_query(req, "epoch"), &epoch);
	feeds_observe_epoch(g, (uint64_t)MAX(0, epoch), now);
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		int64_t n = 0;

		str_to_int(http_request_query(req, feed_string[i]), &n);
		from[i] = (uint64_t)MAX(0, n);
	}
	discard_other_epoch_(g, (uint64_t)MAX(0, epoch), from);
	str_to_int(http_request_query(req, "hold_ms"), &hold);
	hold = CLAMP(hold, 0, FULL_MAX_MS);
	if (!hold || g->phase == GATEWAY_STOPPING ||
	    can_respond_now_(g, from)) {
		respond_(g, req, from, now, now);
		return;
	}
	w = g_new0(waiter_t, 1);
	*w = (waiter_t){ .gateway = g,
			 .req = req,
			 .epoch = (uint64_t)MAX(0, epoch),
			 .requested_at = now,
			 .until = now + hold };
	memcpy(w->from, from, sizeof(from));
	http_request_set_user(req, w);
	http_request_ends_with_connection(req);
	g_ptr_array_add(g->sync_waiters, w);
}

json_t *feed_sync_parse(str_t body, str_t *payload)
{
	json_error_t json_end = { 0 };
	json_t *root = json_loadb(body.data, body.len, JSON_DISABLE_EOF_CHECK,
				  &json_end);

	*payload = STR_NONE;
	if (root)
		*payload = (str_t){ body.data + json_end.position,
				    body.len - (size_t)json_end.position };
	return root;
}

/* Takes the data of an entry off the payload; false if that is too short. */
static bool read_entry_data_(const json_t *entry, str_t *payload, str_t *data)
{
	json_int_t len = json_integer_value(json_object_get(entry, "bytes"));

	if (len < 0 || (uint64_t)len > payload->len)
		return false;
	*data = (str_t){ payload->data, (size_t)len };
	payload->data += len;
	payload->len -= (size_t)len;
	return true;
}

/* Takes an entry off the response; false if the payload is too short. */
static bool read_entry_(const json_t *entry, uint64_t epoch, str_t *payload,
			feed_record_t *r)
{
	const json_t *key = json_object_get(entry, "key");

	*r = (feed_record_t){
		.key = { json_string_value(key), json_string_length(key) },
		.offset = json_get_uint(entry, "offset"),
		.epoch = json_get_uint(entry, "epoch"),
		.removed = !json_object_get(entry, "bytes"),
		.corrected = json_is_true(json_object_get(entry, "corrected")),
		.contested = json_is_true(json_object_get(entry, "contested")),
		.overruled = json_get_uint(entry, "overruled"),
		.start_id = json_get_uint(entry, "start"),
		.heartbeat = json_get_uint(entry, "heartbeat"),
	};
	if (!r->epoch)
		r->epoch = epoch;
	return read_entry_data_(entry, payload, &r->data);
}

/*
 * Takes from a response that does not cover the feed what a restored log has
 * lost, which is compared by content.
 */
static void merge_entries_(feed_state_t *s, const json_t *feed, uint64_t epoch,
			   str_t *payload, mstime_t now)
{
	size_t i;
	json_t *entry;
	feed_record_t r;

	json_array_foreach (json_object_get(feed, "entries"), i, entry) {
		if (!read_entry_(entry, epoch, payload, &r))
			return;
		if (r.key.len && s->epoch &&
		    (r.epoch < s->epoch ||
		     (r.epoch == s->epoch && r.corrected)))
			feeds_apply_record(s, &r, now);
	}
}

bool feed_sync_apply(feed_state_t *s, const json_t *feed, str_t *payload,
		     mstime_t requested_at, mstime_t now)
{
	json_int_t next = json_integer_value(json_object_get(feed, "next"));
	json_int_t age = json_integer_value(json_object_get(feed, "age_ms"));
	/* Nodes of older builds do not state it. */
	uint64_t epoch = json_object_get(feed, "epoch")
				 ? json_get_uint(feed, "epoch")
				 : s->epoch;
	size_t i;
	json_t *entry;
	bool full = json_is_true(json_object_get(feed, "whole"));
	json_int_t defer =
		json_integer_value(json_object_get(feed, "defer_ms"));

	if (defer > 0)
		feeds_defer_removals(
			s, requested_at + MIN(defer, FEEDS_DEFER_REMOVALS_MS));
	s->source = FEED_FROM_NODE;
	feeds_observe_epoch(s->gateway, epoch, now);
	if (!json_is_true(json_object_get(feed, "loaded")) ||
	    epoch < s->epoch || (uint64_t)next < s->next_offset ||
	    (!full && json_get_uint(feed, "from") > s->next_offset)) {
		merge_entries_(s, feed, epoch, payload, now);
		return false;
	}
	if (full) {
		feeds_cancel_scan(s);
		feeds_begin_scan(s);
	}
	json_array_foreach (json_object_get(feed, "entries"), i, entry) {
		feed_record_t r;

		/* A truncated payload does not cover the feed up to next. */
		if (!read_entry_(entry, epoch, payload, &r)) {
			feeds_cancel_scan(s);
			return false;
		}
		if (r.key.len)
			feeds_apply_record(s, &r, now);
	}
	requested_at -= MAX(0, age);
	if (full)
		feeds_end_scan(s, (uint64_t)next, requested_at, now);
	else
		feeds_set_current(s, requested_at, (uint64_t)next);
	return true;
}

static bool is_stale_(const gateway_t *g, mstime_t now)
{
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		const feed_state_t *s = &g->feed_states[i];

		if (!s->complete || s->current_as_of < g->data_valid_from ||
		    now - s->current_as_of >
			    gateway_limit_fraction_ms(g, STALE_FRACTION))
			return true;
	}
	return false;
}

/* When the other node created its response, by this node's clock. */
static mstime_t created_at_(gateway_t *g, http_call_t *call, mstime_t now)
{
	int64_t lead = 0;

	str_to_int(http_call_header(call, LEAD_HEADER), &lead);
	return MIN(now, g->sync_requested_at + lead);
}

static guint read_count_(const json_t *root, const char *name)
{
	return (guint)CLAMP(json_integer_value(json_object_get(root, name)), 0,
			    NODE_COUNT_MAX);
}

/* Applies what a sync source says about the fleet. */
static void apply_fleet_(gateway_t *g, const json_t *root, mstime_t now)
{
	gateway_peers_set_serving_count(g, read_count_(root, "serving"), now);
	apply_serving_(g, json_object_get(root, "addresses"));
	sharing_tell(&g->sharing, (int)read_count_(root, "nodes"));
}

/* Whether another node knew of this node's epoch when it responded. */
static bool is_of_epoch_(const gateway_t *g, const json_t *root)
{
	for (int i = 0; i < SYNCED_FEEDS; i++) {
		const json_t *feed = json_object_get(root, feed_string[i]);

		if (json_get_uint(feed, "epoch") != g->feed_states[i].epoch)
			return false;
	}
	return true;
}

static void observe_gone_(gateway_t *g, const json_t *list, mstime_t created_at)
{
	size_t i;
	json_t *row;

	json_array_foreach ((json_t *)list, i, row) {
		const char *service = json_string_value(json_array_get(row, 0));
		const char *name = json_string_value(json_array_get(row, 1));
		json_int_t age = json_integer_value(json_array_get(row, 2));

		if (service && name && age <= g->versions.life_ms)
			resumes_hear_version(g, service, name,
					     created_at - MAX(0, age),
					     "sync source");
	}
}

/*
 * Applies what another node says of its versions.
 * @known_to, @known_at: end and age of the upstreams' feed here before its
 *            entries were applied
 * @applied:  whether they were
 */
static void apply_versions_(gateway_t *g, const json_t *root, uint64_t known_to,
			    mstime_t known_at, bool applied,
			    mstime_t created_at, mstime_t now)
{
	const json_t *versions = json_object_get(root, "versions");
	versions_copy_t copy = {
		.complete = json_is_true(json_object_get(versions, "complete")),
		.seen_from = json_get_uint(versions, "seen_from"),
		.known_to = known_to,
		.missed_ms = now - known_at,
	};

	observe_gone_(g, json_object_get(versions, "gone"), created_at);
	if (versions && applied)
		versions_copy(&g->versions, &copy, now);
}

static void note_sync_failure_(gateway_t *g, int err, int status, mstime_t now)
{
	if (g->sync_failures++)
		return;
	g->sync_failed_since = now;
	LOG_EVENT(LOG_INFO, "mirror.failed",
		  F_STR("error", http_err_string[-err]),
		  F_INT("status", status));
}

static void note_sync_response_(gateway_t *g, mstime_t now)
{
	if (g->sync_failures)
		LOG_EVENT(LOG_INFO, "mirror.regained",
			  F_INT("failures", g->sync_failures),
			  F_INT("ms", now - g->sync_failed_since));
	g->sync_failures = 0;
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	gateway_t *g = ctx;
	str_t body = http_call_body(call);
	mstime_t now = clock_now();
	json_t *root;
	str_t payload;
	uint64_t known_to;
	mstime_t known_at;
	bool applied = false;

	g->sync_call = NULL;
	if (err || status != 200) {
		g->sync_source_turn++;
		g->sync_next_at = now + FAILED_INTERVAL_MS;
		note_sync_failure_(g, err, status, now);
		return;
	}
	note_sync_response_(g, now);
	root = feed_sync_parse(body, &payload);
	known_to = g->feed_states[FEED_UPSTREAMS].next_offset;
	known_at = g->feed_states[FEED_UPSTREAMS].current_as_of;
	for (int i = 0; i < SYNCED_FEEDS; i++)
		applied = feed_sync_apply(&g->feed_states[i],
					  json_object_get(root, feed_string[i]),
					  &payload, created_at_(g, call, now),
					  now);
	apply_versions_(g, root, known_to, known_at, applied,
			created_at_(g, call, now), now);
	apply_alive_(g, json_object_get(root, "alive"),
		     created_at_(g, call, now));
	if (g->sync_source_ranked &&
	    json_is_true(json_object_get(root, "cut_off")))
		g->sources_cut_until =
			now + gateway_limit_fraction_ms(g, CUT_MEMORY_FRACTION);
	if (is_of_epoch_(g, root))
		g->first_copy_until = 0;
	if (!g->sync_only_merges)
		apply_fleet_(g, root, now);
	json_decref(root);
	g->sync_response_count++;
	if (is_stale_(g, now)) {
		/* That node's data is no newer; the next one may have more. */
		g->sync_source_turn++;
		g->sync_next_at = now + STALE_INTERVAL_MS;
	} else if (now < g->sources_cut_until) {
		g->sync_source_turn++;
	}
	gateway_feeds_updated(g, now);
}

static const http_call_ops_t ops = { .done = on_done_ };

/*
 * A node with current data uses the sync source of its rank. Others, and those
 * whose source is cut off, alternate between a reader and any live node; a node
 * without other members uses a seed.
 */
static const char *select_source_(gateway_t *g, bool stale, mstime_t now)
{
	guint count = g->ranking->len;
	guint readers = MIN(fleet_roles_reader_count(count), count);
	guint turns = now < g->sources_cut_until ? TURNS_CUT_OFF : TURNS_STALE;
	const member_t *m = NULL;

	g->sync_source_ranked = true;
	if (!stale && g->own_rank >= (int)readers)
		m = gateway_peers_at_rank(
			g, fleet_roles_sync_source((guint)g->own_rank, count,
						   g->sync_source_turn));
	else if (count && g->sync_source_turn % turns == 0)
		m = gateway_peers_at_rank(g, (g->members.self->key +
					      g->sync_source_turn / turns) %
						     readers);
	else {
		m = gateway_peers_random_live(g);
		g->sync_source_ranked = false;
	}
	if (m && m != g->members.self)
		return m->operators;
	if (!g->conf->seed_admins->len)
		return NULL;
	return g->conf->seed_admins
		->pdata[(g->members.self->key + g->sync_source_turn) %
			g->conf->seed_admins->len];
}

static void send_request_(gateway_t *g, const char *address, bool stale,
			  mstime_t now)
{
	const feed_state_t *operators = &g->feed_states[FEED_OPERATORS];
	feed_state_t *upstreams = &g->feed_states[FEED_UPSTREAMS];
	bool start = !operators->complete || !upstreams->complete;
	/* A node that has just started may have read an older copy of the log:
	 * its first request asks for all.
	 */
	bool first = now < g->first_copy_until;
	bool all = feeds_take_ask_all(upstreams, now) || first;
	mstime_t hold = stale && !start
				? 0
				: gateway_limit_fraction_ms(g, HOLD_FRACTION);
	http_call_spec_t spec = {
		.method = "GET",
		.deadline =
			now + hold + (start ? FULL_MAX_MS : RESPONSE_MAX_MS),
		.connect_max_ms = CONNECT_MAX_MS,
		.bare = true,
		.inflate = true,
	};
	char *url = g_strdup_printf(
		"http://%s%s?operators=%" G_GUINT64_FORMAT
		"&upstreams=%" G_GUINT64_FORMAT "&epoch=%" G_GUINT64_FORMAT
		"&hold_ms=%" G_GINT64_FORMAT,
		address, GATEWAY_FEEDS_PATH, first ? 0 : operators->next_offset,
		all ? 0 : upstreams->next_offset, operators->epoch, hold);

	spec.url = url;
	counter_add(COUNTER_FEED_CALLS, 1);
	g->sync_requested_at = now;
	g->sync_call = http_call_start(&g->store, &spec, &ops, g);
	g_free(url);
}

void feed_sync_tick(gateway_t *g, mstime_t now)
{
	bool stale = is_stale_(g, now);
	const char *address;

	feed_sync_notify_waiters(g, now);
	if (g->sync_call || now < g->sync_next_at ||
	    (!stale && now >= g->first_copy_until && reader_is_self(g, now)))
		return;
	g->sync_only_merges = !stale && reader_is_self(g, now);
	address = select_source_(g, stale || now < g->sources_cut_until, now);
	if (!address || !strcmp(address, g->conf->admin)) {
		g->sync_source_turn++;
		return;
	}
	send_request_(g, address, stale, now);
}
