#include "private/ctl.h"

#include <kcf/resource.h>
#include <kcf/settings.h>
#include <stdio.h>
#include <string.h>

static const char *const columns[] = { "kind",	   "name", "version",
				       "operator", "body", NULL };

static ctl_exit_t usage_(const char *text)
{
	fprintf(stderr, "usage: kcfctl %s\n", text);
	return CTL_USAGE;
}

static bool kind_ok_(const char *kind)
{
	if (resource_kind_of(str_of(kind)) != KIND_COUNT)
		return true;
	fprintf(stderr, "kcfctl: unknown kind %s; kinds are", kind);
	for (int k = 0; k < KIND_COUNT; k++)
		fprintf(stderr, " %s", resource_kind_string[k]);
	fprintf(stderr, "\n");
	return false;
}

static ctl_exit_t show_(ctl_t *c, const char *path, const char *const *cols)
{
	ctl_reply_t r;
	ctl_exit_t status;

	ctl_reply_init(&r);
	ctl_call(c, c->operators, "GET", path, NULL, STR_NONE, NULL, &r);
	status = ctl_complain(&r, path);
	if (status == CTL_FINE)
		ctl_print(c, &r, cols);
	ctl_reply_finish(&r);
	return status;
}

ctl_exit_t cmd_get(ctl_t *c, int argc, char **argv)
{
	char *path;
	ctl_exit_t status;

	if (argc < 1 || argc > 2)
		return usage_("get KIND [NAME]");
	if (!kind_ok_(argv[0]))
		return CTL_USAGE;
	path = g_strdup_printf("/v1/resources/%s%s%s", argv[0],
			       argc == 2 ? "/" : "", argc == 2 ? argv[1] : "");
	status = show_(c, path, columns);
	g_free(path);
	return status;
}

ctl_exit_t cmd_status(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "version", "in_force_on", "of",
					    "lagging", NULL };
	char *path;
	ctl_exit_t status;

	if (argc != 2)
		return usage_("status KIND NAME");
	if (!kind_ok_(argv[0]))
		return CTL_USAGE;
	path = g_strdup_printf("/v1/resources/%s/%s/status", argv[0], argv[1]);
	status = show_(c, path, cols);
	g_free(path);
	return status;
}

ctl_exit_t cmd_delete(ctl_t *c, int argc, char **argv)
{
	char *path;
	char *reason;
	const char *headers[] = { NULL, NULL };
	ctl_reply_t r;
	ctl_exit_t status;

	if (argc != 2)
		return usage_("delete KIND NAME");
	if (!kind_ok_(argv[0]))
		return CTL_USAGE;
	path = g_strdup_printf("/v1/resources/%s/%s", argv[0], argv[1]);
	reason = g_strdup_printf("X-Reason: %s", c->reason ? c->reason : "");
	headers[0] = reason;
	ctl_reply_init(&r);
	ctl_call(c, c->operators, "DELETE", path, headers, STR_NONE, NULL, &r);
	status = ctl_complain(&r, path);
	if (status == CTL_FINE)
		printf("%s/%s deleted\n", argv[0], argv[1]);
	ctl_reply_finish(&r);
	g_free(reason);
	g_free(path);
	return status;
}

static void print_piece_(str_t data)
{
	fwrite(data.data, 1, data.len, stdout);
	fflush(stdout);
}

ctl_exit_t cmd_watch(ctl_t *c, int argc, char **argv)
{
	char *path;
	ctl_reply_t r;
	ctl_exit_t status;

	if (argc < 1 || argc > 2)
		return usage_("watch KIND [FROM-VERSION]");
	if (!kind_ok_(argv[0]))
		return CTL_USAGE;
	path = g_strdup_printf("/v1/resources/%s?watch=1&from=%s", argv[0],
			       argc == 2 ? argv[1] : "0");
	ctl_reply_init(&r);
	ctl_call(c, c->operators, "GET", path, NULL, STR_NONE, print_piece_,
		 &r);
	status = ctl_complain(&r, path);
	ctl_reply_finish(&r);
	g_free(path);
	return status;
}

/* Present resource, or NULL when there is none. */
static ctl_exit_t fetch_(ctl_t *c, const char *path, json_t **out)
{
	ctl_reply_t r;
	ctl_exit_t status = CTL_FINE;

	*out = NULL;
	ctl_reply_init(&r);
	ctl_call(c, c->operators, "GET", path, NULL, STR_NONE, NULL, &r);
	if (r.err || r.status != 404)
		status = ctl_complain(&r, path);
	if (!r.err && r.status == 200)
		*out = json_loadb(r.body->str, r.body->len, 0, NULL);
	ctl_reply_finish(&r);
	return status;
}

static ctl_exit_t put_(ctl_t *c, const char *path, const json_t *body,
		       const json_t *present)
{
	json_int_t base =
		json_integer_value(json_object_get(present, "version"));
	char *match = g_strdup_printf("If-Match: \"%lld\"", (long long)base);
	char *reason =
		g_strdup_printf("X-Reason: %s", c->reason ? c->reason : "");
	const char *headers[] = { reason, base ? match : NULL, NULL };
	char *text = json_dumps(body, JSON_COMPACT);
	ctl_reply_t r;
	ctl_exit_t status;

	ctl_reply_init(&r);
	ctl_call(c, c->operators, "PUT", path, headers, str_of(text), NULL, &r);
	status = ctl_complain(&r, path);
	ctl_reply_finish(&r);
	free(text);
	g_free(match);
	g_free(reason);
	return status;
}

static ctl_exit_t apply_one_(ctl_t *c, const json_t *o)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));
	const char *name = json_string_value(json_object_get(o, "name"));
	json_t *body = json_object_get(o, "body");
	json_t *present;
	char *path;
	ctl_exit_t status;
	const char *what = "unchanged";

	if (!kind || !name || !json_is_object(body)) {
		fprintf(stderr, "kcfctl: an entry needs kind, name and body\n");
		return CTL_USAGE;
	}
	if (!kind_ok_(kind))
		return CTL_USAGE;
	path = g_strdup_printf("/v1/resources/%s/%s", kind, name);
	status = fetch_(c, path, &present);
	if (status == CTL_FINE &&
	    !json_equal(body, json_object_get(present, "body"))) {
		what = present ? "changed" : "created";
		status = put_(c, path, body, present);
	}
	if (status == CTL_FINE)
		printf("%s/%s %s\n", kind, name, what);
	json_decref(present);
	g_free(path);
	return status;
}

static json_t *load_file_(const char *file)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	gchar *text;
	gsize len;
	json_t *root = NULL;
	json_error_t error;

	if (!g_file_get_contents(file, &text, &len, NULL)) {
		fprintf(stderr, "kcfctl: cannot read %s\n", file);
	} else if (g_str_has_suffix(file, ".toml")) {
		root = settings_toml_to_json((str_t){ text, len }, faults);
		for (guint i = 0; i < faults->len; i++)
			fprintf(stderr, "%s: %s\n", file,
				(char *)faults->pdata[i]);
		g_free(text);
	} else {
		root = json_loadb(text, len, 0, &error);
		if (!root)
			fprintf(stderr, "%s: line %d: %s\n", file, error.line,
				error.text);
		g_free(text);
	}
	g_ptr_array_unref(faults);
	return root;
}

static ctl_exit_t apply_file_(ctl_t *c, const char *file)
{
	json_t *root = load_file_(file);
	json_t *list = json_object_get(root, "resource");
	ctl_exit_t worst = CTL_FINE;
	size_t i;
	json_t *o;

	if (!root)
		return CTL_USAGE;
	if (!list) {
		worst = apply_one_(c, root);
	} else {
		json_array_foreach (list, i, o) {
			ctl_exit_t status = apply_one_(c, o);

			worst = worst ? worst : status;
		}
	}
	json_decref(root);
	return worst;
}

ctl_exit_t cmd_apply(ctl_t *c, int argc, char **argv)
{
	ctl_exit_t worst = CTL_FINE;

	if (argc < 1)
		return usage_("apply FILE...");
	for (int i = 0; i < argc; i++) {
		ctl_exit_t status = apply_file_(c, argv[i]);

		worst = worst ? worst : status;
	}
	return worst;
}

ctl_exit_t cmd_audit(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "offset", "verdict", "operator",
					    "kind",   "name",	 "reason",
					    "before", "after",	 NULL };
	char *path =
		g_strdup_printf("/v1/audit?from=%s", argc > 0 ? argv[0] : "0");
	ctl_exit_t status = show_(c, path, cols);

	g_free(path);
	return status;
}

ctl_exit_t cmd_nodes(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "name",	   "state",
					    "data_centre", "callers",
					    "operators",   "applied",
					    NULL };

	(void)argc;
	(void)argv;
	return show_(c, "/v1/nodes", cols);
}

ctl_exit_t cmd_upstreams(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = {
		"upstream", "service", "owner",	 "alive",   "outstanding",
		"foreign",  "limit",   "weight", "waiting", NULL
	};

	(void)argc;
	(void)argv;
	return show_(c, "/v1/upstreams", cols);
}

ctl_exit_t cmd_holds(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "segments", "crashes",
					    "last_crash_age_ms", "hold_ms",
					    NULL };

	(void)argc;
	(void)argv;
	return show_(c, "/v1/quarantine", cols);
}

ctl_exit_t cmd_rollouts(ctl_t *c, int argc, char **argv)
{
	static const char *const cols[] = { "service",	"to",	  "phase",
					    "share",	"age_ms", "deciding",
					    "recorded", "old",	  "new",
					    "reason",	NULL };

	(void)argc;
	(void)argv;
	return show_(c, "/v1/rollouts", cols);
}

/* Asks one node; false when it does not know the request. */
static bool explain_at_(ctl_t *c, const char *address, const char *path)
{
	ctl_reply_t r;
	json_t *body;
	size_t i;
	json_t *step;
	bool found;

	ctl_reply_init(&r);
	ctl_call(c, address, "GET", path, NULL, STR_NONE, NULL, &r);
	found = !r.err && r.status == 200;
	body = found ? json_loadb(r.body->str, r.body->len, 0, NULL) : NULL;
	if (found && c->json)
		printf("%s\n", r.body->str);
	if (found && !c->json)
		printf("at %s:\n",
		       json_string_value(json_object_get(body, "node")));
	if (!c->json)
		json_array_foreach (json_object_get(body, "steps"), i, step)
			printf("  %s\n", json_string_value(step));
	json_decref(body);
	ctl_reply_finish(&r);
	return found;
}

ctl_exit_t cmd_explain(ctl_t *c, int argc, char **argv)
{
	ctl_reply_t r;
	ctl_exit_t status;
	json_t *body;
	size_t i;
	json_t *node;
	char *path;
	bool found = false;

	if (argc != 1)
		return usage_("explain REQUEST-ID");
	ctl_reply_init(&r);
	ctl_call(c, c->operators, "GET", "/v1/nodes", NULL, STR_NONE, NULL, &r);
	status = ctl_complain(&r, "nodes");
	body = json_loadb(r.body->str, r.body->len, 0, NULL);
	path = g_strdup_printf("/v1/explain/%s", argv[0]);
	json_array_foreach (json_object_get(body, "items"), i, node) {
		const char *state =
			json_string_value(json_object_get(node, "state"));
		const char *address =
			json_string_value(json_object_get(node, "operators"));

		if (status || !address || !g_strcmp0(state, "dead"))
			continue;
		found = explain_at_(c, address, path) || found;
	}
	if (status == CTL_FINE && !found) {
		fprintf(stderr, "kcfctl: no node knows request %s\n", argv[0]);
		status = CTL_NOT_FOUND;
	}
	g_free(path);
	json_decref(body);
	ctl_reply_finish(&r);
	return status;
}
