#include "private/messages.h"

#include <string.h>

static void free_entry_(gpointer p)
{
	roster_entry_t *e = p;

	g_free(e->name);
	g_free(e->caller_address);
	g_free(e);
}

roster_t *roster_new(void)
{
	roster_t *r = g_new0(roster_t, 1);

	r->refs = 1;
	r->entries = g_ptr_array_new_with_free_func(free_entry_);
	return r;
}

void roster_add(roster_t *r, const char *name, const char *caller_address,
		bool alive)
{
	roster_entry_t *e = g_new0(roster_entry_t, 1);

	e->name = g_strdup(name);
	e->caller_address = g_strdup(caller_address);
	e->alive = alive;
	g_ptr_array_add(r->entries, e);
}

static const roster_entry_t *find_entry_(const roster_t *r, const char *name)
{
	for (guint i = 0; r && i < r->entries->len; i++) {
		const roster_entry_t *e = r->entries->pdata[i];

		if (!strcmp(e->name, name))
			return e;
	}
	return NULL;
}

const char *roster_caller_address(const roster_t *r, const char *name)
{
	const roster_entry_t *e = find_entry_(r, name);

	return e ? e->caller_address : NULL;
}

bool roster_is_alive(const roster_t *r, const char *name)
{
	const roster_entry_t *e = find_entry_(r, name);

	return e && e->alive;
}

roster_t *roster_ref(roster_t *r)
{
	g_atomic_int_inc(&r->refs);
	return r;
}

void roster_unref(roster_t *r)
{
	if (!r || !g_atomic_int_dec_and_test(&r->refs))
		return;
	g_ptr_array_unref(r->entries);
	g_free(r);
}

message_t *message_new(message_type_t type)
{
	message_t *m = g_new0(message_t, 1);

	m->type = type;
	return m;
}

void message_free(message_t *m)
{
	switch (m->type) {
	case MSG_VIEW:
		view_unref(m->view);
		break;
	case MSG_ROSTER:
		roster_unref(m->roster);
		break;
	case MSG_TRACE:
		if (m->trace.steps)
			g_string_free(m->trace.steps, TRUE);
		break;
	case MSG_ONCE_BEGIN:
	case MSG_ONCE_END:
		if (m->once.body)
			g_bytes_unref(m->once.body);
		break;
	case MSG_ONCE_REPLY:
		if (m->once_reply.body)
			g_bytes_unref(m->once_reply.body);
		break;
	case MSG_JOB_SUBMIT:
		g_free(m->job_submit.method);
		g_free(m->job_submit.path);
		g_free(m->job_submit.body);
		g_free(m->job_submit.chat);
		g_free(m->job_submit.once_key);
		break;
	case MSG_JOB_REPLY:
		if (m->job_reply.body)
			g_bytes_unref(m->job_reply.body);
		break;
	default:
		break;
	}
	g_free(m);
}
