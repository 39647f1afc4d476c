/*
 * job_header - header of a request by which a node runs a deferred job.
 *
 * It names the customer in place of the bearer key, which is not stored with
 * the job, and is signed with the peers' key.
 */
#ifndef KCF_PRIVATE_JOB_HEADER_H
#define KCF_PRIVATE_JOB_HEADER_H

#include <kcf/str.h>

#define JOB_HEADER "X-Kcf-Job"

/*
 * job_header_line - the header as "name: value"; to be freed with g_free.
 * @key: peers' key
 */
char *job_header_line(const unsigned char *key, const char *job,
		      const char *customer);

/*
 * job_header_parse - reads the customer from the value of the header.
 * @key: peers' key
 * @job: id of the job, which the signature covers
 * @out: receives the name
 *
 * Return: false when the value is malformed or not signed with the key.
 */
bool job_header_parse(const unsigned char *key, const char *job, str_t value,
		      char *out, size_t size);

#endif
