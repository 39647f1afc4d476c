/*
 * peer_proof - header that authenticates a node to another on the HTTP
 * interface for operators, by a signature with the peers' key.
 */
#ifndef KCF_PRIVATE_PEER_PROOF_H
#define KCF_PRIVATE_PEER_PROOF_H

#include <kcf/clock.h>
#include <kcf/str.h>

#define PEER_PROOF_HEADER "X-Kcf-Peer"

/*
 * peer_proof_line - the header as "name: value"; to be freed with g_free.
 * @wall: present wall time, which the signature covers
 */
char *peer_proof_line(const unsigned char *key, mstime_t wall);

/*
 * peer_proof_is_valid - whether the value is signed with the key and was made
 * within a minute of the present.
 * @wall: present wall time
 */
bool peer_proof_is_valid(const unsigned char *key, mstime_t wall, str_t value);

#endif
