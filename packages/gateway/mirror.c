/*
 * What is known of the feeds, told from node to node. A node asks one that is
 * nearer to the platform; the answer is held until there is news.
 */
#include "private/gateway.h"

#include <kcf/json_text.h>
#include <kcf/logline.h>
#include <string.h>
#include <zlib.h>

/* Times as parts of the users' bound for what the platform says. */
#define HOLD_PART 0.12
/* What is older than this is asked of any other node as well, */
#define STALE_PART 0.6
/* as often as this. */
#define STALE_INTERVAL_MS 200
#define FAILED_INTERVAL_MS 50
/* Longest time for an answer, beside the hold that was asked for. */
#define ANSWER_MAX_MS 500
/* Longer than any round trip in a region; a host without power is silent. */
#define CONNECT_MAX_MS 150
/* All that is known, for a node that starts: large, on small links. */
#define WHOLE_MAX_MS 1500
/* Nodes that start together get the same bytes. */
#define WHOLE_KEPT_MS 300
/* Those that wait for news are answered within one turn of the loop. */
#define RECENT_KEPT_MS 50
/* Offsets; upstreams write so many heartbeats in one to some seconds. */
#define FROM_STEP 256
/* Smaller answers are not worth the time to compress them. */
#define DEFLATE_MIN_BYTES 2048
/*
 * Milliseconds from the arrival of the question to the making of the answer,
 * negative for one that was made before.
 */
#define HEADER_LEAD "Kcf-Lead-Ms"
#define MIRROR_FEEDS (FEED_UPSTREAMS + 1)
/* More nodes than any fleet has. */
#define COUNT_MAX 100000

/* Another node that waits for news. */
typedef struct waiter {
	gateway_t *gateway;
	http_request_t *req;
	uint64_t from[MIRROR_FEEDS];
	mstime_t asked_at;
	mstime_t until;
} waiter_t;

static json_t *entry_(const feed_entry_t *e, GString *after)
{
	gsize len = 0;
	const char *data = e->data ? g_bytes_get_data(e->data, &len) : NULL;

	if (!data)
		return json_pack("{s:s,s:I}", "key", e->key, "offset",
				 (json_int_t)e->offset);
	g_string_append_len(after, data, (gssize)len);
	return json_pack("{s:s,s:I,s:I}", "key", e->key, "offset",
			 (json_int_t)e->offset, "bytes", (json_int_t)len);
}

json_t *mirror_feed(const feed_state_t *s, uint64_t from, mstime_t now,
		    GString *after)
{
	/* What may be a lapse of an outage is not told as a removal. */
	bool settled = s->loaded && now >= s->hold_until;
	/* Who lacks removals that this node does not know gets all there is. */
	bool whole = from < s->complete_from;
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const feed_entry_t *e = value;
		json_t *entry;

		if (whole ? !e->data : e->changed < from)
			continue;
		entry = entry_(e, after);
		if (entry)
			json_array_append_new(list, entry);
	}
	return json_pack("{s:I,s:I,s:b,s:b,s:o}", "next", (json_int_t)s->next,
			 "age_ms", (json_int_t)(now - s->current_at), "loaded",
			 settled, "whole", whole, "entries", list);
}

static GBytes *deflate_(str_t text)
{
	uLongf size = compressBound((uLong)text.len);
	guint8 *out = g_malloc(size);

	if (compress2(out, &size, (const Bytef *)text.data, (uLong)text.len,
		      Z_BEST_SPEED) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, size);
}

/* Where callers are to be sent by a node that knows few others yet. */
static json_t *addresses_(gateway_t *g)
{
	GPtrArray *serving =
		gateway_peers_serving(g, STR_NONE, GATEWAY_DIRECTORY_MAX);
	json_t *list = json_array();

	for (guint i = 0; i < serving->len; i++)
		json_array_append_new(list, json_string(serving->pdata[i]));
	g_ptr_array_unref(serving);
	return list;
}

static void take_addresses_(gateway_t *g, const json_t *list)
{
	size_t i;
	json_t *address;

	if (!json_array_size(list))
		return;
	g_ptr_array_set_size(g->told_serving, 0);
	json_array_foreach (list, i, address) {
		if (json_is_string(address))
			g_ptr_array_add(g->told_serving,
					g_strdup(json_string_value(address)));
	}
}

static mirror_text_t render_(gateway_t *g, const uint64_t *from, mstime_t now)
{
	mirror_text_t text = { .at = now };
	json_t *root = json_object();
	GString *after = g_string_new(NULL);
	GString *plain;
	char *head;

	for (int i = 0; i < MIRROR_FEEDS; i++) {
		text.from[i] = from[i];
		text.news[i] = g->states[i].news;
		json_object_set_new(
			root, feed_string[i],
			mirror_feed(&g->states[i], from[i], now, after));
	}
	json_object_set_new(root, "serving",
			    json_integer(gateway_peers_serving_count(g, now)));
	if (!gateway_young(g, now)) {
		json_object_set_new(root, "nodes", json_integer(g->sharers));
		if (!from[FEED_UPSTREAMS])
			json_object_set_new(root, "addresses", addresses_(g));
	}
	head = json_text(root);
	plain = g_string_new(head);
	g_string_append_len(plain, after->str, (gssize)after->len);
	g_string_free(after, TRUE);
	g_free(head);
	if (plain->len >= DEFLATE_MIN_BYTES)
		text.bytes = deflate_((str_t){ plain->str, plain->len });
	text.deflated = text.bytes;
	if (text.deflated)
		g_string_free(plain, TRUE);
	else
		text.bytes = g_string_free_to_bytes(plain);
	return text;
}

static void reply_text_(http_request_t *req, const mirror_text_t *text,
			mstime_t asked_at)
{
	char lead[32];
	http_header_t headers[4] = { { "Content-Type", "application/json" },
				     { HEADER_LEAD, lead } };
	gsize len;
	const char *data = g_bytes_get_data(text->bytes, &len);

	g_snprintf(lead, sizeof(lead), "%" G_GINT64_FORMAT,
		   text->at - asked_at);
	if (text->deflated)
		headers[2] = (http_header_t){ "Content-Encoding", "deflate" };
	http_reply(req, 200, headers, (str_t){ data, len });
}

/* Whether a kept answer begins where it is wanted and tells the last news. */
static bool serves_(const gateway_t *g, const mirror_text_t *text,
		    const uint64_t *from, mstime_t kept_ms, mstime_t now)
{
	if (!text->bytes || now - text->at > kept_ms)
		return false;
	for (int i = 0; i < MIRROR_FEEDS; i++) {
		if (text->from[i] != from[i] ||
		    text->news[i] != g->states[i].news)
			return false;
	}
	return true;
}

static mirror_text_t *kept_(gateway_t *g, bool whole, bool behind)
{
	if (whole)
		return &g->mirror_whole;
	return behind ? &g->mirror_behind : &g->mirror_recent;
}

/*
 * News wakes many askers at once: they get the same bytes, as a large
 * configuration takes some ten milliseconds to be written and deflated. For
 * that, what they have is rounded down; who lacks the configuration gets all
 * changes of upstreams too, which are little beside it.
 */
const mirror_text_t *mirror_text_for(gateway_t *g, const uint64_t *from,
				     mstime_t now)
{
	const feed_state_t *operators = &g->states[FEED_OPERATORS];
	const feed_state_t *upstreams = &g->states[FEED_UPSTREAMS];
	bool whole = from[FEED_UPSTREAMS] < upstreams->complete_from ||
		     from[FEED_OPERATORS] < operators->complete_from;
	bool behind = from[FEED_OPERATORS] < operators->news;
	mirror_text_t *text = kept_(g, whole, behind);
	uint64_t floor[MIRROR_FEEDS] = { 0 };

	if (!whole) {
		floor[FEED_OPERATORS] = behind ? operators->complete_from
					       : from[FEED_OPERATORS];
		floor[FEED_UPSTREAMS] = upstreams->complete_from;
	}
	if (!whole && !behind)
		floor[FEED_UPSTREAMS] =
			MAX(upstreams->complete_from,
			    from[FEED_UPSTREAMS] / FROM_STEP * FROM_STEP);
	if (!serves_(g, text, floor, whole ? WHOLE_KEPT_MS : RECENT_KEPT_MS,
		     now)) {
		g_clear_pointer(&text->bytes, g_bytes_unref);
		*text = render_(g, floor, now);
	}
	return text;
}

static void answer_(gateway_t *g, http_request_t *req, const uint64_t *from,
		    mstime_t asked_at, mstime_t now)
{
	reply_text_(req, mirror_text_for(g, from, now), asked_at);
}

static bool news_(const gateway_t *g, const uint64_t *from)
{
	for (int i = 0; i < MIRROR_FEEDS; i++) {
		const feed_state_t *s = &g->states[i];

		if (s->loaded && (!from[i] || s->news > from[i] ||
				  from[i] < s->complete_from))
			return true;
	}
	return false;
}

/* A node that starts is answered once both feeds are there. */
static bool tell_now_(const gateway_t *g, const uint64_t *from)
{
	for (int i = 0; i < MIRROR_FEEDS; i++) {
		if (!g->states[i].loaded)
			return false;
	}
	return news_(g, from);
}

static void waiter_end_(gateway_t *g, guint at, mstime_t now)
{
	waiter_t *w = g_ptr_array_steal_index_fast(g->mirror_waiters, at);

	http_request_set_user(w->req, NULL);
	answer_(g, w->req, w->from, w->asked_at, now);
	g_free(w);
}

void mirror_closed(http_request_t *req)
{
	waiter_t *w = http_request_user(req);

	if (!w)
		return;
	g_ptr_array_remove_fast(w->gateway->mirror_waiters, w);
	g_free(w);
}

void mirror_news(gateway_t *g, mstime_t now)
{
	for (guint i = g->mirror_waiters->len; i > 0; i--) {
		const waiter_t *w = g->mirror_waiters->pdata[i - 1];

		if (now >= w->until || tell_now_(g, w->from))
			waiter_end_(g, i - 1, now);
	}
}

void mirror_finish(gateway_t *g)
{
	while (g->mirror_waiters->len)
		waiter_end_(g, 0, clock_now());
	g_ptr_array_unref(g->mirror_waiters);
	g_clear_pointer(&g->mirror_whole.bytes, g_bytes_unref);
	g_clear_pointer(&g->mirror_behind.bytes, g_bytes_unref);
	g_clear_pointer(&g->mirror_recent.bytes, g_bytes_unref);
}

void mirror_init(gateway_t *g)
{
	g->mirror_waiters = g_ptr_array_new();
}

void mirror_reply(gateway_t *g, http_request_t *req)
{
	mstime_t now = clock_now();
	uint64_t from[MIRROR_FEEDS];
	int64_t hold = 0;
	waiter_t *w;

	for (int i = 0; i < MIRROR_FEEDS; i++) {
		int64_t n = 0;

		str_to_int(http_request_query(req, feed_string[i]), &n);
		from[i] = (uint64_t)MAX(0, n);
	}
	str_to_int(http_request_query(req, "hold_ms"), &hold);
	hold = CLAMP(hold, 0, WHOLE_MAX_MS);
	if (!hold || g->phase == GATEWAY_STOPPING || tell_now_(g, from)) {
		answer_(g, req, from, now, now);
		return;
	}
	w = g_new0(waiter_t, 1);
	*w = (waiter_t){
		.gateway = g, .req = req, .asked_at = now, .until = now + hold
	};
	memcpy(w->from, from, sizeof(from));
	http_request_set_user(req, w);
	http_request_ends_with_connection(req);
	g_ptr_array_add(g->mirror_waiters, w);
}

json_t *mirror_read(str_t body, str_t *after)
{
	json_error_t end = { 0 };
	json_t *root =
		json_loadb(body.data, body.len, JSON_DISABLE_EOF_CHECK, &end);

	*after = STR_NONE;
	if (root)
		*after = (str_t){ body.data + end.position,
				  body.len - (size_t)end.position };
	return root;
}

/* The bytes of an entry; false when there are not as many as it says. */
static bool take_bytes_(const json_t *entry, str_t *after, str_t *data)
{
	json_int_t len = json_integer_value(json_object_get(entry, "bytes"));

	if (len < 0 || (uint64_t)len > after->len)
		return false;
	*data = (str_t){ after->data, (size_t)len };
	after->data += len;
	after->len -= (size_t)len;
	return true;
}

/* Passes over the bytes of a feed that is not taken. */
static void skip_(const json_t *feed, str_t *after)
{
	size_t i;
	json_t *entry;
	str_t data;

	json_array_foreach (json_object_get(feed, "entries"), i, entry) {
		if (!take_bytes_(entry, after, &data))
			return;
	}
}

void mirror_take(feed_state_t *s, const json_t *feed, str_t *after,
		 mstime_t asked_at, mstime_t now)
{
	json_int_t next = json_integer_value(json_object_get(feed, "next"));
	json_int_t age = json_integer_value(json_object_get(feed, "age_ms"));
	size_t i;
	json_t *entry;
	bool whole = json_is_true(json_object_get(feed, "whole"));

	if (!json_is_true(json_object_get(feed, "loaded")) ||
	    (uint64_t)next < s->next) {
		skip_(feed, after);
		return;
	}
	if (whole) {
		feeds_drop_pass(s);
		feeds_begin_pass(s);
	}
	json_array_foreach (json_object_get(feed, "entries"), i, entry) {
		const json_t *key = json_object_get(entry, "key");
		feed_record_t r = {
			.key = { json_string_value(key),
				 json_string_length(key) },
			.offset = (uint64_t)json_integer_value(
				json_object_get(entry, "offset")),
			.removed = !json_object_get(entry, "bytes"),
		};

		/* What is not whole says nothing of how far it goes. */
		if (!take_bytes_(entry, after, &r.data)) {
			feeds_drop_pass(s);
			return;
		}
		if (r.key.len)
			feeds_take(s, &r, now);
	}
	asked_at -= MAX(0, age);
	if (whole)
		feeds_end_pass(s, (uint64_t)next, asked_at, now);
	else
		feeds_current(s, asked_at, (uint64_t)next);
}

static bool stale_(const gateway_t *g, mstime_t now)
{
	for (int i = 0; i < MIRROR_FEEDS; i++) {
		const feed_state_t *s = &g->states[i];

		if (!s->loaded || s->current_at < g->woke_at ||
		    now - s->current_at > gateway_part_ms(g, STALE_PART))
			return true;
	}
	return false;
}

/* When the other node made its answer, by this node's clock. */
static mstime_t made_at_(gateway_t *g, http_call_t *call, mstime_t now)
{
	int64_t lead = 0;

	str_to_int(http_call_header(call, HEADER_LEAD), &lead);
	return MIN(now, g->mirror_asked_at + lead);
}

static guint count_(const json_t *root, const char *name)
{
	return (guint)CLAMP(json_integer_value(json_object_get(root, name)), 0,
			    COUNT_MAX);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	gateway_t *g = ctx;
	str_t body = http_call_body(call);
	mstime_t now = clock_now();
	json_t *root;
	str_t after;

	g->mirror_call = NULL;
	if (err || status != 200) {
		g->mirror_turn++;
		g->mirror_next_at = now + FAILED_INTERVAL_MS;
		LOG_EVENT(LOG_INFO, "mirror.failed",
			  F_STR("error", http_err_string[-err]),
			  F_INT("status", status));
		return;
	}
	root = mirror_read(body, &after);
	for (int i = 0; i < MIRROR_FEEDS; i++)
		mirror_take(&g->states[i],
			    json_object_get(root, feed_string[i]), &after,
			    made_at_(g, call, now), now);
	gateway_peers_take_serving(g, count_(root, "serving"), now);
	take_addresses_(g, json_object_get(root, "addresses"));
	g->told_nodes = MAX(g->told_nodes, (int)count_(root, "nodes"));
	json_decref(root);
	g->mirror_answers++;
	if (stale_(g, now)) {
		/* The other one knows no more than this node. */
		g->mirror_turn++;
		g->mirror_next_at = now + STALE_INTERVAL_MS;
	}
	gateway_learned(g, now);
}

static const http_call_ops_t ops = { .done = on_done_ };

/*
 * A node that is up to date asks its place's source. Others ask the readers
 * and any others by turns; a node that knows no other asks a seed.
 */
static const char *source_(gateway_t *g, bool stale)
{
	guint count = g->plan->len;
	guint readers = MIN(fleet_roles_reader_count(count), count);
	const member_t *m = NULL;

	if (!stale && g->plan_at >= (int)readers)
		m = gateway_peers_planned(
			g, fleet_roles_sync_source((guint)g->plan_at, count,
						   g->mirror_turn));
	else if (count && g->mirror_turn % 2 == 0)
		m = gateway_peers_planned(
			g,
			(g->members.self->key + g->mirror_turn / 2) % readers);
	else
		m = gateway_peers_any_live(g);
	if (m && m != g->members.self)
		return m->operators;
	if (!g->conf->seed_admins->len)
		return NULL;
	return g->conf->seed_admins
		->pdata[(g->members.self->key + g->mirror_turn) %
			g->conf->seed_admins->len];
}

static void ask_(gateway_t *g, const char *address, bool stale, mstime_t now)
{
	const feed_state_t *operators = &g->states[FEED_OPERATORS];
	const feed_state_t *upstreams = &g->states[FEED_UPSTREAMS];
	bool start = !operators->loaded || !upstreams->loaded;
	mstime_t hold = stale && !start ? 0 : gateway_part_ms(g, HOLD_PART);
	http_call_spec_t spec = {
		.method = "GET",
		.deadline = now + hold + (start ? WHOLE_MAX_MS : ANSWER_MAX_MS),
		.connect_max_ms = CONNECT_MAX_MS,
		.bare = true,
		.inflate = true,
	};
	char *url = g_strdup_printf("http://%s%s?operators=%" G_GUINT64_FORMAT
				    "&upstreams=%" G_GUINT64_FORMAT
				    "&hold_ms=%" G_GINT64_FORMAT,
				    address, GATEWAY_FEEDS_PATH,
				    operators->next, upstreams->next, hold);

	spec.url = url;
	counter_add(COUNTER_FEED_CALLS, 1);
	g->mirror_asked_at = now;
	g->mirror_call = http_call_start(&g->store, &spec, &ops, g);
	g_free(url);
}

void mirror_tick(gateway_t *g, mstime_t now)
{
	bool stale = stale_(g, now);
	const char *address;

	mirror_news(g, now);
	if (g->mirror_call || now < g->mirror_next_at ||
	    (!stale && reader_is(g, now)))
		return;
	address = source_(g, stale);
	if (!address || !strcmp(address, g->conf->admin)) {
		g->mirror_turn++;
		return;
	}
	ask_(g, address, stale, now);
}
