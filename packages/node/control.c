#include "private/control.h"

#include <kcf/logline.h>
#include <string.h>

#define TICK_S 0.1
#define DISPATCH_INTERVAL_S ((double)SCHED_DISPATCH_INTERVAL_MS / MSEC_PER_SEC)
#define TRACES_MAX 10000
/*
 * Shortest graceful stop, even without open requests: addresses of this node
 * that callers were given must have expired.
 */
#define LEAVE_MIN_MS 1500
/*
 * Rate of the byte budget as a fraction of the configured limit: saved bytes
 * are spent on top of the rate.
 */
#define BUDGET_USED_FRACTION 0.85
/* Requests between nodes carry loads above this fraction of the budget. */
#define BUDGET_LOADS_FRACTION 0.2

static bool start_(void *ctx, struct ev_loop *loop);
static void receive_(void *ctx, void *message);
static void stop_(void *ctx);
static void on_tick_(struct ev_loop *loop, ev_timer *w, int revents);
static void on_dispatch_(struct ev_loop *loop, ev_timer *w, int revents);
static void on_decided_(void *ctx, const sched_decision_t *a);
static void send_loan_(void *ctx, const char *node, const power_loan_t *loan);
static void on_health_changed_(void *ctx, const char *upstream,
			       const char *what);
static void queue_move_(void *ctx, const sched_move_t *m);

static const task_ops_t task_ops = { start_, receive_, stop_ };
static const sched_ops_t sched_ops = { on_decided_, send_loan_,
				       on_health_changed_, queue_move_ };

void control_init(control_t *c, const settings_t *settings,
		  uint64_t incarnation, void (*on_stopped)(void *arg),
		  void *arg)
{
	*c = (control_t){ .settings = settings,
			  .incarnation = incarnation,
			  .on_stopped = on_stopped,
			  .on_stopped_arg = arg,
			  .socket = -1 };
	c->budget.rate =
		(int64_t)((double)settings->peer_budget * BUDGET_USED_FRACTION);
	c->pending_changes = g_hash_table_new(g_str_hash, g_str_equal);
	c->watchers = g_ptr_array_new();
	c->polls_in_flight = g_hash_table_new(NULL, NULL);
	c->traces = g_hash_table_new(g_str_hash, g_str_equal);
	c->trace_order = g_queue_new();
	c->pending_moves = g_queue_new();
	config_init(&c->config);
	sched_init(&c->sched, settings->name->str, settings->data_centre->str,
		   settings->region->str, (guint32)incarnation, &sched_ops, c);
	task_init(&c->task, &task_ops, c);
}

bool control_start(control_t *c, relay_t *relay)
{
	c->relay = relay;
	return task_start(&c->task, "control");
}

void control_stop(control_t *c)
{
	task_stop(&c->task);
}

static void free_trace_(gpointer p)
{
	trace_t *t = p;

	g_string_free(t->steps, TRUE);
	g_free(t);
}

void control_finish(control_t *c)
{
	task_finish(&c->task);
	sched_finish(&c->sched);
	config_finish(&c->config);
	g_hash_table_destroy(c->pending_changes);
	g_ptr_array_unref(c->watchers);
	g_hash_table_destroy(c->polls_in_flight);
	g_hash_table_destroy(c->traces);
	g_queue_free_full(c->trace_order, free_trace_);
	g_queue_free_full(c->pending_moves, g_free);
}

static bool start_(void *ctx, struct ev_loop *loop)
{
	control_t *c = ctx;

	http_client_init(&c->http, loop);
	if (c->settings->tls_ca->len)
		c->http.ca_file = c->settings->tls_ca->str;
	if (!peers_start(c))
		return false;
	if (!operators_start(c)) {
		peers_stop(c);
		return false;
	}
	config_stream_start(c);
	chat_quarantine_start(c);
	once_start(c);
	jobs_start(c);
	orders_start(c);
	ev_timer_init(&c->tick, on_tick_, TICK_S, TICK_S);
	c->tick.data = c;
	ev_timer_start(loop, &c->tick);
	ev_timer_init(&c->dispatch_timer, on_dispatch_, DISPATCH_INTERVAL_S,
		      DISPATCH_INTERVAL_S);
	c->dispatch_timer.data = c;
	return true;
}

static void stop_(void *ctx)
{
	control_t *c = ctx;

	ev_timer_stop(c->task.loop, &c->tick);
	ev_timer_stop(c->task.loop, &c->dispatch_timer);
	operators_stop(c);
	orders_stop(c);
	jobs_stop(c);
	once_stop(c);
	chat_quarantine_stop(c);
	config_stream_stop(c);
	peers_stop(c);
	http_client_finish(&c->http);
}

static void set_phase_(control_t *c, node_phase_t phase)
{
	message_t *m = message_new(MSG_PHASE);

	c->phase = phase;
	m->phase = phase;
	relay_post(c->relay, m);
}

static void announce_state_(control_t *c, mstime_t now, member_state_t state)
{
	members_set_state(&c->members, now, state);
	members_announce(&c->members);
	peers_publish_roster(c, now);
}

void control_leave(control_t *c)
{
	mstime_t now = clock_now();

	if (c->phase == PHASE_LEAVING)
		return;
	LOG_EVENT(LOG_NOTICE, "node.leaving",
		  F_INT("drain_s", c->settings->drain_s));
	c->leave_deadline = now + c->settings->drain_s * MSEC_PER_SEC;
	set_phase_(c, PHASE_LEAVING);
	announce_state_(c, now, MEMBER_LEAVING);
}

void control_rejoin(control_t *c, mstime_t until)
{
	if (c->phase != PHASE_READY)
		return;
	c->earliest_ready = until;
	set_phase_(c, PHASE_JOINING);
	announce_state_(c, clock_now(), MEMBER_JOINING);
}

static void become_ready_if_caught_up_(control_t *c, mstime_t now)
{
	if (c->phase != PHASE_JOINING || now < c->earliest_ready ||
	    !config_stream_caught_up(c))
		return;
	LOG_EVENT(LOG_NOTICE, "node.ready",
		  F_INT("applied", (int64_t)c->config.applied));
	set_phase_(c, PHASE_READY);
	announce_state_(c, now, MEMBER_LIVE);
}

static void finish_leaving_if_drained_(control_t *c, mstime_t now)
{
	mstime_t started;

	if (c->phase != PHASE_LEAVING)
		return;
	started = c->leave_deadline - c->settings->drain_s * MSEC_PER_SEC;
	if (now < c->leave_deadline && (counter_get(GAUGE_OPEN_REQUESTS) > 0 ||
					now < started + LEAVE_MIN_MS))
		return;
	LOG_EVENT(LOG_NOTICE, "node.left",
		  F_INT("open", counter_get(GAUGE_OPEN_REQUESTS)));
	c->leave_deadline = MSTIME_NEVER;
	c->on_stopped(c->on_stopped_arg);
}

static void on_tick_(struct ev_loop *loop, ev_timer *w, int revents)
{
	control_t *c = w->data;
	mstime_t now = clock_now();

	(void)loop;
	(void)revents;
	peers_tick(c, now);
	config_stream_tick(c, now);
	chat_quarantine_tick(c, now);
	load_poll_tick(c, now);
	once_tick(c, now);
	jobs_tick(c, now);
	moves_tick(c, now);
	orders_tick(c, now);
	sched_tick(&c->sched, now);
	become_ready_if_caught_up_(c, now);
	finish_leaving_if_drained_(c, now);
}

static void on_dispatch_(struct ev_loop *loop, ev_timer *w, int revents)
{
	control_t *c = w->data;

	(void)revents;
	if (!sched_dispatch(&c->sched, clock_now()))
		ev_timer_stop(loop, w);
}

static void refuse_held_(control_t *c, uint64_t id, mstime_t retry_ms)
{
	const sched_decision_t refusal = { .id = id,
					   .verdict = SCHED_REFUSE,
					   .refusal = REFUSE_HELD,
					   .retry_after_ms = retry_ms };

	on_decided_(c, &refusal);
}

static void place_request_(control_t *c, const place_query_t *q)
{
	mstime_t now = clock_now();
	mstime_t retry_ms;

	if (chat_quarantine_check(c, q, now, &retry_ms)) {
		refuse_held_(c, q->request.id, retry_ms);
		return;
	}
	sched_place(&c->sched, now, &q->request);
	/* The request may have been queued. */
	ev_timer_start(c->task.loop, &c->dispatch_timer);
}

/* Callers' address of a node, or NULL if callers must not be sent there. */
static const char *usable_address_(const control_t *c, const char *name)
{
	const member_t *m = members_find(&c->members, name);
	const view_t *v = c->sched.view;
	const host_t *host = v ? view_find(v, KIND_HOST, name) : NULL;
	const data_centre_t *dc = NULL;

	if (!m || !member_is_usable(m) || (host && host->drained))
		return NULL;
	if (v)
		dc = view_find(v, KIND_DATA_CENTRE, m->data_centre);
	return dc && dc->drained ? NULL : m->callers;
}

static void reply_where_(control_t *c, const where_query_t *q)
{
	message_t *m = message_new(MSG_WHERE_REPLY);
	const char *best = sched_node_for_chat(&c->sched, clock_now(),
					       q->service, q->chat);
	const char *address = best ? usable_address_(c, best) : NULL;
	where_reply_t *w = &m->where_reply;
	GPtrArray *nodes = c->sched.nodes;
	guint start = nodes->len ? g_random_int() % nodes->len : 0;

	w->id = q->id;
	if (address)
		g_strlcpy(w->addresses[w->count++], address, ADDRESS_MAX);
	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[(start + i) % nodes->len];

		if (w->count == WHERE_ADDRESSES_MAX)
			break;
		address = usable_address_(c, n->name);
		if (address && g_strcmp0(best, n->name) != 0)
			g_strlcpy(w->addresses[w->count++], address,
				  ADDRESS_MAX);
	}
	relay_post(c->relay, m);
}

static void store_trace_(control_t *c, trace_t *from)
{
	trace_t *t = g_new0(trace_t, 1);
	trace_t *old;

	*t = *from;
	from->steps = NULL;
	g_hash_table_replace(c->traces, t->request_id, t);
	g_queue_push_tail(c->trace_order, t);
	if (g_queue_get_length(c->trace_order) <= TRACES_MAX)
		return;
	old = g_queue_pop_head(c->trace_order);
	if (g_hash_table_lookup(c->traces, old->request_id) == old)
		g_hash_table_remove(c->traces, old->request_id);
	free_trace_(old);
}

static void receive_(void *ctx, void *message)
{
	control_t *c = ctx;
	message_t *m = message;
	mstime_t now = clock_now();

	peers_check_pause(c, now);
	switch (m->type) {
	case MSG_PLACE:
		place_request_(c, &m->place);
		break;
	case MSG_CANCEL:
		sched_cancel(&c->sched, now, m->cancel);
		break;
	case MSG_CRASH:
		chat_quarantine_record(c, &m->attempt, now);
		break;
	case MSG_ANSWERED:
		chat_quarantine_record_answer(c, &m->attempt, now);
		break;
	case MSG_RELEASE:
		sched_release(&c->sched, now, &m->release);
		break;
	case MSG_WHERE:
		reply_where_(c, &m->where);
		break;
	case MSG_TRACE:
		store_trace_(c, &m->trace);
		break;
	case MSG_LOADS:
		sched_parse_loads(&c->sched, now, str_of(m->loads));
		break;
	case MSG_ONCE_BEGIN:
		once_begin_attempt(c, &m->once);
		break;
	case MSG_ONCE_END:
		once_end_attempt(c, &m->once);
		break;
	case MSG_JOB_SUBMIT:
		jobs_submit(c, &m->job_submit);
		break;
	case MSG_JOB_QUERY:
		jobs_query(c, &m->job_query);
		break;
	case MSG_NODE_REFUSED:
		members_suspect(&c->members, now, m->node);
		break;
	case MSG_RELOAD_TLS:
		operators_reload_tls(c);
		break;
	case MSG_PHASE:
		control_leave(c);
		break;
	default:
		break;
	}
	message_free(m);
}

/* Requests between nodes carry loads while the budget allows it. */
static void attach_loads_(control_t *c, sched_decision_t *a)
{
	mstime_t now = clock_now();

	if (a->verdict == SCHED_RUN && !a->hop)
		return;
	if (!byte_budget_has_fraction(&c->budget, now, BUDGET_LOADS_FRACTION))
		return;
	sched_format_loads(&c->sched, now, peers_gossip_stamp(), a->loads);
	byte_budget_spend(&c->budget, now, (int64_t)strlen(a->loads), true);
}

static void on_decided_(void *ctx, const sched_decision_t *a)
{
	control_t *c = ctx;
	message_t *m = message_new(MSG_PLACE_REPLY);

	m->place_reply = *a;
	m->place_reply.decided_at = clock_now();
	if (a->verdict != SCHED_REFUSE)
		attach_loads_(c, &m->place_reply);
	relay_post(c->relay, m);
}

static void send_loan_(void *ctx, const char *node, const power_loan_t *loan)
{
	peers_send_loan(ctx, node, loan);
}

static void on_health_changed_(void *ctx, const char *upstream,
			       const char *state)
{
	(void)ctx;
	LOG_EVENT(LOG_NOTICE, "upstream.health", F_STR("upstream", upstream),
		  F_STR("state", state));
}

static void queue_move_(void *ctx, const sched_move_t *m)
{
	moves_add(ctx, m);
}
