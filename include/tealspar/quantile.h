/**
 * A running estimate of one quantile by stochastic approximation: constant memory, follows slow
 * changes. Values in microseconds. Pure.
 */
#ifndef TEALSPAR_QUANTILE_H
#define TEALSPAR_QUANTILE_H

#include <stdint.h>

typedef struct ts_quantile {
    double target;   /**< 0.95 for the 95th percentile */
    double value_us; /**< the estimate; 0 until the first value */
    uint32_t count;
} ts_quantile_t;

/** Starts it at a first guess (0: none), for a target between 0 and 1. */
void ts_quantile_init(ts_quantile_t *quantile, double target, double guess_us);
void ts_quantile_add(ts_quantile_t *quantile, double value_us);

#endif
