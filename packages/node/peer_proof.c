#include "private/peer_proof.h"
#include "private/signature.h"

#include <stdlib.h>
#include <string.h>

/* Limits replays, and the difference of the two nodes' clocks. */
#define PROOF_AGE_MAX_MS 60000

static char *header_value_(const unsigned char *key, mstime_t wall)
{
	char hex[SIGNATURE_SIZE];
	char *text = g_strdup_printf("peer %" G_GINT64_FORMAT, wall);
	char *value;

	signature_compute(key, text, hex);
	value = g_strdup_printf("%" G_GINT64_FORMAT ".%s", wall, hex);
	g_free(text);
	return value;
}

char *peer_proof_line(const unsigned char *key, mstime_t wall)
{
	char *value = header_value_(key, wall);
	char *line = g_strdup_printf(PEER_PROOF_HEADER ": %s", value);

	g_free(value);
	return line;
}

bool peer_proof_is_valid(const unsigned char *key, mstime_t wall, str_t value)
{
	const char *dot = value.len ? memchr(value.data, '.', value.len) : NULL;
	char *expected;
	int64_t at;
	bool ok;

	if (!dot ||
	    !str_to_int((str_t){ value.data, (size_t)(dot - value.data) }, &at))
		return false;
	if (llabs(wall - at) > PROOF_AGE_MAX_MS)
		return false;
	expected = header_value_(key, at);
	ok = signature_equal(expected, value);
	g_free(expected);
	return ok;
}
