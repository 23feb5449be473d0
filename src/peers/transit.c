/** Delays of messages between nodes without a common clock. */
#include "tealspar/transit.h"

#include <glib.h>
#include <stdbool.h>

/* Long enough to hold a message that was not delayed; the shorter, the less clocks drift. */
#define WINDOW_US (60 * TS_US_PER_S)

ts_time_us_t ts_transit_add(ts_transit_t *transit, uint32_t clock, ts_time_us_t sent_us,
                            ts_time_us_t received_us)
{
    int64_t difference_us = (int64_t)(received_us - sent_us);
    if (clock == 0)
        return 0;
    bool is_new_clock = clock != transit->clock;
    if (is_new_clock || received_us - transit->window_us > WINDOW_US) {
        transit->least_before_us = is_new_clock ? INT64_MAX : transit->least_us;
        transit->least_us = difference_us;
        transit->window_us = received_us;
        transit->clock = clock;
    }
    transit->least_us = MIN(transit->least_us, difference_us);
    int64_t least_us = MIN(transit->least_us, transit->least_before_us);
    return (ts_time_us_t)(difference_us - least_us);
}
