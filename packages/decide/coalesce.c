#include <kcf/coalesce.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Payload of a packet on usual links (1500 bytes with headers and options).
 * Holding more than that saves no packet.
 */
#define PACKET_BYTES 1400
/* Part of the longest allowed pause that may pass without a write while events
 * are held; the rest is for the way to the caller.
 */
#define GAP_DIVISOR 2

const char *const coalesce_on_string[] = { "loss", "all", NULL };

coalesce_on_t coalesce_parse_on(const char *name)
{
	int on = COALESCE_ON_LOSS;

	while (name && on < COALESCE_ON_COUNT &&
	       strcmp(coalesce_on_string[on], name) != 0)
		on++;
	return (coalesce_on_t)on;
}

static bool applies_(const coalesce_t *c, const coalesce_conf_t *conf,
		     const coalesce_event_t *event)
{
	return conf->hold_ms && c->written_at && !event->urgent &&
	       event->max_gap_ms &&
	       (event->lossy || conf->on == COALESCE_ON_ALL);
}

bool coalesce_add(coalesce_t *c, const coalesce_conf_t *conf,
		  const coalesce_event_t *event, mstime_t now)
{
	mstime_t hold_ms;
	mstime_t due;

	assert(c && conf && event);
	c->held += event->bytes;
	hold_ms = MIN(conf->hold_ms, COALESCE_HOLD_MAX_MS);
	/* The first of those held decides. */
	due = c->flush_at
		      ? c->flush_at
		      : MIN(now + hold_ms,
			    c->written_at + event->max_gap_ms / GAP_DIVISOR);
	if (!applies_(c, conf, event) || c->held >= PACKET_BYTES ||
	    due <= now) {
		coalesce_flushed(c, now);
		return false;
	}
	c->flush_at = due;
	return true;
}

void coalesce_flushed(coalesce_t *c, mstime_t now)
{
	assert(c);
	c->written_at = now;
	c->flush_at = 0;
	c->held = 0;
}
