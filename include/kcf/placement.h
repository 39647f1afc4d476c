/*
 * placement - how requests are placed; all but the first are baselines to
 * compare with.
 */
#ifndef KCF_PLACEMENT_H
#define KCF_PLACEMENT_H

typedef enum placement {
	PLACEMENT_BOUNDED,
	PLACEMENT_RANDOM,
	PLACEMENT_LEAST_LOADED,
	PLACEMENT_HASH,
	PLACEMENT_COUNT,
} placement_t;

/* Parallel to placement_t, as written in settings; ends with NULL. */
extern const char *const placement_string[];

/*
 * placement_parse - the placement that a word names; bounded for NULL.
 *
 * Return: PLACEMENT_COUNT when none is named so.
 */
placement_t placement_parse(const char *name);

#endif
