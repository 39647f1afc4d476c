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
#define WEIGHT_RETURNED                                                        \
	1001 /* full, but some of its chats are warm elsewhere                 \
	      */
#define WEIGHT_STABLE 1002
/* Flag beside the weight: requests wait only for want of power. */
#define WEIGHT_POWER_LIMITED 0x10000u
#define WEIGHT_MASK 0xffffu
/* Above it, a part of the hash of the upstream's start id. */
#define WEIGHT_START_TAG_SHIFT 17

/* Times in which a request reaches its upstream, and its end is heard here. */
#define TRANSIT_MS 60
#define COMPLETION_DELAY_MS 10

/* One customer at one upstream. */
typedef struct customer_usage {
	int outstanding;
	mstime_t last_request; /* last request */
} customer_usage_t;

typedef struct sched_upstream {
	uint32_t key;
	const upstream_t *config;  /* NULL once it left the configuration */
	const sched_node_t *owner; /* NULL without nodes */
	bool owned;
	bool in_service; /* by configuration, at the last view */
	mstime_t owned_since;

	/* Known as the owner. */
	limit_t limit;
	int own_outstanding;	/* requests sent from here and not ended */
	int in_transit;		/* requests sent within TRANSIT_MS */
	int own_peak;		/* highest out in this window of time */
	int own_peak_previous;	/* and in the window before */
	int remote_outstanding; /* outstanding there but not sent from here */
	mstime_t remote_reported_at; /* when that was reported */
	uint64_t start_id;
	int consecutive_failures; /* in a row */
	bool down;
	int flaps;
	mstime_t stable_at; /* from when its weight may grow */
	mstime_t wait_report_until;
	bool takeover_pending;	/* no report has come since another node's time
				 */
	uint32_t former_weight; /* what its former owner last told, as
				   peer_weight */
	bool returned;		/* had been away while others took its chats */
	double prefill_tps;	/* moving average of prompt tokens a second */
	double duration_ms;	/* moving average of a request */
	int consecutive_misses; /* chats in a row that should have been warm */
	lru_t cached_chats;
	fairq_t queue;
	GHashTable *customers; /* customer's name to customer_usage_t * */

	/* Known by gossip. */
	int peer_outstanding;
	int peer_limit;
	uint32_t peer_weight;
	uint32_t peer_stamp;
	mstime_t peer_updated_at; /* 0 for never */
	int forwarded;		  /* handed to its owner since then */
} sched_upstream_t;

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

sched_upstream_t *sched_upstream_new(uint32_t key);
void sched_upstream_free(void *upstream);

/*
 * sched_upstream_own - this node becomes the owner.
 */
void sched_upstream_own(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_confirm_takeover - the first report to a new owner: an
 * upstream that has not started anew since its former owner held it at full
 * weight goes on from the work that it has.
 * @outstanding: as reported
 */
void sched_upstream_confirm_takeover(sched_upstream_t *u, mstime_t now,
				     uint64_t start_id, int outstanding);

/*
 * sched_upstream_start_tag - mark of a start id beside the weight in gossip.
 */
uint32_t sched_upstream_start_tag(uint64_t start_id);

/*
 * sched_upstream_disown - this node is no longer the owner; the queue is
 * emptied by the caller.
 */
void sched_upstream_disown(sched_upstream_t *u);

/*
 * sched_upstream_note_restart - the upstream has started anew.
 */
void sched_upstream_note_restart(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_note_failure - one more sign that it cannot be reached.
 *
 * Return: true when this makes it count as down.
 */
bool sched_upstream_note_failure(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_note_recovery - it answers again.
 */
void sched_upstream_note_recovery(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_weight - present weight as in gossip; 0 takes no chats.
 */
uint32_t sched_upstream_weight(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_load - outstanding requests as far as known.
 */
int sched_upstream_load(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_expected_load - the same as far as it is outstanding at the
 * upstream by now: without what may not have arrived, or is expected to have
 * ended.
 */
double sched_upstream_expected_load(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_expected_ends - mean number of requests sent from here that
 * have ended at the upstream without this being known here.
 */
double sched_upstream_expected_ends(const sched_upstream_t *u);

/*
 * sched_upstream_load_variance - variance of the load, as it may have changed
 * since heard: each outstanding request may have ended, and others begun.
 */
double sched_upstream_load_variance(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_alive - whether it is not known to be down.
 */
bool sched_upstream_alive(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_limit - outstanding requests allowed by ramp, adaptation and
 * power, or as told by the owner.
 */
int sched_upstream_limit(const sched_upstream_t *u, const sched_t *s,
			 mstime_t now);

/*
 * sched_upstream_customer - the customer's entry, made when missing.
 */
customer_usage_t *sched_upstream_customer(sched_upstream_t *u,
					  const char *customer);

/*
 * sched_upstream_reserve - requests of the limit that a customer must leave
 * free. One that holds more than half of an upstream leaves a part to the
 * others, so that they need not wait for its requests to end.
 */
int sched_upstream_reserve(const sched_upstream_t *u, mstime_t now,
			   const char *customer, int limit);

/*
 * sched_upstream_roll_window - starts a new window of the highest own load.
 */
void sched_upstream_roll_window(sched_upstream_t *u);

/*
 * sched_upstream_wait - time until a new request of a customer would start.
 */
mstime_t sched_upstream_wait(const sched_upstream_t *u, const sched_t *s,
			     mstime_t now, const char *customer);

/*
 * sched_upstream_min_wait - the same if all of the limit were used at once.
 */
mstime_t sched_upstream_min_wait(const sched_upstream_t *u, const sched_t *s,
				 mstime_t now, const char *customer);

/*
 * sched_upstream_prefill_ms - time in which the upstream computes a prefix, as
 * learnt.
 */
mstime_t sched_upstream_prefill_ms(const sched_upstream_t *u, int64_t tokens);

/*
 * sched_upstream_note_duration - learns how long a request takes.
 */
void sched_upstream_note_duration(sched_upstream_t *u, mstime_t ms);

/*
 * sched_upstream_note_prefill - learns how fast the upstream computes prefixes.
 */
void sched_upstream_note_prefill(sched_upstream_t *u, const sched_outcome_t *o);

/*
 * sched_upstream_note_cache - compares what an answer tells of the cache with
 * what was believed.
 */
void sched_upstream_note_cache(sched_upstream_t *u, mstime_t now,
			       const permit_t *p, const sched_outcome_t *o);

#endif
