/*
 * Where nodes that know no other find one: the readers keep a few keys of the
 * platform's log up to date. All others are found through them.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* How often a reader looks whether its key names a live node. */
#define READER_INTERVAL_MS 15000
/* The same for a node that knows no other. */
#define ALONE_INTERVAL_MS 1000
/* Another fleet's node behind an address is probed for so long before the key
 * is taken from it.
 */
#define UNKNOWN_MAX_MS 4000
#define ANSWER_MAX_MS 900

static bool alone_(const gateway_t *g)
{
	return g_hash_table_size(g->members.by_name) <= 1;
}

mstime_t nodes_interval(const gateway_t *g)
{
	return alone_(g) ? ALONE_INTERVAL_MS : READER_INTERVAL_MS;
}

bool nodes_due(const gateway_t *g, mstime_t now)
{
	if (alone_(g))
		return now - g->started_at >= ALONE_INTERVAL_MS;
	return g->plan_at >= 0 && reader_is(g, now);
}

/* Address that a key names; empty for a dropped key. To be freed. */
static char *address_(const feed_entry_t *e)
{
	gsize len = 0;
	const char *data =
		e && e->data ? g_bytes_get_data(e->data, &len) : NULL;

	return g_strndup(data ? data : "", len);
}

static void take_seeds_(gateway_t *g)
{
	GHashTableIter iter;
	gpointer value;

	members_clear_seeds(&g->members);
	for (guint i = 0; i < g->conf->seeds->len; i++)
		members_add_seed(&g->members, g->conf->seeds->pdata[i]);
	g_hash_table_iter_init(&iter, g->states[FEED_NODES].entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		char *address = address_(value);

		if (address[0] && strlen(address) < MEMBER_ADDRESS_MAX)
			members_add_seed(&g->members, address);
		g_free(address);
	}
}

static void on_published_(void *arg, int err, const feed_batch_t *batch)
{
	gateway_t *g = arg;

	(void)batch;
	g->publishing = false;
	if (err)
		LOG_EVENT(LOG_WARNING, "node.unpublished",
			  F_STR("error", feed_err_string[-err]));
	else
		LOG_EVENT(LOG_NOTICE, "node.published",
			  F_STR("address", g->conf->peers));
}

static void publish_(gateway_t *g, const char *key, mstime_t now)
{
	if (g->publishing)
		return;
	g->publishing = true;
	counter_add(COUNTER_STORE_APPEND_CALLS, 1);
	g->feeds.ops->put(&g->feeds, FEED_NODES, str_of(key),
			  str_of(g->conf->peers), now + ANSWER_MAX_MS,
			  on_published_, g);
}

/* Whether a key names a node that others may find the fleet through. */
static bool useful_(gateway_t *g, const char *address, mstime_t now)
{
	const member_t *m = members_find_by_address(&g->members, address);

	if (!address[0] || (m && m->state == MEMBER_DEAD))
		return false;
	if (m) {
		g->unknown_since = 0;
		return true;
	}
	if (!g->unknown_since)
		g->unknown_since = now;
	return now - g->unknown_since < UNKNOWN_MAX_MS;
}

/* Each reader has a key of its own. */
static void claim_(gateway_t *g, mstime_t now)
{
	const feed_state_t *s = &g->states[FEED_NODES];
	char key[32];
	char *address;

	if (g->plan_at < 0 || !reader_is(g, now) || !s->loaded)
		return;
	g_snprintf(key, sizeof(key), "seed/%d", g->plan_at);
	address = address_(g_hash_table_lookup(s->entries, key));
	if (strcmp(address, g->conf->peers) != 0 && !useful_(g, address, now))
		publish_(g, key, now);
	g_free(address);
}

void nodes_take(gateway_t *g, mstime_t now)
{
	take_seeds_(g);
	claim_(g, now);
}
