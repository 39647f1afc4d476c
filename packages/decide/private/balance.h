/*
 * Shared by the modules of balance.
 */
#ifndef KCF_PRIVATE_BALANCE_H
#define KCF_PRIVATE_BALANCE_H

#include <kcf/balance.h>

/* The upstreams that a request may go to, and their statistics. */
typedef struct candidates {
	balance_upstream_t **list;
	int *loads; /* estimated outstanding requests, parallel to list */
	guint count;
	double mean_load;   /* of all upstreams of the service, listed or not */
	double listed_load; /* mean of those listed */
	bool restricted;    /* those of some version are not listed */
	int own_outstanding;	   /* requests of this node at those listed */
	double mean_failure_rate;  /* of those listed */
	double mean_latency_ms;	   /* of those listed that have one */
	double healthy_latency_ms; /* lower ones always count as healthy */
	bool work_known;	   /* see balance_work_is_active */
	double mean_hold_ms;	   /* the same */
	double least_ms;	   /* least time of a request at one of them */
	int slots;		   /* of those listed */
} candidates_t;

/*
 * balance_collect_candidates - collects the available upstreams of a service.
 * @c: released with balance_free_candidates
 */
void balance_collect_candidates(const balance_t *b,
				const balance_request_t *request, mstime_t now,
				candidates_t *c);
void balance_free_candidates(candidates_t *c);

/*
 * balance_is_unhealthy - whether an upstream fails more often or answers more
 * slowly than the others. Failures common to all upstreams don't count against
 * one of them.
 */
bool balance_is_unhealthy(const candidates_t *c, const balance_upstream_t *u);

/*
 * balance_trust - whether an upstream is the start that its entry describes.
 */
balance_trust_t balance_trust(const balance_upstream_t *u, mstime_t now);

/*
 * balance_is_cold - whether the rate of requests to an upstream is limited
 * because it started recently.
 */
bool balance_is_cold(const balance_t *b, const balance_upstream_t *u,
		     mstime_t now);

/*
 * balance_cold_rate_allows - whether this node's share of a cold upstream's
 * rate limit allows one more request; true for one that is not cold. Refills
 * the token bucket, which holds one token.
 */
bool balance_cold_rate_allows(const balance_t *b, balance_upstream_t *u,
			      mstime_t now);

/*
 * balance_get_affinity - the affinity entry of a prompt, created if missing. It
 * expires when the prompt is not requested for a while.
 */
balance_affinity_t *balance_get_affinity(balance_t *b, uint64_t affinity,
					 mstime_t now);

/*
 * balance_count_prompt - counts a request for a prompt; not called for its
 * retries.
 */
void balance_count_prompt(balance_t *b, balance_affinity_t *entry);

/*
 * balance_prompt_share - moving fraction of a prompt among the prompts that
 * this node receives, 0 to 1; 0 while too few requests support it.
 */
double balance_prompt_share(const balance_t *b,
			    const balance_affinity_t *entry);

/*
 * balance_set_preferred - makes an upstream the preferred one of a prompt.
 */
void balance_set_preferred(balance_t *b, uint64_t affinity, uint64_t local_id,
			   mstime_t now);

/*
 * balance_shares_warmth - whether requests to a service use what other nodes
 * tell of prompts.
 */
bool balance_shares_warmth(const balance_t *b, const char *service);

/*
 * balance_retry_delay - when the caller of a request refused for load may
 * retry. Retries are spaced at the rate at which capacity becomes free.
 *
 * Return: milliseconds from now.
 */
mstime_t balance_retry_delay(balance_t *b, const char *service,
			     const candidates_t *c, mstime_t now);

/*
 * balance_has_fresh_report - whether the last report of an upstream is recent
 * enough to stand for its present load.
 */
bool balance_has_fresh_report(const balance_upstream_t *u, mstime_t now);

/*
 * balance_set_remote - sets the outstanding requests of other nodes from a
 * report.
 * @at: time of the report, later than that of the one before
 */
void balance_set_remote(balance_upstream_t *u, int remote, mstime_t at);

/*
 * balance_estimate_remote - estimates the outstanding requests of other nodes
 * at present.
 * @mean: of remote outstanding requests over the candidates
 */
double balance_estimate_remote(const balance_upstream_t *u, double mean,
			       mstime_t now);

/*
 * balance_remaining_remote - estimates the unfinished requests of other nodes
 * at an upstream that gets no new ones.
 */
double balance_remaining_remote(const balance_upstream_t *u, mstime_t now);

/*
 * balance_count_own - counts requests of this node that start (1) or end (-1).
 */
void balance_count_own(balance_upstream_t *u, int change, mstime_t now);

/* What the choice by work depends on, and the upstreams that it may choose. */
typedef struct work_choice {
	const balance_request_t *request;
	const candidates_t *candidates;
	const balance_affinity_t *entry; /* of the prompt, or NULL */
	int preferred; /* candidate ranked first for the prompt, or -1 */
	/* Upstreams that have the prompt by what other nodes tell. */
	const uint32_t *told_keys;
	int told_count;
	bool told_ready; /* it can be copied from one of them */
	bool told_all;	 /* nodes tell each other of all long prefills */
	int *allowed;	 /* indices of candidates */
	guint allowed_count;
} work_choice_t;

/*
 * balance_work_is_active - whether a candidate has reported its pace lately.
 */
bool balance_work_is_active(const candidates_t *c, mstime_t now);

/*
 * balance_choose_by_work - compares the expected time to the first output at
 * the chosen upstream with that at the allowed ones.
 * @chosen: index of a candidate, allowed or not
 *
 * Return: chosen, or an allowed one that is better by more than a margin.
 */
int balance_choose_by_work(balance_t *b, const work_choice_t *w, int chosen,
			   mstime_t now);

/*
 * balance_begin_work - counts the tokens of a request at the chosen upstream
 * and fills in work and expected_ms of the pick, whose copy_source is set.
 * @index: of the chosen candidate
 */
void balance_begin_work(balance_t *b, const work_choice_t *w, int index,
			mstime_t now, balance_pick_t *pick);

/*
 * balance_free_if_unused - frees an upstream that was removed, once none of
 * this node's requests are outstanding there.
 */
void balance_free_if_unused(balance_upstream_t *u);

#endif
