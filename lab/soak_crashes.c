/** Requests that crash the searchers that run them, and searchers that crash by themselves. */
#include "soak.h"

// The platform's contactMs: by then all gateways know about a fatal request.
#define CONTACT_US (5 * TS_US_PER_S)
// Arrivals of a fatal request that are tolerated after that time.
#define LATE_ARRIVALS_MAX 3
// Number of crashes after which CONTACT_US begins.
#define CRASHES_COUNTED 3
// Limit of the crashes by one fatal request: its first gather sends a request to each shard at most
// twice, and three isolated sends follow. Doubled because a gateway that is cut off from the others
// may not know about the request yet.
#define CRASHES_MAX (2 * (2 * SOAK_SHARDS + 3))
#define ATTEMPT_GAP_MIN_MS 50
#define ATTEMPT_GAP_MAX_MS 900

static uv_timer_t attempt_timer;

static void send_attempt(uv_timer_t *handle)
{
    soak_t *s = handle->data;
    soak_node_t *node = &s->nodes[g_rand_int_range(s->random, 0, (gint32)s->options.nodes)];
    if (s->fatal_request == NULL || s->is_load_ended)
        return;
    if (soak_node_accepts_requests(node))
        soak_send_fatal_request(s, node, s->fatal_request);
    uv_timer_start(handle, send_attempt,
                   (uint64_t)g_rand_int_range(s->random, ATTEMPT_GAP_MIN_MS, ATTEMPT_GAP_MAX_MS),
                   0);
}

bool soak_begin_fatal_request(soak_t *s)
{
    if (s->fatal_request != NULL)
        return false;
    bool is_gather = g_rand_int_range(s->random, 0, 3) > 0;
    s->fatal_request = g_new0(soak_fatal_request_t, 1); // not freed: request records refer to it
    s->fatal_request->number = ++s->fatal_requests;
    g_snprintf(s->fatal_request->target, sizeof(s->fatal_request->target),
               "/%s/" SOAK_FATAL_TEXT "-%u", is_gather ? "all" : "forward", s->fatal_requests);
    soak_log(s, "%s comes from now on", s->fatal_request->target);
    if (attempt_timer.data == NULL)
        uv_timer_init(&s->loop, &attempt_timer);
    attempt_timer.data = s;
    uv_timer_start(&attempt_timer, send_attempt, 0, 0);
    return true;
}

void soak_end_fatal_request(soak_t *s)
{
    soak_log(s, "%s comes no more: %u searchers ended under %u tries, %u late arrivals",
             s->fatal_request->target, s->fatal_request->crashes, s->fatal_request->attempts,
             s->fatal_request->late_arrivals);
    s->fatal_request->is_finished = true;
    s->fatal_request = NULL;
}

void soak_handle_crash(soak_searcher_t *searcher, const char *request_id)
{
    soak_t *s = searcher->soak;
    soak_request_record_t *record =
        request_id == NULL ? NULL : g_hash_table_lookup(s->request_records, request_id);
    soak_fatal_request_t *fatal = record == NULL ? NULL : record->fatal_request;
    soak_log(s, "%s ends under %s", searcher->fake->id, fatal == NULL ? "nothing" : fatal->target);
    soak_restart_searcher(searcher);
    if (fatal == NULL)
        return;
    fatal->crashes++;
    if (fatal->crashes == CRASHES_COUNTED)
        fatal->third_crash_us = ts_clock_now_us();
    s->max_crashes_per_fatal = MAX(s->max_crashes_per_fatal, fatal->crashes);
    if (fatal->crashes == CRASHES_MAX + 1)
        soak_report_violation(s, "CONTAINED", "%u searchers ended under %s, the last %s under %s",
                              fatal->crashes, fatal->target, searcher->fake->id, request_id);
}

void soak_check_fatal_arrival(soak_t *s, const soak_request_record_t *record,
                              const char *request_id)
{
    soak_fatal_request_t *fatal = record->fatal_request;
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_late =
        fatal != NULL && fatal->third_crash_us != 0 && now_us - fatal->third_crash_us > CONTACT_US;
    if (!is_late || !soak_node_is_fault_free(record->node, now_us))
        return;
    if (++fatal->late_arrivals > LATE_ARRIVALS_MAX)
        soak_report_violation(
            s, "CRASHES",
            "%s as %s reached searchers %u times, the last from %s %lu ms after the third ended",
            fatal->target, request_id, fatal->late_arrivals, record->node->name,
            (unsigned long)((now_us - fatal->third_crash_us) / TS_US_PER_MS));
}
