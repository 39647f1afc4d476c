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

static void reject_(const char *from, int err)
{
	counter_add(COUNTER_DATAGRAMS_REJECTED, 1);
	LOG_EVENT(LOG_INFO, "datagram.rejected", F_STR("from", from),
		  F_STR("error", datagram_err_string[-err]));
}

static void handle_message_(const unsigned char *key, str_t data,
			    const char *from, const peer_socket_ops_t *ops,
			    void *ctx)
{
	peer_message_t m = { 0 };
	unsigned int proc;
	int err = datagram_decode(key, data, clock_wall(), &proc, &m);

	if (err) {
		reject_(from, err);
		return;
	}
	ops->message(ctx, proc, &m, from);
	datagram_free(&m);
}

static void handle_crashes_(const unsigned char *key, str_t data,
			    const char *from, const peer_socket_ops_t *ops,
			    void *ctx)
{
	peer_crash_report_t r = { 0 };
	int err = datagram_decode_crashes(key, data, clock_wall(), &r);

	if (err) {
		reject_(from, err);
		return;
	}
	ops->crashes(ctx, &r, from);
	datagram_free_crashes(&r);
}

static void handle_origins_(const unsigned char *key, str_t data,
			    const char *from, const peer_socket_ops_t *ops,
			    void *ctx)
{
	peer_origins_t m = { 0 };
	int err = datagram_decode_origins(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->origins)
		ops->origins(ctx, &m, from);
	datagram_free_origins(&m);
}

static void handle_doubts_(const unsigned char *key, str_t data,
			   const char *from, const peer_socket_ops_t *ops,
			   void *ctx)
{
	peer_doubts_t m = { 0 };
	int err = datagram_decode_doubts(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->doubts)
		ops->doubts(ctx, &m);
	datagram_free_doubts(&m);
}

static void handle_versions_(const unsigned char *key, str_t data,
			     const char *from, const peer_socket_ops_t *ops,
			     void *ctx)
{
	peer_versions_t m = { 0 };
	int err = datagram_decode_versions(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->versions)
		ops->versions(ctx, &m, from);
	datagram_free_versions(&m);
}

static void handle_warmth_(const unsigned char *key, str_t data,
			   const char *from, const peer_socket_ops_t *ops,
			   void *ctx)
{
	peer_warmth_t m = { 0 };
	int err = datagram_decode_warmth(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->warmth)
		ops->warmth(ctx, &m, from);
	datagram_free_warmth(&m);
}

static void handle_work_(const unsigned char *key, str_t data, const char *from,
			 const peer_socket_ops_t *ops, void *ctx)
{
	peer_work_t m = { 0 };
	int err = datagram_decode_work(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->work)
		ops->work(ctx, &m);
	datagram_free_work(&m);
}

static void handle_evidence_(const unsigned char *key, str_t data,
			     const char *from, const peer_socket_ops_t *ops,
			     void *ctx)
{
	peer_rollout_evidence_t m = { 0 };
	int err = datagram_decode_evidence(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->evidence)
		ops->evidence(ctx, &m, from);
	datagram_free_evidence(&m);
}

static void handle_rollout_(const unsigned char *key, str_t data,
			    const char *from, const peer_socket_ops_t *ops,
			    void *ctx)
{
	peer_rollout_state_t m = { 0 };
	int err = datagram_decode_rollout(key, data, clock_wall(), &m);

	if (err) {
		reject_(from, err);
		return;
	}
	if (ops->rollout)
		ops->rollout(ctx, &m);
	datagram_free_rollout(&m);
}

void peer_socket_receive(int fd, const unsigned char *key,
			 const peer_socket_ops_t *ops, void *ctx)
{
	char data[DATAGRAM_MAX + 1];
	char from[ADDRESS_TEXT_MAX];
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	ssize_t n;

	while ((n = recvfrom(fd, data, sizeof(data), 0, (struct sockaddr *)&sa,
			     &len)) >= 0) {
		str_t view = { data, (size_t)n };

		address_format(&sa, from);
		counter_add(COUNTER_CONTROL_RECEIVED_BYTES,
			    n + DATAGRAM_OVERHEAD);
		switch (datagram_proc(view)) {
		case PEER_CRASHES:
			handle_crashes_(key, view, from, ops, ctx);
			break;
		case PEER_ORIGINS:
			handle_origins_(key, view, from, ops, ctx);
			break;
		case PEER_DOUBTS:
			handle_doubts_(key, view, from, ops, ctx);
			break;
		case PEER_VERSIONS:
			handle_versions_(key, view, from, ops, ctx);
			break;
		case PEER_WARMTH:
			handle_warmth_(key, view, from, ops, ctx);
			break;
		case PEER_WORK:
			handle_work_(key, view, from, ops, ctx);
			break;
		case PEER_ROLLOUT_EVIDENCE:
			handle_evidence_(key, view, from, ops, ctx);
			break;
		case PEER_ROLLOUT_STATE:
			handle_rollout_(key, view, from, ops, ctx);
			break;
		default:
			handle_message_(key, view, from, ops, ctx);
			break;
		}
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

	if (s->budget &&
	    !byte_budget_spend(s->budget, clock_now(), bytes, force))
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

size_t peer_socket_send_crashes(const peer_sender_t *s, const char *to,
				const peer_crash_report_t *r)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && r);
	if (address_parse(to, &sa) &&
	    !datagram_encode_crashes(s->key, r, data, &len) &&
	    send_datagram_(s, &sa, data, len, true))
		return len + DATAGRAM_OVERHEAD;
	counter_add(COUNTER_CONTROL_DROPPED, 1);
	return 0;
}

void peer_socket_send_origins(const peer_sender_t *s, const char *to,
			      const peer_origins_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (!address_parse(to, &sa) ||
	    datagram_encode_origins(s->key, m, data, &len) ||
	    !send_datagram_(s, &sa, data, len, true))
		counter_add(COUNTER_CONTROL_DROPPED, 1);
}

void peer_socket_send_doubts(const peer_sender_t *s, const char *to,
			     const peer_doubts_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (!address_parse(to, &sa) ||
	    datagram_encode_doubts(s->key, m, data, &len) ||
	    !send_datagram_(s, &sa, data, len, true))
		counter_add(COUNTER_CONTROL_DROPPED, 1);
}

void peer_socket_send_versions(const peer_sender_t *s, const char *to,
			       const peer_versions_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (!address_parse(to, &sa) ||
	    datagram_encode_versions(s->key, m, data, &len) ||
	    !send_datagram_(s, &sa, data, len, true))
		counter_add(COUNTER_CONTROL_DROPPED, 1);
}

size_t peer_socket_send_warmth(const peer_sender_t *s, const char *to,
			       const peer_warmth_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (address_parse(to, &sa) &&
	    !datagram_encode_warmth(s->key, m, data, &len) &&
	    send_datagram_(s, &sa, data, len, true))
		return len + DATAGRAM_OVERHEAD;
	counter_add(COUNTER_CONTROL_DROPPED, 1);
	return 0;
}

bool peer_socket_send_work(const peer_sender_t *s, const char *to,
			   const peer_work_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (address_parse(to, &sa) &&
	    !datagram_encode_work(s->key, m, data, &len) &&
	    send_datagram_(s, &sa, data, len, true))
		return true;
	counter_add(COUNTER_CONTROL_DROPPED, 1);
	return false;
}

void peer_socket_send_evidence(const peer_sender_t *s, const char *to,
			       const peer_rollout_evidence_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (!address_parse(to, &sa) ||
	    datagram_encode_evidence(s->key, m, data, &len) ||
	    !send_datagram_(s, &sa, data, len, true))
		counter_add(COUNTER_CONTROL_DROPPED, 1);
}

void peer_socket_send_rollout(const peer_sender_t *s, const char *to,
			      const peer_rollout_state_t *m)
{
	unsigned char data[DATAGRAM_MAX];
	struct sockaddr_in sa;
	size_t len = 0;

	assert(s && to && m);
	if (!address_parse(to, &sa) ||
	    datagram_encode_rollout(s->key, m, data, &len) ||
	    !send_datagram_(s, &sa, data, len, true))
		counter_add(COUNTER_CONTROL_DROPPED, 1);
}
