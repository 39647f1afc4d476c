#include "private/gateway.h"

#include <errno.h>
#include <kcf/address.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Nodes that share limits, for one that has just started and was not told: few
 * would let a large fleet that starts at once take several times the limits.
 */
#define COUNT_UNSURE 64
/* Bytes a second for membership: the users' bound on control traffic. */
#define BUDGET_BYTES_PER_S 4096
/*
 * A node that has just started and knows fewer live nodes names none: callers
 * ask another one, or keep the answer that they have.
 */
#define YOUNG_MIN 3
/* What another node told of the load holds for several of its answers. */
#define TOLD_VALID_MS 3000
/* One message of so many with loads goes to any node, for those that callers
 * reach late. The others go to nodes that serve.
 */
#define LOADS_ANYWHERE 8
/* A node without answers of its own for so long has nothing to tell. */
#define LOADS_OWN_MS 2000
/* Share of the budget that must be saved for more than probes. */
#define BUDGET_FULL_SHARE 0.5

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents);
static void send_(void *ctx, const char *address, unsigned int proc,
		  peer_message_t *m, bool lean);
static void changed_(void *ctx, const member_t *m, member_state_t before);
static void make_plan_(gateway_t *g);

static const member_ops_t member_ops = { send_, changed_ };

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
	g->budget.rate = BUDGET_BYTES_PER_S;
	g->told_serving = g_ptr_array_new_with_free_func(g_free);
	g->plan = g_array_new(FALSE, FALSE, sizeof(fleet_roles_node_t));
	g->plan_at = -1;
	g->sharers = 1;
	members_init(&g->members, &self, (guint32)g->incarnation, &member_ops,
		     g, clock_now());
	for (guint i = 0; i < c->seeds->len; i++) {
		members_add_seed(&g->members, c->seeds->pdata[i]);
		g->seed = g->seed || !strcmp(c->seeds->pdata[i], c->peers);
	}
	return true;
}

void gateway_peers_stop(gateway_t *g)
{
	ev_io_stop(g->loop, &g->socket_io);
	close(g->socket);
	g_array_unref(g->plan);
	g_ptr_array_unref(g->told_serving);
	members_finish(&g->members);
}

static void send_(void *ctx, const char *address, unsigned int proc,
		  peer_message_t *m, bool lean)
{
	gateway_t *g = ctx;
	peer_sender_t sender = { g->socket, g->conf->peer_key, &g->budget };
	peer_update_t updates[PEER_UPDATES_MAX];
	peer_fact_t facts[PEER_FACTS_MAX];
	peer_message_t full = *m;

	lean = lean || !byte_budget_has_fraction(&g->budget, clock_now(),
						 BUDGET_FULL_SHARE);
	members_fill_message(&g->members, &full, updates, facts, lean);
	full.sent = (u_quad_t)clock_wall();
	peer_socket_send(&sender, address, proc, &full, true);
}

static void take_loads_(gateway_t *g, const peer_message_t *m)
{
	mstime_t now = clock_now();

	for (u_int i = 0; i < m->loads.loads_len; i++) {
		const peer_load_t *l = &m->loads.loads_val[i];
		balance_load_t load = { l->upstream, (int)l->outstanding,
					(mstime_t)l->stamp };

		balance_apply_gossip(&g->balance, &load, now);
	}
}

static const member_t *loads_target_(gateway_t *g, mstime_t now)
{
	guint serving = gateway_peers_serving_count(g, now);
	const member_t *m;

	if (!serving || ++g->loads_told % LOADS_ANYWHERE == 0)
		return gateway_peers_any(g);
	m = gateway_peers_planned(
		g, (guint)g_rand_int_range(g->rand, 0, (gint32)serving));
	return m == g->members.self ? gateway_peers_any(g) : m;
}

static void tell_loads_(gateway_t *g, mstime_t now)
{
	balance_load_t loads[BALANCE_GOSSIP_MAX];
	peer_load_t wire[BALANCE_GOSSIP_MAX];
	peer_message_t m = { .seq = ++g->members.seq };
	const member_t *to;

	/* What is only known from others, they tell each other. */
	if (now < g->loads_at || now - g->reported_at > LOADS_OWN_MS)
		return;
	/* Ticks are coarser; what one is late, the next one is early. */
	g->loads_at = MAX(g->loads_at, now - BALANCE_GOSSIP_INTERVAL_MS) +
		      BALANCE_GOSSIP_INTERVAL_MS;
	to = loads_target_(g, now);
	if (!to)
		return;
	m.loads.loads_len = balance_collect_gossip(&g->balance, now, loads,
						   BALANCE_GOSSIP_MAX);
	if (!m.loads.loads_len)
		return;
	for (u_int i = 0; i < m.loads.loads_len; i++) {
		/* An age needs no clocks that agree. */
		wire[i] = (peer_load_t){
			.upstream = loads[i].key,
			.outstanding = (u_int)loads[i].outstanding,
			.stamp = (u_int)loads[i].age_ms,
		};
	}
	m.loads.loads_val = wire;
	send_(g, to->peer, PEER_LOADS, &m, true);
}

static void take_message_(void *ctx, unsigned int proc, const peer_message_t *m,
			  const char *from)
{
	gateway_t *g = ctx;

	take_loads_(g, m);
	members_receive(&g->members, clock_now(), from, proc, m);
}

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents)
{
	gateway_t *g = w->data;

	(void)loop;
	(void)revents;
	peer_socket_receive(g->socket, g->conf->peer_key, take_message_, g);
}

static void changed_(void *ctx, const member_t *m, member_state_t before)
{
	gateway_t *g = ctx;

	g->plan_old = true;
	member_log_change(m, before);
}

static void make_plan_(gateway_t *g)
{
	GHashTableIter iter;
	gpointer value;
	int sharers = 0;

	if (!g->plan_old)
		return;
	g->plan_old = false;
	g_array_set_size(g->plan, 0);
	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;
		fleet_roles_node_t node = { m->key, m->data_centre, m, 0 };

		sharers += m->state != MEMBER_DEAD;
		if (m->state == MEMBER_LIVE)
			g_array_append_val(g->plan, node);
	}
	fleet_roles_rank((fleet_roles_node_t *)(void *)g->plan->data,
			 g->plan->len);
	g->sharers = MAX(1, sharers);
	g->plan_at = -1;
	for (guint i = 0; i < g->plan->len; i++) {
		if (gateway_peers_planned(g, i) == g->members.self)
			g->plan_at = (int)i;
	}
}

static member_state_t own_state_(const gateway_t *g)
{
	if (g->phase == GATEWAY_STOPPING)
		return MEMBER_LEAVING;
	return gateway_ready(g) ? MEMBER_LIVE : MEMBER_JOINING;
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
	make_plan_(g);
	tell_loads_(g, now);
	counter_set(GAUGE_MEMBERS_LIVE, g->plan->len);
}

const member_t *gateway_peers_planned(const gateway_t *g, guint at)
{
	if (at >= g->plan->len)
		return NULL;
	return g_array_index(g->plan, fleet_roles_node_t, at).data;
}

/*
 * Nodes without requests know little of the load. The readers work it out, and
 * tell it with the feeds.
 */
guint gateway_peers_serving_count(gateway_t *g, mstime_t now)
{
	if (g->serving_told_at && now - g->serving_told_at < TOLD_VALID_MS &&
	    !reader_is(g, now))
		return MIN(g->serving.count, g->plan->len);
	return fleet_roles_serving_count(
		&g->serving, g->plan->len,
		balance_total_outstanding(&g->balance, now), now);
}

void gateway_peers_take_serving(gateway_t *g, guint count, mstime_t now)
{
	if (!count)
		return;
	g->serving.count = count;
	g->serving_told_at = now;
}

GPtrArray *gateway_peers_serving(gateway_t *g, str_t data_centre, guint most)
{
	mstime_t now = clock_now();
	GPtrArray *list = g_ptr_array_new();
	guint count;
	bool young;

	/* A node that leaves is out at once. */
	make_plan_(g);
	count = gateway_peers_serving_count(g, now);
	young = gateway_young(g, now);
	if (young && g->told_serving->len > count) {
		for (guint i = 0; i < g->told_serving->len && i < most; i++)
			g_ptr_array_add(list, g->told_serving->pdata[i]);
		return list;
	}
	if (young && count < YOUNG_MIN)
		return list;
	/* All of them, or the caller's data centre and then the others. */
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < count && list->len < most; i++) {
			const member_t *m = gateway_peers_planned(g, i);
			bool near = str_eq(data_centre, str_of(m->data_centre));

			if (near == !pass)
				g_ptr_array_add(list, m->callers);
		}
	}
	return list;
}

const member_t *gateway_peers_any(gateway_t *g)
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
		/* Each of those seen so far is kept with the same chance. */
		if (!g_rand_int_range(g->rand, 0, ++n))
			found = m;
	}
	return found;
}

const member_t *gateway_peers_any_live(gateway_t *g)
{
	if (!g->plan->len)
		return NULL;
	return gateway_peers_planned(
		g, (guint)g_rand_int_range(g->rand, 0, (gint32)g->plan->len));
}

int gateway_peers_count(const gateway_t *g)
{
	int unsure = g->told_nodes ? g->told_nodes : COUNT_UNSURE;

	if (gateway_young(g, clock_now()))
		return MAX(g->sharers, unsure);
	return g->sharers;
}
