#include <kcf/str.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Enough for any 64-bit integer with its sign and the terminating zero. */
#define INT_TEXT_MAX 24

str_t str_of(const char *s)
{
	return (str_t){ s, s ? strlen(s) : 0 };
}

bool str_eq(str_t a, str_t b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

bool str_starts_with(str_t s, str_t prefix)
{
	if (s.len < prefix.len)
		return false;
	return str_eq((str_t){ s.data, prefix.len }, prefix);
}

str_t str_skip(str_t s, size_t n)
{
	if (n >= s.len)
		return STR_NONE;
	return (str_t){ s.data + n, s.len - n };
}

bool str_to_int(str_t s, int64_t *out)
{
	char text[INT_TEXT_MAX];
	char *end;
	long long v;

	if (!s.len || s.len >= sizeof(text))
		return false;
	if (!g_ascii_isdigit(s.data[0]) && s.data[0] != '-')
		return false;
	memcpy(text, s.data, s.len);
	text[s.len] = '\0';
	errno = 0;
	v = strtoll(text, &end, 10);
	if (errno || *end || end == text)
		return false;
	*out = v;
	return true;
}

uint64_t str_hash64(str_t s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.data, s.len, seed);
}

char *str_dup(str_t s)
{
	return g_strndup(s.data ? s.data : "", s.len);
}
