#include <kcf/fairq.h>

#include <assert.h>
#include <math.h>

static fairq_flow_t *flow_of_(fairq_t *q, const char *customer);
static fairq_flow_t *next_flow_(const fairq_t *q, bool background);
static void unlink_(fairq_t *q, fairq_item_t *item);
static void free_item_(fairq_item_t *item);

void fairq_init(fairq_t *q)
{
	assert(q);
	*q = (fairq_t){ 0 };
	q->flows = g_hash_table_new(g_str_hash, g_str_equal);
	q->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void fairq_finish(fairq_t *q)
{
	assert(!fairq_length(q));
	g_hash_table_destroy(q->flows);
	g_hash_table_destroy(q->by_id);
}

void fairq_push(fairq_t *q, uint64_t id, const char *customer, double weight,
		int urgency, mstime_t now, mstime_t deadline, void *user)
{
	fairq_item_t *item = g_new0(fairq_item_t, 1);

	assert(urgency >= 0 && urgency < FAIRQ_URGENCIES && weight > 0);
	item->id = id;
	item->customer = g_strdup(customer);
	item->weight = weight;
	item->urgency = urgency;
	item->queued_at = now;
	item->deadline = deadline;
	item->user = user;
	item->link.data = item;
	item->flow = flow_of_(q, customer);
	item->flow->length++;
	g_queue_push_tail_link(&item->flow->items[urgency], &item->link);
	g_hash_table_insert(q->by_id, &item->id, item);
}

static fairq_item_t *head_(const fairq_t *q)
{
	fairq_flow_t *flow = next_flow_(q, false);

	if (!flow)
		flow = next_flow_(q, true);
	for (int u = 0; flow && u < FAIRQ_URGENCIES; u++) {
		if (flow->items[u].head)
			return flow->items[u].head->data;
	}
	return NULL;
}

const fairq_item_t *fairq_peek(const fairq_t *q)
{
	return head_(q);
}

bool fairq_pop(fairq_t *q, uint64_t *id, void **user)
{
	fairq_item_t *item = head_(q);
	fairq_flow_t *flow;

	if (!item)
		return false;
	flow = item->flow;
	q->virtual_now = MAX(q->virtual_now, flow->finish);
	flow->finish = q->virtual_now + 1 / item->weight;
	*id = item->id;
	*user = item->user;
	unlink_(q, item);
	free_item_(item);
	return true;
}

void *fairq_remove(fairq_t *q, uint64_t id)
{
	fairq_item_t *item = g_hash_table_lookup(q->by_id, &id);
	void *user;

	if (!item)
		return NULL;
	user = item->user;
	unlink_(q, item);
	free_item_(item);
	return user;
}

guint fairq_length(const fairq_t *q)
{
	return g_hash_table_size(q->by_id);
}

guint fairq_ahead(const fairq_t *q, const char *customer)
{
	const fairq_flow_t *own = g_hash_table_lookup(q->flows, customer);
	guint queued = own ? own->length : 0;
	GHashTableIter iter;
	gpointer value;
	guint ahead = queued;

	/* Each other customer gets about as many turns as this one needs. */
	g_hash_table_iter_init(&iter, q->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fairq_flow_t *flow = value;

		if (flow != own)
			ahead += MIN(flow->length, queued + 1);
	}
	return ahead;
}

void fairq_foreach(const fairq_t *q,
		   void (*fn)(void *arg, const fairq_item_t *item), void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(arg, value);
}

static fairq_flow_t *flow_of_(fairq_t *q, const char *customer)
{
	fairq_flow_t *flow = g_hash_table_lookup(q->flows, customer);

	if (flow)
		return flow;
	flow = g_new0(fairq_flow_t, 1);
	flow->customer = g_strdup(customer);
	/* A customer gains no credit for the time in which it was idle. */
	flow->finish = q->virtual_now;
	flow->seq = q->next_seq++;
	for (int u = 0; u < FAIRQ_URGENCIES; u++)
		g_queue_init(&flow->items[u]);
	g_hash_table_insert(q->flows, flow->customer, flow);
	return flow;
}

static bool has_items_(const fairq_flow_t *flow, bool background)
{
	guint last =
		g_queue_get_length((GQueue *)&flow->items[FAIRQ_BACKGROUND]);

	return background ? last > 0 : flow->length > last;
}

static bool starts_before_(const fairq_flow_t *a, const fairq_flow_t *b)
{
	if (a->finish != b->finish)
		return a->finish < b->finish;
	return a->seq < b->seq;
}

static fairq_flow_t *next_flow_(const fairq_t *q, bool background)
{
	fairq_flow_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fairq_flow_t *flow = value;

		if (!has_items_(flow, background))
			continue;
		if (!best || starts_before_(flow, best))
			best = flow;
	}
	return best;
}

static void unlink_(fairq_t *q, fairq_item_t *item)
{
	fairq_flow_t *flow = item->flow;

	g_hash_table_remove(q->by_id, &item->id);
	g_queue_unlink(&flow->items[item->urgency], &item->link);
	flow->length--;
	if (flow->length)
		return;
	g_hash_table_remove(q->flows, flow->customer);
	g_free(flow->customer);
	g_free(flow);
}

static void free_item_(fairq_item_t *item)
{
	g_free(item->customer);
	g_free(item);
}
