/*
 * once_key - idempotency keys of run-once requests.
 *
 * Two forms: a key chosen by the caller, <unix seconds>-<unique text>, and one
 * given by a node, kcf.<node>.<incarnation>.<unix seconds>.<nonce>.<mac>.
 */
#ifndef KCF_PRIVATE_ONCE_KEY_H
#define KCF_PRIVATE_ONCE_KEY_H

#include <kcf/clock.h>
#include <kcf/settings.h>
#include <kcf/str.h>

#define ISSUED_KEY_MAX 160

typedef struct issued_key {
	char node[64];
	uint64_t incarnation;
	int64_t issued_at_s; /* wall time */
} issued_key_t;

/*
 * once_key_is_valid - whether a key has one of the two forms.
 */
bool once_key_is_valid(str_t key);

/*
 * once_key_time_s - wall time in seconds that a well-formed key carries.
 */
int64_t once_key_time_s(str_t key);

/*
 * once_key_scope - key that is unique among customers and services.
 *
 * Return: false when it does not fit.
 */
bool once_key_scope(const char *customer, const char *service, str_t key,
		    char *out, size_t size);

/*
 * once_key_unscoped - the caller's part of a scoped key.
 */
str_t once_key_unscoped(const char *scoped);

/*
 * once_key_issue - makes a key that only this node incarnation may run.
 * @out: at least ISSUED_KEY_MAX bytes
 */
void once_key_issue(const unsigned char *peer_key, const char *node,
		    uint64_t incarnation, mstime_t wall, char *out);

/*
 * once_key_parse_issued - reads a key given by a node.
 *
 * Return: false when it is no such key or its signature is wrong.
 */
bool once_key_parse_issued(const unsigned char *peer_key, str_t key,
			   issued_key_t *out);

#endif
