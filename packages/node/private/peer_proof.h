/*
 * peer_proof - header that shows one node's knowledge of the peers' key to
 * another, for the few calls between nodes that go over HTTP.
 */
#ifndef KCF_PRIVATE_PEER_PROOF_H
#define KCF_PRIVATE_PEER_PROOF_H

#include <kcf/clock.h>
#include <kcf/str.h>

#define PEER_PROOF_HEADER "X-Kcf-Peer"

/*
 * peer_proof_line - the header line; to be freed with g_free.
 * @wall: present wall time in milliseconds
 */
char *peer_proof_line(const unsigned char *key, mstime_t wall);

/*
 * peer_proof_is_valid - checks the header's value.
 */
bool peer_proof_is_valid(const unsigned char *key, mstime_t wall, str_t value);

#endif
