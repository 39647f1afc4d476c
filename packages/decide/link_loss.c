#include <kcf/link_loss.h>

#include <assert.h>

/*
 * Acknowledgements come within a round trip and 40 ms for which receivers may
 * delay them; kernels send again after 200 ms at the earliest.
 */
#define UNACKED_MS 100
/* Round-trip times from UNACKED_MS / RTT_FACTOR on cannot be told from a loss.
 */
#define RTT_FACTOR 4
/* With one loss in more writes, fewer than 1 in 100 streams of 50 are late. */
#define WRITES_PER_LOSS_MAX 5000.0
/* Writes after which old ones count half. */
#define WRITES_KEPT 20000.0

void link_loss_count_write(link_loss_t *l)
{
	assert(l);
	l->writes++;
	if (l->writes < WRITES_KEPT)
		return;
	l->writes /= 2;
	l->losses /= 2;
}

void link_loss_watch(link_loss_t *l, link_watch_t *w, int unacked,
		     mstime_t rtt_ms, mstime_t written_at, mstime_t now)
{
	assert(l && w);
	w->next_at = now + LINK_LOSS_INTERVAL_MS;
	if (unacked <= 0 || rtt_ms * RTT_FACTOR >= UNACKED_MS) {
		w->unacked_from = 0;
		w->counted = false;
		return;
	}
	if (!w->unacked_from)
		w->unacked_from = written_at;
	/* What is written meanwhile is held up by the same loss. */
	if (w->counted || now - w->unacked_from < UNACKED_MS)
		return;
	l->losses++;
	w->counted = true;
}

bool link_loss_is_lossy(const link_loss_t *l)
{
	assert(l);
	return l->losses >= 1 && l->losses * WRITES_PER_LOSS_MAX >= l->writes;
}
