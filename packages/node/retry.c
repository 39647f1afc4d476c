/*
 * Decides after a failed attempt between a retry and the final refusal.
 */
#include "private/exchange.h"

#include <kcf/logline.h>
#include <string.h>

#define RETRIES_MAX 5
/* Sent to the caller with the final refusal. */
#define RETRY_AFTER_FAILURE_MS 1000
/* The upstreams of a failed node have another owner within this time. */
#define OWNER_WAIT_MS 8000
#define OWNER_POLL_MS 200
/* Failed attempts to connect to nodes after which the request waits. */
#define UNREACHABLE_NODES_MAX 2
/* Upstreams that may end under one request before anything of its answer. */
#define UNANSWERED_ENDS_MAX 2

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
	"answer without end",
	"ids out of order",
};

static void on_retry_timer_(struct ev_loop *loop, ev_timer *w, int revents);

bool exchange_has_claim(const exchange_t *x)
{
	return x->holds_claim || x->once_hop == HOP_ONCE_CLAIMED;
}

void exchange_release_permit(exchange_t *x, sched_result_t result)
{
	message_t *m;

	if (!x->has_permit)
		return;
	x->has_permit = false;
	m = message_new(MSG_RELEASE);
	m->release = (sched_outcome_t){
		.id = x->id,
		.result = result,
		.prompt_tokens = x->reported_prompt_tokens,
		.cached_tokens = x->reported_cached_tokens,
		.start_id = x->reported_start_id,
		.first_token_ms = x->first_token_ms,
	};
	if (result == SCHED_DONE && x->reported_cached_tokens >= 0) {
		counter_add(COUNTER_CACHED_TOKENS, x->reported_cached_tokens);
		counter_add(COUNTER_PROMPT_TOKENS,
			    MAX(0, x->reported_prompt_tokens));
	}
	task_post(x->relay->control, m);
}

/* Whether a failure shows that the attempt reached no upstream. */
static bool proves_unsent_(failure_t why)
{
	return why == FAILURE_CONNECT || why == FAILURE_MOVED;
}

/* Whether the attempt asked the key owner to resolve a run-once key. */
static bool awaits_claim_(const exchange_t *x)
{
	return x->run_once && !exchange_has_claim(x);
}

/*
 * A key owner may be asked again after any failure: the order of the log
 * decides which try of a key runs. A try that holds the claim runs again only
 * if it was not sent.
 */
static bool may_run_again_(const exchange_t *x, failure_t why)
{
	if (x->route == ROUTE_JOB || clock_now() >= x->deadline)
		return false;
	return !x->run_once || awaits_claim_(x) || proves_unsent_(why);
}

static void exclude_failed_(exchange_t *x)
{
	if (x->placement.verdict == SCHED_FORWARD) {
		g_strlcpy(x->avoid_node, x->placement.node,
			  sizeof(x->avoid_node));
		return;
	}
	if (x->exclude_count < SCHED_EXCLUDE_MAX)
		x->exclude[x->exclude_count++] = x->placement.key;
}

/* Charges a retry to the budget, a fraction of the requests. */
static bool spend_retry_(exchange_t *x)
{
	if (x->relay->retry_budget < 1)
		return false;
	x->relay->retry_budget -= 1;
	return true;
}

bool exchange_wait_for_owner(exchange_t *x)
{
	mstime_t now = clock_now();

	if (x->hop > 0)
		return false;
	if (!x->owner_deadline)
		x->owner_deadline = MIN(x->deadline, now + OWNER_WAIT_MS);
	if (now + OWNER_POLL_MS > x->owner_deadline)
		return false;
	x->avoid_node[0] = '\0';
	x->target = 0;
	exchange_trace(x, "waits for an owner");
	counter_add(COUNTER_OWNER_WAITS, 1);
	ev_timer_stop(x->relay->task.loop, &x->retry_timer);
	ev_timer_init(&x->retry_timer, on_retry_timer_,
		      (double)OWNER_POLL_MS / MSEC_PER_SEC, 0);
	x->retry_timer.data = x;
	ev_timer_start(x->relay->task.loop, &x->retry_timer);
	return true;
}

static void on_retry_timer_(struct ev_loop *loop, ev_timer *w, int revents)
{
	exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (awaits_claim_(x))
		exchange_retry_claim(x);
	else
		exchange_request_placement(x);
}

/*
 * Retries after another node did not accept the request. No upstream got it, so
 * the retry adds no load and is not charged to the budget.
 */
static bool retry_unsent_(exchange_t *x, failure_t why)
{
	if (why == FAILURE_MOVED || awaits_claim_(x) ||
	    ++x->unreachable_nodes > UNREACHABLE_NODES_MAX)
		return exchange_wait_for_owner(x);
	exclude_failed_(x);
	x->target = 0;
	exchange_request_placement(x);
	return true;
}

/*
 * Retries unless a limit forbids it. The calls of a dead node to upstreams end
 * with it, so that a retry after its death adds no load; the budget limits the
 * retries at failing upstreams only.
 */
static bool retry_(exchange_t *x, failure_t why)
{
	bool at_node = x->placement.verdict == SCHED_FORWARD;

	if (at_node && proves_unsent_(why))
		return retry_unsent_(x, why);
	if (why == FAILURE_DISORDERED || x->retries >= RETRIES_MAX ||
	    x->unanswered_ends >= UNANSWERED_ENDS_MAX)
		return false;
	x->retries++;
	counter_add(COUNTER_RETRIES, 1);
	if (x->streaming)
		counter_add(COUNTER_STREAMS_RESUMED, 1);
	if (awaits_claim_(x))
		return exchange_wait_for_owner(x);
	if (at_node && why != FAILURE_NODE_DEAD && exchange_wait_for_owner(x))
		return true;
	/* A node that was declared dead is not chosen again. */
	if (why != FAILURE_NODE_DEAD && !spend_retry_(x))
		return false;
	if (why == FAILURE_CONNECT || x->retries > 1)
		exclude_failed_(x);
	x->target = 0;
	exchange_request_placement(x);
	return true;
}

static void give_up_(exchange_t *x, failure_t why)
{
	ran_t ran = awaits_claim_(x) || x->maybe_sent ? RAN_UNKNOWN : RAN_NO;

	if (clock_now() >= x->deadline) {
		exchange_refuse(x, 504, "deadline has passed", ran,
				COUNTER_REFUSED_DEADLINE,
				RETRY_AFTER_FAILURE_MS);
		return;
	}
	if (x->placement.verdict == SCHED_FORWARD && proves_unsent_(why)) {
		x->reason = sched_refusal_reason[REFUSE_MOVED];
		exchange_refuse(x, 503, sched_refusal_string[REFUSE_MOVED], ran,
				COUNTER_REFUSED_UPSTREAM,
				RETRY_AFTER_FAILURE_MS);
		return;
	}
	exchange_refuse(x, 502, "upstream failed", ran,
			COUNTER_REFUSED_UPSTREAM, RETRY_AFTER_FAILURE_MS);
}

static void post_attempt_(exchange_t *x, message_type_t type, bool begun)
{
	message_t *m = message_new(type);

	m->attempt = (attempt_report_t){ .upstream = x->placement.key,
					 .prompt = x->prompt,
					 .begun = begun };
	task_post(x->relay->control, m);
}

void exchange_report_answered(exchange_t *x)
{
	if (x->prompt.request && x->placement.verdict == SCHED_RUN)
		post_attempt_(x, MSG_ANSWERED, true);
}

/* Whether an upstream ended before anything of the answer had arrived. */
static bool is_unanswered_end_(const exchange_t *x, failure_t why)
{
	return (why == FAILURE_CONNECTION_LOST || why == FAILURE_EARLY_END) &&
	       x->placement.verdict == SCHED_RUN && x->prompt.request &&
	       x->first_token_ms < 0;
}

/* Such an upstream may have crashed because of the request. */
static void report_end_(exchange_t *x)
{
	post_attempt_(x, MSG_CRASH, x->head_seen);
	/* One that fails twice in a row is tried elsewhere. */
	x->unanswered_ends += x->placement.key != x->lost_upstream;
	x->lost_upstream = x->placement.key;
	x->lost_begun = x->head_seen;
}

void exchange_handle_failure(exchange_t *x, failure_t why)
{
	if (is_unanswered_end_(x, why))
		report_end_(x);
	if (proves_unsent_(why))
		x->maybe_sent = x->maybe_sent_before;
	exchange_release_permit(x, why == FAILURE_CONNECT
					   ? SCHED_CONNECT_FAILED
					   : SCHED_CONNECTION_LOST);
	exchange_trace(x, "failed why=\"%s\" attempt=%d", failure_string[why],
		       x->attempts);
	LOG_EVENT(LOG_NOTICE, "attempt.failed", F_STR("request", x->request_id),
		  F_STR("why", failure_string[why]),
		  F_STR("upstream", x->placement.upstream),
		  F_STR("node", x->placement.node),
		  F_INT("attempt", x->attempts));
	if (!may_run_again_(x, why) || !retry_(x, why))
		give_up_(x, why);
}
