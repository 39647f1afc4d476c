/*
 * Three nodes try one key over a log whose answers may be lost or late. Nodes
 * may be killed, may be slow to read, and may give up on a try.
 *
 * Invariants: the key runs at most once; a try told "not run" by a released
 * key is told so only while the key has not run.
 */
#include "model.h"

#include <kcf/once.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define RECORDS_MAX 64
#define STEPS 24

typedef enum try_state {
	TRY_NONE,
	TRY_WAITING, /* intent sent, not yet read back */
	TRY_RUNNING,
	TRY_RAN, /* outcome not yet recorded */
} try_state_t;

typedef struct model_node {
	once_keys_t keys;
	try_state_t state;
	char try_id[16];
	uint64_t offset; /* of the intent, 0 when not known */
} model_node_t;

static struct {
	GRand *rand;
	char *records[RECORDS_MAX];
	int count;
	char *late; /* an append still under way, to take effect at any time */
	model_node_t nodes[NODES];
	int next_try;
	int runs;
	bool broken;
} m;

static char *text_(json_t *entry)
{
	json_t *list = json_array();
	char *text;

	json_array_append_new(list, entry);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

static uint64_t land_(char *text)
{
	if (m.count == RECORDS_MAX) {
		free(text);
		return 0;
	}
	m.records[m.count++] = text;
	return (uint64_t)m.count;
}

/* An append: done, done without an answer, or done later without an answer. */
static uint64_t append_(json_t *entry)
{
	char *text = text_(entry);

	switch (g_rand_int_range(m.rand, 0, 6)) {
	case 0:
		land_(text);
		return 0;
	case 1:
		if (m.late)
			land_(m.late);
		m.late = text;
		return 0;
	default:
		return land_(text);
	}
}

static void read_(model_node_t *n, int records)
{
	while (records-- > 0 && n->keys.next_offset <= (uint64_t)m.count) {
		const char *text = m.records[n->keys.next_offset - 1];

		once_apply_record(&n->keys, n->keys.next_offset, 0,
				  str_of(text));
	}
}

static void start_(model_node_t *n)
{
	snprintf(n->try_id, sizeof(n->try_id), "t%d", ++m.next_try);
	n->state = TRY_WAITING;
	n->offset = append_(once_intent("k", n->try_id));
}

/* An append without an answer is made again under the same try. */
static void settle_(model_node_t *n)
{
	const once_entry_t *e;

	if (!n->offset) {
		n->offset = append_(once_intent("k", n->try_id));
		return;
	}
	read_(n, RECORDS_MAX);
	e = once_find(&n->keys, "k");
	if (!e) {
		/* Told "not run". */
		m.broken = m.broken || m.runs > 0;
		n->state = TRY_NONE;
	} else if (strcmp(e->owner_attempt, n->try_id) != 0) {
		n->state = TRY_NONE;
	} else if (e->state == ONCE_CLAIMED) {
		n->state = TRY_RUNNING;
	} else {
		n->state = TRY_NONE;
	}
}

static void run_(model_node_t *n)
{
	if (g_rand_int_range(m.rand, 0, 3) == 0) {
		/* Refused by the upstream before it ran. */
		append_(once_release("k", n->try_id));
		n->state = TRY_NONE;
		return;
	}
	m.runs++;
	n->state = TRY_RAN;
}

static void end_(model_node_t *n)
{
	append_(once_outcome("k", n->try_id, 200, "", NULL));
	n->state = TRY_NONE;
}

static void kill_(model_node_t *n)
{
	once_keys_finish(&n->keys);
	once_keys_init(&n->keys);
	n->state = TRY_NONE;
}

static void give_up_(model_node_t *n)
{
	append_(once_release("k", n->try_id));
	n->state = TRY_NONE;
}

static void step_(model_node_t *n)
{
	int what = g_rand_int_range(m.rand, 0, 12);

	if (what == 0) {
		kill_(n);
	} else if (what == 1 && m.late) {
		land_(m.late);
		m.late = NULL;
	} else if (what == 2) {
		read_(n, 1);
	} else if (n->state == TRY_NONE) {
		start_(n);
	} else if (n->state == TRY_WAITING && what == 3) {
		give_up_(n);
	} else if (n->state == TRY_WAITING) {
		settle_(n);
	} else if (n->state == TRY_RUNNING) {
		run_(n);
	} else {
		end_(n);
	}
}

bool model_once(guint32 seed)
{
	memset(&m, 0, sizeof(m));
	m.rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < NODES; i++)
		once_keys_init(&m.nodes[i].keys);
	for (int i = 0; i < STEPS; i++)
		step_(&m.nodes[g_rand_int_range(m.rand, 0, NODES)]);
	for (int i = 0; i < NODES; i++)
		once_keys_finish(&m.nodes[i].keys);
	for (int i = 0; i < m.count; i++)
		free(m.records[i]);
	free(m.late);
	g_rand_free(m.rand);
	return m.runs <= 1 && !m.broken;
}
