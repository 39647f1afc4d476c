/*
 * source - loaded into a node with LD_PRELOAD, it lets the node's connections
 * come from the address in KCF_SOURCE, so that stand-ins know whose they are.
 * Of the packets that come on a connection, KCF_LOSS in 1000 are lost.
 *
 * The file KCF_CUT cuts the node off from addresses while it has some: a word
 * and the addresses, each on a line.
 *   reset (open connections end, new ones are refused, datagrams are lost),
 *   silent (what comes from there is lost, new connections hang),
 *   deaf (the same, for datagrams alone)
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <linux/filter.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FDS_MAX 4096
#define CUT_MAX 64
#define LOOK_US 10000

typedef enum cut_mode {
	CUT_NONE,
	CUT_RESET,
	CUT_SILENT,
	CUT_DEAF,
	CUT_MODE_COUNT,
} cut_mode_t;

static const char *const cut_words[] = { "", "reset", "silent", "deaf" };

/* As the file had it last. */
static struct {
	pthread_mutex_t lock;
	cut_mode_t mode;
	in_addr_t from[CUT_MAX];
	int count;
} cut = { .lock = PTHREAD_MUTEX_INITIALIZER };

typedef int (*connect_t)(int fd, const struct sockaddr *to, socklen_t len);
typedef int (*accept_t)(int fd, struct sockaddr *from, socklen_t *len,
			int flags);
typedef ssize_t (*receive_t)(int fd, void *data, size_t size, int flags,
			     struct sockaddr *from, socklen_t *len);
typedef ssize_t (*send_t)(int fd, const void *data, size_t size, int flags,
			  const struct sockaddr *to, socklen_t len);

/* How the node is cut off from an address. */
static cut_mode_t cut_from_(const struct sockaddr *peer)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)peer;
	cut_mode_t mode = CUT_NONE;

	if (!peer || peer->sa_family != AF_INET)
		return CUT_NONE;
	pthread_mutex_lock(&cut.lock);
	for (int i = 0; i < cut.count; i++) {
		if (cut.from[i] == in->sin_addr.s_addr)
			mode = cut.mode;
	}
	pthread_mutex_unlock(&cut.lock);
	return mode;
}

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

static void lose_all_(int fd)
{
	struct sock_filter code[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
	struct sock_fprog program = { 1, code };

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/* Open connections to the addresses that the file names. */
static void harm_open_(cut_mode_t before)
{
	for (int fd = 0; fd < FDS_MAX; fd++) {
		struct sockaddr_in peer = { 0 };
		socklen_t len = sizeof(peer);
		cut_mode_t mode;

		if (getpeername(fd, (struct sockaddr *)&peer, &len) ||
		    !is_stream_(fd))
			continue;
		mode = cut_from_((struct sockaddr *)&peer);
		if (mode == CUT_RESET)
			shutdown(fd, SHUT_RDWR);
		else if (mode == CUT_SILENT)
			lose_all_(fd);
		else if (before == CUT_SILENT)
			setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, NULL, 0);
	}
}

static void read_file_(const char *path)
{
	FILE *file = fopen(path, "r");
	cut_mode_t before = cut.mode;
	char word[32] = "";
	struct in_addr from;

	pthread_mutex_lock(&cut.lock);
	cut.count = 0;
	cut.mode = CUT_NONE;
	if (file && fscanf(file, "%31s", word) == 1) {
		for (int i = CUT_NONE + 1; i < CUT_MODE_COUNT; i++)
			cut.mode = strcmp(word, cut_words[i]) ? cut.mode
							      : (cut_mode_t)i;
	}
	while (file && cut.count < CUT_MAX && fscanf(file, "%31s", word) == 1) {
		if (inet_pton(AF_INET, word, &from) == 1)
			cut.from[cut.count++] = from.s_addr;
	}
	pthread_mutex_unlock(&cut.lock);
	if (file)
		fclose(file);
	if (before != cut.mode)
		harm_open_(before);
}

static void *watch_(void *path)
{
	for (;;) {
		read_file_(path);
		usleep(LOOK_US);
	}
	return NULL;
}

__attribute__((constructor)) static void start_(void)
{
	char *path = getenv("KCF_CUT");
	pthread_t thread;

	if (path && *path)
		pthread_create(&thread, NULL, watch_, path);
}

int accept4(int fd, struct sockaddr *from, socklen_t *len, int flags)
{
	void *next = dlsym(RTLD_NEXT, "accept4");
	struct sockaddr_in peer = { 0 };
	socklen_t peer_len = sizeof(peer);
	accept_t real;
	int taken;

	memcpy(&real, &next, sizeof(real));
	taken = real(fd, from, len, flags);
	if (taken < 0 ||
	    getpeername(taken, (struct sockaddr *)&peer, &peer_len))
		return taken;
	switch (cut_from_((struct sockaddr *)&peer)) {
	case CUT_RESET:
		close(taken);
		errno = ECONNABORTED;
		return -1;
	case CUT_SILENT:
		lose_all_(taken);
		break;
	default:
		break;
	}
	return taken;
}

int accept(int fd, struct sockaddr *from, socklen_t *len)
{
	return accept4(fd, from, len, 0);
}

ssize_t recvfrom(int fd, void *data, size_t size, int flags,
		 struct sockaddr *from, socklen_t *len)
{
	void *next = dlsym(RTLD_NEXT, "recvfrom");
	ssize_t got;
	receive_t real;

	memcpy(&real, &next, sizeof(real));
	do {
		got = real(fd, data, size, flags, from, len);
	} while (got >= 0 && !is_stream_(fd) && cut_from_(from));
	return got;
}

ssize_t sendto(int fd, const void *data, size_t size, int flags,
	       const struct sockaddr *to, socklen_t len)
{
	void *next = dlsym(RTLD_NEXT, "sendto");
	send_t real;

	memcpy(&real, &next, sizeof(real));
	if (!is_stream_(fd) && cut_from_(to) == CUT_RESET)
		return (ssize_t)size;
	return real(fd, data, size, flags, to, len);
}

int connect(int fd, const struct sockaddr *to, socklen_t len)
{
	void *next = dlsym(RTLD_NEXT, "connect");
	cut_mode_t mode = cut_from_(to);
	connect_t real;

	memcpy(&real, &next, sizeof(real));
	if (mode == CUT_RESET && is_stream_(fd)) {
		errno = ECONNREFUSED;
		return -1;
	}
	if (mode == CUT_SILENT && is_stream_(fd))
		lose_all_(fd);
	else if (to->sa_family == AF_INET && is_stream_(fd))
		lose_some_(fd);
	if (to->sa_family == AF_INET && is_stream_(fd) && !is_bound_(fd) &&
	    !bind_source_(fd))
		return -1;
	return real(fd, to, len);
}
