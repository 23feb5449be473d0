/** Requests held until the gateway has received its first configuration and list of backends. */
#include "tealspar/pending.h"

#include "request.h"
#include "tealspar/mechanism.h"
#include "tealspar/store_watch.h"

#define STATUS_UNAVAILABLE 503
/* Assumed if a caller gives no timeout. */
#define CALLER_TIMEOUT_DEFAULT_MS 2000U
#define CHECK_INTERVAL_MS 5
/* Maximum number of held requests, and of their bytes; further ones are refused. */
#define HELD_MAX 512U
#define HELD_BYTES_MAX ((size_t)16 << 20)

typedef struct held {
    ts_caller_t *caller;
    ts_time_us_t arrived_us;
    ts_time_us_t until_us; /* when the request is refused if it is still held */
    size_t bytes;
} held_t;

struct ts_pending {
    ts_gateway_t *gateway;
    GArray *held;      /* of held_t, in the order of arrival */
    size_t held_bytes; /* sum of `bytes` of the held requests */
    uv_timer_t timer;
};

static ts_time_us_t caller_timeout_us(const ts_gateway_t *gateway, const ts_caller_t *caller)
{
    uint32_t given_ms = ts_request_caller_timeout_ms(gateway, ts_caller_message(caller));
    return (given_ms == 0 ? CALLER_TIMEOUT_DEFAULT_MS : given_ms) * TS_US_PER_MS;
}

static size_t message_bytes(const ts_caller_t *caller)
{
    const ts_http_message_t *message = ts_caller_message(caller);
    return message->text->len + message->body->len;
}

/*
 * Refuses a request whose caller has `left_us`. It is not known when the configuration arrives, so
 * refused callers return at random times within the time that they wait for.
 */
static void refuse(const ts_pending_t *pending, ts_caller_t *caller, ts_time_us_t left_us)
{
    ts_gateway_t *gateway = pending->gateway;
    uint32_t wait_max_ms = ts_answer_retry_wait_max_ms(gateway, left_us);
    uint32_t retry_after_ms = 1 + ts_gateway_random(gateway) % MAX(wait_max_ms, 1);
    ts_answer_error(gateway, caller, STATUS_UNAVAILABLE, TS_E_NOT_READY, retry_after_ms);
}

static held_t remove_at(ts_pending_t *pending, guint index)
{
    held_t held = g_array_index(pending->held, held_t, index);
    g_array_remove_index(pending->held, index);
    pending->held_bytes -= held.bytes;
    return held;
}

/* Removes the first held request. Its caller must be answered by the function that takes over the
 * request. */
static held_t remove_first(ts_pending_t *pending)
{
    return remove_at(pending, 0);
}

static void begin_all(ts_pending_t *pending)
{
    while (pending->held->len > 0) {
        held_t held = remove_first(pending);
        ts_request_begin_at(pending->gateway, held.caller, held.arrived_us);
    }
}

void ts_pending_reject_all(ts_pending_t *pending)
{
    while (pending->held->len > 0)
        ts_answer_stopping(pending->gateway, remove_first(pending).caller);
}

static void refuse_due(ts_pending_t *pending, ts_time_us_t now_us)
{
    for (guint i = pending->held->len; i > 0; i--) {
        const held_t *held = &g_array_index(pending->held, held_t, i - 1);
        if (now_us >= held->until_us)
            refuse(pending, remove_at(pending, i - 1).caller, 0);
    }
}

static void on_timer(uv_timer_t *timer)
{
    ts_pending_t *pending = timer->data;
    if (ts_gateway_is_initialized(pending->gateway))
        begin_all(pending);
    else
        refuse_due(pending, ts_clock_now_us());
    if (pending->held->len == 0)
        uv_timer_stop(timer);
}

ts_pending_t *ts_pending_create(ts_gateway_t *gateway)
{
    ts_pending_t *pending = g_new0(ts_pending_t, 1);
    pending->gateway = gateway;
    pending->held = g_array_new(FALSE, FALSE, sizeof(held_t));
    uv_timer_init(gateway->loop, &pending->timer);
    pending->timer.data = pending;
    return pending;
}

/* Peers may send the configuration at any time. */
static ts_time_us_t earliest_configuration_us(const ts_pending_t *pending, ts_time_us_t now_us)
{
    const ts_gateway_t *gateway = pending->gateway;
    return gateway->peers != NULL ? now_us : ts_store_watch_earliest_us(gateway->store, now_us);
}

void ts_pending_add(ts_pending_t *pending, ts_caller_t *caller)
{
    ts_gateway_t *gateway = pending->gateway;
    if (ts_gateway_is_stopping(gateway)) {
        ts_answer_stopping(gateway, caller);
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t timeout_us = caller_timeout_us(gateway, caller);
    ts_time_us_t until_us = now_us + ts_request_answer_within_us(timeout_us);
    size_t bytes = message_bytes(caller);
    bool is_disabled = !ts_mechanism_is_on(TS_MECHANISM_PENDING);
    bool is_full = pending->held->len >= HELD_MAX || pending->held_bytes + bytes > HELD_BYTES_MAX;
    if (is_disabled || is_full || until_us < earliest_configuration_us(pending, now_us)) {
        refuse(pending, caller, timeout_us);
        return;
    }
    held_t held = {caller, now_us, until_us, bytes};
    g_array_append_val(pending->held, held);
    pending->held_bytes += bytes;
    if (pending->held->len == 1)
        uv_timer_start(&pending->timer, on_timer, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
}

bool ts_pending_remove(ts_pending_t *pending, const ts_caller_t *caller)
{
    for (guint i = 0; i < pending->held->len; i++) {
        if (g_array_index(pending->held, held_t, i).caller == caller) {
            (void)remove_at(pending, i);
            return true;
        }
    }
    return false;
}
