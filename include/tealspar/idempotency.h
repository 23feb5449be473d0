/**
 * The owner's table of unrepeatable requests: at most one dispatch an id. A repeat is answered from
 * the table, or truthfully as unknown. Pure: the clock is passed in.
 */
#ifndef TEALSPAR_IDEMPOTENCY_H
#define TEALSPAR_IDEMPOTENCY_H

#include "tealspar/messages.h"

typedef struct ts_idempotency ts_idempotency_t;

/** What to do with an unrepeatable request. */
typedef enum ts_idempotency_verdict {
    TS_IDEMPOTENCY_RUN,     /**< never seen: dispatch it, it is now marked as dispatched */
    TS_IDEMPOTENCY_REPLAY,  /**< finished before: the kept outcome is the answer */
    TS_IDEMPOTENCY_UNKNOWN, /**< dispatched before and not known to be finished */
    TS_IDEMPOTENCY_REUSED   /**< the id stands for another request */
} ts_idempotency_verdict_t;

/** Entries are kept for `keep_us` after their last change. */
ts_idempotency_t *ts_idempotency_create(ts_time_us_t keep_us);
void ts_idempotency_destroy(ts_idempotency_t *table);
/** Decides on a request and, for RUN, marks its id as dispatched. */
ts_idempotency_verdict_t ts_idempotency_admit(ts_idempotency_t *table,
                                              const ts_query_params_t *work, ts_time_us_t now_us);
/** The dispatch came to nothing and was certainly not run: the id may be dispatched again. */
void ts_idempotency_release(ts_idempotency_t *table, const char *request_id);
/** Keeps the outcome of a dispatch; a copy is made. */
void ts_idempotency_finish(ts_idempotency_t *table, const char *request_id,
                           const ts_subreply_t *outcome, ts_time_us_t now_us);
/** Copies the kept outcome of a REPLAY into `outcome`; the hits belong to the receiver. */
void ts_idempotency_replay(const ts_idempotency_t *table, const char *request_id,
                           ts_subreply_t *outcome);
/** Forgets what is older than the keeping time. */
void ts_idempotency_expire(ts_idempotency_t *table, ts_time_us_t now_us);
/** Number of entries. */
size_t ts_idempotency_size(const ts_idempotency_t *table);

#endif
