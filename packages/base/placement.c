#include <kcf/placement.h>

#include <stddef.h>
#include <string.h>

const char *const placement_string[] = { "bounded", "random", "least_loaded",
					 "hash", NULL };

placement_t placement_parse(const char *word)
{
	int p = PLACEMENT_BOUNDED;

	while (word && p < PLACEMENT_COUNT &&
	       strcmp(placement_string[p], word) != 0)
		p++;
	return (placement_t)p;
}
