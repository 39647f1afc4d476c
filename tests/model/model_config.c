/*
 * Model of the configuration: three nodes read one log. Operators propose
 * changes based on the version that a node shows; appends are duplicated or
 * delayed; nodes read at different speeds, restart, restore snapshots from each
 * other and write snapshots to the log; old records expire.
 *
 * Invariants: no node ever shows an older version than it showed before, and
 * nodes that have read the whole stream show the same version.
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
	int oldest_kept;     /* index of the oldest record kept */
	int snapshot_offset; /* offset that the newest snapshot covers */
	char *delayed;	     /* an append that may take effect at any time */
	config_t nodes[NODES];
	uint64_t version_shown[NODES];
	uint64_t highest_offset[NODES]; /* up to which a node has shown */
	bool caught_up[NODES];		/* read to the end since its start */
	int next_id;
	bool violated;
} m;

static void append_now_(char *text)
{
	if (m.count < RECORDS_MAX)
		m.records[m.count++] = text;
	else
		g_free(text);
}

static void append_(char *text)
{
	switch (g_rand_int_range(m.rand, 0, 5)) {
	case 0: /* appended twice, as after a lost response */
		append_now_(g_strdup(text));
		append_now_(text);
		break;
	case 1:
		if (m.delayed)
			append_now_(m.delayed);
		m.delayed = text;
		break;
	default:
		append_now_(text);
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

static void check_version_(int i)
{
	uint64_t version = config_version(&m.nodes[i], KIND_SITE, "site");

	m.violated = m.violated || version < m.version_shown[i];
	m.version_shown[i] = version;
	m.highest_offset[i] = MAX(m.highest_offset[i], m.nodes[i].applied);
}

/* The version of a node that has caught up must not decrease. */
static void check_if_caught_up_(int i)
{
	if (m.nodes[i].applied >= (uint64_t)m.count)
		m.caught_up[i] = true;
	if (m.caught_up[i])
		check_version_(i);
}

static void scan_(int i)
{
	config_t *c = &m.nodes[i];

	for (int at = m.oldest_kept; at < m.count; at++) {
		if (config_scan_snapshot(c, (uint64_t)m.oldest_kept + 1, 0,
					 str_of(m.records[at])))
			return;
	}
}

static void read_(int i, int records)
{
	config_t *c = &m.nodes[i];

	if (config_has_gap(c, (uint64_t)m.oldest_kept + 1))
		scan_(i);
	if (config_has_gap(c, (uint64_t)m.oldest_kept + 1))
		return;
	while (records-- > 0 && c->applied < (uint64_t)m.count) {
		const char *text = m.records[c->applied];
		config_result_t r;

		config_apply_record(c, c->applied + 1, 0, str_of(text), &r);
		config_result_finish(&r);
		check_if_caught_up_(i);
	}
	check_if_caught_up_(i);
}

static void restart_(int i)
{
	config_finish(&m.nodes[i]);
	config_init(&m.nodes[i]);
	m.caught_up[i] = false;
}

static void restore_from_peer_(int from, int to)
{
	json_t *s;

	if (!m.caught_up[from])
		return;
	s = config_snapshot(&m.nodes[from]);
	config_restore(&m.nodes[to], s);
	json_decref(s);
	/* Not ready below an offset that any node, or itself, has shown. */
	for (int i = 0; i < NODES; i++) {
		if (m.nodes[to].applied < m.highest_offset[i])
			return;
	}
	m.caught_up[to] = true;
	check_version_(to);
}

/* A snapshot by a node that has caught up, but may lag behind by now. */
static void write_snapshot_(int i)
{
	GPtrArray *records;

	if (!m.caught_up[i] || m.count > RECORDS_MAX - 4)
		return;
	records = config_snapshot_records(&m.nodes[i], "s");
	m.snapshot_offset = (int)m.nodes[i].applied;
	for (guint j = 0; j < records->len; j++)
		append_now_(g_strdup(records->pdata[j]));
	g_ptr_array_unref(records);
}

/* Expires some of the records that the newest snapshot replaces. */
static void expire_(void)
{
	int to = g_rand_int_range(m.rand, 0, m.snapshot_offset + 1);

	m.oldest_kept = MAX(m.oldest_kept, to);
}

static void step_(int i)
{
	switch (g_rand_int_range(m.rand, 0, 10)) {
	case 0:
		restart_(i);
		break;
	case 1:
		restore_from_peer_(i, (i + 1) % NODES);
		break;
	case 2:
		write_snapshot_(i);
		break;
	case 9:
		expire_();
		break;
	case 3:
		if (m.delayed)
			append_now_(m.delayed);
		m.delayed = NULL;
		break;
	case 4:
	case 5:
	case 6:
		if (m.caught_up[i])
			propose_(&m.nodes[i]);
		break;
	default:
		read_(i, 1 + g_rand_int_range(m.rand, 0, 4));
	}
}

static bool nodes_agree_(void)
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
	ok = nodes_agree_() && !m.violated;
	for (int i = 0; i < NODES; i++)
		config_finish(&m.nodes[i]);
	for (int i = 0; i < m.count; i++)
		g_free(m.records[i]);
	g_free(m.delayed);
	g_rand_free(m.rand);
	return ok;
}
