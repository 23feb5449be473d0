/**
 * Notices that this process stood still: frozen, or its machine suspended (the loop's timers stand
 * still then, the clock does not). Whatever waits for a timer has to look at the clock at once, and
 * times that were measured across the gap say nothing of others.
 */
#ifndef TEALSPAR_WAKE_H
#define TEALSPAR_WAKE_H

#include <uv.h>

#include "tealspar/clock.h"

/** A turn of the loop that takes so much longer than it should counts as standing still. */
#define TS_WAKE_LEAST_US (500 * TS_US_PER_MS)

typedef struct ts_wake ts_wake_t;

/** Called once the process runs again, with the time that was lost. */
typedef void (*ts_wake_notice_t)(void *ctx, ts_time_us_t lost_us);

/** Looks twice a turn of the loop. Lives as long as the loop. */
ts_wake_t *ts_wake_watch(uv_loop_t *loop, ts_wake_notice_t notice, void *ctx);
/** Looks now: what came in meanwhile is read before the loop's own look. */
void ts_wake_look(ts_wake_t *wake);

#endif
