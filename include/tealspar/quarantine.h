/**
 * Requests under which back ends ended: which of them to try with care, and which to refuse. A
 * table of entries that is the same at every node as soon as their rows have passed; pure, no
 * sockets and no clock. See docs/design/quarantine.md.
 */
#ifndef TEALSPAR_QUARANTINE_H
#define TEALSPAR_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/request_digest.h"

typedef struct ts_quarantine ts_quarantine_t;

typedef enum ts_quarantine_state {
    TS_QUARANTINE_CLEAR,   /**< nothing speaks against it */
    TS_QUARANTINE_SUSPECT, /**< to be tried by one send at a time */
    TS_QUARANTINE_TRIAL,   /**< some node tries it just now: its outcome decides */
    TS_QUARANTINE_HELD     /**< to be refused */
} ts_quarantine_state_t;

/** An entry as it stands, to be told to other nodes. */
typedef struct ts_quarantine_row {
    ts_request_digest_t digest;
    uint32_t epoch;        /**< rises when it is suspected again after it was cleared */
    uint32_t strikes;      /**< back ends that ended under a lone send */
    uint32_t trials_begun; /**< lone sends, over all nodes */
    uint32_t trials_ended;
    uint32_t age_ms;     /**< since `strikes` or `is_cleared` last changed */
    const char *service; /**< where a back end last ended under it; never NULL */
    bool is_cleared;     /**< it ran whole */
} ts_quarantine_row_t;

/** Called with what others should know. */
typedef void (*ts_quarantine_tell_t)(void *ctx, const ts_quarantine_row_t *row);
/** Called with each entry, the most important first; false ends it. */
typedef bool (*ts_quarantine_visit_t)(void *ctx, const ts_quarantine_row_t *row);

ts_quarantine_t *ts_quarantine_create(void);
void ts_quarantine_destroy(ts_quarantine_t *quarantine);
/** Who passes on what this node finds; nobody at first. */
void ts_quarantine_on_news(ts_quarantine_t *quarantine, ts_quarantine_tell_t tell, void *ctx);

/** Whether no request is suspected: then there is no need to look one up. */
bool ts_quarantine_is_empty(const ts_quarantine_t *quarantine);
ts_quarantine_state_t ts_quarantine_find(const ts_quarantine_t *quarantine,
                                         const ts_request_digest_t *digest, ts_time_us_t now_us);
/** The service where a back end last ended under it; NULL if there is no entry. */
const char *ts_quarantine_service(const ts_quarantine_t *quarantine,
                                  const ts_request_digest_t *digest);

/** All sends of a try broke, and a back end of the service has ended. */
void ts_quarantine_suspect(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                           const char *service, ts_time_us_t now_us);
/**
 * A back end of the service ended under a lone send of it that left at `sent_us`. One that left
 * before the last strike was known adds none: what ended its back end may be what ended that one.
 */
void ts_quarantine_strike(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                          const char *service, ts_time_us_t sent_us, ts_time_us_t now_us);
/** It ran whole at a back end of the service. */
void ts_quarantine_clear(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                         const char *service, ts_time_us_t now_us);
/** This node begins to try a suspect, and has its outcome, unless a strike or a clear tells it. */
void ts_quarantine_begin_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                               ts_time_us_t now_us);
void ts_quarantine_end_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                             ts_time_us_t now_us);

/** What another node has told. Returns whether it was news, to be passed on. */
bool ts_quarantine_merge(ts_quarantine_t *quarantine, const ts_quarantine_row_t *row,
                         ts_time_us_t now_us);
/** A sum over what is held; nodes with the same have nothing to tell each other. */
uint64_t ts_quarantine_sum(const ts_quarantine_t *quarantine, ts_time_us_t now_us);
/** Visits all that is held, then the latest suspects, at most `suspects_max` of them. */
void ts_quarantine_each(const ts_quarantine_t *quarantine, ts_time_us_t now_us,
                        unsigned suspects_max, ts_quarantine_visit_t visit, void *ctx);
/** Forgets what is over. */
void ts_quarantine_sweep(ts_quarantine_t *quarantine, ts_time_us_t now_us);
unsigned ts_quarantine_count(const ts_quarantine_t *quarantine, ts_quarantine_state_t state,
                             ts_time_us_t now_us);

#endif
