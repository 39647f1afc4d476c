#include "suites.h"

#include <kcf/fleet_roles.h>
#include <kcf/str.h>
#include <string.h>

#define NOW 1000000
#define NODES_MAX 400

static fleet_roles_node_t nodes[NODES_MAX];
static char names[NODES_MAX][16];

static const char *const data_centres[] = { "dc-a", "dc-b", "dc-c", "dc-d",
					    "dc-e" };

/* Ranks nodes 0 to count - 1 without one of them; -1 to skip none. */
static guint fill_nodes_(guint count, int skipped)
{
	guint n = 0;

	for (guint i = 0; i < count; i++) {
		if ((int)i == skipped)
			continue;
		g_snprintf(names[i], sizeof(names[i]), "node-%u", i);
		nodes[n++] = (fleet_roles_node_t){
			.key = (uint32_t)str_hash64(str_of(names[i]), 0),
			.data_centre = data_centres[i * 7 % 5],
			.user_data = names[i],
		};
	}
	fleet_roles_rank(nodes, n);
	return n;
}

static const guint sizes[] = { 1, 2, 5, 7, 9, 59, 78, 295, 360 };

START_TEST(test_rank_of_none)
{
	fleet_roles_rank(NULL, 0);
}
END_TEST

START_TEST(test_rank_spreads_data_centres)
{
	guint n = fill_nodes_(sizes[_i], -1);
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

/* Views that differ by one node send callers to almost the same nodes. */
START_TEST(test_rank_is_stable)
{
	const void *before[NODES_MAX];
	guint n = fill_nodes_(sizes[_i], -1);
	guint first = MIN(n, 40);
	guint replaced = 0;

	for (guint i = 0; i < first; i++)
		before[i] = nodes[i].user_data;
	n = fill_nodes_(sizes[_i], (int)n / 2);
	for (guint i = 0; i < first; i++) {
		bool kept = false;

		for (guint k = 0; k < MIN(n, 40) && !kept; k++)
			kept = !strcmp(before[i], nodes[k].user_data);
		replaced += !kept;
	}
	ck_assert_uint_le(replaced, 2);
}
END_TEST

/* Every chain of sync sources ends at a reader, after any failures. */
START_TEST(test_sync_sources_lead_to_readers)
{
	guint n = sizes[_i];
	guint readers = fleet_roles_reader_count(n);

	for (guint attempt = 0; attempt < 50; attempt++) {
		guint requests[NODES_MAX] = { 0 };

		for (guint rank = readers; rank < n; rank++) {
			guint source =
				fleet_roles_sync_source(rank, n, attempt);
			guint hops = 1;

			requests[source]++;
			ck_assert_uint_lt(source, rank);
			for (; source >= readers; hops++)
				source = fleet_roles_sync_source(source, n,
								 attempt);
			ck_assert_uint_le(hops, 2);
		}
		for (guint rank = 0; rank < n; rank++)
			ck_assert_uint_le(requests[rank], 13);
	}
}
END_TEST

/* After a failure the next attempt uses another source. */
START_TEST(test_attempts_change_the_sync_source)
{
	guint n = sizes[_i];

	for (guint rank = fleet_roles_reader_count(n); rank < n; rank++)
		ck_assert_uint_ne(fleet_roles_sync_source(rank, n, 0),
				  fleet_roles_sync_source(rank, n, 1));
}
END_TEST

static const struct {
	guint count;
	double outstanding;
	mstime_t at;
	guint expected;
} serving_cases[] = {
	/* In small fleets all nodes serve. */
	{ 7, 0, 0, 7 },
	{ 7, 250, 0, 7 },
	{ 295, 0, 0, 15 },
	/* Grows at once, */
	{ 295, 600, 100, 30 },
	{ 295, 2000, 200, 100 },
	/* stays for the shrink delay, */
	{ 295, 600, 5000, 100 },
	/* then shrinks. */
	{ 295, 600, 20000, 30 },
	{ 20, 600, 20100, 20 },
};

START_TEST(test_serving_follows_the_load)
{
	fleet_roles_serving_t serving = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(serving_cases); i++)
		ck_assert_uint_eq(fleet_roles_serving_count(
					  &serving, serving_cases[i].count,
					  serving_cases[i].outstanding,
					  NOW + serving_cases[i].at),
				  serving_cases[i].expected);
}
END_TEST

Suite *fleet_roles_suite(void)
{
	Suite *s = suite_create("fleet_roles");
	TCase *c = tcase_create("fleet_roles");
	int count = G_N_ELEMENTS(sizes);

	tcase_add_test(c, test_rank_of_none);
	tcase_add_loop_test(c, test_rank_spreads_data_centres, 0, count);
	tcase_add_loop_test(c, test_rank_is_stable, 0, count);
	tcase_add_loop_test(c, test_sync_sources_lead_to_readers, 0, count);
	tcase_add_loop_test(c, test_attempts_change_the_sync_source, 3, count);
	tcase_add_test(c, test_serving_follows_the_load);
	suite_add_tcase(s, c);
	return s;
}
