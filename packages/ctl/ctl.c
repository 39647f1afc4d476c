#include "private/ctl.h"

#include <ev.h>
#include <stdio.h>
#include <string.h>

#define COLUMN_MAX 60

typedef struct pending {
	ctl_t *ctl;
	ctl_reply_t *reply;
	void (*stream)(str_t data);
} pending_t;

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	pending_t *p = ctx;

	(void)call;
	if (p->stream)
		p->stream(data);
	else
		g_string_append_len(p->reply->body, data.data,
				    (gssize)data.len);
}

static void take_header_(GString *out, http_call_t *call, const char *name)
{
	str_t v = http_call_header(call, name);

	g_string_append_len(out, v.data ? v.data : "", (gssize)v.len);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	pending_t *p = ctx;

	p->reply->err = err;
	p->reply->status = status;
	p->reply->done = true;
	take_header_(p->reply->etag, call, "ETag");
	take_header_(p->reply->request_id, call, "X-Request-Id");
	ev_break(p->ctl->loop, EVBREAK_ALL);
}

static const http_call_ops_t call_ops = { .data = on_data_, .done = on_done_ };

void ctl_reply_init(ctl_reply_t *r)
{
	*r = (ctl_reply_t){ 0 };
	r->body = g_string_new(NULL);
	r->etag = g_string_new(NULL);
	r->request_id = g_string_new(NULL);
}

void ctl_reply_finish(ctl_reply_t *r)
{
	g_string_free(r->body, TRUE);
	g_string_free(r->etag, TRUE);
	g_string_free(r->request_id, TRUE);
}

void ctl_call(ctl_t *c, const char *address, const char *method,
	      const char *path, const char *const *headers, str_t body,
	      void (*stream)(str_t data), ctl_reply_t *reply)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	char *url = g_strdup_printf("%s%s%s",
				    strstr(address, "://") ? "" : "http://",
				    address, path);
	pending_t p = { c, reply, stream };
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.body = body,
		.deadline = MSTIME_NEVER,
	};

	g_ptr_array_add(lines, g_strdup_printf("Authorization: Bearer %s",
					       c->key ? c->key : ""));
	for (const char *const *h = headers; h && *h; h++)
		g_ptr_array_add(lines, g_strdup(*h));
	g_ptr_array_add(lines, NULL);
	spec.headers = (const char *const *)lines->pdata;
	http_call_start(&c->http, &spec, &call_ops, &p);
	while (!reply->done)
		ev_run(c->loop, 0);
	g_ptr_array_unref(lines);
	g_free(url);
}

static void print_faults_(const json_t *body)
{
	size_t i;
	json_t *f;

	json_array_foreach (json_object_get(body, "faults"), i, f)
		fprintf(stderr, "  %s: %s\n",
			json_string_value(json_object_get(f, "field")),
			json_string_value(json_object_get(f, "fault")));
}

ctl_exit_t ctl_complain(const ctl_reply_t *r, const char *what)
{
	json_t *body;
	const char *title;
	json_t *winner;

	if (r->err) {
		fprintf(stderr, "kcfctl: %s: %s\n", what,
			http_err_string[-r->err]);
		return CTL_UNREACHABLE;
	}
	if (r->status < 400)
		return CTL_FINE;
	body = json_loadb(r->body->str, r->body->len, 0, NULL);
	title = json_string_value(json_object_get(body, "title"));
	fprintf(stderr, "kcfctl: %s: %d %s\n", what, r->status,
		title ? title : "");
	print_faults_(body);
	winner = json_object_get(body, "winner");
	if (json_is_object(winner))
		fprintf(stderr, "  version %lld by %s is in force\n",
			(long long)json_integer_value(
				json_object_get(winner, "version")),
			json_string_value(json_object_get(winner, "operator")));
	json_decref(body);
	if (r->status == 404)
		return CTL_NOT_FOUND;
	return r->status == 409 || r->status == 412 ? CTL_CONFLICT : CTL_FAILED;
}

static char *cell_(const json_t *item, const char *column)
{
	json_t *v = json_object_get(item, column);
	char *text;
	char *copy;

	if (json_is_string(v))
		return g_strndup(json_string_value(v), COLUMN_MAX);
	if (!v)
		return g_strdup("");
	text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
	copy = g_strndup(text, COLUMN_MAX);
	free(text);
	return copy;
}

static void print_table_(const json_t *items, const char *const *columns)
{
	size_t n = 0;
	size_t width[16] = { 0 };
	size_t i;
	json_t *item;

	while (columns[n])
		n++;
	for (size_t col = 0; col < n; col++) {
		width[col] = strlen(columns[col]);
		json_array_foreach ((json_t *)items, i, item) {
			char *cell = cell_(item, columns[col]);

			width[col] = MAX(width[col], strlen(cell));
			g_free(cell);
		}
		printf("%-*s  ", (int)width[col], columns[col]);
	}
	printf("\n");
	json_array_foreach ((json_t *)items, i, item) {
		for (size_t col = 0; col < n; col++) {
			char *cell = cell_(item, columns[col]);

			printf("%-*s  ", (int)width[col], cell);
			g_free(cell);
		}
		printf("\n");
	}
}

void ctl_print(const ctl_t *c, const ctl_reply_t *r, const char *const *columns)
{
	json_t *body = json_loadb(r->body->str, r->body->len, 0, NULL);
	json_t *items = json_object_get(body, "items");

	if (c->json || !body) {
		printf("%s\n", r->body->str);
	} else if (items) {
		print_table_(items, columns);
	} else {
		json_t *one = json_pack("[O]", body);

		print_table_(one, columns);
		json_decref(one);
	}
	json_decref(body);
}

bool ctl_options(const char *command, const GOptionEntry *entries, int argc,
		 char **argv, const char **word)
{
	GOptionContext *context = g_option_context_new(command);
	GError *error = NULL;
	/* GLib expects the program's name first. */
	char **args = g_new0(char *, (gsize)argc + 2);
	int n = argc + 1;
	bool ok;

	args[0] = (char *)command;
	for (int i = 0; i < argc; i++)
		args[i + 1] = argv[i];
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &n, &args, &error);
	if (!ok) {
		fprintf(stderr, "kcfctl: %s\n", error->message);
		g_error_free(error);
	}
	*word = ok && n > 1 ? args[1] : NULL;
	g_option_context_free(context);
	g_free(args);
	return ok;
}
