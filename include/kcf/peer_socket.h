/*
 * peer_socket - the UDP socket on which nodes talk to each other.
 */
#ifndef KCF_PEER_SOCKET_H
#define KCF_PEER_SOCKET_H

#include <kcf/str.h>

/* Takes one datagram; from is "ip:port". */
typedef void (*peer_socket_fn)(void *ctx, str_t data, const char *from);

/*
 * peer_socket_open - binds a socket that never blocks.
 * @address: numeric ip:port
 *
 * Return: the descriptor, or -1 with errno set.
 */
int peer_socket_open(const char *address);

/*
 * peer_socket_receive - hands over every datagram that has come.
 */
void peer_socket_receive(int fd, peer_socket_fn fn, void *ctx);

#endif
