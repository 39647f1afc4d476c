/*
 * peer_socket - the UDP socket for messages between nodes.
 */
#ifndef KCF_PEER_SOCKET_H
#define KCF_PEER_SOCKET_H

#include <kcf/byte_budget.h>
#include <kcf/datagram.h>

/* Handlers of messages, which are freed on return; from is "ip:port". */
typedef struct peer_socket_ops {
	void (*message)(void *ctx, unsigned int proc, const peer_message_t *m,
			const char *from);
	void (*crashes)(void *ctx, const peer_crash_report_t *r,
			const char *from);
	/* NULL: such messages are ignored. */
	void (*origins)(void *ctx, const peer_origins_t *m, const char *from);
	/* The same. */
	void (*doubts)(void *ctx, const peer_doubts_t *m);
	/* The same. */
	void (*warmth)(void *ctx, const peer_warmth_t *m, const char *from);
	/* The same. */
	void (*work)(void *ctx, const peer_work_t *m);
	/* The same. */
	void (*evidence)(void *ctx, const peer_rollout_evidence_t *m,
			 const char *from);
	void (*rollout)(void *ctx, const peer_rollout_state_t *m);
	/* The same. */
	void (*versions)(void *ctx, const peer_versions_t *m, const char *from);
} peer_socket_ops_t;

/*
 * peer_socket_open - binds a non-blocking socket.
 * @address: numeric ip:port
 *
 * Return: the descriptor, or -1 with errno set.
 */
int peer_socket_open(const char *address);

/*
 * peer_socket_receive - handles every received message. Received bytes are
 * counted; rejected datagrams are counted and logged.
 * @key: DATAGRAM_KEY_BYTES bytes, shared by all nodes
 */
void peer_socket_receive(int fd, const unsigned char *key,
			 const peer_socket_ops_t *ops, void *ctx);

/* Socket, key and byte budget for sending. */
typedef struct peer_sender {
	int fd;
	const unsigned char *key; /* DATAGRAM_KEY_BYTES, shared by all nodes */
	byte_budget_t *budget;	  /* NULL: the caller bounds what it sends */
} peer_sender_t;

/*
 * peer_socket_send - sends one message. One that is too long loses entries at
 * the end of its loads, then of its updates; later messages repeat them.
 * Messages that are not sent are counted.
 * @to:    ip:port
 * @m:     its lists may be shortened
 * @force: send even when the budget is exhausted
 *
 * Return: false when the message was not sent.
 */
bool peer_socket_send(const peer_sender_t *s, const char *to, unsigned int proc,
		      peer_message_t *m, bool force);

/*
 * peer_socket_send_crashes - sends one crash report, also when the budget is
 * exhausted.
 *
 * Return: bytes sent, 0 when it was not sent.
 */
size_t peer_socket_send_crashes(const peer_sender_t *s, const char *to,
				const peer_crash_report_t *r);

/*
 * peer_socket_send_origins - sends the versions that began streams, or asks for
 * them, also when the budget is exhausted.
 */
void peer_socket_send_origins(const peer_sender_t *s, const char *to,
			      const peer_origins_t *m);

/*
 * peer_socket_send_doubts - sends versions that may have begun streams, also
 * when the budget is exhausted.
 */
void peer_socket_send_doubts(const peer_sender_t *s, const char *to,
			     const peer_doubts_t *m);

/*
 * peer_socket_send_versions - sends versions that may have begun streams, or
 * asks for them, also when the budget is exhausted.
 */
void peer_socket_send_versions(const peer_sender_t *s, const char *to,
			       const peer_versions_t *m);

/*
 * peer_socket_send_warmth - sends upstreams that have prompts cached, or asks
 * for them, also when the budget is exhausted.
 *
 * Return: bytes sent, 0 when it was not sent.
 */
size_t peer_socket_send_warmth(const peer_sender_t *s, const char *to,
			       const peer_warmth_t *m);

/*
 * peer_socket_send_work - sends pending tokens and paces.
 *
 * Return: false when the message was not sent.
 */
bool peer_socket_send_work(const peer_sender_t *s, const char *to,
			   const peer_work_t *m);

/*
 * peer_socket_send_evidence, peer_socket_send_rollout - send what concerns a
 * roll-out, also when the budget is exhausted.
 */
void peer_socket_send_evidence(const peer_sender_t *s, const char *to,
			       const peer_rollout_evidence_t *m);
void peer_socket_send_rollout(const peer_sender_t *s, const char *to,
			      const peer_rollout_state_t *m);

#endif
