/** Requests during a graceful shutdown: their deadlines, and whether they can still be answered. */
#include "request.h"

/* A backend must answer this long before the deadline of a shutdown. It then still says whether it
 * has run a request that it had queued. */
#define REPLY_MARGIN_US (50 * TS_US_PER_MS)
/* Quantile of the route's response times that must fit into the time left. Higher for requests that
 * may run only once, as their callers cannot retry them after a 504. */
#define REPEATABLE_QUANTILE 0.9
#define ONCE_ONLY_QUANTILE 0.99

void ts_request_apply_shutdown(ts_request_t *request)
{
    ts_time_us_t answer_by_us = ts_shutdown_answer_by_us(&request->gateway->shutdown);
    if (request->deadline_us <= answer_by_us)
        return;
    request->is_shortened = true;
    request->deadline_us = MAX(answer_by_us, request->arrived_us);
    request->soft_deadline_us = MIN(request->soft_deadline_us, request->deadline_us);
    request->outgoing->deadline_us =
        MIN(request->outgoing->deadline_us, answer_by_us - REPLY_MARGIN_US);
}

/* Response time of the route that a request must have time for. */
static double required_time_us(const ts_request_t *request)
{
    bool is_repeatable = request->route->is_repeatable;
    return ts_route_state_long_us(request->route_state,
                                  is_repeatable ? REPEATABLE_QUANTILE : ONCE_ONLY_QUANTILE);
}

/* Whether the best instance for the part, if it takes `work_us` for it, answers in time. */
static bool is_in_time(const ts_request_part_t *part, double work_us, ts_time_us_t now_us)
{
    ts_time_us_t until_us = part->request->outgoing->deadline_us;
    if (now_us >= until_us)
        return false;
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    input.work_us = work_us;
    return ts_replica_response_time_us(part->service, &input) <= (double)(until_us - now_us);
}

bool ts_part_can_finish_before_exit(const ts_request_part_t *part, ts_time_us_t now_us)
{
    const ts_request_t *request = part->request;
    return !request->is_shortened || is_in_time(part, required_time_us(request), now_us);
}

bool ts_request_can_finish_before_exit(const ts_request_t *request, ts_time_us_t now_us)
{
    if (!request->is_shortened)
        return true;
    double work_us = required_time_us(request);
    unsigned able = 0;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        able += part->state == TS_PART_OPEN && is_in_time(part, work_us, now_us);
    }
    return able >= ts_request_parts_needed(request);
}

bool ts_request_was_stopped(const ts_request_t *request, ts_time_us_t now_us)
{
    if (!request->is_shortened || ts_request_may_have_run(request))
        return false;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        if (part->state == TS_PART_LOST && !ts_part_can_finish_before_exit(part, now_us))
            return true;
    }
    return false;
}
