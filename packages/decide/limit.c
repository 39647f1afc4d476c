#include <kcf/limit.h>

#include <assert.h>
#include <glib.h>

#define CUT_INTERVAL_MS 1000
#define CUT_SLOW 0.9
#define CUT_REFUSED 0.7
#define CUT_FAILED 0.5

void limit_init(limit_t *l, int slots, int floor, mstime_t now,
		mstime_t ramp_ms)
{
	assert(l && slots > 0 && floor > 0 && floor <= slots);
	*l = (limit_t){ .slots = slots, .floor = floor };
	limit_restart(l, now, ramp_ms);
}

void limit_restart(limit_t *l, mstime_t now, mstime_t ramp_ms)
{
	l->base = l->floor;
	l->ramp_start = now;
	l->ramp_end = now + ramp_ms;
	l->adaptive = l->slots;
	l->next_cut = now;
}

void limit_resume(limit_t *l, mstime_t now, mstime_t ramp_ms, int borne)
{
	assert(borne >= 0);
	limit_restart(l, now, ramp_ms);
	l->base = MIN(l->slots, l->floor + borne);
}

void limit_resize(limit_t *l, int slots, int floor)
{
	/* A limit that was never cut follows the new size at once. */
	if (l->adaptive >= l->slots || l->adaptive > slots)
		l->adaptive = slots;
	l->slots = slots;
	l->floor = MIN(floor, slots);
	l->base = CLAMP(l->base, l->floor, slots);
}

static void cut_(limit_t *l, mstime_t now, double factor)
{
	if (now < l->next_cut)
		return;
	l->adaptive = MAX(1.0, l->adaptive * factor);
	l->next_cut = now + CUT_INTERVAL_MS;
}

void limit_note(limit_t *l, mstime_t now, limit_event_t event)
{
	switch (event) {
	case LIMIT_SUCCESS:
		/* About one more for each full round of requests. */
		l->adaptive = MIN((double)l->slots,
				  l->adaptive + 1.0 / MAX(1.0, l->adaptive));
		break;
	case LIMIT_SLOW:
		cut_(l, now, CUT_SLOW);
		break;
	case LIMIT_REFUSED:
		cut_(l, now, CUT_REFUSED);
		break;
	case LIMIT_FAILED:
		cut_(l, now, CUT_FAILED);
		break;
	}
}

int limit_now(const limit_t *l, mstime_t now)
{
	int ramp = l->slots;

	if (limit_ramping(l, now))
		ramp = l->base +
		       (int)((l->slots - l->base) * (now - l->ramp_start) /
			     (l->ramp_end - l->ramp_start));
	return MAX(1, MIN(ramp, (int)l->adaptive));
}

bool limit_ramping(const limit_t *l, mstime_t now)
{
	return now < l->ramp_end;
}
