/*
 * peer_socket - the UDP socket on which nodes talk to each other.
 */
#ifndef KCF_PEER_SOCKET_H
#define KCF_PEER_SOCKET_H

#include <kcf/datagram.h>

/* Takes one message, which is freed after it; from is "ip:port". */
typedef void (*peer_socket_fn)(void *ctx, unsigned int proc,
			       const peer_message_t *m, const char *from);

/*
 * peer_socket_open - binds a socket that never blocks.
 * @address: numeric ip:port
 *
 * Return: the descriptor, or -1 with errno set.
 */
int peer_socket_open(const char *address);

/*
 * peer_socket_receive - hands over every message that has come; counts what
 * comes, and logs what is rejected.
 * @key: PEER_KEY_BYTES bytes that all nodes share
 */
void peer_socket_receive(int fd, const unsigned char *key, peer_socket_fn fn,
			 void *ctx);

#endif
