/**
 * The front's directory: the owner of each backend, and load, service time and failures of each
 * backend as observed in replies. Belongs to the front task.
 */
#ifndef TEALSPAR_DIRECTORY_H
#define TEALSPAR_DIRECTORY_H

#include "tealspar/messages.h"
#include "tealspar/route-t.h"

/** State of one backend as known to the front; kept by id when the declarations change. */
typedef struct ts_replica {
    uint64_t id;
    uint32_t in_flight;
    uint32_t slots_in_use;
    uint32_t queue_length;
    ts_time_us_t hint_us; /**< when the previous two were reported */
    double service_us;    /**< moving average; 0: unknown */
    uint64_t snapshot;    /**< index version of the last reply; 0: unknown */
    ts_time_us_t avoid_until_us;
    uint32_t failures;               /**< consecutive */
    ts_time_us_t service_updated_us; /**< when service_us was last updated */
    uint64_t owner_epoch;            /**< view epoch for which `owner` was computed */
    const ts_view_member_t *owner;
} ts_replica_t;

typedef struct ts_directory ts_directory_t;

ts_directory_t *ts_directory_create(void);
void ts_directory_destroy(ts_directory_t *directory);
/** Sets a new view; owners are recomputed when next requested. */
void ts_directory_set_view(ts_directory_t *directory, ts_view_t *view);
/** The current view, or NULL. */
const ts_view_t *ts_directory_view(const ts_directory_t *directory);
/** The record of a backend; created on first use. */
ts_replica_t *ts_directory_ensure_replica(ts_directory_t *directory, const ts_backend_t *backend);
/** The owner of a backend, or NULL if there is no view or no eligible member. */
const ts_view_member_t *ts_directory_owner(ts_directory_t *directory, const ts_backend_t *backend);
/**
 * Records a reply: load, service time and snapshot, or a failure of the backend, which is then
 * avoided for a time.
 */
void ts_directory_learn(ts_directory_t *directory, ts_replica_t *replica,
                        const ts_subreply_t *subreply, ts_time_us_t latency_us,
                        ts_time_us_t now_us);
/**
 * Records an attempt that was cancelled before its reply: its age is a lower bound of its latency.
 * Without this, a slow replica whose attempts are always cancelled in favor of a hedge would keep a
 * low service time.
 */
void ts_directory_learn_censored(ts_directory_t *directory, ts_replica_t *replica,
                                 ts_time_us_t age_us, ts_time_us_t now_us);
/**
 * Track the subrequests outstanding at a peer: one was sent; a reply arrived; one has ended, with
 * or without a reply.
 */
void ts_directory_note_sent(ts_directory_t *directory, uint64_t peer, ts_time_us_t now_us);
void ts_directory_note_reply(ts_directory_t *directory, uint64_t peer);
void ts_directory_note_ended(ts_directory_t *directory, uint64_t peer);
/**
 * Peers that have become silent since the last call: several subrequests are outstanding and no
 * reply has arrived for `timeout_us`. Returns an array of uint64_t, freed by the caller.
 */
GArray *ts_directory_find_silent_peers(ts_directory_t *directory, ts_time_us_t timeout_us,
                                       ts_time_us_t now_us);
/**
 * Fills in a candidate except its field `backend`; `tried` is set to false. A silent owner is
 * avoided, except by one call per probe interval.
 */
void ts_directory_fill_candidate(ts_directory_t *directory, const ts_backend_t *backend,
                                 ts_time_us_t now_us, ts_candidate_t *candidate);

#endif
