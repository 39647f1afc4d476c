#include <kcf/socket_bounds.h>

#include <assert.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void socket_bounds_set(int fd, int unsent_max, int unread_max)
{
	assert(fd >= 0);
	if (unsent_max)
		setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_max,
			   sizeof(unsent_max));
	if (unread_max)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &unread_max,
			   sizeof(unread_max));
}
