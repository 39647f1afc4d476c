/*
 * quarantine - finds requests, and prompt segments of requests, that crash
 * upstreams, and holds them back.
 *
 * Every node reports the upstreams that ended while they began to answer one of
 * its requests, with a key of the whole request and those of its prompt
 * segments. The reports are merged into a set that only grows until its entries
 * expire, so that it may arrive late, twice or in any order: all nodes that
 * have the same reports hold back the same requests. What an upstream has
 * answered since is not the cause; an upstream that still answers has not
 * crashed. Pure logic: no socket, no clock.
 */
#ifndef KCF_QUARANTINE_H
#define KCF_QUARANTINE_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/lru.h>
#include <stdbool.h>
#include <stdint.h>

/* Segments of one prompt that are looked at. */
#define QUARANTINE_SEGMENTS_MAX 16
/* Crash reports that are kept; the oldest make room for new ones. */
#define QUARANTINE_CRASHES_MAX 128
/* Holds at a time. */
#define QUARANTINE_HOLDS_MAX 16
/* Answered segments in one report to another node. */
#define QUARANTINE_ANSWERED_MAX 16
/* Crashes that give a hold, and the same if the evidence of one is weak. */
#define QUARANTINE_CRASHES_STRONG 2
#define QUARANTINE_CRASHES_WEAK 3
/*
 * From so many crashes on, a request is not tried again until it has stayed
 * away for QUARANTINE_KEEP_MS. Segments are: many callers may share them.
 */
#define QUARANTINE_CRASHES_FINAL 5
/* Time for which requests are held back; doubles with each further crash. */
#define QUARANTINE_HOLD_MS 30000
/* Reports expire after this; longer than the longest hold. */
#define QUARANTINE_KEEP_MS 600000

/* Keys of one request and of the prompt segments that it shares with others. */
typedef struct quarantine_prompt {
	uint64_t segments[QUARANTINE_SEGMENTS_MAX];
	int count;
	uint64_t request; /* the same for each repeat of the request, 0 if
			     unknown */
} quarantine_prompt_t;

/* An upstream that ended while it began to answer a prompt. */
typedef struct quarantine_crash {
	uint32_t upstream; /* key of one start of an upstream */
	mstime_t at;
	quarantine_prompt_t prompt;
	mstime_t seen_at;  /* last time such a request came */
	mstime_t check_at; /* when to ask the upstream whether it goes on, 0 if
			      another node does or did */
	bool weak; /* all segments had been answered before, or the upstream had
		      not begun to answer */
	bool known;	/* the same request had been answered before */
	bool alive;	/* the upstream has answered since: it did not crash */
	bool unsent;	/* not told to other nodes yet */
	bool explained; /* by a hold, with all that ran at its upstreams */
	bool held;	/* a hold rests on it */
} quarantine_crash_t;

/* A request, or a combination of segments, that is held back. */
typedef struct quarantine_hold {
	quarantine_prompt_t prompt; /* requests that have all of these keys */
	int crashes;
	mstime_t first_at;
	mstime_t last_at;
	mstime_t until;	      /* MSTIME_NEVER once it is final */
	mstime_t trial_until; /* a trial request is under way, 0 if not */
} quarantine_hold_t;

/* A key and the time when an upstream last began to answer it. */
typedef struct quarantine_answered {
	uint64_t key;
	mstime_t at;
} quarantine_answered_t;

/* Called on changes, for the log; each function may be NULL. */
typedef struct quarantine_ops {
	void (*suspected)(void *ctx, const quarantine_crash_t *crash);
	void (*held)(void *ctx, const quarantine_hold_t *hold);
	void (*released)(void *ctx, const quarantine_hold_t *hold,
			 const char *why);
} quarantine_ops_t;

typedef struct quarantine {
	quarantine_crash_t crashes[QUARANTINE_CRASHES_MAX];
	int crash_count;
	quarantine_hold_t holds[QUARANTINE_HOLDS_MAX];
	int hold_count;
	lru_t answered; /* segments by the time of their last answer */
	lru_t answered_requests;
	guint cursor;	    /* into the crashes that are sent in rotation */
	guint held_cursor;  /* the same among those of holds */
	double trial_delay; /* this node's place among the nodes, 0 to 1 */
	const quarantine_ops_t *ops;
	void *ctx;
} quarantine_t;

/*
 * quarantine_init - initialises without reports.
 * @trial_delay: 0 to 1, spread evenly over the nodes: when this node is the
 *               one to try held requests again
 * @ops, @ctx:   must outlive the quarantine
 */
void quarantine_init(quarantine_t *q, double trial_delay,
		     const quarantine_ops_t *ops, void *ctx);
void quarantine_finish(quarantine_t *q);

/*
 * quarantine_check - whether a request is to be held back. Once a hold is over
 * it lets one request at a time through as a trial.
 * @nodes:    number of nodes, which try one after the other
 * @retry_ms: receives the time after which it may be let through
 */
bool quarantine_check(quarantine_t *q, const quarantine_prompt_t *prompt,
		      int nodes, mstime_t now, mstime_t *retry_ms);

/*
 * quarantine_is_held - whether a request is part of a hold that is in force;
 * for requests that are under way.
 */
bool quarantine_is_held(const quarantine_t *q,
			const quarantine_prompt_t *prompt, mstime_t now);

/*
 * quarantine_is_cleared - whether each segment was answered lately, and after
 * the last crash of a request that has it. Says nothing of the request itself;
 * false for a prompt without segments.
 * @upstream: key of one whose crash does not matter
 */
bool quarantine_is_cleared(const quarantine_t *q, uint32_t upstream,
			   const quarantine_prompt_t *prompt, mstime_t now);

/*
 * quarantine_count_crashes - most crashes that speak against one key of a
 * prompt.
 */
int quarantine_count_crashes(const quarantine_t *q,
			     const quarantine_prompt_t *prompt);

/*
 * quarantine_record_crash - records that an upstream ended before anything of
 * the answer to a request had arrived.
 * @begun: the upstream had begun to answer; without it segments need more
 *         crashes, the request itself does not
 */
void quarantine_record_crash(quarantine_t *q, uint32_t upstream,
			     const quarantine_prompt_t *prompt, bool begun,
			     mstime_t now);

/*
 * quarantine_record_answer - records that an upstream has answered a request
 * past the beginning.
 *
 * Return: whether this clears a segment of a crash.
 */
bool quarantine_record_answer(quarantine_t *q,
			      const quarantine_prompt_t *prompt, mstime_t now);

/*
 * quarantine_record_alive - records that an upstream answered some request,
 * which shows that it did not crash shortly before.
 * @sent_at: when that request was sent
 */
void quarantine_record_alive(quarantine_t *q, uint32_t upstream,
			     mstime_t sent_at, mstime_t now);

/*
 * quarantine_next_check - takes one of the checks that are due: of upstreams
 * that ended under a request of this node, and of which no answer has told
 * since whether they go on. Called until there is none.
 * @upstream: receives the key of the one to be asked; quarantine_record_alive
 *            takes what it says
 *
 * Return: whether there is one.
 */
bool quarantine_next_check(quarantine_t *q, mstime_t now, uint32_t *upstream);

/*
 * quarantine_merge_crash, quarantine_merge_answered - apply what another node
 * reports; times are by this node's clock.
 *
 * Return: whether it was new.
 */
bool quarantine_merge_crash(quarantine_t *q, const quarantine_crash_t *crash,
			    mstime_t now);
bool quarantine_merge_answered(quarantine_t *q,
			       const quarantine_answered_t *answered,
			       mstime_t now);

/* Whether there is a crash that was not sent to other nodes yet. */
bool quarantine_has_unsent(const quarantine_t *q);

/*
 * quarantine_collect - selects reports for other nodes: unsent ones first, then
 * the others in rotation. Those selected count as sent.
 *
 * Return: number of entries in out.
 */
int quarantine_collect(quarantine_t *q, quarantine_crash_t *out, int max);

/*
 * quarantine_collect_answered - selects segments of reported crashes that were
 * answered since.
 */
int quarantine_collect_answered(const quarantine_t *q, mstime_t now,
				quarantine_answered_t *out, int max);

/*
 * quarantine_tick - drops what has expired.
 */
void quarantine_tick(quarantine_t *q, mstime_t now);

#endif
