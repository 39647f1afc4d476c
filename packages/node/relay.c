#include "private/exchange.h"
#include "private/once_key.h"

#include <kcf/logline.h>
#include <stdio.h>
#include <string.h>

#define SWEEP_INTERVAL_S 0.05
/* The retry budget: growth with each request, limit and initial value. */
#define RETRIES_PER_REQUEST 0.1
#define RETRY_BUDGET_MAX 50
#define RETRY_BUDGET_INITIAL 10
/* Callers may reuse an answer of /v1/where for this long. */
#define WHERE_VALID_MS 5000

static bool start_(void *ctx, struct ev_loop *loop);
static void receive_(void *ctx, void *message);
static void stop_(void *ctx);
static void on_request_(void *ctx, http_request_t *req);
static void on_closed_(void *ctx, http_request_t *req, bool whole);
static void on_sweep_(struct ev_loop *loop, ev_timer *w, int revents);

static const task_ops_t task_ops = { start_, receive_, stop_ };
static const http_server_ops_t server_ops = { on_request_, on_closed_ };

void relay_init(relay_t *r, const settings_t *settings, task_t *control,
		uint64_t incarnation)
{
	*r = (relay_t){ .control = control,
			.settings = settings,
			.incarnation = incarnation,
			.retry_budget = RETRY_BUDGET_INITIAL };
	r->exchanges = g_hash_table_new(g_int64_hash, g_int64_equal);
	task_init(&r->task, &task_ops, r);
}

bool relay_start(relay_t *r)
{
	return task_start(&r->task, "relay");
}

void relay_stop(relay_t *r)
{
	task_stop(&r->task);
}

void relay_finish(relay_t *r)
{
	task_finish(&r->task);
	g_hash_table_destroy(r->exchanges);
	view_unref(r->view);
	roster_unref(r->roster);
	g_free(r->tls_cert);
	g_free(r->tls_key);
}

void relay_post(relay_t *r, message_t *m)
{
	task_post(&r->task, m);
}

static bool load_tls_(relay_t *r)
{
	const settings_t *s = r->settings;

	g_clear_pointer(&r->tls_cert, g_free);
	g_clear_pointer(&r->tls_key, g_free);
	if (!s->caller_tls_cert->len)
		return true;
	return g_file_get_contents(s->caller_tls_cert->str, &r->tls_cert, NULL,
				   NULL) &&
	       g_file_get_contents(s->caller_tls_key->str, &r->tls_key, NULL,
				   NULL);
}

static bool start_(void *ctx, struct ev_loop *loop)
{
	relay_t *r = ctx;
	const settings_t *s = r->settings;
	http_server_conf_t conf = {
		.address = s->caller_listen->str,
		.max_body = (size_t)s->caller_max_body,
		.max_header = (size_t)s->caller_max_header,
		.max_connections = (unsigned int)s->caller_max_connections,
		.idle_timeout_s = (unsigned int)s->caller_idle_timeout_s,
	};
	int err;

	if (!load_tls_(r)) {
		LOG_EVENT(LOG_ERR, "callers.tls",
			  F_STR("cert", s->caller_tls_cert->str),
			  F_STR("error", "cannot read certificate or key"));
		return false;
	}
	conf.tls_cert = r->tls_cert;
	conf.tls_key = r->tls_key;
	http_client_init(&r->upstreams, loop);
	if (s->tls_ca->len)
		r->upstreams.ca_file = s->tls_ca->str;
	err = http_server_init(&r->callers, loop, &conf, &server_ops, r);
	if (err) {
		LOG_EVENT(LOG_ERR, "callers.listen",
			  F_STR("address", conf.address),
			  F_STR("error", http_server_err_string[-err]));
		http_client_finish(&r->upstreams);
		return false;
	}
	ev_timer_init(&r->sweep, on_sweep_, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
	r->sweep.data = r;
	ev_timer_start(loop, &r->sweep);
	return true;
}

static void stop_(void *ctx)
{
	relay_t *r = ctx;
	GList *all = g_hash_table_get_values(r->exchanges);

	ev_timer_stop(r->task.loop, &r->sweep);
	for (GList *l = all; l; l = l->next)
		exchange_end(l->data);
	g_list_free(all);
	http_server_finish(&r->callers);
	http_client_finish(&r->upstreams);
}

static void on_request_(void *ctx, http_request_t *req)
{
	relay_t *r = ctx;

	r->retry_budget =
		MIN(RETRY_BUDGET_MAX, r->retry_budget + RETRIES_PER_REQUEST);
	if (http_request_header(req, HOP_HEADER).data)
		http_request_ends_with_connection(req);
	exchange_run(exchange_new(r, req));
}

static void on_closed_(void *ctx, http_request_t *req, bool whole)
{
	exchange_t *x = http_request_user(req);

	(void)ctx;
	if (!x)
		return;
	if (!whole)
		counter_add(COUNTER_CALLERS_DISCONNECTED, 1);
	exchange_close(x, whole);
}

static void on_sweep_(struct ev_loop *loop, ev_timer *w, int revents)
{
	relay_t *r = w->data;
	mstime_t now = clock_now();
	GList *all = g_hash_table_get_values(r->exchanges);

	(void)loop;
	(void)revents;
	for (GList *l = all; l; l = l->next)
		exchange_check_timeouts(l->data, now);
	g_list_free(all);
}

void exchange_handle_where_reply(exchange_t *x, const where_reply_t *w)
{
	json_t *list = json_array();
	char key[ISSUED_KEY_MAX];

	for (int i = 0; i < w->count; i++)
		json_array_append_new(list, json_string(w->addresses[i]));
	if (!w->count) {
		json_decref(list);
		exchange_refuse(x, 503, "no node can serve now", RAN_NO,
				COUNTER_REFUSED_NOT_READY, MSEC_PER_SEC);
		return;
	}
	once_key_issue(x->relay->settings->peer_key,
		       x->relay->settings->name->str, x->relay->incarnation,
		       clock_wall(), key);
	exchange_reply_json(x, 200,
			    json_pack("{s:o,s:i,s:s}", "addresses", list,
				      "valid_ms", WHERE_VALID_MS, "key", key));
}

/* The caller disconnected before its run-once try could start. */
static void release_claim_(relay_t *r, const char *key)
{
	message_t *m = message_new(MSG_ONCE_END);

	g_strlcpy(m->once.key, key, sizeof(m->once.key));
	task_post(r->control, m);
}

static void set_phase_(relay_t *r, node_phase_t phase)
{
	r->phase = phase;
	LOG_EVENT(LOG_NOTICE, "relay.phase", F_INT("phase", phase));
}

/* Reads the certificate and key files again. */
static void reload_tls_(relay_t *r)
{
	int err = HTTP_SERVER_OK;

	if (!r->settings->caller_tls_cert->len)
		return;
	if (!load_tls_(r))
		err = HTTP_SERVER_EDAEMON;
	else
		err = http_server_set_tls(&r->callers, r->tls_cert, r->tls_key);
	LOG_EVENT(err ? LOG_ERR : LOG_NOTICE, "callers.tls",
		  F_STR("cert", r->settings->caller_tls_cert->str),
		  F_STR("result", http_server_err_string[-err]));
}

static gint compare_age_(gconstpointer a, gconstpointer b)
{
	const exchange_t *xa = a;
	const exchange_t *xb = b;

	return (xa->id > xb->id) - (xa->id < xb->id);
}

/* Fails the attempts at dead nodes, the oldest request first. */
static void check_nodes_(relay_t *r)
{
	GList *all = g_hash_table_get_values(r->exchanges);

	all = g_list_sort(all, compare_age_);
	for (GList *l = all; l; l = l->next)
		exchange_check_node(l->data);
	g_list_free(all);
}

static void receive_(void *ctx, void *message)
{
	relay_t *r = ctx;
	message_t *m = message;
	exchange_t *x;

	switch (m->type) {
	case MSG_PLACE_REPLY:
		x = g_hash_table_lookup(r->exchanges, &m->place_reply.id);
		if (x) {
			exchange_handle_placement(x, &m->place_reply);
		} else if (m->place_reply.verdict == SCHED_RUN) {
			/* The caller disconnected in the meantime. */
			message_t *abandoned = message_new(MSG_RELEASE);

			abandoned->release.id = m->place_reply.id;
			abandoned->release.result = SCHED_ABANDONED;
			abandoned->release.first_token_ms = -1;
			abandoned->release.cached_tokens = -1;
			task_post(r->control, abandoned);
		}
		break;
	case MSG_WHERE_REPLY:
		x = g_hash_table_lookup(r->exchanges, &m->where_reply.id);
		if (x)
			exchange_handle_where_reply(x, &m->where_reply);
		break;
	case MSG_ONCE_REPLY:
		x = g_hash_table_lookup(r->exchanges, &m->once_reply.id);
		if (x)
			exchange_handle_once_reply(x, &m->once_reply);
		else if (m->once_reply.verdict == ONCE_RUN)
			release_claim_(r, m->once_reply.key);
		break;
	case MSG_JOB_REPLY:
		x = g_hash_table_lookup(r->exchanges, &m->job_reply.id);
		if (x)
			exchange_handle_job_reply(x, &m->job_reply);
		break;
	case MSG_RELOAD_TLS:
		reload_tls_(r);
		break;
	case MSG_VIEW:
		view_unref(r->view);
		r->view = m->view;
		m->view = NULL;
		break;
	case MSG_ROSTER:
		roster_unref(r->roster);
		r->roster = m->roster;
		m->roster = NULL;
		check_nodes_(r);
		break;
	case MSG_PHASE:
		set_phase_(r, m->phase);
		break;
	default:
		break;
	}
	message_free(m);
}
