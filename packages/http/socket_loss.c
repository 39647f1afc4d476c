#include <kcf/socket_loss.h>

#include <linux/tcp.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

int64_t socket_loss_count(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    len < offsetof(struct tcp_info, tcpi_total_retrans) +
			    sizeof(info.tcpi_total_retrans))
		return -1;
	/* 0 on kernels that do not report duplicates. */
	return info.tcpi_total_retrans < info.tcpi_dsack_dups
		       ? 0
		       : (int64_t)info.tcpi_total_retrans -
				 info.tcpi_dsack_dups;
}

int socket_unacked(int fd, int64_t *rtt_ms)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int bytes;

	if (ioctl(fd, SIOCOUTQ, &bytes))
		return -1;
	*rtt_ms = 0;
	/* Most writes are acknowledged before the next one. */
	if (bytes <= 0)
		return bytes;
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return -1;
	*rtt_ms = info.tcpi_rtt / 1000;
	return bytes;
}
