#include "private/forward.h"

#include <assert.h>
#include <kcf/json_text.h>
#include <kcf/logline.h>
#include <string.h>

/* A request that has less time left is not sent any more. */
#define SEND_MIN_MS 15
/*
 * When callers may come back to a node that is starting: most have one more
 * try, and nodes that start together take up to this long.
 */
#define RETRY_STARTING_MS 800
/* The same for one that has just woken. */
#define RETRY_WOKEN_MS 400
/* Other nodes can be asked at once. */
#define RETRY_STOPPING_MS 20
/* And after a failure that another upstream may not share. */
#define RETRY_FAILED_MS 200
/* Upstreams held to be unreachable are not tried for this long. */
#define SHUN_CONNECT_MS 400
#define SHUN_START_MS 3000

const char *const fault_string[] = {
	"cannot connect",   "shed",	      "other start",
	"connection broke", "timed out",      "crossed answer",
	"upstream error",   "resume refused", "answer without end",
	"stream stalled",
};

static void on_request_(void *ctx, http_request_t *req);
static void on_closed_(void *ctx, http_request_t *req, bool whole);
static void on_end_(struct ev_loop *loop, ev_timer *w, int revents);

const http_server_ops_t forward_server_ops = { on_request_, on_closed_ };

static forward_t *forward_new_(gateway_t *g, http_request_t *req)
{
	forward_t *f = g_new0(forward_t, 1);

	f->gateway = g;
	f->req = req;
	f->received = clock_now();
	f->last_event = -1;
	f->body = g_string_new(NULL);
	sse_init(&f->events);
	ev_init(&f->end, on_end_);
	f->end.data = f;
	ev_init(&f->kick, NULL);
	ev_init(&f->late, NULL);
	http_request_set_user(req, f);
	g_hash_table_add(g->forwards, f);
	return f;
}

void forward_drop_body(forward_t *f)
{
	/* Most sendings hold nothing. */
	if (!f->body->len)
		return;
	f->gateway->answers -= f->body->len;
	g_string_free(f->body, TRUE);
	f->body = g_string_new(NULL);
}

static void forward_free_(forward_t *f)
{
	struct ev_loop *loop = f->gateway->loop;

	ev_timer_stop(loop, &f->end);
	ev_timer_stop(loop, &f->kick);
	ev_timer_stop(loop, &f->late);
	g_hash_table_remove(f->gateway->forwards, f);
	route_table_unref(f->table);
	f->gateway->answers -= f->body->len;
	g_string_free(f->body, TRUE);
	sse_finish(&f->events);
	g_free(f);
}

/* What the last choice came to; before any there is nothing to tell. */
static const char *placed_(const forward_t *f)
{
	if (!f->tries && !f->pick.retry_ms)
		return "-";
	return balance_reason_string[f->pick.reason];
}

/* Without a route, what the caller gave; -1 for none. */
static int64_t left_ms_(const forward_t *f, mstime_t now)
{
	return f->deadline ? f->deadline - now : f->in.left_ms;
}

/* One line for each request, written once it has its final answer. */
static void log_end_(const forward_t *f, unsigned int status)
{
	mstime_t now = clock_now();
	bool fine = status < 400 && !strcmp(f->outcome, "answered");

	LOG_EVENT(
		fine ? LOG_INFO : LOG_NOTICE, "request.end",
		F_VIEW("request", f->in.id), F_STR("outcome", f->outcome),
		F_INT("status", status),
		F_STR("route", f->route ? f->route->name : "-"),
		F_STR("service", f->service ? f->service : "-"),
		F_STR("customer", f->customer ? f->customer->name : "-"),
		F_STR("upstream", f->upstream[0] ? f->upstream : "-"),
		F_INT("arrivals", f->arrivals), F_INT("tries", f->tries),
		F_STR("placed", placed_(f)), F_INT("load", f->pick.load),
		F_REAL("mean", f->pick.mean_load),
		F_INT("load_age_ms", f->pick.load_age_ms),
		F_INT("config", f->table ? (int64_t)f->table->version : -1),
		F_INT("first_ms", f->first_at ? f->first_at - f->received : -1),
		F_INT("ms", now - f->received),
		F_INT("left_ms", left_ms_(f, now)));
}

void forward_ended(forward_t *f, unsigned int status, const char *outcome)
{
	f->done = true;
	f->outcome = outcome;
	if (f->first_at && f->route) {
		gateway_t *g = f->gateway;

		latency_add(&g->first_byte[f->route->kind],
			    f->first_at - f->received);
		latency_add(&g->whole[f->route->kind],
			    clock_now() - f->received);
	}
	ev_timer_stop(f->gateway->loop, &f->end);
	ev_timer_stop(f->gateway->loop, &f->late);
	log_end_(f, status);
}

static void reply_problem_(forward_t *f, unsigned int status, const char *why,
			   mstime_t retry_ms)
{
	char after[32];
	http_header_t headers[4] = { { "Content-Type",
				       "application/problem+json" } };
	int n = 1;
	char *text = json_text(json_pack("{s:i,s:s,s:s}", "status", (int)status,
					 "title", why, "ran",
					 f->may_have_run ? "unknown" : "no"));

	if (retry_ms) {
		f->gateway->protocol->retry_after(retry_ms, after);
		headers[n++] = (http_header_t){ "Retry-After", after };
	}
	if (f->gateway->phase == GATEWAY_STOPPING)
		headers[n++] = (http_header_t){ "Connection", "close" };
	http_reply(f->req, status, headers, str_of(text));
	g_free(text);
}

void forward_refuse(forward_t *f, unsigned int status, const char *why,
		    counter_t counter, mstime_t retry_ms)
{
	counter_add(counter, 1);
	if (f->begun)
		http_stream_end(f->req, false);
	else
		reply_problem_(f, status, why, retry_ms);
	forward_ended(f, status, why);
}

/* Callers without a key count as one customer. */
static const char *share_name_(const forward_t *f)
{
	return f->customer ? f->customer->name : "";
}

void forward_release(forward_t *f, balance_outcome_t outcome)
{
	mstime_t latency = f->first_at ? f->first_at - f->sent_at : -1;
	mstime_t now = clock_now();

	if (!f->at)
		return;
	balance_end_request(f->at, outcome, latency, now);
	shares_add_outstanding(&f->gateway->shares, f->service, share_name_(f),
			       -1, now);
	f->at = NULL;
}

static bool repeatable_(const forward_t *f)
{
	if (f->route->kind == ROUTE_KIND_STREAM)
		return f->route->resumable;
	return f->route->kind == ROUTE_KIND_IDEMPOTENT;
}

/* Whether the route, the list of tried upstreams and the time leave one more.
 */
static bool attempt_left_(const forward_t *f)
{
	return f->tries < FORWARD_TRIED_MAX &&
	       f->arrivals < f->route->max_attempts &&
	       f->deadline - clock_now() >= SEND_MIN_MS;
}

bool forward_may_repeat(const forward_t *f)
{
	return repeatable_(f) && attempt_left_(f);
}

static retry_budget_t *budget_(forward_t *f)
{
	GHashTable *budgets = f->gateway->budgets;
	retry_budget_t *r = g_hash_table_lookup(budgets, f->service);

	if (!r) {
		r = g_new0(retry_budget_t, 1);
		g_hash_table_insert(budgets, g_strdup(f->service), r);
	}
	return r;
}

/* Chooses an upstream and sends; false when there is none. */
static bool place_(forward_t *f)
{
	gateway_t *g = f->gateway;
	balance_request_t ask = { .service = f->service };
	const char *customer = share_name_(f);
	mstime_t now = clock_now();

	if (f->route->affinity)
		ask.affinity = f->in.affinity;
	for (int i = 0; i < f->tries; i++)
		ask.exclude[ask.exclude_count++] = f->tried[i];
	ask.over_share =
		shares_check_request(&g->shares, f->service, customer, now);
	g->balance.node_count = gateway_peers_count(g);
	f->pick = balance_choose(&g->balance, &ask, now);
	if (!f->pick.upstream)
		return false;
	f->at = f->pick.upstream;
	shares_add_outstanding(&g->shares, f->service, customer, 1, now);
	f->tried[f->tries++] = f->at->local_id;
	g_strlcpy(f->upstream, f->at->id, sizeof(f->upstream));
	switch (f->pick.reason) {
	case BALANCE_FIRST:
		counter_add(COUNTER_PLACED_FIRST, 1);
		break;
	case BALANCE_SPILL:
		counter_add(COUNTER_PLACED_SPILL, 1);
		break;
	default:
		break;
	}
	forward_send(f);
	return true;
}

/* Whether a fault shows that the request reached no upstream. */
static bool never_arrived_(fault_t why)
{
	return why == FAULT_CONNECT || why == FAULT_START;
}

static bool certainly_not_run_(fault_t why)
{
	return never_arrived_(why) || why == FAULT_SHED;
}

/* Sending again to an upstream that rejects it burdens it too. */
static bool allowed_again_(forward_t *f, fault_t why)
{
	gateway_t *g = f->gateway;

	if (!certainly_not_run_(why) && !repeatable_(f))
		return false;
	if (!attempt_left_(f) || !gateway_informed(g))
		return false;
	if (why == FAULT_CONNECT && !f->arrivals)
		return true;
	return retry_budget_spend(budget_(f), &g->conf->retries,
				  gateway_peers_count(g), clock_now());
}

bool forward_again(forward_t *f, fault_t why)
{
	if (!certainly_not_run_(why))
		f->may_have_run = true;
	if (!allowed_again_(f, why))
		return false;
	counter_add(COUNTER_RETRIES, 1);
	if (f->begun)
		counter_add(COUNTER_STREAMS_RESUMED, 1);
	return place_(f);
}

bool forward_move(forward_t *f, fault_t why)
{
	balance_upstream_t *at = f->at;
	http_call_t *call = f->call;
	mstime_t now = clock_now();

	assert(at && call);
	if (!allowed_again_(f, why))
		return false;
	f->at = NULL;
	f->call = NULL;
	if (!place_(f)) {
		f->at = at;
		f->call = call;
		return false;
	}
	http_call_cancel(call);
	counter_add(COUNTER_RETRIES, 1);
	counter_add(COUNTER_STREAMS_RESUMED, f->begun);
	balance_end_request(at, BALANCE_FAILED, -1, now);
	shares_add_outstanding(&f->gateway->shares, f->service, share_name_(f),
			       -1, now);
	return true;
}

static void give_up_(forward_t *f, fault_t why)
{
	if (f->may_have_run) {
		forward_refuse(f, why == FAULT_TIMEOUT ? 504 : 502,
			       fault_string[why], COUNTER_REFUSED_UPSTREAM, 0);
		return;
	}
	forward_refuse(f, 503, fault_string[why], COUNTER_REFUSED_UPSTREAM,
		       f->pick.upstream ? RETRY_FAILED_MS : f->pick.retry_ms);
}

void forward_log_fault(const forward_t *f, const char *upstream, fault_t why)
{
	LOG_EVENT(LOG_NOTICE, "attempt.failed", F_VIEW("request", f->in.id),
		  F_STR("why", fault_string[why]), F_STR("upstream", upstream),
		  F_INT("status", f->answer.status),
		  F_INT("arrivals", f->arrivals), F_INT("tries", f->tries),
		  F_INT("ms", clock_now() - f->sent_at),
		  F_INT("last_event", f->last_event));
}

static balance_outcome_t outcome_(fault_t why)
{
	return why == FAULT_SHED ? BALANCE_SHED : BALANCE_FAILED;
}

void forward_note_fault(forward_t *f, fault_t why)
{
	mstime_t now = clock_now();

	if (!f->at)
		return;
	forward_log_fault(f, f->at->id, why);
	if (why == FAULT_CONNECT)
		balance_eject(f->at, now + SHUN_CONNECT_MS);
	if (why == FAULT_START)
		balance_eject(f->at, now + SHUN_START_MS);
	if (never_arrived_(why))
		f->arrivals--;
	forward_release(f, outcome_(why));
}

void forward_failed(forward_t *f, fault_t why)
{
	forward_note_fault(f, why);
	if (!forward_again(f, why))
		give_up_(f, why);
}

/* The route's or the caller's time is over. */
static void on_end_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (f->done)
		return;
	forward_cancel(f, f->first_at ? BALANCE_ABANDONED : BALANCE_FAILED);
	f->may_have_run = true;
	forward_refuse(f, 504, "deadline has passed", COUNTER_REFUSED_DEADLINE,
		       0);
}

static void arm_end_(forward_t *f, mstime_t now)
{
	f->deadline = now + f->route->timeout_ms;
	if (f->in.left_ms >= 0)
		f->deadline = MIN(f->deadline, now + f->in.left_ms);
	ev_timer_set(&f->end, (double)MAX(1, f->deadline - now) / MSEC_PER_SEC,
		     0);
	ev_timer_start(f->gateway->loop, &f->end);
}

/* Finds route and customer; false once the request has its answer. */
static bool identify_(forward_t *f)
{
	gateway_t *g = f->gateway;
	const route_table_t *t = f->table;

	if (!f->in.sound || !f->in.id.len) {
		forward_refuse(f, 400, "malformed request headers",
			       COUNTER_REFUSED_INPUT, 0);
		return false;
	}
	f->route = route_table_match(t, f->in.host, f->in.path);
	if (!f->route) {
		forward_refuse(f, 404, "no route", COUNTER_REFUSED_INPUT, 0);
		return false;
	}
	if (t->keyed && !f->route->open) {
		f->customer = route_table_customer(t, f->in.key);
		if (!f->customer) {
			forward_refuse(f, 401, "unknown key",
				       COUNTER_REFUSED_AUTH, 0);
			return false;
		}
	}
	f->service =
		routing_route_pick_target(f->route, g_rand_double(g->rand));
	if (!f->service) {
		forward_refuse(f, 503, "route has no service",
			       COUNTER_REFUSED_UPSTREAM, RETRY_FAILED_MS);
		return false;
	}
	return true;
}

/* Nothing bears the request; the choice says why and when to come back. */
static void refuse_placed_(forward_t *f)
{
	balance_reason_t why = f->pick.reason;

	forward_refuse(f, why == BALANCE_OVER_SHARE ? 429 : 503,
		       balance_reason_string[why],
		       why == BALANCE_NO_UPSTREAM ? COUNTER_REFUSED_UPSTREAM
						  : COUNTER_REFUSED_LOAD,
		       f->pick.retry_ms);
}

static void begin_(forward_t *f)
{
	gateway_t *g = f->gateway;

	if (!gateway_informed(g)) {
		forward_refuse(f, 503, "node is not ready",
			       COUNTER_REFUSED_NOT_READY,
			       g->phase == GATEWAY_STARTING ? RETRY_STARTING_MS
							    : RETRY_WOKEN_MS);
		return;
	}
	f->table = route_table_ref(g->table);
	if (!identify_(f))
		return;
	f->last_event = f->in.last_event;
	arm_end_(f, f->received);
	if (!gateway_takes(g, f->deadline)) {
		forward_refuse(f, 503, "node is stopping",
			       COUNTER_REFUSED_NOT_READY, RETRY_STOPPING_MS);
		return;
	}
	retry_budget_count_request(budget_(f), &g->conf->retries, f->received);
	if (place_(f))
		return;
	refuse_placed_(f);
}

static void on_request_(void *ctx, http_request_t *req)
{
	gateway_t *g = ctx;
	forward_t *f = forward_new_(g, req);

	counter_add(COUNTER_REQUESTS, 1);
	counter_add(GAUGE_OPEN_REQUESTS, 1);
	g->last_request_at = f->received;
	http_request_ends_with_connection(req);
	g->protocol->read_request(req, &f->in);
	begin_(f);
}

static void on_closed_(void *ctx, http_request_t *req, bool whole)
{
	forward_t *f = http_request_user(req);

	(void)ctx;
	counter_add(GAUGE_OPEN_REQUESTS, -1);
	counter_add(whole ? COUNTER_RESPONSES_COMPLETE
			  : COUNTER_RESPONSES_TRUNCATED,
		    1);
	if (!f->done) {
		counter_add(COUNTER_CALLERS_DISCONNECTED, 1);
		forward_cancel(f, BALANCE_ABANDONED);
		forward_ended(f, 0, "caller left");
	}
	forward_free_(f);
}

void forwards_tick(gateway_t *g)
{
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		forward_resume_reading(key);
		forward_check(key, now);
	}
}
