#include "private/hop.h"
#include "private/signature.h"

#include <stdio.h>
#include <string.h>

void hop_format(const unsigned char *key, const char *request_id,
		const hop_t *h, char *out)
{
	char hex[SIGNATURE_SIZE];
	char *text = g_strdup_printf("hop %d %08x %d %s", h->count, h->target,
				     h->once, request_id);

	signature_compute(key, text, hex);
	snprintf(out, HOP_TEXT_MAX, "%d.%08x.%d.%s", h->count, h->target,
		 h->once, hex);
	g_free(text);
}

bool hop_parse(const unsigned char *key, const char *request_id, str_t text,
	       hop_t *h)
{
	char copy[HOP_TEXT_MAX];
	char expected[HOP_TEXT_MAX];
	int once;

	if (!text.len || text.len >= sizeof(copy))
		return false;
	memcpy(copy, text.data, text.len);
	copy[text.len] = '\0';
	/* The signature covers all fields, so a wrong parse is rejected. */
	if (sscanf(copy, "%d.%8x.%d.", &h->count, &h->target, &once) != 3)
		return false;
	if (once < 0 || once >= HOP_ONCE_COUNT)
		return false;
	h->once = (hop_once_t)once;
	hop_format(key, request_id, h, expected);
	return signature_equal(expected, text);
}
