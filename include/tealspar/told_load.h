/** What a back end tells of its load with an answer. */
#ifndef TEALSPAR_TOLD_LOAD_H
#define TEALSPAR_TOLD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

typedef struct ts_told_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t work_percent; /**< how long work takes there now; 100: as usual, and when not told */
    ts_time_us_t told_us;  /**< when; 0: never */
} ts_told_load_t;

/** Whether it had a slot free when it told this. */
bool ts_told_load_is_idle(const ts_told_load_t *load);
/** How much longer work takes there than usual, as far as what was told is still worth: 1 and more.
 */
double ts_told_load_slowness(const ts_told_load_t *load, ts_time_us_t now_us);

#endif
