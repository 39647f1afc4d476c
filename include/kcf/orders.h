/*
 * orders - claims to send orders to upstreams, a state machine over a log
 * stream.
 *
 * The offset of a claim is its fencing token, and the latest claim on an
 * upstream replaces earlier ones. Each claim has a turn at the weight store;
 * turns follow the order of the log, spaced to keep to the store's rate.
 */
#ifndef KCF_ORDERS_H
#define KCF_ORDERS_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/str.h>

/* A claim expires this long after its turn begins. */
#define ORDER_CLAIM_MS 15000
/* An order is not sent later than this before its claim expires. */
#define ORDER_SEND_MARGIN_MS 4000

typedef struct order_claim {
	char *upstream;
	char *attempt_id;
	uint64_t offset;	   /* fencing token */
	mstime_t turn;		   /* wall time at which its turn begins */
	mstime_t expires;	   /* wall time */
	mstime_t previous_expires; /* of the claim before, or 0 */
} order_claim_t;

typedef struct order_claims {
	GHashTable *by_upstream; /* upstream to order_claim_t * */
	uint64_t next_offset;	 /* next offset to read */
	mstime_t next_turn; /* earliest wall time of the next claim's turn */
} order_claims_t;

/*
 * order_claims_init - no claims, nothing read; release with
 * order_claims_finish.
 */
void order_claims_init(order_claims_t *b);
void order_claims_finish(order_claims_t *b);

/*
 * order_claim_record - log record of a claim; free with g_free.
 * @gap_ms: least time to the next turn, from the weight store's rate
 */
char *order_claim_record(const char *upstream, const char *attempt_id,
			 mstime_t gap_ms);

/*
 * order_apply_record - applies the next record; malformed ones are skipped.
 * @wall: wall time at which the log stored it
 */
void order_apply_record(order_claims_t *b, uint64_t offset, mstime_t wall,
			str_t record);

/*
 * order_find_claim - latest claim on an upstream, or NULL.
 */
const order_claim_t *order_find_claim(const order_claims_t *b,
				      const char *upstream);

/*
 * order_may_send - whether the order of a claim may be sent at a wall time.
 * @fencing: the upstream rejects orders with an older fencing token; if not,
 * the order must wait until the previous claim has expired
 */
bool order_may_send(const order_claim_t *c, mstime_t wall, bool fencing);

#endif
