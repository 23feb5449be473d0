/**
 * Time that the requests of a route take at a backend that starts them at once, from the latest
 * answers. Older ones are forgotten, so that a route that was slow is not taken for slow any more
 * once as many quick answers have come.
 */
#ifndef TEALSPAR_WORK_ESTIMATE_H
#define TEALSPAR_WORK_ESTIMATE_H

#include <stdint.h>

#define TS_WORK_SAMPLES 32U

/** The latest times in microseconds, as a ring buffer. */
typedef struct ts_work_estimate {
    float samples_us[TS_WORK_SAMPLES];
    uint32_t count; /**< times added so far */
} ts_work_estimate_t;

void ts_work_estimate_add(ts_work_estimate_t *estimate, double work_us);
/** The quantile (0 to 1) of the latest times in microseconds; 0: none is known yet. */
double ts_work_estimate_quantile_us(const ts_work_estimate_t *estimate, double quantile);

#endif
