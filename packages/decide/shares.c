#include <kcf/shares.h>

#include <assert.h>
#include <math.h>

/* So many times an even part: customers differ in size without harm. */
#define OVER_FACTOR 1.5
/* A customer wants a part for this long after a request; callers that were told
 * to come back do so sooner.
 */
#define WANTS_MS 2000

/* Clumps of requests, which any customer has, are shorter, */
#define MEAN_MS 500.0
/* and make less than so many times an even part. */
#define CLUMP_FACTOR 3.0

typedef struct part {
	int outstanding;
	double mean; /* moving, of outstanding */
	mstime_t mean_at;
	mstime_t asked_at;
} part_t;

typedef struct service_shares {
	int outstanding;
	GHashTable *parts; /* customer's name to part_t * */
} service_shares_t;

static void free_service_(gpointer p);

void shares_init(shares_t *s)
{
	assert(s);
	s->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_service_);
}

void shares_finish(shares_t *s)
{
	assert(s);
	g_hash_table_destroy(s->services);
}

static void free_service_(gpointer p)
{
	service_shares_t *service = p;

	g_hash_table_destroy(service->parts);
	g_free(service);
}

static service_shares_t *service_(shares_t *s, const char *name)
{
	service_shares_t *service = g_hash_table_lookup(s->services, name);

	if (service)
		return service;
	service = g_new0(service_shares_t, 1);
	service->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(s->services, g_strdup(name), service);
	return service;
}

static part_t *part_(service_shares_t *service, const char *customer)
{
	part_t *part = g_hash_table_lookup(service->parts, customer);

	if (part)
		return part;
	part = g_new0(part_t, 1);
	g_hash_table_insert(service->parts, g_strdup(customer), part);
	return part;
}

static void average_(part_t *part, mstime_t now)
{
	double age = part->mean_at ? (double)(now - part->mean_at) : 0;

	part->mean +=
		(1 - exp(-age / MEAN_MS)) * (part->outstanding - part->mean);
	part->mean_at = now;
}

static gboolean unwanted_(gpointer key, gpointer value, gpointer arg)
{
	const part_t *part = value;
	const mstime_t *now = arg;

	(void)key;
	return !part->outstanding && *now - part->asked_at > WANTS_MS;
}

bool shares_check_request(shares_t *s, const char *service,
			  const char *customer, mstime_t now)
{
	service_shares_t *at = service_(s, service);
	part_t *part = part_(at, customer);
	double even;

	part->asked_at = now;
	average_(part, now);
	g_hash_table_foreach_remove(at->parts, unwanted_, &now);
	even = (double)at->outstanding / g_hash_table_size(at->parts);
	if (part->outstanding > CLUMP_FACTOR * even)
		return true;
	return MIN(part->outstanding, part->mean) > OVER_FACTOR * even;
}

void shares_add_outstanding(shares_t *s, const char *service,
			    const char *customer, int change, mstime_t now)
{
	service_shares_t *at = service_(s, service);
	part_t *part = part_(at, customer);

	assert(part->outstanding + change >= 0);
	average_(part, now);
	at->outstanding += change;
	part->outstanding += change;
}
