/**
 * Metrics: counters, gauges and histograms, each declared in a table with its type and description.
 * The Prometheus output, the status view and the documentation are generated from these tables.
 */
#ifndef TEALSPAR_COUNTERS_H
#define TEALSPAR_COUNTERS_H

#include <glib.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/error.h"

/* X(symbol, type, name, description); the type is counter (monotonic) or gauge. */
#define TS_COUNTER_TABLE(X)                                                                        \
    X(QUERIES, counter, "queries_total", "queries received from callers")                          \
    X(QUERIES_IN_FLIGHT, gauge, "queries_in_flight", "queries in progress")                        \
    X(ANSWERED, counter, "queries_answered_total", "queries answered")                             \
    X(REFUSED, counter, "queries_refused_total", "queries refused without execution")              \
    X(UNKNOWN, counter, "queries_unknown_total",                                                   \
      "queries without an answer that may have been executed")                                     \
    X(ABANDONED, counter, "queries_abandoned_total",                                               \
      "queries whose caller disconnected before the answer")                                       \
    X(PARTIAL, counter, "answers_partial_total", "answers with less than full coverage")           \
    X(SUBREQUESTS, counter, "subrequests_total", "subrequests sent to brokers")                    \
    X(SUBREQUESTS_LOCAL, counter, "subrequests_local_total",                                       \
      "subrequests sent to the broker of this node")                                               \
    X(SUBREPLIES, counter, "subreplies_total", "subreplies received")                              \
    X(SUBREPLIES_UNMATCHED, counter, "subreplies_unmatched_total",                                 \
      "subreplies dropped because no subrequest was waiting for them")                             \
    X(HEDGES, counter, "hedges_total", "hedged subrequests sent because the first is slow")        \
    X(HEDGES_DENIED, counter, "hedges_denied_total",                                               \
      "hedges not sent because the budget was exhausted")                                          \
    X(RETRIES, counter, "retries_total", "subrequests retried after a failure")                    \
    X(RETRIES_DENIED, counter, "retries_denied_total",                                             \
      "retries not sent because the budget was exhausted")                                         \
    X(EXTRAS_LENT, counter, "extra_sends_lent_total",                                              \
      "retry budget lent to other nodes, in sends")                                                \
    X(EXTRAS_BORROWED, counter, "extra_sends_borrowed_total",                                      \
      "retry budget borrowed from other nodes, in sends")                                          \
    X(SNAPSHOT_ASKED_AGAIN, counter, "snapshot_asked_again_total",                                 \
      "shards queried again because they answered from another snapshot")                          \
    X(PEERS_SILENT, counter, "peers_silent_total",                                                 \
      "times a node left several subrequests unanswered for some time")                            \
    X(CANCELS, counter, "cancels_total", "cancellations sent to brokers")                          \
    X(BROKER_ADMITTED, counter, "broker_admitted_total", "subrequests admitted by this broker")    \
    X(BROKER_REFUSED, counter, "broker_refused_total", "subrequests refused by this broker")       \
    X(BROKER_QUEUED, gauge, "broker_queued", "subrequests waiting for a slot")                     \
    X(BROKER_SLOTS_IN_USE, gauge, "broker_slots_in_use", "slots in use")                           \
    X(BROKER_OWNED, gauge, "broker_owned_backends", "backends owned by this node")                 \
    X(BROKER_CANCELLED, counter, "broker_cancelled_total", "subrequests cancelled at this broker") \
    X(SEARCHER_REQUESTS, counter, "searcher_requests_total", "requests sent to searchers")         \
    X(SEARCHER_ERRORS, counter, "searcher_errors_total", "failed requests to searchers")           \
    X(IDEMPOTENCY_ENTRIES, gauge, "idempotency_entries",                                           \
      "ids of unrepeatable requests in the idempotency table")                                     \
    X(IDEMPOTENCY_REPLAYED, counter, "idempotency_replayed_total",                                 \
      "repeated requests answered from the idempotency table")                                     \
    X(MESH_MESSAGES_SENT, counter, "mesh_messages_sent_total", "messages sent to other nodes")     \
    X(MESH_MESSAGES_RECEIVED, counter, "mesh_messages_received_total",                             \
      "messages received from other nodes")                                                        \
    X(MESH_MESSAGES_DROPPED, counter, "mesh_messages_dropped_total",                               \
      "messages to other nodes that were dropped")                                                 \
    X(MESH_BYTES_SENT, counter, "mesh_bytes_sent_total", "bytes of messages sent to other nodes")  \
    X(MESH_BYTES_RECEIVED, counter, "mesh_bytes_received_total",                                   \
      "bytes of messages received from other nodes")                                               \
    X(MESH_REFUSED, counter, "mesh_messages_refused_total",                                        \
      "messages refused: malformed, or of another cluster or protocol version")                    \
    X(MESH_PEERS, gauge, "mesh_peers", "connections to other nodes")                               \
    X(CONTROL_BYTES_SENT, counter, "control_bytes_sent_total", "bytes of control messages sent")   \
    X(MEMBERS_LIVE, gauge, "members_live", "nodes considered live, including this one")            \
    X(MEMBERS_SUSPECT, gauge, "members_suspect", "nodes suspected to be dead")                     \
    X(MEMBER_DEATHS, counter, "member_deaths_total", "nodes declared dead")                        \
    X(MEMBER_REFUTATIONS, counter, "member_refutations_total",                                     \
      "times this node refuted a suspicion against itself")                                        \
    X(CONFIG_VERSION, gauge, "config_version", "version of the declarations in effect")            \
    X(CONFIG_ACCEPTED, counter, "config_accepted_total", "declarations accepted and applied")      \
    X(CONFIG_REFUSED, counter, "config_refused_total", "declarations refused as invalid")          \
    X(CONFIG_STALE, counter, "config_stale_total",                                                 \
      "declarations ignored because their version is older")                                       \
    X(CONFIG_FROM_PEER, counter, "config_from_peer_total",                                         \
      "configuration documents and updates received from other nodes")                             \
    X(PLATFORM_FAILURES, counter, "platform_failures_total", "failed requests to the platform")    \
    X(LOOP_STALLS, counter, "loop_stalls_total", "event loop stalls above the threshold")          \
    X(HTTP_BAD_REQUESTS, counter, "http_bad_requests_total", "malformed requests refused")         \
    X(REQUESTS, counter, "requests_total", "complete requests received from callers")              \
    X(REQUESTS_OK, counter, "requests_ok_total", "requests answered with success")                 \
    X(REQUESTS_PARTIAL, counter, "requests_partial_total",                                         \
      "requests answered with success and parts missing")                                          \
    X(REQUESTS_REFUSED, counter, "requests_refused_total", "requests refused without execution")   \
    X(REQUESTS_FAILED, counter, "requests_failed_total",                                           \
      "failed requests that may have been executed")                                               \
    X(REQUESTS_LEFT, counter, "requests_left_total",                                               \
      "requests whose caller disconnected before the response")                                    \
    X(SENDS, counter, "sends_total", "requests and request parts sent to backends")                \
    X(SENDS_REGION, counter, "sends_region_total", "sends to other zones of the same region")      \
    X(SENDS_FAR, counter, "sends_far_total", "sends to other regions")                             \
    X(SEND_FAILURES, counter, "send_failures_total", "sends without a usable response")            \
    X(SENDS_BROKEN, counter, "sends_broken_total",                                                 \
      "failed sends whose connection broke after the request was sent")                            \
    X(STANDSTILLS, counter, "standstills_total",                                                   \
      "process stalls: the process was frozen or the machine suspended")                           \
    X(INSTANCE_CHECKS, counter, "instance_checks_total",                                           \
      "connections opened to check whether a backend is alive")                                    \
    X(INSTANCES_REBORN, counter, "instances_reborn_total",                                         \
      "searchers that restarted under the same id")                                                \
    X(INSTANCES_ENDED, counter, "instances_ended_total",                                           \
      "backends found to have terminated: nothing listens on the address")                         \
    X(QUARANTINE_SUSPECTED, counter, "quarantine_suspected_total",                                 \
      "requests suspected because the backends of all their sends terminated")                     \
    X(QUARANTINE_TRIALS, counter, "quarantine_trials_total",                                       \
      "trials of suspected requests by an isolated send")                                          \
    X(QUARANTINE_STRIKES, counter, "quarantine_strikes_total",                                     \
      "backends that terminated during an isolated send")                                          \
    X(QUARANTINE_HELD, counter, "quarantine_held_total", "requests put into quarantine")           \
    X(QUARANTINE_CLEARED, counter, "quarantine_cleared_total",                                     \
      "suspected requests that completed later")                                                   \
    X(QUARANTINE_REFUSED, counter, "quarantine_refused_total",                                     \
      "attempts refused because their request is quarantined")                                     \
    X(QUARANTINE_ENTRIES, gauge, "quarantine_entries", "requests in quarantine")                   \
    X(QUARANTINE_PUSHED_OUT, counter, "quarantine_pushed_out_total",                               \
      "suspected requests evicted because the table was full")                                     \
    X(QUARANTINE_FULL, counter, "quarantine_full_total",                                           \
      "requests not quarantined because the table was full")                                       \
    X(CONNECTS, counter, "connects_total", "connections opened to backends")                       \
    X(CONNECTS_FAILED, counter, "connects_failed_total", "failed connection attempts to backends") \
    X(INSTANCES_SUSPECTED, counter, "instances_suspected_total",                                   \
      "times a backend was suspected because a send was overdue")                                  \
    X(EVIDENCE_WITHHELD, counter, "evidence_withheld_total",                                       \
      "times evidence about backends was not shared because most looked bad at once")              \
    X(EVIDENCE_STALE, counter, "evidence_stale_total",                                             \
      "evidence messages ignored because a newer one of the same node was known")                  \
    X(PEERS_UNHEARD, counter, "peers_unheard_total",                                               \
      "connections to peers closed because messages were not acknowledged")                        \
    X(RATE_ASKS, counter, "rate_asks_total",                                                       \
      "claims for tokens of tenant rate limits sent to other nodes")                               \
    X(RATE_DEALS, counter, "rate_deals_total", "claims of other nodes that were answered")         \
    X(RATE_ASKS_ASTRAY, counter, "rate_asks_astray_total",                                         \
      "claims for tenants for which this node is not the issuer")                                  \
    X(RATE_LEASES, gauge, "rate_leases", "tenants for whose rate limits this node has a lease")    \
    X(RATE_ACCOUNTS, gauge, "rate_accounts", "tenants for which this node is the issuer")          \
    X(STORE_CALLS, counter, "store_calls_total", "calls to the configuration service")             \
    X(STORE_FAILURES, counter, "store_failures_total",                                             \
      "failed calls to the configuration service")                                                 \
    X(STORE_LISTS, counter, "store_lists_total", "complete listings of the configuration service") \
    X(STORE_HISTORY_GONE, counter, "store_history_gone_total",                                     \
      "waits for changes after a revision that the configuration service no longer has")           \
    X(STORE_EPOCH, gauge, "store_epoch",                                                           \
      "epoch of the configuration service, as known to this node")                                 \
    X(STORE_RESTORES, counter, "store_restores_total",                                             \
      "times the configuration service was restored from an older copy")                           \
    X(STORE_FORMER_ENTRIES, gauge, "store_former_entries",                                         \
      "entries of an earlier epoch, in effect until they are written again")                       \
    X(STORE_REVISION, gauge, "store_revision",                                                     \
      "last applied revision of the configuration service")                                        \
    X(CONFIG_VERSION_LISTED, gauge, "config_version_listed",                                       \
      "version last listed by the configuration service; may be older than the one in effect")     \
    X(CALLER_CONNECTIONS, gauge, "caller_connections", "open connections from callers")            \
    X(PARTS_LOST, counter, "parts_lost_total", "parts that no searcher answered")                  \
    X(PARTS_EXCLUDED, counter, "parts_excluded_total",                                             \
      "parts excluded because no backend is in an allowed region")                                 \
    X(CONFIG_CONFIRMED_AGE, gauge, "config_confirmed_age_milliseconds",                            \
      "time since the configuration service confirmed the state of this node")                     \
    X(INSTANCES_LISTED, gauge, "instances_listed", "backends listed by discovery")                 \
    X(LOG_LINES_DROPPED, counter, "log_lines_dropped_total",                                       \
      "log lines not written: sampled out, or the buffer was full")                                \
    X(LOG_LINES, counter, "log_lines_total", "log lines written")

/* X(symbol, name, description); recorded in microseconds. */
#define TS_HISTOGRAM_TABLE(X)                                                                      \
    X(QUERY_LATENCY, "query_latency_seconds", "time from the arrival of a query to its answer")    \
    X(SUBREQUEST_LATENCY, "subrequest_latency_seconds",                                            \
      "time from sending a subrequest to its subreply")                                            \
    X(SERVICE_TIME, "searcher_service_seconds",                                                    \
      "service time of a searcher, measured by its owner")                                         \
    X(QUEUE_TIME, "broker_queue_seconds", "time a subrequest waited for a slot")

#define TS_COUNTER_ENUM(symbol, type, name, description) TS_COUNTER_##symbol,
typedef enum ts_counter { TS_COUNTER_TABLE(TS_COUNTER_ENUM) TS_COUNTER_COUNT } ts_counter_t;
#undef TS_COUNTER_ENUM
#define TS_HISTOGRAM_ENUM(symbol, name, description) TS_HISTOGRAM_##symbol,
typedef enum ts_histogram_id {
    TS_HISTOGRAM_TABLE(TS_HISTOGRAM_ENUM) TS_HISTOGRAM_COUNT
} ts_histogram_id_t;
#undef TS_HISTOGRAM_ENUM

/** Adds to a counter or gauge. Must be called on the loop's thread. */
void ts_count(ts_counter_t counter, int64_t amount);
void ts_gauge_set(ts_counter_t counter, int64_t value);
int64_t ts_counter_value(ts_counter_t counter);
/** Increments the error counter of a type. */
void ts_count_error(ts_error_t error);
int64_t ts_error_count(ts_error_t error);
/** Records a duration in a histogram. */
void ts_observe_us(ts_histogram_id_t histogram, ts_time_us_t span_us);
/** Appends all metrics in the Prometheus text format. */
void ts_counters_write_prometheus(GString *out);
/** Appends a Markdown table of all metrics, for the documentation. */
void ts_counters_write_markdown(GString *out);

#endif
