/*
 * hop - header with which one node hands a request on to another.
 *
 * Signed with the peers' key, so that a caller cannot claim to be a node.
 */
#ifndef KCF_PRIVATE_HOP_H
#define KCF_PRIVATE_HOP_H

#include <kcf/settings.h>

#define HOP_HEADER "X-Kcf-Hop"
/* Loads of the sending node's upstreams, on requests and answers. */
#define LOADS_HEADER "X-Kcf-Loads"
#define HOP_TEXT_MAX 128

/* What has been done about the key of a run-once request. */
typedef enum hop_once {
	HOP_ONCE_UNCLAIMED,    /* nothing yet */
	HOP_ONCE_CLAIMED,      /* this try may run */
	HOP_ONCE_RESOLVE_HERE, /* the receiver is asked to settle it */
	HOP_ONCE_COUNT,
} hop_once_t;

typedef struct hop {
	int count;	 /* nodes that have handed the request on */
	uint32_t target; /* key of the chosen upstream, or 0 */
	hop_once_t once;
} hop_t;

/*
 * hop_format - writes the header's value.
 * @out: at least HOP_TEXT_MAX bytes
 */
void hop_format(const unsigned char *key, const char *request_id,
		const hop_t *h, char *out);

/*
 * hop_parse - reads and checks the header's value.
 *
 * Return: false when it is malformed or not signed with the key.
 */
bool hop_parse(const unsigned char *key, const char *request_id, str_t text,
	       hop_t *h);

#endif
