/**
 * Running estimate of one quantile by stochastic approximation. Uses constant memory and follows
 * slow changes of the distribution. Values are in microseconds.
 */
#ifndef TEALSPAR_QUANTILE_H
#define TEALSPAR_QUANTILE_H

#include <stdint.h>

typedef struct ts_quantile {
    double target;   /**< 0.95 for the 95th percentile */
    double value_us; /**< the estimate; 0: none yet */
    uint32_t count;  /**< values added so far */
} ts_quantile_t;

/** `target` is between 0 and 1; `guess_us` is an initial estimate (0: none). */
void ts_quantile_init(ts_quantile_t *quantile, double target, double guess_us);
void ts_quantile_add(ts_quantile_t *quantile, double value_us);

#endif
