#include "suites.h"

#include <kcf/counter.h>
#include <kcf/peer_socket.h>
#include <poll.h>
#include <unistd.h>

#define TO "127.0.9.1:47123"
#define FROM "127.0.9.1:47124"
#define RECEIVE_TIMEOUT_MS 2000

static const unsigned char key[DATAGRAM_KEY_BYTES] = { 3, 1 };

typedef struct received {
	int count;
	u_int updates;
	u_int loads;
} received_t;

static void on_message_(void *ctx, unsigned int proc, const peer_message_t *m,
			const char *from)
{
	received_t *received = ctx;

	(void)proc;
	ck_assert_str_eq(from, FROM);
	received->count++;
	received->updates = m->updates.updates_len;
	received->loads = m->loads.loads_len;
}

static const struct {
	const char *what;
	const char *to;
	u_int updates;
	int text; /* length of names in updates */
	u_int loads;
	int64_t rate; /* of the budget */
	bool force;
	bool sent;
	bool shortened; /* loads are dropped before updates */
} cases[] = {
	{ "short", TO, 1, 8, 2, 100000, false, true, false },
	{ "too long", TO, PEER_UPDATES_MAX, PEER_NAME_MAX, PEER_LOADS_MAX,
	  100000, false, true, true },
	{ "budget exhausted", TO, 1, 8, 2, 1, false, false, false },
	{ "budget exhausted, forced", TO, 1, 8, 2, 1, true, true, false },
	{ "invalid address", "nowhere", 1, 8, 2, 100000, true, false, false },
	{ "rejected by the kernel", "255.255.255.255:9", 1, 8, 2, 100000, true,
	  false, false },
};

static void fill_(peer_update_t *updates, u_int n, char *text)
{
	for (u_int i = 0; i < n; i++)
		updates[i] = (peer_update_t){
			text,	       "d",	      "r", "127.0.0.1:1",
			"127.0.0.1:2", "127.0.0.1:3", 77,  1,
		};
}

static const peer_socket_ops_t ops = { on_message_, NULL };

START_TEST(test_send)
{
	int in = peer_socket_open(TO);
	byte_budget_t budget = { .rate = cases[_i].rate };
	peer_sender_t sender = { peer_socket_open(FROM), key, &budget };
	peer_update_t updates[PEER_UPDATES_MAX];
	peer_load_t loads[PEER_LOADS_MAX] = { 0 };
	char *text = g_strnfill((gsize)cases[_i].text, 'n');
	peer_message_t m = { .from = "n1", .target = "", .seq = 1 };
	struct pollfd ready = { .fd = in, .events = POLLIN };
	int64_t dropped = counter_get(COUNTER_CONTROL_DROPPED);
	received_t received = { 0 };

	ck_assert_int_ge(in, 0);
	ck_assert_int_ge(sender.fd, 0);
	fill_(updates, cases[_i].updates, text);
	m.sent = (u_quad_t)clock_wall();
	m.updates.updates_len = cases[_i].updates;
	m.updates.updates_val = updates;
	m.loads.loads_len = cases[_i].loads;
	m.loads.loads_val = loads;
	ck_assert_msg(peer_socket_send(&sender, cases[_i].to, PEER_PING, &m,
				       cases[_i].force) == cases[_i].sent,
		      "%s", cases[_i].what);
	ck_assert_int_eq(counter_get(COUNTER_CONTROL_DROPPED) - dropped,
			 cases[_i].sent ? 0 : 1);
	if (cases[_i].sent)
		ck_assert_int_eq(poll(&ready, 1, RECEIVE_TIMEOUT_MS), 1);
	peer_socket_receive(in, key, &ops, &received);
	ck_assert_int_eq(received.count, cases[_i].sent);
	if (cases[_i].sent) {
		ck_assert_uint_eq(received.updates, cases[_i].updates);
		ck_assert((received.loads < cases[_i].loads) ==
			  cases[_i].shortened);
	}
	g_free(text);
	close(sender.fd);
	close(in);
}
END_TEST

Suite *peer_socket_suite(void)
{
	Suite *s = suite_create("peer_socket");
	TCase *c = tcase_create("peer_socket");

	tcase_add_loop_test(c, test_send, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(s, c);
	return s;
}
