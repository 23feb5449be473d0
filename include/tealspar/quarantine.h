/**
 * Table of requests suspected of crashing backends: which to send alone, and which to quarantine,
 * that is to refuse. Nodes exchange rows and merge them, so that the tables of all nodes converge.
 * Uses no sockets and does not read the clock. See docs/design/quarantine.md.
 *
 * An isolated send is made while no other send of the same request is in flight, so that a crash
 * can be attributed to that request. A trial is an isolated send of a suspected request.
 */
#ifndef TEALSPAR_QUARANTINE_H
#define TEALSPAR_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/request_digest.h"

typedef struct ts_quarantine ts_quarantine_t;

typedef enum ts_quarantine_state {
    TS_QUARANTINE_CLEAR,      /**< not suspected */
    TS_QUARANTINE_SUSPECT,    /**< to be sent by isolated sends only */
    TS_QUARANTINE_TRIAL,      /**< some node has a trial in flight; await its outcome */
    TS_QUARANTINE_QUARANTINED /**< quarantined: to be refused */
} ts_quarantine_state_t;

/** State of an entry, as sent to other nodes. */
typedef struct ts_quarantine_row {
    ts_request_digest_t digest;
    uint32_t epoch;   /**< incremented when the request is suspected again after it was cleared */
    uint32_t strikes; /**< backends that crashed during an isolated send */
    uint32_t trials_begun; /**< by all nodes together, as is `trials_ended` */
    uint32_t trials_ended;
    uint32_t age_ms;     /**< time since `strikes` or `is_cleared` last changed */
    const char *service; /**< of the backend that crashed last during the request; never NULL */
    bool is_cleared;     /**< the request has completed successfully since */
} ts_quarantine_row_t;

/** Called with a changed row that is to be sent to other nodes. */
typedef void (*ts_quarantine_publish_t)(void *ctx, const ts_quarantine_row_t *row);
/** Called for each entry, in order of importance; returns false to stop. */
typedef bool (*ts_quarantine_visit_t)(void *ctx, const ts_quarantine_row_t *row);

ts_quarantine_t *ts_quarantine_create(void);
void ts_quarantine_destroy(ts_quarantine_t *quarantine);
/** Sets the callback for changes that this node makes; none by default. */
void ts_quarantine_set_publisher(ts_quarantine_t *quarantine, ts_quarantine_publish_t publisher,
                                 void *ctx);

/** Whether the table is empty, so that callers can skip the lookup. */
bool ts_quarantine_is_empty(const ts_quarantine_t *quarantine);
ts_quarantine_state_t ts_quarantine_find(const ts_quarantine_t *quarantine,
                                         const ts_request_digest_t *digest, ts_time_us_t now_us);
/** The service of the backend that crashed last during the request; NULL if there is no entry. */
const char *ts_quarantine_service(const ts_quarantine_t *quarantine,
                                  const ts_request_digest_t *digest);

/** Suspects a request: all its sends were broken off and a backend of the service crashed. */
void ts_quarantine_suspect(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                           const char *service, ts_time_us_t now_us);
/**
 * Counts a strike: a backend of the service crashed during an isolated send at `sent_us`.
 * A send from before the previous strike became known does not count, as both crashes may have the
 * same cause.
 */
void ts_quarantine_strike(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                          const char *service, ts_time_us_t sent_us, ts_time_us_t now_us);
/**
 * Clears a request that completed successfully at a backend of the service. Ignored if the last
 * crash was at a backend of another service.
 */
void ts_quarantine_clear(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                         const char *service, ts_time_us_t now_us);
/** Begins and ends a trial by this node. A strike or a clear needs no call to end the trial. */
void ts_quarantine_begin_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                               ts_time_us_t now_us);
void ts_quarantine_end_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                             ts_time_us_t now_us);

/** Merges a row from another node. Returns whether it changed anything and is to be forwarded. */
bool ts_quarantine_merge(ts_quarantine_t *quarantine, const ts_quarantine_row_t *row,
                         ts_time_us_t now_us);
/** Checksum over the quarantines in effect; nodes with equal checksums need not synchronize. */
uint64_t ts_quarantine_checksum(const ts_quarantine_t *quarantine, ts_time_us_t now_us);
/**
 * Visits all quarantined entries, also those whose quarantine has ended, and then at most
 * `suspects_max` others, latest first.
 */
void ts_quarantine_foreach(const ts_quarantine_t *quarantine, ts_time_us_t now_us,
                           unsigned suspects_max, ts_quarantine_visit_t visit, void *ctx);
/** Removes expired entries. */
void ts_quarantine_expire(ts_quarantine_t *quarantine, ts_time_us_t now_us);
unsigned ts_quarantine_count(const ts_quarantine_t *quarantine, ts_quarantine_state_t state,
                             ts_time_us_t now_us);

#endif
