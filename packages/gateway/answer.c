#include "private/forward.h"

#include <kcf/http_hop.h>
#include <kcf/logline.h>
#include <string.h>

/* Plain answers are held until they are whole: one, and all together. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
#define ANSWERS_MAX_BYTES (32 * 1024 * 1024)
/*
 * Bytes that bring a request no further: so many may come after its last event
 * or piece of body, and later than this.
 */
#define BARREN_MAX_BYTES (256 * 1024)
#define BARREN_MS 200
/*
 * The users' callers wait for the next event of a stream for this long, so many
 * latency objectives or so many pauses of its route, whichever is longest.
 */
#define STALL_MIN_MS 2000
#define STALL_OBJECTIVES 4
#define STALL_GAPS 8
/* Part of that after which a stream goes on elsewhere, if it may: the rest is
 * for the next upstream's first event.
 */
#define STALL_MOVE_PART 0.6
/* A caller that takes a stream slowly stops the reading of it. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES (64 * 1024)

static void on_head_(void *ctx, http_call_t *call, int status);
static void on_data_(void *ctx, http_call_t *call, str_t data);
static void on_done_(void *ctx, http_call_t *call, int err, int status);
static bool on_start_(void *ctx);
static void on_kick_(struct ev_loop *loop, ev_timer *w, int revents);

const http_call_ops_t forward_call_ops = { on_head_, on_data_, on_done_, NULL,
					   on_start_ };

typedef struct header_list {
	const forward_t *forward;
	str_t connection;
	GArray *headers; /* http_header_t, the last one empty */
} header_list_t;

static void add_header_(void *arg, const char *name, const char *value)
{
	header_list_t *l = arg;
	http_header_t header = { name, value };

	if (!l->forward->gateway->protocol->for_caller(name) ||
	    http_hop_header(name, l->connection))
		return;
	g_array_append_val(l->headers, header);
}

/* Headers for the caller; the texts belong to the call. */
static GArray *answer_headers_(const forward_t *f, http_call_t *call)
{
	static const http_header_t closing = { "Connection", "close" };
	header_list_t l = { f, http_call_header(call, "Connection"),
			    g_array_new(TRUE, TRUE, sizeof(http_header_t)) };

	http_call_each_header(call, add_header_, &l);
	if (f->gateway->phase == GATEWAY_STOPPING)
		g_array_append_val(l.headers, closing);
	return l.headers;
}

/* libcurl forbids ending or pausing a call inside its own functions. */
static void kick_(forward_t *f)
{
	if (ev_is_active(&f->kick))
		return;
	ev_timer_init(&f->kick, on_kick_, 0, 0);
	f->kick.data = f;
	ev_timer_start(f->gateway->loop, &f->kick);
}

static void break_(forward_t *f, fault_t why)
{
	f->broken = true;
	f->broken_by = why;
	kick_(f);
}

static void broken_(forward_t *f)
{
	if (f->broken_by == FAULT_CROSSED)
		counter_add(COUNTER_RESPONSES_MISMATCHED, 1);
	forward_failed(f, f->broken_by);
}

static void on_kick_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (!f->call)
		return;
	if (f->broken) {
		forward_end_call(f);
		broken_(f);
		return;
	}
	if (http_stream_pending(f->req) > STREAM_HIGH_BYTES) {
		f->paused = true;
		http_call_pause(f->call, true);
	}
}

void forward_resume_reading(forward_t *f)
{
	if (!f->paused || !f->call ||
	    http_stream_pending(f->req) > STREAM_LOW_BYTES)
		return;
	f->paused = false;
	http_call_pause(f->call, false);
}

static bool streamed_(const forward_t *f)
{
	return f->answer.status == 200 && f->answer.events &&
	       f->route->kind == ROUTE_KIND_STREAM;
}

/* The answer has come further. */
static void progress_(forward_t *f)
{
	f->progress_at = clock_now();
	f->progress_bytes = -1;
	f->kept_on = false;
}

/* Whether much comes, but nothing of the answer. */
static bool barren_(forward_t *f, mstime_t now)
{
	int64_t received;

	if (now - f->progress_at < BARREN_MS)
		return false;
	received = http_call_received(f->call);
	if (received < 0)
		return false;
	if (f->progress_bytes < 0)
		f->progress_bytes = received;
	return received - f->progress_bytes > BARREN_MAX_BYTES;
}

/* Callers give a stream up after so long without an event. */
static mstime_t stall_ms_(const routing_route_t *r)
{
	mstime_t ms =
		MAX(STALL_MIN_MS, r->latency_objective_ms * STALL_OBJECTIVES);

	return MAX(ms, r->stream_gap_ms * STALL_GAPS);
}

static void end_call_(forward_t *f, fault_t why)
{
	forward_end_call(f);
	forward_failed(f, why);
}

/* A stream goes on elsewhere while its caller still waits for the next event.
 */
static void check_stall_(forward_t *f, mstime_t now)
{
	mstime_t stalled = now - f->progress_at;
	mstime_t most = stall_ms_(f->route);
	char from[sizeof(f->upstream)];

	if (stalled >= most) {
		end_call_(f, FAULT_STALLED);
		return;
	}
	if (f->kept_on || (double)stalled < STALL_MOVE_PART * (double)most ||
	    !forward_may_repeat(f))
		return;
	g_strlcpy(from, f->upstream, sizeof(from));
	f->kept_on = !forward_move(f, FAULT_STALLED);
	if (!f->kept_on)
		forward_log_fault(f, from, FAULT_STALLED);
}

void forward_check(forward_t *f, mstime_t now)
{
	if (!f->call || f->broken || f->paused || f->done)
		return;
	if (barren_(f, now))
		end_call_(f, FAULT_ENDLESS);
	else if (streamed_(f) && f->first_at)
		check_stall_(f, now);
}

static bool success_(int status)
{
	return status >= 200 && status < 300;
}

/* What the answer's head tells of the upstream. */
static void learn_(forward_t *f)
{
	mstime_t now = clock_now();

	if (f->route->affinity && success_(f->answer.status))
		balance_mark_warm(&f->gateway->balance, f->in.affinity, f->at,
				  now);
	if (f->answer.outstanding >= 0) {
		f->gateway->reported_at = now;
		balance_apply_report(f->at, f->answer.outstanding,
				     f->answer.slots, now);
	}
	if (f->answer.idle_max_ms)
		f->at->idle_max_ms = f->answer.idle_max_ms;
}

static void on_head_(void *ctx, http_call_t *call, int status)
{
	forward_t *f = ctx;

	f->gateway->protocol->read_answer(call, status, f->in.id, &f->answer);
	if (f->answer.crossed || f->answer.encoded ||
	    (success_(status) && !f->answer.proven)) {
		break_(f, FAULT_CROSSED);
		return;
	}
	progress_(f);
	learn_(f);
}

/* The headers of the first run stay those of the whole stream. */
static void begin_(forward_t *f, http_call_t *call)
{
	GArray *headers;

	if (f->begun)
		return;
	headers = answer_headers_(f, call);
	f->begun = true;
	http_stream_begin(f->req, 200,
			  (const http_header_t *)(void *)headers->data);
	g_array_unref(headers);
}

static void take_event_(forward_t *f, http_call_t *call, const sse_event_t *e)
{
	if (!e->comment)
		progress_(f);
	if (e->id >= 0) {
		/* A resumed stream may begin before what was sent already. */
		if (e->id <= f->last_event)
			return;
		f->last_event = e->id;
	}
	begin_(f, call);
	http_stream_write(f->req, e->raw);
}

static void first_byte_(forward_t *f)
{
	if (f->first_at)
		return;
	f->first_at = clock_now();
	ev_timer_stop(f->gateway->loop, &f->late);
}

/* Keeps a part of a plain answer until all of it is there. */
static void hold_(forward_t *f, str_t data)
{
	gateway_t *g = f->gateway;

	if (f->body->len + data.len > ANSWER_MAX_BYTES ||
	    g->answers + data.len > ANSWERS_MAX_BYTES) {
		break_(f, FAULT_ENDLESS);
		return;
	}
	g->answers += data.len;
	g_string_append_len(f->body, data.data, (gssize)data.len);
	progress_(f);
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	forward_t *f = ctx;
	sse_event_t event;

	if (f->broken)
		return;
	first_byte_(f);
	if (!streamed_(f)) {
		hold_(f, data);
		return;
	}
	if (!sse_feed(&f->events, data)) {
		break_(f, FAULT_ENDLESS);
		return;
	}
	while (sse_next(&f->events, &event))
		take_event_(f, call, &event);
	if (f->begun && http_stream_pending(f->req) > STREAM_HIGH_BYTES)
		kick_(f);
}

/*
 * These promise that a request has not run. An upstream that gives one
 * without saying so may have run it.
 */
static bool false_promise_(const upstream_answer_t *a)
{
	return !a->not_run && (a->status == 408 || a->status == 421 ||
			       a->status == 429 || a->status == 503);
}

static void deliver_(forward_t *f, http_call_t *call)
{
	GArray *headers;

	if (f->begun || false_promise_(&f->answer)) {
		f->may_have_run = true;
		forward_release(f, BALANCE_FAILED);
		forward_refuse(f, 502, "upstream failed",
			       COUNTER_REFUSED_UPSTREAM, 0);
		return;
	}
	headers = answer_headers_(f, call);
	http_reply(f->req, (unsigned int)f->answer.status,
		   (const http_header_t *)(void *)headers->data,
		   (str_t){ f->body->str, f->body->len });
	g_array_unref(headers);
	forward_ended(f, (unsigned int)f->answer.status, "answered");
	forward_release(f,
			f->answer.status < 500 ? BALANCE_OK : BALANCE_FAILED);
}

/* An answer without a length may end in the middle of an event. */
static bool framed_(http_call_t *call)
{
	return http_call_header(call, "Transfer-Encoding").len ||
	       http_call_header(call, "Content-Length").len;
}

static str_t rest_(const forward_t *f)
{
	return (str_t){ f->events.buffer->str + f->events.taken,
			f->events.buffer->len - f->events.taken };
}

static void finish_stream_(forward_t *f, http_call_t *call)
{
	str_t rest = rest_(f);

	if (rest.len && !framed_(call)) {
		forward_failed(f, FAULT_CUT);
		return;
	}
	begin_(f, call);
	http_stream_write(f->req, rest);
	http_stream_end(f->req, true);
	forward_ended(f, 200, "answered");
	forward_release(f, BALANCE_OK);
}

static void failed_(forward_t *f, int err)
{
	if (http_unsent(err))
		forward_failed(f, FAULT_CONNECT);
	else
		forward_failed(f, err == HTTP_ETIMEOUT ? FAULT_TIMEOUT
						       : FAULT_CUT);
}

/* A failure that another upstream may not share is not shown at once. */
static void upstream_error_(forward_t *f, http_call_t *call)
{
	if (!forward_may_repeat(f)) {
		deliver_(f, call);
		return;
	}
	forward_note_fault(f, FAULT_ERROR);
	if (!forward_again(f, FAULT_ERROR))
		deliver_(f, call);
}

static bool on_start_(void *ctx)
{
	forward_t *f = ctx;

	f->left = http_request_left(f->req);
	f->arrivals -= f->left;
	return !f->left;
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	forward_t *f = ctx;

	(void)status;
	f->call = NULL;
	forward_end_call(f);
	/* It ends when the server closes the connection, right after this. */
	if (f->left)
		return;
	if (f->broken) {
		broken_(f);
	} else if (err != HTTP_OK) {
		failed_(f, err);
	} else if (f->answer.wrong_start) {
		forward_failed(f, FAULT_START);
	} else if (f->answer.not_run) {
		forward_failed(f, FAULT_SHED);
	} else if (streamed_(f)) {
		first_byte_(f);
		finish_stream_(f, call);
	} else if (f->answer.status >= 500) {
		first_byte_(f);
		upstream_error_(f, call);
	} else {
		first_byte_(f);
		deliver_(f, call);
	}
}
