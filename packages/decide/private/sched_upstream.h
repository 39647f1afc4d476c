/*
 * sched_upstream - what this node knows of one upstream.
 *
 * For an owned upstream the node keeps its limit, queue, health and a model of
 * its cache; for those of other nodes it has the last load gossip.
 */
#ifndef KCF_PRIVATE_SCHED_UPSTREAM_H
#define KCF_PRIVATE_SCHED_UPSTREAM_H

#include <kcf/fairq.h>
#include <kcf/limit.h>
#include <kcf/lru.h>
#include <kcf/sched.h>

/*
 * Weight of an upstream in gossip: up to WEIGHT_FULL in thousandths. The two
 * values above it mean full weight too.
 */
#define WEIGHT_FULL 1000
/* Back in service recently; some of its chats are cached elsewhere. */
#define WEIGHT_RETURNED 1001
#define WEIGHT_STABLE 1002
/* Flag beside the weight: only the power limit makes requests wait. */
#define WEIGHT_POWER_LIMITED 0x10000u
#define WEIGHT_MASK 0xffffu
/* The bits from here on are taken from a hash of the upstream's start id. */
#define WEIGHT_START_TAG_SHIFT 17

/* Time until a request that was sent counts as arrived at its upstream. */
#define TRANSIT_MS 60
/* Time from the end of a request at its upstream until it is known here. */
#define COMPLETION_DELAY_MS 10

/* Requests of one customer at one upstream. */
typedef struct customer_usage {
	int outstanding;
	mstime_t last_request;
} customer_usage_t;

typedef struct sched_upstream {
	uint32_t key;
	const upstream_t *config; /* NULL once removed from the configuration */
	const sched_node_t *owner; /* NULL without nodes */
	bool owned;
	bool in_service; /* according to the last view */
	mstime_t owned_since;

	/* Known to the owner. */
	limit_t limit;
	int own_outstanding;	/* requests sent from here and not ended */
	int in_transit;		/* requests sent within TRANSIT_MS */
	int own_peak;		/* highest own_outstanding in this window */
	int own_peak_previous;	/* and in the window before */
	int remote_outstanding; /* requests there that others have sent */
	mstime_t remote_reported_at;
	uint64_t start_id;
	int consecutive_failures;
	bool down;
	int flaps;
	mstime_t stable_at;	    /* from when its weight may grow */
	mstime_t wait_report_until; /* a new owner sends nothing before */
	bool takeover_pending;	    /* taken over, and no load report since */
	uint32_t former_weight; /* peer_weight as the former owner sent it */
	bool returned;	    /* was out of service while others ran its chats */
	double prefill_tps; /* moving average of prompt tokens a second */
	double duration_ms; /* moving average of a request */
	int consecutive_misses; /* of chats that were assumed to be cached */
	lru_t cached_chats;	/* model of the upstream's prefix cache */
	fairq_t queue;
	GHashTable *customers; /* name to customer_usage_t * */

	/* Known from gossip. */
	int peer_outstanding;
	int peer_limit;
	uint32_t peer_weight;
	uint32_t peer_stamp;
	mstime_t peer_updated_at; /* 0 for never */
	int forwarded; /* requests forwarded to the owner since then */
} sched_upstream_t;

/* A request that was granted to run at an upstream and has not ended. */
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

/*
 * sched_upstream_free - a GDestroyNotify; the queue must be empty.
 */
void sched_upstream_free(void *upstream);

/*
 * sched_upstream_own - records that this node becomes the owner.
 */
void sched_upstream_own(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_confirm_takeover - applies the first report that a new owner
 * receives. If the upstream had full weight at its former owner and has not
 * restarted since, the ramp starts above the requests that it runs.
 * @outstanding: as reported
 */
void sched_upstream_confirm_takeover(sched_upstream_t *u, mstime_t now,
				     uint64_t start_id, int outstanding);

/*
 * sched_upstream_start_tag - hash of a start id as sent beside the weight in
 * gossip.
 */
uint32_t sched_upstream_start_tag(uint64_t start_id);

/*
 * sched_upstream_disown - records that this node is no longer the owner; the
 * caller has to empty the queue.
 */
void sched_upstream_disown(sched_upstream_t *u);

/*
 * sched_upstream_note_restart - records a restart: the cache is empty, and the
 * ramp begins again.
 */
void sched_upstream_note_restart(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_note_failure - records that the upstream could not be reached.
 *
 * Return: true if it counts as down from now on.
 */
bool sched_upstream_note_failure(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_note_recovery - records that the upstream responded.
 */
void sched_upstream_note_recovery(sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_weight - current weight as in gossip; at 0 no chat is placed
 * there.
 */
uint32_t sched_upstream_weight(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_load - outstanding requests by the last report.
 */
int sched_upstream_load(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_expected_load - requests expected to run at the upstream now:
 * the load without those that may not have arrived or are expected to have
 * ended.
 */
double sched_upstream_expected_load(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_expected_ends - expected number of requests sent from here
 * that have ended at the upstream but still count as outstanding here.
 */
double sched_upstream_expected_ends(const sched_upstream_t *u);

/*
 * sched_upstream_load_variance - variance of the load, which grows with the age
 * of the last report: each outstanding request may have ended since, and others
 * may have started.
 */
double sched_upstream_load_variance(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_alive - false if the upstream is known to be down.
 */
bool sched_upstream_alive(const sched_upstream_t *u, mstime_t now);

/*
 * sched_upstream_limit - outstanding requests allowed by the ramp, the adaptive
 * limit and power; the owner's figure for upstreams of other nodes.
 */
int sched_upstream_limit(const sched_upstream_t *u, const sched_t *s,
			 mstime_t now);

/*
 * sched_upstream_customer - usage of a customer, created if missing.
 */
customer_usage_t *sched_upstream_customer(sched_upstream_t *u,
					  const char *customer);

/*
 * sched_upstream_reserve - how much of the limit a customer must leave free.
 * One that has more than half of the limit outstanding leaves a reserve to
 * other active customers, so that they need not wait for its requests to end.
 */
int sched_upstream_reserve(const sched_upstream_t *u, mstime_t now,
			   const char *customer, int limit);

/*
 * sched_upstream_roll_window - starts a new window for own_peak.
 */
void sched_upstream_roll_window(sched_upstream_t *u);

/*
 * sched_upstream_wait - estimates the time until a new request of a customer
 * would start, at the present concurrency.
 */
mstime_t sched_upstream_wait(const sched_upstream_t *u, const sched_t *s,
			     mstime_t now, const char *customer);

/*
 * sched_upstream_min_wait - the same estimate at a concurrency equal to the
 * limit.
 */
mstime_t sched_upstream_min_wait(const sched_upstream_t *u, const sched_t *s,
				 mstime_t now, const char *customer);

/*
 * sched_upstream_prefill_ms - estimated time to compute a prefix of so many
 * tokens.
 */
mstime_t sched_upstream_prefill_ms(const sched_upstream_t *u, int64_t tokens);

/*
 * sched_upstream_note_duration - updates the mean duration of a request.
 */
void sched_upstream_note_duration(sched_upstream_t *u, mstime_t ms);

/*
 * sched_upstream_note_prefill - updates the mean prefill rate from a response.
 */
void sched_upstream_note_prefill(sched_upstream_t *u, const sched_outcome_t *o);

/*
 * sched_upstream_note_cache - checks the cache model against the cached tokens
 * that a response reports, and clears the model after repeated misses or a
 * restart.
 */
void sched_upstream_note_cache(sched_upstream_t *u, mstime_t now,
			       const permit_t *p, const sched_outcome_t *o);

#endif
