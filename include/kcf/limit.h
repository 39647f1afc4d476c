/*
 * limit - how many requests one upstream may have outstanding.
 *
 * The limit ramps up after each start of the upstream. Refusals, failures and
 * slow first tokens lower it by a factor (multiplicative decrease), successes
 * raise it again step by step (additive increase).
 */
#ifndef KCF_LIMIT_H
#define KCF_LIMIT_H

#include <kcf/clock.h>
#include <stdbool.h>

/* A first token later than this lowers the limit. */
#define LIMIT_FIRST_TOKEN_MS 930

typedef enum limit_event {
	LIMIT_SUCCESS,
	LIMIT_SLOW,
	LIMIT_REFUSED,
	LIMIT_FAILED,
} limit_event_t;

typedef struct limit {
	int slots;     /* upper limit */
	int floor;     /* limit at the start of a ramp */
	int ramp_base; /* start of the present ramp, at least floor */
	mstime_t ramp_start;
	mstime_t ramp_end;
	double adaptive;	/* changed by limit_note */
	mstime_t next_decrease; /* earliest time of the next decrease */
} limit_t;

/*
 * limit_init - initialises a limit at the start of its ramp.
 * @floor: 1 to slots
 */
void limit_init(limit_t *l, int slots, int floor, mstime_t now,
		mstime_t ramp_ms);

/*
 * limit_restart - starts a new ramp at the floor, after a restart of the
 * upstream.
 */
void limit_restart(limit_t *l, mstime_t now, mstime_t ramp_ms);

/*
 * limit_resume - starts a new ramp above the floor, for an upstream that
 * already runs requests.
 * @outstanding: requests that it runs now
 */
void limit_resume(limit_t *l, mstime_t now, mstime_t ramp_ms, int outstanding);

/*
 * limit_resize - applies changed settings without a new ramp.
 */
void limit_resize(limit_t *l, int slots, int floor);

/*
 * limit_note - adapts the limit to the outcome of one request.
 */
void limit_note(limit_t *l, mstime_t now, limit_event_t event);

/*
 * limit_now - outstanding requests allowed now; at least 1.
 */
int limit_now(const limit_t *l, mstime_t now);

/*
 * limit_ramping - whether the ramp is not complete yet.
 */
bool limit_ramping(const limit_t *l, mstime_t now);

#endif
