#include <kcf/peak_model.h>

#include <kcf/admission.h>
#include <kcf/balance.h>
#include <kcf/shares.h>

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE "plain"
#define START_MS 1000000
#define UPSTREAMS_MAX 16
#define SLOTS_MAX 64
#define LONG_FACTOR 5
/* Retry-After of a node whose attempts were rejected by upstreams. */
#define SHED_RETRY_MS 200
/* Reports that are kept cover more than the oldest one in use. */
#define REPORTS_MAX 4096
/* Random numbers of the customers' requests per try. */
#define ID_STEP 0x9e3779b97f4a7c15ULL

typedef struct peak_request {
	int kind;
	int customer;
	bool measured;
	bool returned; /* is its caller's second try */
	mstime_t first_at;
	mstime_t try_at;
	mstime_t sent_at;
	mstime_t deadline;
	double work_ms;
	int node;
	balance_upstream_t *upstream; /* of the node's balance */
	double left_ms;		      /* of its work */
} peak_request_t;

typedef struct report {
	mstime_t at;
	int outstanding;
} report_t;

typedef struct peak_upstream {
	peak_request_t *running[SLOTS_MAX];
	int running_count;
	GQueue waiting; /* of peak_request_t * */
	report_t reports[REPORTS_MAX];
	int report_count;
	uint32_t key;
	double pace;
} peak_upstream_t;

typedef struct peak_node {
	balance_t balance;
	shares_t shares;
	admission_t admission;
} peak_node_t;

typedef struct peak {
	const peak_conf_t *conf;
	peak_result_t *out;
	GRand *rand;
	peak_node_t *nodes;
	peak_upstream_t upstreams[UPSTREAMS_MAX];
	GQueue returning; /* of peak_request_t *, by try_at */
	int open;
	double busy_ms;
	uint64_t last_id;
} peak_t;

void peak_conf_init(peak_conf_t *c)
{
	*c = (peak_conf_t){
		.seed = 1,
		.arrivals_ms = 60000,
		.calm_ms = 8000,
		.nodes = 69,
		.upstreams = 3,
		.slots = 6,
		.queue = 24,
		.customers = 24,
		.factor = 2,
		.large_factor = 8,
		.wave = 0.55,
		.wave_ms = 13000,
		.clump = 3,
		.work_ms = 60,
		.work_sigma = 0.5,
		.long_share = 0.01,
		.slow_share = 0.15,
		.slow_factor = 2.5,
		.slow_step_ms = 600,
		.report_min_ms = 100,
		.report_max_ms = 500,
		.kinds = { { "bookings", 78.7, 1, 300, 4000, 0.3 },
			   { "look-ups", 31.5, 2, 300, 4000, 0.3 } },
	};
}

static void init_node_(peak_t *p, int index)
{
	peak_node_t *n = &p->nodes[index];

	balance_init(&n->balance, "dc-a", (guint32)index + 1);
	n->balance.node_count = p->conf->nodes;
	n->balance.pace_reported = p->conf->admission;
	shares_init(&n->shares);
	admission_init(&n->admission);
	for (int i = 0; i < p->conf->upstreams; i++) {
		char id[16];
		balance_spec_t spec = { .id = id,
					.service = SERVICE,
					.address = "127.0.0.1:1",
					.data_centre = "dc-a",
					.version = "1",
					.start_id = 1,
					.slots = p->conf->slots };

		snprintf(id, sizeof(id), "u-%d", i);
		balance_put_upstream(&n->balance, &spec, START_MS);
	}
}

static balance_upstream_t *upstream_of_(const peak_node_t *n, int i)
{
	char id[16];

	snprintf(id, sizeof(id), "u-%d", i);
	return g_hash_table_lookup(n->balance.by_id, id);
}

static int index_of_(const balance_upstream_t *u)
{
	return atoi(u->id + strlen("u-"));
}

static int outstanding_(const peak_upstream_t *u)
{
	return u->running_count + (int)u->waiting.length;
}

/* What other nodes have reported, at an age drawn for each upstream. */
static void hear_(peak_t *p, peak_node_t *n, mstime_t now)
{
	for (int i = 0; i < p->conf->upstreams; i++) {
		const peak_upstream_t *u = &p->upstreams[i];
		mstime_t age = g_rand_int_range(p->rand,
						(gint32)p->conf->report_min_ms,
						(gint32)p->conf->report_max_ms);

		for (int k = u->report_count - 1;
		     k >= 0 && k > u->report_count - REPORTS_MAX; k--) {
			const report_t *r = &u->reports[k % REPORTS_MAX];
			balance_load_t load = { .key = u->key,
						.outstanding = r->outstanding,
						.age_ms = now - r->at };

			if (load.age_ms < age)
				continue;
			balance_apply_gossip(&n->balance, &load, now);
			break;
		}
	}
}

static void tally_(peak_tally_t *t, const peak_kind_t *k,
		   const peak_request_t *r, bool served, mstime_t now)
{
	bool in_time = served && now - r->first_at <= k->objective_ms;

	t->requests++;
	t->in_time += in_time;
	t->tries_in_time += served && now - r->try_at <= k->objective_ms;
	t->lost += served && now > r->deadline;
	t->late += served && !in_time && now <= r->deadline;
	t->rejected += !served;
	if (in_time)
		t->worth += 1;
	else if (served && now <= r->deadline)
		t->worth += k->late_worth;
}

static void finish_request_(peak_t *p, peak_request_t *r, bool served,
			    mstime_t now)
{
	const peak_kind_t *k = &p->conf->kinds[r->kind];

	if (r->measured) {
		tally_(&p->out->kinds[r->kind], k, r, served, now);
		tally_(r->customer ? &p->out->others : &p->out->large, k, r,
		       served, now);
	}
	p->open--;
	g_free(r);
}

static gint by_try_(gconstpointer a, gconstpointer b, gpointer arg)
{
	const peak_request_t *ra = a;
	const peak_request_t *rb = b;

	(void)arg;
	return (ra->try_at > rb->try_at) - (ra->try_at < rb->try_at);
}

/* The caller comes back once, if it accepts the time. */
static void reject_(peak_t *p, peak_request_t *r, mstime_t retry_ms,
		    mstime_t now)
{
	if (r->measured) {
		p->out->kinds[r->kind].rejections++;
		(r->customer ? &p->out->others : &p->out->large)->rejections++;
	}
	if (r->returned || !retry_ms || retry_ms > (r->deadline - now) / 3) {
		finish_request_(p, r, false, now);
		return;
	}
	r->returned = true;
	r->try_at = now + retry_ms;
	g_queue_insert_sorted(&p->returning, r, by_try_, NULL);
}

static const char *customer_(int index, char *out, size_t size)
{
	snprintf(out, size, "c-%d", index);
	return out;
}

static balance_request_t describe_(peak_t *p, peak_node_t *n,
				   const peak_request_t *r, mstime_t now)
{
	const peak_kind_t *k = &p->conf->kinds[r->kind];
	char name[16];
	admission_arrival_t arrival = {
		.service = SERVICE,
		.customer = customer_(r->customer, name, sizeof(name)),
		.kind = k->name,
		.urgency = k->urgency,
		.size = 1,
		.capacity_per_s =
			balance_capacity(&n->balance, SERVICE) / p->conf->nodes,
		.objective_ms = k->objective_ms,
		.deadline = r->deadline,
		.hash = ++p->last_id * ID_STEP,
	};
	balance_request_t request = {
		.service = SERVICE,
		.over_share =
			shares_check_request(&n->shares, SERVICE, name, now),
	};

	admission_record_arrival(&n->admission, &arrival, now, &request.claim);
	return request;
}

/* Arrives at a node that is drawn at random. */
static void arrive_(peak_t *p, peak_request_t *r, mstime_t now)
{
	peak_node_t *n;
	balance_request_t request;
	char name[16];

	r->node = g_rand_int_range(p->rand, 0, p->conf->nodes);
	n = &p->nodes[r->node];
	hear_(p, n, now);
	request = describe_(p, n, r, now);
	for (int attempt = 0; attempt < 2; attempt++) {
		balance_pick_t pick =
			balance_choose(&n->balance, &request, now);
		peak_upstream_t *u;

		if (!pick.upstream) {
			reject_(p, r, attempt ? SHED_RETRY_MS : pick.retry_ms,
				now);
			return;
		}
		u = &p->upstreams[index_of_(pick.upstream)];
		if ((int)u->waiting.length < p->conf->queue) {
			r->upstream = pick.upstream;
			r->sent_at = now;
			r->left_ms = r->work_ms;
			shares_add_outstanding(
				&n->shares, SERVICE,
				customer_(r->customer, name, sizeof(name)), 1,
				now);
			g_queue_push_tail(&u->waiting, r);
			return;
		}
		balance_apply_report(pick.upstream, outstanding_(u),
				     p->conf->slots, now);
		balance_end_request(pick.upstream, BALANCE_SHED, -1, now);
		request.claim.begun = true;
		request.exclude[request.exclude_count++] =
			pick.upstream->local_id;
	}
	reject_(p, r, SHED_RETRY_MS, now);
}

static void answer_(peak_t *p, peak_upstream_t *u, peak_request_t *r,
		    mstime_t now)
{
	peak_node_t *n = &p->nodes[r->node];
	char name[16];
	int outstanding = outstanding_(u) + 1;

	u->reports[u->report_count++ % REPORTS_MAX] =
		(report_t){ now, outstanding };
	balance_apply_report(r->upstream, outstanding, p->conf->slots, now);
	balance_record_hold(r->upstream, now - r->sent_at);
	balance_end_request(r->upstream, BALANCE_OK, now - r->sent_at, now);
	shares_add_outstanding(&n->shares, SERVICE,
			       customer_(r->customer, name, sizeof(name)), -1,
			       now);
	finish_request_(p, r, true, now);
}

/* One millisecond of work in each slot. */
static void work_(peak_t *p, peak_upstream_t *u, mstime_t now)
{
	if (!((now - START_MS) % p->conf->slow_step_ms))
		u->pace = g_rand_double(p->rand) < p->conf->slow_share
				  ? p->conf->slow_factor
				  : 1;
	for (int i = 0; i < u->running_count;) {
		peak_request_t *r = u->running[i];

		r->left_ms -= 1 / u->pace;
		if (r->left_ms > 0) {
			i++;
			continue;
		}
		u->running[i] = u->running[--u->running_count];
		answer_(p, u, r, now);
	}
	while (u->waiting.length && u->running_count < p->conf->slots)
		u->running[u->running_count++] = g_queue_pop_head(&u->waiting);
}

static double normal_(GRand *rand)
{
	double u = 1 - g_rand_double(rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

static void create_(peak_t *p, int kind, int customer, mstime_t now)
{
	const peak_conf_t *c = p->conf;
	peak_request_t *r = g_new0(peak_request_t, 1);
	double mu = log(c->work_ms) - c->work_sigma * c->work_sigma / 2;

	*r = (peak_request_t){ .kind = kind,
			       .customer = customer,
			       .measured = now - START_MS >= c->calm_ms,
			       .first_at = now,
			       .try_at = now,
			       .deadline = now + c->kinds[kind].deadline_ms,
			       .work_ms = exp(mu + c->work_sigma *
							   normal_(p->rand)) };
	if (g_rand_double(p->rand) < c->long_share)
		r->work_ms *= LONG_FACTOR;
	p->open++;
	arrive_(p, r, now);
}

static void arrivals_of_(peak_t *p, int kind, int customer, double per_ms,
			 mstime_t now)
{
	if (g_rand_double(p->rand) >= per_ms / p->conf->clump)
		return;
	do
		create_(p, kind, customer, now);
	while (g_rand_double(p->rand) < 1 - 1 / p->conf->clump);
}

static void arrivals_(peak_t *p, mstime_t now)
{
	const peak_conf_t *c = p->conf;
	double phase = 2 * G_PI * (double)(now - START_MS) / (double)c->wave_ms;
	bool peak = now - START_MS >= c->calm_ms;

	for (int k = 0; k < PEAK_KINDS; k++) {
		double per_ms = c->kinds[k].per_s / MSEC_PER_SEC /
				c->customers * (1 + c->wave * sin(phase)) *
				(peak ? c->factor : 1);

		for (int i = 0; i < c->customers; i++)
			arrivals_of_(p, k, i,
				     per_ms *
					     (peak && !i ? c->large_factor : 1),
				     now);
	}
}

static void returns_(peak_t *p, mstime_t now)
{
	peak_request_t *r = g_queue_peek_head(&p->returning);

	while (r && r->try_at <= now) {
		g_queue_pop_head(&p->returning);
		arrive_(p, r, now);
		r = g_queue_peek_head(&p->returning);
	}
}

void peak_tally_add(peak_tally_t *sum, const peak_tally_t *t)
{
	sum->requests += t->requests;
	sum->in_time += t->in_time;
	sum->late += t->late;
	sum->rejected += t->rejected;
	sum->lost += t->lost;
	sum->rejections += t->rejections;
	sum->tries_in_time += t->tries_in_time;
	sum->worth += t->worth;
}

void peak_run(const peak_conf_t *conf, peak_result_t *out)
{
	peak_t *p = g_new0(peak_t, 1);
	mstime_t end = START_MS + conf->arrivals_ms;

	assert(conf && out && conf->upstreams <= UPSTREAMS_MAX &&
	       conf->slots <= SLOTS_MAX);
	*out = (peak_result_t){ 0 };
	p->conf = conf;
	p->out = out;
	p->rand = g_rand_new_with_seed(conf->seed);
	p->last_id = (uint64_t)conf->seed << 32;
	g_queue_init(&p->returning);
	p->nodes = g_new0(peak_node_t, conf->nodes);
	for (int i = 0; i < conf->nodes; i++)
		init_node_(p, i);
	for (int i = 0; i < conf->upstreams; i++) {
		g_queue_init(&p->upstreams[i].waiting);
		p->upstreams[i].pace = 1;
		p->upstreams[i].key = upstream_of_(&p->nodes[0], i)->key;
	}
	for (mstime_t now = START_MS; now < end || p->open; now++) {
		for (int i = 0; i < conf->upstreams; i++) {
			work_(p, &p->upstreams[i], now);
			p->busy_ms +=
				now < end ? p->upstreams[i].running_count : 0;
		}
		returns_(p, now);
		if (now < end)
			arrivals_(p, now);
	}
	out->use = p->busy_ms / (double)conf->arrivals_ms /
		   (conf->upstreams * conf->slots);
	for (int i = 0; i < conf->nodes; i++) {
		balance_finish(&p->nodes[i].balance);
		shares_finish(&p->nodes[i].shares);
		admission_finish(&p->nodes[i].admission);
	}
	g_free(p->nodes);
	g_rand_free(p->rand);
	g_free(p);
}
