#include "private/load.h"

#include <stdio.h>
#include <string.h>

bool load_options_customers(load_t *l)
{
	char **list = g_strsplit(l->o.keys     ? l->o.keys
				 : l->ctl->key ? l->ctl->key
					       : "",
				 ",", KEYS_MAX);

	for (char **k = list; *k && l->customer_count < KEYS_MAX; k++) {
		customer_load_t *c = &l->customers[l->customer_count];
		char *eq = strchr(*k, '=');

		c->share = eq ? g_ascii_strtod(eq + 1, NULL) : 1;
		if (eq)
			*eq = '\0';
		if (!**k || c->share <= 0)
			continue;
		c->key = g_strdup(*k);
		samples_init(&c->total_ms);
		l->share_sum += c->share;
		l->customer_count++;
	}
	g_strfreev(list);
	return l->customer_count > 0;
}

bool load_options_parse(load_options_t *o, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "model", 0, 0, G_OPTION_ARG_STRING, &o->model, "Model",
		  "NAME" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		  "Service of the model", "NAME" },
		{ "keys", 0, 0, G_OPTION_ARG_STRING, &o->keys,
		  "Customers' keys with their shares", "KEY[=SHARE],..." },
		{ "surge", 0, 0, G_OPTION_ARG_STRING, &o->surge,
		  "One customer sends more for a while",
		  "CUSTOMER:FACTOR:FROM_MS:TO_MS" },
		{ "direct", 0, 0, G_OPTION_ARG_STRING, &o->direct,
		  "Send to this address alone", "IP:PORT" },
		{ "any", 0, 0, G_OPTION_ARG_NONE, &o->any,
		  "Use the given node without asking where", NULL },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &o->rate,
		  "Requests a second", "N" },
		{ "duration-ms", 0, 0, G_OPTION_ARG_INT, &o->duration_ms,
		  "Time of arrivals", "MS" },
		{ "warmup-ms", 0, 0, G_OPTION_ARG_INT, &o->warmup_ms,
		  "Answers before this do not count", "MS" },
		{ "chats", 0, 0, G_OPTION_ARG_INT, &o->chats,
		  "Chats that return", "N" },
		{ "prompt-bytes", 0, 0, G_OPTION_ARG_INT, &o->prompt_bytes,
		  "First prompt of a chat", "N" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &o->max_tokens,
		  "Tokens of an answer", "N" },
		{ "deadline-ms", 0, 0, G_OPTION_ARG_INT, &o->deadline_ms,
		  "Deadline of a request", "MS" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &o->seed,
		  "Of arrivals and chats", "N" },
		{ "stream", 0, 0, G_OPTION_ARG_NONE, &o->stream,
		  "Ask for streams", NULL },
		{ "once-share", 0, 0, G_OPTION_ARG_DOUBLE, &o->once_share,
		  "Share of run-once calls", "0..1" },
		{ "plot", 0, 0, G_OPTION_ARG_FILENAME, &o->plot,
		  "Write a picture of latencies over time", "FILE.png" },
		{ "once-path", 0, 0, G_OPTION_ARG_STRING, &o->once_path,
		  "Path of run-once calls", "PATH" },
		{ 0 },
	};
	const char *word;

	if (!ctl_options("load", entries, argc, argv, &word))
		return false;
	if (!word && o->model && o->service && o->rate > 0 &&
	    o->duration_ms > 0)
		return true;
	fprintf(stderr, "usage: kcfctl load --model M --service S "
			"--rate N --duration-ms N [...]\n");
	return false;
}
