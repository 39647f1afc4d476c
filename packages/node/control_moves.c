/*
 * Moves the cached prefixes of chats off an upstream that is being drained: an
 * export from the old engine, then an import into the next by rank, at a
 * limited rate.
 */
#include "private/control.h"

#include <kcf/logline.h>
#include <stdio.h>

/* Limits of one node. */
#define MOVES_PER_S 50
#define MOVES_IN_FLIGHT_MAX 8
#define MOVES_QUEUED_MAX 20000
#define MOVE_TIMEOUT_MS 5000

typedef struct move_call {
	control_t *control;
	sched_move_t move;
} move_call_t;

static void post_import_(move_call_t *m, int64_t tokens);

void moves_add(control_t *c, const sched_move_t *m)
{
	if (g_queue_get_length(c->pending_moves) < MOVES_QUEUED_MAX)
		g_queue_push_tail(c->pending_moves, g_memdup2(m, sizeof(*m)));
}

static void finish_move_(move_call_t *m)
{
	m->control->moves_in_flight--;
	g_free(m);
}

static void on_exported_(void *ctx, http_call_t *call, int err, int status)
{
	move_call_t *m = ctx;
	str_t body = http_call_body(call);
	json_t *root = NULL;
	json_int_t tokens = 0;

	if (!err && status == 200)
		root = json_loadb(body.data, body.len, 0, NULL);
	if (json_unpack(root, "{s:I}", "tokens", &tokens) == 0 && tokens > 0)
		post_import_(m, tokens);
	else
		finish_move_(m);
	json_decref(root);
}

static void on_imported_(void *ctx, http_call_t *call, int err, int status)
{
	(void)call;
	if (err || status != 200)
		LOG_EVENT(LOG_INFO, "move.failed", F_INT("status", status));
	finish_move_(ctx);
}

static const http_call_ops_t export_ops = { .done = on_exported_ };
static const http_call_ops_t import_ops = { .done = on_imported_ };

static void post_(move_call_t *m, const char *address, const char *path,
		  json_t *body, const http_call_ops_t *ops)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	char *text = json_dumps(body, JSON_COMPACT);
	http_call_spec_t spec = { .method = "POST",
				  .url = url,
				  .body = str_of(text),
				  .deadline = clock_now() + MOVE_TIMEOUT_MS };

	http_call_start(&m->control->http, &spec, ops, m);
	free(text);
	json_decref(body);
	g_free(url);
}

static void post_import_(move_call_t *m, int64_t tokens)
{
	char chat[24];

	snprintf(chat, sizeof(chat), "%016lx", (unsigned long)m->move.chat);
	post_(m, m->move.to, "/kv/import",
	      json_pack("{s:s,s:s,s:I}", "chat", chat, "from", m->move.from,
			"tokens", (json_int_t)tokens),
	      &import_ops);
}

static void start_move_(control_t *c, const sched_move_t *move)
{
	move_call_t *m = g_new0(move_call_t, 1);
	char chat[24];

	m->control = c;
	m->move = *move;
	c->moves_in_flight++;
	snprintf(chat, sizeof(chat), "%016lx", (unsigned long)move->chat);
	post_(m, move->from, "/kv/export",
	      json_pack("{s:s,s:s}", "chat", chat, "to", move->to),
	      &export_ops);
}

void moves_tick(control_t *c, mstime_t now)
{
	c->move_allowance +=
		(double)(MOVES_PER_S * (now - c->move_allowance_at)) /
		MSEC_PER_SEC;
	c->move_allowance = MIN(c->move_allowance, MOVES_IN_FLIGHT_MAX);
	c->move_allowance_at = now;
	while (c->move_allowance >= 1 &&
	       c->moves_in_flight < MOVES_IN_FLIGHT_MAX &&
	       !g_queue_is_empty(c->pending_moves)) {
		sched_move_t *move = g_queue_pop_head(c->pending_moves);

		c->move_allowance -= 1;
		start_move_(c, move);
		g_free(move);
	}
}
