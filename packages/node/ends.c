/*
 * Whether an upstream goes on whose answer ended with its connection, without a
 * length or chunks. The kernel ends the connections of a process that is gone
 * in the same way, so such an end counts once the start that answered is known
 * to have lived after it: the upstream is asked for its load, which names it.
 */
#include "private/exchange.h"

#include <assert.h>
#include <kcf/logline.h>

static void ask_(exchange_t *x);

static uint64_t start_of_(http_call_t *call)
{
	str_t body = http_call_body(call);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_int_t start =
		json_integer_value(json_object_get(root, "start_id"));

	json_decref(root);
	return (uint64_t)MAX(0, start);
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	ask_(w->data);
}

static void ask_again_(exchange_t *x)
{
	ev_timer_stop(x->relay->task.loop, &x->retry_timer);
	ev_timer_init(&x->retry_timer, on_again_,
		      (double)END_PROOF_ASK_AGAIN_MS / MSEC_PER_SEC, 0);
	x->retry_timer.data = x;
	ev_timer_start(x->relay->task.loop, &x->retry_timer);
}

static void log_end_(const exchange_t *x, const end_reply_t *reply,
		     end_verdict_t verdict)
{
	const end_seen_t *end = &x->held->end;

	LOG_EVENT(
		verdict == END_ALIVE ? LOG_INFO : LOG_NOTICE, "answer.unframed",
		F_STR("request", x->request_id),
		F_STR("upstream", x->placement.upstream),
		F_STR("outcome", end_verdict_string[verdict]),
		F_INT("start", (int64_t)end->start),
		F_INT("named", (int64_t)reply->named),
		F_INT("older", reply->received && reply->since <= end->sent_at),
		F_INT("silence_ms", end->silence_ms),
		F_INT("ms", clock_now() - end->at));
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	exchange_t *x = ctx;
	const end_seen_t *end = &x->held->end;
	uint64_t start = err ? 0 : start_of_(call);
	end_reply_t reply = {
		.asked_at = x->held->asked_at,
		.received = !err,
		.refused = err == HTTP_EREFUSED,
		.nameless = !end->start,
		/* What is named cannot be compared with nothing. */
		.named = end->start ? start : 0,
		.since = http_call_peer(call).since,
	};
	end_verdict_t verdict = end_proof_judge(end, &reply);

	(void)status;
	x->call = NULL;
	/* For the requests that are sent on this connection. */
	if (start)
		http_call_name_peer(call, start);
	if (verdict == END_UNPROVEN &&
	    clock_now() - end->at < END_PROOF_MAX_MS) {
		/* An idle connection may have ended just then. */
		if (err == HTTP_ECUT && http_call_reused(call))
			ask_(x);
		else
			ask_again_(x);
		return;
	}
	if (verdict != END_ALIVE)
		counter_add(COUNTER_ENDS_UNPROVEN, 1);
	log_end_(x, &reply, verdict);
	exchange_end_held(x, verdict == END_ALIVE);
}

static const http_call_ops_t call_ops = { .done = on_done_ };

static void ask_(exchange_t *x)
{
	char *url = g_strdup_printf("http://%s/load", x->placement.address);
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.deadline = x->held->end.at + END_PROOF_MAX_MS,
		.single = true,
	};

	x->held->asked_at = clock_now();
	x->call = http_call_start(&x->relay->upstreams, &spec, &call_ops, x);
	g_free(url);
}

void exchange_check_end(exchange_t *x)
{
	assert(x->held && !x->call);
	counter_add(COUNTER_ANSWERS_UNFRAMED, 1);
	ask_(x);
}
