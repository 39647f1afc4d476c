/*
 * job_header - header with which a node runs a deferred job on behalf of a
 * customer, whose key it does not keep. Signed with the peers' key.
 */
#ifndef KCF_PRIVATE_JOB_HEADER_H
#define KCF_PRIVATE_JOB_HEADER_H

#include <kcf/str.h>

#define JOB_HEADER "X-Kcf-Job"

/*
 * job_header_line - the header line; to be freed with g_free.
 */
char *job_header_line(const unsigned char *key, const char *job,
		      const char *customer);

/*
 * job_header_parse - customer named by a header's value.
 * @out: receives the name
 *
 * Return: false when it is malformed or not signed with the key.
 */
bool job_header_parse(const unsigned char *key, const char *job, str_t value,
		      char *out, size_t size);

#endif
