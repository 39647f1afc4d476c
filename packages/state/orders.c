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
	g_free(c->try_id);
	g_free(c);
}

void order_book_init(order_book_t *b)
{
	assert(b);
	*b = (order_book_t){ .next = 1 };
	b->claims = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  claim_free_);
}

void order_book_finish(order_book_t *b)
{
	g_hash_table_destroy(b->claims);
}

char *order_record(const char *upstream, const char *try_id, mstime_t gap_ms)
{
	return json_text(json_pack("{s:i,s:s,s:s,s:s,s:I}", "v", RECORD_FORMAT,
				   "type", "claim", "upstream", upstream, "try",
				   try_id, "gap_ms", (json_int_t)gap_ms));
}

void order_fold(order_book_t *b, uint64_t offset, mstime_t wall, str_t record)
{
	json_t *o;
	const char *upstream;
	const char *try_id;
	json_int_t gap;
	order_claim_t *c;
	const order_claim_t *former;

	if (offset < b->next)
		return;
	b->next = offset + 1;
	o = json_loadb(record.data ? record.data : "", record.len, 0, NULL);
	if (json_unpack(o, "{s:s,s:s,s:I}", "upstream", &upstream, "try",
			&try_id, "gap_ms", &gap) != 0 ||
	    gap < 0 || gap > GAP_MAX_MS) {
		json_decref(o);
		return;
	}
	former = g_hash_table_lookup(b->claims, upstream);
	c = g_new0(order_claim_t, 1);
	c->upstream = g_strdup(upstream);
	c->try_id = g_strdup(try_id);
	c->offset = offset;
	c->turn = MAX(wall, b->next_turn);
	c->expires = c->turn + ORDER_CLAIM_MS;
	c->former_expires = former ? former->expires : 0;
	b->next_turn = c->turn + gap;
	g_hash_table_replace(b->claims, c->upstream, c);
	json_decref(o);
}

const order_claim_t *order_find(const order_book_t *b, const char *upstream)
{
	return g_hash_table_lookup(b->claims, upstream);
}

bool order_may_send(const order_claim_t *c, mstime_t wall, bool fencing)
{
	if (wall < c->turn || wall > c->expires - ORDER_GUARD_MS)
		return false;
	return fencing || wall >= c->former_expires;
}
