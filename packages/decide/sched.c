#include "private/lend.h"
#include "private/owner.h"
#include "private/place.h"
#include <kcf/counter.h>

#include <assert.h>
#include <string.h>

#define REMOTE_PLACEMENTS_MAX 100000
#define REMOTE_PLACEMENT_IDLE_MS (3600 * MSEC_PER_SEC)
#define PEAK_WINDOW_MS 2000
#define LEND_INTERVAL_MS 1000

const char *const sched_refusal_string[] = {
	"no upstream in service",
	"queue is full",
	"cannot start before the deadline",
	"upstream is changing hands",
	"request is held back",
};

const char *const sched_refusal_reason[] = {
	"no_upstream", "queue_full", "deadline", "moved", "held_back",
};

const char *sched_refusal_reason_of(const char *text)
{
	for (int i = 0; i < SCHED_REFUSAL_COUNT; i++) {
		if (!strcmp(sched_refusal_reason[i], text))
			return sched_refusal_reason[i];
	}
	return NULL;
}

static void move_chats_(sched_t *s, mstime_t now, const sched_upstream_t *u);
static void refresh_ownership_(sched_t *s, mstime_t now);
static void find_co_owners_(sched_t *s);
static GPtrArray *list_owned_(const sched_t *s);

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
	s->in_transit = g_queue_new();
	s->partition_nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	s->co_owners = g_ptr_array_new();
	s->upstreams =
		g_hash_table_new_full(NULL, NULL, NULL, sched_upstream_free);
	s->permits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	s->totals_cache = g_new0(totals_cache_t, 1);
	s->remote_placements = g_new0(lru_t, 1);
	lru_init(s->remote_placements, REMOTE_PLACEMENTS_MAX,
		 REMOTE_PLACEMENT_IDLE_MS);
	power_loans_init(&s->loans);
}

void sched_finish(sched_t *s)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t id;
	void *user;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;

		while (fairq_pop(&u->queue, &id, &user))
			g_free(user);
	}
	g_hash_table_destroy(s->upstreams);
	g_hash_table_destroy(s->permits);
	lru_finish(s->remote_placements);
	g_free(s->remote_placements);
	g_free(s->totals_cache);
	power_loans_finish(&s->loans);
	g_queue_free_full(s->in_transit, g_free);
	g_hash_table_destroy(s->partition_nodes);
	g_ptr_array_unref(s->co_owners);
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

void sched_node_free(void *node)
{
	sched_node_t *n = node;

	g_free(n->name);
	g_free(n->data_centre);
	g_free(n->region);
	g_free(n);
}

const char *sched_owner(const sched_t *s, const upstream_t *config)
{
	const sched_upstream_t *u = choose_lookup(s, config->key);

	return u && u->owner ? u->owner->name : NULL;
}

const char *sched_node_for_partition(const sched_t *s, uint64_t partition)
{
	const sched_node_t *n =
		g_hash_table_lookup(s->partition_nodes, &partition);

	if (!n) {
		n = owner_of_partition(s->nodes, partition);
		if (!n)
			return NULL;
		g_hash_table_insert(s->partition_nodes,
				    g_memdup2(&partition, sizeof(partition)),
				    (gpointer)n);
	}
	return n->name;
}

static sched_upstream_t *add_upstream_(sched_t *s, mstime_t now,
				       const upstream_t *config)
{
	sched_upstream_t *u = sched_upstream_new(config->key);

	/* Chats can be cached elsewhere only if there was a view before. */
	u->returned = s->view != NULL;
	u->stable_at = now;
	g_hash_table_insert(s->upstreams, GUINT_TO_POINTER(config->key), u);
	return u;
}

/* Ramps up an upstream that is in service again: its chats return gradually. */
static void return_to_service_(sched_upstream_t *u, mstime_t now,
			       const upstream_t *config)
{
	u->returned = true;
	u->stable_at = now;
	if (u->owned)
		limit_restart(&u->limit, now,
			      (mstime_t)(config->ramp_s * MSEC_PER_SEC));
}

/*
 * Applies the configuration of one upstream.
 *
 * Return: the upstream if it is owned and goes out of service, else NULL.
 */
static sched_upstream_t *apply_config_(sched_t *s, mstime_t now,
				       const upstream_t *config)
{
	sched_upstream_t *u = choose_lookup(s, config->key);
	bool accepts_work = upstream_accepts_work(config);
	bool leaves;

	if (!u)
		u = add_upstream_(s, now, config);
	else if (accepts_work && !u->in_service)
		return_to_service_(u, now, config);
	leaves = u->owned && u->in_service && !accepts_work;
	u->config = config;
	u->in_service = accepts_work;
	if (u->owned) {
		limit_resize(&u->limit, config->slots, config->floor);
		lru_set_weight_max(&u->cached_chats, config->cache_tokens);
	}
	return leaves ? u : NULL;
}

void sched_set_view(sched_t *s, mstime_t now, view_t *view)
{
	GPtrArray *leaving = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	view_ref(view);
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((sched_upstream_t *)value)->config = NULL;
	for (guint i = 0; i < view->upstreams->len; i++) {
		sched_upstream_t *u =
			apply_config_(s, now, view->upstreams->pdata[i]);

		if (u)
			g_ptr_array_add(leaving, u);
	}
	view_unref(s->view);
	s->view = view;
	refresh_ownership_(s, now);
	for (guint i = 0; i < leaving->len; i++)
		move_chats_(s, now, leaving->pdata[i]);
	g_ptr_array_unref(leaving);
}

void sched_set_nodes(sched_t *s, mstime_t now, GPtrArray *nodes)
{
	g_hash_table_remove_all(s->partition_nodes);
	g_ptr_array_unref(s->nodes);
	s->nodes = nodes;
	refresh_ownership_(s, now);
}

/* Moves each cached chat to the upstream that is now first by rank for it. */
static void move_chats_(sched_t *s, mstime_t now, const sched_upstream_t *u)
{
	sched_request_t r = { .sticky = true };

	g_strlcpy(r.service, u->config->service->name, sizeof(r.service));
	for (const GList *l = u->cached_chats.order.head; l; l = l->next) {
		const lru_entry_t *e = l->data;
		sched_move_t m = { .chat = e->key };
		const sched_upstream_t *to;

		r.chat = e->key;
		to = choose_by_rank(s, now, &r, RANK_ANY);
		if (!to || to == u)
			return;
		g_strlcpy(m.from, u->config->address, sizeof(m.from));
		g_strlcpy(m.to, to->config->address, sizeof(m.to));
		s->ops->move_cache(s->ctx, &m);
	}
}

static void refresh_ownership_(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *displaced = g_ptr_array_new();

	s->load_epoch++;
	s->owned_count = 0;
	owner_mark_drained(s->nodes, s->view);
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		bool owned;

		u->owner = u->config ? owner_of(s->nodes, u->config) : NULL;
		owned = u->owner && !strcmp(u->owner->name, s->self);
		s->owned_count += owned;
		if (!u->config && !u->own_outstanding &&
		    !fairq_length(&u->queue)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (owned && !u->owned)
			sched_upstream_own(u, now);
		else if (!owned && u->owned)
			sched_upstream_disown(u);
		if (!owned || !u->in_service)
			g_ptr_array_add(displaced, u);
	}
	find_co_owners_(s);
	/* Not while iterating: placing requests may change any upstream. */
	for (guint i = 0; i < displaced->len; i++)
		place_redistribute(s, now, displaced->pdata[i]);
	g_ptr_array_unref(displaced);
}

static void update_limit_(sched_upstream_t *u, mstime_t now,
			  const sched_outcome_t *o)
{
	switch (o->result) {
	case SCHED_DONE:
		if (o->first_token_ms > LIMIT_FIRST_TOKEN_MS)
			limit_note(&u->limit, now, LIMIT_SLOW);
		else
			limit_note(&u->limit, now, LIMIT_SUCCESS);
		break;
	case SCHED_UPSTREAM_REFUSED:
		limit_note(&u->limit, now, LIMIT_REFUSED);
		break;
	case SCHED_CONNECT_FAILED:
	case SCHED_CONNECTION_LOST:
		limit_note(&u->limit, now, LIMIT_FAILED);
		break;
	case SCHED_ABANDONED:
		break;
	}
}

/*
 * Counts a failure to reach an upstream. Once it counts as down, its waiting
 * requests are placed elsewhere.
 */
static void note_failure_(sched_t *s, mstime_t now, sched_upstream_t *u)
{
	if (!sched_upstream_note_failure(u, now))
		return;
	s->ops->health_changed(s->ctx, u->config ? u->config->name : "",
			       "down");
	place_redistribute(s, now, u);
}

static void update_estimates_(sched_upstream_t *u, mstime_t now,
			      const permit_t *p, const sched_outcome_t *o)
{
	if (o->result == SCHED_CONNECT_FAILED)
		lru_remove(&u->cached_chats, p->chat);
	if (!u->owned)
		return;
	update_limit_(u, now, o);
	sched_upstream_note_cache(u, now, p, o);
	sched_upstream_note_prefill(u, o);
}

void sched_release(sched_t *s, mstime_t now, const sched_outcome_t *o)
{
	permit_t *p = g_hash_table_lookup(s->permits, &o->id);
	sched_upstream_t *u;

	if (!p)
		return;
	s->load_epoch++;
	u = choose_lookup(s, p->key);
	if (!u) {
		g_hash_table_remove(s->permits, &o->id);
		return;
	}
	u->own_outstanding--;
	sched_upstream_customer(u, p->customer)->outstanding--;
	update_estimates_(u, now, p, o);
	/* A duration that includes a pause of this process is meaningless. */
	if (o->result == SCHED_DONE && p->started >= s->paused_until)
		sched_upstream_note_duration(u, now - p->started);
	g_hash_table_remove(s->permits, &o->id);
	if (u->owned && o->result == SCHED_CONNECT_FAILED)
		note_failure_(s, now, u);
	place_dispatch(s, now, u);
}

void sched_apply_report(sched_t *s, mstime_t now, const sched_report_t *r)
{
	sched_upstream_t *u = choose_lookup(s, r->key);

	if (!u || !u->owned || !u->config)
		return;
	s->load_epoch++;
	if (!r->ok) {
		note_failure_(s, now, u);
		return;
	}
	if (u->down)
		s->ops->health_changed(s->ctx, u->config->name, "up");
	sched_upstream_note_recovery(u, now);
	if (u->start_id && r->start_id != u->start_id) {
		s->ops->health_changed(s->ctx, u->config->name, "restarted");
		sched_upstream_note_restart(u, now);
	}
	u->start_id = r->start_id;
	sched_upstream_confirm_takeover(u, now, r->start_id, r->outstanding);
	/*
	 * The report lags: it may still count own requests that have ended, so
	 * the recent peak is subtracted rather than the present number.
	 */
	u->remote_outstanding =
		MAX(0, r->outstanding - MAX(u->own_peak, u->own_peak_previous));
	u->remote_reported_at = now;
	u->wait_report_until = now;
	s->load_epoch++;
	place_dispatch(s, now, u);
}

void sched_tick(sched_t *s, mstime_t now)
{
	GList *all = g_hash_table_get_values(s->upstreams);
	guint waiting = 0;

	place_note_arrivals(s, now);
	for (GList *l = all; l; l = l->next) {
		sched_upstream_t *u = l->data;

		if (now >= s->next_peak_window)
			sched_upstream_roll_window(u);
		place_tick(s, now, u);
		waiting += fairq_length(&u->queue);
	}
	if (now >= s->next_peak_window)
		s->next_peak_window = now + PEAK_WINDOW_MS;
	g_list_free(all);
	counter_set(GAUGE_QUEUE_LENGTH, waiting);
	counter_set(GAUGE_OWNED_UPSTREAMS, s->owned_count);
	lru_expire(s->remote_placements, now);
	power_expire(&s->loans, now);
	if (s->view && now >= s->next_lend) {
		s->next_lend = now + LEND_INTERVAL_MS;
		lend_unused(s, now);
	}
}

bool sched_dispatch(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool waiting = false;

	place_note_arrivals(s, now);
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;

		if (!fairq_length(&u->queue))
			continue;
		place_dispatch(s, now, u);
		waiting = waiting || fairq_length(&u->queue);
	}
	return waiting;
}

void sched_pause(sched_t *s, mstime_t until)
{
	s->paused_until = MAX(s->paused_until, until);
}

GPtrArray *sched_list_owned(const sched_t *s)
{
	GPtrArray *list = list_owned_(s);

	for (guint i = 0; i < list->len; i++)
		list->pdata[i] =
			(gpointer)((sched_upstream_t *)list->pdata[i])->config;
	return list;
}

/* Whether two upstreams contribute to the same mean load. */
static bool share_load_mean_(const sched_upstream_t *a,
			     const sched_upstream_t *b)
{
	return a->config->service == b->config->service &&
	       !strcmp(a->config->data_centre->region,
		       b->config->data_centre->region);
}

static bool is_co_owned_(const sched_upstream_t *other, const GPtrArray *owned)
{
	if (!other->config || other->owned || !other->owner)
		return false;
	for (guint i = 0; i < owned->len; i++) {
		if (share_load_mean_(owned->pdata[i], other))
			return true;
	}
	return false;
}

static GPtrArray *list_owned_(const sched_t *s)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_upstream_t *u = value;

		if (u->owned && u->config)
			g_ptr_array_add(list, value);
	}
	return list;
}

static void find_co_owners_(sched_t *s)
{
	GPtrArray *owned = list_owned_(s);
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(s->co_owners, 0);
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_upstream_t *u = value;

		if (is_co_owned_(u, owned) &&
		    !g_ptr_array_find(s->co_owners, u->owner, NULL))
			g_ptr_array_add(s->co_owners, (gpointer)u->owner);
	}
	g_ptr_array_unref(owned);
}

const upstream_t *sched_find_upstream(const sched_t *s, uint32_t key)
{
	const sched_upstream_t *u = choose_lookup(s, key);

	return u ? u->config : NULL;
}

bool sched_is_upstream_idle(const sched_t *s, const upstream_t *config)
{
	const sched_upstream_t *u = choose_lookup(s, config->key);

	return u && !u->own_outstanding && !u->remote_outstanding &&
	       !u->consecutive_failures && u->start_id;
}

bool sched_awaits_report(const sched_t *s, const upstream_t *config)
{
	const sched_upstream_t *u = choose_lookup(s, config->key);

	return u && u->owned && !u->start_id && !u->consecutive_failures;
}

const char *sched_node_for_chat(sched_t *s, mstime_t now, const char *service,
				uint64_t chat)
{
	sched_request_t r = { .chat = chat, .sticky = chat != 0 };
	sched_upstream_t *u;

	if (!s->view)
		return NULL;
	if (!chat)
		r.chat = ((uint64_t)g_rand_int(s->rand) << 32) |
			 g_rand_int(s->rand);
	g_strlcpy(r.service, service, sizeof(r.service));
	u = choose_preferred(s, now, &r);
	return u && u->owner ? u->owner->name : NULL;
}

json_t *sched_status(const sched_t *s, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_upstream_t *u = value;

		if (!u->config)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:i}",
				  "upstream", u->config->name, "service",
				  u->config->service->name, "owner",
				  u->owner ? u->owner->name : "", "alive",
				  sched_upstream_alive(u, now), "outstanding",
				  sched_upstream_load(u, now), "foreign",
				  u->remote_outstanding, "limit",
				  sched_upstream_limit(u, s, now), "weight",
				  (int)MIN(sched_upstream_weight(u, now),
					   WEIGHT_FULL),
				  "waiting", (int)fairq_length(&u->queue)));
	}
	return list;
}
