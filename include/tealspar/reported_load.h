/** Load that a backend reports with a response. */
#ifndef TEALSPAR_REPORTED_LOAD_H
#define TEALSPAR_REPORTED_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

typedef struct ts_reported_load {
    uint32_t running;         /**< requests in progress */
    uint32_t waiting;         /**< requests queued */
    uint32_t slots;           /**< requests that the backend can process concurrently */
    ts_time_us_t reported_us; /**< time of the report; 0: none yet */
} ts_reported_load_t;

/** Whether the backend reported a free slot and an empty queue. */
bool ts_reported_load_is_idle(const ts_reported_load_t *load);

#endif
