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
    X(QUERIES_IN_FLIGHT, gauge, "queries_in_flight", "queries being worked on")                    \
    X(ANSWERED, counter, "queries_answered_total", "queries answered")                             \
    X(REFUSED, counter, "queries_refused_total", "queries refused and not run")                    \
    X(UNKNOWN, counter, "queries_unknown_total", "queries that may have run without an answer")    \
    X(ABANDONED, counter, "queries_abandoned_total", "queries whose caller closed first")          \
    X(PARTIAL, counter, "answers_partial_total", "answers with less than full coverage")           \
    X(SUBREQUESTS, counter, "subrequests_total", "subrequests sent to brokers")                    \
    X(SUBREQUESTS_LOCAL, counter, "subrequests_local_total", "subrequests to this node's broker")  \
    X(SUBREPLIES, counter, "subreplies_total", "subreplies received")                              \
    X(SUBREPLIES_UNMATCHED, counter, "subreplies_unmatched_total",                                 \
      "late or crossed subreplies that were dropped")                                              \
    X(HEDGES, counter, "hedges_total", "second subrequests sent because the first is slow")        \
    X(HEDGES_DENIED, counter, "hedges_denied_total", "hedges not sent for want of budget")         \
    X(RETRIES, counter, "retries_total", "subrequests sent again after a failure")                 \
    X(RETRIES_DENIED, counter, "retries_denied_total", "retries not sent for want of budget")      \
    X(EXTRAS_LENT, counter, "extra_sends_lent_total", "extra sends granted to other nodes")        \
    X(EXTRAS_BORROWED, counter, "extra_sends_borrowed_total", "extra sends granted by others")     \
    X(SNAPSHOT_ASKED_AGAIN, counter, "snapshot_asked_again_total",                                 \
      "shards asked again because they answered from another snapshot")                            \
    X(PEERS_SILENT, counter, "peers_silent_total",                                                 \
      "times a node answered none of several subrequests for a while")                             \
    X(CANCELS, counter, "cancels_total", "cancels sent to brokers")                                \
    X(BROKER_ADMITTED, counter, "broker_admitted_total", "subrequests taken by this broker")       \
    X(BROKER_REFUSED, counter, "broker_refused_total", "subrequests refused by this broker")       \
    X(BROKER_QUEUED, gauge, "broker_queued", "subrequests waiting for a slot")                     \
    X(BROKER_SLOTS_IN_USE, gauge, "broker_slots_in_use", "slots reserved now")                     \
    X(BROKER_OWNED, gauge, "broker_owned_backends", "back ends this node owns")                    \
    X(BROKER_CANCELLED, counter, "broker_cancelled_total", "subrequests cancelled at the broker")  \
    X(SEARCHER_REQUESTS, counter, "searcher_requests_total", "requests sent to searchers")         \
    X(SEARCHER_ERRORS, counter, "searcher_errors_total", "requests to searchers that failed")      \
    X(IDEMPOTENCY_ENTRIES, gauge, "idempotency_entries", "unrepeatable ids remembered")            \
    X(IDEMPOTENCY_REPLAYED, counter, "idempotency_replayed_total",                                 \
      "repeats answered from the table of unrepeatable requests")                                  \
    X(MESH_MESSAGES_SENT, counter, "mesh_messages_sent_total", "messages sent to other nodes")     \
    X(MESH_MESSAGES_RECEIVED, counter, "mesh_messages_received_total",                             \
      "messages received from other nodes")                                                        \
    X(MESH_MESSAGES_DROPPED, counter, "mesh_messages_dropped_total",                               \
      "messages to other nodes that found no room")                                                \
    X(MESH_BYTES_SENT, counter, "mesh_bytes_sent_total", "bytes of messages sent")                 \
    X(MESH_BYTES_RECEIVED, counter, "mesh_bytes_received_total", "bytes of messages received")     \
    X(MESH_REFUSED, counter, "mesh_messages_refused_total",                                        \
      "messages from strangers or of another protocol version")                                    \
    X(MESH_PEERS, gauge, "mesh_peers", "connections to other nodes")                               \
    X(CONTROL_BYTES_SENT, counter, "control_bytes_sent_total", "bytes of control messages sent")   \
    X(MEMBERS_LIVE, gauge, "members_live", "nodes believed live, this one included")               \
    X(MEMBERS_SUSPECT, gauge, "members_suspect", "nodes under suspicion")                          \
    X(MEMBER_DEATHS, counter, "member_deaths_total", "nodes declared dead")                        \
    X(MEMBER_REFUTATIONS, counter, "member_refutations_total",                                     \
      "times this node refuted a suspicion against itself")                                        \
    X(CONFIG_VERSION, gauge, "config_version", "version of the declarations in force")             \
    X(CONFIG_ACCEPTED, counter, "config_accepted_total", "declarations put in force")              \
    X(CONFIG_REFUSED, counter, "config_refused_total", "declarations refused whole")               \
    X(CONFIG_STALE, counter, "config_stale_total", "older declarations ignored")                   \
    X(CONFIG_FROM_PEER, counter, "config_from_peer_total", "documents given by other nodes")       \
    X(PLATFORM_FAILURES, counter, "platform_failures_total", "failed reads of the platform")       \
    X(LOOP_STALLS, counter, "loop_stalls_total", "times the loop woke up late past the bound")     \
    X(HTTP_BAD_REQUESTS, counter, "http_bad_requests_total", "requests refused as malformed")      \
    X(REQUESTS, counter, "requests_total", "requests of callers that were read whole")             \
    X(REQUESTS_OK, counter, "requests_ok_total", "requests answered with success")                 \
    X(REQUESTS_PARTIAL, counter, "requests_partial_total", "successes with parts missing")         \
    X(REQUESTS_REFUSED, counter, "requests_refused_total", "requests refused and not run")         \
    X(REQUESTS_FAILED, counter, "requests_failed_total", "requests that may have run and failed")  \
    X(REQUESTS_LEFT, counter, "requests_left_total", "requests whose caller left first")           \
    X(REQUESTS_CUT, counter, "requests_cut_total", "requests cut off by the exit of the process")  \
    X(SENDS, counter, "sends_total", "requests and parts sent to back ends")                       \
    X(SENDS_REGION, counter, "sends_region_total", "of these, to other zones of the region")       \
    X(SENDS_FAR, counter, "sends_far_total", "of these, to other regions")                         \
    X(SEND_FAILURES, counter, "send_failures_total", "sends without a usable answer")              \
    X(SENDS_BROKEN, counter, "sends_broken_total",                                                 \
      "of these, ended by their connection after they had left")                                   \
    X(STANDSTILLS, counter, "standstills_total",                                                   \
      "times this process stood still, frozen or with its machine")                                \
    X(INSTANCE_CHECKS, counter, "instance_checks_total",                                           \
      "connections opened to learn whether a back end lives")                                      \
    X(INSTANCES_REBORN, counter, "instances_reborn_total",                                         \
      "searchers that began another life under their id")                                          \
    X(INSTANCES_ENDED, counter, "instances_ended_total",                                           \
      "back ends where nobody listens any more")                                                   \
    X(QUARANTINE_SUSPECTED, counter, "quarantine_suspected_total",                                 \
      "requests under all of whose sends back ends ended")                                         \
    X(QUARANTINE_TRIALS, counter, "quarantine_trials_total", "tries of suspects by a lone send")   \
    X(QUARANTINE_STRIKES, counter, "quarantine_strikes_total",                                     \
      "back ends that ended under a lone send")                                                    \
    X(QUARANTINE_HELD, counter, "quarantine_held_total", "requests that were put on hold")         \
    X(QUARANTINE_CLEARED, counter, "quarantine_cleared_total", "suspects that then ran whole")     \
    X(QUARANTINE_REFUSED, counter, "quarantine_refused_total",                                     \
      "tries that were refused as their request is on hold")                                       \
    X(QUARANTINE_ENTRIES, gauge, "quarantine_entries", "requests on hold now")                     \
    X(QUARANTINE_PUSHED_OUT, counter, "quarantine_pushed_out_total",                               \
      "suspects that were forgotten for want of room")                                             \
    X(QUARANTINE_FULL, counter, "quarantine_full_total",                                           \
      "requests that were not put on hold for want of room")                                       \
    X(ANSWERS_DELAYED, counter, "answers_delayed_total",                                           \
      "answers of back ends that were not read further until there was memory for them")           \
    X(CALLERS_CLOSED, counter, "callers_closed_total",                                             \
      "connections of callers closed to free memory or descriptors")                               \
    X(ACCEPTS_FAILED, counter, "accepts_failed_total",                                             \
      "times a connection of a caller could not be accepted")                                      \
    X(CONNECTS_DENIED, counter, "connects_denied_total",                                           \
      "sends that failed unsent as there were too many connections to back ends")                  \
    X(BACKEND_CONNECTIONS, gauge, "backend_connections", "open connections to back ends")          \
    X(CALLERS_REFUSED, counter, "callers_refused_total",                                           \
      "requests of callers refused as there was no memory for them")                               \
    X(ANSWER_BYTES, gauge, "answer_bytes", "memory held for answers")                              \
    X(REQUEST_BYTES, gauge, "request_bytes", "memory held for requests of callers")                \
    X(CONNECTS, counter, "connects_total", "connections opened to back ends")                      \
    X(CONNECTS_FAILED, counter, "connects_failed_total", "connections that did not come up")       \
    X(INSTANCES_SUSPECTED, counter, "instances_suspected_total",                                   \
      "times a back end had something overdue")                                                    \
    X(EVIDENCE_WITHHELD, counter, "evidence_withheld_total",                                       \
      "times nothing was told of back ends, as most looked bad from here at once")                 \
    X(EVIDENCE_STALE, counter, "evidence_stale_total",                                             \
      "messages of evidence that were older than another from the same node")                      \
    X(PEERS_UNHEARD, counter, "peers_unheard_total",                                               \
      "connections to peers given up as what was sent on them was not heard")                      \
    X(RATE_ASKS, counter, "rate_asks_total", "tokens of tenants' limits asked for at other nodes") \
    X(RATE_DEALS, counter, "rate_deals_total", "such asks of others that were answered")           \
    X(RATE_ASKS_ASTRAY, counter, "rate_asks_astray_total",                                         \
      "such asks for what this node does not deal out")                                            \
    X(RATE_LEASES, gauge, "rate_leases", "tenants of whose limits this node may hold tokens")      \
    X(RATE_ACCOUNTS, gauge, "rate_accounts", "tenants whose limits this node deals out")           \
    X(STORE_CALLS, counter, "store_calls_total", "calls to the configuration service")             \
    X(STORE_FAILURES, counter, "store_failures_total", "failed calls to it")                       \
    X(STORE_LISTS, counter, "store_lists_total", "times its entries were read whole")              \
    X(STORE_HISTORY_GONE, counter, "store_history_gone_total",                                     \
      "waits for changes after a revision that it does not have")                                  \
    X(STORE_EPOCH, gauge, "store_epoch",                                                           \
      "epoch of the configuration service, as this node knows it")                                 \
    X(STORE_RESTORES, counter, "store_restores_total", "times it came back from an older copy")    \
    X(STORE_FORMER_ENTRIES, gauge, "store_former_entries",                                         \
      "entries that stand from before it came back, until they are written again")                 \
    X(STORE_REVISION, gauge, "store_revision", "revision up to which its changes are applied")     \
    X(CONFIG_VERSION_LISTED, gauge, "config_version_listed",                                       \
      "version of the configuration that it last gave, which may be older than the one in force")  \
    X(CALLER_CONNECTIONS, gauge, "caller_connections", "open connections of callers")              \
    X(PARTS_LOST, counter, "parts_lost_total", "parts that no searcher answered")                  \
    X(PARTS_EXCLUDED, counter, "parts_excluded_total",                                             \
      "parts left out because no back end stands where they may be served")                        \
    X(CONFIG_CONFIRMED_AGE, gauge, "config_confirmed_age_milliseconds",                            \
      "time since the configuration service confirmed what this node knows")                       \
    X(INSTANCES_LISTED, gauge, "instances_listed", "back ends that discovery names")               \
    X(LOG_LINES_DROPPED, counter, "log_lines_dropped_total",                                       \
      "log lines for which there was no room")                                                     \
    X(LOG_LINES, counter, "log_lines_total", "log lines written")

/* X(symbol, name, description); recorded in microseconds. */
#define TS_HISTOGRAM_TABLE(X)                                                                      \
    X(QUERY_LATENCY, "query_latency_seconds", "time from a query's arrival to its answer")         \
    X(SUBREQUEST_LATENCY, "subrequest_latency_seconds", "time from sending to the subreply")       \
    X(SERVICE_TIME, "searcher_service_seconds", "time a searcher took, seen by its owner")         \
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
