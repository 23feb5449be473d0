/** Connections of callers. */
#include "tealspar/caller.h"

#include <string.h>
#include <strings.h>

#include "tealspar/address.h"
#include "tealspar/clock.h"
#include "tealspar/counters.h"

#define BACKLOG 1024
/* Bytes of later requests held while one is worked on; more wait in the socket. */
#define PENDING_MAX 65536
/* A connection that is ending is given this long to take the last answer. */
#define LINGER_US (1500 * TS_US_PER_MS)
#define BODY_PATIENCE_US (30 * TS_US_PER_S)
#define STATUS_BAD_REQUEST 400
#define STATUS_TIMEOUT 408
#define STATUS_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431

typedef enum caller_state {
    CALLER_READING,  /**< waits for a request, or reads one */
    CALLER_WORKING,  /**< its request is worked on */
    CALLER_WRITING,  /**< an answer is on its way */
    CALLER_LINGERING /**< our side is ended; waits for the caller to end its own */
} caller_state_t;

struct ts_caller {
    uv_tcp_t socket;
    uv_write_t writing;
    uv_shutdown_t ending;
    ts_listener_t *listener;
    caller_state_t state;
    ts_http_message_t message;
    GString *pending;      /**< bytes after the request that is worked on */
    GString *sending;      /**< the answer on its way */
    void *request;         /**< the owner's */
    ts_time_us_t since_us; /**< when the state began, or the first byte of a request came */
    bool is_last;          /**< the connection ends after the answer */
    bool is_closing;
    bool said_continue;
    ts_caller_t *previous;
    ts_caller_t *next;
};

struct ts_listener {
    uv_tcp_t socket;
    const ts_listener_ops_t *ops;
    void *context;
    ts_traffic_limits_t limits;
    bool is_leaving;
    bool is_closed;
    unsigned connections;
    ts_caller_t *callers;
};

static void read_pending(ts_caller_t *caller);

static void free_caller(uv_handle_t *handle)
{
    ts_caller_t *caller = handle->data;
    ts_http_message_clear(&caller->message);
    g_string_free(caller->pending, TRUE);
    g_string_free(caller->sending, TRUE);
    g_free(caller);
}

static void unlink_caller(ts_caller_t *caller)
{
    if (caller->previous != NULL) {
        caller->previous->next = caller->next;
    } else {
        caller->listener->callers = caller->next;
    }
    if (caller->next != NULL) {
        caller->next->previous = caller->previous;
    }
    caller->listener->connections--;
    ts_count(TS_COUNTER_CALLER_CONNECTIONS, -1);
}

static void close_caller(ts_caller_t *caller)
{
    if (caller->is_closing) {
        return;
    }
    caller->is_closing = true;
    unlink_caller(caller);
    if (caller->state == CALLER_WORKING) {
        caller->listener->ops->left(caller, caller->listener->context);
    }
    uv_close((uv_handle_t *)&caller->socket, free_caller);
}

static void set_state(ts_caller_t *caller, caller_state_t state)
{
    caller->state = state;
    caller->since_us = ts_clock_now_us();
}

/* -- Writing ----------------------------------------------------------------------------------- */

static void ended(uv_shutdown_t *request, int status)
{
    ts_caller_t *caller = request->data;
    if (status < 0) {
        close_caller(caller);
    }
}

/* The answer has left: the next request, or the end of the connection. */
static void end_answer(ts_caller_t *caller)
{
    if (caller->is_last) {
        set_state(caller, CALLER_LINGERING);
        caller->ending.data = caller;
        if (uv_shutdown(&caller->ending, (uv_stream_t *)&caller->socket, ended) != 0) {
            close_caller(caller);
        }
        return;
    }
    set_state(caller, CALLER_READING);
    const ts_traffic_limits_t *limits = &caller->listener->limits;
    ts_http_message_reset(&caller->message);
    caller->message.head_max = limits->head_bytes;
    caller->message.body_max = limits->body_bytes;
    caller->said_continue = false;
    read_pending(caller);
}

static void write_done(uv_write_t *request, int status)
{
    ts_caller_t *caller = request->data;
    if (status < 0) {
        close_caller(caller);
        return;
    }
    end_answer(caller);
}

static void write_answer(ts_caller_t *caller)
{
    set_state(caller, CALLER_WRITING);
    uv_buf_t buffer = uv_buf_init(caller->sending->str, (unsigned)caller->sending->len);
    int sent = uv_try_write((uv_stream_t *)&caller->socket, &buffer, 1);
    if (sent == (int)buffer.len) {
        end_answer(caller);
        return;
    }
    if (sent < 0 && sent != UV_EAGAIN) {
        close_caller(caller);
        return;
    }
    if (sent > 0) {
        buffer.base += sent;
        buffer.len -= (size_t)sent;
    }
    caller->writing.data = caller;
    if (uv_write(&caller->writing, (uv_stream_t *)&caller->socket, &buffer, 1, write_done) != 0) {
        close_caller(caller);
    }
}

void ts_caller_answer(ts_caller_t *caller, unsigned status, const char *fields, const char *body,
                      size_t length)
{
    bool is_head = caller->message.parser.method == HTTP_HEAD && caller->message.is_complete;
    caller->is_last =
        caller->is_last || caller->listener->is_leaving || !caller->message.keeps_alive;
    GString *out = caller->sending;
    g_string_truncate(out, 0);
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
                           http_status_str((enum http_status)status), fields ? fields : "", length,
                           caller->is_last ? "Connection: close\r\n" : "");
    if (!is_head && length > 0) {
        g_string_append_len(out, body, (gssize)length);
    }
    caller->request = NULL;
    write_answer(caller);
}

/* -- Reading ----------------------------------------------------------------------------------- */

static unsigned status_of(ts_error_t error)
{
    if (error == TS_E_TOO_LARGE) {
        return STATUS_TOO_LARGE;
    }
    return error == TS_E_HEAD_TOO_LARGE ? STATUS_HEAD_TOO_LARGE : STATUS_BAD_REQUEST;
}

/* Refuses a request that was not read whole, and ends the connection. */
static void refuse(ts_caller_t *caller, unsigned status)
{
    ts_count(TS_COUNTER_HTTP_BAD_REQUESTS, 1);
    caller->is_last = true;
    g_string_truncate(caller->pending, 0);
    ts_caller_answer(caller, status, NULL, NULL, 0);
}

/* One Host field in HTTP/1.1, as two readers must not differ on it. */
static bool is_sound(const ts_http_message_t *message)
{
    bool is_old = message->parser.http_major == 1 && message->parser.http_minor == 0;
    unsigned hosts = ts_http_message_count(message, "Host");
    return hosts == 1 || (is_old && hosts == 0);
}

static void say_continue(ts_caller_t *caller)
{
    static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
    const char *expect = ts_http_message_find(&caller->message, "Expect");
    if (caller->said_continue || expect == NULL || strcasecmp(expect, "100-continue") != 0) {
        return;
    }
    caller->said_continue = true;
    uv_buf_t buffer = uv_buf_init(text, sizeof(text) - 1);
    (void)uv_try_write((uv_stream_t *)&caller->socket, &buffer, 1);
}

/* Reads bytes into the request; what follows it is kept for later. */
static void read_request(ts_caller_t *caller, const char *bytes, size_t length)
{
    ts_http_message_t *message = &caller->message;
    if (!message->has_begun) {
        caller->since_us = ts_clock_now_us();
    }
    size_t used = ts_http_message_feed(message, bytes, length);
    if (message->error != TS_OK) {
        ts_count_error(message->error);
        refuse(caller, status_of(message->error));
        return;
    }
    if (!message->is_complete) {
        if (message->is_head_complete) {
            say_continue(caller);
        }
        return;
    }
    g_string_append_len(caller->pending, bytes + used, (gssize)(length - used));
    if (!is_sound(message)) {
        refuse(caller, STATUS_BAD_REQUEST);
        return;
    }
    ts_count(TS_COUNTER_REQUESTS, 1);
    set_state(caller, CALLER_WORKING);
    caller->listener->ops->request(caller, caller->listener->context);
}

static void read_pending(ts_caller_t *caller)
{
    if (caller->pending->len == 0 || caller->is_closing) {
        return;
    }
    GString *bytes = caller->pending;
    caller->pending = g_string_new(NULL);
    read_request(caller, bytes->str, bytes->len);
    g_string_free(bytes, TRUE);
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536]; /* one loop, and each read is used up at once */
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    ts_caller_t *caller = stream->data;
    if (length == 0 || caller->is_closing) {
        return;
    }
    if (length < 0) {
        close_caller(caller);
        return;
    }
    if (caller->state == CALLER_READING) {
        read_request(caller, buffer->base, (size_t)length);
        return;
    }
    if (caller->state == CALLER_LINGERING) {
        return;
    }
    g_string_append_len(caller->pending, buffer->base, length);
    if (caller->pending->len > PENDING_MAX) {
        close_caller(caller);
    }
}

/* -- Life -------------------------------------------------------------------------------------- */

static void accept_caller(uv_stream_t *server, int status)
{
    ts_listener_t *listener = server->data;
    if (status < 0) {
        return;
    }
    ts_caller_t *caller = g_new0(ts_caller_t, 1);
    caller->listener = listener;
    caller->pending = g_string_new(NULL);
    caller->sending = g_string_new(NULL);
    ts_http_message_init(&caller->message, true, listener->limits.head_bytes,
                         listener->limits.body_bytes);
    uv_tcp_init(server->loop, &caller->socket);
    caller->socket.data = caller;
    caller->next = listener->callers;
    if (caller->next != NULL) {
        caller->next->previous = caller;
    }
    listener->callers = caller;
    listener->connections++;
    ts_count(TS_COUNTER_CALLER_CONNECTIONS, 1);
    set_state(caller, CALLER_READING);
    if (uv_accept(server, (uv_stream_t *)&caller->socket) != 0) {
        close_caller(caller);
        return;
    }
    uv_tcp_nodelay(&caller->socket, 1);
    uv_read_start((uv_stream_t *)&caller->socket, allocate, read_bytes);
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
        uv_listen((uv_stream_t *)&listener->socket, BACKLOG, accept_caller) != 0) {
        return NULL; /* the process ends */
    }
    return listener;
}

void ts_listener_set_limits(ts_listener_t *listener, const ts_traffic_limits_t *limits)
{
    listener->limits = *limits;
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        if (caller->state == CALLER_READING && !caller->message.has_begun) {
            caller->message.head_max = limits->head_bytes;
            caller->message.body_max = limits->body_bytes;
        }
    }
}

void ts_listener_leave(ts_listener_t *listener)
{
    listener->is_leaving = true;
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
        if (caller->state == CALLER_READING && !caller->message.has_begun) {
            close_caller(caller);
        }
    }
}

static void sweep_caller(ts_caller_t *caller, const ts_traffic_limits_t *limits,
                         ts_time_us_t now_us)
{
    ts_time_us_t age_us = now_us - caller->since_us;
    const ts_http_message_t *message = &caller->message;
    switch (caller->state) {
    case CALLER_READING:
        if (!message->has_begun && age_us > limits->idle_ms * TS_US_PER_MS) {
            close_caller(caller);
        } else if (message->has_begun && !message->is_head_complete &&
                   age_us > limits->head_ms * TS_US_PER_MS) {
            refuse(caller, STATUS_TIMEOUT);
        } else if (message->is_head_complete && age_us > BODY_PATIENCE_US) {
            refuse(caller, STATUS_TIMEOUT);
        }
        break;
    case CALLER_WORKING:
        break;
    case CALLER_WRITING:
        if (age_us > BODY_PATIENCE_US) {
            close_caller(caller);
        }
        break;
    case CALLER_LINGERING:
        if (age_us > LINGER_US) {
            close_caller(caller);
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
}

void ts_listener_each_working(ts_listener_t *listener,
                              void (*visit)(ts_caller_t *caller, void *ctx), void *ctx)
{
    for (ts_caller_t *caller = listener->callers; caller != NULL; caller = caller->next) {
        if (caller->state == CALLER_WORKING)
            visit(caller, ctx);
    }
}

unsigned ts_listener_connections(const ts_listener_t *listener)
{
    return listener->connections;
}

const ts_http_message_t *ts_caller_message(const ts_caller_t *caller)
{
    return &caller->message;
}

void ts_caller_set_request(ts_caller_t *caller, void *request)
{
    caller->request = request;
}

void *ts_caller_request(const ts_caller_t *caller)
{
    return caller->request;
}
