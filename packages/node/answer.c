/*
 * Handles the answer of an upstream or another node to one attempt.
 */
#include "private/exchange.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Bytes buffered for the caller at which reading pauses and resumes. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES (64 * 1024)
/* Longest answer that is not streamed. */
#define ANSWER_MAX_BYTES (32 * 1024 * 1024)
/* Heartbeats to another node within the gap_ms after which it gives up. */
#define PEER_HEARTBEATS 3
/* Sent to the caller when the refusing upstream states no time. */
#define RETRY_AFTER_REFUSED_MS 1000
#define PROBLEM_TEXT_MAX 96

/* Headers of an answer that are passed on to the caller. */
static const char *const answer_headers[] = {
	"Content-Type",
	"Location",
	"ETag",
	"Last-Modified",
	"Cache-Control",
	"Retry-After",
	"X-Cached-Tokens",
	"X-Prompt-Tokens",
	"X-Upstream",
	"X-Retry-After-Ms",
	"Idempotent-Replayed",
	"X-Start-Id",
	NULL,
};

#define ANSWER_HEADERS_MAX (G_N_ELEMENTS(answer_headers) + 5)

static bool on_head_(void *ctx, http_call_t *call, int status);
static void on_data_(void *ctx, http_call_t *call, str_t data);
static void on_done_(void *ctx, http_call_t *call, int err, int status);
static void on_check_timer_(struct ev_loop *loop, ev_timer *w, int revents);
static void fail_rejected_(exchange_t *x);
static void finish_stream_(exchange_t *x);
static void schedule_check_(exchange_t *x);

const http_call_ops_t exchange_call_ops = { on_head_, on_data_, on_done_ };

/* The attempt fails outside of the client's callbacks. */
static void reject_later_(exchange_t *x, failure_t why)
{
	x->rejected = true;
	x->rejected_why = why;
	schedule_check_(x);
}

static bool is_stream_(http_call_t *call)
{
	return str_starts_with(http_call_header(call, "Content-Type"),
			       str_of("text/event-stream"));
}

static int64_t int_header_(http_call_t *call, const char *name)
{
	int64_t v;

	return str_to_int(http_call_header(call, name), &v) ? v : -1;
}

static size_t collect_headers_(exchange_t *x, http_call_t *call,
			       http_header_t *out)
{
	size_t n = 0;

	for (const char *const *name = answer_headers; *name; name++) {
		str_t value = http_call_header(call, *name);

		if (value.data)
			out[n++] = (http_header_t){ *name, value.data };
	}
	out[n++] = (http_header_t){ "X-Request-Id", x->request_id };
	if (x->placement.verdict == SCHED_RUN)
		out[n++] =
			(http_header_t){ "X-Upstream", x->placement.upstream };
	if (x->placement.verdict == SCHED_RUN && x->placement.loads[0])
		out[n++] = (http_header_t){ LOADS_HEADER, x->placement.loads };
	out[n] = (http_header_t){ NULL, NULL };
	return n;
}

static void begin_stream_(exchange_t *x, http_call_t *call)
{
	http_header_t headers[ANSWER_HEADERS_MAX];

	if (x->streaming)
		return;
	collect_headers_(x, call, headers);
	x->streaming = true;
	x->written_at = clock_now();
	http_stream_begin(x->req, 200, headers);
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	exchange_t *x = ctx;
	str_t echo = http_call_header(call, "X-Request-Id");

	x->received_at = clock_now();
	if (x->echoes_request_id && !str_eq(echo, str_of(x->request_id))) {
		x->rejected = true;
		x->rejected_why = FAILURE_MISMATCHED;
		return false;
	}
	if (x->placement.verdict == SCHED_FORWARD)
		exchange_post_loads(x, http_call_header(call, LOADS_HEADER));
	x->reported_prompt_tokens = int_header_(call, "X-Prompt-Tokens");
	x->reported_cached_tokens = int_header_(call, "X-Cached-Tokens");
	x->reported_start_id =
		(uint64_t)MAX(0, int_header_(call, "X-Start-Id"));
	x->head_seen = status == 200;
	if (status == 200 && is_stream_(call))
		begin_stream_(x, call);
	return true;
}

static void pass_on_(exchange_t *x, str_t text)
{
	if (sse_pass_on(&x->sse))
		http_stream_write(x->req, str_of("\n"));
	http_stream_write(x->req, text);
}

/* The caller would miss an event, at this upstream or where it is resumed. */
static void fail_disordered_(exchange_t *x, const sse_event_t *e)
{
	/* The node of the caller has to see it, or it would retry. */
	if (x->hop > 0)
		pass_on_(x, e->raw);
	reject_later_(x, FAILURE_DISORDERED);
}

static void forward_event_(exchange_t *x, const sse_event_t *e)
{
	if (e->comment || x->stream_finished)
		return;
	if (str_eq(e->data, str_of("[DONE]")))
		x->stream_finished = true;
	if (e->id >= 0) {
		sse_order_t order =
			sse_check_order(&x->sse, e, x->last_event_id);

		/* A repeated last event is sent again: the stream may have
		 * broken between it and the close.
		 */
		if (order == SSE_DISORDERED && !x->stream_finished)
			fail_disordered_(x, e);
		if (order != SSE_NEW && !x->stream_finished)
			return;
		x->last_event_id = e->id;
	}
	if (x->first_token_ms < 0) {
		x->first_token_ms = x->received_at - x->sent_at;
		exchange_report_answered(x);
	}
	pass_on_(x, e->raw);
	x->written_at = x->received_at;
}

static void buffer_body_(exchange_t *x, str_t data)
{
	if (x->body->len + data.len > ANSWER_MAX_BYTES)
		reject_later_(x, FAILURE_UNBOUNDED);
	else
		g_string_append_len(x->body, data.data, (gssize)data.len);
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	exchange_t *x = ctx;
	sse_event_t event;

	x->received_at = clock_now();
	if (x->rejected)
		return;
	if (!x->streaming || !is_stream_(call)) {
		buffer_body_(x, data);
		return;
	}
	if (!sse_feed(&x->sse, data)) {
		reject_later_(x, FAILURE_UNBOUNDED);
		return;
	}
	if (sse_take_lf(&x->sse))
		http_stream_write(x->req, str_of("\n"));
	while (!x->rejected && sse_next(&x->sse, &event))
		forward_event_(x, &event);
	if (http_stream_pending(x->req) > STREAM_HIGH_BYTES)
		schedule_check_(x);
}

/* A problem answer (RFC 9457) of another node or an upstream. */
typedef struct problem {
	char title[PROBLEM_TEXT_MAX];
	char reason[PROBLEM_TEXT_MAX];
	ran_t ran; /* RAN_YES when the answer does not state it */
} problem_t;

static void copy_problem_member_(const json_t *root, const char *member,
				 char *out)
{
	const char *text = json_string_value(json_object_get(root, member));

	g_strlcpy(out, text ? text : "", PROBLEM_TEXT_MAX);
}

static problem_t parse_problem_(const exchange_t *x)
{
	json_t *root = json_loadb(x->body->str, x->body->len, 0, NULL);
	problem_t p = { .ran = RAN_YES };
	char ran[PROBLEM_TEXT_MAX];

	copy_problem_member_(root, "title", p.title);
	copy_problem_member_(root, "reason", p.reason);
	copy_problem_member_(root, "ran", ran);
	if (!strcmp(ran, "no"))
		p.ran = RAN_NO;
	else if (!strcmp(ran, "unknown"))
		p.ran = RAN_UNKNOWN;
	json_decref(root);
	return p;
}

/*
 * Whether the request ran, as reported by another node's problem answer; any
 * other answer shows that it did.
 */
static ran_t reported_ran_(const exchange_t *x, int status)
{
	if (x->placement.verdict != SCHED_FORWARD || status < 400)
		return RAN_YES;
	return parse_problem_(x).ran;
}

static void report_once_end_(exchange_t *x, int status, str_t body,
			     const char *type)
{
	ran_t reported = reported_ran_(x, status);

	if (reported == RAN_YES)
		exchange_report_once_end(x, true, status, body, type);
	else
		exchange_report_once_end(x, reported == RAN_UNKNOWN, 0,
					 STR_NONE, "");
}

static const char *content_type_(const http_header_t *headers)
{
	for (const http_header_t *h = headers; h->name; h++) {
		if (!strcmp(h->name, "Content-Type"))
			return h->value;
	}
	return "";
}

static void pass_answer_on_(exchange_t *x, int status,
			    const http_header_t *headers)
{
	str_t body = { x->body->str, x->body->len };

	exchange_release_permit(x, SCHED_DONE);
	if (status == 200)
		exchange_report_answered(x);
	exchange_trace(x, "answered status=%d bytes=%zu", status, x->body->len);
	if (x->holds_claim)
		report_once_end_(x, status, body, content_type_(headers));
	http_reply(x->req, (unsigned int)status, headers, body);
}

static void hold_answer_(exchange_t *x, http_call_t *call, int status)
{
	http_header_t headers[ANSWER_HEADERS_MAX];
	size_t n = collect_headers_(x, call, headers);
	uint64_t start = x->reported_start_id;

	if (!start)
		start = http_call_peer(call).start;
	x->held = g_new(held_answer_t, 1);
	*x->held = (held_answer_t){
		.status = status,
		.headers = g_new0(http_header_t, n + 1),
		.end = {
			.start = start ? start : x->placement.start_id,
			.sent_at = x->sent_at,
			.at = clock_now(),
			.silence_ms = http_call_silence(call),
			.unread_ms = http_call_end_unread(call),
		},
	};
	for (size_t i = 0; i < n; i++)
		x->held->headers[i] =
			(http_header_t){ headers[i].name,
					 g_strdup(headers[i].value) };
}

void exchange_drop_held(exchange_t *x)
{
	if (!x->held)
		return;
	for (http_header_t *h = x->held->headers; h->name; h++)
		g_free((char *)h->value);
	g_free(x->held->headers);
	g_clear_pointer(&x->held, g_free);
}

void exchange_end_held(exchange_t *x, bool whole)
{
	assert(x->held && !x->call);
	if (!whole) {
		exchange_drop_held(x);
		exchange_handle_failure(x, FAILURE_CONNECTION_LOST);
		return;
	}
	pass_answer_on_(x, x->held->status, x->held->headers);
}

static void handle_answer_(exchange_t *x, http_call_t *call, int status)
{
	http_header_t headers[ANSWER_HEADERS_MAX];

	/* Other nodes mark the ends of what they pass on. */
	if (x->placement.verdict == SCHED_RUN &&
	    http_call_ends_with_connection(call)) {
		hold_answer_(x, call, status);
		exchange_check_end(x);
		return;
	}
	collect_headers_(x, call, headers);
	pass_answer_on_(x, status, headers);
}

static bool is_refusal_(int status)
{
	return status == 429 || status == 503;
}

static mstime_t reported_retry_ms_(http_call_t *call)
{
	int64_t s = int_header_(call, "Retry-After");
	int64_t ms = int_header_(call, "X-Retry-After-Ms");

	if (ms < 0)
		ms = MAX(0, s) * MSEC_PER_SEC;
	return ms ? ms : RETRY_AFTER_REFUSED_MS;
}

/*
 * A refusal for load is final: a retry at another upstream would add to the
 * load there.
 */
static void refuse_for_load_(exchange_t *x, http_call_t *call,
			     const problem_t *p)
{
	bool by_node = x->placement.verdict == SCHED_FORWARD;

	if (p->ran == RAN_NO)
		x->maybe_sent = x->maybe_sent_before;
	exchange_release_permit(x, SCHED_UPSTREAM_REFUSED);
	if (by_node)
		x->reason = sched_refusal_reason_of(p->reason);
	exchange_refuse(x, 503,
			by_node && p->title[0] ? p->title
					       : "upstream refused for load",
			x->maybe_sent ? RAN_UNKNOWN : RAN_NO,
			COUNTER_REFUSED_UPSTREAM, reported_retry_ms_(call));
}

/*
 * Whether the other node no longer owns the upstream: after a change, the nodes
 * disagree on owners for a while.
 */
static bool owner_moved_(const exchange_t *x, const problem_t *p)
{
	if (x->placement.verdict != SCHED_FORWARD)
		return false;
	return !strcmp(p->reason, sched_refusal_reason[REFUSE_MOVED]) ||
	       !strcmp(p->reason, refusal_not_ready);
}

static void handle_refusal_(exchange_t *x, http_call_t *call)
{
	problem_t p = parse_problem_(x);

	if (!owner_moved_(x, &p))
		refuse_for_load_(x, call, &p);
	else if (p.ran == RAN_NO)
		exchange_handle_failure(x, FAILURE_MOVED);
	else
		exchange_handle_failure(x, FAILURE_CONNECTION_LOST);
}

/* Asks the membership to probe a node whose host refused a connection. */
static void report_refused_node_(exchange_t *x)
{
	message_t *m;

	if (x->placement.verdict != SCHED_FORWARD)
		return;
	m = message_new(MSG_NODE_REFUSED);
	g_strlcpy(m->node, x->placement.node, sizeof(m->node));
	task_post(x->relay->control, m);
}

static void handle_call_error_(exchange_t *x, int err)
{
	if (err == HTTP_EREFUSED)
		report_refused_node_(x);
	if (http_unsent(err))
		exchange_handle_failure(x, FAILURE_CONNECT);
	else
		exchange_handle_failure(x, err == HTTP_ETIMEOUT
						   ? FAILURE_TIMEOUT
						   : FAILURE_CONNECTION_LOST);
}

/* Callers, jobs and this node send a request again with the same id. */
static bool may_come_again_(const exchange_t *x, int status, bool streamed)
{
	return x->rejected || status >= 400 ||
	       (streamed && !x->stream_finished);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	exchange_t *x = ctx;
	bool streamed = x->streaming && is_stream_(call);

	if (!err && x->placement.verdict == SCHED_RUN &&
	    may_come_again_(x, status, streamed))
		http_call_keep_off(call);
	x->call = NULL;
	ev_timer_stop(x->relay->task.loop, &x->check_timer);
	if (x->rejected) {
		fail_rejected_(x);
	} else if (streamed && x->stream_finished) {
		finish_stream_(x);
	} else if (err != HTTP_OK) {
		handle_call_error_(x, err);
	} else if (streamed) {
		exchange_handle_failure(x, FAILURE_EARLY_END);
	} else if (is_refusal_(status)) {
		handle_refusal_(x, call);
	} else if (x->streaming) {
		/* The caller has the head of a stream: no other answer can
		 * follow.
		 */
		exchange_handle_failure(x, FAILURE_RESUME_REFUSED);
	} else {
		handle_answer_(x, call, status);
	}
}

static void fail_rejected_(exchange_t *x)
{
	if (x->rejected_why == FAILURE_MISMATCHED)
		counter_add(COUNTER_RESPONSES_MISMATCHED, 1);
	exchange_handle_failure(x, x->rejected_why);
}

static void finish_stream_(exchange_t *x)
{
	exchange_release_permit(x, SCHED_DONE);
	exchange_trace(x, "stream ended last=%lld",
		       (long long)x->last_event_id);
	pass_on_(x, STR_NONE);
	http_stream_end(x->req, true);
}

void exchange_abort(exchange_t *x, sched_result_t result)
{
	ev_timer_stop(x->relay->task.loop, &x->check_timer);
	ev_timer_stop(x->relay->task.loop, &x->retry_timer);
	if (x->call) {
		http_call_cancel(x->call);
		x->call = NULL;
	}
	exchange_drop_held(x);
	exchange_release_permit(x, result);
}

/* libcurl forbids ending a call inside its callbacks. */
static void schedule_check_(exchange_t *x)
{
	if (ev_is_active(&x->check_timer))
		return;
	ev_timer_init(&x->check_timer, on_check_timer_, 0, 0);
	x->check_timer.data = x;
	ev_timer_start(x->relay->task.loop, &x->check_timer);
}

static void on_check_timer_(struct ev_loop *loop, ev_timer *w, int revents)
{
	exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (!x->call)
		return;
	if (x->rejected) {
		http_call_cancel(x->call);
		x->call = NULL;
		fail_rejected_(x);
		return;
	}
	if (http_stream_pending(x->req) > STREAM_HIGH_BYTES) {
		x->paused = true;
		http_call_pause(x->call, true);
	}
}

static void send_heartbeat_(exchange_t *x, mstime_t now)
{
	static const char heartbeat[] = ": heartbeat\n\n";

	mstime_t interval = x->relay->settings->caller_heartbeat_ms;

	/* Another node fails the attempt after gap_ms of silence. */
	if (x->hop > 0)
		interval = MIN(interval, x->gap_ms / PEER_HEARTBEATS);
	if (now - x->written_at < interval)
		return;
	x->written_at = now;
	if (sse_interrupt(&x->sse))
		http_stream_write(x->req, str_of("\n"));
	http_stream_write(x->req, str_of(heartbeat));
}

void exchange_check_timeouts(exchange_t *x, mstime_t now)
{
	if (x->paused && x->call &&
	    http_stream_pending(x->req) < STREAM_LOW_BYTES) {
		x->paused = false;
		x->received_at = now;
		http_call_pause(x->call, false);
	}
	if (x->streaming && !x->stream_finished)
		send_heartbeat_(x, now);
	if (!x->call || x->paused || !x->streaming || x->stream_finished)
		return;
	if (now - x->received_at <= x->gap_ms)
		return;
	/* The connection may be dead while the engine still runs: resume. */
	http_call_cancel(x->call);
	x->call = NULL;
	exchange_handle_failure(x, FAILURE_SILENT);
}

void exchange_check_node(exchange_t *x)
{
	bool claimed = x->run_once && exchange_has_claim(x);

	/* A run-once try cannot be repeated, but may still be answered. */
	if (!x->call || claimed || x->route == ROUTE_JOB ||
	    x->placement.verdict != SCHED_FORWARD ||
	    roster_is_alive(x->relay->roster, x->placement.node))
		return;
	http_call_cancel(x->call);
	x->call = NULL;
	exchange_handle_failure(x, FAILURE_NODE_DEAD);
}
