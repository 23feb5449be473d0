/** Listeners of client connections: accepting, timeouts, limits. */
#include "caller_internal.h"

#include "tealspar/address.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"

#define BACKLOG 1024
/* After the last answer, the client has this long to close its side of the connection. */
#define LINGER_TIMEOUT_US (1500 * TS_US_PER_MS)
/* Longest time from a request's first byte to the end of its body, and for writing an answer. The
 * head of a request has a limit of its own, `head_ms`. */
#define TRANSFER_TIMEOUT_US (30 * TS_US_PER_S)
/* A closing listener leaves new connections open this long, as a request that arrived while they
 * waited to be accepted is read only in the next loop iteration. */
#define NEW_CONNECTION_US (20 * TS_US_PER_MS)
/* Minimum interval of log lines about connections that cannot be accepted. */
#define REPORT_INTERVAL_US TS_US_PER_S
#define STATUS_TIMEOUT 408

static bool is_full(const ts_listener_t *listener)
{
    return listener->connections_max > 0 && listener->connections >= listener->connections_max;
}

/* Logs a failure to accept, at most once in the interval: it is likely to occur again and again. */
static void report_accept_failure(ts_listener_t *listener, int status)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_count(TS_COUNTER_ACCEPTS_FAILED, 1);
    if (listener->reported_us != 0 && now_us - listener->reported_us < REPORT_INTERVAL_US)
        return;
    listener->reported_us = now_us;
    ts_log(TS_EVENT_ACCEPT_FAILED, "error=%s connections=%u", uv_err_name(status),
           listener->connections);
}

/* libuv accepts the next connection only after this one was taken by uv_accept(). */
void ts_listener_accept(ts_listener_t *listener)
{
    if (listener->is_closed)
        return;
    listener->is_accepting_paused = false; // closing a connection would accept another
    if (!is_full(listener) || ts_listener_close_one(listener))
        ts_caller_accept(listener);
    else
        listener->is_accepting_paused = true;
}

static void on_connection(uv_stream_t *server, int status)
{
    ts_listener_t *listener = server->data;
    if (status < 0)
        report_accept_failure(listener, status);
    else
        ts_listener_accept(listener);
}

ts_listener_t *ts_listener_open(uv_loop_t *loop, const char *address, const ts_listener_ops_t *ops,
                                void *context)
{
    struct sockaddr_storage parsed;
    if (ts_address_parse(address, &parsed) != TS_OK) {
        return NULL;
    }
    ts_listener_t *listener = g_new0(ts_listener_t, 1);
    ts_traffic_t *defaults = ts_traffic_create(0);
    listener->limits = defaults->limits;
    ts_traffic_unref(defaults);
    listener->ops = ops;
    listener->context = context;
    uv_tcp_init(loop, &listener->socket);
    listener->socket.data = listener;
    if (uv_tcp_bind(&listener->socket, (const struct sockaddr *)&parsed, 0) != 0 ||
        uv_listen((uv_stream_t *)&listener->socket, BACKLOG, on_connection) != 0) {
        return NULL; /* `listener` is not freed: its handle is initialized, and the process exits */
    }
    return listener;
}

void ts_listener_set_limits(ts_listener_t *listener, const ts_traffic_limits_t *limits)
{
    listener->limits = *limits;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        if (ts_caller_is_idle(caller)) {
            caller->message.head_max = limits->head_bytes;
            caller->message.body_max = limits->body_bytes;
        }
    }
}

void ts_listener_disable_keep_alive(ts_listener_t *listener)
{
    listener->is_keep_alive_disabled = true;
}

void ts_listener_close(ts_listener_t *listener)
{
    if (!listener->is_closed) {
        listener->is_closed = true;
        uv_close((uv_handle_t *)&listener->socket, NULL);
    }
    ts_caller_t *next = NULL;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = next) {
        next = caller->next;
        if (ts_caller_is_idle(caller) && ts_caller_state_age_us(caller) > NEW_CONNECTION_US)
            ts_caller_close(caller);
    }
}

static void sweep_caller(ts_caller_t *caller, const ts_traffic_limits_t *limits,
                         ts_time_us_t now_us)
{
    ts_time_us_t elapsed_us = now_us - caller->since_us;
    const ts_http_message_t *message = &caller->message;
    switch (caller->state) {
    case CALLER_READING:
        if (!message->has_begun && elapsed_us > limits->idle_ms * TS_US_PER_MS) {
            ts_caller_close(caller);
        } else if (message->has_begun && !message->is_head_complete &&
                   elapsed_us > limits->head_ms * TS_US_PER_MS) {
            ts_caller_refuse(caller, STATUS_TIMEOUT);
        } else if (message->is_head_complete && elapsed_us > TRANSFER_TIMEOUT_US) {
            ts_caller_refuse(caller, STATUS_TIMEOUT);
        }
        break;
    case CALLER_PROCESSING:
        if (ts_caller_has_left(caller))
            ts_caller_close(caller);
        break;
    case CALLER_WRITING:
        if (elapsed_us > TRANSFER_TIMEOUT_US) {
            ts_caller_close(caller);
        }
        break;
    case CALLER_LINGERING:
        if (elapsed_us > LINGER_TIMEOUT_US) {
            ts_caller_close(caller);
        }
        break;
    }
}

void ts_listener_sweep(ts_listener_t *listener)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_caller_t *next = NULL;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = next) {
        next = caller->next;
        sweep_caller(caller, &listener->limits, now_us);
    }
    if (listener->is_accepting_paused)
        ts_listener_accept(listener);
}

void ts_listener_each_busy(ts_listener_t *listener, void (*visit)(ts_caller_t *caller, void *ctx),
                           void *ctx)
{
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        if (caller->state == CALLER_PROCESSING)
            visit(caller, ctx);
    }
}

void ts_listener_each_unanswered(ts_listener_t *listener,
                                 void (*visit)(ts_caller_t *caller, void *ctx), void *ctx)
{
    ts_caller_t *next = NULL;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = next) {
        next = caller->next;
        if (!ts_caller_is_idle(caller) && caller->state != CALLER_LINGERING)
            visit(caller, ctx);
    }
}

void ts_listener_set_connections_max(ts_listener_t *listener, unsigned connections_max)
{
    listener->connections_max = connections_max;
}

void ts_listener_set_budgets(ts_listener_t *listener, ts_memory_budget_t *requests,
                             ts_memory_budget_t *answers)
{
    listener->request_budget = requests;
    listener->answer_budget = answers;
}

unsigned ts_listener_connections(const ts_listener_t *listener)
{
    return listener->connections;
}
