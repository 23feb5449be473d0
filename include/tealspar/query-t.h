/**
 * Types of a query at the front. A query is split into fragments, one per shard. A fragment sends
 * attempts, one subrequest each, and collects the answers.
 */
#ifndef TEALSPAR_QUERY_T_H
#define TEALSPAR_QUERY_T_H

#include "tealspar/directory.h"
#include "tealspar/messages.h"
#include "tealspar/route-t.h"

/** Attempts per fragment, including retries, hedges and repeats for another snapshot. */
#define TS_ATTEMPTS_MAX 6U

/** A caller's request. Owns its strings. */
typedef struct ts_query_request {
    char *id;
    char *kind;
    char *text;
    char *key;
    uint32_t offset;      /**< hits to skip */
    uint32_t limit;       /**< hits wanted, after `offset` */
    uint32_t deadline_ms; /**< 0: the selector's deadline */
    bool unrepeatable;    /**< must be executed at most once */
    /**
     * The id was sent before. Only the owner can tell whether that request was executed, so a front
     * does not report a repeat as refused on its own.
     */
    bool repeat;
    /**
     * Caller's wall clock when the id was issued; 0: not given. Required if the request or its
     * selector is unrepeatable: an owner only dispatches ids issued after it became the owner.
     */
    int64_t issued_at_ms;
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
    uint32_t shards;  /**< shards queried */
    uint32_t covered; /**< shards that answered from the chosen snapshot */
} ts_group_coverage_t;

/** Answer to a caller. Valid during the callback only. */
typedef struct ts_answer {
    const char *id;
    ts_outcome_t outcome;
    ts_error_t error;  /**< why the query was not answered; TS_OK if it was */
    uint64_t snapshot; /**< index version of all hits; 0 unless answered */
    uint32_t shards;   /**< shards queried */
    uint32_t covered;  /**< shards that answered from the chosen snapshot */
    const ts_group_coverage_t *groups;
    size_t groups_count;
    uint64_t total;       /**< hits of all covered shards, before offset and limit */
    const ts_hit_t *hits; /**< by descending score, then by id; offset and limit applied */
    size_t hits_count;
    uint32_t retry_after_ms; /**< 0: no advice */
    ts_time_us_t took_us;
} ts_answer_t;

typedef void (*ts_answer_callback_t)(void *context, const ts_answer_t *answer);

typedef enum ts_fragment_state {
    TS_FRAGMENT_WAITING, /**< at least one attempt is in flight */
    /** To be retried at retry_at_us, if the budget allows. Overdue attempts may be in flight. */
    TS_FRAGMENT_BACKOFF,
    TS_FRAGMENT_ANSWERED, /**< has an answer; may be queried again for another snapshot */
    TS_FRAGMENT_FAILED    /**< will not be retried */
} ts_fragment_state_t;

typedef struct ts_query ts_query_t;

/** One subrequest in flight. */
typedef struct ts_attempt {
    uint64_t counter;        /**< id of the subrequest, as ts_subrequest_t.counter */
    uint64_t peer;           /**< node that it was sent to; TS_PEER_SELF: this one */
    ts_query_t *query;       /**< not owned */
    uint32_t fragment_index; /**< into the query's fragments */
    ts_replica_t *replica;   /**< record in the directory */
    ts_time_us_t sent_us;
    uint64_t wanted_snapshot; /**< preferred index version; 0: any */
    uint32_t replica_index;   /**< into the fragment's replicas */
    bool is_hedge;
    bool is_overdue; /**< its peer became silent; the reply may still arrive */
    /** Of an unrepeatable request: when the connection to its peer was lost; 0: not lost. */
    ts_time_us_t lost_us;
} ts_attempt_t;

/** One shard of a query. */
typedef struct ts_fragment {
    ts_fragment_state_t state;
    uint32_t shard;           /**< index into the declarations' shards */
    const uint32_t *replicas; /**< indexes into the declarations' backends: allowed by selector */
    uint32_t replica_count;
    uint64_t tried; /**< bit per index into `replicas`: an attempt was sent to it */
    ts_attempt_t *attempts[TS_ATTEMPTS_MAX];
    uint32_t attempts_in_flight; /**< entries used in `attempts` */
    uint32_t attempts_made;      /**< in all, including ended ones */
    uint64_t last_peer; /**< node that the latest attempt was sent to; TS_PEER_SELF: this one */
    bool is_hedge_attempted; /**< a hedge was sent, denied by the budget, or had no replica */
    bool may_have_run;       /**< some attempt may have been executed */
    ts_time_us_t retry_at_us;
    ts_error_t error;                            /**< of the last failure; TS_OK: none */
    uint32_t retry_after_ms;                     /**< largest of all failures; 0: no advice */
    ts_subreply_t answers[TS_SHARD_ANSWERS_MAX]; /**< of different snapshots */
    uint32_t answers_count;
    /** Snapshots that a replica was asked for but did not answer from; 0: unused. */
    uint64_t denied[TS_SHARD_ANSWERS_MAX];
} ts_fragment_t;

#endif
