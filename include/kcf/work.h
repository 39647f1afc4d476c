/*
 * work - expected time to the first piece of output at each upstream.
 *
 * An upstream prefills the prompts it receives one after another, between the
 * output tokens of other requests. The time until a request's first output
 * follows from the prompt tokens that are pending there, the prefill rate and
 * the pace that the upstream reports. Pure logic: no socket, no clock.
 *
 * Load: long prompts that are not cached, which occupy an upstream for some
 * hundred milliseconds, beside short requests with an objective of about that
 * time; and upstreams whose pace changes several times a second.
 */
#ifndef KCF_WORK_H
#define KCF_WORK_H

#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* A pace of 100 is normal; at 200 all work takes twice as long. */
#define WORK_PACE_NORMAL 100
/* Nodes whose pending tokens at one upstream are known at the same time. */
#define WORK_REPORTS_MAX 4
/* Size of a message to another node about one upstream, on the network. */
#define WORK_NOTICE_BYTES 124
/*
 * Budget of these messages, and what may be saved up: a node that starts meets
 * many prompts that are cached nowhere.
 */
#define WORK_NOTICE_BYTES_PER_S 4096
#define WORK_NOTICE_BURST_BYTES 65536
/*
 * Other nodes are told of a prefill that takes at least this long, many times
 * the way of a message. Shorter ones cost short requests little of their
 * objective of some 500 ms.
 */
#define WORK_NOTICE_MIN_MS 75

/* Tokens of one request, 0 where unknown. */
typedef struct work_tokens {
	int shared; /* of the prompt parts that may be cached */
	int own;    /* of the rest of the prompt */
	int output; /* expected */
} work_tokens_t;

/* Pending tokens of another node at one upstream. */
typedef struct work_report {
	uint64_t node;
	double tokens; /* at the time at */
	mstime_t at;   /* 0 if unset */
} work_report_t;

/* What a node knows about one upstream; zeroed at first. */
typedef struct work_state {
	double own_pending; /* of this node's requests before their first
			       output */
	double own_left;    /* part of it that is not prefilled yet */
	mstime_t left_at;
	int own_waiting;  /* requests in own_pending */
	double own_held;  /* tokens of this node's open requests */
	int pace;	  /* as reported last */
	mstime_t pace_at; /* 0 before the first report */
	work_report_t reports[WORK_REPORTS_MAX];
} work_state_t;

/* Prefill rate of the upstreams of a service; zeroed at first. */
typedef struct work_rate {
	double tokens_per_ms; /* at the normal pace, 0 before the first sample
			       */
	double base_ms; /* moving mean of the time without prefill, or 0 */
	/* Fraction of prompts placed first without knowledge of their caches
	 * that were prefilled.
	 */
	double unknown_cold;
	int unknown_count; /* in unknown_cold */
} work_rate_t;

/* What a request adds to its upstream; zeroed if it was not counted. */
typedef struct work_request {
	double prefill; /* expected tokens to prefill, 0 after the first
			   output */
	double held;
	int shared;
	int own;
	bool waiting;	   /* for the first output */
	bool known_cached; /* this node has seen the shared parts there */
	bool first;	   /* the upstream is ranked first for the prompt */
	bool may_copy;	   /* the upstream was named another one to copy from */
} work_request_t;

/* Budget of messages to other nodes; zeroed at first, when it is full. */
typedef struct work_notices {
	int64_t spent; /* bytes that are not regained yet */
	mstime_t refilled_at;
} work_notices_t;

/* A report to other nodes about one upstream. */
typedef struct work_entry {
	uint64_t prompt; /* hash of a shared prompt that it begins to prefill,
			    or 0 */
	uint32_t key;	 /* of the upstream */
	int tokens;	 /* pending, of the sender's requests */
	int pace;	 /* 0 if unknown */
	mstime_t pace_age_ms; /* below 0 if unknown */
} work_entry_t;

/*
 * work_rate_tokens_per_ms - the prefill rate at the normal pace; a low one
 * before it is learned.
 */
double work_rate_tokens_per_ms(const work_rate_t *r);

/*
 * work_cold_fraction - how likely an upstream has to prefill the shared parts
 * of a prompt for which it is ranked first; 1 before it is learned.
 */
double work_cold_fraction(const work_rate_t *r);

/*
 * work_learn - learns from the time to the first output of a request.
 * @request: as it was counted, before work_first_output
 * @ms: from sending it to the first output
 * @pace: of the upstream, as its response says; 0 if unknown
 */
void work_learn(work_rate_t *r, const work_request_t *request, mstime_t ms,
		int pace);

/*
 * work_begin - counts a request that is sent to an upstream.
 * @prefill: tokens that the upstream is expected to prefill
 * @rate: prefill rate, see work_rate_tokens_per_ms
 * @out: zeroed; receives what is counted
 */
void work_begin(work_state_t *s, const work_tokens_t *tokens, double prefill,
		double rate, mstime_t now, work_request_t *out);

/*
 * work_first_output - the first output of a request has come, or it will not
 * come: its prefill is over. Repeated calls have no effect.
 */
void work_first_output(work_state_t *s, work_request_t *request, double rate,
		       mstime_t now);

/*
 * work_end - a request has ended; also ends its prefill.
 */
void work_end(work_state_t *s, work_request_t *request, double rate,
	      mstime_t now);

/*
 * work_report_pace - applies the pace that an upstream has reported, unless a
 * newer one is known.
 * @pace: ignored unless above 0
 *
 * Return: whether it was applied.
 */
bool work_report_pace(work_state_t *s, int pace, mstime_t at);

/*
 * work_report_pending - applies the pending tokens of another node.
 * @node: key of that node; replaces its last report
 */
void work_report_pending(work_state_t *s, uint64_t node, double tokens,
			 mstime_t at);

/*
 * work_pace - expected pace, at least the normal one: a report fades to the
 * normal pace as it ages.
 */
double work_pace(const work_state_t *s, mstime_t now);

/*
 * work_is_reported - whether the upstream has reported a pace within the last
 * seconds.
 */
bool work_is_reported(const work_state_t *s, mstime_t now);

/*
 * work_own_pending - estimates the tokens of this node's requests that an
 * upstream has not prefilled yet.
 */
double work_own_pending(const work_state_t *s, double rate, mstime_t now);

/*
 * work_pending - the same for the requests of all nodes.
 */
double work_pending(const work_state_t *s, double rate, mstime_t now);

/*
 * work_expected_ms - expected time to the first output of a request.
 * @prefill: tokens to prefill for it
 */
double work_expected_ms(const work_state_t *s, double prefill, double rate,
			mstime_t now);

/*
 * work_read_ms - expected time of a prefill alone.
 */
double work_read_ms(const work_state_t *s, double prefill, double rate,
		    mstime_t now);

/*
 * work_notice_count - how many other nodes are told that an upstream begins a
 * prefill, and takes the messages from the budget.
 * @read_ms: expected time of the prefill
 * @nodes: that may be told
 */
int work_notice_count(work_notices_t *n, int read_ms, int nodes, mstime_t now);

/*
 * work_copy_ms - expected time to copy cached tokens from another upstream.
 */
double work_copy_ms(double tokens);

#endif
