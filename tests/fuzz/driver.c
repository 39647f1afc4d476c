/*
 * kcf-fuzz - seeded mutations of a small corpus through one target.
 *
 * usage: kcf-fuzz TARGET SEED RUNS CORPUS-FILE...
 */
#include "fuzz.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INPUT_MAX 4096
#define MUTATIONS_MAX 6

static const struct {
	const char *name;
	int (*run)(const uint8_t *data, size_t size);
} targets[] = {
	{ "datagram", fuzz_datagram }, { "settings", fuzz_settings },
	{ "resource", fuzz_resource }, { "record", fuzz_record },
	{ "events", fuzz_events },     { "headers", fuzz_headers },
	{ "platform", fuzz_platform },
};

static void mutate_(GRand *rand, GByteArray *input)
{
	guint at = input->len ? (guint)g_rand_int_range(rand, 0,
							(gint32)input->len)
			      : 0;
	guint8 byte = (guint8)g_rand_int_range(rand, 0, 256);

	switch (input->len ? g_rand_int_range(rand, 0, 5) : 0) {
	case 0:
		if (input->len < INPUT_MAX)
			g_byte_array_append(input, &byte, 1);
		break;
	case 1:
		input->data[at] = byte;
		break;
	case 2:
		input->data[at] ^= (guint8)(1u << (byte % 8));
		break;
	case 3:
		g_byte_array_set_size(input, at);
		break;
	default:
		g_byte_array_remove_index(input, at);
	}
}

int main(int argc, char **argv)
{
	int (*run)(const uint8_t *data, size_t size) = NULL;
	GRand *rand;
	long runs;

	if (argc < 5 || sodium_init() < 0)
		return 2;
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (!strcmp(targets[i].name, argv[1]))
			run = targets[i].run;
	}
	if (!run)
		return 2;
	rand = g_rand_new_with_seed((guint32)strtol(argv[2], NULL, 10));
	runs = strtol(argv[3], NULL, 10);
	for (long i = 0; i < runs; i++) {
		const char *file =
			argv[4 + g_rand_int_range(rand, 0, argc - 4)];
		GByteArray *input;
		gchar *text;
		gsize len;

		if (!g_file_get_contents(file, &text, &len, NULL))
			return 2;
		input = g_byte_array_new_take((guint8 *)text, len);
		for (int n = g_rand_int_range(rand, 0, MUTATIONS_MAX); n >= 0;
		     n--)
			mutate_(rand, input);
		run(input->data, input->len);
		g_byte_array_unref(input);
	}
	g_rand_free(rand);
	printf("%s: %ld runs\n", argv[1], runs);
	return 0;
}
