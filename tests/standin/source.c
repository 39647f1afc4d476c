/*
 * source - loaded into a node with LD_PRELOAD, it lets the node's connections
 * come from the address in KCF_SOURCE, so that stand-ins know whose they are.
 * Of the packets that come on a connection, KCF_LOSS in 1000 are lost.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
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

static void lose_some_(int fd)
{
	const char *text = getenv("KCF_LOSS");
	unsigned int share = text ? (unsigned int)atoi(text) : 0;
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
			 (unsigned int)SKF_AD_OFF + SKF_AD_RANDOM),
		BPF_JUMP(BPF_JMP | BPF_JGE | BPF_K, UINT32_MAX / 1000 * share,
			 1, 0),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = { sizeof(code) / sizeof(*code), code };

	if (share)
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			   sizeof(program));
}

int connect(int fd, const struct sockaddr *to, socklen_t len)
{
	void *next = dlsym(RTLD_NEXT, "connect");
	connect_t real;

	memcpy(&real, &next, sizeof(real));
	if (to->sa_family == AF_INET && is_stream_(fd))
		lose_some_(fd);
	if (to->sa_family == AF_INET && is_stream_(fd) && !is_bound_(fd) &&
	    !bind_source_(fd))
		return -1;
	return real(fd, to, len);
}
