#include <kcf/sharing.h>

#include <assert.h>
#include <math.h>

/*
 * Assumed number of nodes that share limits, for a recently started node that
 * has no sync response yet. With a low number, a large fleet that starts at
 * once would exceed the limits several times over.
 */
#define NODES_UNKNOWN 64
/* Parts when no node may use any of the burst. */
#define PARTS_NONE (1 << 20)
/*
 * A node that starts gets one in this many of its share: its predecessor may
 * have spent a whole one.
 */
#define START_ONE_IN 4
/* What is left to the nodes that are heard, when all others are lost. */
#define REST_MIN (1.0 / 4096)
/* Tolerance for sums of fractions. */
#define ROUNDING 1e-6

/* Another node that was heard. */
typedef struct other {
	bool silent;
	bool leaving;
	bool seen;
	double share;	  /* of the burst, that it had when it fell silent */
	mstime_t ends_at; /* it spends until then, once it is silent */
	mstime_t sends_until; /* it may send until then, once it is silent */
} other_t;

void sharing_init(sharing_t *s, mstime_t stop_limit_ms, mstime_t now)
{
	assert(s);
	*s = (sharing_t){
		.started_at = now,
		.stop_limit_ms = stop_limit_ms,
		.updated_at = now,
		.heard = 1,
		.staying = 1,
		.expires_at = MSTIME_NEVER,
		.parts = 1,
	};
	s->others = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void sharing_finish(sharing_t *s)
{
	assert(s);
	g_hash_table_destroy(s->others);
}

/* Counts the nodes that are heard, and sums up what silent ones may spend. */
static void sum_up_(sharing_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	s->heard = 1;
	s->staying = 1;
	s->silent = 0;
	s->reserved = 0;
	s->reserved_staying = 0;
	s->expires_at = MSTIME_NEVER;
	g_hash_table_iter_init(&iter, s->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const other_t *o = value;

		if (!o->silent) {
			s->heard++;
			s->staying += !o->leaving;
			continue;
		}
		if (now < o->sends_until) {
			s->silent++;
			s->expires_at = MIN(s->expires_at, o->sends_until);
		}
		if (now >= o->ends_at)
			continue;
		s->reserved += o->share;
		if (!o->leaving)
			s->reserved_staying += o->share;
		s->expires_at = MIN(s->expires_at, o->ends_at);
	}
}

/* Parts that leave those that are silent what they have. */
static int divide_(int heard, double reserved)
{
	return (int)ceil(heard / MAX(REST_MIN, 1 - reserved) - ROUNDING);
}

static bool told_counts_(const sharing_t *s, mstime_t now)
{
	return now - s->started_at < SHARING_MEMORY_MS;
}

/* Whether the nodes that there are have not been heard yet. */
static bool is_unknown_(const sharing_t *s, mstime_t now)
{
	if (s->told || g_hash_table_size(s->others))
		return false;
	return now - s->started_at <
	       (s->expects_others ? SHARING_MEMORY_MS : SHARING_DISCOVERY_MS);
}

static int target_(const sharing_t *s, mstime_t now)
{
	int parts = divide_(s->heard, s->reserved);

	if (is_unknown_(s, now) ||
	    (!s->told && now - s->started_at < SHARING_DISCOVERY_MS))
		return PARTS_NONE;
	return told_counts_(s, now) ? MAX(parts, s->told) : parts;
}

static void fall_silent_(const sharing_t *s, other_t *o, double share,
			 mstime_t now)
{
	if (o->silent)
		return;
	o->silent = true;
	o->share = share;
	o->ends_at = now + (o->leaving ? s->stop_limit_ms : SHARING_MEMORY_MS);
	o->sends_until = MIN(o->ends_at, now + SHARING_SILENT_MS);
}

void sharing_see(sharing_t *s, const sharing_member_t *others, guint count,
		 mstime_t now)
{
	double share = 1.0 / target_(s, now);
	GHashTableIter iter;
	gpointer value;

	assert(s && (others || !count));
	for (guint i = 0; i < count; i++) {
		const sharing_member_t *m = &others[i];
		other_t *o = g_hash_table_lookup(s->others,
						 GUINT_TO_POINTER(m->key));

		if (!o) {
			/* The node that told of it reserves its share. */
			o = g_new0(other_t, 1);
			o->silent = m->silent;
			g_hash_table_insert(s->others, GUINT_TO_POINTER(m->key),
					    o);
			s->joined_at = now;
		}
		o->seen = true;
		if (m->silent) {
			fall_silent_(s, o, share, now);
			continue;
		}
		o->silent = false;
		o->leaving = m->leaving;
	}
	g_hash_table_iter_init(&iter, s->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		other_t *o = value;

		if (!o->seen) {
			fall_silent_(s, o, share, now);
			if (now >= o->ends_at) {
				g_hash_table_iter_remove(&iter);
				continue;
			}
		}
		o->seen = false;
	}
	sum_up_(s, now);
}

void sharing_expect(sharing_t *s, bool others)
{
	assert(s);
	s->expects_others = others;
}

void sharing_tell(sharing_t *s, int nodes)
{
	assert(s);
	if (!s->settled)
		s->told = MAX(s->told, nodes);
}

int sharing_report(const sharing_t *s, mstime_t now)
{
	int parts;

	assert(s);
	parts = divide_(s->staying, s->reserved_staying);
	return told_counts_(s, now) ? MAX(parts, s->told) : parts;
}

int sharing_nodes(const sharing_t *s, mstime_t now)
{
	assert(s);
	if (now - s->started_at >= SHARING_DISCOVERY_MS)
		return s->heard;
	return MAX(s->heard, s->told ? s->told : NODES_UNKNOWN);
}

int sharing_senders(const sharing_t *s, mstime_t now)
{
	return MAX(s->heard + s->silent, sharing_nodes(s, now));
}

/*
 * More of the burst only after the target has allowed it for long enough:
 * nodes that have to take less have heard of it by then, and what they spent
 * before has left the window.
 */
static void follow_(sharing_t *s, int target, mstime_t wait, mstime_t now)
{
	if (target >= s->parts) {
		s->parts = target;
		s->fewer_since = 0;
		return;
	}
	if (!s->fewer_since) {
		s->fewer_since = now;
		s->fewer = 0;
	}
	s->fewer = MAX(s->fewer, target);
	if (now - s->fewer_since < wait)
		return;
	s->parts = s->fewer;
	s->fewer_since = 0;
}

/* Whether a predecessor of this node may have spent in the window. */
static bool is_new_(sharing_t *s, mstime_t wait, mstime_t now)
{
	if (s->settled)
		return false;
	s->settled = now - s->started_at >= wait &&
		     now - s->joined_at >= SHARING_DISCOVERY_MS;
	return !s->settled;
}

static void update_(sharing_t *s, mstime_t wait, mstime_t now)
{
	int target;

	/* The others have given this node up during such a pause. */
	if (now - s->updated_at >= SHARING_MEMORY_MS) {
		s->started_at = now;
		s->settled = false;
	}
	s->updated_at = now;
	if (now >= s->expires_at)
		sum_up_(s, now);
	target = target_(s, now);
	if (is_new_(s, wait, now))
		s->parts = target;
	else
		follow_(s, target, wait, now);
}

int sharing_parts(sharing_t *s, mstime_t window_ms, mstime_t now)
{
	assert(s && window_ms > 0);
	update_(s, window_ms + SHARING_DISCOVERY_MS, now);
	return s->settled ? s->parts : START_ONE_IN * s->parts;
}

retry_budget_conf_t sharing_budget(sharing_t *s, const retry_budget_conf_t *all,
				   mstime_t now)
{
	retry_budget_conf_t own = *all;

	own.burst /= sharing_parts(s, all->window_ms, now);
	if (!s->settled)
		own.ratio /= START_ONE_IN;
	return own;
}
