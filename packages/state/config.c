#include <kcf/config.h>
#include <kcf/json_text.h>

#include <assert.h>
#include <string.h>

/* Remembered proposal ids, to detect repeated appends. */
#define SEEN_IDS_MAX 8192
#define AUDIT_ENTRIES_MAX 4000
#define RECORD_FORMAT 1
#define ID_MAX 63
/* Resources in one chunk of a snapshot; keeps records small. */
#define CHUNK_RESOURCES 64

const char *const config_verdict_string[] = {
	"applied",  "conflict", "invalid",    "repeated",
	"snapshot", "stale",	"unreadable",
};

/* A parsed record of a proposal; its strings belong to the JSON tree. */
typedef struct proposal_record {
	const char *id;
	uint64_t base;
	resource_kind_t kind;
	const char *name;
	json_t *body;
	const char *operator_name;
	const char *reason;
	mstime_t proposed_at;
} proposal_record_t;

static void resource_free_(gpointer p);
static void audit_free_(gpointer p);
static char *resource_key_(resource_kind_t kind, const char *name);
static resource_t *lookup_resource_(const config_t *c, resource_kind_t kind,
				    const char *name);
static bool parse_proposal_(const json_t *root, proposal_record_t *rec);
static void store_resource_(config_t *c, const proposal_record_t *rec);
static void apply_proposal_(config_t *c, uint64_t offset,
			    const proposal_record_t *rec, config_result_t *out);
static void remember_id_(config_t *c, const char *id);
static void add_audit_entry_(config_t *c, uint64_t offset,
			     const proposal_record_t *rec,
			     config_verdict_t verdict, const json_t *before);

void config_init(config_t *c)
{
	assert(c);
	*c = (config_t){ 0 };
	c->resources = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     resource_free_);
	c->seen_ids = g_hash_table_new(g_str_hash, g_str_equal);
	c->seen_order = g_queue_new();
	c->audit = g_queue_new();
}

void config_finish(config_t *c)
{
	json_decref(c->pending_snapshot.resources);
	g_hash_table_destroy(c->resources);
	g_hash_table_destroy(c->seen_ids);
	g_queue_free_full(c->seen_order, g_free);
	g_queue_free_full(c->audit, audit_free_);
}

static void set_body_(json_t *root, const json_t *body)
{
	if (body)
		json_object_set(root, "body", (json_t *)body);
	else
		json_object_set_new(root, "body", json_null());
}

char *config_proposal_record(const config_proposal_t *p)
{
	json_t *root = json_pack("{s:i,s:s,s:s,s:I,s:s,s:s,s:s,s:s,s:I}", "v",
				 RECORD_FORMAT, "type", "put", "id", p->id,
				 "base", (json_int_t)p->base, "kind",
				 resource_kind_string[p->kind], "name", p->name,
				 "operator", p->operator_name, "reason",
				 p->reason, "at", (json_int_t)p->proposed_at);

	set_body_(root, p->body);
	return json_text(root);
}

static json_t *new_chunk_(const config_t *c, const char *id, int chunk,
			  int count)
{
	return json_pack("{s:i,s:s,s:s,s:i,s:i,s:I,s:[]}", "v", RECORD_FORMAT,
			 "type", "snapshot", "id", id, "part", chunk, "of",
			 count, "applied", (json_int_t)c->applied, "resources");
}

GPtrArray *config_snapshot_records(const config_t *c, const char *id)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	json_t *all = config_snapshot(c);
	json_t *list = json_object_get(all, "resources");
	size_t n = json_array_size(list);
	int count = (int)((n + CHUNK_RESOURCES - 1) / CHUNK_RESOURCES);

	count = MAX(1, count);
	for (int i = 0; i < count; i++) {
		json_t *chunk = new_chunk_(c, id, i, count);
		json_t *target = json_object_get(chunk, "resources");
		size_t from = (size_t)i * CHUNK_RESOURCES;

		for (size_t j = from; j < MIN(n, from + CHUNK_RESOURCES); j++)
			json_array_append(target, json_array_get(list, j));
		g_ptr_array_add(out, json_text(chunk));
	}
	json_decref(all);
	return out;
}

/*
 * Adds a chunk to the pending snapshot if it is the next one.
 *
 * Return: whether the record is a chunk of a snapshot.
 */
static bool collect_chunk_(config_t *c, const json_t *root)
{
	snapshot_chunks_t *p = &c->pending_snapshot;
	const char *type = json_string_value(json_object_get(root, "type"));
	const char *id;
	int chunk;
	int count;
	json_int_t applied;
	json_t *list;

	if (g_strcmp0(type, "snapshot") != 0)
		return false;
	if (json_unpack((json_t *)root, "{s:s,s:i,s:i,s:I,s:o}", "id", &id,
			"part", &chunk, "of", &count, "applied", &applied,
			"resources", &list) != 0)
		return true;
	if (chunk == 0) {
		json_decref(p->resources);
		*p = (snapshot_chunks_t){ .count = count,
					  .applied = (uint64_t)applied,
					  .resources = json_array() };
		g_strlcpy(p->id, id, sizeof(p->id));
	}
	if (strcmp(p->id, id) != 0 || chunk != p->received || count != p->count)
		return true;
	p->received++;
	json_array_extend(p->resources, list);
	return true;
}

static bool is_complete_(const snapshot_chunks_t *p)
{
	return p->count > 0 && p->received == p->count;
}

bool config_has_gap(const config_t *c, uint64_t first)
{
	return first > c->applied + 1;
}

bool config_scan_snapshot(config_t *c, uint64_t first, mstime_t wall,
			  str_t record)
{
	json_t *root =
		json_loadb(record.data ? record.data : "", record.len, 0, NULL);
	bool is_chunk = collect_chunk_(c, root);
	json_t *snapshot;
	bool restored;

	json_decref(root);
	if (!is_chunk || !is_complete_(&c->pending_snapshot) ||
	    c->pending_snapshot.applied + 1 < first)
		return false;
	snapshot = json_pack("{s:I,s:O}", "applied",
			     (json_int_t)c->pending_snapshot.applied,
			     "resources", c->pending_snapshot.resources);
	restored = config_restore(c, snapshot);
	if (restored)
		c->snapshot_at = wall;
	json_decref(snapshot);
	return restored;
}

void config_apply_record(config_t *c, uint64_t offset, mstime_t wall,
			 str_t text, config_result_t *out)
{
	json_t *root;
	proposal_record_t rec = { 0 };

	assert(c && out);
	*out = (config_result_t){ .verdict = CONFIG_STALE };
	if (offset <= c->applied)
		return;
	c->applied = offset;
	root = json_loadb(text.data ? text.data : "", text.len, 0, NULL);
	if (root && collect_chunk_(c, root)) {
		out->verdict = CONFIG_SNAPSHOT;
		if (is_complete_(&c->pending_snapshot))
			c->snapshot_at = wall;
	} else if (!root || !parse_proposal_(root, &rec)) {
		out->verdict = CONFIG_UNREADABLE;
	} else {
		apply_proposal_(c, offset, &rec, out);
	}
	if (rec.name)
		out->version = config_version(c, rec.kind, rec.name);
	json_decref(root);
}

void config_result_finish(config_result_t *r)
{
	if (r->faults)
		g_ptr_array_unref(r->faults);
	r->faults = NULL;
}

static void apply_proposal_(config_t *c, uint64_t offset,
			    const proposal_record_t *rec, config_result_t *out)
{
	const resource_t *r = lookup_resource_(c, rec->kind, rec->name);
	json_t *before = r && r->body ? json_incref(r->body) : NULL;
	config_proposal_t p = {
		.base = rec->base,
		.kind = rec->kind,
		.name = rec->name,
		.body = rec->body,
	};

	g_strlcpy(out->id, rec->id, sizeof(out->id));
	if (g_hash_table_contains(c->seen_ids, rec->id)) {
		out->verdict = CONFIG_REPEATED;
		json_decref(before);
		return;
	}
	remember_id_(c, rec->id);
	out->faults = schema_faults_new();
	if (config_version(c, rec->kind, rec->name) != rec->base) {
		out->verdict = CONFIG_CONFLICT;
	} else if (!config_check_proposal(c, &p, out->faults)) {
		out->verdict = CONFIG_INVALID;
	} else {
		proposal_record_t stored = *rec;

		out->verdict = CONFIG_APPLIED;
		stored.base = offset;
		store_resource_(c, &stored);
	}
	add_audit_entry_(c, offset, rec, out->verdict, before);
	json_decref(before);
}

/* Stores the resource of a record, with rec->base as its version. */
static void store_resource_(config_t *c, const proposal_record_t *rec)
{
	resource_t *r = g_new0(resource_t, 1);

	r->kind = rec->kind;
	r->name = g_strdup(rec->name);
	r->version = rec->base;
	r->body = rec->body ? json_incref(rec->body) : NULL;
	r->operator_name = g_strdup(rec->operator_name);
	r->reason = g_strdup(rec->reason);
	r->changed_at = rec->proposed_at;
	g_hash_table_replace(c->resources, resource_key_(rec->kind, rec->name),
			     r);
}

typedef struct ref_check {
	const config_t *config;
	GPtrArray *faults;
	/* The resource to be deleted, for check_not_referenced_. */
	const char *kind;
	const char *name;
	const char *referrer; /* key of the resource that is looked at */
} ref_check_t;

static void check_ref_(void *arg, const char *field, const char *kind,
		       const char *name)
{
	ref_check_t *check = arg;

	if (config_find(check->config, resource_kind_of(str_of(kind)), name))
		return;
	schema_fault_add(check->faults, field, "there is no %s named %s", kind,
			 name);
}

static void check_not_referenced_(void *arg, const char *field,
				  const char *kind, const char *name)
{
	ref_check_t *check = arg;

	if (strcmp(kind, check->kind) != 0 || strcmp(name, check->name) != 0)
		return;
	schema_fault_add(check->faults, field, "still named by %s",
			 check->referrer);
}

static void check_delete_(const config_t *c, const config_proposal_t *p,
			  GPtrArray *faults)
{
	GPtrArray *all = config_list(c, KIND_COUNT);

	for (guint i = 0; i < all->len; i++) {
		const resource_t *r = all->pdata[i];
		char *referrer = resource_key_(r->kind, r->name);
		ref_check_t check = { c, faults, resource_kind_string[p->kind],
				      p->name, referrer };

		schema_each_ref(r->body, resource_fields(r->kind),
				check_not_referenced_, &check);
		g_free(referrer);
	}
	g_ptr_array_unref(all);
}

bool config_check_proposal(const config_t *c, const config_proposal_t *p,
			   GPtrArray *faults)
{
	guint before = faults->len;
	ref_check_t check = { .config = c, .faults = faults };

	if (!schema_name_ok(str_of(p->name)))
		schema_fault_add(faults, "name", "is not a valid name");
	if (!p->body) {
		check_delete_(c, p, faults);
		return faults->len == before;
	}
	if (schema_check(p->body, resource_fields(p->kind), "", faults))
		schema_each_ref(p->body, resource_fields(p->kind), check_ref_,
				&check);
	return faults->len == before;
}

const resource_t *config_find(const config_t *c, resource_kind_t kind,
			      const char *name)
{
	const resource_t *r = lookup_resource_(c, kind, name);

	return r && r->body ? r : NULL;
}

const resource_t *config_latest(const config_t *c, resource_kind_t kind,
				const char *name)
{
	return lookup_resource_(c, kind, name);
}

uint64_t config_version(const config_t *c, resource_kind_t kind,
			const char *name)
{
	const resource_t *r = lookup_resource_(c, kind, name);

	return r ? r->version : 0;
}

static gint compare_by_kind_and_name_(gconstpointer a, gconstpointer b)
{
	const resource_t *ra = *(const resource_t *const *)a;
	const resource_t *rb = *(const resource_t *const *)b;

	if (ra->kind != rb->kind)
		return ra->kind < rb->kind ? -1 : 1;
	return strcmp(ra->name, rb->name);
}

GPtrArray *config_list(const config_t *c, resource_kind_t kind)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const resource_t *r = value;

		if (r->body && (kind == KIND_COUNT || r->kind == kind))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, compare_by_kind_and_name_);
	return list;
}

json_t *resource_json(const resource_t *r)
{
	json_t *o = json_pack("{s:s,s:s,s:I,s:s,s:s,s:I}", "kind",
			      resource_kind_string[r->kind], "name", r->name,
			      "version", (json_int_t)r->version, "operator",
			      r->operator_name, "reason", r->reason, "at",
			      (json_int_t)r->changed_at);

	set_body_(o, r->body);
	return o;
}

json_t *audit_json(const audit_entry_t *e)
{
	json_t *o = json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "offset",
			      (json_int_t)e->offset, "verdict",
			      config_verdict_string[e->verdict], "id", e->id,
			      "kind", resource_kind_string[e->kind], "name",
			      e->name, "operator", e->operator_name, "reason",
			      e->reason, "at", (json_int_t)e->proposed_at);

	json_object_set_new(o, "before",
			    e->before ? json_incref(e->before) : json_null());
	json_object_set_new(o, "after",
			    e->after ? json_incref(e->after) : json_null());
	return o;
}

json_t *config_snapshot(const config_t *c)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const resource_t *r = value;
		json_array_append_new(list, resource_json(r));
	}
	return json_pack("{s:i,s:I,s:o}", "v", RECORD_FORMAT, "applied",
			 (json_int_t)c->applied, "resources", list);
}

static bool restore_resource_(config_t *c, const json_t *o)
{
	proposal_record_t rec;
	json_t *copy = json_copy((json_t *)o);
	bool ok;

	json_object_set(copy, "base", json_object_get(o, "version"));
	json_object_set_new(copy, "id", json_string("snapshot"));
	json_object_set_new(copy, "type", json_string("put"));
	json_object_set_new(copy, "v", json_integer(RECORD_FORMAT));
	ok = parse_proposal_(copy, &rec);
	if (ok)
		store_resource_(c, &rec);
	json_decref(copy);
	return ok;
}

bool config_restore(config_t *c, const json_t *snapshot)
{
	config_t fresh;
	json_int_t applied;
	json_t *list;
	json_t *o;
	size_t i;
	bool ok = true;

	if (json_unpack((json_t *)snapshot, "{s:I,s:o}", "applied", &applied,
			"resources", &list) != 0)
		return false;
	if (applied <= 0 || (uint64_t)applied <= c->applied)
		return false;
	config_init(&fresh);
	json_array_foreach (list, i, o)
		ok = ok && restore_resource_(&fresh, o);
	if (ok) {
		GHashTable *old = c->resources;

		c->resources = fresh.resources;
		c->applied = (uint64_t)applied;
		fresh.resources = old;
	}
	config_finish(&fresh);
	return ok;
}

static bool parse_proposal_(const json_t *root, proposal_record_t *rec)
{
	const char *type;
	const char *kind;
	json_int_t base;
	json_int_t at;
	int format;

	*rec = (proposal_record_t){ 0 };
	if (json_unpack((json_t *)root,
			"{s:i,s:s,s:s,s:I,s:s,s:s,s:o,s:s,s:s,s:I}", "v",
			&format, "type", &type, "id", &rec->id, "base", &base,
			"kind", &kind, "name", &rec->name, "body", &rec->body,
			"operator", &rec->operator_name, "reason", &rec->reason,
			"at", &at) != 0) {
		rec->name = NULL;
		return false;
	}
	rec->kind = resource_kind_of(str_of(kind));
	rec->base = (uint64_t)base;
	rec->proposed_at = at;
	if (json_is_null(rec->body))
		rec->body = NULL;
	if (rec->kind == KIND_COUNT || base < 0 || format != RECORD_FORMAT ||
	    strlen(rec->id) > ID_MAX || !schema_name_ok(str_of(rec->name)) ||
	    strcmp(type, "put") != 0 || !rec->id[0]) {
		rec->name = NULL;
		return false;
	}
	return true;
}

static char *resource_key_(resource_kind_t kind, const char *name)
{
	return g_strdup_printf("%s/%s", resource_kind_string[kind], name);
}

static resource_t *lookup_resource_(const config_t *c, resource_kind_t kind,
				    const char *name)
{
	char *key = resource_key_(kind, name);
	resource_t *r = g_hash_table_lookup(c->resources, key);

	g_free(key);
	return r;
}

static void remember_id_(config_t *c, const char *id)
{
	char *copy = g_strdup(id);

	g_hash_table_add(c->seen_ids, copy);
	g_queue_push_tail(c->seen_order, copy);
	if (g_queue_get_length(c->seen_order) <= SEEN_IDS_MAX)
		return;
	copy = g_queue_pop_head(c->seen_order);
	g_hash_table_remove(c->seen_ids, copy);
	g_free(copy);
}

static void add_audit_entry_(config_t *c, uint64_t offset,
			     const proposal_record_t *rec,
			     config_verdict_t verdict, const json_t *before)
{
	audit_entry_t *e = g_new0(audit_entry_t, 1);

	e->offset = offset;
	e->verdict = verdict;
	e->id = g_strdup(rec->id);
	e->kind = rec->kind;
	e->name = g_strdup(rec->name);
	e->operator_name = g_strdup(rec->operator_name);
	e->reason = g_strdup(rec->reason);
	e->proposed_at = rec->proposed_at;
	e->before = json_incref((json_t *)before);
	e->after = json_incref(rec->body);
	g_queue_push_tail(c->audit, e);
	if (g_queue_get_length(c->audit) > AUDIT_ENTRIES_MAX)
		audit_free_(g_queue_pop_head(c->audit));
}

static void resource_free_(gpointer p)
{
	resource_t *r = p;

	g_free(r->name);
	g_free(r->operator_name);
	g_free(r->reason);
	json_decref(r->body);
	g_free(r);
}

static void audit_free_(gpointer p)
{
	audit_entry_t *e = p;

	g_free(e->id);
	g_free(e->name);
	g_free(e->operator_name);
	g_free(e->reason);
	json_decref(e->before);
	json_decref(e->after);
	g_free(e);
}
