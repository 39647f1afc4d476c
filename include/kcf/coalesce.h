/*
 * coalesce - joins events of a stream into fewer packets.
 *
 * Addresses links that lose packets: a stream of many small packets is late as
 * often as one of them is lost and sent again. After its first event a stream's
 * events may be held for a short time and written together. Off by default.
 */
#ifndef KCF_COALESCE_H
#define KCF_COALESCE_H

#include <kcf/clock.h>
#include <stdbool.h>
#include <stddef.h>

/* The longest hold: half of the 200 ms within which an event has to reach its
 * caller; the rest is for the way and for one retransmission.
 */
#define COALESCE_HOLD_MAX_MS 100

/* Connections whose streams are held. */
typedef enum coalesce_on {
	COALESCE_ON_LOSS, /* those that have lost packets */
	COALESCE_ON_ALL,
	COALESCE_ON_COUNT,
} coalesce_on_t;

/* Parallel to coalesce_on_t, as written in settings; ends with NULL. */
extern const char *const coalesce_on_string[];

/*
 * coalesce_parse_on - the value of a name; COALESCE_ON_LOSS for NULL.
 *
 * Return: COALESCE_ON_COUNT when the name is unknown.
 */
coalesce_on_t coalesce_parse_on(const char *name);

typedef struct coalesce_conf {
	mstime_t hold_ms; /* of one event at most, 0 for off */
	coalesce_on_t on;
} coalesce_conf_t;

/* State of one stream; all zero at its start. */
typedef struct coalesce {
	mstime_t written_at; /* last write to the caller, 0 before the first */
	mstime_t flush_at;   /* when held bytes are to be written, 0 for none */
	size_t held;	     /* bytes */
} coalesce_t;

/* What is known of an event that is to be written. */
typedef struct coalesce_event {
	size_t bytes;
	bool urgent;	     /* a comment, or this node must not hold it */
	bool lossy;	     /* its connection has lost packets */
	mstime_t max_gap_ms; /* longest pause that its route allows, or 0 */
} coalesce_event_t;

/*
 * coalesce_add - decides on an event that follows those held.
 *
 * It is held until its hold time is over or half of the route's longest allowed
 * pause has passed since the last write, whichever comes first; routes without
 * one hold nothing. Events that fill a packet are written at once.
 *
 * Return: whether it is held until flush_at; if not, it is written now together
 * with all that was held.
 */
bool coalesce_add(coalesce_t *c, const coalesce_conf_t *conf,
		  const coalesce_event_t *event, mstime_t now);

/*
 * coalesce_flushed - notes that all that was held is written.
 */
void coalesce_flushed(coalesce_t *c, mstime_t now);

#endif
