/** Admission control at the owner of a backend: run now, queue, or reject. Pure functions. */
#ifndef TEALSPAR_ADMISSION_H
#define TEALSPAR_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"
#include "tealspar/error.h"

typedef struct ts_admission_input {
    uint32_t slots; /**< slots available for use */
    uint32_t slots_in_use;
    uint32_t kind_in_use; /**< slots held by this kind of query */
    uint32_t kind_share_percent;
    uint32_t queue_ahead;  /**< jobs queued at this priority or above */
    uint32_t queue_length; /**< all queued jobs */
    uint32_t queue_min;    /**< queue length up to which only the deadline counts */
    uint32_t queue_max;    /**< limit for requests that are expected to run soon */
    double service_us;     /**< average service time; 0: unknown */
    ts_time_us_t left_us;  /**< time left until the deadline */
} ts_admission_input_t;

typedef enum ts_admission { TS_ADMIT_RUN, TS_ADMIT_QUEUE, TS_ADMIT_REFUSE } ts_admission_t;

/** Decides on one subrequest. For TS_ADMIT_REFUSE, `*error` is the reason; nothing was executed. */
ts_admission_t ts_admission_decide(const ts_admission_input_t *input, ts_error_t *error);
/** Whether a slot is free and the kind is below its share (in percent, rounded up) of all slots. */
bool ts_admission_has_slot(uint32_t slots, uint32_t slots_in_use, uint32_t kind_in_use,
                           uint32_t share_percent);
/** Rank of a queued job; the highest runs first. Rises with waiting, so that no job starves. */
double ts_admission_rank(uint32_t priority, ts_time_us_t waited_us);

#endif
