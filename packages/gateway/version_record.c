/*
 * The record of the software versions of each service in the platform's log:
 * reads and writes.
 */
#include "private/gateway.h"

#include <jansson.h>
#include <kcf/json_text.h>
#include <kcf/logline.h>
#include <string.h>

#define KEY_PREFIX "version/"
#define KEY_MARK KEY_PREFIX "complete"
#define KEY_TEXT_MAX 32
#define RESPONSE_MAX_MS 900
/* Pause after a write that failed. */
#define RETRY_MS 1000
/* The reader of the first rank writes; the next ones do if it does not. */
#define WRITE_DELAY_PER_RANK_MS 2000
/* A node that starts reads what was written after the mark: a few entries of
 * each upstream.
 */
#define MARK_AGE_MS 2000
/* Other readers see a mark within 15 s, see nodes.c. */
#define STAND_IN_MARK_AGE_MS 20000
#define INCOMPLETE_READ_MS 2000

static const char *text_(const json_t *object, const char *name)
{
	return json_string_value(json_object_get(object, name));
}

static void apply_mark_(gateway_t *g, const json_t *root, mstime_t now,
			versions_mark_t *mark)
{
	size_t i;
	json_t *row;

	*mark = (versions_mark_t){
		.present = json_is_object(root),
		.epoch = json_get_uint(root, "epoch"),
		.counted = json_is_integer(json_object_get(root, "offset")),
		.offset = json_get_uint(root, "offset"),
	};
	json_array_foreach (json_object_get(root, "versions"), i, row) {
		const char *service = json_string_value(json_array_get(row, 0));
		const char *name = json_string_value(json_array_get(row, 1));

		if (service && name)
			versions_add_marked(&g->versions, service, name, now);
	}
}

/* Applies one entry, unless it is not of the record. */
static void apply_entry_(gateway_t *g, const feed_entry_t *e, mstime_t now,
			 versions_mark_t *mark)
{
	gsize len = 0;
	const char *data = e->data ? g_bytes_get_data(e->data, &len) : NULL;
	json_t *root;

	if (!data || !g_str_has_prefix(e->key, KEY_PREFIX))
		return;
	root = json_loadb(data, len, 0, NULL);
	if (!strcmp(e->key, KEY_MARK))
		apply_mark_(g, root, now, mark);
	else if (text_(root, "service") && text_(root, "version"))
		versions_add_recorded(&g->versions, text_(root, "service"),
				      text_(root, "version"),
				      json_get_uint(root, "epoch"), now);
	json_decref(root);
}

void version_record_apply(gateway_t *g, mstime_t now)
{
	const feed_state_t *s = &g->feed_states[FEED_NODES];
	versions_mark_t mark = { 0 };
	GHashTableIter iter;
	gpointer value;

	if (!s->loaded)
		return;
	g->record_wanted = false;
	versions_begin_record(&g->versions);
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		apply_entry_(g, value, now, &mark);
	versions_end_record(&g->versions, &mark, s->epoch, now);
	LOG_EVENT(
		LOG_NOTICE, "versions.read", F_INT("epoch", (int64_t)s->epoch),
		F_INT("marked", mark.present),
		F_INT("mark_epoch", (int64_t)mark.epoch),
		F_INT("mark_offset", mark.counted ? (int64_t)mark.offset : -1),
		F_INT("known", g_hash_table_size(g->versions.by_key)),
		F_STR("basis", versions_basis_text(&g->versions, now)));
	version_entries_read(g, now);
}

void version_record_read(gateway_t *g)
{
	g->record_wanted = true;
	reader_tick(g, clock_now());
}

/* Whether the change only moves the mark on. */
static bool renews_mark_(const gateway_t *g)
{
	const versions_mark_t *mark = &g->versions.mark;

	return g->record_change.kind == VERSIONS_MARK && mark->present &&
	       mark->counted && mark->epoch == g->record_epoch;
}

static void log_written_(const gateway_t *g, int err)
{
	const versions_change_t *change = &g->record_change;
	const version_t *version = change->version;

	LOG_EVENT(
		err ? LOG_WARNING : LOG_NOTICE, "version.recorded",
		F_STR("error", feed_err_string[-err]),
		F_STR("service", version ? version->service : "-"),
		F_STR("version", version ? version->name : "-"),
		F_INT("removed", change->kind == VERSIONS_REMOVE),
		F_INT("epoch", (int64_t)g->record_epoch),
		F_INT("mark_offset", version ? -1 : (int64_t)change->offset),
		F_STR("basis", versions_basis_text(&g->versions, clock_now())));
}

static void on_written_(void *arg, int err, const feed_batch_t *batch)
{
	gateway_t *g = arg;
	mstime_t now = clock_now();

	g->record_writing = false;
	feeds_observe_epoch(g, batch->epoch, now);
	if (err || !renews_mark_(g))
		log_written_(g, err);
	if (err)
		g->record_write_at = now + RETRY_MS;
	else
		versions_apply_change(&g->versions, &g->record_change,
				      g->record_epoch, now);
}

static json_t *possible_versions_(const gateway_t *g, mstime_t now)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->versions.by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *v = value;

		if (versions_is_possible(&g->versions, v, now))
			json_array_append_new(
				list, json_pack("[s,s]", v->service, v->name));
	}
	return list;
}

/* Text of the value that makes a change; empty to remove the key. */
static char *encode_change_(const gateway_t *g, mstime_t now)
{
	const versions_change_t *change = &g->record_change;
	json_t *root;

	if (change->kind == VERSIONS_REMOVE)
		return g_strdup("");
	if (change->kind == VERSIONS_MARK)
		root = json_pack("{s:I,s:I,s:o}", "epoch",
				 (json_int_t)g->record_epoch, "offset",
				 (json_int_t)change->offset, "versions",
				 possible_versions_(g, now));
	else
		root = json_pack("{s:I,s:s,s:s}", "epoch",
				 (json_int_t)g->record_epoch, "service",
				 change->version->service, "version",
				 change->version->name);
	return json_text(root);
}

static void write_(gateway_t *g, mstime_t now)
{
	const version_t *version = g->record_change.version;
	char *text = encode_change_(g, now);
	char key[KEY_TEXT_MAX] = KEY_MARK;

	if (version)
		g_snprintf(key, sizeof(key), KEY_PREFIX "%08x", version->key);
	g->record_writing = true;
	counter_add(COUNTER_STORE_APPEND_CALLS, 1);
	g->feed_client.ops->put(&g->feed_client, FEED_NODES, str_of(key),
				str_of(text), now + RESPONSE_MAX_MS,
				on_written_, g);
	g_free(text);
}

/* Whether the offsets of entries are those of the log that is written to. */
static bool has_entries_(const gateway_t *g)
{
	const feed_state_t *s = &g->feed_states[FEED_UPSTREAMS];

	return s->complete && s->epoch == g->feed_states[FEED_NODES].epoch;
}

/* A node that does not write the record reads it when it has to know. */
static void read_if_incomplete_(gateway_t *g, mstime_t now)
{
	if (now < g->record_read_at || versions_is_complete(&g->versions, now))
		return;
	g->record_read_at = now + INCOMPLETE_READ_MS;
	version_record_read(g);
}

void version_record_tick(gateway_t *g, mstime_t now)
{
	const feed_state_t *s = &g->feed_states[FEED_NODES];
	mstime_t age = g->own_rank ? STAND_IN_MARK_AGE_MS : MARK_AGE_MS;
	versions_change_t change;

	version_entries_tick(g, now);
	if (g->own_rank < 0 || !reader_is_self(g, now))
		return;
	if (versions_take_ask(&g->versions, now))
		resumes_ask_versions(g);
	read_if_incomplete_(g, now);
	if (g->record_writing || !s->loaded || !has_entries_(g))
		return;
	if (!versions_next_change(&g->versions, s->epoch, age, now, &change)) {
		g->record_due_since = 0;
		return;
	}
	if (!g->record_due_since)
		g->record_due_since = now;
	if (now < g->record_write_at ||
	    now - g->record_due_since < g->own_rank * WRITE_DELAY_PER_RANK_MS)
		return;
	g->record_change = change;
	g->record_change.offset = g->feed_states[FEED_UPSTREAMS].next_offset;
	g->record_epoch = s->epoch;
	write_(g, now);
}
