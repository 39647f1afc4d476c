#include <kcf/sharing.h>

#include <assert.h>

/*
 * Assumed number of nodes that share limits, for a recently started node that
 * has no sync response yet. With a low number, a large fleet that starts at
 * once would exceed the limits several times over.
 */
#define NODES_UNKNOWN 64

void sharing_init(sharing_t *s, mstime_t now)
{
	assert(s);
	*s = (sharing_t){ .started_at = now, .heard = 1 };
}

void sharing_finish(sharing_t *s)
{
	assert(s);
}

void sharing_see(sharing_t *s, const sharing_member_t *others, guint count,
		 mstime_t now)
{
	assert(s && (others || !count));
	(void)now;
	s->heard = 1;
	for (guint i = 0; i < count; i++)
		s->heard += !others[i].silent;
}

void sharing_tell(sharing_t *s, int nodes)
{
	assert(s);
	s->told = MAX(s->told, nodes);
}

int sharing_report(const sharing_t *s)
{
	assert(s);
	return s->heard;
}

int sharing_nodes(const sharing_t *s, mstime_t now)
{
	assert(s);
	if (now - s->started_at >= SHARING_DISCOVERY_MS)
		return s->heard;
	return MAX(s->heard, s->told ? s->told : NODES_UNKNOWN);
}

int sharing_parts(sharing_t *s, mstime_t window_ms, mstime_t now)
{
	assert(s && window_ms > 0);
	return sharing_nodes(s, now);
}
