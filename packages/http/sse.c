#include <kcf/sse.h>

#include <assert.h>
#include <string.h>

static void parse_line_(sse_event_t *e, str_t line);

void sse_init(sse_t *s)
{
	assert(s);
	*s = (sse_t){ .buffer = g_string_new(NULL) };
}

void sse_finish(sse_t *s)
{
	g_string_free(s->buffer, TRUE);
	s->buffer = NULL;
}

/* What was passed on last is not followed by the LF of its attempt. */
static void leave_line_end_(sse_t *s)
{
	s->lf_due = s->lf_due || (s->passed_on && s->half_ended);
	s->passed_on = false;
}

void sse_reset(sse_t *s)
{
	assert(s && s->buffer);
	leave_line_end_(s);
	g_string_truncate(s->buffer, 0);
	s->taken = 0;
	s->after_cr = false;
	s->half_ended = false;
	s->advanced = false;
}

bool sse_feed(sse_t *s, str_t data)
{
	if (s->taken) {
		g_string_erase(s->buffer, 0, (gssize)s->taken);
		s->taken = 0;
	}
	g_string_append_len(s->buffer, data.data, (gssize)data.len);
	return s->buffer->len <= SSE_EVENT_MAX;
}

/* Takes a line that ends in CR, LF or both; false if the text has no end of
 * one.
 */
static bool take_line_(str_t *text, str_t *line)
{
	size_t len = 0;
	size_t end;

	while (len < text->len && text->data[len] != '\n' &&
	       text->data[len] != '\r')
		len++;
	if (len == text->len)
		return false;
	*line = (str_t){ text->data, len };
	end = len + 1;
	if (text->data[len] == '\r' && end < text->len &&
	    text->data[end] == '\n')
		end++;
	*text = str_skip(*text, end);
	return true;
}

bool sse_next(sse_t *s, sse_event_t *event)
{
	str_t raw = sse_rest(s);
	str_t left = raw;
	str_t line;

	*event = (sse_event_t){ .id = -1, .comment = true };
	if (s->after_cr && left.len && left.data[0] == '\n')
		left = str_skip(left, 1);
	while (take_line_(&left, &line)) {
		if (line.len) {
			parse_line_(event, line);
			continue;
		}
		raw.len -= left.len;
		event->raw = raw;
		s->taken += raw.len;
		s->after_cr = !left.len && raw.data[raw.len - 1] == '\r';
		s->half_ended = s->after_cr && memchr(raw.data, '\n', raw.len);
		s->passed_on = false;
		return true;
	}
	return false;
}

bool sse_take_lf(sse_t *s)
{
	str_t rest;

	assert(s && s->buffer);
	rest = sse_rest(s);
	if (!s->after_cr || !rest.len || rest.data[0] != '\n')
		return false;
	s->taken++;
	s->after_cr = false;
	s->half_ended = false;
	return s->passed_on;
}

bool sse_pass_on(sse_t *s)
{
	bool due;

	assert(s);
	due = s->lf_due;
	s->lf_due = false;
	s->passed_on = true;
	return due;
}

bool sse_interrupt(sse_t *s)
{
	bool due;

	assert(s);
	leave_line_end_(s);
	due = s->lf_due;
	s->lf_due = false;
	return due;
}

/* The line end that closes an event may come in parts. */
static uint64_t hash_(const sse_event_t *e)
{
	str_t text = e->raw;

	while (text.len && (text.data[text.len - 1] == '\n' ||
			    text.data[text.len - 1] == '\r'))
		text.len--;
	return str_hash64(text, 0);
}

sse_order_t sse_check_order(sse_t *s, const sse_event_t *event, int64_t last_id)
{
	uint64_t hash;

	assert(s && event->id >= 0);
	if (event->id <= last_id && !s->advanced)
		return SSE_REPEATED;
	hash = hash_(event);
	if (event->id <= last_id)
		return event->id == last_id && hash == s->last ? SSE_REPEATED
							       : SSE_DISORDERED;
	s->advanced = true;
	s->last = hash;
	return SSE_NEW;
}

str_t sse_rest(const sse_t *s)
{
	return (str_t){ s->buffer->str + s->taken, s->buffer->len - s->taken };
}

bool sse_ends_inside_event(str_t text)
{
	bool inside = false;
	str_t line;

	while (take_line_(&text, &line)) {
		if (!line.len)
			inside = false;
		else if (line.data[0] != ':')
			inside = true;
	}
	return inside || text.len;
}

static str_t value_of_(str_t line, size_t name_len)
{
	str_t v = str_skip(line, name_len);

	return v.len && v.data[0] == ' ' ? str_skip(v, 1) : v;
}

static void parse_line_(sse_event_t *e, str_t line)
{
	if (line.data[0] == ':')
		return;
	e->comment = false;
	if (str_starts_with(line, str_of("data:")))
		e->data = value_of_(line, strlen("data:"));
	else if (str_starts_with(line, str_of("id:")) &&
		 !str_to_int(value_of_(line, strlen("id:")), &e->id))
		e->id = -1;
}
