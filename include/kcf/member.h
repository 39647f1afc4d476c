/*
 * member - fleet membership by the SWIM protocol: probes and gossip.
 *
 * A state machine without sockets or clocks: the caller passes in the time and
 * received messages, and provides a table of functions for sending. Direct and
 * indirect probes detect failures. A suspected node can refute the suspicion
 * with a higher incarnation before it is declared dead.
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
/* Wait for a direct acknowledgement before indirect probes are sent. */
#define MEMBER_ACK_TIMEOUT_MS 300
/* After one of its probes has failed, a node probes faster for a while. */
#define MEMBER_FAST_PROBE_MS 400
#define MEMBER_FAST_ACK_TIMEOUT_MS 150
#define MEMBER_FAST_PERIOD_MS 4000
/*
 * Delay from an acknowledgement to the next probe during that period. With it,
 * each of many failed members is probed within about a second.
 */
#define MEMBER_FAST_NEXT_PROBE_MS 100
/* A node that has received nothing for this long is isolated itself. */
#define MEMBER_ISOLATED_AFTER_MS 2500
/* Time for a suspected node to refute. */
#define MEMBER_SUSPECT_MS 2500
/* The same when the node's host has refused a connection. */
#define MEMBER_REFUSED_SUSPECT_MS 800
/* A longer interval between two ticks means that the process was paused. */
#define MEMBER_PAUSE_THRESHOLD_MS 2000
/* Dead nodes are remembered, so that late updates do not revive them. */
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
	mstime_t since;	      /* time when the state was entered */
	mstime_t received_at; /* last datagram from the node itself */
	mstime_t expires;     /* end of suspicion */
	uint64_t applied;     /* configuration offset in force on the node */
	uint32_t key;	      /* member_key of the name */
	int gossip_left;      /* remaining sends of its update */
} member_t;

/* Callbacks of the state machine. */
typedef struct member_ops {
	/*
	 * Completes a message with members_fill_message and sends it; compact
	 * asks for the shortest form.
	 */
	void (*send)(void *ctx, const char *address, unsigned int proc,
		     peer_message_t *m, bool compact);
	/* A node joined, left, died or returned. */
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

/* An indirect probe that this node sends for another one. */
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
	mstime_t last_received_at; /* last datagram from any peer */
	mstime_t paused_at;	   /* last pause that was detected, or 0 */
	guint fact_cursor;     /* position in the table for the next facts */
	bool announce_pending; /* a death or leave is to be announced */
	bool announce_repeat;  /* once more, in compact form */
	bool has_unknown_key;  /* a fact has the key of an unknown node */
	bool sender_outdated;  /* an update of the last sender was missed */
	bool pull_active;      /* members are being read from a peer */
	char pull_address[MEMBER_ADDRESS_MAX]; /* that peer */
	uint32_t pull_after;		       /* highest key read so far */
	unsigned int pull_seq;
	mstime_t pull_replied_at; /* last reply */
	mstime_t pull_retry_at;	  /* time of the next request */
	bool page_requested; /* the next message carries a page of members */
	uint32_t page_after; /* the page begins after this key */
	uint64_t previous_applied; /* offset in an earlier run */
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
 * members_init - initializes a fleet of this node alone, in state joining.
 * @ms:   caller-owned memory
 * @seed: seed of the random generator
 */
void members_init(members_t *ms, const member_self_t *self, guint32 seed,
		  const member_ops_t *ops, void *ctx, mstime_t now);

/*
 * members_finish - releases all memory that ms holds.
 */
void members_finish(members_t *ms);

/*
 * members_add_seed - adds an address to probe while no member has it.
 */
void members_add_seed(members_t *ms, const char *address);

/*
 * members_clear_seeds - removes all seeds, before a new host list is added.
 */
void members_clear_seeds(members_t *ms);

/*
 * members_tick - runs the timers; must be called several times a second.
 */
void members_tick(members_t *ms, mstime_t now);

/*
 * members_check_pause - detects that the process was paused since the last
 * tick. To be called before a decision that relies on state from before a
 * pause; members_tick calls it too.
 *
 * Return: true when the process was paused.
 */
bool members_check_pause(members_t *ms, mstime_t now);

/*
 * members_receive - processes a message.
 * @from: address of the sender
 */
void members_receive(members_t *ms, mstime_t now, const char *from,
		     unsigned int proc, const peer_message_t *m);

/*
 * members_suspect - suspects a live node whose host has refused a connection,
 * as its process has likely ended, and pings it at once.
 */
void members_suspect(members_t *ms, mstime_t now, const char *name);

/*
 * members_set_state - sets this node's own state: joining, live or leaving.
 */
void members_set_state(members_t *ms, mstime_t now, member_state_t state);

/*
 * members_random_peer - a random other member that is not dead, or NULL.
 */
member_t *members_random_peer(members_t *ms);

/*
 * members_announce - sends this node's state to several peers at once.
 */
void members_announce(members_t *ms);

/*
 * members_set_applied - sets this node's configuration offset; it never falls.
 */
void members_set_applied(members_t *ms, uint64_t applied);

/*
 * members_fill_message - adds the sender, updates and facts to a message.
 * @updates, @facts: storage for PEER_UPDATES_MAX and PEER_FACTS_MAX entries
 * @compact: include only what failure detection needs, to save bytes
 */
void members_fill_message(members_t *ms, peer_message_t *m,
			  peer_update_t *updates, peer_fact_t *facts,
			  bool compact);

/*
 * members_find - finds a member by its name.
 *
 * Return: the member, or NULL.
 */
member_t *members_find(const members_t *ms, const char *name);

/*
 * members_find_by_address - finds a member by the address of its peer socket.
 *
 * Return: the member, or NULL.
 */
const member_t *members_find_by_address(const members_t *ms,
					const char *address);

/*
 * member_is_usable - whether a node may own upstreams and serve requests.
 */
bool member_is_usable(const member_t *m);

/*
 * members_count - number of members in a state.
 */
guint members_count(const members_t *ms, member_state_t state);

/*
 * members_is_isolated - whether this node itself is likely cut off from the
 * network: at least half of the live nodes have stopped answering within a
 * short time, or it has several peers and has received nothing for
 * MEMBER_ISOLATED_AFTER_MS.
 */
bool members_is_isolated(const members_t *ms, mstime_t now);

/*
 * members_lease_end - time until which no peer can have declared this node
 * dead; MSTIME_NEVER while the node is alone.
 */
mstime_t members_lease_end(const members_t *ms);

/*
 * members_highest_applied - highest configuration offset that is known of any
 * node that is not dead, or of an earlier run of this node.
 */
uint64_t members_highest_applied(const members_t *ms);

/*
 * member_key - hash of a node's name, which identifies it in facts.
 */
uint32_t member_key(const char *name);

#endif
