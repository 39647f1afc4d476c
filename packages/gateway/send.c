#include "private/forward.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Longer than any round trip in a region; after it another upstream is tried.
 */
#define CONNECT_MAX_MS 300
/* Reuse of an idle connection ends this long before the upstream closes it. */
#define IDLE_MARGIN_MS 1000
#define IDLE_MIN_MS 1000
/* For upstreams that do not announce how long they keep idle connections. */
#define IDLE_DEFAULT_MS 3000
#define URL_MAX 64
#define URGENCY_MAX 9
/*
 * A response is overdue after this factor of the service's mean latency, or
 * this factor of the route's latency objective, whichever is longer.
 */
#define OVERDUE_MEAN_FACTOR 4
#define OVERDUE_OBJECTIVE_FACTOR_PLAIN 1
#define OVERDUE_OBJECTIVE_FACTOR_STREAM 2
/* Another node tries other upstreams in that time. */
#define OVERDUE_RELAY_FACTOR 2
/* The kernel takes shorter requests at once. */
#define UPLOAD_MIN_BYTES (64 * 1024)

static void on_overdue_(struct ev_loop *loop, ev_timer *w, int revents);

mstime_t send_idle_max(const balance_upstream_t *u)
{
	if (!u->idle_max_ms)
		return IDLE_DEFAULT_MS;
	return MAX(IDLE_MIN_MS, u->idle_max_ms - IDLE_MARGIN_MS);
}

static int urgency_(const forward_t *f)
{
	int priority = f->route->priority;

	if (!f->in.generation)
		return -1;
	if (f->customer && f->customer->priority >= 0)
		priority = f->customer->priority;
	return CLAMP(priority, 0, URGENCY_MAX);
}

static mstime_t overdue_ms_(const forward_t *f)
{
	double mean = balance_mean_latency(&f->gateway->balance, f->service);
	mstime_t factor = f->route->kind == ROUTE_KIND_STREAM
				  ? OVERDUE_OBJECTIVE_FACTOR_STREAM
				  : OVERDUE_OBJECTIVE_FACTOR_PLAIN;

	mstime_t ms = MAX((mstime_t)(mean * OVERDUE_MEAN_FACTOR),
			  f->route->latency_objective_ms * factor);

	return f->way ? ms * OVERDUE_RELAY_FACTOR : ms;
}

static void start_overdue_timer_(forward_t *f)
{
	mstime_t after = overdue_ms_(f);

	if (!after)
		return;
	ev_timer_init(&f->overdue_timer, on_overdue_,
		      (double)after / MSEC_PER_SEC, 0);
	f->overdue_timer.data = f;
	ev_timer_start(f->gateway->loop, &f->overdue_timer);
}

static void begin_upload_(forward_t *f, size_t bytes, mstime_t now)
{
	backlog_t *b = &f->gateway->backlogs.requests;

	backlog_leave(b, &f->unsent);
	if (bytes < UPLOAD_MIN_BYTES)
		return;
	backlog_join(b, &f->unsent, f);
	backlog_add(b, &f->unsent, bytes);
	backlog_offer(b, &f->unsent, now);
}

void forward_start_call(forward_t *f, const http_call_spec_t *spec)
{
	mstime_t now = clock_now();

	assert(f && spec && !f->call);
	f->deliveries++;
	f->sent_at = now;
	f->first_at = 0;
	f->failing = false;
	f->event_missing =
		f->event_missing || sse_ends_inside_event(sse_rest(&f->sse));
	f->event_seen = false;
	f->framing = FRAMING_CONNECTION;
	f->response = (upstream_response_t){ 0 };
	f->connection = 0;
	f->connection_order = 0;
	forward_drop_body(f);
	f->progress_at = now;
	f->progress_bytes = -1;
	f->unproductive_bytes = 0;
	f->no_alternative = false;
	sse_reset(&f->sse);
	backlog_restart(&f->gateway->backlogs.answers, &f->answer);
	begin_upload_(f, spec->body.len, now);
	f->call = http_call_start(&f->gateway->upstreams, spec,
				  &forward_call_ops, f);
	start_overdue_timer_(f);
}

void forward_send(forward_t *f)
{
	gateway_t *g = f->gateway;
	char url[URL_MAX];
	char *method = str_dup(f->in.method);
	char *target = str_dup(f->in.target);
	mstime_t now = clock_now();
	outbound_request_t out = {
		.upstream = f->selected->id,
		.customer = f->customer ? f->customer->name : NULL,
		.copy_source = f->in.generation && *f->copy_source
				       ? f->copy_source
				       : NULL,
		.remaining_ms = MAX(1, f->deadline - now),
		.urgency = urgency_(f),
		.last_event_id = f->last_event_id,
		.omit = RELAY_HEADER,
	};
	GPtrArray *headers = g->protocol->build_request_headers(f->req, &out);
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.target = target,
		.headers = (const char *const *)headers->pdata,
		.body = http_request_body(f->req),
		.body_stays = true,
		.deadline = MSTIME_NEVER,
		.bare = true,
		.single = true,
		.tag = str_hash64(f->in.id, 0) | 1,
		.connect_max_ms = CONNECT_MAX_MS,
		.idle_max_ms = send_idle_max(f->selected),
	};

	snprintf(url, sizeof(url), "http://%s/", f->selected->address);
	forward_start_call(f, &spec);
	g_ptr_array_unref(headers);
	g_free(method);
	g_free(target);
}

void forward_end_call(forward_t *f)
{
	ev_timer_stop(f->gateway->loop, &f->overdue_timer);
	ev_timer_stop(f->gateway->loop, &f->deferred_timer);
	backlog_leave(&f->gateway->backlogs.requests, &f->unsent);
	relays_end_call(f);
	starts_end_question(f);
	ends_cancel(f);
	if (!f->call)
		return;
	f->connection = http_call_connection(f->call, &f->connection_order);
	http_call_cancel(f->call);
	f->call = NULL;
}

void forward_cancel(forward_t *f, balance_outcome_t outcome)
{
	forward_end_call(f);
	forward_release(f, outcome);
}

void forward_record_silence(forward_t *f)
{
	if (!f->selected || f->response.status)
		return;
	if (f->order)
		f->order->silent = true;
	relays_record_silence(f->gateway, f->selected->key, f->sent_at,
			      clock_now());
}

/* Whether other upstreams of the service are likely to respond in time. */
static bool others_meet_objective_(const forward_t *f)
{
	double mean = balance_mean_latency(&f->gateway->balance, f->service);

	return mean > 0 && mean < (double)f->route->latency_objective_ms;
}

/*
 * An upstream may look healthy and yet not respond. A request that may run
 * twice is retried elsewhere; any other only counts against the upstream.
 */
static void on_overdue_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (!f->call || f->first_at || (!f->selected && !f->way))
		return;
	forward_record_silence(f);
	if (f->selected)
		balance_count_overdue(f->selected);
	if (!f->way && !relays_is_cut(f->gateway) && !others_meet_objective_(f))
		return;
	if (!forward_can_retry(f))
		return;
	forward_end_call(f);
	forward_attempt_failed(f, FAULT_TIMEOUT);
}
