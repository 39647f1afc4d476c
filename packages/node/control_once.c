/*
 * Decides which attempt at a run-once request may run. Keys chosen by callers
 * are claimed in the log, each partition by its owner among the nodes; keys
 * issued by a node are kept in that node's memory only.
 */
#include "private/control.h"
#include "private/once_key.h"

#include <kcf/logline.h>
#include <kcf/once.h>
#include <stdio.h>
#include <string.h>

#define RESOLVE_TIMEOUT_MS 5000
#define CALLER_RETRY_MS 500
#define APPEND_RETRY_MS 100
#define READ_RETRY_MS 500
#define EXPIRE_INTERVAL_MS 10000
/* Issued keys expire before this node forgets its attempts with them. */
#define ISSUED_KEY_LIFE_MS (3600 * MSEC_PER_SEC)
#define CLOCK_SKEW_MAX_MS (300 * MSEC_PER_SEC)
/* Time after which no other node still acts as the owner of a partition. */
#define KEY_OWNER_LEASE_MS (MEMBER_PROBE_MS + MEMBER_SUSPECT_MS + 1500)
#define ATTEMPT_ID_MAX 128

/* An attempt whose intent is to be appended and read back. */
typedef struct pending_claim {
	uint64_t id; /* of the relay's exchange */
	char key[ONCE_KEY_MAX];
	char attempt_id[ATTEMPT_ID_MAX];
	uint64_t offset; /* of its intent, or 0 until it is appended */
	mstime_t deadline;
} pending_claim_t;

/* An attempt that this node was allowed to run. */
typedef struct once_attempt {
	char key[ONCE_KEY_MAX];
	char attempt_id[ATTEMPT_ID_MAX];
	bool completed;
	bool ran;
	int status;
	char content_type[SCHED_NAME_MAX];
	GBytes *body;
	mstime_t updated_at;
} once_attempt_t;

/* Keys of one stream. */
typedef struct key_partition {
	struct control *control;
	int index;
	char stream[16];
	once_keys_t keys;
	json_t *batch;	   /* entries to be appended next */
	json_t *in_flight; /* entries of the append in flight */
	GPtrArray *claims; /* pending_claim_t * */
	bool reading;
	bool caught_up; /* read to the end since owned_since */
	mstime_t next_read;
	uint64_t read_up_to; /* the stream must be read to this offset */
	mstime_t next_append;
	mstime_t owned_since; /* 0 while another node is the owner */
} key_partition_t;

typedef struct once_coordinator {
	key_partition_t partitions[ONCE_PARTITIONS];
	GHashTable *attempts; /* key to once_attempt_t * */
	uint64_t attempt_count;
	mstime_t next_expire;
} once_coordinator_t;

static void append_batch_(key_partition_t *p, mstime_t now);
static void read_stream_(key_partition_t *p);
static void resolve_claims_(key_partition_t *p);

static void free_attempt_(gpointer p)
{
	once_attempt_t *t = p;

	if (t->body)
		g_bytes_unref(t->body);
	g_free(t);
}

void once_start(control_t *c)
{
	once_coordinator_t *b = g_new0(once_coordinator_t, 1);

	c->once = b;
	b->attempts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_attempt_);
	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		key_partition_t *p = &b->partitions[i];

		p->control = c;
		p->index = i;
		snprintf(p->stream, sizeof(p->stream), "once-%d", i);
		once_keys_init(&p->keys);
		p->batch = json_array();
		p->claims = g_ptr_array_new_with_free_func(g_free);
	}
}

void once_stop(control_t *c)
{
	once_coordinator_t *b = c->once;

	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		key_partition_t *p = &b->partitions[i];

		once_keys_finish(&p->keys);
		json_decref(p->batch);
		json_decref(p->in_flight);
		g_ptr_array_unref(p->claims);
	}
	g_hash_table_destroy(b->attempts);
	g_free(b);
	c->once = NULL;
}

static void reply_(control_t *c, uint64_t id, const char *key,
		   once_verdict_t verdict)
{
	message_t *m = message_new(MSG_ONCE_REPLY);

	m->once_reply.id = id;
	m->once_reply.verdict = verdict;
	m->once_reply.retry_after_ms = CALLER_RETRY_MS;
	g_strlcpy(m->once_reply.key, key, sizeof(m->once_reply.key));
	relay_post(c->relay, m);
}

static void reply_outcome_(control_t *c, uint64_t id, int status,
			   const char *type, GBytes *body)
{
	message_t *m = message_new(MSG_ONCE_REPLY);

	m->once_reply.id = id;
	m->once_reply.verdict = ONCE_REPLAY;
	m->once_reply.status = status;
	g_strlcpy(m->once_reply.content_type, type,
		  sizeof(m->once_reply.content_type));
	m->once_reply.body = body ? g_bytes_ref(body) : NULL;
	relay_post(c->relay, m);
}

static void reply_forward_(control_t *c, uint64_t id, const char *node)
{
	message_t *m = message_new(MSG_ONCE_REPLY);

	m->once_reply.id = id;
	m->once_reply.verdict = ONCE_FORWARD;
	g_strlcpy(m->once_reply.node, node, sizeof(m->once_reply.node));
	relay_post(c->relay, m);
}

/* Node that decides on the keys of a partition. */
static const char *key_owner_(const control_t *c, int partition)
{
	return sched_node_for_partition(&c->sched, (uint64_t)partition);
}

static once_attempt_t *start_attempt_(control_t *c, const char *key,
				      const char *attempt_id)
{
	once_attempt_t *t = g_new0(once_attempt_t, 1);

	g_strlcpy(t->key, key, sizeof(t->key));
	g_strlcpy(t->attempt_id, attempt_id, sizeof(t->attempt_id));
	t->updated_at = clock_wall();
	g_hash_table_replace(c->once->attempts, t->key, t);
	return t;
}

static void new_attempt_id_(control_t *c, char *out)
{
	snprintf(out, ATTEMPT_ID_MAX, "%s/%lx/%lu", c->settings->name->str,
		 (unsigned long)c->incarnation,
		 (unsigned long)++c->once->attempt_count);
}

/* Whether the process that made an attempt may still be running it. */
static bool attempt_may_be_running_(const control_t *c, const char *attempt_id)
{
	char name[SCHED_NAME_MAX];
	unsigned long incarnation;
	const member_t *m;

	if (sscanf(attempt_id, "%63[^/]/%lx/", name, &incarnation) != 2)
		return false;
	if (!strcmp(name, c->settings->name->str))
		return incarnation == c->incarnation;
	m = members_find(&c->members, name);
	/* Refuting a suspicion raises a member's incarnation a little. */
	return m && m->state != MEMBER_DEAD && m->incarnation >= incarnation &&
	       m->incarnation < incarnation + MSEC_PER_SEC;
}

/* Answers from this node's own attempt with a key, if there is one. */
static bool reply_from_own_attempt_(control_t *c, uint64_t id, const char *key)
{
	const once_attempt_t *t = g_hash_table_lookup(c->once->attempts, key);

	if (!t)
		return false;
	if (!t->completed)
		reply_(c, id, key, ONCE_BUSY);
	else if (t->ran && t->status)
		reply_outcome_(c, id, t->status, t->content_type, t->body);
	else if (t->ran)
		reply_(c, id, key, ONCE_UNKNOWN);
	else
		return false;
	return true;
}

/* A key issued by a node is decided on from that node's memory alone. */
static void claim_issued_key_(control_t *c, const once_claim_t *q,
			      const issued_key_t *issued)
{
	const member_t *m = members_find(&c->members, issued->node);
	char attempt_id[ATTEMPT_ID_MAX];

	if (clock_wall() - issued->issued_at_s * MSEC_PER_SEC >
	    ISSUED_KEY_LIFE_MS) {
		reply_(c, q->id, q->key, ONCE_EXPIRED);
		return;
	}
	if (strcmp(issued->node, c->settings->name->str) != 0) {
		/* The node that remembered the key is lost. */
		if (!m || m->state == MEMBER_DEAD || q->resolve_here)
			reply_(c, q->id, q->key, ONCE_UNKNOWN);
		else
			reply_forward_(c, q->id, issued->node);
		return;
	}
	if (issued->incarnation != c->incarnation) {
		reply_(c, q->id, q->key, ONCE_UNKNOWN);
		return;
	}
	if (reply_from_own_attempt_(c, q->id, q->key))
		return;
	new_attempt_id_(c, attempt_id);
	start_attempt_(c, q->key, attempt_id);
	reply_(c, q->id, q->key, ONCE_RUN);
}

static void reply_from_entry_(control_t *c, uint64_t id, const once_entry_t *e)
{
	if (e->state == ONCE_COMPLETED && e->body_left_out)
		reply_(c, id, e->key, ONCE_NOT_KEPT);
	else if (e->state == ONCE_COMPLETED)
		reply_outcome_(c, id, e->status, e->content_type, e->body);
	else if (attempt_may_be_running_(c, e->owner_attempt))
		reply_(c, id, e->key, ONCE_BUSY);
	else
		reply_(c, id, e->key, ONCE_UNKNOWN);
}

/*
 * Whether the log surely has no entry of a key: this node alone owns the
 * partition, has read the stream to its end since then, and knows of none.
 */
static bool is_provably_absent_(const key_partition_t *p, const char *key)
{
	return p->owned_since && p->caught_up &&
	       clock_now() - p->owned_since > KEY_OWNER_LEASE_MS &&
	       !once_find(&p->keys, key) &&
	       !g_hash_table_contains(p->control->once->attempts, key);
}

static void refuse_claim_(key_partition_t *p, const pending_claim_t *w)
{
	reply_(p->control, w->id, w->key,
	       is_provably_absent_(p, w->key) ? ONCE_NOT_RUN : ONCE_UNRESOLVED);
}

static void claim_logged_key_(control_t *c, const once_claim_t *q)
{
	key_partition_t *p = &c->once->partitions[once_partition(q->key)];
	const char *owner = key_owner_(c, p->index);
	const once_entry_t *e;
	pending_claim_t *w;

	if (!q->resolve_here && owner &&
	    strcmp(owner, c->settings->name->str) != 0) {
		reply_forward_(c, q->id, owner);
		return;
	}
	if (reply_from_own_attempt_(c, q->id, q->key))
		return;
	e = once_find(&p->keys, q->key);
	if (e && e->state == ONCE_COMPLETED) {
		reply_from_entry_(c, q->id, e);
		return;
	}
	w = g_new0(pending_claim_t, 1);
	w->id = q->id;
	w->deadline = clock_now() + RESOLVE_TIMEOUT_MS;
	g_strlcpy(w->key, q->key, sizeof(w->key));
	new_attempt_id_(c, w->attempt_id);
	g_ptr_array_add(p->claims, w);
	json_array_append_new(p->batch, once_intent(w->key, w->attempt_id));
	append_batch_(p, clock_now());
}

void once_begin_attempt(control_t *c, const once_claim_t *q)
{
	str_t key = once_key_unscoped(q->key);
	mstime_t window = c->settings->log_retention_s * MSEC_PER_SEC / 2;
	mstime_t age;
	issued_key_t issued;

	if (once_key_parse_issued(c->settings->peer_key, key, &issued)) {
		claim_issued_key_(c, q, &issued);
		return;
	}
	age = clock_wall() - once_key_time_s(key) * MSEC_PER_SEC;
	if (age > window || age < -CLOCK_SKEW_MAX_MS)
		reply_(c, q->id, q->key, ONCE_EXPIRED);
	else
		claim_logged_key_(c, q);
}

static bool is_issued_key_(const control_t *c, const char *key)
{
	issued_key_t issued;

	return once_key_parse_issued(c->settings->peer_key,
				     once_key_unscoped(key), &issued);
}

void once_end_attempt(control_t *c, const once_claim_t *q)
{
	once_attempt_t *t = g_hash_table_lookup(c->once->attempts, q->key);
	key_partition_t *p = &c->once->partitions[once_partition(q->key)];

	if (!t || t->completed)
		return;
	t->completed = true;
	t->ran = q->ran;
	t->status = q->status;
	t->updated_at = clock_wall();
	t->body = q->body ? g_bytes_ref(q->body) : NULL;
	g_strlcpy(t->content_type, q->content_type, sizeof(t->content_type));
	LOG_EVENT(LOG_INFO, "once.end", F_STR("key", q->key),
		  F_INT("ran", q->ran), F_INT("status", q->status));
	if (!is_issued_key_(c, q->key)) {
		if (q->ran && q->status)
			json_array_append_new(
				p->batch,
				once_outcome(q->key, t->attempt_id, q->status,
					     q->content_type, q->body));
		else if (!q->ran)
			json_array_append_new(
				p->batch, once_release(q->key, t->attempt_id));
		append_batch_(p, clock_now());
	}
	/* A request that did not run may run with the next attempt. */
	if (!q->ran)
		g_hash_table_remove(c->once->attempts, q->key);
}

static bool has_claim_(const json_t *batch, const pending_claim_t *w)
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

/*
 * After a refused append: refuses the claims of its intents, and puts the other
 * entries into the next batch.
 */
static void drop_refused_intents_(key_partition_t *p)
{
	size_t i;
	json_t *o;

	for (guint j = 0; j < p->claims->len;) {
		pending_claim_t *w = p->claims->pdata[j];

		if (!has_claim_(p->in_flight, w)) {
			j++;
			continue;
		}
		refuse_claim_(p, w);
		g_ptr_array_remove_index(p->claims, j);
	}
	json_array_foreach (p->in_flight, i, o) {
		const char *type =
			json_string_value(json_object_get(o, "type"));

		if (strcmp(type, "intent") != 0)
			json_array_append(p->batch, o);
	}
}

static void on_appended_(void *arg, int err, uint64_t offset)
{
	key_partition_t *p = arg;

	if (!p->control->once)
		return;
	if (err == LOG_OK) {
		for (guint i = 0; i < p->claims->len; i++) {
			pending_claim_t *w = p->claims->pdata[i];

			if (has_claim_(p->in_flight, w))
				w->offset = offset;
		}
		p->read_up_to = MAX(p->read_up_to, offset);
	} else if (err == LOG_EREFUSED) {
		drop_refused_intents_(p);
	} else {
		/* The append is repeated: duplicate entries are harmless. */
		json_array_extend(p->in_flight, p->batch);
		json_decref(p->batch);
		p->batch = json_incref(p->in_flight);
	}
	json_decref(p->in_flight);
	p->in_flight = NULL;
	p->next_append = err ? clock_now() + APPEND_RETRY_MS : 0;
	append_batch_(p, clock_now());
	read_stream_(p);
}

/* A partition has one append in flight; further entries are batched. */
static void append_batch_(key_partition_t *p, mstime_t now)
{
	control_t *c = p->control;
	char *text;

	if (p->in_flight || !json_array_size(p->batch) || now < p->next_append)
		return;
	p->in_flight = p->batch;
	p->batch = json_array();
	text = json_dumps(p->in_flight, JSON_COMPACT);
	c->log.ops->append(&c->log, p->stream, str_of(text), on_appended_, p);
	free(text);
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	key_partition_t *p = arg;

	if (!p->control->once)
		return;
	p->reading = false;
	if (err) {
		p->next_read = clock_now() + READ_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		once_apply_record(&p->keys, batch->records[i].offset,
				  batch->records[i].appended_at,
				  batch->records[i].body);
	p->keys.next_offset = MAX(p->keys.next_offset, batch->first_offset);
	if (p->keys.next_offset >= batch->next_offset)
		p->caught_up = true;
	resolve_claims_(p);
	read_stream_(p);
}

static void read_stream_(key_partition_t *p)
{
	control_t *c = p->control;

	bool wanted = p->keys.next_offset <= p->read_up_to ||
		      (p->owned_since && !p->caught_up);

	if (p->reading || !wanted || clock_now() < p->next_read)
		return;
	p->reading = true;
	c->log.ops->read(&c->log, p->stream, p->keys.next_offset, 0, on_read_,
			 p);
}

static void resolve_claim_(key_partition_t *p, const pending_claim_t *w)
{
	control_t *c = p->control;
	const once_entry_t *e = once_find(&p->keys, w->key);

	if (!e) {
		/* Claimed and released within the records just read. */
		reply_(c, w->id, w->key, ONCE_NOT_RUN);
	} else if (strcmp(e->owner_attempt, w->attempt_id) != 0) {
		reply_from_entry_(c, w->id, e);
	} else {
		start_attempt_(c, w->key, w->attempt_id);
		reply_(c, w->id, w->key, ONCE_RUN);
	}
}

static void resolve_claims_(key_partition_t *p)
{
	for (guint i = 0; i < p->claims->len;) {
		pending_claim_t *w = p->claims->pdata[i];

		if (!w->offset || w->offset >= p->keys.next_offset) {
			i++;
			continue;
		}
		resolve_claim_(p, w);
		g_ptr_array_remove_index(p->claims, i);
	}
}

/* Releases the key of an attempt that timed out and will not run. */
static void release_claim_(key_partition_t *p, const pending_claim_t *w)
{
	json_array_append_new(p->batch, once_release(w->key, w->attempt_id));
}

static void expire_claims_(key_partition_t *p, mstime_t now)
{
	for (guint i = 0; i < p->claims->len;) {
		pending_claim_t *w = p->claims->pdata[i];

		if (now < w->deadline) {
			i++;
			continue;
		}
		reply_(p->control, w->id, w->key, ONCE_UNRESOLVED);
		release_claim_(p, w);
		g_ptr_array_remove_index(p->claims, i);
	}
}

static gboolean attempt_expired_(gpointer key, gpointer value, gpointer data)
{
	const once_attempt_t *t = value;

	(void)key;
	return t->completed && t->updated_at < *(mstime_t *)data;
}

static void expire_entries_(control_t *c)
{
	mstime_t wall = clock_wall();
	mstime_t retention = c->settings->log_retention_s * MSEC_PER_SEC;
	mstime_t before =
		wall - MAX(retention, ISSUED_KEY_LIFE_MS + CLOCK_SKEW_MAX_MS);

	g_hash_table_foreach_remove(c->once->attempts, attempt_expired_,
				    &before);
	for (int i = 0; i < ONCE_PARTITIONS; i++)
		once_expire(&c->once->partitions[i].keys, wall - retention);
}

void once_tick(control_t *c, mstime_t now)
{
	for (int i = 0; i < ONCE_PARTITIONS; i++) {
		key_partition_t *p = &c->once->partitions[i];
		const char *owner = key_owner_(c, i);
		bool is_owner = owner && !strcmp(owner, c->settings->name->str);

		if (is_owner && !p->owned_since) {
			p->owned_since = now;
			p->caught_up = false;
		} else if (!is_owner) {
			p->owned_since = 0;
		}
		expire_claims_(p, now);
		append_batch_(p, now);
		read_stream_(p);
	}
	if (now < c->once->next_expire)
		return;
	c->once->next_expire = now + EXPIRE_INTERVAL_MS;
	expire_entries_(c);
}
