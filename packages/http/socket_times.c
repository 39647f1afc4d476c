#include <kcf/socket_times.h>

#include <assert.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A sound peer may send and acknowledge nothing for so long and go on. */
#define SILENCE_MAX_MS 1800
/*
 * The waits between retransmissions double, so that one falls behind the
 * silence within twice its time. The same bound ends an idle connection at its
 * fourth probe: the third may be the first one behind a silence.
 */
#define OPENED_UNACKED_MS (2 * SILENCE_MAX_MS)
/* The least there are: a link that stays silent is to be given up soon. */
#define OPENED_IDLE_S 1
#define OPENED_INTERVAL_S 1
#define OPENED_PROBES 3
/* Nothing but memory waits for a caller that has gone silent. */
#define ACCEPTED_UNACKED_MS 5000

const socket_times_t socket_times_opened = {
	.unacked_ms = OPENED_UNACKED_MS,
	.idle_s = OPENED_IDLE_S,
	.interval_s = OPENED_INTERVAL_S,
	.probes = OPENED_PROBES,
};

/* Idle ones end by the server's own time-out. */
const socket_times_t socket_times_accepted = {
	.unacked_ms = ACCEPTED_UNACKED_MS,
};

void socket_times_set(int fd, const socket_times_t *times)
{
	const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, times->unacked_ms },
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, times->idle_s },
		{ IPPROTO_TCP, TCP_KEEPINTVL, times->interval_s },
		{ IPPROTO_TCP, TCP_KEEPCNT, times->probes },
	};
	size_t count = times->idle_s ? G_N_ELEMENTS(options) : 1;

	assert(fd >= 0);
	for (size_t i = 0; i < count; i++)
		setsockopt(fd, options[i].level, options[i].name,
			   &options[i].value, sizeof(options[i].value));
}
