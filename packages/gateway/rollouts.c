#include "private/rollouts.h"

#include <assert.h>
#include <kcf/counter.h>
#include <kcf/logline.h>
#include <string.h>

/* Evidence goes out this often, and at once after a bad answer. */
#define EVIDENCE_MS 200
/* Evidence of the old version alone is less urgent. */
#define EVIDENCE_OLD_MS 400
/* The deciding node repeats the state this often; more seldom in large fleets,
 * where each state takes one datagram to each node.
 */
#define STATE_MS 200
#define STATE_MS_PER_NODE 1
/* A final state is repeated this often until some time after the duration. */
#define FINAL_STATE_MS 1000
#define FINAL_REPEATS 3
#define FINAL_TELL_MS 5000
/* Nodes that learn of a revert tell this many others. */
#define REVERT_FORWARDS 3
/* Evidence also goes to the node that decides next. */
#define EVIDENCE_NODES 2
/* Time without a state after which another node's is followed, and after which
 * this node decides if it has the lowest rank.
 */
#define SILENCE_MS 800
#define TAKE_OVER_MS 600
/* Evidence of a live node is older than this: it may not follow. */
#define FOLLOW_MAX_MS 1200
/* Nodes whose open requests still count. */
#define OPEN_MAX_MS 2500
/* A node that cannot learn an earlier state begins after this time; others
 * would have told it.
 */
#define UNKNOWN_MAX_MS 2500
/* Pause after a call to the log that failed. */
#define RETRY_MS 250
#define RETRY_MAX_MS 2000
/* Nodes of the next ranks read and write for one that the log turns away. */
#define STAND_INS 3
#define STAND_IN_MS 400
/* The deciding node has written that the order is in progress by then. */
#define UNRECORDED_MS 1000
/* An order that is read late is taken to have used up at most this part of its
 * duration.
 */
#define LATE_FRACTION 0.3
/* Old upstreams are avoided for this long after `completed`; they stop. */
#define COMPLETED_MS 10000
#define SHARE_PARTS 1000000.0
#define HASH_TO_FRACTION (1.0 / 9007199254740992.0)

typedef struct entry {
	rollouts_t *owner;
	rollout_order_t order;
	uint64_t id;
	uint64_t offset;  /* of the order, or of its last repetition */
	uint64_t began;	  /* offset of the order that its counts are of */
	uint32_t version; /* key of the new one */
	uint32_t barred;  /* key of one that an earlier order was about, or 0 */
	bool withdrawn;
	rollout_t rollout;
	mstime_t applied_at;
	mstime_t final_at;
	rollout_tally_t own;
	bool own_bad; /* a bad answer was not sent yet */
	bool own_new; /* anything of the new version was not */
	mstime_t evidence_at;
	rollout_evidence_t evidence;
	rollout_pace_t paces[ROLLOUT_ROUTES_MAX];
	guint pace_count;
	bool deciding;
	mstime_t heard_at; /* of the deciding node, 0 before */
	mstime_t state_at;
	int final_sent;
	rollout_phase_t logged_phase;
	double logged_share;
	/* the record */
	http_call_t *call;
	bool read; /* the end of the log below is known */
	uint64_t end;
	bool in_progress_recorded;
	mstime_t unrecorded_since; /* the deciding node lacks the log, or 0 */
	bool stands_in; /* this node has called the log in its place */
	int failures;	/* in a row */
	bool recorded;	/* the final state is */
	rollout_phase_t writing;
	bool wrote; /* this node wrote the final state, so it tells of it */
	mstime_t call_at; /* not before, after a failure */
	mstime_t wanted_at;
} entry_t;

static void entry_free_(gpointer p)
{
	entry_t *e = p;

	if (e->call)
		e->owner->ops->cancel(e->owner->ctx, e->call);
	rollout_evidence_finish(&e->evidence);
	g_free(e);
}

void rollouts_init(rollouts_t *r, const rollouts_ops_t *ops, void *ctx,
		   const rollout_bounds_t *bounds)
{
	assert(r && ops && bounds);
	*r = (rollouts_t){ .ops = ops, .ctx = ctx, .bounds = *bounds };
	r->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      entry_free_);
}

void rollouts_finish(rollouts_t *r)
{
	assert(r);
	g_hash_table_destroy(r->by_service);
}

void rollouts_set_self(rollouts_t *r, uint32_t key, uint64_t incarnation)
{
	assert(r);
	r->own_key = key;
	r->incarnation = incarnation;
}

bool rollouts_any(const rollouts_t *r)
{
	return g_hash_table_size(r->by_service) > 0;
}

static bool is_final_(const entry_t *e)
{
	return e->rollout.phase == ROLLOUT_COMPLETED ||
	       e->rollout.phase == ROLLOUT_REVERTED;
}

static uint64_t order_id_(const rollout_order_t *o)
{
	uint64_t id = str_hash64(str_of(o->service), 0);

	id = str_hash64(str_of(o->to), id);
	return str_hash64((str_t){ (const char *)&o->duration_ms,
				   sizeof(o->duration_ms) },
			  id);
}

static entry_t *find_(const rollouts_t *r, const char *service)
{
	return g_hash_table_lookup(r->by_service, service);
}

static entry_t *find_id_(const rollouts_t *r, uint64_t id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *e = value;

		if (e->id == id && !e->withdrawn)
			return e;
	}
	return NULL;
}

/* Writes the line of a step with the evidence that it is taken on. */
static void log_step_(entry_t *e, mstime_t now)
{
	const rollout_t *o = &e->rollout;
	rollout_counts_t all[ROLLOUT_SIDE_COUNT] = { 0 };
	rollout_tally_t sum;

	if (e->logged_phase == o->phase && e->logged_share == o->share)
		return;
	e->logged_phase = o->phase;
	e->logged_share = o->share;
	rollout_evidence_sum(&e->evidence, 0, &sum);
	for (guint i = 0; i < sum.route_count; i++) {
		for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++) {
			const rollout_counts_t *c = &sum.routes[i].sides[s];

			all[s].answered += c->answered;
			all[s].failed += c->failed;
			all[s].slow += c->slow;
		}
	}
	counter_add(COUNTER_ROLLOUT_STEPS, 1);
	LOG_EVENT(LOG_NOTICE, "rollout.step",
		  F_STR("service", e->order.service), F_STR("to", e->order.to),
		  F_STR("phase", rollout_phase_string[o->phase]),
		  F_STR("reason", o->reason), F_REAL("share", o->share),
		  F_INT("held", o->held), F_INT("deciding", e->deciding),
		  F_INT("seq", o->seq), F_INT("age_ms", now - o->started_at),
		  F_INT("old_sent", sum.requests[ROLLOUT_OLD]),
		  F_INT("old_answered", all[ROLLOUT_OLD].answered),
		  F_INT("old_failed", all[ROLLOUT_OLD].failed),
		  F_INT("old_slow", all[ROLLOUT_OLD].slow),
		  F_INT("new_sent", sum.requests[ROLLOUT_NEW]),
		  F_INT("new_answered", all[ROLLOUT_NEW].answered),
		  F_INT("new_failed", all[ROLLOUT_NEW].failed),
		  F_INT("new_slow", all[ROLLOUT_NEW].slow),
		  F_INT("open_once", sum.open_once),
		  F_INT("open_streams", sum.open_streams));
}

static void log_phase_(entry_t *e, mstime_t now)
{
	if (is_final_(e) && !e->final_at) {
		e->final_at = now;
		counter_add(e->rollout.phase == ROLLOUT_COMPLETED
				    ? COUNTER_ROLLOUTS_COMPLETED
				    : COUNTER_ROLLOUTS_REVERTED,
			    1);
	}
	if (e->rollout.phase != ROLLOUT_COMPLETING && !is_final_(e))
		e->wanted_at = 0;
	else if (!e->wanted_at)
		e->wanted_at = now;
	log_step_(e, now);
}

/* The final state of a record replaces what was decided or heard. */
static void settle_(entry_t *e, rollout_phase_t phase, mstime_t now)
{
	e->recorded = true;
	if (e->rollout.phase != phase)
		e->final_at = 0;
	rollout_settle(&e->rollout, phase, now);
	e->final_sent = 0;
	log_phase_(e, now);
}

static entry_t *entry_new_(rollouts_t *r, const rollout_order_t *order,
			   uint64_t offset, mstime_t now)
{
	entry_t *e = g_new0(entry_t, 1);
	uint64_t hash;

	e->owner = r;
	e->order = *order;
	e->id = order_id_(order);
	e->offset = offset;
	e->began = offset;
	e->version = versions_key(order->service, order->to);
	e->applied_at = now;
	hash = str_hash64(
		(str_t){ (const char *)&r->own_key, sizeof(r->own_key) },
		e->id);
	rollout_evidence_init(&e->evidence);
	rollout_init(&e->rollout, &r->bounds, order->duration_ms,
		     (double)(hash >> 11) * HASH_TO_FRACTION, now);
	return e;
}

/* A version whose order is withdrawn or replaced before its end is unproven. */
static uint32_t barred_by_(const entry_t *e)
{
	return e->rollout.phase == ROLLOUT_COMPLETED ? e->barred : e->version;
}

static void withdraw_(entry_t *e, mstime_t now)
{
	if (e->withdrawn)
		return;
	LOG_EVENT(LOG_NOTICE, "rollout.withdrawn",
		  F_STR("service", e->order.service), F_STR("to", e->order.to),
		  F_STR("phase", rollout_phase_string[e->rollout.phase]));
	e->withdrawn = true;
	if (e->call)
		e->owner->ops->cancel(e->owner->ctx, e->call);
	e->call = NULL;
	if (!is_final_(e))
		rollout_settle(&e->rollout, ROLLOUT_REVERTED, now);
	e->recorded = true;
	e->final_at = now;
}

/* An order that was not read at once may be older. */
static void assume_start_(entry_t *e, const rollouts_news_t *news, mstime_t now)
{
	mstime_t part =
		(mstime_t)(LATE_FRACTION * (double)e->order.duration_ms);

	if (news->prompt)
		return;
	e->rollout.start_assumed = true;
	e->rollout.started_at = MAX(news->written_after, now - part);
}

void rollouts_apply_order(rollouts_t *r, const rollout_order_t *order,
			  const rollouts_news_t *news, mstime_t now)
{
	entry_t *known = find_(r, order->service);
	entry_t *e;

	assert(r && order && news);
	if (r->bounds.share <= 0)
		return;
	if (!*order->to) {
		if (known)
			withdraw_(known, now);
		return;
	}
	if (known && known->id == order_id_(order) && !known->withdrawn &&
	    (!is_final_(known) || news->offset <= known->offset)) {
		/* A repetition begins nothing anew. */
		known->offset = MAX(known->offset, news->offset);
		return;
	}
	e = entry_new_(r, order, news->offset, now);
	assume_start_(e, news, now);
	if (known && barred_by_(known) != e->version)
		e->barred = barred_by_(known);
	if (news->fresh)
		rollout_begin(&e->rollout, now);
	LOG_EVENT(LOG_NOTICE, "rollout.order", F_STR("service", order->service),
		  F_STR("to", order->to),
		  F_INT("duration_ms", order->duration_ms),
		  F_INT("offset", (int64_t)news->offset),
		  F_INT("fresh", news->fresh),
		  F_INT("age_ms", now - e->rollout.started_at),
		  F_INT("replaces", known != NULL));
	g_hash_table_replace(r->by_service, g_strdup(order->service), e);
}

static void apply_status_(entry_t *e, const rollout_status_t *s, mstime_t now)
{
	if (strcmp(s->to, e->order.to) != 0 || s->order < e->offset)
		return;
	if (s->phase == ROLLOUT_COMPLETED || s->phase == ROLLOUT_REVERTED) {
		if (!e->recorded || e->rollout.phase != s->phase)
			settle_(e, s->phase, now);
		return;
	}
	e->in_progress_recorded = true;
	e->rollout.floor[ROLLOUT_NEW] =
		MAX(e->rollout.floor[ROLLOUT_NEW], s->requests);
	if (s->order != e->offset || !e->rollout.start_assumed)
		return;
	e->rollout.start_assumed = false;
	e->rollout.started_at =
		now - MAX(0, e->owner->ops->wall(e->owner->ctx) - s->began_at);
}

void rollouts_apply_status(rollouts_t *r, const feed_record_t *record,
			   mstime_t now)
{
	rollout_status_t status;
	entry_t *e;

	if (!rollouts_any(r) || !r->ops->parse_status(r->ctx, record, &status))
		return;
	e = find_(r, status.service);
	if (e && !e->withdrawn)
		apply_status_(e, &status, now);
}

/* calls to the log */

static void fail_call_(entry_t *e, const char *what, int err, mstime_t now)
{
	e->read = false;
	e->failures++;
	e->call_at = now + MIN(RETRY_MAX_MS, RETRY_MS * e->failures);
	if (is_final_(e) || e->rollout.phase == ROLLOUT_COMPLETING)
		e->call_at = now + RETRY_MS;
	LOG_EVENT(LOG_WARNING, "rollout.log", F_STR("call", what),
		  F_STR("error", feed_err_string[-err]),
		  F_STR("service", e->order.service));
}

static void on_read_(void *arg, int err, const feed_batch_t *batch)
{
	entry_t *e = arg;
	mstime_t now = e->owner->ops->now(e->owner->ctx);

	e->call = NULL;
	if (err) {
		fail_call_(e, "read", err, now);
		return;
	}
	e->read = true;
	e->end = batch->next_offset;
	for (size_t i = 0; i < batch->count; i++)
		rollouts_apply_status(e->owner, &batch->records[i], now);
	if (e->rollout.phase == ROLLOUT_UNKNOWN && e->deciding)
		rollout_begin(&e->rollout, now);
}

static void on_written_(void *arg, int err, const feed_batch_t *batch)
{
	entry_t *e = arg;
	mstime_t now = e->owner->ops->now(e->owner->ctx);

	e->call = NULL;
	LOG_EVENT(err ? LOG_WARNING : LOG_NOTICE, "rollout.recorded",
		  F_STR("error", feed_err_string[-err]),
		  F_STR("service", e->order.service), F_STR("to", e->order.to),
		  F_STR("phase", rollout_phase_string[e->writing]),
		  F_INT("end", (int64_t)e->end));
	if (err) {
		fail_call_(e, "write", err, now);
		/* What came first may be a final state. */
		if (err == FEED_EMOVED)
			e->call_at = now;
		return;
	}
	e->end = batch->next_offset;
	e->failures = 0;
	e->stands_in = !e->deciding;
	if (e->writing == ROLLOUT_OBSERVE) {
		e->in_progress_recorded = true;
		e->unrecorded_since = 0;
	} else {
		e->wrote = true;
		settle_(e, e->writing, now);
	}
}

/* The state that the record lacks, ROLLOUT_UNKNOWN for none. */
static rollout_phase_t unrecorded_(const entry_t *e)
{
	if (e->withdrawn || e->recorded)
		return ROLLOUT_UNKNOWN;
	switch (e->rollout.phase) {
	case ROLLOUT_UNKNOWN:
		return ROLLOUT_UNKNOWN;
	case ROLLOUT_COMPLETING:
	case ROLLOUT_COMPLETED:
		return ROLLOUT_COMPLETED;
	case ROLLOUT_REVERTED:
		return ROLLOUT_REVERTED;
	default:
		return e->in_progress_recorded ? ROLLOUT_UNKNOWN
					       : ROLLOUT_OBSERVE;
	}
}

/* Whether this node is the one that calls the log now. */
static bool may_call_(const entry_t *e, mstime_t since, mstime_t now)
{
	int rank = e->owner->ops->own_rank(e->owner->ctx);

	if (rank < 0 || rank > STAND_INS || e->call || now < e->call_at)
		return false;
	return e->deciding || (e->stands_in && since) ||
	       (rank && since && now - since >= rank * STAND_IN_MS);
}

static void record_(entry_t *e, mstime_t now)
{
	const rollouts_ops_t *ops = e->owner->ops;
	rollout_phase_t phase = unrecorded_(e);
	bool unknown = e->rollout.phase == ROLLOUT_UNKNOWN && !e->withdrawn;
	mstime_t since;
	rollout_status_t status = {
		.phase = phase,
		.order = e->offset,
		.began_at = ops->wall(e->owner->ctx) -
			    (now - e->rollout.started_at),
		.requests = e->rollout.floor[ROLLOUT_NEW],
		.reason = e->rollout.reason,
	};

	if (!unknown && phase == ROLLOUT_UNKNOWN)
		return;
	since = phase == ROLLOUT_OBSERVE ? e->unrecorded_since : e->wanted_at;
	if (!may_call_(e, unknown ? e->applied_at : since, now))
		return;
	if (unknown && e->read)
		return;
	if (!e->read) {
		counter_add(COUNTER_STORE_NEWEST_CALLS, 1);
		e->call = ops->read_status(e->owner->ctx, on_read_, e);
		return;
	}
	g_strlcpy(status.service, e->order.service, sizeof(status.service));
	g_strlcpy(status.to, e->order.to, sizeof(status.to));
	e->writing = phase;
	counter_add(COUNTER_STORE_APPEND_CALLS, 1);
	e->call = ops->write_status(e->owner->ctx, &status, e->end, on_written_,
				    e);
}

/* messages */

static void fill_counts_(peer_rollout_counts_t *to, const rollout_counts_t *c)
{
	*to = (peer_rollout_counts_t){ c->answered, c->failed,	  c->timed,
				       c->slow,	    c->upstreams, c->first_ms,
				       c->whole_ms };
}

static void read_counts_(rollout_counts_t *to, const peer_rollout_counts_t *c)
{
	*to = (rollout_counts_t){ c->answered, c->failed,    c->timed,
				  c->slow,     c->upstreams, c->first_ms,
				  c->whole_ms };
}

/* Half of a lease passes without a state only if some were lost. */
static bool wants_state_(const entry_t *e, mstime_t now)
{
	return !is_final_(e) &&
	       e->rollout.lease_until - now < rollout_lease_ms(&e->rollout) / 2;
}

static void send_evidence_(entry_t *e, mstime_t now)
{
	const rollouts_ops_t *ops = e->owner->ops;
	peer_rollout_route_t routes[ROLLOUT_ROUTES_MAX];
	peer_rollout_evidence_t m = {
		.sent = (u_quad_t)e->owner->ops->wall(e->owner->ctx),
		.order = e->id,
		.offset = e->began,
		.node = e->owner->own_key,
		.incarnation = e->owner->incarnation,
		.age_ms = e->rollout.start_assumed
				  ? 0
				  : (u_int)(now - e->rollout.started_at),
		.seq = e->rollout.seq,
		.wants_state = wants_state_(e, now),
		.open_once = e->own.open_once,
		.open_streams = e->own.open_streams,
		.routes = { e->own.route_count, routes },
	};
	rollouts_peer_t peer;

	for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++)
		m.requests[s] = e->own.requests[s];
	for (guint i = 0; i < e->own.route_count; i++) {
		routes[i].route = e->own.routes[i].route;
		for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++)
			fill_counts_(&routes[i].sides[s],
				     &e->own.routes[i].sides[s]);
	}
	for (guint rank = 0; rank < EVIDENCE_NODES; rank++) {
		if (ops->node_at(e->owner->ctx, rank, &peer) && !peer.self)
			ops->send_evidence(e->owner->ctx, peer.address, &m);
	}
	e->own_bad = false;
	e->own_new = false;
	e->evidence_at = now;
}

static void put_own_(entry_t *e, mstime_t now)
{
	rollout_node_t node = { .key = e->owner->own_key,
				.incarnation = e->owner->incarnation,
				.tally = e->own,
				.heard_at = now,
				.seq = e->rollout.seq };

	rollout_evidence_put(&e->evidence, &node);
}

static void fill_state_(const entry_t *e, peer_rollout_state_t *m,
			peer_rollout_pace_t *paces, mstime_t now)
{
	const rollout_t *o = &e->rollout;

	*m = (peer_rollout_state_t){
		.sent = (u_quad_t)e->owner->ops->wall(e->owner->ctx),
		.order = e->id,
		.offset = e->offset,
		.node = e->owner->own_key,
		.seq = o->seq,
		.phase = (u_int)o->phase,
		.recorded =
			is_final_(e) ? e->recorded : e->in_progress_recorded,
		.share_ppm = o->held ? 0 : (u_int)(o->share * SHARE_PARTS),
		.age_ms = (u_int)(now - o->started_at),
		.paces = { e->pace_count, paces },
	};
	for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++)
		m->requests[s] = o->floor[s];
	for (guint i = 0; i < e->pace_count; i++)
		paces[i] = (peer_rollout_pace_t){ e->paces[i].route,
						  e->paces[i].first_ms,
						  e->paces[i].whole_ms };
}

static void send_state_to_(const entry_t *e, const char *to, mstime_t now)
{
	peer_rollout_pace_t paces[ROLLOUT_ROUTES_MAX];
	peer_rollout_state_t m;

	if (e->rollout.phase == ROLLOUT_UNKNOWN)
		return;
	fill_state_(e, &m, paces, now);
	e->owner->ops->send_state(e->owner->ctx, to, &m);
}

void rollouts_receive_evidence(rollouts_t *r, const peer_rollout_evidence_t *m,
			       const char *from, mstime_t now)
{
	entry_t *e = find_id_(r, m->order);
	rollout_node_t node = { .key = m->node,
				.incarnation = m->incarnation,
				.heard_at = now,
				.seq = m->seq };

	/* The counts may be of an earlier order for the same version. */
	if (!e || m->offset < e->began)
		return;
	for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++)
		node.tally.requests[s] = m->requests[s];
	node.tally.open_once = m->open_once;
	node.tally.open_streams = m->open_streams;
	node.tally.route_count = MIN(m->routes.routes_len, ROLLOUT_ROUTES_MAX);
	for (guint i = 0; i < node.tally.route_count; i++) {
		const peer_rollout_route_t *route = &m->routes.routes_val[i];

		node.tally.routes[i].route = route->route;
		for (int s = 0; s < ROLLOUT_SIDE_COUNT; s++)
			read_counts_(&node.tally.routes[i].sides[s],
				     &route->sides[s]);
	}
	rollout_evidence_put(&e->evidence, &node);
	/* Another node has decided meanwhile, whose steps are not of this one.
	 */
	if (e->deciding && m->seq > e->rollout.seq)
		e->rollout.seq = m->seq + 1;
	/* Another node may have read the order earlier. */
	if (!is_final_(e) && m->age_ms) {
		mstime_t at = now - (mstime_t)m->age_ms;

		e->rollout.started_at =
			e->rollout.start_assumed
				? at
				: MIN(e->rollout.started_at, at);
		e->rollout.start_assumed = false;
	}
	if (m->wants_state && (e->deciding || is_final_(e)))
		send_state_to_(e, from, now);
}

/* Sends the state to up to count nodes, from a rank on. */
static void send_state_(entry_t *e, guint from, guint count, mstime_t now)
{
	const rollouts_ops_t *ops = e->owner->ops;
	guint live = ops->live_count(e->owner->ctx);
	peer_rollout_pace_t paces[ROLLOUT_ROUTES_MAX];
	peer_rollout_state_t m;
	rollouts_peer_t peer;

	fill_state_(e, &m, paces, now);
	for (guint i = 0; i < MIN(count, live); i++) {
		if (ops->node_at(e->owner->ctx, (from + i) % live, &peer) &&
		    !peer.self)
			ops->send_state(e->owner->ctx, peer.address, &m);
	}
	e->state_at = now;
}

/* Whether a state is to be followed: of the deciding node, or of a later one.
 */
static bool leads_(const entry_t *e, const peer_rollout_state_t *m,
		   mstime_t now)
{
	rollouts_peer_t first;

	/* Another node has decided while this one stood still. */
	if (e->deciding)
		return m->seq > e->rollout.seq;
	if (e->owner->ops->node_at(e->owner->ctx, 0, &first) &&
	    first.key == m->node)
		return true;
	return now - e->heard_at > SILENCE_MS;
}

static void follow_(entry_t *e, const peer_rollout_state_t *m, mstime_t now)
{
	rollout_state_t state = {
		.phase = (rollout_phase_t)m->phase,
		.share = m->share_ppm / SHARE_PARTS,
		.seq = m->seq,
		.age_ms = m->age_ms,
		.requests = { m->requests[0], m->requests[1] },
	};

	e->heard_at = now;
	e->in_progress_recorded = e->in_progress_recorded || m->recorded;
	if (e->in_progress_recorded)
		e->unrecorded_since = 0;
	else if (!e->unrecorded_since)
		e->unrecorded_since = now + UNRECORDED_MS;
	e->pace_count = MIN(m->paces.paces_len, ROLLOUT_ROUTES_MAX);
	for (guint i = 0; i < e->pace_count; i++) {
		const peer_rollout_pace_t *p = &m->paces.paces_val[i];

		e->paces[i] =
			(rollout_pace_t){ p->route, p->first_ms, p->whole_ms };
	}
	if (rollout_adopt(&e->rollout, &state, now))
		log_phase_(e, now);
}

void rollouts_receive_state(rollouts_t *r, const peer_rollout_state_t *m,
			    mstime_t now)
{
	entry_t *e = find_id_(r, m->order);
	bool final =
		m->phase == ROLLOUT_COMPLETED || m->phase == ROLLOUT_REVERTED;
	bool was_final = e && is_final_(e);

	if (!e || m->phase >= ROLLOUT_PHASE_COUNT)
		return;
	/* The state is of an earlier order for the same version. */
	if (final && m->offset < e->offset)
		return;
	if (final && m->recorded) {
		if (!e->recorded || e->rollout.phase != m->phase)
			settle_(e, (rollout_phase_t)m->phase, now);
	} else if (m->phase == ROLLOUT_REVERTED ||
		   (m->phase != ROLLOUT_COMPLETED && leads_(e, m, now))) {
		follow_(e, m, now);
	}
	/* The deciding node may not reach all. */
	if (final && !was_final && is_final_(e))
		send_state_(e, r->own_key, REVERT_FORWARDS, now);
}

/* the deciding node */

static bool all_follow_(const entry_t *e, mstime_t now)
{
	const rollouts_ops_t *ops = e->owner->ops;
	guint live = ops->live_count(e->owner->ctx);
	rollouts_peer_t peer;

	for (guint rank = 0; rank < live; rank++) {
		const rollout_node_t *node;

		if (!ops->node_at(e->owner->ctx, rank, &peer))
			continue;
		node = g_hash_table_lookup(e->evidence.nodes,
					   GUINT_TO_POINTER(peer.key));
		if (!node || now - node->heard_at > FOLLOW_MAX_MS ||
		    node->seq != e->rollout.seq)
			return false;
	}
	return !ops->is_recent(e->owner->ctx);
}

static void update_paces_(entry_t *e, const rollout_tally_t *sum)
{
	e->pace_count = sum->route_count;
	for (guint i = 0; i < sum->route_count; i++)
		e->paces[i] = rollout_pace_of(&sum->routes[i]);
}

/* Whether this node decides now. */
static bool check_deciding_(entry_t *e, mstime_t now)
{
	if (e->owner->ops->own_rank(e->owner->ctx) != 0) {
		if (e->deciding)
			LOG_EVENT(LOG_NOTICE, "rollout.yielded",
				  F_STR("service", e->order.service));
		e->deciding = false;
		return false;
	}
	if (e->deciding)
		return true;
	if (e->heard_at && now - e->heard_at < TAKE_OVER_MS)
		return false;
	e->deciding = true;
	if (e->heard_at)
		rollout_take_over(&e->rollout, now);
	LOG_EVENT(LOG_NOTICE, "rollout.deciding",
		  F_STR("service", e->order.service),
		  F_STR("phase", rollout_phase_string[e->rollout.phase]));
	return true;
}

static void decide_(entry_t *e, mstime_t now)
{
	rollout_view_t view = { 0 };
	bool writes_completed = e->call && e->writing == ROLLOUT_COMPLETED;
	mstime_t interval =
		STATE_MS +
		STATE_MS_PER_NODE *
			(mstime_t)e->owner->ops->live_count(e->owner->ctx);

	if (e->rollout.phase == ROLLOUT_UNKNOWN &&
	    now - e->applied_at >= UNKNOWN_MAX_MS)
		rollout_begin(&e->rollout, now);
	put_own_(e, now);
	rollout_evidence_sum(&e->evidence, now - OPEN_MAX_MS, &view.sum);
	update_paces_(e, &view.sum);
	e->owner->ops->view_upstreams(e->owner->ctx, e->order.service,
				      e->version, &view);
	view.all_follow = all_follow_(e, now);
	/* Until it is known whether the old version still serves. */
	if (!writes_completed && rollout_decide(&e->rollout, &view, now)) {
		log_phase_(e, now);
		e->state_at = 0;
	}
	if (e->rollout.phase == ROLLOUT_UNKNOWN)
		return;
	e->rollout.lease_until = now + rollout_lease_ms(&e->rollout);
	if (!is_final_(e) && now - e->state_at >= interval)
		send_state_(e, 0, G_MAXUINT, now);
}

static void tell_final_(entry_t *e, mstime_t now)
{
	mstime_t until =
		MAX(e->final_at, e->rollout.started_at + e->order.duration_ms) +
		FINAL_TELL_MS;

	if (e->final_sent < FINAL_REPEATS ||
	    (now < until && now - e->state_at >= FINAL_STATE_MS)) {
		e->final_sent++;
		send_state_(e, 0, G_MAXUINT, now);
	}
}

static void check_lease_(entry_t *e, mstime_t now)
{
	if (is_final_(e) || !e->rollout.lease_until ||
	    now < e->rollout.lease_until)
		return;
	e->rollout.lease_until = 0;
	counter_add(COUNTER_ROLLOUT_LEASES_LOST, 1);
	LOG_EVENT(LOG_NOTICE, "rollout.lease_lost",
		  F_STR("service", e->order.service),
		  F_STR("phase", rollout_phase_string[e->rollout.phase]),
		  F_REAL("share", e->rollout.share),
		  F_INT("heard_ms", now - e->heard_at));
}

static mstime_t evidence_ms_(const entry_t *e)
{
	bool urgent = e->own_new || e->rollout.share >= 1 ||
		      e->rollout.phase == ROLLOUT_UNKNOWN;

	return urgent ? EVIDENCE_MS : EVIDENCE_OLD_MS;
}

static void tick_(entry_t *e, mstime_t now)
{
	if (e->withdrawn)
		return;
	e->owner->ops->count_open(e->owner->ctx, e->order.service, e->version,
				  &e->own);
	if (check_deciding_(e, now))
		decide_(e, now);
	else
		check_lease_(e, now);
	record_(e, now);
	/* Also a node that wrote in place of the deciding one. */
	if (is_final_(e) && (e->deciding || e->wrote))
		tell_final_(e, now);
	if (!e->deciding && !(is_final_(e) && e->recorded) &&
	    (e->own_bad || now - e->evidence_at >= evidence_ms_(e)))
		send_evidence_(e, now);
	counter_set(GAUGE_ROLLOUT_SHARE,
		    (int64_t)((e->rollout.held ? 0 : e->rollout.share) *
			      SHARE_PARTS));
}

void rollouts_tick(rollouts_t *r, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	assert(r);
	g_hash_table_iter_init(&iter, r->by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_(value, now);
}

/* requests */

static double position_(const entry_t *e, uint64_t affinity)
{
	uint64_t hash;

	if (!affinity)
		return -1;
	hash = str_hash64((str_t){ (const char *)&affinity, sizeof(affinity) },
			  e->id);
	return (double)(hash >> 11) * HASH_TO_FRACTION;
}

static bool is_over_(const entry_t *e, mstime_t now)
{
	return e->rollout.phase == ROLLOUT_COMPLETED &&
	       now - e->final_at >= COMPLETED_MS;
}

rollouts_way_t rollouts_direct(rollouts_t *r, balance_request_t *request,
			       bool met_new, mstime_t now)
{
	entry_t *e = rollouts_any(r) ? find_(r, request->service) : NULL;
	rollout_side_t side;

	if (!e || is_over_(e, now))
		return ROLLOUTS_NONE;
	if (request->version) {
		if (request->version == e->barred ||
		    (request->version == e->version &&
		     e->rollout.phase == ROLLOUT_REVERTED))
			return ROLLOUTS_BARRED;
		return ROLLOUTS_NONE;
	}
	side = rollout_choose(&e->rollout, position_(e, request->affinity),
			      now);
	if (met_new && e->rollout.phase != ROLLOUT_COMPLETING &&
	    e->rollout.phase != ROLLOUT_COMPLETED)
		side = ROLLOUT_OLD;
	request->avoid_version = e->version;
	request->barred_version = e->barred;
	request->avoid_others = side == ROLLOUT_NEW;
	return side == ROLLOUT_NEW ? ROLLOUTS_NEW : ROLLOUTS_OLD;
}

bool rollouts_relax(rollouts_t *r, balance_request_t *request,
		    rollouts_way_t way, bool old_known)
{
	const entry_t *e = find_(r, request->service);

	if (!e)
		return false;
	if (way == ROLLOUTS_NEW) {
		request->avoid_others = false;
		if (e->rollout.phase == ROLLOUT_COMPLETED)
			request->avoid_version = 0;
		return true;
	}
	if (way != ROLLOUTS_OLD || old_known ||
	    e->rollout.phase == ROLLOUT_REVERTED)
		return false;
	request->avoid_version = 0;
	return true;
}

bool rollouts_count_request(rollouts_t *r, const char *service,
			    uint32_t version, rollout_side_t *side)
{
	entry_t *e = rollouts_any(r) ? find_(r, service) : NULL;

	if (!e)
		return false;
	*side = version == e->version ? ROLLOUT_NEW : ROLLOUT_OLD;
	rollout_count_request(&e->own, *side);
	e->own_new = e->own_new || *side == ROLLOUT_NEW;
	return true;
}

static const rollout_pace_t *pace_(const entry_t *e, uint32_t route)
{
	static const rollout_pace_t unknown = { 0 };

	for (guint i = 0; i < e->pace_count; i++) {
		if (e->paces[i].route == route)
			return &e->paces[i];
	}
	return &unknown;
}

void rollouts_count_answer(rollouts_t *r, const char *service,
			   const rollout_answer_t *a)
{
	entry_t *e = find_(r, service);
	bool slow;

	if (!e)
		return;
	slow = rollout_is_slow(pace_(e, a->route), a);
	rollout_count_answer(&e->own, a, slow);
	e->own_new = e->own_new || a->side == ROLLOUT_NEW;
	if (a->side == ROLLOUT_NEW && (a->failed || slow)) {
		e->own_bad = true;
		counter_add(COUNTER_ROLLOUT_BAD_ANSWERS, 1);
	}
}

bool rollouts_is_slow(rollouts_t *r, const char *service,
		      const rollout_answer_t *a)
{
	const entry_t *e = find_(r, service);

	return e && rollout_is_slow(pace_(e, a->route), a);
}

/* operators */

static json_t *side_json_(const rollout_tally_t *sum, rollout_side_t side)
{
	rollout_counts_t all = { 0 };

	for (guint i = 0; i < sum->route_count; i++) {
		const rollout_counts_t *c = &sum->routes[i].sides[side];

		all.answered += c->answered;
		all.failed += c->failed;
		all.timed += c->timed;
		all.slow += c->slow;
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "requests",
			 (json_int_t)sum->requests[side], "answered",
			 (json_int_t)all.answered, "failed",
			 (json_int_t)all.failed, "timed", (json_int_t)all.timed,
			 "slow", (json_int_t)all.slow);
}

static json_t *entry_json_(entry_t *e, mstime_t now)
{
	const rollout_t *o = &e->rollout;
	rollout_tally_t sum;

	put_own_(e, now);
	rollout_evidence_sum(&e->evidence, 0, &sum);
	return json_pack(
		"{s:s,s:s,s:I,s:I,s:s,s:s,s:f,s:b,s:b,s:b,s:b,s:o,s:o}",
		"service", e->order.service, "to", e->order.to, "duration_ms",
		(json_int_t)e->order.duration_ms, "age_ms",
		(json_int_t)(now - o->started_at), "phase",
		rollout_phase_string[o->phase], "reason", o->reason, "share",
		o->held ? 0.0 : o->share, "deciding", e->deciding, "leased",
		is_final_(e) || now < o->lease_until, "recorded", e->recorded,
		"withdrawn", e->withdrawn, "old", side_json_(&sum, ROLLOUT_OLD),
		"new", side_json_(&sum, ROLLOUT_NEW));
}

json_t *rollouts_json(rollouts_t *r, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	assert(r);
	g_hash_table_iter_init(&iter, r->by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, entry_json_(value, now));
	return json_pack("{s:o}", "items", list);
}
