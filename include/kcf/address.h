/*
 * address - numeric IPv4 addresses with a port.
 */
#ifndef KCF_ADDRESS_H
#define KCF_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Longest "ip:port", including the terminating zero. */
#define ADDRESS_TEXT_MAX 22

/*
 * address_parse - splits "ip:port" into a socket address.
 *
 * Return: false when the text is not a numeric IPv4 address with a port.
 */
bool address_parse(const char *text, struct sockaddr_in *out);

/*
 * address_format - writes "ip:port".
 * @out: at least ADDRESS_TEXT_MAX bytes
 */
void address_format(const struct sockaddr_in *sa, char *out);

#endif
