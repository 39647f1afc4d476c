/*
 * signature - keyed signatures of texts between nodes, and hashes of bearer
 * keys.
 */
#ifndef KCF_PRIVATE_SIGNATURE_H
#define KCF_PRIVATE_SIGNATURE_H

#include <kcf/http_server.h>
#include <kcf/settings.h>

/* Hexadecimal digits of a signature and the closing zero. */
#define SIGNATURE_SIZE 33
/* Hexadecimal digits of a SHA-256 and the closing zero. */
#define BEARER_HASH_SIZE 65

/*
 * signature_compute - signs a text with the peers' key, in hexadecimal.
 * @out: SIGNATURE_SIZE bytes
 */
void signature_compute(const unsigned char *peer_key, const char *text,
		       char *out);

/*
 * signature_equal - compares a received text with the expected one in constant
 * time, so that the time does not reveal where they differ.
 */
bool signature_equal(const char *expected, str_t received);

/*
 * bearer_hash - computes the SHA-256 of the bearer key of a request, in
 * hexadecimal.
 * @out: BEARER_HASH_SIZE bytes
 *
 * Return: false when the request carries no bearer key.
 */
bool bearer_hash(const http_request_t *req, char *out);

#endif
