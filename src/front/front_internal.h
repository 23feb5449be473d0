/** Shared by the modules of the front. */
#ifndef TEALSPAR_FRONT_INTERNAL_H
#define TEALSPAR_FRONT_INTERNAL_H

#include "tealspar/front.h"
#include "tealspar/histogram.h"
#include "tealspar/late_check.h"
#include "tealspar/node.h"
#include "tealspar/route.h"

/** Latencies, budgets and load shedding for one kind of query. */
typedef struct ts_kind_stats {
    /** Latencies of answered subrequests and ages of cancelled ones that are not hedges. Old
     * samples decay. */
    ts_histogram_t latencies;
    ts_budget_t hedges;   /**< credited with the selector's hedge_percent per fragment */
    ts_budget_t retries;  /**< credited with the selector's retry_percent per fragment */
    ts_shedder_t shedder; /**< admission before fan-out */
} ts_kind_stats_t;

struct ts_front {
    ts_node_t *node;
    const ts_settings_t *settings;
    const ts_policy_t *policy;
    ts_task_t *task;
    ts_task_t *broker;
    ts_task_t *mesh;
    ts_declarations_t *declarations;
    ts_directory_t *directory;
    GHashTable *kinds;    /**< kind -> ts_kind_stats_t, owned */
    GHashTable *attempts; /**< &counter -> ts_attempt_t, owned */
    GHashTable *queries;  /**< set of ts_query_t, owned */
    /** Next ts_subrequest_t.counter: hash of node name and incarnation in the high half, then a
     * count. */
    uint64_t next_counter;
    uint64_t random_state;
    ts_timer_t silence_timer;      /**< checks for silent peers */
    ts_late_check_t late_check;    /**< of that timer */
    ts_time_us_t stalled_until_us; /**< when a late check was last noticed; 0: never */
    ts_timer_t lame_duck_timer; /**< fires LAME_DUCK_MS after the stop; then queries are refused */
    bool has_been_ready;
    bool has_stopped_accepting; /**< queries are refused */
};

struct ts_query {
    ts_front_t *front;
    ts_query_request_t request;
    ts_query_params_t *work; /**< sent with all subrequests; built from request and selector */
    ts_declarations_t *declarations; /**< referenced until the query ends */
    const ts_selector_t *selector;
    ts_kind_stats_t *stats;
    ts_answer_callback_t callback;
    void *context;
    ts_time_us_t started_us;
    ts_time_us_t deadline_span_us; /**< from the start to the deadline */
    ts_time_us_t grace_until_us;   /**< end of the wait after a deadline noticed late; 0: none */
    ts_fragment_t *fragments;
    uint32_t fragment_count;
    ts_timer_t timer;
    bool is_finished;
};

/** The stats of a kind; created on first use. */
ts_kind_stats_t *ts_front_ensure_kind_stats(ts_front_t *front, const char *kind);
/** Sends a cancellation to the broker of a node; `peer` may be TS_PEER_SELF. */
void ts_front_send_cancel(const ts_front_t *front, uint64_t peer, uint64_t counter);
/** Checks for silent peers periodically until no attempts are in flight. No effect if started. */
void ts_front_start_silence_check(ts_front_t *front);
/** Fresh random bits. */
uint64_t ts_front_next_random(ts_front_t *front);

/**
 * Plans and sends a new query. If it finishes at once, `is_finished` is set. A finished or
 * abandoned query is freed in the next loop iteration.
 */
void ts_query_start(ts_query_t *query);
/**
 * Ends and frees an attempt and handles its reply, which may finish the query. The hits may be
 * moved out of `subreply`.
 */
void ts_query_handle_reply(ts_attempt_t *attempt, ts_subreply_t *subreply);
/**
 * Marks an attempt as overdue and schedules a retry at another replica for the next
 * ts_query_step(), if there is one. The attempt stays in flight until that retry is sent.
 */
void ts_query_handle_overdue(ts_attempt_t *attempt);
/** Sends due retries, hedges and repeats; may finish the query. */
void ts_query_step(ts_query_t *query);
/** Frees a query at once, when the node shuts down. Sends nothing, does not call the callback. */
void ts_query_discard(ts_query_t *query);
/** Ends a query without calling its callback. */
void ts_query_abandon(ts_query_t *query);

/**
 * The attempts that a query sends in one step, batched into one message per owner. A
 * ts_subrequest_t is the entry of an attempt in that message.
 */
typedef struct ts_dispatch ts_dispatch_t;
ts_dispatch_t *ts_dispatch_begin(ts_query_t *query);
/**
 * Adds one attempt. `fragment_index` is an index into the query's fragments, `replica_index` into
 * the fragment's replicas; `wanted_snapshot` is the preferred index version, 0 for any. Returns
 * TS_OK, or TS_E_NO_REPLICA if the replica's backend has no owner.
 */
ts_error_t ts_dispatch_add(ts_dispatch_t *dispatch, uint32_t fragment_index, uint32_t replica_index,
                           uint64_t wanted_snapshot, bool is_hedge);
/** Sends the subrequests, one message per owner, and frees the dispatch. */
void ts_dispatch_send(ts_dispatch_t *dispatch);
/**
 * Ends and frees an attempt. With `cancel` it is cancelled at its peer, and its age is recorded as
 * a lower bound of its latency. Without `cancel` nothing is sent and no
 * latency recorded.
 */
void ts_attempt_end(ts_attempt_t *attempt, bool cancel);

/** Whether the age of an attempt is a latency: this process did not stall since it was sent. */
bool ts_attempt_is_measurable(const ts_attempt_t *attempt);

/** Merges the hits of a snapshot and calls the query's callback with the answer. */
void ts_query_deliver_answer(ts_query_t *query, uint64_t snapshot);
/** Logs why a query ended without an answer. */
void ts_query_log_unanswered(const ts_query_t *query, ts_outcome_t outcome, ts_error_t error);
/** Calls the query's callback with outcome refused or unknown. */
void ts_query_deliver_failure(ts_query_t *query, ts_outcome_t outcome, ts_error_t error,
                              uint64_t snapshot, uint32_t retry_after_ms);

#endif
