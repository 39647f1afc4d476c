/*
 * What nodes have seen of both versions, and whether it is against the new one.
 */
#include <kcf/rollout.h>

#include <assert.h>
#include <math.h>
#include <string.h>

/* Answers of the old version below which a route has no mean of its own. */
#define PACE_MIN 5
/* An answer is slow above this multiple of the old version's mean... */
#define SLOW_FACTOR 3
/* ...and above this part of the route's latency objective, since a version that
 * is well within it harms no caller.
 */
#define SLOW_OBJECTIVE_FRACTION 0.5
/* The least such time for routes without an objective. */
#define SLOW_MIN_MS 60
/* A prompt that is prefilled anew may take this many objectives longer. */
#define MISS_OBJECTIVES 2
/* The same for routes without an objective; long prompts take 450 ms. */
#define MISS_MS 1000
/*
 * Probability with which both versions, if they are alike, show such a
 * difference by chance. The evidence of each route is looked at ten times a
 * second, some thousand times in all: with 0.005 good versions beside upstreams
 * of which a fifth fail were reverted. Three failures of three are enough after
 * a hundred sound answers of the old version.
 */
#define CHANCE 3e-5
/* At this probability there is a doubt: the next step waits for more answers.
 */
#define DOUBT 0.02
/* Fewer bad answers prove nothing, whatever their share. */
#define FAILURES_MIN 3
#define SLOW_MIN 5
#define DOUBT_MIN 2
/* Least difference of the shares of slow answers: loads differ a little. */
#define SLOW_DIFFERENCE 0.1
/* Old answers on a route below which all routes are compared with. */
#define OLD_MIN 20
/* Bad answers of a single upstream that count against the version. */
#define SINGLE_UPSTREAM_MIN 12
/*
 * From this number of bad answers on a share of twice the old one's is enough:
 * sending has to stop soon after the 50th.
 */
#define MANY_BAD 30
#define MANY_BAD_FACTOR 2.0
#define MANY_BAD_SHARE 0.02
#define UPSTREAM_BITS 32

static rollout_route_t *route_(rollout_tally_t *t, uint32_t key)
{
	rollout_route_t *last = &t->routes[ROLLOUT_ROUTES_MAX - 1];

	for (guint i = 0; i < t->route_count; i++) {
		if (t->routes[i].route == key)
			return &t->routes[i];
	}
	if (t->route_count == ROLLOUT_ROUTES_MAX) {
		last->route = 0;
		return last;
	}
	t->routes[t->route_count] = (rollout_route_t){ .route = key };
	return &t->routes[t->route_count++];
}

void rollout_count_request(rollout_tally_t *t, rollout_side_t side)
{
	assert(t && side < ROLLOUT_SIDE_COUNT);
	t->requests[side]++;
}

void rollout_count_answer(rollout_tally_t *t, const rollout_answer_t *a,
			  bool slow)
{
	rollout_counts_t *c;

	assert(t && a);
	c = &route_(t, a->route)->sides[a->side];
	c->answered++;
	c->failed += a->failed;
	if (a->failed || slow)
		c->upstreams |= 1U << (a->upstream % UPSTREAM_BITS);
	if (a->failed || !a->timed)
		return;
	c->timed++;
	c->slow += slow;
	c->first_ms += (uint32_t)MAX(0, a->first_ms);
	c->whole_ms += (uint32_t)MAX(0, a->whole_ms);
}

static double slow_limit_(uint32_t mean_ms, const rollout_answer_t *a)
{
	double least = MAX(SLOW_MIN_MS,
			   SLOW_OBJECTIVE_FRACTION * (double)a->objective_ms);
	double limit = MAX(least, (double)mean_ms * SLOW_FACTOR);
	double miss = a->objective_ms
			      ? (double)a->objective_ms * MISS_OBJECTIVES
			      : MISS_MS;

	return a->cache_may_miss ? MAX(limit, mean_ms + miss) : limit;
}

bool rollout_is_slow(const rollout_pace_t *pace, const rollout_answer_t *a)
{
	assert(pace && a);
	if (!a->timed || a->failed)
		return false;
	if (pace->first_ms &&
	    (double)a->first_ms > slow_limit_(pace->first_ms, a))
		return true;
	return pace->whole_ms &&
	       (double)a->whole_ms > slow_limit_(pace->whole_ms, a);
}

static void counts_add_(rollout_counts_t *c, const rollout_counts_t *o)
{
	c->answered += o->answered;
	c->failed += o->failed;
	c->timed += o->timed;
	c->slow += o->slow;
	c->upstreams |= o->upstreams;
	c->first_ms += o->first_ms;
	c->whole_ms += o->whole_ms;
}

static void counts_max_(rollout_counts_t *c, const rollout_counts_t *o)
{
	/* One message has all counts of one time. */
	if (o->answered < c->answered || o->timed < c->timed)
		return;
	*c = *o;
}

void rollout_tally_add(rollout_tally_t *t, const rollout_tally_t *other)
{
	assert(t && other);
	for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
		t->requests[side] += other->requests[side];
	t->open_once += other->open_once;
	t->open_streams += other->open_streams;
	for (guint i = 0; i < other->route_count; i++) {
		const rollout_route_t *from = &other->routes[i];
		rollout_route_t *to = route_(t, from->route);

		for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
			counts_add_(&to->sides[side], &from->sides[side]);
	}
}

void rollout_tally_max(rollout_tally_t *t, const rollout_tally_t *other)
{
	assert(t && other);
	for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
		t->requests[side] =
			MAX(t->requests[side], other->requests[side]);
	t->open_once = other->open_once;
	t->open_streams = other->open_streams;
	for (guint i = 0; i < other->route_count; i++) {
		const rollout_route_t *from = &other->routes[i];
		rollout_route_t *to = route_(t, from->route);

		for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
			counts_max_(&to->sides[side], &from->sides[side]);
	}
}

rollout_pace_t rollout_pace_of(const rollout_route_t *r)
{
	const rollout_counts_t *old = &r->sides[ROLLOUT_OLD];
	rollout_pace_t pace = { .route = r->route };

	if (old->timed < PACE_MIN)
		return pace;
	pace.first_ms = MAX(1, old->first_ms / old->timed);
	pace.whole_ms = MAX(1, old->whole_ms / old->timed);
	return pace;
}

void rollout_evidence_init(rollout_evidence_t *e)
{
	assert(e);
	*e = (rollout_evidence_t){ 0 };
	e->nodes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void rollout_evidence_finish(rollout_evidence_t *e)
{
	assert(e);
	g_hash_table_destroy(e->nodes);
}

void rollout_evidence_put(rollout_evidence_t *e, const rollout_node_t *node)
{
	rollout_node_t *known;

	assert(e && node);
	known = g_hash_table_lookup(e->nodes, GUINT_TO_POINTER(node->key));
	if (known && node->incarnation < known->incarnation)
		return;
	if (!known) {
		known = g_new0(rollout_node_t, 1);
		known->key = node->key;
		g_hash_table_insert(e->nodes, GUINT_TO_POINTER(node->key),
				    known);
	} else if (node->incarnation > known->incarnation) {
		known->tally.open_once = 0;
		known->tally.open_streams = 0;
		rollout_tally_add(&e->former, &known->tally);
		known->tally = (rollout_tally_t){ 0 };
		known->seq = 0;
	}
	known->incarnation = node->incarnation;
	known->heard_at = node->heard_at;
	known->seq = node->seq;
	rollout_tally_max(&known->tally, &node->tally);
}

void rollout_evidence_sum(const rollout_evidence_t *e, mstime_t open_since,
			  rollout_tally_t *out)
{
	GHashTableIter iter;
	gpointer value;

	assert(e && out);
	*out = e->former;
	g_hash_table_iter_init(&iter, e->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const rollout_node_t *node = value;
		uint32_t once = out->open_once;
		uint32_t streams = out->open_streams;

		rollout_tally_add(out, &node->tally);
		if (node->heard_at >= open_since)
			continue;
		out->open_once = once;
		out->open_streams = streams;
	}
}

/* Logarithm of the number of ways to choose k of n. */
static double log_choose_(double n, double k)
{
	return lgamma(n + 1) - lgamma(k + 1) - lgamma(n - k + 1);
}

/*
 * Whether k bad answers of n are more than chance explains if both versions are
 * alike (Fisher's exact test).
 */
static bool is_higher_(uint32_t k, uint32_t n, uint32_t old_k, uint32_t old_n,
		       double chance)
{
	double all = (double)n + old_n;
	double bad = (double)k + old_k;
	double p;
	double tail = 0;

	if (!n || !old_n || (double)k * old_n <= (double)old_k * n)
		return false;
	p = exp(log_choose_(n, k) + log_choose_(old_n, old_k) -
		log_choose_(all, bad));
	for (double x = k; x <= MIN(n, bad) && tail <= chance; x++) {
		tail += p;
		p *= (bad - x) * (n - x) / ((x + 1) * (old_n - bad + x + 1));
	}
	return tail <= chance;
}

static double share_(uint32_t k, uint32_t n)
{
	return n ? (double)k / n : 0;
}

static bool is_of_several_(const rollout_counts_t *c, uint32_t bad)
{
	return __builtin_popcount(c->upstreams) > 1 ||
	       bad >= SINGLE_UPSTREAM_MIN;
}

/* The counts without those of an earlier time. */
static rollout_counts_t since_(const rollout_counts_t *c,
			       const rollout_counts_t *before)
{
	return (rollout_counts_t){
		.answered = c->answered - MIN(c->answered, before->answered),
		.failed = c->failed - MIN(c->failed, before->failed),
		.timed = c->timed - MIN(c->timed, before->timed),
		.slow = c->slow - MIN(c->slow, before->slow),
		.upstreams = c->upstreams,
	};
}

/*
 * The new version against the old one.
 * @sent: requests of the new version for each answer. Failures often come
 * sooner than answers, so that while its share grows, failures are too large a
 *        part of what is answered.
 */
static const char *compare_(const rollout_counts_t *old,
			    const rollout_counts_t *c, double sent, bool single)
{
	uint32_t bad = c->failed + c->slow;
	uint32_t n = (uint32_t)(c->answered * sent);
	uint32_t timed = (uint32_t)(c->timed * sent);

	if (!single && !is_of_several_(c, bad))
		return NULL;
	if (c->failed >= FAILURES_MIN &&
	    is_higher_(c->failed, n, old->failed, old->answered, CHANCE))
		return "more failures than the old version";
	if (c->slow >= SLOW_MIN &&
	    is_higher_(c->slow, timed, old->slow, old->timed, CHANCE) &&
	    share_(c->slow, timed) >
		    share_(old->slow, old->timed) + SLOW_DIFFERENCE)
		return "slower than the old version";
	if (bad >= MANY_BAD &&
	    share_(bad, n) >
		    MANY_BAD_SHARE +
			    MANY_BAD_FACTOR * share_(old->failed + old->slow,
						     old->answered))
		return "many bad answers";
	return NULL;
}

/* The same with less certainty. */
static bool doubt_(const rollout_counts_t *old, const rollout_counts_t *c,
		   double sent)
{
	uint32_t bad = c->failed + c->slow;

	return bad >= DOUBT_MIN &&
	       is_higher_(bad, (uint32_t)(c->answered * sent),
			  old->failed + old->slow, old->answered, DOUBT);
}

static const rollout_counts_t *new_before_(const rollout_tally_t *t,
					   uint32_t route)
{
	static const rollout_counts_t none = { 0 };

	for (guint i = 0; t && i < t->route_count; i++) {
		if (t->routes[i].route == route)
			return &t->routes[i].sides[ROLLOUT_NEW];
	}
	return &none;
}

typedef struct comparison {
	rollout_counts_t old;
	rollout_counts_t new;
	double sent; /* see compare_ */
} comparison_t;

/*
 * Fills in what is compared: each route, and all together.
 *
 * Return: number of comparisons, at most ROLLOUT_ROUTES_MAX + 1.
 */
static guint collect_(const rollout_tally_t *t, const rollout_tally_t *before,
		      comparison_t *out)
{
	comparison_t *all = &out[t->route_count];
	uint32_t requests = t->requests[ROLLOUT_NEW];

	if (before)
		requests -= MIN(requests, before->requests[ROLLOUT_NEW]);
	*all = (comparison_t){ 0 };
	for (guint i = 0; i < t->route_count; i++) {
		const rollout_route_t *r = &t->routes[i];

		out[i].old = r->sides[ROLLOUT_OLD];
		out[i].new = since_(&r->sides[ROLLOUT_NEW],
				    new_before_(before, r->route));
		counts_add_(&all->old, &out[i].old);
		counts_add_(&all->new, &out[i].new);
	}
	all->sent = MAX(1, (double)requests / MAX(1, all->new.answered));
	for (guint i = 0; i < t->route_count; i++) {
		out[i].sent = all->sent;
		if (out[i].old.answered < OLD_MIN)
			out[i].old = all->old;
	}
	return t->route_count + 1;
}

const char *rollout_find_fault(const rollout_tally_t *t,
			       const rollout_tally_t *before, bool single)
{
	comparison_t list[ROLLOUT_ROUTES_MAX + 1];
	const char *reason = NULL;
	guint n;

	assert(t);
	n = collect_(t, before, list);
	for (guint i = 0; i < n && !reason; i++)
		reason = compare_(&list[i].old, &list[i].new, list[i].sent,
				  single);
	return reason;
}

bool rollout_is_doubtful(const rollout_tally_t *t)
{
	comparison_t list[ROLLOUT_ROUTES_MAX + 1];
	bool doubtful = false;
	guint n;

	assert(t);
	n = collect_(t, NULL, list);
	for (guint i = 0; i < n && !doubtful; i++)
		doubtful = doubt_(&list[i].old, &list[i].new, list[i].sent);
	return doubtful;
}
