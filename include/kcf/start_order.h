/*
 * start_order - the starts of an upstream under one id, by what they write.
 *
 * Starts are ordered by their own clocks, so that a write which is carried out
 * late does not bring an earlier start back. A clock may go back between two
 * starts: a start that goes on writing while the one in force does not is the
 * later one, whatever its clock says.
 */
#ifndef KCF_START_ORDER_H
#define KCF_START_ORDER_H

#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Starts before the one in force that are remembered. */
#define START_ORDER_FORMER_MAX 4

typedef struct start_order {
	uint64_t start_id;  /* in force, 0 if it is not told */
	uint64_t heartbeat; /* its last one */
	uint64_t former[START_ORDER_FORMER_MAX]; /* 0 for none */
	int former_next;			 /* place of the next one */
	/* One that counts as older and has written last, or 0. */
	uint64_t rival;
	uint64_t rival_heartbeat;
	mstime_t rival_since;
	/* Another one that may be the later one has written since start_id was
	 * last known to go on.
	 */
	bool disputed;
	mstime_t goes_on_since; /* it has written after that, 0 if not */
	/* The last start by its clock that start_id came after, though its own
	 * clock says otherwise; 0 if it does not. Between the two clocks tell
	 * nothing.
	 */
	uint64_t overruled;
	mstime_t since; /* start_id came into force then, 0 if not known */
} start_order_t;

/*
 * start_order_compare - order of a write against the last one in force.
 *
 * Return: below 0 if it counts as older, 0 if it is the same one, above 0 if it
 * is newer.
 */
int start_order_compare(const start_order_t *o, uint64_t start_id,
			uint64_t heartbeat);

/*
 * start_order_contend - notes a write of another start that counts as older.
 *
 * @left: whether the one in force has said that it leaves, or is gone; what is
 * late must not bring its upstream back.
 *
 * Return: whether that start is the later one all the same, as it has written
 * more than once while the one in force has not; one that was in force before,
 * or does not count its writes, for as long as an entry lasts.
 */
bool start_order_contend(start_order_t *o, uint64_t start_id,
			 uint64_t heartbeat, bool left, mstime_t now);

/*
 * start_order_tell - notes what another node knows: the last start by its clock
 * that the one in force has come after, 0 for none.
 */
void start_order_tell(start_order_t *o, uint64_t overruled);

/*
 * start_order_set_disputed - notes what another node knows: whether the start
 * in force is disputed.
 */
void start_order_set_disputed(start_order_t *o, bool disputed);

/*
 * start_order_put - brings a write into force.
 *
 * @read_at: 0 if it is known from elsewhere, and nothing was written
 */
void start_order_put(start_order_t *o, uint64_t start_id, uint64_t heartbeat,
		     mstime_t read_at);

#endif
