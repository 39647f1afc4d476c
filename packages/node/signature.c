#include "private/signature.h"

#include <sodium.h>
#include <string.h>

#define MAC_BYTES ((SIGNATURE_SIZE - 1) / 2)

void signature_compute(const unsigned char *peer_key, const char *text,
		       char *out)
{
	unsigned char mac[MAC_BYTES];

	crypto_generichash(mac, sizeof(mac), (const unsigned char *)text,
			   strlen(text), peer_key, PEER_KEY_BYTES);
	sodium_bin2hex(out, SIGNATURE_SIZE, mac, sizeof(mac));
}

bool signature_equal(const char *expected, str_t received)
{
	return strlen(expected) == received.len &&
	       !sodium_memcmp(expected, received.data, received.len);
}

bool bearer_hash(const http_request_t *req, char *out)
{
	static const str_t scheme = { "Bearer ", 7 };
	str_t header = http_request_header(req, "Authorization");
	unsigned char digest[crypto_hash_sha256_BYTES];

	if (!str_starts_with(header, scheme))
		return false;
	header = str_skip(header, scheme.len);
	crypto_hash_sha256(digest, (const unsigned char *)header.data,
			   header.len);
	sodium_bin2hex(out, BEARER_HASH_SIZE, digest, sizeof(digest));
	return true;
}
