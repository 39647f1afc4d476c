#include "private/exchange.h"
#include "private/job_header.h"
#include "private/once_key.h"
#include "private/signature.h"

#include <sodium.h>
#include <string.h>

#define URGENCY_DEFAULT 3
/* Estimates the tokens of a prompt that no engine has counted yet. */
#define BYTES_PER_TOKEN 4
#define REQUEST_ID_RANDOM_BYTES 12
#define NOT_READY_RETRY_MS 2000
#define JOB_QUERY_TIMEOUT_MS 8000

static const char chat_path[] = "/v1/chat/completions";
static const char job_path[] = "/v1/jobs/";
static const char service_path[] = "/v1/services/";

static bool is_valid_request_id_(str_t id)
{
	if (!id.len || id.len >= REQUEST_ID_MAX)
		return false;
	for (size_t i = 0; i < id.len; i++) {
		if (!g_ascii_isalnum(id.data[i]) && !strchr("-_.:", id.data[i]))
			return false;
	}
	return true;
}

static bool parse_request_id_(exchange_t *x)
{
	str_t id = http_request_header(x->req, "X-Request-Id");
	unsigned char random[REQUEST_ID_RANDOM_BYTES];

	if (!id.data) {
		randombytes_buf(random, sizeof(random));
		sodium_bin2hex(x->request_id, sizeof(x->request_id), random,
			       sizeof(random));
		return true;
	}
	if (!is_valid_request_id_(id))
		return false;
	memcpy(x->request_id, id.data, id.len);
	x->request_id[id.len] = '\0';
	return true;
}

static bool parse_service_path_(exchange_t *x, str_t path)
{
	str_t rest = str_skip(path, strlen(service_path));
	str_t query = http_request_query_string(x->req);
	size_t len = 0;

	while (len < rest.len && rest.data[len] != '/')
		len++;
	if (!len || len >= sizeof(x->service))
		return false;
	memcpy(x->service, rest.data, len);
	x->service[len] = '\0';
	x->subpath_text = g_string_new(len < rest.len ? NULL : "/");
	g_string_append_len(x->subpath_text, rest.data + len,
			    (gssize)(rest.len - len));
	x->subpath = (str_t){ x->subpath_text->str, x->subpath_text->len };
	if (query.len) {
		g_string_append_c(x->subpath_text, '?');
		g_string_append_len(x->subpath_text, query.data,
				    (gssize)query.len);
		x->subpath.data = x->subpath_text->str;
	}
	return true;
}

static filter_result_t reject_input_(exchange_t *x, unsigned int status,
				     const char *title)
{
	exchange_refuse(x, status, title, RAN_NO, COUNTER_REFUSED_INPUT, 0);
	return FILTER_DONE;
}

static filter_result_t parse_hop_(exchange_t *x)
{
	str_t text = http_request_header(x->req, HOP_HEADER);
	hop_t hop = { 0 };

	if (!text.data)
		return FILTER_NEXT;
	if (!hop_parse(x->relay->settings->peer_key, x->request_id, text, &hop))
		return reject_input_(x, 400,
				     "hop header is not signed by a node");
	exchange_post_loads(x, http_request_header(x->req, LOADS_HEADER));
	x->hop = hop.count;
	x->target = hop.target;
	x->once_hop = hop.once;
	return FILTER_NEXT;
}

filter_result_t filter_identify(exchange_t *x)
{
	str_t path = http_request_path(x->req);
	str_t method = http_request_method(x->req);
	bool is_get = str_eq(method, str_of("GET"));

	if (!parse_request_id_(x)) {
		g_strlcpy(x->request_id, "invalid", sizeof(x->request_id));
		return reject_input_(x, 400, "X-Request-Id is malformed");
	}
	if (str_eq(path, str_of("/v1/where")) && is_get) {
		x->route = ROUTE_WHERE;
	} else if (str_eq(path, str_of("/v1/models")) && is_get) {
		x->route = ROUTE_MODELS;
	} else if (str_eq(path, str_of(chat_path))) {
		x->route = ROUTE_CHAT;
		if (!str_eq(method, str_of("POST")))
			return reject_input_(x, 405, "use POST");
	} else if (str_starts_with(path, str_of(service_path))) {
		x->route = ROUTE_SERVICE;
		if (!parse_service_path_(x, path))
			return reject_input_(x, 404, "no service in the path");
	} else if (str_starts_with(path, str_of(job_path)) && is_get) {
		x->route = ROUTE_JOB;
		path = str_skip(path, strlen(job_path));
		if (!is_valid_request_id_(path) || path.len >= sizeof(x->job))
			return reject_input_(x, 404, "no such job");
		memcpy(x->job, path.data, path.len);
	} else {
		return reject_input_(x, 404, "no such resource");
	}
	return parse_hop_(x);
}

/* Authorises a node that runs a deferred job of a customer. */
static filter_result_t authorise_job_(exchange_t *x)
{
	const customer_t *customer = NULL;

	if (job_header_parse(x->relay->settings->peer_key, x->request_id,
			     http_request_header(x->req, JOB_HEADER),
			     x->customer, sizeof(x->customer)))
		customer =
			view_find(x->relay->view, KIND_CUSTOMER, x->customer);
	if (!customer) {
		exchange_refuse(x, 401, "job is not signed by a node", RAN_NO,
				COUNTER_REFUSED_AUTH, 0);
		return FILTER_DONE;
	}
	x->weight = customer->weight;
	x->job_run = true;
	return FILTER_NEXT;
}

filter_result_t filter_authorise(exchange_t *x)
{
	char hash[BEARER_HASH_SIZE];
	const customer_t *customer;

	if (x->relay->phase == PHASE_JOINING) {
		x->reason = refusal_not_ready;
		exchange_refuse(x, 503, "node is not ready", RAN_NO,
				COUNTER_REFUSED_NOT_READY, NOT_READY_RETRY_MS);
		return FILTER_DONE;
	}
	if (http_request_header(x->req, JOB_HEADER).data)
		return authorise_job_(x);
	if (!bearer_hash(x->req, hash)) {
		exchange_refuse(x, 401, "a bearer key is required", RAN_NO,
				COUNTER_REFUSED_AUTH, 0);
		return FILTER_DONE;
	}
	customer = view_customer_by_key(x->relay->view, hash);
	if (!customer) {
		exchange_refuse(x, 401, "unknown key", RAN_NO,
				COUNTER_REFUSED_AUTH, 0);
		return FILTER_DONE;
	}
	g_strlcpy(x->customer, customer->name, sizeof(x->customer));
	x->weight = customer->weight;
	return FILTER_NEXT;
}

/* The urgency in the Priority header, RFC 9218: the digit after "u=". */
static int parse_urgency_(const exchange_t *x)
{
	str_t p = http_request_header(x->req, "Priority");

	for (size_t i = 0; i + 2 < p.len; i++) {
		if (p.data[i] == 'u' && p.data[i + 1] == '=' &&
		    p.data[i + 2] >= '0' && p.data[i + 2] <= '7')
			return p.data[i + 2] - '0';
	}
	return URGENCY_DEFAULT;
}

static bool parse_deadline_(exchange_t *x, const service_t *service)
{
	str_t text = http_request_header(x->req, "X-Deadline-Ms");
	mstime_t now = clock_now();
	int64_t left;

	x->deadline = now + service->timeout_ms;
	if (!text.data)
		return true;
	if (!str_to_int(text, &left) || left <= 0)
		return false;
	x->deadline = MIN(x->deadline, now + left);
	return true;
}

static uint64_t chat_hash_(const exchange_t *x, str_t chat, const char *adapter)
{
	uint64_t h = str_hash64(str_of(x->customer), 0);

	h = str_hash64(str_of(x->service), h);
	h = str_hash64(str_of(x->model), h);
	h = str_hash64(str_of(adapter), h);
	return str_hash64(chat, h);
}

static void set_chat_(exchange_t *x, const char *adapter)
{
	str_t chat = http_request_header(x->req, "X-Chat-Id");

	x->sticky = chat.len > 0;
	if (!x->sticky)
		chat = str_of(x->request_id);
	x->chat = chat_hash_(x, chat, adapter);
}

static bool has_adapter_(const model_t *model, const char *adapter)
{
	if (!adapter[0])
		return true;
	for (guint i = 0; model->adapters && i < model->adapters->len; i++) {
		if (!strcmp(model->adapters->pdata[i], adapter))
			return true;
	}
	return false;
}

/*
 * Keys of the messages of a chat; of a long chat the first and the last ones.
 */
static void set_prompt_(exchange_t *x, const json_t *messages)
{
	size_t count = json_array_size(messages);
	size_t skipped_from = QUARANTINE_SEGMENTS_MAX / 2;
	uint64_t seed = str_hash64(str_of(x->model), 0);

	for (size_t i = 0; i < count; i++) {
		char *text;

		if (i == skipped_from && count > QUARANTINE_SEGMENTS_MAX)
			i += count - QUARANTINE_SEGMENTS_MAX;
		text = json_dumps(json_array_get(messages, i),
				  JSON_COMPACT | JSON_SORT_KEYS |
					  JSON_ENCODE_ANY);
		x->prompt.segments[x->prompt.count++] =
			str_hash64(str_of(text), seed);
		free(text);
	}
}

static filter_result_t classify_chat_(exchange_t *x)
{
	str_t body = http_request_body(x->req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "model"));
	const model_t *model = NULL;
	char **name_parts;
	filter_result_t result = FILTER_NEXT;

	if (!json_is_object(root) ||
	    !json_is_array(json_object_get(root, "messages"))) {
		json_decref(root);
		return reject_input_(
			x, 400, "body must be JSON with a list of messages");
	}
	name_parts = g_strsplit(name ? name : "", ":", 2);
	if (name_parts[0] && strlen(name_parts[0]) < sizeof(x->model))
		model = view_find(x->relay->view, KIND_MODEL, name_parts[0]);
	if (!model) {
		result = reject_input_(x, 404, "unknown model");
	} else if (!has_adapter_(model, name_parts[1] ? name_parts[1] : "")) {
		result = reject_input_(x, 404, "unknown adapter");
	} else if (!model->service) {
		result = reject_input_(x, 404, "model has no service");
	} else {
		g_strlcpy(x->model, model->name, sizeof(x->model));
		g_strlcpy(x->service, model->service->name, sizeof(x->service));
		x->wants_stream = json_is_true(json_object_get(root, "stream"));
		x->prompt_tokens = (int64_t)body.len / BYTES_PER_TOKEN + 1;
		set_chat_(x, name_parts[1] ? name_parts[1] : "");
		set_prompt_(x, json_object_get(root, "messages"));
	}
	g_strfreev(name_parts);
	json_decref(root);
	return result;
}

static filter_result_t reply_models_(exchange_t *x)
{
	json_t *list = json_array();

	for (guint i = 0; i < x->relay->view->models->len; i++) {
		const model_t *m = x->relay->view->models->pdata[i];

		json_array_append_new(list,
				      json_pack("{s:s,s:s,s:s}", "id", m->name,
						"object", "model", "owned_by",
						"kingcupfork"));
	}
	exchange_reply_json(
		x, 200, json_pack("{s:s,s:o}", "object", "list", "data", list));
	return FILTER_DONE;
}

static filter_result_t query_where_(exchange_t *x)
{
	str_t service = http_request_query(x->req, "service");
	str_t chat = http_request_query(x->req, "chat");
	message_t *m;

	if (!service.len || service.len >= sizeof(x->service))
		return reject_input_(x, 400, "service is required");
	memcpy(x->service, service.data, service.len);
	if (!view_find(x->relay->view, KIND_SERVICE, x->service))
		return reject_input_(x, 404, "unknown service");
	m = message_new(MSG_WHERE);
	m->where.id = x->id;
	g_strlcpy(m->where.service, x->service, sizeof(m->where.service));
	if (chat.len) {
		str_t model = http_request_query(x->req, "model");
		char **name_parts =
			g_strsplit(model.len ? model.data : "", ":", 2);

		if (name_parts[0])
			g_strlcpy(x->model, name_parts[0], sizeof(x->model));
		m->where.chat = chat_hash_(
			x, chat,
			name_parts[0] && name_parts[1] ? name_parts[1] : "");
		g_strfreev(name_parts);
	}
	task_post(x->relay->control, m);
	return FILTER_WAIT;
}

static filter_result_t query_job_(exchange_t *x)
{
	message_t *m = message_new(MSG_JOB_QUERY);

	m->job_query.id = x->id;
	m->job_query.answer_here = x->once_hop == HOP_ONCE_RESOLVE_HERE;
	g_strlcpy(m->job_query.job, x->job, sizeof(m->job_query.job));
	g_strlcpy(m->job_query.customer, x->customer,
		  sizeof(m->job_query.customer));
	x->deadline = clock_now() + JOB_QUERY_TIMEOUT_MS;
	x->echoes_request_id = true;
	task_post(x->relay->control, m);
	return FILTER_WAIT;
}

/* Key of all that a caller repeats when it sends a request again. */
static uint64_t fingerprint_(const exchange_t *x)
{
	uint64_t hash = str_hash64(http_request_method(x->req), 0);

	hash = str_hash64(http_request_path(x->req), hash);
	hash = str_hash64(str_of(x->customer), hash);
	return str_hash64(http_request_body(x->req), hash) | 1;
}

filter_result_t filter_classify(exchange_t *x)
{
	const service_t *service;
	str_t path = x->subpath;
	const char *query_start;
	filter_result_t result;

	if (x->route == ROUTE_MODELS)
		return reply_models_(x);
	if (x->route == ROUTE_WHERE)
		return query_where_(x);
	if (x->route == ROUTE_JOB)
		return query_job_(x);
	if (x->route == ROUTE_CHAT) {
		result = classify_chat_(x);
		if (result != FILTER_NEXT)
			return result;
	}
	service = view_find(x->relay->view, KIND_SERVICE, x->service);
	if (!service)
		return reject_input_(x, 404, "unknown service");
	if (!customer_may_use(
		    view_find(x->relay->view, KIND_CUSTOMER, x->customer),
		    service)) {
		exchange_refuse(x, 403, "service is not open to this customer",
				RAN_NO, COUNTER_REFUSED_AUTH, 0);
		return FILTER_DONE;
	}
	if (!parse_deadline_(x, service))
		return reject_input_(x, 400, "X-Deadline-Ms is malformed");
	if (x->route == ROUTE_SERVICE) {
		set_chat_(x, "");
		query_start = memchr(path.data, '?', path.len);
		if (query_start)
			path.len = (size_t)(query_start - path.data);
	} else {
		path = http_request_path(x->req);
	}
	x->prompt.request = fingerprint_(x);
	x->run_once =
		service_runs_once(service, http_request_method(x->req), path);
	x->echoes_request_id = service->echoes_request_id;
	x->gap_ms = service->gap_ms;
	x->urgency = parse_urgency_(x);
	str_to_int(http_request_header(x->req, "Last-Event-ID"),
		   &x->last_event_id);
	return FILTER_NEXT;
}

static bool prefers_async_(const exchange_t *x)
{
	str_t prefer = http_request_header(x->req, "Prefer");

	return str_starts_with(prefer, str_of("respond-async"));
}

filter_result_t filter_defer(exchange_t *x)
{
	str_t path = http_request_path(x->req);
	str_t query = http_request_query_string(x->req);
	str_t body = http_request_body(x->req);
	message_t *m;
	job_submit_t *s;

	if (x->job_run || x->hop > 0 || !prefers_async_(x))
		return FILTER_NEXT;
	if (!g_utf8_validate(body.data ? body.data : "", (gssize)body.len,
			     NULL))
		return reject_input_(x, 400, "body of a job must be UTF-8");
	if (x->wants_stream)
		return reject_input_(x, 400, "a job's answer is not streamed");
	m = message_new(MSG_JOB_SUBMIT);
	s = &m->job_submit;
	s->id = x->id;
	g_snprintf(s->job, sizeof(s->job), "job-%s", x->request_id);
	g_strlcpy(s->customer, x->customer, sizeof(s->customer));
	s->method = str_dup(http_request_method(x->req));
	s->path = g_strdup_printf("%.*s%s%.*s", (int)path.len, path.data,
				  query.len ? "?" : "", (int)query.len,
				  query.len ? query.data : "");
	s->body = str_dup(body);
	s->chat = str_dup(http_request_header(x->req, "X-Chat-Id"));
	s->once_key = str_dup(http_request_header(x->req, "Idempotency-Key"));
	task_post(x->relay->control, m);
	return FILTER_WAIT;
}

filter_result_t filter_once(exchange_t *x)
{
	str_t key = http_request_header(x->req, "Idempotency-Key");
	message_t *m;

	if (!x->run_once || x->once_hop == HOP_ONCE_CLAIMED)
		return FILTER_NEXT;
	if (!key.len)
		return reject_input_(x, 400,
				     "this call needs an Idempotency-Key");
	if (!once_key_is_valid(key))
		return reject_input_(
			x, 400,
			"Idempotency-Key must be a key given by "
			"/v1/where or <unix seconds>-<unique text>");
	if (!once_key_scope(x->customer, x->service, key, x->once_key,
			    sizeof(x->once_key)))
		return reject_input_(x, 400, "Idempotency-Key is too long");
	m = message_new(MSG_ONCE_BEGIN);
	m->once.id = x->id;
	m->once.resolve_here = x->once_hop == HOP_ONCE_RESOLVE_HERE;
	g_strlcpy(m->once.key, x->once_key, sizeof(m->once.key));
	task_post(x->relay->control, m);
	return FILTER_WAIT;
}

filter_result_t filter_place(exchange_t *x)
{
	exchange_request_placement(x);
	return FILTER_WAIT;
}
