/*
 * Applies the configuration's stream of the platform's log, and appends
 * operators' changes and snapshots to it. While the log can't be read, the
 * configuration comes from a peer.
 */
#include "private/control.h"
#include "private/peer_proof.h"

#include <kcf/logline.h>
#include <string.h>

#define CONFIG_STREAM "config"
#define READ_WAIT_MS 10000
#define READ_RETRY_MS 500
#define CHANGE_TIMEOUT_MS 8000
/* The age of the last snapshot is checked this often in one retention time. */
#define SNAPSHOT_CHECKS 10
#define SNAPSHOT_CHECK_MIN_MS 200
#define SNAPSHOT_CHECK_MAX_MS 60000
/* A new snapshot is due at this fraction of the retention time. */
#define SNAPSHOT_AGE_FRACTION 0.4
#define PEER_FETCH_INTERVAL_MS 1000
#define PEER_FETCH_TIMEOUT_MS 5000

static void read_stream_(control_t *c);
static void on_read_(void *arg, int err, const log_batch_t *batch);
static void publish_view_(control_t *c);
static void handle_result_(control_t *c, const config_result_t *r);
static void expire_changes_(control_t *c, mstime_t now);
static void append_snapshot_if_due_(control_t *c, mstime_t now);
static void fetch_from_peer_(control_t *c, mstime_t now);

static void free_change_(pending_change_t *p)
{
	g_free(p->name);
	g_free(p);
}

void config_stream_start(control_t *c)
{
	c->log = (log_client_t){ .ops = &log_http_ops,
				 .http = &c->http,
				 .url = c->settings->log_url->str };
	publish_view_(c);
}

void config_stream_stop(control_t *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pending_changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		free_change_(value);
	}
}

static mstime_t snapshot_check_interval_(const control_t *c)
{
	mstime_t retention = c->settings->log_retention_s * MSEC_PER_SEC;

	return CLAMP(retention / SNAPSHOT_CHECKS, SNAPSHOT_CHECK_MIN_MS,
		     SNAPSHOT_CHECK_MAX_MS);
}

void config_stream_tick(control_t *c, mstime_t now)
{
	if (!c->log_reading && now >= c->next_read)
		read_stream_(c);
	expire_changes_(c, now);
	if (c->phase == PHASE_READY && now >= c->next_snapshot_check) {
		c->next_snapshot_check = now + snapshot_check_interval_(c);
		append_snapshot_if_due_(c, now);
	}
	if (!c->log_ok && now >= c->next_peer_fetch) {
		c->next_peer_fetch = now + PEER_FETCH_INTERVAL_MS;
		fetch_from_peer_(c, now);
	}
}

bool config_stream_caught_up(const control_t *c)
{
	return c->caught_up &&
	       c->config.applied >= members_highest_applied(&c->members);
}

static void read_stream_(control_t *c)
{
	mstime_t wait = c->caught_up ? READ_WAIT_MS : 0;

	c->log_reading = true;
	c->log.ops->read(&c->log, CONFIG_STREAM,
			 MAX(c->config.applied + 1, c->snapshot_scan_offset),
			 wait, on_read_, c);
}

static void apply_record_(control_t *c, const log_record_t *record)
{
	config_result_t r;

	config_apply_record(&c->config, record->offset, record->appended_at,
			    record->body, &r);
	if (r.verdict == CONFIG_APPLIED)
		counter_add(COUNTER_CONFIG_APPLIED, 1);
	else if (r.verdict == CONFIG_CONFLICT)
		counter_add(COUNTER_CONFIG_CONFLICTS, 1);
	else if (r.verdict == CONFIG_INVALID || r.verdict == CONFIG_UNREADABLE)
		counter_add(COUNTER_CONFIG_REJECTED, 1);
	LOG_EVENT(LOG_INFO, "config.record",
		  F_INT("offset", (int64_t)record->offset),
		  F_STR("verdict", config_verdict_string[r.verdict]),
		  F_STR("id", r.id));
	if (r.id[0])
		handle_result_(c, &r);
	config_result_finish(&r);
}

/*
 * Searches the stream for a snapshot, since the log no longer has some of the
 * records that this node needs.
 */
static void scan_for_snapshot_(control_t *c, const log_batch_t *batch)
{
	for (size_t i = 0; i < batch->count; i++) {
		const log_record_t *r = &batch->records[i];

		c->snapshot_scan_offset = r->offset + 1;
		if (!config_scan_snapshot(&c->config, batch->first_offset,
					  r->appended_at, r->body))
			continue;
		LOG_EVENT(LOG_NOTICE, "config.from_snapshot",
			  F_INT("applied", (int64_t)c->config.applied));
		c->snapshot_scan_offset = 0;
		return;
	}
	if (c->snapshot_scan_offset < batch->next_offset && batch->count)
		return;
	/* No snapshot to the end: search again, and ask a peer meanwhile. */
	c->snapshot_scan_offset = 0;
	c->next_read = clock_now() + READ_RETRY_MS;
	c->next_peer_fetch = MIN(c->next_peer_fetch, c->next_read);
	fetch_from_peer_(c, clock_now());
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	control_t *c = arg;
	uint64_t before = c->config.applied;

	c->log_reading = false;
	if (err) {
		if (c->log_ok)
			LOG_EVENT(LOG_WARNING, "log.down",
				  F_STR("error", log_err_string[-err]));
		c->log_ok = false;
		counter_add(COUNTER_LOG_ERRORS, 1);
		c->next_read = clock_now() + READ_RETRY_MS;
		return;
	}
	c->log_ok = true;
	c->next_read = 0;
	if (config_has_gap(&c->config, batch->first_offset)) {
		scan_for_snapshot_(c, batch);
	} else {
		for (size_t i = 0; i < batch->count; i++)
			apply_record_(c, &batch->records[i]);
		c->caught_up = c->caught_up ||
			       c->config.applied + 1 >= batch->next_offset;
	}
	counter_set(GAUGE_APPLIED_OFFSET, (int64_t)c->config.applied);
	if (c->config.applied != before)
		publish_view_(c);
	if (!c->next_read)
		read_stream_(c);
}

/* Gives a view of the new configuration to the scheduler and the relay. */
static void publish_view_(control_t *c)
{
	view_t *v = view_new(&c->config);
	message_t *m = message_new(MSG_VIEW);

	sched_set_view(&c->sched, clock_now(), v);
	m->view = v;
	relay_post(c->relay, m);
}

static json_t *winning_resource_(const control_t *c, const pending_change_t *p)
{
	const resource_t *r = config_find(&c->config, p->kind, p->name);

	return r ? resource_json(r) : json_null();
}

static void reply_conflict_(control_t *c, pending_change_t *p)
{
	json_t *body =
		json_pack("{s:s,s:i,s:s,s:s,s:o}", "type", "about:blank",
			  "status", 409, "title", "another change came first",
			  "ran", "no", "winner", winning_resource_(c, p));

	operators_reply_json(p->req, 409, body, NULL);
}

static void reply_applied_(control_t *c, pending_change_t *p,
			   const config_result_t *r)
{
	const resource_t *now = config_find(&c->config, p->kind, p->name);
	char etag[32];

	g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", r->version);
	if (p->deletes || !now)
		operators_reply_json(p->req, 200,
				     json_pack("{s:s,s:s,s:I}", "kind",
					       resource_kind_string[p->kind],
					       "name", p->name, "deleted",
					       (json_int_t)r->version),
				     etag);
	else
		operators_reply_json(p->req, 200, resource_json(now), etag);
}

/*
 * Logs an applied change and notifies the watchers. If the change was proposed
 * at this node, answers its operator.
 */
static void handle_result_(control_t *c, const config_result_t *r)
{
	pending_change_t *p = g_hash_table_lookup(c->pending_changes, r->id);

	if (r->verdict == CONFIG_APPLIED) {
		const audit_entry_t *e = g_queue_peek_tail(c->config.audit);

		LOG_EVENT(LOG_NOTICE, "audit.change", F_STR("id", r->id),
			  F_STR("kind", resource_kind_string[e->kind]),
			  F_STR("name", e->name),
			  F_STR("operator", e->operator_name),
			  F_STR("reason", e->reason));
		operators_notify_watchers(
			c, config_latest(&c->config, e->kind, e->name));
	}
	if (!p)
		return;
	g_hash_table_remove(c->pending_changes, p->id);
	if (p->req) {
		if (r->verdict == CONFIG_APPLIED)
			reply_applied_(c, p, r);
		else if (r->verdict == CONFIG_CONFLICT)
			reply_conflict_(c, p);
		else
			operators_reply_problem(p->req, 422,
						"change has faults", "no",
						r->faults);
	}
	free_change_(p);
}

typedef struct append_arg {
	control_t *control;
	char id[64];
} append_arg_t;

static void on_appended_(void *arg, int err, uint64_t offset)
{
	append_arg_t *a = arg;
	control_t *c = a->control;
	pending_change_t *p = g_hash_table_lookup(c->pending_changes, a->id);

	(void)offset;
	if (p && err == LOG_EREFUSED) {
		g_hash_table_remove(c->pending_changes, p->id);
		if (p->req)
			operators_reply_problem(
				p->req, 503,
				"the platform's log is not taking "
				"changes",
				"no", NULL);
		free_change_(p);
	}
	/* Otherwise the record may yet be read back from the stream. */
	g_free(a);
}

void config_stream_propose(control_t *c, http_request_t *req,
			   const config_proposal_t *p)
{
	pending_change_t *change = g_new0(pending_change_t, 1);
	append_arg_t *a = g_new0(append_arg_t, 1);
	char *record = config_proposal_record(p);

	g_strlcpy(change->id, p->id, sizeof(change->id));
	change->req = req;
	change->kind = p->kind;
	change->name = g_strdup(p->name);
	change->deletes = !p->body;
	change->deadline = clock_now() + CHANGE_TIMEOUT_MS;
	g_hash_table_insert(c->pending_changes, change->id, change);
	a->control = c;
	g_strlcpy(a->id, p->id, sizeof(a->id));
	c->log.ops->append(&c->log, CONFIG_STREAM, str_of(record), on_appended_,
			   a);
	g_free(record);
}

void config_stream_operator_disconnected(control_t *c, http_request_t *req)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pending_changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_change_t *p = value;

		if (p->req == req)
			p->req = NULL;
	}
}

static void expire_changes_(control_t *c, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pending_changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_change_t *p = value;

		if (now < p->deadline)
			continue;
		g_hash_table_iter_steal(&iter);
		if (p->req)
			operators_reply_problem(
				p->req, 504,
				"the change may come into force "
				"later; read the resource",
				"unknown", NULL);
		free_change_(p);
	}
}

static void on_snapshot_appended_(void *arg, int err, uint64_t offset)
{
	(void)arg;
	(void)offset;
	if (err)
		counter_add(COUNTER_LOG_ERRORS, 1);
}

/*
 * The node with the lowest name among the usable ones appends the snapshots, so
 * that nodes with the same members agree on it.
 */
static bool appends_snapshots_(const control_t *c)
{
	GHashTableIter iter;
	gpointer value;
	const char *lowest = c->settings->name->str;

	g_hash_table_iter_init(&iter, c->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (member_is_usable(m) && strcmp(m->name, lowest) < 0)
			lowest = m->name;
	}
	return !strcmp(lowest, c->settings->name->str);
}

/* Appends a snapshot before the log drops the records that it replaces. */
static void append_snapshot_if_due_(control_t *c, mstime_t now)
{
	mstime_t age = (mstime_t)((double)c->settings->log_retention_s *
				  MSEC_PER_SEC * SNAPSHOT_AGE_FRACTION);
	char *id;
	GPtrArray *chunks;

	(void)now;
	if (!c->log_ok || !c->config.applied || !appends_snapshots_(c))
		return;
	if (clock_wall() - c->config.snapshot_at < age)
		return;
	id = g_strdup_printf("%s-%" G_GINT64_FORMAT, c->settings->name->str,
			     clock_wall());
	chunks = config_snapshot_records(&c->config, id);
	for (guint i = 0; i < chunks->len; i++)
		c->log.ops->append(&c->log, CONFIG_STREAM,
				   str_of(chunks->pdata[i]),
				   on_snapshot_appended_, c);
	LOG_EVENT(LOG_INFO, "config.snapshot", F_STR("id", id),
		  F_INT("applied", (int64_t)c->config.applied),
		  F_INT("parts", chunks->len));
	g_ptr_array_unref(chunks);
	g_free(id);
}

static void on_peer_config_(void *ctx, http_call_t *call, int err, int status)
{
	control_t *c = ctx;
	str_t body = http_call_body(call);
	json_t *snapshot;

	if (err || status != 200)
		return;
	snapshot = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	if (snapshot && config_restore(&c->config, snapshot)) {
		LOG_EVENT(LOG_NOTICE, "config.from_peer",
			  F_INT("applied", (int64_t)c->config.applied));
		c->caught_up = true;
		counter_set(GAUGE_APPLIED_OFFSET, (int64_t)c->config.applied);
		publish_view_(c);
	}
	json_decref(snapshot);
}

static const http_call_ops_t peer_config_ops = { .done = on_peer_config_ };

/* Fetches the configuration from the peer that has applied the most. */
static void fetch_from_peer_(control_t *c, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	const member_t *ahead = NULL;
	char *url;
	char *proof;
	const char *headers[2] = { NULL, NULL };
	http_call_spec_t spec = { .method = "GET",
				  .headers = headers,
				  .deadline = now + PEER_FETCH_TIMEOUT_MS };

	g_hash_table_iter_init(&iter, c->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		if (m == c->members.self || m->state == MEMBER_DEAD ||
		    m->applied <= c->config.applied)
			continue;
		if (!ahead || m->applied > ahead->applied)
			ahead = m;
	}
	if (!ahead)
		return;
	proof = peer_proof_line(c->settings->peer_key, clock_wall());
	headers[0] = proof;
	url = g_strdup_printf("%s://%s/v1/peer/config",
			      settings_operator_scheme(c->settings),
			      ahead->operators);
	spec.url = url;
	http_call_start(&c->http, &spec, &peer_config_ops, c);
	g_free(url);
	g_free(proof);
}
