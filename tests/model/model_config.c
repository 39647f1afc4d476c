/*
 * Three nodes over one log: operators propose from what a node shows, appends
 * are repeated and late, nodes read at their own pace, are killed, take
 * snapshots from each other, old records run out, and checkpoints are made.
 *
 * Invariants: no node ever shows an older version than it showed before;
 * nodes that have read the whole stream show the same.
 */
#include "model.h"

#include <kcf/config.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define RECORDS_MAX 64
#define STEPS 20

static struct {
	GRand *rand;
	char *records[RECORDS_MAX];
	int count;
	int first; /* index of the oldest record kept */
	int kept;  /* offset up to which the newest snapshot counts */
	char *late;
	config_t nodes[NODES];
	uint64_t shown[NODES];
	uint64_t heard[NODES]; /* highest offset that a node has shown */
	bool whole[NODES]; /* has seen the end of the stream since it started */
	int next_id;
	bool broken;
} m;

static void land_(char *text)
{
	if (m.count < RECORDS_MAX)
		m.records[m.count++] = text;
	else
		g_free(text);
}

static void append_(char *text)
{
	switch (g_rand_int_range(m.rand, 0, 5)) {
	case 0: /* appended twice, as after a lost answer */
		land_(g_strdup(text));
		land_(text);
		break;
	case 1:
		if (m.late)
			land_(m.late);
		m.late = text;
		break;
	default:
		land_(text);
	}
}

static void propose_(config_t *c)
{
	char id[16];
	json_t *body = json_pack("{s:f}", "load_bound",
				 1.0 + g_rand_int_range(m.rand, 0, 9));
	config_proposal_t p = {
		.id = id,
		.base = config_version(c, KIND_SITE, "site"),
		.kind = KIND_SITE,
		.name = "site",
		.body = g_rand_int_range(m.rand, 0, 6) ? body : NULL,
		.operator_name = "ana",
		.reason = "",
	};

	snprintf(id, sizeof(id), "p%d", m.next_id++);
	append_(config_proposal_record(&p));
	json_decref(body);
}

static void check_(int i)
{
	uint64_t version = config_version(&m.nodes[i], KIND_SITE, "site");

	m.broken = m.broken || version < m.shown[i];
	m.shown[i] = version;
	m.heard[i] = MAX(m.heard[i], m.nodes[i].applied);
}

/* Whole and following: what it shows may only get newer. */
static void show_(int i)
{
	if (m.nodes[i].applied >= (uint64_t)m.count)
		m.whole[i] = true;
	if (m.whole[i])
		check_(i);
}

static void scan_(int i)
{
	config_t *c = &m.nodes[i];

	for (int at = m.first; at < m.count; at++) {
		if (config_scan_snapshot(c, (uint64_t)m.first + 1, 0,
					 str_of(m.records[at])))
			return;
	}
}

static void read_(int i, int records)
{
	config_t *c = &m.nodes[i];

	if (config_has_gap(c, (uint64_t)m.first + 1))
		scan_(i);
	if (config_has_gap(c, (uint64_t)m.first + 1))
		return;
	while (records-- > 0 && c->applied < (uint64_t)m.count) {
		const char *text = m.records[c->applied];
		config_result_t r;

		config_apply_record(c, c->applied + 1, 0, str_of(text), &r);
		config_result_finish(&r);
		show_(i);
	}
	show_(i);
}

static void restart_(int i)
{
	config_finish(&m.nodes[i]);
	config_init(&m.nodes[i]);
	m.whole[i] = false;
}

static void snapshot_(int from, int to)
{
	json_t *s;

	if (!m.whole[from])
		return;
	s = config_snapshot(&m.nodes[from]);
	config_restore(&m.nodes[to], s);
	json_decref(s);
	/* Not ready below what any node, itself before included, has shown. */
	for (int i = 0; i < NODES; i++) {
		if (m.nodes[to].applied < m.heard[i])
			return;
	}
	m.whole[to] = true;
	check_(to);
}

/* A snapshot by a node that follows the stream, perhaps not to its end. */
static void keep_(int i)
{
	GPtrArray *parts;

	if (!m.whole[i] || m.count > RECORDS_MAX - 4)
		return;
	parts = config_snapshot_records(&m.nodes[i], "s");
	m.kept = (int)m.nodes[i].applied;
	for (guint j = 0; j < parts->len; j++)
		land_(g_strdup(parts->pdata[j]));
	g_ptr_array_unref(parts);
}

/* Records go that the newest snapshot makes unnecessary. */
static void expire_(void)
{
	int to = g_rand_int_range(m.rand, 0, m.kept + 1);

	m.first = MAX(m.first, to);
}

static void step_(int i)
{
	switch (g_rand_int_range(m.rand, 0, 10)) {
	case 0:
		restart_(i);
		break;
	case 1:
		snapshot_(i, (i + 1) % NODES);
		break;
	case 2:
		keep_(i);
		break;
	case 9:
		expire_();
		break;
	case 3:
		if (m.late)
			land_(m.late);
		m.late = NULL;
		break;
	case 4:
	case 5:
	case 6:
		if (m.whole[i])
			propose_(&m.nodes[i]);
		break;
	default:
		read_(i, 1 + g_rand_int_range(m.rand, 0, 4));
	}
}

static bool agree_(void)
{
	for (int i = 0; i < NODES; i++)
		read_(i, RECORDS_MAX);
	for (int i = 1; i < NODES; i++) {
		const resource_t *a =
			config_find(&m.nodes[0], KIND_SITE, "site");
		const resource_t *b =
			config_find(&m.nodes[i], KIND_SITE, "site");

		if (!a != !b)
			return false;
		if (a &&
		    (a->version != b->version || !json_equal(a->body, b->body)))
			return false;
	}
	return true;
}

bool model_config(guint32 seed)
{
	bool ok;

	memset(&m, 0, sizeof(m));
	m.rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < NODES; i++)
		config_init(&m.nodes[i]);
	for (int i = 0; i < STEPS; i++)
		step_(g_rand_int_range(m.rand, 0, NODES));
	ok = agree_() && !m.broken;
	for (int i = 0; i < NODES; i++)
		config_finish(&m.nodes[i]);
	for (int i = 0; i < m.count; i++)
		g_free(m.records[i]);
	g_free(m.late);
	g_rand_free(m.rand);
	return ok;
}
