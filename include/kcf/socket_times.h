/*
 * socket_times - when the kernel gives up a connection whose peer is silent.
 *
 * On Linux a bound on unacknowledged data also decides when probes of an idle
 * connection give up: at the first one that is due after it, whatever their
 * count. The count holds where the bound cannot be set.
 */
#ifndef KCF_SOCKET_TIMES_H
#define KCF_SOCKET_TIMES_H

typedef struct socket_times {
	int unacked_ms; /* data unacknowledged for so long ends a connection */
	int idle_s;	/* nothing received until the first probe; 0: none */
	int interval_s; /* between probes */
	int probes;	/* unanswered */
} socket_times_t;

/* Of connections that this process opens: to upstreams, nodes and stores. */
extern const socket_times_t socket_times_opened;
/* Of connections that it accepts. */
extern const socket_times_t socket_times_accepted;

/*
 * socket_times_set - sets them; accepted connections inherit the listener's.
 */
void socket_times_set(int fd, const socket_times_t *times);

#endif
