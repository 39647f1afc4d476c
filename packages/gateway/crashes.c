/*
 * Tells other nodes of crashed upstreams, and learns of them. A new crash
 * spreads at once: each node that learns of it tells a few others.
 */
#include "private/forward.h"

#include <string.h>

#include <kcf/counter.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>

/*
 * Bytes of reports per second. They are urgent and few: they go before load
 * gossip, which leaves nothing of the byte budget in large fleets.
 */
#define REPORT_BYTES_PER_S 2048
/*
 * A connection that breaks this long after the head of its response was not
 * ended by the beginning of the answer.
 */
#define BEGIN_MAX_MS 1000

static const char refused_text[] = "prompt is held back";

static void get_prompt_(const forward_t *f, quarantine_prompt_t *p)
{
	p->count = f->in.segment_count;
	memcpy(p->segments, f->in.segments,
	       (size_t)p->count * sizeof(p->segments[0]));
}

static void on_held_(void *ctx, const quarantine_hold_t *hold)
{
	gateway_t *g = ctx;

	quarantine_log_ops.held(NULL, hold);
	g->crashes_hold_is_new = true;
}

static void on_suspected_(void *ctx, const quarantine_crash_t *crash)
{
	(void)ctx;
	quarantine_log_ops.suspected(NULL, crash);
}

static void on_released_(void *ctx, const quarantine_hold_t *hold,
			 const char *why)
{
	(void)ctx;
	quarantine_log_ops.released(NULL, hold, why);
}

static const quarantine_ops_t ops = { on_suspected_, on_held_, on_released_ };

void crashes_init(gateway_t *g)
{
	uint64_t hash = str_hash64(str_of(g->conf->name), 0);

	g->crashes_budget.rate = REPORT_BYTES_PER_S;
	quarantine_init(&g->quarantine, (double)hash / (double)UINT64_MAX, &ops,
			g);
}

void crashes_finish(gateway_t *g)
{
	quarantine_finish(&g->quarantine);
}

static bool may_send_(gateway_t *g, mstime_t now)
{
	return byte_budget_has_fraction(&g->crashes_budget, now, 0);
}

static void send_report_(gateway_t *g, const char *to,
			 const peer_crash_report_t *m)
{
	peer_sender_t sender = { g->socket, g->conf->peer_key,
				 &g->control_budget };
	size_t bytes = peer_socket_send_crashes(&sender, to, m);

	byte_budget_spend(&g->crashes_budget, clock_now(), (int64_t)bytes,
			  true);
}

/* Sends what is new to several nodes; the rest waits for the byte budget. */
static void send_unsent_(gateway_t *g, mstime_t now)
{
	quarantine_report_t r;

	while (quarantine_has_unsent(&g->quarantine) && may_send_(g, now)) {
		const member_t *last = NULL;

		quarantine_report_fill(&g->quarantine, &r, now);
		for (int i = 0; i < QUARANTINE_FANOUT; i++) {
			const member_t *to = gateway_peers_random(g);

			if (to && to != last)
				send_report_(g, to->peer, &r.message);
			last = to;
		}
	}
}

static void send_repeated_(gateway_t *g, mstime_t now)
{
	const member_t *to = gateway_peers_random(g);
	quarantine_report_t r;

	g->crashes_repeat_at = now + QUARANTINE_REPEAT_MS;
	if (!to || !g->quarantine.crash_count || !may_send_(g, now))
		return;
	quarantine_report_fill(&g->quarantine, &r, now);
	send_report_(g, to->peer, &r.message);
}

static void ask_(gateway_t *g, mstime_t now)
{
	const member_t *to = gateway_peers_random(g);
	peer_crash_report_t m = { .sent = (u_quad_t)clock_wall(),
				  .wanted = TRUE };

	g->crashes_ask_at = now + QUARANTINE_ASK_MS;
	if (to)
		send_report_(g, to->peer, &m);
}

/* Whether an upstream may begin to answer the request and crash. */
static bool is_endangering_(const forward_t *f, mstime_t now)
{
	quarantine_prompt_t p;

	if (f->done || !f->call || f->event_seen)
		return false;
	get_prompt_(f, &p);
	return quarantine_is_held(&f->gateway->quarantine, &p, now);
}

/* Ends requests of a new hold before their upstreams begin to answer them. */
static void end_held_(gateway_t *g, mstime_t now)
{
	GList *all;

	if (!g->crashes_hold_is_new)
		return;
	g->crashes_hold_is_new = false;
	all = g_hash_table_get_keys(g->forwards);
	for (GList *l = all; l; l = l->next) {
		forward_t *f = l->data;

		if (!is_endangering_(f, now))
			continue;
		forward_cancel(f, BALANCE_ABANDONED);
		f->may_have_run = true;
		forward_refuse(f, 502, refused_text, COUNTER_REFUSED_QUARANTINE,
			       0);
	}
	g_list_free(all);
}

void crashes_tick(gateway_t *g, mstime_t now)
{
	quarantine_tick(&g->quarantine, now);
	end_held_(g, now);
	counter_set(GAUGE_QUARANTINE_HOLDS, g->quarantine.hold_count);
	send_unsent_(g, now);
	if (now >= g->crashes_repeat_at)
		send_repeated_(g, now);
	if (now < g->crashes_ask_until && now >= g->crashes_ask_at)
		ask_(g, now);
}

void crashes_ask(gateway_t *g, mstime_t now)
{
	g->crashes_ask_until = now + GATEWAY_DISCOVERY_MS;
}

/* A node that is still asking itself has no complete answer. */
static void reply_(gateway_t *g, const char *to, mstime_t now)
{
	quarantine_report_t r;
	int sent = 0;

	if (now < g->crashes_ask_until)
		return;
	do {
		quarantine_report_fill(&g->quarantine, &r, now);
		send_report_(g, to, &r.message);
		sent += PEER_CRASHES_MAX;
	} while (sent < g->quarantine.crash_count);
}

void crashes_receive(gateway_t *g, const peer_crash_report_t *m,
		     const char *from)
{
	mstime_t now = clock_now();

	if (m->wanted) {
		reply_(g, from, now);
		return;
	}
	g->crashes_ask_until = 0;
	quarantine_report_apply(&g->quarantine, m, now);
	send_unsent_(g, now);
	end_held_(g, now);
}

bool crashes_check(forward_t *f, mstime_t *retry_ms)
{
	gateway_t *g = f->gateway;
	quarantine_prompt_t p;

	get_prompt_(f, &p);
	return quarantine_check(&g->quarantine, &p,
				gateway_peers_sharing_count(g), clock_now(),
				retry_ms);
}

bool crashes_refuse_held(forward_t *f)
{
	mstime_t retry_ms;

	if (!crashes_check(f, &retry_ms))
		return false;
	forward_refuse(f, 503, refused_text, COUNTER_REFUSED_QUARANTINE,
		       retry_ms);
	return true;
}

bool crashes_record(forward_t *f, fault_t why)
{
	gateway_t *g = f->gateway;
	mstime_t now = clock_now();
	quarantine_prompt_t p;
	bool cleared;

	if (why != FAULT_DISCONNECT || !f->response.status || f->event_seen ||
	    !f->in.segment_count || now - f->progress_at > BEGIN_MAX_MS)
		return false;
	get_prompt_(f, &p);
	cleared = quarantine_is_cleared(&g->quarantine, f->selected->key, &p,
					now);
	/* A planned end is no crash. */
	if (!f->selected->leaving) {
		quarantine_record_crash(&g->quarantine, f->selected->key, &p,
					now);
		send_unsent_(g, now);
	}
	return !cleared;
}

void crashes_record_answer(forward_t *f)
{
	quarantine_prompt_t p;

	get_prompt_(f, &p);
	if (quarantine_record_answer(&f->gateway->quarantine, &p, clock_now()))
		LOG_EVENT(LOG_NOTICE, "quarantine.cleared",
			  F_VIEW("request", f->in.id),
			  F_STR("upstream", f->upstream_id));
}
