/*
 * Messages between nodes: one-way ONC RPC calls over UDP.
 */

const PEER_NAME_MAX = 63;
const PEER_ADDRESS_MAX = 21;
const PEER_UPDATES_MAX = 8;
const PEER_FACTS_MAX = 24;
const PEER_LOADS_MAX = 40;
const PEER_LOANS_MAX = 8;
const PEER_SEGMENTS_MAX = 16;
const PEER_CRASHES_MAX = 6;
const PEER_ANSWERED_MAX = 16;
const PEER_ORIGINS_MAX = 32;
const PEER_DOUBTS_MAX = 16;
const PEER_WARMTH_MAX = 64;
const PEER_WORK_MAX = 4;
const PEER_ROLLOUT_ROUTES_MAX = 16;
const PEER_VERSION_TEXT_MAX = 127;
const PEER_VERSIONS_MAX = 4;

/* Membership record of one node. */
struct peer_update_t {
	string name<PEER_NAME_MAX>;
	string data_centre<PEER_NAME_MAX>;
	string region<PEER_NAME_MAX>;
	string peer<PEER_ADDRESS_MAX>;
	string callers<PEER_ADDRESS_MAX>;
	string operators<PEER_ADDRESS_MAX>;
	unsigned hyper incarnation;
	unsigned int state;
};

/* Highest configuration offset in force on one node. */
struct peer_fact_t {
	unsigned int node;
	unsigned hyper applied;
};

/* Load of one upstream as counted by its owner. */
struct peer_load_t {
	unsigned int upstream;
	unsigned int stamp;
	unsigned int outstanding;
	unsigned int limit;
	unsigned int weight;
};

/* Power lent by the owner of one upstream to the owner of another. */
struct peer_loan_t {
	unsigned int donor;
	unsigned int borrower;
	unsigned int milliwatts;
	unsigned hyper expires;
};

struct peer_message_t {
	unsigned int seq;
	unsigned hyper sent;
	string from<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	string target<PEER_NAME_MAX>;
	peer_update_t updates<PEER_UPDATES_MAX>;
	peer_fact_t facts<PEER_FACTS_MAX>;
	peer_load_t loads<PEER_LOADS_MAX>;
	peer_loan_t loans<PEER_LOANS_MAX>;
};

/* An upstream that ended while it began to answer a request. */
struct peer_crash_t {
	unsigned int upstream;
	unsigned int age_ms;
	unsigned int seen_age_ms;
	unsigned int flags;
	unsigned hyper request;
	unsigned hyper segments<PEER_SEGMENTS_MAX>;
};

/* A request or prompt segment of such a crash that was answered since. */
struct peer_answered_t {
	unsigned hyper key;
	unsigned int age_ms;
};

/*
 * A node that wants them has just started and is sent all crashes; the last
 * report of such a reply completes it.
 */
struct peer_crash_report_t {
	unsigned hyper sent;
	bool wanted;
	bool completes;
	peer_crash_t crashes<PEER_CRASHES_MAX>;
	peer_answered_t answered<PEER_ANSWERED_MAX>;
};

/*
 * The software version that began a stream; 0 if it is not known. In a question
 * the age, in milliseconds, of the entries that the asking node knows: a node
 * that has started since does not say that it was told nothing.
 */
struct peer_origin_t {
	unsigned hyper stream;
	unsigned int software;
};

/* A message that asks has the streams alone. */
struct peer_origins_t {
	unsigned hyper sent;
	bool asks;
	peer_origin_t list<PEER_ORIGINS_MAX>;
};

/*
 * A stream that was begun at an upstream whose entry may describe an earlier
 * start. Its connection had reached one process for age_ms.
 */
struct peer_doubt_t {
	unsigned hyper stream;
	unsigned int software;
	unsigned hyper upstream;
	unsigned hyper address;
	unsigned hyper start;
	unsigned int age_ms;
};

struct peer_doubts_t {
	unsigned hyper sent;
	peer_doubt_t list<PEER_DOUBTS_MAX>;
};

/* An upstream that has a shared prompt cached. */
struct peer_warm_t {
	unsigned hyper prompt;
	unsigned int upstream;
	unsigned int age_ms;
};

/* A node that wants them has just started and is sent the newest. */
struct peer_warmth_t {
	unsigned hyper sent;
	bool wanted;
	peer_warm_t list<PEER_WARMTH_MAX>;
};

/*
 * Pending prompt tokens of the sender's requests at one upstream, and the pace
 * that it reported age_ms ago; a pace of 0 is unknown. prompt is the hash of
 * the shared prompt that the upstream begins to prefill, or 0.
 */
struct peer_work_entry_t {
	unsigned hyper prompt;
	unsigned int upstream;
	unsigned int tokens;
	unsigned int pace;
	unsigned int age_ms;
};

struct peer_work_t {
	unsigned hyper sent;
	unsigned int node;
	peer_work_entry_t list<PEER_WORK_MAX>;
};

/* Answers of one version on one route since the order. */
struct peer_rollout_counts_t {
	unsigned int answered;
	unsigned int failed;
	unsigned int timed;
	unsigned int slow;
	unsigned int upstreams;
	unsigned int first_ms;
	unsigned int whole_ms;
};

struct peer_rollout_route_t {
	unsigned int route;
	peer_rollout_counts_t sides[2];
};

/* What one node has seen of a roll-out. All counts but the open ones grow. */
struct peer_rollout_evidence_t {
	unsigned hyper sent;
	unsigned hyper order;
	unsigned hyper offset;
	unsigned int node;
	unsigned hyper incarnation;
	unsigned int age_ms;
	unsigned int seq;
	bool wants_state;
	unsigned int requests[2];
	unsigned int open_once;
	unsigned int open_streams;
	peer_rollout_route_t routes<PEER_ROLLOUT_ROUTES_MAX>;
};

/* Mean times of the old version on a route. */
struct peer_rollout_pace_t {
	unsigned int route;
	unsigned int first_ms;
	unsigned int whole_ms;
};

/* The state of a roll-out, from its deciding node or one that knows more. */
struct peer_rollout_state_t {
	unsigned hyper sent;
	unsigned hyper order;
	unsigned hyper offset;
	unsigned int node;
	unsigned int seq;
	unsigned int phase;
	bool recorded;
	unsigned int share_ppm;
	unsigned int age_ms;
	unsigned int requests[2];
	peer_rollout_pace_t paces<PEER_ROLLOUT_ROUTES_MAX>;
};

/* A software version whose upstreams were known age_ms ago. */
struct peer_version_t {
	string service<PEER_VERSION_TEXT_MAX>;
	string name<PEER_VERSION_TEXT_MAX>;
	unsigned int age_ms;
};

/* A node that wants them is sent all that may have begun a stream. */
struct peer_versions_t {
	unsigned hyper sent;
	bool wanted;
	peer_version_t list<PEER_VERSIONS_MAX>;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		void PEER_PING(peer_message_t) = 1;
		void PEER_ACK(peer_message_t) = 2;
		void PEER_PING_REQ(peer_message_t) = 3;
		void PEER_LOAN(peer_message_t) = 4;
		void PEER_LOADS(peer_message_t) = 5;
		/* 6 were reports without the key of the request. */
		void PEER_CRASHES(peer_crash_report_t) = 7;
		void PEER_ORIGINS(peer_origins_t) = 8;
		void PEER_DOUBTS(peer_doubts_t) = 9;
		void PEER_ROLLOUT_EVIDENCE(peer_rollout_evidence_t) = 10;
		void PEER_ROLLOUT_STATE(peer_rollout_state_t) = 11;
		void PEER_WORK(peer_work_t) = 12;
		void PEER_WARMTH(peer_warmth_t) = 13;
		void PEER_VERSIONS(peer_versions_t) = 14;
	} = 1;
} = 0x20004b43;
