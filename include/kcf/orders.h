/*
 * orders - claims to give orders to upstreams, a state machine over a log
 * stream.
 *
 * The offset of a claim is its fencing number. The latest claim on an upstream
 * is the one that holds. Claims also take their turn at the weight store,
 * spaced in the log's order by its rate.
 */
#ifndef KCF_ORDERS_H
#define KCF_ORDERS_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/str.h>

/* Life of a claim. */
#define ORDER_CLAIM_MS 15000
/* An order is sent at the latest this long before its claim ends. */
#define ORDER_GUARD_MS 4000

typedef struct order_claim {
	char *upstream;
	char *attempt_id;
	uint64_t offset;  /* fencing number */
	mstime_t turn;	  /* wall time of its turn at the weight store */
	mstime_t expires; /* wall time */
	mstime_t previous_expires; /* of the claim before; 0 for none */
} order_claim_t;

typedef struct order_claims {
	GHashTable *by_upstream; /* upstream to order_claim_t * */
	uint64_t next_offset;	 /* offset to be read next */
	mstime_t next_turn; /* wall time at which the weight store is free */
} order_claims_t;

void order_claims_init(order_claims_t *b);
void order_claims_finish(order_claims_t *b);

/*
 * order_claim_record - text of a claim, to be freed with g_free.
 * @gap_ms: time that one load takes of the weight store's rate
 */
char *order_claim_record(const char *upstream, const char *attempt_id,
			 mstime_t gap_ms);

/*
 * order_apply_record - takes the next record; what cannot be read is passed
 * over.
 * @wall: wall time at which the log took it
 */
void order_apply_record(order_claims_t *b, uint64_t offset, mstime_t wall,
			str_t record);

/*
 * order_find_claim - the claim that holds, or NULL.
 */
const order_claim_t *order_find_claim(const order_claims_t *b,
				      const char *upstream);

/*
 * order_may_send - whether the order of a claim may be sent at a wall time.
 * @fencing: the upstream refuses old fencing numbers; one that does not is
 * given orders only after the claim before has surely ended
 */
bool order_may_send(const order_claim_t *c, mstime_t wall, bool fencing);

#endif
