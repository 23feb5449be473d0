/** Admission control at the owner of a backend. */
#include "tealspar/admission.h"

#include <math.h>

#define PERCENT 100U
/* Waiting time that raises the rank of a job by one priority level. */
#define AGING_US 25000.0
/*
 * A queue may take up to this share of a request's remaining time. The rest is left for the errors
 * of the estimate: with the whole time, an overloaded queue consists of requests that finish too
 * late.
 */
#define QUEUE_TIME_SHARE 0.5

bool ts_admission_has_slot(uint32_t slots, uint32_t slots_in_use, uint32_t kind_in_use,
                           uint32_t share_percent)
{
    uint32_t share = (slots * share_percent + PERCENT - 1) / PERCENT;
    return slots_in_use < slots && kind_in_use < share;
}

/* The number of jobs that are expected to leave the queue within the allowed time. */
static uint32_t queue_limit(const ts_admission_input_t *input)
{
    double slots = input->slots > 0 ? input->slots : 1;
    if (input->service_us <= 0) {
        return input->queue_max;
    }
    double limit = QUEUE_TIME_SHARE * (double)input->left_us / input->service_us * slots;
    return (uint32_t)fmin(fmax(limit, input->queue_min), input->queue_max);
}

ts_admission_t ts_admission_decide(const ts_admission_input_t *input, ts_error_t *error)
{
    *error = TS_OK;
    if (input->left_us == 0) {
        *error = TS_E_PAST_DEADLINE;
        return TS_ADMIT_REFUSE;
    }
    if (input->queue_ahead == 0 &&
        ts_admission_has_slot(input->slots, input->slots_in_use, input->kind_in_use,
                              input->kind_share_percent)) {
        return TS_ADMIT_RUN;
    }
    if (input->queue_length >= queue_limit(input)) {
        *error = TS_E_QUEUE_FULL;
        return TS_ADMIT_REFUSE;
    }
    double slots = input->slots > 0 ? input->slots : 1;
    double expected_us = input->service_us * (1.0 + (input->queue_ahead + 1) / slots);
    if (expected_us > (double)input->left_us) {
        *error = TS_E_CANNOT_FINISH;
        return TS_ADMIT_REFUSE;
    }
    return TS_ADMIT_QUEUE;
}

double ts_admission_rank(uint32_t priority, ts_time_us_t waited_us)
{
    return priority + (double)waited_us / AGING_US;
}
