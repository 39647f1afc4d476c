/*
 * member - who is in the fleet, by probing and gossip (SWIM).
 *
 * A state machine without sockets or clocks: the caller feeds it time and
 * messages, and it sends through a table of functions. Failures are found by
 * direct and indirect probes; a suspected node has time to refute with a
 * higher incarnation before it is declared dead.
 */
#ifndef KCF_MEMBER_H
#define KCF_MEMBER_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/datagram.h>
#include <kcf/str.h>

typedef enum member_state {
	MEMBER_JOINING,
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD,
	MEMBER_STATE_COUNT,
} member_state_t;

/* Parallel to member_state_t. */
extern const char *const member_state_string[];

#define MEMBER_ADDRESS_MAX 32
/* Interval between two probes. */
#define MEMBER_PROBE_MS 1000
/* Time for a direct acknowledgement before others are asked to probe. */
#define MEMBER_ACK_TIMEOUT_MS 300
/* After a probe of its own has failed, a node probes faster for a while. */
#define MEMBER_FAST_PROBE_MS 400
#define MEMBER_FAST_ACK_TIMEOUT_MS 150
#define MEMBER_FAST_PERIOD_MS 4000
/*
 * Meanwhile the next probe follows an acknowledgement after so long, so that
 * each of a mass of silent members meets a probe within about a second.
 */
#define MEMBER_FAST_NEXT_PROBE_MS 100
/* Without any sign of life for so long, a node is cut off itself. */
#define MEMBER_ISOLATED_AFTER_MS 2500
/* Time in which a suspected node may refute. */
#define MEMBER_SUSPECT_MS 2500
/* The same for a node whose host has refused a connection. */
#define MEMBER_REFUSED_SUSPECT_MS 800
/* A tick that comes later than this means the process was paused. */
#define MEMBER_PAUSE_THRESHOLD_MS 2000
/* Dead nodes are remembered, so that late news of them is not believed. */
#define MEMBER_DEAD_RETENTION_MS 120000

typedef struct member {
	char *name;
	char *data_centre;
	char *region;
	char *peer;
	char *callers;
	char *operators;
	uint64_t incarnation;
	member_state_t state;
	mstime_t since;	      /* when the state was entered */
	mstime_t received_at; /* last datagram from the node itself */
	mstime_t expires;     /* end of suspicion */
	uint64_t applied;     /* configuration offset in force there */
	uint32_t key;	      /* hash of the name */
	int gossip_left;      /* times its update is still to be sent */
} member_t;

/* How the state machine acts. */
typedef struct member_ops {
	/*
	 * Sends a message; its receiver completes it with members_fill_message.
	 * lean asks for the shortest form.
	 */
	void (*send)(void *ctx, const char *address, unsigned int proc,
		     peer_message_t *m, bool compact);
	/* A node joined, left, died or came back. */
	void (*state_changed)(void *ctx, const member_t *m,
			      member_state_t before);
} member_ops_t;

/* A probe that waits for its acknowledgement. */
typedef struct member_probe {
	char *target;
	unsigned int seq;
	mstime_t indirect_at;
	mstime_t fails_at;
	bool indirect_sent;
} member_probe_t;

/* A probe made for another node. */
typedef struct member_relay {
	unsigned int seq;
	unsigned int origin_seq;
	char *origin;
	mstime_t expires;
} member_relay_t;

typedef struct members {
	const member_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *by_name; /* char * to member_t * */
	member_t *self;
	GPtrArray *seeds;	/* char *, peer addresses */
	GPtrArray *probe_queue; /* names still to be probed in this round */
	GArray *relays;
	member_probe_t probe;
	unsigned int seq;
	mstime_t next_probe;
	mstime_t next_seed;
	mstime_t next_announce;
	mstime_t fast_until;
	mstime_t last_tick;
	mstime_t last_received_at; /* last sign of life from any peer */
	mstime_t paused_at;	   /* when a pause was last noticed, or 0 */
	guint fact_cursor;
	bool announce_pending; /* a death or leave that is to be announced */
	bool announce_repeat;  /* the same once more, in short */
	bool has_unknown_key;  /* a fact named a node that is not known here */
	bool sender_outdated;  /* news of the last sender itself has been missed
				*/
	bool pull_active; /* a pass over the members of a peer is under way */
	char pull_address[MEMBER_ADDRESS_MAX]; /* its address */
	uint32_t pull_after; /* key that the pass has come to */
	unsigned int pull_seq;
	mstime_t pull_replied_at;  /* last answer */
	mstime_t pull_retry_at;	   /* when to ask again */
	bool page_requested;	   /* the next message carries many members, */
	uint32_t page_after;	   /* those that come after this key */
	uint64_t previous_applied; /* own offset as peers remember it */
} members_t;

/* Identity of this node. */
typedef struct member_self {
	const char *name;
	const char *data_centre;
	const char *region;
	const char *peer;
	const char *callers;
	const char *operators;
	uint64_t incarnation;
} member_self_t;

/*
 * member_log_change - writes the log line of a member's new state.
 */
void member_log_change(const member_t *m, member_state_t before);

/*
 * members_init - starts with this node alone, in state joining.
 * @ms:   caller-owned memory
 * @seed: of the random choices
 */
void members_init(members_t *ms, const member_self_t *self, guint32 seed,
		  const member_ops_t *ops, void *ctx, mstime_t now);

/*
 * members_finish - releases everything.
 */
void members_finish(members_t *ms);

/*
 * members_add_seed - an address to be probed while it belongs to no member.
 */
void members_add_seed(members_t *ms, const char *address);

/*
 * members_clear_seeds - forgets the seeds, before a new host list is taken.
 */
void members_clear_seeds(members_t *ms);

/*
 * members_tick - lets time pass; to be called several times a second.
 */
void members_tick(members_t *ms, mstime_t now);

/*
 * members_check_pause - notices that the process stood still since the last
 * tick, before anything is decided on what was known then.
 *
 * Return: true when it did; members_tick calls this too.
 */
bool members_check_pause(members_t *ms, mstime_t now);

/*
 * members_receive - takes a message.
 * @from: address that it came from
 */
void members_receive(members_t *ms, mstime_t now, const char *from,
		     unsigned int proc, const peer_message_t *m);

/*
 * members_suspect - a node's host has refused a connection, so that its process
 * is likely gone: it is suspected, and asked, without waiting for its turn.
 */
void members_suspect(members_t *ms, mstime_t now, const char *name);

/*
 * members_set_state - moves this node itself to joining, live or leaving.
 */
void members_set_state(members_t *ms, mstime_t now, member_state_t state);

/*
 * members_announce - tells several peers of this node's state at once.
 */
void members_announce(members_t *ms);

/*
 * members_set_applied - this node's own configuration offset.
 */
void members_set_applied(members_t *ms, uint64_t applied);

/*
 * members_fill_message - adds sender, updates and facts to a message to be
 * sent.
 * @updates, @facts: storage for PEER_UPDATES_MAX and PEER_FACTS_MAX entries
 * @lean: only what is needed to find failures, as bytes are short
 */
void members_fill_message(members_t *ms, peer_message_t *m,
			  peer_update_t *updates, peer_fact_t *facts,
			  bool compact);

/*
 * members_find - a member by name, or NULL.
 */
member_t *members_find(const members_t *ms, const char *name);

/*
 * members_find_by_address - a member by the address of its datagrams, or NULL.
 */
const member_t *members_find_by_address(const members_t *ms,
					const char *address);

/*
 * member_is_usable - whether a node may own upstreams and take requests.
 */
bool member_is_usable(const member_t *m);

/*
 * members_count - number of members in a state.
 */
guint members_count(const members_t *ms, member_state_t state);

/*
 * members_is_isolated - whether this node is likely cut off itself: half or
 * more of the nodes that were live have stopped answering within a short time.
 */
bool members_is_isolated(const members_t *ms, mstime_t now);

/*
 * members_lease_end - until when peers can be trusted not to have declared
 * this node dead; MSTIME_NEVER while the node is alone.
 */
mstime_t members_lease_end(const members_t *ms);

/*
 * members_highest_applied - largest configuration offset heard of, that of an
 * earlier start of this node included.
 */
uint64_t members_highest_applied(const members_t *ms);

/*
 * member_key - hash of a name as used in facts.
 */
uint32_t member_key(const char *name);

#endif
