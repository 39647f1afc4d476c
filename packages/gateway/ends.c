/*
 * Whether an upstream goes on whose answer ended with its connection, without
 * a length or chunks. The kernel ends the connections of a process that is gone
 * in the same way, so such an end counts once the start that answered is known
 * to have lived after it: the upstream is asked.
 */
#include "private/forward.h"

#include <assert.h>
#include <kcf/counter.h>
#include <kcf/logline.h>

/* Requests whose answers one upstream has ended before it is first asked. */
struct end_wait {
	gateway_t *gateway;
	balance_upstream_t *upstream; /* those who wait keep it */
	http_call_t *call;	      /* NULL between questions */
	GPtrArray *waiting;	      /* forward_t * */
	mstime_t asked_at;	      /* last, 0 before the first question */
	ev_timer again;
};

static void ask_(end_wait_t *c);

static void wait_free_(gpointer p)
{
	end_wait_t *c = p;

	if (c->call)
		http_call_cancel(c->call);
	ev_timer_stop(c->gateway->loop, &c->again);
	g_ptr_array_unref(c->waiting);
	g_free(c);
}

void ends_init(gateway_t *g)
{
	g->end_waits = g_hash_table_new_full(NULL, NULL, wait_free_, NULL);
}

void ends_finish(gateway_t *g)
{
	g_hash_table_destroy(g->end_waits);
}

static void log_end_(const forward_t *f, const end_reply_t *r,
		     end_verdict_t verdict)
{
	LOG_EVENT(verdict == END_ALIVE ? LOG_INFO : LOG_NOTICE,
		  "answer.unframed", F_VIEW("request", f->in.id),
		  F_STR("upstream", f->upstream_id),
		  F_STR("outcome", end_verdict_string[verdict]),
		  F_INT("start", (int64_t)f->end.seen.start),
		  F_INT("named", (int64_t)r->named),
		  F_INT("older", r->received && r->since <= f->sent_at),
		  F_INT("last_event", f->last_event_id),
		  F_INT("silence_ms", f->end.seen.silence_ms),
		  F_INT("unread_ms", f->end.seen.unread_ms),
		  F_INT("waited", f->end.seen.waited),
		  F_INT("ms", clock_now() - f->end.seen.at));
}

static void conclude_(forward_t *f, const end_reply_t *r, end_verdict_t verdict)
{
	ends_cancel(f);
	if (verdict != END_ALIVE)
		counter_add(COUNTER_ENDS_UNPROVEN, 1);
	log_end_(f, r, verdict);
	answer_end(f, verdict == END_ALIVE);
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	ask_(w->data);
}

/* Judges those that wait, and asks again for the others. */
static void apply_(end_wait_t *c, const end_reply_t *r)
{
	gateway_t *g = c->gateway;
	mstime_t now = clock_now();
	GPtrArray *judged = g_ptr_array_copy(c->waiting, NULL, NULL);

	for (guint i = 0; i < judged->len; i++) {
		forward_t *f = judged->pdata[i];
		end_verdict_t verdict = end_proof_judge(&f->end.seen, r);

		if (verdict != END_UNPROVEN || now >= f->end.until)
			conclude_(f, r, verdict);
	}
	g_ptr_array_unref(judged);
	/* The last one has taken it along. */
	if (!g_hash_table_contains(g->end_waits, c))
		return;
	ev_timer_set(&c->again, (double)END_PROOF_ASK_AGAIN_MS / MSEC_PER_SEC,
		     0);
	ev_timer_start(g->loop, &c->again);
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	const end_wait_t *c = ctx;

	(void)status;
	return c->gateway->protocol->is_state_response(call);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	end_wait_t *c = ctx;
	end_reply_t reply = { .asked_at = c->asked_at,
			      .received = !err,
			      .refused = err == HTTP_EREFUSED,
			      .silent = err == HTTP_ETIMEOUT &&
					http_call_acked(call),
			      .since = http_call_peer(call).since };

	c->call = NULL;
	if (err && !reply.silent)
		c->upstream->unanswered_at = clock_now();
	reply.lost_at = c->upstream->unanswered_at;
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

static void ask_(end_wait_t *c)
{
	c->asked_at = clock_now();
	c->call = starts_ask(c->gateway, c->upstream, &call_ops, c);
}

static end_wait_t *wait_new_(gateway_t *g, balance_upstream_t *u)
{
	end_wait_t *c = g_new0(end_wait_t, 1);

	c->gateway = g;
	c->upstream = u;
	c->waiting = g_ptr_array_new();
	ev_timer_init(&c->again, on_again_, 0, 0);
	c->again.data = c;
	g_hash_table_add(g->end_waits, c);
	return c;
}

/* Ends that are seen in the same turn of the loop share a question. */
static end_wait_t *wait_of_(gateway_t *g, balance_upstream_t *u)
{
	GHashTableIter iter;
	gpointer key;
	end_wait_t *c;

	g_hash_table_iter_init(&iter, g->end_waits);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		c = key;
		if (c->upstream == u && !c->asked_at)
			return c;
	}
	c = wait_new_(g, u);
	ev_timer_start(g->loop, &c->again);
	return c;
}

void ends_check(forward_t *f, const http_call_t *call)
{
	http_peer_t peer = http_call_peer(call);
	mstime_t now = clock_now();

	assert(f->selected && !f->end.wait);
	counter_add(COUNTER_ANSWERS_UNFRAMED, 1);
	f->may_have_run = true;
	f->end = (answer_end_t){
		.wait = wait_of_(f->gateway, f->selected),
		.until = now + END_PROOF_MAX_MS,
		.seen = {
			.start = peer.start ? peer.start
					    : f->selected->start_id,
			.sent_at = f->sent_at,
			.at = now,
			.silence_ms = http_call_silence(call),
			.unread_ms = http_call_end_unread(call),
			.waited = MAX(f->read_on_at, f->gateway->late_at) >=
				  f->sent_at,
		},
	};
	g_ptr_array_add(f->end.wait->waiting, f);
}

void ends_cancel(forward_t *f)
{
	end_wait_t *c = f->end.wait;

	if (!c)
		return;
	f->end.wait = NULL;
	g_ptr_array_remove(c->waiting, f);
	if (!c->waiting->len)
		g_hash_table_remove(f->gateway->end_waits, c);
}
