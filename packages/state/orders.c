#include <kcf/json_text.h>
#include <kcf/orders.h>

#include <assert.h>
#include <jansson.h>

#define RECORD_FORMAT 1
#define GAP_MAX_MS 3600000

static void claim_free_(gpointer p)
{
	order_claim_t *c = p;

	g_free(c->upstream);
	g_free(c->attempt_id);
	g_free(c);
}

void order_claims_init(order_claims_t *b)
{
	assert(b);
	*b = (order_claims_t){ .next_offset = 1 };
	b->by_upstream = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       claim_free_);
}

void order_claims_finish(order_claims_t *b)
{
	g_hash_table_destroy(b->by_upstream);
}

char *order_claim_record(const char *upstream, const char *attempt_id,
			 mstime_t gap_ms)
{
	return json_text(json_pack("{s:i,s:s,s:s,s:s,s:I}", "v", RECORD_FORMAT,
				   "type", "claim", "upstream", upstream, "try",
				   attempt_id, "gap_ms", (json_int_t)gap_ms));
}

void order_apply_record(order_claims_t *b, uint64_t offset, mstime_t wall,
			str_t record)
{
	json_t *o;
	const char *upstream;
	const char *attempt_id;
	json_int_t gap;
	order_claim_t *c;
	const order_claim_t *previous;

	if (offset < b->next_offset)
		return;
	b->next_offset = offset + 1;
	o = json_loadb(record.data ? record.data : "", record.len, 0, NULL);
	if (json_unpack(o, "{s:s,s:s,s:I}", "upstream", &upstream, "try",
			&attempt_id, "gap_ms", &gap) != 0 ||
	    gap < 0 || gap > GAP_MAX_MS) {
		json_decref(o);
		return;
	}
	previous = g_hash_table_lookup(b->by_upstream, upstream);
	c = g_new0(order_claim_t, 1);
	c->upstream = g_strdup(upstream);
	c->attempt_id = g_strdup(attempt_id);
	c->offset = offset;
	c->turn = MAX(wall, b->next_turn);
	c->expires = c->turn + ORDER_CLAIM_MS;
	c->previous_expires = previous ? previous->expires : 0;
	b->next_turn = c->turn + gap;
	g_hash_table_replace(b->by_upstream, c->upstream, c);
	json_decref(o);
}

const order_claim_t *order_find_claim(const order_claims_t *b,
				      const char *upstream)
{
	return g_hash_table_lookup(b->by_upstream, upstream);
}

bool order_may_send(const order_claim_t *c, mstime_t wall, bool fencing)
{
	if (wall < c->turn || wall > c->expires - ORDER_SEND_MARGIN_MS)
		return false;
	return fencing || wall >= c->previous_expires;
}
