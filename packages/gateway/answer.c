#include "private/forward.h"

#include <kcf/http_hop.h>
#include <kcf/logline.h>
#include <string.h>

/* Plain responses are buffered until complete: limit of one, limit of all. */
#define RESPONSE_BODY_MAX_BYTES BACKLOG_ENTRY_MAX_BYTES
#define RESPONSE_BODIES_MAX_BYTES (32 * 1024 * 1024)
/*
 * An attempt fails if it receives more than this many bytes without an event or
 * a part of the body. Counting starts this long after the last one.
 */
#define NO_PROGRESS_MAX_BYTES (256 * 1024)
#define NO_PROGRESS_MS 200
/*
 * Callers give up a stream that has had no event for the longest of this time,
 * this factor of the route's latency objective and this factor of the longest
 * pause that its route allows.
 */
#define STALL_MIN_MS 2000
#define STALL_OBJECTIVE_FACTOR 4
#define STALL_GAP_FACTOR 8
/* Fraction of that time after which a resumable stream moves to another
 * upstream. The rest is left for the first event from there.
 */
#define STALL_MOVE_FRACTION 0.6

/* The headers of most answers. */
#define HEADERS_CHUNK_BYTES 512

static bool on_head_(void *ctx, http_call_t *call, int status);
static void on_data_(void *ctx, http_call_t *call, str_t data);
static void on_done_(void *ctx, http_call_t *call, int err, int status);
static bool on_start_(void *ctx);
static void on_deferred_(struct ev_loop *loop, ev_timer *w, int revents);

/* Parallel to framing_t. */
static const char *const framing_string[] = { "connection", "length",
					      "chunks" };

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

	if (!l->forward->gateway->protocol->forwards_response_header(name) ||
	    http_hop_header(name, l->connection) ||
	    !g_ascii_strcasecmp(name, RELAY_HEADER))
		return;
	g_array_append_val(l->headers, header);
}

static framing_t framing_(http_call_t *call)
{
	if (http_call_ends_with_connection(call))
		return FRAMING_CONNECTION;
	return http_call_header(call, "Transfer-Encoding").len ? FRAMING_CHUNKS
							       : FRAMING_LENGTH;
}

/* Headers for the caller; their strings belong to the call or the request. */
static GArray *response_headers_(forward_t *f, http_call_t *call,
				 unsigned int status)
{
	static const http_header_t closing = { "Connection", "close" };
	header_list_t l = { f, http_call_header(call, "Connection"),
			    g_array_new(TRUE, TRUE, sizeof(http_header_t)) };

	http_call_each_header(call, add_header_, &l);
	if (f->order) {
		http_header_t answer = { RELAY_HEADER,
					 relays_answer_header(f, status) };

		g_array_append_val(l.headers, answer);
	}
	if (f->gateway->phase == GATEWAY_STOPPING)
		g_array_append_val(l.headers, closing);
	return l.headers;
}

/* libcurl does not allow cancelling a call in its callbacks, and gives out more
 * of a paused one when it is resumed.
 */
static void defer_(forward_t *f)
{
	if (ev_is_active(&f->deferred_timer))
		return;
	ev_timer_init(&f->deferred_timer, on_deferred_, 0, 0);
	f->deferred_timer.data = f;
	ev_timer_start(f->gateway->loop, &f->deferred_timer);
}

static void fail_later_(forward_t *f, fault_t why)
{
	f->failing = true;
	f->failing_fault = why;
	defer_(f);
}

static void fail_now_(forward_t *f)
{
	if (f->failing_fault == FAULT_MISMATCH)
		counter_add(COUNTER_RESPONSES_MISMATCHED, 1);
	forward_attempt_failed(f, f->failing_fault);
}

static void on_deferred_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (!f->call)
		return;
	if (f->failing) {
		forward_end_call(f);
		fail_now_(f);
		return;
	}
	forward_resume_read(f);
}

void forward_resume_read(forward_t *f)
{
	backlog_t *b = &f->gateway->backlogs.answers;
	mstime_t now = clock_now();

	if (!f->answer.paused_at || !f->call)
		return;
	if (!backlog_read_on(b, &f->answer, now)) {
		backlog_set_unread(b, &f->answer, http_call_unread(f->call));
		return;
	}
	f->read_on_at = now;
	http_call_pause(f->call, false);
}

void forward_on_taken(void *ctx, http_request_t *req, size_t bytes)
{
	forward_t *f = http_request_user(req);

	(void)ctx;
	if (!f)
		return;
	backlog_take(&f->gateway->backlogs.answers, &f->answer, bytes,
		     clock_now());
	if (f->answer.paused_at && f->call)
		defer_(f);
}

void forward_check_upload(forward_t *f, mstime_t now)
{
	backlog_t *b = &f->gateway->backlogs.requests;
	size_t unsent;

	if (!f->unsent.member || !f->call)
		return;
	unsent = http_call_unsent(f->call);
	backlog_take(b, &f->unsent, f->unsent.held - unsent, now);
	if (!unsent)
		backlog_leave(b, &f->unsent);
}

static void on_cut_answer_(void *owner, const backlogs_cut_t *cut)
{
	forward_t *f = owner;

	LOG_EVENT(LOG_NOTICE, "caller.cut", F_VIEW("request", f->in.id),
		  F_INT("held_bytes", (int64_t)cut->held),
		  F_INT("idle_ms", cut->idle_ms),
		  F_INT("node_bytes", (int64_t)cut->node_held),
		  F_INT("node_max", (int64_t)cut->node_max),
		  F_INT("connection_bytes", (int64_t)cut->connection_bytes),
		  F_INT("callers", cut->node_entries),
		  F_INT("last_event", f->last_event_id));
	if (!f->done) {
		forward_cancel(f, BALANCE_ABANDONED);
		forward_complete(f, 0, "caller reads too slowly");
	}
	http_request_cut(f->req);
}

static bool is_stream_(const forward_t *f)
{
	return f->response.status == 200 && f->response.event_stream &&
	       f->route->kind == ROUTE_KIND_STREAM &&
	       !str_eq(f->in.method, str_of("HEAD"));
}

static void record_progress_(forward_t *f)
{
	f->progress_at = clock_now();
	f->progress_bytes = -1;
	f->unproductive_bytes = 0;
	f->no_alternative = false;
	if (!f->selected)
		return;
	if (f->order)
		f->order->silent = false;
	reach_record_answer(&f->gateway->reach, f->selected->key,
			    f->progress_at);
}

/* Whether bytes arrive without an event or a part of the body. */
static bool lacks_progress_(forward_t *f, mstime_t now)
{
	int64_t received;

	if (now - f->progress_at < NO_PROGRESS_MS)
		return false;
	if (f->unproductive_bytes > NO_PROGRESS_MAX_BYTES)
		return true;
	/* What waits while reading pauses may bring events. */
	if (f->answer.paused_at)
		return false;
	received = http_call_received(f->call);
	if (received < 0)
		return false;
	if (f->progress_bytes < 0)
		f->progress_bytes = received;
	return received - f->progress_bytes > NO_PROGRESS_MAX_BYTES;
}

/* Time without an event after which callers give up a stream. */
static mstime_t stall_limit_ms_(const routing_route_t *r)
{
	mstime_t ms = MAX(STALL_MIN_MS,
			  r->latency_objective_ms * STALL_OBJECTIVE_FACTOR);

	return MAX(ms, r->stream_gap_ms * STALL_GAP_FACTOR);
}

static void abort_attempt_(forward_t *f, fault_t why)
{
	forward_end_call(f);
	forward_attempt_failed(f, why);
}

/* Another upstream may read it faster. */
static void on_cut_request_(void *owner, const backlogs_cut_t *cut)
{
	forward_t *f = owner;

	LOG_EVENT(LOG_NOTICE, "request.unread", F_VIEW("request", f->in.id),
		  F_STR("upstream", f->upstream_id),
		  F_INT("held_bytes", (int64_t)cut->held),
		  F_INT("idle_ms", cut->idle_ms),
		  F_INT("node_bytes", (int64_t)cut->node_held),
		  F_INT("node_max", (int64_t)cut->node_max),
		  F_INT("requests", cut->node_entries));
	abort_attempt_(f, FAULT_TIMEOUT);
}

const backlogs_ops_t answer_backlogs_ops = { on_cut_answer_, on_cut_request_ };

/* Moves a stalled stream while its caller still waits for the next event. */
static void check_stall_(forward_t *f, mstime_t now)
{
	/* A pause of this node's own is no stall of the upstream. */
	mstime_t stalled = now - MAX(f->progress_at, f->read_on_at);
	mstime_t limit = stall_limit_ms_(f->route);
	char from[sizeof(f->upstream_id)];

	if (stalled >= limit) {
		abort_attempt_(f, FAULT_STALLED);
		return;
	}
	/* The node that sends to the upstream moves it. */
	if (f->way || f->no_alternative ||
	    (double)stalled < STALL_MOVE_FRACTION * (double)limit ||
	    !forward_can_retry(f))
		return;
	g_strlcpy(from, f->upstream_id, sizeof(from));
	/* Upstreams may be asked first which start they are. */
	if (!resumes_may_move(f))
		return;
	f->no_alternative = !forward_move(f, FAULT_STALLED);
	if (!f->no_alternative)
		forward_log_fault(f, from, FAULT_STALLED);
}

void forward_check_progress(forward_t *f, mstime_t now)
{
	if (!f->call || f->failing || f->done)
		return;
	if (lacks_progress_(f, now))
		abort_attempt_(f, FAULT_UNBOUNDED);
	else if (is_stream_(f) && f->first_at && !f->answer.paused_at)
		check_stall_(f, now);
}

static bool is_success_(int status)
{
	return status >= 200 && status < 300;
}

static void record_leaving_(const forward_t *f, mstime_t now)
{
	if (!f->response.leaving ||
	    !balance_announce_leaving(&f->gateway->balance, f->selected, now))
		return;
	counter_add(COUNTER_LEAVES_ANNOUNCED, 1);
	LOG_EVENT(LOG_NOTICE, "upstream.leaving",
		  F_STR("upstream", f->selected->id),
		  F_INT("start", (int64_t)f->selected->start_id),
		  F_VIEW("request", f->in.id));
}

static void record_rate_(const forward_t *f, mstime_t now)
{
	const upstream_response_t *a = &f->response;

	if (a->mismatched || a->wrong_instance)
		return;
	if (!a->names_limit) {
		if (!balance_omit_rate(&f->gateway->balance, f->selected,
				       f->sent_at, now))
			return;
		counter_add(COUNTER_RATES_ENDED, 1);
		LOG_EVENT(LOG_NOTICE, "upstream.rate_ended",
			  F_STR("upstream", f->selected->id),
			  F_VIEW("request", f->in.id));
		return;
	}
	if (a->limit_per_s < 0 ||
	    !balance_name_rate(&f->gateway->balance, f->selected,
			       a->limit_per_s, now))
		return;
	counter_add(COUNTER_RATES_NAMED, 1);
	LOG_EVENT(LOG_NOTICE, "upstream.rate",
		  F_STR("upstream", f->selected->id),
		  F_REAL("per_s", a->limit_per_s), F_VIEW("request", f->in.id));
	gateway_peers_share_rates(f->gateway, now);
}

static void record_brittle_(const forward_t *f, mstime_t now)
{
	const upstream_response_t *a = &f->response;

	if (a->mismatched || a->wrong_instance)
		return;
	if (!a->names_brittle) {
		if (!balance_omit_brittle(&f->gateway->balance, f->selected,
					  f->sent_at, now))
			return;
		counter_add(COUNTER_BRITTLE_ENDED, 1);
		LOG_EVENT(LOG_NOTICE, "upstream.brittle_ended",
			  F_STR("upstream", f->selected->id),
			  F_VIEW("request", f->in.id));
		return;
	}
	if (a->turned_per_s < 0 ||
	    !balance_name_brittle(&f->gateway->balance, f->selected,
				  a->turned_per_s, now))
		return;
	counter_add(COUNTER_BRITTLE_NAMED, 1);
	LOG_EVENT(LOG_NOTICE, "upstream.brittle",
		  F_STR("upstream", f->selected->id),
		  F_INT("turned_per_s", a->turned_per_s),
		  F_VIEW("request", f->in.id));
	gateway_peers_share_rates(f->gateway, now);
}

static void record_pace_(const forward_t *f, mstime_t now)
{
	gateway_t *g = f->gateway;

	if (!f->response.wrong_instance &&
	    balance_report_pace(&g->balance, f->selected, f->response.pace,
				now))
		gateway_peers_notify_pace(g, f->selected);
}

/* Applies what the response headers say about the upstream. */
static void record_upstream_state_(forward_t *f)
{
	mstime_t now = clock_now();

	if (f->response.pace > 0)
		gateway_peers_share_warmth(f->gateway, f->selected->service);
	if (f->route->affinity && is_success_(f->response.status))
		balance_mark_warm(&f->gateway->balance, f->in.affinity,
				  f->selected, now);
	/* The answer of another start says nothing of this one. */
	if (!f->response.wrong_instance)
		quarantine_record_alive(&f->gateway->quarantine,
					f->selected->key, f->sent_at, now);
	if (f->response.outstanding >= 0) {
		f->gateway->load_reported_at = now;
		balance_apply_report(f->selected, f->response.outstanding,
				     f->response.slots, now);
		record_pace_(f, now);
	}
	if (f->gateway->conf->admission && f->response.pace &&
	    !f->gateway->balance.pace_reported) {
		f->gateway->balance.pace_reported = true;
		LOG_EVENT(LOG_NOTICE, "admission.active",
			  F_STR("upstream", f->selected->id),
			  F_INT("pace", f->response.pace));
	}
	if (f->response.idle_max_ms)
		f->selected->idle_max_ms = f->response.idle_max_ms;
	record_leaving_(f, now);
	record_rate_(f, now);
	record_brittle_(f, now);
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	forward_t *f = ctx;

	f->gateway->protocol->parse_response(call, status, f->in.id,
					     &f->response);
	f->framing = framing_(call);
	if (f->way && !relays_parse_response(f, call))
		f->response.mismatched = true;
	if (f->response.mismatched || f->response.encoded ||
	    (is_success_(status) && !f->response.has_signature)) {
		f->failing = true;
		f->failing_fault = FAULT_MISMATCH;
		return false;
	}
	record_progress_(f);
	backlog_leave(&f->gateway->backlogs.requests, &f->unsent);
	if (f->selected)
		record_upstream_state_(f);
	return true;
}

/* A resumed stream keeps the headers of its first response. */
static void begin_stream_(forward_t *f, http_call_t *call)
{
	GArray *headers;

	if (f->stream_begun)
		return;
	headers = response_headers_(f, call, 200);
	f->stream_begun = true;
	backlog_offer(&f->gateway->backlogs.answers, &f->answer, clock_now());
	http_stream_begin(f->req, 200,
			  (const http_header_t *)(void *)headers->data);
	g_array_unref(headers);
}

static void on_flush_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	coalesce_flushed(&f->coalesce, clock_now());
	backlog_hand_out(&f->answer, clock_now());
	http_stream_flush(f->req);
}

/* Appends text to the caller's stream, which may have ended meanwhile. */
static void append_(forward_t *f, str_t text,
		    void (*fn)(http_request_t *r, str_t text))
{
	backlogs_t *b = &f->gateway->backlogs;
	size_t before = http_stream_pending(f->req);

	fn(f->req, text);
	backlog_add(&b->answers, &f->answer,
		    http_stream_pending(f->req) - before);
	backlogs_check(b);
}

/* Writes text to the caller's stream, and what is held before it. */
static void write_(forward_t *f, str_t text)
{
	if (f->coalesce.flush_at) {
		ev_timer_stop(f->gateway->loop, &f->flush_timer);
		coalesce_flushed(&f->coalesce, clock_now());
	}
	backlog_hand_out(&f->answer, clock_now());
	append_(f, text, http_stream_write);
}

static void pass_on_(forward_t *f, str_t text)
{
	if (sse_pass_on(&f->sse))
		write_(f, str_of("\n"));
	write_(f, text);
}

/*
 * Whether the links to callers lose packets. A kernel's count of one connection
 * comes too late for its stream, so all connections of the node count together.
 */
static bool is_lossy_(forward_t *f, mstime_t now)
{
	link_loss_t *l = &f->gateway->link_loss;
	int64_t rtt_ms = 0;
	int unacked;

	link_loss_count_write(l);
	if (now >= f->watch.next_at && f->coalesce.written_at) {
		unacked = http_request_unacked(f->req, &rtt_ms);
		link_loss_watch(l, &f->watch, unacked, rtt_ms,
				f->coalesce.written_at, now);
	}
	/* Sticky: a link that has lost packets may lose more. */
	f->lossy = f->lossy || link_loss_is_lossy(l) ||
		   http_request_lost(f->req) > 0;
	return f->lossy;
}

/* Whether an event waits in the caller's stream for those that follow. */
static bool holds_event_(forward_t *f, const sse_event_t *e)
{
	const coalesce_conf_t *conf = &f->gateway->conf->coalesce;
	mstime_t now = clock_now();
	mstime_t due = f->coalesce.flush_at;
	coalesce_event_t event = {
		.bytes = e->raw.len,
		/* The node of the caller may hold what passes through it. */
		.urgent = e->comment || f->order,
		.max_gap_ms = f->route->stream_gap_ms,
	};

	if (!conf->hold_ms)
		return false;
	event.lossy = conf->on == COALESCE_ON_LOSS && is_lossy_(f, now);
	if (!coalesce_add(&f->coalesce, conf, &event, now)) {
		ev_timer_stop(f->gateway->loop, &f->flush_timer);
		return false;
	}
	if (due)
		return true;
	ev_timer_init(&f->flush_timer, on_flush_,
		      (double)(f->coalesce.flush_at - now) / MSEC_PER_SEC, 0);
	f->flush_timer.data = f;
	ev_timer_start(f->gateway->loop, &f->flush_timer);
	return true;
}

static void hold_(forward_t *f, str_t text)
{
	size_t before = f->answer.held;

	append_(f, text, http_stream_hold);
	backlog_keep(&f->answer, f->answer.held - before);
}

static void pass_on_event_(forward_t *f, const sse_event_t *e)
{
	if (!holds_event_(f, e)) {
		pass_on_(f, e->raw);
		return;
	}
	if (sse_pass_on(&f->sse))
		hold_(f, str_of("\n"));
	hold_(f, e->raw);
}

/* The caller would miss an event, at this upstream or where it is resumed. */
static void fail_disordered_(forward_t *f, const sse_event_t *e)
{
	f->unnumbered = true;
	/* The node of the caller has to see it, or it would retry. */
	if (f->order)
		pass_on_(f, e->raw);
	fail_later_(f, FAULT_DISORDERED);
}

static void forward_event_(forward_t *f, http_call_t *call,
			   const sse_event_t *e)
{
	if (!e->comment) {
		record_progress_(f);
		if (!f->event_seen && f->selected) {
			crashes_record_answer(f);
			resumes_check_start(f);
		}
		f->event_seen = true;
	}
	if (e->id >= 0) {
		sse_order_t order =
			sse_check_order(&f->sse, e, f->last_event_id);

		if (order == SSE_DISORDERED)
			fail_disordered_(f, e);
		if (order != SSE_NEW)
			return;
		f->last_event_id = e->id;
	}
	if (!e->comment) {
		f->event_missing = false;
		f->unnumbered = e->id < 0;
	}
	if (!f->origin_noted && f->selected)
		resumes_bind(f);
	begin_stream_(f, call);
	pass_on_event_(f, e);
}

static void record_first_byte_(forward_t *f)
{
	if (f->first_at)
		return;
	f->first_at = clock_now();
	if (f->selected)
		balance_record_output(&f->gateway->balance, f->selected,
				      &f->pick.work, f->sent_at, f->first_at);
	ev_timer_stop(f->gateway->loop, &f->overdue_timer);
}

/* Buffers a part of a plain response. */
static void buffer_body_(forward_t *f, str_t data)
{
	gateway_t *g = f->gateway;

	if (f->body->len + data.len > RESPONSE_BODY_MAX_BYTES ||
	    g->buffered_bytes + data.len > RESPONSE_BODIES_MAX_BYTES) {
		fail_later_(f, FAULT_UNBOUNDED);
		return;
	}
	g->buffered_bytes += data.len;
	backlog_add(&g->backlogs.answers, &f->answer, data.len);
	backlogs_check(&g->backlogs);
	g_string_append_len(f->body, data.data, (gssize)data.len);
	record_progress_(f);
	f->event_seen = true;
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	forward_t *f = ctx;
	sse_event_t event;

	if (f->failing)
		return;
	record_first_byte_(f);
	if (clock_now() - f->progress_at >= NO_PROGRESS_MS)
		f->unproductive_bytes += (int64_t)data.len;
	if (!is_stream_(f)) {
		buffer_body_(f, data);
		return;
	}
	if (!sse_feed(&f->sse, data)) {
		fail_later_(f, FAULT_UNBOUNDED);
		return;
	}
	if (sse_take_lf(&f->sse))
		write_(f, str_of("\n"));
	while (!f->failing && sse_next(&f->sse, &event))
		forward_event_(f, call, &event);
	/* At once: libcurl reads up to 1.6 MB before it returns to the loop. */
	if (f->stream_begun && backlog_must_pause(&f->answer)) {
		backlog_pause(&f->answer, clock_now());
		http_call_pause(call, true);
	}
}

/*
 * Callers take these statuses to mean that the request has not run. Unless the
 * upstream confirms that in a header, it may have run.
 */
static bool is_unconfirmed_refusal_(const forward_t *f)
{
	const upstream_response_t *a = &f->response;
	/* Another node passes on none that is unconfirmed, but knows only its
	 * own attempts.
	 */
	bool confirmed = f->way ? !f->may_have_run : a->not_executed;

	return !confirmed && (a->status == 408 || a->status == 421 ||
			      a->status == 429 || a->status == 503);
}

static str_t buffered_body_(const forward_t *f)
{
	return (str_t){ f->body->str, f->body->len };
}

/*
 * Replies with the buffered body. Where the node's memory bounds what is held
 * for callers, answers that wait for theirs leave the room for others'.
 */
static void hand_over_body_(forward_t *f, const http_header_t *headers)
{
	gateway_t *g = f->gateway;
	GString *body = f->body;

	if (g->backlogs.answers.conf.node_max)
		g->buffered_bytes -= body->len;
	else
		f->replied_bytes = body->len;
	f->body = g_string_new(NULL);
	backlog_offer(&g->backlogs.answers, &f->answer, clock_now());
	http_reply_body(f->req, (unsigned int)f->response.status, headers,
			body);
}

void answer_drop_headers(forward_t *f)
{
	if (f->headers)
		g_array_unref(f->headers);
	if (f->strings)
		g_string_chunk_free(f->strings);
	f->headers = NULL;
	f->strings = NULL;
}

/* For a body whose end waits until the call is gone. */
static void copy_headers_(forward_t *f)
{
	f->strings = g_string_chunk_new(HEADERS_CHUNK_BYTES);
	for (guint i = 0; i < f->headers->len; i++) {
		http_header_t *h = &g_array_index(f->headers, http_header_t, i);

		h->name = g_string_chunk_insert(f->strings, h->name);
		h->value = g_string_chunk_insert(f->strings, h->value);
	}
}

static void send_response_(forward_t *f)
{
	if (f->stream_begun || is_unconfirmed_refusal_(f)) {
		f->may_have_run = true;
		forward_release(f, BALANCE_FAILED);
		forward_refuse(f, 502, "upstream failed",
			       COUNTER_REFUSED_UPSTREAM, 0);
		return;
	}
	hand_over_body_(f, (const http_header_t *)(void *)f->headers->data);
	answer_drop_headers(f);
	if (is_success_(f->response.status) && f->selected)
		crashes_record_answer(f);
	forward_complete(f, (unsigned int)f->response.status, "answered");
	forward_release(f,
			f->response.status < 500 ? BALANCE_OK : BALANCE_FAILED);
}

/* The text of a response that has not been passed on. */
static str_t unparsed_(const forward_t *f)
{
	return is_stream_(f) ? sse_rest(&f->sse) : buffered_body_(f);
}

static void log_incomplete_(const forward_t *f)
{
	LOG_EVENT(LOG_NOTICE, "stream.incomplete", F_VIEW("request", f->in.id),
		  F_STR("upstream", f->upstream_id),
		  F_STR("framing", framing_string[f->framing]),
		  F_INT("events", f->event_seen),
		  F_INT("last_event", f->last_event_id),
		  F_INT("rest_bytes", (int64_t)unparsed_(f).len));
}

/*
 * Whether a response that its upstream has ended without an error is whole. An
 * upstream that fails may mark the end of a stream all the same, so the framing
 * says nothing of it.
 */
static bool is_whole_(const forward_t *f)
{
	if (!is_stream_(f) &&
	    (!f->response.event_stream || !is_success_(f->response.status)))
		return true;
	if (sse_ends_inside_event(unparsed_(f)))
		return false;
	if (!is_stream_(f) || f->event_seen)
		return true;
	/* Nothing may be left for a caller that has the last event. */
	return f->last_event_id >= 0 && !f->event_missing;
}

static void handle_incomplete_(forward_t *f)
{
	counter_add(COUNTER_STREAMS_INCOMPLETE, 1);
	log_incomplete_(f);
	forward_attempt_failed(f, FAULT_INCOMPLETE);
}

static void finish_stream_(forward_t *f)
{
	pass_on_(f, sse_rest(&f->sse));
	http_stream_end(f->req, true);
	forward_complete(f, 200, "answered");
	forward_release(f, BALANCE_OK);
	/* The caller may take its time. */
	sse_finish(&f->sse);
	sse_init(&f->sse);
}

static void handle_error_(forward_t *f, int err)
{
	if (http_unsent(err))
		forward_attempt_failed(f, FAULT_CONNECT);
	else
		forward_attempt_failed(f, err == HTTP_ETIMEOUT
						  ? FAULT_TIMEOUT
						  : FAULT_DISCONNECT);
}

/* A server error may not recur at another upstream. */
static bool retry_error_(forward_t *f)
{
	if (is_stream_(f) || f->response.status < 500 || f->way ||
	    !forward_can_retry(f))
		return false;
	forward_record_fault(f, FAULT_ERROR);
	return forward_retry(f, FAULT_ERROR);
}

void answer_end(forward_t *f, bool whole)
{
	if (!whole)
		handle_incomplete_(f);
	else if (is_stream_(f))
		finish_stream_(f);
	else
		send_response_(f);
}

/* Prepares the head of a response that is passed on now or once it is proven.
 */
static void prepare_head_(forward_t *f, http_call_t *call)
{
	if (is_stream_(f)) {
		begin_stream_(f, call);
		return;
	}
	answer_drop_headers(f);
	f->headers =
		response_headers_(f, call, (unsigned int)f->response.status);
}

static void handle_response_(forward_t *f, http_call_t *call)
{
	bool unframed = f->framing == FRAMING_CONNECTION;

	/* Other nodes mark the ends of what they pass on. */
	if (!is_whole_(f) || (unframed && f->way)) {
		handle_incomplete_(f);
		return;
	}
	if (retry_error_(f))
		return;
	prepare_head_(f, call);
	if (!unframed || !f->selected) {
		answer_end(f, true);
		return;
	}
	if (f->headers)
		copy_headers_(f);
	ends_check(f, call);
}

/* Whether the request is not sent again, by this node or through it. */
static bool is_final_(const forward_t *f)
{
	return f->response.status < 500 && !f->response.not_executed &&
	       is_whole_(f);
}

static bool on_start_(void *ctx)
{
	forward_t *f = ctx;

	f->caller_disconnected = http_request_left(f->req);
	f->unproven = !f->caller_disconnected && !starts_check(f);
	f->deliveries -= f->caller_disconnected || f->unproven;
	f->retry_granted = f->retry_granted && f->unproven;
	/* A later attempt may wait again. */
	if (!f->unproven)
		f->start_wait_until = 0;
	return !f->caller_disconnected && !f->unproven;
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	forward_t *f = ctx;

	(void)status;
	f->connection = http_call_connection(call, &f->connection_order);
	if (!err && (f->failing || !is_final_(f)))
		http_call_keep_off(call);
	f->call = NULL;
	forward_end_call(f);
	/* The server closes the connection next, which ends the request. */
	if (f->caller_disconnected)
		return;
	if (f->unproven) {
		f->unproven = false;
		starts_send_again(f);
	} else if (f->failing) {
		fail_now_(f);
	} else if (err != HTTP_OK) {
		handle_error_(f, err);
	} else if (f->way && f->way->unable) {
		forward_attempt_failed(f, relays_fault(f));
	} else if (f->response.wrong_instance) {
		forward_attempt_failed(f, FAULT_INSTANCE);
	} else if (f->response.not_executed) {
		forward_attempt_failed(f, FAULT_SHED);
	} else {
		record_first_byte_(f);
		handle_response_(f, call);
	}
}
