#include <kcf/versions.h>

#include <assert.h>
#include <kcf/str.h>
#include <string.h>

static void version_free_(gpointer p)
{
	version_t *version = p;

	g_free(version->service);
	g_free(version->name);
	g_free(version);
}

uint32_t versions_key(const char *service, const char *name)
{
	uint64_t seed = str_hash64(str_of(service), 0);
	uint32_t key;

	assert(service && name);
	key = (uint32_t)str_hash64(str_of(name), seed);
	return key ? key : 1;
}

void versions_init(versions_t *v)
{
	assert(v);
	*v = (versions_t){ .life_ms = VERSIONS_STREAM_LIFE_MS };
	v->by_key = g_hash_table_new_full(NULL, NULL, NULL, version_free_);
}

void versions_finish(versions_t *v)
{
	assert(v);
	g_hash_table_destroy(v->by_key);
}

void versions_set_life(versions_t *v, mstime_t life_ms)
{
	assert(v);
	v->life_ms = MAX(life_ms, VERSIONS_STREAM_LIFE_MS);
}

static bool is_possible_(const versions_t *v, const version_t *version,
			 mstime_t now)
{
	return version->seen && now - version->seen_at <= v->life_ms;
}

static void note_seen_(version_t *version, mstime_t now)
{
	version->seen_at = version->seen ? MAX(version->seen_at, now) : now;
	version->seen = true;
}

/* The entry of a version, created if missing. */
static version_t *get_(versions_t *v, const char *service, const char *name)
{
	uint32_t key = versions_key(service, name);
	version_t *version =
		g_hash_table_lookup(v->by_key, GUINT_TO_POINTER(key));

	if (version)
		return version;
	version = g_new0(version_t, 1);
	version->key = key;
	version->service = g_strdup(service);
	version->name = g_strdup(name);
	g_hash_table_insert(v->by_key, GUINT_TO_POINTER(key), version);
	return version;
}

bool versions_observe(versions_t *v, const char *service, const char *name,
		      mstime_t now)
{
	version_t *version;
	bool fresh;

	assert(v && service && name);
	version = get_(v, service, name);
	fresh = !is_possible_(v, version, now);
	note_seen_(version, now);
	return fresh;
}

const version_t *versions_find(const versions_t *v, uint32_t key)
{
	assert(v);
	return g_hash_table_lookup(v->by_key, GUINT_TO_POINTER(key));
}

int versions_count(const versions_t *v, const char *service, mstime_t now,
		   uint32_t *only)
{
	GHashTableIter iter;
	gpointer value;
	int count = 0;

	assert(v && service && only);
	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *version = value;

		if (!is_possible_(v, version, now) ||
		    strcmp(version->service, service) != 0)
			continue;
		*only = version->key;
		count++;
	}
	return count;
}

void versions_tick(versions_t *v, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	assert(v);
	g_hash_table_iter_init(&iter, v->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!is_possible_(v, value, now))
			g_hash_table_iter_remove(&iter);
	}
}
