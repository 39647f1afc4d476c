#include "private/forward.h"

#include <assert.h>
#include <kcf/json_text.h>
#include <kcf/logline.h>
#include <string.h>

/* A request with less time until its deadline is not sent to an upstream. */
#define ATTEMPT_MIN_MS 15
/*
 * Retry-After of a starting node: most callers retry once, and nodes that start
 * together take up to this long to become ready.
 */
#define RETRY_AFTER_STARTING_MS 800
/* Callers accept at most one part in this many of the time they have left. */
#define RETRY_AFTER_PARTS 3
/* The same for a node whose process was paused. */
#define RETRY_AFTER_PAUSE_MS 400
/* Other nodes can serve the request at once. */
#define RETRY_AFTER_STOPPING_MS 20
/* After a failure that may not recur at another upstream. */
#define RETRY_AFTER_FAILURE_MS 200
/* An upstream that cannot be reached is ejected for this long. */
#define EJECT_CONNECT_MS 400
#define EJECT_INSTANCE_MS 3000
/*
 * Upstreams that a request of another node's caller is tried at while none can
 * be connected to; then that node asks another one.
 */
#define RELAYED_CONNECTS_MAX 2

const char *const fault_string[] = {
	"cannot connect",     "shed",
	"other start",	      "connection broke",
	"timed out",	      "crossed answer",
	"upstream error",     "resume refused",
	"answer without end", "stream stalled",
	"stream ended early", "other node unable",
	"ids out of order",
};

G_STATIC_ASSERT(COUNTER_RETRIES_UNABLE - COUNTER_RETRIES_CONNECT + 1 ==
		FAULT_DISORDERED);

static void on_request_(void *ctx, http_request_t *req);
static void on_closed_(void *ctx, http_request_t *req, bool whole);
static void on_deadline_(struct ev_loop *loop, ev_timer *w, int revents);

const http_server_ops_t forward_server_ops = { on_request_, on_closed_,
					       forward_on_taken };

static forward_t *forward_new_(gateway_t *g, http_request_t *req)
{
	forward_t *f = g_new0(forward_t, 1);

	f->gateway = g;
	f->req = req;
	f->received_at = clock_now();
	f->last_event_id = -1;
	f->body = g_string_new(NULL);
	backlog_join(&g->backlogs.answers, &f->answer, f);
	sse_init(&f->sse);
	ev_init(&f->deadline_timer, on_deadline_);
	f->deadline_timer.data = f;
	ev_init(&f->deferred_timer, NULL);
	ev_init(&f->flush_timer, NULL);
	ev_init(&f->overdue_timer, NULL);
	ev_init(&f->resume_timer, NULL);
	http_request_set_user(req, f);
	g_hash_table_add(g->forwards, f);
	return f;
}

void forward_drop_body(forward_t *f)
{
	/* Most attempts have buffered nothing. */
	if (!f->body->len)
		return;
	f->gateway->buffered_bytes -= f->body->len;
	backlog_drop(&f->gateway->backlogs.answers, &f->answer, f->body->len);
	g_string_free(f->body, TRUE);
	f->body = g_string_new(NULL);
}

static void forward_free_(forward_t *f)
{
	struct ev_loop *loop = f->gateway->loop;

	ev_timer_stop(loop, &f->deadline_timer);
	ev_timer_stop(loop, &f->deferred_timer);
	ev_timer_stop(loop, &f->flush_timer);
	ev_timer_stop(loop, &f->overdue_timer);
	ev_timer_stop(loop, &f->resume_timer);
	g_hash_table_remove(f->gateway->forwards, f);
	f->gateway->relayed -= f->order != NULL;
	g_free(f->order);
	g_free(f->way);
	route_table_unref(f->table);
	f->gateway->buffered_bytes -= f->body->len + f->replied_bytes;
	backlog_leave(&f->gateway->backlogs.answers, &f->answer);
	g_string_free(f->body, TRUE);
	answer_drop_headers(f);
	sse_finish(&f->sse);
	g_free(f);
}

/* Reason of the last placement; "-" before the first one. */
static const char *placement_reason_(const forward_t *f)
{
	if (!f->attempt_count && !f->pick.retry_ms)
		return "-";
	return balance_reason_string[f->pick.reason];
}

/* Time until the deadline; without a route, as the caller sent it or -1. */
static int64_t remaining_ms_(const forward_t *f, mstime_t now)
{
	return f->deadline ? f->deadline - now : f->in.remaining_ms;
}

/* Writes the one log line of a request, after its final response. */
static void log_request_end_(const forward_t *f, unsigned int status)
{
	mstime_t now = clock_now();
	bool success = status < 400 && !strcmp(f->outcome, "answered");

	LOG_EVENT(success ? LOG_INFO : LOG_NOTICE, "request.end",
		  F_VIEW("request", f->in.id), F_STR("outcome", f->outcome),
		  F_INT("status", status),
		  F_STR("route", f->route ? f->route->name : "-"),
		  F_STR("service", f->service ? f->service : "-"),
		  F_STR("customer", f->customer ? f->customer->name : "-"),
		  F_STR("upstream", f->upstream_id[0] ? f->upstream_id : "-"),
		  F_STR("via", f->way ? f->way->via : "-"),
		  F_STR("relayed_by", f->order ? f->order->from : "-"),
		  F_STR("version", f->version[0] ? f->version : "-"),
		  F_VIEW("resumes", f->in.resumes),
		  F_INT("after", f->in.last_event_id),
		  F_INT("arrivals", f->deliveries),
		  F_INT("tries", f->attempt_count),
		  F_STR("placed", placement_reason_(f)),
		  F_INT("load", f->pick.load),
		  F_REAL("mean", f->pick.mean_load),
		  F_INT("load_age_ms", f->pick.load_age_ms),
		  F_INT("shared_tokens", f->in.tokens.shared),
		  F_INT("own_tokens", f->in.tokens.own),
		  F_INT("expected_ms", f->pick.expected_ms),
		  F_INT("config", f->table ? (int64_t)f->table->version : -1),
		  F_INT("first_ms",
			f->first_at ? f->first_at - f->received_at : -1),
		  F_INT("ms", now - f->received_at),
		  F_INT("left_ms", remaining_ms_(f, now)));
}

void forward_complete(forward_t *f, unsigned int status, const char *outcome)
{
	f->done = true;
	f->outcome = outcome;
	if (f->first_at && f->route) {
		gateway_t *g = f->gateway;

		latency_add(&g->latency_first_byte[f->route->kind],
			    f->first_at - f->received_at);
		latency_add(&g->latency_total[f->route->kind],
			    clock_now() - f->received_at);
	}
	ev_timer_stop(f->gateway->loop, &f->deadline_timer);
	ev_timer_stop(f->gateway->loop, &f->overdue_timer);
	ev_timer_stop(f->gateway->loop, &f->resume_timer);
	log_request_end_(f, status);
}

static void reply_problem_(forward_t *f, unsigned int status, const char *why,
			   mstime_t retry_ms)
{
	char retry_after[32];
	http_header_t headers[5] = { { "Content-Type",
				       "application/problem+json" } };
	int n = 1;
	char *text = json_text(json_pack("{s:i,s:s,s:s}", "status", (int)status,
					 "title", why, "ran",
					 f->may_have_run ? "unknown" : "no"));

	if (retry_ms) {
		f->gateway->protocol->format_retry_after(retry_ms, retry_after);
		headers[n++] = (http_header_t){ "Retry-After", retry_after };
	}
	if (f->gateway->phase == GATEWAY_STOPPING)
		headers[n++] = (http_header_t){ "Connection", "close" };
	if (f->order)
		headers[n++] =
			(http_header_t){ RELAY_HEADER,
					 relays_answer_header(f, status) };
	http_reply(f->req, status, headers, str_of(text));
	g_free(text);
}

void forward_refuse(forward_t *f, unsigned int status, const char *why,
		    counter_t counter, mstime_t retry_ms)
{
	counter_add(counter, 1);
	if (f->stream_begun)
		http_stream_end(f->req, false);
	else
		reply_problem_(f, status, why, retry_ms);
	forward_complete(f, status, why);
}

/* Customer whose share is charged; callers without a key count as one. */
static const char *share_customer_(const forward_t *f)
{
	return f->customer ? f->customer->name : "";
}

void forward_release(forward_t *f, balance_outcome_t outcome)
{
	mstime_t latency = f->first_at ? f->first_at - f->sent_at : -1;
	mstime_t now = clock_now();

	if (!f->selected)
		return;
	rollout_note_end(f, outcome, now);
	latency = balance_normal_latency(&f->gateway->balance, f->selected,
					 &f->pick, latency);
	balance_end_work(&f->gateway->balance, f->selected, &f->pick.work, now);
	if (outcome == BALANCE_OK)
		balance_record_hold(f->selected, now - f->sent_at);
	balance_end_request(f->selected, outcome, latency, now);
	shares_add_outstanding(&f->gateway->shares, f->service,
			       share_customer_(f), -1, now);
	f->selected = NULL;
}

static bool is_retryable_(const forward_t *f)
{
	if (f->route->kind == ROUTE_KIND_STREAM)
		return f->route->resumable;
	return f->route->kind == ROUTE_KIND_IDEMPOTENT;
}

/*
 * Whether the route, FORWARD_ATTEMPTS_MAX and the deadline allow one more, and
 * what the caller has of a stream can be told to its upstream.
 */
static bool has_attempt_left_(const forward_t *f)
{
	return f->attempt_count < FORWARD_ATTEMPTS_MAX && !f->unnumbered &&
	       f->deliveries < f->route->max_attempts &&
	       f->deadline - clock_now() >= ATTEMPT_MIN_MS;
}

bool forward_can_retry(const forward_t *f)
{
	return is_retryable_(f) && has_attempt_left_(f);
}

static retry_budget_t *service_budget_(forward_t *f)
{
	GHashTable *budgets = f->gateway->retry_budgets;
	retry_budget_t *r = g_hash_table_lookup(budgets, f->service);

	if (!r) {
		r = g_new0(retry_budget_t, 1);
		g_hash_table_insert(budgets, g_strdup(f->service), r);
	}
	return r;
}

/* 0 is most urgent. */
static int priority_(const forward_t *f)
{
	return f->customer && f->customer->priority >= 0 ? f->customer->priority
							 : f->route->priority;
}

/*
 * What the service can run a second, this node's part of it. 0 while the number
 * of nodes that callers are sent to is not known.
 */
static double capacity_(const forward_t *f, mstime_t now)
{
	const gateway_t *g = f->gateway;
	guint nodes = MIN(g->serving.count, g->ranking->len);

	if (!g->balance.pace_reported || !nodes ||
	    gateway_recently_started(g, now))
		return 0;
	return balance_capacity(&g->balance, f->service) / nodes;
}

/* Counted once, not for each upstream that it is sent to. */
static void record_arrival_(forward_t *f, mstime_t now)
{
	admission_arrival_t arrival = {
		.service = f->service,
		.customer = share_customer_(f),
		.kind = f->route->name,
		.urgency = priority_(f),
		.size = 1,
		.ordered =
			f->in.generation || f->route->kind == ROUTE_KIND_STREAM,
		.objective_ms = f->route->latency_objective_ms,
		.deadline = f->deadline,
		.hash = str_hash64(f->in.id, 0) | 1
	};

	if (!f->gateway->conf->admission || f->claim.hash)
		return;
	arrival.capacity_per_s = capacity_(f, now);
	admission_record_arrival(&f->gateway->admission, &arrival, now,
				 &f->claim);
}

void forward_describe(const forward_t *f, balance_request_t *request)
{
	*request = (balance_request_t){ .service = f->service,
					.claim = f->claim,
					.version = f->bound_version,
					.no_brittle = f->met_brittle };
	request->claim.begun = f->attempt_count || f->last_event_id >= 0;
	if (f->route->affinity)
		request->affinity = f->in.affinity;
	request->tokens = f->in.tokens;
	request->objective_ms = f->route->latency_objective_ms;
	for (int i = 0; i < f->attempt_count; i++)
		request->exclude[request->exclude_count++] = f->tried_ids[i];
}

/* A stream begins at a start whose version is known, or else where it can. */
static balance_pick_t choose_known_(const forward_t *f,
				    balance_request_t *request, mstime_t now)
{
	balance_t *b = &f->gateway->balance;
	balance_pick_t pick;

	request->no_refuted = f->route->resumable;
	pick = balance_choose(b, request, now);
	if (pick.upstream || !request->no_refuted ||
	    !balance_has_refuted(b, request->service))
		return pick;
	request->no_refuted = false;
	return balance_choose(b, request, now);
}

/* A stream goes on where the start is proven, or else where it can be. */
static balance_pick_t choose_trusted_(forward_t *f, balance_request_t *request,
				      mstime_t now)
{
	balance_t *b = &f->gateway->balance;
	balance_pick_t pick;

	if (!request->version)
		return choose_known_(f, request, now);
	request->least_trust = resumes_wanted_trust(f, request);
	pick = balance_choose(b, request, now);
	if (pick.upstream || request->least_trust != BALANCE_TRUST_SURE ||
	    !starts_may_ask(f) || f->moving)
		return pick;
	request->least_trust = BALANCE_TRUST_UNKNOWN;
	return balance_choose(b, request, now);
}

static balance_pick_t choose_(forward_t *f, balance_request_t *request,
			      mstime_t now)
{
	rollouts_way_t way = rollout_direct(f, request, now);
	balance_pick_t pick = { .reason = BALANCE_NO_UPSTREAM,
				.retry_ms = RETRY_AFTER_FAILURE_MS };

	if (way != ROLLOUTS_BARRED)
		pick = choose_trusted_(f, request, now);
	if (!pick.upstream && rollout_relax(f, request, way))
		pick = choose_trusted_(f, request, now);
	return pick;
}

/* Chooses an upstream and sends the request; false if none is eligible. */
static bool start_attempt_(forward_t *f)
{
	gateway_t *g = f->gateway;
	balance_request_t request;
	const char *customer = share_customer_(f);
	mstime_t now = clock_now();

	record_arrival_(f, now);
	forward_describe(f, &request);
	request.over_share =
		shares_check_request(&g->shares, f->service, customer, now);
	g->balance.node_count = gateway_peers_sharing_count(g);
	g->balance.sender_count = sharing_senders(&g->sharing, now);
	f->pick = choose_(f, &request, now);
	if (!f->pick.upstream)
		return false;
	f->selected = f->pick.upstream;
	rollout_note_sent(f, now);
	g_strlcpy(f->copy_source,
		  f->pick.copy_source ? f->pick.copy_source->address : "",
		  sizeof(f->copy_source));
	f->pick.copy_source = NULL;
	counter_add(COUNTER_WARMTH_COPIES, f->pick.copy_told);
	counter_add(COUNTER_WARMTH_PLACED, f->pick.place_told);
	shares_add_outstanding(&g->shares, f->service, customer, 1, now);
	f->tried_ids[f->attempt_count++] = f->selected->local_id;
	g_strlcpy(f->upstream_id, f->selected->id, sizeof(f->upstream_id));
	g_strlcpy(f->version, f->selected->version, sizeof(f->version));
	switch (f->pick.reason) {
	case BALANCE_FIRST:
		counter_add(COUNTER_PLACED_FIRST, 1);
		break;
	case BALANCE_SPILL:
		counter_add(COUNTER_PLACED_SPILL, 1);
		break;
	case BALANCE_WORK:
		counter_add(COUNTER_PLACED_WORK, 1);
		break;
	default:
		break;
	}
	gateway_peers_notify_work(g, &f->pick, request.affinity);
	starts_send(f);
	return true;
}

/* Whether a fault proves that the request did not reach the upstream. */
static bool never_delivered_(fault_t why)
{
	return why == FAULT_CONNECT || why == FAULT_INSTANCE ||
	       why == FAULT_UNABLE;
}

static bool never_executed_(fault_t why)
{
	return never_delivered_(why) || why == FAULT_SHED;
}

/* Whether the request may be sent again, as far as the budget allows. */
static bool is_retry_allowed_(forward_t *f, fault_t why)
{
	mstime_t held_ms;

	if (!never_executed_(why) && !is_retryable_(f))
		return false;
	if (f->suspect || crashes_check(f, &held_ms))
		return false;
	if (!has_attempt_left_(f) || !gateway_data_is_current(f->gateway))
		return false;
	return why != FAULT_CONNECT || !f->order ||
	       f->attempt_count < RELAYED_CONNECTS_MAX;
}

/*
 * A retry after a rejection loads upstreams as well, so it spends the retry
 * budget. Only a request that has not reached any upstream does not, nor does
 * one that another node has not sent to any.
 */
static bool spend_budget_(forward_t *f, fault_t why)
{
	gateway_t *g = f->gateway;
	mstime_t now = clock_now();
	retry_budget_conf_t own;

	if ((why == FAULT_CONNECT && !f->deliveries) ||
	    (f->way && never_delivered_(why))) {
		counter_add(COUNTER_RETRIES_UNCHARGED, 1);
		return true;
	}
	own = sharing_budget(&g->sharing, &g->conf->retries, now);
	if (retry_budget_spend(service_budget_(f), &own, 1, now))
		return true;
	counter_add(COUNTER_RETRIES_OVER_BUDGET, 1);
	return false;
}

static void count_retry_(const forward_t *f, fault_t why)
{
	counter_add(COUNTER_RETRIES, 1);
	counter_add((counter_t)(COUNTER_RETRIES_CONNECT + why), 1);
	counter_add(COUNTER_STREAMS_RESUMED, f->stream_begun);
}

/* A retry that was granted and not sent yet is not charged again. */
static bool may_retry_(forward_t *f, fault_t why)
{
	if (!is_retry_allowed_(f, why))
		return false;
	if (!f->retry_granted) {
		if (!spend_budget_(f, why))
			return false;
		count_retry_(f, why);
	}
	f->retry_granted = true;
	f->placing_fault = why;
	return true;
}

/* Whether the attempt may have met a lost link of this node. */
static bool met_silence_(const forward_t *f, fault_t why)
{
	return (why == FAULT_CONNECT || why == FAULT_DISCONNECT ||
		why == FAULT_TIMEOUT) &&
	       !f->response.status;
}

/* Sends the request again, to an upstream or through another node. */
static bool start_again_(forward_t *f, fault_t why)
{
	const gateway_t *g = f->gateway;

	if (f->way || relays_is_cut(g))
		return relays_start(f);
	if (g->reach.state == REACH_DOUBTFUL && met_silence_(f, why) &&
	    relays_start(f))
		return true;
	return start_attempt_(f);
}

bool forward_retry(forward_t *f, fault_t why)
{
	if (!never_executed_(why))
		f->may_have_run = true;
	f->unplaceable = false;
	if (!f->suspect && has_attempt_left_(f) &&
	    (never_executed_(why) || is_retryable_(f))) {
		resume_step_t step = resumes_check(f);

		if (step == RESUME_WAITS)
			resumes_wait(f, why);
		f->unplaceable = step == RESUME_LOST;
		if (step != RESUME_GOES_ON)
			return step == RESUME_WAITS;
	}
	if (!may_retry_(f, why))
		return false;
	return start_again_(f, why);
}

bool forward_move(forward_t *f, fault_t why)
{
	balance_upstream_t *previous = f->selected;
	work_request_t work = f->pick.work;
	http_call_t *call = f->call;
	forward_rollout_t rollout = f->rollout;
	mstime_t now = clock_now();
	bool moved;

	assert(previous && call);
	if (!resumes_may_move(f) || !may_retry_(f, why))
		return false;
	f->rollout.fault = why;
	rollout_note_end(f, BALANCE_FAILED, now);
	rollout.judged = f->rollout.judged;
	f->selected = NULL;
	f->call = NULL;
	/* No question: the current attempt would be lost with the answer. */
	f->moving = true;
	moved = start_again_(f, why);
	f->moving = false;
	if (!moved) {
		f->selected = previous;
		f->pick.work = work;
		f->call = call;
		f->rollout = rollout;
		return false;
	}
	http_call_cancel(call);
	balance_end_work(&f->gateway->balance, previous, &work, now);
	balance_end_request(previous, BALANCE_FAILED, -1, now);
	shares_add_outstanding(&f->gateway->shares, f->service,
			       share_customer_(f), -1, now);
	return true;
}

static void give_up_(forward_t *f, fault_t why)
{
	if (f->may_have_run) {
		forward_refuse(f, why == FAULT_TIMEOUT ? 504 : 502,
			       fault_string[why], COUNTER_REFUSED_UPSTREAM, 0);
		return;
	}
	if (f->unplaceable) {
		resumes_refuse(f);
		return;
	}
	forward_refuse(f, 503, fault_string[why], COUNTER_REFUSED_UPSTREAM,
		       f->pick.upstream || f->way ? RETRY_AFTER_FAILURE_MS
						  : f->pick.retry_ms);
}

/* What the upstream had sent in this attempt. */
static const char *answer_stage_(const forward_t *f)
{
	if (f->event_seen)
		return "events";
	return f->response.status ? "head" : "none";
}

void forward_log_fault(const forward_t *f, const char *upstream, fault_t why)
{
	char *segments = quarantine_format_prompt(&f->in.prompt);
	char fingerprint[QUARANTINE_REQUEST_TEXT_MAX];

	quarantine_format_request(&f->in.prompt, fingerprint);
	LOG_EVENT(LOG_NOTICE, "attempt.failed", F_VIEW("request", f->in.id),
		  F_STR("why", fault_string[why]), F_STR("upstream", upstream),
		  F_INT("status", f->response.status),
		  F_INT("arrivals", f->deliveries),
		  F_INT("tries", f->attempt_count),
		  F_INT("ms", clock_now() - f->sent_at),
		  F_INT("last_event", f->last_event_id),
		  F_STR("answer", answer_stage_(f)),
		  F_INT("connection", (int64_t)f->connection),
		  F_INT("order", (int64_t)f->connection_order),
		  F_STR("fingerprint", fingerprint),
		  F_STR("segments", segments));
	g_free(segments);
}

static balance_outcome_t balance_outcome_(fault_t why)
{
	return why == FAULT_SHED ? BALANCE_SHED : BALANCE_FAILED;
}

void forward_record_fault(forward_t *f, fault_t why)
{
	mstime_t now = clock_now();

	if (f->way)
		relays_record_fault(f, why);
	if (!f->selected)
		return;
	if (met_silence_(f, why))
		forward_record_silence(f);
	forward_log_fault(f, f->selected->id, why);
	f->suspect = crashes_record(f, why) || f->suspect;
	f->rollout.fault = why;
	if (why == FAULT_SHED && f->selected->brittle.active)
		f->met_brittle = true;
	if (why == FAULT_CONNECT)
		balance_eject(f->selected, now + EJECT_CONNECT_MS);
	if (why == FAULT_INSTANCE)
		balance_eject(f->selected, now + EJECT_INSTANCE_MS);
	if (never_delivered_(why))
		f->deliveries--;
	forward_release(f, balance_outcome_(why));
}

void forward_attempt_failed(forward_t *f, fault_t why)
{
	forward_record_fault(f, why);
	forward_retry_or_end(f, why);
}

void forward_retry_or_end(forward_t *f, fault_t why)
{
	if (why == FAULT_COUNT)
		forward_place(f);
	else if (!forward_retry(f, why))
		give_up_(f, why);
}

/* The route's timeout or the caller's deadline has expired. */
static void on_deadline_(struct ev_loop *loop, ev_timer *w, int revents)
{
	forward_t *f = w->data;

	(void)loop;
	(void)revents;
	if (f->done)
		return;
	if (f->call)
		forward_record_silence(f);
	forward_cancel(f, f->first_at ? BALANCE_ABANDONED : BALANCE_FAILED);
	f->may_have_run = true;
	forward_refuse(f, 504, "deadline has passed", COUNTER_REFUSED_DEADLINE,
		       0);
}

static void start_deadline_timer_(forward_t *f, mstime_t now)
{
	f->deadline = now + f->route->timeout_ms;
	if (f->in.remaining_ms >= 0)
		f->deadline = MIN(f->deadline, now + f->in.remaining_ms);
	ev_timer_set(&f->deadline_timer,
		     (double)MAX(1, f->deadline - now) / MSEC_PER_SEC, 0);
	ev_timer_start(f->gateway->loop, &f->deadline_timer);
}

/* Finds route, customer and service; false if the request was refused. */
static bool identify_(forward_t *f)
{
	gateway_t *g = f->gateway;
	const route_table_t *t = f->table;

	if (!f->in.well_formed || !f->in.id.len) {
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
			       COUNTER_REFUSED_UPSTREAM,
			       RETRY_AFTER_FAILURE_MS);
		return false;
	}
	return true;
}

static counter_t unplaced_counter_(balance_reason_t why)
{
	switch (why) {
	case BALANCE_NO_UPSTREAM:
		return COUNTER_REFUSED_UPSTREAM;
	case BALANCE_RATE_LIMITED:
		return COUNTER_REFUSED_RATE;
	case BALANCE_RESERVED:
		return COUNTER_REFUSED_RESERVED;
	case BALANCE_LATE:
		return COUNTER_REFUSED_DEADLINE;
	default:
		return COUNTER_REFUSED_LOAD;
	}
}

/* No upstream is eligible; the pick has the reason and the retry delay. */
static void refuse_unplaced_(forward_t *f)
{
	balance_reason_t why = f->pick.reason;

	forward_refuse(f, why == BALANCE_OVER_SHARE ? 429 : 503,
		       balance_reason_string[why], unplaced_counter_(why),
		       f->pick.retry_ms);
}

void forward_place(forward_t *f)
{
	if (relays_is_cut(f->gateway)) {
		if (!relays_start(f))
			forward_refuse(f, 503, "no way to upstreams",
				       COUNTER_REFUSED_UPSTREAM,
				       RETRY_AFTER_FAILURE_MS);
		return;
	}
	if (!f->counted)
		retry_budget_count_request(service_budget_(f),
					   &f->gateway->conf->retries,
					   f->received_at);
	f->counted = true;
	f->placing_fault = FAULT_COUNT;
	switch (resumes_check(f)) {
	case RESUME_WAITS:
		resumes_wait(f, FAULT_COUNT);
		return;
	case RESUME_LOST:
		resumes_refuse(f);
		return;
	default:
		break;
	}
	if (start_attempt_(f))
		return;
	/* All may only be out of reach of this node. */
	if (f->gateway->reach.state != REACH_DOUBTFUL ||
	    f->pick.reason != BALANCE_NO_UPSTREAM || !relays_start(f))
		refuse_unplaced_(f);
}

/*
 * Key of all that a caller repeats when it sends a request again; ids differ
 * for each try.
 */
static uint64_t fingerprint_(const forward_t *f)
{
	uint64_t hash = str_hash64(f->in.method, 0);

	hash = str_hash64(f->in.host, hash);
	hash = str_hash64(f->in.target, hash);
	hash = str_hash64(str_of(share_customer_(f)), hash);
	return str_hash64(http_request_body(f->req), hash) | 1;
}

/*
 * A starting node may be ready long before its usual time. A caller with little
 * time left would not come back at that, and so is told an earlier one.
 */
static mstime_t not_ready_retry_ms_(const forward_t *f)
{
	mstime_t ms = f->gateway->phase == GATEWAY_STARTING
			      ? RETRY_AFTER_STARTING_MS
			      : RETRY_AFTER_PAUSE_MS;

	if (!f->in.well_formed || f->in.remaining_ms < RETRY_AFTER_PARTS)
		return ms;
	return MIN(ms, f->in.remaining_ms / RETRY_AFTER_PARTS);
}

static void handle_request_(forward_t *f)
{
	gateway_t *g = f->gateway;

	if (!gateway_data_is_current(g)) {
		forward_refuse(f, 503, "node is not ready",
			       COUNTER_REFUSED_NOT_READY,
			       not_ready_retry_ms_(f));
		return;
	}
	if (!relays_admit(f))
		return;
	f->table = route_table_ref(g->table);
	if (!identify_(f))
		return;
	f->in.prompt.request = fingerprint_(f);
	f->last_event_id = f->in.last_event_id;
	start_deadline_timer_(f, f->received_at);
	if (!gateway_can_finish_by(g, f->deadline)) {
		forward_refuse(f, 503, "node is stopping",
			       COUNTER_REFUSED_NOT_READY,
			       RETRY_AFTER_STOPPING_MS);
		return;
	}
	if (f->order) {
		f->order->accepted = true;
		counter_add(COUNTER_RELAYS_SERVED, 1);
	}
	if (crashes_refuse_held(f))
		return;
	/* Another node that it is passed to finds its version. */
	if (relays_is_cut(g) || resumes_resolve(f))
		forward_place(f);
}

void forward_accept(gateway_t *g, http_request_t *req, relay_order_t *order)
{
	forward_t *f = forward_new_(g, req);

	counter_add(COUNTER_REQUESTS, 1);
	counter_add(GAUGE_OPEN_REQUESTS, 1);
	g->last_request_at = f->received_at;
	http_request_ends_with_connection(req);
	g->protocol->parse_request(req, &f->in);
	if (order) {
		f->order = order;
		f->deliveries = order->arrivals;
		f->may_have_run = order->may_have_run;
		f->counted = order->counted;
		g->relayed++;
		/* The node that passes it on is its caller's own try. */
		if (order->began && !f->in.resumes.len)
			f->in.resumes = f->in.id;
	}
	handle_request_(f);
}

static void on_request_(void *ctx, http_request_t *req)
{
	forward_accept(ctx, req, NULL);
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
		forward_complete(f, 0, "caller left");
	}
	forward_free_(f);
}

static void forward_end_(forward_t *f)
{
	f->may_have_run = f->may_have_run || f->call;
	forward_cancel(f, BALANCE_ABANDONED);
	forward_refuse(f, f->may_have_run ? 502 : 503, "node has stopped",
		       COUNTER_REFUSED_NOT_READY,
		       f->may_have_run ? 0 : RETRY_AFTER_STOPPING_MS);
}

void forwards_end(gateway_t *g)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		forward_t *f = key;

		if (!f->done)
			forward_end_(f);
	}
}

void forwards_tick(gateway_t *g)
{
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		forward_resume_read(key);
		rollout_check_wait(key, now);
		forward_check_progress(key, now);
		forward_check_upload(key, now);
	}
	backlog_set_connections(&g->backlogs.answers,
				http_server_connections(&g->callers) +
					http_server_connections(&g->relays));
	backlogs_tick(&g->backlogs, now);
}
