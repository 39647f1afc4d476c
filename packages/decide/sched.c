#include "private/slot.h"
#include <kcf/counter.h>
#include <kcf/rank.h>

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define SPILLS_MAX 100000
#define SPILL_IDLE_MS (3600 * MSEC_PER_SEC)
#define WINDOW_MS 2000
#define LEND_INTERVAL_MS 1000
/* Waiting requests look for another upstream after this time. */
#define REPLACE_AFTER_MS 250
#define NO_UPSTREAM_RETRY_MS 2000
#define MOVED_RETRY_MS 500
#define DURATION_SMOOTHING 0.2
/* Speed at which a prefix is computed again on a cold engine. */
#define PREFILL_TOKENS_PER_S 8000
/* Headroom that a lender keeps, in requests. */
#define LEND_KEEP 1
/* Standard deviations by which others' loads may have fallen unheard. */
#define STALE_DEVIATIONS 1.5

const char *const sched_refusal_string[] = {
	"no upstream in service",
	"queue is full",
	"cannot start before the deadline",
	"upstream is changing hands",
};

/* Load of all upstreams that could take a request. */
typedef struct totals {
	int out;
	int slots;
	double variance; /* of out, for what has changed since it was heard */
} totals_t;

/* Which entries a ranking may return. */
typedef enum rank_filter {
	RANK_ANY,
	RANK_SETTLED, /* only those that were not away of late */
	RANK_OWNED,
} rank_filter_t;

static slot_t *rank_(const sched_t *s, mstime_t now, const sched_request_t *r,
		     rank_filter_t filter);
static void move_chats_(sched_t *s, mstime_t now, const slot_t *sl);
static slot_t *slot_of_(const sched_t *s, uint32_t key);
static bool fits_(const sched_t *s, const sched_request_t *r, const slot_t *sl);
static bool in_region_(const sched_t *s, const slot_t *sl);
static bool excluded_(const sched_request_t *r, uint32_t key);
static totals_t totals_(const sched_t *s, mstime_t now,
			const service_t *service);
static void run_(sched_t *s, mstime_t now, slot_t *sl, const sched_request_t *r,
		 mstime_t waited);
static void refuse_(sched_t *s, const sched_request_t *r, sched_refusal_t why,
		    mstime_t retry_ms);
static void forward_(sched_t *s, slot_t *sl, const sched_request_t *r,
		     uint32_t target);
static void enqueue_(sched_t *s, mstime_t now, slot_t *sl,
		     const sched_request_t *r);
static void take_or_forward_(sched_t *s, mstime_t now, slot_t *sl, slot_t *home,
			     const sched_request_t *r);
static void pump_(sched_t *s, mstime_t now, slot_t *sl);
static void empty_queue_(sched_t *s, mstime_t now, slot_t *sl);
static void refresh_ownership_(sched_t *s, mstime_t now);
static void replace_waiting_(sched_t *s, mstime_t now, slot_t *sl);
static void lend_(sched_t *s, mstime_t now);

void sched_init(sched_t *s, const char *self, const char *data_centre,
		const char *region, guint32 seed, const sched_ops_t *ops,
		void *ctx)
{
	assert(s && self && ops);
	*s = (sched_t){ .ops = ops, .ctx = ctx };
	s->self = g_strdup(self);
	s->data_centre = g_strdup(data_centre);
	s->region = g_strdup(region);
	s->rand = g_rand_new_with_seed(seed);
	s->nodes = g_ptr_array_new_with_free_func(sched_node_free);
	s->slots = g_hash_table_new_full(NULL, NULL, NULL, slot_free);
	s->permits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	s->spills = g_new0(lru_t, 1);
	lru_init(s->spills, SPILLS_MAX, SPILL_IDLE_MS);
	power_book_init(&s->power);
}

void sched_finish(sched_t *s)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t id;
	void *user;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;

		while (fairq_pop(&sl->queue, &id, &user))
			g_free(user);
	}
	g_hash_table_destroy(s->slots);
	g_hash_table_destroy(s->permits);
	lru_finish(s->spills);
	g_free(s->spills);
	power_book_finish(&s->power);
	g_ptr_array_unref(s->nodes);
	view_unref(s->view);
	g_rand_free(s->rand);
	g_free(s->self);
	g_free(s->data_centre);
	g_free(s->region);
}

sched_node_t *sched_node_new(const char *name, const char *data_centre,
			     const char *region)
{
	sched_node_t *n = g_new0(sched_node_t, 1);

	n->name = g_strdup(name);
	n->data_centre = g_strdup(data_centre);
	n->region = g_strdup(region);
	n->hash = str_hash64(str_of(name), 0);
	return n;
}

void sched_node_free(void *p)
{
	sched_node_t *n = p;

	g_free(n->name);
	g_free(n->data_centre);
	g_free(n->region);
	g_free(n);
}

/* Nodes near an upstream come first: its data centre, its region, any. */
static int nearness_(const sched_node_t *n, const upstream_t *u)
{
	if (!strcmp(n->data_centre, u->data_centre->name))
		return 2;
	return !strcmp(n->region, u->data_centre->region);
}

const char *sched_owner_among(const GPtrArray *nodes, const upstream_t *u)
{
	const sched_node_t *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[i];
		double score = rank_score(u->hash, n->hash, 1);
		int near = nearness_(n, u);
		int best_near = best ? nearness_(best, u) : -1;

		if (near < best_near)
			continue;
		if (near > best_near || score > best_score) {
			best = n;
			best_score = score;
		}
	}
	return best ? best->name : NULL;
}

const char *sched_owner(const sched_t *s, const upstream_t *u)
{
	return sched_owner_among(s->nodes, u);
}

const char *sched_node_for(const sched_t *s, uint64_t number)
{
	const sched_node_t *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < s->nodes->len; i++) {
		const sched_node_t *n = s->nodes->pdata[i];
		double score = rank_score(number, n->hash, 1);

		if (score > best_score) {
			best = n;
			best_score = score;
		}
	}
	return best ? best->name : NULL;
}

void sched_set_view(sched_t *s, mstime_t now, view_t *view)
{
	bool first = !s->view;
	GPtrArray *left = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	view_ref(view);
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((slot_t *)value)->up = NULL;
	for (guint i = 0; i < view->upstreams->len; i++) {
		const upstream_t *u = view->upstreams->pdata[i];
		slot_t *sl = slot_of_(s, u->key);
		bool open = upstream_open(u);

		if (!sl) {
			sl = slot_new(u->key);
			sl->returned = !first;
			sl->stable_at = now;
			g_hash_table_insert(s->slots, GUINT_TO_POINTER(u->key),
					    sl);
		} else if (open && !sl->open) {
			/* Back in service: its chats return little by little.
			 */
			sl->returned = true;
			sl->stable_at = now;
			if (sl->owned)
				limit_restart(
					&sl->limit, now,
					(mstime_t)(u->ramp_s * MSEC_PER_SEC));
		}
		if (sl->owned && sl->open && !open)
			g_ptr_array_add(left, sl);
		sl->up = u;
		sl->open = open;
		if (sl->owned) {
			limit_resize(&sl->limit, u->slots, u->floor);
			lru_set_max(&sl->warm, u->cache_tokens);
		}
	}
	view_unref(s->view);
	s->view = view;
	refresh_ownership_(s, now);
	for (guint i = 0; i < left->len; i++)
		move_chats_(s, now, left->pdata[i]);
	g_ptr_array_unref(left);
}

void sched_set_nodes(sched_t *s, mstime_t now, GPtrArray *nodes)
{
	g_ptr_array_unref(s->nodes);
	s->nodes = nodes;
	refresh_ownership_(s, now);
}

/* Most recently used chats first, to where each ranks next. */
static void move_chats_(sched_t *s, mstime_t now, const slot_t *sl)
{
	sched_request_t r = { .sticky = true };

	g_strlcpy(r.service, sl->up->service->name, sizeof(r.service));
	for (const GList *l = sl->warm.order.head; l; l = l->next) {
		const lru_entry_t *e = l->data;
		sched_move_t m = { .chat = e->key };
		const slot_t *to;

		r.chat = e->key;
		to = rank_(s, now, &r, RANK_ANY);
		if (!to || to == sl)
			return;
		g_strlcpy(m.from, sl->up->address, sizeof(m.from));
		g_strlcpy(m.to, to->up->address, sizeof(m.to));
		s->ops->move(s->ctx, &m);
	}
}

static void refresh_ownership_(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *drained = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		const char *owner = sl->up ? sched_owner(s, sl->up) : NULL;
		bool owned = owner && !strcmp(owner, s->self);

		if (!sl->up && !sl->out && !fairq_length(&sl->queue)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (owned && !sl->owned)
			slot_acquire(sl, now);
		else if (!owned && sl->owned)
			slot_lose(sl);
		if (!owned || !sl->open)
			g_ptr_array_add(drained, sl);
	}
	/* Placing again may touch any slot, so it waits for the sweep's end. */
	for (guint i = 0; i < drained->len; i++)
		empty_queue_(s, now, drained->pdata[i]);
	g_ptr_array_unref(drained);
}

/* A request that an upstream has failed may go one hop further. */
static bool may_forward_(const sched_request_t *r)
{
	return r->hop < SCHED_HOPS_MAX + (r->excluded > 0);
}

static slot_t *slot_of_(const sched_t *s, uint32_t key)
{
	return g_hash_table_lookup(s->slots, GUINT_TO_POINTER(key));
}

static bool excluded_(const sched_request_t *r, uint32_t key)
{
	for (int i = 0; i < r->excluded; i++) {
		if (r->exclude[i] == key)
			return true;
	}
	return false;
}

static bool fits_(const sched_t *s, const sched_request_t *r, const slot_t *sl)
{
	const model_t *model = NULL;

	if (!sl->up || !sl->open || excluded_(r, sl->key))
		return false;
	if (strcmp(sl->up->service->name, r->service) != 0)
		return false;
	if (r->avoid[0] && !g_strcmp0(sched_owner(s, sl->up), r->avoid))
		return false;
	if (r->model[0])
		model = view_find(s->view, KIND_MODEL, r->model);
	return upstream_serves(sl->up, model);
}

static bool in_region_(const sched_t *s, const slot_t *sl)
{
	return !strcmp(sl->up->data_centre->region, s->region);
}

static totals_t totals_(const sched_t *s, mstime_t now,
			const service_t *service)
{
	totals_t t = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (!sl->up ||
		    strcmp(sl->up->service->name, service->name) != 0)
			continue;
		if (!slot_alive(sl, now) || !in_region_(s, sl))
			continue;
		if (!sl->open && !slot_load(sl, now))
			continue;
		t.out += slot_load(sl, now);
		t.slots += sl->up->slots;
		t.variance += slot_variance(sl, now);
	}
	return t;
}

/* How sure a load within the bound of the mean must be. */
typedef enum certainty {
	LIKELY,	 /* as far as known */
	CERTAIN, /* also if others' loads have fallen since they were heard */
} certainty_t;

/* Largest load within load_bound times the mean, one request of slack. */
static int bound_(const sched_t *s, mstime_t now, const slot_t *sl,
		  certainty_t certainty)
{
	totals_t t = totals_(s, now, sl->up->service);
	double out = t.out + 1;

	if (!t.slots)
		return sl->up->slots;
	if (certainty == CERTAIN)
		out -= MIN(out, STALE_DEVIATIONS * sqrt(t.variance));
	return (int)floor(s->view->load_bound * out * sl->up->slots / t.slots) +
	       1;
}

static bool placement_bounded_(const sched_t *s)
{
	return s->view->placement == PLACEMENT_BOUNDED;
}

static bool has_room_(const sched_t *s, mstime_t now, const slot_t *sl,
		      const char *customer, certainty_t certainty)
{
	int load = slot_load(sl, now);
	int limit = slot_limit(sl, s, now);

	if (sl->owned && (now < sl->hold_until || now < s->hold_all_until))
		return false;
	if (!placement_bounded_(s))
		return load < limit;
	return load < limit - slot_reserve(sl, now, customer, limit) &&
	       load < bound_(s, now, sl, certainty);
}

static bool passes_(mstime_t now, const slot_t *sl, rank_filter_t filter)
{
	switch (filter) {
	case RANK_SETTLED:
		return slot_weight(sl, now) == WEIGHT_SETTLED;
	case RANK_OWNED:
		return sl->owned;
	default:
		return true;
	}
}

static slot_t *rank_pass_(const sched_t *s, mstime_t now,
			  const sched_request_t *r, rank_filter_t filter,
			  bool near, bool held)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		uint32_t weight;
		double score;

		if (!fits_(s, r, sl) || !slot_alive(sl, now))
			continue;
		if (near && !in_region_(s, sl))
			continue;
		weight = MIN(slot_weight(sl, now), WEIGHT_FULL);
		if (held)
			weight = MAX(weight, 1);
		score = rank_score(r->chat, sl->up->hash,
				   sl->up->weight * weight / WEIGHT_FULL);
		if (score <= best_score || !passes_(now, sl, filter))
			continue;
		best = sl;
		best_score = score;
	}
	return best;
}

/* Best of the region, else of all; upstreams held back only if need be. */
static slot_t *rank_(const sched_t *s, mstime_t now, const sched_request_t *r,
		     rank_filter_t filter)
{
	slot_t *best = rank_pass_(s, now, r, filter, true, false);

	if (!best)
		best = rank_pass_(s, now, r, filter, false, false);
	if (!best)
		best = rank_pass_(s, now, r, filter, false, true);
	return best;
}

/*
 * Least loaded upstream of the region that has room; among equals the one that
 * ranks first, so that nodes which know the same do not all choose the same.
 */
static slot_t *least_loaded_(const sched_t *s, mstime_t now,
			     const sched_request_t *r, certainty_t certainty)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;
	double best_load = 0;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		double load;
		double score;

		if (!fits_(s, r, sl) || !slot_alive(sl, now) ||
		    !in_region_(s, sl) || !slot_weight(sl, now) ||
		    !has_room_(s, now, sl, r->customer, certainty))
			continue;
		load = (double)slot_load(sl, now) / sl->up->slots;
		score = rank_score(r->chat, sl->up->hash, sl->up->weight);
		if (best && (load > best_load ||
			     (load == best_load && score <= best_score)))
			continue;
		best = sl;
		best_load = load;
		best_score = score;
	}
	return best;
}

static bool warm_(const slot_t *sl, mstime_t now, const sched_request_t *r)
{
	return r->sticky && sl->owned && lru_get(&sl->warm, now, r->chat);
}

/*
 * First-ranked upstream of a chat. While the one that ranks first has been
 * away of late, the chat may be warm on the one that ranked first without it,
 * and stays there until cold.
 */
static slot_t *home_of_(const sched_t *s, mstime_t now,
			const sched_request_t *r)
{
	slot_t *first = rank_(s, now, r, RANK_ANY);
	slot_t *settled;

	if (!first || !r->sticky || slot_weight(first, now) == WEIGHT_SETTLED)
		return first;
	settled = rank_pass_(s, now, r, RANK_SETTLED, true, false);
	if (!settled)
		return first;
	if (settled->owned)
		return warm_(settled, now, r) ? settled : first;
	return r->hop == 0 ? settled : first;
}

static mstime_t recompute_ms_(const sched_request_t *r)
{
	return r->prompt_tokens * MSEC_PER_SEC / PREFILL_TOKENS_PER_S;
}

/* One way of choosing an upstream for a request that comes from a caller. */
typedef struct placement_ops {
	/* NULL when none is in service. */
	slot_t *(*choose)(sched_t *s, mstime_t now, const sched_request_t *r);
} placement_ops_t;

static slot_t *choose_home_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	return home_of_(s, now, r);
}

static slot_t *choose_random_(sched_t *s, mstime_t now,
			      const sched_request_t *r)
{
	sched_request_t any = *r;

	any.chat = ((uint64_t)g_rand_int(s->rand) << 32) | g_rand_int(s->rand);
	return rank_(s, now, &any, RANK_ANY);
}

static slot_t *choose_least_loaded_(sched_t *s, mstime_t now,
				    const sched_request_t *r)
{
	slot_t *sl = least_loaded_(s, now, r, LIKELY);

	return sl ? sl : choose_random_(s, now, r);
}

static slot_t *choose_hash_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	return rank_(s, now, r, RANK_ANY);
}

static const placement_ops_t placements[PLACEMENT_COUNT] = {
	[PLACEMENT_BOUNDED] = { choose_home_ },
	[PLACEMENT_RANDOM] = { choose_random_ },
	[PLACEMENT_LEAST_LOADED] = { choose_least_loaded_ },
	[PLACEMENT_HASH] = { choose_hash_ },
};

/* A baseline's choice stands, whatever the load. */
static void place_unbounded_(sched_t *s, mstime_t now, slot_t *sl,
			     const sched_request_t *r)
{
	if (!sl->owned && may_forward_(r))
		forward_(s, sl, r, sl->key);
	else if (sl->owned && slot_load(sl, now) < slot_limit(sl, s, now))
		run_(s, now, sl, r, 0);
	else
		enqueue_(s, now, sl, r);
}

static void place_at_home_(sched_t *s, mstime_t now, slot_t *home,
			   const sched_request_t *r)
{
	const lru_entry_t *spill = lru_get(s->spills, now, r->chat);
	slot_t *prefer = home;
	slot_t *other;

	if (r->sticky && spill) {
		slot_t *sl = slot_of_(s, spill->value);

		if (sl && fits_(s, r, sl) && slot_alive(sl, now))
			prefer = sl;
		else
			lru_remove(s->spills, r->chat);
	}
	if (has_room_(s, now, prefer, r->customer, CERTAIN)) {
		if (prefer == home)
			counter_add(COUNTER_PLACED_FIRST, 1);
		else
			lru_put(s->spills, now, r->chat, prefer->key, 1);
		take_or_forward_(s, now, prefer, home, r);
		return;
	}
	if (warm_(prefer, now, r) &&
	    slot_wait(prefer, s, now, r->customer) <= recompute_ms_(r)) {
		enqueue_(s, now, prefer, r);
		return;
	}
	other = least_loaded_(s, now, r, CERTAIN);
	if (!other)
		other = least_loaded_(s, now, r, LIKELY);
	if (!other) {
		enqueue_(s, now, home, r);
		return;
	}
	if (r->sticky)
		lru_put(s->spills, now, r->chat, other->key, 1);
	counter_add(COUNTER_PLACED_SPILL, 1);
	take_or_forward_(s, now, other, home, r);
}

/*
 * Another node has chosen this upstream by what it knew of it.
 *
 * Return: false when the request must be placed anew.
 */
static bool place_at_target_(sched_t *s, mstime_t now, slot_t *sl,
			     const sched_request_t *r)
{
	slot_t *other;

	if (!sl->owned) {
		if (may_forward_(r))
			forward_(s, sl, r, sl->key);
		return may_forward_(r);
	}
	if (!placement_bounded_(s)) {
		place_unbounded_(s, now, sl, r);
		return true;
	}
	if (has_room_(s, now, sl, r->customer, CERTAIN)) {
		run_(s, now, sl, r, 0);
		return true;
	}
	other = may_forward_(r) ? least_loaded_(s, now, r, CERTAIN) : NULL;
	if (other)
		take_or_forward_(s, now, other, sl, r);
	else if (has_room_(s, now, sl, r->customer, LIKELY))
		run_(s, now, sl, r, 0);
	else
		enqueue_(s, now, sl, r);
	return true;
}

void sched_place(sched_t *s, mstime_t now, const sched_request_t *r)
{
	const placement_ops_t *ops;
	slot_t *sl;

	if (!s->view) {
		refuse_(s, r, REFUSE_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
		return;
	}
	sl = r->target ? slot_of_(s, r->target) : NULL;
	if (sl && fits_(s, r, sl) && slot_alive(sl, now) &&
	    place_at_target_(s, now, sl, r))
		return;
	ops = &placements[s->view->placement];
	sl = ops->choose(s, now, r);
	if (sl && !placement_bounded_(s)) {
		place_unbounded_(s, now, sl, r);
		return;
	}
	if (sl && !sl->owned) {
		if (may_forward_(r)) {
			/* Who failed it here is not known there: say where to.
			 */
			forward_(s, sl, r, r->excluded ? sl->key : 0);
			return;
		}
		sl = rank_(s, now, r, RANK_OWNED);
		if (!sl) {
			refuse_(s, r, REFUSE_MOVED, MOVED_RETRY_MS);
			return;
		}
	}
	if (!sl) {
		refuse_(s, r, REFUSE_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
		return;
	}
	place_at_home_(s, now, sl, r);
}

static void take_or_forward_(sched_t *s, mstime_t now, slot_t *sl, slot_t *home,
			     const sched_request_t *r)
{
	if (sl->owned)
		run_(s, now, sl, r, 0);
	else if (may_forward_(r))
		forward_(s, sl, r, sl->key);
	else
		enqueue_(s, now, home, r);
}

static void run_(sched_t *s, mstime_t now, slot_t *sl, const sched_request_t *r,
		 mstime_t waited)
{
	permit_t *p = g_new0(permit_t, 1);
	tenant_t *tenant;
	sched_answer_t a = { .id = r->id, .verdict = SCHED_RUN };

	assert(sl->owned);
	p->id = r->id;
	p->key = sl->key;
	p->chat = r->chat;
	p->sticky = r->sticky;
	p->warm = warm_(sl, now, r);
	p->prompt_tokens = r->prompt_tokens;
	p->started = now;
	g_hash_table_replace(s->permits, &p->id, p);
	g_strlcpy(p->customer, r->customer, sizeof(p->customer));
	tenant = slot_tenant(sl, r->customer);
	tenant->out++;
	tenant->seen = now;
	sl->out++;
	sl->out_max = MAX(sl->out_max, sl->out);
	if (r->sticky)
		lru_put(&sl->warm, now, r->chat, 0, MAX(1, r->prompt_tokens));
	g_strlcpy(a.upstream, sl->up->name, sizeof(a.upstream));
	g_strlcpy(a.address, sl->up->address, sizeof(a.address));
	a.key = sl->key;
	a.hop = r->hop;
	a.warm = p->warm;
	a.waited_ms = waited;
	s->ops->answer(s->ctx, &a);
}

static void refuse_(sched_t *s, const sched_request_t *r, sched_refusal_t why,
		    mstime_t retry_ms)
{
	sched_answer_t a = { .id = r->id,
			     .verdict = SCHED_REFUSE,
			     .refusal = why,
			     .retry_after_ms = retry_ms };

	s->ops->answer(s->ctx, &a);
}

static void forward_(sched_t *s, slot_t *sl, const sched_request_t *r,
		     uint32_t target)
{
	sched_answer_t a = { .id = r->id,
			     .verdict = SCHED_FORWARD,
			     .hop = r->hop + 1,
			     .target = target };
	const char *owner = sched_owner(s, sl->up);

	if (!owner || !strcmp(owner, s->self)) {
		refuse_(s, r, REFUSE_MOVED, MOVED_RETRY_MS);
		return;
	}
	if (target)
		sl->handed++;
	g_strlcpy(a.node, owner, sizeof(a.node));
	s->ops->answer(s->ctx, &a);
}

static void enqueue_(sched_t *s, mstime_t now, slot_t *sl,
		     const sched_request_t *r)
{
	mstime_t wait = slot_wait(sl, s, now, r->customer);

	if (fairq_ahead(&sl->queue, r->customer) >=
	    sl->up->service->queue_max) {
		refuse_(s, r, REFUSE_OVERLOAD, wait);
		return;
	}
	if (r->deadline != MSTIME_NEVER && now + wait > r->deadline) {
		refuse_(s, r, REFUSE_DEADLINE, wait);
		return;
	}
	counter_add(COUNTER_QUEUED, 1);
	fairq_push(&sl->queue, r->id, r->customer, r->weight, r->urgency, now,
		   r->deadline, g_memdup2(r, sizeof(*r)));
}

static void pump_(sched_t *s, mstime_t now, slot_t *sl)
{
	uint64_t id;
	void *user;

	while (sl->up && sl->owned && sl->open && fairq_length(&sl->queue) &&
	       has_room_(s, now, sl, fairq_peek(&sl->queue)->customer,
			 LIKELY)) {
		fairq_pop(&sl->queue, &id, &user);
		run_(s, now, sl, user, 0);
		g_free(user);
	}
}

/* Places all waiting requests of an upstream anew. */
static void empty_queue_(sched_t *s, mstime_t now, slot_t *sl)
{
	GPtrArray *waiting = g_ptr_array_new_with_free_func(g_free);
	uint64_t id;
	void *user;

	while (fairq_pop(&sl->queue, &id, &user))
		g_ptr_array_add(waiting, user);
	for (guint i = 0; i < waiting->len; i++) {
		sched_request_t *r = waiting->pdata[i];

		r->target = 0;
		sched_place(s, now, r);
	}
	g_ptr_array_unref(waiting);
}

void sched_cancel(sched_t *s, mstime_t now, uint64_t id)
{
	GHashTableIter iter;
	gpointer value;

	(void)now;
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		void *user = fairq_remove(&((slot_t *)value)->queue, id);

		if (user) {
			g_free(user);
			return;
		}
	}
}

static void note_limit_(slot_t *sl, mstime_t now, const sched_outcome_t *o)
{
	switch (o->result) {
	case SCHED_DONE:
		if (o->first_token_ms > LIMIT_FIRST_TOKEN_MS)
			limit_note(&sl->limit, now, LIMIT_SLOW);
		else
			limit_note(&sl->limit, now, LIMIT_SUCCESS);
		break;
	case SCHED_UPSTREAM_REFUSED:
		limit_note(&sl->limit, now, LIMIT_REFUSED);
		break;
	case SCHED_CONNECT_FAILED:
	case SCHED_BROKEN:
		limit_note(&sl->limit, now, LIMIT_FAILED);
		break;
	case SCHED_ABANDONED:
		break;
	}
}

void sched_release(sched_t *s, mstime_t now, const sched_outcome_t *o)
{
	permit_t *p = g_hash_table_lookup(s->permits, &o->id);
	slot_t *sl;

	if (!p)
		return;
	sl = slot_of_(s, p->key);
	if (sl) {
		sl->out--;
		slot_tenant(sl, p->customer)->out--;
		if (sl->owned) {
			note_limit_(sl, now, o);
			slot_note_cache(sl, now, p, o);
		}
		if (o->result == SCHED_DONE)
			sl->duration_ms +=
				DURATION_SMOOTHING *
				((double)(now - p->started) - sl->duration_ms);
		if (o->result == SCHED_CONNECT_FAILED) {
			lru_remove(&sl->warm, p->chat);
			if (sl->owned && slot_failed(sl, now)) {
				s->ops->health(s->ctx,
					       sl->up ? sl->up->name : "",
					       "down");
				empty_queue_(s, now, sl);
			}
		}
	}
	g_hash_table_remove(s->permits, &o->id);
	if (sl)
		pump_(s, now, sl);
}

void sched_take_report(sched_t *s, mstime_t now, const sched_report_t *r)
{
	slot_t *sl = slot_of_(s, r->key);

	if (!sl || !sl->owned || !sl->up)
		return;
	if (!r->ok) {
		if (slot_failed(sl, now)) {
			s->ops->health(s->ctx, sl->up->name, "down");
			empty_queue_(s, now, sl);
		}
		return;
	}
	if (sl->down)
		s->ops->health(s->ctx, sl->up->name, "up");
	slot_recovered(sl, now);
	if (sl->start_id && r->start_id != sl->start_id) {
		s->ops->health(s->ctx, sl->up->name, "restarted");
		slot_restarted(sl, now);
	}
	sl->start_id = r->start_id;
	/* The report lags; what was sent of late explains a part of it. */
	sl->foreign =
		MAX(0, r->outstanding - MAX(sl->out_max, sl->out_max_last));
	pump_(s, now, sl);
}

void sched_take_load(sched_t *s, mstime_t now, const peer_load_t *l)
{
	slot_t *sl = slot_of_(s, l->upstream);

	if (!sl || sl->owned)
		return;
	if (sl->peer_heard && (int32_t)(l->stamp - sl->peer_stamp) <= 0)
		return;
	sl->peer_out = (int)l->outstanding;
	sl->peer_limit = (int)l->limit;
	sl->peer_weight = l->weight;
	sl->peer_stamp = l->stamp;
	sl->peer_heard = now;
	sl->handed = 0;
}

static void put_load_(const sched_t *s, mstime_t now, uint32_t stamp,
		      slot_t *sl, peer_load_t *l)
{
	*l = (peer_load_t){ .upstream = sl->key };
	if (!sl->owned) {
		l->stamp = sl->peer_stamp;
		l->outstanding = (u_int)sl->peer_out;
		l->limit = (u_int)sl->peer_limit;
		l->weight = sl->peer_weight;
		return;
	}
	l->stamp = stamp;
	l->outstanding = (u_int)slot_load(sl, now);
	l->limit = (u_int)slot_limit(sl, s, now);
	l->weight = slot_weight(sl, now);
	if (fairq_length(&sl->queue) && l->outstanding >= l->limit &&
	    limit_now(&sl->limit, now) > (int)l->limit)
		l->weight |= WEIGHT_SHORT_OF_POWER;
}

u_int sched_fill_loads(sched_t *s, mstime_t now, uint32_t stamp,
		       peer_load_t *loads, u_int max, bool own_only)
{
	GList *all = g_hash_table_get_values(s->slots);
	guint size = g_hash_table_size(s->slots);
	u_int n = 0;

	for (GList *l = all; l && n < max; l = l->next) {
		slot_t *sl = l->data;

		if (sl->owned && sl->up)
			put_load_(s, now, stamp, sl, &loads[n++]);
	}
	for (guint i = 0; !own_only && i < size && n < max; i++) {
		slot_t *sl = g_list_nth_data(all, s->load_cursor++ % size);

		if (!sl->owned && sl->peer_heard)
			put_load_(s, now, stamp, sl, &loads[n++]);
	}
	g_list_free(all);
	return n;
}

uint64_t sched_own_load(const sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;

		if (!sl->owned || !sl->up)
			continue;
		put_load_(s, now, 0, sl, &l);
		sum += str_hash64((str_t){ (char *)&l, sizeof(l) }, 0);
	}
	return sum;
}

void sched_loads_text(const sched_t *s, mstime_t now, uint32_t stamp, char *out)
{
	GHashTableIter iter;
	gpointer value;
	size_t used = 0;

	out[0] = '\0';
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;
		char text[64];
		int n;

		if (!sl->owned || !sl->up)
			continue;
		put_load_(s, now, stamp, sl, &l);
		n = snprintf(text, sizeof(text), "%x:%x:%x:%x:%x,", l.upstream,
			     l.stamp, l.outstanding, l.limit, l.weight);
		if (used + (size_t)n >= SCHED_LOADS_MAX)
			return;
		memcpy(out + used, text, (size_t)n + 1);
		used += (size_t)n;
	}
}

void sched_take_loads_text(sched_t *s, mstime_t now, str_t text)
{
	char *copy = str_dup(text);
	char **parts = g_strsplit(copy, ",", -1);

	for (char **p = parts; *p; p++) {
		peer_load_t l;

		if (sscanf(*p, "%x:%x:%x:%x:%x", &l.upstream, &l.stamp,
			   &l.outstanding, &l.limit, &l.weight) == 5)
			sched_take_load(s, now, &l);
	}
	g_strfreev(parts);
	g_free(copy);
}

static void expire_waiting_(void *arg, const fairq_item_t *item)
{
	GArray *late = arg;

	g_array_append_val(late, item->id);
}

/* Refuses what cannot start in time any more, as soon as that is known. */
static void refuse_late_(sched_t *s, mstime_t now, slot_t *sl)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	fairq_each(&sl->queue, expire_waiting_, ids);
	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		const fairq_item_t *item =
			g_hash_table_lookup(sl->queue.by_id, &id);
		sched_request_t *r;

		if (now < item->deadline)
			continue;
		r = fairq_remove(&sl->queue, id);
		refuse_(s, r, REFUSE_DEADLINE,
			slot_wait(sl, s, now, r->customer));
		g_free(r);
	}
	g_array_unref(ids);
}

/* Moves the next request that has waited long to an upstream with room. */
static void replace_waiting_(sched_t *s, mstime_t now, slot_t *sl)
{
	const fairq_item_t *item = fairq_peek(&sl->queue);
	sched_request_t *r;
	slot_t *other;

	if (!item || now - item->queued < REPLACE_AFTER_MS ||
	    !placement_bounded_(s))
		return;
	r = item->user;
	other = least_loaded_(s, now, r, LIKELY);
	if (!other || (!other->owned && !may_forward_(r)))
		return;
	fairq_remove(&sl->queue, r->id);
	if (r->sticky)
		lru_put(s->spills, now, r->chat, other->key, 1);
	take_or_forward_(s, now, other, sl, r);
	g_free(r);
}

static void tick_slot_(sched_t *s, mstime_t now, slot_t *sl)
{
	if (!sl->owned || !sl->up || !fairq_length(&sl->queue))
		return;
	refuse_late_(s, now, sl);
	pump_(s, now, sl);
	if (fairq_length(&sl->queue))
		replace_waiting_(s, now, sl);
}

void sched_tick(sched_t *s, mstime_t now)
{
	GList *all = g_hash_table_get_values(s->slots);
	guint waiting = 0;
	guint owned = 0;

	for (GList *l = all; l; l = l->next) {
		slot_t *sl = l->data;

		if (now >= s->next_window)
			slot_window(sl);
		tick_slot_(s, now, sl);
		waiting += fairq_length(&sl->queue);
		owned += sl->owned && sl->up;
	}
	if (now >= s->next_window)
		s->next_window = now + WINDOW_MS;
	g_list_free(all);
	counter_set(GAUGE_QUEUE_LENGTH, waiting);
	counter_set(GAUGE_OWNED_UPSTREAMS, owned);
	lru_expire(s->spills, now);
	power_expire(&s->power, now);
	if (s->view && now >= s->next_lend) {
		s->next_lend = now + LEND_INTERVAL_MS;
		lend_(s, now);
	}
}

void sched_pause(sched_t *s, mstime_t until)
{
	s->hold_all_until = MAX(s->hold_all_until, until);
}

GPtrArray *sched_owned(const sched_t *s)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (sl->owned && sl->up)
			g_ptr_array_add(list, (gpointer)sl->up);
	}
	return list;
}

const upstream_t *sched_upstream(const sched_t *s, uint32_t key)
{
	const slot_t *sl = slot_of_(s, key);

	return sl ? sl->up : NULL;
}

bool sched_idle(const sched_t *s, const upstream_t *u)
{
	const slot_t *sl = slot_of_(s, u->key);

	return sl && !sl->out && !sl->foreign && !sl->failures && sl->start_id;
}

const char *sched_where(sched_t *s, mstime_t now, const char *service,
			uint64_t chat)
{
	sched_request_t r = { .chat = chat, .sticky = chat != 0 };
	slot_t *sl;

	if (!s->view)
		return NULL;
	if (!chat)
		r.chat = ((uint64_t)g_rand_int(s->rand) << 32) |
			 g_rand_int(s->rand);
	g_strlcpy(r.service, service, sizeof(r.service));
	sl = home_of_(s, now, &r);
	return sl ? sched_owner(s, sl->up) : NULL;
}

json_t *sched_status(const sched_t *s, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;
		const char *owner = sl->up ? sched_owner(s, sl->up) : NULL;

		if (!sl->up)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i}",
				  "upstream", sl->up->name, "service",
				  sl->up->service->name, "owner",
				  owner ? owner : "", "alive",
				  slot_alive(sl, now), "outstanding",
				  slot_load(sl, now), "foreign", sl->foreign,
				  "limit", slot_limit(sl, s, now), "weight",
				  (int)MIN(slot_weight(sl, now), WEIGHT_FULL),
				  "waiting", (int)fairq_length(&sl->queue)));
	}
	return list;
}

void sched_take_loan(sched_t *s, mstime_t now, const peer_loan_t *l,
		     mstime_t left_ms)
{
	slot_t *sl = slot_of_(s, l->borrower);

	if (!sl || !sl->owned)
		return;
	power_borrow(&s->power, now, l->donor, l->borrower,
		     l->milliwatts / 1000.0, now + left_ms);
	pump_(s, now, sl);
}

/* Whether two upstreams draw on the same caps. */
static bool same_cap_(const sched_t *s, const slot_t *a, const slot_t *b)
{
	if (a->up->data_centre == b->up->data_centre)
		return true;
	(void)s;
	return a->up->data_centre->power_cap_w <= 0 &&
	       b->up->data_centre->power_cap_w <= 0;
}

static slot_t *borrower_for_(const sched_t *s, mstime_t now,
			     const slot_t *donor)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;

		if (!sl->up || sl == donor || !same_cap_(s, sl, donor))
			continue;
		put_load_(s, now, 0, sl, &l);
		if (l.weight & WEIGHT_SHORT_OF_POWER)
			return sl;
	}
	return NULL;
}

static void lend_one_(sched_t *s, mstime_t now, slot_t *donor)
{
	double share = power_share(s->view, donor->up);
	double balance = power_balance(&s->power, now, donor->key);
	double room;
	power_loan_t loan = { .donor = donor->key };
	slot_t *borrower;

	if (share <= 0 || donor->up->slot_w <= 0)
		return;
	/* What has lately been used, and one more request, stays here. */
	room = share + balance -
	       power_watts(donor->up, MAX(donor->out_max, donor->out_max_last) +
					      donor->foreign + LEND_KEEP);
	room = MIN(room, (share - donor->up->idle_w) / 2 + MIN(0, balance));
	if (room < donor->up->slot_w)
		return;
	borrower = borrower_for_(s, now, donor);
	if (!borrower)
		return;
	loan.borrower = borrower->key;
	loan.watts = MIN(room, borrower->up->slot_w * 2);
	loan.expires = now + POWER_LOAN_MS;
	/* Donor first: its own limit is down before anybody hears of it. */
	power_lend(&s->power, now, loan.donor, loan.borrower, loan.watts);
	if (borrower->owned)
		power_borrow(&s->power, now, loan.donor, loan.borrower,
			     loan.watts, loan.expires);
	else
		s->ops->lend(s->ctx, sched_owner(s, borrower->up), &loan);
}

static void lend_(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;

		if (sl->owned && sl->up && !sl->down &&
		    !fairq_length(&sl->queue))
			lend_one_(s, now, sl);
	}
}
