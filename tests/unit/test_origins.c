#include "suites.h"

#include <kcf/balance.h>
#include <kcf/datagram.h>
#include <kcf/origins.h>
#include <string.h>

#define NOW 1000000
#define STREAM 0x51
#define OTHER_STREAM 0x52
#define NODES 295
#define MARK_AGE_MS 5000

static versions_t versions;
static origins_t origins;
static const versions_mark_t no_mark;
/* As older builds write it. */
static const versions_mark_t plain_mark = { .present = true };

static void setup_(void)
{
	versions_init(&versions, NOW);
	/* Without a record no node has run before. */
	versions_see_from(&versions, 0, NOW);
	versions_end_record(&versions, &no_mark, 0, NOW);
	origins_init(&origins);
}

static void teardown_(void)
{
	versions_finish(&versions);
	origins_finish(&origins);
}

typedef enum step_kind {
	STEP_END,
	STEP_SEEN,  /* an upstream of the service and version is known */
	STEP_BEGUN, /* a stream was begun at the version */
	STEP_DOUBT, /* it was begun there, unless another start answered */
	STEP_OTHER, /* it was begun at a start that has no entry yet */
	STEP_GONE,  /* of which none has come */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	mstime_t at;
	const char *service;
	const char *version;
} step_t;

/* What becomes of STREAM, whose route may choose the services a and b. */
static const struct {
	const char *label;
	step_t steps[6];
	mstime_t at;
	uint64_t stream;
	bool asked;
	origin_verdict_t verdict;
	const char *service;
	const char *version;
} cases[] = {
	{ "this node began it",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "a", "v2" },
	    { STEP_BEGUN, 10, "a", "v2" } },
	  1000,
	  STREAM,
	  false,
	  ORIGIN_FOUND,
	  "a",
	  "v2" },
	{ "its homes are asked first, also with one version",
	  { { STEP_SEEN, 0, "a", "v1" } },
	  1000,
	  STREAM,
	  false,
	  ORIGIN_ASK },
	{ "only one version can have begun it",
	  { { STEP_SEEN, 0, "a", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_FOUND,
	  "a",
	  "v1" },
	{ "two can",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_SEEN, 0, "a", "v2" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "one of them left just now",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_SEEN, 30000, "a", "v2" } },
	  30000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "one of them left before any stream that is known",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, VERSIONS_STREAM_LIFE_MS + 1, "a", "v2" } },
	  VERSIONS_STREAM_LIFE_MS + 1,
	  STREAM,
	  true,
	  ORIGIN_FOUND,
	  "a",
	  "v2" },
	{ "the same name in two services is two versions",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_SEEN, 0, "b", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "a service that the route does not choose",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_SEEN, 0, "c", "v2" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_FOUND,
	  "a",
	  "v1" },
	{ "a version that came back",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 40000, "a", "v2" },
	    { STEP_SEEN, 50000, "a", "v1" } },
	  50000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "the caller names no try",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_SEEN, 0, "a", "v2" } },
	  1000,
	  0,
	  false,
	  ORIGIN_AMBIGUOUS },
	{ "nor does it need to",
	  { { STEP_SEEN, 0, "a", "v1" } },
	  1000,
	  0,
	  false,
	  ORIGIN_FOUND,
	  "a",
	  "v1" },
	{ "another stream is known",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "a", "v2" },
	    { STEP_BEGUN, 10, "a", "v2" } },
	  1000,
	  OTHER_STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "two versions are said to have begun it",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "a", "v2" },
	    { STEP_BEGUN, 10, "a", "v1" },
	    { STEP_BEGUN, 20, "a", "v2" },
	    { STEP_BEGUN, 30, "a", "v1" } },
	  1000,
	  STREAM,
	  false,
	  ORIGIN_AMBIGUOUS },
	{ "the stream is over",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_BEGUN, 0, "a", "v1" },
	    { STEP_SEEN, 30000, "a", "v2" } },
	  VERSIONS_STREAM_LIFE_MS + 1,
	  STREAM,
	  true,
	  ORIGIN_FOUND,
	  "a",
	  "v2" },
	{ "no upstream was ever known",
	  { { STEP_END } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_NONE },
	{ "in doubt at a service of one version, of two services",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "b", "v1" },
	    { STEP_DOUBT, 10, "b", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_FOUND,
	  "b",
	  "v1" },
	{ "the homes are asked all the same",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "b", "v1" },
	    { STEP_DOUBT, 10, "b", "v1" } },
	  1000,
	  STREAM,
	  false,
	  ORIGIN_ASK },
	{ "in doubt at a service of two versions",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "b", "v1" },
	    { STEP_SEEN, 0, "b", "v2" },
	    { STEP_DOUBT, 10, "b", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "in doubt, and the try is not named",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "b", "v1" },
	    { STEP_DOUBT, 10, "b", "v1" } },
	  1000,
	  0,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "in doubt at a service that the route does not choose any more",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "c", "v1" },
	    { STEP_DOUBT, 10, "c", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_NONE },
	{ "at a start without an entry, while one version is known",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_OTHER, 10, "a", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "at a start of which no entry has come",
	  { { STEP_SEEN, 0, "a", "v1" }, { STEP_GONE, 10, "a", "v1" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
	{ "in doubt at a version that is not known here",
	  { { STEP_SEEN, 0, "a", "v1" },
	    { STEP_SEEN, 0, "b", "v1" },
	    { STEP_DOUBT, 10, "b", "v2" } },
	  1000,
	  STREAM,
	  true,
	  ORIGIN_AMBIGUOUS },
};

static void take_step_(const step_t *s)
{
	uint32_t version = versions_key(s->service, s->version);
	origin_doubt_t doubt = { .stream = STREAM,
				 .begin = { .id = 1, .version = version },
				 .until = NOW + ORIGIN_DOUBT_MAX_MS };

	switch (s->kind) {
	case STEP_SEEN:
		versions_observe(&versions, s->service, s->version,
				 NOW + s->at);
		break;
	case STEP_BEGUN:
		origins_put(&origins, STREAM, version, NOW + s->at);
		break;
	case STEP_OTHER:
		doubt.begin.version = 0;
		/* fall through */
	case STEP_DOUBT:
		origins_doubt(&origins, &doubt);
		break;
	case STEP_GONE:
		origins_put_unknown(&origins, STREAM, NOW + s->at);
		break;
	default:
		break;
	}
}

START_TEST(test_resolve)
{
	static const char *const services[] = { "a", "b" };
	origin_query_t query = { .stream = cases[_i].stream,
				 .services = services,
				 .service_count = 2,
				 .asked = cases[_i].asked,
				 .logged = cases[_i].asked };
	origin_answer_t a;

	for (const step_t *s = cases[_i].steps; s->kind != STEP_END; s++)
		take_step_(s);
	a = origins_resolve(&origins, &versions, &query, NOW + cases[_i].at);
	ck_assert_msg(a.verdict == cases[_i].verdict, "%s: %d", cases[_i].label,
		      (int)a.verdict);
	if (a.verdict == ORIGIN_FOUND)
		ck_assert_msg(a.version == versions_key(cases[_i].service,
							cases[_i].version),
			      "%s", cases[_i].label);
}
END_TEST

/* Homes, then the log of streams, as long as nothing else tells. */
START_TEST(test_sources)
{
	static const char *const services[] = { "a" };
	origin_query_t query = { .stream = STREAM,
				 .services = services,
				 .service_count = 1 };
	origin_answer_t a;

	versions_observe(&versions, "a", "v1", NOW);
	versions_observe(&versions, "a", "v2", NOW);
	a = origins_resolve(&origins, &versions, &query, NOW);
	ck_assert_int_eq(a.verdict, ORIGIN_ASK);
	query.asked = true;
	a = origins_resolve(&origins, &versions, &query, NOW);
	ck_assert_int_eq(a.verdict, ORIGIN_READ_LOG);
	query.logged = true;
	a = origins_resolve(&origins, &versions, &query, NOW);
	ck_assert_int_eq(a.verdict, ORIGIN_AMBIGUOUS);
	origins_put(&origins, STREAM, versions_key("a", "v2"), NOW);
	a = origins_resolve(&origins, &versions, &query, NOW);
	ck_assert_int_eq(a.verdict, ORIGIN_FOUND);
	ck_assert_int_eq(a.source, ORIGIN_TOLD);
	ck_assert_uint_eq(a.version, versions_key("a", "v2"));
}
END_TEST

/*
 * Who can vouch for the only version that is known, of a stream that was begun
 * elsewhere before CAME_AT.
 */
#define CAME_AT (NOW + 5000)
static const struct {
	const char *label;
	uint64_t stream;
	bool untold;
	mstime_t log_to;
	mstime_t known_to;
	bool logged;
	bool refreshed;
	origin_verdict_t verdict;
} vouchers[] = {
	{ "homes", STREAM, true, 0, CAME_AT - 1, false, false, ORIGIN_FOUND },
	{ "homes, though the platform is away", STREAM, true, 0, CAME_AT - 4000,
	  false, false, ORIGIN_FOUND },
	{ "nobody yet", STREAM, false, 0, CAME_AT - 1, false, false,
	  ORIGIN_READ_LOG },
	{ "the log, and entries are older", STREAM, false, CAME_AT, CAME_AT - 1,
	  true, false, ORIGIN_READ_ENTRIES },
	{ "the log, and entries of now", STREAM, false, CAME_AT, CAME_AT, true,
	  true, ORIGIN_FOUND },
	{ "the log, and no entries", STREAM, false, CAME_AT, CAME_AT - 1, true,
	  true, ORIGIN_UNVOUCHED },
	{ "entries of now, and no log", STREAM, false, CAME_AT - 1, CAME_AT,
	  true, false, ORIGIN_UNVOUCHED },
	{ "neither", STREAM, false, CAME_AT - 1, CAME_AT - 1, true, false,
	  ORIGIN_UNVOUCHED },
	{ "nobody was told of a try without a name", 0, false, 0, CAME_AT - 1,
	  false, false, ORIGIN_READ_ENTRIES },
	{ "entries of now", 0, false, 0, CAME_AT, false, true, ORIGIN_FOUND },
	{ "no entries", 0, false, 0, CAME_AT - 1, false, true,
	  ORIGIN_UNVOUCHED },
};

START_TEST(test_vouchers)
{
	static const char *const services[] = { "a" };
	origin_query_t query = { .stream = vouchers[_i].stream,
				 .services = services,
				 .service_count = 1,
				 .came_at = CAME_AT,
				 .known_to = vouchers[_i].known_to,
				 .log_to = vouchers[_i].log_to,
				 .asked = true,
				 .untold = vouchers[_i].untold,
				 .logged = vouchers[_i].logged,
				 .refreshed = vouchers[_i].refreshed };
	origin_answer_t a;

	versions_observe(&versions, "a", "v1", CAME_AT);
	a = origins_resolve(&origins, &versions, &query, CAME_AT);
	ck_assert_msg(a.verdict == vouchers[_i].verdict, "%s: %d",
		      vouchers[_i].label, (int)a.verdict);
	/* What was told needs nobody, and two versions are not one. */
	versions_observe(&versions, "a", "v2", CAME_AT);
	a = origins_resolve(&origins, &versions, &query, CAME_AT);
	ck_assert_int_ne(a.verdict, ORIGIN_FOUND);
	origins_put(&origins, STREAM, versions_key("a", "v2"), CAME_AT);
	a = origins_resolve(&origins, &versions, &query, CAME_AT);
	ck_assert(!query.stream || a.source == ORIGIN_TOLD);
}
END_TEST

/* Of the other nodes, by their rank for the stream: '.' was told nothing, 'x'
 * is silent and was heard shortly before, '?' was not.
 */
static const struct {
	const char *label;
	const char *others;
	bool untold;
} witnesses[] = {
	{ "a node that is alone", "", false },
	{ "two nodes", ".", true },
	{ "the other one ends", "x", false },
	{ "the one that began it ends, of three", "x.", true },
	{ "it was cut off before, of three", "?.", false },
	{ "all answer", "......", true },
	{ "the one that began it ends", ".x....", true },
	{ "it was cut off before", ".?....", false },
	{ "three end", "x.x.x.", true },
	{ "most of the fleet does", "x.xx.x", false },
	{ "cut off with one more", ".?????", false },
	{ "just now", ".xxxxx", false },
	{ "cut off with the nodes of a zone", "..????", false },
	{ "just now", "..xxxx", false },
	{ "cut off with half of them", "....????", false },
	{ "those behind the ones that are asked", "................????",
	  true },
	{ "one that is asked", "..............?.....", false },
};

START_TEST(test_witnesses)
{
	guint count = (guint)strlen(witnesses[_i].others);
	origin_witness_t *nodes = g_new0(origin_witness_t, count + 1);
	uint32_t *keys = g_new0(uint32_t, count + 1);

	for (guint i = 0; i < count; i++)
		nodes[i].key = keys[i] = 7919 * (i + 1);
	/* By rank, each time the first of those that are left. */
	for (guint rank = 0; rank < count; rank++) {
		char word = witnesses[_i].others[rank];
		guint left = count - rank;
		guint first;

		ck_assert_int_eq(
			origins_select_homes(STREAM, keys, left, &first, 1), 1);
		for (guint i = 0; i < count; i++) {
			if (nodes[i].key != keys[first])
				continue;
			nodes[i].untold = word == '.';
			nodes[i].heard = word != '?';
		}
		keys[first] = keys[left - 1];
	}
	ck_assert_msg(origins_is_untold(STREAM, nodes, count) ==
			      witnesses[_i].untold,
		      "%s", witnesses[_i].label);
	g_free(nodes);
	g_free(keys);
}
END_TEST

/* The node that begins a stream and the one that asks leave themselves out. */
START_TEST(test_homes)
{
	uint32_t all[NODES];

	for (uint32_t i = 0; i < NODES; i++)
		all[i] = 7919 * (i + 1);
	for (uint64_t stream = 1; stream <= 200; stream++) {
		guint told[ORIGINS_HOMES];
		guint asked[ORIGINS_ASKED];
		guint begins = (guint)(stream * 31 % NODES);
		guint asks = (guint)(stream * 57 % NODES);
		uint32_t keys[NODES];
		int found = 0;

		memcpy(keys, all, sizeof(keys));
		keys[begins] = keys[NODES - 1];
		ck_assert_int_eq(origins_select_homes(stream, keys, NODES - 1,
						      told, ORIGINS_HOMES),
				 ORIGINS_HOMES);
		for (int i = 0; i < ORIGINS_HOMES; i++)
			told[i] = keys[told[i]];
		memcpy(keys, all, sizeof(keys));
		keys[asks] = keys[NODES - 1];
		ck_assert_int_eq(origins_select_homes(stream, keys, NODES - 1,
						      asked, ORIGINS_ASKED),
				 ORIGINS_ASKED);
		for (int i = 0; i < ORIGINS_ASKED; i++) {
			for (int k = 0; k < ORIGINS_HOMES; k++)
				found += keys[asked[i]] == told[k] ||
					 (i == 0 && told[k] == all[asks]);
		}
		ck_assert_int_eq(found, ORIGINS_HOMES);
	}
}
END_TEST

START_TEST(test_few_homes)
{
	static const uint32_t keys[] = { 11, 22 };
	guint homes[ORIGINS_ASKED];

	ck_assert_int_eq(
		origins_select_homes(STREAM, keys, 0, homes, ORIGINS_ASKED), 0);
	ck_assert_int_eq(
		origins_select_homes(STREAM, keys, 2, homes, ORIGINS_ASKED), 2);
	ck_assert_uint_eq(homes[0] + homes[1], 1);
}
END_TEST

START_TEST(test_bounded)
{
	for (uint64_t i = 1; i <= 100000; i++)
		origins_put(&origins, i, 7, NOW);
	ck_assert_uint_le(g_hash_table_size(origins.streams.map), 32768);
	ck_assert_uint_eq(origins_get(&origins, 100000, NOW), 7);
	origins_tick(&origins, VERSIONS_STREAM_LIFE_MS,
		     NOW + VERSIONS_STREAM_LIFE_MS + 1);
	ck_assert_uint_eq(g_hash_table_size(origins.streams.map), 0);
}
END_TEST

START_TEST(test_doubts_are_settled)
{
	balance_spec_t spec = { .id = "u",
				.service = "a",
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.version = "v1",
				.start_id = 1,
				.slots = 8 };
	origin_doubt_t doubt = { .stream = STREAM, .until = NOW + 1000 };
	origin_doubt_t out;
	balance_t b;
	bool sure;

	balance_init(&b, "dc-a", 1);
	balance_put_upstream(&b, &spec, NOW);
	balance_describe_begin(g_hash_table_lookup(b.by_id, "u"), NOW + 10, 0,
			       &doubt.begin);
	origins_doubt(&origins, &doubt);
	doubt.stream = OTHER_STREAM;
	doubt.begin.since = NOW + 20;
	origins_doubt(&origins, &doubt);
	ck_assert(!origins_settle(&origins, &b, NOW + 30, &out, &sure));
	b.entries_alive_at = NOW + 10;
	ck_assert(origins_settle(&origins, &b, NOW + 30, &out, &sure));
	ck_assert(sure && out.stream == STREAM);
	ck_assert(!origins_settle(&origins, &b, NOW + 999, &out, &sure));
	ck_assert(origins_settle(&origins, &b, NOW + 1000, &out, &sure));
	ck_assert(!sure && out.stream == OTHER_STREAM);
	ck_assert(!origins_settle(&origins, &b, NOW + 1000, &out, &sure));
	ck_assert_uint_eq(origins_get(&origins, STREAM, NOW), 0);
	balance_finish(&b);
}
END_TEST

START_TEST(test_doubts_message)
{
	static const unsigned char key[DATAGRAM_KEY_BYTES] = "key";
	unsigned char data[DATAGRAM_MAX];
	peer_doubt_t list[PEER_DOUBTS_MAX];
	peer_doubts_t m = { .sent = (u_quad_t)clock_wall(),
			    .list = { PEER_DOUBTS_MAX, list } };
	peer_doubts_t got;
	size_t len;
	str_t view;

	for (u_int i = 0; i < PEER_DOUBTS_MAX; i++)
		list[i] = (peer_doubt_t){ STREAM + i, i, 2, 3, 4, 5 };
	ck_assert_int_eq(datagram_encode_doubts(key, &m, data, &len),
			 DATAGRAM_OK);
	view = (str_t){ (char *)data, len };
	ck_assert_uint_eq(datagram_proc(view), PEER_DOUBTS);
	ck_assert_int_eq(datagram_decode_doubts(key, view, clock_wall(), &got),
			 DATAGRAM_OK);
	ck_assert_uint_eq(got.list.list_len, PEER_DOUBTS_MAX);
	ck_assert_uint_eq(got.list.list_val[3].stream, STREAM + 3);
	ck_assert_uint_eq(got.list.list_val[3].software, 3);
	ck_assert_uint_eq(got.list.list_val[3].age_ms, 5);
	datagram_free_doubts(&got);
	ck_assert_int_eq(
		datagram_decode_doubts(key, view, clock_wall() + 3600000, &got),
		DATAGRAM_EAGE);
	data[len - 1] ^= 1;
	ck_assert_int_eq(datagram_decode_doubts(key, view, clock_wall(), &got),
			 DATAGRAM_EMAC);
}
END_TEST

START_TEST(test_message)
{
	static const unsigned char key[DATAGRAM_KEY_BYTES] = "key";
	unsigned char data[DATAGRAM_MAX];
	peer_origin_t list[PEER_ORIGINS_MAX];
	peer_origins_t m = { .sent = (u_quad_t)clock_wall(),
			     .list = { PEER_ORIGINS_MAX, list } };
	peer_origins_t got;
	size_t len;
	str_t view;

	for (u_int i = 0; i < PEER_ORIGINS_MAX; i++)
		list[i] = (peer_origin_t){ STREAM + i, i };
	ck_assert_int_eq(datagram_encode_origins(key, &m, data, &len),
			 DATAGRAM_OK);
	view = (str_t){ (char *)data, len };
	ck_assert_uint_eq(datagram_proc(view), PEER_ORIGINS);
	ck_assert_int_eq(datagram_decode_origins(key, view, clock_wall(), &got),
			 DATAGRAM_OK);
	ck_assert_uint_eq(got.list.list_len, PEER_ORIGINS_MAX);
	ck_assert_uint_eq(got.list.list_val[3].stream, STREAM + 3);
	ck_assert_uint_eq(got.list.list_val[3].software, 3);
	datagram_free_origins(&got);
	ck_assert_int_eq(datagram_decode_origins(key, view,
						 clock_wall() + 3600000, &got),
			 DATAGRAM_EAGE);
	data[len - 1] ^= 1;
	ck_assert_int_eq(datagram_decode_origins(key, view, clock_wall(), &got),
			 DATAGRAM_EMAC);
}
END_TEST

static void put_upstream_(balance_t *b, int i, const char *version)
{
	char id[16];
	balance_spec_t spec = { .id = id,
				.service = "a",
				.address = "127.0.0.1:9",
				.data_centre = "dc",
				.version = version,
				.slots = 64 };

	g_snprintf(id, sizeof(id), "u-%d", i);
	balance_put_upstream(b, &spec, NOW);
}

/*
 * Requests that must stay at a version with one upstream of many do not push it
 * over the limit on its load, and leave a prompt's preferred upstream alone.
 */
START_TEST(test_bound_load)
{
	balance_request_t bound = { .service = "a",
				    .affinity = 5,
				    .version = versions_key("a", "v1") };
	balance_t b;
	int taken = 0;

	balance_init(&b, "dc", 1);
	for (int i = 0; i < 8; i++)
		put_upstream_(&b, i, i ? "v2" : "v1");
	for (int i = 0; i < 100; i++) {
		balance_pick_t p = balance_choose(&b, &bound, NOW);

		if (!p.upstream) {
			ck_assert_int_eq(p.reason, BALANCE_FULL);
			ck_assert_int_gt(p.retry_ms, 0);
			continue;
		}
		taken++;
		ck_assert_str_eq(p.upstream->version, "v1");
	}
	ck_assert_int_gt(taken, 0);
	ck_assert_int_le(taken, (int)BALANCE_LIMIT_SLACK + 2);
	bound.version = versions_key("a", "v3");
	ck_assert_int_eq(balance_choose(&b, &bound, NOW).reason,
			 BALANCE_NO_UPSTREAM);
	balance_finish(&b);
}
END_TEST

/* What a node that has just started makes of the record that it reads. */
static const struct {
	const char *label;
	const char *known;    /* version of an upstream that serves */
	const char *recorded; /* another version in the record, or NULL */
	versions_mark_t mark;
	uint64_t read_epoch;
	uint64_t seen_from;
	mstime_t at;
	origin_verdict_t verdict;
	bool wants; /* entries beside it */
} records[] = {
	{ "one version has ever served",
	  "v1",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  50,
	  1000,
	  ORIGIN_FOUND },
	{ "the older one has left",
	  "v2",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  40,
	  1000,
	  ORIGIN_AMBIGUOUS },
	{ "the older one left long ago",
	  "v2",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  50,
	  VERSIONS_STREAM_LIFE_MS + 1,
	  ORIGIN_FOUND },
	{ "entries were written since",
	  "v1",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  51,
	  1000,
	  ORIGIN_INCOMPLETE,
	  true },
	{ "but this node has run for long",
	  "v1",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  51,
	  VERSIONS_STREAM_LIFE_MS + 1,
	  ORIGIN_FOUND },
	{ "no entry was seen yet",
	  "v1",
	  "v1",
	  { true, 0, true, 50 },
	  0,
	  VERSIONS_NOWHERE,
	  1000,
	  ORIGIN_INCOMPLETE },
	{ "a mark of an older build",
	  "v1",
	  "v1",
	  { true },
	  0,
	  50,
	  1000,
	  ORIGIN_FOUND },
	{ "there is no record: no node has run before",
	  "v1",
	  NULL,
	  { 0 },
	  0,
	  0,
	  1000,
	  ORIGIN_FOUND },
	{ "the same in the first epoch",
	  "v1",
	  NULL,
	  { 0 },
	  VERSIONS_FIRST_EPOCH,
	  0,
	  1000,
	  ORIGIN_FOUND },
	{ "entries were written before this node started",
	  "v1",
	  NULL,
	  { 0 },
	  VERSIONS_FIRST_EPOCH,
	  1,
	  1000,
	  ORIGIN_INCOMPLETE,
	  true },
	{ "a restored log without a record",
	  "v1",
	  NULL,
	  { 0 },
	  VERSIONS_FIRST_EPOCH + 1,
	  0,
	  1000,
	  ORIGIN_INCOMPLETE },
	{ "a record that was never complete",
	  "v1",
	  "v1",
	  { 0 },
	  0,
	  0,
	  1000,
	  ORIGIN_INCOMPLETE },
	{ "but this node has run for long",
	  "v1",
	  "v1",
	  { 0 },
	  0,
	  0,
	  VERSIONS_STREAM_LIFE_MS + 1,
	  ORIGIN_FOUND },
	{ "a record from an older copy of the log",
	  "v1",
	  "v1",
	  { true, 3, true, 50 },
	  4,
	  50,
	  1000,
	  ORIGIN_INCOMPLETE },
	{ "a record of this copy",
	  "v1",
	  "v1",
	  { true, 4, true, 50 },
	  4,
	  50,
	  1000,
	  ORIGIN_FOUND },
};

START_TEST(test_record)
{
	static const char *const services[] = { "a" };
	const versions_mark_t *mark = &records[_i].mark;
	origin_query_t query = { .stream = STREAM,
				 .services = services,
				 .service_count = 1,
				 .asked = true,
				 .logged = true };
	mstime_t at = NOW + records[_i].at;
	origin_answer_t a;
	versions_t v;
	uint64_t from;

	versions_init(&v, NOW);
	versions_observe(&v, "a", records[_i].known, NOW);
	versions_see_from(&v, records[_i].seen_from, NOW);
	a = origins_resolve(&origins, &v, &query, NOW);
	ck_assert_int_eq(a.verdict, ORIGIN_READ);
	versions_begin_record(&v);
	if (records[_i].recorded)
		versions_add_recorded(&v, "a", records[_i].recorded,
				      mark->epoch, NOW);
	versions_end_record(&v, mark, records[_i].read_epoch, NOW);
	query.read = true;
	versions_observe(&v, "a", records[_i].known, at);
	versions_watch(&v, at);
	a = origins_resolve(&origins, &v, &query, at);
	ck_assert_msg(a.verdict == records[_i].verdict, "%s: %d",
		      records[_i].label, (int)a.verdict);
	ck_assert_msg(versions_wants_entries(&v, at, &from) ==
			      records[_i].wants,
		      "%s", records[_i].label);
	versions_finish(&v);
}
END_TEST

/* Entries between the record's mark and the first one that was seen. */
START_TEST(test_entries_since_mark)
{
	static const versions_mark_t mark = { true, 0, true, 50 };
	uint64_t from;

	versions_miss(&versions, NOW);
	versions_see_from(&versions, 80, NOW);
	versions_end_record(&versions, &mark, 0, NOW);
	ck_assert(versions_wants_entries(&versions, NOW, &from));
	ck_assert_uint_eq(from, 50);
	versions_see_earlier(&versions, from);
	ck_assert(!versions_wants_entries(&versions, NOW, &from));
	ck_assert_int_eq(versions_basis(&versions, NOW), VERSIONS_RECORDED);
	/* A scan has jumped over some. */
	versions_miss(&versions, NOW);
	versions_see_from(&versions, 90, NOW);
	ck_assert_int_eq(versions_basis(&versions, NOW), VERSIONS_UNKNOWN);
	versions_end_record(&versions, &mark, 0, NOW);
	versions_lack_entries(&versions);
	ck_assert(!versions_wants_entries(&versions, NOW, &from));
	ck_assert_int_eq(versions_basis(&versions, NOW), VERSIONS_UNKNOWN);
}
END_TEST

/* A node that has seen no entry yet has not watched them. */
START_TEST(test_watched_from_first_entries)
{
	mstime_t late = NOW + 2 * VERSIONS_STREAM_LIFE_MS;
	versions_t v;

	versions_init(&v, NOW);
	versions_see_from(&v, 10, late);
	versions_watch(&v, late + 1);
	ck_assert_int_eq(versions_basis(&v, late + 1), VERSIONS_UNKNOWN);
	late += VERSIONS_STREAM_LIFE_MS + 1;
	/* Nothing was read since. */
	ck_assert_int_eq(versions_basis(&v, late), VERSIONS_UNKNOWN);
	versions_watch(&v, late);
	ck_assert_int_eq(versions_basis(&v, late), VERSIONS_WATCHED);
	versions_finish(&v);
}
END_TEST

/* What a copy of another node's versions tells. */
static const struct {
	const char *label;
	bool complete_before;
	uint64_t seen_from; /* here */
	versions_copy_t copy;
	uint64_t seen_after;
	versions_basis_t basis;
} copies[] = {
	{ "by a node that lacks none",
	  false,
	  VERSIONS_NOWHERE,
	  { true, 70, 0 },
	  70,
	  VERSIONS_COPIED },
	{ "this one lacks none either",
	  true,
	  0,
	  { true, 70, 90 },
	  0,
	  VERSIONS_FIRST },
	{ "this one starts, the other one has as well",
	  false,
	  VERSIONS_NOWHERE,
	  { false, 70, 0 },
	  70,
	  VERSIONS_UNKNOWN },
	{ "the other one has seen more",
	  false,
	  80,
	  { false, 70, 90 },
	  70,
	  VERSIONS_UNKNOWN },
	{ "the other one has seen less",
	  true,
	  0,
	  { false, 70, 70 },
	  0,
	  VERSIONS_FIRST },
	{ "the other one is in the middle of a scan",
	  true,
	  0,
	  { false, VERSIONS_NOWHERE, 90 },
	  0,
	  VERSIONS_FIRST },
	{ "entries were written that neither has seen",
	  true,
	  0,
	  { false, 70, 69 },
	  70,
	  VERSIONS_UNKNOWN },
};

START_TEST(test_copied)
{
	if (!copies[_i].complete_before) {
		versions_miss(&versions, NOW);
		versions_see_from(&versions, copies[_i].seen_from, NOW);
	}
	versions_copy(&versions, &copies[_i].copy, NOW);
	ck_assert_msg(versions.seen_from == copies[_i].seen_after, "%s",
		      copies[_i].label);
	ck_assert_msg(versions_basis(&versions, NOW) == copies[_i].basis, "%s",
		      copies[_i].label);
}
END_TEST

/* A version that is read again and again is not seen again by that. */
START_TEST(test_record_expires)
{
	uint32_t only;

	versions_observe(&versions, "a", "v1", NOW);
	for (mstime_t at = 0; at <= VERSIONS_STREAM_LIFE_MS; at += 1000) {
		versions_begin_record(&versions);
		versions_add_recorded(&versions, "a", "v1", 0, NOW + at);
		versions_end_record(&versions, &plain_mark, 0, NOW + at);
	}
	ck_assert_int_eq(versions_count(&versions, "a",
					NOW + VERSIONS_STREAM_LIFE_MS + 1,
					&only),
			 0);
}
END_TEST

/* Changes that were missed make the versions incomplete until the next read. */
START_TEST(test_missed)
{
	ck_assert(versions_is_complete(&versions, NOW));
	versions_miss(&versions, NOW + 1000);
	ck_assert(!versions_is_complete(&versions, NOW + 1001));
	versions_watch(&versions, NOW + 1001 + VERSIONS_STREAM_LIFE_MS);
	ck_assert(versions_is_complete(&versions,
				       NOW + 1001 + VERSIONS_STREAM_LIFE_MS));
	versions_begin_record(&versions);
	versions_end_record(&versions, &plain_mark, 0, NOW);
	ck_assert(versions_is_complete(&versions, NOW + 1001));
}
END_TEST

/* What becomes of a set when the log was restored from an older copy. */
static const struct {
	const char *label;
	bool missed_before; /* the set was not complete */
	bool skipped;	    /* not restored: its history has gone */
	bool twice;	    /* the log was restored again, 500 ms later */
	bool rescanned;
	mstime_t missed_ms; /* between the last entries and these */
	bool told;	    /* of a stream of a version without an entry */
	bool named;	    /* another node has seen that version */
	bool paused;	    /* the node, later */
	int asks;
	bool complete;
} restores[] = {
	{ "the entries were read anew", .rescanned = true, .missed_ms = 2000,
	  .asks = 3, .complete = true },
	{ "the history has gone, and the entries were read", .skipped = true,
	  .rescanned = true, .missed_ms = 700, .asks = 3, .complete = true },
	{ "they were not", .asks = 3 },
	{ "much may have come and gone", .rescanned = true,
	  .missed_ms = VERSIONS_MISSED_MAX_MS + 1 },
	{ "the node did not know all before", .missed_before = true,
	  .rescanned = true },
	{ "restored twice", .twice = true, .rescanned = true, .asks = 5,
	  .complete = true },
	{ "a stream of an unknown version was told", .rescanned = true,
	  .told = true, .asks = 3 },
	{ "its version is known elsewhere", .rescanned = true, .told = true,
	  .named = true, .asks = 3, .complete = true },
	{ "the node pauses", .rescanned = true, .paused = true, .asks = 2 },
};

START_TEST(test_restored)
{
	int asks = 0;

	versions_observe(&versions, "a", "v1", NOW);
	if (restores[_i].missed_before)
		versions_miss(&versions, NOW);
	if (restores[_i].skipped)
		versions_skip(&versions, NOW);
	else
		versions_restore(&versions, NOW);
	ck_assert(!versions_is_complete(&versions, NOW));
	if (restores[_i].rescanned)
		versions_rescan(&versions, restores[_i].missed_ms, NOW);
	if (restores[_i].told)
		versions_hear(&versions, versions_key("a", "v2"), NOW);
	if (restores[_i].named)
		versions_observe(&versions, "a", "v2", NOW - 500);
	for (mstime_t at = 0; at <= 2000; at += 100) {
		if (at == 500 && restores[_i].twice) {
			versions_restore(&versions, NOW + at);
			versions_rescan(&versions, 0, NOW + at);
		}
		if (at == 500 && restores[_i].paused)
			versions_miss(&versions, NOW + at);
		asks += versions_take_ask(&versions, NOW + at);
	}
	ck_assert_msg(asks == restores[_i].asks, "%s: %d asks",
		      restores[_i].label, asks);
	ck_assert_msg(versions_is_complete(&versions, NOW + 2000) ==
			      restores[_i].complete,
		      "%s", restores[_i].label);
}
END_TEST

/* A version that nobody names does not hold a set back for ever. */
START_TEST(test_unnamed_expires)
{
	mstime_t later = NOW + VERSIONS_STREAM_LIFE_MS + 2000;

	versions_hear(&versions, versions_key("a", "v2"), NOW);
	versions_restore(&versions, later);
	versions_rescan(&versions, 0, later);
	for (mstime_t at = 0; at <= 2000; at += 100)
		versions_take_ask(&versions, later + at);
	ck_assert(versions_is_complete(&versions, later + 2000));
}
END_TEST

static void check_change_(uint64_t epoch, mstime_t at, int kind,
			  const char *name)
{
	versions_change_t change;

	if (kind < 0) {
		ck_assert(!versions_next_change(&versions, epoch, MARK_AGE_MS,
						NOW + at, &change));
		return;
	}
	ck_assert(versions_next_change(&versions, epoch, MARK_AGE_MS, NOW + at,
				       &change));
	ck_assert_int_eq(change.kind, kind);
	if (name)
		ck_assert_str_eq(change.version->name, name);
	versions_apply_change(&versions, &change, epoch, NOW + at);
}

/* What the record needs, in order; all of it again in a later epoch. */
START_TEST(test_changes)
{
	mstime_t gone = VERSIONS_STREAM_LIFE_MS + 1;

	check_change_(0, 0, -1, NULL);
	versions_observe(&versions, "a", "v1", NOW);
	check_change_(0, 0, VERSIONS_MARK, NULL);
	check_change_(0, 0, VERSIONS_ADD, "v1");
	check_change_(0, 0, -1, NULL);
	versions_observe(&versions, "a", "v2", NOW + gone);
	check_change_(0, gone, VERSIONS_ADD, "v2");
	check_change_(0, gone, VERSIONS_MARK, NULL);
	check_change_(0, gone, VERSIONS_REMOVE, "v1");
	check_change_(0, gone, -1, NULL);
	check_change_(1, gone, VERSIONS_ADD, "v2");
	check_change_(1, gone, VERSIONS_MARK, NULL);
	check_change_(1, gone, -1, NULL);
	check_change_(1, gone + MARK_AGE_MS, VERSIONS_MARK, NULL);
	check_change_(1, gone + MARK_AGE_MS, -1, NULL);
}
END_TEST

/* A restored log without a record gets all versions before the mark. */
START_TEST(test_changes_after_restore)
{
	versions_observe(&versions, "a", "v1", NOW);
	versions_observe(&versions, "a", "v2", NOW);
	versions_restore(&versions, NOW);
	versions_rescan(&versions, 0, NOW);
	check_change_(1, 0, VERSIONS_ADD, NULL);
	check_change_(1, 0, VERSIONS_ADD, NULL);
	check_change_(1, 0, -1, NULL);
	for (mstime_t at = 0; at <= 2000; at += 100)
		versions_take_ask(&versions, NOW + at);
	check_change_(1, 2000, VERSIONS_MARK, NULL);
	check_change_(1, 2000, -1, NULL);
}
END_TEST

START_TEST(test_versions_message)
{
	static const unsigned char key[DATAGRAM_KEY_BYTES] = "key";
	unsigned char data[DATAGRAM_MAX];
	char text[PEER_VERSION_TEXT_MAX + 1];
	peer_version_t list[PEER_VERSIONS_MAX];
	peer_versions_t m = { .sent = (u_quad_t)clock_wall(),
			      .list = { PEER_VERSIONS_MAX, list } };
	peer_versions_t got;
	size_t len;
	str_t view;

	memset(text, 'v', PEER_VERSION_TEXT_MAX);
	text[PEER_VERSION_TEXT_MAX] = 0;
	for (u_int i = 0; i < PEER_VERSIONS_MAX; i++)
		list[i] = (peer_version_t){ text, text, i };
	ck_assert_int_eq(datagram_encode_versions(key, &m, data, &len),
			 DATAGRAM_OK);
	view = (str_t){ (char *)data, len };
	ck_assert_uint_eq(datagram_proc(view), PEER_VERSIONS);
	ck_assert_int_eq(
		datagram_decode_versions(key, view, clock_wall(), &got),
		DATAGRAM_OK);
	ck_assert_uint_eq(got.list.list_len, PEER_VERSIONS_MAX);
	ck_assert_str_eq(got.list.list_val[3].service, text);
	ck_assert_str_eq(got.list.list_val[3].name, text);
	ck_assert_uint_eq(got.list.list_val[3].age_ms, 3);
	ck_assert(!got.wanted);
	datagram_free_versions(&got);
	ck_assert_int_eq(datagram_decode_versions(key, view,
						  clock_wall() + 3600000, &got),
			 DATAGRAM_EAGE);
	data[len - 1] ^= 1;
	ck_assert_int_eq(
		datagram_decode_versions(key, view, clock_wall(), &got),
		DATAGRAM_EMAC);
}
END_TEST

Suite *origins_suite(void)
{
	Suite *s = suite_create("origins");
	TCase *c = tcase_create("origins");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_loop_test(c, test_resolve, 0, G_N_ELEMENTS(cases));
	tcase_add_test(c, test_sources);
	tcase_add_loop_test(c, test_vouchers, 0, G_N_ELEMENTS(vouchers));
	tcase_add_loop_test(c, test_witnesses, 0, G_N_ELEMENTS(witnesses));
	tcase_add_test(c, test_homes);
	tcase_add_test(c, test_few_homes);
	tcase_add_test(c, test_bounded);
	tcase_add_test(c, test_message);
	tcase_add_test(c, test_doubts_message);
	tcase_add_test(c, test_doubts_are_settled);
	tcase_add_test(c, test_bound_load);
	tcase_add_loop_test(c, test_record, 0, G_N_ELEMENTS(records));
	tcase_add_test(c, test_record_expires);
	tcase_add_test(c, test_entries_since_mark);
	tcase_add_test(c, test_watched_from_first_entries);
	tcase_add_loop_test(c, test_copied, 0, G_N_ELEMENTS(copies));
	tcase_add_test(c, test_missed);
	tcase_add_test(c, test_changes);
	tcase_add_test(c, test_changes_after_restore);
	tcase_add_loop_test(c, test_restored, 0, G_N_ELEMENTS(restores));
	tcase_add_test(c, test_unnamed_expires);
	tcase_add_test(c, test_versions_message);
	suite_add_tcase(s, c);
	return s;
}
