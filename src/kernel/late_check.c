/** Detection of late periodic checks. */
#include "tealspar/late_check.h"

void ts_late_check_start(ts_late_check_t *check, ts_time_us_t now_us)
{
    check->last_us = now_us;
    check->is_repeat = false;
}

bool ts_late_check_must_repeat(ts_late_check_t *check, ts_time_us_t now_us,
                               ts_time_us_t interval_us)
{
    bool is_late = now_us - check->last_us > 2 * interval_us;
    check->last_us = now_us;
    check->is_repeat = is_late && !check->is_repeat;
    return check->is_repeat;
}
