/*
 * What roll-outs need of the gateway, and what requests tell them.
 */
#include "private/forward.h"

#include <kcf/peer_socket.h>
#include <string.h>

/* Within this time the log answers, also a slow one. */
#define LOG_MAX_MS 900

static mstime_t now_(void *ctx)
{
	(void)ctx;
	return clock_now();
}

static mstime_t wall_(void *ctx)
{
	(void)ctx;
	return clock_wall();
}

static void cancel_(void *ctx, http_call_t *call)
{
	(void)ctx;
	http_call_cancel(call);
}

static guint live_count_(void *ctx)
{
	return ((const gateway_t *)ctx)->ranking->len;
}

static bool node_at_(void *ctx, guint rank, rollouts_peer_t *out)
{
	const gateway_t *g = ctx;
	const member_t *m = gateway_peers_at_rank(g, rank);

	if (!m)
		return false;
	*out = (rollouts_peer_t){ m->key, m->peer, m == g->members.self };
	return true;
}

static int own_rank_(void *ctx)
{
	const gateway_t *g = ctx;

	return gateway_ready(g) ? g->own_rank : -1;
}

static bool is_recent_(void *ctx)
{
	return gateway_recently_started(ctx, clock_now());
}

static peer_sender_t sender_(gateway_t *g)
{
	return (peer_sender_t){ g->socket, g->conf->peer_key,
				&g->rollouts_budget };
}

static void send_evidence_(void *ctx, const char *to,
			   const peer_rollout_evidence_t *m)
{
	peer_sender_t sender = sender_(ctx);

	peer_socket_send_evidence(&sender, to, m);
}

static void send_state_(void *ctx, const char *to,
			const peer_rollout_state_t *m)
{
	peer_sender_t sender = sender_(ctx);

	peer_socket_send_rollout(&sender, to, m);
}

static void view_upstreams_(void *ctx, const char *service, uint32_t version,
			    rollout_view_t *view)
{
	gateway_t *g = ctx;
	mstime_t now = clock_now();
	const routing_service_t *s = route_table_service(g->table, service);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (strcmp(u->service, service) != 0)
			continue;
		view->demand += u->own_outstanding + u->remote_outstanding;
		if (u->leaving)
			continue;
		if (u->version_key != version) {
			view->old_slots += u->slots;
			continue;
		}
		view->new_upstreams++;
		if (now >= u->cold_until || !s || s->cold_per_s <= 0)
			view->new_warm_slots += u->slots;
		else
			view->cold_per_s += s->cold_per_s;
	}
}

static void count_open_(void *ctx, const char *service, uint32_t version,
			rollout_tally_t *out)
{
	const gateway_t *g = ctx;
	GHashTableIter iter;
	gpointer key;

	out->open_once = 0;
	out->open_streams = 0;
	g_hash_table_iter_init(&iter, g->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const forward_t *f = key;

		if (f->done || !f->selected ||
		    f->selected->version_key == version ||
		    strcmp(f->service, service) != 0)
			continue;
		if (f->route->kind == ROUTE_KIND_STREAM)
			out->open_streams++;
		else if (f->route->kind != ROUTE_KIND_IDEMPOTENT)
			out->open_once++;
	}
}

static http_call_t *read_status_(void *ctx, feed_fn fn, void *arg)
{
	gateway_t *g = ctx;

	return g->feed_client.ops->read_latest(
		&g->feed_client, FEED_NODES, g->protocol->rollout_status_after,
		clock_now() + LOG_MAX_MS, fn, arg);
}

static http_call_t *write_status_(void *ctx, const rollout_status_t *status,
				  uint64_t end, feed_fn fn, void *arg)
{
	gateway_t *g = ctx;
	char *key = g->protocol->rollout_status_key(status->service);
	char *text = g->protocol->format_rollout_status(status);
	http_call_t *call = g->feed_client.ops->put_at(
		&g->feed_client, FEED_NODES, str_of(key), str_of(text), end,
		clock_now() + LOG_MAX_MS, fn, arg);

	g_free(key);
	g_free(text);
	return call;
}

static bool parse_status_(void *ctx, const feed_record_t *r,
			  rollout_status_t *out)
{
	return ((const gateway_t *)ctx)->protocol->parse_rollout_status(r, out);
}

const rollouts_ops_t gateway_rollouts_ops = {
	.now = now_,
	.wall = wall_,
	.cancel = cancel_,
	.live_count = live_count_,
	.node_at = node_at_,
	.own_rank = own_rank_,
	.is_recent = is_recent_,
	.send_evidence = send_evidence_,
	.send_state = send_state_,
	.view_upstreams = view_upstreams_,
	.count_open = count_open_,
	.read_status = read_status_,
	.write_status = write_status_,
	.parse_status = parse_status_,
};

/* Whether an upstream of another version than one may be chosen. */
static bool is_other_known_(const gateway_t *g,
			    const balance_request_t *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (!u->leaving && u->version_key != request->avoid_version &&
		    u->version_key != request->barred_version &&
		    !strcmp(u->service, request->service))
			return true;
	}
	return false;
}

rollouts_way_t rollout_direct(forward_t *f, balance_request_t *request,
			      mstime_t now)
{
	return rollouts_direct(&f->gateway->rollouts, request,
			       f->attempt_count && f->rollout.counted &&
				       f->rollout.side == ROLLOUT_NEW,
			       now);
}

bool rollout_relax(forward_t *f, balance_request_t *request, rollouts_way_t way)
{
	return way != ROLLOUTS_NONE &&
	       rollouts_relax(&f->gateway->rollouts, request, way,
			      is_other_known_(f->gateway, request));
}

void rollout_note_sent(forward_t *f, mstime_t now)
{
	gateway_t *g = f->gateway;

	f->rollout = (forward_rollout_t){ .fault = FAULT_COUNT };
	f->rollout.counted = rollouts_count_request(&g->rollouts, f->service,
						    f->selected->version_key,
						    &f->rollout.side);
	if (!f->rollout.counted)
		return;
	f->rollout.upstream = f->selected->key;
	f->rollout.cold = now < f->selected->cold_until;
	f->rollout.may_miss =
		f->in.affinity &&
		!balance_is_warm(&g->balance, f->in.affinity, f->selected);
}

static rollout_answer_t answer_(const forward_t *f, mstime_t now)
{
	return (rollout_answer_t){
		.route = (uint32_t)str_hash64(str_of(f->route->name), 0) | 1,
		.side = f->rollout.side,
		.upstream = f->rollout.upstream,
		.timed = !f->rollout.cold,
		.cache_may_miss = f->rollout.may_miss,
		.first_ms = (f->first_at ? f->first_at : now) - f->sent_at,
		.whole_ms = now - f->sent_at,
		.objective_ms = f->route->latency_objective_ms,
	};
}

void rollout_note_end(forward_t *f, balance_outcome_t outcome, mstime_t now)
{
	rollout_answer_t a;

	if (!f->rollout.counted || f->rollout.judged)
		return;
	f->rollout.judged = true;
	switch (f->rollout.fault) {
	case FAULT_CONNECT:
	case FAULT_SHED:
	case FAULT_INSTANCE:
	case FAULT_RESUME:
	case FAULT_UNABLE:
		return;
	default:
		break;
	}
	if (outcome == BALANCE_ABANDONED || outcome == BALANCE_SHED)
		return;
	a = answer_(f, now);
	/* The wait for the answer was too long, which its time shows. */
	a.failed =
		outcome == BALANCE_FAILED && f->rollout.fault != FAULT_TIMEOUT;
	if (f->rollout.fault == FAULT_TIMEOUT &&
	    !rollouts_is_slow(&f->gateway->rollouts, f->service, &a))
		return;
	rollouts_count_answer(&f->gateway->rollouts, f->service, &a);
}

void rollout_check_wait(forward_t *f, mstime_t now)
{
	rollout_answer_t a;

	if (!f->rollout.counted || f->rollout.judged || !f->call ||
	    !f->selected || f->answer.paused_at)
		return;
	a = answer_(f, now);
	if (!rollouts_is_slow(&f->gateway->rollouts, f->service, &a))
		return;
	f->rollout.judged = true;
	rollouts_count_answer(&f->gateway->rollouts, f->service, &a);
}
