/*
 * Discovery for nodes without members: each reader publishes its address under
 * one key of the platform's log. Other members are found through the readers.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* How often a reader checks that its key holds the address of a live node. */
#define READER_INTERVAL_MS 15000
/* The same for a node without other members. */
#define ALONE_INTERVAL_MS 1000
/* A published address without a member is probed as a seed for this long before
 * its key is overwritten; it may belong to a node of another fleet.
 */
#define UNKNOWN_MAX_MS 4000
#define RESPONSE_MAX_MS 900
#define KEY_PREFIX "seed/"

static bool is_alone_(const gateway_t *g)
{
	return g_hash_table_size(g->members.by_name) <= 1;
}

mstime_t nodes_read_interval(const gateway_t *g)
{
	return is_alone_(g) ? ALONE_INTERVAL_MS : READER_INTERVAL_MS;
}

bool nodes_read_due(const gateway_t *g, mstime_t now)
{
	if (g->record_wanted)
		return true;
	if (is_alone_(g))
		return now - g->started_at >= ALONE_INTERVAL_MS;
	return g->own_rank >= 0 && reader_is_self(g, now);
}

/* Address stored under a key, to be freed; empty for a removed key. */
static char *entry_address_(const feed_entry_t *e)
{
	gsize len = 0;
	const char *data =
		e && e->data ? g_bytes_get_data(e->data, &len) : NULL;

	return g_strndup(data ? data : "", len);
}

static void update_seeds_(gateway_t *g)
{
	GHashTableIter iter;
	gpointer value;

	members_clear_seeds(&g->members);
	for (guint i = 0; i < g->conf->seeds->len; i++)
		members_add_seed(&g->members, g->conf->seeds->pdata[i]);
	g_hash_table_iter_init(&iter, g->feed_states[FEED_NODES].entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const feed_entry_t *e = value;
		char *address;

		if (!g_str_has_prefix(e->key, KEY_PREFIX))
			continue;
		address = entry_address_(e);
		if (address[0] && strlen(address) < MEMBER_ADDRESS_MAX)
			members_add_seed(&g->members, address);
		g_free(address);
	}
}

static void on_published_(void *arg, int err, const feed_batch_t *batch)
{
	gateway_t *g = arg;

	g->publishing = false;
	feeds_observe_epoch(g, batch->epoch, clock_now());
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
	g->feed_client.ops->put(&g->feed_client, FEED_NODES, str_of(key),
				str_of(g->conf->peers), now + RESPONSE_MAX_MS,
				on_published_, g);
}

/* Whether a published address is, or may become, that of a member. */
static bool is_usable_seed_(gateway_t *g, const char *address, mstime_t now)
{
	const member_t *m = members_find_by_address(&g->members, address);

	if (!address[0] || (m && m->state == MEMBER_DEAD))
		return false;
	if (m) {
		g->seed_unknown_since = 0;
		return true;
	}
	if (!g->seed_unknown_since)
		g->seed_unknown_since = now;
	return now - g->seed_unknown_since < UNKNOWN_MAX_MS;
}

/* Publishes this reader's address, if its key holds no usable one. */
static void claim_key_(gateway_t *g, mstime_t now)
{
	const feed_state_t *s = &g->feed_states[FEED_NODES];
	char key[32];
	char *address;

	if (g->own_rank < 0 || !reader_is_self(g, now) || !s->loaded)
		return;
	g_snprintf(key, sizeof(key), KEY_PREFIX "%d", g->own_rank);
	address = entry_address_(g_hash_table_lookup(s->entries, key));
	if (strcmp(address, g->conf->peers) != 0 &&
	    !is_usable_seed_(g, address, now))
		publish_(g, key, now);
	g_free(address);
}

void nodes_update(gateway_t *g, mstime_t now)
{
	update_seeds_(g);
	claim_key_(g, now);
	version_record_apply(g, now);
}
