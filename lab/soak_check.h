/** Pure functions of the soak: expected bodies, checks of merged responses and of budgets. */
#ifndef LAB_SOAK_CHECK_H
#define LAB_SOAK_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

#define SOAK_RECORDS_PER_RESPONSE 8 // records in each searcher's response
#define SOAK_TOP_RECORDS 5          // highest records kept in a merged response

/** Appends the records that every replica of a service returns for a request, unsorted. */
void soak_compose_body(const char *service, const char *request_id, GString *body);

// A merged response as received by the caller.
typedef struct soak_gathered {
    const char *request_id;
    const char *signatures; // comma-separated
    unsigned missing;
    const char *body;
    size_t body_length;
} soak_gathered_t;

/**
 * Checks a merged response against the services that its signatures name; `service_of` returns the
 * service of an instance id, or NULL. `services` receives these services as a bit set, indexed by
 * `service[0] - 'a'`. Returns NULL or a description of the first error.
 */
typedef const char *(*soak_service_of_t)(void *ctx, const char *instance_id);
const char *soak_check_gathered(const soak_gathered_t *response, soak_service_of_t service_of,
                                void *ctx, uint64_t *services);

// Times at which callers sent requests for a service, and at which the service received a request
// again.
typedef struct soak_budget_log {
    GArray *requests;       // ts_time_us_t[], ascending
    GArray *extra_arrivals; // ts_time_us_t[], ascending
} soak_budget_log_t;

/**
 * Maximum over all windows of extra arrivals - (ratio x requests + slack); at most 0: the budget
 * was kept. The requests are counted in the same window, in the previous one and in the one that
 * begins half a window earlier, and the largest number is used.
 */
double soak_budget_excess(const soak_budget_log_t *log, ts_time_us_t window_us, double ratio,
                          double slack);

/** Maximum number of `times` (ts_time_us_t[], ascending) in any window. */
unsigned soak_max_within(const GArray *times, ts_time_us_t window_us);

/** Number of `arrivals` (ts_time_us_t[], ascending) in the window that ends at the last one. */
unsigned soak_count_last_window(const GArray *arrivals, ts_time_us_t window_us);

#endif
