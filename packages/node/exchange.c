#include "private/exchange.h"

#include <kcf/logline.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* An older placement is requested again; its upstream may have a new owner. */
#define PLACEMENT_AGE_MAX_MS 1000
/* Other nodes can serve the request at once. */
#define RETRY_AFTER_STOPPED_MS 20

typedef struct filter {
	const char *name;
	filter_result_t (*run)(exchange_t *x);
} filter_t;

static const filter_t filters[] = {
	{ "identify", filter_identify }, { "authorise", filter_authorise },
	{ "classify", filter_classify }, { "defer", filter_defer },
	{ "once", filter_once },	 { "place", filter_place },
};

const char refusal_not_ready[] = "not_ready";

static const char *const ran_string[] = { "no", "unknown", "yes" };

static void post_trace_(exchange_t *x, bool whole);

exchange_t *exchange_new(relay_t *relay, http_request_t *req)
{
	exchange_t *x = g_new0(exchange_t, 1);

	x->id = ++relay->next_id;
	x->relay = relay;
	x->req = req;
	x->weight = 1;
	x->reported_prompt_tokens = -1;
	x->reported_cached_tokens = -1;
	x->first_token_ms = -1;
	x->started = clock_now();
	x->body = g_string_new(NULL);
	x->trace = g_string_new(NULL);
	sse_init(&x->sse);
	ev_init(&x->check_timer, NULL);
	ev_init(&x->retry_timer, NULL);
	http_request_set_user(req, x);
	g_hash_table_insert(relay->exchanges, &x->id, x);
	counter_add(COUNTER_REQUESTS, 1);
	counter_add(GAUGE_OPEN_REQUESTS, 1);
	return x;
}

void exchange_run(exchange_t *x)
{
	while (x->next_filter < G_N_ELEMENTS(filters)) {
		const filter_t *f = &filters[x->next_filter++];
		filter_result_t result = f->run(x);

		if (result != FILTER_NEXT)
			return;
	}
}

void exchange_retry_claim(exchange_t *x)
{
	x->next_filter = 0;
	while (filters[x->next_filter].run != filter_once)
		x->next_filter++;
	exchange_run(x);
}

void exchange_end(exchange_t *x)
{
	/* Without a claim an earlier try of the key may have run. */
	bool unknown = x->maybe_sent || (x->run_once && !exchange_has_claim(x));

	exchange_abort(x, SCHED_ABANDONED);
	if (http_request_answered(x->req))
		return;
	x->reason = refusal_not_ready;
	exchange_refuse(x, unknown ? 502 : 503, "node has stopped",
			unknown ? RAN_UNKNOWN : RAN_NO,
			COUNTER_REFUSED_NOT_READY, RETRY_AFTER_STOPPED_MS);
}

void exchange_close(exchange_t *x, bool whole)
{
	message_t *m;

	if (x->placement_pending) {
		m = message_new(MSG_CANCEL);
		m->cancel = x->id;
		task_post(x->relay->control, m);
	}
	exchange_abort(x, SCHED_ABANDONED);
	if (x->holds_claim)
		exchange_report_once_end(x, x->maybe_sent, 0, STR_NONE, "");
	counter_add(whole ? COUNTER_RESPONSES_COMPLETE
			  : COUNTER_RESPONSES_TRUNCATED,
		    1);
	counter_add(GAUGE_OPEN_REQUESTS, -1);
	post_trace_(x, whole);
	g_hash_table_remove(x->relay->exchanges, &x->id);
	ev_timer_stop(x->relay->task.loop, &x->check_timer);
	sse_finish(&x->sse);
	g_string_free(x->body, TRUE);
	g_string_free(x->trace, TRUE);
	if (x->subpath_text)
		g_string_free(x->subpath_text, TRUE);
	g_free(x);
}

void exchange_refuse(exchange_t *x, unsigned int status, const char *title,
		     ran_t ran, counter_t counter, mstime_t retry_ms)
{
	char retry[24];
	char retry_exact[24];
	http_header_t headers[] = {
		{ "Content-Type", "application/problem+json" },
		{ "X-Request-Id", x->request_id },
		{ retry_ms ? "Retry-After" : NULL, retry },
		{ "X-Retry-After-Ms", retry_exact },
		{ NULL, NULL },
	};
	json_t *body = json_pack("{s:s,s:i,s:s,s:s,s:s}", "type", "about:blank",
				 "status", (int)status, "title", title, "ran",
				 ran_string[ran], "request_id", x->request_id);
	char *text;

	if (x->reason)
		json_object_set_new(body, "reason", json_string(x->reason));
	text = json_dumps(body, JSON_COMPACT);
	snprintf(retry, sizeof(retry), "%lld",
		 (long long)((retry_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC));
	snprintf(retry_exact, sizeof(retry_exact), "%lld", (long long)retry_ms);
	counter_add(counter, 1);
	exchange_trace(x, "refused status=%u ran=%s", status, ran_string[ran]);
	LOG_EVENT(LOG_INFO, "request.refused", F_STR("request", x->request_id),
		  F_STR("customer", x->customer), F_STR("service", x->service),
		  F_INT("status", status), F_STR("title", title),
		  F_STR("ran", ran_string[ran]), F_INT("retry_ms", retry_ms));
	if (x->holds_claim)
		exchange_report_once_end(x, ran != RAN_NO, 0, STR_NONE, "");
	if (x->streaming)
		http_stream_end(x->req, false);
	else
		http_reply(x->req, status, headers, str_of(text));
	free(text);
	json_decref(body);
}

void exchange_reply_json(exchange_t *x, unsigned int status, json_t *body)
{
	const http_header_t headers[] = {
		{ "Content-Type", "application/json" },
		{ "X-Request-Id", x->request_id },
		{ NULL, NULL },
	};
	char *text = json_dumps(body, JSON_COMPACT);

	http_reply(x->req, status, headers, str_of(text));
	free(text);
	json_decref(body);
}

void exchange_trace(exchange_t *x, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(x->trace, "ms=%" G_GINT64_FORMAT " ",
			       clock_now() - x->started);
	va_start(ap, fmt);
	g_string_append_vprintf(x->trace, fmt, ap);
	va_end(ap);
	g_string_append_c(x->trace, '\n');
}

static void post_trace_(exchange_t *x, bool whole)
{
	message_t *m;

	if (x->route == ROUTE_WHERE || x->route == ROUTE_MODELS)
		return;
	exchange_trace(x, "closed whole=%d", whole);
	m = message_new(MSG_TRACE);
	g_strlcpy(m->trace.request_id, x->request_id,
		  sizeof(m->trace.request_id));
	m->trace.steps = g_string_new_len(x->trace->str, (gssize)x->trace->len);
	task_post(x->relay->control, m);
}

void exchange_post_loads(exchange_t *x, str_t loads)
{
	message_t *m;

	if (!loads.len || loads.len >= SCHED_LOADS_MAX)
		return;
	counter_add(COUNTER_CONTROL_RECEIVED_BYTES, (int64_t)loads.len);
	m = message_new(MSG_LOADS);
	memcpy(m->loads, loads.data, loads.len);
	task_post(x->relay->control, m);
}

void exchange_request_placement(exchange_t *x)
{
	message_t *m = message_new(MSG_PLACE);
	sched_request_t *r = &m->place.request;

	r->id = x->id;
	r->chat = x->chat;
	r->sticky = x->sticky;
	g_strlcpy(r->service, x->service, sizeof(r->service));
	g_strlcpy(r->model, x->model, sizeof(r->model));
	g_strlcpy(r->customer, x->customer, sizeof(r->customer));
	g_strlcpy(r->avoid_node, x->avoid_node, sizeof(r->avoid_node));
	r->weight = x->weight;
	r->urgency = x->urgency;
	r->deadline = x->deadline;
	r->prompt_tokens = x->prompt_tokens;
	r->hop = x->hop;
	r->target = x->target;
	r->exclude_count = x->exclude_count;
	memcpy(r->exclude, x->exclude, sizeof(r->exclude));
	m->place.prompt = x->prompt;
	m->place.lost_upstream = x->lost_upstream;
	m->place.lost_begun = x->lost_begun;
	x->placement_pending = true;
	task_post(x->relay->control, m);
}

/*
 * Whether the refusal may stem from a node that is dead but not yet declared
 * dead by the membership.
 */
static bool owner_may_be_lost_(const exchange_t *x, const sched_decision_t *a)
{
	return a->refusal == REFUSE_MOVED ||
	       (a->refusal == REFUSE_NO_UPSTREAM && x->avoid_node[0]);
}

static counter_t refusal_counter_(sched_refusal_t why)
{
	switch (why) {
	case REFUSE_DEADLINE:
		return COUNTER_REFUSED_DEADLINE;
	case REFUSE_HELD:
		return COUNTER_REFUSED_QUARANTINE;
	default:
		return COUNTER_REFUSED_LOAD;
	}
}

static void handle_placement_refusal_(exchange_t *x, const sched_decision_t *a)
{
	sched_refusal_t why = a->refusal;

	if (owner_may_be_lost_(x, a)) {
		if (exchange_wait_for_owner(x))
			return;
		why = REFUSE_MOVED;
	}
	x->reason = sched_refusal_reason[why];
	exchange_refuse(x, x->lost_upstream && why == REFUSE_HELD ? 502 : 503,
			sched_refusal_string[why],
			x->maybe_sent ? RAN_UNKNOWN : RAN_NO,
			refusal_counter_(why), MAX(1, a->retry_after_ms));
}

void exchange_handle_placement(exchange_t *x, const sched_decision_t *a)
{
	x->placement_pending = false;
	x->placement = *a;
	if (a->verdict == SCHED_REFUSE) {
		handle_placement_refusal_(x, a);
		return;
	}
	x->has_permit = a->verdict == SCHED_RUN;
	if (clock_now() - a->decided_at > PLACEMENT_AGE_MAX_MS) {
		/* This process paused since the decision. */
		exchange_release_permit(x, SCHED_ABANDONED);
		exchange_request_placement(x);
		return;
	}
	LOG_EVENT(LOG_DEBUG, "request.placed", F_STR("request", x->request_id),
		  F_STR("upstream", a->upstream), F_STR("node", a->node),
		  F_INT("hop", x->hop), F_INT("ms", clock_now() - x->started));
	if (a->verdict == SCHED_RUN)
		exchange_trace(x, "placed upstream=%s warm=%d hop=%d",
			       a->upstream, a->warm, x->hop);
	else
		exchange_trace(x, "forward node=%s target=%08x hop=%d", a->node,
			       a->target, a->hop);
	exchange_send(x);
}

void exchange_handle_job_reply(exchange_t *x, const job_reply_t *r)
{
	const http_header_t headers[] = {
		{ "Content-Type", r->status >= 400 ? "application/problem+json"
						   : "application/json" },
		{ "X-Request-Id", x->request_id },
		{ r->status == 503 ? "Retry-After" : NULL, "1" },
		{ NULL, NULL },
	};
	gsize len;
	const char *data;

	if (r->node[0]) {
		x->placement = (sched_decision_t){ .verdict = SCHED_FORWARD };
		g_strlcpy(x->placement.node, r->node,
			  sizeof(x->placement.node));
		exchange_send(x);
		return;
	}
	data = g_bytes_get_data(r->body, &len);
	exchange_trace(x, "job answered status=%u", r->status);
	http_reply(x->req, r->status, headers, (str_t){ data, len });
}

static void replay_outcome_(exchange_t *x, const once_reply_t *r)
{
	const http_header_t headers[] = {
		{ "Content-Type", r->content_type },
		{ "X-Request-Id", x->request_id },
		{ "Idempotent-Replayed", "true" },
		{ NULL, NULL },
	};
	gsize len = 0;
	const char *data = r->body ? g_bytes_get_data(r->body, &len) : "";

	exchange_trace(x, "replayed status=%d", r->status);
	http_reply(x->req, (unsigned int)r->status, headers,
		   (str_t){ data, len });
}

void exchange_handle_once_reply(exchange_t *x, const once_reply_t *r)
{
	switch (r->verdict) {
	case ONCE_RUN:
		x->holds_claim = true;
		counter_add(COUNTER_ONCE_RUNS, 1);
		exchange_run(x);
		break;
	case ONCE_REPLAY:
		replay_outcome_(x, r);
		break;
	case ONCE_NOT_KEPT:
		exchange_refuse(x, 409,
				"an earlier try ran, its answer was too long "
				"to be kept",
				RAN_YES, COUNTER_ONCE_UNKNOWN, 0);
		break;
	case ONCE_UNKNOWN:
		exchange_refuse(x, 409, "an earlier try may have run",
				RAN_UNKNOWN, COUNTER_ONCE_UNKNOWN, 0);
		break;
	case ONCE_BUSY:
		exchange_refuse(x, 409, "another try with this key is running",
				RAN_UNKNOWN, COUNTER_ONCE_REFUSED,
				MAX(1, r->retry_after_ms));
		break;
	case ONCE_FORWARD:
		x->placement = (sched_decision_t){ .verdict = SCHED_FORWARD };
		g_strlcpy(x->placement.node, r->node,
			  sizeof(x->placement.node));
		exchange_trace(x, "once forward node=%s", r->node);
		exchange_send(x);
		break;
	case ONCE_UNRESOLVED:
		exchange_refuse(x, 503, "the key cannot be settled now",
				RAN_UNKNOWN, COUNTER_ONCE_UNKNOWN,
				MAX(1, r->retry_after_ms));
		break;
	case ONCE_NOT_RUN:
		exchange_refuse(x, 503, "the key cannot be settled now", RAN_NO,
				COUNTER_ONCE_REFUSED,
				MAX(1, r->retry_after_ms));
		break;
	case ONCE_EXPIRED:
		exchange_refuse(x, 400, "the key is too old", RAN_UNKNOWN,
				COUNTER_ONCE_REFUSED, 0);
		break;
	}
}

void exchange_report_once_end(exchange_t *x, bool ran, int status, str_t body,
			      const char *content_type)
{
	message_t *m = message_new(MSG_ONCE_END);

	x->holds_claim = false;
	m->once.id = x->id;
	g_strlcpy(m->once.key, x->once_key, sizeof(m->once.key));
	m->once.ran = ran;
	m->once.status = status;
	m->once.body = body.len ? g_bytes_new(body.data, body.len) : NULL;
	g_strlcpy(m->once.content_type, content_type,
		  sizeof(m->once.content_type));
	task_post(x->relay->control, m);
}
