/*
 * source - loaded into a node with LD_PRELOAD, it lets the node's connections
 * come from the address in KCF_SOURCE, so that stand-ins know whose they are.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef int (*connect_t)(int fd, const struct sockaddr *to, socklen_t len);

static bool is_stream_(int fd)
{
	int type = 0;
	socklen_t len = sizeof(type);

	return !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &len) &&
	       type == SOCK_STREAM;
}

static bool is_bound_(int fd)
{
	struct sockaddr_in own = { 0 };
	socklen_t len = sizeof(own);

	return getsockname(fd, (struct sockaddr *)&own, &len) || own.sin_port ||
	       own.sin_addr.s_addr;
}

static bool bind_source_(int fd)
{
	const char *text = getenv("KCF_SOURCE");
	struct sockaddr_in source = { .sin_family = AF_INET };
	int on = 1;

	if (!text || inet_pton(AF_INET, text, &source.sin_addr) != 1)
		return true;
	/* The port is chosen by connect(), so that ports do not run out. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	return !bind(fd, (struct sockaddr *)&source, sizeof(source));
}

int connect(int fd, const struct sockaddr *to, socklen_t len)
{
	void *next = dlsym(RTLD_NEXT, "connect");
	connect_t real;

	memcpy(&real, &next, sizeof(real));
	if (to->sa_family == AF_INET && is_stream_(fd) && !is_bound_(fd) &&
	    !bind_source_(fd))
		return -1;
	return real(fd, to, len);
}
