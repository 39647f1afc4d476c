#include "fixture.h"
#include "suites.h"

#include <kcf/config.h>
#include <string.h>

#define DC "{\"region\":\"r\"}"
#define SERVICE "{\"type\":\"plain\"}"
#define UPSTREAM                                                               \
	"{\"service\":\"s\",\"data_centre\":\"d\",\"address\":\"127.0.0.1:"    \
	"9\"}"

/* One record of a stream and its expected result. */
typedef struct step {
	const char *id;
	uint64_t base;
	resource_kind_t kind;
	const char *name;
	const char *body; /* NULL deletes */
	config_verdict_t verdict;
	uint64_t version; /* expected of the resource afterwards */
} step_t;

static const step_t steps[] = {
	{ "1", 0, KIND_DATA_CENTRE, "d", DC, CONFIG_APPLIED, 1 },
	{ "2", 0, KIND_DATA_CENTRE, "d", DC, CONFIG_CONFLICT, 1 },
	{ "1", 0, KIND_DATA_CENTRE, "d", DC, CONFIG_REPEATED, 1 },
	{ "3", 1, KIND_DATA_CENTRE, "d", "{\"region\":1}", CONFIG_INVALID, 1 },
	{ "4", 1, KIND_DATA_CENTRE, "d", "{\"region\":\"q\"}", CONFIG_APPLIED,
	  5 },
	{ "5", 0, KIND_UPSTREAM, "u", UPSTREAM, CONFIG_INVALID, 0 },
	{ "6", 0, KIND_SERVICE, "s", SERVICE, CONFIG_APPLIED, 7 },
	{ "7", 0, KIND_UPSTREAM, "u", UPSTREAM, CONFIG_APPLIED, 8 },
	{ "8", 7, KIND_SERVICE, "s", NULL, CONFIG_INVALID, 7 },
	{ "9", 8, KIND_UPSTREAM, "u", NULL, CONFIG_APPLIED, 10 },
	{ "a", 7, KIND_SERVICE, "s", NULL, CONFIG_APPLIED, 11 },
	{ "b", 0, KIND_SERVICE, "s", SERVICE, CONFIG_CONFLICT, 11 },
	{ "c", 11, KIND_SERVICE, "s", SERVICE, CONFIG_APPLIED, 13 },
	{ "d", 0, KIND_HOST, "Bad/Name", SERVICE, CONFIG_UNREADABLE, 0 },
};

static char *record_(const step_t *s)
{
	json_t *body = s->body ? json_loads(s->body, 0, NULL) : NULL;
	config_proposal_t p = {
		.id = s->id,
		.base = s->base,
		.kind = s->kind,
		.name = s->name,
		.body = body,
		.operator_name = "ana",
		.reason = "test",
		.proposed_at = 5,
	};
	char *text = config_proposal_record(&p);

	json_decref(body);
	return text;
}

static void apply_steps_(config_t *c, size_t from, size_t to, bool check)
{
	for (size_t i = from; i < to; i++) {
		char *text = record_(&steps[i]);
		config_result_t r;

		config_apply_record(c, i + 1, 100 + (mstime_t)i, str_of(text),
				    &r);
		if (check) {
			ck_assert_str_eq(
				config_verdict_string[r.verdict],
				config_verdict_string[steps[i].verdict]);
			ck_assert_uint_eq(r.version, steps[i].version);
		}
		config_result_finish(&r);
		g_free(text);
	}
}

START_TEST(test_steps)
{
	config_t c;

	config_init(&c);
	apply_steps_(&c, 0, G_N_ELEMENTS(steps), true);
	ck_assert_uint_eq(c.applied, G_N_ELEMENTS(steps));
	ck_assert_ptr_null(config_find(&c, KIND_UPSTREAM, "u"));
	/* All but the repeated and the unreadable one are audited. */
	ck_assert_uint_eq(g_queue_get_length(c.audit), G_N_ELEMENTS(steps) - 2);
	config_finish(&c);
}
END_TEST

/* A record with an offset that was already applied changes nothing. */
START_TEST(test_older_records_ignored)
{
	config_t c;

	config_init(&c);
	apply_steps_(&c, 0, 8, false);
	apply_steps_(&c, 0, 8, false);
	ck_assert_uint_eq(c.applied, 8);
	ck_assert_uint_eq(config_version(&c, KIND_DATA_CENTRE, "d"), 5);
	config_finish(&c);
}
END_TEST

START_TEST(test_snapshot)
{
	config_t a;
	config_t b;
	json_t *snap;

	config_init(&a);
	config_init(&b);
	apply_steps_(&a, 0, 10, false);
	apply_steps_(&b, 0, 3, false);
	snap = config_snapshot(&a);
	ck_assert(config_restore(&b, snap));
	ck_assert_uint_eq(b.applied, 10);
	ck_assert_uint_eq(config_version(&b, KIND_UPSTREAM, "u"), 10);
	ck_assert_ptr_null(config_find(&b, KIND_UPSTREAM, "u"));
	ck_assert(!config_restore(&b, snap));
	json_decref(snap);
	/* It continues with the stream after the snapshot. */
	apply_steps_(&b, 10, G_N_ELEMENTS(steps), true);
	config_finish(&a);
	config_finish(&b);
}
END_TEST

/* A node that starts after the log has dropped records restores a snapshot. */
START_TEST(test_snapshot_after_gap)
{
	config_t a;
	config_t joiner;
	GPtrArray *chunks;
	bool restored = false;

	config_init(&a);
	config_init(&joiner);
	apply_steps_(&a, 0, 10, false);
	chunks = config_snapshot_records(&a, "s1");
	ck_assert(config_has_gap(&joiner, 3));
	/* A snapshot is not restored if records after it are missing. */
	for (guint i = 0; i < chunks->len; i++)
		ck_assert(!config_scan_snapshot(&joiner, 12, 0,
						str_of(chunks->pdata[i])));
	for (guint i = 0; i < chunks->len; i++)
		restored = config_scan_snapshot(&joiner, 11, 7,
						str_of(chunks->pdata[i]));
	ck_assert(restored);
	ck_assert_uint_eq(joiner.applied, 10);
	ck_assert_int_eq(joiner.snapshot_at, 7);
	ck_assert_uint_eq(config_version(&joiner, KIND_DATA_CENTRE, "d"), 5);
	apply_steps_(&joiner, 10, G_N_ELEMENTS(steps), true);
	g_ptr_array_unref(chunks);
	config_finish(&a);
	config_finish(&joiner);
}
END_TEST

/* A snapshot of several chunks is not restored while one is missing. */
START_TEST(test_snapshot_chunks)
{
	config_t a;
	config_t b;
	GPtrArray *chunks;

	config_init(&a);
	config_init(&b);
	fixture_put_fleet(&a, 200);
	chunks = config_snapshot_records(&a, "s1");
	ck_assert_uint_ge(chunks->len, 3);
	for (guint i = 0; i < chunks->len; i++) {
		if (i != 1)
			ck_assert(!config_scan_snapshot(
				&b, 1, 0, str_of(chunks->pdata[i])));
	}
	for (guint i = 0; i < chunks->len; i++)
		ck_assert(config_scan_snapshot(&b, 1, 0,
					       str_of(chunks->pdata[i])) ==
			  (i == chunks->len - 1));
	ck_assert_uint_eq(b.applied, a.applied);
	g_ptr_array_unref(chunks);
	config_finish(&a);
	config_finish(&b);
}
END_TEST

static const char *const unreadable[] = {
	"",	 "{",	      "[]",	  "null", "{\"v\":1}",
	"\"x\"", "{\"v\":2}", "\xff\xfe", "1",
};

START_TEST(test_unreadable)
{
	config_t c;
	config_result_t r;

	config_init(&c);
	config_apply_record(&c, 1, 0, str_of(unreadable[_i]), &r);
	ck_assert_int_eq(r.verdict, CONFIG_UNREADABLE);
	ck_assert_uint_eq(c.applied, 1);
	config_result_finish(&r);
	config_finish(&c);
}
END_TEST

Suite *config_suite(void)
{
	Suite *s = suite_create("config");
	TCase *t = tcase_create("config");

	tcase_add_test(t, test_steps);
	tcase_add_test(t, test_older_records_ignored);
	tcase_add_test(t, test_snapshot);
	tcase_add_test(t, test_snapshot_after_gap);
	tcase_add_test(t, test_snapshot_chunks);
	tcase_add_loop_test(t, test_unreadable, 0, G_N_ELEMENTS(unreadable));
	suite_add_tcase(s, t);
	return s;
}
