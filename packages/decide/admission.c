#include <kcf/admission.h>

#include <assert.h>
#include <math.h>

/*
 * Time constants of the customers' rates. A node of a large fleet sees about
 * one request of a customer in the longer one. The shorter one follows a
 * customer of which a node sees enough requests in it.
 */
#define LONG_WINDOW_MS 8000.0
#define SHORT_WINDOW_MS 1000.0
#define SHORT_WINDOW_MIN 10.0
/* Weight of the last request that no longer makes its customer active. */
#define RATE_WEIGHT_MIN 0.05
/* Interval of the search for customers that are no longer active. */
#define SWEEP_INTERVAL_MS 1000
/* Multiple of an even share that each customer may send, */
#define SHARE_FACTOR 2.0
/* multiple from which those that send less are preferred, as sizes differ, */
#define EVEN_FACTOR 1.5
/* and rate that says nothing of a customer: one clump in the longer window. */
#define SHARE_MIN_PER_S (3.0 * MSEC_PER_SEC / LONG_WINDOW_MS)
/*
 * Fraction of the capacity that is divided among the customers; the rest is for
 * what exceeds their shares.
 */
#define SHARED_USE 0.9
/* Steps in which the division is found. */
#define LEVEL_PASSES 4
/* A class of urgency counts as present this long after its last request. */
#define KIND_ACTIVE_MS 10000
/* Of a service, at a time; the one seen longest ago is forgotten. */
#define KINDS_MAX 16
/* Time left from which a request counts as a first try, of the longest. */
#define FIRST_LEFT_MIN 0.9
/* Fraction of first tries from which the others count as further tries. */
#define FIRST_SHARE_MIN 0.5
/* Weight of one request in the means of its kind. */
#define FIRST_WEIGHT 0.02
/*
 * Requests waiting per slot up to which one may be admitted: with those that
 * run, three outstanding per slot, as without admission.
 */
#define WAITING_PER_SLOT 2.0
/*
 * The limit of a request is drawn from this fraction of the highest one up to
 * it. Between the two, the fraction of requests that is admitted falls from all
 * to none, also of less urgent ones.
 */
#define LIMIT_SPREAD 0.3
/*
 * Fraction of the limit that is kept from a request for each class that is more
 * urgent. It is a third of the spread, so that less urgent requests are still
 * admitted at a load at which a half of the more urgent ones is rejected.
 */
#define RESERVE 0.1
/* Classes of urgency that have a reserve. */
#define RESERVES_MAX 2
/*
 * The same for customers that send more than an even share: the whole spread,
 * so that smaller ones are still admitted where these are rejected.
 */
#define SHARE_RESERVE 0.3
/*
 * Fraction of the limit for what exceeds a customer's share: half a waiting
 * request per slot, which keeps slots in use although reports are late.
 */
#define SURPLUS_LIMIT 0.25
/* Callers accept at most this fraction of the time they have left. */
#define RETRY_FRACTION (1.0 / 3)
/* Round trip and timer resolution of callers. */
#define RETRY_MIN_MS 50
/* For requests without a deadline; as without admission. */
#define RETRY_MAX_MS 2000
/* Scales the upper 53 bits of a hash to the range from 0 to below 1. */
#define HASH_TO_FRACTION (1.0 / 9007199254740992.0)
/* Multipliers that make independent draws from one hash (odd constants). */
#define DRAW_LIMIT 0x9e3779b97f4a7c15ULL
#define DRAW_SURPLUS 0xc2b2ae3d27d4eb4fULL
#define DRAW_RETRY 0x165667b19e3779f9ULL

/* Requests, each counting less as time passes. */
typedef struct demand {
	double long_sum;
	double short_sum;
	mstime_t at;
} demand_t;

/* Requests of one route at one urgency. */
typedef struct kind_demand {
	char *name;
	int urgency;
	mstime_t seen_at;
	double longest_ms;  /* time that a caller has left at its first try */
	double first_share; /* moving fraction of requests with about that */
} kind_demand_t;

typedef struct service_demand {
	GHashTable *customers; /* char * to demand_t * */
	demand_t all;
	mstime_t swept_at;
	kind_demand_t kinds[KINDS_MAX];
	int kind_count;
} service_demand_t;

static void free_service_(gpointer p)
{
	service_demand_t *s = p;

	g_hash_table_destroy(s->customers);
	for (int i = 0; i < s->kind_count; i++)
		g_free(s->kinds[i].name);
	g_free(s);
}

void admission_init(admission_t *a)
{
	assert(a);
	a->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_service_);
}

void admission_finish(admission_t *a)
{
	assert(a);
	g_hash_table_destroy(a->services);
}

static double draw_(uint64_t hash, uint64_t multiplier)
{
	uint64_t mixed = (hash ^ (hash >> 32)) * multiplier;

	mixed = (mixed ^ (mixed >> 29)) * multiplier;
	return (double)(mixed >> 11) * HASH_TO_FRACTION;
}

static double remaining_(const demand_t *d, double window_ms, mstime_t now)
{
	return exp(-(double)(now - d->at) / window_ms);
}

static double long_sum_(const demand_t *d, mstime_t now)
{
	return d->long_sum * remaining_(d, LONG_WINDOW_MS, now);
}

static double short_sum_(const demand_t *d, mstime_t now)
{
	return d->short_sum * remaining_(d, SHORT_WINDOW_MS, now);
}

static double per_s_(const demand_t *d, mstime_t now)
{
	double slow = long_sum_(d, now) / LONG_WINDOW_MS;
	double fast = short_sum_(d, now);

	if (fast < SHORT_WINDOW_MIN)
		return slow * MSEC_PER_SEC;
	return MAX(slow, fast / SHORT_WINDOW_MS) * MSEC_PER_SEC;
}

static void add_(demand_t *d, double size, mstime_t now)
{
	d->long_sum = long_sum_(d, now) + size;
	d->short_sum = short_sum_(d, now) + size;
	d->at = now;
}

static service_demand_t *get_service_(admission_t *a, const char *name)
{
	service_demand_t *s = g_hash_table_lookup(a->services, name);

	if (s)
		return s;
	s = g_new0(service_demand_t, 1);
	s->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(a->services, g_strdup(name), s);
	return s;
}

static demand_t *get_customer_(service_demand_t *s, const char *name)
{
	demand_t *d = g_hash_table_lookup(s->customers, name);

	if (d)
		return d;
	d = g_new0(demand_t, 1);
	g_hash_table_insert(s->customers, g_strdup(name), d);
	return d;
}

static gboolean is_inactive_(gpointer key, gpointer value, gpointer arg)
{
	const mstime_t *now = arg;

	(void)key;
	return long_sum_(value, *now) < RATE_WEIGHT_MIN;
}

static void sweep_(service_demand_t *s, mstime_t now)
{
	if (now - s->swept_at < SWEEP_INTERVAL_MS)
		return;
	s->swept_at = now;
	g_hash_table_foreach_remove(s->customers, is_inactive_, &now);
}

/* A place for a kind: a free one, or that of the one seen longest ago. */
static kind_demand_t *get_place_(service_demand_t *s)
{
	kind_demand_t *oldest = s->kinds;

	if (s->kind_count < KINDS_MAX)
		return &s->kinds[s->kind_count++];
	for (int i = 1; i < KINDS_MAX; i++) {
		if (s->kinds[i].seen_at < oldest->seen_at)
			oldest = &s->kinds[i];
	}
	g_free(oldest->name);
	return oldest;
}

static kind_demand_t *get_kind_(service_demand_t *s, const char *name,
				int urgency)
{
	kind_demand_t *k;

	for (int i = 0; i < s->kind_count; i++) {
		k = &s->kinds[i];
		if (k->urgency == urgency && !g_strcmp0(k->name, name))
			return k;
	}
	k = get_place_(s);
	*k = (kind_demand_t){ .name = g_strdup(name),
			      .urgency = urgency,
			      .first_share = 1 };
	return k;
}

/* Number of more urgent classes among the kinds seen lately. */
static int outranked_(const service_demand_t *s, int urgency, mstime_t now)
{
	bool seen[ADMISSION_URGENCY_LAST + 1] = { false };
	int count = 0;

	for (int i = 0; i < s->kind_count; i++) {
		const kind_demand_t *k = &s->kinds[i];

		if (k->urgency >= urgency || seen[k->urgency] ||
		    now - k->seen_at > KIND_ACTIVE_MS)
			continue;
		seen[k->urgency] = true;
		count++;
	}
	return count;
}

/*
 * What each customer may send so that all together send no more than a total:
 * those that send less leave the rest to the others.
 */
static double level_(const service_demand_t *s, double total, mstime_t now)
{
	double level = total / g_hash_table_size(s->customers);

	for (int pass = 0; pass < LEVEL_PASSES; pass++) {
		double rest = total;
		int above = 0;
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, s->customers);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			double sent = per_s_(value, now);

			above += sent > level;
			rest -= sent > level ? 0 : sent;
		}
		if (!above)
			return HUGE_VAL;
		level = rest / above;
	}
	return level;
}

/*
 * Fraction of a customer's recent requests that exceeds what each customer may
 * send: a multiple of an even share, or, if all send more than the service can
 * run, its part of that.
 */
static double surplus_(const service_demand_t *s, const demand_t *customer,
		       double capacity_per_s, mstime_t now)
{
	double sent = per_s_(customer, now);
	double all = per_s_(&s->all, now);
	double total = capacity_per_s * SHARED_USE;
	double allowed = SHARE_FACTOR * all / g_hash_table_size(s->customers);

	/* The only active one is not above its share. */
	if (g_hash_table_size(s->customers) < 2)
		return 0;
	/* A rate of few requests would tell an overload where there is none. */
	if (total > 0 && all > total &&
	    short_sum_(&s->all, now) >= SHORT_WINDOW_MIN)
		allowed = MIN(allowed, level_(s, total, now));
	allowed = MAX(allowed, SHARE_MIN_PER_S);
	return sent > allowed ? 1 - allowed / sent : 0;
}

static bool is_above_even_(const service_demand_t *s, const demand_t *customer,
			   mstime_t now)
{
	double even = per_s_(&s->all, now) / g_hash_table_size(s->customers);

	return per_s_(customer, now) > MAX(EVEN_FACTOR * even, SHARE_MIN_PER_S);
}

/*
 * Whether a request came back after a rejection and is past its objective. The
 * time left tells where most callers of a kind begin with the same.
 */
static bool is_late_(kind_demand_t *k, const admission_arrival_t *arrival,
		     mstime_t now)
{
	double left = (double)(arrival->deadline - now);
	bool first;

	/* Streams that are taken up have less time left, too. */
	if (!arrival->objective_ms || !arrival->deadline || arrival->ordered)
		return false;
	if (left > k->longest_ms)
		k->longest_ms = left;
	else
		k->longest_ms -= FIRST_WEIGHT * (k->longest_ms - left);
	first = left >= FIRST_LEFT_MIN * k->longest_ms;
	k->first_share += FIRST_WEIGHT * ((first ? 1 : 0) - k->first_share);
	return !first && k->first_share > FIRST_SHARE_MIN &&
	       k->longest_ms - left > (double)arrival->objective_ms;
}

void admission_record_arrival(admission_t *a,
			      const admission_arrival_t *arrival, mstime_t now,
			      admission_claim_t *claim)
{
	service_demand_t *s;
	demand_t *customer;
	kind_demand_t *kind;
	int urgency = CLAMP(arrival->urgency, 0, ADMISSION_URGENCY_LAST);

	assert(a && arrival->service && arrival->customer && claim);
	s = get_service_(a, arrival->service);
	sweep_(s, now);
	customer = get_customer_(s, arrival->customer);
	add_(customer, arrival->size, now);
	add_(&s->all, arrival->size, now);
	kind = get_kind_(s, arrival->kind, urgency);
	kind->seen_at = now;
	*claim = (admission_claim_t){
		.hash = arrival->hash,
		.objective_ms = arrival->objective_ms,
		.deadline = arrival->deadline,
		.ordered = arrival->ordered,
		.outranked = outranked_(s, urgency, now),
		.surplus = draw_(arrival->hash, DRAW_SURPLUS) <
			   surplus_(s, customer, arrival->capacity_per_s, now),
		.above_even = is_above_even_(s, customer, now),
		.late = is_late_(kind, arrival, now),
	};
}

/* Time until a request that comes now gets a slot. */
static double wait_ms_(const admission_view_t *view)
{
	int ahead = view->load + 1 - view->slots;

	return ahead > 0 ? ahead * view->hold_ms / view->slots : 0;
}

/* Longest wait with which the most favoured request is admitted. */
static double wait_max_ms_(const admission_claim_t *claim,
			   const admission_view_t *view)
{
	double most = WAITING_PER_SLOT * view->hold_ms;

	/* Its wait follows from its urgency rather than from the queue. */
	if (!claim->objective_ms || claim->ordered)
		return most;
	/* If the objective cannot be met, late responses are the best there
	 * are, so that a queue of one request per slot is allowed.
	 */
	return CLAMP((double)claim->objective_ms - view->hold_ms, view->hold_ms,
		     most);
}

static double reserve_(const admission_claim_t *claim)
{
	return RESERVE * MIN(claim->outranked, RESERVES_MAX) +
	       (claim->above_even ? SHARE_RESERVE : 0);
}

/* Part of the longest wait with which this request is admitted. */
static double limit_(const admission_claim_t *claim)
{
	return 1 - LIMIT_SPREAD * draw_(claim->hash, DRAW_LIMIT);
}

static bool misses_deadline_(const admission_claim_t *claim,
			     const admission_view_t *view, mstime_t now)
{
	return claim->deadline && wait_ms_(view) + view->least_ms >
					  (double)(claim->deadline - now);
}

admission_verdict_t admission_decide(const admission_claim_t *claim,
				     const admission_view_t *view, mstime_t now)
{
	double part;
	double limit;

	assert(claim && view && view->slots > 0 && view->hold_ms > 0);
	if (misses_deadline_(claim, view, now))
		return ADMISSION_LATE;
	part = wait_ms_(view) / wait_max_ms_(claim, view);
	limit = limit_(claim);
	if (part <= 0)
		return ADMISSION_ADMIT;
	/* Another rejection would waste what has been done for it. */
	if (claim->begun)
		return part > 1 ? ADMISSION_BUSY : ADMISSION_ADMIT;
	/* Served late, it would make those behind it late too. */
	if (claim->late || part > limit)
		return ADMISSION_BUSY;
	if (claim->surplus && part > SURPLUS_LIMIT * limit)
		return ADMISSION_SURPLUS;
	return part > limit - reserve_(claim) ? ADMISSION_RESERVED
					      : ADMISSION_ADMIT;
}

mstime_t admission_retry_ms(const admission_claim_t *claim,
			    const admission_view_t *view, mstime_t now)
{
	double excess;
	double first;
	double last = RETRY_MAX_MS;
	double left = (double)(claim->deadline - now);

	assert(claim && view && view->slots > 0);
	excess = view->service_load - view->service_slots;
	first = MAX(excess, 0) * view->hold_ms / MAX(view->service_slots, 1) +
		MAX(view->hold_ms, RETRY_MIN_MS);
	if (claim->deadline)
		last = MAX(left * RETRY_FRACTION, 1);
	if (first >= last)
		/* Callers come back if a slot may be free by their deadline. */
		return (mstime_t)(first < left || !claim->deadline ? last
								   : first);
	return (mstime_t)(first +
			  (last - first) * draw_(claim->hash, DRAW_RETRY));
}
