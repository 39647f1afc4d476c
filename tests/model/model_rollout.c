/*
 * Model of a fleet that rolls a version out: messages are lost and delayed, the
 * deciding node or all nodes are killed, the log is silent at the order or does
 * not answer half of the nodes. Runs the gateway's own module at each node.
 *
 * Invariants: a bad version receives no more than half of the limit and is
 * reverted; no request reaches it later than rollback_ms after its 50th bad
 * answer; a good version is completed before the duration ends, with nothing
 * open at the old version that must not be repeated. The log never holds both.
 */
#include "model.h"

#include "../../packages/gateway/private/rollouts.h"
#include <kcf/logline.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>

#define STEP_MS 10
#define TICK_MS 100
#define START 1000000
#define NODES_MAX 300
#define ROUTES 4
#define LOSS 0.1
#define DELAY_MAX_MS 80
#define LOG_DELAY_MAX_MS 400
#define LOG_FAILS 0.1
/* Membership knows that a node is dead within this time. */
#define DEATH_MIN_MS 1000
#define DEATH_MAX_MS 2500
#define DARK_MS 800
#define SILENT_MS 3000
#define PAUSE_MS 3000
/* An order reaches all nodes within this time. */
#define ORDER_MAX_MS 300
#define UPSTREAMS 8
#define SHARE_MEMORY 0.9
#define SERVICE "s"

static const rollout_bounds_t bounds = { 0.1, 50, 5000 };
static const int sizes[] = { 7, 88, 300 };

typedef enum mishap {
	MISHAP_NONE,
	MISHAP_DECIDER,	   /* is killed */
	MISHAP_ALL,	   /* are killed, and start again */
	MISHAP_LOG_SILENT, /* at the order */
	MISHAP_LOG_HALF,   /* of the nodes are turned away */
	MISHAP_PAUSE,	   /* of the deciding node's process */
	MISHAP_COUNT,
} mishap_t;

static const char *const mishap_string[] = { "none",	     "decider killed",
					     "all killed",   "log silent",
					     "log for half", "decider paused" };

/* What becomes of requests of the new version. */
static const struct {
	const char *what;
	bool good;
	double failed;
	double slow;
	int from_ms;
	double from_share;
	bool one_route;
} plights[] = {
	{ "good", true },
	{ "fails at once", .failed = 0.8 },
	{ "fails late", .failed = 0.5, .from_ms = 3000 },
	{ "fails on a route", .failed = 0.8, .one_route = true },
	{ "slow", .slow = 1 },
	{ "slow late", .slow = 0.7, .from_ms = 2600 },
	{ "fails under load", .failed = 0.5, .from_share = 0.2 },
};

typedef struct node {
	rollouts_t rollouts;
	uint32_t key;
	char address[16];
	bool live;
	mstime_t killed_at;
	mstime_t gone_at; /* from the ranking */
	mstime_t paused_until;
	mstime_t back_at; /* in the ranking */
	mstime_t order_at;
	bool ordered;
	guint open_once;
} node_t;

typedef struct event {
	mstime_t at;
	int node; /* that it happens at */
	uint64_t incarnation;
	/* a message */
	const char *from;
	peer_rollout_evidence_t *evidence;
	peer_rollout_state_t *state;
	/* the answer to a request */
	bool answers;
	bool once;
	rollout_answer_t answer;
	mstime_t sent_at;
	/* the answer of the log */
	feed_fn fn;
	void *arg;
	bool writes;
	bool fails;
	uint64_t end;
	rollout_status_t status;
} event_t;

static struct {
	GRand *rand;
	int nodes;
	mishap_t mishap;
	size_t plight;
	double per_s;
	mstime_t duration_ms;
	mstime_t now;
	node_t node[NODES_MAX];
	GPtrArray *events; /* event_t * */
	uint64_t end;	   /* of the log */
	rollout_status_t record;
	mstime_t recorded_at; /* the final state */
	double new_share;     /* of the last requests */
	uint32_t all;
	uint32_t to_new;
	uint32_t bad;
	mstime_t bad_50_at;
	mstime_t last_new_at;
	guint open_at_end;
	bool both;
} m;

static bool draw_(double p)
{
	return g_rand_double(m.rand) < p;
}

static mstime_t delay_(int most)
{
	return m.now + g_rand_int_range(m.rand, 1, most);
}

static event_t *event_(int node, mstime_t at)
{
	event_t *e = g_new0(event_t, 1);

	e->at = at;
	e->node = node;
	e->incarnation = m.node[node].rollouts.incarnation;
	g_ptr_array_add(m.events, e);
	return e;
}

static int index_(void *ctx)
{
	return (int)((node_t *)ctx - m.node);
}

/* ops */

static mstime_t now_(void *ctx)
{
	(void)ctx;
	return m.now;
}

static void cancel_(void *ctx, http_call_t *call)
{
	(void)ctx;
	((event_t *)(void *)call)->fn = NULL;
}

static bool is_ranked_(const node_t *n)
{
	if (m.now < n->back_at)
		return m.now < n->gone_at;
	return n->live || m.now < n->gone_at;
}

static guint live_count_(void *ctx)
{
	guint count = 0;

	(void)ctx;
	for (int i = 0; i < m.nodes; i++)
		count += is_ranked_(&m.node[i]);
	return count;
}

static bool node_at_(void *ctx, guint rank, rollouts_peer_t *out)
{
	for (int i = 0; i < m.nodes; i++) {
		const node_t *n = &m.node[i];

		if (!is_ranked_(n) || rank--)
			continue;
		*out = (rollouts_peer_t){ n->key, n->address, n == ctx };
		return true;
	}
	return false;
}

static int own_rank_(void *ctx)
{
	int rank = 0;

	for (int i = 0; i < index_(ctx); i++)
		rank += is_ranked_(&m.node[i]);
	return rank;
}

static bool is_recent_(void *ctx)
{
	(void)ctx;
	return false;
}

static void send_evidence_(void *ctx, const char *to,
			   const peer_rollout_evidence_t *message)
{
	peer_rollout_evidence_t *copy;
	event_t *e;

	if (draw_(LOSS))
		return;
	copy = g_memdup2(message, sizeof(*message));
	copy->routes.routes_val =
		g_memdup2(message->routes.routes_val,
			  message->routes.routes_len *
				  sizeof(*message->routes.routes_val));
	e = event_(atoi(to), delay_(DELAY_MAX_MS));
	e->evidence = copy;
	e->from = ((node_t *)ctx)->address;
}

static void send_state_(void *ctx, const char *to,
			const peer_rollout_state_t *message)
{
	peer_rollout_state_t *copy;

	(void)ctx;
	if (draw_(LOSS))
		return;
	copy = g_memdup2(message, sizeof(*message));
	copy->paces.paces_val = g_memdup2(
		message->paces.paces_val,
		message->paces.paces_len * sizeof(*message->paces.paces_val));
	event_(atoi(to), delay_(DELAY_MAX_MS))->state = copy;
}

static void view_upstreams_(void *ctx, const char *service, uint32_t version,
			    rollout_view_t *view)
{
	(void)ctx;
	(void)service;
	(void)version;
	view->new_upstreams = UPSTREAMS;
	view->old_slots = 16 * UPSTREAMS;
	view->new_warm_slots = 16 * UPSTREAMS;
}

static void count_open_(void *ctx, const char *service, uint32_t version,
			rollout_tally_t *out)
{
	(void)service;
	(void)version;
	out->open_once = ((node_t *)ctx)->open_once;
}

static event_t *call_log_(void *ctx, feed_fn fn, void *arg)
{
	event_t *e = event_(index_(ctx), delay_(LOG_DELAY_MAX_MS));

	e->fn = fn;
	e->arg = arg;
	e->fails = draw_(LOG_FAILS) ||
		   (m.mishap == MISHAP_LOG_HALF && index_(ctx) % 2 == 0) ||
		   (m.mishap == MISHAP_LOG_SILENT && m.now < START + SILENT_MS);
	return e;
}

static http_call_t *read_status_(void *ctx, feed_fn fn, void *arg)
{
	return (http_call_t *)(void *)call_log_(ctx, fn, arg);
}

static http_call_t *write_status_(void *ctx, const rollout_status_t *status,
				  uint64_t end, feed_fn fn, void *arg)
{
	event_t *e = call_log_(ctx, fn, arg);

	e->writes = true;
	e->status = *status;
	e->end = end;
	return (http_call_t *)(void *)e;
}

static bool parse_status_(void *ctx, const feed_record_t *r,
			  rollout_status_t *out)
{
	(void)ctx;
	memcpy(out, r->data.data, sizeof(*out));
	return true;
}

static const rollouts_ops_t ops = {
	.now = now_,
	.wall = now_,
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

/* the log */

static int write_(const event_t *e)
{
	bool final = e->status.phase != ROLLOUT_OBSERVE;

	if (e->end != m.end)
		return FEED_EMOVED;
	m.end++;
	if (m.recorded_at && (!final || e->status.phase != m.record.phase))
		m.both = true;
	if (final && !m.recorded_at) {
		m.recorded_at = m.now;
		for (int i = 0; i < m.nodes; i++)
			m.open_at_end +=
				m.node[i].live ? m.node[i].open_once : 0;
	}
	m.record = e->status;
	return FEED_OK;
}

static void answer_log_(event_t *e)
{
	feed_record_t record = {
		.data = { (const char *)&m.record, sizeof(m.record) },
		.offset = m.end - 1,
	};
	feed_batch_t batch = { .records = &record,
			       .count = *m.record.to != '\0' };
	int err = e->fails ? FEED_EDOWN : FEED_OK;

	if (!err && e->writes)
		err = write_(e);
	batch.next_offset = m.end;
	e->fn(e->arg, err, &batch);
}

/* requests */

static void send_request_(void)
{
	node_t *n = &m.node[g_rand_int_range(m.rand, 0, m.nodes)];
	balance_request_t request = { .service = SERVICE };
	rollout_side_t side = ROLLOUT_OLD;
	uint32_t route = 1 + (uint32_t)g_rand_int_range(m.rand, 0, ROUTES);
	bool bad;
	int factor;
	event_t *e;

	if (!n->live || m.now < n->paused_until)
		return;
	if (draw_(0.5))
		request.affinity = 1 + g_rand_int(m.rand) % 100;
	if (rollouts_direct(&n->rollouts, &request, false, m.now) ==
	    ROLLOUTS_NEW)
		side = ROLLOUT_NEW;
	m.all++;
	m.new_share = m.new_share * SHARE_MEMORY +
		      (side == ROLLOUT_NEW) * (1 - SHARE_MEMORY);
	bad = side == ROLLOUT_NEW &&
	      m.now - START >= plights[m.plight].from_ms &&
	      m.new_share >= plights[m.plight].from_share &&
	      (!plights[m.plight].one_route || route == 1);
	factor = bad && draw_(plights[m.plight].slow) ? 8 : 1;
	e = event_((int)(n - m.node), 0);
	e->answers = true;
	e->once = side == ROLLOUT_OLD && draw_(0.2);
	n->open_once += e->once;
	e->sent_at = m.now;
	e->answer = (rollout_answer_t){
		.route = route,
		.side = side,
		.upstream = g_rand_int(m.rand),
		.failed = bad && draw_(plights[m.plight].failed),
		.timed = true,
		.first_ms = g_rand_int_range(m.rand, 40, 90) * factor,
		.objective_ms = 500,
	};
	e->answer.whole_ms = e->answer.first_ms +
			     g_rand_int_range(m.rand, 100, 500) * factor;
	e->at = m.now + (e->answer.failed ? 20 : e->answer.whole_ms);
	rollouts_count_request(
		&n->rollouts, SERVICE,
		versions_key(SERVICE, side == ROLLOUT_NEW ? "new" : "old"),
		&side);
	if (side != ROLLOUT_NEW)
		return;
	m.to_new++;
	m.last_new_at = m.now;
	m.bad += e->answer.failed || factor > 1;
	if (m.bad >= 50 && !m.bad_50_at)
		m.bad_50_at = e->at;
}

/* Whether the wait for an answer already shows that it is slow. */
static bool is_overdue_(event_t *e)
{
	rollout_answer_t a = e->answer;

	if (!e->answers || a.failed || a.whole_ms < a.objective_ms ||
	    !m.node[e->node].live)
		return false;
	a.whole_ms = m.now - e->sent_at;
	a.first_ms = MIN(a.first_ms, a.whole_ms);
	if (!rollouts_is_slow(&m.node[e->node].rollouts, SERVICE, &a))
		return false;
	e->answer = a;
	return true;
}

static void handle_(event_t *e)
{
	node_t *n = &m.node[e->node];

	if (!n->live || e->incarnation != n->rollouts.incarnation) {
		if (!e->evidence && !e->state)
			return;
		/* Messages reach the node that has the address. */
		if (!n->live)
			return;
	}
	if (e->evidence)
		rollouts_receive_evidence(&n->rollouts, e->evidence, e->from,
					  m.now);
	else if (e->state)
		rollouts_receive_state(&n->rollouts, e->state, m.now);
	else if (e->answers)
		rollouts_count_answer(&n->rollouts, SERVICE, &e->answer);
	else if (e->fn)
		answer_log_(e);
	n->open_once -= e->once;
}

static void event_free_(event_t *e)
{
	if (e->evidence)
		g_free(e->evidence->routes.routes_val);
	if (e->state)
		g_free(e->state->paces.paces_val);
	g_free(e->evidence);
	g_free(e->state);
	g_free(e);
}

static void handle_events_(void)
{
	for (guint i = 0; i < m.events->len; i++) {
		event_t *e = m.events->pdata[i];

		if (m.now < m.node[e->node].paused_until ||
		    (e->at > m.now && !is_overdue_(e)))
			continue;
		handle_(e);
		g_ptr_array_remove_index_fast(m.events, i--);
		event_free_(e);
	}
}

/* nodes */

static void start_node_(node_t *n, bool again)
{
	uint64_t incarnation = n->rollouts.incarnation + 1;
	int i = index_(n);

	*n = (node_t){ .key = (uint32_t)i + 1, .live = true };
	g_snprintf(n->address, sizeof(n->address), "%d", i);
	rollouts_init(&n->rollouts, &ops, n, &bounds);
	rollouts_set_self(&n->rollouts, n->key, incarnation);
	n->order_at = (again ? m.now : START) +
		      g_rand_int_range(m.rand, 0, ORDER_MAX_MS);
	if (m.mishap == MISHAP_LOG_SILENT)
		n->order_at += SILENT_MS;
}

static void kill_node_(node_t *n)
{
	n->live = false;
	n->killed_at = m.now;
	n->open_once = 0;
	n->gone_at =
		m.now + g_rand_int_range(m.rand, DEATH_MIN_MS, DEATH_MAX_MS);
	for (guint i = 0; i < m.events->len; i++) {
		event_t *e = m.events->pdata[i];

		if (e->node == index_(n))
			e->fn = NULL;
	}
	rollouts_finish(&n->rollouts);
}

static void apply_order_(node_t *n)
{
	rollout_order_t order = { .service = SERVICE,
				  .to = "new",
				  .duration_ms = m.duration_ms };
	bool known = n->rollouts.incarnation == 1;
	rollouts_news_t news = {
		.offset = 1,
		.fresh = known && m.mishap != MISHAP_LOG_SILENT,
		.prompt = known && m.mishap != MISHAP_LOG_SILENT &&
			  index_(n) % 2 == 0,
		.written_after = known ? START - 500 : 0,
	};

	n->ordered = true;
	rollouts_apply_order(&n->rollouts, &order, &news, m.now);
}

static void disturb_(mstime_t kill_at)
{
	if (m.mishap == MISHAP_DECIDER && m.now == kill_at)
		kill_node_(&m.node[0]);
	if (m.mishap == MISHAP_PAUSE && m.now == kill_at) {
		node_t *n = &m.node[0];

		n->gone_at = m.now + DEATH_MIN_MS;
		n->paused_until = m.now + PAUSE_MS;
		n->back_at = m.now + PAUSE_MS + ORDER_MAX_MS;
	}
	if (m.mishap != MISHAP_ALL)
		return;
	for (int i = 0; i < m.nodes; i++) {
		if (m.now == kill_at)
			kill_node_(&m.node[i]);
		if (m.now == kill_at + DARK_MS)
			start_node_(&m.node[i], true);
	}
}

static void play_(void)
{
	mstime_t kill_at = START + STEP_MS * g_rand_int_range(m.rand, 50, 500);
	double due = 0;

	for (m.now = START; m.now < START + m.duration_ms; m.now += STEP_MS) {
		if (m.recorded_at && m.record.phase == ROLLOUT_COMPLETED)
			break;
		disturb_(kill_at);
		due += m.per_s * STEP_MS / MSEC_PER_SEC;
		while (due >= 1) {
			send_request_();
			due--;
		}
		handle_events_();
		for (int i = 0; i < m.nodes; i++) {
			node_t *n = &m.node[i];

			if (!n->live || m.now < n->paused_until)
				continue;
			if (!n->ordered && m.now >= n->order_at)
				apply_order_(n);
			if ((m.now / STEP_MS + i) % (TICK_MS / STEP_MS) == 0)
				rollouts_tick(&n->rollouts, m.now);
		}
	}
}

static bool check_(guint32 seed)
{
	bool good = plights[m.plight].good;
	double half = (bounds.share * m.all + bounds.tolerance) / 2;
	rollout_phase_t end = m.recorded_at ? m.record.phase : ROLLOUT_UNKNOWN;
	const char *why = NULL;

	if (m.both)
		why = "a record was replaced";
	else if (end != (good ? ROLLOUT_COMPLETED : ROLLOUT_REVERTED))
		why = "wrong end";
	else if (!good && m.to_new > half)
		why = "above half of the limit";
	else if (m.bad_50_at &&
		 m.last_new_at > m.bad_50_at + bounds.rollback_ms)
		why = "sent late";
	else if (good && m.open_at_end)
		why = "requests open at the old version";
	if (!why)
		return true;
	printf("seed %u: %d nodes, %s, %s: %s: %s after %d ms, %u of %u at the "
	       "new version, %s\n",
	       seed, m.nodes, plights[m.plight].what, mishap_string[m.mishap],
	       why, rollout_phase_string[end], (int)(m.recorded_at - START),
	       m.to_new, m.all, m.record.reason ? m.record.reason : "-");
	return false;
}

bool model_rollout(guint32 seed)
{
	guint32 n = seed;

	logline_setup("model",
		      g_getenv("KCF_MODEL_LOG") ? LOG_NOTICE : LOG_ERR);
	memset(&m, 0, sizeof(m));
	m.rand = g_rand_new_with_seed(seed);
	m.events = g_ptr_array_new();
	m.nodes = sizes[n % G_N_ELEMENTS(sizes)];
	n /= G_N_ELEMENTS(sizes);
	m.plight = n % G_N_ELEMENTS(plights);
	n /= G_N_ELEMENTS(plights);
	m.mishap = (mishap_t)(n % MISHAP_COUNT);
	m.per_s = m.nodes < 10 ? 60 : 740;
	m.duration_ms = 12000 + 1000 * g_rand_int_range(m.rand, 0, 5);
	if (m.mishap != MISHAP_NONE)
		m.duration_ms = MAX(m.duration_ms, 14000);
	m.now = START;
	m.end = 1;
	for (int i = 0; i < m.nodes; i++)
		start_node_(&m.node[i], false);
	play_();
	for (int i = 0; i < m.nodes; i++) {
		if (m.node[i].live)
			rollouts_finish(&m.node[i].rollouts);
	}
	for (guint i = 0; i < m.events->len; i++)
		event_free_(m.events->pdata[i]);
	g_ptr_array_unref(m.events);
	g_rand_free(m.rand);
	return check_(seed);
}
