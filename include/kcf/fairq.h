/*
 * fairq - weighted fair queue by customer, then by urgency.
 *
 * Start-time fair queueing: each customer has a virtual time that advances by
 * 1/weight for each request taken, so that a surge of one customer queues
 * behind itself. Within a customer, urgency 0 goes before 7, and equal
 * urgencies in order of arrival. Urgency 7 of any customer goes last.
 */
#ifndef KCF_FAIRQ_H
#define KCF_FAIRQ_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

#define FAIRQ_URGENCIES 8
/* Background work, which waits while anything else is queued. */
#define FAIRQ_BACKGROUND 7

typedef struct fairq_item {
	uint64_t id;
	char *customer;
	double weight;
	int urgency;
	mstime_t queued_at;
	mstime_t deadline;
	void *user;
	GList link;
	struct fairq_flow *flow;
} fairq_item_t;

typedef struct fairq_flow {
	char *customer;
	double finish; /* virtual time at which its next request may start */
	GQueue items[FAIRQ_URGENCIES];
	guint length;
	uint64_t seq; /* order among flows of equal virtual time */
} fairq_flow_t;

typedef struct fairq {
	GHashTable *flows; /* char * to fairq_flow_t *; only with items */
	GHashTable *by_id;
	double virtual_now; /* virtual time */
	uint64_t next_seq;
} fairq_t;

void fairq_init(fairq_t *q);

/*
 * fairq_finish - releases the queue; it must be empty.
 */
void fairq_finish(fairq_t *q);

/*
 * fairq_push - queues a request.
 * @customer: copied
 * @urgency:  0 to 7
 */
void fairq_push(fairq_t *q, uint64_t id, const char *customer, double weight,
		int urgency, mstime_t now, mstime_t deadline, void *user);

/*
 * fairq_pop - takes the next request.
 * @user: receives its pointer
 *
 * Return: false when the queue is empty.
 */
bool fairq_pop(fairq_t *q, uint64_t *id, void **user);

/*
 * fairq_peek - the request that fairq_pop would take, or NULL.
 */
const fairq_item_t *fairq_peek(const fairq_t *q);

/*
 * fairq_remove - takes a certain request out.
 *
 * Return: its pointer, or NULL when it is not queued.
 */
void *fairq_remove(fairq_t *q, uint64_t id);

/*
 * fairq_length - queued requests of all customers.
 */
guint fairq_length(const fairq_t *q);

/*
 * fairq_ahead - requests that would go before a new one of a customer.
 */
guint fairq_ahead(const fairq_t *q, const char *customer);

/*
 * fairq_foreach - calls fn for each queued request; fn may not change the
 * queue.
 */
void fairq_foreach(const fairq_t *q,
		   void (*fn)(void *arg, const fairq_item_t *item), void *arg);

#endif
