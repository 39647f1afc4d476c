#include <kcf/member.h>

#include <kcf/logline.h>

#include <assert.h>
#include <string.h>

#define INDIRECT_PROBE_PEERS 3
/* Sends of an update for each doubling of the fleet's size. */
#define GOSSIP_SENDS_PER_DOUBLING 3
#define JOIN_PROBE_INTERVAL_MS 250
#define SEED_PROBE_INTERVAL_MS 2000
/*
 * Enough to reach nearly all nodes of a large fleet in three or four steps.
 * Compact messages to all of them use half of the byte budget of a second.
 */
#define ANNOUNCE_PEERS 8
/* Updates of fewer members than this are left to the probes. */
#define BACKLOG_MIN_MEMBERS (2 * PEER_UPDATES_MAX)
#define RELAY_TIMEOUT_MS 1000
/* Updates in a compact message. */
#define COMPACT_UPDATES_MAX 3
/*
 * First character of a ping's target that requests the members with the next
 * higher keys; the hexadecimal key follows.
 */
#define PULL_TARGET_PREFIX '?'
#define PULL_TARGET_MAX 16
/* Time without a reply until a pull is sent again, and until it ends. */
#define PULL_RETRY_MS 300
#define PULL_TIMEOUT_MS 1000
/* Minimum interval between announcements of other nodes' updates. */
#define ANNOUNCE_INTERVAL_MS 1000
/* Deaths within this time count towards isolation. */
#define ISOLATION_WINDOW_MS 15000

const char *const member_state_string[] = {
	"joining", "live", "suspect", "leaving", "dead",
};

static member_t *member_new_(const peer_update_t *u);
static void member_free_(gpointer p);
static void set_state_(members_t *ms, mstime_t now, member_t *m,
		       member_state_t state);
static void apply_update_(members_t *ms, mstime_t now, const peer_update_t *u);
static void apply_facts_(members_t *ms, const peer_message_t *m);
static void refute_(members_t *ms, uint64_t incarnation);
static void start_probe_(members_t *ms, mstime_t now);
static void check_probe_(members_t *ms, mstime_t now);
static void send_indirect_probes_(members_t *ms);
static const char *next_probe_target_(members_t *ms);
static int gossip_send_count_(const members_t *ms);
static void expire_(members_t *ms, mstime_t now);
static void probe_seed_(members_t *ms);
static void continue_pull_(members_t *ms, mstime_t now);
static int random_peers_(members_t *ms, const char *except, member_t **chosen,
			 int max);
static void announce_pending_(members_t *ms, mstime_t now);
static void add_to_probe_queue_(members_t *ms, const member_t *m);

uint32_t member_key(const char *name)
{
	return (uint32_t)str_hash64(str_of(name), 0);
}

void member_log_change(const member_t *m, member_state_t before)
{
	LOG_EVENT(LOG_NOTICE, "member.changed", F_STR("member", m->name),
		  F_STR("state", member_state_string[m->state]),
		  F_STR("before", member_state_string[before]),
		  F_INT("incarnation", (int64_t)m->incarnation));
}

void members_init(members_t *ms, const member_self_t *self, guint32 seed,
		  const member_ops_t *ops, void *ctx, mstime_t now)
{
	peer_update_t u = {
		.name = (char *)self->name,
		.data_centre = (char *)self->data_centre,
		.region = (char *)self->region,
		.peer = (char *)self->peer,
		.callers = (char *)self->callers,
		.operators = (char *)self->operators,
		.incarnation = self->incarnation,
		.state = MEMBER_JOINING,
	};

	assert(ms && self && ops);
	*ms = (members_t){ .ops = ops, .ctx = ctx };
	ms->rand = g_rand_new_with_seed(seed);
	ms->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    member_free_);
	ms->seeds = g_ptr_array_new_with_free_func(g_free);
	ms->probe_queue = g_ptr_array_new_with_free_func(g_free);
	ms->relays = g_array_new(FALSE, FALSE, sizeof(member_relay_t));
	ms->self = member_new_(&u);
	ms->self->since = now;
	ms->self->received_at = now;
	ms->last_tick = now;
	ms->last_received_at = now;
	g_hash_table_insert(ms->by_name, ms->self->name, ms->self);
	ms->self->gossip_left = gossip_send_count_(ms);
}

void members_finish(members_t *ms)
{
	for (guint i = 0; i < ms->relays->len; i++)
		g_free(g_array_index(ms->relays, member_relay_t, i).origin);
	g_array_unref(ms->relays);
	g_ptr_array_unref(ms->probe_queue);
	g_ptr_array_unref(ms->seeds);
	g_hash_table_destroy(ms->by_name);
	g_free(ms->probe.target);
	g_rand_free(ms->rand);
}

void members_add_seed(members_t *ms, const char *address)
{
	if (!strcmp(address, ms->self->peer))
		return;
	for (guint i = 0; i < ms->seeds->len; i++) {
		if (!strcmp(ms->seeds->pdata[i], address))
			return;
	}
	g_ptr_array_add(ms->seeds, g_strdup(address));
}

void members_clear_seeds(members_t *ms)
{
	g_ptr_array_set_size(ms->seeds, 0);
}

member_t *members_find(const members_t *ms, const char *name)
{
	return g_hash_table_lookup(ms->by_name, name);
}

const member_t *members_find_by_address(const members_t *ms,
					const char *address)
{
	GHashTableIter iter;
	gpointer value;
	const member_t *found = NULL;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		/* A replaced host's address may be reused by another one. */
		if (!strcmp(m->peer, address) &&
		    (!found || found->state == MEMBER_DEAD))
			found = m;
	}
	return found;
}

bool member_is_usable(const member_t *m)
{
	return m->state == MEMBER_LIVE || m->state == MEMBER_SUSPECT;
}

guint members_count(const members_t *ms, member_state_t state)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((member_t *)value)->state == state;
	return n;
}

bool members_is_isolated(const members_t *ms, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint answering = 0;
	guint lost = 0;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (m == ms->self)
			continue;
		if (m->state == MEMBER_LIVE)
			answering++;
		else if (m->state == MEMBER_SUSPECT)
			lost++;
		else if (m->state == MEMBER_DEAD &&
			 now - m->since < ISOLATION_WINDOW_MS)
			lost++;
	}
	if (lost + answering > 1 &&
	    now - ms->last_received_at > MEMBER_ISOLATED_AFTER_MS)
		return true;
	/* With a single peer, either side may be the isolated one. */
	return lost > 1 && lost >= answering + 1;
}

mstime_t members_lease_end(const members_t *ms)
{
	if (members_count(ms, MEMBER_LIVE) + members_count(ms, MEMBER_SUSPECT) <
	    2)
		return MSTIME_NEVER;
	return ms->last_received_at + MEMBER_PROBE_MS + MEMBER_SUSPECT_MS;
}

uint64_t members_highest_applied(const members_t *ms)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t highest = ms->previous_applied;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (m->state != MEMBER_DEAD)
			highest = MAX(highest, m->applied);
	}
	return highest;
}

void members_set_applied(members_t *ms, uint64_t applied)
{
	ms->self->applied = MAX(ms->self->applied, applied);
}

void members_suspect(members_t *ms, mstime_t now, const char *name)
{
	member_t *m = members_find(ms, name);
	peer_message_t ping = { .seq = ++ms->seq, .target = "" };

	if (!m || m == ms->self || m->state != MEMBER_LIVE)
		return;
	set_state_(ms, now, m, MEMBER_SUSPECT);
	m->expires = now + MEMBER_REFUSED_SUSPECT_MS;
	ms->ops->send(ms->ctx, m->peer, PEER_PING, &ping, true);
}

void members_set_state(members_t *ms, mstime_t now, member_state_t state)
{
	if (ms->self->state == state)
		return;
	ms->self->incarnation++;
	set_state_(ms, now, ms->self, state);
}

static void announce_self_(members_t *ms, bool compact)
{
	member_t *peers[ANNOUNCE_PEERS];
	int count = random_peers_(ms, NULL, peers, ANNOUNCE_PEERS);

	for (int i = 0; i < count; i++) {
		peer_message_t m = { .seq = ++ms->seq, .target = "" };

		ms->self->gossip_left = MAX(ms->self->gossip_left, 1);
		ms->ops->send(ms->ctx, peers[i]->peer, PEER_PING, &m, compact);
	}
}

void members_announce(members_t *ms)
{
	announce_self_(ms, false);
}

static mstime_t probe_interval_(const members_t *ms, mstime_t now)
{
	if (ms->self->state == MEMBER_JOINING)
		return JOIN_PROBE_INTERVAL_MS;
	if (now < ms->fast_until)
		return MEMBER_FAST_PROBE_MS;
	return MEMBER_PROBE_MS;
}

bool members_check_pause(members_t *ms, mstime_t now)
{
	if (now - ms->last_tick <= MEMBER_PAUSE_THRESHOLD_MS)
		return false;
	/* A probe that timed out during the pause proves no failure. */
	g_clear_pointer(&ms->probe.target, g_free);
	ms->paused_at = now;
	ms->last_tick = now;
	return true;
}

void members_tick(members_t *ms, mstime_t now)
{
	members_check_pause(ms, now);
	ms->last_tick = now;
	ms->self->received_at = now;
	check_probe_(ms, now);
	expire_(ms, now);
	announce_pending_(ms, now);
	continue_pull_(ms, now);
	if (now < ms->next_probe)
		return;
	ms->next_probe = now + probe_interval_(ms, now);
	start_probe_(ms, now);
}

/* Requests the next page of members. */
static void send_pull_request_(members_t *ms, mstime_t now)
{
	char target[PULL_TARGET_MAX];
	peer_message_t m = { .seq = ms->pull_seq, .target = target };

	ms->pull_retry_at = now + PULL_RETRY_MS;
	g_snprintf(target, sizeof(target), "%c%08x", PULL_TARGET_PREFIX,
		   ms->pull_after);
	ms->ops->send(ms->ctx, ms->pull_address, PEER_PING, &m, true);
}

/*
 * Starts to read all members of a peer in the order of their keys, a page per
 * request, when one of its facts has the key of a node that is unknown here. A
 * peer whose own update was missed is asked for that alone.
 */
static void start_pull_(members_t *ms, mstime_t now, const char *from)
{
	if (ms->pull_active || !(ms->has_unknown_key || ms->sender_outdated))
		return;
	/* No member follows the highest key: the reply has the sender only. */
	ms->pull_after = ms->has_unknown_key ? 0 : UINT32_MAX;
	ms->has_unknown_key = false;
	ms->pull_active = true;
	ms->pull_replied_at = now;
	ms->pull_seq = ++ms->seq;
	g_strlcpy(ms->pull_address, from, sizeof(ms->pull_address));
	send_pull_request_(ms, now);
}

/* Continues a pull after the last member of the reply. */
static void apply_pull_reply_(members_t *ms, mstime_t now,
			      const peer_message_t *m)
{
	const peer_update_t *last;

	if (!ms->pull_active || m->seq != ms->pull_seq ||
	    !m->updates.updates_len)
		return;
	last = &m->updates.updates_val[m->updates.updates_len - 1];
	ms->pull_after = member_key(last->name);
	ms->pull_seq = ++ms->seq;
	ms->pull_replied_at = now;
	ms->pull_retry_at = now;
	/* A page that is not full is the last one. */
	if (m->updates.updates_len < PEER_UPDATES_MAX)
		ms->pull_active = false;
}

static void continue_pull_(members_t *ms, mstime_t now)
{
	if (now - ms->pull_replied_at > PULL_TIMEOUT_MS)
		ms->pull_active = false;
	if (ms->pull_active && now >= ms->pull_retry_at)
		send_pull_request_(ms, now);
}

void members_receive(members_t *ms, mstime_t now, const char *from,
		     unsigned int proc, const peer_message_t *m)
{
	member_t *sender;
	peer_message_t reply = { .target = "" };

	if (!strcmp(m->from, ms->self->name)) {
		/* Sent by a node of the same name, or by this node itself. */
		return;
	}
	for (u_int i = 0; i < m->updates.updates_len; i++)
		apply_update_(ms, now, &m->updates.updates_val[i]);
	apply_facts_(ms, m);
	sender = members_find(ms, m->from);
	ms->has_unknown_key = ms->has_unknown_key || !sender;
	ms->sender_outdated = sender && m->incarnation > sender->incarnation;
	if (sender) {
		sender->received_at = now;
		if (sender->state == MEMBER_SUSPECT &&
		    m->incarnation >= sender->incarnation)
			set_state_(ms, now, sender, MEMBER_LIVE);
		/* Lets a live node refute that it is declared dead. */
		if (sender->state == MEMBER_DEAD &&
		    m->incarnation <= sender->incarnation)
			sender->gossip_left = MAX(sender->gossip_left, 1);
	}
	ms->last_received_at = now;
	start_pull_(ms, now, from);
	switch (proc) {
	case PEER_PING:
		reply.seq = m->seq;
		ms->page_requested = m->target[0] == PULL_TARGET_PREFIX;
		if (ms->page_requested)
			ms->page_after =
				(uint32_t)strtoul(m->target + 1, NULL, 16);
		ms->ops->send(ms->ctx, from, PEER_ACK, &reply,
			      !ms->page_requested);
		ms->page_requested = false;
		break;
	case PEER_PING_REQ: {
		member_t *target = members_find(ms, m->target);
		member_relay_t relay = { .seq = ++ms->seq,
					 .origin_seq = m->seq,
					 .expires = now + RELAY_TIMEOUT_MS };

		if (!target)
			break;
		relay.origin = g_strdup(from);
		g_array_append_val(ms->relays, relay);
		reply.seq = relay.seq;
		ms->ops->send(ms->ctx, target->peer, PEER_PING, &reply, true);
		break;
	}
	case PEER_ACK:
		apply_pull_reply_(ms, now, m);
		if (ms->probe.target && m->seq == ms->probe.seq) {
			g_clear_pointer(&ms->probe.target, g_free);
			if (now < ms->fast_until)
				ms->next_probe =
					MIN(ms->next_probe,
					    now + MEMBER_FAST_NEXT_PROBE_MS);
		}
		for (guint i = 0; i < ms->relays->len; i++) {
			member_relay_t *r =
				&g_array_index(ms->relays, member_relay_t, i);

			if (r->seq != m->seq)
				continue;
			reply.seq = r->origin_seq;
			ms->ops->send(ms->ctx, r->origin, PEER_ACK, &reply,
				      false);
			g_free(r->origin);
			g_array_remove_index_fast(ms->relays, i);
			break;
		}
		break;
	default:
		break;
	}
	announce_pending_(ms, now);
}

static void write_update_(peer_update_t *u, const member_t *m)
{
	*u = (peer_update_t){
		.name = m->name,
		.data_centre = m->data_centre,
		.region = m->region,
		.peer = m->peer,
		.callers = m->callers,
		.operators = m->operators,
		.incarnation = m->incarnation,
		.state = m->state,
	};
}

/* Returns the member with the lowest key above a key, or NULL. */
static const member_t *next_by_key_(const members_t *ms, uint32_t after)
{
	GHashTableIter iter;
	gpointer value;
	const member_t *next = NULL;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (m->key > after && m->state != MEMBER_DEAD &&
		    (!next || m->key < next->key))
			next = m;
	}
	return next;
}

/* Writes this node and the members that follow the requested key. */
static u_int fill_page_(members_t *ms, peer_update_t *updates)
{
	const member_t *m = next_by_key_(ms, ms->page_after);
	u_int n = 0;

	write_update_(&updates[n++], ms->self);
	for (; m && n < PEER_UPDATES_MAX; m = next_by_key_(ms, m->key))
		write_update_(&updates[n++], m);
	return n;
}

/*
 * Returns the member, not yet among the updates, whose update has the most
 * sends left; NULL if no update is left to send.
 */
static member_t *next_to_gossip_(const members_t *ms,
				 const peer_update_t *updates, u_int n)
{
	GHashTableIter iter;
	gpointer value;
	member_t *next = NULL;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_t *m = value;
		bool included = false;

		for (u_int i = 0; i < n && !included; i++)
			included = updates[i].name == m->name;
		if (!included &&
		    m->gossip_left > (next ? next->gossip_left : 0))
			next = m;
	}
	return next;
}

/*
 * Pending updates come first. One random member is added, so that updates which
 * a node has missed reach it in time.
 */
static u_int fill_updates_(members_t *ms, peer_update_t *updates, bool compact)
{
	u_int max = compact ? COMPACT_UPDATES_MAX : PEER_UPDATES_MAX - 1;
	member_t *m;
	u_int n = 0;

	if (ms->page_requested)
		return fill_page_(ms, updates);
	while (n < max && (m = next_to_gossip_(ms, updates, n))) {
		m->gossip_left--;
		write_update_(&updates[n++], m);
	}
	m = compact ? NULL : members_random_peer(ms);
	if (m)
		write_update_(&updates[n++], m);
	return n;
}

static u_int fill_facts_(members_t *ms, peer_fact_t *facts, bool compact)
{
	GList *all = g_hash_table_get_values(ms->by_name);
	guint size = g_hash_table_size(ms->by_name);
	guint room = compact ? 0 : MIN(size, PEER_FACTS_MAX / 2);
	u_int n = 0;

	facts[n++] = (peer_fact_t){ ms->self->key, ms->self->applied };
	for (guint i = 0; i < room; i++) {
		const member_t *m;

		m = g_list_nth_data(all, (ms->fact_cursor + i) % size);
		if (m != ms->self && m->state != MEMBER_DEAD)
			facts[n++] = (peer_fact_t){ m->key, m->applied };
	}
	ms->fact_cursor += room;
	g_list_free(all);
	return n;
}

void members_fill_message(members_t *ms, peer_message_t *m,
			  peer_update_t *updates, peer_fact_t *facts,
			  bool compact)
{
	m->from = ms->self->name;
	m->incarnation = ms->self->incarnation;
	if (!m->target)
		m->target = "";
	m->updates.updates_val = updates;
	m->updates.updates_len = fill_updates_(ms, updates, compact);
	m->facts.facts_val = facts;
	m->facts.facts_len = fill_facts_(ms, facts, compact);
}

static member_t *member_new_(const peer_update_t *u)
{
	member_t *m = g_new0(member_t, 1);

	m->name = g_strdup(u->name);
	m->data_centre = g_strdup(u->data_centre);
	m->region = g_strdup(u->region);
	m->peer = g_strdup(u->peer);
	m->callers = g_strdup(u->callers);
	m->operators = g_strdup(u->operators);
	m->incarnation = u->incarnation;
	m->state = (member_state_t)u->state;
	m->key = member_key(u->name);
	return m;
}

static void member_free_(gpointer p)
{
	member_t *m = p;

	g_free(m->name);
	g_free(m->data_centre);
	g_free(m->region);
	g_free(m->peer);
	g_free(m->callers);
	g_free(m->operators);
	g_free(m);
}

static int gossip_send_count_(const members_t *ms)
{
	return GOSSIP_SENDS_PER_DOUBLING *
	       (int)g_bit_storage(g_hash_table_size(ms->by_name) + 1);
}

static void set_state_(members_t *ms, mstime_t now, member_t *m,
		       member_state_t state)
{
	member_state_t before = m->state;

	if (before == state)
		return;
	m->state = state;
	m->since = now;
	m->expires = now + MEMBER_SUSPECT_MS;
	m->gossip_left = gossip_send_count_(ms);
	if (before == MEMBER_DEAD && m != ms->self)
		add_to_probe_queue_(ms, m);
	ms->ops->state_changed(ms->ctx, m, before);
}

static void replace_string_(char **slot, const char *text)
{
	if (!strcmp(*slot, text))
		return;
	g_free(*slot);
	*slot = g_strdup(text);
}

/* A higher incarnation wins, then the state that is later in the enum. */
static bool is_newer_(const member_t *m, const peer_update_t *u)
{
	if (u->incarnation != m->incarnation)
		return u->incarnation > m->incarnation;
	return u->state > (u_int)m->state;
}

static void apply_update_(members_t *ms, mstime_t now, const peer_update_t *u)
{
	member_t *m = members_find(ms, u->name);

	if (u->state >= MEMBER_STATE_COUNT || !u->name[0])
		return;
	if (m == ms->self) {
		if (u->incarnation >= m->incarnation &&
		    u->state != (u_int)m->state)
			refute_(ms, u->incarnation);
		return;
	}
	if (!m) {
		m = member_new_(u);
		m->since = now;
		m->received_at = now;
		m->expires = now + MEMBER_SUSPECT_MS;
		g_hash_table_insert(ms->by_name, m->name, m);
		/*
		 * Remembered against late updates. Not forwarded, as nodes
		 * would revive each other's memory of it without end.
		 */
		if (m->state == MEMBER_DEAD)
			return;
		m->gossip_left = gossip_send_count_(ms);
		/* Waiting for the next round takes up to 1 s per member. */
		add_to_probe_queue_(ms, m);
		ms->ops->state_changed(ms->ctx, m, MEMBER_DEAD);
		return;
	}
	if (!is_newer_(m, u)) {
		/* The sender has missed the update: it is sent again. */
		if (u->state == MEMBER_LIVE && m->state != MEMBER_LIVE)
			m->gossip_left = gossip_send_count_(ms);
		return;
	}
	if (u->incarnation > m->incarnation) {
		replace_string_(&m->data_centre, u->data_centre);
		replace_string_(&m->region, u->region);
		replace_string_(&m->peer, u->peer);
		replace_string_(&m->callers, u->callers);
		replace_string_(&m->operators, u->operators);
	}
	m->incarnation = u->incarnation;
	/* Forwarded at once: a leaving node must not be sent callers. */
	ms->announce_pending =
		ms->announce_pending || u->state == MEMBER_LEAVING;
	set_state_(ms, now, m, (member_state_t)u->state);
	m->gossip_left = gossip_send_count_(ms);
}

static void refute_(members_t *ms, uint64_t incarnation)
{
	ms->self->incarnation = incarnation + 1;
	ms->self->gossip_left = gossip_send_count_(ms);
}

static void apply_facts_(members_t *ms, const peer_message_t *m)
{
	GHashTableIter iter;
	gpointer value;

	for (u_int i = 0; i < m->facts.facts_len; i++) {
		const peer_fact_t *f = &m->facts.facts_val[i];
		bool found = false;

		g_hash_table_iter_init(&iter, ms->by_name);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			member_t *known = value;

			if (known->key != f->node)
				continue;
			found = true;
			/* Peers remember the offset of an earlier run. */
			if (known == ms->self)
				ms->previous_applied =
					MAX(ms->previous_applied, f->applied);
			else
				known->applied =
					MAX(known->applied, f->applied);
			break;
		}
		ms->has_unknown_key = ms->has_unknown_key || !found;
	}
}

static bool is_probed_(const members_t *ms, const member_t *m)
{
	return m != ms->self && m->state != MEMBER_DEAD;
}

/* Draws up to max distinct members that are not dead; returns their count. */
static int random_peers_(members_t *ms, const char *except, member_t **chosen,
			 int max)
{
	GHashTableIter iter;
	gpointer value;
	gint32 seen = 0;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_t *m = value;
		gint32 at = seen;

		if (!is_probed_(ms, m) || (except && !strcmp(m->name, except)))
			continue;
		if (seen >= max)
			at = g_rand_int_range(ms->rand, 0, seen + 1);
		if (at < max)
			chosen[at] = m;
		seen++;
	}
	return MIN(seen, max);
}

member_t *members_random_peer(members_t *ms)
{
	member_t *m;

	return random_peers_(ms, NULL, &m, 1) ? m : NULL;
}

/* Inserts a member at a random position. */
static void add_to_probe_queue_(members_t *ms, const member_t *m)
{
	guint last = ms->probe_queue->len;
	guint at = (guint)g_rand_int_range(ms->rand, 0, (gint32)last + 1);
	gpointer swap;

	g_ptr_array_add(ms->probe_queue, g_strdup(m->name));
	swap = ms->probe_queue->pdata[at];
	ms->probe_queue->pdata[at] = ms->probe_queue->pdata[last];
	ms->probe_queue->pdata[last] = swap;
}

/* Starts a round: queues every member, in random order. */
static void refill_probe_queue_(members_t *ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_probed_(ms, value))
			add_to_probe_queue_(ms, value);
	}
}

static const char *pop_probe_queue_(members_t *ms)
{
	while (ms->probe_queue->len) {
		guint last = ms->probe_queue->len - 1;
		const member_t *m =
			members_find(ms, ms->probe_queue->pdata[last]);

		g_ptr_array_remove_index(ms->probe_queue, last);
		if (m && is_probed_(ms, m))
			return m->name;
	}
	return NULL;
}

static const char *next_probe_target_(members_t *ms)
{
	const char *name = pop_probe_queue_(ms);

	if (name)
		return name;
	refill_probe_queue_(ms);
	return pop_probe_queue_(ms);
}

static bool is_member_address_(const members_t *ms, const char *address)
{
	const member_t *m = members_find_by_address(ms, address);

	return m && m->state != MEMBER_DEAD;
}

/*
 * Probes one seed that is no member's address, which joins new nodes and the
 * parts of a split fleet.
 */
static void probe_seed_(members_t *ms)
{
	guint start;

	if (!ms->seeds->len)
		return;
	start = (guint)g_rand_int_range(ms->rand, 0, (gint32)ms->seeds->len);
	for (guint i = 0; i < ms->seeds->len; i++) {
		const char *address =
			ms->seeds->pdata[(start + i) % ms->seeds->len];
		peer_message_t m = { .seq = ++ms->seq };

		if (is_member_address_(ms, address))
			continue;
		/* The seed must receive this node's own update. */
		ms->self->gossip_left = MAX(ms->self->gossip_left, 1);
		ms->ops->send(ms->ctx, address, PEER_PING, &m, true);
		return;
	}
}

static mstime_t seed_interval_(const members_t *ms)
{
	return ms->self->state == MEMBER_JOINING ? JOIN_PROBE_INTERVAL_MS
						 : SEED_PROBE_INTERVAL_MS;
}

static void start_probe_(members_t *ms, mstime_t now)
{
	const char *name;
	peer_message_t m = { 0 };
	bool fast;

	if (now >= ms->next_seed) {
		ms->next_seed = now + seed_interval_(ms);
		probe_seed_(ms);
	}
	if (ms->probe.target)
		return;
	name = next_probe_target_(ms);
	if (!name)
		return;
	ms->probe.target = g_strdup(name);
	ms->probe.seq = ++ms->seq;
	fast = now < ms->fast_until;
	ms->probe.indirect_at = now + (fast ? MEMBER_FAST_ACK_TIMEOUT_MS
					    : MEMBER_ACK_TIMEOUT_MS);
	ms->probe.fails_at =
		now + (fast ? MEMBER_FAST_PROBE_MS : MEMBER_PROBE_MS) - 1;
	ms->probe.indirect_sent = false;
	m.seq = ms->probe.seq;
	ms->ops->send(ms->ctx, members_find(ms, name)->peer, PEER_PING, &m,
		      false);
}

static void send_indirect_probes_(members_t *ms)
{
	member_t *peers[INDIRECT_PROBE_PEERS];
	int count = random_peers_(ms, ms->probe.target, peers,
				  INDIRECT_PROBE_PEERS);

	for (int i = 0; i < count; i++) {
		peer_message_t m = { .seq = ms->probe.seq,
				     .target = ms->probe.target };

		ms->ops->send(ms->ctx, peers[i]->peer, PEER_PING_REQ, &m, true);
	}
	ms->probe.indirect_sent = true;
}

static void check_probe_(members_t *ms, mstime_t now)
{
	member_t *m;

	if (!ms->probe.target)
		return;
	if (!ms->probe.indirect_sent && now >= ms->probe.indirect_at)
		send_indirect_probes_(ms);
	if (now < ms->probe.fails_at)
		return;
	ms->fast_until = now + MEMBER_FAST_PERIOD_MS;
	m = members_find(ms, ms->probe.target);
	if (m && m->state == MEMBER_LIVE)
		set_state_(ms, now, m, MEMBER_SUSPECT);
	else if (m && m->state != MEMBER_SUSPECT && is_probed_(ms, m))
		set_state_(ms, now, m, MEMBER_DEAD);
	g_clear_pointer(&ms->probe.target, g_free);
}

/*
 * Whether at least BACKLOG_MIN_MEMBERS updates have used less than a third of
 * their sends, which is more than probes carry in some seconds. Probes alone
 * spread the updates of many members too slowly.
 */
static bool has_gossip_backlog_(const members_t *ms)
{
	int threshold = gossip_send_count_(ms) * 2 / 3;
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((member_t *)value)->gossip_left > threshold;
	return n >= BACKLOG_MIN_MEMBERS;
}

/*
 * Announces other nodes' deaths and leaves to ANNOUNCE_PEERS peers, twice: one
 * announcement misses one node in e^8, which then sends callers to a node that
 * has left. The second is compact, since all messages of a node share one byte
 * budget, and is skipped in fleets that the first one reaches completely.
 */
static void announce_pending_(members_t *ms, mstime_t now)
{
	bool reached_all = g_hash_table_size(ms->by_name) <= ANNOUNCE_PEERS + 1;
	bool first;

	if (now < ms->next_announce)
		return;
	first = ms->announce_pending || has_gossip_backlog_(ms);
	if (!first && !ms->announce_repeat)
		return;
	ms->next_announce = now + ANNOUNCE_INTERVAL_MS;
	announce_self_(ms, !first);
	ms->announce_repeat = ms->announce_pending && !reached_all;
	ms->announce_pending = false;
}

static void expire_(members_t *ms, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_t *m = value;

		if (m->state == MEMBER_SUSPECT && now >= m->expires) {
			set_state_(ms, now, m, MEMBER_DEAD);
			ms->announce_pending = true;
		}
		if (m->state == MEMBER_DEAD && m != ms->self &&
		    now - m->since > MEMBER_DEAD_RETENTION_MS)
			g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < ms->relays->len;) {
		member_relay_t *r =
			&g_array_index(ms->relays, member_relay_t, i);

		if (now < r->expires) {
			i++;
			continue;
		}
		g_free(r->origin);
		g_array_remove_index_fast(ms->relays, i);
	}
}
