#include <kcf/rank.h>

#include <math.h>
#include <xxhash.h>

/* All integers up to 2^53 are exact in a double. */
#define TWO_POW_MINUS_53 (1.0 / 9007199254740992.0)

double rank_score(uint64_t key, uint64_t entry, double weight)
{
	uint64_t h;
	double u;

	if (weight <= 0)
		return 0;
	h = XXH3_64bits_withSeed(&entry, sizeof(entry), key);
	u = ((double)(h >> 11) + 0.5) * TWO_POW_MINUS_53;
	return -weight / log(u);
}
