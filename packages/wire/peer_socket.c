#include <kcf/peer_socket.h>

#include <errno.h>
#include <kcf/address.h>
#include <kcf/datagram.h>
#include <sys/socket.h>
#include <unistd.h>

int peer_socket_open(const char *address)
{
	struct sockaddr_in sa;
	int err;
	int fd;

	if (!address_parse(address, &sa)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || !bind(fd, (struct sockaddr *)&sa, sizeof(sa)))
		return fd;
	err = errno;
	close(fd);
	errno = err;
	return -1;
}

void peer_socket_receive(int fd, peer_socket_fn fn, void *ctx)
{
	char data[DATAGRAM_MAX + 1];
	char from[ADDRESS_TEXT_MAX];
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	ssize_t n;

	while ((n = recvfrom(fd, data, sizeof(data), 0, (struct sockaddr *)&sa,
			     &len)) >= 0) {
		address_format(&sa, from);
		fn(ctx, (str_t){ data, (size_t)n }, from);
		len = sizeof(sa);
	}
}
