#include "suites.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	Suite *(*make)(void);
} suites[] = {
	{ "admission", admission_suite },
	{ "feed_epochs", feed_epochs_suite },
	{ "feed_outage", feed_outage_suite },
	{ "feed_scan", feed_scan_suite },
	{ "feeds", feeds_suite },
	{ "latency", latency_suite },
	{ "balance", balance_suite },
	{ "peer_socket", peer_socket_suite },
	{ "platform", platform_suite },
	{ "retry_budget", retry_budget_suite },
	{ "rollout", rollout_suite },
	{ "routing", routing_suite },
	{ "brittle", brittle_suite },
	{ "backlog", backlog_suite },
	{ "coalesce", coalesce_suite },
	{ "config", config_suite },
	{ "datagram", datagram_suite },
	{ "fairq", fairq_suite },
	{ "gateway_conf", gateway_conf_suite },
	{ "hop", hop_suite },
	{ "http_client", http_client_suite },
	{ "limit", limit_suite },
	{ "logline", logline_suite },
	{ "lru", lru_suite },
	{ "member", member_suite },
	{ "member_mass", member_mass_suite },
	{ "once", once_suite },
	{ "once_key", once_key_suite },
	{ "origins", origins_suite },
	{ "power", power_suite },
	{ "quarantine", quarantine_suite },
	{ "rank", rank_suite },
	{ "rate_limit", rate_limit_suite },
	{ "end_proof", end_proof_suite },
	{ "reach", reach_suite },
	{ "start_order", start_order_suite },
	{ "schema", schema_suite },
	{ "sched", sched_suite },
	{ "served_model", served_model_suite },
	{ "settings", settings_suite },
	{ "shares", shares_suite },
	{ "socket_times", socket_times_suite },
	{ "sse", sse_suite },
	{ "str", str_suite },
	{ "view", view_suite },
	{ "warmth", warmth_suite },
	{ "work", work_suite },
	{ "fleet_roles", fleet_roles_suite },
};

/* usage: kcf-unit SUITE */
int main(int argc, char **argv)
{
	SRunner *runner = NULL;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	for (size_t i = 0; i < sizeof(suites) / sizeof(suites[0]); i++) {
		if (argc == 2 && !strcmp(argv[1], suites[i].name))
			runner = srunner_create(suites[i].make());
	}
	if (!runner)
		return EXIT_FAILURE;
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
