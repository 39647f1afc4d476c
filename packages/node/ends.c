/*
 * Whether an upstream goes on whose answer ended with its connection, without a
 * length or chunks. The kernel ends the connections of a process that is gone
 * in the same way, so such an end counts once the start that answered is known
 * to have lived after it: the upstream is asked for its load, which names it.
 */
#include "private/exchange.h"

#include <assert.h>
#include <kcf/logline.h>

#define PROOF_MAX_MS 1000
#define ASK_AGAIN_MS 50
/* An end that was lost on the way is sent again later than this. */
#define PROMPT_MAX_MS 100

typedef enum verdict {
	VERDICT_NONE, /* it may be asked again */
	VERDICT_ALIVE,
	VERDICT_GONE,
} verdict_t;

/* Parallel to verdict_t. */
static const char *const verdict_string[] = { "unproven", "alive", "gone" };

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

static verdict_t judge_(const exchange_t *x, http_call_t *call, int err,
			uint64_t start)
{
	if (err == HTTP_EREFUSED)
		return VERDICT_GONE;
	if (err)
		return VERDICT_NONE;
	/* A process takes its connections with it. */
	if (http_call_peer(call).since <= x->sent_at)
		return VERDICT_ALIVE;
	/* The next process needs longer to answer than a prompt end to come. */
	if (!x->held->start_id)
		return x->held->silence_ms >= 0 &&
				       x->held->silence_ms <= PROMPT_MAX_MS
			       ? VERDICT_ALIVE
			       : VERDICT_NONE;
	if (!start)
		return VERDICT_NONE;
	return start == x->held->start_id ? VERDICT_ALIVE : VERDICT_GONE;
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
		      (double)ASK_AGAIN_MS / MSEC_PER_SEC, 0);
	x->retry_timer.data = x;
	ev_timer_start(x->relay->task.loop, &x->retry_timer);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	exchange_t *x = ctx;
	uint64_t start = err ? 0 : start_of_(call);
	verdict_t verdict = judge_(x, call, err, start);
	mstime_t waited = clock_now() - x->held->ended_at;

	(void)status;
	x->call = NULL;
	/* For the requests that are sent on this connection. */
	if (start)
		http_call_name_peer(call, start);
	if (verdict == VERDICT_NONE && waited < PROOF_MAX_MS) {
		/* An idle connection may have ended just then. */
		if (err == HTTP_ECUT && http_call_reused(call))
			ask_(x);
		else
			ask_again_(x);
		return;
	}
	if (verdict != VERDICT_ALIVE)
		counter_add(COUNTER_ENDS_UNPROVEN, 1);
	LOG_EVENT(verdict == VERDICT_ALIVE ? LOG_INFO : LOG_NOTICE,
		  "answer.unframed", F_STR("request", x->request_id),
		  F_STR("upstream", x->placement.upstream),
		  F_STR("outcome", verdict_string[verdict]),
		  F_INT("start", (int64_t)x->held->start_id),
		  F_INT("named", (int64_t)start),
		  F_INT("older",
			!err && http_call_peer(call).since <= x->sent_at),
		  F_INT("silence_ms", x->held->silence_ms),
		  F_INT("ms", waited));
	exchange_end_held(x, verdict == VERDICT_ALIVE);
}

static const http_call_ops_t call_ops = { .done = on_done_ };

static void ask_(exchange_t *x)
{
	char *url = g_strdup_printf("http://%s/load", x->placement.address);
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.deadline = x->held->ended_at + PROOF_MAX_MS,
		.single = true,
	};

	x->call = http_call_start(&x->relay->upstreams, &spec, &call_ops, x);
	g_free(url);
}

void exchange_check_end(exchange_t *x)
{
	assert(x->held && !x->call);
	counter_add(COUNTER_ANSWERS_UNFRAMED, 1);
	ask_(x);
}
