#ifndef TARRAGONFLOW_COMMON_COUNTER_H
#define TARRAGONFLOW_COMMON_COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

/**
 * Counters of one process, with their exported names: one for each reason to
 * refuse, drop or retry, and for other events. docs/COUNTERS.md explains each
 * and what an operator should do about it; a test compares that page with this
 * list.
 */
#define COUNTER_LIST(X)                                                       \
	X(PACKET_RECEIVED, "packets_received")                                \
	X(PACKET_FORWARDED, "packets_forwarded")                              \
	X(PACKET_DELIVERED_TO_SERVER, "packets_delivered_to_server")          \
	X(PACKET_RETURNED_TO_FABRIC, "packets_returned_to_fabric")            \
	X(PACKET_FORWARDED_BY_AGENT, "packets_handed_on")                     \
	X(OPEN_FORWARDED, "opens_handed_on")                                  \
	X(DROP_MALFORMED_PACKET, "drop_malformed_packet")                     \
	X(DROP_MALFORMED_HEADER, "drop_malformed_header")                     \
	X(DROP_BAD_TAG, "drop_bad_tag")                                       \
	X(DROP_FRAGMENT, "drop_fragment")                                     \
	X(DROP_CHECKSUM, "drop_bad_checksum")                                 \
	X(DROP_PROTOCOL, "drop_other_protocol")                               \
	X(DROP_UNSIGNED, "drop_unsigned_packet")                              \
	X(DROP_UNKNOWN_KEY, "drop_unknown_key")                               \
	X(DROP_REPLAYED, "drop_replayed_packet")                              \
	X(DROP_SENDER_TABLE_FULL, "drop_sender_table_full")                   \
	X(MSS_CLAMPED, "segment_sizes_lowered")                               \
	X(DROP_NO_CONFIG, "drop_no_configuration")                            \
	X(DROP_NO_SERVICE, "drop_no_such_service")                            \
	X(DROP_NO_SERVER, "drop_no_backend_server")                           \
	X(DROP_WRONG_SERVICE, "drop_wrong_service")                           \
	X(ZONE_OUT_FORWARDED, "zone_out_handed_on")                           \
	X(DROP_HOP_BUDGET, "drop_hop_budget")                                 \
	X(DROP_STALE_VIEW, "drop_stale_view")                                 \
	X(DROP_NO_OWNER, "drop_no_owner")                                     \
	X(DROP_RING_FULL, "drop_ring_full")                                   \
	X(DROP_SEND_FAILED, "drop_send_failed")                               \
	X(REFUSE_CONNECTION_LIMIT, "refuse_connection_limit")                 \
	X(REFUSE_COLD_START, "refuse_cold_start")                             \
	X(REFUSE_DRAINING, "refuse_draining")                                 \
	X(REFUSE_TABLE_FULL, "refuse_flow_table_full")                        \
	X(FLOW_OPENED, "flows_opened")                                        \
	X(FLOW_CLOSED, "flows_closed")                                        \
	X(FLOW_EXPIRED, "flows_expired")                                      \
	X(CONTROL_RECEIVED, "control_messages_received")                      \
	X(CONTROL_SENT, "control_messages_sent")                              \
	X(CONTROL_BYTES_SENT, "control_bytes_sent")                           \
	X(CONTROL_DROP_MALFORMED, "control_drop_malformed")                   \
	X(CONTROL_DROP_BAD_TAG, "control_drop_bad_tag")                       \
	X(CONTROL_DROP_REPLAYED, "control_drop_replayed")                     \
	X(CONTROL_DROP_OLD_INSTANCE, "control_drop_old_instance")             \
	X(CONTROL_DROP_OWN_NAME, "control_drop_own_name")                     \
	X(CONTROL_DELAYED_BY_BUDGET, "control_delayed_by_budget")             \
	X(GOSSIP_QUEUE_FULL, "gossip_queue_full")                             \
	X(MEMBER_SUSPECTED, "members_suspected")                              \
	X(MEMBER_DECLARED_DEAD, "members_declared_dead")                      \
	X(SUSPICION_REFUTED, "suspicions_refuted")                            \
	X(ZONE_LOSS_REPORTED, "zone_losses_reported")                         \
	X(PAUSE_DETECTED, "pauses_detected")                                  \
	X(CONFIG_APPLIED, "config_applied")                                   \
	X(CONFIG_OLDER_IGNORED, "config_older_ignored")                       \
	X(CONFIG_DEFERRED, "config_held")                                     \
	X(CONFIG_PULLED, "config_pulled")                                     \
	X(CONFIG_PULL_FAILED, "config_pull_failed")                           \
	X(PLATFORM_GET, "platform_calls_get")                                 \
	X(PLATFORM_LIST, "platform_calls_list")                               \
	X(PLATFORM_PUT, "platform_calls_put")                                 \
	X(PLATFORM_DELETE, "platform_calls_delete")                           \
	X(PLATFORM_WATCH, "platform_calls_watch")                             \
	X(PLATFORM_FAILED, "platform_calls_failed")                           \
	X(OWNER_HINT_SENT, "owner_hints_sent")                                \
	X(OWNER_HINT_RECEIVED, "owner_hints_received")                        \
	X(OWNER_HINT_USED, "owner_hints_used")                                \
	X(LOAD_REPORT_SENT, "load_notices_sent")                              \
	X(CHAIN_RECOMPUTED, "chains_resolved_again")                          \
	X(OPEN_PLACED_BY_LOAD, "opens_placed_by_load")                        \
	X(OPEN_RETRANSMITTED, "opens_repeated")                               \
	X(OPEN_LOST_RACE, "opens_lost_race")                                  \
	X(STALE_INSTANCE, "stale_instance")                                   \
	X(DROP_SEARCH_LIMIT, "drop_search_limit")                             \
	X(DROP_OPEN_UNCERTAIN, "drop_open_unsure")                            \
	X(DROP_LATE_OPEN, "drop_late_open")                                   \
	X(REFUSE_NO_CAPACITY, "refuse_no_room")                               \
	X(REFUSE_SERVER_DOWN, "refuse_server_down")                           \
	X(REFUSE_BY_SERVER, "refuse_by_server")                               \
	X(SERVER_TREATED_AS_COLD, "turned_cold")                              \
	X(FLOW_TAKEN_OVER, "flows_taken_over")                                \
	X(FLOW_EVICTED, "flows_evicted")                                      \
	X(PLATFORM_CONFLICT, "platform_conflicts")                            \
	X(PLATFORM_RESTORED, "platform_restored")                             \
	X(PLATFORM_RETRY_NO_RESPONSE, "platform_retry_no_answer")             \
	X(PLATFORM_RETRY_CONFLICT, "platform_retry_conflict")                 \
	X(PLATFORM_RETRY_UNKNOWN, "platform_retry_unknown")                   \
	X(PLATFORM_RETRY_GONE, "platform_retry_gone")                         \
	X(PLATFORM_RETRY_EXPIRED, "platform_retry_expired")                   \
	X(PLATFORM_RETRY_NO_PEER_CONTACT, "platform_retry_no_news")           \
	X(PLATFORM_RETRY_BUDGET, "platform_retry_budget")                     \
	X(PLATFORM_LATE_RESULT, "platform_late_results")                      \
	X(PLATFORM_WRITE_CONFIRMED, "platform_writes_found")                  \
	X(ROSTER_SHARD_WRITTEN, "roster_shards_written")                      \
	X(ORDER_FINISHED, "orders_done")                                      \
	X(ORDER_DISPATCHED, "orders_dispatched")                              \
	X(ORDER_RETRIED, "orders_retried")                                    \
	X(ORDER_FORWARDED, "orders_handed_on")                                \
	X(ORDER_TRANSFER_DUPLICATE, "order_transfers_doubled")                \
	X(ORDER_RESPONSE_LATE, "order_answers_late")                          \
	X(ORDER_RESPONSE_UNMATCHED, "order_answers_foreign")                  \
	X(ORDER_REFUSE_QUEUE_FULL, "refuse_order_queue_full")                 \
	X(ORDER_REFUSE_CALLER_LIMIT, "refuse_order_caller_limit")             \
	X(ORDER_REFUSE_DEADLINE, "refuse_order_deadline")                     \
	X(ORDER_REFUSE_DRAINING, "refuse_order_draining")                     \
	X(ORDER_CANCELLED, "orders_cancelled")                                \
	X(ORDER_REFUSE_SUPERSEDED, "refuse_order_superseded")                 \
	X(ORDER_REFUSE_SERVER_UNREACHABLE, "refuse_order_server_unreachable") \
	X(ORDER_UNKNOWN_SERVER_LOST, "unknown_order_server_lost")             \
	X(ORDER_REPEATED_DONE, "orders_repeated_done")                        \
	X(ORDER_REPEATED_RUNNING, "orders_repeated_running")                  \
	X(ORDER_REPEATED_UNKNOWN, "orders_repeated_unknown")                  \
	X(ORDER_UNKNOWN_HOME_NO_RESPONSE, "unknown_order_homes_silent")       \
	X(ORDER_UNKNOWN_HOMES_REPLACED, "unknown_order_homes_new")            \
	X(ORDER_UNKNOWN_HOME_FULL, "unknown_order_homes_full")                \
	X(ORDER_UNKNOWN_OVERLOAD, "unknown_order_overload")                   \
	X(ORDER_UNKNOWN_FORWARD_LOST, "unknown_order_handed_on_lost")         \
	X(CLAIM_GRANTED, "claims_granted")                                    \
	X(CLAIM_DENIED, "claims_not_granted")                                 \
	X(CLAIM_RESPONSE_LATE, "claim_answers_late")                          \
	X(STRAY_FORWARDED, "stray_handed_on")                                 \
	X(DROP_OPEN_WARMING, "drop_open_warming")                             \
	X(HOME_LIST_ADOPTED, "home_lists_adopted")                            \
	X(REFUSE_NO_SERVER_REPORT, "refuse_server_unheard")                   \
	X(SERVER_REPORT_HELD, "server_reports_held")                          \
	X(PACKET_OFFERED_TO_SERVER, "servers_asked")                          \
	X(PACKET_REJECTED_BY_SERVER, "servers_returned")                      \
	X(SERVER_RESTARTED, "servers_restarted")                              \
	X(SERVER_FAILING, "servers_failing")                                  \
	X(RESET_CONNECTION_LOST, "resets_lost_connection")                    \
	X(FLOW_ADOPTED, "flows_adopted")                                      \
	X(LOAD_REPORT_RECEIVED, "loads_heard")                                \
	X(RESET_NO_OWNER, "resets_no_owner")                                  \
	X(DROP_ZONE_CUT, "drop_zone_cut")                                     \
	X(OPEN_QUEUED, "opens_waited")                                        \
	X(OPEN_OFFLOADED, "opens_relieved")                                   \
	X(REFUSE_EXPECTED_WAIT, "refuse_wait_hopeless")                       \
	X(REFUSE_NO_SERVER_IN_TIME, "refuse_no_server_in_time")               \
	X(REFUSE_WAIT_EXPIRED, "refuse_waited_too_long")                      \
	X(PACKET_RELAYED, "packets_relayed")                                  \
	X(PACKET_PACED, "packets_paced")                                      \
	X(DROP_LINK_BUSY, "drop_link_busy")

enum counter_id {
#define COUNTER_ENUM(id, name) COUNTER_##id,
	COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_COUNT
};

/** Counter values of one process or core; any thread may read them. */
struct counters {
	_Atomic uint64_t value[COUNTER_COUNT];
};

void counters_init(struct counters *counters);
void counter_add(struct counters *counters, enum counter_id id, uint64_t n);
void counter_inc(struct counters *counters, enum counter_id id);
uint64_t counter_get(const struct counters *counters, enum counter_id id);

/** The exported name of @id, without the metric prefix. */
const char *counter_name(enum counter_id id);

#endif
