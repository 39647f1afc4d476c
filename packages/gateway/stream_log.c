/*
 * The versions that began streams, in the platform's log for some seconds, for
 * streams whose homes have all restarted. One reader writes what the others
 * tell it; they do so only while a route reaches several versions.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/* A batch is written this often at most; a younger stream may be lost. */
#define FLUSH_MS 100
/* Keys that are written in turn: batches of 16 s. */
#define SLOTS 160
/*
 * A stream's key and its version, big-endian. Entries without a version are
 * ignored by older builds: DOUBT_ENTRIES of them make a doubt, whose numbers
 * are in the places of keys.
 */
#define ENTRY_BYTES 12
#define DOUBT_ENTRIES 5
/* Below the greatest record of the log. */
#define BATCH_MAX_BYTES (128 * 1024)
#define RESPONSE_MAX_MS 900
#define KEY_TEXT_MAX 32

void stream_log_init(gateway_t *g)
{
	g->stream_batch = g_byte_array_new();
}

void stream_log_finish(gateway_t *g)
{
	g_byte_array_unref(g->stream_batch);
}

const member_t *stream_log_writer(const gateway_t *g)
{
	return gateway_peers_at_rank(g, 0);
}

/* Whether this node writes the log and its batch has room. */
static bool has_room_(const gateway_t *g, guint entries)
{
	return stream_log_writer(g) == g->members.self &&
	       g->stream_batch->len + entries * ENTRY_BYTES <= BATCH_MAX_BYTES;
}

static void append_entry_(gateway_t *g, uint64_t key, uint32_t version)
{
	guint64 k = GUINT64_TO_BE(key);
	guint32 software = GUINT32_TO_BE(version);

	g_byte_array_append(g->stream_batch, (const guint8 *)&k, sizeof(k));
	g_byte_array_append(g->stream_batch, (const guint8 *)&software,
			    sizeof(software));
}

void stream_log_note(gateway_t *g, uint64_t stream, uint32_t version)
{
	if (has_room_(g, 1))
		append_entry_(g, stream, version);
}

void stream_log_note_doubt(gateway_t *g, const origin_doubt_t *doubt)
{
	if (!has_room_(g, DOUBT_ENTRIES))
		return;
	append_entry_(g, doubt->stream, 0);
	append_entry_(g, doubt->begin.id, 0);
	append_entry_(g, doubt->begin.address, 0);
	append_entry_(g, doubt->begin.start_id, 0);
	append_entry_(g, doubt->begin.version, 0);
}

static void on_written_(void *arg, int err, const feed_batch_t *batch)
{
	gateway_t *g = arg;

	g->stream_log_writing = false;
	feeds_observe_epoch(g, batch->epoch, clock_now());
	if (err)
		LOG_EVENT(LOG_WARNING, "streams.unwritten",
			  F_STR("error", feed_err_string[-err]));
}

void stream_log_tick(gateway_t *g, mstime_t now)
{
	GByteArray *batch = g->stream_batch;
	str_t data = { (const char *)batch->data, batch->len };
	char key[KEY_TEXT_MAX];

	if (!batch->len || g->stream_log_writing ||
	    now - g->stream_log_written_at < FLUSH_MS)
		return;
	g_snprintf(key, sizeof(key), "%08x/%02u", g->members.self->key,
		   g->stream_log_slot++ % SLOTS);
	g->stream_log_writing = true;
	g->stream_log_written_at = now;
	counter_add(COUNTER_STORE_APPEND_CALLS, 1);
	g->feed_client.ops->put(&g->feed_client, FEED_STREAMS, str_of(key),
				data, now + RESPONSE_MAX_MS, on_written_, g);
	g_byte_array_set_size(batch, 0);
}

/* Takes an entry off the data. */
static uint64_t take_entry_(str_t *data, uint32_t *version)
{
	guint64 key;

	memcpy(&key, data->data, sizeof(key));
	memcpy(version, data->data + sizeof(key), sizeof(*version));
	*version = GUINT32_FROM_BE(*version);
	*data = str_skip(*data, ENTRY_BYTES);
	return GUINT64_FROM_BE(key);
}

/*
 * When a stream was begun is not told: before now. The entries that this node
 * knows may be older.
 */
static void apply_doubt_(gateway_t *g, uint64_t stream, str_t *data,
			 mstime_t now)
{
	origin_doubt_t doubt = { .stream = stream,
				 .until = now + ORIGIN_DOUBT_MAX_MS };
	uint32_t none;

	if (data->len < (DOUBT_ENTRIES - 1) * ENTRY_BYTES) {
		*data = STR_NONE;
		return;
	}
	doubt.begin.since = now;
	doubt.begin.id = take_entry_(data, &none);
	doubt.begin.address = take_entry_(data, &none);
	doubt.begin.start_id = take_entry_(data, &none);
	doubt.begin.version = (uint32_t)take_entry_(data, &none);
	if (doubt.stream)
		origins_doubt(&g->origins, &doubt);
}

void stream_log_apply(gateway_t *g, str_t data, mstime_t now)
{
	while (data.len >= ENTRY_BYTES) {
		uint32_t version;
		uint64_t stream = take_entry_(&data, &version);

		if (!version)
			apply_doubt_(g, stream, &data, now);
		else if (stream)
			resumes_learn(g, stream, version, now);
	}
}
