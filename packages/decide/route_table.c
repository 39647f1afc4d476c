#include <kcf/route_table.h>

#include <assert.h>
#include <string.h>

/* Host names of requests are shorter. */
#define HOST_MAX 256

const char *const route_kind_string[] = {
	"idempotent",
	"non_idempotent",
	"streaming",
};

static void target_clear_(gpointer p)
{
	route_target_t *t = p;

	g_free(t->service);
}

static void service_free_(gpointer p)
{
	routing_service_t *s = p;

	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void customer_free_(gpointer p)
{
	routing_customer_t *c = p;

	g_free(c->name);
	g_free(c);
}

routing_route_t *routing_route_new(void)
{
	routing_route_t *r = g_new0(routing_route_t, 1);

	r->max_attempts = 1;
	r->targets = g_array_new(FALSE, TRUE, sizeof(route_target_t));
	g_array_set_clear_func(r->targets, target_clear_);
	return r;
}

void routing_route_free(void *route)
{
	routing_route_t *r = route;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_array_unref(r->targets);
	g_free(r);
}

const char *routing_route_pick_target(const routing_route_t *r, double position)
{
	double sum = 0;
	const char *name = NULL;

	for (guint i = 0; i < r->targets->len; i++)
		sum += g_array_index(r->targets, route_target_t, i).weight;
	position *= sum;
	for (guint i = 0; i < r->targets->len; i++) {
		const route_target_t *t =
			&g_array_index(r->targets, route_target_t, i);

		if (t->weight <= 0)
			continue;
		name = t->service;
		position -= t->weight;
		if (position < 0)
			break;
	}
	return name;
}

route_table_t *route_table_new(uint64_t version)
{
	route_table_t *t = g_new0(route_table_t, 1);

	t->version = version;
	t->refs = 1;
	t->routes = g_ptr_array_new_with_free_func(routing_route_free);
	t->services = g_ptr_array_new_with_free_func(service_free_);
	t->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_ptr_array_unref);
	t->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     customer_free_);
	return t;
}

route_table_t *route_table_ref(route_table_t *t)
{
	t->refs++;
	return t;
}

void route_table_unref(route_table_t *t)
{
	if (!t || --t->refs)
		return;
	g_hash_table_destroy(t->by_host);
	g_hash_table_destroy(t->customers);
	g_ptr_array_unref(t->routes);
	g_ptr_array_unref(t->services);
	g_free(t);
}

/* Keeps longer prefixes first; equal ones stay in order of arrival. */
static void insert_by_prefix_(GPtrArray *list, routing_route_t *route)
{
	size_t len = strlen(route->prefix);
	guint at = 0;

	while (at < list->len &&
	       strlen(((routing_route_t *)list->pdata[at])->prefix) >= len)
		at++;
	g_ptr_array_insert(list, (gint)at, route);
}

void route_table_add_route(route_table_t *t, routing_route_t *route)
{
	char *host = g_ascii_strdown(route->host, -1);
	GPtrArray *list = g_hash_table_lookup(t->by_host, host);

	assert(route->prefix);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(t->by_host, g_strdup(host), list);
	}
	g_free(host);
	g_ptr_array_add(t->routes, route);
	insert_by_prefix_(list, route);
}

void route_table_add_key(route_table_t *t, const char *key,
			 const char *customer, int priority)
{
	routing_customer_t *c = g_new0(routing_customer_t, 1);

	c->name = g_strdup(customer);
	c->priority = priority;
	g_hash_table_replace(t->customers, g_strdup(key), c);
}

void route_table_add_service(route_table_t *t, const char *name,
			     double cold_per_s, const char *health_path)
{
	routing_service_t *s = g_new0(routing_service_t, 1);

	s->name = g_strdup(name);
	s->cold_per_s = cold_per_s;
	s->health_path = g_strdup(health_path);
	g_ptr_array_add(t->services, s);
}

const routing_service_t *route_table_service(const route_table_t *t,
					     const char *name)
{
	assert(t && name);
	for (guint i = 0; i < t->services->len; i++) {
		const routing_service_t *s = t->services->pdata[i];

		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

/* Converts to lower case and drops a port; false if empty or too long. */
static bool normalise_host_(str_t host, char *out)
{
	const char *port = host.len ? memrchr(host.data, ':', host.len) : NULL;

	if (port)
		host.len = (size_t)(port - host.data);
	if (!host.len || host.len >= HOST_MAX)
		return false;
	for (size_t i = 0; i < host.len; i++)
		out[i] = g_ascii_tolower(host.data[i]);
	out[host.len] = '\0';
	return true;
}

const routing_route_t *route_table_match(const route_table_t *t, str_t host,
					 str_t path)
{
	char name[HOST_MAX];
	const GPtrArray *list;

	if (!normalise_host_(host, name))
		return NULL;
	list = g_hash_table_lookup(t->by_host, name);
	for (guint i = 0; list && i < list->len; i++) {
		const routing_route_t *r = list->pdata[i];

		if (str_starts_with(path, str_of(r->prefix)))
			return r;
	}
	return NULL;
}

const routing_customer_t *route_table_customer(const route_table_t *t,
					       str_t key)
{
	const routing_customer_t *c;
	char *text;

	if (!key.len)
		return NULL;
	text = str_dup(key);
	c = g_hash_table_lookup(t->customers, text);
	g_free(text);
	return c;
}
