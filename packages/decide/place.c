#include "private/place.h"
#include "private/warm.h"

#include <assert.h>
#include <kcf/counter.h>
#include <string.h>

/* A request that has waited this long may move to another upstream. */
#define MOVE_AFTER_MS 250
#define NO_UPSTREAM_RETRY_MS 2000
#define MOVED_RETRY_MS 500

static void run_(sched_t *s, mstime_t now, sched_upstream_t *u,
		 const sched_request_t *r);
static void refuse_(sched_t *s, const sched_request_t *r,
		    sched_refusal_t refusal, mstime_t retry_ms);
static void forward_(sched_t *s, sched_upstream_t *u, const sched_request_t *r,
		     uint32_t target);
static void enqueue_(sched_t *s, mstime_t now, sched_upstream_t *u,
		     const sched_request_t *r);
static void run_or_forward_(sched_t *s, mstime_t now, sched_upstream_t *u,
			    sched_upstream_t *preferred,
			    const sched_request_t *r);

/* A request that an upstream has failed is allowed one more hop. */
static bool may_forward_(const sched_request_t *r)
{
	return r->hop < SCHED_HOPS_MAX + (r->exclude_count > 0);
}

/* Baseline placements keep their choice whatever the load. */
static void place_unbounded_(sched_t *s, mstime_t now, sched_upstream_t *u,
			     const sched_request_t *r)
{
	if (!u->owned && may_forward_(r))
		forward_(s, u, r, u->key);
	else if (u->owned &&
		 sched_upstream_load(u, now) < sched_upstream_limit(u, s, now))
		run_(s, now, u, r);
	else
		enqueue_(s, now, u, r);
}

static void place_at_preferred_(sched_t *s, mstime_t now,
				sched_upstream_t *preferred,
				const sched_request_t *r)
{
	sched_upstream_t *earliest = NULL;
	sched_upstream_t *warm =
		warm_with_capacity(s, now, preferred, r, &earliest);
	sched_upstream_t *u;

	if (warm) {
		counter_add(warm == preferred ? COUNTER_PLACED_FIRST
					      : COUNTER_PLACED_WARM,
			    1);
		run_or_forward_(s, now, warm, preferred, r);
		return;
	}
	if (earliest && sched_upstream_wait(earliest, s, now, r->customer) <=
				warm_max_wait_ms(earliest, r)) {
		enqueue_(s, now, earliest, r);
		return;
	}
	u = choose_least_loaded(s, now, r, BOUND_CONSERVATIVE);
	if (!u)
		u = choose_least_loaded(s, now, r, BOUND_EXPECTED);
	if (!u) {
		enqueue_(s, now, earliest ? earliest : preferred, r);
		return;
	}
	counter_add(COUNTER_PLACED_SPILL, 1);
	run_or_forward_(s, now, u, preferred, r);
}

/*
 * Places a request at the upstream that another node chose with the load that
 * it knew.
 *
 * Return: false if a new choice must be made.
 */
static bool place_at_target_(sched_t *s, mstime_t now, sched_upstream_t *u,
			     const sched_request_t *r)
{
	sched_upstream_t *other;

	if (!u->owned) {
		if (may_forward_(r))
			forward_(s, u, r, u->key);
		return may_forward_(r);
	}
	if (!choose_is_bounded(s)) {
		place_unbounded_(s, now, u, r);
		return true;
	}
	if (choose_has_capacity(s, now, u, r->customer, BOUND_CONSERVATIVE)) {
		run_(s, now, u, r);
		return true;
	}
	other = may_forward_(r)
			? choose_least_loaded(s, now, r, BOUND_CONSERVATIVE)
			: NULL;
	if (other)
		run_or_forward_(s, now, other, u, r);
	else if (choose_has_capacity(s, now, u, r->customer, BOUND_EXPECTED))
		run_(s, now, u, r);
	else
		enqueue_(s, now, u, r);
	return true;
}

void sched_place(sched_t *s, mstime_t now, const sched_request_t *r)
{
	sched_upstream_t *u;

	place_note_arrivals(s, now);
	if (!s->view) {
		refuse_(s, r, REFUSE_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
		return;
	}
	u = r->target ? choose_lookup(s, r->target) : NULL;
	if (u && choose_can_serve(r, u) && sched_upstream_alive(u, now) &&
	    place_at_target_(s, now, u, r))
		return;
	u = choose_by_placement(s, now, r);
	if (u && !choose_is_bounded(s)) {
		place_unbounded_(s, now, u, r);
		return;
	}
	if (u && !u->owned) {
		if (may_forward_(r)) {
			/*
			 * The owner doesn't know which upstreams failed
			 * the request, so it is given a target.
			 */
			forward_(s, u, r, r->exclude_count ? u->key : 0);
			return;
		}
		u = choose_by_rank(s, now, r, RANK_OWNED);
		if (!u) {
			refuse_(s, r, REFUSE_MOVED, MOVED_RETRY_MS);
			return;
		}
	}
	if (!u) {
		refuse_(s, r, REFUSE_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
		return;
	}
	place_at_preferred_(s, now, u, r);
}

static void run_or_forward_(sched_t *s, mstime_t now, sched_upstream_t *u,
			    sched_upstream_t *preferred,
			    const sched_request_t *r)
{
	if (u->owned) {
		run_(s, now, u, r);
	} else if (may_forward_(r)) {
		warm_note_placement(s, now, r, u);
		forward_(s, u, r, u->key);
	} else {
		enqueue_(s, now, preferred, r);
	}
}

/* A request that was sent to an upstream and may not have arrived yet. */
typedef struct transit {
	uint32_t key;
	mstime_t arrives;
} transit_t;

static void note_transit_(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	transit_t *sent = g_new0(transit_t, 1);

	sent->key = u->key;
	sent->arrives = now + TRANSIT_MS;
	u->in_transit++;
	g_queue_push_tail(s->in_transit, sent);
}

void place_note_arrivals(sched_t *s, mstime_t now)
{
	transit_t *sent;

	while ((sent = g_queue_peek_head(s->in_transit)) &&
	       sent->arrives <= now) {
		sched_upstream_t *u = choose_lookup(s, sent->key);

		if (u && u->in_transit > 0)
			u->in_transit--;
		s->load_epoch++;
		g_free(g_queue_pop_head(s->in_transit));
	}
}

static void run_(sched_t *s, mstime_t now, sched_upstream_t *u,
		 const sched_request_t *r)
{
	permit_t *p = g_new0(permit_t, 1);
	customer_usage_t *usage;
	sched_decision_t d = { .id = r->id, .verdict = SCHED_RUN };

	assert(u->owned);
	p->id = r->id;
	p->key = u->key;
	p->chat = r->chat;
	p->sticky = r->sticky;
	p->warm = choose_is_warm(u, now, r);
	p->prompt_tokens = r->prompt_tokens;
	p->started = now;
	g_hash_table_replace(s->permits, &p->id, p);
	g_strlcpy(p->customer, r->customer, sizeof(p->customer));
	usage = sched_upstream_customer(u, r->customer);
	usage->outstanding++;
	usage->last_request = now;
	u->own_outstanding++;
	note_transit_(s, now, u);
	s->load_epoch++;
	u->own_peak = MAX(u->own_peak, u->own_outstanding);
	if (r->sticky)
		lru_put(&u->cached_chats, now, r->chat, 0,
			MAX(1, r->prompt_tokens));
	g_strlcpy(d.upstream, u->config->name, sizeof(d.upstream));
	g_strlcpy(d.address, u->config->address, sizeof(d.address));
	d.start_id = u->start_id;
	d.key = u->key;
	d.hop = r->hop;
	d.warm = p->warm;
	s->ops->decided(s->ctx, &d);
}

static void refuse_(sched_t *s, const sched_request_t *r,
		    sched_refusal_t refusal, mstime_t retry_ms)
{
	sched_decision_t d = { .id = r->id,
			       .verdict = SCHED_REFUSE,
			       .refusal = refusal,
			       .retry_after_ms = retry_ms };

	s->ops->decided(s->ctx, &d);
}

static void forward_(sched_t *s, sched_upstream_t *u, const sched_request_t *r,
		     uint32_t target)
{
	sched_decision_t d = { .id = r->id,
			       .verdict = SCHED_FORWARD,
			       .hop = r->hop + 1,
			       .target = target };

	if (!u->owner || !strcmp(u->owner->name, s->self)) {
		refuse_(s, r, REFUSE_MOVED, MOVED_RETRY_MS);
		return;
	}
	if (target) {
		u->forwarded++;
		s->load_epoch++;
	}
	g_strlcpy(d.node, u->owner->name, sizeof(d.node));
	s->ops->decided(s->ctx, &d);
}

static void enqueue_(sched_t *s, mstime_t now, sched_upstream_t *u,
		     const sched_request_t *r)
{
	mstime_t wait = sched_upstream_wait(u, s, now, r->customer);

	if (fairq_ahead(&u->queue, r->customer) >=
	    u->config->service->queue_max) {
		refuse_(s, r, REFUSE_OVERLOAD, wait);
		return;
	}
	if (r->deadline != MSTIME_NEVER &&
	    now + sched_upstream_min_wait(u, s, now, r->customer) >
		    r->deadline) {
		refuse_(s, r, REFUSE_DEADLINE, wait);
		return;
	}
	counter_add(COUNTER_QUEUED, 1);
	fairq_push(&u->queue, r->id, r->customer, r->weight, r->urgency, now,
		   r->deadline, g_memdup2(r, sizeof(*r)));
}

void place_dispatch(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	uint64_t id;
	void *user;

	while (u->config && u->owned && u->in_service &&
	       fairq_length(&u->queue) &&
	       choose_has_capacity(s, now, u, fairq_peek(&u->queue)->customer,
				   BOUND_EXPECTED)) {
		fairq_pop(&u->queue, &id, &user);
		run_(s, now, u, user);
		g_free(user);
	}
}

void place_redistribute(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	GPtrArray *waiting = g_ptr_array_new_with_free_func(g_free);
	uint64_t id;
	void *user;

	while (fairq_pop(&u->queue, &id, &user))
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
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		void *user =
			fairq_remove(&((sched_upstream_t *)value)->queue, id);

		if (user) {
			g_free(user);
			return;
		}
	}
}

static void collect_id_(void *arg, const fairq_item_t *item)
{
	GArray *ids = arg;

	g_array_append_val(ids, item->id);
}

/* Refuses waiting requests whose deadline has passed. */
static void refuse_expired_(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	fairq_foreach(&u->queue, collect_id_, ids);
	for (guint i = 0; i < ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, i);
		const fairq_item_t *item =
			g_hash_table_lookup(u->queue.by_id, &id);
		sched_request_t *r;

		if (now < item->deadline)
			continue;
		r = fairq_remove(&u->queue, id);
		refuse_(s, r, REFUSE_DEADLINE,
			sched_upstream_wait(u, s, now, r->customer));
		g_free(r);
	}
	g_array_unref(ids);
}

/* Time after which a waiting request may move to another upstream. */
static mstime_t move_after_ms_(const sched_upstream_t *u, mstime_t now,
			       const sched_request_t *r)
{
	if (!choose_is_warm(u, now, r))
		return MOVE_AFTER_MS;
	return MAX(MOVE_AFTER_MS, warm_max_wait_ms(u, r));
}

/* Moves the next request to another upstream if it has waited long enough. */
static void move_waiting_(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	const fairq_item_t *item = fairq_peek(&u->queue);
	sched_request_t *r;
	sched_upstream_t *other;

	if (!item || !choose_is_bounded(s))
		return;
	r = item->user;
	if (now - item->queued_at < move_after_ms_(u, now, r))
		return;
	other = choose_least_loaded(s, now, r, BOUND_EXPECTED);
	if (!other || (!other->owned && !may_forward_(r)))
		return;
	fairq_remove(&u->queue, r->id);
	run_or_forward_(s, now, other, u, r);
	g_free(r);
}

void place_tick(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	if (!u->owned || !u->config || !fairq_length(&u->queue))
		return;
	refuse_expired_(s, now, u);
	place_dispatch(s, now, u);
	if (fairq_length(&u->queue))
		move_waiting_(s, now, u);
}
