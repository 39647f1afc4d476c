#include "private/place.h"
#include "private/warm.h"

#include <assert.h>
#include <kcf/counter.h>
#include <string.h>

/* Waiting requests look for another upstream after this time. */
#define REPLACE_AFTER_MS 250
#define NO_UPSTREAM_RETRY_MS 2000
#define MOVED_RETRY_MS 500

static void run_(sched_t *s, mstime_t now, slot_t *sl,
		 const sched_request_t *r);
static void refuse_(sched_t *s, const sched_request_t *r, sched_refusal_t why,
		    mstime_t retry_ms);
static void forward_(sched_t *s, slot_t *sl, const sched_request_t *r,
		     uint32_t target);
static void enqueue_(sched_t *s, mstime_t now, slot_t *sl,
		     const sched_request_t *r);
static void take_or_forward_(sched_t *s, mstime_t now, slot_t *sl, slot_t *home,
			     const sched_request_t *r);

/* A request that an upstream has failed may go one hop further. */
static bool may_forward_(const sched_request_t *r)
{
	return r->hop < SCHED_HOPS_MAX + (r->excluded > 0);
}

/* A baseline's choice stands, whatever the load. */
static void place_unbounded_(sched_t *s, mstime_t now, slot_t *sl,
			     const sched_request_t *r)
{
	if (!sl->owned && may_forward_(r))
		forward_(s, sl, r, sl->key);
	else if (sl->owned && slot_load(sl, now) < slot_limit(sl, s, now))
		run_(s, now, sl, r);
	else
		enqueue_(s, now, sl, r);
}

static void place_at_home_(sched_t *s, mstime_t now, slot_t *home,
			   const sched_request_t *r)
{
	slot_t *soonest = NULL;
	slot_t *warm = warm_with_room(s, now, home, r, &soonest);
	slot_t *sl;

	if (warm) {
		counter_add(warm == home ? COUNTER_PLACED_FIRST
					 : COUNTER_PLACED_WARM,
			    1);
		take_or_forward_(s, now, warm, home, r);
		return;
	}
	if (soonest && slot_wait(soonest, s, now, r->customer) <=
			       warm_worth_ms(soonest, r)) {
		enqueue_(s, now, soonest, r);
		return;
	}
	sl = choose_least_loaded(s, now, r, CERTAIN);
	if (!sl)
		sl = choose_least_loaded(s, now, r, LIKELY);
	if (!sl) {
		enqueue_(s, now, soonest ? soonest : home, r);
		return;
	}
	counter_add(COUNTER_PLACED_SPILL, 1);
	take_or_forward_(s, now, sl, home, r);
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
	if (!choose_bounded(s)) {
		place_unbounded_(s, now, sl, r);
		return true;
	}
	if (choose_has_room(s, now, sl, r->customer, CERTAIN)) {
		run_(s, now, sl, r);
		return true;
	}
	other = may_forward_(r) ? choose_least_loaded(s, now, r, CERTAIN)
				: NULL;
	if (other)
		take_or_forward_(s, now, other, sl, r);
	else if (choose_has_room(s, now, sl, r->customer, LIKELY))
		run_(s, now, sl, r);
	else
		enqueue_(s, now, sl, r);
	return true;
}

void sched_place(sched_t *s, mstime_t now, const sched_request_t *r)
{
	slot_t *sl;

	place_arrivals(s, now);
	if (!s->view) {
		refuse_(s, r, REFUSE_NO_UPSTREAM, NO_UPSTREAM_RETRY_MS);
		return;
	}
	sl = r->target ? choose_slot(s, r->target) : NULL;
	if (sl && choose_fits(r, sl) && slot_alive(sl, now) &&
	    place_at_target_(s, now, sl, r))
		return;
	sl = choose_first(s, now, r);
	if (sl && !choose_bounded(s)) {
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
		sl = choose_ranked(s, now, r, RANK_OWNED);
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
	if (sl->owned) {
		run_(s, now, sl, r);
	} else if (may_forward_(r)) {
		warm_remember(s, now, r, sl);
		forward_(s, sl, r, sl->key);
	} else {
		enqueue_(s, now, home, r);
	}
}

/* A request on its way to an upstream. */
typedef struct recent {
	uint32_t key;
	mstime_t arrives;
} recent_t;

static void note_recent_(sched_t *s, mstime_t now, slot_t *sl)
{
	recent_t *sent = g_new0(recent_t, 1);

	sent->key = sl->key;
	sent->arrives = now + SLOT_ARRIVAL_MS;
	sl->recent++;
	g_queue_push_tail(s->recent, sent);
}

void place_arrivals(sched_t *s, mstime_t now)
{
	recent_t *sent;

	while ((sent = g_queue_peek_head(s->recent)) && sent->arrives <= now) {
		slot_t *sl = choose_slot(s, sent->key);

		if (sl && sl->recent > 0)
			sl->recent--;
		s->epoch++;
		g_free(g_queue_pop_head(s->recent));
	}
}

static void run_(sched_t *s, mstime_t now, slot_t *sl, const sched_request_t *r)
{
	permit_t *p = g_new0(permit_t, 1);
	tenant_t *tenant;
	sched_answer_t a = { .id = r->id, .verdict = SCHED_RUN };

	assert(sl->owned);
	p->id = r->id;
	p->key = sl->key;
	p->chat = r->chat;
	p->sticky = r->sticky;
	p->warm = choose_warm(sl, now, r);
	p->prompt_tokens = r->prompt_tokens;
	p->started = now;
	g_hash_table_replace(s->permits, &p->id, p);
	g_strlcpy(p->customer, r->customer, sizeof(p->customer));
	tenant = slot_tenant(sl, r->customer);
	tenant->out++;
	tenant->seen = now;
	sl->out++;
	note_recent_(s, now, sl);
	s->epoch++;
	sl->out_max = MAX(sl->out_max, sl->out);
	if (r->sticky)
		lru_put(&sl->warm, now, r->chat, 0, MAX(1, r->prompt_tokens));
	g_strlcpy(a.upstream, sl->up->name, sizeof(a.upstream));
	g_strlcpy(a.address, sl->up->address, sizeof(a.address));
	a.key = sl->key;
	a.hop = r->hop;
	a.warm = p->warm;
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

	if (!sl->owner || !strcmp(sl->owner->name, s->self)) {
		refuse_(s, r, REFUSE_MOVED, MOVED_RETRY_MS);
		return;
	}
	if (target) {
		sl->handed++;
		s->epoch++;
	}
	g_strlcpy(a.node, sl->owner->name, sizeof(a.node));
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
	if (r->deadline != MSTIME_NEVER &&
	    now + slot_wait_least(sl, s, now, r->customer) > r->deadline) {
		refuse_(s, r, REFUSE_DEADLINE, wait);
		return;
	}
	counter_add(COUNTER_QUEUED, 1);
	fairq_push(&sl->queue, r->id, r->customer, r->weight, r->urgency, now,
		   r->deadline, g_memdup2(r, sizeof(*r)));
}

void place_pump(sched_t *s, mstime_t now, slot_t *sl)
{
	uint64_t id;
	void *user;

	while (sl->up && sl->owned && sl->open && fairq_length(&sl->queue) &&
	       choose_has_room(s, now, sl, fairq_peek(&sl->queue)->customer,
			       LIKELY)) {
		fairq_pop(&sl->queue, &id, &user);
		run_(s, now, sl, user);
		g_free(user);
	}
}

/* Places all waiting requests of an upstream anew. */
void place_again(sched_t *s, mstime_t now, slot_t *sl)
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

static mstime_t patience_ms_(const slot_t *sl, mstime_t now,
			     const sched_request_t *r)
{
	if (!choose_warm(sl, now, r))
		return REPLACE_AFTER_MS;
	return MAX(REPLACE_AFTER_MS, warm_worth_ms(sl, r));
}

/* Moves the next request that has waited long to an upstream with room. */
static void replace_waiting_(sched_t *s, mstime_t now, slot_t *sl)
{
	const fairq_item_t *item = fairq_peek(&sl->queue);
	sched_request_t *r;
	slot_t *other;

	if (!item || !choose_bounded(s))
		return;
	r = item->user;
	if (now - item->queued < patience_ms_(sl, now, r))
		return;
	other = choose_least_loaded(s, now, r, LIKELY);
	if (!other || (!other->owned && !may_forward_(r)))
		return;
	fairq_remove(&sl->queue, r->id);
	take_or_forward_(s, now, other, sl, r);
	g_free(r);
}

void place_tick(sched_t *s, mstime_t now, slot_t *sl)
{
	if (!sl->owned || !sl->up || !fairq_length(&sl->queue))
		return;
	refuse_late_(s, now, sl);
	place_pump(s, now, sl);
	if (fairq_length(&sl->queue))
		replace_waiting_(s, now, sl);
}
