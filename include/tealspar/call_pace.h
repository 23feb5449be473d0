/**
 * Token bucket that limits how often the configuration service is called to read changes. Each call
 * has a cost, so changes in quick succession are read in one batch. After an idle period a few
 * calls are made without delay, because the next change may be a configuration. Does no I/O.
 */
#ifndef TEALSPAR_CALL_PACE_H
#define TEALSPAR_CALL_PACE_H

#include "tealspar/clock.h"

typedef struct ts_call_pace {
    double tokens;            /**< calls that may be made without delay */
    ts_time_us_t refilled_us; /**< last refill; 0: never */
} ts_call_pace_t;

/** Records that changes were read at `now_us`; returns the delay before the next call. */
ts_time_us_t ts_call_pace_take(ts_call_pace_t *pace, ts_time_us_t now_us);

#endif
