/**
 * The front's directory: the owner of each backend, and load, service time and failures of each
 * backend as observed in replies. Belongs to the front task.
 */
#ifndef TEALSPAR_DIRECTORY_H
#define TEALSPAR_DIRECTORY_H

#include "tealspar/messages.h"
#include "tealspar/route-t.h"

/**
 * State of one backend as known to the front, for all of its shards ("replica" of a shard: one of
 * the backends that serve it). Records are found by backend id and kept until the directory is
 * destroyed, so they survive a change of the declarations.
 */
typedef struct ts_replica {
    uint64_t id;
    uint32_t in_flight;           /**< subrequests from this front */
    uint32_t slots_in_use;        /**< reported in the last reply; 0 if it carried no load, as after
                                     TS_E_PEER_LOST */
    uint32_t queue_length;        /**< waiting requests; reported as slots_in_use */
    ts_time_us_t load_updated_us; /**< when slots_in_use and queue_length were set; 0: never */
    double service_us;            /**< moving average; 0: unknown */
    uint64_t snapshot;            /**< index version of the last successful reply; 0: unknown */
    ts_time_us_t avoid_until_us;  /**< avoided until then; 0: not avoided */
    uint32_t failures;            /**< consecutive ones caused by the backend or its owner */
    ts_time_us_t service_updated_us; /**< when service_us was last updated */
    uint64_t owner_view_count;       /**< the directory's count of views when `owner` was set */
    const ts_view_member_t *owner;   /**< NULL: none; points into the view */
} ts_replica_t;

typedef struct ts_directory ts_directory_t;

ts_directory_t *ts_directory_create(void);
void ts_directory_destroy(ts_directory_t *directory);
/** Sets a new view; owners are recomputed when next requested. */
void ts_directory_set_view(ts_directory_t *directory, ts_view_t *view);
/** The current view, or NULL. */
const ts_view_t *ts_directory_view(const ts_directory_t *directory);
/** The record of a backend; created on first use. Valid as long as the directory. */
ts_replica_t *ts_directory_ensure_replica(ts_directory_t *directory, const ts_backend_t *backend);
/** The owner of a backend by the current view (see ts_view_owner()), or NULL if there is none. */
const ts_view_member_t *ts_directory_owner(ts_directory_t *directory, const ts_backend_t *backend);
/**
 * Records a reply, or the failure of an attempt without a reply. A success updates load, service
 * time and snapshot. An error updates the load; if it is caused by the backend or its owner, the
 * backend is avoided for a time that doubles with each consecutive failure up to a maximum, or for
 * the reply's retry_after_ms if that is longer.
 */
void ts_directory_record_reply(ts_directory_t *directory, ts_replica_t *replica,
                               const ts_subreply_t *subreply, ts_time_us_t latency_us,
                               ts_time_us_t now_us);
/**
 * Records an attempt that was cancelled before its reply. Its age is a lower bound of its latency;
 * the age minus the mean overhead counts as a service time if that raises the average and the last
 * reported queue was empty. Without this, a slow replica whose attempts are always cancelled in
 * favor of a hedge would keep a low service time.
 */
void ts_directory_record_cancelled(ts_directory_t *directory, ts_replica_t *replica,
                                   ts_time_us_t age_us, ts_time_us_t now_us);
/** Counts a subrequest sent to `peer` (TS_PEER_SELF: this node) as outstanding until
 * ts_directory_note_ended(). */
void ts_directory_note_sent(ts_directory_t *directory, uint64_t peer, ts_time_us_t now_us);
/** Marks the peer as not silent, as a reply arrived. Does not change the outstanding subrequests.
 */
void ts_directory_note_reply(ts_directory_t *directory, uint64_t peer, ts_time_us_t now_us);
/** Removes a subrequest that was replied to, failed or cancelled from the outstanding ones. */
void ts_directory_note_ended(ts_directory_t *directory, uint64_t peer);
/** Whether ts_directory_find_silent_peers() marked the peer, and it has not replied since. */
bool ts_directory_is_silent(ts_directory_t *directory, uint64_t peer);
/**
 * Marks and returns the peers that have become silent since the last call: several subrequests are
 * outstanding (SILENT_OUTSTANDING_MIN), and `timeout_us` has passed without a reply, since the last
 * one or since the first of them was sent. May include TS_PEER_SELF. Returns an array of uint64_t
 * ids, freed by the caller.
 */
GArray *ts_directory_find_silent_peers(ts_directory_t *directory, ts_time_us_t timeout_us,
                                       ts_time_us_t now_us);
/**
 * Fills in a candidate except its field `backend`; `tried` is set to false. `avoid` is set while
 * failures require it, or if the owner is a silent peer other than this node. Once per
 * SILENT_PROBE_INTERVAL_US a call disregards the silence, so that a subrequest can find out whether
 * the owner replies again; that call also schedules the next probe, even if the candidate is not
 * selected.
 */
void ts_directory_fill_candidate(ts_directory_t *directory, const ts_backend_t *backend,
                                 ts_time_us_t now_us, ts_candidate_t *candidate);

#endif
