/**
 * How long callers of a route usually wait for an answer, to tell those that came back after a
 * refusal: they have less time than usual. A high quantile of the latest requests, so that a few
 * callers with a huge deadline do not make all others look as if they had returned. Pure.
 */
#ifndef TEALSPAR_PATIENCE_H
#define TEALSPAR_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

#define TS_PATIENCE_SAMPLES 32U

/** The patience of the latest callers that told theirs, in milliseconds. */
typedef struct ts_patience {
    uint32_t latest_ms[TS_PATIENCE_SAMPLES];
    uint32_t count; /**< callers so far */
} ts_patience_t;

/** A caller waits as long; 0: it did not say, and is not counted. */
void ts_patience_note(ts_patience_t *patience, uint32_t patience_ms);
/** How long callers usually wait; 0: nobody has said so far. */
uint32_t ts_patience_usual_ms(const ts_patience_t *patience);
/** Whether a caller with this patience has less than usual, as after a refusal. */
bool ts_patience_has_returned(const ts_patience_t *patience, uint32_t patience_ms);

#endif
