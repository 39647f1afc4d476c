/*
 * hop - header of a request that one node forwards to another.
 *
 * It is signed with the peers' key, so that a caller cannot pose as a node.
 */
#ifndef KCF_PRIVATE_HOP_H
#define KCF_PRIVATE_HOP_H

#include <kcf/settings.h>

#define HOP_HEADER "X-Kcf-Hop"
/* Load reports of the sender's upstreams, on requests and answers. */
#define LOADS_HEADER "X-Kcf-Loads"
/* Bytes of a HOP_HEADER value, with the closing zero. */
#define HOP_TEXT_MAX 128

/*
 * State of the key of a run-once request. HOP_ONCE_RESOLVE_HERE also marks the
 * query of a deferred job. The values are sent in the header.
 */
typedef enum hop_once {
	HOP_ONCE_NONE,	       /* not forwarded, or not run-once */
	HOP_ONCE_CLAIMED,      /* the sender holds the key: the try may run */
	HOP_ONCE_RESOLVE_HERE, /* the receiver decides and does not forward */
	HOP_ONCE_COUNT,
} hop_once_t;

typedef struct hop {
	int count;	 /* nodes that have forwarded the request */
	uint32_t target; /* key of the chosen upstream, or 0 */
	hop_once_t once;
} hop_t;

/*
 * hop_format - writes the signed value of the header.
 * @key: peers' key
 * @out: at least HOP_TEXT_MAX bytes
 */
void hop_format(const unsigned char *key, const char *request_id,
		const hop_t *h, char *out);

/*
 * hop_parse - reads the value of the header and checks its signature.
 * @key: peers' key
 *
 * Return: false when the value is malformed or not signed with the key.
 */
bool hop_parse(const unsigned char *key, const char *request_id, str_t text,
	       hop_t *h);

#endif
