#include "private/ctl.h"

#include <stdio.h>
#include <string.h>

static ctl_exit_t usage_(const char *text)
{
	fprintf(stderr, "usage: kcfctl %s\n", text);
	return CTL_USAGE;
}

ctl_exit_t cmd_where(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "addresses", "valid_ms", "key",
					    NULL };
	char *path;
	ctl_reply_t r;
	ctl_exit_t status;

	if (argc < 1 || argc > 3)
		return usage_("where SERVICE [CHAT [MODEL]]");
	path = g_strdup_printf(
		"/v1/where?service=%s%s%s%s%s", argv[0],
		argc > 1 ? "&chat=" : "", argc > 1 ? argv[1] : "",
		argc > 2 ? "&model=" : "", argc > 2 ? argv[2] : "");
	ctl_reply_init(&r);
	ctl_call(c, c->callers, "GET", path, NULL, STR_NONE, NULL, &r);
	status = ctl_complain(&r, path);
	if (status == CTL_FINE)
		ctl_print(c, &r, cols);
	ctl_reply_finish(&r);
	g_free(path);
	return status;
}

static char *body_(const char *model, const char *text)
{
	json_t *o = json_pack("{s:s,s:[{s:s,s:s}]}", "model", model, "messages",
			      "role", "user", "content", text);
	char *dump = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return dump;
}

static void print_answer_(const ctl_t *c, const ctl_reply_t *r)
{
	json_t *body = json_loadb(r->body->str, r->body->len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
	const char *text = json_string_value(
		json_object_get(json_object_get(choice, "message"), "content"));

	if (c->json || !text)
		printf("%s\n", r->body->str);
	else
		printf("%s\n", text);
	fprintf(stderr, "request %s\n", r->request_id->str);
	json_decref(body);
}

ctl_exit_t cmd_send(ctl_t *c, int argc, char **argv)
{
	char *body;
	char *chat;
	const char *headers[] = { "Content-Type: application/json", NULL,
				  NULL };
	ctl_reply_t r;
	ctl_exit_t status;

	if (argc < 2 || argc > 3)
		return usage_("send MODEL TEXT [CHAT]");
	body = body_(argv[0], argv[1]);
	chat = g_strdup_printf("X-Chat-Id: %s", argc > 2 ? argv[2] : "");
	if (argc > 2)
		headers[1] = chat;
	ctl_reply_init(&r);
	ctl_call(c, c->callers, "POST", "/v1/chat/completions", headers,
		 str_of(body), NULL, &r);
	status = ctl_complain(&r, "send");
	if (status == CTL_FINE)
		print_answer_(c, &r);
	ctl_reply_finish(&r);
	g_free(chat);
	free(body);
	return status;
}
