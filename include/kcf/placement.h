/*
 * placement - policies that choose the upstream of a request; all but the first
 * are baselines for comparison.
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
 * placement_parse - the placement of a name; bounded for NULL.
 *
 * Return: PLACEMENT_COUNT when the name is unknown.
 */
placement_t placement_parse(const char *name);

#endif
