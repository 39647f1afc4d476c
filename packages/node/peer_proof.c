#include "private/peer_proof.h"

#include <kcf/settings.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define MAC_BYTES 16
#define AGE_MAX_MS 60000

static char *value_(const unsigned char *key, mstime_t wall)
{
	char hex[2 * MAC_BYTES + 1];
	unsigned char mac[MAC_BYTES];
	char *text = g_strdup_printf("peer %" G_GINT64_FORMAT, wall);
	char *value;

	crypto_generichash(mac, sizeof(mac), (unsigned char *)text,
			   strlen(text), key, PEER_KEY_BYTES);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	value = g_strdup_printf("%" G_GINT64_FORMAT ".%s", wall, hex);
	g_free(text);
	return value;
}

char *peer_proof(const unsigned char *key, mstime_t wall)
{
	char *value = value_(key, wall);
	char *line = g_strdup_printf(PEER_PROOF_HEADER ": %s", value);

	g_free(value);
	return line;
}

bool peer_proof_ok(const unsigned char *key, mstime_t wall, str_t value)
{
	const char *dot = value.len ? memchr(value.data, '.', value.len) : NULL;
	int64_t at;
	char *expected;
	bool ok;

	if (!dot ||
	    !str_to_int((str_t){ value.data, (size_t)(dot - value.data) }, &at))
		return false;
	if (llabs(wall - at) > AGE_MAX_MS)
		return false;
	expected = value_(key, at);
	ok = strlen(expected) == value.len &&
	     !sodium_memcmp(expected, value.data, value.len);
	g_free(expected);
	return ok;
}
