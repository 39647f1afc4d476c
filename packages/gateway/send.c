#include "private/forward.h"

#include <stdio.h>
#include <string.h>

/* Longer than any round trip in a region; then another upstream is tried. */
#define CONNECT_MAX_MS 300
/* Before an upstream closes an idle connection it is no longer used. */
#define IDLE_MARGIN_MS 1000
#define IDLE_MIN_MS 1000
/* Where an upstream has not told how long it keeps idle connections. */
#define IDLE_UNKNOWN_MS 3000
#define URL_MAX 64
#define URGENCY_MAX 9
/*
 * An answer is overdue after this many times the mean of its service, or
 * after so many times its latency objective, whichever is longer.
 */
#define OVERDUE_MEANS 4
#define OVERDUE_OBJECTIVES_PLAIN 1
#define OVERDUE_OBJECTIVES_STREAM 2

static void on_late_(struct ev_loop *loop, ev_timer *w, int revents);

static mstime_t idle_max_(const balance_upstream_t *u)
{
	if (!u->idle_max_ms)
		return IDLE_UNKNOWN_MS;
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
	mstime_t objectives = f->route->kind == ROUTE_KIND_STREAM
				      ? OVERDUE_OBJECTIVES_STREAM
				      : OVERDUE_OBJECTIVES_PLAIN;

	return MAX((mstime_t)(mean * OVERDUE_MEANS),
		   f->route->latency_objective_ms * objectives);
}

static void arm_late_(forward_t *f)
{
	mstime_t after = overdue_ms_(f);

	if (!after)
		return;
	ev_timer_init(&f->late, on_late_, (double)after / MSEC_PER_SEC, 0);
	f->late.data = f;
	ev_timer_start(f->gateway->loop, &f->late);
}

void forward_send(forward_t *f)
{
	gateway_t *g = f->gateway;
	char url[URL_MAX];
	char *method = str_dup(f->in.method);
	char *target = str_dup(f->in.target);
	mstime_t now = clock_now();
	outbound_t out = {
		.upstream = f->at->id,
		.customer = f->customer ? f->customer->name : NULL,
		.warm = f->in.generation && f->pick.copy_source
				? f->pick.copy_source->address
				: NULL,
		.left_ms = MAX(1, f->deadline - now),
		.urgency = urgency_(f),
		.last_event = f->last_event,
	};
	GPtrArray *headers = g->protocol->request_headers(f->req, &out);
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.target = target,
		.headers = (const char *const *)headers->pdata,
		.body = http_request_body(f->req),
		.deadline = MSTIME_NEVER,
		.bare = true,
		.single = true,
		.connect_max_ms = CONNECT_MAX_MS,
		.idle_max_ms = idle_max_(f->at),
	};

	snprintf(url, sizeof(url), "http://%s/", f->at->address);
	f->arrivals++;
	f->sent_at = now;
	f->first_at = 0;
	f->broken = false;
	f->answer = (upstream_answer_t){ 0 };
	forward_drop_body(f);
	f->progress_at = now;
	f->progress_bytes = -1;
	f->kept_on = false;
	sse_reset(&f->events);
	f->call = http_call_start(&g->upstreams, &spec, &forward_call_ops, f);
	arm_late_(f);
	g_ptr_array_unref(headers);
	g_free(method);
	g_free(target);
}

void forward_end_call(forward_t *f)
{
	ev_timer_stop(f->gateway->loop, &f->late);
	ev_timer_stop(f->gateway->loop, &f->kick);
	if (!f->call)
		return;
	http_call_cancel(f->call);
	f->call = NULL;
}

void forward_cancel(forward_t *f, balance_outcome_t outcome)
{
	forward_end_call(f);
	forward_release(f, outcome);
}

/* Whether the others of the service are likely to answer in time. */
static bool others_faster_(const forward_t *f)
{
	double mean = balance_mean_latency(&f->gateway->balance, f->service);

	return mean > 0 && mean < (double)f->route->latency_objective_ms;
}

/*
 * The upstream may be silent while it looks healthy. What may run twice is
 * sent elsewhere, the rest is only counted against the upstream.
 */
static void on_late_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (!f->call || f->first_at || !f->at)
		return;
	balance_count_overdue(f->at);
	if (!others_faster_(f) || !forward_may_repeat(f))
		return;
	forward_end_call(f);
	forward_failed(f, FAULT_TIMEOUT);
}
