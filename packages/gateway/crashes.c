/*
 * Holds back requests that crash upstreams: what this node sees of crashes and
 * answers, and what other nodes report.
 */
#include "private/forward.h"

#include <kcf/counter.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>

/*
 * A stream that breaks this long after the head of its response was not ended
 * by the beginning of the answer.
 */
#define BEGIN_MAX_MS 1000
/* An upstream that needs longer for a health check is too busy to tell. */
#define CHECK_MAX_MS 500

static const char refused_text[] = "request is held back";

static void on_held_(void *ctx, const quarantine_hold_t *hold)
{
	gateway_t *g = ctx;

	quarantine_log_held(NULL, hold);
	g->crashes_hold_is_new = true;
}

static const quarantine_ops_t ops = { quarantine_log_suspected, on_held_,
				      quarantine_log_released };

static const char *random_peer_(void *ctx)
{
	const member_t *m = gateway_peers_random(ctx);

	return m ? m->peer : NULL;
}

static size_t send_report_(void *ctx, const char *to,
			   const peer_crash_report_t *r)
{
	gateway_t *g = ctx;
	peer_sender_t sender = { g->socket, g->conf->peer_key,
				 &g->control_budget };

	return peer_socket_send_crashes(&sender, to, r);
}

static const quarantine_gossip_ops_t gossip_ops = { random_peer_,
						    send_report_ };

/* A health check to learn whether an upstream goes on, or can be reached. */
typedef struct end_check {
	gateway_t *gateway;
	uint32_t key;
	char upstream_id[64];
	mstime_t sent_at;
	bool probe;
} end_check_t;

static void on_checked_(void *ctx, http_call_t *call, int err, int status)
{
	end_check_t *c = ctx;
	gateway_t *g = c->gateway;
	bool alive = !err;

	(void)call;
	LOG_EVENT(LOG_NOTICE, c->probe ? "reach.probed" : "quarantine.checked",
		  F_STR("upstream", c->upstream_id), F_INT("alive", alive),
		  F_INT("status", status),
		  F_STR("error", http_err_string[-err]));
	if (alive) {
		quarantine_record_alive(&g->quarantine, c->key, c->sent_at,
					clock_now());
		reach_record_answer(&g->reach, c->key, clock_now());
	} else if (!status) {
		relays_record_silence(g, c->key, c->sent_at, clock_now());
	}
	g_free(c);
}

/* What is no answer of the health path belongs to an earlier request. */
static bool on_check_head_(void *ctx, http_call_t *call, int status)
{
	end_check_t *c = ctx;

	return c->gateway->protocol->confirms_health(call, status,
						     c->upstream_id);
}

static const http_call_ops_t check_ops = { .head = on_check_head_,
					   .done = on_checked_,
					   .dropped = g_free };

static void start_check_(gateway_t *g, const balance_upstream_t *u,
			 const char *path, bool probe, mstime_t now)
{
	end_check_t *c = g_new0(end_check_t, 1);
	char *url = g_strdup_printf("http://%s/", u->address);
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.target = path,
		.deadline = now + CHECK_MAX_MS,
		.bare = true,
		/* Nothing tells whose answer a late one is. */
		.fresh = true
	};

	c->gateway = g;
	c->key = u->key;
	c->sent_at = now;
	c->probe = probe;
	g_strlcpy(c->upstream_id, u->id, sizeof(c->upstream_id));
	if (!probe)
		counter_add(COUNTER_CRASH_CHECKS, 1);
	http_call_start(&g->upstreams, &spec, &check_ops, c);
	g_free(url);
}

void crashes_ask_health(gateway_t *g, const balance_upstream_t *u, bool probe,
			mstime_t now)
{
	const routing_service_t *s = route_table_service(g->table, u->service);

	/* A cold upstream has no room for checks. */
	if (s && s->health_path && now >= u->cold_until)
		start_check_(g, u, s->health_path, probe, now);
}

static void start_checks_(gateway_t *g, mstime_t now)
{
	uint32_t key;

	while (quarantine_next_check(&g->quarantine, now, &key)) {
		const balance_upstream_t *u =
			balance_find_key(&g->balance, key);

		if (u)
			crashes_ask_health(g, u, false, now);
	}
}

void crashes_init(gateway_t *g)
{
	uint64_t hash = str_hash64(str_of(g->conf->name), 0);

	quarantine_init(&g->quarantine, (double)hash / (double)UINT64_MAX, &ops,
			g);
	quarantine_gossip_init(&g->crash_gossip, &g->quarantine, &gossip_ops, g,
			       clock_now());
}

void crashes_finish(gateway_t *g)
{
	quarantine_finish(&g->quarantine);
}

/* Whether an upstream may begin to answer the request and crash. */
static bool is_endangering_(const forward_t *f, mstime_t now)
{
	if (f->done || !f->call || f->event_seen)
		return false;
	return quarantine_is_held(&f->gateway->quarantine, &f->in.prompt, now);
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
	start_checks_(g, now);
	end_held_(g, now);
	counter_set(GAUGE_QUARANTINE_HOLDS, g->quarantine.hold_count);
	quarantine_gossip_tick(&g->crash_gossip, now);
}

void crashes_receive(gateway_t *g, const peer_crash_report_t *m,
		     const char *from)
{
	mstime_t now = clock_now();

	quarantine_gossip_receive(&g->crash_gossip, m, from, now);
	end_held_(g, now);
}

bool crashes_check(forward_t *f, mstime_t *retry_ms)
{
	gateway_t *g = f->gateway;

	return quarantine_check(&g->quarantine, &f->in.prompt,
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

/*
 * Whether the upstream may have ended under this request. Upstreams send the
 * head of a stream when they begin to run it; that of a plain response comes
 * with its body, so that nothing tells whether one ran or waited there.
 */
static bool may_have_crashed_(const forward_t *f, mstime_t now)
{
	if (f->event_seen)
		return false;
	if (f->route->kind != ROUTE_KIND_STREAM)
		return true;
	return f->response.status && now - f->progress_at <= BEGIN_MAX_MS;
}

/* Whether upstreams have answered the prompt's segments in other requests. */
static bool is_prompt_sound_(const forward_t *f, mstime_t now)
{
	return f->route->kind != ROUTE_KIND_STREAM || !f->in.prompt.count ||
	       quarantine_is_cleared(&f->gateway->quarantine, f->selected->key,
				     &f->in.prompt, now);
}

/* An upstream that has marked the end of its response goes on. */
static bool ended_with_connection_(const forward_t *f, fault_t why)
{
	return why == FAULT_DISCONNECT ||
	       (why == FAULT_INCOMPLETE && f->framing == FRAMING_CONNECTION);
}

bool crashes_record(forward_t *f, fault_t why)
{
	gateway_t *g = f->gateway;
	quarantine_prompt_t request = { .request = f->in.prompt.request };
	mstime_t now = clock_now();
	bool leaving = f->selected->leaving;
	bool sound;

	if (!ended_with_connection_(f, why) || !may_have_crashed_(f, now))
		return false;
	sound = is_prompt_sound_(f, now) &&
		!quarantine_count_crashes(&g->quarantine, &request);
	/* A planned end is no crash. */
	if (!leaving) {
		quarantine_record_crash(&g->quarantine, f->selected->key,
					&f->in.prompt, f->response.status > 0,
					now);
		quarantine_gossip_flush(&g->crash_gossip, now);
	}
	return !sound;
}

void crashes_record_answer(forward_t *f)
{
	if (quarantine_record_answer(&f->gateway->quarantine, &f->in.prompt,
				     clock_now()))
		LOG_EVENT(LOG_NOTICE, "quarantine.cleared",
			  F_VIEW("request", f->in.id),
			  F_STR("upstream", f->upstream_id));
}
