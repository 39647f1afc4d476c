#include <kcf/origins.h>

#include <assert.h>
#include <kcf/rank.h>
#include <string.h>

/* Streams that are remembered, about 80 bytes each. */
#define STREAMS_MAX 32768
/* Streams of some seconds, of which few begin while an upstream starts. */
#define DOUBTS_MAX 4096
/* A stream for which two versions were named, or whose start had none. */
#define CONTRADICTED 0

const char *const origin_source_string[] = { "unknown", "told", "only one" };

void origins_init(origins_t *o)
{
	assert(o);
	lru_init(&o->streams, STREAMS_MAX, VERSIONS_STREAM_LIFE_MS);
	o->doubts = g_array_new(FALSE, FALSE, sizeof(origin_doubt_t));
}

void origins_finish(origins_t *o)
{
	assert(o);
	lru_finish(&o->streams);
	g_array_unref(o->doubts);
}

bool origins_put(origins_t *o, uint64_t stream, uint32_t version, mstime_t now)
{
	const lru_entry_t *e;
	uint32_t value = version;

	assert(o && stream && version);
	e = lru_get(&o->streams, now, stream);
	if (e && e->value != version)
		value = CONTRADICTED;
	lru_put(&o->streams, now, stream, value, 1);
	return !e;
}

void origins_put_unknown(origins_t *o, uint64_t stream, mstime_t now)
{
	assert(o && stream);
	lru_put(&o->streams, now, stream, CONTRADICTED, 1);
}

const origin_doubt_t *origins_find_doubt(const origins_t *o, uint64_t stream)
{
	assert(o);
	for (guint i = 0; i < o->doubts->len; i++) {
		const origin_doubt_t *d =
			&g_array_index(o->doubts, origin_doubt_t, i);

		if (d->stream == stream)
			return d;
	}
	return NULL;
}

bool origins_doubt(origins_t *o, const origin_doubt_t *doubt)
{
	assert(o && doubt && doubt->stream);
	if (origins_find_doubt(o, doubt->stream))
		return false;
	if (o->doubts->len < DOUBTS_MAX)
		g_array_append_val(o->doubts, *doubt);
	return true;
}

bool origins_settle(origins_t *o, const balance_t *b, mstime_t now,
		    origin_doubt_t *out, bool *sure)
{
	assert(o && b && out && sure);
	for (guint i = 0; i < o->doubts->len; i++) {
		const origin_doubt_t *d =
			&g_array_index(o->doubts, origin_doubt_t, i);
		uint32_t version;
		balance_trust_t trust =
			balance_check_start(b, &d->begin, &version);

		if (trust == BALANCE_TRUST_UNSURE && now < d->until)
			continue;
		*out = *d;
		if (trust == BALANCE_TRUST_SURE)
			out->begin.version = version;
		*sure = trust == BALANCE_TRUST_SURE;
		g_array_remove_index_fast(o->doubts, i);
		return true;
	}
	return false;
}

uint32_t origins_get(const origins_t *o, uint64_t stream, mstime_t now)
{
	const lru_entry_t *e;

	assert(o);
	e = lru_get(&o->streams, now, stream);
	return e ? e->value : 0;
}

bool origins_is_unknown(const origins_t *o, uint64_t stream, mstime_t now)
{
	const lru_entry_t *e;

	assert(o);
	e = lru_get(&o->streams, now, stream);
	return e && e->value == CONTRADICTED;
}

void origins_tick(origins_t *o, mstime_t life_ms, mstime_t now)
{
	assert(o);
	o->streams.idle_max_ms = life_ms;
	lru_expire(&o->streams, now);
}

/* The service at which a stream was begun in doubt, or NULL. */
static const char *begun_service_(const versions_t *v,
				  const origin_doubt_t *doubt)
{
	const version_t *version =
		doubt ? versions_find(v, doubt->begin.version) : NULL;

	return version ? version->service : NULL;
}

/* Versions of the services at which the stream can have been begun. */
static int count_versions_(const versions_t *v, const origin_query_t *query,
			   const origin_doubt_t *doubt, mstime_t now,
			   uint32_t *only)
{
	const char *begun = begun_service_(v, doubt);
	int count = 0;

	for (int i = 0; i < query->service_count; i++) {
		if (!begun || !strcmp(begun, query->services[i]))
			count += versions_count(v, query->services[i], now,
						only);
	}
	return count;
}

static origin_answer_t verdict_(origin_verdict_t verdict)
{
	return (origin_answer_t){ .verdict = verdict };
}

/* Whether nothing that the log of streams could tell is missing here. */
static bool is_log_known_(const origin_query_t *query)
{
	return !query->stream || query->log_to >= query->came_at;
}

/*
 * The only version that is known may have begun the stream, and so may one that
 * has come since the latest entries that are known.
 */
static origin_answer_t vouch_(const origin_query_t *query, uint32_t only)
{
	if (query->untold ||
	    (is_log_known_(query) && query->known_to >= query->came_at))
		return (origin_answer_t){ ORIGIN_FOUND, ORIGIN_ONLY, only };
	if (is_log_known_(query) && !query->refreshed)
		return verdict_(ORIGIN_READ_ENTRIES);
	return verdict_(ORIGIN_UNVOUCHED);
}

origin_answer_t origins_resolve(const origins_t *o, const versions_t *v,
				const origin_query_t *query, mstime_t now)
{
	const origin_doubt_t *doubt;
	const lru_entry_t *e;
	uint32_t only = 0;
	bool complete;
	int count;

	assert(o && v && query);
	e = query->stream ? lru_get(&o->streams, now, query->stream) : NULL;
	if (e && e->value == CONTRADICTED)
		return (origin_answer_t){ ORIGIN_AMBIGUOUS, ORIGIN_TOLD, 0 };
	if (e)
		return (origin_answer_t){ ORIGIN_FOUND, ORIGIN_TOLD, e->value };
	/* Another node may know a version that this one has not seen yet. */
	if (query->stream && !query->asked)
		return verdict_(ORIGIN_ASK);
	doubt = origins_find_doubt(o, query->stream);
	/* Its start has named itself, and has written no entry yet. */
	if (doubt && !doubt->begin.version)
		return verdict_(ORIGIN_AMBIGUOUS);
	count = count_versions_(v, query, doubt, now, &only);
	complete = versions_is_complete(v, now);
	if (count <= 1 && !complete && !query->read)
		return verdict_(ORIGIN_READ);
	if ((count > 1 || !complete || !query->untold) && query->stream &&
	    !query->logged)
		return verdict_(ORIGIN_READ_LOG);
	if (count > 1)
		return verdict_(ORIGIN_AMBIGUOUS);
	if (!complete)
		return verdict_(ORIGIN_INCOMPLETE);
	if (!count)
		return verdict_(ORIGIN_NONE);
	return vouch_(query, only);
}

bool origins_is_untold(uint64_t stream, const origin_witness_t *nodes,
		       guint count)
{
	uint32_t *keys = g_new(uint32_t, count + 1);
	guint homes[ORIGINS_ASKED];
	int untold = 0;
	int ended = 0;
	int found;

	assert(nodes || !count);
	for (guint i = 0; i < count; i++)
		keys[i] = nodes[i].key;
	found = origins_select_homes(stream, keys, count, homes, ORIGINS_ASKED);
	for (int i = 0; i < found; i++) {
		const origin_witness_t *w = &nodes[homes[i]];

		untold += w->untold;
		ended += !w->untold && w->heard;
	}
	g_free(keys);
	/* This node is one of those in reach. */
	return untold > 0 && untold + ended == found &&
	       2 * (untold + 1) > found + 1;
}

int origins_select_homes(uint64_t stream, const uint32_t *nodes, guint count,
			 guint *out, int max)
{
	double scores[ORIGINS_ASKED];
	int found = 0;

	assert(nodes && out && max > 0 && max <= ORIGINS_ASKED);
	for (guint i = 0; i < count; i++) {
		double score = rank_score(stream, nodes[i], 1);
		int at;

		if (found < max)
			at = found++;
		else if (scores[max - 1] < score)
			at = max - 1;
		else
			continue;
		for (; at > 0 && scores[at - 1] < score; at--) {
			scores[at] = scores[at - 1];
			out[at] = out[at - 1];
		}
		scores[at] = score;
		out[at] = i;
	}
	return found;
}
