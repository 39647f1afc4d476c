#include "private/group.h"

#include <kcf/view.h>

#include <assert.h>
#include <string.h>

#define LOAD_BOUND_DEFAULT 1.25
#define TIMEOUT_DEFAULT_MS 120000
#define STREAM_GAP_DEFAULT_MS 10000
#define QUEUE_MAX_DEFAULT 1000
#define SLOTS_DEFAULT 8
#define FLOOR_DEFAULT 1
#define RAMP_DEFAULT_S 30.0
#define CACHE_DEFAULT_TOKENS 1000000

static void build_data_centre_(view_t *v, const resource_t *r);
static void build_service_(view_t *v, const resource_t *r);
static void build_model_(view_t *v, const resource_t *r);
static void build_upstream_(view_t *v, const resource_t *r);
static void build_customer_(view_t *v, const resource_t *r);
static void build_host_(view_t *v, const resource_t *r);
static void build_site_(view_t *v, const resource_t *r);

/* Referenced kinds come before those that refer to them. */
static const struct {
	resource_kind_t kind;
	void (*build)(view_t *v, const resource_t *r);
} builders[] = {
	{ KIND_SITE, build_site_ },
	{ KIND_DATA_CENTRE, build_data_centre_ },
	{ KIND_HOST, build_host_ },
	{ KIND_SERVICE, build_service_ },
	{ KIND_MODEL, build_model_ },
	{ KIND_UPSTREAM, build_upstream_ },
	{ KIND_CUSTOMER, build_customer_ },
};

static const char *get_string_(const json_t *body, const char *key,
			       const char *fallback)
{
	const char *s = json_string_value(json_object_get(body, key));

	return s ? s : fallback;
}

static double get_number_(const json_t *body, const char *key, double fallback)
{
	json_t *v = json_object_get(body, key);

	return v ? json_number_value(v) : fallback;
}

static bool get_bool_(const json_t *body, const char *key, bool fallback)
{
	json_t *v = json_object_get(body, key);

	return v ? json_is_true(v) : fallback;
}

static GPtrArray *get_strings_(const json_t *body, const char *key)
{
	json_t *list = json_object_get(body, key);
	GPtrArray *out;
	size_t i;
	json_t *entry;

	if (!list)
		return NULL;
	out = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach (list, i, entry)
		g_ptr_array_add(out, g_strdup(json_string_value(entry)));
	return out;
}

static void index_by_name_(view_t *v, const resource_t *r, void *entry)
{
	g_hash_table_insert(v->by_name,
			    g_strdup_printf("%s/%s",
					    resource_kind_string[r->kind],
					    r->name),
			    entry);
}

static void data_centre_free_(gpointer p)
{
	data_centre_t *dc = p;

	g_free(dc->name);
	g_free(dc->region);
	g_free(dc);
}

static void service_free_(gpointer p)
{
	service_t *s = p;

	for (guint i = 0; i < s->once_rules->len; i++) {
		once_rule_t *rule =
			&g_array_index(s->once_rules, once_rule_t, i);

		g_free(rule->method);
		g_free(rule->path);
	}
	g_array_unref(s->once_rules);
	g_free(s->name);
	g_free(s);
}

static void upstream_free_(gpointer p)
{
	upstream_t *u = p;

	g_free(u->name);
	g_free(u->address);
	g_clear_pointer(&u->models, g_ptr_array_unref);
	g_free(u);
}

static void model_free_(gpointer p)
{
	model_t *m = p;

	g_free(m->name);
	g_free(m->model_version);
	g_clear_pointer(&m->adapters, g_ptr_array_unref);
	g_free(m);
}

static void customer_free_(gpointer p)
{
	customer_t *c = p;

	g_free(c->name);
	g_clear_pointer(&c->services, g_ptr_array_unref);
	g_free(c);
}

static void host_free_(gpointer p)
{
	host_t *h = p;

	g_free(h->name);
	g_free(h);
}

view_t *view_new(const config_t *c)
{
	view_t *v = g_new0(view_t, 1);

	v->refs = 1;
	v->applied = c->applied;
	v->load_bound = LOAD_BOUND_DEFAULT;
	v->data_centres = g_ptr_array_new_with_free_func(data_centre_free_);
	v->services = g_ptr_array_new_with_free_func(service_free_);
	v->upstreams = g_ptr_array_new_with_free_func(upstream_free_);
	v->models = g_ptr_array_new_with_free_func(model_free_);
	v->customers = g_ptr_array_new_with_free_func(customer_free_);
	v->hosts = g_ptr_array_new_with_free_func(host_free_);
	v->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(builders); i++) {
		GPtrArray *list = config_list(c, builders[i].kind);

		for (guint j = 0; j < list->len; j++)
			builders[i].build(v, list->pdata[j]);
		g_ptr_array_unref(list);
	}
	group_upstreams(v->upstreams);
	return v;
}

view_t *view_ref(view_t *v)
{
	g_atomic_int_inc(&v->refs);
	return v;
}

void view_unref(view_t *v)
{
	if (!v || !g_atomic_int_dec_and_test(&v->refs))
		return;
	g_hash_table_destroy(v->by_key);
	g_hash_table_destroy(v->by_name);
	g_ptr_array_unref(v->hosts);
	g_ptr_array_unref(v->customers);
	g_ptr_array_unref(v->upstreams);
	g_ptr_array_unref(v->models);
	g_ptr_array_unref(v->services);
	g_ptr_array_unref(v->data_centres);
	g_free(v);
}

void *view_find(const view_t *v, resource_kind_t kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", resource_kind_string[kind], name);
	void *entry = g_hash_table_lookup(v->by_name, key);

	g_free(key);
	return entry;
}

const customer_t *view_customer_by_key(const view_t *v, const char *sha256)
{
	return g_hash_table_lookup(v->by_key, sha256);
}

static bool contains_name_(const GPtrArray *list, const char *name)
{
	for (guint i = 0; list && i < list->len; i++) {
		if (!strcmp(list->pdata[i], name))
			return true;
	}
	return false;
}

bool customer_may_use(const customer_t *c, const service_t *s)
{
	return !c->services || contains_name_(c->services, s->name);
}

bool service_runs_once(const service_t *s, str_t method, str_t path)
{
	for (guint i = 0; i < s->once_rules->len; i++) {
		const once_rule_t *rule =
			&g_array_index(s->once_rules, once_rule_t, i);
		str_t pattern = str_of(rule->path);

		if (!str_eq(method, str_of(rule->method)))
			continue;
		if (str_eq(path, pattern))
			return true;
		if (pattern.len && pattern.data[pattern.len - 1] == '*') {
			pattern.len--;
			if (str_starts_with(path, pattern))
				return true;
		}
	}
	return false;
}

bool upstream_serves_model(const upstream_t *u, const char *model)
{
	return !u->models || contains_name_(u->models, model);
}

bool upstream_accepts_work(const upstream_t *u)
{
	return !u->leaving && !u->data_centre->drained;
}

static void build_site_(view_t *v, const resource_t *r)
{
	v->placement = placement_parse(get_string_(r->body, "placement", NULL));
	v->load_bound = get_number_(r->body, "load_bound", LOAD_BOUND_DEFAULT);
	v->power_cap_w = get_number_(r->body, "power_cap_w", 0);
	v->weight_loads_per_s = get_number_(r->body, "weight_loads_per_s", 0);
}

static void build_data_centre_(view_t *v, const resource_t *r)
{
	data_centre_t *dc = g_new0(data_centre_t, 1);

	dc->name = g_strdup(r->name);
	dc->region = g_strdup(get_string_(r->body, "region", ""));
	dc->drained = !strcmp(get_string_(r->body, "state", "in"), "out");
	dc->power_cap_w = get_number_(r->body, "power_cap_w", 0);
	dc->ramp_s = get_number_(r->body, "ramp_s", RAMP_DEFAULT_S);
	dc->version = r->version;
	g_ptr_array_add(v->data_centres, dc);
	index_by_name_(v, r, dc);
}

static void build_host_(view_t *v, const resource_t *r)
{
	host_t *h = g_new0(host_t, 1);

	h->name = g_strdup(r->name);
	h->drained = !strcmp(get_string_(r->body, "state", "in"), "out");
	g_ptr_array_add(v->hosts, h);
	index_by_name_(v, r, h);
}

static void build_service_(view_t *v, const resource_t *r)
{
	service_t *s = g_new0(service_t, 1);
	size_t i;
	json_t *rule;

	s->name = g_strdup(r->name);
	s->type = !strcmp(get_string_(r->body, "type", ""), "plain")
			  ? SERVICE_PLAIN
			  : SERVICE_MODEL;
	s->timeout_ms =
		(int64_t)get_number_(r->body, "timeout_ms", TIMEOUT_DEFAULT_MS);
	s->gap_ms =
		(int64_t)get_number_(r->body, "gap_ms", STREAM_GAP_DEFAULT_MS);
	s->queue_max =
		(int64_t)get_number_(r->body, "queue_max", QUEUE_MAX_DEFAULT);
	s->echoes_request_id = get_bool_(r->body, "echoes_request_id", true);
	s->once_rules = g_array_new(FALSE, TRUE, sizeof(once_rule_t));
	json_array_foreach (json_object_get(r->body, "once"), i, rule) {
		once_rule_t entry = {
			g_strdup(get_string_(rule, "method", "")),
			g_strdup(get_string_(rule, "path", "")),
		};

		g_array_append_val(s->once_rules, entry);
	}
	g_ptr_array_add(v->services, s);
	index_by_name_(v, r, s);
}

static void build_model_(view_t *v, const resource_t *r)
{
	model_t *m = g_new0(model_t, 1);

	m->name = g_strdup(r->name);
	m->service =
		view_find(v, KIND_SERVICE, get_string_(r->body, "service", ""));
	m->adapters = get_strings_(r->body, "adapters");
	m->model_version = g_strdup(get_string_(r->body, "version", ""));
	g_ptr_array_add(v->models, m);
	index_by_name_(v, r, m);
}

static void build_upstream_(view_t *v, const resource_t *r)
{
	upstream_t *u = g_new0(upstream_t, 1);
	const json_t *b = r->body;

	u->name = g_strdup(r->name);
	u->hash = str_hash64(str_of(r->name), 0);
	u->key = (uint32_t)u->hash;
	u->address = g_strdup(get_string_(b, "address", ""));
	u->service = view_find(v, KIND_SERVICE, get_string_(b, "service", ""));
	u->data_centre = view_find(v, KIND_DATA_CENTRE,
				   get_string_(b, "data_centre", ""));
	u->models = get_strings_(b, "models");
	u->leaving = !strcmp(get_string_(b, "state", "in"), "leaving");
	u->slots = (int)get_number_(b, "slots", SLOTS_DEFAULT);
	u->floor = MIN(u->slots, (int)get_number_(b, "floor", FLOOR_DEFAULT));
	u->ramp_s = get_number_(b, "ramp_s", RAMP_DEFAULT_S);
	u->weight = get_number_(b, "weight", 1);
	u->cache_tokens =
		(int64_t)get_number_(b, "cache_tokens", CACHE_DEFAULT_TOKENS);
	u->idle_w = get_number_(b, "idle_w", 0);
	u->slot_w = get_number_(b, "slot_w", 0);
	u->fencing = get_bool_(b, "fencing", true);
	u->version = r->version;
	if (!u->service || !u->data_centre) {
		/* Only in a snapshot that lacks the resource referred to. */
		upstream_free_(u);
		return;
	}
	g_ptr_array_add(v->upstreams, u);
	index_by_name_(v, r, u);
}

static void build_customer_(view_t *v, const resource_t *r)
{
	customer_t *c = g_new0(customer_t, 1);
	size_t i;
	json_t *key;

	c->name = g_strdup(r->name);
	c->weight = get_number_(r->body, "weight", 1);
	c->services = get_strings_(r->body, "services");
	g_ptr_array_add(v->customers, c);
	index_by_name_(v, r, c);
	json_array_foreach (json_object_get(r->body, "keys"), i, key)
		g_hash_table_replace(
			v->by_key, g_ascii_strdown(json_string_value(key), -1),
			c);
}
