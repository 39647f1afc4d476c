#include <kcf/end_proof.h>

#include <assert.h>

/*
 * An end that was lost on the way is sent again later than this, and one that
 * waited for a paused process is seen later.
 */
#define PROMPT_MAX_MS 100
/* From an end to the question; a process needs longer to start. */
#define ASKED_MAX_MS 20

const char *const end_verdict_string[] = { "unproven", "alive", "gone" };

/*
 * A question that was lost, since the end or shortly before it, may have met a
 * process that was ending; what answers later may be the next one.
 */
static bool is_doubted_(const end_seen_t *end, const end_reply_t *reply)
{
	return reply->lost_at && reply->lost_at + PROMPT_MAX_MS >= end->at;
}

/*
 * Whether both the end and the question came at once: the next process needs
 * longer until it is there.
 */
static bool is_prompt_(const end_seen_t *end, const end_reply_t *reply)
{
	return !end->waited && end->silence_ms >= 0 &&
	       end->silence_ms <= PROMPT_MAX_MS && end->unread_ms >= 0 &&
	       end->unread_ms + reply->asked_at - end->at <= ASKED_MAX_MS &&
	       !is_doubted_(end, reply);
}

end_verdict_t end_proof_judge(const end_seen_t *end, const end_reply_t *reply)
{
	assert(end && reply);
	if (reply->refused)
		return END_GONE;
	/* A kernel refuses what is written to a process that is gone. */
	if (!reply->received && !reply->silent)
		return END_UNPROVEN;
	/* A process takes its connections with it. */
	if (reply->since <= end->sent_at)
		return END_ALIVE;
	if (reply->named)
		return reply->named == end->start ? END_ALIVE : END_GONE;
	return (reply->nameless || reply->silent) && is_prompt_(end, reply)
		       ? END_ALIVE
		       : END_UNPROVEN;
}
