#include "private/job_header.h"

#include <kcf/settings.h>
#include <sodium.h>
#include <string.h>

#define MAC_BYTES 16

static char *value_(const unsigned char *key, const char *job,
		    const char *customer)
{
	unsigned char mac[MAC_BYTES];
	char hex[2 * MAC_BYTES + 1];
	char *text = g_strdup_printf("job %s %s", job, customer);
	char *value;

	crypto_generichash(mac, sizeof(mac), (unsigned char *)text,
			   strlen(text), key, PEER_KEY_BYTES);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	value = g_strdup_printf("%s:%s", customer, hex);
	g_free(text);
	return value;
}

char *job_header(const unsigned char *key, const char *job,
		 const char *customer)
{
	char *value = value_(key, job, customer);
	char *line = g_strdup_printf(JOB_HEADER ": %s", value);

	g_free(value);
	return line;
}

bool job_header_customer(const unsigned char *key, const char *job,
			 str_t value, char *out, size_t size)
{
	const char *colon =
		value.len ? memchr(value.data, ':', value.len) : NULL;
	char *expected;
	bool ok;

	if (!colon || (size_t)(colon - value.data) >= size)
		return false;
	memcpy(out, value.data, (size_t)(colon - value.data));
	out[colon - value.data] = '\0';
	expected = value_(key, job, out);
	ok = strlen(expected) == value.len &&
	     !sodium_memcmp(expected, value.data, value.len);
	g_free(expected);
	return ok;
}
