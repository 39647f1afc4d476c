/*
 * socket_loss - packets that a TCP connection has lost, as the kernel counts.
 */
#ifndef KCF_SOCKET_LOSS_H
#define KCF_SOCKET_LOSS_H

#include <stdint.h>

/*
 * socket_loss_count - segments that the kernel has sent again so far, without
 * those that the peer has reported as duplicates.
 *
 * Return: -1 if it cannot be read.
 */
int64_t socket_loss_count(int fd);

/*
 * socket_unacked - bytes that are written and not acknowledged.
 * @rtt_ms: receives the smoothed round-trip time
 *
 * Return: -1 if it cannot be read.
 */
int socket_unacked(int fd, int64_t *rtt_ms);

#endif
