#include "private/job_header.h"
#include "private/signature.h"

#include <string.h>

static char *header_value_(const unsigned char *key, const char *job,
			   const char *customer)
{
	char hex[SIGNATURE_SIZE];
	char *text = g_strdup_printf("job %s %s", job, customer);
	char *value;

	signature_compute(key, text, hex);
	value = g_strdup_printf("%s:%s", customer, hex);
	g_free(text);
	return value;
}

char *job_header_line(const unsigned char *key, const char *job,
		      const char *customer)
{
	char *value = header_value_(key, job, customer);
	char *line = g_strdup_printf(JOB_HEADER ": %s", value);

	g_free(value);
	return line;
}

bool job_header_parse(const unsigned char *key, const char *job, str_t value,
		      char *out, size_t size)
{
	const char *colon =
		value.len ? memchr(value.data, ':', value.len) : NULL;
	char *expected;
	bool ok;

	if (!colon || (size_t)(colon - value.data) >= size)
		return false;
	memcpy(out, value.data, (size_t)(colon - value.data));
	out[colon - value.data] = '\0';
	expected = header_value_(key, job, out);
	ok = signature_equal(expected, value);
	g_free(expected);
	return ok;
}
