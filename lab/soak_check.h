/** Pure checks of the soak: what a searcher must answer, whether an answer is right, budgets. */
#ifndef LAB_SOAK_CHECK_H
#define LAB_SOAK_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

#define SOAK_RECORDS_PER_ANSWER 8 // in each searcher's answer
#define SOAK_TOP_RECORDS 5        // of them a gathered answer brings

/** The records that a service holds for a request, in no order; the same at every replica. */
void soak_compose_body(const char *service, const char *request_id, GString *body);

// A gathered answer as the caller got it.
typedef struct soak_gathered {
    const char *request_id;
    const char *signatures; // comma-separated
    unsigned missing;
    const char *body;
    size_t body_length;
} soak_gathered_t;

/**
 * Checks a gathered answer against the services of its signatures; `service_of` names the service
 * of an instance id. `services` receives them as a bit set of `service[0] - 'a'`. Returns NULL when
 * all is right, else what is wrong.
 */
typedef const char *(*soak_service_of_t)(void *ctx, const char *instance_id);
const char *soak_check_gathered(const soak_gathered_t *answer, soak_service_of_t service_of,
                                void *ctx, uint64_t *services);

// When requests for a service were sent by callers, and when it got arrivals beyond the first.
typedef struct soak_budget_log {
    GArray *requests;       // of ts_time_us_t, rising
    GArray *extra_arrivals; // of ts_time_us_t, rising
} soak_budget_log_t;

/**
 * The most by which the extras of some window passed ratio x requests + slack; 0 or less: never.
 * Requests count in the window, in the one before it, or in the one half a window before it,
 * whichever has most.
 */
double soak_budget_excess(const soak_budget_log_t *log, ts_time_us_t window_us, double ratio,
                          double slack);

/** The most of the times (of ts_time_us_t, rising) that lie within some window. */
unsigned soak_max_within(const GArray *times, ts_time_us_t window_us);

/** How many of the arrivals (of ts_time_us_t, rising) came in the last `window_us`. */
unsigned soak_arrivals_within(const GArray *arrivals, ts_time_us_t window_us);

#endif
