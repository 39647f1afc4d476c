/*
 * platform - append-only log, host list and weight store.
 */
#include "standin.h"

#include <glib.h>
#include <string.h>

#define MAX_DEFAULT 500
#define SWEEP_S 0.05
#define READ_PREFIX "/streams/"

typedef struct record {
	json_int_t offset;
	mstime_t at;
	char *body;
} record_t;

typedef struct stream {
	GQueue records;
	json_int_t next;
} stream_t;

/* A read that waits for records to come. */
typedef struct waiter {
	http_request_t *req;
	stream_t *stream;
	json_int_t from;
	mstime_t until;
} waiter_t;

static struct {
	standin_options_t o;
	GHashTable *streams;
	GPtrArray *waiters;
	ev_timer sweep;
	int64_t appends;
	int64_t reads;
	mstime_t second;
	int in_second;
} l;

static struct {
	int down;	  /* refuses at once */
	int hang;	  /* answers nothing, takes nothing */
	int lose_answers; /* takes appends and answers nothing */
} fault;

static stream_t *stream_(const char *name)
{
	stream_t *s = g_hash_table_lookup(l.streams, name);

	if (s)
		return s;
	s = g_new0(stream_t, 1);
	g_queue_init(&s->records);
	s->next = 1;
	g_hash_table_insert(l.streams, g_strdup(name), s);
	return s;
}

static void reply_read_(http_request_t *r, stream_t *s, json_int_t from,
			int64_t max)
{
	json_t *list = json_array();
	const record_t *head = g_queue_peek_head(&s->records);

	for (GList *n = s->records.head; n; n = n->next) {
		const record_t *rec = n->data;

		if (rec->offset < from)
			continue;
		if ((int64_t)json_array_size(list) >= max)
			break;
		json_array_append_new(list, json_pack("{s:I,s:I,s:s}", "offset",
						      rec->offset, "at",
						      (json_int_t)rec->at,
						      "body", rec->body));
	}
	standin_json(r, 200,
		     json_pack("{s:I,s:I,s:o}", "first",
			       head ? head->offset : s->next, "next", s->next,
			       "records", list));
}

static void wake_(void)
{
	mstime_t now = clock_now();

	for (guint i = 0; i < l.waiters->len;) {
		waiter_t *w = l.waiters->pdata[i];

		if (w->stream->next <= w->from && now < w->until) {
			i++;
			continue;
		}
		if (fault.down)
			standin_json(w->req, 503, json_object());
		else if (!fault.hang)
			reply_read_(w->req, w->stream, w->from, MAX_DEFAULT);
		http_request_set_user(w->req, NULL);
		g_ptr_array_remove_index(l.waiters, i);
		g_free(w);
	}
}

static void on_sweep_(struct ev_loop *loop, ev_timer *t, int revents)
{
	GHashTableIter iter;
	gpointer value;
	mstime_t before = clock_wall() - l.o.retention_ms;

	(void)loop;
	(void)t;
	(void)revents;
	g_hash_table_iter_init(&iter, l.streams);
	while (l.o.retention_ms &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		stream_t *s = value;
		record_t *rec;

		while ((rec = g_queue_peek_head(&s->records)) &&
		       rec->at < before) {
			g_queue_pop_head(&s->records);
			g_free(rec->body);
			g_free(rec);
		}
	}
	wake_();
}

static void log_init_(struct ev_loop *loop, const standin_options_t *o)
{
	l.o = *o;
	l.streams = g_hash_table_new(g_str_hash, g_str_equal);
	l.waiters = g_ptr_array_new();
	ev_timer_init(&l.sweep, on_sweep_, SWEEP_S, SWEEP_S);
	ev_timer_start(loop, &l.sweep);
}

static bool over_rate_(void)
{
	mstime_t second = clock_now() / MSEC_PER_SEC;

	if (second != l.second)
		l.in_second = 0;
	l.second = second;
	return l.o.rate && ++l.in_second > l.o.rate;
}

static void append_(http_request_t *r, stream_t *s)
{
	record_t *rec;

	if (over_rate_()) {
		standin_json(r, 429, json_object());
		return;
	}
	rec = g_new0(record_t, 1);
	rec->offset = s->next++;
	rec->at = clock_wall();
	rec->body = str_dup(http_request_body(r));
	g_queue_push_tail(&s->records, rec);
	l.appends++;
	/* Otherwise the answer is lost, though the append has its effect. */
	if (!fault.lose_answers)
		standin_json(r, 200, json_pack("{s:I}", "offset", rec->offset));
	wake_();
}

static void read_(http_request_t *r, stream_t *s)
{
	int64_t from = 1;
	int64_t wait = 0;
	int64_t max = MAX_DEFAULT;
	waiter_t *w;

	l.reads++;
	str_to_int(http_request_query(r, "from"), &from);
	str_to_int(http_request_query(r, "wait_ms"), &wait);
	str_to_int(http_request_query(r, "max"), &max);
	if (s->next > from || !wait) {
		reply_read_(r, s, from, max);
		return;
	}
	w = g_new0(waiter_t, 1);
	w->req = r;
	w->stream = s;
	w->from = from;
	w->until = clock_now() + wait;
	http_request_set_user(r, w);
	g_ptr_array_add(l.waiters, w);
}

static void log_request_(http_request_t *r)
{
	str_t path = http_request_path(r);
	char *name;

	if (!str_starts_with(path, str_of(READ_PREFIX))) {
		standin_json(r, 404, json_object());
		return;
	}
	if (fault.hang)
		return;
	if (fault.down) {
		standin_json(r, 503, json_object());
		return;
	}
	name = str_dup(str_skip(path, strlen(READ_PREFIX)));
	if (str_eq(http_request_method(r), str_of("POST")))
		append_(r, stream_(name));
	else
		read_(r, stream_(name));
	g_free(name);
}

static void log_closed_(http_request_t *r, bool whole)
{
	waiter_t *w = http_request_user(r);

	(void)whole;
	if (w && g_ptr_array_remove(l.waiters, w))
		g_free(w);
}

static void log_fault_(const json_t *f)
{
	standin_switch(f, "down", &fault.down);
	standin_switch(f, "hang", &fault.hang);
	standin_switch(f, "lose_answers", &fault.lose_answers);
	standin_switch(f, "retention_ms", &l.o.retention_ms);
	if (fault.down)
		for (guint i = 0; i < l.waiters->len; i++)
			((waiter_t *)l.waiters->pdata[i])->until = 0;
	wake_();
}

static json_t *log_stats_(void)
{
	return json_pack("{s:I,s:I,s:i}", "appends", (json_int_t)l.appends,
			 "reads", (json_int_t)l.reads, "waiting",
			 (int)l.waiters->len);
}

const standin_ops_t log_ops = { "log",	     log_init_,	 log_request_,
				log_closed_, log_fault_, log_stats_ };

static struct {
	json_t *list;
	int version;
	int down;
} h;

static void hosts_init_(struct ev_loop *loop, const standin_options_t *o)
{
	(void)loop;
	(void)o;
	h.list = json_array();
}

static void hosts_request_(http_request_t *r)
{
	char etag[16];
	const http_header_t headers[] = { { "ETag", etag }, { NULL, NULL } };
	json_t *body;
	char *text;

	g_snprintf(etag, sizeof(etag), "\"%d\"", h.version);
	if (h.down) {
		standin_json(r, 503, json_object());
		return;
	}
	if (str_eq(http_request_header(r, "If-None-Match"), str_of(etag))) {
		http_reply(r, 304, headers, STR_NONE);
		return;
	}
	body = json_pack("{s:O}", "hosts", h.list);
	text = json_dumps(body, JSON_COMPACT);
	http_reply(r, 200, headers, str_of(text));
	free(text);
	json_decref(body);
}

static void hosts_fault_(const json_t *f)
{
	json_t *list = json_object_get(f, "hosts");

	standin_switch(f, "down", &h.down);
	if (!list)
		return;
	json_decref(h.list);
	h.list = json_incref(list);
	h.version++;
}

static json_t *hosts_stats_(void)
{
	return json_pack("{s:O}", "hosts", h.list);
}

const standin_ops_t hosts_ops = { "hosts", hosts_init_,	 hosts_request_,
				  NULL,	   hosts_fault_, hosts_stats_ };

static struct {
	standin_options_t o;
	int loads;
	int refused;
	mstime_t second;
	int in_second;
} w;

static void weights_init_(struct ev_loop *loop, const standin_options_t *o)
{
	(void)loop;
	w.o = *o;
}

static void weights_request_(http_request_t *r)
{
	mstime_t second = clock_now() / MSEC_PER_SEC;

	if (second != w.second)
		w.in_second = 0;
	w.second = second;
	if (w.o.rate && ++w.in_second > w.o.rate) {
		w.refused++;
		standin_json(r, 429, json_object());
		return;
	}
	w.loads++;
	standin_json(r, 200, json_object());
}

static void weights_fault_(const json_t *f)
{
	standin_switch(f, "rate", &w.o.rate);
}

static json_t *weights_stats_(void)
{
	return json_pack("{s:i,s:i}", "loads", w.loads, "refused", w.refused);
}

const standin_ops_t weights_ops = { "weights", weights_init_,  weights_request_,
				    NULL,      weights_fault_, weights_stats_ };
