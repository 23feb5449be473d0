/** Admission control: whether a request is sent now, waits, or is refused. */
#include <stdlib.h>

#include "request.h"

/*
 * Quantile of the latest times of the route that must fit into the time left: most likely it does.
 * Higher for requests that may run only once, as their callers cannot repeat them after a 504.
 */
#define REPEATABLE_QUANTILE 0.5
#define ONCE_ONLY_QUANTILE 0.9

static double required_work_us(const ts_request_t *request)
{
    bool is_repeatable = request->route->is_repeatable;
    return ts_work_estimate_quantile_us(&request->route_state->work,
                                        is_repeatable ? REPEATABLE_QUANTILE : ONCE_ONLY_QUANTILE);
}

/* Whether the part, behind `ahead` waiting requests, is likely answered before the deadline. */
static bool is_in_time(const ts_request_part_t *part, double work_us, unsigned ahead,
                       ts_time_us_t now_us)
{
    ts_time_us_t deadline_us = part->request->deadline_us;
    if (now_us >= deadline_us)
        return false;
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    input.work_us = work_us;
    ts_forecast_t forecast = ts_forecast_request(part->service, &input, ahead);
    return forecast.answer_in_us <= (double)(deadline_us - now_us);
}

bool ts_part_can_finish(const ts_request_part_t *part, ts_time_us_t now_us)
{
    return is_in_time(part, required_work_us(part->request), 0, now_us);
}

bool ts_request_can_finish(const ts_request_t *request, ts_time_us_t now_us)
{
    const ts_admission_queue_t *queue = request->gateway->admission_queue;
    double work_us = required_work_us(request);
    unsigned able = 0;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        unsigned ahead = ts_admission_queue_ahead(queue, request, part->service);
        able += part->state == TS_PART_OPEN && is_in_time(part, work_us, ahead, now_us);
    }
    return able >= ts_request_parts_needed(request);
}

static int compare_begin(const void *left, const void *right)
{
    double left_us = ((const ts_forecast_t *)left)->begin_in_us;
    double right_us = ((const ts_forecast_t *)right)->begin_in_us;
    return (left_us > right_us) - (left_us < right_us);
}

ts_forecast_t ts_request_forecast(const ts_request_t *request, unsigned ahead, ts_time_us_t now_us)
{
    double work_us = required_work_us(request);
    ts_forecast_t *parts = g_new(ts_forecast_t, request->parts_count);
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
        input.work_us = work_us;
        parts[i] = ts_forecast_request(part->service, &input, ahead);
    }
    qsort(parts, request->parts_count, sizeof(*parts), compare_begin);
    ts_forecast_t forecast = parts[ts_request_parts_needed(request) - 1];
    g_free(parts);
    return forecast;
}

/* Whether requests that are ahead of this one wait for the part's service. They are admitted in
 * order by the next pass over the queue. */
static bool is_behind_others(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    return request->queue_link == NULL &&
           ts_admission_queue_ahead(request->gateway->admission_queue, request, part->service) > 0;
}

/* Whether enough parts can be sent immediately for the request to succeed. */
static bool can_begin(const ts_request_t *request, ts_time_us_t now_us)
{
    unsigned missing_max = request->parts_count - ts_request_parts_needed(request);
    unsigned blocked = 0;
    for (unsigned i = 0; i < request->parts_count && blocked <= missing_max; i++) {
        const ts_request_part_t *part = &request->parts[i];
        blocked += part->state == TS_PART_LOST || is_behind_others(part) ||
                   ts_part_is_blocked(part, now_us);
    }
    return blocked <= missing_max;
}

static void record_blocked(ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_record_blocked(&request->parts[i], now_us);
}

static void log_blocked(const ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_log_blocked(&request->parts[i], now_us);
}

/*
 * Gives up parts without a permitted instance before anything is sent. Returns whether the request
 * can still succeed; if not, waiting would not help.
 */
static bool exclude_parts(ts_request_t *request, ts_time_us_t now_us)
{
    unsigned missing_max = request->parts_count - ts_request_parts_needed(request);
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[i];
        if (part->state == TS_PART_OPEN && ts_part_is_excluded(part, now_us))
            ts_part_exclude(part, now_us);
    }
    return request->parts_lost <= missing_max;
}

/* TS_ADMISSION_ADMITTED if the tenant's quota allows the request. */
static ts_admission_result_t check_quota(ts_request_t *request, ts_time_us_t now_us)
{
    switch (ts_request_acquire_quota(request, now_us)) {
    case TS_RATE_TAKEN:
        return TS_ADMISSION_ADMITTED;
    case TS_RATE_EXCEEDED:
        return TS_ADMISSION_OVER_QUOTA;
    case TS_RATE_UNAVAILABLE:
        return TS_ADMISSION_UNCONFIRMED;
    case TS_RATE_PENDING:
        break;
    }
    return now_us < request->quota_deadline_us ? TS_ADMISSION_DEFERRED : TS_ADMISSION_UNCONFIRMED;
}

static void send_parts(ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (request->parts[i].state == TS_PART_OPEN)
            ts_part_send_first(&request->parts[i]);
    }
}

static void begin(ts_request_t *request, ts_time_us_t now_us)
{
    request->is_admitted = true;
    request->route_state->in_progress++;
    if (request->is_suspect)
        ts_request_begin_isolated(request, now_us);
    else
        send_parts(request);
}

ts_admission_result_t ts_request_admit(ts_request_t *request, ts_time_us_t now_us)
{
    if (now_us >= request->deadline_us)
        return request->is_shortened ? TS_ADMISSION_STOPPING : TS_ADMISSION_PAST_DEADLINE;
    if (ts_request_is_revoked(request))
        return TS_ADMISSION_REVOKED;
    if (!exclude_parts(request, now_us))
        return TS_ADMISSION_EXCLUDED;
    if (!ts_request_can_finish_before_exit(request, now_us))
        return TS_ADMISSION_STOPPING;
    ts_admission_result_t quarantine = ts_request_check_quarantine(request, now_us);
    if (quarantine != TS_ADMISSION_ADMITTED)
        return quarantine;
    ts_admission_result_t quota = check_quota(request, now_us);
    if (quota != TS_ADMISSION_ADMITTED)
        return quota;
    // the only request of a route is not refused by what earlier ones took, so that its answer can
    // correct the estimate
    bool is_probe = request->route_state->in_progress == 0;
    bool can_finish = ts_request_can_finish(request, now_us);
    if ((can_finish || is_probe) && can_begin(request, now_us)) {
        begin(request, now_us);
        return TS_ADMISSION_ADMITTED;
    }
    record_blocked(request, now_us);
    if (can_finish)
        return TS_ADMISSION_QUEUED;
    log_blocked(request, now_us);
    return TS_ADMISSION_OVERLOAD;
}
