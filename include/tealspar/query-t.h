/**
 * Types of a query's life at the front. A query is one struct that fans out to fragments, one a
 * shard; a fragment makes attempts, one a subrequest, and gathers the answers.
 */
#ifndef TEALSPAR_QUERY_T_H
#define TEALSPAR_QUERY_T_H

#include "tealspar/directory.h"
#include "tealspar/messages.h"
#include "tealspar/route-t.h"

#define TS_ATTEMPTS_MAX 6U

/** What a caller asks. Texts belong to the struct. */
typedef struct ts_query_request {
    char *id;
    char *kind;
    char *text;
    char *key;
    uint32_t offset;
    uint32_t limit;
    uint32_t deadline_ms; /**< 0: the selector's */
    bool unrepeatable;
    bool repeat; /**< this id was sent before: only its owner may say 'not run' */
    int64_t issued_at_ms;
} ts_query_request_t;

/** The three outcomes a caller may be told. */
typedef enum ts_outcome {
    TS_OUTCOME_ANSWERED,
    TS_OUTCOME_REFUSED, /**< a promise: not run */
    TS_OUTCOME_UNKNOWN  /**< it may have run */
} ts_outcome_t;

/** Coverage of one group of shards. */
typedef struct ts_group_coverage {
    const char *group;
    uint32_t shards;
    uint32_t covered;
} ts_group_coverage_t;

/** What a caller is told. Valid during the callback only. */
typedef struct ts_answer {
    const char *id;
    ts_outcome_t outcome;
    ts_error_t error; /**< why not answered; TS_OK when answered */
    uint64_t snapshot;
    uint32_t shards;
    uint32_t covered;
    const ts_group_coverage_t *groups;
    size_t groups_count;
    uint64_t total;
    const ts_hit_t *hits; /**< by score from high to low, then by id; offset and limit applied */
    size_t hits_count;
    uint32_t retry_after_ms;
    ts_time_us_t took_us;
} ts_answer_t;

typedef void (*ts_answer_callback_t)(void *context, const ts_answer_t *answer);

typedef enum ts_fragment_state {
    TS_FRAGMENT_WAITING,  /**< at least one attempt is out */
    TS_FRAGMENT_BACKOFF,  /**< will be sent again at retry_at_us */
    TS_FRAGMENT_ANSWERED, /**< has an answer; may still be asked again for another snapshot */
    TS_FRAGMENT_FAILED    /**< will not be sent again */
} ts_fragment_state_t;

typedef struct ts_query ts_query_t;

/** One subrequest that is out. */
typedef struct ts_attempt {
    uint64_t counter;
    uint64_t peer;
    ts_query_t *query;
    uint32_t fragment; /**< index */
    ts_replica_t *replica;
    ts_time_us_t sent_us;
    uint64_t wanted_snapshot;
    uint32_t rank; /**< of the replica within the fragment */
    bool is_hedge;
} ts_attempt_t;

/** One shard of a query. */
typedef struct ts_fragment {
    ts_fragment_state_t state;
    uint32_t shard;           /**< index into the declarations' shards */
    const uint32_t *replicas; /**< indexes of back ends that may be asked */
    uint32_t replica_count;
    uint64_t tried; /**< bit per replica */
    ts_attempt_t *attempts[TS_ATTEMPTS_MAX];
    uint32_t attempts_out;
    uint32_t attempts_made;
    uint64_t asked; /**< the node that the last attempt went to */
    bool hedged;
    bool ran; /**< some attempt may have run */
    ts_time_us_t retry_at_us;
    ts_error_t error; /**< of the last failure */
    uint32_t retry_after_ms;
    ts_subreply_t answers[TS_SHARD_ANSWERS_MAX]; /**< of different snapshots */
    uint32_t answers_count;
    uint64_t denied[TS_SHARD_ANSWERS_MAX]; /**< snapshots asked for that no replica gave */
} ts_fragment_t;

#endif
