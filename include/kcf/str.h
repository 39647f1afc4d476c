/*
 * str - string views.
 *
 * str_t is a view of bytes with a length; it does not own them. Owned strings
 * are GString if they grow and GBytes if they are immutable.
 */
#ifndef KCF_STR_H
#define KCF_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A view of len bytes; not terminated by a zero byte. */
typedef struct str {
	const char *data;
	size_t len;
} str_t;

#define STR_NONE ((str_t){ NULL, 0 })

/*
 * str_of - view of a zero-terminated string.
 * @s: the string, or NULL for an empty view
 */
str_t str_of(const char *s);

/*
 * str_eq - whether two views have equal bytes.
 */
bool str_eq(str_t a, str_t b);

/*
 * str_starts_with - whether a view begins with the bytes of another.
 */
bool str_starts_with(str_t s, str_t prefix);

/*
 * str_skip - the view without its first n bytes; empty if there are no more.
 */
str_t str_skip(str_t s, size_t n);

/*
 * str_to_int - parses a decimal integer.
 * @s:   digits, with an optional leading minus sign
 * @out: receives the number
 *
 * Return: false when the view is not an integer or it does not fit 64 bits.
 */
bool str_to_int(str_t s, int64_t *out);

/*
 * str_hash64 - seeded 64-bit hash (XXH3) of a view.
 */
uint64_t str_hash64(str_t s, uint64_t seed);

/*
 * str_dup - zero-terminated copy of a view, to be freed with g_free.
 */
char *str_dup(str_t s);

#endif
