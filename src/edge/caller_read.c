/** Client connections: reading of requests. */
#include "caller_internal.h"

#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include "tealspar/counters.h"

/* Bytes read at once while a head is expected: what follows a short request in the same read is
 * buffered until that is answered. */
#define HEAD_READ_BYTES 16384
#define BODY_READ_BYTES 65536
/* While a request is in progress, reading pauses when this many bytes have followed it. It does not
 * pause at the first byte, as a client that leaves is noticed by reading. */
#define PIPELINED_MAX 4096
/* Memory of a connection without what it has received. */
#define CONNECTION_BYTES 2048
/* Bodies get this share of the budget, so that short requests pass when bodies have filled it. */
#define BODIES_SHARE 0.75
/* A request of any allowed length passes while less than this share is in use. */
#define CALM_SHARE 0.25
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431
#define STATUS_UNAVAILABLE 503

static unsigned error_status(ts_error_t error)
{
    if (error == TS_E_TOO_LARGE) {
        return STATUS_TOO_LARGE;
    }
    return error == TS_E_HEAD_TOO_LARGE ? STATUS_HEAD_TOO_LARGE : STATUS_BAD_REQUEST;
}

/* Frees the body of a request that is refused; its connection ends with the answer. */
static void give_up_request(ts_caller_t *caller)
{
    caller->is_last = true;
    ts_http_message_drop_body(&caller->message);
    ts_caller_charge_request(caller);
}

void ts_caller_refuse(ts_caller_t *caller, unsigned status)
{
    ts_count(TS_COUNTER_HTTP_BAD_REQUESTS, 1);
    give_up_request(caller);
    ts_caller_answer(caller, status, NULL, NULL, 0);
}

/* HTTP/1.1 requires exactly one Host field: with several, this gateway and a backend could use
 * different ones. */
static bool has_valid_host(const ts_http_message_t *message)
{
    bool is_http_1_0 = message->parser.http_major == 1 && message->parser.http_minor == 0;
    unsigned hosts = ts_http_message_count(message, "Host");
    return hosts == 1 || (is_http_1_0 && hosts == 0);
}

static void send_continue(ts_caller_t *caller)
{
    static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
    const char *expect = ts_http_message_find(&caller->message, "Expect");
    if (caller->has_sent_continue || expect == NULL || strcasecmp(expect, "100-continue") != 0) {
        return;
    }
    caller->has_sent_continue = true;
    uv_buf_t buffer = uv_buf_init(text, sizeof(text) - 1);
    (void)uv_try_write((uv_stream_t *)&caller->socket, &buffer, 1);
}

/* Memory for the whole body, as far as its length is known. */
static size_t body_memory(const ts_http_message_t *message)
{
    bool is_expected = message->is_head_complete && !message->is_complete &&
                       !message->is_body_dropped && message->body_length != UINT64_MAX;
    return is_expected ? ts_memory_of_length((size_t)message->body_length)
                       : ts_memory_of_string(message->body);
}

void ts_caller_charge_request(ts_caller_t *caller)
{
    const ts_http_message_t *message = &caller->message;
    size_t others = ts_http_message_memory(message) - ts_memory_of_string(message->body);
    ts_memory_charge_set(&caller->request_charge, CONNECTION_BYTES + others + body_memory(message) +
                                                      ts_memory_of_string(caller->pipelined));
}

/* Charges the request, as far as it is known. Returns whether the budget has room for it. */
static bool has_room(ts_caller_t *caller)
{
    ts_memory_budget_t *budget = caller->request_charge.budget;
    if (budget == NULL)
        return true;
    size_t charged = caller->request_charge.bytes;
    bool is_calm = ts_memory_budget_has_room(budget, 0, CALM_SHARE);
    ts_caller_charge_request(caller);
    if (is_calm || caller->request_charge.bytes <= charged)
        return true;
    const ts_http_message_t *message = &caller->message;
    bool has_body = message->body_bytes > 0 || (message->is_head_complete && !message->is_complete);
    return ts_memory_budget_make_room(budget, 0, has_body ? BODIES_SHARE : 1);
}

/* Rejects a request that there is no memory for, and ends the connection. */
static void refuse_for_room(ts_caller_t *caller)
{
    const ts_listener_ops_t *ops = caller->listener->ops;
    ts_count(TS_COUNTER_CALLERS_REFUSED, 1);
    give_up_request(caller);
    if (ops->no_room != NULL)
        ops->no_room(caller, caller->listener->context);
    else
        ts_caller_answer(caller, STATUS_UNAVAILABLE, NULL, NULL, 0);
}

/* Feeds bytes to the current request. Returns the number of bytes that belong to it. */
static size_t read_request(ts_caller_t *caller, const char *bytes, size_t length)
{
    ts_http_message_t *message = &caller->message;
    if (!message->has_begun) {
        caller->since_us = ts_clock_now_us();
    }
    size_t used = ts_http_message_feed(message, bytes, length);
    if (message->error != TS_OK) {
        ts_count_error(message->error);
        ts_caller_refuse(caller, error_status(message->error));
        return used;
    }
    bool is_refused = !has_room(caller);
    if (caller->is_closing)
        return used; // it was slow itself, and closed to make room
    if (is_refused) {
        refuse_for_room(caller);
        return used;
    }
    if (!message->is_complete) {
        if (message->is_head_complete) {
            send_continue(caller);
        }
        return used;
    }
    if (!has_valid_host(message)) {
        ts_caller_refuse(caller, STATUS_BAD_REQUEST);
        return used;
    }
    ts_count(TS_COUNTER_REQUESTS, 1);
    ts_caller_set_state(caller, CALLER_PROCESSING);
    caller->listener->ops->request(caller, caller->listener->context);
    if (!caller->is_closing)
        ts_caller_charge_request(caller); // the owner has taken the body
    return used;
}

/*
 * Processes requests up to one that is not answered immediately; returns the number of bytes used.
 * An answer within the loop only changes the state, so that the stack does not grow with the number
 * of requests.
 */
static size_t read_requests(ts_caller_t *caller, const char *bytes, size_t length)
{
    size_t used = 0;
    caller->is_feeding = true;
    while (used < length && caller->state == CALLER_READING && !caller->is_closing)
        used += read_request(caller, bytes + used, length - used);
    caller->is_feeding = false;
    return used;
}

static bool is_in_progress(const ts_caller_t *caller)
{
    return caller->state == CALLER_PROCESSING || caller->state == CALLER_WRITING;
}

static size_t pipelined_length(const ts_caller_t *caller)
{
    return caller->pipelined == NULL ? 0 : caller->pipelined->len;
}

static void pause_reading(ts_caller_t *caller)
{
    caller->is_paused = true;
    uv_read_stop((uv_stream_t *)&caller->socket);
}

/* Buffers bytes that follow the request in progress. */
static void buffer_pipelined(ts_caller_t *caller, const char *bytes, size_t length)
{
    if (length == 0 || caller->is_closing || !is_in_progress(caller))
        return;
    if (caller->pipelined == NULL)
        caller->pipelined = g_string_new(NULL);
    g_string_append_len(caller->pipelined, bytes, (gssize)length);
    ts_caller_charge_request(caller);
    if (caller->pipelined->len >= PIPELINED_MAX)
        pause_reading(caller);
}

void ts_caller_drop_pipelined(ts_caller_t *caller)
{
    if (caller->pipelined != NULL)
        g_string_free(caller->pipelined, TRUE);
    caller->pipelined = NULL;
}

void ts_caller_read_pipelined(ts_caller_t *caller)
{
    if (caller->is_feeding || caller->is_closing)
        return; // the loop that runs continues
    GString *bytes = caller->pipelined;
    caller->pipelined = NULL;
    if (bytes != NULL) {
        size_t used = read_requests(caller, bytes->str, bytes->len);
        buffer_pipelined(caller, bytes->str + used, bytes->len - used);
        g_string_free(bytes, TRUE);
    }
    if (caller->is_paused && pipelined_length(caller) < PIPELINED_MAX)
        ts_caller_resume_reading(caller);
}

static size_t read_size(const ts_caller_t *caller)
{
    if (is_in_progress(caller))
        return PIPELINED_MAX - pipelined_length(caller);
    bool is_head_complete = caller->message.is_head_complete;
    return caller->state == CALLER_READING && !is_head_complete ? HEAD_READ_BYTES : BODY_READ_BYTES;
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[BODY_READ_BYTES]; // shared: one loop, and each read is consumed immediately
    *buffer = uv_buf_init(bytes, (unsigned)read_size(handle->data));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    ts_caller_t *caller = stream->data;
    if (length == 0 || caller->is_closing) {
        return;
    }
    if (length < 0) {
        ts_caller_close(caller);
        return;
    }
    size_t used = read_requests(caller, buffer->base, (size_t)length);
    buffer_pipelined(caller, buffer->base + used, (size_t)length - used);
}

void ts_caller_resume_reading(ts_caller_t *caller)
{
    caller->is_paused = false;
    if (!caller->is_closing)
        uv_read_start((uv_stream_t *)&caller->socket, on_allocate, on_read);
}

bool ts_caller_has_left(const ts_caller_t *caller)
{
    uv_os_fd_t descriptor = -1;
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (!caller->is_paused || uv_fileno((const uv_handle_t *)&caller->socket, &descriptor) != 0 ||
        getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    return info.tcpi_state == TCP_CLOSE || info.tcpi_state == TCP_CLOSE_WAIT;
}
