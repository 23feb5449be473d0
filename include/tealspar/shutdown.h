/**
 * Schedule of a graceful shutdown, from the stop signal to the exit. Depends only on the times that
 * are passed in; does not read the clock.
 */
#ifndef TEALSPAR_SHUTDOWN_H
#define TEALSPAR_SHUTDOWN_H

#include <stdbool.h>

#include "tealspar/clock.h"

typedef enum ts_shutdown_phase {
    TS_SHUTDOWN_NONE,      /**< no shutdown has begun */
    TS_SHUTDOWN_ACCEPTING, /**< clients may still connect, as they learn of the shutdown late */
    TS_SHUTDOWN_CLOSING,   /**< the listener and idle connections are closed */
    TS_SHUTDOWN_FLUSHING,  /**< no request may be in progress; answers are still written */
    TS_SHUTDOWN_ENDED      /**< the process exits */
} ts_shutdown_phase_t;

/** A shutdown; all zero until it begins. Times are those of the clock, not relative. */
typedef struct ts_shutdown {
    ts_shutdown_phase_t phase;
    ts_time_us_t close_listener_us; /**< end of TS_SHUTDOWN_ACCEPTING */
    ts_time_us_t answer_by_us;      /**< deadline of all requests, end of TS_SHUTDOWN_CLOSING */
    ts_time_us_t exit_us;           /**< latest time of the exit */
} ts_shutdown_t;

/**
 * Begins a shutdown now; does nothing if it has begun. `grace_us`: time until the process is
 * killed. The schedule is not changed later, as the platform measures the grace period from its
 * signal.
 */
void ts_shutdown_begin(ts_shutdown_t *shutdown, ts_time_us_t now_us, ts_time_us_t grace_us);
/**
 * Enters the next phase if it is due, and returns the phase. `is_idle`: no connection is open. At
 * most one phase is entered by a call, so that sockets are polled in each phase also after the
 * process has stalled.
 */
ts_shutdown_phase_t ts_shutdown_advance(ts_shutdown_t *shutdown, ts_time_us_t now_us, bool is_idle);
/** Latest time at which a request may be answered; UINT64_MAX while no shutdown has begun. */
ts_time_us_t ts_shutdown_answer_by_us(const ts_shutdown_t *shutdown);

#endif
