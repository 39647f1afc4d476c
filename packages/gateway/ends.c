/*
 * Whether an upstream goes on whose answer ended with its connection, without
 * a length or chunks. The kernel ends the connections of a process that is gone
 * in the same way, so such an end counts once the start that answered is known
 * to have lived after it: the upstream is asked.
 *
 * A start that names itself proves its own end. Of others the answer on a
 * connection that is older than the request tells, as a process takes its
 * connections with it; if there is none, that something answers at once, and no
 * question has been lost since.
 */
#include "private/forward.h"

#include <assert.h>
#include <kcf/counter.h>
#include <kcf/logline.h>
#include <string.h>

/* Callers wait for the end of a stream at least twice as long. */
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

/* What a question brought. */
typedef struct reply {
	bool received;
	bool refused;	/* nobody listens there */
	bool nameless;	/* its start will not be named */
	uint64_t named; /* start, or 0 */
	mstime_t since; /* the connection has reached the process */
} reply_t;

/* The requests whose answers one upstream has ended, while it is asked. */
struct end_check {
	gateway_t *gateway;
	uint32_t key; /* of the upstream */
	balance_upstream_t *upstream;
	http_call_t *call;  /* NULL between questions */
	GPtrArray *waiting; /* forward_t *, by the time of their ends */
	guint asked; /* that many of them had ended before the question */
	ev_timer again;
};

static void ask_(end_check_t *c);

static void check_free_(gpointer p)
{
	end_check_t *c = p;

	if (c->call)
		http_call_cancel(c->call);
	ev_timer_stop(c->gateway->loop, &c->again);
	g_ptr_array_unref(c->waiting);
	g_free(c);
}

void ends_init(gateway_t *g)
{
	g->end_checks = g_hash_table_new_full(NULL, NULL, NULL, check_free_);
}

void ends_finish(gateway_t *g)
{
	g_hash_table_destroy(g->end_checks);
}

static void log_end_(const forward_t *f, const reply_t *r, verdict_t verdict)
{
	LOG_EVENT(verdict == VERDICT_ALIVE ? LOG_INFO : LOG_NOTICE,
		  "answer.unframed", F_VIEW("request", f->in.id),
		  F_STR("upstream", f->upstream_id),
		  F_STR("outcome", verdict_string[verdict]),
		  F_INT("start", (int64_t)f->end.start),
		  F_INT("named", (int64_t)r->named),
		  F_INT("older", r->received && r->since <= f->sent_at),
		  F_INT("last_event", f->last_event_id),
		  F_INT("silence_ms", f->end.silence_ms),
		  F_INT("ms", clock_now() - f->end.at));
}

/*
 * A question that was lost, since the end or shortly before it, may have met a
 * process that was ending; what answers later may be the next one.
 */
static bool is_doubted_(const balance_upstream_t *u, const forward_t *f)
{
	return u->unanswered_at &&
	       u->unanswered_at + PROMPT_MAX_MS >= f->end.at;
}

static verdict_t judge_(const balance_upstream_t *u, const forward_t *f,
			const reply_t *r)
{
	if (r->refused)
		return VERDICT_GONE;
	if (!r->received)
		return VERDICT_NONE;
	if (r->since <= f->sent_at)
		return VERDICT_ALIVE;
	if (r->named)
		return r->named == f->end.start ? VERDICT_ALIVE : VERDICT_GONE;
	/* The next process needs longer to answer than a prompt end to come. */
	return r->nameless && !is_doubted_(u, f) && f->end.silence_ms >= 0 &&
			       f->end.silence_ms <= PROMPT_MAX_MS
		       ? VERDICT_ALIVE
		       : VERDICT_NONE;
}

static void conclude_(forward_t *f, const reply_t *r, verdict_t verdict)
{
	ends_cancel(f);
	if (verdict != VERDICT_ALIVE)
		counter_add(COUNTER_ENDS_UNPROVEN, 1);
	log_end_(f, r, verdict);
	answer_end(f, verdict == VERDICT_ALIVE);
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	ask_(w->data);
}

/* Judges those whose ends came before the question, and asks for the others. */
static void apply_(end_check_t *c, const reply_t *r)
{
	gateway_t *g = c->gateway;
	uint32_t key = c->key;
	mstime_t now = clock_now();
	GPtrArray *judged = g_ptr_array_new();

	for (guint i = 0; i < c->asked; i++)
		g_ptr_array_add(judged, c->waiting->pdata[i]);
	for (guint i = 0; i < judged->len; i++) {
		forward_t *f = judged->pdata[i];
		verdict_t verdict = judge_(c->upstream, f, r);

		if (verdict == VERDICT_NONE && now < f->end.until)
			continue;
		conclude_(f, r, verdict);
	}
	g_ptr_array_unref(judged);
	/* The last one has taken the check with it. */
	c = g_hash_table_lookup(g->end_checks, GUINT_TO_POINTER(key));
	if (!c || c->call || ev_is_active(&c->again))
		return;
	ev_timer_set(&c->again,
		     c->asked ? (double)ASK_AGAIN_MS / MSEC_PER_SEC : 0, 0);
	ev_timer_start(g->loop, &c->again);
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	const end_check_t *c = ctx;

	(void)status;
	return c->gateway->protocol->is_state_response(call);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	end_check_t *c = ctx;
	reply_t reply = { .received = !err, .refused = err == HTTP_EREFUSED };

	c->call = NULL;
	if (err)
		c->upstream->unanswered_at = clock_now();
	/* An idle connection may have ended just then. */
	if (err == HTTP_ECUT && http_call_reused(call)) {
		ask_(c);
		return;
	}
	if (!err) {
		reply.named = starts_take_answer(c->gateway, c->upstream, call,
						 status);
		reply.nameless = c->upstream->nameless_until == MSTIME_NEVER;
		reply.since = http_call_peer(call).since;
	}
	apply_(c, &reply);
}

static const http_call_ops_t call_ops = { .head = on_head_, .done = on_done_ };

static void ask_(end_check_t *c)
{
	c->asked = c->waiting->len;
	c->call = starts_ask(c->gateway, c->upstream, &call_ops, c);
}

static end_check_t *check_of_(gateway_t *g, balance_upstream_t *u)
{
	end_check_t *c =
		g_hash_table_lookup(g->end_checks, GUINT_TO_POINTER(u->key));

	if (c)
		return c;
	c = g_new0(end_check_t, 1);
	c->gateway = g;
	c->key = u->key;
	c->upstream = u;
	c->waiting = g_ptr_array_new();
	ev_timer_init(&c->again, on_again_, 0, 0);
	c->again.data = c;
	g_hash_table_insert(g->end_checks, GUINT_TO_POINTER(c->key), c);
	/* Ends that are seen in the same turn of the loop share a question. */
	ev_timer_start(g->loop, &c->again);
	return c;
}

void ends_check(forward_t *f, const http_call_t *call)
{
	http_peer_t peer = http_call_peer(call);
	mstime_t now = clock_now();

	assert(f->selected && !f->end.check);
	counter_add(COUNTER_ANSWERS_UNFRAMED, 1);
	f->may_have_run = true;
	f->end = (answer_end_t){
		.check = check_of_(f->gateway, f->selected),
		.start = peer.start ? peer.start : f->selected->start_id,
		.at = now,
		.until = now + PROOF_MAX_MS,
		.silence_ms = http_call_silence(call),
	};
	g_ptr_array_add(f->end.check->waiting, f);
}

void ends_cancel(forward_t *f)
{
	end_check_t *c = f->end.check;
	guint i;

	if (!c || !g_ptr_array_find(c->waiting, f, &i))
		return;
	f->end.check = NULL;
	g_ptr_array_remove_index(c->waiting, i);
	c->asked -= i < c->asked;
	if (!c->waiting->len)
		g_hash_table_remove(f->gateway->end_checks,
				    GUINT_TO_POINTER(c->key));
}
