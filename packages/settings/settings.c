#include "private/toml_shim.h"
#include <kcf/logline.h>
#include <kcf/schema.h>
#include <kcf/settings.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY_DEFAULT (4 * 1024 * 1024)
#define MAX_HEADER_DEFAULT (32 * 1024)
#define MAX_CONNECTIONS_DEFAULT 10000
#define IDLE_TIMEOUT_DEFAULT_S 60
#define HEARTBEAT_DEFAULT_MS 5000
#define PEER_BUDGET_DEFAULT 4096
#define RETENTION_DEFAULT_S 86400
#define DRAIN_DEFAULT_S 30

#define SHA256_BYTES 32

const char *const settings_err_string[] = {
	"ok",
	"cannot read the file",
	"not a TOML document",
	"settings have faults",
};

static const char *const levels[] = { "error", "warning", "notice",
				      "info",  "debug",	  NULL };

static const schema_field_t node_fields[] = {
	{ "name", SCHEMA_NAME, .required = true },
	{ "data_centre", SCHEMA_NAME, .required = true },
	{ "region", SCHEMA_NAME, .required = true },
	{ "drain_s", SCHEMA_INT, .min = 1, .max = 3600 },
	{ 0 },
};

static const schema_field_t caller_fields[] = {
	{ "listen", SCHEMA_ADDRESS, .required = true },
	{ "max_body_bytes", SCHEMA_INT, .min = 1024, .max = 1e9 },
	{ "max_header_bytes", SCHEMA_INT, .min = 4096, .max = 1e6 },
	{ "max_connections", SCHEMA_INT, .min = 1, .max = 1e6 },
	{ "idle_timeout_s", SCHEMA_INT, .min = 1, .max = 3600 },
	{ "heartbeat_ms", SCHEMA_INT, .min = 100, .max = 60000 },
	{ "tls_cert", SCHEMA_STRING, .min = 1, .max = 4096 },
	{ "tls_key", SCHEMA_STRING, .min = 1, .max = 4096 },
	{ "tls_ca", SCHEMA_STRING, .min = 1, .max = 4096 },
	{ 0 },
};

static const schema_field_t key_fields[] = {
	{ "operator", SCHEMA_NAME, .required = true },
	{ "sha256", SCHEMA_HEX, .required = true, .min = SHA256_BYTES,
	  .max = SHA256_BYTES },
	{ 0 },
};

static const schema_field_t operator_fields[] = {
	{ "listen", SCHEMA_ADDRESS, .required = true },
	{ "keys", SCHEMA_OBJECTS, .required = true, .sub = key_fields },
	{ "tls_cert", SCHEMA_STRING, .min = 1, .max = 4096 },
	{ "tls_key", SCHEMA_STRING, .min = 1, .max = 4096 },
	{ 0 },
};

static const schema_field_t peer_fields[] = {
	{ "listen", SCHEMA_ADDRESS, .required = true },
	{ "key", SCHEMA_HEX, .required = true, .min = PEER_KEY_BYTES,
	  .max = PEER_KEY_BYTES },
	{ "budget_bytes_per_s", SCHEMA_INT, .min = 1024, .max = 1e7 },
	{ "seeds", SCHEMA_STRINGS, .min = 1, .max = 64 },
	{ 0 },
};

static const schema_field_t platform_fields[] = {
	{ "log", SCHEMA_URL, .required = true },
	{ "log_retention_s", SCHEMA_INT, .min = 1, .max = 1e8 },
	{ "host_list", SCHEMA_URL, .required = true },
	{ "weight_store", SCHEMA_URL },
	{ 0 },
};

static const schema_field_t log_fields[] = {
	{ "level", SCHEMA_CHOICE, .choices = levels },
	{ 0 },
};

static const schema_field_t top_fields[] = {
	{ "node", SCHEMA_OBJECT, .required = true, .sub = node_fields },
	{ "callers", SCHEMA_OBJECT, .required = true, .sub = caller_fields },
	{ "operators", SCHEMA_OBJECT, .required = true,
	  .sub = operator_fields },
	{ "peers", SCHEMA_OBJECT, .required = true, .sub = peer_fields },
	{ "platform", SCHEMA_OBJECT, .required = true, .sub = platform_fields },
	{ "log", SCHEMA_OBJECT, .sub = log_fields },
	{ 0 },
};

static void report_(GPtrArray *faults, GPtrArray *found, const json_t *lines);
static void check_tls_pair_(const json_t *root, const char *section,
			    GPtrArray *found);
static void take_(settings_t *s, const json_t *root);

void settings_init(settings_t *s)
{
	assert(s);
	*s = (settings_t){
		.caller_max_body = MAX_BODY_DEFAULT,
		.caller_max_header = MAX_HEADER_DEFAULT,
		.caller_max_connections = MAX_CONNECTIONS_DEFAULT,
		.caller_idle_timeout_s = IDLE_TIMEOUT_DEFAULT_S,
		.caller_heartbeat_ms = HEARTBEAT_DEFAULT_MS,
		.peer_budget = PEER_BUDGET_DEFAULT,
		.log_retention_s = RETENTION_DEFAULT_S,
		.drain_s = DRAIN_DEFAULT_S,
		.log_level = LOG_INFO,
	};
	s->name = g_string_new(NULL);
	s->data_centre = g_string_new(NULL);
	s->region = g_string_new(NULL);
	s->caller_listen = g_string_new(NULL);
	s->caller_tls_cert = g_string_new(NULL);
	s->caller_tls_key = g_string_new(NULL);
	s->tls_ca = g_string_new(NULL);
	s->operator_listen = g_string_new(NULL);
	s->operator_tls_cert = g_string_new(NULL);
	s->operator_tls_key = g_string_new(NULL);
	s->operator_names = g_ptr_array_new_with_free_func(g_free);
	s->operator_hashes = g_ptr_array_new_with_free_func(g_free);
	s->peer_listen = g_string_new(NULL);
	s->peer_seeds = g_ptr_array_new_with_free_func(g_free);
	s->log_url = g_string_new(NULL);
	s->host_list_url = g_string_new(NULL);
	s->weight_store_url = g_string_new(NULL);
}

void settings_finish(settings_t *s)
{
	g_string_free(s->name, TRUE);
	g_string_free(s->data_centre, TRUE);
	g_string_free(s->region, TRUE);
	g_string_free(s->caller_listen, TRUE);
	g_string_free(s->caller_tls_cert, TRUE);
	g_string_free(s->caller_tls_key, TRUE);
	g_string_free(s->tls_ca, TRUE);
	g_string_free(s->operator_listen, TRUE);
	g_string_free(s->operator_tls_cert, TRUE);
	g_string_free(s->operator_tls_key, TRUE);
	g_ptr_array_unref(s->operator_names);
	g_ptr_array_unref(s->operator_hashes);
	g_string_free(s->peer_listen, TRUE);
	g_ptr_array_unref(s->peer_seeds);
	g_string_free(s->log_url, TRUE);
	g_string_free(s->host_list_url, TRUE);
	g_string_free(s->weight_store_url, TRUE);
}

static json_t *parse_(str_t text, json_t **lines, GPtrArray *faults)
{
	toml_shim_result_t r;
	json_t *root = NULL;

	toml_shim_parse(text.data ? text.data : "", text.len, &r);
	if (r.json) {
		root = json_loads(r.json, JSON_ALLOW_NUL, NULL);
		*lines = json_loads(r.lines, 0, NULL);
	} else {
		g_ptr_array_add(faults, g_strdup_printf("line %d: %s",
							r.error_line, r.error));
	}
	free(r.json);
	free(r.lines);
	free(r.error);
	return root;
}

json_t *settings_toml_to_json(str_t text, GPtrArray *faults)
{
	json_t *lines = NULL;
	json_t *root = parse_(text, &lines, faults);

	json_decref(lines);
	return root;
}

const char *settings_caller_scheme(const settings_t *s)
{
	return s->caller_tls_cert->len ? "https" : "http";
}

const char *settings_operator_scheme(const settings_t *s)
{
	return s->operator_tls_cert->len ? "https" : "http";
}

json_t *settings_check(str_t text, const schema_field_t *fields,
		       settings_check_fn more, GPtrArray *faults, int *err)
{
	json_t *lines = NULL;
	json_t *root = parse_(text, &lines, faults);
	GPtrArray *found;

	*err = root ? SETTINGS_OK : SETTINGS_ESYNTAX;
	if (!root)
		return NULL;
	found = schema_faults_new();
	schema_check(root, fields, "", found);
	if (more)
		more(root, found);
	if (found->len) {
		report_(faults, found, lines);
		*err = SETTINGS_EFAULTS;
		json_decref(root);
		root = NULL;
	}
	g_ptr_array_unref(found);
	json_decref(lines);
	return root;
}

static void check_tls_(const json_t *root, GPtrArray *found)
{
	check_tls_pair_(root, "callers", found);
	check_tls_pair_(root, "operators", found);
}

int settings_parse(settings_t *s, str_t text, GPtrArray *faults)
{
	int err;
	json_t *root =
		settings_check(text, top_fields, check_tls_, faults, &err);

	if (root)
		take_(s, root);
	json_decref(root);
	return err;
}

int settings_load(settings_t *s, const char *file, GPtrArray *faults)
{
	GError *error = NULL;
	gchar *text;
	gsize len;
	int err;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		g_ptr_array_add(faults, g_strdup(error->message));
		g_error_free(error);
		return SETTINGS_EREAD;
	}
	err = settings_parse(s, (str_t){ text, len }, faults);
	g_free(text);
	return err;
}

/* The line of the deepest part of a path that stands in the file. */
static json_int_t line_of_(const json_t *lines, const char *path)
{
	char *at = g_strdup(path);
	json_int_t line = 0;
	char *end;

	do {
		json_t *v = json_object_get(lines, at);

		if (v) {
			line = json_integer_value(v);
			break;
		}
		end = strrchr(at, '.');
		if (end)
			*end = '\0';
	} while (end);
	g_free(at);
	return line;
}

static void report_(GPtrArray *faults, GPtrArray *found, const json_t *lines)
{
	for (guint i = 0; i < found->len; i++) {
		const schema_fault_t *f = found->pdata[i];
		json_int_t line = line_of_(lines, f->path);
		char *text;

		if (line)
			text = g_strdup_printf("line %d: %s: %s", (int)line,
					       f->path, f->text);
		else
			text = g_strdup_printf("%s: %s", f->path, f->text);
		g_ptr_array_add(faults, text);
	}
}

static void check_tls_pair_(const json_t *root, const char *section,
			    GPtrArray *found)
{
	json_t *table = json_object_get(root, section);
	bool cert = json_object_get(table, "tls_cert");
	bool key = json_object_get(table, "tls_key");

	if (cert && !strcmp(section, "callers") &&
	    !json_object_get(table, "tls_ca"))
		schema_fault_add(found, section,
				 "tls_ca is needed, for calls between nodes");
	if (cert != key)
		schema_fault_add(found, section,
				 "tls_cert and tls_key go together");
}

static void take_string_(GString *out, const json_t *table, const char *key)
{
	json_t *v = json_object_get(table, key);

	if (v)
		g_string_assign(out, json_string_value(v));
}

static void take_int_(int64_t *out, const json_t *table, const char *key)
{
	json_t *v = json_object_get(table, key);

	if (v)
		*out = json_integer_value(v);
}

void settings_read_key(unsigned char *out, const char *hex)
{
	for (int i = 0; i < PEER_KEY_BYTES; i++)
		out[i] = (unsigned char)(g_ascii_xdigit_value(hex[2 * i]) * 16 +
					 g_ascii_xdigit_value(hex[2 * i + 1]));
}

static void take_operators_(settings_t *s, const json_t *keys)
{
	size_t i;
	json_t *key;

	g_ptr_array_set_size(s->operator_names, 0);
	g_ptr_array_set_size(s->operator_hashes, 0);
	json_array_foreach ((json_t *)keys, i, key) {
		json_t *name = json_object_get(key, "operator");
		json_t *hash = json_object_get(key, "sha256");

		g_ptr_array_add(s->operator_names,
				g_strdup(json_string_value(name)));
		g_ptr_array_add(s->operator_hashes,
				g_ascii_strdown(json_string_value(hash), -1));
	}
}

static void take_(settings_t *s, const json_t *root)
{
	json_t *node = json_object_get(root, "node");
	json_t *callers = json_object_get(root, "callers");
	json_t *operators = json_object_get(root, "operators");
	json_t *peers = json_object_get(root, "peers");
	json_t *platform = json_object_get(root, "platform");
	json_t *level;
	size_t i;
	json_t *seed;

	take_string_(s->name, node, "name");
	take_string_(s->data_centre, node, "data_centre");
	take_string_(s->region, node, "region");
	take_int_(&s->drain_s, node, "drain_s");
	take_string_(s->caller_listen, callers, "listen");
	take_int_(&s->caller_max_body, callers, "max_body_bytes");
	take_int_(&s->caller_max_header, callers, "max_header_bytes");
	take_int_(&s->caller_max_connections, callers, "max_connections");
	take_int_(&s->caller_idle_timeout_s, callers, "idle_timeout_s");
	take_int_(&s->caller_heartbeat_ms, callers, "heartbeat_ms");
	take_string_(s->caller_tls_cert, callers, "tls_cert");
	take_string_(s->caller_tls_key, callers, "tls_key");
	take_string_(s->tls_ca, callers, "tls_ca");
	take_string_(s->operator_listen, operators, "listen");
	take_string_(s->operator_tls_cert, operators, "tls_cert");
	take_string_(s->operator_tls_key, operators, "tls_key");
	take_operators_(s, json_object_get(operators, "keys"));
	take_string_(s->peer_listen, peers, "listen");
	settings_read_key(s->peer_key,
			  json_string_value(json_object_get(peers, "key")));
	take_int_(&s->peer_budget, peers, "budget_bytes_per_s");
	g_ptr_array_set_size(s->peer_seeds, 0);
	json_array_foreach (json_object_get(peers, "seeds"), i, seed)
		g_ptr_array_add(s->peer_seeds,
				g_strdup(json_string_value(seed)));
	take_string_(s->log_url, platform, "log");
	take_int_(&s->log_retention_s, platform, "log_retention_s");
	take_string_(s->host_list_url, platform, "host_list");
	take_string_(s->weight_store_url, platform, "weight_store");
	level = json_object_get(json_object_get(root, "log"), "level");
	if (level)
		s->log_level = logline_parse_level(json_string_value(level));
}
