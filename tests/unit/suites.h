/*
 * suites - unit test suites, one per module.
 */
#ifndef KCF_SUITES_H
#define KCF_SUITES_H

#include <check.h>

Suite *admission_suite(void);
Suite *backlog_suite(void);
Suite *balance_suite(void);
Suite *coalesce_suite(void);
Suite *config_suite(void);
Suite *datagram_suite(void);
Suite *end_proof_suite(void);
Suite *fairq_suite(void);
Suite *feed_epochs_suite(void);
Suite *feed_outage_suite(void);
Suite *feed_scan_suite(void);
Suite *feeds_suite(void);
Suite *fleet_roles_suite(void);
Suite *gateway_conf_suite(void);
Suite *hop_suite(void);
Suite *http_client_suite(void);
Suite *latency_suite(void);
Suite *limit_suite(void);
Suite *logline_suite(void);
Suite *lru_suite(void);
Suite *member_suite(void);
Suite *member_mass_suite(void);
Suite *once_suite(void);
Suite *once_key_suite(void);
Suite *origins_suite(void);
Suite *peer_socket_suite(void);
Suite *platform_suite(void);
Suite *power_suite(void);
Suite *quarantine_suite(void);
Suite *rank_suite(void);
Suite *brittle_suite(void);
Suite *rate_limit_suite(void);
Suite *retry_budget_suite(void);
Suite *reach_suite(void);
Suite *rollout_suite(void);
Suite *routing_suite(void);
Suite *schema_suite(void);
Suite *sched_suite(void);
Suite *served_model_suite(void);
Suite *settings_suite(void);
Suite *shares_suite(void);
Suite *socket_times_suite(void);
Suite *sse_suite(void);
Suite *start_order_suite(void);
Suite *str_suite(void);
Suite *view_suite(void);
Suite *warmth_suite(void);
Suite *work_suite(void);

#endif
