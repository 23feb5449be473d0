/** Running estimate of a quantile. */
#include "tealspar/quantile.h"

/* Relative step size: starts large and falls with the number of values to a constant. */
#define STEP_FIRST 0.3
#define STEP_LAST 0.03

void ts_quantile_init(ts_quantile_t *quantile, double target, double guess_us)
{
    quantile->target = target;
    quantile->value_us = guess_us;
    quantile->count = 0;
}

void ts_quantile_add(ts_quantile_t *quantile, double value_us)
{
    if (quantile->value_us <= 0) {
        quantile->value_us = value_us;
    }
    quantile->count++;
    double step = STEP_FIRST / quantile->count;
    if (step < STEP_LAST) {
        step = STEP_LAST;
    }
    if (value_us > quantile->value_us) {
        quantile->value_us *= 1 + step * quantile->target;
    } else {
        quantile->value_us *= 1 - step * (1 - quantile->target);
    }
}
