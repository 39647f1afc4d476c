/*
 * peer_socket - the UDP socket on which nodes talk to each other.
 */
#ifndef KCF_PEER_SOCKET_H
#define KCF_PEER_SOCKET_H

#include <kcf/byte_budget.h>
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
 * @key: DATAGRAM_KEY_BYTES bytes that all nodes share
 */
void peer_socket_receive(int fd, const unsigned char *key, peer_socket_fn fn,
			 void *ctx);

/* What sending takes. */
typedef struct peer_sender {
	int fd;
	const unsigned char *key; /* DATAGRAM_KEY_BYTES that all nodes share */
	byte_budget_t *budget;	  /* of control traffic */
} peer_sender_t;

/*
 * peer_socket_send - sends one message, without its last loads and updates if
 * it is too long: they come again with later ones. What is not sent is counted.
 * @to: ip:port
 * @m: its lists may be shortened
 * @must: also when the budget is used up
 *
 * Return: false when it was not sent.
 */
bool peer_socket_send(const peer_sender_t *s, const char *to, unsigned int proc,
		      peer_message_t *m, bool force);

#endif
