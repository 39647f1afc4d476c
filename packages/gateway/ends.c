/*
 * Whether an upstream goes on whose answer ended with its connection, without
 * a length or chunks. The kernel ends the connections of a process that is gone
 * in the same way, so such an end counts once the start that answered is known
 * to have lived after it: the upstream is asked.
 *
 * A start that names itself proves its own end. Of others the answer on a
 * connection that is older than the request tells, as a process takes its
 * connections with it; if there is none, that something answers at once. Where
 * the answer takes too long, that the question was taken in tells the same: the
 * kernel refuses what is written to a process that is gone.
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
/* From an end to the question; a process needs longer to start. */
#define ASKED_MAX_MS 20

typedef enum verdict {
	VERDICT_NONE, /* it may be asked again */
	VERDICT_ALIVE,
	VERDICT_GONE,
} verdict_t;

/* Parallel to verdict_t. */
static const char *const verdict_string[] = { "unproven", "alive", "gone" };

/* What a question brought. */
typedef struct reply {
	mstime_t asked_at;
	bool received;
	bool refused;  /* nobody listens there */
	bool silent;   /* it was taken in, and not answered in time */
	bool nameless; /* its start will not be named */
	bool broke;    /* a question before it has, as at a process that ends */
	uint64_t named; /* start, or 0 */
	mstime_t since; /* the connection has reached the process */
} reply_t;

/* Requests whose answers one upstream has ended before it is first asked. */
struct end_proof {
	gateway_t *gateway;
	balance_upstream_t *upstream; /* those who wait keep it */
	http_call_t *call;	      /* NULL between questions */
	GPtrArray *waiting;	      /* forward_t * */
	mstime_t asked_at;	      /* last, 0 before the first question */
	bool broke;		      /* a question has */
	ev_timer again;
};

static void ask_(end_proof_t *c);

static void proof_free_(gpointer p)
{
	end_proof_t *c = p;

	if (c->call)
		http_call_cancel(c->call);
	ev_timer_stop(c->gateway->loop, &c->again);
	g_ptr_array_unref(c->waiting);
	g_free(c);
}

void ends_init(gateway_t *g)
{
	g->end_proofs = g_hash_table_new_full(NULL, NULL, proof_free_, NULL);
}

void ends_finish(gateway_t *g)
{
	g_hash_table_destroy(g->end_proofs);
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
		  F_INT("unread_ms", f->end.unread_ms),
		  F_INT("broke", r->broke),
		  F_INT("ms", clock_now() - f->end.at));
}

/* Whether the next process can't have been there when it was asked. */
static bool is_prompt_(const forward_t *f, const reply_t *r)
{
	const answer_end_t *e = &f->end;

	return !r->broke && e->silence_ms >= 0 &&
	       e->silence_ms <= PROMPT_MAX_MS && e->unread_ms >= 0 &&
	       e->unread_ms + r->asked_at - e->at <= ASKED_MAX_MS;
}

static verdict_t judge_(const forward_t *f, const reply_t *r)
{
	if (r->refused)
		return VERDICT_GONE;
	if ((r->received || r->silent) && r->since <= f->sent_at)
		return VERDICT_ALIVE;
	if (r->named)
		return r->named == f->end.start ? VERDICT_ALIVE : VERDICT_GONE;
	return (r->nameless || r->silent) && is_prompt_(f, r) ? VERDICT_ALIVE
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

/* Judges those that wait, and asks again for the others. */
static void apply_(end_proof_t *c, const reply_t *r)
{
	gateway_t *g = c->gateway;
	mstime_t now = clock_now();
	GPtrArray *judged = g_ptr_array_copy(c->waiting, NULL, NULL);

	for (guint i = 0; i < judged->len; i++) {
		forward_t *f = judged->pdata[i];
		verdict_t verdict = judge_(f, r);

		if (verdict != VERDICT_NONE || now >= f->end.until)
			conclude_(f, r, verdict);
	}
	g_ptr_array_unref(judged);
	/* The last one has taken it along. */
	if (!g_hash_table_contains(g->end_proofs, c))
		return;
	ev_timer_set(&c->again, (double)ASK_AGAIN_MS / MSEC_PER_SEC, 0);
	ev_timer_start(g->loop, &c->again);
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	const end_proof_t *c = ctx;

	(void)status;
	return c->gateway->protocol->is_state_response(call);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	end_proof_t *c = ctx;
	reply_t reply = { .asked_at = c->asked_at,
			  .received = !err,
			  .broke = c->broke,
			  .refused = err == HTTP_EREFUSED,
			  .silent =
				  err == HTTP_ETIMEOUT && http_call_acked(call),
			  .since = http_call_peer(call).since };

	c->call = NULL;
	c->broke = c->broke || err == HTTP_ECUT;
	/* An idle connection may have ended just then. */
	if (err == HTTP_ECUT && http_call_reused(call)) {
		ask_(c);
		return;
	}
	if (!err) {
		reply.named = starts_take_answer(c->gateway, c->upstream, call,
						 status);
		reply.nameless = c->upstream->nameless_until == MSTIME_NEVER;
	}
	apply_(c, &reply);
}

static const http_call_ops_t call_ops = { .head = on_head_, .done = on_done_ };

static void ask_(end_proof_t *c)
{
	c->asked_at = clock_now();
	c->call = starts_ask(c->gateway, c->upstream, &call_ops, c);
}

static end_proof_t *proof_new_(gateway_t *g, balance_upstream_t *u)
{
	end_proof_t *c = g_new0(end_proof_t, 1);

	c->gateway = g;
	c->upstream = u;
	c->waiting = g_ptr_array_new();
	ev_timer_init(&c->again, on_again_, 0, 0);
	c->again.data = c;
	g_hash_table_add(g->end_proofs, c);
	return c;
}

/* Ends that are seen in the same turn of the loop share a question. */
static end_proof_t *proof_of_(gateway_t *g, balance_upstream_t *u)
{
	GHashTableIter iter;
	gpointer key;
	end_proof_t *c;

	g_hash_table_iter_init(&iter, g->end_proofs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		c = key;
		if (c->upstream == u && !c->asked_at)
			return c;
	}
	c = proof_new_(g, u);
	ev_timer_start(g->loop, &c->again);
	return c;
}

void ends_check(forward_t *f, const http_call_t *call)
{
	http_peer_t peer = http_call_peer(call);
	mstime_t now = clock_now();

	assert(f->selected && !f->end.proof);
	counter_add(COUNTER_ANSWERS_UNFRAMED, 1);
	f->may_have_run = true;
	f->end = (answer_end_t){
		.proof = proof_of_(f->gateway, f->selected),
		.start = peer.start ? peer.start : f->selected->start_id,
		.at = now,
		.until = now + PROOF_MAX_MS,
		.silence_ms = http_call_silence(call),
		.unread_ms = http_call_end_unread(call),
	};
	g_ptr_array_add(f->end.proof->waiting, f);
}

void ends_cancel(forward_t *f)
{
	end_proof_t *c = f->end.proof;

	if (!c)
		return;
	f->end.proof = NULL;
	g_ptr_array_remove(c->waiting, f);
	if (!c->waiting->len)
		g_hash_table_remove(f->gateway->end_proofs, c);
}
