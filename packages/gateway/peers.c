#include "private/gateway.h"

#include <errno.h>
#include <kcf/address.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* For membership and gossip: the limit on control traffic. */
#define CONTROL_BYTES_PER_S 4096
/* Apart from that: the deciding node of 300 sends a state to each. */
#define ROLLOUT_BYTES_PER_S 262144
/*
 * A recently started node with fewer serving nodes returns an empty directory:
 * callers then query another node or keep their cached response.
 */
#define START_SERVING_MIN 3
/* A serving count from a sync source is valid for several of its responses. */
#define SERVING_COUNT_VALID_MS 3000
/* One gossip message in this many goes to a random node, for nodes that callers
 * reach late. The others go to serving nodes.
 */
#define GOSSIP_RANDOM_ONE_IN 8
/* A node without load reports of its own for this long sends no gossip. */
#define GOSSIP_REPORT_MAX_AGE_MS 2000
/* Request rates in gossip are in hundredths of a request a second. */
#define RATE_STEPS_PER_UNIT 100.0
#define RATE_MAX 4e9
/* Nodes that are lost together: more than one, and than one in so many. */
#define CUT_ONE_IN 16
/* Fraction of the budget that must be available to send more than probes. */
#define BUDGET_FULL_FRACTION 0.5

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents);
static void send_message_(void *ctx, const char *address, unsigned int proc,
			  peer_message_t *m, bool compact);
static void on_member_changed_(void *ctx, const member_t *m,
			       member_state_t before);
static void update_ranking_(gateway_t *g);
static const char *warmth_peer_(void *ctx);
static size_t send_warmth_(void *ctx, const char *to, const peer_warmth_t *m);
static bool share_warmth_(void *ctx, uint32_t key);
static mstime_t wall_(void *ctx);

static const warmths_ops_t warmths_ops = { warmth_peer_, send_warmth_,
					   share_warmth_, wall_ };
static const member_ops_t member_ops = { send_message_, on_member_changed_ };

static void apply_work_(void *ctx, uint64_t node, const work_entry_t *entry,
			mstime_t now);
static int count_work_targets_(void *ctx, mstime_t now);
static const char *get_work_target_(void *ctx, int index);
static void send_work_(void *ctx, const char *to, const peer_work_t *m);

static const work_gossip_ops_t work_gossip_ops = {
	apply_work_, count_work_targets_, get_work_target_, send_work_
};

bool gateway_peers_start(gateway_t *g)
{
	const gateway_conf_t *c = g->conf;
	member_self_t self = {
		.name = c->name,
		.data_centre = c->data_centre,
		.region = c->region,
		.peer = c->peers,
		.callers = c->callers,
		.operators = c->admin,
		.incarnation = g->incarnation,
	};

	g->socket = peer_socket_open(c->peers);
	if (g->socket < 0) {
		LOG_EVENT(LOG_ERR, "peers.listen", F_STR("address", c->peers),
			  F_STR("error", g_strerror(errno)));
		return false;
	}
	ev_io_init(&g->socket_io, on_readable_, g->socket, EV_READ);
	g->socket_io.data = g;
	ev_io_start(g->loop, &g->socket_io);
	g->control_budget.rate = CONTROL_BYTES_PER_S;
	g->rollouts_budget.rate = ROLLOUT_BYTES_PER_S;
	g->start_serving = g_ptr_array_new_with_free_func(g_free);
	g->ranking = g_array_new(FALSE, FALSE, sizeof(fleet_roles_node_t));
	g->own_rank = -1;
	warmths_init(&g->warmths, &warmths_ops, g);
	g->balance.warmth = &g->warmths.table;
	sharing_init(&g->sharing, c->stop_limit_ms, g->started_at);
	members_init(&g->members, &self, (guint32)g->incarnation, &member_ops,
		     g, clock_now());
	work_gossip_init(&g->work_gossip, member_key(c->name), &work_gossip_ops,
			 g);
	rollouts_set_self(&g->rollouts, g->members.self->key, g->incarnation);
	for (guint i = 0; i < c->seeds->len; i++) {
		members_add_seed(&g->members, c->seeds->pdata[i]);
		g->is_seed =
			g->is_seed || !strcmp(c->seeds->pdata[i], c->peers);
	}
	return true;
}

void gateway_peers_stop(gateway_t *g)
{
	ev_io_stop(g->loop, &g->socket_io);
	close(g->socket);
	g_array_unref(g->ranking);
	g_ptr_array_unref(g->start_serving);
	sharing_finish(&g->sharing);
	g->balance.warmth = NULL;
	warmths_finish(&g->warmths);
	members_finish(&g->members);
}

static void send_message_(void *ctx, const char *address, unsigned int proc,
			  peer_message_t *m, bool compact)
{
	gateway_t *g = ctx;
	peer_sender_t sender = { g->socket, g->conf->peer_key,
				 &g->control_budget };
	peer_update_t updates[PEER_UPDATES_MAX];
	peer_fact_t facts[PEER_FACTS_MAX];
	peer_message_t full = *m;

	compact = compact ||
		  !byte_budget_has_fraction(&g->control_budget, clock_now(),
					    BUDGET_FULL_FRACTION);
	members_fill_message(&g->members, &full, updates, facts, compact);
	full.sent = (u_quad_t)clock_wall();
	peer_socket_send(&sender, address, proc, &full, true);
}

/* 0: unknown, as older builds send it; 1: none; else in steps from 2 on. */
static u_int encode_rate_(const balance_load_t *load)
{
	if (!load->states_rate)
		return 0;
	if (load->per_s < 0)
		return 1;
	return 2 + (u_int)MIN(load->per_s * RATE_STEPS_PER_UNIT, RATE_MAX);
}

static void decode_rate_(u_int code, balance_load_t *load)
{
	load->states_rate = code > 0;
	load->per_s = code > 1 ? (code - 2) / RATE_STEPS_PER_UNIT : -1;
}

/* 0: unknown, as older builds send it; 1: not brittle; else 2 and more. */
static u_int encode_brittle_(const balance_load_t *load)
{
	if (!load->states_brittle)
		return 0;
	return load->turned_per_s < 0 ? 1 : 2 + (u_int)load->turned_per_s;
}

static void decode_brittle_(u_int code, balance_load_t *load)
{
	load->states_brittle = code > 0;
	load->turned_per_s = code > 1 ? (int)MIN(code - 2, INT32_MAX) : -1;
}

static void apply_gossip_(gateway_t *g, const peer_message_t *m)
{
	mstime_t now = clock_now();

	for (u_int i = 0; i < m->loads.loads_len; i++) {
		const peer_load_t *l = &m->loads.loads_val[i];
		balance_load_t load = { l->upstream, (int)l->outstanding,
					(mstime_t)l->stamp };

		decode_rate_(l->limit, &load);
		decode_brittle_(l->weight, &load);
		balance_apply_gossip(&g->balance, &load, now);
		reach_record_report(&g->reach, load.key, now - load.age_ms);
	}
}

static const member_t *select_gossip_target_(gateway_t *g, mstime_t now)
{
	guint serving = gateway_peers_serving_count(g, now);
	const member_t *m;

	if (!serving || ++g->load_messages_sent % GOSSIP_RANDOM_ONE_IN == 0)
		return gateway_peers_random(g);
	m = gateway_peers_at_rank(
		g, (guint)g_rand_int_range(g->rand, 0, (gint32)serving));
	return m == g->members.self ? gateway_peers_random(g) : m;
}

void gateway_peers_notify_work(gateway_t *g, const balance_pick_t *pick,
			       uint64_t prompt)
{
	mstime_t now = clock_now();
	work_entry_t entry;

	if (pick->read_ms < WORK_NOTICE_MIN_MS || relays_is_cut(g))
		return;
	balance_describe_work(&g->balance, pick->upstream, prompt, now, &entry);
	work_gossip_notify(&g->work_gossip, &entry, pick->read_ms, now);
}

void gateway_peers_notify_pace(gateway_t *g, const balance_upstream_t *u)
{
	mstime_t now = clock_now();
	work_entry_t entry;

	if (relays_is_cut(g))
		return;
	balance_describe_work(&g->balance, u, 0, now, &entry);
	work_gossip_notify(&g->work_gossip, &entry, WORK_NOTICE_MIN_MS, now);
}

static void send_gossip_(gateway_t *g, mstime_t now)
{
	balance_load_t loads[BALANCE_GOSSIP_MAX];
	peer_load_t wire[BALANCE_GOSSIP_MAX];
	peer_message_t m = { .seq = ++g->members.seq };
	const member_t *to;

	/* Reports of other nodes are forwarded by those nodes themselves. */
	if (now < g->next_gossip_at ||
	    now - g->load_reported_at > GOSSIP_REPORT_MAX_AGE_MS ||
	    relays_is_cut(g))
		return;
	/* Ticks are coarser than the interval: a late message shortens the next
	 * interval.
	 */
	g->next_gossip_at =
		MAX(g->next_gossip_at, now - BALANCE_GOSSIP_INTERVAL_MS) +
		BALANCE_GOSSIP_INTERVAL_MS;
	to = select_gossip_target_(g, now);
	if (!to)
		return;
	m.loads.loads_len = balance_collect_gossip(&g->balance, now, loads,
						   BALANCE_GOSSIP_MAX);
	if (!m.loads.loads_len)
		return;
	for (u_int i = 0; i < m.loads.loads_len; i++) {
		/* An age does not require synchronised clocks. */
		wire[i] = (peer_load_t){
			.upstream = loads[i].key,
			.outstanding = (u_int)loads[i].outstanding,
			.stamp = (u_int)loads[i].age_ms,
			.limit = encode_rate_(&loads[i]),
			.weight = encode_brittle_(&loads[i]),
		};
	}
	m.loads.loads_val = wire;
	send_message_(g, to->peer, PEER_LOADS, &m, true);
}

static void apply_work_(void *ctx, uint64_t node, const work_entry_t *entry,
			mstime_t now)
{
	gateway_t *g = ctx;

	if (entry->pace > 0)
		share_warmth_(g, entry->key);
	balance_apply_work(&g->balance, node, entry, now);
}

/* The serving nodes, since others send hardly any requests. */
static int count_work_targets_(void *ctx, mstime_t now)
{
	return (int)gateway_peers_serving_count(ctx, now);
}

static const char *get_work_target_(void *ctx, int index)
{
	const gateway_t *g = ctx;
	const member_t *m = gateway_peers_at_rank(g, (guint)index);

	return m && m != g->members.self ? m->peer : NULL;
}

static void send_work_(void *ctx, const char *to, const peer_work_t *m)
{
	const gateway_t *g = ctx;
	peer_sender_t sender = { g->socket, g->conf->peer_key, NULL };

	peer_socket_send_work(&sender, to, m);
}

static void set_work_gauges_(const gateway_t *g, mstime_t now)
{
	double tokens;
	double pace;

	balance_work_totals(&g->balance, now, &tokens, &pace);
	counter_set(GAUGE_WORK_PENDING, (int64_t)tokens);
	counter_set(GAUGE_WORK_PACE, (int64_t)pace);
}

static void on_message_(void *ctx, unsigned int proc, const peer_message_t *m,
			const char *from)
{
	gateway_t *g = ctx;

	apply_gossip_(g, m);
	if (proc == PEER_LOADS && m->loads.loads_len)
		relays_hear(g, from, clock_now());
	members_receive(&g->members, clock_now(), from, proc, m);
}

static void on_crashes_(void *ctx, const peer_crash_report_t *r,
			const char *from)
{
	crashes_receive(ctx, r, from);
}

static void on_origins_(void *ctx, const peer_origins_t *m, const char *from)
{
	resumes_receive(ctx, m, from);
}

static void on_doubts_(void *ctx, const peer_doubts_t *m)
{
	resumes_receive_doubts(ctx, m);
}

static void on_versions_(void *ctx, const peer_versions_t *m, const char *from)
{
	resumes_receive_versions(ctx, m, from);
}

static void on_evidence_(void *ctx, const peer_rollout_evidence_t *m,
			 const char *from)
{
	gateway_t *g = ctx;

	rollouts_receive_evidence(&g->rollouts, m, from, clock_now());
}

static void on_rollout_(void *ctx, const peer_rollout_state_t *m)
{
	gateway_t *g = ctx;

	rollouts_receive_state(&g->rollouts, m, clock_now());
}

static void on_work_(void *ctx, const peer_work_t *m)
{
	gateway_t *g = ctx;

	work_gossip_receive(&g->work_gossip, m, clock_now());
}

static void on_warmth_(void *ctx, const peer_warmth_t *m, const char *from)
{
	gateway_t *g = ctx;

	warmths_receive(&g->warmths, m, from, clock_now());
}

static const peer_socket_ops_t socket_ops = {
	on_message_, on_crashes_,  on_origins_, on_doubts_,   on_warmth_,
	on_work_,    on_evidence_, on_rollout_, on_versions_,
};

static const char *warmth_peer_(void *ctx)
{
	const member_t *m = select_gossip_target_(ctx, clock_now());

	return m ? m->peer : NULL;
}

static size_t send_warmth_(void *ctx, const char *to, const peer_warmth_t *m)
{
	gateway_t *g = ctx;
	/* The budgets of warmths hold instead of that of control traffic. */
	byte_budget_t unused = { 0 };
	peer_sender_t sender = { g->socket, g->conf->peer_key, &unused };

	return peer_socket_send_warmth(&sender, to, m);
}

void gateway_peers_share_warmth(gateway_t *g, const char *service)
{
	if (!balance_share_warmth(&g->balance, service))
		return;
	warmths_activate(&g->warmths);
	LOG_EVENT(LOG_NOTICE, "warmth.shared", F_STR("service", service));
}

static bool share_warmth_(void *ctx, uint32_t key)
{
	gateway_t *g = ctx;
	const balance_upstream_t *u = balance_find_key(&g->balance, key);

	if (u)
		gateway_peers_share_warmth(g, u->service);
	return u;
}

static mstime_t wall_(void *ctx)
{
	(void)ctx;
	return clock_wall();
}

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents)
{
	gateway_t *g = w->data;

	(void)loop;
	(void)revents;
	peer_socket_receive(g->socket, g->conf->peer_key, &socket_ops, g);
}

static void on_member_changed_(void *ctx, const member_t *m,
			       member_state_t before)
{
	gateway_t *g = ctx;

	g->ranking_stale = true;
	member_log_change(m, before);
}

static void see_sharing_(gateway_t *g)
{
	GArray *others = g_array_new(FALSE, FALSE, sizeof(sharing_member_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;
		sharing_member_t other = { m->key, m->state == MEMBER_DEAD,
					   m->state == MEMBER_LEAVING };

		if (m != g->members.self)
			g_array_append_val(others, other);
	}
	sharing_see(&g->sharing, (const sharing_member_t *)(void *)others->data,
		    others->len, clock_now());
	g_array_unref(others);
}

static void update_ranking_(gateway_t *g)
{
	GHashTableIter iter;
	gpointer value;

	if (!g->ranking_stale)
		return;
	g->ranking_stale = false;
	see_sharing_(g);
	g_array_set_size(g->ranking, 0);
	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;
		fleet_roles_node_t node = { m->key, m->data_centre, m, 0 };

		if (m->state == MEMBER_LIVE)
			g_array_append_val(g->ranking, node);
	}
	fleet_roles_rank((fleet_roles_node_t *)(void *)g->ranking->data,
			 g->ranking->len);
	g->own_rank = -1;
	for (guint i = 0; i < g->ranking->len; i++) {
		if (gateway_peers_at_rank(g, i) == g->members.self)
			g->own_rank = (int)i;
	}
}

static member_state_t own_state_(const gateway_t *g)
{
	if (g->phase == GATEWAY_STOPPING)
		return MEMBER_LEAVING;
	return gateway_ready(g) ? MEMBER_LIVE : MEMBER_JOINING;
}

void gateway_peers_share_rates(gateway_t *g, mstime_t now)
{
	guint count = gateway_peers_serving_count(g, now);
	uint64_t *keys = g_new(uint64_t, count + 1);
	/* A recently started node knows few others; it would take too much. */
	bool known = !gateway_recently_started(g, now) && g->own_rank >= 0;
	guint own = known ? MIN((guint)g->own_rank, count) : count;

	for (guint i = 0; i < count; i++)
		keys[i] = g_array_index(g->ranking, fleet_roles_node_t, i).key;
	g->balance.place = (rate_limit_place_t){
		.index = own,
		.count = known ? count : 0,
		.wall_offset = clock_wall() - now,
	};
	balance_share_rates(&g->balance, keys, count, own, now);
	g_free(keys);
}

void gateway_peers_tick(gateway_t *g, mstime_t now)
{
	member_state_t state = own_state_(g);

	if (g->members.self->state != state) {
		members_set_state(&g->members, now, state);
		members_announce(&g->members);
	}
	members_set_applied(&g->members, g->table ? g->table->version : 0);
	members_tick(&g->members, now);
	update_ranking_(g);
	sharing_expect(&g->sharing, g->members.seeds->len > 0);
	send_gossip_(g, now);
	set_work_gauges_(g, now);
	gateway_peers_share_rates(g, now);
	relays_tick(g, now);
	crashes_tick(g, now);
	warmths_tick(&g->warmths, now);
	resumes_tick(g, now);
	version_record_tick(g, now);
	stream_log_tick(g, now);
	rollouts_tick(&g->rollouts, now);
	counter_set(GAUGE_MEMBERS_LIVE, g->ranking->len);
	counter_set(GAUGE_SHARING_NODES, gateway_peers_sharing_count(g));
	counter_set(
		GAUGE_BURST_PARTS,
		sharing_parts(&g->sharing, g->conf->retries.window_ms, now));
}

const member_t *gateway_peers_at_rank(const gateway_t *g, guint rank)
{
	if (rank >= g->ranking->len)
		return NULL;
	return g_array_index(g->ranking, fleet_roles_node_t, rank).user_data;
}

/*
 * Nodes without requests know little of the load: the readers compute the count
 * and send it with their sync responses.
 */
guint gateway_peers_serving_count(gateway_t *g, mstime_t now)
{
	if (g->serving_received_at &&
	    now - g->serving_received_at < SERVING_COUNT_VALID_MS &&
	    !reader_is_self(g, now))
		return MIN(g->serving.count, g->ranking->len);
	return fleet_roles_serving_count(
		&g->serving, g->ranking->len,
		balance_total_outstanding(&g->balance, now), now);
}

void gateway_peers_set_serving_count(gateway_t *g, guint count, mstime_t now)
{
	if (!count)
		return;
	g->serving.count = count;
	g->serving_received_at = now;
}

GPtrArray *gateway_peers_serving(gateway_t *g, str_t data_centre, guint max)
{
	mstime_t now = clock_now();
	GPtrArray *list = g_ptr_array_new();
	guint count;
	bool recently_started;

	/* A leaving node is removed at once, not at the next tick. */
	update_ranking_(g);
	count = gateway_peers_serving_count(g, now);
	recently_started = gateway_recently_started(g, now);
	if (recently_started && g->start_serving->len > count) {
		for (guint i = 0; i < g->start_serving->len && i < max; i++)
			g_ptr_array_add(list, g->start_serving->pdata[i]);
		return list;
	}
	if (recently_started && count < START_SERVING_MIN)
		return list;
	/* The caller's data centre first, then the others. */
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < count && list->len < max; i++) {
			const member_t *m = gateway_peers_at_rank(g, i);
			bool near = str_eq(data_centre, str_of(m->data_centre));

			if (near == !pass)
				g_ptr_array_add(list, m->callers);
		}
	}
	return list;
}

const member_t *gateway_peers_random(gateway_t *g)
{
	const member_t *found = NULL;
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (m == g->members.self || m->state == MEMBER_DEAD ||
		    m->state == MEMBER_SUSPECT)
			continue;
		/* Reservoir sampling: all candidates are equally likely. */
		if (!g_rand_int_range(g->rand, 0, ++n))
			found = m;
	}
	return found;
}

const member_t *gateway_peers_random_live(gateway_t *g)
{
	if (!g->ranking->len)
		return NULL;
	return gateway_peers_at_rank(
		g,
		(guint)g_rand_int_range(g->rand, 0, (gint32)g->ranking->len));
}

int gateway_peers_sharing_count(const gateway_t *g)
{
	return sharing_nodes(&g->sharing, clock_now());
}

/* Whether a node has gone, or was cut off, since a time. */
static bool is_lost_since_(const member_t *m, mstime_t since)
{
	return (m->state == MEMBER_SUSPECT || m->state == MEMBER_DEAD) &&
	       m->since >= since;
}

bool gateway_peers_may_be_cut(const gateway_t *g, mstime_t since)
{
	GHashTableIter iter;
	gpointer value;
	guint lost = 0;

	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lost += is_lost_since_(value, since);
	return lost > MAX(1, g->ranking->len / CUT_ONE_IN) ||
	       members_is_isolated(&g->members, clock_now());
}
