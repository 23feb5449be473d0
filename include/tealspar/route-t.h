/** Inputs and outputs of the routing policies. Plain data: no sockets, no clock. */
#ifndef TEALSPAR_ROUTE_T_H
#define TEALSPAR_ROUTE_T_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/declarations-t.h"
#include "tealspar/histogram.h"

/** State of one replica, as known to a front when it selects a replica. */
typedef struct ts_candidate {
    uint32_t backend;         /**< index into ts_declarations_t.backends */
    uint32_t slots;           /**< declared concurrency */
    uint32_t in_flight;       /**< subrequests from this front */
    uint32_t slots_in_use;    /**< reported by its owner in the last reply */
    uint32_t queue_length;    /**< reported by its owner in the last reply */
    ts_time_us_t hint_age_us; /**< age of these two reports */
    double service_us;        /**< moving average of the service time; 0: unknown */
    uint64_t snapshot;        /**< index version of the last reply; 0: unknown */
    bool same_zone;           /**< the owner is in this front's zone */
    bool tried;               /**< this subrequest has already been sent to it */
    bool avoid;               /**< to be avoided for now, after a refusal or failure */
} ts_candidate_t;

typedef struct ts_choice_input {
    const ts_candidate_t *candidates;
    size_t count;
    uint64_t wanted_snapshot; /**< required index version; 0: any */
    uint64_t random;          /**< fresh random bits */
} ts_choice_input_t;

typedef struct ts_hedge_input {
    const ts_selector_t *selector;
    const ts_histogram_t *latencies; /**< subrequest latencies for this kind of query */
    ts_time_us_t deadline_span_us;   /**< from the query's arrival to its deadline */
} ts_hedge_input_t;

typedef struct ts_stop_input {
    const ts_selector_t *selector;
    const ts_histogram_t *latencies;
    uint32_t shards;   /**< shards queried */
    uint32_t covered;  /**< shards that answered from the best snapshot */
    uint32_t possible; /**< further shards that may still answer */
    ts_time_us_t elapsed_us;
    ts_time_us_t deadline_span_us;
} ts_stop_input_t;

/** Whether a query keeps waiting for shards, or why it stops. */
typedef enum ts_stop {
    TS_STOP_WAIT,
    TS_STOP_COMPLETE, /**< all shards have answered */
    TS_STOP_ENOUGH,   /**< the selector's wait rule is satisfied, or no further shard can answer */
    TS_STOP_UNREACHABLE, /**< the minimum coverage can no longer be reached */
    TS_STOP_DEADLINE
} ts_stop_t;

/** No replica can be selected. */
#define TS_CHOOSE_NONE (-1)
/** No hedge is to be sent. */
#define TS_HEDGE_NEVER UINT64_MAX

/** A routing policy. Its functions have no side effects. */
typedef struct ts_policy {
    /** Selects a candidate; returns its index or TS_CHOOSE_NONE. */
    int (*choose)(const ts_choice_input_t *input);
    /** Age of a subrequest at which a hedge is sent, or TS_HEDGE_NEVER. */
    ts_time_us_t (*hedge_after_us)(const ts_hedge_input_t *input);
    /** Decides whether the query stops waiting now. */
    ts_stop_t (*stop)(const ts_stop_input_t *input);
    /** Age of the query at which to call `stop` again even if no reply has arrived. */
    ts_time_us_t (*stop_check_us)(const ts_stop_input_t *input);
    bool retries;          /**< failed subrequests are retried */
    bool unlimited_hedges; /**< hedges are not limited by the budget */
} ts_policy_t;

/** Token bucket for extra subrequests, refilled by a percentage of the subrequests sent. */
typedef struct ts_budget {
    double tokens;
    double burst;
} ts_budget_t;

/**
 * Load shedding for one kind of query at the front, before fan-out. The share of queries that is
 * admitted falls when an admitted query fails because of overload and rises otherwise.
 */
typedef struct ts_shedder {
    double admit_ratio; /**< share of queries admitted, TS_SHEDDER_MIN_RATIO to 1 */
} ts_shedder_t;

/** Lowest admitted share; the queries still admitted show when the overload is over. */
#define TS_SHEDDER_MIN_RATIO 0.05

#define TS_SNAPSHOTS_MAX 4
#define TS_SHARD_ANSWERS_MAX 2

/** What is known of the index versions of one shard, used to select a snapshot. */
typedef struct ts_shard_versions {
    uint64_t answered[TS_SHARD_ANSWERS_MAX]; /**< versions in its answers; 0: unused entry */
    uint64_t denied[TS_SHARD_ANSWERS_MAX];   /**< versions requested but not provided */
    bool open; /**< a reply is outstanding, or the shard can be queried again */
} ts_shard_versions_t;

typedef struct ts_snapshot_choice {
    uint64_t snapshot; /**< 0: no shard has answered */
    uint32_t covered;  /**< shards that answered from it */
    uint32_t possible; /**< open shards that may still answer from it */
} ts_snapshot_choice_t;

#endif
