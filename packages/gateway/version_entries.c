/*
 * Entries of upstreams that were written after the mark of the record of
 * versions and before the first one that this node has seen.
 */
#include "private/gateway.h"

#include <kcf/logline.h>

#define RESPONSE_MAX_MS 900
/* Pause after a read that failed, or was answered with what is known. */
#define RETRY_MS 250
/* Keeps nodes that start together from retrying together. */
#define RETRY_JITTER_MS 250

static void on_read_(void *arg, int err, const feed_batch_t *batch);

/* Whether what was read before is of no use for entries from an offset on. */
static bool begins_anew_(const version_entries_t *e, uint64_t from,
			 uint64_t epoch)
{
	return e->epoch != epoch || from < e->from || from > e->next;
}

void version_entries_tick(gateway_t *g, mstime_t now)
{
	version_entries_t *e = &g->version_entries;
	uint64_t epoch = g->feed_states[FEED_UPSTREAMS].epoch;
	uint64_t from;

	if (e->reading || now < e->read_at ||
	    !versions_wants_entries(&g->versions, now, &from))
		return;
	if (begins_anew_(e, from, epoch))
		*e = (version_entries_t){ .epoch = epoch,
					  .from = from,
					  .next = from };
	e->reading = true;
	counter_add(COUNTER_STORE_READ_CALLS, 1);
	g->feed_client.ops->read_from(&g->feed_client, FEED_UPSTREAMS, e->next,
				      0, now + RESPONSE_MAX_MS, on_read_, g);
}

static void end_(gateway_t *g, bool expired, mstime_t now)
{
	const version_entries_t *e = &g->version_entries;

	if (expired)
		versions_lack_entries(&g->versions);
	else
		versions_see_earlier(&g->versions, e->from);
	LOG_EVENT(LOG_NOTICE, "versions.entries",
		  F_INT("from", (int64_t)e->from),
		  F_INT("next", (int64_t)e->next), F_INT("expired", expired),
		  F_STR("basis", versions_basis_text(&g->versions, now)));
	resumes_record_read(g);
}

static void on_read_(void *arg, int err, const feed_batch_t *batch)
{
	gateway_t *g = arg;
	version_entries_t *e = &g->version_entries;
	mstime_t now = clock_now();
	uint64_t from;

	e->reading = false;
	feeds_observe_epoch(g, batch->epoch, now);
	if (e->epoch != g->feed_states[FEED_UPSTREAMS].epoch)
		return;
	if (err == FEED_EEXPIRED) {
		end_(g, true, now);
		return;
	}
	if (err || (batch->epoch && batch->epoch < e->epoch) ||
	    batch->next_offset <= e->next) {
		e->read_at = now + RETRY_MS +
			     g_rand_int_range(g->rand, 0, RETRY_JITTER_MS);
		return;
	}
	/* It has been complete otherwise since. */
	if (!versions_wants_entries(&g->versions, now, &from)) {
		resumes_record_read(g);
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		feeds_observe_version(g, &batch->records[i], FEED_FROM_PLATFORM,
				      now);
	e->next = batch->next_offset;
	if (e->next >= g->versions.seen_from)
		end_(g, false, now);
	else
		version_entries_tick(g, now);
}

void version_entries_read(gateway_t *g, mstime_t now)
{
	uint64_t from;

	if (versions_wants_entries(&g->versions, now, &from))
		version_entries_tick(g, now);
	else
		resumes_record_read(g);
}
