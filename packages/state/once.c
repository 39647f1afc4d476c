#include <kcf/once.h>

#include <assert.h>
#include <string.h>

static void entry_free_(gpointer p);
static void apply_entry_(once_keys_t *k, mstime_t wall, const json_t *o);

void once_keys_init(once_keys_t *k)
{
	assert(k);
	*k = (once_keys_t){ .next_offset = 1 };
	k->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   entry_free_);
}

void once_keys_finish(once_keys_t *k)
{
	g_hash_table_destroy(k->entries);
}

int once_partition(const char *key)
{
	return (int)(str_hash64(str_of(key), 0) % ONCE_PARTITIONS);
}

void once_apply_record(once_keys_t *k, uint64_t offset, mstime_t wall,
		       str_t record)
{
	json_t *list;
	json_t *o;
	size_t i;

	if (offset < k->next_offset)
		return;
	k->next_offset = offset + 1;
	list = json_loadb(record.data ? record.data : "", record.len, 0, NULL);
	json_array_foreach (list, i, o)
		apply_entry_(k, wall, o);
	json_decref(list);
}

const once_entry_t *once_find(const once_keys_t *k, const char *key)
{
	return g_hash_table_lookup(k->entries, key);
}

static gboolean is_expired_(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return ((once_entry_t *)value)->recorded_at < *(mstime_t *)data;
}

void once_expire(once_keys_t *k, mstime_t before)
{
	g_hash_table_foreach_remove(k->entries, is_expired_, &before);
}

json_t *once_intent(const char *key, const char *attempt_id)
{
	return json_pack("{s:s,s:s,s:s}", "type", "intent", "key", key, "try",
			 attempt_id);
}

json_t *once_outcome(const char *key, const char *attempt_id, int status,
		     const char *content_type, GBytes *body)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:i,s:s}", "type", "outcome", "key",
			      key, "try", attempt_id, "status", status,
			      "content_type", content_type);
	gsize len = 0;
	const void *data = body ? g_bytes_get_data(body, &len) : NULL;
	gchar *text;

	if (len > ONCE_BODY_MAX)
		json_object_set_new(o, "body_left_out", json_true());
	if (!data || len > ONCE_BODY_MAX)
		return o;
	text = g_base64_encode(data, len);
	json_object_set_new(o, "body", json_string(text));
	g_free(text);
	return o;
}

json_t *once_release(const char *key, const char *attempt_id)
{
	return json_pack("{s:s,s:s,s:s}", "type", "release", "key", key, "try",
			 attempt_id);
}

static void claim_key_(once_keys_t *k, const char *key, const char *attempt_id,
		       mstime_t wall)
{
	once_entry_t *e;

	if (g_hash_table_contains(k->entries, key))
		return;
	e = g_new0(once_entry_t, 1);
	e->key = g_strdup(key);
	e->owner_attempt = g_strdup(attempt_id);
	e->state = ONCE_CLAIMED;
	e->recorded_at = wall;
	g_hash_table_insert(k->entries, e->key, e);
}

static void complete_entry_(once_entry_t *e, const json_t *o)
{
	const char *text = json_string_value(json_object_get(o, "body"));
	const char *type =
		json_string_value(json_object_get(o, "content_type"));
	gsize len = 0;
	guchar *data = text ? g_base64_decode(text, &len) : NULL;

	e->state = ONCE_COMPLETED;
	e->status = (int)json_integer_value(json_object_get(o, "status"));
	e->content_type = g_strdup(type ? type : "");
	e->body_left_out = json_is_true(json_object_get(o, "body_left_out"));
	if (data)
		e->body = g_bytes_new_take(data, len);
}

static void apply_entry_(once_keys_t *k, mstime_t wall, const json_t *o)
{
	const char *type;
	const char *key;
	const char *attempt_id;
	once_entry_t *e;

	if (json_unpack((json_t *)o, "{s:s,s:s,s:s}", "type", &type, "key",
			&key, "try", &attempt_id) != 0)
		return;
	if (!strcmp(type, "intent")) {
		claim_key_(k, key, attempt_id, wall);
		return;
	}
	e = g_hash_table_lookup(k->entries, key);
	/* Only the attempt that claimed the key may complete or release it. */
	if (!e || e->state != ONCE_CLAIMED ||
	    strcmp(e->owner_attempt, attempt_id) != 0)
		return;
	if (!strcmp(type, "outcome"))
		complete_entry_(e, o);
	else if (!strcmp(type, "release"))
		g_hash_table_remove(k->entries, key);
}

static void entry_free_(gpointer p)
{
	once_entry_t *e = p;

	g_free(e->key);
	g_free(e->owner_attempt);
	g_free(e->content_type);
	if (e->body)
		g_bytes_unref(e->body);
	g_free(e);
}
