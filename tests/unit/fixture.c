#include "fixture.h"

#include <check.h>
#include <stdio.h>

void fixture_put(config_t *c, resource_kind_t kind, const char *name,
		 const char *body)
{
	json_t *json = body ? json_loads(body, 0, NULL) : NULL;
	char id[32];
	config_proposal_t p = { .id = id,
				.base = config_version(c, kind, name),
				.kind = kind,
				.name = name,
				.body = json,
				.operator_name = "ana",
				.reason = "" };
	config_result_t r;
	char *text;

	snprintf(id, sizeof(id), "p%lu", (unsigned long)c->applied);
	text = config_proposal_record(&p);
	config_apply_record(c, c->applied + 1, 0, str_of(text), &r);
	ck_assert_msg(r.verdict == CONFIG_APPLIED, "%s %s", name, body);
	config_result_finish(&r);
	g_free(text);
	json_decref(json);
}

void fixture_put_engine(config_t *c, int i, int slots, int ramp_s)
{
	char name[16];
	char body[256];

	snprintf(name, sizeof(name), "e%d", i);
	snprintf(body, sizeof(body),
		 "{\"service\":\"svc\",\"data_centre\":\"d%d\","
		 "\"address\":\"127.0.0.%d:9\",\"slots\":%d,"
		 "\"floor\":1,\"ramp_s\":%d,\"cache_tokens\":10000}",
		 i % 2 + 1, i + 1, slots, ramp_s);
	fixture_put(c, KIND_UPSTREAM, name, body);
}

void fixture_put_fleet(config_t *c, int upstreams)
{
	fixture_put(c, KIND_DATA_CENTRE, "d1", "{\"region\":\"r\"}");
	fixture_put(c, KIND_DATA_CENTRE, "d2", "{\"region\":\"r\"}");
	fixture_put(c, KIND_SERVICE, "svc",
		    "{\"type\":\"model\",\"queue_max\":50}");
	fixture_put(c, KIND_SERVICE, "plain",
		    "{\"type\":\"plain\",\"once\":[{\"method\":\"POST\","
		    "\"path\":\"/holds\"},{\"method\":\"PUT\",\"path\":"
		    "\"/r/*\"}]}");
	fixture_put(c, KIND_MODEL, "m",
		    "{\"service\":\"svc\",\"adapters\":[\"a\"]}");
	for (int i = 0; i < upstreams; i++)
		fixture_put_engine(c, i, 8, 0);
	fixture_put(c, KIND_CUSTOMER, "c",
		    "{\"keys\":[\"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff1"
		    "67a1dc30e73f826b683\"],\"services\":[\"svc\"]}");
}
