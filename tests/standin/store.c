/*
 * store - the platform's log as far as gateways use it: three keyed topics of
 * one partition each. Operators' and upstreams' records come with POST /fault;
 * {"heartbeat_ms": N} has upstreams write theirs again each N ms, 0 ends it.
 */
#include "standin.h"

#include <glib.h>
#include <kcf/clock.h>
#include <string.h>

#define TOPICS 4
#define PAGE_ENTRIES 500
#define OFFSET_BYTES 8
#define LENGTH_BYTES 4

typedef struct record {
	guint64 offset;
	GBytes *key;
	GBytes *data; /* NULL for a dropped key */
} record_t;

typedef struct topic {
	const char *name;
	GPtrArray *history; /* record_t * */
	GHashTable *newest; /* GBytes * to record_t *, owned by all */
	GPtrArray *all;	    /* record_t *, kept for ever */
	guint64 next;
	guint64 copied; /* next when the copy was taken */
} topic_t;

/* A read that waits for news. */
typedef struct waiter {
	http_request_t *req;
	topic_t *topic;
	guint64 from;
	ev_timer timer;
} waiter_t;

static struct {
	struct ev_loop *loop;
	topic_t topics[TOPICS];
	int reads;
	int appends;
	int era; /* grows with each restore from a copy */
	ev_timer heartbeat;
} s;

static struct {
	int busy;   /* 503 to every call */
	int silent; /* no answer at all */
	int lost;   /* appends are done and not answered */
} fault;

static GPtrArray *waiters;

static void reply_(http_request_t *req, unsigned int status, str_t body)
{
	char era[16];
	const http_header_t headers[] = { { "Store-Era", era },
					  { NULL, NULL } };

	g_snprintf(era, sizeof(era), "%d", s.era);
	http_reply(req, status, headers, body);
}

static void reply_json_(http_request_t *req, unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	reply_(req, status, str_of(text));
	free(text);
	json_decref(body);
}

static void record_free_(gpointer p)
{
	record_t *r = p;

	g_bytes_unref(r->key);
	if (r->data)
		g_bytes_unref(r->data);
	g_free(r);
}

static void init_(struct ev_loop *loop, const standin_options_t *o)
{
	static const char *const names[] = { "keyed.op", "keyed.servers",
					     "keyed.status", "keyed.streams" };

	(void)o;
	s.loop = loop;
	s.era = 1;
	ev_init(&s.heartbeat, NULL);
	waiters = g_ptr_array_new();
	for (int i = 0; i < TOPICS; i++) {
		topic_t *t = &s.topics[i];

		t->name = names[i];
		t->history = g_ptr_array_new();
		t->all = g_ptr_array_new_with_free_func(record_free_);
		t->newest = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	}
}

static topic_t *topic_(str_t name)
{
	for (int i = 0; i < TOPICS; i++) {
		if (str_eq(name, str_of(s.topics[i].name)))
			return &s.topics[i];
	}
	return NULL;
}

static guint64 first_(const topic_t *t)
{
	const record_t *r = t->history->len ? t->history->pdata[0] : NULL;

	return r ? r->offset : t->next;
}

static void append_number_(GByteArray *out, guint64 v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(v >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void append_record_(GByteArray *out, const record_t *r)
{
	gsize key_len;
	gsize data_len = 0;
	const guint8 *key = g_bytes_get_data(r->key, &key_len);
	const guint8 *data =
		r->data ? g_bytes_get_data(r->data, &data_len) : NULL;

	append_number_(out, 1 + key_len + data_len, LENGTH_BYTES);
	append_number_(out, key_len, 1);
	g_byte_array_append(out, key, (guint)key_len);
	if (data_len)
		g_byte_array_append(out, data, (guint)data_len);
}

static void answer_read_(http_request_t *req, const topic_t *t, guint64 from)
{
	GByteArray *out = g_byte_array_new();

	append_number_(out, t->next, OFFSET_BYTES);
	append_number_(out, first_(t), OFFSET_BYTES);
	for (guint i = 0; i < t->history->len; i++) {
		const record_t *r = t->history->pdata[i];

		if (r->offset >= from)
			append_record_(out, r);
	}
	reply_(req, 200, (str_t){ (const char *)out->data, out->len });
	g_byte_array_unref(out);
}

static void on_wait_over_(struct ev_loop *loop, ev_timer *w, int revents)
{
	waiter_t *waiter = w->data;

	(void)loop;
	(void)revents;
	answer_read_(waiter->req, waiter->topic, waiter->from);
}

static void wake_(topic_t *t)
{
	for (guint i = 0; i < waiters->len; i++) {
		waiter_t *w = waiters->pdata[i];

		if (w->topic != t)
			continue;
		/* At once, from the loop. */
		ev_timer_stop(s.loop, &w->timer);
		ev_timer_set(&w->timer, 0, 0);
		ev_timer_start(s.loop, &w->timer);
	}
}

static void put_(topic_t *t, GBytes *key, GBytes *data)
{
	record_t *r = g_new0(record_t, 1);

	r->offset = t->next++;
	r->key = key;
	r->data = data;
	g_ptr_array_add(t->all, r);
	g_ptr_array_add(t->history, r);
	if (data)
		g_hash_table_replace(t->newest, r->key, r);
	else
		g_hash_table_remove(t->newest, r->key);
	wake_(t);
}

static guint64 number_(http_request_t *req, const char *name)
{
	int64_t v = 0;

	str_to_int(http_request_query(req, name), &v);
	return (guint64)MAX(0, v);
}

static void read_(http_request_t *req, topic_t *t)
{
	guint64 from = number_(req, "source");
	guint64 wait_ms = number_(req, "wait_ms");
	waiter_t *w;

	s.reads++;
	if (from < first_(t) || from > t->next) {
		reply_json_(req, 410,
			    json_pack("{s:I}", "start_offset",
				      (json_int_t)first_(t)));
		return;
	}
	if (from < t->next || !wait_ms) {
		answer_read_(req, t, from);
		return;
	}
	w = g_new0(waiter_t, 1);
	w->req = req;
	w->topic = t;
	w->from = from;
	ev_timer_init(&w->timer, on_wait_over_, (double)wait_ms / MSEC_PER_SEC,
		      0);
	w->timer.data = w;
	ev_timer_start(s.loop, &w->timer);
	g_ptr_array_add(waiters, w);
	http_request_set_user(req, w);
}

static gint by_key_(gconstpointer a, gconstpointer b)
{
	const record_t *ra = *(record_t *const *)a;
	const record_t *rb = *(record_t *const *)b;

	return g_bytes_compare(ra->key, rb->key);
}

static json_t *entry_(const record_t *r)
{
	gsize key_len;
	gsize data_len;
	const char *key = g_bytes_get_data(r->key, &key_len);
	const guchar *data = g_bytes_get_data(r->data, &data_len);
	char *text = g_base64_encode(data, data_len);
	json_t *entry = json_pack("{s:s%,s:s,s:I}", "key", key, key_len, "data",
				  text, "offset", (json_int_t)r->offset);

	g_free(text);
	return entry;
}

static void newest_(http_request_t *req, topic_t *t)
{
	GPtrArray *list = g_ptr_array_new();
	str_t after = http_request_query(req, "after");
	GBytes *last = g_bytes_new(after.data, after.len);
	json_t *entries = json_array();
	GHashTableIter iter;
	gpointer value;
	bool more = false;

	s.reads++;
	g_hash_table_iter_init(&iter, t->newest);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, by_key_);
	for (guint i = 0; i < list->len; i++) {
		const record_t *r = list->pdata[i];

		if (g_bytes_compare(r->key, last) <= 0)
			continue;
		more = json_array_size(entries) >= PAGE_ENTRIES;
		if (more)
			break;
		json_array_append_new(entries, entry_(r));
	}
	reply_json_(req, 200,
		    json_pack("{s:o,s:b,s:I}", "entries", entries, "has_more",
			      more, "end_offset", (json_int_t)t->next));
	g_bytes_unref(last);
	g_ptr_array_unref(list);
}

static void append_(http_request_t *req, topic_t *t)
{
	str_t body = http_request_body(req);
	guint64 first = t->next;

	s.appends++;
	if (http_request_query(req, "at").len && number_(req, "at") != first) {
		reply_json_(
			req, 412,
			json_pack("{s:I}", "end_offset", (json_int_t)first));
		return;
	}
	while (body.len >= LENGTH_BYTES + 1) {
		const unsigned char *p = (const unsigned char *)body.data;
		size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
			     (size_t)p[2] << 8 | p[3];
		size_t key_len = p[LENGTH_BYTES];

		body = str_skip(body, LENGTH_BYTES);
		put_(t, g_bytes_new(body.data + 1, key_len),
		     len > 1 + key_len ? g_bytes_new(body.data + 1 + key_len,
						     len - 1 - key_len)
				       : NULL);
		body = str_skip(body, len);
	}
	if (!fault.lost)
		reply_json_(req, 200,
			    json_pack("{s:I,s:I}", "offset", (json_int_t)first,
				      "end_offset", (json_int_t)t->next));
}

static void request_(http_request_t *req)
{
	str_t path = http_request_path(req);
	topic_t *t = topic_(http_request_query(req, "topic"));

	if (fault.silent)
		return;
	if (fault.busy || !t) {
		reply_json_(req, fault.busy ? 503 : 404, json_object());
		return;
	}
	if (str_eq(path, str_of("/api/log-read")))
		read_(req, t);
	else if (str_eq(path, str_of("/api/log-newest")))
		newest_(req, t);
	else if (str_eq(path, str_of("/api/log-append")))
		append_(req, t);
	else
		reply_json_(req, 404, json_object());
}

static void closed_(http_request_t *req, bool whole)
{
	waiter_t *w = http_request_user(req);

	(void)whole;
	if (!w)
		return;
	ev_timer_stop(s.loop, &w->timer);
	g_ptr_array_remove(waiters, w);
	g_free(w);
}

static GBytes *bytes_(const json_t *v)
{
	return g_bytes_new(json_string_value(v), json_string_length(v));
}

/* {"put": [[topic, key, value or null], ...]} */
static void put_all_(const json_t *list)
{
	size_t i;
	json_t *row;

	json_array_foreach ((json_t *)list, i, row) {
		topic_t *t = topic_(
			str_of(json_string_value(json_array_get(row, 0))));
		const json_t *value = json_array_get(row, 2);

		if (t)
			put_(t, bytes_(json_array_get(row, 1)),
			     json_is_string(value) ? bytes_(value) : NULL);
	}
}

static void rebuild_newest_(topic_t *t)
{
	g_hash_table_remove_all(t->newest);
	for (guint i = 0; i < t->all->len; i++) {
		record_t *r = t->all->pdata[i];

		if (r->data)
			g_hash_table_replace(t->newest, r->key, r);
		else
			g_hash_table_remove(t->newest, r->key);
	}
}

/* Goes back to the copy; later offsets are given out again. */
static void restore_(topic_t *t)
{
	while (t->history->len &&
	       ((record_t *)t->history->pdata[t->history->len - 1])->offset >=
		       t->copied)
		g_ptr_array_set_size(t->history, (gint)t->history->len - 1);
	while (t->all->len &&
	       ((record_t *)t->all->pdata[t->all->len - 1])->offset >=
		       t->copied)
		g_ptr_array_set_size(t->all, (gint)t->all->len - 1);
	t->next = t->copied;
	rebuild_newest_(t);
}

/* The record of an upstream with its next heartbeat; NULL if it has none. */
static GBytes *next_heartbeat_(const record_t *r)
{
	gsize len;
	const char *data = g_bytes_get_data(r->data, &len);
	json_t *entry = json_loadb(data, len, 0, NULL);
	json_t *sequence = json_object_get(entry, "sequence");
	GBytes *next = NULL;
	char *text;

	if (json_is_integer(sequence)) {
		json_integer_set(sequence, json_integer_value(sequence) + 1);
		text = json_dumps(entry, JSON_COMPACT);
		next = g_bytes_new(text, strlen(text));
		free(text);
	}
	json_decref(entry);
	return next;
}

static void on_heartbeat_(struct ev_loop *loop, ev_timer *w, int revents)
{
	topic_t *t = topic_(str_of("keyed.servers"));
	GList *all = g_hash_table_get_values(t->newest);

	(void)loop;
	(void)w;
	(void)revents;
	for (GList *l = all; l && !fault.busy && !fault.silent; l = l->next) {
		const record_t *r = l->data;
		GBytes *next = next_heartbeat_(r);

		if (next)
			put_(t, g_bytes_ref(r->key), next);
	}
	g_list_free(all);
}

static void set_heartbeat_(const json_t *interval_ms)
{
	double interval = json_number_value(interval_ms) / MSEC_PER_SEC;

	if (!interval_ms)
		return;
	ev_timer_stop(s.loop, &s.heartbeat);
	ev_timer_init(&s.heartbeat, on_heartbeat_, interval, interval);
	if (interval > 0)
		ev_timer_start(s.loop, &s.heartbeat);
}

static void set_fault_(const json_t *f)
{
	bool copy = json_is_true(json_object_get(f, "copy"));
	bool restore = json_is_true(json_object_get(f, "restore"));

	for (int i = 0; i < TOPICS; i++) {
		if (copy)
			s.topics[i].copied = s.topics[i].next;
		if (restore)
			restore_(&s.topics[i]);
	}
	s.era += restore;
	standin_switch(f, "busy", &fault.busy);
	standin_switch(f, "silent", &fault.silent);
	standin_switch(f, "lost", &fault.lost);
	/* History goes; the newest record of each key stays. */
	if (json_is_true(json_object_get(f, "compact"))) {
		for (int i = 0; i < TOPICS; i++)
			g_ptr_array_set_size(s.topics[i].history, 0);
	}
	put_all_(json_object_get(f, "put"));
	set_heartbeat_(json_object_get(f, "heartbeat_ms"));
}

static json_t *stats_(void)
{
	return json_pack("{s:i,s:i}", "reads", s.reads, "appends", s.appends);
}

const standin_ops_t store_ops = { "store", init_,      request_,
				  closed_, set_fault_, stats_ };
