/**
 * Types of a query at the front. A query is split into fragments, one per shard. A fragment sends
 * attempts, one subrequest each, and collects the answers.
 */
#ifndef TEALSPAR_QUERY_T_H
#define TEALSPAR_QUERY_T_H

#include "tealspar/directory.h"
#include "tealspar/messages.h"
#include "tealspar/route-t.h"

#define TS_ATTEMPTS_MAX 6U

/** A caller's request. Owns its strings. */
typedef struct ts_query_request {
    char *id;
    char *kind;
    char *text;
    char *key;
    uint32_t offset;
    uint32_t limit;
    uint32_t deadline_ms; /**< 0: the selector's deadline */
    bool unrepeatable;    /**< must be executed at most once */
    /** The id was sent before; only the owner can tell that it was not executed. */
    bool repeat;
    int64_t issued_at_ms; /**< caller's wall clock; 0: not given; needed if unrepeatable */
} ts_query_request_t;

/** Outcome reported to the caller. */
typedef enum ts_outcome {
    TS_OUTCOME_ANSWERED,
    TS_OUTCOME_REFUSED, /**< guaranteed not executed */
    TS_OUTCOME_UNKNOWN  /**< may have been executed */
} ts_outcome_t;

/** Coverage of one group of shards. */
typedef struct ts_group_coverage {
    const char *group;
    uint32_t shards;
    uint32_t covered;
} ts_group_coverage_t;

/** Answer to a caller. Valid during the callback only. */
typedef struct ts_answer {
    const char *id;
    ts_outcome_t outcome;
    ts_error_t error; /**< reason for another outcome than TS_OUTCOME_ANSWERED */
    uint64_t snapshot;
    uint32_t shards;
    uint32_t covered;
    const ts_group_coverage_t *groups;
    size_t groups_count;
    uint64_t total;
    const ts_hit_t *hits; /**< by descending score, then by id; offset and limit applied */
    size_t hits_count;
    uint32_t retry_after_ms;
    ts_time_us_t took_us;
} ts_answer_t;

typedef void (*ts_answer_callback_t)(void *context, const ts_answer_t *answer);

typedef enum ts_fragment_state {
    TS_FRAGMENT_WAITING,  /**< at least one attempt is in flight */
    TS_FRAGMENT_BACKOFF,  /**< retried at retry_at_us */
    TS_FRAGMENT_ANSWERED, /**< has an answer; may be queried again for another snapshot */
    TS_FRAGMENT_FAILED    /**< not retried */
} ts_fragment_state_t;

typedef struct ts_query ts_query_t;

/** One subrequest in flight. */
typedef struct ts_attempt {
    uint64_t counter; /**< id of the subrequest */
    uint64_t peer;    /**< owner that it was sent to */
    ts_query_t *query;
    uint32_t fragment; /**< index */
    ts_replica_t *replica;
    ts_time_us_t sent_us;
    uint64_t wanted_snapshot;
    uint32_t replica_index; /**< into the fragment's replicas */
    bool is_hedge;
} ts_attempt_t;

/** One shard of a query. */
typedef struct ts_fragment {
    ts_fragment_state_t state;
    uint32_t shard;           /**< index into the declarations' shards */
    const uint32_t *replicas; /**< indexes of the backends that serve the shard */
    uint32_t replica_count;
    uint64_t tried; /**< bit per replica: an attempt was sent to it */
    ts_attempt_t *attempts[TS_ATTEMPTS_MAX];
    uint32_t attempts_in_flight;
    uint32_t attempts_made;
    uint64_t last_peer;    /**< node that the latest attempt was sent to */
    bool is_hedge_decided; /**< a hedge was sent, or denied by the budget */
    bool may_have_run;     /**< some attempt may have been executed */
    ts_time_us_t retry_at_us;
    ts_error_t error; /**< of the last failure */
    uint32_t retry_after_ms;
    ts_subreply_t answers[TS_SHARD_ANSWERS_MAX]; /**< of different snapshots */
    uint32_t answers_count;
    uint64_t denied[TS_SHARD_ANSWERS_MAX]; /**< snapshots that were requested but not provided */
} ts_fragment_t;

#endif
