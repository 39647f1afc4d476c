/*
 * kcf-model - runs the state machines through random sequences of events.
 *
 * usage: kcf-model config|once|origins|quarantine|rollout SEED SEQUENCES
 * Prints the seed of the first sequence that violates an invariant and exits
 * with 1.
 */
#include "model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	bool (*run)(guint32 seed);
} machines[] = {
	{ "config", model_config },   { "once", model_once },
	{ "origins", model_origins }, { "quarantine", model_quarantine },
	{ "rollout", model_rollout },
};

int main(int argc, char **argv)
{
	long seed;
	long sequences;
	bool (*run)(guint32 seed) = NULL;

	if (argc != 4)
		return 2;
	for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
		if (!strcmp(argv[1], machines[i].name))
			run = machines[i].run;
	}
	if (!run)
		return 2;
	seed = strtol(argv[2], NULL, 10);
	sequences = strtol(argv[3], NULL, 10);
	for (long i = 0; i < sequences; i++) {
		if (run((guint32)(seed + i)))
			continue;
		printf("%s: seed %ld violates an invariant\n", argv[1],
		       seed + i);
		return 1;
	}
	printf("%s: %ld sequences from seed %ld passed\n", argv[1], sequences,
	       seed);
	return 0;
}
