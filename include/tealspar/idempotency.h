/**
 * The owner's table of unrepeatable requests: each id is dispatched at most once. A repeat gets the
 * stored outcome or, if there is none, the outcome "unknown". Pure: the clock is passed in.
 */
#ifndef TEALSPAR_IDEMPOTENCY_H
#define TEALSPAR_IDEMPOTENCY_H

#include "tealspar/messages.h"

typedef struct ts_idempotency ts_idempotency_t;

/** How to handle an unrepeatable request. */
typedef enum ts_idempotency_decision {
    TS_IDEMPOTENCY_RUN,     /**< new id: to be dispatched, and now marked as dispatched */
    TS_IDEMPOTENCY_REPLAY,  /**< finished: the stored outcome is the answer */
    TS_IDEMPOTENCY_UNKNOWN, /**< dispatched, outcome not known */
    TS_IDEMPOTENCY_REUSED   /**< the id belongs to a request with another kind, key or text */
} ts_idempotency_decision_t;

/** Entries are retained for `retention_us` after their last change; then the id counts as new. */
ts_idempotency_t *ts_idempotency_create(ts_time_us_t retention_us);
void ts_idempotency_destroy(ts_idempotency_t *table);
/** Decides on a request and, for TS_IDEMPOTENCY_RUN, marks its id as dispatched. */
ts_idempotency_decision_t ts_idempotency_admit(ts_idempotency_t *table,
                                               const ts_query_params_t *work, ts_time_us_t now_us);
/** Removes the id of a dispatch that was certainly not executed; it may be dispatched again. */
void ts_idempotency_release(ts_idempotency_t *table, const char *request_id);
/** Stores a copy of the outcome of a dispatch; ignored if the id is not in the table. */
void ts_idempotency_finish(ts_idempotency_t *table, const char *request_id,
                           const ts_subreply_t *outcome, ts_time_us_t now_us);
/** Copies the stored outcome into `outcome`, after TS_IDEMPOTENCY_REPLAY for the id. The caller
 * frees it with ts_subreply_clear(). */
void ts_idempotency_replay(const ts_idempotency_t *table, const char *request_id,
                           ts_subreply_t *outcome);
/** Removes entries whose retention time has passed. */
void ts_idempotency_expire(ts_idempotency_t *table, ts_time_us_t now_us);
size_t ts_idempotency_size(const ts_idempotency_t *table);

#endif
