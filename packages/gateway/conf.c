#include <kcf/gateway.h>

#include <kcf/address.h>
#include <kcf/logline.h>
#include <string.h>

/* Margin between the last response and a forced kill. */
#define STOP_MARGIN_MS 800
/* Longest time for which callers may cache a directory response. */
#define DIRECTORY_TTL_MAX_DEFAULT_MS 5000
/* Limits of [bounds] on the smallest deployments. */
#define APPLY_LIMIT_DEFAULT_MS 2000
/* Request and response headers share one block of memory. */
#define MAX_HEADER_DEFAULT_BYTES (32 * 1024)
#define MAX_BODY_DEFAULT_BYTES (4 * 1024 * 1024)
/* Descriptors for files, connections to upstreams and peers. */
#define DESCRIPTORS_RESERVED 1200
#define DESCRIPTORS_DEFAULT 4096
#define BYTES_PER_MB (1024 * 1024)

static const char *const levels[] = { "error", "warning", "notice",
				      "info",  "debug",	  NULL };

static const schema_field_t node_fields[] = {
	{ "name", SCHEMA_STRING, .required = true, .min = 1, .max = 63 },
	{ "data_centre", SCHEMA_STRING, .required = true, .min = 1, .max = 63 },
	{ "region", SCHEMA_STRING, .required = true, .min = 1, .max = 63 },
	{ "stop_s", SCHEMA_REAL, .min = 1, .max = 3600 },
	{ "memory_mb", SCHEMA_REAL, .min = 0, .max = 1e6 },
	{ "max_descriptors", SCHEMA_INT, .min = 1500, .max = 1e7 },
	{ 0 },
};

static const schema_field_t listen_fields[] = {
	{ "callers", SCHEMA_ADDRESS, .required = true },
	{ "readiness", SCHEMA_ADDRESS, .required = true },
	{ "directory", SCHEMA_ADDRESS, .required = true },
	{ "admin", SCHEMA_ADDRESS, .required = true },
	{ "metrics", SCHEMA_ADDRESS },
	{ "peers", SCHEMA_ADDRESS, .required = true },
	{ 0 },
};

static const schema_field_t peer_fields[] = {
	{ "key", SCHEMA_HEX, .required = true, .min = PEER_KEY_BYTES,
	  .max = PEER_KEY_BYTES },
	{ "seeds", SCHEMA_STRINGS, .min = 0, .max = 64 },
	{ 0 },
};

static const schema_field_t store_fields[] = {
	{ "address", SCHEMA_ADDRESS, .required = true },
	{ 0 },
};

static const schema_field_t directory_fields[] = {
	{ "ttl_max_s", SCHEMA_REAL, .min = 0.5, .max = 3600 },
	{ 0 },
};

static const schema_field_t bound_fields[] = {
	{ "leave_ms", SCHEMA_INT, .min = 100, .max = 600000 },
	{ "config_ms", SCHEMA_INT, .min = 100, .max = 600000 },
	{ 0 },
};

static const schema_field_t retry_fields[] = {
	{ "ratio", SCHEMA_REAL, .required = true, .min = 0, .max = 10 },
	{ "burst", SCHEMA_REAL, .required = true, .min = 0, .max = 1e6 },
	{ "window_s", SCHEMA_REAL, .required = true, .min = 0.1, .max = 3600 },
	{ 0 },
};

static const schema_field_t rollout_fields[] = {
	{ "share", SCHEMA_REAL, .min = 0, .max = 1 },
	{ "tolerance", SCHEMA_INT, .min = 0, .max = 1000000 },
	{ "rollback_ms", SCHEMA_INT, .min = 100, .max = 600000 },
	{ 0 },
};

static const schema_field_t placement_fields[] = {
	{ "choice", SCHEMA_CHOICE, .choices = placement_string },
	{ "admission", SCHEMA_BOOL },
	{ 0 },
};

static const schema_field_t stream_fields[] = {
	{ "coalesce_ms", SCHEMA_INT, .min = 0, .max = COALESCE_HOLD_MAX_MS },
	{ "coalesce_on", SCHEMA_CHOICE, .choices = coalesce_on_string },
	{ 0 },
};

static const schema_field_t log_fields[] = {
	{ "level", SCHEMA_CHOICE, .choices = levels },
	{ 0 },
};

static const schema_field_t fields[] = {
	{ "node", SCHEMA_OBJECT, .required = true, .sub = node_fields },
	{ "listen", SCHEMA_OBJECT, .required = true, .sub = listen_fields },
	{ "peers", SCHEMA_OBJECT, .required = true, .sub = peer_fields },
	{ "store", SCHEMA_OBJECT, .required = true, .sub = store_fields },
	{ "directory", SCHEMA_OBJECT, .sub = directory_fields },
	{ "bounds", SCHEMA_OBJECT, .sub = bound_fields },
	{ "retries", SCHEMA_OBJECT, .required = true, .sub = retry_fields },
	{ "rollouts", SCHEMA_OBJECT, .sub = rollout_fields },
	{ "placement", SCHEMA_OBJECT, .sub = placement_fields },
	{ "streams", SCHEMA_OBJECT, .sub = stream_fields },
	{ "log", SCHEMA_OBJECT, .sub = log_fields },
	{ 0 },
};

static const char *string_(const json_t *table, const char *name)
{
	return json_string_value(json_object_get(table, name));
}

static double real_(const json_t *table, const char *name, double fallback)
{
	const json_t *v = json_object_get(table, name);

	return v ? json_number_value(v) : fallback;
}

static mstime_t duration_ms_(const json_t *table, const char *name,
			     mstime_t fallback)
{
	return (mstime_t)(real_(table, name, (double)fallback / MSEC_PER_SEC) *
			  MSEC_PER_SEC);
}

/* The shorter of the limits within which platform changes must apply. */
static mstime_t apply_limit_ms_(const json_t *bounds)
{
	double leave = real_(bounds, "leave_ms", APPLY_LIMIT_DEFAULT_MS);
	double config = real_(bounds, "config_ms", APPLY_LIMIT_DEFAULT_MS);

	return (mstime_t)MIN(leave, config);
}

/* Seeds are given with their operators' port; the port for datagrams is the
 * same on all nodes.
 */
static void read_seeds_(gateway_conf_t *c, const json_t *seeds)
{
	struct sockaddr_in own;
	struct sockaddr_in seed;
	char address[ADDRESS_TEXT_MAX];
	size_t i;
	json_t *v;

	address_parse(c->peers, &own);
	json_array_foreach ((json_t *)seeds, i, v) {
		if (!address_parse(json_string_value(v), &seed))
			continue;
		seed.sin_port = own.sin_port;
		address_format(&seed, address);
		g_ptr_array_add(c->seeds, g_strdup(address));
		g_ptr_array_add(c->seed_admins, g_strdup(json_string_value(v)));
	}
}

static void read_listen_(gateway_conf_t *c, const json_t *listen)
{
	c->callers = string_(listen, "callers");
	c->readiness = string_(listen, "readiness");
	c->directory = string_(listen, "directory");
	c->admin = string_(listen, "admin");
	c->metrics = string_(listen, "metrics");
	c->peers = string_(listen, "peers");
}

/* Roll-outs are off where one of the limits is missing. */
static void read_rollouts_(gateway_conf_t *c, const json_t *rollouts)
{
	double tolerance = real_(rollouts, "tolerance", -1);
	double rollback_ms = real_(rollouts, "rollback_ms", 0);

	if (tolerance < 0 || rollback_ms <= 0)
		return;
	c->rollouts.share = real_(rollouts, "share", 0);
	c->rollouts.tolerance = (int)tolerance;
	c->rollouts.rollback_ms = (mstime_t)rollback_ms;
}

static void read_settings_(gateway_conf_t *c, json_t *root)
{
	const json_t *node = json_object_get(root, "node");
	const json_t *peers = json_object_get(root, "peers");
	const json_t *retries = json_object_get(root, "retries");
	const json_t *placement = json_object_get(root, "placement");
	const json_t *streams = json_object_get(root, "streams");
	const char *level = string_(json_object_get(root, "log"), "level");

	c->json = root;
	c->name = string_(node, "name");
	c->data_centre = string_(node, "data_centre");
	c->region = string_(node, "region");
	c->stop_limit_ms =
		duration_ms_(node, "stop_s", 8 * MSEC_PER_SEC) - STOP_MARGIN_MS;
	c->max_connections =
		(int64_t)real_(node, "max_descriptors", DESCRIPTORS_DEFAULT) -
		DESCRIPTORS_RESERVED;
	c->memory = (int64_t)(real_(node, "memory_mb", 0) * BYTES_PER_MB);
	read_listen_(c, json_object_get(root, "listen"));
	c->store = string_(json_object_get(root, "store"), "address");
	settings_read_key(c->peer_key, string_(peers, "key"));
	read_seeds_(c, json_object_get(peers, "seeds"));
	c->directory_ttl_max_ms =
		duration_ms_(json_object_get(root, "directory"), "ttl_max_s",
			     DIRECTORY_TTL_MAX_DEFAULT_MS);
	c->apply_limit_ms = apply_limit_ms_(json_object_get(root, "bounds"));
	c->retries.ratio = real_(retries, "ratio", 0);
	c->retries.burst = real_(retries, "burst", 0);
	c->retries.window_ms = duration_ms_(retries, "window_s", MSEC_PER_SEC);
	read_rollouts_(c, json_object_get(root, "rollouts"));
	c->placement = placement_parse(string_(placement, "choice"));
	c->admission = json_is_true(json_object_get(placement, "admission"));
	c->coalesce.hold_ms = (mstime_t)real_(streams, "coalesce_ms", 0);
	c->coalesce.on = coalesce_parse_on(string_(streams, "coalesce_on"));
	c->max_body = MAX_BODY_DEFAULT_BYTES;
	c->max_header = MAX_HEADER_DEFAULT_BYTES;
	c->log_level = level ? logline_parse_level(level) : LOG_INFO;
}

int gateway_conf_load(gateway_conf_t *c, const char *file, GPtrArray *faults)
{
	GError *error = NULL;
	json_t *root;
	gchar *text;
	gsize len;
	int err;

	*c = (gateway_conf_t){ 0 };
	c->seeds = g_ptr_array_new_with_free_func(g_free);
	c->seed_admins = g_ptr_array_new_with_free_func(g_free);
	if (!g_file_get_contents(file, &text, &len, &error)) {
		g_ptr_array_add(faults, g_strdup(error->message));
		g_error_free(error);
		return SETTINGS_EREAD;
	}
	root = settings_check((str_t){ text, len }, fields, NULL, faults, &err);
	g_free(text);
	if (root)
		read_settings_(c, root);
	return err;
}

void gateway_conf_finish(gateway_conf_t *c)
{
	json_decref(c->json);
	g_clear_pointer(&c->seeds, g_ptr_array_unref);
	g_clear_pointer(&c->seed_admins, g_ptr_array_unref);
}
