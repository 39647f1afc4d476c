/*
 * end_proof - whether an upstream goes on that has ended an answer with its
 * connection, by what a question to it has brought since.
 *
 * The kernel ends the connections of a process that is gone in the same way, so
 * that nothing of the answer tells. Pure logic: no socket, no clock.
 */
#ifndef KCF_END_PROOF_H
#define KCF_END_PROOF_H

#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/* Callers wait for the end of a stream at least twice as long. */
#define END_PROOF_MAX_MS 1000
/* Between two questions. */
#define END_PROOF_ASK_AGAIN_MS 50

/* How an answer ended that nothing but its connection marks the end of. */
typedef struct end_seen {
	uint64_t start; /* of the upstream that answered, as far as is known */
	mstime_t sent_at;    /* of the request */
	mstime_t at;	     /* when it was seen */
	mstime_t silence_ms; /* from its last bytes until it was seen, or -1 */
	mstime_t unread_ms;  /* that it was there before, -1 if unknown */
	/* Reading has paused: what a full socket holds back at its sender comes
	 * late, and the end right behind it.
	 */
	bool waited;
} end_seen_t;

/* What a question after the end has brought. */
typedef struct end_reply {
	mstime_t asked_at;
	mstime_t lost_at; /* the last question that was not answered, or 0 */
	bool received;
	bool silent;	/* it was taken in, and not answered in time */
	bool refused;	/* nobody listens there */
	bool nameless;	/* the upstream does not name its start */
	uint64_t named; /* start that has answered, or 0 */
	mstime_t since; /* the connection has reached the process */
} end_reply_t;

typedef enum end_verdict {
	END_UNPROVEN, /* another question may tell */
	END_ALIVE,    /* the upstream goes on: the answer is whole */
	END_GONE,
} end_verdict_t;

/* Parallel to end_verdict_t. */
extern const char *const end_verdict_string[];

end_verdict_t end_proof_judge(const end_seen_t *end, const end_reply_t *reply);

#endif
