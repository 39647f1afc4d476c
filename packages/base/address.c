#include <kcf/address.h>
#include <kcf/str.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

bool address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	int64_t port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (!str_to_int(str_of(colon + 1), &port))
		return false;
	if (port < 1 || port > UINT16_MAX)
		return false;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

void address_format(const struct sockaddr_in *sa, char *out)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &sa->sin_addr, ip, sizeof(ip));
	snprintf(out, ADDRESS_TEXT_MAX, "%s:%u", ip, ntohs(sa->sin_port));
}
