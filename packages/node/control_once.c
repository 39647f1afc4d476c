#include "private/control.h"
#include "private/once_key.h"

#include <kcf/logline.h>
#include <kcf/once.h>
#include <stdio.h>
#include <string.h>

#define SETTLE_TIMEOUT_MS 5000
#define RETRY_MS 500
#define APPEND_RETRY_MS 100
#define READ_RETRY_MS 500
#define EXPIRE_INTERVAL_MS 10000
/* Keys given out by this node live as long as it remembers them. */
#define ISSUED_LIFE_MS (3600 * MSEC_PER_SEC)
#define SKEW_MAX_MS (300 * MSEC_PER_SEC)
/* Time after which no other node still takes itself for the settler. */
#define SETTLER_LEASE_MS (MEMBER_PROBE_MS + MEMBER_SUSPECT_MS + 1500)
#define TRY_ID_MAX 128

/* A try that waits for its intent to be read back. */
typedef struct once_wait {
	uint64_t id; /* of the relay's exchange */
	char key[ONCE_KEY_MAX];
	char attempt_id[TRY_ID_MAX];
	uint64_t offset; /* of its intent; 0 while that is unknown */
	mstime_t deadline;
} once_wait_t;

/* A try of this node that may run, runs or ran. */
typedef struct once_try {
	char key[ONCE_KEY_MAX];
	char attempt_id[TRY_ID_MAX];
	bool ended;
	bool ran;
	int status;
	char content_type[SCHED_NAME_MAX];
	GBytes *body;
	mstime_t at;
} once_try_t;

typedef struct once_part {
	struct control *control;
	int index;
	char stream[16];
	once_keys_t keys;
	json_t *batch;	  /* entries to be appended next */
	json_t *flying;	  /* entries of the append under way */
	GPtrArray *waits; /* once_wait_t * */
	bool reading;
	bool read_once; /* to its end, since this node settles */
	mstime_t next_read;
	uint64_t want; /* offset up to which the stream must be read */
	mstime_t next_append;
	mstime_t settler_since; /* 0 while another node settles */
} once_part_t;

typedef struct once_coordinator {
	once_part_t parts[ONCE_PARTITIONS];
	GHashTable *tries; /* key to once_try_t *; tries of this node */
	uint64_t next_try;
	mstime_t next_expire;
} once_coordinator_t;

static void flush_(once_part_t *p, mstime_t now);
static void read_(once_part_t *p);
static void settle_(once_part_t *p);

static void free_try_(gpointer p)
{
	once_try_t *t = p;

	if (t->body)
		g_bytes_unref(t->body);
	g_free(t);
}

void once_start(control_t *c)
{
	once_coordinator_t *b = g_new0(once_coordinator_t, 1);

	c->once = b;
	b->tries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_try_);
	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		once_part_t *p = &b->parts[i];

		p->control = c;
		p->index = i;
		snprintf(p->stream, sizeof(p->stream), "once-%d", i);
		once_keys_init(&p->keys);
		p->batch = json_array();
		p->waits = g_ptr_array_new_with_free_func(g_free);
	}
}

void once_stop(control_t *c)
{
	once_coordinator_t *b = c->once;

	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		once_part_t *p = &b->parts[i];

		once_keys_finish(&p->keys);
		json_decref(p->batch);
		json_decref(p->flying);
		g_ptr_array_unref(p->waits);
	}
	g_hash_table_destroy(b->tries);
	g_free(b);
	c->once = NULL;
}

static void reply_(control_t *c, uint64_t id, const char *key,
		   once_verdict_t verdict)
{
	message_t *m = message_new(MSG_ONCE_ANSWER);

	m->once_reply.id = id;
	m->once_reply.verdict = verdict;
	m->once_reply.retry_after_ms = RETRY_MS;
	g_strlcpy(m->once_reply.key, key, sizeof(m->once_reply.key));
	relay_post(c->relay, m);
}

static void replay_(control_t *c, uint64_t id, int status, const char *type,
		    GBytes *body)
{
	message_t *m = message_new(MSG_ONCE_ANSWER);

	m->once_reply.id = id;
	m->once_reply.verdict = ONCE_REPLAY;
	m->once_reply.status = status;
	g_strlcpy(m->once_reply.content_type, type,
		  sizeof(m->once_reply.content_type));
	m->once_reply.body = body ? g_bytes_ref(body) : NULL;
	relay_post(c->relay, m);
}

static void forward_(control_t *c, uint64_t id, const char *node)
{
	message_t *m = message_new(MSG_ONCE_ANSWER);

	m->once_reply.id = id;
	m->once_reply.verdict = ONCE_FORWARD;
	g_strlcpy(m->once_reply.node, node, sizeof(m->once_reply.node));
	relay_post(c->relay, m);
}

/* Node that settles the keys of a partition. */
static const char *settler_(const control_t *c, int partition)
{
	return sched_node_for(&c->sched, (uint64_t)partition);
}

static once_try_t *start_try_(control_t *c, const char *key,
			      const char *attempt_id)
{
	once_try_t *t = g_new0(once_try_t, 1);

	g_strlcpy(t->key, key, sizeof(t->key));
	g_strlcpy(t->attempt_id, attempt_id, sizeof(t->attempt_id));
	t->at = clock_wall();
	g_hash_table_replace(c->once->tries, t->key, t);
	return t;
}

static void new_try_id_(control_t *c, char *out)
{
	snprintf(out, TRY_ID_MAX, "%s/%lx/%lu", c->settings->name->str,
		 (unsigned long)c->incarnation,
		 (unsigned long)++c->once->next_try);
}

/* Whether the process that made a try may still be at work on it. */
static bool runner_alive_(const control_t *c, const char *attempt_id)
{
	char name[SCHED_NAME_MAX];
	unsigned long incarnation;
	const member_t *m;

	if (sscanf(attempt_id, "%63[^/]/%lx/", name, &incarnation) != 2)
		return false;
	if (!strcmp(name, c->settings->name->str))
		return incarnation == c->incarnation;
	m = members_find(&c->members, name);
	/* Refutations raise a member's incarnation above its first one. */
	return m && m->state != MEMBER_DEAD && m->incarnation >= incarnation &&
	       m->incarnation < incarnation + MSEC_PER_SEC;
}

/* Answers from what this node itself ran under a key. */
static bool answer_from_own_(control_t *c, uint64_t id, const char *key)
{
	const once_try_t *t = g_hash_table_lookup(c->once->tries, key);

	if (!t)
		return false;
	if (!t->ended)
		reply_(c, id, key, ONCE_BUSY);
	else if (t->ran && t->status)
		replay_(c, id, t->status, t->content_type, t->body);
	else if (t->ran)
		reply_(c, id, key, ONCE_UNKNOWN);
	else
		return false;
	return true;
}

/* Keys given out by a node are settled in that node's memory. */
static void begin_issued_(control_t *c, const once_claim_t *q,
			  const issued_key_t *issued)
{
	const member_t *m = members_find(&c->members, issued->node);
	char attempt_id[TRY_ID_MAX];

	if (clock_wall() - issued->issued_at_s * MSEC_PER_SEC >
	    ISSUED_LIFE_MS) {
		reply_(c, q->id, q->key, ONCE_EXPIRED);
		return;
	}
	if (strcmp(issued->node, c->settings->name->str) != 0) {
		/* Gone for good, and with it the memory of the key. */
		if (!m || m->state == MEMBER_DEAD || q->resolve_here)
			reply_(c, q->id, q->key, ONCE_UNKNOWN);
		else
			forward_(c, q->id, issued->node);
		return;
	}
	if (issued->incarnation != c->incarnation) {
		reply_(c, q->id, q->key, ONCE_UNKNOWN);
		return;
	}
	if (answer_from_own_(c, q->id, q->key))
		return;
	new_try_id_(c, attempt_id);
	start_try_(c, q->key, attempt_id);
	reply_(c, q->id, q->key, ONCE_RUN);
}

static void answer_entry_(control_t *c, uint64_t id, const once_entry_t *e)
{
	if (e->state == ONCE_COMPLETED)
		replay_(c, id, e->status, e->content_type, e->body);
	else if (runner_alive_(c, e->owner_attempt))
		reply_(c, id, e->key, ONCE_BUSY);
	else
		reply_(c, id, e->key, ONCE_UNKNOWN);
}

/*
 * Whether the log is sure to hold nothing of a key: this node alone settles
 * it, has read the stream since it does, and knows no entry.
 */
static bool provably_absent_(const once_part_t *p, const char *key)
{
	return p->settler_since && p->read_once &&
	       clock_now() - p->settler_since > SETTLER_LEASE_MS &&
	       !once_find(&p->keys, key) &&
	       !g_hash_table_contains(p->control->once->tries, key);
}

static void refuse_wait_(once_part_t *p, const once_wait_t *w)
{
	reply_(p->control, w->id, w->key,
	       provably_absent_(p, w->key) ? ONCE_NOT_RUN : ONCE_UNRESOLVED);
}

static void begin_logged_(control_t *c, const once_claim_t *q)
{
	once_part_t *p = &c->once->parts[once_partition(q->key)];
	const char *settler = settler_(c, p->index);
	const once_entry_t *e;
	once_wait_t *w;

	if (!q->resolve_here && settler &&
	    strcmp(settler, c->settings->name->str) != 0) {
		forward_(c, q->id, settler);
		return;
	}
	if (answer_from_own_(c, q->id, q->key))
		return;
	e = once_find(&p->keys, q->key);
	if (e && e->state == ONCE_COMPLETED) {
		answer_entry_(c, q->id, e);
		return;
	}
	w = g_new0(once_wait_t, 1);
	w->id = q->id;
	w->deadline = clock_now() + SETTLE_TIMEOUT_MS;
	g_strlcpy(w->key, q->key, sizeof(w->key));
	new_try_id_(c, w->attempt_id);
	g_ptr_array_add(p->waits, w);
	json_array_append_new(p->batch, once_intent(w->key, w->attempt_id));
	flush_(p, clock_now());
}

void once_begin_attempt(control_t *c, const once_claim_t *q)
{
	str_t key = once_key_unscoped(q->key);
	mstime_t window = c->settings->log_retention_s * MSEC_PER_SEC / 2;
	mstime_t age;
	issued_key_t issued;

	if (once_key_parse_issued(c->settings->peer_key, key, &issued)) {
		begin_issued_(c, q, &issued);
		return;
	}
	age = clock_wall() - once_key_time_s(key) * MSEC_PER_SEC;
	if (age > window || age < -SKEW_MAX_MS)
		reply_(c, q->id, q->key, ONCE_EXPIRED);
	else
		begin_logged_(c, q);
}

static bool issued_here_(const control_t *c, const char *key)
{
	issued_key_t issued;

	return once_key_parse_issued(c->settings->peer_key,
				     once_key_unscoped(key), &issued);
}

void once_end_attempt(control_t *c, const once_claim_t *q)
{
	once_try_t *t = g_hash_table_lookup(c->once->tries, q->key);
	once_part_t *p = &c->once->parts[once_partition(q->key)];

	if (!t || t->ended)
		return;
	t->ended = true;
	t->ran = q->ran;
	t->status = q->status;
	t->at = clock_wall();
	t->body = q->body ? g_bytes_ref(q->body) : NULL;
	g_strlcpy(t->content_type, q->content_type, sizeof(t->content_type));
	LOG_EVENT(LOG_INFO, "once.end", F_STR("key", q->key),
		  F_INT("ran", q->ran), F_INT("status", q->status));
	if (!issued_here_(c, q->key)) {
		if (q->ran && q->status)
			json_array_append_new(
				p->batch,
				once_outcome(q->key, t->attempt_id, q->status,
					     q->content_type, q->body));
		else if (!q->ran)
			json_array_append_new(
				p->batch, once_release(q->key, t->attempt_id));
		flush_(p, clock_now());
	}
	/* A key that has not run is free for the next try. */
	if (!q->ran)
		g_hash_table_remove(c->once->tries, q->key);
}

static bool in_batch_(const json_t *batch, const once_wait_t *w)
{
	size_t i;
	json_t *o;

	json_array_foreach ((json_t *)batch, i, o) {
		const char *id = json_string_value(json_object_get(o, "try"));

		if (id && !strcmp(id, w->attempt_id))
			return true;
	}
	return false;
}

/* Entries whose append was refused: intents are dropped, the rest kept. */
static void drop_intents_(once_part_t *p)
{
	size_t i;
	json_t *o;

	for (guint j = 0; j < p->waits->len;) {
		once_wait_t *w = p->waits->pdata[j];

		if (!in_batch_(p->flying, w)) {
			j++;
			continue;
		}
		refuse_wait_(p, w);
		g_ptr_array_remove_index(p->waits, j);
	}
	json_array_foreach (p->flying, i, o) {
		const char *type =
			json_string_value(json_object_get(o, "type"));

		if (strcmp(type, "intent") != 0)
			json_array_append(p->batch, o);
	}
}

static void on_appended_(void *arg, int err, uint64_t offset)
{
	once_part_t *p = arg;

	if (!p->control->once)
		return;
	if (err == LOG_OK) {
		for (guint i = 0; i < p->waits->len; i++) {
			once_wait_t *w = p->waits->pdata[i];

			if (in_batch_(p->flying, w))
				w->offset = offset;
		}
		p->want = MAX(p->want, offset);
	} else if (err == LOG_EREFUSED) {
		drop_intents_(p);
	} else {
		/* Appending the same tries again does no harm. */
		json_array_extend(p->flying, p->batch);
		json_decref(p->batch);
		p->batch = json_incref(p->flying);
	}
	json_decref(p->flying);
	p->flying = NULL;
	p->next_append = err ? clock_now() + APPEND_RETRY_MS : 0;
	flush_(p, clock_now());
	read_(p);
}

/* One append of a partition is under way at a time; the rest is batched. */
static void flush_(once_part_t *p, mstime_t now)
{
	control_t *c = p->control;
	char *text;

	if (p->flying || !json_array_size(p->batch) || now < p->next_append)
		return;
	p->flying = p->batch;
	p->batch = json_array();
	text = json_dumps(p->flying, JSON_COMPACT);
	c->log.ops->append(&c->log, p->stream, str_of(text), on_appended_, p);
	free(text);
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	once_part_t *p = arg;

	if (!p->control->once)
		return;
	p->reading = false;
	if (err) {
		p->next_read = clock_now() + READ_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		once_apply_record(&p->keys, batch->records[i].offset,
				  batch->records[i].at, batch->records[i].body);
	p->keys.next_offset = MAX(p->keys.next_offset, batch->first);
	if (p->keys.next_offset >= batch->next)
		p->read_once = true;
	settle_(p);
	read_(p);
}

static void read_(once_part_t *p)
{
	control_t *c = p->control;

	bool wanted = p->keys.next_offset <= p->want ||
		      (p->settler_since && !p->read_once);

	if (p->reading || !wanted || clock_now() < p->next_read)
		return;
	p->reading = true;
	c->log.ops->read(&c->log, p->stream, p->keys.next_offset, 0, on_read_,
			 p);
}

static void settle_one_(once_part_t *p, const once_wait_t *w)
{
	control_t *c = p->control;
	const once_entry_t *e = once_find(&p->keys, w->key);

	if (!e) {
		/* Held and released again in the same stretch of the stream. */
		reply_(c, w->id, w->key, ONCE_NOT_RUN);
	} else if (strcmp(e->owner_attempt, w->attempt_id) != 0) {
		answer_entry_(c, w->id, e);
	} else {
		start_try_(c, w->key, w->attempt_id);
		reply_(c, w->id, w->key, ONCE_RUN);
	}
}

static void settle_(once_part_t *p)
{
	for (guint i = 0; i < p->waits->len;) {
		once_wait_t *w = p->waits->pdata[i];

		if (!w->offset || w->offset >= p->keys.next_offset) {
			i++;
			continue;
		}
		settle_one_(p, w);
		g_ptr_array_remove_index(p->waits, i);
	}
}

/* Gives up a try that nobody waits for any more; it will not run. */
static void abandon_(once_part_t *p, const once_wait_t *w)
{
	json_array_append_new(p->batch, once_release(w->key, w->attempt_id));
}

static void expire_waits_(once_part_t *p, mstime_t now)
{
	for (guint i = 0; i < p->waits->len;) {
		once_wait_t *w = p->waits->pdata[i];

		if (now < w->deadline) {
			i++;
			continue;
		}
		reply_(p->control, w->id, w->key, ONCE_UNRESOLVED);
		abandon_(p, w);
		g_ptr_array_remove_index(p->waits, i);
	}
}

static gboolean try_too_old_(gpointer key, gpointer value, gpointer data)
{
	const once_try_t *t = value;

	(void)key;
	return t->ended && t->at < *(mstime_t *)data;
}

static void expire_(control_t *c)
{
	mstime_t wall = clock_wall();
	mstime_t retention = c->settings->log_retention_s * MSEC_PER_SEC;
	mstime_t before = wall - MAX(retention, ISSUED_LIFE_MS + SKEW_MAX_MS);

	g_hash_table_foreach_remove(c->once->tries, try_too_old_, &before);
	for (int i = 0; i < ONCE_PARTITIONS; i++)
		once_expire(&c->once->parts[i].keys, wall - retention);
}

void once_tick(control_t *c, mstime_t now)
{
	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		once_part_t *p = &c->once->parts[i];
		const char *settler = settler_(c, i);
		bool here = settler && !strcmp(settler, c->settings->name->str);

		if (here && !p->settler_since) {
			p->settler_since = now;
			p->read_once = false;
		} else if (!here) {
			p->settler_since = 0;
		}
		expire_waits_(p, now);
		flush_(p, now);
		read_(p);
	}
	if (now < c->once->next_expire)
		return;
	c->once->next_expire = now + EXPIRE_INTERVAL_MS;
	expire_(c);
}
