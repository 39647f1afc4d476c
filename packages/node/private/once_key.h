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

#define ONCE_ISSUED_MAX 160

typedef struct once_issued {
	char node[64];
	uint64_t incarnation;
	int64_t at_s; /* wall time */
} once_issued_t;

/*
 * once_key_ok - whether a key has one of the two forms.
 */
bool once_key_ok(str_t key);

/*
 * once_key_time - wall time in seconds that a well-formed key carries.
 */
int64_t once_key_time(str_t key);

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
 * @out: at least ONCE_ISSUED_MAX bytes
 */
void once_key_issue(const unsigned char *peer_key, const char *node,
		    uint64_t incarnation, mstime_t wall, char *out);

/*
 * once_key_issued - reads a key given by a node.
 *
 * Return: false when it is no such key or its signature is wrong.
 */
bool once_key_issued(const unsigned char *peer_key, str_t key,
		     once_issued_t *out);

#endif
