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

void sse_reset(sse_t *s)
{
	g_string_truncate(s->buffer, 0);
	s->taken = 0;
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

bool sse_next(sse_t *s, sse_event_t *event)
{
	str_t left = { s->buffer->str + s->taken, s->buffer->len - s->taken };
	size_t at = 0;

	*event = (sse_event_t){ .id = -1, .comment = true };
	while (at < left.len) {
		const char *end = memchr(left.data + at, '\n', left.len - at);
		str_t line = { left.data + at, 0 };

		if (!end)
			return false;
		line.len = (size_t)(end - line.data);
		at += line.len + 1;
		if (line.len && line.data[line.len - 1] == '\r')
			line.len--;
		if (!line.len) {
			event->raw = (str_t){ left.data, at };
			s->taken += at;
			return true;
		}
		parse_line_(event, line);
	}
	return false;
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
