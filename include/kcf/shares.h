/*
 * shares - counts the requests that each customer has outstanding at a service
 * through this node, and detects customers above their share.
 *
 * Callers are spread over the nodes at random, so a customer's fraction of the
 * requests is about the same at every node, and nodes need not exchange these
 * counts. Pure logic: no clock.
 */
#ifndef KCF_SHARES_H
#define KCF_SHARES_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

typedef struct shares {
	GHashTable *services; /* char * to service_shares_t * */
} shares_t;

/*
 * shares_init - initialises with nothing outstanding.
 */
void shares_init(shares_t *s);

/*
 * shares_finish - releases all; requests may still be outstanding.
 */
void shares_finish(shares_t *s);

/*
 * shares_check_request - records the arrival of a request, which makes its
 * customer active for a while, and checks the customer's share.
 * @customer: name, "" for callers without a key
 *
 * Return: whether the customer recently had much more outstanding than an even
 * share: the requests that this node has outstanding at the service, divided by
 * its active customers. False for the only active one.
 */
bool shares_check_request(shares_t *s, const char *service,
			  const char *customer, mstime_t now);

/*
 * shares_add_outstanding - counts a request that is sent (1) or ends (-1).
 */
void shares_add_outstanding(shares_t *s, const char *service,
			    const char *customer, int change, mstime_t now);

#endif
