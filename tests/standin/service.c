/*
 * service - a plain upstream that counts how often each key has run.
 */
#include "standin.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

typedef struct call {
	http_request_t *req;
	ev_timer timer;
	int run;
} call_t;

static struct {
	struct ev_loop *loop;
	standin_options_t o;
	json_t *runs; /* key to number of runs */
	int total;
	int outstanding;
	mstime_t last_new;
	int64_t start_id;
} s;

static struct {
	int refuse; /* before running */
	int cut;    /* runs, and closes without an answer */
	int hang;   /* runs, and never answers */
	int crossed;
	int status;	     /* of answers, 0 for 200 */
	int pad_bytes;	     /* that answers are longer by */
	char crash_text[64]; /* in a body */
} fault;

static void init_(struct ev_loop *loop, const standin_options_t *o)
{
	s.loop = loop;
	s.o = *o;
	s.runs = json_object();
	s.start_id = clock_wall();
}

static void count_(http_request_t *r)
{
	char *key = str_dup(http_request_header(r, "Idempotency-Key"));
	json_int_t n = json_integer_value(json_object_get(s.runs, key));

	if (*key)
		json_object_set_new(s.runs, key, json_integer(n + 1));
	g_free(key);
	s.total++;
	s.last_new = clock_wall();
}

static void answer_(http_request_t *r, int run)
{
	char *id = str_dup(http_request_header(r, "X-Request-Id"));
	char *path = str_dup(http_request_path(r));
	char *method = str_dup(http_request_method(r));
	str_t body = http_request_body(r);
	json_t *o = json_pack("{s:s,s:s,s:s,s:i,s:s,s:s%}", "service", s.o.name,
			      "method", method, "path", path, "run", run,
			      "request_id", id, "body",
			      body.data ? body.data : "", body.len);
	char *pad = g_strnfill((gsize)fault.pad_bytes, 'x');
	char *text;
	const http_header_t headers[] = {
		{ "Content-Type", "application/json" },
		{ "X-Request-Id", fault.crossed ? "another" : id },
		{ NULL, NULL },
	};

	json_object_set_new(o, "pad", json_string(pad));
	text = json_dumps(o, JSON_COMPACT);
	http_reply(r, fault.status ? (unsigned int)fault.status : 200, headers,
		   str_of(text));
	free(text);
	json_decref(o);
	g_free(pad);
	g_free(id);
	g_free(path);
	g_free(method);
}

static void on_time_(struct ev_loop *loop, ev_timer *w, int revents)
{
	call_t *c = w->data;
	str_t body = http_request_body(c->req);

	(void)loop;
	(void)revents;
	if (fault.crash_text[0] && body.len &&
	    g_strstr_len(body.data, (gssize)body.len, fault.crash_text))
		_exit(1);
	if (fault.cut) {
		http_stream_begin(c->req, 200, NULL);
		http_stream_end(c->req, false);
	} else if (!fault.hang) {
		answer_(c->req, c->run);
	}
}

static void request_(http_request_t *r)
{
	call_t *c;

	if (str_eq(http_request_path(r), str_of("/load"))) {
		standin_json(r, 200,
			     json_pack("{s:i,s:I}", "outstanding",
				       s.outstanding, "start_id",
				       (json_int_t)s.start_id));
		return;
	}
	if (fault.refuse) {
		standin_json(
			r, 503,
			json_pack("{s:s,s:s}", "title", "busy", "ran", "no"));
		return;
	}
	count_(r);
	c = g_new0(call_t, 1);
	c->req = r;
	c->run = s.total;
	s.outstanding++;
	http_request_set_user(r, c);
	ev_timer_init(&c->timer, on_time_, s.o.delay_ms / 1000.0, 0);
	c->timer.data = c;
	ev_timer_start(s.loop, &c->timer);
}

static void closed_(http_request_t *r, bool whole)
{
	call_t *c = http_request_user(r);

	(void)whole;
	if (!c)
		return;
	s.outstanding--;
	ev_timer_stop(s.loop, &c->timer);
	g_free(c);
}

static void set_fault_(const json_t *f)
{
	standin_switch(f, "refuse", &fault.refuse);
	standin_switch(f, "cut", &fault.cut);
	standin_switch(f, "hang", &fault.hang);
	standin_switch(f, "crossed", &fault.crossed);
	standin_switch(f, "status", &fault.status);
	standin_switch(f, "pad_bytes", &fault.pad_bytes);
	standin_switch(f, "delay_ms", &s.o.delay_ms);
	if (json_is_string(json_object_get(f, "crash_text")))
		g_strlcpy(fault.crash_text,
			  json_string_value(json_object_get(f, "crash_text")),
			  sizeof(fault.crash_text));
}

static json_t *stats_(void)
{
	return json_pack("{s:O,s:i,s:i,s:I}", "runs", s.runs, "total", s.total,
			 "outstanding", s.outstanding, "last_new",
			 (json_int_t)s.last_new);
}

const standin_ops_t service_ops = { "service", init_,	   request_,
				    closed_,   set_fault_, stats_ };
