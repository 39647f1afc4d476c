#include "private/once_key.h"
#include "private/signature.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define KEY_MAX 160
/* Digits of the seconds at the start of a caller's key. */
#define TIME_DIGITS 10
#define NONCE_BYTES 8
#define ISSUED_PREFIX "kcf."

static bool has_valid_chars_(str_t key)
{
	for (size_t i = 0; i < key.len; i++) {
		if (!g_ascii_isalnum(key.data[i]) &&
		    !strchr("-_.:", key.data[i]))
			return false;
	}
	return key.len > 0 && key.len <= KEY_MAX;
}

bool once_key_is_valid(str_t key)
{
	int64_t t;

	if (!has_valid_chars_(key))
		return false;
	if (str_starts_with(key, str_of(ISSUED_PREFIX)))
		return true;
	if (key.len < TIME_DIGITS + 2 || key.data[TIME_DIGITS] != '-')
		return false;
	return str_to_int((str_t){ key.data, TIME_DIGITS }, &t) && t > 0;
}

int64_t once_key_time_s(str_t key)
{
	int64_t t = 0;

	str_to_int((str_t){ key.data, TIME_DIGITS }, &t);
	return t;
}

bool once_key_scope(const char *customer, const char *service, str_t key,
		    char *out, size_t size)
{
	int n = snprintf(out, size, "%s/%s/%.*s", customer, service,
			 (int)key.len, key.data);

	return n > 0 && (size_t)n < size;
}

str_t once_key_unscoped(const char *scoped)
{
	const char *slash = strrchr(scoped, '/');

	return str_of(slash ? slash + 1 : scoped);
}

void once_key_issue(const unsigned char *peer_key, const char *node,
		    uint64_t incarnation, mstime_t wall, char *out)
{
	unsigned char nonce[NONCE_BYTES];
	char nonce_hex[2 * NONCE_BYTES + 1];
	char mac_hex[SIGNATURE_SIZE];
	char text[ISSUED_KEY_MAX];

	randombytes_buf(nonce, sizeof(nonce));
	sodium_bin2hex(nonce_hex, sizeof(nonce_hex), nonce, sizeof(nonce));
	snprintf(text, sizeof(text), "%s:%lx:%lld:%s", node,
		 (unsigned long)incarnation, (long long)(wall / MSEC_PER_SEC),
		 nonce_hex);
	signature_compute(peer_key, text, mac_hex);
	g_snprintf(out, ISSUED_KEY_MAX, ISSUED_PREFIX "%s:%s", text, mac_hex);
}

bool once_key_parse_issued(const unsigned char *peer_key, str_t key,
			   issued_key_t *out)
{
	char *copy;
	char *mac;
	char expected[SIGNATURE_SIZE];
	unsigned long incarnation;
	long long at;
	bool ok;

	if (!str_starts_with(key, str_of(ISSUED_PREFIX)))
		return false;
	copy = str_dup(str_skip(key, strlen(ISSUED_PREFIX)));
	mac = strrchr(copy, ':');
	if (!mac) {
		g_free(copy);
		return false;
	}
	*mac++ = '\0';
	signature_compute(peer_key, copy, expected);
	ok = signature_equal(expected, str_of(mac)) &&
	     sscanf(copy, "%63[^:]:%lx:%lld:", out->node, &incarnation, &at) ==
		     3;
	if (ok) {
		out->incarnation = incarnation;
		out->issued_at_s = at;
	}
	g_free(copy);
	return ok;
}
