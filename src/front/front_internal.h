/** What the modules of the front share among themselves. */
#ifndef TEALSPAR_FRONT_INTERNAL_H
#define TEALSPAR_FRONT_INTERNAL_H

#include "tealspar/front.h"
#include "tealspar/histogram.h"
#include "tealspar/node.h"
#include "tealspar/route.h"

/** What the front has measured of one kind, and the budgets it keeps for it. */
typedef struct ts_kind_stats {
    ts_histogram_t latencies; /**< of answered subrequests, fading */
    ts_budget_t hedges;
    ts_budget_t retries;
    ts_shedder_t pass; /**< admission before fan-out */
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
    uint64_t counter;     /**< next subrequest id; the high half names this incarnation */
    uint64_t random;
    ts_timer_t silence;   /**< looks for peers that have turned silent */
    ts_timer_t lame_duck; /**< a stop has begun; queries are still taken */
    bool has_been_ready;
    bool stopping; /**< queries are not taken any more */
};

struct ts_query {
    ts_front_t *front;
    ts_query_request_t request;
    ts_query_params_t *work;
    ts_declarations_t *declarations; /**< pinned */
    const ts_selector_t *selector;
    ts_kind_stats_t *stats;
    ts_answer_callback_t callback;
    void *context;
    ts_time_us_t started_us;
    ts_time_us_t span_us; /**< deadline, from the start */
    ts_fragment_t *fragments;
    uint32_t fragment_count;
    ts_timer_t timer;
    bool finished;
};

/** The stats of a kind; made when first asked for. */
ts_kind_stats_t *ts_front_kind_stats(ts_front_t *front, const char *kind);
/** Tells the broker of a node, this one's own included, that a subrequest is not wanted any more.
 */
void ts_front_send_cancel(const ts_front_t *front, uint64_t peer, uint64_t counter);
/** Looks for silent peers while subrequests are out. */
void ts_front_watch_silence(ts_front_t *front);
/** Fresh random bits. */
uint64_t ts_front_random(ts_front_t *front);

/** Plans and sends a new query, which may end it at once. */
void ts_query_start(ts_query_t *query);
/** Takes the reply to one attempt. */
void ts_query_take(ts_attempt_t *attempt, ts_subreply_t *subreply);
/** Frees a query whose node runs no more; nothing is sent and nobody is told. */
void ts_query_discard(ts_query_t *query);
/** Ends a query without telling its caller. */
void ts_query_abandon(ts_query_t *query);

/** A batch of parts that a query sends in one turn, grouped by owner. */
typedef struct ts_dispatch ts_dispatch_t;
ts_dispatch_t *ts_dispatch_begin(ts_query_t *query);
/**
 * Adds one attempt for a fragment at the replica of rank `rank`. Returns TS_OK or
 * TS_E_NO_REPLICA when the back end has no owner.
 */
ts_error_t ts_dispatch_add(ts_dispatch_t *dispatch, uint32_t fragment, uint32_t rank,
                           uint64_t wanted_snapshot, bool is_hedge);
/** Sends the batch: one message an owner. */
void ts_dispatch_send(ts_dispatch_t *dispatch);
/** Ends an attempt; with `cancel` its broker is told that the work is not wanted any more. */
void ts_attempt_end(ts_attempt_t *attempt, bool cancel);

/** Merges the hits of one snapshot and hands the answer to the query's callback. */
void ts_query_deliver_answer(ts_query_t *query, uint64_t snapshot);
/** Says in the log why a query ended without an answer. */
void ts_query_log_unanswered(const ts_query_t *query, ts_outcome_t outcome, ts_error_t error);
/** Hands a refusal or an unknown outcome to the query's callback. */
void ts_query_deliver_failure(ts_query_t *query, ts_outcome_t outcome, ts_error_t error,
                              uint64_t snapshot, uint32_t retry_after_ms);

#endif
