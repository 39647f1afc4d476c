#include <kcf/quarantine_gossip.h>

#include <assert.h>
#include <string.h>

/*
 * Bytes of reports per second. They are urgent and few: they go before load
 * gossip, which leaves nothing of the common budget in large fleets.
 */
#define REPORT_BYTES_PER_S 8192
/* Nodes that each node tells of a crash that is new to it. */
#define FANOUT 4
/* Random choices for them; in a small fleet most fall on the same nodes. */
#define CHOICES_MAX 16
/* Known crashes are repeated to one node at this interval. */
#define REPEAT_MS 1000
/* A node asks for known crashes at this interval, for this long. */
#define ASK_INTERVAL_MS 300
#define ASK_MS 4000
/* It stops after so many replies: a part of one may be lost. */
#define REPLIES_WANTED 2

void quarantine_gossip_init(quarantine_gossip_t *s, quarantine_t *q,
			    const quarantine_gossip_ops_t *ops, void *ctx,
			    mstime_t now)
{
	assert(s && q && ops && ops->random_peer && ops->send);
	*s = (quarantine_gossip_t){ .quarantine = q, .ops = ops, .ctx = ctx };
	s->budget.rate = REPORT_BYTES_PER_S;
	quarantine_gossip_ask(s, now);
}

void quarantine_gossip_ask(quarantine_gossip_t *s, mstime_t now)
{
	assert(s);
	s->ask_until = now + ASK_MS;
	s->replies = 0;
}

static bool may_send_(quarantine_gossip_t *s, mstime_t now)
{
	return byte_budget_has_fraction(&s->budget, now, 0);
}

static void send_(quarantine_gossip_t *s, const char *to,
		  const peer_crash_report_t *m, mstime_t now)
{
	size_t bytes = s->ops->send(s->ctx, to, m);

	byte_budget_spend(&s->budget, now, (int64_t)bytes, true);
}

/* Chooses different nodes; their number. */
static int choose_peers_(const quarantine_gossip_t *s, const char **out)
{
	int count = 0;

	for (int i = 0; i < CHOICES_MAX && count < FANOUT; i++) {
		const char *to = s->ops->random_peer(s->ctx);
		bool taken = !to;

		for (int k = 0; k < count; k++)
			taken = taken || out[k] == to;
		if (!taken)
			out[count++] = to;
	}
	return count;
}

void quarantine_gossip_flush(quarantine_gossip_t *s, mstime_t now)
{
	const char *peers[FANOUT];
	quarantine_report_t r;

	assert(s);
	while (quarantine_has_unsent(s->quarantine) && may_send_(s, now)) {
		int count = choose_peers_(s, peers);

		quarantine_report_fill(s->quarantine, &r, now);
		for (int i = 0; i < count; i++)
			send_(s, peers[i], &r.message, now);
	}
}

static void repeat_(quarantine_gossip_t *s, mstime_t now)
{
	const char *to = s->ops->random_peer(s->ctx);
	quarantine_report_t r;

	s->repeat_at = now + REPEAT_MS;
	if (!to || !s->quarantine->crash_count || !may_send_(s, now))
		return;
	quarantine_report_fill(s->quarantine, &r, now);
	send_(s, to, &r.message, now);
}

static void ask_(quarantine_gossip_t *s, mstime_t now)
{
	const char *to = s->ops->random_peer(s->ctx);
	peer_crash_report_t m = { .sent = (u_quad_t)clock_wall(),
				  .wanted = TRUE };

	s->ask_at = now + ASK_INTERVAL_MS;
	if (to)
		send_(s, to, &m, now);
}

void quarantine_gossip_tick(quarantine_gossip_t *s, mstime_t now)
{
	assert(s);
	quarantine_gossip_flush(s, now);
	if (now >= s->repeat_at)
		repeat_(s, now);
	if (now < s->ask_until && now >= s->ask_at)
		ask_(s, now);
}

/* A node that still asks itself does not know all crashes. */
static void reply_(quarantine_gossip_t *s, const char *to, mstime_t now)
{
	quarantine_report_t r;
	int sent = 0;

	if (now < s->ask_until && !s->replies)
		return;
	do {
		quarantine_report_fill(s->quarantine, &r, now);
		/* Half of a report repeats what holds rest on. */
		sent += PEER_CRASHES_MAX / 2;
		r.message.completes = sent >= s->quarantine->crash_count;
		send_(s, to, &r.message, now);
	} while (!r.message.completes);
}

void quarantine_gossip_receive(quarantine_gossip_t *s,
			       const peer_crash_report_t *m, const char *from,
			       mstime_t now)
{
	assert(s && m && from);
	if (m->wanted) {
		reply_(s, from, now);
		return;
	}
	if (m->completes && ++s->replies >= REPLIES_WANTED)
		s->ask_until = 0;
	quarantine_report_apply(s->quarantine, m, now);
	quarantine_gossip_flush(s, now);
}
