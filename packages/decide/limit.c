#include <kcf/limit.h>

#include <assert.h>
#include <glib.h>

/* A burst of failures decreases the limit only once per interval. */
#define DECREASE_INTERVAL_MS 1000
#define DECREASE_SLOW 0.9
#define DECREASE_REFUSED 0.7
#define DECREASE_FAILED 0.5

void limit_init(limit_t *l, int slots, int floor, mstime_t now,
		mstime_t ramp_ms)
{
	assert(l && slots > 0 && floor > 0 && floor <= slots);
	*l = (limit_t){ .slots = slots, .floor = floor };
	limit_restart(l, now, ramp_ms);
}

void limit_restart(limit_t *l, mstime_t now, mstime_t ramp_ms)
{
	l->ramp_base = l->floor;
	l->ramp_start = now;
	l->ramp_end = now + ramp_ms;
	l->adaptive = l->slots;
	l->next_decrease = now;
}

void limit_resume(limit_t *l, mstime_t now, mstime_t ramp_ms, int outstanding)
{
	assert(outstanding >= 0);
	limit_restart(l, now, ramp_ms);
	l->ramp_base = MIN(l->slots, l->floor + outstanding);
}

void limit_resize(limit_t *l, int slots, int floor)
{
	/* A limit that is not lowered follows the new size at once. */
	if (l->adaptive >= l->slots || l->adaptive > slots)
		l->adaptive = slots;
	l->slots = slots;
	l->floor = MIN(floor, slots);
	l->ramp_base = CLAMP(l->ramp_base, l->floor, slots);
}

static void decrease_(limit_t *l, mstime_t now, double factor)
{
	if (now < l->next_decrease)
		return;
	l->adaptive = MAX(1.0, l->adaptive * factor);
	l->next_decrease = now + DECREASE_INTERVAL_MS;
}

void limit_note(limit_t *l, mstime_t now, limit_event_t event)
{
	switch (event) {
	case LIMIT_SUCCESS:
		/* Grows by about one while @adaptive requests succeed. */
		l->adaptive = MIN((double)l->slots,
				  l->adaptive + 1.0 / MAX(1.0, l->adaptive));
		break;
	case LIMIT_SLOW:
		decrease_(l, now, DECREASE_SLOW);
		break;
	case LIMIT_REFUSED:
		decrease_(l, now, DECREASE_REFUSED);
		break;
	case LIMIT_FAILED:
		decrease_(l, now, DECREASE_FAILED);
		break;
	}
}

int limit_now(const limit_t *l, mstime_t now)
{
	int ramp_limit = l->slots;

	if (limit_ramping(l, now))
		ramp_limit =
			l->ramp_base + (int)((l->slots - l->ramp_base) *
					     (now - l->ramp_start) /
					     (l->ramp_end - l->ramp_start));
	return MAX(1, MIN(ramp_limit, (int)l->adaptive));
}

bool limit_ramping(const limit_t *l, mstime_t now)
{
	return now < l->ramp_end;
}
