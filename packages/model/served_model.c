#include "private/served_engine.h"

#include <assert.h>
#include <gsl/gsl_histogram.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <kcf/served_model.h>
#include <math.h>
#include <stdlib.h>

#define SERVICE "engines"
/* The load limit may be exceeded by a fraction of the arrivals in this time. */
#define LIMIT_WINDOW_MS 5000
/* Windows with fewer arrivals above the limit are ignored. */
#define OVER_LIMIT_MIN 20
/* Requests of a burst arrive within this time. */
#define BURST_MS 20
/* Not in the range of the other prompts. */
#define HOT_PROMPT (1ULL << 32)
/* Range of the histogram of first token times; longer ones count as this. */
#define FIRST_TOKEN_MAX_MS 20000
#define FIRST_TOKEN_BUCKET_MS 5

typedef enum event_kind {
	EVENT_BURST,	   /* schedules the arrivals of the next burst */
	EVENT_ARRIVE,	   /* a request reaches a node */
	EVENT_FIRST_TOKEN, /* its first token reaches the node */
	EVENT_END,
	EVENT_GOSSIP, /* a node sends load reports to another */
	EVENT_DRAIN,
	EVENT_RESTORE,
	EVENT_ADD,
} event_kind_t;

typedef struct event {
	mstime_t at;
	uint64_t order; /* breaks ties of equal times */
	event_kind_t kind;
	int node;
	served_request_t *request;
} event_t;

typedef struct model {
	const served_conf_t *conf;
	served_result_t *result;
	GArray *seconds;
	gsl_rng *rng;
	gsl_rng *tell_rng; /* so that arrivals are the same without it */
	gsl_ran_discrete_t *prompts;
	gsl_histogram *first_token_ms;
	GSequence *events; /* event_t *, the next one first */
	uint64_t next_order;
	balance_t *nodes;
	warmth_t *warmths; /* parallel to nodes */
	served_engine_t *engines;
	int engine_count;
	mstime_t now;
	mstime_t window_end;
	int window_arrivals;
	int window_over_limit;
} model_t;

void served_conf_init(served_conf_t *conf)
{
	assert(conf);
	*conf = (served_conf_t){
		.arrivals_ms = 30 * MSEC_PER_SEC,
		.nodes = 7,
		.engines = 9,
		.data_centres = 3,
		.slots = 64,
		.cache_prompts = 60,
		.prompt_count = 220,
		.skew = 0.3,
		.requests_per_s = 100,
		.mean_burst = 3,
		.warm_ms = 60,
		.cold_ms = 110,
		.work_ms = 450,
		.work_sigma = 0.9,
		.gossip_interval_ms = BALANCE_GOSSIP_INTERVAL_MS,
	};
}

static gint by_time_(gconstpointer a, gconstpointer b, gpointer arg)
{
	const event_t *ea = a;
	const event_t *eb = b;

	(void)arg;
	if (ea->at != eb->at)
		return ea->at < eb->at ? -1 : 1;
	return (ea->order > eb->order) - (ea->order < eb->order);
}

static void schedule_(model_t *m, mstime_t at, event_kind_t kind, int node,
		      served_request_t *r)
{
	event_t *e = g_new(event_t, 1);

	*e = (event_t){ at, m->next_order++, kind, node, r };
	g_sequence_insert_sorted(m->events, e, by_time_, NULL);
}

static void add_engine_(model_t *m, int i)
{
	char id[16];
	char address[24];
	char data_centre[16];
	balance_spec_t spec = { .id = id,
				.service = SERVICE,
				.address = address,
				.data_centre = data_centre,
				.slots = m->conf->slots };
	int dc = i % m->conf->data_centres;

	served_engine_init(&m->engines[i], dc, m->conf->slots,
			   m->conf->cache_prompts);
	g_snprintf(id, sizeof(id), "u-%d", i);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", 1 + i);
	g_snprintf(data_centre, sizeof(data_centre), "dc-%d", dc);
	for (int n = 0; n < m->conf->nodes; n++)
		balance_put_upstream(&m->nodes[n], &spec, m->now);
}

static int engine_index_(const balance_upstream_t *u)
{
	return atoi(u->id + strlen("u-"));
}

static double mean_load_(const model_t *m)
{
	double sum = 0;

	for (int i = 0; i < m->engine_count; i++)
		sum += served_engine_load(&m->engines[i]);
	return sum / m->engine_count;
}

static void close_window_(model_t *m)
{
	served_result_t *r = m->result;

	if (m->window_over_limit >= OVER_LIMIT_MIN)
		r->over_limit_worst =
			MAX(r->over_limit_worst,
			    (double)m->window_over_limit / m->window_arrivals);
	m->window_arrivals = 0;
	m->window_over_limit = 0;
	m->window_end += LIMIT_WINDOW_MS;
}

/* Entry that counts arrivals at a time; NULL when the caller wants none. */
static served_second_t *get_second_(const model_t *m, mstime_t arrived_at)
{
	guint i = (guint)(arrived_at / MSEC_PER_SEC);

	if (!m->seconds)
		return NULL;
	if (m->seconds->len <= i)
		g_array_set_size(m->seconds, i + 1);
	return &g_array_index(m->seconds, served_second_t, i);
}

static void record_load_(model_t *m, const served_engine_t *e)
{
	served_second_t *second = get_second_(m, m->now);
	int load = served_engine_load(e);

	if (second) {
		second->arrivals++;
		second->peak_load = MAX(second->peak_load, load);
	}
	while (m->now >= m->window_end)
		close_window_(m);
	m->window_arrivals++;
	m->result->peak_load = MAX(m->result->peak_load, load);
	if (load <= BALANCE_LIMIT_FACTOR * mean_load_(m) + BALANCE_LIMIT_SLACK)
		return;
	m->window_over_limit++;
	m->result->over_limit++;
}

/* Whether another engine has the prompt of a request, or reads it. */
static bool is_cached_(const model_t *m, const served_request_t *r)
{
	for (int i = 0; i < m->engine_count; i++) {
		if (i != r->engine &&
		    lru_get(&m->engines[i].cache, m->now, r->prompt))
			return true;
	}
	return false;
}

static void start_work_(model_t *m, served_request_t *r)
{
	bool has = r->warm || r->copied;
	double first_token_ms = has ? m->conf->warm_ms : m->conf->cold_ms;
	mstime_t at = m->now + (mstime_t)first_token_ms;
	served_second_t *second = get_second_(m, r->arrived_at);

	if (second)
		second->warm_hits += r->warm;
	m->result->warm_hits += r->warm;
	m->result->reread += !has && is_cached_(m, r);
	if (!has)
		served_engine_read(&m->engines[r->engine], r,
				   m->now + (mstime_t)m->conf->cold_ms, m->now);
	schedule_(m, at, EVENT_FIRST_TOKEN, r->node, r);
	schedule_(m, at + (mstime_t)r->work_ms + 1, EVENT_END, r->node, r);
}

/* Index of the engine that the request's node chooses, or -1. */
static int choose_(model_t *m, served_request_t *r)
{
	balance_request_t request = { .service = SERVICE,
				      .affinity = r->prompt };
	balance_pick_t pick =
		balance_choose(&m->nodes[r->node], &request, m->now);

	r->upstream = pick.upstream;
	if (m->conf->copies && pick.copy_source)
		r->source = &m->engines[engine_index_(pick.copy_source)];
	return pick.upstream ? engine_index_(pick.upstream) : -1;
}

static void on_burst_(model_t *m)
{
	const served_conf_t *c = m->conf;
	int node = (int)gsl_rng_uniform_int(m->rng, (gulong)c->nodes);
	guint n = gsl_ran_geometric(m->rng, 1 / c->mean_burst);
	double gap_s =
		gsl_ran_exponential(m->rng, c->mean_burst / c->requests_per_s);

	for (guint i = 0; i < n; i++) {
		mstime_t later =
			(mstime_t)gsl_rng_uniform_int(m->rng, BURST_MS);

		schedule_(m, m->now + later, EVENT_ARRIVE, node, NULL);
	}
	if (m->now < c->arrivals_ms)
		schedule_(m, m->now + 1 + (mstime_t)(gap_s * MSEC_PER_SEC),
			  EVENT_BURST, 0, NULL);
}

static void on_arrive_(model_t *m, int node)
{
	const served_conf_t *c = m->conf;
	served_request_t *r = g_new0(served_request_t, 1);
	double log_mean = log(c->work_ms) - c->work_sigma * c->work_sigma / 2;
	served_engine_t *e;

	r->node = node;
	r->arrived_at = m->now;
	r->prompt = gsl_ran_discrete(m->rng, m->prompts) + 1;
	if (gsl_rng_uniform(m->rng) < c->hot_fraction && m->now >= c->hot_at)
		r->prompt = HOT_PROMPT;
	r->work_ms = gsl_ran_lognormal(m->rng, log_mean, c->work_sigma);
	m->result->arrivals++;
	r->engine = choose_(m, r);
	if (r->engine < 0) {
		m->result->refused++;
		g_free(r);
		return;
	}
	e = &m->engines[r->engine];
	if (served_engine_submit(e, r, m->now))
		start_work_(m, r);
	record_load_(m, e);
}

static void on_first_token_(model_t *m, served_request_t *r)
{
	const served_engine_t *e = &m->engines[r->engine];
	double ms = (double)(m->now - r->arrived_at);

	gsl_histogram_increment(m->first_token_ms,
				MIN(ms, FIRST_TOKEN_MAX_MS - 1));
	balance_apply_report(r->upstream, served_engine_load(e), 0, m->now);
	if (m->conf->copies)
		balance_mark_warm(&m->nodes[r->node], r->prompt, r->upstream,
				  m->now);
}

static void on_end_(model_t *m, served_request_t *r)
{
	served_request_t *next =
		served_engine_complete(&m->engines[r->engine], m->now);

	balance_end_request(r->upstream, BALANCE_OK, -1, m->now);
	g_free(r);
	if (next)
		start_work_(m, next);
}

/* 612 bytes to one node: at the default interval the bytes of a node. */
#define WARMTH_PAIRS 32

static void tell_warmth_(model_t *m, int node)
{
	warmth_pair_t pairs[WARMTH_PAIRS];
	int hop = 1 + (int)gsl_rng_uniform_int(
			      m->tell_rng, (gulong)MAX(1, m->conf->nodes - 1));
	warmth_t *to = &m->warmths[(node + hop) % m->conf->nodes];
	guint n = warmth_take_news(&m->warmths[node], pairs, WARMTH_PAIRS,
				   m->now);

	for (guint i = 0; i < n; i++)
		warmth_apply(to, &pairs[i], m->now);
}

static void on_gossip_(model_t *m, int node)
{
	balance_load_t loads[BALANCE_GOSSIP_MAX];
	int hop = 1 + (int)gsl_rng_uniform_int(
			      m->rng, (gulong)MAX(1, m->conf->nodes - 1));
	balance_t *to = &m->nodes[(node + hop) % m->conf->nodes];
	u_int n = balance_collect_gossip(&m->nodes[node], m->now, loads,
					 BALANCE_GOSSIP_MAX);

	for (u_int i = 0; i < n; i++)
		balance_apply_gossip(to, &loads[i], m->now);
	if (m->conf->share_warmth)
		tell_warmth_(m, node);
	if (m->now < m->conf->arrivals_ms)
		schedule_(m, m->now + m->conf->gossip_interval_ms, EVENT_GOSSIP,
			  node, NULL);
}

static void set_drained_(model_t *m, bool drained)
{
	for (int n = 0; n < m->conf->nodes; n++)
		balance_set_drained(&m->nodes[n], "dc-0", drained, m->now);
}

static void add_late_engines_(model_t *m)
{
	for (int i = 0; i < m->conf->added_engines; i++)
		add_engine_(m, m->engine_count++);
}

static void handle_event_(model_t *m, const event_t *e)
{
	m->now = e->at;
	switch (e->kind) {
	case EVENT_BURST:
		on_burst_(m);
		break;
	case EVENT_ARRIVE:
		on_arrive_(m, e->node);
		break;
	case EVENT_FIRST_TOKEN:
		on_first_token_(m, e->request);
		break;
	case EVENT_END:
		on_end_(m, e->request);
		break;
	case EVENT_GOSSIP:
		on_gossip_(m, e->node);
		break;
	case EVENT_DRAIN:
	case EVENT_RESTORE:
		set_drained_(m, e->kind == EVENT_DRAIN);
		break;
	case EVENT_ADD:
		add_late_engines_(m);
		break;
	}
}

static void set_prompts_(model_t *m)
{
	int n = m->conf->prompt_count;
	double *weights = g_new(double, n);

	for (int i = 0; i < n; i++)
		weights[i] = pow(i + 1, -m->conf->skew);
	m->prompts = gsl_ran_discrete_preproc((size_t)n, weights);
	g_free(weights);
}

static void init_(model_t *m, const served_conf_t *c, served_result_t *result,
		  GArray *seconds)
{
	*result = (served_result_t){ 0 };
	*m = (model_t){
		.conf = c, .result = result, .seconds = seconds, .now = 1
	};
	m->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->rng, c->seed);
	m->tell_rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->tell_rng, c->seed);
	set_prompts_(m);
	m->first_token_ms =
		gsl_histogram_alloc(FIRST_TOKEN_MAX_MS / FIRST_TOKEN_BUCKET_MS);
	gsl_histogram_set_ranges_uniform(m->first_token_ms, 0,
					 FIRST_TOKEN_MAX_MS);
	m->events = g_sequence_new(g_free);
	m->nodes = g_new0(balance_t, c->nodes);
	m->warmths = g_new0(warmth_t, c->nodes);
	m->engines = g_new0(served_engine_t, c->engines + c->added_engines);
	m->window_end = LIMIT_WINDOW_MS;
	for (int n = 0; n < c->nodes; n++) {
		char data_centre[16];

		g_snprintf(data_centre, sizeof(data_centre), "dc-%d",
			   n % c->data_centres);
		balance_init(&m->nodes[n], data_centre,
			     c->seed + 1 + (guint32)n);
		m->nodes[n].node_count = c->nodes;
		m->nodes[n].placement = c->placement;
		warmth_init(&m->warmths[n]);
		m->nodes[n].warmth = &m->warmths[n];
		if (c->share_warmth)
			balance_share_warmth(&m->nodes[n], SERVICE);
	}
	for (int i = 0; i < c->engines; i++)
		add_engine_(m, m->engine_count++);
}

static void schedule_initial_(model_t *m)
{
	const served_conf_t *c = m->conf;

	schedule_(m, m->now, EVENT_BURST, 0, NULL);
	for (int n = 0; n < c->nodes; n++)
		schedule_(m, m->now + c->gossip_interval_ms * n / c->nodes,
			  EVENT_GOSSIP, n, NULL);
	if (c->restore_at > c->drain_at) {
		schedule_(m, c->drain_at, EVENT_DRAIN, 0, NULL);
		schedule_(m, c->restore_at, EVENT_RESTORE, 0, NULL);
	}
	if (c->added_engines)
		schedule_(m, c->add_at, EVENT_ADD, 0, NULL);
}

static double quantile_(const gsl_histogram *h, double fraction)
{
	double target = gsl_histogram_sum(h) * fraction;
	double cumulative = 0;

	for (size_t i = 0; i < gsl_histogram_bins(h); i++) {
		cumulative += gsl_histogram_get(h, i);
		if (cumulative >= target)
			return (double)(i + 1) * FIRST_TOKEN_BUCKET_MS;
	}
	return FIRST_TOKEN_MAX_MS;
}

static void finish_(model_t *m)
{
	close_window_(m);
	m->result->first_p50_ms = quantile_(m->first_token_ms, 0.5);
	m->result->first_p95_ms = quantile_(m->first_token_ms, 0.95);
	for (int n = 0; n < m->conf->nodes; n++) {
		balance_finish(&m->nodes[n]);
		warmth_finish(&m->warmths[n]);
	}
	for (int i = 0; i < m->engine_count; i++)
		served_engine_finish(&m->engines[i]);
	g_free(m->nodes);
	g_free(m->warmths);
	g_free(m->engines);
	g_sequence_free(m->events);
	gsl_histogram_free(m->first_token_ms);
	gsl_ran_discrete_free(m->prompts);
	gsl_rng_free(m->rng);
	gsl_rng_free(m->tell_rng);
}

void served_run(const served_conf_t *conf, served_result_t *result,
		GArray *seconds)
{
	model_t m;

	assert(conf && result && conf->nodes > 0 && conf->engines > 0);
	assert(conf->placement < PLACEMENT_COUNT);
	init_(&m, conf, result, seconds);
	schedule_initial_(&m);
	while (!g_sequence_is_empty(m.events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(m.events);
		event_t e = *(event_t *)g_sequence_get(first);

		g_sequence_remove(first);
		handle_event_(&m, &e);
	}
	finish_(&m);
}
