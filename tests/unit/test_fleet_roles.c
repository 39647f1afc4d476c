#include "suites.h"

#include <kcf/fleet_roles.h>
#include <kcf/str.h>
#include <string.h>

#define NOW 1000000
#define MOST 400

static fleet_roles_node_t nodes[MOST];
static char names[MOST][16];

static const char *const data_centres[] = { "dc-a", "dc-b", "dc-c", "dc-d",
					    "dc-e" };

/* Names of nodes, the one with a given number left out. */
static guint fill_(guint count, int without)
{
	guint n = 0;

	for (guint i = 0; i < count; i++) {
		if ((int)i == without)
			continue;
		g_snprintf(names[i], sizeof(names[i]), "node-%u", i);
		nodes[n++] = (fleet_roles_node_t){
			.key = (uint32_t)str_hash64(str_of(names[i]), 0),
			.data_centre = data_centres[i * 7 % 5],
			.data = names[i],
		};
	}
	fleet_roles_rank(nodes, n);
	return n;
}

static const guint sizes[] = { 1, 2, 5, 7, 9, 59, 78, 295, 360 };

START_TEST(test_order_of_none)
{
	fleet_roles_rank(NULL, 0);
}
END_TEST

START_TEST(test_order_is_spread)
{
	guint n = fill_(sizes[_i], -1);
	guint in[5] = { 0 };

	for (guint i = 0; i < MIN(n, 40); i++) {
		for (guint d = 0; d < 5; d++)
			in[d] += !strcmp(nodes[i].data_centre, data_centres[d]);
	}
	if (n < 40)
		return;
	for (guint d = 0; d < 5; d++)
		ck_assert_uint_eq(in[d], 8);
}
END_TEST

/* Views that differ by one node differ by few in what they send callers to. */
START_TEST(test_order_is_stable)
{
	const void *before[MOST];
	guint n = fill_(sizes[_i], -1);
	guint first = MIN(n, 40);
	guint gone = 0;

	for (guint i = 0; i < first; i++)
		before[i] = nodes[i].data;
	n = fill_(sizes[_i], (int)n / 2);
	for (guint i = 0; i < first; i++) {
		bool kept = false;

		for (guint k = 0; k < MIN(n, 40) && !kept; k++)
			kept = !strcmp(before[i], nodes[k].data);
		gone += !kept;
	}
	ck_assert_uint_le(gone, 2);
}
END_TEST

/* Every chain of sources ends at a reader, whatever failed before. */
START_TEST(test_sources_lead_to_readers)
{
	guint n = sizes[_i];
	guint readers = fleet_roles_reader_count(n);

	for (guint turn = 0; turn < 50; turn++) {
		guint asked[MOST] = { 0 };

		for (guint at = readers; at < n; at++) {
			guint source = fleet_roles_sync_source(at, n, turn);
			guint hops = 1;

			asked[source]++;
			ck_assert_uint_lt(source, at);
			for (; source >= readers; hops++)
				source = fleet_roles_sync_source(source, n,
								 turn);
			ck_assert_uint_le(hops, 2);
		}
		for (guint at = 0; at < n; at++)
			ck_assert_uint_le(asked[at], 13);
	}
}
END_TEST

/* A source that fails is not asked again at once. */
START_TEST(test_turns_change_the_source)
{
	guint n = sizes[_i];

	for (guint at = fleet_roles_reader_count(n); at < n; at++)
		ck_assert_uint_ne(fleet_roles_sync_source(at, n, 0),
				  fleet_roles_sync_source(at, n, 1));
}
END_TEST

static const struct {
	guint count;
	double outstanding;
	mstime_t at;
	guint expected;
} servings[] = {
	/* Small fleets serve whole. */
	{ 7, 0, 0, 7 },
	{ 7, 250, 0, 7 },
	{ 295, 0, 0, 15 },
	/* Grows at once, */
	{ 295, 600, 100, 30 },
	{ 295, 2000, 200, 100 },
	/* stays for a while, */
	{ 295, 600, 5000, 100 },
	/* and shrinks then. */
	{ 295, 600, 20000, 30 },
	{ 20, 600, 20100, 20 },
};

START_TEST(test_serving_follows_the_load)
{
	fleet_roles_serving_t size = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(servings); i++)
		ck_assert_uint_eq(
			fleet_roles_serving_count(&size, servings[i].count,
						  servings[i].outstanding,
						  NOW + servings[i].at),
			servings[i].expected);
}
END_TEST

Suite *fleet_roles_suite(void)
{
	Suite *s = suite_create("fleet_roles");
	TCase *c = tcase_create("fleet_roles");
	int count = G_N_ELEMENTS(sizes);

	tcase_add_test(c, test_order_of_none);
	tcase_add_loop_test(c, test_order_is_spread, 0, count);
	tcase_add_loop_test(c, test_order_is_stable, 0, count);
	tcase_add_loop_test(c, test_sources_lead_to_readers, 0, count);
	tcase_add_loop_test(c, test_turns_change_the_source, 3, count);
	tcase_add_test(c, test_serving_follows_the_load);
	suite_add_tcase(s, c);
	return s;
}
