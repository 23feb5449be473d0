/** Admission control at the owner of a backend. */
#include "tealspar/admission.h"

#define PERCENT 100U
/* Waiting time that raises the rank of a job by one priority level. */
#define AGING_US 25000.0
/*
 * A queue longer than queue_min may take up to this share of a request's remaining time. The rest
 * is left for the errors of the estimate: with the whole time, an overloaded queue consists of
 * requests that finish too late.
 */
#define QUEUE_TIME_SHARE 0.5

bool ts_admission_has_slot(uint32_t slots, uint32_t slots_in_use, uint32_t kind_in_use,
                           uint32_t share_percent)
{
    uint32_t share = (slots * share_percent + PERCENT - 1) / PERCENT;
    return slots_in_use < slots && kind_in_use < share;
}

/* Time until the request has run, if all jobs ahead of it run first. */
static double expected_us(const ts_admission_input_t *input)
{
    double slots = input->slots > 0 ? input->slots : 1;
    return input->service_us * (1.0 + (input->queue_ahead + 1) / slots);
}

static bool is_queue_full(const ts_admission_input_t *input)
{
    // without a measured service time the expected time is 0
    bool is_soon = expected_us(input) <= QUEUE_TIME_SHARE * (double)input->left_us;
    uint32_t limit = is_soon ? input->queue_max : input->queue_min;
    return input->queue_length >= limit;
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
    if (input->queue_length < input->queue_max && expected_us(input) > (double)input->left_us) {
        *error = TS_E_CANNOT_FINISH;
        return TS_ADMIT_REFUSE;
    }
    if (is_queue_full(input)) {
        *error = TS_E_QUEUE_FULL;
        return TS_ADMIT_REFUSE;
    }
    return TS_ADMIT_QUEUE;
}

double ts_admission_rank(uint32_t priority, ts_time_us_t waited_us)
{
    return priority + (double)waited_us / AGING_US;
}
