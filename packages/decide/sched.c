#include "private/lend.h"
#include "private/owner.h"
#include "private/place.h"
#include <kcf/counter.h>

#include <assert.h>
#include <string.h>

#define PLACES_MAX 100000
#define PLACE_IDLE_MS (3600 * MSEC_PER_SEC)
#define WINDOW_MS 2000
#define LEND_INTERVAL_MS 1000

const char *const sched_refusal_string[] = {
	"no upstream in service",
	"queue is full",
	"cannot start before the deadline",
	"upstream is changing hands",
};

const char *const sched_refusal_reason[] = {
	"no_upstream",
	"queue_full",
	"deadline",
	"moved",
};

const char *sched_refusal_reason_of(const char *text)
{
	for (int i = 0; i < SCHED_REFUSAL_COUNT; i++) {
		if (!strcmp(sched_refusal_reason[i], text))
			return sched_refusal_reason[i];
	}
	return NULL;
}

static void move_chats_(sched_t *s, mstime_t now, const slot_t *sl);
static void refresh_ownership_(sched_t *s, mstime_t now);
static void find_rivals_(sched_t *s);
static GPtrArray *owned_slots_(const sched_t *s);

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
	s->recent = g_queue_new();
	s->numbers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	s->rivals = g_ptr_array_new();
	s->slots = g_hash_table_new_full(NULL, NULL, NULL, slot_free);
	s->permits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	s->cache = g_new0(choose_cache_t, 1);
	s->places = g_new0(lru_t, 1);
	lru_init(s->places, PLACES_MAX, PLACE_IDLE_MS);
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
	lru_finish(s->places);
	g_free(s->places);
	g_free(s->cache);
	power_book_finish(&s->power);
	g_queue_free_full(s->recent, g_free);
	g_hash_table_destroy(s->numbers);
	g_ptr_array_unref(s->rivals);
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

const char *sched_owner(const sched_t *s, const upstream_t *u)
{
	const slot_t *sl = choose_slot(s, u->key);

	return sl && sl->owner ? sl->owner->name : NULL;
}

const char *sched_node_for(const sched_t *s, uint64_t number)
{
	const sched_node_t *n = g_hash_table_lookup(s->numbers, &number);

	if (!n) {
		n = owner_of_number(s->nodes, number);
		if (!n)
			return NULL;
		g_hash_table_insert(s->numbers,
				    g_memdup2(&number, sizeof(number)),
				    (gpointer)n);
	}
	return n->name;
}

static slot_t *add_slot_(sched_t *s, mstime_t now, const upstream_t *u)
{
	slot_t *sl = slot_new(u->key);

	/* Of those that are there from the start, no chat is elsewhere. */
	sl->returned = s->view != NULL;
	sl->stable_at = now;
	g_hash_table_insert(s->slots, GUINT_TO_POINTER(u->key), sl);
	return sl;
}

/* Back in service: its chats return little by little. */
static void reopen_(slot_t *sl, mstime_t now, const upstream_t *u)
{
	sl->returned = true;
	sl->stable_at = now;
	if (sl->owned)
		limit_restart(&sl->limit, now,
			      (mstime_t)(u->ramp_s * MSEC_PER_SEC));
}

/*
 * Takes one upstream of a new picture.
 *
 * Return: its entry when it is owned and goes out of service, else NULL.
 */
static slot_t *take_upstream_(sched_t *s, mstime_t now, const upstream_t *u)
{
	slot_t *sl = choose_slot(s, u->key);
	bool open = upstream_accepts_work(u);
	bool closes;

	if (!sl)
		sl = add_slot_(s, now, u);
	else if (open && !sl->open)
		reopen_(sl, now, u);
	closes = sl->owned && sl->open && !open;
	sl->up = u;
	sl->open = open;
	if (sl->owned) {
		limit_resize(&sl->limit, u->slots, u->floor);
		lru_set_weight_max(&sl->warm, u->cache_tokens);
	}
	return closes ? sl : NULL;
}

void sched_set_view(sched_t *s, mstime_t now, view_t *view)
{
	GPtrArray *closing = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	view_ref(view);
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((slot_t *)value)->up = NULL;
	for (guint i = 0; i < view->upstreams->len; i++) {
		slot_t *sl = take_upstream_(s, now, view->upstreams->pdata[i]);

		if (sl)
			g_ptr_array_add(closing, sl);
	}
	view_unref(s->view);
	s->view = view;
	refresh_ownership_(s, now);
	for (guint i = 0; i < closing->len; i++)
		move_chats_(s, now, closing->pdata[i]);
	g_ptr_array_unref(closing);
}

void sched_set_nodes(sched_t *s, mstime_t now, GPtrArray *nodes)
{
	g_hash_table_remove_all(s->numbers);
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
		to = choose_ranked(s, now, &r, RANK_ANY);
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

	s->epoch++;
	s->owned = 0;
	owner_mark_out(s->nodes, s->view);
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		bool owned;

		sl->owner = sl->up ? owner_of(s->nodes, sl->up) : NULL;
		owned = sl->owner && !strcmp(sl->owner->name, s->self);
		s->owned += owned;
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
	find_rivals_(s);
	/* Placing again may touch any slot, so it waits for the sweep's end. */
	for (guint i = 0; i < drained->len; i++)
		place_again(s, now, drained->pdata[i]);
	g_ptr_array_unref(drained);
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

/* One more sign that an upstream cannot be reached; its queue goes elsewhere.
 */
static void fail_slot_(sched_t *s, mstime_t now, slot_t *sl)
{
	if (!slot_failed(sl, now))
		return;
	s->ops->health(s->ctx, sl->up ? sl->up->name : "", "down");
	place_again(s, now, sl);
}

static void learn_(slot_t *sl, mstime_t now, const permit_t *p,
		   const sched_outcome_t *o)
{
	if (o->result == SCHED_CONNECT_FAILED)
		lru_remove(&sl->warm, p->chat);
	if (!sl->owned)
		return;
	note_limit_(sl, now, o);
	slot_note_cache(sl, now, p, o);
	slot_note_prefill(sl, o);
}

void sched_release(sched_t *s, mstime_t now, const sched_outcome_t *o)
{
	permit_t *p = g_hash_table_lookup(s->permits, &o->id);
	slot_t *sl;

	if (!p)
		return;
	s->epoch++;
	sl = choose_slot(s, p->key);
	if (!sl) {
		g_hash_table_remove(s->permits, &o->id);
		return;
	}
	sl->out--;
	slot_tenant(sl, p->customer)->out--;
	learn_(sl, now, p, o);
	/* A pause of this process tells nothing of the upstream. */
	if (o->result == SCHED_DONE && p->started >= s->hold_all_until)
		slot_note_duration(sl, now - p->started);
	g_hash_table_remove(s->permits, &o->id);
	if (sl->owned && o->result == SCHED_CONNECT_FAILED)
		fail_slot_(s, now, sl);
	place_pump(s, now, sl);
}

void sched_take_report(sched_t *s, mstime_t now, const sched_report_t *r)
{
	slot_t *sl = choose_slot(s, r->key);

	if (!sl || !sl->owned || !sl->up)
		return;
	s->epoch++;
	if (!r->ok) {
		fail_slot_(s, now, sl);
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
	slot_confirm(sl, now, r->start_id, r->outstanding);
	/* The report lags; what was sent of late explains a part of it. */
	sl->foreign =
		MAX(0, r->outstanding - MAX(sl->out_max, sl->out_max_last));
	sl->foreign_at = now;
	sl->hold_until = now;
	s->epoch++;
	place_pump(s, now, sl);
}

void sched_tick(sched_t *s, mstime_t now)
{
	GList *all = g_hash_table_get_values(s->slots);
	guint waiting = 0;

	place_arrivals(s, now);
	for (GList *l = all; l; l = l->next) {
		slot_t *sl = l->data;

		if (now >= s->next_window)
			slot_window(sl);
		place_tick(s, now, sl);
		waiting += fairq_length(&sl->queue);
	}
	if (now >= s->next_window)
		s->next_window = now + WINDOW_MS;
	g_list_free(all);
	counter_set(GAUGE_QUEUE_LENGTH, waiting);
	counter_set(GAUGE_OWNED_UPSTREAMS, s->owned);
	lru_expire(s->places, now);
	power_expire(&s->power, now);
	if (s->view && now >= s->next_lend) {
		s->next_lend = now + LEND_INTERVAL_MS;
		lend_spare(s, now);
	}
}

bool sched_pump(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool waiting = false;

	place_arrivals(s, now);
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;

		if (!fairq_length(&sl->queue))
			continue;
		place_pump(s, now, sl);
		waiting = waiting || fairq_length(&sl->queue);
	}
	return waiting;
}

void sched_pause(sched_t *s, mstime_t until)
{
	s->hold_all_until = MAX(s->hold_all_until, until);
}

GPtrArray *sched_owned(const sched_t *s)
{
	GPtrArray *list = owned_slots_(s);

	for (guint i = 0; i < list->len; i++)
		list->pdata[i] = (gpointer)((slot_t *)list->pdata[i])->up;
	return list;
}

/* Whether two upstreams count towards the same mean. */
static bool same_mean_(const slot_t *a, const slot_t *b)
{
	return a->up->service == b->up->service &&
	       !strcmp(a->up->data_centre->region, b->up->data_centre->region);
}

static bool rival_(const slot_t *other, const GPtrArray *owned)
{
	if (!other->up || other->owned || !other->owner)
		return false;
	for (guint i = 0; i < owned->len; i++) {
		if (same_mean_(owned->pdata[i], other))
			return true;
	}
	return false;
}

static GPtrArray *owned_slots_(const sched_t *s)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (sl->owned && sl->up)
			g_ptr_array_add(list, value);
	}
	return list;
}

static void find_rivals_(sched_t *s)
{
	GPtrArray *owned = owned_slots_(s);
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(s->rivals, 0);
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (rival_(sl, owned) &&
		    !g_ptr_array_find(s->rivals, sl->owner, NULL))
			g_ptr_array_add(s->rivals, (gpointer)sl->owner);
	}
	g_ptr_array_unref(owned);
}

const upstream_t *sched_upstream(const sched_t *s, uint32_t key)
{
	const slot_t *sl = choose_slot(s, key);

	return sl ? sl->up : NULL;
}

bool sched_idle(const sched_t *s, const upstream_t *u)
{
	const slot_t *sl = choose_slot(s, u->key);

	return sl && !sl->out && !sl->foreign && !sl->failures && sl->start_id;
}

bool sched_unreported(const sched_t *s, const upstream_t *u)
{
	const slot_t *sl = choose_slot(s, u->key);

	return sl && sl->owned && !sl->start_id && !sl->failures;
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
	sl = choose_home(s, now, &r);
	return sl && sl->owner ? sl->owner->name : NULL;
}

json_t *sched_status(const sched_t *s, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (!sl->up)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i}",
				  "upstream", sl->up->name, "service",
				  sl->up->service->name, "owner",
				  sl->owner ? sl->owner->name : "", "alive",
				  slot_alive(sl, now), "outstanding",
				  slot_load(sl, now), "foreign", sl->foreign,
				  "limit", slot_limit(sl, s, now), "weight",
				  (int)MIN(slot_weight(sl, now), WEIGHT_FULL),
				  "waiting", (int)fairq_length(&sl->queue)));
	}
	return list;
}
