#include <kcf/placement.h>

#include <stddef.h>
#include <string.h>

const char *const placement_string[] = { "bounded", "random", "least_loaded",
					 "hash", NULL };

placement_t placement_parse(const char *name)
{
	int p = PLACEMENT_BOUNDED;

	while (name && p < PLACEMENT_COUNT &&
	       strcmp(placement_string[p], name) != 0)
		p++;
	return (placement_t)p;
}
