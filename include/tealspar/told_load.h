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
    ts_time_us_t told_us; /**< when; 0: never */
} ts_told_load_t;

/** Whether it had a slot free when it told this. */
bool ts_told_load_is_idle(const ts_told_load_t *load);

#endif
