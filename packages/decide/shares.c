#include <kcf/shares.h>

#include <assert.h>
#include <math.h>

/* Multiple of an even share that is tolerated, as customers differ in size. */
#define OVER_SHARE_FACTOR 1.5
/*
 * A customer without outstanding requests stays active for this long after a
 * request; refused callers retry sooner.
 */
#define ACTIVE_MS 2000

/* Bursts, which any customer may send, are shorter than this */
#define MEAN_WINDOW_MS 500.0
/* and stay below this multiple of an even share. */
#define BURST_FACTOR 3.0

typedef struct customer_share {
	int outstanding;
	double mean; /* moving mean of outstanding */
	mstime_t mean_at;
	mstime_t requested_at;
} customer_share_t;

typedef struct service_shares {
	int outstanding;
	GHashTable *customers; /* customer's name to customer_share_t * */
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

	g_hash_table_destroy(service->customers);
	g_free(service);
}

static service_shares_t *get_service_(shares_t *s, const char *name)
{
	service_shares_t *service = g_hash_table_lookup(s->services, name);

	if (service)
		return service;
	service = g_new0(service_shares_t, 1);
	service->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(s->services, g_strdup(name), service);
	return service;
}

static customer_share_t *get_customer_(service_shares_t *service,
				       const char *customer)
{
	customer_share_t *share =
		g_hash_table_lookup(service->customers, customer);

	if (share)
		return share;
	share = g_new0(customer_share_t, 1);
	g_hash_table_insert(service->customers, g_strdup(customer), share);
	return share;
}

static void update_mean_(customer_share_t *share, mstime_t now)
{
	double age = share->mean_at ? (double)(now - share->mean_at) : 0;

	share->mean += (1 - exp(-age / MEAN_WINDOW_MS)) *
		       (share->outstanding - share->mean);
	share->mean_at = now;
}

static gboolean is_inactive_(gpointer key, gpointer value, gpointer arg)
{
	const customer_share_t *share = value;
	const mstime_t *now = arg;

	(void)key;
	return !share->outstanding && *now - share->requested_at > ACTIVE_MS;
}

bool shares_check_request(shares_t *s, const char *service,
			  const char *customer, mstime_t now)
{
	service_shares_t *service_shares = get_service_(s, service);
	customer_share_t *share = get_customer_(service_shares, customer);
	double even_share;

	share->requested_at = now;
	update_mean_(share, now);
	g_hash_table_foreach_remove(service_shares->customers, is_inactive_,
				    &now);
	even_share = (double)service_shares->outstanding /
		     g_hash_table_size(service_shares->customers);
	if (share->outstanding > BURST_FACTOR * even_share)
		return true;
	return MIN(share->outstanding, share->mean) >
	       OVER_SHARE_FACTOR * even_share;
}

void shares_add_outstanding(shares_t *s, const char *service,
			    const char *customer, int change, mstime_t now)
{
	service_shares_t *service_shares = get_service_(s, service);
	customer_share_t *share = get_customer_(service_shares, customer);

	assert(share->outstanding + change >= 0);
	update_mean_(share, now);
	service_shares->outstanding += change;
	share->outstanding += change;
}
