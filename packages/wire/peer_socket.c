#include <kcf/peer_socket.h>

#include <assert.h>
#include <errno.h>
#include <kcf/address.h>
#include <kcf/clock.h>
#include <kcf/counter.h>
#include <kcf/logline.h>
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

static void handle_datagram_(const unsigned char *key, str_t data,
			     const char *from, peer_socket_fn fn, void *ctx)
{
	peer_message_t m = { 0 };
	unsigned int proc;
	int err;

	counter_add(COUNTER_CONTROL_RECEIVED_BYTES,
		    (int64_t)data.len + DATAGRAM_OVERHEAD);
	err = datagram_decode(key, data, clock_wall(), &proc, &m);
	if (err) {
		counter_add(COUNTER_DATAGRAMS_REJECTED, 1);
		LOG_EVENT(LOG_INFO, "datagram.rejected", F_STR("from", from),
			  F_STR("error", datagram_err_string[-err]));
		return;
	}
	fn(ctx, proc, &m, from);
	datagram_free(&m);
}

void peer_socket_receive(int fd, const unsigned char *key, peer_socket_fn fn,
			 void *ctx)
{
	char data[DATAGRAM_MAX + 1];
	char from[ADDRESS_TEXT_MAX];
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	ssize_t n;

	while ((n = recvfrom(fd, data, sizeof(data), 0, (struct sockaddr *)&sa,
			     &len)) >= 0) {
		address_format(&sa, from);
		handle_datagram_(key, (str_t){ data, (size_t)n }, from, fn,
				 ctx);
		len = sizeof(sa);
	}
}

/* Returns the length, or 0 if the message is too long without its lists. */
static size_t encode_fitting_(const unsigned char *key, unsigned int proc,
			      peer_message_t *m, unsigned char *data)
{
	size_t len;

	while (datagram_encode(key, proc, m, data, &len)) {
		if (m->loads.loads_len)
			m->loads.loads_len /= 2;
		else if (m->updates.updates_len)
			m->updates.updates_len /= 2;
		else
			return 0;
	}
	return len;
}

/* A datagram that cannot be sent is handled like one that the network lost. */
static bool send_datagram_(const peer_sender_t *s, const struct sockaddr_in *to,
			   const unsigned char *data, size_t len, bool force)
{
	int64_t bytes = (int64_t)len + DATAGRAM_OVERHEAD;

	if (!byte_budget_spend(s->budget, clock_now(), bytes, force))
		return false;
	if (sendto(s->fd, data, len, 0, (const struct sockaddr *)to,
		   sizeof(*to)) < 0)
		return false;
	counter_add(COUNTER_CONTROL_SENT_BYTES, bytes);
	return true;
}

bool peer_socket_send(const peer_sender_t *s, const char *to, unsigned int proc,
		      peer_message_t *m, bool force)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (address_parse(to, &sa))
		len = encode_fitting_(s->key, proc, m, data);
	if (len && send_datagram_(s, &sa, data, len, force))
		return true;
	counter_add(COUNTER_CONTROL_DROPPED, 1);
	return false;
}
