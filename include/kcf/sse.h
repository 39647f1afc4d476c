/*
 * sse - splits a server-sent event stream into whole events.
 */
#ifndef KCF_SSE_H
#define KCF_SSE_H

#include <kcf/str.h>

/* Longest event that is accepted. */
#define SSE_EVENT_MAX (1024 * 1024)

/* One event, as views into the splitter's buffer. */
typedef struct sse_event {
	str_t raw;    /* with its closing blank line */
	str_t data;   /* last data line */
	int64_t id;   /* -1 when the event has none */
	bool comment; /* holds nothing but comments */
} sse_event_t;

typedef struct sse {
	GString *buffer;
	size_t taken;
	bool after_cr;	 /* a LF that comes next belongs to the event before */
	bool half_ended; /* and that event has LFs in it */
	bool passed_on;	 /* the event taken last was passed on */
	bool lf_due;	 /* before anything else is passed on */
	bool advanced;	 /* the attempt has had an event with a new id */
	uint64_t last;	 /* hash of the event that had it last */
} sse_t;

/* What the id of an event says of it. */
typedef enum sse_order {
	SSE_NEW,
	SSE_REPEATED,
	SSE_DISORDERED, /* another event, though ids are to increase */
} sse_order_t;

void sse_init(sse_t *s);
void sse_finish(sse_t *s);

/*
 * sse_reset - begins anew with the stream of another attempt and forgets an
 * event that was cut.
 */
void sse_reset(sse_t *s);

/*
 * sse_feed - appends bytes of the stream.
 *
 * Return: false when an event is longer than SSE_EVENT_MAX.
 */
bool sse_feed(sse_t *s, str_t data);

/*
 * sse_next - takes the next whole event; its views last until the next call.
 * An event that ends in CR is whole. A LF that comes later belongs to it, but
 * is part of the next one unless sse_take_lf takes it.
 *
 * Return: false when no whole event is there.
 */
bool sse_next(sse_t *s, sse_event_t *event);

/*
 * sse_take_lf - takes a LF that comes after an event which ended in CR. To be
 * called after sse_feed.
 *
 * Return: whether to pass on the LF, as the event was.
 */
bool sse_take_lf(sse_t *s);

/*
 * sse_pass_on - notes that the event taken last, or the end of the stream, is
 * passed on.
 *
 * Return: whether a LF goes first. The last event passed on came from an
 * attempt that broke within the CRLF at its end; readers that know only LF as
 * an end of line would take it and the next event for one.
 */
bool sse_pass_on(sse_t *s);

/*
 * sse_interrupt - notes that other text follows what was passed on.
 *
 * Return: as sse_pass_on, also while the attempt goes on.
 */
bool sse_interrupt(sse_t *s);

/*
 * sse_check_order - judges the id of the event taken last, which has one. An
 * attempt may begin with events that an earlier one had. Later, only the same
 * event once more is a repeat.
 * @last_id: of the events before, in all attempts
 */
sse_order_t sse_check_order(sse_t *s, const sse_event_t *event,
			    int64_t last_id);

/*
 * sse_rest - the bytes after the last whole event.
 */
str_t sse_rest(const sse_t *s);

/*
 * sse_ends_inside_event - whether a stream that ends with this text is cut:
 * inside a line, or before the blank line that closes an event. Readers drop
 * such an event. Comment lines need no blank line.
 * @text: the rest of a stream after whole events, or a stream from its start
 */
bool sse_ends_inside_event(str_t text);

#endif
