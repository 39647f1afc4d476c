/*
 * Model of a fleet while requests with one prompt segment, or one request that
 * comes again and again, crash upstreams: reports are lost and delayed, nodes
 * are paused and restarted, one after the other or all at once, and some
 * upstreams end together for another reason.
 *
 * Invariants: once so many upstreams have crashed (five by the segment, three
 * by the request) and the news has had time to spread, nodes that were in touch
 * send no more than three of those requests. One without the segment is never
 * held back; of those that ran beside the crashing request and are sent again,
 * hardly any.
 */
#include "model.h"

#include <kcf/quarantine_gossip.h>
#include <stdio.h>
#include <string.h>

#define NODES_MIN 3
#define NODES_MAX 40
#define UPSTREAMS_MAX 40
#define MESSAGES_MAX 8192
#define REQUESTS_MAX 1024
#define THINGS 6
#define STEP_MS 10
#define RUN_MS 16000
#define START 1000000
/* In touch again, and told of what has happened, after this time. */
#define CONTACT_MS 3000
#define RESTART_MS 3000
#define SENT_LATE_MAX 3
#define CRASHES_SEGMENT 5
#define CRASHES_REQUEST 3
/* Sound requests that are held back while it is not known which one it is. */
#define HELD_SOUND_MAX_SHARE 0.01

#define KEY_CRASHING_REQUEST 7
#define KEY_SOUND_REQUEST 1000000

#define SEGMENT_SYSTEM 1
#define SEGMENT_CRASHING 2
#define SEGMENT_THING 100

typedef struct model_node {
	quarantine_t quarantine;
	quarantine_gossip_t gossip;
	char address[16];
	mstime_t paused_until;
	mstime_t in_touch_at;
	mstime_t tick_at;
} model_node_t;

typedef struct in_flight {
	bool used;
	mstime_t at;
	int to;
	char from[16];
	quarantine_report_t report;
} in_flight_t;

typedef struct request {
	bool used;
	bool crashing;
	int node;
	int upstream;
	uint32_t start;
	mstime_t answer_at;
	quarantine_prompt_t prompt;
} request_t;

static struct {
	GRand *rand;
	int node_count;
	double loss;
	int delay_max_ms;
	mstime_t now;
	model_node_t nodes[NODES_MAX];
	in_flight_t messages[MESSAGES_MAX];
	request_t requests[REQUESTS_MAX];
	uint32_t starts[UPSTREAMS_MAX]; /* of each upstream */
	mstime_t up_at[UPSTREAMS_MAX];
	int upstream_count;
	bool whole; /* one request, not a segment */
	uint64_t next_request;
	int sound_sent;
	int sound_held;
	int crashes;
	mstime_t known_from; /* time of the last crash that may be needed */
	int sent_late;
	bool violated;
} m;

static const quarantine_ops_t silent = { 0 };

static bool chance_(double p)
{
	return g_rand_double(m.rand) < p;
}

static const char *random_peer_(void *ctx)
{
	model_node_t *n = ctx;
	int at = g_rand_int_range(m.rand, 0, m.node_count - 1);

	at += at >= (int)(n - m.nodes);
	return m.nodes[at].address;
}

static size_t send_(void *ctx, const char *to, const peer_crash_report_t *r)
{
	model_node_t *n = ctx;

	if (chance_(m.loss))
		return 200;
	for (int i = 0; i < MESSAGES_MAX; i++) {
		in_flight_t *f = &m.messages[i];

		if (f->used)
			continue;
		f->used = true;
		f->at = m.now + g_rand_int_range(m.rand, 1, m.delay_max_ms);
		f->to = (int)g_ascii_strtoll(to, NULL, 10);
		g_strlcpy(f->from, n->address, sizeof(f->from));
		f->report.message = *r;
		for (u_int k = 0; k < r->crashes.crashes_len; k++)
			f->report.crashes[k] = r->crashes.crashes_val[k];
		for (u_int k = 0; k < r->answered.answered_len; k++)
			f->report.answered[k] = r->answered.answered_val[k];
		for (u_int k = 0; k < r->crashes.crashes_len; k++) {
			peer_crash_t *c = &f->report.crashes[k];
			u_quad_t *copy = f->report.collected[k].prompt.segments;

			memcpy(copy, c->segments.segments_val,
			       c->segments.segments_len * sizeof(*copy));
			c->segments.segments_val = copy;
		}
		f->report.message.crashes.crashes_val = f->report.crashes;
		f->report.message.answered.answered_val = f->report.answered;
		break;
	}
	return 200;
}

static const quarantine_gossip_ops_t gossip_ops = { random_peer_, send_ };

static void start_node_(int i)
{
	model_node_t *n = &m.nodes[i];

	n->paused_until = 0;
	n->in_touch_at = m.now + CONTACT_MS;
	n->tick_at = m.now + g_rand_int_range(m.rand, 0, 100);
	quarantine_init(&n->quarantine, (double)i / m.node_count, &silent,
			NULL);
	quarantine_gossip_init(&n->gossip, &n->quarantine, &gossip_ops, n,
			       m.now);
}

static void restart_node_(int i)
{
	quarantine_finish(&m.nodes[i].quarantine);
	for (int k = 0; k < REQUESTS_MAX; k++) {
		if (m.requests[k].node == i)
			m.requests[k].used = false;
	}
	start_node_(i);
}

static bool is_paused_(const model_node_t *n)
{
	return m.now < n->paused_until;
}

static void trouble_nodes_(void)
{
	int i = g_rand_int_range(m.rand, 0, m.node_count);
	model_node_t *n = &m.nodes[i];

	if (chance_(0.0004)) {
		for (int k = 0; k < m.node_count; k++)
			restart_node_(k);
	} else if (chance_(0.003)) {
		restart_node_(i);
	} else if (chance_(0.003)) {
		n->paused_until = m.now + g_rand_int_range(m.rand, 500, 3000);
		n->in_touch_at = n->paused_until + CONTACT_MS;
	}
}

static void end_upstream_(int upstream)
{
	m.starts[upstream] += UPSTREAMS_MAX;
	m.up_at[upstream] = m.now + RESTART_MS;
}

/* Ends a third of the upstreams at once. */
static void trouble_upstreams_(void)
{
	if (!chance_(0.002))
		return;
	for (int i = 0; i < m.upstream_count; i += 3)
		end_upstream_(i);
}

static void deliver_(void)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		in_flight_t *f = &m.messages[i];
		model_node_t *n = &m.nodes[f->to];

		if (!f->used || m.now < f->at || is_paused_(n))
			continue;
		f->used = false;
		quarantine_gossip_receive(&n->gossip, &f->report.message,
					  f->from, m.now);
	}
}

static void tick_nodes_(void)
{
	for (int i = 0; i < m.node_count; i++) {
		model_node_t *n = &m.nodes[i];

		if (is_paused_(n) || m.now < n->tick_at)
			continue;
		n->tick_at = m.now + 100;
		quarantine_tick(&n->quarantine, m.now);
		quarantine_gossip_tick(&n->gossip, m.now);
	}
}

/* False if the upstream that is chosen cannot be reached. */
static bool send_request_(int node, const quarantine_prompt_t *p, bool crashing)
{
	int upstream = g_rand_int_range(m.rand, 0, m.upstream_count);

	if (m.now < m.up_at[upstream])
		return false;
	for (int i = 0; i < REQUESTS_MAX; i++) {
		request_t *r = &m.requests[i];

		if (r->used)
			continue;
		*r = (request_t){ true,
				  crashing,
				  node,
				  upstream,
				  m.starts[upstream],
				  m.now + g_rand_int_range(m.rand, 40, 250),
				  *p };
		return true;
	}
	return false;
}

static quarantine_prompt_t draw_prompt_(bool crashing)
{
	uint64_t thing =
		SEGMENT_THING + (uint64_t)g_rand_int_range(m.rand, 0, THINGS);
	quarantine_prompt_t p = { { SEGMENT_SYSTEM, thing, SEGMENT_CRASHING },
				  crashing ? 3 : 2 };

	if (!m.whole)
		return p;
	return (quarantine_prompt_t){
		.request = crashing ? KEY_CRASHING_REQUEST
				    : KEY_SOUND_REQUEST + m.next_request++,
	};
}

static void arrive_at_(int i, const quarantine_prompt_t *p, bool crashing)
{
	model_node_t *n = &m.nodes[i];
	mstime_t retry_ms;

	if (is_paused_(n))
		return;
	m.sound_sent += !crashing;
	if (quarantine_check(&n->quarantine, p, m.node_count, m.now,
			     &retry_ms)) {
		m.sound_held += !crashing;
		m.violated = m.violated || (!crashing && !m.whole);
		return;
	}
	if (send_request_(i, p, crashing) && crashing && m.known_from &&
	    m.now > m.known_from + CONTACT_MS && m.now >= n->in_touch_at)
		m.sent_late++;
}

static void arrive_(bool crashing)
{
	quarantine_prompt_t p = draw_prompt_(crashing);

	arrive_at_(g_rand_int_range(m.rand, 0, m.node_count), &p, crashing);
}

/* Sent again, by the node unless another crash speaks against it. */
static void retry_(const request_t *r)
{
	const quarantine_t *q = &m.nodes[r->node].quarantine;

	if (quarantine_count_crashes(q, &r->prompt) > 1) {
		arrive_at_(g_rand_int_range(m.rand, 0, m.node_count),
			   &r->prompt, r->crashing);
		return;
	}
	arrive_at_(r->node, &r->prompt, r->crashing);
}

static void record_crash_(const request_t *r)
{
	model_node_t *n = &m.nodes[r->node];
	uint32_t key = r->start + (uint32_t)r->upstream;

	quarantine_record_crash(&n->quarantine, key, &r->prompt, !m.whole,
				m.now);
	quarantine_gossip_flush(&n->gossip, m.now);
}

static void end_request_(request_t *r)
{
	model_node_t *n = &m.nodes[r->node];
	request_t copy = *r;

	r->used = false;
	if (m.starts[r->upstream] != r->start) {
		if (!m.whole)
			return;
		record_crash_(&copy);
		if (chance_(0.5))
			retry_(&copy);
		return;
	}
	if (!r->crashing) {
		quarantine_record_answer(&n->quarantine, &r->prompt, m.now);
		return;
	}
	end_upstream_(r->upstream);
	if (++m.crashes == (m.whole ? CRASHES_REQUEST : CRASHES_SEGMENT))
		m.known_from = m.now;
	record_crash_(&copy);
	if (m.whole)
		retry_(&copy);
}

static void finish_requests_(void)
{
	for (int i = 0; i < REQUESTS_MAX; i++) {
		request_t *r = &m.requests[i];
		model_node_t *n = &m.nodes[r->node];

		if (!r->used || is_paused_(n))
			continue;
		if (quarantine_is_held(&n->quarantine, &r->prompt, m.now))
			r->used = false;
		else if (m.now >= r->answer_at ||
			 (m.whole && m.starts[r->upstream] != r->start))
			end_request_(r);
	}
}

bool model_quarantine(guint32 seed)
{
	memset(&m, 0, sizeof(m));
	m.rand = g_rand_new_with_seed(seed);
	m.now = START;
	m.whole = seed % 2;
	m.node_count = g_rand_int_range(m.rand, NODES_MIN, NODES_MAX + 1);
	m.upstream_count = g_rand_int_range(m.rand, 6, UPSTREAMS_MAX + 1);
	m.loss = g_rand_double_range(m.rand, 0, 0.5);
	m.delay_max_ms = g_rand_int_range(m.rand, 5, 300);
	for (int i = 0; i < m.node_count; i++) {
		g_snprintf(m.nodes[i].address, sizeof(m.nodes[i].address), "%d",
			   i);
		start_node_(i);
	}
	for (int i = 0; i < m.upstream_count; i++)
		m.starts[i] = UPSTREAMS_MAX;
	for (; m.now < START + RUN_MS && !m.violated; m.now += STEP_MS) {
		trouble_nodes_();
		trouble_upstreams_();
		deliver_();
		finish_requests_();
		tick_nodes_();
		for (int i = 0; i < m.upstream_count / 4; i++)
			arrive_(false);
		if (m.now > START + 1000 && chance_(0.01))
			arrive_(true);
		m.violated = m.violated || m.sent_late > SENT_LATE_MAX;
	}
	m.violated = m.violated ||
		     m.sound_held > HELD_SOUND_MAX_SHARE * m.sound_sent;
	for (int i = 0; i < m.node_count; i++)
		quarantine_finish(&m.nodes[i].quarantine);
	g_rand_free(m.rand);
	return !m.violated;
}
