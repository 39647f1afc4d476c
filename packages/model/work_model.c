#include "private/work_engine.h"

#include <assert.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE "engines"
/* Simulated time starts here: 0 means unset in the product's code. */
#define START_MS 1000
/* Requests of a burst arrive within this time. */
#define BURST_MS 20
/* Prompts of one kind have numbers from a multiple of this. */
#define KIND_PROMPTS 1000000

const char *const work_policy_string[] = { "counts", "random", "least_requests",
					   "least_work", "expected" };
const char *const work_kind_string[] = { "long", "short", "check" };

typedef enum event_kind {
	EVENT_BURST,  /* index: kind of requests */
	EVENT_ARRIVE, /* index: kind of requests */
	EVENT_STEP,   /* index: engine whose step ends */
	EVENT_WAKE,   /* index: engine where a copy ends */
	EVENT_PACE,   /* index: engine */
	EVENT_GOSSIP, /* index: node */
} event_kind_t;

typedef struct event {
	double at;
	uint64_t order; /* breaks ties of equal times */
	event_kind_t kind;
	int index;
	int node;
} event_t;

typedef struct model {
	const work_conf_t *conf;
	work_result_t *result;
	gsl_rng *rng;
	gsl_ran_discrete_t *popularity[WORK_KIND_COUNT];
	int *shared[WORK_KIND_COUNT]; /* tokens of each prompt */
	GArray *heap;		      /* event_t, a binary heap */
	uint64_t next_order;
	balance_t *nodes;
	work_engine_t *engines;
	work_notices_t *notices; /* by node */
	unsigned int turn;	 /* of the next node that is told */
	bool *lies;		 /* by engine */
	double now;
} model_t;

void work_conf_init(work_conf_t *conf)
{
	assert(conf);
	*conf = (work_conf_t){
		.policy = WORK_POLICY_EXPECTED,
		.arrivals_ms = 30 * MSEC_PER_SEC,
		.nodes = 69,
		.engines = 60,
		.slots = 64,
		.kinds = { { 87, 223, 10500, 1300, 48, 800 },
			   { 111, 286, 700, 130, 36, 500 },
			   { 117, 202, 2040, 360, 3, 600 } },
		.shared_sigma = 0.7,
		.shared_max = 30000,
		.skew = 0.3,
		.mean_burst = 2,
		.tokens_per_event = 8,
		.tokens_per_ms = 68,
		.chunk_tokens = 512,
		.step_ms = 3.8,
		.step_slot_ms = 0.023,
		.cache_tokens = 550000,
		.copy_tokens_per_ms = 578,
		.copy_setup_ms = 2.5,
		.slow_pace = 250,
		.slow_fraction = 0.15,
		.pace_ms = 600,
		.hint_error = 4,
		.gossip_interval_ms = BALANCE_GOSSIP_INTERVAL_MS,
	};
}

void work_result_init(work_result_t *r)
{
	*r = (work_result_t){ 0 };
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		r->first_ms[k] = g_array_new(FALSE, FALSE, sizeof(double));
		r->wait_ms[k] = g_array_new(FALSE, FALSE, sizeof(double));
	}
}

void work_result_finish(work_result_t *r)
{
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		g_array_unref(r->first_ms[k]);
		g_array_unref(r->wait_ms[k]);
	}
}

static gint by_value_(gconstpointer a, gconstpointer b)
{
	const double *da = a;
	const double *db = b;

	return (*da > *db) - (*da < *db);
}

double work_result_quantile(GArray *times, double fraction)
{
	if (!times->len)
		return 0;
	g_array_sort(times, by_value_);
	return g_array_index(
		times, double,
		MIN(times->len - 1, (guint)(fraction * (double)times->len)));
}

static bool is_before_(const event_t *a, const event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void swap_(event_t *a, event_t *b)
{
	event_t t = *a;

	*a = *b;
	*b = t;
}

static void schedule_(model_t *m, double at, event_kind_t kind, int index,
		      int node)
{
	event_t e = { at, m->next_order++, kind, index, node };
	event_t *list;
	guint i = m->heap->len;

	g_array_append_val(m->heap, e);
	list = (event_t *)(void *)m->heap->data;
	for (; i && is_before_(&list[i], &list[(i - 1) / 2]); i = (i - 1) / 2)
		swap_(&list[i], &list[(i - 1) / 2]);
}

static event_t take_next_(model_t *m)
{
	event_t *list = (event_t *)(void *)m->heap->data;
	event_t first = list[0];
	guint len = m->heap->len - 1;
	guint i = 0;

	list[0] = list[len];
	g_array_set_size(m->heap, len);
	while (2 * i + 1 < len) {
		guint child = 2 * i + 1;

		if (child + 1 < len &&
		    is_before_(&list[child + 1], &list[child]))
			child++;
		if (!is_before_(&list[child], &list[i]))
			break;
		swap_(&list[child], &list[i]);
		i = child;
	}
	return first;
}

static mstime_t now_ms_(const model_t *m)
{
	return (mstime_t)m->now;
}

static double uniform_(const model_t *m)
{
	return gsl_rng_uniform(m->rng);
}

static bool is_measured_(const model_t *m)
{
	return m->now >= START_MS + (double)m->conf->skip_ms;
}

/* Load and pace as a response's head has them. */
static void report_(model_t *m, const work_job_t *job)
{
	const work_engine_t *e = &m->engines[job->engine];
	int pace = e->pace;

	balance_apply_report(job->upstream, work_engine_load(e), 0, now_ms_(m));
	if (m->lies[job->engine])
		pace = pace == WORK_PACE_NORMAL ? m->conf->slow_pace
						: WORK_PACE_NORMAL;
	if (m->conf->policy >= WORK_POLICY_LEAST_WORK)
		balance_report_pace(&m->nodes[job->node], job->upstream, pace,
				    now_ms_(m));
}

static void on_started_(void *ctx, work_job_t *job)
{
	const model_t *m = ctx;

	if (job->measured) {
		double ms = m->now - job->arrived_at;

		g_array_append_val(m->result->wait_ms[job->kind], ms);
	}
}

static void on_first_output_(void *ctx, work_job_t *job)
{
	model_t *m = ctx;
	double ms = m->now - job->arrived_at;

	if (job->measured)
		g_array_append_val(m->result->first_ms[job->kind], ms);
	job->answered = true;
	report_(m, job);
	balance_record_output(&m->nodes[job->node], job->upstream, &job->work,
			      job->sent_at, now_ms_(m));
	balance_mark_warm(&m->nodes[job->node], job->prompt, job->upstream,
			  now_ms_(m));
}

static void on_ended_(void *ctx, work_job_t *job)
{
	model_t *m = ctx;

	balance_end_work(&m->nodes[job->node], job->upstream, &job->work,
			 now_ms_(m));
	balance_end_request(job->upstream, BALANCE_OK, -1, now_ms_(m));
	g_free(job);
}

static void on_missed_(void *ctx, work_engine_t *e, work_job_t *job)
{
	const model_t *m = ctx;
	bool cached = false;

	for (int i = 0; i < m->conf->engines; i++)
		cached = cached ||
			 (&m->engines[i] != e &&
			  work_engine_has_cached(&m->engines[i], job->prompt));
	if (!job->measured)
		return;
	if (cached)
		m->result->shared_tokens_again += job->tokens.shared;
	else
		m->result->shared_tokens_first += job->tokens.shared;
}

static void on_copied_(void *ctx, work_job_t *job)
{
	const model_t *m = ctx;

	if (job->measured)
		m->result->tokens_copied += job->tokens.shared;
}

static const work_step_ops_t step_ops = { on_started_, on_first_output_,
					  on_ended_, on_missed_, on_copied_ };

static void advance_(model_t *m, int index)
{
	work_engine_t *e = &m->engines[index];
	double end;

	if (e->stepping)
		return;
	end = work_engine_begin_step(e, m->now, &step_ops, m);
	if (end > 0)
		schedule_(m, end, EVENT_STEP, index, 0);
	else if (end < 0)
		schedule_(m, -end, EVENT_WAKE, index, 0);
}

static void add_engine_(model_t *m, int i)
{
	char id[16];
	char address[24];
	balance_spec_t spec = { .id = id,
				.service = SERVICE,
				.address = address,
				.data_centre = "dc",
				.slots = m->conf->slots };

	work_engine_init(&m->engines[i], m->conf);
	m->lies[i] = uniform_(m) < m->conf->pace_lie;
	g_snprintf(id, sizeof(id), "u-%d", i);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", 1 + i);
	for (int n = 0; n < m->conf->nodes; n++)
		balance_put_upstream(&m->nodes[n], &spec, START_MS);
}

static int engine_index_(const balance_upstream_t *u)
{
	return atoi(u->id + strlen("u-"));
}

static void record_load_(model_t *m, const work_engine_t *e)
{
	double sum = 0;

	for (int i = 0; i < m->conf->engines; i++)
		sum += work_engine_load(&m->engines[i]);
	m->result->over_limit += work_engine_load(e) >
				 BALANCE_LIMIT_FACTOR * sum / m->conf->engines +
					 BALANCE_LIMIT_SLACK;
}

static int draw_tokens_(const model_t *m, double mean)
{
	return 1 + (int)gsl_ran_exponential(m->rng, mean);
}

static work_job_t *make_job_(const model_t *m, work_kind_t kind, int node)
{
	const work_kind_conf_t *k = &m->conf->kinds[kind];
	size_t prompt = gsl_ran_discrete(m->rng, m->popularity[kind]);
	double error = exp((2 * uniform_(m) - 1) * log(m->conf->hint_error));
	work_job_t *job = g_new0(work_job_t, 1);

	job->kind = kind;
	job->node = node;
	job->prompt = 1 + prompt + (uint64_t)kind * KIND_PROMPTS;
	job->tokens.shared = m->shared[kind][prompt];
	job->tokens.own = draw_tokens_(m, k->own_tokens);
	job->output = m->conf->tokens_per_event *
		      (1 + (int)gsl_ran_exponential(m->rng, k->events - 0.5));
	job->tokens.output = 1 + (int)(job->output * error);
	job->arrived_at = m->now;
	job->sent_at = now_ms_(m);
	job->measured = is_measured_(m);
	return job;
}

/* Messages take less time than any decision that they affect. */
static void notify_(model_t *m, const work_job_t *job, int read_ms)
{
	balance_t *from = &m->nodes[job->node];
	int count = work_notice_count(&m->notices[job->node], read_ms,
				      m->conf->nodes, now_ms_(m));
	work_entry_t entry;

	balance_describe_work(from, job->upstream, 0, now_ms_(m), &entry);
	m->result->notice_bytes += (double)count * WORK_NOTICE_BYTES;
	for (; count; count--) {
		int to = (int)(m->turn++ % (unsigned int)m->conf->nodes);

		if (to != job->node && uniform_(m) >= m->conf->loss)
			balance_apply_work(&m->nodes[to], (uint64_t)job->node,
					   &entry, now_ms_(m));
	}
}

static void on_arrive_(model_t *m, work_kind_t kind, int node)
{
	work_job_t *job = make_job_(m, kind, node);
	balance_request_t request = {
		.service = SERVICE,
		.affinity = job->prompt,
		.tokens = job->tokens,
		.objective_ms = m->conf->kinds[kind].objective_ms,
	};
	balance_pick_t pick =
		balance_choose(&m->nodes[node], &request, now_ms_(m));

	m->result->arrivals += job->measured;
	if (!pick.upstream) {
		m->result->refused += job->measured;
		g_free(job);
		return;
	}
	job->engine = engine_index_(pick.upstream);
	job->upstream = pick.upstream;
	job->work = pick.work;
	if (pick.copy_source)
		job->copy_source = &m->engines[engine_index_(pick.copy_source)];
	notify_(m, job, pick.read_ms);
	work_engine_submit(&m->engines[job->engine], job);
	if (job->measured)
		record_load_(m, &m->engines[job->engine]);
	advance_(m, job->engine);
}

static void on_burst_(model_t *m, work_kind_t kind)
{
	const work_conf_t *c = m->conf;
	int node = (int)gsl_rng_uniform_int(m->rng, (gulong)c->nodes);
	guint n = gsl_ran_geometric(m->rng, 1 / c->mean_burst);
	double gap_ms = MSEC_PER_SEC *
			gsl_ran_exponential(
				m->rng, c->mean_burst / c->kinds[kind].per_s);

	for (guint i = 0; i < n; i++)
		schedule_(m, m->now + BURST_MS * uniform_(m), EVENT_ARRIVE,
			  (int)kind, node);
	if (m->now < START_MS + (double)c->arrivals_ms)
		schedule_(m, m->now + gap_ms, EVENT_BURST, (int)kind, 0);
}

static void on_pace_(model_t *m, int index)
{
	const work_conf_t *c = m->conf;

	m->engines[index].pace = uniform_(m) < c->slow_fraction
					 ? c->slow_pace
					 : WORK_PACE_NORMAL;
	if (m->now < START_MS + (double)c->arrivals_ms)
		schedule_(m, m->now + (double)c->pace_ms, EVENT_PACE, index, 0);
}

/* Another node than this one, or -1 if the message is lost. */
static int draw_target_(const model_t *m, int node)
{
	int hop = 1 + (int)gsl_rng_uniform_int(
			      m->rng, (gulong)MAX(1, m->conf->nodes - 1));

	return uniform_(m) < m->conf->loss ? -1 : (node + hop) % m->conf->nodes;
}

static void send_loads_(model_t *m, int node)
{
	balance_load_t loads[BALANCE_GOSSIP_MAX];
	int to = draw_target_(m, node);
	u_int n = balance_collect_gossip(&m->nodes[node], now_ms_(m), loads,
					 BALANCE_GOSSIP_MAX);

	for (u_int i = 0; to >= 0 && i < n; i++)
		balance_apply_gossip(&m->nodes[to], &loads[i], now_ms_(m));
}

static void on_gossip_(model_t *m, int node)
{
	send_loads_(m, node);
	if (m->now < START_MS + (double)m->conf->arrivals_ms)
		schedule_(m, m->now + (double)m->conf->gossip_interval_ms,
			  EVENT_GOSSIP, node, 0);
}

static void handle_event_(model_t *m, const event_t *e)
{
	m->now = e->at;
	switch (e->kind) {
	case EVENT_BURST:
		on_burst_(m, (work_kind_t)e->index);
		break;
	case EVENT_ARRIVE:
		on_arrive_(m, (work_kind_t)e->index, e->node);
		break;
	case EVENT_STEP:
		work_engine_end_step(&m->engines[e->index], m->now, &step_ops,
				     m);
		advance_(m, e->index);
		break;
	case EVENT_WAKE:
		advance_(m, e->index);
		break;
	case EVENT_PACE:
		on_pace_(m, e->index);
		break;
	case EVENT_GOSSIP:
		on_gossip_(m, e->index);
		break;
	}
}

/* Lengths vary around the mean of their kind as a lognormal distribution. */
static void set_prompts_(model_t *m, work_kind_t kind)
{
	const work_conf_t *c = m->conf;
	const work_kind_conf_t *k = &c->kinds[kind];
	double log_mean =
		log(k->shared_tokens) - c->shared_sigma * c->shared_sigma / 2;
	double *weights = g_new(double, k->prompts);

	m->shared[kind] = g_new(int, k->prompts);
	for (int i = 0; i < k->prompts; i++) {
		double tokens =
			gsl_ran_lognormal(m->rng, log_mean, c->shared_sigma);

		weights[i] = pow(i + 1, -c->skew);
		m->shared[kind][i] = 1 + (int)MIN(tokens, c->shared_max);
	}
	m->popularity[kind] =
		gsl_ran_discrete_preproc((size_t)k->prompts, weights);
	g_free(weights);
}

static void init_node_(model_t *m, int n)
{
	static const placement_t placement[WORK_POLICY_COUNT] = {
		[WORK_POLICY_COUNTS] = PLACEMENT_BOUNDED,
		[WORK_POLICY_RANDOM] = PLACEMENT_RANDOM,
		[WORK_POLICY_LEAST_REQUESTS] = PLACEMENT_LEAST_LOADED,
		[WORK_POLICY_LEAST_WORK] = PLACEMENT_BOUNDED,
		[WORK_POLICY_EXPECTED] = PLACEMENT_BOUNDED,
	};
	balance_t *b = &m->nodes[n];

	balance_init(b, "dc", m->conf->seed + 1 + (guint32)n);
	b->node_count = m->conf->nodes;
	b->placement = placement[m->conf->policy];
	b->least_work = m->conf->policy == WORK_POLICY_LEAST_WORK;
}

static void init_(model_t *m, const work_conf_t *c, work_result_t *result)
{
	*m = (model_t){ .conf = c, .result = result, .now = START_MS };
	m->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->rng, c->seed);
	m->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	m->nodes = g_new0(balance_t, c->nodes);
	m->engines = g_new0(work_engine_t, c->engines);
	m->lies = g_new0(bool, c->engines);
	m->notices = g_new0(work_notices_t, c->nodes);
	for (int n = 0; n < c->nodes; n++)
		init_node_(m, n);
	for (int i = 0; i < c->engines; i++)
		add_engine_(m, i);
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		set_prompts_(m, (work_kind_t)k);
		schedule_(m, m->now, EVENT_BURST, k, 0);
	}
	for (int n = 0; n < c->nodes; n++)
		schedule_(m,
			  m->now + (double)c->gossip_interval_ms * n / c->nodes,
			  EVENT_GOSSIP, n, 0);
	for (int i = 0; i < c->engines; i++)
		schedule_(m, m->now + (double)c->pace_ms * uniform_(m),
			  EVENT_PACE, i, 0);
}

static void finish_(model_t *m)
{
	for (int n = 0; n < m->conf->nodes; n++)
		balance_finish(&m->nodes[n]);
	for (int i = 0; i < m->conf->engines; i++)
		work_engine_finish(&m->engines[i]);
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		gsl_ran_discrete_free(m->popularity[k]);
		g_free(m->shared[k]);
	}
	g_free(m->nodes);
	g_free(m->engines);
	g_free(m->lies);
	g_free(m->notices);
	g_array_unref(m->heap);
	gsl_rng_free(m->rng);
}

void work_model_run(const work_conf_t *conf, work_result_t *result)
{
	model_t m;

	assert(conf && result && conf->nodes > 0 && conf->engines > 0);
	assert(conf->policy < WORK_POLICY_COUNT);
	init_(&m, conf, result);
	while (m.heap->len) {
		event_t e = take_next_(&m);

		handle_event_(&m, &e);
	}
	finish_(&m);
}
