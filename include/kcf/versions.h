/*
 * versions - the software versions of each service that may have begun a
 * stream which its caller takes up.
 *
 * A version may have, as long as the longest stream, after an upstream of it
 * was last among the known entries. Pure logic: no socket, no clock.
 */
#ifndef KCF_VERSIONS_H
#define KCF_VERSIONS_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Least time, in milliseconds, from the begin of a stream to the last try of
 * its caller to take it up; longer where routes allow longer streams.
 */
#define VERSIONS_STREAM_LIFE_MS 30000

typedef struct version {
	uint32_t key;
	char *service;
	char *name;
	bool seen;
	mstime_t seen_at; /* an upstream of it was known */
} version_t;

typedef struct versions {
	GHashTable *by_key; /* uint32_t to version_t * */
	mstime_t life_ms;   /* of a stream */
} versions_t;

/*
 * versions_key - key of a version of a service, not 0; the same name in two
 * services gives two keys.
 */
uint32_t versions_key(const char *service, const char *name);

void versions_init(versions_t *v);
void versions_finish(versions_t *v);

/*
 * versions_set_life - sets the time for which a stream may be taken up, at
 * least VERSIONS_STREAM_LIFE_MS.
 */
void versions_set_life(versions_t *v, mstime_t life_ms);

/*
 * versions_observe - records that an upstream with this version is known.
 *
 * Return: whether the version may not have begun any stream until now.
 */
bool versions_observe(versions_t *v, const char *service, const char *name,
		      mstime_t now);

/*
 * versions_find - a version by its key, or NULL.
 */
const version_t *versions_find(const versions_t *v, uint32_t key);

/*
 * versions_count - versions of a service that may have begun a stream.
 * @only: receives the key of one of them, unless there is none
 */
int versions_count(const versions_t *v, const char *service, mstime_t now,
		   uint32_t *only);

/*
 * versions_tick - drops versions whose streams are over.
 */
void versions_tick(versions_t *v, mstime_t now);

#endif
