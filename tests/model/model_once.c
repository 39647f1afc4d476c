/*
 * Model of run-once calls: three nodes make attempts for one key over a log
 * whose responses may be lost or delayed. Nodes may restart, read slowly, and
 * abandon an attempt.
 *
 * Invariants: the call runs at most once, and an attempt that finds the key
 * released is reported as "not run" only if the call has not run.
 */
#include "model.h"

#include <kcf/once.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define RECORDS_MAX 64
#define STEPS 24

typedef enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_WAITING, /* intent sent, not yet read back */
	ATTEMPT_RUNNING,
	ATTEMPT_RAN, /* outcome not yet recorded */
} attempt_state_t;

typedef struct model_node {
	once_keys_t keys;
	attempt_state_t state;
	char attempt_id[16];
	uint64_t offset; /* of the intent; 0 if unknown */
} model_node_t;

static struct {
	GRand *rand;
	char *records[RECORDS_MAX];
	int count;
	char *delayed; /* an append that may take effect at any time */
	model_node_t nodes[NODES];
	int next_attempt;
	int runs;
	bool violated;
} m;

static char *record_text_(json_t *entry)
{
	json_t *list = json_array();
	char *text;

	json_array_append_new(list, entry);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

static uint64_t append_now_(char *text)
{
	if (m.count == RECORDS_MAX) {
		free(text);
		return 0;
	}
	m.records[m.count++] = text;
	return (uint64_t)m.count;
}

/* Appends now, now with the response lost, or later with the response lost. */
static uint64_t append_(json_t *entry)
{
	char *text = record_text_(entry);

	switch (g_rand_int_range(m.rand, 0, 6)) {
	case 0:
		append_now_(text);
		return 0;
	case 1:
		if (m.delayed)
			append_now_(m.delayed);
		m.delayed = text;
		return 0;
	default:
		return append_now_(text);
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

static void begin_attempt_(model_node_t *n)
{
	snprintf(n->attempt_id, sizeof(n->attempt_id), "t%d", ++m.next_attempt);
	n->state = ATTEMPT_WAITING;
	n->offset = append_(once_intent("k", n->attempt_id));
}

/* An append without a response is repeated under the same attempt. */
static void resolve_(model_node_t *n)
{
	const once_entry_t *e;

	if (!n->offset) {
		n->offset = append_(once_intent("k", n->attempt_id));
		return;
	}
	read_(n, RECORDS_MAX);
	e = once_find(&n->keys, "k");
	if (!e) {
		/* Reported as "not run". */
		m.violated = m.violated || m.runs > 0;
		n->state = ATTEMPT_NONE;
	} else if (strcmp(e->owner_attempt, n->attempt_id) != 0) {
		n->state = ATTEMPT_NONE;
	} else if (e->state == ONCE_CLAIMED) {
		n->state = ATTEMPT_RUNNING;
	} else {
		n->state = ATTEMPT_NONE;
	}
}

static void run_(model_node_t *n)
{
	if (g_rand_int_range(m.rand, 0, 3) == 0) {
		/* Refused by the upstream before it ran. */
		append_(once_release("k", n->attempt_id));
		n->state = ATTEMPT_NONE;
		return;
	}
	m.runs++;
	n->state = ATTEMPT_RAN;
}

static void record_outcome_(model_node_t *n)
{
	append_(once_outcome("k", n->attempt_id, 200, "", NULL));
	n->state = ATTEMPT_NONE;
}

static void restart_(model_node_t *n)
{
	once_keys_finish(&n->keys);
	once_keys_init(&n->keys);
	n->state = ATTEMPT_NONE;
}

static void release_(model_node_t *n)
{
	append_(once_release("k", n->attempt_id));
	n->state = ATTEMPT_NONE;
}

static void step_(model_node_t *n)
{
	int action = g_rand_int_range(m.rand, 0, 12);

	if (action == 0) {
		restart_(n);
	} else if (action == 1 && m.delayed) {
		append_now_(m.delayed);
		m.delayed = NULL;
	} else if (action == 2) {
		read_(n, 1);
	} else if (n->state == ATTEMPT_NONE) {
		begin_attempt_(n);
	} else if (n->state == ATTEMPT_WAITING && action == 3) {
		release_(n);
	} else if (n->state == ATTEMPT_WAITING) {
		resolve_(n);
	} else if (n->state == ATTEMPT_RUNNING) {
		run_(n);
	} else {
		record_outcome_(n);
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
	free(m.delayed);
	g_rand_free(m.rand);
	return m.runs <= 1 && !m.violated;
}
