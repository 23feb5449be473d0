/** Closing client connections that transfer slowly, to free what they hold. */
#include "caller_internal.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"

/* A client has this long to send a request or to take an answer before it can count as slow. */
#define SLOW_AFTER_US TS_US_PER_S
/* A new connection has this long to send the first byte of a request. */
#define IDLE_AFTER_US (100 * TS_US_PER_MS)
/* Closing a connection that holds less does not help. */
#define RECLAIMED_BYTES_MIN 4096

/* Bytes of the current request or answer that were transferred so far. */
static size_t transferred_bytes(const ts_caller_t *caller)
{
    if (caller->state == CALLER_READING)
        return caller->message.head_bytes + caller->message.body_bytes;
    size_t length = caller->output == NULL ? 0 : caller->output->len;
    length += caller->output_body == NULL ? 0 : caller->output_body->len;
    return length - MIN(length, caller->socket.write_queue_size);
}

/* Whether the client has been sending a request, or taking an answer, for long enough to be slow.
 */
static bool may_be_slow(const ts_caller_t *caller, ts_time_us_t now_us)
{
    if (now_us < caller->since_us + SLOW_AFTER_US)
        return false;
    if (caller->state == CALLER_WRITING)
        return now_us >= caller->keep_until_us;
    return caller->state == CALLER_READING && caller->message.has_begun;
}

/* Transfer rate since the start of the request or answer, in bytes per second. */
static double transfer_rate(const ts_caller_t *caller, ts_time_us_t now_us)
{
    return (double)transferred_bytes(caller) * TS_US_PER_S / (double)(now_us - caller->since_us);
}

/* Bytes that closing the connection would free in the budget. */
static size_t held_bytes(const ts_caller_t *caller, const ts_memory_budget_t *budget)
{
    if (caller->request_charge.budget == budget)
        return caller->request_charge.bytes;
    return caller->answer_charge.budget == budget ? caller->answer_charge.bytes : 0;
}

/* `budget`: only connections that hold some of it; NULL: any. */
static ts_caller_t *find_slowest(const ts_listener_t *listener, const ts_memory_budget_t *budget,
                                 ts_time_us_t now_us)
{
    ts_caller_t *slowest = NULL;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        bool is_useful = budget == NULL || held_bytes(caller, budget) >= RECLAIMED_BYTES_MIN;
        if (is_useful && may_be_slow(caller, now_us) &&
            (slowest == NULL || transfer_rate(caller, now_us) < transfer_rate(slowest, now_us)))
            slowest = caller;
    }
    return slowest;
}

/* The connection that has been idle for longest, if that is long enough; or NULL. */
static ts_caller_t *find_idle(const ts_listener_t *listener, ts_time_us_t now_us)
{
    ts_caller_t *idle = NULL;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        if (ts_caller_is_idle(caller) && now_us >= caller->since_us + IDLE_AFTER_US &&
            (idle == NULL || caller->since_us < idle->since_us))
            idle = caller;
    }
    return idle;
}

static void close_for_others(ts_caller_t *caller, const char *reason)
{
    ts_log(TS_EVENT_CALLER_CLOSED, "reason=%s state=%s after_ms=%lu bytes=%zu held=%zu", reason,
           ts_caller_state_name(caller),
           (unsigned long)(ts_caller_state_age_us(caller) / TS_US_PER_MS),
           transferred_bytes(caller), caller->request_charge.bytes + caller->answer_charge.bytes);
    ts_count(TS_COUNTER_CALLERS_CLOSED, 1);
    ts_caller_close(caller);
}

void ts_listener_reclaim(ts_listener_t *listener, const ts_memory_budget_t *budget, size_t bytes)
{
    ts_time_us_t now_us = ts_clock_now_us();
    while (!ts_memory_budget_has_room(budget, bytes, 1)) {
        ts_caller_t *slowest = find_slowest(listener, budget, now_us);
        if (slowest == NULL)
            break;
        close_for_others(slowest, "memory");
    }
}

bool ts_listener_close_one(ts_listener_t *listener)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_caller_t *caller = find_idle(listener, now_us);
    if (caller == NULL)
        caller = find_slowest(listener, NULL, now_us);
    if (caller == NULL)
        return false;
    close_for_others(caller, "connections");
    return true;
}
