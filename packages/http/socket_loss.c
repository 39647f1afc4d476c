#include <kcf/socket_loss.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
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
