#include <kcf/placement.h>
#include <kcf/resource.h>

#include <assert.h>

#define SHA256_BYTES 32
#define WATTS_MAX 1e9

const char *const resource_kind_string[] = {
	"Site",	    "DataCentre", "Host",     "Service",
	"Upstream", "Model",	  "Customer",
};

static const char *const in_out[] = { "in", "out", NULL };
static const char *const in_leaving[] = { "in", "leaving", NULL };
static const char *const service_types[] = { "model", "plain", NULL };

static const schema_field_t site_fields[] = {
	{ "load_bound", SCHEMA_REAL, .min = 1, .max = 100 },
	{ "power_cap_w", SCHEMA_REAL, .min = 0, .max = WATTS_MAX },
	{ "placement", SCHEMA_CHOICE, .choices = placement_string },
	{ "weight_loads_per_s", SCHEMA_REAL, .min = 0.001, .max = 1e6 },
	{ 0 },
};

static const schema_field_t data_centre_fields[] = {
	{ "region", SCHEMA_STRING, .required = true, .min = 1, .max = 63 },
	{ "state", SCHEMA_CHOICE, .choices = in_out },
	{ "power_cap_w", SCHEMA_REAL, .min = 0, .max = WATTS_MAX },
	{ "ramp_s", SCHEMA_REAL, .min = 0, .max = 3600 },
	{ 0 },
};

static const schema_field_t host_fields[] = {
	{ "data_centre", SCHEMA_NAME, .required = true, .ref = "DataCentre" },
	{ "state", SCHEMA_CHOICE, .choices = in_out },
	{ 0 },
};

static const schema_field_t once_fields[] = {
	{ "method", SCHEMA_STRING, .required = true, .min = 1, .max = 16 },
	{ "path", SCHEMA_STRING, .required = true, .min = 1, .max = 256 },
	{ 0 },
};

static const schema_field_t service_fields[] = {
	{ "type", SCHEMA_CHOICE, .required = true, .choices = service_types },
	{ "timeout_ms", SCHEMA_INT, .min = 100, .max = 3600000 },
	{ "gap_ms", SCHEMA_INT, .min = 50, .max = 600000 },
	{ "queue_max", SCHEMA_INT, .min = 0, .max = 1000000 },
	{ "echoes_request_id", SCHEMA_BOOL },
	{ "once", SCHEMA_OBJECTS, .sub = once_fields },
	{ 0 },
};

static const schema_field_t upstream_fields[] = {
	{ "service", SCHEMA_NAME, .required = true, .ref = "Service" },
	{ "data_centre", SCHEMA_NAME, .required = true, .ref = "DataCentre" },
	{ "address", SCHEMA_ADDRESS, .required = true },
	{ "models", SCHEMA_NAMES, .ref = "Model" },
	{ "state", SCHEMA_CHOICE, .choices = in_leaving },
	{ "slots", SCHEMA_INT, .min = 1, .max = 100000 },
	{ "floor", SCHEMA_INT, .min = 1, .max = 100000 },
	{ "ramp_s", SCHEMA_REAL, .min = 0, .max = 3600 },
	{ "weight", SCHEMA_REAL, .min = 0.01, .max = 100 },
	{ "cache_tokens", SCHEMA_INT, .min = 0, .max = 1e12 },
	{ "idle_w", SCHEMA_REAL, .min = 0, .max = WATTS_MAX },
	{ "slot_w", SCHEMA_REAL, .min = 0, .max = WATTS_MAX },
	{ "fencing", SCHEMA_BOOL },
	{ 0 },
};

static const schema_field_t model_fields[] = {
	{ "service", SCHEMA_NAME, .required = true, .ref = "Service" },
	{ "adapters", SCHEMA_STRINGS, .min = 1, .max = 63 },
	{ "version", SCHEMA_STRING, .min = 1, .max = 63 },
	{ 0 },
};

static const schema_field_t customer_fields[] = {
	{ "keys", SCHEMA_HEXES, .required = true, .min = SHA256_BYTES,
	  .max = SHA256_BYTES },
	{ "weight", SCHEMA_REAL, .min = 0.01, .max = 1000 },
	{ "services", SCHEMA_NAMES, .ref = "Service" },
	{ 0 },
};

static const schema_field_t *const fields[KIND_COUNT] = {
	[KIND_SITE] = site_fields,
	[KIND_DATA_CENTRE] = data_centre_fields,
	[KIND_HOST] = host_fields,
	[KIND_SERVICE] = service_fields,
	[KIND_UPSTREAM] = upstream_fields,
	[KIND_MODEL] = model_fields,
	[KIND_CUSTOMER] = customer_fields,
};

resource_kind_t resource_kind_of(str_t name)
{
	for (int k = 0; k < KIND_COUNT; k++) {
		if (str_eq(name, str_of(resource_kind_string[k])))
			return (resource_kind_t)k;
	}
	return KIND_COUNT;
}

const schema_field_t *resource_fields(resource_kind_t kind)
{
	assert(kind < KIND_COUNT);
	return fields[kind];
}
