#include <kcf/lru.h>

#include <assert.h>

static void remove_entry_(lru_t *l, lru_entry_t *e);
static void evict_(lru_t *l);

void lru_init(lru_t *l, int64_t weight_max, mstime_t idle_max_ms)
{
	assert(l && weight_max >= 0);
	*l = (lru_t){ .weight_max = weight_max, .idle_max_ms = idle_max_ms };
	l->map = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&l->order);
}

void lru_finish(lru_t *l)
{
	lru_clear(l);
	g_hash_table_destroy(l->map);
}

void lru_put(lru_t *l, mstime_t now, uint64_t key, uint32_t value,
	     int64_t weight)
{
	lru_entry_t *e = g_hash_table_lookup(l->map, &key);

	if (e) {
		g_queue_unlink(&l->order, &e->link);
		l->weight -= e->weight;
	} else {
		e = g_new0(lru_entry_t, 1);
		e->key = key;
		e->link.data = e;
		g_hash_table_insert(l->map, &e->key, e);
	}
	e->value = value;
	e->weight = weight;
	e->used_at = now;
	l->weight += weight;
	g_queue_push_head_link(&l->order, &e->link);
	evict_(l);
}

const lru_entry_t *lru_get(const lru_t *l, mstime_t now, uint64_t key)
{
	const lru_entry_t *e = g_hash_table_lookup(l->map, &key);

	if (!e || now - e->used_at > l->idle_max_ms)
		return NULL;
	return e;
}

void lru_remove(lru_t *l, uint64_t key)
{
	lru_entry_t *e = g_hash_table_lookup(l->map, &key);

	if (e)
		remove_entry_(l, e);
}

void lru_clear(lru_t *l)
{
	while (l->order.tail)
		remove_entry_(l, l->order.tail->data);
}

void lru_set_weight_max(lru_t *l, int64_t weight_max)
{
	l->weight_max = weight_max;
	evict_(l);
}

void lru_expire(lru_t *l, mstime_t now)
{
	while (l->order.tail) {
		lru_entry_t *e = l->order.tail->data;

		if (now - e->used_at <= l->idle_max_ms)
			return;
		remove_entry_(l, e);
	}
}

static void evict_(lru_t *l)
{
	while (l->weight > l->weight_max && l->order.tail)
		remove_entry_(l, l->order.tail->data);
}

static void remove_entry_(lru_t *l, lru_entry_t *e)
{
	g_hash_table_remove(l->map, &e->key);
	g_queue_unlink(&l->order, &e->link);
	l->weight -= e->weight;
	g_free(e);
}
