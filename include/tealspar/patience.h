/**
 * Typical timeout that callers of a route set, used to recognize retries after a refusal: these
 * have less time left than usual. The typical value is a high quantile of the latest requests
 * rather than the maximum, so that a few callers with a huge timeout don't make all others look
 * like retries.
 */
#ifndef TEALSPAR_PATIENCE_H
#define TEALSPAR_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

#define TS_PATIENCE_SAMPLES 32U

/** Timeouts of the latest requests that carried one, as a ring buffer. */
typedef struct ts_patience {
    uint32_t latest_ms[TS_PATIENCE_SAMPLES];
    uint32_t count; /**< requests added so far */
} ts_patience_t;

/** Adds the timeout of a request; 0 (none given) is ignored. */
void ts_patience_note(ts_patience_t *patience, uint32_t patience_ms);
/** The typical timeout; 0: no request has carried one yet. */
uint32_t ts_patience_usual_ms(const ts_patience_t *patience);
/** Whether a timeout is shorter than usual, which suggests a retry after a refusal. */
bool ts_patience_has_returned(const ts_patience_t *patience, uint32_t patience_ms);

#endif
