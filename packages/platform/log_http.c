#include <kcf/platform.h>

#include <jansson.h>

#define APPEND_TIMEOUT_MS 3000
#define READ_GRACE_MS 3000

typedef struct append_call {
	log_append_fn fn;
	void *arg;
} append_call_t;

typedef struct read_call {
	log_read_fn fn;
	void *arg;
} read_call_t;

const char *const log_err_string[] = {
	"ok",
	"not appended",
	"may have been appended",
	"log cannot be read",
	"malformed response",
};

static int append_err_of_(int err, int status)
{
	if (http_unsent(err))
		return LOG_EREFUSED;
	if (err != HTTP_OK)
		return LOG_EUNKNOWN;
	if (status == 200)
		return LOG_OK;
	/* With these statuses the log refuses before it appends. */
	return status == 429 || status == 503 || status / 100 == 4
		       ? LOG_EREFUSED
		       : LOG_EUNKNOWN;
}

static void on_appended_(void *ctx, http_call_t *call, int http, int status)
{
	append_call_t *a = ctx;
	int err = append_err_of_(http, status);
	json_int_t offset = 0;
	str_t body = http_call_body(call);
	json_t *root = NULL;

	if (err == LOG_OK) {
		root = json_loadb(body.data, body.len, 0, NULL);
		if (json_unpack(root, "{s:I}", "offset", &offset) != 0)
			err = LOG_EUNKNOWN;
		json_decref(root);
	}
	a->fn(a->arg, err, (uint64_t)offset);
	g_free(a);
}

static const http_call_ops_t append_ops = { .done = on_appended_ };

static void append_(log_client_t *l, const char *stream, str_t record,
		    log_append_fn fn, void *arg)
{
	append_call_t *a = g_new0(append_call_t, 1);
	char *url = g_strdup_printf("%s/streams/%s", l->url, stream);
	http_call_spec_t spec = {
		.method = "POST",
		.url = url,
		.body = record,
		.deadline = clock_now() + APPEND_TIMEOUT_MS,
		/* A transparent resend on a pooled connection appends twice. */
		.fresh = true,
	};

	a->fn = fn;
	a->arg = arg;
	http_call_start(l->http, &spec, &append_ops, a);
	g_free(url);
}

static bool parse_records_(const json_t *list, log_record_t *records)
{
	size_t i;
	json_t *o;

	json_array_foreach ((json_t *)list, i, o) {
		json_int_t offset;
		json_int_t at;
		const char *body;
		size_t len;

		if (json_unpack(o, "{s:I,s:I,s:s%}", "offset", &offset, "at",
				&at, "body", &body, &len) != 0)
			return false;
		records[i] =
			(log_record_t){ (uint64_t)offset, at, { body, len } };
	}
	return true;
}

static void on_read_(void *ctx, http_call_t *call, int http, int status)
{
	read_call_t *r = ctx;
	str_t body = http_call_body(call);
	log_batch_t batch = { 0 };
	log_record_t *records = NULL;
	json_int_t first;
	json_int_t next;
	json_t *root = NULL;
	json_t *list;
	int err = LOG_EDOWN;

	if (http == HTTP_OK && status == 200) {
		err = LOG_EBAD;
		root = json_loadb(body.data, body.len, 0, NULL);
		if (json_unpack(root, "{s:I,s:I,s:o}", "first", &first, "next",
				&next, "records", &list) == 0) {
			records = g_new0(log_record_t, json_array_size(list));
			if (parse_records_(list, records))
				err = LOG_OK;
			batch.first_offset = (uint64_t)first;
			batch.next_offset = (uint64_t)next;
			batch.records = records;
			batch.count = json_array_size(list);
		}
	}
	r->fn(r->arg, err, err == LOG_OK ? &batch : NULL);
	g_free(records);
	json_decref(root);
	g_free(r);
}

static const http_call_ops_t read_ops = { .done = on_read_ };

static void read_(log_client_t *l, const char *stream, uint64_t from,
		  mstime_t wait_ms, log_read_fn fn, void *arg)
{
	read_call_t *r = g_new0(read_call_t, 1);
	char *url =
		g_strdup_printf("%s/streams/%s?from=%" G_GUINT64_FORMAT
				"&wait_ms=%" G_GINT64_FORMAT "&max=%d",
				l->url, stream, from, wait_ms, LOG_READ_MAX);
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.deadline = clock_now() + wait_ms + READ_GRACE_MS,
	};

	r->fn = fn;
	r->arg = arg;
	http_call_start(l->http, &spec, &read_ops, r);
	g_free(url);
}

const log_client_ops_t log_http_ops = { append_, read_ };
