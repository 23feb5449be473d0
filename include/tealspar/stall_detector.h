/**
 * Detects process stalls: the process was frozen, or the machine was suspended. Loop timers do not
 * advance while the machine is suspended, but the clock does. After a stall, code that waits for a
 * timer must check the clock at once, and durations measured across the stall must not be
 * attributed to other hosts.
 */
#ifndef TEALSPAR_STALL_DETECTOR_H
#define TEALSPAR_STALL_DETECTOR_H

#include <uv.h>

#include "tealspar/clock.h"

/**
 * Two checks that are further apart than the loop was due to poll between them plus this time
 * indicate a stall.
 */
#define TS_STALL_MIN_US (500 * TS_US_PER_MS)

typedef struct ts_stall_detector ts_stall_detector_t;

/** Called after a stall. `stalled_us` is the time between the checks without the expected poll. */
typedef void (*ts_stall_cb_t)(void *ctx, ts_time_us_t stalled_us);

/** Checks twice per loop iteration. Lives as long as the loop. */
ts_stall_detector_t *ts_stall_detector_start(uv_loop_t *loop, ts_stall_cb_t callback, void *ctx);
/** Checks at once. For read callbacks, which run before the check that follows polling. */
void ts_stall_detector_check(ts_stall_detector_t *detector);

#endif
