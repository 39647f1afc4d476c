/*
 * limit - how many requests one upstream may have outstanding.
 *
 * Slow start after each start of the upstream, and a multiplicative decrease
 * on refusals, failures and latency, with an additive way back.
 */
#ifndef KCF_LIMIT_H
#define KCF_LIMIT_H

#include <kcf/clock.h>
#include <stdbool.h>

/* First token later than this lowers the limit. */
#define LIMIT_FIRST_TOKEN_MS 930

typedef enum limit_event {
	LIMIT_SUCCESS,
	LIMIT_SLOW,
	LIMIT_REFUSED,
	LIMIT_FAILED,
} limit_event_t;

typedef struct limit {
	int slots;     /* hard limit */
	int floor;     /* at the start of the ramp */
	int ramp_base; /* where the ramp starts, if above the floor */
	mstime_t ramp_start;
	mstime_t ramp_end;
	double adaptive;	/* lowered by events, raised by successes */
	mstime_t next_decrease; /* earliest time of the next decrease */
} limit_t;

/*
 * limit_init - a limit at the floor of its ramp.
 * @floor: 1 to slots
 */
void limit_init(limit_t *l, int slots, int floor, mstime_t now,
		mstime_t ramp_ms);

/*
 * limit_restart - back to the floor: the upstream has started anew.
 */
void limit_restart(limit_t *l, mstime_t now, mstime_t ramp_ms);

/*
 * limit_resume - the upstream is known to bear some work: a ramp that starts
 * above the floor.
 * @borne: requests that it has now
 */
void limit_resume(limit_t *l, mstime_t now, mstime_t ramp_ms, int outstanding);

/*
 * limit_resize - takes changed settings without a new ramp.
 */
void limit_resize(limit_t *l, int slots, int floor);

/*
 * limit_note - tells the outcome of one request.
 */
void limit_note(limit_t *l, mstime_t now, limit_event_t event);

/*
 * limit_now - outstanding requests allowed at a time; at least 1.
 */
int limit_now(const limit_t *l, mstime_t now);

/*
 * limit_ramping - whether the slow start still lasts.
 */
bool limit_ramping(const limit_t *l, mstime_t now);

#endif
