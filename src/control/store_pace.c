/** Token bucket for the calls that read changes. */
#include <glib.h>
#include <stdbool.h>

#include "tealspar/call_pace.h"

/* Interval between calls while changes keep coming; each call reads a batch. */
#define BATCH_INTERVAL_US (700 * TS_US_PER_MS)
/* Calls without delay after an idle period: a changed entry, and the configuration after it. */
#define BURST_CALLS 2.0
/* Time to refill one token. */
#define REFILL_US (3 * TS_US_PER_S)

ts_time_us_t ts_call_pace_take(ts_call_pace_t *pace, ts_time_us_t now_us)
{
    double refilled = (double)(now_us - pace->refilled_us) / (double)REFILL_US;
    bool is_first = pace->refilled_us == 0;
    pace->tokens = is_first ? BURST_CALLS : MIN(pace->tokens + refilled, BURST_CALLS);
    pace->refilled_us = now_us;
    if (pace->tokens < 1)
        return BATCH_INTERVAL_US;
    pace->tokens -= 1;
    return 0;
}
