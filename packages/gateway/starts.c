/*
 * Which start of an upstream a connection reaches. A stream that goes on is
 * sent only where that is known; a new one begins in doubt where it is not.
 *
 * A start names itself when it is asked on the connection. One that does not is
 * known by a heartbeat that is younger than the connection; the connection
 * counts from when others to the address were opened that are open still. An
 * entry alone proves nothing: an upstream may start again at its address under
 * its id, and checks in later.
 */
#include "private/forward.h"

#include <assert.h>
#include <kcf/counter.h>
#include <kcf/logline.h>
#include <stdio.h>

/* Longer than a round trip in a region, also to a loaded upstream. */
#define QUESTION_MAX_MS 300
/* An upstream that did not answer in time is not asked for this long. */
#define ASK_AGAIN_MS 5000
/* After as many in a row it counts as one that does not name its start. */
#define SILENT_MAX 3
/*
 * Entries that are older do not tell of another version in time. While the
 * platform is away for all, streams of the only one go on all the same.
 */
#define ENTRIES_FRESH_MS 3000
/* Answers whose connection did not take the request after them. */
#define ANSWERS_LOST_MAX 2
/* Tries for one request to find a start, at all of its upstreams together. */
#define QUESTIONS_MAX 8
/* Connections are opened so that the next heartbeats prove them. */
#define OPENED_MAX 2
#define OPEN_AGAIN_MS 2000
#define CONNECT_MAX_MS 300
#define URL_MAX 64

bool starts_is_proven(const gateway_t *g, const balance_upstream_t *u,
		      http_peer_t peer)
{
	if (peer.start || !resumes_is_mixed(g, u->service))
		return balance_is_start(&g->balance, u, peer.witnessed_since,
					peer.start);
	/* One that was only silent when it was asked may name itself yet. */
	return u->nameless_until == MSTIME_NEVER &&
	       peer.witnessed_since <= u->alive_at;
}

static bool are_entries_old_(const gateway_t *g)
{
	return clock_now() - feeds_known_to(g, FEED_UPSTREAMS) >
	       ENTRIES_FRESH_MS;
}

/* Whether others may know entries that this node lacks. */
static bool is_behind_(const gateway_t *g)
{
	return are_entries_old_(g) &&
	       gateway_peers_may_be_cut(g, feeds_known_to(g, FEED_UPSTREAMS));
}

bool starts_may_matter(const gateway_t *g, const char *service)
{
	return resumes_is_mixed(g, service) || !are_entries_old_(g) ||
	       is_behind_(g);
}

/* What the next request to an upstream would reach. */
static bool is_next_proven_(gateway_t *g, const balance_upstream_t *u)
{
	return starts_is_proven(g, u,
				http_client_next_peer(&g->upstreams, u->address,
						      send_idle_max(u)));
}

/*
 * Whether another start may answer than that of the entry, though no other
 * version is known: a connection has ended since the last known heartbeat, or
 * others may know later ones.
 */
static bool may_be_other_(const gateway_t *g, const balance_upstream_t *u)
{
	mstime_t ended_at = http_client_ended_at(&g->upstreams, u->address);

	return (ended_at && !balance_is_start(&g->balance, u, ended_at, 0)) ||
	       is_behind_(g);
}

/* Whether it may have ended since it did not answer a question. */
static bool may_have_ended_(const gateway_t *g, const balance_upstream_t *u)
{
	return u->silent_at &&
	       !balance_is_start(&g->balance, u, u->silent_at, 0);
}

/* Whether it matters which start the request reaches. */
static bool concerns_(const forward_t *f)
{
	const gateway_t *g = f->gateway;

	if (!f->selected || f->route->kind != ROUTE_KIND_STREAM)
		return false;
	if (f->bound_version)
		return starts_may_matter(g, f->service);
	return f->route->resumable && (resumes_is_mixed(g, f->service) ||
				       may_be_other_(g, f->selected));
}

static bool can_ask_(const forward_t *f)
{
	return clock_now() >= f->selected->nameless_until && starts_may_ask(f);
}

/*
 * A stream of the only version also goes on at upstreams that cannot tell. A
 * new one waits for one answer.
 */
static bool is_required_(const forward_t *f)
{
	if (!concerns_(f))
		return false;
	if (!f->bound_version)
		return !f->asked && !f->selected->refuted && can_ask_(f) &&
		       may_be_other_(f->gateway, f->selected);
	return resumes_is_mixed(f->gateway, f->service) ||
	       f->selected->refuted || can_ask_(f) ||
	       may_have_ended_(f->gateway, f->selected);
}

/* start: connections to another one are not used; 0 for any */
static http_call_t *ask_(gateway_t *g, const balance_upstream_t *u,
			 const char *target, uint64_t start,
			 const http_call_ops_t *ops, void *ctx)
{
	char url[URL_MAX];
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.target = target,
		.deadline = clock_now() + QUESTION_MAX_MS,
		.bare = true,
		.single = true,
		.peer_start = start,
		.connect_max_ms = CONNECT_MAX_MS,
		.idle_max_ms = send_idle_max(u),
	};

	snprintf(url, sizeof(url), "http://%s/", u->address);
	return http_call_start(&g->upstreams, &spec, ops, ctx);
}

/* Another upstream, or a later heartbeat, has to prove a start. */
static void choose_again_(forward_t *f)
{
	forward_release(f, BALANCE_ABANDONED);
	/* It may be chosen again while it can be asked again. */
	if (starts_may_ask(f))
		f->attempt_count--;
	forward_retry_or_end(f, f->placing_fault);
}

static void start_question_(forward_t *f);

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	const forward_t *f = ctx;

	(void)status;
	return f->gateway->protocol->is_state_response(call);
}

/* Another answer may come at another time. */
static bool is_busy_(int status)
{
	return status >= 500 || status == 408 || status == 429;
}

static void note_silence_(balance_upstream_t *u, mstime_t now)
{
	/* Questions that were open at the same time are one silence. */
	if (now < u->nameless_until)
		return;
	u->nameless_until =
		++u->silences < SILENT_MAX ? now + ASK_AGAIN_MS : MSTIME_NEVER;
}

/* A part of an answer names no start, though the whole one may. */
static bool may_be_part_(http_call_t *call)
{
	str_t body = http_call_body(call);
	json_t *root;
	bool part;

	if (!http_call_ends_with_connection(call))
		return false;
	root = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	part = !root;
	json_decref(root);
	return part;
}

/* The start that an answer names, or 0. */
static uint64_t start_in_(const gateway_t *g, const http_call_t *call, int err)
{
	return err ? 0 : g->protocol->parse_state(http_call_body(call));
}

/*
 * What an answer says of the start, which is kept with its connection.
 *
 * start: that it names
 * Return: whether it is that of the entry.
 */
static bool take_answer_(balance_upstream_t *u, http_call_t *call,
			 uint64_t start, int err, int status)
{
	mstime_t now = clock_now();
	/* What is said on a connection that ends proves nothing later. */
	bool kept = start && http_call_name_peer(call, start);

	if (start > u->start_id)
		u->refuted = true;
	if (err || is_busy_(status))
		u->silent_at = now;
	else if (start)
		u->silent_at = 0;
	if (err || is_busy_(status) || (start && !kept) ||
	    (status == 200 && may_be_part_(call)))
		note_silence_(u, now);
	else if (!start)
		u->nameless_until = MSTIME_NEVER;
	else
		u->silences = 0;
	LOG_EVENT(LOG_INFO, "start.asked", F_STR("upstream", u->id),
		  F_INT("start", (int64_t)u->start_id),
		  F_INT("named", (int64_t)start), F_INT("status", status),
		  F_STR("error", http_err_string[-err]));
	return kept && start == u->start_id;
}

http_call_t *starts_ask(gateway_t *g, const balance_upstream_t *u,
			const http_call_ops_t *ops, void *ctx)
{
	return ask_(g, u, g->protocol->state_target, 0, ops, ctx);
}

uint64_t starts_take_answer(gateway_t *g, balance_upstream_t *u,
			    http_call_t *call, int status)
{
	uint64_t start = start_in_(g, call, HTTP_OK);

	take_answer_(u, call, start, HTTP_OK, status);
	return start;
}

/* A new stream is chosen another upstream once the start is refuted. */
static bool may_begin_elsewhere_(const forward_t *f)
{
	return !f->bound_version && f->selected->refuted && starts_may_ask(f);
}

static void on_answer_(void *ctx, http_call_t *call, int err, int status)
{
	forward_t *f = ctx;

	f->question = NULL;
	if (http_unsent(err)) {
		/* Nothing of the request was delivered. */
		f->deliveries++;
		forward_attempt_failed(f, FAULT_CONNECT);
		return;
	}
	/* An idle connection may have ended just then. */
	if (err == HTTP_ECUT && http_call_reused(call) && starts_may_ask(f)) {
		start_question_(f);
		return;
	}
	if (take_answer_(f->selected, call, start_in_(f->gateway, call, err),
			 err, status) ||
	    (!is_required_(f) && !may_begin_elsewhere_(f)))
		forward_send(f);
	else
		choose_again_(f);
}

static const http_call_ops_t question_ops = { .head = on_head_,
					      .done = on_answer_ };

static void start_question_(forward_t *f)
{
	counter_add(COUNTER_STARTS_ASKED, 1);
	f->questions++;
	f->asked = true;
	f->sent_at = clock_now();
	f->first_at = 0;
	f->event_seen = false;
	f->response = (upstream_response_t){ 0 };
	f->question = ask_(f->gateway, f->selected,
			   f->gateway->protocol->state_target,
			   f->selected->start_id, &question_ops, f);
}

/* The start that would answer a new stream has named itself as another one. */
static bool is_other_named_(const forward_t *f)
{
	return !f->bound_version && f->selected->refuted &&
	       http_client_next_peer(&f->gateway->upstreams,
				     f->selected->address,
				     send_idle_max(f->selected))
		       .start;
}

void starts_send(forward_t *f)
{
	f->answers_lost = 0;
	f->asked = false;
	if (!concerns_(f) || !can_ask_(f) ||
	    is_next_proven_(f->gateway, f->selected) || is_other_named_(f))
		forward_send(f);
	else
		start_question_(f);
}

bool starts_check(const forward_t *f)
{
	return !concerns_(f) || !is_required_(f) ||
	       starts_is_proven(f->gateway, f->selected,
				http_call_peer(f->call));
}

void starts_send_again(forward_t *f)
{
	if (f->asked && ++f->answers_lost >= ANSWERS_LOST_MAX)
		note_silence_(f->selected, clock_now());
	if (can_ask_(f)) {
		start_question_(f);
		return;
	}
	f->questions++;
	choose_again_(f);
}

void starts_end_question(forward_t *f)
{
	if (f->question)
		http_call_cancel(f->question);
	f->question = NULL;
}

bool starts_may_ask(const forward_t *f)
{
	return f->questions < QUESTIONS_MAX;
}

void starts_observe(gateway_t *g, uint32_t version)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		balance_upstream_t *u = value;

		if (u->version_key != version)
			continue;
		u->proven = is_next_proven_(g, u);
		u->ended = may_have_ended_(g, u);
	}
}

/* A question of no request. */
typedef struct opening {
	gateway_t *gateway;
	uint32_t key; /* of the upstream */
} opening_t;

static bool on_opened_head_(void *ctx, http_call_t *call, int status)
{
	const opening_t *o = ctx;

	(void)status;
	return o->gateway->protocol->is_state_response(call);
}

static void on_opened_(void *ctx, http_call_t *call, int err, int status)
{
	opening_t *o = ctx;
	gateway_t *g = o->gateway;
	const balance_upstream_t *u = balance_find_key(&g->balance, o->key);

	if (u && clock_now() >= u->nameless_until && !http_unsent(err))
		take_answer_(g_hash_table_lookup(g->balance.by_id, u->id), call,
			     start_in_(g, call, err), err, status);
	g_free(o);
}

static const http_call_ops_t opening_ops = { .head = on_opened_head_,
					     .done = on_opened_,
					     .dropped = g_free };

static void open_(gateway_t *g, const balance_upstream_t *u)
{
	const routing_service_t *s = route_table_service(g->table, u->service);
	const char *target = g->protocol->state_target;
	opening_t *o = g_new(opening_t, 1);

	*o = (opening_t){ g, u->key };
	/* Answers to questions may end their connections. */
	if (clock_now() < u->nameless_until && s && s->health_path)
		target = s->health_path;
	ask_(g, u, target, u->start_id, &opening_ops, o);
}

void starts_open(gateway_t *g, uint32_t version)
{
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer value;
	int opened = 0;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (opened < OPENED_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		balance_upstream_t *u = value;

		if (u->version_key != version || u->leaving || u->refuted ||
		    u->proven || now < u->next_opening_at)
			continue;
		u->next_opening_at = now + OPEN_AGAIN_MS;
		open_(g, u);
		opened++;
	}
}
