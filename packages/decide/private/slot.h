/*
 * slot - what one node knows of one upstream.
 */
#ifndef KCF_PRIVATE_SLOT_H
#define KCF_PRIVATE_SLOT_H

#include <kcf/fairq.h>
#include <kcf/limit.h>
#include <kcf/lru.h>
#include <kcf/sched.h>

/* Weight in gossip: thousandths, then two marks above full weight. */
#define WEIGHT_FULL 1000
#define WEIGHT_RECENT                                                          \
	1001 /* full, but some of its chats are warm elsewhere                 \
	      */
#define WEIGHT_SETTLED 1002
/* Flag beside the weight: requests wait only for want of power. */
#define WEIGHT_SHORT_OF_POWER 0x10000u
#define WEIGHT_MASK 0xffffu
/* Above it, a part of the hash of the upstream's start id. */
#define WEIGHT_START_SHIFT 17

/* Times in which a request reaches its upstream, and its end is heard here. */
#define SLOT_ARRIVAL_MS 60
#define SLOT_END_MS 10

/* One customer at one upstream. */
typedef struct tenant {
	int out;
	mstime_t seen; /* last request */
} tenant_t;

typedef struct slot {
	uint32_t key;
	const upstream_t *up;	   /* NULL once it left the configuration */
	const sched_node_t *owner; /* NULL without nodes */
	bool owned;
	bool open; /* by configuration, at the last view */
	mstime_t owned_since;

	/* Known as the owner. */
	limit_t limit;
	int out;	     /* requests sent from here and not ended */
	int recent;	     /* requests sent within SLOT_ARRIVAL_MS */
	int out_max;	     /* highest out in this window of time */
	int out_max_last;    /* and in the window before */
	int foreign;	     /* outstanding there but not sent from here */
	mstime_t foreign_at; /* when that was reported */
	uint64_t start_id;
	int failures; /* in a row */
	bool down;
	int flaps;
	mstime_t stable_at; /* from when its weight may grow */
	mstime_t hold_until;
	bool taken_over; /* no report has come since another node's time */
	uint32_t former; /* what its former owner last told, as peer_weight */
	bool returned;	 /* had been away while others took its chats */
	double prefill_tps; /* moving average of prompt tokens a second */
	double duration_ms; /* moving average of a request */
	int misses;	    /* chats in a row that should have been warm */
	lru_t warm;
	fairq_t queue;
	GHashTable *tenants; /* customer's name to tenant_t * */

	/* Known by gossip. */
	int peer_out;
	int peer_limit;
	uint32_t peer_weight;
	uint32_t peer_stamp;
	mstime_t peer_heard; /* 0 for never */
	int handed;	     /* handed to its owner since then */
} slot_t;

/* A request that was let through and has not ended. */
typedef struct permit {
	uint64_t id;
	uint32_t key;
	uint64_t chat;
	bool sticky;
	bool warm;
	int64_t prompt_tokens;
	mstime_t started;
	char customer[SCHED_NAME_MAX];
} permit_t;

slot_t *slot_new(uint32_t key);
void slot_free(void *slot);

/*
 * slot_acquire - this node becomes the owner.
 */
void slot_acquire(slot_t *sl, mstime_t now);

/*
 * slot_confirm - the first report to a new owner: an upstream that has not
 * started anew since its former owner held it at full weight goes on from the
 * work that it has.
 * @outstanding: as reported
 */
void slot_confirm(slot_t *sl, mstime_t now, uint64_t start_id, int outstanding);

/*
 * slot_start_tag - mark of a start id beside the weight in gossip.
 */
uint32_t slot_start_tag(uint64_t start_id);

/*
 * slot_lose - this node is no longer the owner; the queue is emptied by the
 * caller.
 */
void slot_lose(slot_t *sl);

/*
 * slot_restarted - the upstream has started anew.
 */
void slot_restarted(slot_t *sl, mstime_t now);

/*
 * slot_failed - one more sign that it cannot be reached.
 *
 * Return: true when this makes it count as down.
 */
bool slot_failed(slot_t *sl, mstime_t now);

/*
 * slot_recovered - it answers again.
 */
void slot_recovered(slot_t *sl, mstime_t now);

/*
 * slot_weight - present weight as in gossip; 0 takes no chats.
 */
uint32_t slot_weight(const slot_t *sl, mstime_t now);

/*
 * slot_load - outstanding requests as far as known.
 */
int slot_load(const slot_t *sl, mstime_t now);

/*
 * slot_load_there - the same as far as it is outstanding at the upstream by
 * now: without what may not have arrived, or is expected to have ended.
 */
double slot_load_there(const slot_t *sl, mstime_t now);

/*
 * slot_ended - mean number of requests sent from here that have ended at the
 * upstream without this being known here.
 */
double slot_ended(const slot_t *sl);

/*
 * slot_variance - variance of the load, as it may have changed since heard:
 * each outstanding request may have ended, and others begun.
 */
double slot_variance(const slot_t *sl, mstime_t now);

/*
 * slot_alive - whether it is not known to be down.
 */
bool slot_alive(const slot_t *sl, mstime_t now);

/*
 * slot_limit - outstanding requests allowed by ramp, adaptation and power,
 * or as told by the owner.
 */
int slot_limit(const slot_t *sl, const sched_t *s, mstime_t now);

/*
 * slot_tenant - the customer's entry, made when missing.
 */
tenant_t *slot_tenant(slot_t *sl, const char *customer);

/*
 * slot_reserve - requests of the limit that a customer must leave free. One
 * that holds more than half of an upstream leaves a part to the others, so
 * that they need not wait for its requests to end.
 */
int slot_reserve(const slot_t *sl, mstime_t now, const char *customer,
		 int limit);

/*
 * slot_window - starts a new window of the highest own load.
 */
void slot_window(slot_t *sl);

/*
 * slot_wait - time until a new request of a customer would start.
 */
mstime_t slot_wait(const slot_t *sl, const sched_t *s, mstime_t now,
		   const char *customer);

/*
 * slot_wait_least - the same if all of the limit were used at once.
 */
mstime_t slot_wait_least(const slot_t *sl, const sched_t *s, mstime_t now,
			 const char *customer);

/*
 * slot_prefill_ms - time in which the upstream computes a prefix, as learnt.
 */
mstime_t slot_prefill_ms(const slot_t *sl, int64_t tokens);

/*
 * slot_note_duration - learns how long a request takes.
 */
void slot_note_duration(slot_t *sl, mstime_t ms);

/*
 * slot_note_prefill - learns how fast the upstream computes prefixes.
 */
void slot_note_prefill(slot_t *sl, const sched_outcome_t *o);

/*
 * slot_note_cache - compares what an answer tells of the cache with what was
 * believed.
 */
void slot_note_cache(slot_t *sl, mstime_t now, const permit_t *p,
		     const sched_outcome_t *o);

#endif
