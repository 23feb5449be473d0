/**
 * Measures how long messages from one sender have been on the way, without a common clock: the
 * difference between the receiver's and the sender's clock is least for the messages that came
 * fastest, and what a message has beyond that is a delay. It makes no difference where the message
 * waited: at the sender, in the network, or in the sockets of a suspended receiver.
 */
#ifndef TEALSPAR_TRANSIT_H
#define TEALSPAR_TRANSIT_H

#include "tealspar/clock.h"

/** State for one sender; initialized with zeros. */
typedef struct ts_transit {
    uint32_t clock;          /**< identifies the sender's clock; 0: no message yet */
    int64_t least_us;        /**< least difference of the clocks in the current window */
    int64_t least_before_us; /**< the same in the window before; INT64_MAX: there was none */
    ts_time_us_t window_us;  /**< begin of the current window */
} ts_transit_t;

/**
 * Adds a message; returns its delay beyond the fastest one of the last one to two minutes. The
 * first one of a clock has no delay, and neither has one without a clock (0). Clocks may drift
 * apart by 500 us a second, which falsifies a delay by 60 ms at most. A way that stays slow for two
 * minutes has no delay any more.
 */
ts_time_us_t ts_transit_add(ts_transit_t *transit, uint32_t clock, ts_time_us_t sent_us,
                            ts_time_us_t received_us);

#endif
