/**
 * Periodic checks of deadlines after a stall of this process. Timers fire before sockets are read:
 * what a check waits for may have arrived during the stall, so a late check is repeated once, after
 * the loop has polled.
 */
#ifndef TEALSPAR_LATE_CHECK_H
#define TEALSPAR_LATE_CHECK_H

#include <stdbool.h>

#include "tealspar/clock.h"

/** Delay of a repeated check. A delay of 0 would fire before the loop polls. */
#define TS_LATE_CHECK_REPEAT_MS 1

typedef struct ts_late_check {
    ts_time_us_t last_us; /**< when the check last ran, or its timer was started */
    bool is_repeat;       /**< the next run repeats a late one */
} ts_late_check_t;

/** Called when the timer of the check is started. */
void ts_late_check_start(ts_late_check_t *check, ts_time_us_t now_us);
/**
 * Called by each run. Returns true if the run is late by more than `interval_us`, the period of the
 * check, and does not repeat a late one: the caller then decides nothing and runs again after
 * TS_LATE_CHECK_REPEAT_MS.
 */
bool ts_late_check_must_repeat(ts_late_check_t *check, ts_time_us_t now_us,
                               ts_time_us_t interval_us);

#endif
