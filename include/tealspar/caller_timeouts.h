/**
 * Typical timeout that callers of a route set, used to recognize retries after a refusal: these
 * have less time left than the typical timeout. That is a high quantile of the timeouts of the
 * latest 32 requests rather than the maximum, so that a few callers with a huge timeout don't make
 * all others look like retries.
 */
#ifndef TEALSPAR_CALLER_TIMEOUTS_H
#define TEALSPAR_CALLER_TIMEOUTS_H

#include <stdbool.h>
#include <stdint.h>

#define TS_CALLER_TIMEOUT_SAMPLES 32U

/** Timeouts of the latest requests that carried one, as a ring buffer. */
typedef struct ts_caller_timeouts {
    uint32_t latest_ms[TS_CALLER_TIMEOUT_SAMPLES];
    uint32_t count; /**< requests added so far */
} ts_caller_timeouts_t;

/** Adds the timeout of a request; 0 (none given) is ignored. */
void ts_caller_timeouts_add(ts_caller_timeouts_t *timeouts, uint32_t timeout_ms);
/** The typical timeout; 0: no request has carried one yet. */
uint32_t ts_caller_timeouts_typical_ms(const ts_caller_timeouts_t *timeouts);
/** Whether a timeout is shorter than the typical one, which suggests a retry after a refusal. */
bool ts_caller_timeouts_is_retry(const ts_caller_timeouts_t *timeouts, uint32_t timeout_ms);

#endif
