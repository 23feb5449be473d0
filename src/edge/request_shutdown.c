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

bool ts_part_can_finish(const ts_request_part_t *part, ts_time_us_t now_us)
{
    const ts_request_t *request = part->request;
    if (!request->is_shortened)
        return true;
    if (now_us >= request->deadline_us)
        return false;
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    input.work_us = ts_route_state_long_us(request->route_state, request->route->is_repeatable
                                                                     ? REPEATABLE_QUANTILE
                                                                     : ONCE_ONLY_QUANTILE);
    ts_time_us_t left_us = request->deadline_us - now_us;
    return ts_replica_response_time_us(part->service, &input) <= (double)left_us;
}

bool ts_request_can_finish(const ts_request_t *request, ts_time_us_t now_us)
{
    unsigned able = 0;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        able += part->state == TS_PART_OPEN && ts_part_can_finish(part, now_us);
    }
    return able >= ts_request_parts_needed(request);
}
