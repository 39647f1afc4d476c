/*
 * datagram - peer messages as ONC RPC calls with a keyed MAC.
 *
 * The verifier in the call header holds the MAC of the whole datagram. Calls
 * are one-way: an acknowledgement is a call of its own.
 */
#ifndef KCF_DATAGRAM_H
#define KCF_DATAGRAM_H

#include "peer.h"
#include <kcf/clock.h>
#include <kcf/str.h>
#include <stdbool.h>

/* Maximum length; below the usual path MTU. */
#define DATAGRAM_MAX 1400
/* Bytes that IPv4 and UDP add to a datagram. */
#define DATAGRAM_OVERHEAD 28
#define DATAGRAM_KEY_BYTES 32
/* A datagram that differs more from the local time is taken for a replay. */
#define DATAGRAM_AGE_MAX_MS 120000

typedef enum datagram_err {
	DATAGRAM_OK = 0,
	DATAGRAM_ESIZE = -1,
	DATAGRAM_EMAC = -2,
	DATAGRAM_EHEADER = -3,
	DATAGRAM_EBODY = -4,
	DATAGRAM_EAGE = -5,
} datagram_err_t;

/* Parallel to datagram_err_t, indexed by the negated error. */
extern const char *const datagram_err_string[];

/*
 * datagram_encode - encodes and signs one message.
 * @key:  DATAGRAM_KEY_BYTES bytes
 * @proc: procedure of PEER_PROGRAM, such as PEER_PING
 * @m:    message; its strings must not be NULL
 * @out:  at least DATAGRAM_MAX bytes
 * @len:  receives the length
 *
 * Return: DATAGRAM_OK, or DATAGRAM_ESIZE when the message does not fit.
 */
int datagram_encode(const unsigned char *key, unsigned int proc,
		    const peer_message_t *m, unsigned char *out, size_t *len);

/*
 * datagram_decode - verifies and decodes one datagram.
 * @data: datagram; not referenced by the message
 * @wall: current wall time in milliseconds
 * @proc: receives the procedure
 * @m:    receives the message on success; to be freed with datagram_free
 *
 * Return: DATAGRAM_OK or a negative datagram_err_t; on error m is untouched.
 */
int datagram_decode(const unsigned char *key, str_t data, mstime_t wall,
		    unsigned int *proc, peer_message_t *m);

/*
 * datagram_free - releases a message from datagram_decode.
 */
void datagram_free(peer_message_t *m);

/*
 * datagram_proc - the procedure that a datagram claims to call, 0 if it is too
 * short; its MAC is not verified.
 */
unsigned int datagram_proc(str_t data);

/*
 * datagram_encode_crashes, datagram_decode_crashes, datagram_free_crashes - the
 * same as above for PEER_CRASHES.
 */
int datagram_encode_crashes(const unsigned char *key,
			    const peer_crash_report_t *r, unsigned char *out,
			    size_t *len);
int datagram_decode_crashes(const unsigned char *key, str_t data, mstime_t wall,
			    peer_crash_report_t *r);
void datagram_free_crashes(peer_crash_report_t *r);

/*
 * datagram_encode_origins, datagram_decode_origins, datagram_free_origins - the
 * same for PEER_ORIGINS.
 */
int datagram_encode_origins(const unsigned char *key, const peer_origins_t *m,
			    unsigned char *out, size_t *len);
int datagram_decode_origins(const unsigned char *key, str_t data, mstime_t wall,
			    peer_origins_t *m);
void datagram_free_origins(peer_origins_t *m);

/*
 * datagram_encode_doubts, datagram_decode_doubts, datagram_free_doubts - the
 * same for PEER_DOUBTS.
 */
int datagram_encode_doubts(const unsigned char *key, const peer_doubts_t *m,
			   unsigned char *out, size_t *len);
int datagram_decode_doubts(const unsigned char *key, str_t data, mstime_t wall,
			   peer_doubts_t *m);
void datagram_free_doubts(peer_doubts_t *m);

/*
 * datagram_encode_versions, datagram_decode_versions, datagram_free_versions -
 * the same for PEER_VERSIONS.
 */
int datagram_encode_versions(const unsigned char *key, const peer_versions_t *m,
			     unsigned char *out, size_t *len);
int datagram_decode_versions(const unsigned char *key, str_t data,
			     mstime_t wall, peer_versions_t *m);
void datagram_free_versions(peer_versions_t *m);

/*
 * datagram_encode_warmth, datagram_decode_warmth, datagram_free_warmth - the
 * same for PEER_WARMTH.
 */
int datagram_encode_warmth(const unsigned char *key, const peer_warmth_t *m,
			   unsigned char *out, size_t *len);
int datagram_decode_warmth(const unsigned char *key, str_t data, mstime_t wall,
			   peer_warmth_t *m);
void datagram_free_warmth(peer_warmth_t *m);

/*
 * datagram_encode_work, datagram_decode_work, datagram_free_work - the same for
 * PEER_WORK.
 */
int datagram_encode_work(const unsigned char *key, const peer_work_t *m,
			 unsigned char *out, size_t *len);
int datagram_decode_work(const unsigned char *key, str_t data, mstime_t wall,
			 peer_work_t *m);
void datagram_free_work(peer_work_t *m);

/*
 * datagram_encode_evidence, datagram_decode_evidence, datagram_free_evidence -
 * the same for PEER_ROLLOUT_EVIDENCE.
 */
int datagram_encode_evidence(const unsigned char *key,
			     const peer_rollout_evidence_t *m,
			     unsigned char *out, size_t *len);
int datagram_decode_evidence(const unsigned char *key, str_t data,
			     mstime_t wall, peer_rollout_evidence_t *m);
void datagram_free_evidence(peer_rollout_evidence_t *m);

/*
 * datagram_encode_rollout, datagram_decode_rollout, datagram_free_rollout - the
 * same for PEER_ROLLOUT_STATE.
 */
int datagram_encode_rollout(const unsigned char *key,
			    const peer_rollout_state_t *m, unsigned char *out,
			    size_t *len);
int datagram_decode_rollout(const unsigned char *key, str_t data, mstime_t wall,
			    peer_rollout_state_t *m);
void datagram_free_rollout(peer_rollout_state_t *m);

#endif
