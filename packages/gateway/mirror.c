/*
 * A node that the platform turns away learns from others what they know.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* What is older than this a reader asks of another node as well. */
#define STALE_MS 1500
#define INTERVAL_MS 450
#define ANSWER_MAX_MS 500

static json_t *entry_(const feed_entry_t *e)
{
	gsize len = 0;
	const char *data = e->data ? g_bytes_get_data(e->data, &len) : NULL;
	json_t *text;

	if (!data)
		return json_pack("{s:s,s:I}", "key", e->key, "offset",
				 (json_int_t)e->offset);
	text = json_stringn(data, len);
	/* Bytes that are no text describe nothing. */
	if (!text)
		return NULL;
	return json_pack("{s:s,s:I,s:o}", "key", e->key, "offset",
			 (json_int_t)e->offset, "data", text);
}

json_t *mirror_feed(const feed_state_t *s, uint64_t from, mstime_t now)
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
		entry = entry_(e);
		if (entry)
			json_array_append_new(list, entry);
	}
	return json_pack("{s:I,s:I,s:b,s:b,s:o}", "next", (json_int_t)s->next,
			 "age_ms", (json_int_t)(now - s->current_at), "loaded",
			 settled, "whole", whole, "entries", list);
}

void mirror_reply(gateway_t *g, http_request_t *req)
{
	mstime_t now = clock_now();
	json_t *root = json_object();

	for (int i = 0; i <= FEED_UPSTREAMS; i++) {
		int64_t from = 0;

		str_to_int(http_request_query(req, feed_string[i]), &from);
		json_object_set_new(root, feed_string[i],
				    mirror_feed(&g->states[i],
						(uint64_t)MAX(0, from), now));
	}
	gateway_reply_tree(req, root);
}

void mirror_take(feed_state_t *s, const json_t *feed, mstime_t asked_at,
		 mstime_t now)
{
	json_int_t next = json_integer_value(json_object_get(feed, "next"));
	json_int_t age = json_integer_value(json_object_get(feed, "age_ms"));
	size_t i;
	json_t *entry;
	bool whole = json_is_true(json_object_get(feed, "whole"));

	if (!json_is_true(json_object_get(feed, "loaded")) ||
	    (uint64_t)next < s->next)
		return;
	if (whole) {
		feeds_drop_pass(s);
		feeds_begin_pass(s);
	}
	json_array_foreach (json_object_get(feed, "entries"), i, entry) {
		const json_t *data = json_object_get(entry, "data");
		const json_t *key = json_object_get(entry, "key");
		feed_record_t r = {
			.key = { json_string_value(key),
				 json_string_length(key) },
			.data = { json_string_value(data),
				  json_string_length(data) },
			.offset = (uint64_t)json_integer_value(
				json_object_get(entry, "offset")),
			.removed = !data,
		};

		if (r.key.len)
			feeds_take(s, &r, now);
	}
	asked_at -= MAX(0, age);
	if (whole)
		feeds_end_pass(s, (uint64_t)next, asked_at, now);
	else
		feeds_current(s, asked_at, (uint64_t)next);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	gateway_t *g = ctx;
	str_t body = http_call_body(call);
	mstime_t now = clock_now();
	json_t *root;

	g->mirror_call = NULL;
	if (err || status != 200) {
		g->mirror_turn++;
		LOG_EVENT(LOG_INFO, "mirror.failed",
			  F_STR("error", http_err_string[-err]),
			  F_INT("status", status));
		return;
	}
	root = json_loadb(body.data, body.len, 0, NULL);
	for (int i = 0; i <= FEED_UPSTREAMS; i++)
		mirror_take(&g->states[i],
			    json_object_get(root, feed_string[i]),
			    g->mirror_asked_at, now);
	json_decref(root);
}

static const http_call_ops_t ops = { .done = on_done_ };

static bool stale_(const feed_state_t *s, mstime_t now)
{
	return !s->loaded || now - s->current_at > STALE_MS;
}

/* Each node has a reader that it asks first, so that all are asked alike. */
static const member_t *source_(gateway_t *g, bool stale)
{
	guint turn = g->members.self->key + g->mirror_turn;

	return stale ? gateway_peers_any(g)
		     : gateway_peers_nth(g, turn % feeds_readers(g));
}

void mirror_tick(gateway_t *g, mstime_t now)
{
	const feed_state_t *operators = &g->states[FEED_OPERATORS];
	const feed_state_t *upstreams = &g->states[FEED_UPSTREAMS];
	const member_t *peer;
	http_call_spec_t spec = { .method = "GET",
				  .deadline = now + ANSWER_MAX_MS,
				  .bare = true };
	char *url;

	bool stale = stale_(operators, now) || stale_(upstreams, now);

	if (g->mirror_call || now < g->mirror_next_at ||
	    (!stale && feeds_reader(g)))
		return;
	g->mirror_next_at = now + INTERVAL_MS;
	peer = source_(g, stale);
	if (!peer)
		return;
	url = g_strdup_printf("http://%s%s?operators=%" G_GUINT64_FORMAT
			      "&upstreams=%" G_GUINT64_FORMAT,
			      peer->operators, GATEWAY_FEEDS_PATH,
			      operators->next, upstreams->next);
	spec.url = url;
	g->mirror_asked_at = now;
	g->mirror_call = http_call_start(&g->store, &spec, &ops, g);
	g_free(url);
}
