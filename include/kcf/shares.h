/*
 * shares - what each customer has outstanding at a service, of one node's
 * requests, and whether that is more than its share.
 *
 * Callers reach nodes by chance, so that a customer's part is about the same at
 * every node; nodes need not tell each other. Pure logic: no clock.
 */
#ifndef KCF_SHARES_H
#define KCF_SHARES_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

typedef struct shares {
	GHashTable *services; /* char * to its customers */
} shares_t;

/*
 * shares_init - nothing is outstanding.
 */
void shares_init(shares_t *s);

/*
 * shares_finish - releases all, whatever is outstanding.
 */
void shares_finish(shares_t *s);

/*
 * shares_check_request - a request has come; until a while later its customer
 * counts as one that wants a part.
 * @customer: name, "" for callers without a key
 *
 * Return: whether the customer has had much more outstanding of late than an
 * even part of all that this node has outstanding at the service. A customer
 * that is alone there never has.
 */
bool shares_check_request(shares_t *s, const char *service,
			  const char *customer, mstime_t now);

/*
 * shares_add_outstanding - counts requests that are sent (1) or end (-1).
 */
void shares_add_outstanding(shares_t *s, const char *service,
			    const char *customer, int change, mstime_t now);

#endif
