/**
 * Paces calls that read changes. Each call has its price, so changes that come close together are
 * read by one call; but a few that come after a rest are followed at once, as the next one may be a
 * configuration. Pure.
 */
#ifndef TEALSPAR_CALL_PACE_H
#define TEALSPAR_CALL_PACE_H

#include "tealspar/clock.h"

typedef struct ts_call_pace {
    double calls;            /**< that may be made at once */
    ts_time_us_t counted_us; /**< when `calls` was counted; 0: never */
} ts_call_pace_t;

/** Some changes were read now; returns how long to wait before the next call, in microseconds. */
ts_time_us_t ts_call_pace_take(ts_call_pace_t *pace, ts_time_us_t now_us);

#endif
