/** Graceful shutdown of a gateway: from the stop signal until the process may exit. */
#include "request.h"
#include "tealspar/gateway.h"
#include "tealspar/peers.h"
#include "tealspar/pending.h"

#define TICK_MS 50

static void reject_incomplete(ts_caller_t *caller, void *ctx)
{
    if (ts_caller_is_reading(caller))
        ts_answer_stopping(ctx, caller);
}

/*
 * Runs after each poll. Requests that arrived before the poll have been read from open connections,
 * also after a stall of the process, so that those connections do not count as idle.
 */
static void on_polled(uv_check_t *check)
{
    ts_gateway_t *gateway = check->data;
    if (gateway->is_close_due)
        ts_listener_close(gateway->caller_listener);
    if (gateway->is_close_due && gateway->shutdown.phase == TS_SHUTDOWN_FLUSHING)
        ts_listener_each_unanswered(gateway->caller_listener, reject_incomplete, gateway);
    gateway->is_close_due = false;
}

static void on_tick(uv_timer_t *timer)
{
    ts_gateway_t *gateway = timer->data;
    bool is_idle = gateway->requests == 0 && ts_listener_connections(gateway->caller_listener) == 0;
    switch (ts_shutdown_advance(&gateway->shutdown, ts_clock_now_us(), is_idle)) {
    case TS_SHUTDOWN_NONE:
    case TS_SHUTDOWN_ACCEPTING:
        break;
    case TS_SHUTDOWN_CLOSING:
    case TS_SHUTDOWN_FLUSHING:
        gateway->is_close_due = true;
        break;
    case TS_SHUTDOWN_ENDED:
        uv_timer_stop(timer);
        uv_check_stop(&gateway->shutdown_check);
        if (gateway->on_shutdown_ended != NULL)
            gateway->on_shutdown_ended(gateway);
        break;
    }
}

static void shorten_request(ts_caller_t *caller, void *ctx)
{
    ts_request_t *request = ts_caller_request(caller);
    if (request != NULL) // NULL: held until the gateway is initialized, see pending.c
        ts_request_shorten(request);
}

void ts_gateway_begin_shutdown(ts_gateway_t *gateway, ts_gateway_cb_t on_ended)
{
    if (ts_gateway_is_stopping(gateway))
        return;
    ts_time_us_t grace_us = gateway->settings->grace_ms * TS_US_PER_MS;
    ts_shutdown_begin(&gateway->shutdown, ts_clock_now_us(), grace_us);
    gateway->on_shutdown_ended = on_ended;
    if (gateway->peers != NULL)
        ts_peers_leave(gateway->peers);
    ts_listener_disable_keep_alive(gateway->caller_listener);
    ts_pending_reject_all(gateway->pending);
    ts_listener_each_busy(gateway->caller_listener, shorten_request, NULL);
    uv_timer_init(gateway->loop, &gateway->shutdown_timer);
    gateway->shutdown_timer.data = gateway;
    uv_timer_start(&gateway->shutdown_timer, on_tick, TICK_MS, TICK_MS);
    uv_check_init(gateway->loop, &gateway->shutdown_check);
    gateway->shutdown_check.data = gateway;
    uv_check_start(&gateway->shutdown_check, on_polled);
}

bool ts_gateway_is_stopping(const ts_gateway_t *gateway)
{
    return gateway->shutdown.phase != TS_SHUTDOWN_NONE;
}
