/*
 * Connects membership, load gossip and power loans to the datagram socket
 * between nodes, and takes seed addresses from the platform's host list.
 */
#include "private/control.h"

#include <kcf/address.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST_LIST_INTERVAL_MS 10000
#define HOST_LIST_RETRY_MS 2000
#define STAMP_UNIT_MS 10
/* Mean time between two load messages to nodes of the same service. */
#define LOAD_PUSH_SPACING_MS 84
/* Interval of load messages to nodes of any service. */
#define LOAD_PUSH_ALL_MS 3000
#define LOAD_PUSH_PEERS_MAX 8
#define MILLI 1000.0
/* With less of the byte budget available, only compact messages are sent. */
#define BUDGET_GOSSIP_FRACTION 0.5
/* After a pause of this process, no request starts for this long. */
#define REJOIN_DELAY_MS 2000

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents);
static void send_message_(void *ctx, const char *address, unsigned int proc,
			  peer_message_t *m, bool compact);
static void on_member_changed_(void *ctx, const member_t *m,
			       member_state_t before);
static void on_host_list_(void *arg, const host_entry_t *hosts, size_t count);

static const member_ops_t member_ops = { send_message_, on_member_changed_ };

bool peers_start(control_t *c)
{
	const settings_t *s = c->settings;
	member_self_t self = {
		.name = s->name->str,
		.data_centre = s->data_centre->str,
		.region = s->region->str,
		.peer = s->peer_listen->str,
		.callers = s->caller_listen->str,
		.operators = s->operator_listen->str,
		.incarnation = c->incarnation,
	};

	c->socket = peer_socket_open(s->peer_listen->str);
	if (c->socket < 0) {
		LOG_EVENT(LOG_ERR, "peers.listen",
			  F_STR("address", s->peer_listen->str),
			  F_STR("error", g_strerror(errno)));
		return false;
	}
	ev_io_init(&c->socket_io, on_readable_, c->socket, EV_READ);
	c->socket_io.data = c;
	ev_io_start(c->task.loop, &c->socket_io);
	members_init(&c->members, &self, (guint32)c->incarnation, &member_ops,
		     c, clock_now());
	for (guint i = 0; i < s->peer_seeds->len; i++)
		members_add_seed(&c->members, s->peer_seeds->pdata[i]);
	c->host_list = (host_list_client_t){ .ops = &host_list_http_ops,
					     .http = &c->http,
					     .url = s->host_list_url->str };
	return true;
}

void peers_stop(control_t *c)
{
	ev_io_stop(c->task.loop, &c->socket_io);
	close(c->socket);
	members_finish(&c->members);
	g_free(c->host_list.etag);
}

uint32_t peers_gossip_stamp(void)
{
	return (uint32_t)(clock_wall() / STAMP_UNIT_MS);
}

/* In a small fleet each node gets all loads from their owners directly. */
static bool probes_carry_loads_(const control_t *c)
{
	return c->sched.nodes->len > LOAD_PUSH_PEERS_MAX + 1;
}

/*
 * Membership messages may overdraw the budget: without them, live nodes would
 * be declared dead.
 */
static bool ignores_budget_(unsigned int proc)
{
	return proc != PEER_LOADS && proc != PEER_LOAN;
}

static void send_message_(void *ctx, const char *address, unsigned int proc,
			  peer_message_t *m, bool compact)
{
	control_t *c = ctx;
	peer_sender_t sender = { c->socket, c->settings->peer_key, &c->budget };
	peer_update_t updates[PEER_UPDATES_MAX];
	peer_fact_t facts[PEER_FACTS_MAX];
	peer_load_t loads[PEER_LOADS_MAX];
	peer_message_t full = *m;

	compact = compact || !byte_budget_has_fraction(&c->budget, clock_now(),
						       BUDGET_GOSSIP_FRACTION);
	members_fill_message(&c->members, &full, updates, facts, compact);
	full.sent = (u_quad_t)clock_wall();
	full.loads.loads_val = loads;
	if (proc == PEER_LOADS || (!compact && probes_carry_loads_(c)))
		full.loads.loads_len = sched_fill_loads(
			&c->sched, clock_now(), peers_gossip_stamp(), loads,
			PEER_LOADS_MAX, compact);
	peer_socket_send(&sender, address, proc, &full, ignores_budget_(proc));
}

const char *peers_random(control_t *c)
{
	const member_t *m = members_random_peer(&c->members);

	return m ? m->peer : NULL;
}

size_t peers_send_crashes(control_t *c, const char *to,
			  const peer_crash_report_t *r)
{
	peer_sender_t sender = { c->socket, c->settings->peer_key, &c->budget };

	return peer_socket_send_crashes(&sender, to, r);
}

static void apply_loans_(control_t *c, mstime_t now, const peer_message_t *m)
{
	mstime_t wall = clock_wall();

	for (u_int i = 0; i < m->loans.loans_len; i++) {
		const peer_loan_t *l = &m->loans.loans_val[i];
		mstime_t left = (mstime_t)l->expires - wall;

		if (left > 0)
			sched_apply_loan(&c->sched, now, l, left);
	}
}

static void on_message_(void *ctx, unsigned int proc, const peer_message_t *m,
			const char *from)
{
	control_t *c = ctx;
	mstime_t now = clock_now();

	/* Loads that were queued in the socket during a pause are outdated. */
	peers_check_pause(c, now);
	for (u_int i = 0; i < m->loads.loads_len; i++)
		sched_apply_load(&c->sched, now, &m->loads.loads_val[i]);
	apply_loans_(c, now, m);
	members_receive(&c->members, now, from, proc, m);
}

static void on_crashes_(void *ctx, const peer_crash_report_t *r,
			const char *from)
{
	chat_quarantine_receive(ctx, r, from);
}

static const peer_socket_ops_t socket_ops = { on_message_, on_crashes_ };

static void on_readable_(struct ev_loop *loop, ev_io *w, int revents)
{
	control_t *c = w->data;

	(void)loop;
	(void)revents;
	peer_socket_receive(c->socket, c->settings->peer_key, &socket_ops, c);
}

static void on_member_changed_(void *ctx, const member_t *m,
			       member_state_t before)
{
	control_t *c = ctx;

	member_log_change(m, before);
	c->roster_changed = true;
}

void peers_publish_roster(control_t *c, mstime_t now)
{
	GPtrArray *nodes = g_ptr_array_new_with_free_func(sched_node_free);
	roster_t *roster = roster_new();
	message_t *m = message_new(MSG_ROSTER);
	GHashTableIter iter;
	gpointer value;

	c->roster_changed = false;
	g_hash_table_iter_init(&iter, c->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *member = value;

		roster_add(roster, member->name, member->callers,
			   member->state != MEMBER_DEAD);
		if (member_is_usable(member))
			g_ptr_array_add(nodes,
					sched_node_new(member->name,
						       member->data_centre,
						       member->region));
	}
	counter_set(GAUGE_MEMBERS_LIVE, nodes->len);
	m->roster = roster;
	relay_post(c->relay, m);
	sched_set_nodes(&c->sched, now, nodes);
	/* Poll newly owned upstreams at once. */
	c->next_poll = now;
}

/* Sends own loads to the next nodes of a list, LOAD_PUSH_PEERS_MAX at most. */
static void push_loads_to_(control_t *c, mstime_t now, const GPtrArray *nodes)
{
	guint all = nodes->len;

	for (guint i = 0; i < MIN(all, LOAD_PUSH_PEERS_MAX); i++) {
		const sched_node_t *n =
			nodes->pdata[c->load_push_cursor++ % all];
		const member_t *member = members_find(&c->members, n->name);
		peer_message_t m = { .seq = ++c->members.seq };

		if (!member || member == c->members.self ||
		    !byte_budget_has_fraction(&c->budget, now,
					      BUDGET_GOSSIP_FRACTION))
			continue;
		send_message_(c, member->peer, PEER_LOADS, &m, true);
	}
}

/*
 * Sends own loads, as far as the budget allows: often, when they changed, to
 * the nodes whose upstreams belong to the same services and so count towards
 * the same mean load; every LOAD_PUSH_ALL_MS to others.
 */
static void push_loads_(control_t *c, mstime_t now)
{
	const GPtrArray *co_owners = c->sched.co_owners;
	uint64_t digest;

	if (now >= c->next_load_push) {
		c->next_load_push =
			now + LOAD_PUSH_SPACING_MS *
				      MIN(co_owners->len, LOAD_PUSH_PEERS_MAX);
		digest = sched_own_loads_digest(&c->sched, now);
		if (digest != c->pushed_loads_digest)
			push_loads_to_(c, now, co_owners);
		c->pushed_loads_digest = digest;
	}
	if (now >= c->next_load_push_all) {
		c->next_load_push_all = now + LOAD_PUSH_ALL_MS;
		if (c->sched.owned_count)
			push_loads_to_(c, now, c->sched.nodes);
	}
}

/*
 * Other nodes may have taken over the upstreams of this one during the pause.
 * It rejoins: it starts no requests and owns no upstream until the others know
 * of it again.
 */
void peers_check_pause(control_t *c, mstime_t now)
{
	if (!members_check_pause(&c->members, now))
		return;
	LOG_EVENT(LOG_WARNING, "node.paused",
		  F_INT("hold_ms", REJOIN_DELAY_MS));
	sched_pause(&c->sched, now + REJOIN_DELAY_MS);
	quarantine_gossip_ask(&c->crash_gossip, now);
	control_rejoin(c, now + REJOIN_DELAY_MS);
}

void peers_tick(control_t *c, mstime_t now)
{
	bool isolated;

	peers_check_pause(c, now);
	members_set_applied(&c->members, c->config.applied);
	members_tick(&c->members, now);
	push_loads_(c, now);
	isolated = members_is_isolated(&c->members, now);
	if (isolated != c->isolated) {
		c->isolated = isolated;
		c->roster_changed = true;
		LOG_EVENT(LOG_WARNING, "node.isolated",
			  F_INT("isolated", isolated));
	}
	/* An isolated node must not take over upstreams. */
	if (c->roster_changed && !isolated)
		peers_publish_roster(c, now);
	if (now < c->next_host_list_fetch)
		return;
	c->next_host_list_fetch = now + HOST_LIST_INTERVAL_MS;
	c->host_list.ops->fetch(&c->host_list, on_host_list_, c);
}

static void on_host_list_(void *arg, const host_entry_t *hosts, size_t count)
{
	control_t *c = arg;

	if (!hosts) {
		if (!c->host_list.etag)
			c->next_host_list_fetch =
				clock_now() + HOST_LIST_RETRY_MS;
		return;
	}
	members_clear_seeds(&c->members);
	for (guint i = 0; i < c->settings->peer_seeds->len; i++)
		members_add_seed(&c->members,
				 c->settings->peer_seeds->pdata[i]);
	for (size_t i = 0; i < count; i++)
		members_add_seed(&c->members, hosts[i].peer);
}

void peers_send_loan(control_t *c, const char *node, const power_loan_t *loan)
{
	const member_t *member = members_find(&c->members, node);
	peer_loan_t wire = {
		.donor = loan->donor,
		.borrower = loan->borrower,
		.milliwatts = (u_int)(loan->watts * MILLI),
		.expires =
			(u_quad_t)(clock_wall() + loan->expires - clock_now()),
	};
	peer_message_t m = { .seq = ++c->members.seq };

	if (!member)
		return;
	m.loans.loans_len = 1;
	m.loans.loans_val = &wire;
	send_message_(c, member->peer, PEER_LOAN, &m, true);
}
