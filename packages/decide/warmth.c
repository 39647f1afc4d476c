#include <kcf/warmth.h>

#include <assert.h>

/*
 * With fewer upstreams known for a prompt, others are told of one more: a
 * second one in case the first leaves. A prompt that is spread over all
 * upstreams would otherwise be told without end.
 */
#define TOLD_PLACES 2
/* What others tell of a prompt after this time is passed on again. */
#define REPEAT_MS (WARMTH_REFRESH_MS / 2)

typedef struct warmth_place {
	uint32_t key;
	mstime_t at;	   /* of the information, 0 for none */
	mstime_t ready_at; /* when the prompt can be copied from there */
} warmth_place_t;

typedef struct warmth_entry {
	uint64_t prompt;
	warmth_place_t places[WARMTH_PLACES]; /* newest first */
	mstime_t told_at; /* when a pair of it was last told, or 0 */
	GList link;
} warmth_entry_t;

typedef struct warmth_news {
	uint64_t prompt;
	uint32_t key;
	int passes; /* that are left */
	GList link;
} warmth_news_t;

void warmth_init(warmth_t *w)
{
	assert(w);
	*w = (warmth_t){ 0 };
	w->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&w->order);
	g_queue_init(&w->news);
}

static void drop_news_(warmth_t *w, warmth_news_t *n)
{
	g_queue_unlink(&w->news, &n->link);
	g_free(n);
}

static void drop_entry_(warmth_t *w, warmth_entry_t *e)
{
	g_hash_table_remove(w->entries, &e->prompt);
	g_queue_unlink(&w->order, &e->link);
	g_free(e);
}

void warmth_finish(warmth_t *w)
{
	assert(w);
	while (w->news.tail)
		drop_news_(w, w->news.tail->data);
	while (w->order.tail)
		drop_entry_(w, w->order.tail->data);
	g_hash_table_destroy(w->entries);
}

static bool is_valid_(const warmth_place_t *p, mstime_t now)
{
	return p->at && now - p->at < WARMTH_VALID_MS;
}

/* The places are ordered by time, so that the valid ones come first. */
static int count_valid_(const warmth_entry_t *e, mstime_t now)
{
	int count = 0;

	while (count < WARMTH_PLACES && is_valid_(&e->places[count], now))
		count++;
	return count;
}

static void use_(warmth_t *w, warmth_entry_t *e)
{
	g_queue_unlink(&w->order, &e->link);
	g_queue_push_head_link(&w->order, &e->link);
}

static warmth_entry_t *get_entry_(warmth_t *w, uint64_t prompt)
{
	warmth_entry_t *e = g_hash_table_lookup(w->entries, &prompt);

	if (e) {
		use_(w, e);
		return e;
	}
	if (w->order.length >= WARMTH_PROMPTS_MAX)
		drop_entry_(w, w->order.tail->data);
	e = g_new0(warmth_entry_t, 1);
	e->prompt = prompt;
	e->link.data = e;
	g_hash_table_insert(w->entries, &e->prompt, e);
	g_queue_push_head_link(&w->order, &e->link);
	return e;
}

static int find_place_(const warmth_entry_t *e, uint32_t key)
{
	int i = 0;

	while (i < WARMTH_PLACES &&
	       !(e->places[i].at && e->places[i].key == key))
		i++;
	return i;
}

static void remove_place_(warmth_entry_t *e, int i)
{
	for (; i < WARMTH_PLACES - 1; i++)
		e->places[i] = e->places[i + 1];
	e->places[WARMTH_PLACES - 1] = (warmth_place_t){ 0 };
}

/* The oldest place is dropped if there are too many. */
static void insert_place_(warmth_entry_t *e, const warmth_place_t *place)
{
	int i = WARMTH_PLACES - 1;

	if (e->places[i].at >= place->at)
		return;
	for (; i > 0 && e->places[i - 1].at < place->at; i--)
		e->places[i] = e->places[i - 1];
	e->places[i] = *place;
}

/* Records a place; returns whether it was unknown, and few others are known. */
static bool put_place_(warmth_entry_t *e, warmth_place_t place, mstime_t now)
{
	int i = find_place_(e, place.key);
	bool known = i < WARMTH_PLACES && is_valid_(&e->places[i], now);
	bool few = count_valid_(e, now) < TOLD_PLACES;

	if (known)
		place.ready_at = MIN(place.ready_at, e->places[i].ready_at);
	if (i < WARMTH_PLACES) {
		place.at = MAX(place.at, e->places[i].at);
		remove_place_(e, i);
	}
	insert_place_(e, &place);
	return !known && few;
}

/* Pairs that are only told again wait until the new ones have been told. */
static void add_news_(warmth_t *w, warmth_entry_t *e, uint32_t key, bool again,
		      mstime_t now)
{
	warmth_news_t *n = g_new0(warmth_news_t, 1);

	*n = (warmth_news_t){ e->prompt, key, WARMTH_PASSES, { 0 } };
	n->link.data = n;
	e->told_at = now;
	if (again)
		g_queue_push_tail_link(&w->news, &n->link);
	else
		g_queue_push_head_link(&w->news, &n->link);
	if (w->news.length > WARMTH_NEWS_MAX)
		drop_news_(w, w->news.tail->data);
}

/* Records a pair, and tells it if it is new or the prompt is due again. */
static bool record_(warmth_t *w, uint64_t prompt, const warmth_place_t *place,
		    mstime_t interval_ms, mstime_t now)
{
	warmth_entry_t *e = get_entry_(w, prompt);
	bool due = !e->told_at || now - e->told_at >= interval_ms;
	bool is_new = put_place_(e, *place, now);

	if (!is_new && !due)
		return false;
	add_news_(w, e, place->key, !is_new, now);
	return true;
}

bool warmth_learn(warmth_t *w, uint64_t prompt, uint32_t key, mstime_t now)
{
	assert(w && prompt && now > 0);
	return record_(w, prompt, &(warmth_place_t){ key, now, now },
		       WARMTH_REFRESH_MS, now);
}

bool warmth_begin_prefill(warmth_t *w, uint64_t prompt, uint32_t key,
			  mstime_t now)
{
	warmth_place_t place = { key, now, now + WARMTH_PREFILL_MS };

	assert(w && prompt && now > 0);
	return record_(w, prompt, &place, WARMTH_REFRESH_MS, now);
}

bool warmth_apply(warmth_t *w, const warmth_pair_t *pair, mstime_t now)
{
	mstime_t at;

	assert(w && pair);
	if (!pair->prompt || pair->age_ms < 0 ||
	    pair->age_ms >= WARMTH_VALID_MS || pair->age_ms >= now)
		return false;
	at = now - pair->age_ms;
	return record_(
		w, pair->prompt,
		&(warmth_place_t){ pair->key, at, at + WARMTH_PREFILL_MS },
		REPEAT_MS, now);
}

void warmth_observe(warmth_t *w, uint64_t prompt, uint32_t key, mstime_t now)
{
	warmth_entry_t *e;

	assert(w && prompt && now > 0);
	e = get_entry_(w, prompt);
	put_place_(e, (warmth_place_t){ key, now, now + WARMTH_PREFILL_MS },
		   now);
	e->told_at = now;
}

bool warmth_is_ready(const warmth_t *w, uint64_t prompt, uint32_t key,
		     mstime_t now)
{
	const warmth_entry_t *e;
	int i;

	assert(w);
	e = g_hash_table_lookup(w->entries, &prompt);
	i = e ? find_place_(e, key) : WARMTH_PLACES;
	return i < WARMTH_PLACES && is_valid_(&e->places[i], now) &&
	       now >= e->places[i].ready_at;
}

int warmth_find(warmth_t *w, uint64_t prompt, mstime_t now, uint32_t *keys)
{
	warmth_entry_t *e;
	int count;

	assert(w && keys);
	e = g_hash_table_lookup(w->entries, &prompt);
	if (!e)
		return 0;
	count = count_valid_(e, now);
	for (int i = 0; i < count; i++)
		keys[i] = e->places[i].key;
	use_(w, e);
	return count;
}

void warmth_remove_upstream(warmth_t *w, uint32_t key)
{
	GList *next;

	assert(w);
	for (GList *l = w->order.head; l; l = next) {
		warmth_entry_t *e = l->data;
		int i = find_place_(e, key);

		next = l->next;
		if (i < WARMTH_PLACES)
			remove_place_(e, i);
		if (!e->places[0].at)
			drop_entry_(w, e);
	}
}

bool warmth_has_news(const warmth_t *w)
{
	assert(w);
	return w->news.length > 0;
}

/* The place of a pair that is to be told; NULL if it is not known any more. */
static const warmth_place_t *news_place_(const warmth_t *w,
					 const warmth_news_t *n, mstime_t now)
{
	const warmth_entry_t *e = g_hash_table_lookup(w->entries, &n->prompt);
	int i = e ? find_place_(e, n->key) : WARMTH_PLACES;

	return i < WARMTH_PLACES && is_valid_(&e->places[i], now)
		       ? &e->places[i]
		       : NULL;
}

guint warmth_take_news(warmth_t *w, warmth_pair_t *out, guint max, mstime_t now)
{
	guint count = 0;

	assert(w && out);
	for (guint left = w->news.length; left && count < max; left--) {
		warmth_news_t *n = w->news.head->data;
		const warmth_place_t *p = news_place_(w, n, now);

		if (p)
			out[count++] = (warmth_pair_t){ n->prompt, n->key,
							now - p->at };
		if (!p || --n->passes <= 0) {
			drop_news_(w, n);
			continue;
		}
		/* Where there is too much to tell, what no node has been told
		 * goes before what one has.
		 */
		g_queue_unlink(&w->news, &n->link);
		g_queue_push_tail_link(&w->news, &n->link);
	}
	return count;
}

guint warmth_list_newest(const warmth_t *w, warmth_pair_t *out, guint max,
			 mstime_t now)
{
	guint count = 0;

	assert(w && out);
	for (GList *l = w->order.head; l && count < max; l = l->next) {
		const warmth_entry_t *e = l->data;
		const warmth_place_t *p = &e->places[0];

		if (is_valid_(p, now))
			out[count++] = (warmth_pair_t){ e->prompt, p->key,
							now - p->at };
	}
	return count;
}
