/** Pacing of the calls that read changes. */
#include <glib.h>
#include <stdbool.h>

#include "tealspar/call_pace.h"

/* Changes that go on coming are read by one call in so long. */
#define BATCH_US (700 * TS_US_PER_MS)
/* Calls that may follow at once after a rest: an entry that changes, and a configuration after it.
 */
#define AT_ONCE_MOST 2.0
#define GAIN_US (3 * TS_US_PER_S)

ts_time_us_t ts_call_pace_take(ts_call_pace_t *pace, ts_time_us_t now_us)
{
    double gained = (double)(now_us - pace->counted_us) / (double)GAIN_US;
    bool is_first = pace->counted_us == 0;
    pace->calls = is_first ? AT_ONCE_MOST : MIN(pace->calls + gained, AT_ONCE_MOST);
    pace->counted_us = now_us;
    if (pace->calls < 1)
        return BATCH_US;
    pace->calls -= 1;
    return 0;
}
