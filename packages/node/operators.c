/*
 * The operators' HTTP interface: resources, audit trail, nodes, upstreams,
 * traces and metrics.
 */
#include "private/control.h"
#include "private/peer_proof.h"
#include "private/signature.h"

#include <assert.h>
#include <kcf/logline.h>
#include <sodium.h>
#include <string.h>

#define OPERATOR_BODY_MAX (1024 * 1024)
#define OPERATOR_HEADER_MAX (32 * 1024)
#define OPERATOR_CONNECTIONS_MAX 512
#define OPERATOR_IDLE_S 120
#define PROPOSAL_ID_BYTES 16
#define AUDIT_LIMIT_DEFAULT 200

static void on_request_(void *ctx, http_request_t *req);
static void on_closed_(void *ctx, http_request_t *req, bool whole);

static const http_server_ops_t server_ops = { on_request_, on_closed_ };

/* Parsed path of a request below /v1/resources. */
typedef struct resource_path {
	resource_kind_t kind;
	char name[SCHED_NAME_MAX];
	bool status;
} resource_path_t;

/* Reads certificate and key; sets both to NULL if the settings name none. */
static bool read_tls_(const settings_t *s, char **cert, char **key)
{
	*cert = NULL;
	*key = NULL;
	if (!s->operator_tls_cert->len)
		return true;
	if (g_file_get_contents(s->operator_tls_cert->str, cert, NULL, NULL) &&
	    g_file_get_contents(s->operator_tls_key->str, key, NULL, NULL))
		return true;
	g_clear_pointer(cert, g_free);
	return false;
}

bool operators_start(control_t *c)
{
	const settings_t *s = c->settings;
	char *cert;
	char *key;
	http_server_conf_t conf = {
		.address = s->operator_listen->str,
		.max_body = OPERATOR_BODY_MAX,
		.max_header = OPERATOR_HEADER_MAX,
		.max_connections = OPERATOR_CONNECTIONS_MAX,
		.idle_timeout_s = OPERATOR_IDLE_S,
	};
	int err = HTTP_SERVER_EDAEMON;

	if (read_tls_(s, &cert, &key)) {
		conf.tls_cert = cert;
		conf.tls_key = key;
		err = http_server_init(&c->operators, c->task.loop, &conf,
				       &server_ops, c);
	}
	g_free(cert);
	g_free(key);
	if (err)
		LOG_EVENT(LOG_ERR, "operators.listen",
			  F_STR("address", conf.address),
			  F_STR("error", http_server_err_string[-err]));
	return !err;
}

void operators_reload_tls(control_t *c)
{
	char *cert;
	char *key;
	int err = HTTP_SERVER_EDAEMON;

	if (!c->settings->operator_tls_cert->len)
		return;
	if (read_tls_(c->settings, &cert, &key))
		err = http_server_set_tls(&c->operators, cert, key);
	g_free(cert);
	g_free(key);
	LOG_EVENT(err ? LOG_ERR : LOG_NOTICE, "operators.tls",
		  F_STR("result", http_server_err_string[-err]));
}

void operators_stop(control_t *c)
{
	http_server_finish(&c->operators);
	assert(!c->watchers->len);
}

void operators_reply_json(http_request_t *req, unsigned int status,
			  json_t *body, const char *etag)
{
	const http_header_t headers[] = {
		{ "Content-Type", status >= 400 ? "application/problem+json"
						: "application/json" },
		{ etag ? "ETag" : NULL, etag },
		{ NULL, NULL },
	};
	char *text = json_dumps(body, JSON_COMPACT);

	http_reply(req, status, headers, str_of(text));
	free(text);
	json_decref(body);
}

void operators_reply_problem(http_request_t *req, unsigned int status,
			     const char *title, const char *ran,
			     GPtrArray *faults)
{
	json_t *list = json_array();
	json_t *body;

	for (guint i = 0; faults && i < faults->len; i++) {
		const schema_fault_t *f = faults->pdata[i];

		json_array_append_new(list,
				      json_pack("{s:s,s:s}", "field", f->path,
						"fault", f->text));
	}
	body = json_pack("{s:s,s:i,s:s,s:s,s:o}", "type", "about:blank",
			 "status", (int)status, "title", title, "ran", ran,
			 "faults", list);
	operators_reply_json(req, status, body, NULL);
}

static void reply_problem_(http_request_t *req, unsigned int status,
			   const char *title)
{
	operators_reply_problem(req, status, title, "no", NULL);
}

/* Name of the operator whose bearer key a request carries, or NULL. */
static const char *authenticate_(const control_t *c, const http_request_t *req)
{
	char hash[BEARER_HASH_SIZE];

	if (!bearer_hash(req, hash))
		return NULL;
	for (guint i = 0; i < c->settings->operator_hashes->len; i++) {
		if (signature_equal(c->settings->operator_hashes->pdata[i],
				    str_of(hash)))
			return c->settings->operator_names->pdata[i];
	}
	return NULL;
}

static bool parse_path_(str_t rest, resource_path_t *out)
{
	char *text = str_dup(rest);
	char **parts = g_strsplit(text, "/", 3);
	guint n = g_strv_length(parts);
	bool ok = n >= 1 && n <= 3;

	*out = (resource_path_t){ .kind = KIND_COUNT };
	if (ok)
		out->kind = resource_kind_of(str_of(parts[0]));
	if (ok && n >= 2) {
		ok = schema_name_ok(str_of(parts[1]));
		g_strlcpy(out->name, parts[1], sizeof(out->name));
	}
	if (ok && n == 3) {
		ok = !strcmp(parts[2], "status");
		out->status = true;
	}
	g_strfreev(parts);
	g_free(text);
	return ok && out->kind != KIND_COUNT;
}

static void reply_list_(control_t *c, http_request_t *req, resource_kind_t kind)
{
	GPtrArray *list = config_list(&c->config, kind);
	json_t *items = json_array();

	for (guint i = 0; i < list->len; i++)
		json_array_append_new(items, resource_json(list->pdata[i]));
	g_ptr_array_unref(list);
	operators_reply_json(req, 200,
			     json_pack("{s:I,s:o}", "applied",
				       (json_int_t)c->config.applied, "items",
				       items),
			     NULL);
}

static void write_resource_(http_request_t *req, const resource_t *r)
{
	json_t *o = resource_json(r);
	char *text = json_dumps(o, JSON_COMPACT);

	http_stream_write(req, str_of(text));
	http_stream_write(req, str_of("\n"));
	free(text);
	json_decref(o);
}

static void start_watch_(control_t *c, http_request_t *req,
			 resource_kind_t kind)
{
	const http_header_t headers[] = {
		{ "Content-Type", "application/jsonl" },
		{ NULL, NULL },
	};
	GPtrArray *list = config_list(&c->config, kind);
	watcher_t *w = g_new0(watcher_t, 1);
	int64_t from = 0;

	str_to_int(http_request_query(req, "from"), &from);
	http_stream_begin(req, 200, headers);
	for (guint i = 0; i < list->len; i++) {
		const resource_t *r = list->pdata[i];

		if (r->version >= (uint64_t)from)
			write_resource_(req, r);
	}
	g_ptr_array_unref(list);
	w->req = req;
	w->kind = kind;
	g_ptr_array_add(c->watchers, w);
}

void operators_notify_watchers(control_t *c, const resource_t *r)
{
	for (guint i = 0; r && i < c->watchers->len; i++) {
		const watcher_t *w = c->watchers->pdata[i];

		if (w->kind == KIND_COUNT || w->kind == r->kind)
			write_resource_(w->req, r);
	}
}

static void reply_resource_status_(control_t *c, http_request_t *req,
				   const resource_t *r)
{
	GHashTableIter iter;
	gpointer value;
	json_t *lagging = json_array();
	int in_force = 0;
	int all = 0;

	g_hash_table_iter_init(&iter, c->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;
		uint64_t applied =
			m == c->members.self ? c->config.applied : m->applied;

		if (!member_is_usable(m) && m != c->members.self)
			continue;
		all++;
		if (applied >= r->version)
			in_force++;
		else
			json_array_append_new(lagging, json_string(m->name));
	}
	operators_reply_json(req, 200,
			     json_pack("{s:I,s:i,s:i,s:o}", "version",
				       (json_int_t)r->version, "in_force_on",
				       in_force, "of", all, "lagging", lagging),
			     NULL);
}

static void get_resource_(control_t *c, http_request_t *req,
			  const resource_path_t *p)
{
	const resource_t *r;
	char etag[32];

	if (!p->name[0]) {
		if (http_request_query(req, "watch").len)
			start_watch_(c, req, p->kind);
		else
			reply_list_(c, req, p->kind);
		return;
	}
	r = config_find(&c->config, p->kind, p->name);
	if (!r) {
		reply_problem_(req, 404, "no such resource");
		return;
	}
	if (p->status) {
		reply_resource_status_(c, req, r);
		return;
	}
	g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", r->version);
	operators_reply_json(req, 200, resource_json(r), etag);
}

/*
 * Version that a change is based on: the one in If-Match, else the present one;
 * 0, which leads to a conflict, if "If-None-Match: *" meets an existing
 * resource.
 *
 * Return: false when If-Match is malformed.
 */
static bool parse_base_version_(const control_t *c, const http_request_t *req,
				const resource_path_t *p, uint64_t *base)
{
	str_t match = http_request_header(req, "If-Match");
	str_t none = http_request_header(req, "If-None-Match");
	int64_t v;

	*base = config_version(&c->config, p->kind, p->name);
	if (str_eq(none, str_of("*"))) {
		if (!config_find(&c->config, p->kind, p->name))
			return true;
		*base = 0;
		return true;
	}
	if (!match.data)
		return true;
	if (match.len >= 2 && match.data[0] == '"') {
		match.data++;
		match.len -= 2;
	}
	if (!str_to_int(match, &v) || v < 0)
		return false;
	*base = (uint64_t)v;
	return true;
}

static void propose_change_(control_t *c, http_request_t *req,
			    const resource_path_t *p, const char *operator_name,
			    json_t *body)
{
	unsigned char random[PROPOSAL_ID_BYTES];
	char id[2 * PROPOSAL_ID_BYTES + 1];
	char *reason = str_dup(http_request_header(req, "X-Reason"));
	GPtrArray *faults = schema_faults_new();
	config_proposal_t change = {
		.id = id,
		.kind = p->kind,
		.name = p->name,
		.body = body,
		.operator_name = operator_name,
		.reason = reason,
		.proposed_at = clock_wall(),
	};

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, sizeof(id), random, sizeof(random));
	if (!g_utf8_validate(reason, -1, NULL))
		schema_fault_add(faults, "X-Reason", "is not UTF-8");
	config_check_proposal(&c->config, &change, faults);
	if (!parse_base_version_(c, req, p, &change.base))
		reply_problem_(req, 400, "If-Match must be a version");
	else if (faults->len)
		operators_reply_problem(req, 422, "change has faults", "no",
					faults);
	else
		config_stream_propose(c, req, &change);
	g_ptr_array_unref(faults);
	g_free(reason);
}

static void put_resource_(control_t *c, http_request_t *req,
			  const resource_path_t *p, const char *operator_name)
{
	str_t text = http_request_body(req);
	json_error_t error;
	json_t *body = json_loadb(text.data ? text.data : "", text.len,
				  JSON_REJECT_DUPLICATES, &error);

	if (!body) {
		char *title = g_strdup_printf("body is not JSON: line %d: %s",
					      error.line, error.text);

		reply_problem_(req, 400, title);
		g_free(title);
		return;
	}
	propose_change_(c, req, p, operator_name, body);
	json_decref(body);
}

static void serve_resource_(control_t *c, http_request_t *req, str_t rest,
			    const char *operator_name)
{
	str_t method = http_request_method(req);
	resource_path_t p;

	if (!parse_path_(rest, &p)) {
		reply_problem_(req, 404, "no such kind or malformed name");
	} else if (str_eq(method, str_of("GET"))) {
		get_resource_(c, req, &p);
	} else if (!p.name[0] || p.status) {
		reply_problem_(req, 405, "only GET is allowed here");
	} else if (str_eq(method, str_of("PUT"))) {
		put_resource_(c, req, &p, operator_name);
	} else if (str_eq(method, str_of("DELETE"))) {
		if (!config_find(&c->config, p.kind, p.name))
			reply_problem_(req, 404, "no such resource");
		else
			propose_change_(c, req, &p, operator_name, NULL);
	} else {
		reply_problem_(req, 405, "use GET, PUT or DELETE");
	}
}

static void reply_audit_(control_t *c, http_request_t *req)
{
	json_t *items = json_array();
	int64_t from = 0;
	int64_t limit = AUDIT_LIMIT_DEFAULT;

	str_to_int(http_request_query(req, "from"), &from);
	str_to_int(http_request_query(req, "limit"), &limit);
	for (GList *l = c->config.audit->head;
	     l && (int64_t)json_array_size(items) < limit; l = l->next) {
		const audit_entry_t *e = l->data;

		if (e->offset >= (uint64_t)MAX(0, from))
			json_array_append_new(items, audit_json(e));
	}
	operators_reply_json(req, 200, json_pack("{s:o}", "items", items),
			     NULL);
}

static void reply_nodes_(control_t *c, http_request_t *req)
{
	GHashTableIter iter;
	gpointer value;
	json_t *items = json_array();

	g_hash_table_iter_init(&iter, c->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;

		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I}",
				  "name", m->name, "state",
				  member_state_string[m->state], "data_centre",
				  m->data_centre, "region", m->region,
				  "callers", m->callers, "operators",
				  m->operators, "peer", m->peer, "applied",
				  (json_int_t)(m == c->members.self
						       ? c->config.applied
						       : m->applied),
				  "incarnation", (json_int_t)m->incarnation));
	}
	operators_reply_json(req, 200,
			     json_pack("{s:s,s:o}", "self",
				       c->settings->name->str, "items", items),
			     NULL);
}

static void reply_explain_(control_t *c, http_request_t *req, str_t id)
{
	char *key = str_dup(id);
	const trace_t *t = g_hash_table_lookup(c->traces, key);
	json_t *steps;
	char **lines;

	g_free(key);
	if (!t) {
		reply_problem_(req, 404,
			       "this node knows nothing of the request");
		return;
	}
	steps = json_array();
	lines = g_strsplit(t->steps->str, "\n", -1);
	for (char **line = lines; *line; line++) {
		if (**line)
			json_array_append_new(steps, json_string(*line));
	}
	g_strfreev(lines);
	operators_reply_json(req, 200,
			     json_pack("{s:s,s:s,s:o}", "request_id",
				       t->request_id, "node",
				       c->settings->name->str, "steps", steps),
			     NULL);
}

static void reply_text_(http_request_t *req, unsigned int status, str_t text)
{
	const http_header_t headers[] = {
		{ "Content-Type", "text/plain; version=0.0.4" },
		{ NULL, NULL },
	};

	http_reply(req, status, headers, text);
}

static void reply_metrics_(http_request_t *req)
{
	GString *text = g_string_new(NULL);

	counter_render(text);
	reply_text_(req, 200, (str_t){ text->str, text->len });
	g_string_free(text, TRUE);
}

/* Paths that need no operator's key: monitoring, and configuration for peers.
 */
static bool serve_without_key_(control_t *c, http_request_t *req, str_t path)
{
	bool ready = c->phase == PHASE_READY;

	if (str_eq(path, str_of("/healthz"))) {
		reply_text_(req, 200, str_of("ok\n"));
		return true;
	}
	if (str_eq(path, str_of("/readyz"))) {
		reply_text_(req, ready ? 200 : 503,
			    str_of(ready ? "ready\n" : "not ready\n"));
		return true;
	}
	if (str_eq(path, str_of("/metrics"))) {
		reply_metrics_(req);
		return true;
	}
	if (str_eq(path, str_of("/v1/peer/config"))) {
		if (peer_proof_is_valid(
			    c->settings->peer_key, clock_wall(),
			    http_request_header(req, PEER_PROOF_HEADER)))
			operators_reply_json(req, 200,
					     config_snapshot(&c->config), NULL);
		else
			reply_problem_(req, 403, "for nodes only");
		return true;
	}
	return false;
}

static void on_request_(void *ctx, http_request_t *req)
{
	static const str_t resources = { "/v1/resources/", 14 };
	static const str_t explain = { "/v1/explain/", 12 };
	control_t *c = ctx;
	str_t path = http_request_path(req);
	const char *operator_name;

	if (serve_without_key_(c, req, path))
		return;
	operator_name = authenticate_(c, req);
	if (!operator_name) {
		LOG_EVENT(LOG_WARNING, "operator.refused",
			  F_VIEW("path", path));
		reply_problem_(req, 401,
			       "an operator's bearer key is required");
	} else if (str_starts_with(path, resources)) {
		serve_resource_(c, req, str_skip(path, resources.len),
				operator_name);
	} else if (str_starts_with(path, explain)) {
		reply_explain_(c, req, str_skip(path, explain.len));
	} else if (str_eq(path, str_of("/v1/audit"))) {
		reply_audit_(c, req);
	} else if (str_eq(path, str_of("/v1/nodes"))) {
		reply_nodes_(c, req);
	} else if (str_eq(path, str_of("/v1/quarantine"))) {
		operators_reply_json(
			req, 200,
			quarantine_report_json(&c->quarantine, clock_now()),
			NULL);
	} else if (str_eq(path, str_of("/v1/upstreams"))) {
		operators_reply_json(
			req, 200,
			json_pack("{s:o}", "items",
				  sched_status(&c->sched, clock_now())),
			NULL);
	} else {
		reply_problem_(req, 404, "no such resource");
	}
}

static void on_closed_(void *ctx, http_request_t *req, bool whole)
{
	control_t *c = ctx;

	(void)whole;
	for (guint i = 0; i < c->watchers->len; i++) {
		watcher_t *w = c->watchers->pdata[i];

		if (w->req != req)
			continue;
		g_ptr_array_remove_index(c->watchers, i);
		g_free(w);
		break;
	}
	config_stream_operator_disconnected(c, req);
}
