/*
 * Which upstream a request goes to.
 */
#include "private/balance.h"

#include <kcf/rank.h>

#include <assert.h>
#include <math.h>
#include <string.h>

/*
 * A prompt leaves its warm upstream at a load between these two, so many times
 * the mean and some more; which one, a hash of the prompt decides. Thus a few
 * prompts leave an upstream that has too much, the same ones at every node.
 * What is left of the users' bound is for changes that reports do not show yet.
 */
#define LEAVE_FIRST_FACTOR 1.25
#define LEAVE_FIRST_SLACK 2.0
#define LEAVE_LAST_FACTOR 1.6
#define LEAVE_LAST_SLACK 2.5
/* Outstanding requests per slot above which a request would not start soon. */
#define FULL_FACTOR 3
/* The same for a customer above its share: the rest is for the others. */
#define FULL_SHARE_FACTOR 2
/* Interval of requests to an unsound upstream, to see whether it recovered. */
#define TRIAL_INTERVAL_MS 700
/* Part of a mean load that a hot prompt adds to each of its upstreams. */
#define HOT_PART 0.5
/* Turns the upper 53 bits of a hash into a number below 1. */
#define HASH_UNIT (1.0 / 9007199254740992.0)
/* When callers may come back: entries are read again, or the next request of a
 * cold upstream is due.
 */
#define RETRY_NONE_MS 300
#define RETRY_COLD_MS 150

const char *const balance_reason_string[] = {
	"first",    "spill",	   "hot",  "least",	     "trial",
	"baseline", "no upstream", "full", "over its share", "cold",
};

typedef struct choice {
	int at; /* -1 for none */
	double key;
	double score;
} choice_t;

/* Load per slot; the own data centre and a random part decide between equals.
 */
static double pressure_(balance_t *b, const candidates_t *c, guint i)
{
	const balance_upstream_t *u = c->list[i];
	double near = strcmp(u->data_centre, b->data_centre) ? 0.5 : 0;

	return (c->loads[i] + near + g_rand_double(b->rand)) / u->slots;
}

static void consider_least_(choice_t *best, int at, double key)
{
	if (best->at >= 0 && best->key <= key)
		return;
	best->at = at;
	best->key = key;
}

static void consider_first_(choice_t *best, int at, double score)
{
	if (best->at >= 0 && best->score >= score)
		return;
	best->at = at;
	best->score = score;
}

/*
 * How many upstreams a prompt needs, so that it adds only a part of a mean
 * load to each. All nodes see about the same share, without telling each other.
 */
static int width_(const balance_t *b, const candidates_t *c, double share)
{
	/* Before reports tell, the other nodes are taken to be like this one.
	 */
	double all = MAX(c->mean_load * c->count,
			 (double)c->own_outstanding * b->node_count);
	double load = share * all;

	return MAX(1, (int)(load / (HOT_PART *
				    MAX(c->mean_load, LEAVE_FIRST_SLACK)) +
			    0.5));
}

typedef struct survey {
	int width;			 /* upstreams that share the prompt */
	const balance_affinity_t *known; /* of the prompt, or NULL */
	choice_t home;	/* first of the affinity's order, loaded or not */
	choice_t next;	/* the one after it */
	choice_t first; /* first of it that bears more */
	choice_t least;
	choice_t last; /* least loaded, unsound ones included */
	int trial;     /* unsound one that is to be asked again, or -1 */
	int *able;     /* all that bear one more request */
	guint able_count;
	bool cold; /* one was left out because it is cold */
	bool full;
} survey_t;

static void rank_(survey_t *s, int at, double score)
{
	if (s->home.at >= 0 && s->home.score >= score) {
		consider_first_(&s->next, at, score);
		return;
	}
	s->next = s->home;
	consider_first_(&s->home, at, score);
}

/* Load above which a prompt is not sent to an upstream. */
static double bound_(const candidates_t *c, const balance_upstream_t *u,
		     uint64_t affinity)
{
	double first = c->mean_load * LEAVE_FIRST_FACTOR + LEAVE_FIRST_SLACK;
	double last = c->mean_load * LEAVE_LAST_FACTOR + LEAVE_LAST_SLACK;
	uint64_t hash = str_hash64(
		(str_t){ (const char *)&affinity, sizeof(affinity) }, u->hash);

	return first + (last - first) * (double)(hash >> 11) * HASH_UNIT;
}

static bool within_bound_(const candidates_t *c, int at, uint64_t affinity)
{
	return c->loads[at] + 1 <= bound_(c, c->list[at], affinity);
}

/* Work that is only supposed fills nothing. */
static bool full_(const balance_request_t *ask, const balance_upstream_t *u,
		  int load, mstime_t now)
{
	int known =
		balance_has_fresh_report(u, now) ? load : u->own_outstanding;
	int factor = ask->over_share ? FULL_SHARE_FACTOR : FULL_FACTOR;

	return known >= u->slots * factor;
}

static void survey_(balance_t *b, const balance_request_t *ask,
		    const candidates_t *c, mstime_t now, survey_t *s)
{
	balance_affinity_t *known =
		ask->affinity ? balance_get_affinity(b, ask->affinity, now)
			      : NULL;
	uint64_t home = known ? known->preferred_id : 0;

	if (known && !ask->exclude_count)
		balance_count_prompt(b, known);
	*s = (survey_t){ .width = known ? width_(b, c,
						 balance_prompt_share(b, known))
					: 1,
			 .known = known,
			 .home = { -1 },
			 .next = { -1 },
			 .first = { -1 },
			 .least = { -1 },
			 .last = { -1 },
			 .trial = -1,
			 .able = g_new(int, c->count + 1) };
	for (guint i = 0; i < c->count; i++) {
		balance_upstream_t *u = c->list[i];
		double score = u->local_id == home
				       ? HUGE_VAL
				       : rank_score(ask->affinity, u->hash, 1);
		double key = pressure_(b, c, i);

		rank_(s, (int)i, score);
		if (full_(ask, u, c->loads[i], now)) {
			s->full = true;
			continue;
		}
		if (!balance_cold_rate_allows(b, u, now)) {
			s->cold = true;
			continue;
		}
		s->able[s->able_count++] = (int)i;
		consider_least_(&s->last, (int)i, key);
		if (balance_is_unhealthy(c, u)) {
			if (now >= u->next_probe_at && !u->own_outstanding)
				s->trial = (int)i;
			continue;
		}
		consider_least_(&s->least, (int)i, key);
		if (within_bound_(c, (int)i, ask->affinity))
			consider_first_(&s->first, (int)i, score);
	}
}

static balance_pick_t refuse_(balance_t *b, const balance_request_t *ask,
			      const candidates_t *c, const survey_t *s,
			      mstime_t now)
{
	if (s->cold)
		return (balance_pick_t){ .reason = BALANCE_COLD,
					 .retry_ms = RETRY_COLD_MS };
	if (s->full)
		return (balance_pick_t){
			.reason = ask->over_share ? BALANCE_OVER_SHARE
						  : BALANCE_FULL,
			.retry_ms = balance_retry_delay(b, ask->service, c, now)
		};
	return (balance_pick_t){ .reason = BALANCE_NO_UPSTREAM,
				 .retry_ms = RETRY_NONE_MS };
}

static gint by_score_(gconstpointer a, gconstpointer b)
{
	const choice_t *ca = a;
	const choice_t *cb = b;

	return (cb->score > ca->score) - (cb->score < ca->score);
}

/* Any of the first in the prompt's order that bear it, or -1. */
static int by_width_(balance_t *b, const balance_request_t *ask,
		     const candidates_t *c, const survey_t *s, int width)
{
	GArray *fit = g_array_new(FALSE, FALSE, sizeof(choice_t));
	int at = -1;

	for (guint i = 0; i < s->able_count; i++) {
		const balance_upstream_t *u = c->list[s->able[i]];
		choice_t choice = { s->able[i], 0,
				    rank_score(ask->affinity, u->hash, 1) };

		if (!balance_is_unhealthy(c, u) &&
		    within_bound_(c, choice.at, ask->affinity))
			g_array_append_val(fit, choice);
	}
	g_array_sort(fit, by_score_);
	if (fit->len) {
		gint32 n = (gint32)MIN(fit->len, (guint)width);
		gint32 i = g_rand_int_range(b->rand, 0, n);

		at = g_array_index(fit, choice_t, i).at;
	}
	g_array_unref(fit);
	return at;
}

/*
 * How many times the home has what the users allow. A prompt may be hot at all
 * nodes and new to this one: what leaves such a home must not go to the next
 * upstream alone.
 */
static int overrun_(const candidates_t *c, const survey_t *s)
{
	double allowed =
		c->mean_load * BALANCE_LIMIT_FACTOR + BALANCE_LIMIT_SLACK;

	if (s->home.at < 0)
		return 1;
	return (int)ceil(c->loads[s->home.at] / allowed);
}

static int by_bound_(balance_t *b, const balance_request_t *ask,
		     const candidates_t *c, const survey_t *s,
		     balance_reason_t *reason)
{
	int width = MAX(s->width, overrun_(c, s));
	int at = width > 1 ? by_width_(b, ask, c, s, width) : -1;

	if (at >= 0) {
		*reason = BALANCE_HOT;
		return at;
	}
	if (ask->affinity && s->first.at >= 0) {
		*reason = s->first.at == s->home.at ? BALANCE_FIRST
						    : BALANCE_SPILL;
		return s->first.at;
	}
	*reason = BALANCE_LEAST_LOADED;
	return s->least.at >= 0 ? s->least.at : s->last.at;
}

static int by_load_(balance_t *b, const balance_request_t *ask,
		    const candidates_t *c, const survey_t *s,
		    balance_reason_t *reason)
{
	(void)b;
	(void)ask;
	(void)c;
	*reason = BALANCE_BASELINE;
	return s->last.at;
}

static int by_chance_(balance_t *b, const balance_request_t *ask,
		      const candidates_t *c, const survey_t *s,
		      balance_reason_t *reason)
{
	(void)ask;
	(void)c;
	*reason = BALANCE_BASELINE;
	if (!s->able_count)
		return -1;
	return s->able[g_rand_int_range(b->rand, 0, (gint32)s->able_count)];
}

static int by_hash_(balance_t *b, const balance_request_t *ask,
		    const candidates_t *c, const survey_t *s,
		    balance_reason_t *reason)
{
	choice_t best = { -1 };

	if (!ask->affinity)
		return by_chance_(b, ask, c, s, reason);
	*reason = BALANCE_BASELINE;
	for (guint i = 0; i < s->able_count; i++) {
		const balance_upstream_t *u = c->list[s->able[i]];

		consider_first_(&best, s->able[i],
				rank_score(ask->affinity, u->hash, 1));
	}
	return best.at;
}

/* Returns the place in the list of candidates, or -1 for none. */
typedef int (*placement_fn)(balance_t *b, const balance_request_t *ask,
			    const candidates_t *c, const survey_t *s,
			    balance_reason_t *reason);

static const placement_fn placements[PLACEMENT_COUNT] = {
	[PLACEMENT_BOUNDED] = by_bound_,
	[PLACEMENT_RANDOM] = by_chance_,
	[PLACEMENT_LEAST_LOADED] = by_load_,
	[PLACEMENT_HASH] = by_hash_,
};

static int decide_(balance_t *b, const balance_request_t *ask,
		   const candidates_t *c, const survey_t *s, mstime_t now,
		   balance_reason_t *reason)
{
	bool trial = s->trial >= 0 && !ask->exclude_count &&
		     b->placement == PLACEMENT_BOUNDED;

	if (!trial)
		return placements[b->placement](b, ask, c, s, reason);
	c->list[s->trial]->next_probe_at = now + TRIAL_INTERVAL_MS;
	*reason = BALANCE_PROBE;
	return s->trial;
}

/* How well a prompt can be copied from an upstream; 0 for not at all. */
static int copy_value_(const balance_affinity_t *known,
		       const balance_upstream_t *u)
{
	int value = known->preferred_id == u->local_id ? 1 : 0;

	for (int i = 0; i < BALANCE_WARM_MAX; i++) {
		if (known->warm_ids[i] == u->local_id)
			value = 1 + BALANCE_WARM_MAX - i;
	}
	/* One that leaves may have ended before its entry says so. */
	return value && !u->leaving ? value + BALANCE_WARM_MAX + 1 : value;
}

/*
 * Where the chosen upstream may copy the prompt from. A prompt that is in no
 * cache yet is looked for in vain, at little cost.
 */
static const balance_upstream_t *warm_(const balance_t *b,
				       const candidates_t *c, const survey_t *s,
				       const balance_upstream_t *chosen)
{
	const choice_t *other = &s->home;
	const balance_upstream_t *best = NULL;
	GHashTableIter iter;
	gpointer value;
	int most = 0;

	if (copy_value_(s->known, chosen))
		return NULL;
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		int worth = copy_value_(s->known, value);

		if (worth <= most)
			continue;
		most = worth;
		best = value;
	}
	if (best)
		return best;
	if (other->at >= 0 && c->list[other->at] == chosen)
		other = &s->next;
	return other->at >= 0 ? c->list[other->at] : NULL;
}

balance_pick_t balance_choose(balance_t *b, const balance_request_t *ask,
			      mstime_t now)
{
	balance_pick_t pick = { 0 };
	candidates_t c;
	survey_t s;
	int at;

	assert(b && ask && ask->service);
	balance_collect_candidates(b, ask, now, &c);
	survey_(b, ask, &c, now, &s);
	at = decide_(b, ask, &c, &s, now, &pick.reason);
	if (at < 0) {
		pick = refuse_(b, ask, &c, &s, now);
	} else {
		pick.upstream = c.list[at];
		pick.load = c.loads[at];
		pick.load_age_ms = pick.upstream->reported_at
					   ? now - pick.upstream->reported_at
					   : -1;
		balance_count_own(pick.upstream, 1, now);
		if (ask->affinity)
			pick.copy_source = warm_(b, &c, &s, pick.upstream);
		/* The place of one that was passed over is kept. */
		if (ask->affinity && pick.reason == BALANCE_FIRST)
			balance_set_preferred(b, ask->affinity,
					      pick.upstream->local_id, now);
		if (balance_is_cold(b, pick.upstream, now))
			pick.upstream->cold_tokens -= 1;
	}
	pick.mean_load = c.mean_load;
	g_free(s.able);
	balance_free_candidates(&c);
	return pick;
}
