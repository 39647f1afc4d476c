/*
 * once_key - idempotency keys of run-once requests.
 *
 * A caller may make a key of the form <unix seconds>-<unique text>, or use one
 * that a node issued, kcf.<node>:<incarnation>:<unix seconds>:<nonce>:<mac>.
 */
#ifndef KCF_PRIVATE_ONCE_KEY_H
#define KCF_PRIVATE_ONCE_KEY_H

#include <kcf/clock.h>
#include <kcf/settings.h>
#include <kcf/str.h>

/* Bytes of an issued key, with the closing zero. */
#define ISSUED_KEY_MAX 160

/* Content of an issued key. */
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
 * once_key_time_s - wall time in seconds at the start of a caller's key.
 *
 * Precondition: once_key_is_valid(key) and the key was not issued by a node.
 */
int64_t once_key_time_s(str_t key);

/*
 * once_key_scope - prefixes a key with customer and service, so that equal keys
 * of different customers or services do not collide.
 *
 * Return: false when the result does not fit.
 */
bool once_key_scope(const char *customer, const char *service, str_t key,
		    char *out, size_t size);

/*
 * once_key_unscoped - the key as the caller sent it, from a scoped key.
 */
str_t once_key_unscoped(const char *scoped);

/*
 * once_key_issue - makes a key that only this incarnation of the node may run.
 * @wall: present wall time
 * @out: at least ISSUED_KEY_MAX bytes
 */
void once_key_issue(const unsigned char *peer_key, const char *node,
		    uint64_t incarnation, mstime_t wall, char *out);

/*
 * once_key_parse_issued - reads a key that a node issued.
 *
 * Return: false when the key has the other form or its signature is wrong.
 */
bool once_key_parse_issued(const unsigned char *peer_key, str_t key,
			   issued_key_t *out);

#endif
