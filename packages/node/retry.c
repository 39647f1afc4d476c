/*
 * What follows when an attempt has failed: another one, or a final refusal.
 */
#include "private/exchange.h"

#include <kcf/logline.h>
#include <string.h>

#define RETRIES_MAX 5
#define RETRY_AFTER_BROKEN_MS 1000
/* After a node was lost, its upstreams have another owner within this time. */
#define OWNER_WAIT_MS 8000
#define OWNER_STEP_MS 200
/* Nodes that cannot be reached before the request waits. */
#define NODE_TRIES_MAX 2

const char *const failure_string[] = {
	"cannot connect",
	"upstream is changing hands",
	"node is lost",
	"answer of another request",
	"silence",
	"timed out",
	"connection broke",
	"stream ended early",
	"resume was refused",
};

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents);

bool exchange_settled(const exchange_t *x)
{
	return x->once_held || x->once_hop == HOP_ONCE_SETTLED;
}

void exchange_release(exchange_t *x, sched_result_t result)
{
	message_t *m;

	if (!x->permit)
		return;
	x->permit = false;
	m = message_new(MSG_RELEASE);
	m->release = (sched_outcome_t){
		.id = x->id,
		.result = result,
		.prompt_tokens = x->told_prompt,
		.cached_tokens = x->told_cached,
		.start_id = x->told_start,
		.first_token_ms = x->first_token_ms,
	};
	if (result == SCHED_DONE && x->told_cached >= 0) {
		counter_add(COUNTER_CACHED_TOKENS, x->told_cached);
		counter_add(COUNTER_PROMPT_TOKENS, MAX(0, x->told_prompt));
	}
	task_post(x->relay->control, m);
}

/* Whether a failure shows that the attempt has reached no upstream. */
static bool unsent_(failure_t why)
{
	return why == FAILURE_CONNECT || why == FAILURE_MOVED;
}

/* Whether the attempt went to the node that settles a run-once key. */
static bool at_settler_(const exchange_t *x)
{
	return x->once && !exchange_settled(x);
}

/*
 * A settler may be asked again, whatever became of it: the log's order decides
 * which try of a key runs. What is settled runs again only if it was not sent.
 */
static bool may_run_again_(const exchange_t *x, failure_t why)
{
	if (x->route == ROUTE_JOB || clock_now() >= x->deadline)
		return false;
	return !x->once || at_settler_(x) || unsent_(why);
}

static void exclude_(exchange_t *x)
{
	if (x->placed.verdict == SCHED_FORWARD) {
		g_strlcpy(x->avoid, x->placed.node, sizeof(x->avoid));
		return;
	}
	if (x->excluded < SCHED_EXCLUDE_MAX)
		x->exclude[x->excluded++] = x->placed.key;
}

/* Retries come out of a budget, a share of the requests. */
static bool take_retry_(exchange_t *x)
{
	if (x->relay->retry_budget < 1)
		return false;
	x->relay->retry_budget -= 1;
	return true;
}

bool exchange_wait_owner(exchange_t *x)
{
	mstime_t now = clock_now();

	if (x->hop > 0)
		return false;
	if (!x->owner_by)
		x->owner_by = MIN(x->deadline, now + OWNER_WAIT_MS);
	if (now + OWNER_STEP_MS > x->owner_by)
		return false;
	x->avoid[0] = '\0';
	x->target = 0;
	exchange_trace(x, "waits for an owner");
	counter_add(COUNTER_OWNER_WAITS, 1);
	ev_timer_stop(x->relay->task.loop, &x->again);
	ev_timer_init(&x->again, on_again_,
		      (double)OWNER_STEP_MS / MSEC_PER_SEC, 0);
	x->again.data = x;
	ev_timer_start(x->relay->task.loop, &x->again);
	return true;
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (at_settler_(x))
		exchange_settle_again(x);
	else
		exchange_place(x);
}

/*
 * Another node could not take the request. Nothing was sent, so this burdens
 * no upstream and is not charged to the budget.
 */
static bool at_other_owner_(exchange_t *x, failure_t why)
{
	if (why == FAILURE_MOVED || at_settler_(x) ||
	    ++x->nodes_tried > NODE_TRIES_MAX)
		return exchange_wait_owner(x);
	exclude_(x);
	x->target = 0;
	exchange_place(x);
	return true;
}

/*
 * A lost node's work at upstreams ends with it, so that going on elsewhere
 * adds none; the budget is for upstreams that fail.
 */
static bool again_(exchange_t *x, failure_t why)
{
	bool at_node = x->placed.verdict == SCHED_FORWARD;

	if (at_node && unsent_(why))
		return at_other_owner_(x, why);
	if (x->retries >= RETRIES_MAX)
		return false;
	x->retries++;
	counter_add(COUNTER_RETRIES, 1);
	if (x->streaming)
		counter_add(COUNTER_RESUMED, 1);
	if (at_settler_(x))
		return exchange_wait_owner(x);
	if (at_node && why != FAILURE_NODE && exchange_wait_owner(x))
		return true;
	/* A node that is held dead is not chosen again. */
	if (why != FAILURE_NODE && !take_retry_(x))
		return false;
	if (why == FAILURE_CONNECT || x->retries > 1)
		exclude_(x);
	x->target = 0;
	exchange_place(x);
	return true;
}

static void give_up_(exchange_t *x, failure_t why)
{
	ran_t ran = at_settler_(x) || x->sent ? RAN_UNKNOWN : RAN_NO;

	if (clock_now() >= x->deadline) {
		exchange_refuse(x, 504, "deadline has passed", ran,
				COUNTER_REFUSED_DEADLINE,
				RETRY_AFTER_BROKEN_MS);
		return;
	}
	if (x->placed.verdict == SCHED_FORWARD && unsent_(why)) {
		x->reason = sched_refusal_reason[REFUSE_MOVED];
		exchange_refuse(x, 503, sched_refusal_string[REFUSE_MOVED], ran,
				COUNTER_REFUSED_UPSTREAM,
				RETRY_AFTER_BROKEN_MS);
		return;
	}
	exchange_refuse(x, 502, "upstream failed", ran,
			COUNTER_REFUSED_UPSTREAM, RETRY_AFTER_BROKEN_MS);
}

void exchange_failed(exchange_t *x, failure_t why)
{
	if (unsent_(why))
		x->sent = x->sent_before;
	exchange_release(x, why == FAILURE_CONNECT ? SCHED_CONNECT_FAILED
						   : SCHED_CONNECTION_LOST);
	exchange_trace(x, "failed why=\"%s\" attempt=%d", failure_string[why],
		       x->attempts);
	LOG_EVENT(LOG_NOTICE, "attempt.failed", F_STR("request", x->request_id),
		  F_STR("why", failure_string[why]),
		  F_STR("upstream", x->placed.upstream),
		  F_STR("node", x->placed.node), F_INT("attempt", x->attempts));
	if (!may_run_again_(x, why) || !again_(x, why))
		give_up_(x, why);
}
