#include "suites.h"

#include <kcf/once.h>
#include <string.h>

/* One entry of a stream and the expected state after it. */
typedef struct step {
	const char *type; /* intent, outcome or release */
	const char *attempt_id;
	once_state_t state; /* expected of the key afterwards */
	const char *owner;  /* expected owner attempt */
} step_t;

static const step_t first_wins[] = {
	{ "intent", "a", ONCE_CLAIMED, "a" },
	{ "intent", "b", ONCE_CLAIMED, "a" },
	{ "outcome", "b", ONCE_CLAIMED, "a" },
	{ "release", "b", ONCE_CLAIMED, "a" },
	{ "outcome", "a", ONCE_COMPLETED, "a" },
	{ "intent", "c", ONCE_COMPLETED, "a" },
	{ "release", "a", ONCE_COMPLETED, "a" },
	{ NULL, NULL, 0, NULL },
};

static const step_t released[] = {
	{ "intent", "a", ONCE_CLAIMED, "a" },
	{ "intent", "a", ONCE_CLAIMED, "a" },
	{ "release", "a", ONCE_ABSENT, NULL },
	{ "intent", "b", ONCE_CLAIMED, "b" },
	{ "outcome", "a", ONCE_CLAIMED, "b" },
	{ "outcome", "b", ONCE_COMPLETED, "b" },
	{ NULL, NULL, 0, NULL },
};

static const step_t *const sequences[] = { first_wins, released };

static json_t *entry_(const step_t *s)
{
	GBytes *body = g_bytes_new("done", 4);
	json_t *o;

	if (!strcmp(s->type, "intent"))
		o = once_intent("k", s->attempt_id);
	else if (!strcmp(s->type, "release"))
		o = once_release("k", s->attempt_id);
	else
		o = once_outcome("k", s->attempt_id, 201, "text/plain", body);
	g_bytes_unref(body);
	return o;
}

START_TEST(test_sequences)
{
	once_keys_t k;
	uint64_t offset = 0;

	once_keys_init(&k);
	for (const step_t *s = sequences[_i]; s->type; s++) {
		json_t *list = json_array();
		const once_entry_t *e;
		char *text;

		json_array_append_new(list, entry_(s));
		text = json_dumps(list, JSON_COMPACT);
		once_apply_record(&k, ++offset, 10, str_of(text));
		e = once_find(&k, "k");
		ck_assert_int_eq(e ? e->state : ONCE_ABSENT, s->state);
		if (e)
			ck_assert_str_eq(e->owner_attempt, s->owner);
		if (e && e->state == ONCE_COMPLETED) {
			ck_assert_int_eq(e->status, 201);
			ck_assert_uint_eq(g_bytes_get_size(e->body), 4);
		}
		free(text);
		json_decref(list);
	}
	once_expire(&k, 11);
	ck_assert_ptr_null(once_find(&k, "k"));
	once_keys_finish(&k);
}
END_TEST

static const char *const unreadable[] = {
	"", "{}", "[1]", "[{}]", "[{\"type\":\"intent\"}]", "\xff"
};

START_TEST(test_unreadable)
{
	once_keys_t k;

	once_keys_init(&k);
	once_apply_record(&k, 1, 0, str_of(unreadable[_i]));
	ck_assert_uint_eq(k.next_offset, 2);
	ck_assert_uint_eq(g_hash_table_size(k.entries), 0);
	once_keys_finish(&k);
}
END_TEST

START_TEST(test_long_body)
{
	char *text = g_strnfill(ONCE_BODY_MAX + 1, 'x');
	GBytes *body = g_bytes_new(text, ONCE_BODY_MAX + 1);
	json_t *o = once_outcome("k", "a", 200, "", body);

	ck_assert_ptr_null(json_object_get(o, "body"));
	json_decref(o);
	g_bytes_unref(body);
	g_free(text);
}
END_TEST

static const struct {
	size_t len;
	bool left_out;
} bodies[] = {
	{ 0, false },
	{ ONCE_BODY_MAX, false },
	{ ONCE_BODY_MAX + 1, true },
};

/* Guards against an outcome without its body that is replayed as an empty one.
 */
START_TEST(test_left_out_body_is_known)
{
	char *text = g_strnfill(bodies[_i].len, 'x');
	GBytes *body = g_bytes_new(text, bodies[_i].len);
	json_t *list = json_pack("[o,o]", once_intent("k", "a"),
				 once_outcome("k", "a", 200, "", body));
	char *record = json_dumps(list, JSON_COMPACT);
	const once_entry_t *e;
	once_keys_t k;

	once_keys_init(&k);
	once_apply_record(&k, 1, 0, str_of(record));
	e = once_find(&k, "k");
	ck_assert_int_eq(e->state, ONCE_COMPLETED);
	ck_assert_int_eq(e->body_left_out, bodies[_i].left_out);
	ck_assert_uint_eq(e->body ? g_bytes_get_size(e->body) : 0,
			  bodies[_i].left_out ? 0 : bodies[_i].len);
	once_keys_finish(&k);
	free(record);
	json_decref(list);
	g_bytes_unref(body);
	g_free(text);
}
END_TEST

Suite *once_suite(void)
{
	Suite *s = suite_create("once");
	TCase *t = tcase_create("once");

	tcase_add_loop_test(t, test_sequences, 0, G_N_ELEMENTS(sequences));
	tcase_add_loop_test(t, test_unreadable, 0, G_N_ELEMENTS(unreadable));
	tcase_add_test(t, test_long_body);
	tcase_add_loop_test(t, test_left_out_body_is_known, 0,
			    sizeof(bodies) / sizeof(bodies[0]));
	suite_add_tcase(s, t);
	return s;
}
