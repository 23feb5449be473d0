/** Client connections: accepting, state, writing of answers. */
#include "caller_internal.h"

#include "tealspar/counters.h"
#include "tealspar/stream_write.h"

/* Bodies up to this size are written together with the head, from one buffer. */
#define JOINED_BODY_MAX 4096

static void free_output(ts_caller_t *caller)
{
    if (caller->output != NULL)
        g_string_free(caller->output, TRUE);
    if (caller->output_body != NULL)
        g_string_free(caller->output_body, TRUE);
    caller->output = NULL;
    caller->output_body = NULL;
    ts_memory_charge_clear(&caller->answer_charge);
}

static void free_caller(uv_handle_t *handle)
{
    ts_caller_t *caller = handle->data;
    ts_http_message_clear(&caller->message);
    ts_caller_drop_pipelined(caller);
    free_output(caller);
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
    ts_listener_size_buffers(caller->listener);
    ts_count(TS_COUNTER_CALLER_CONNECTIONS, -1);
}

void ts_caller_close(ts_caller_t *caller)
{
    if (caller->is_closing) {
        return;
    }
    caller->is_closing = true;
    ts_memory_charge_clear(&caller->request_charge);
    ts_memory_charge_clear(&caller->answer_charge);
    unlink_caller(caller);
    if (caller->state == CALLER_PROCESSING) {
        caller->listener->ops->disconnected(caller, caller->listener->context);
    }
    uv_close((uv_handle_t *)&caller->socket, free_caller);
    if (caller->listener->is_accepting_paused)
        ts_listener_accept(caller->listener);
}

void ts_caller_set_state(ts_caller_t *caller, caller_state_t state)
{
    caller->state = state;
    caller->since_us = ts_clock_now_us();
}

/* -- Writing ----------------------------------------------------------------------------------- */

static void on_shutdown(uv_shutdown_t *request, int status)
{
    ts_caller_t *caller = request->data;
    if (status < 0) {
        ts_caller_close(caller);
    }
}

/* After an answer was written: reads the next request, or shuts the connection down. */
static void finish_answer(ts_caller_t *caller)
{
    free_output(caller);
    caller->keep_until_us = 0;
    if (caller->is_last) {
        ts_caller_set_state(caller, CALLER_LINGERING);
        ts_caller_drop_pipelined(caller);
        ts_caller_resume_reading(caller); // to see the client close its side
        caller->shutdown_request.data = caller;
        if (uv_shutdown(&caller->shutdown_request, (uv_stream_t *)&caller->socket, on_shutdown) !=
            0) {
            ts_caller_close(caller);
        }
        return;
    }
    ts_caller_set_state(caller, CALLER_READING);
    const ts_traffic_limits_t *limits = &caller->listener->limits;
    ts_http_message_reset(&caller->message);
    caller->message.head_max = limits->head_bytes;
    caller->message.body_max = limits->body_bytes;
    caller->has_sent_continue = false;
    ts_caller_charge_request(caller);
    ts_caller_read_pipelined(caller);
}

static void on_write(uv_write_t *request, int status)
{
    ts_caller_t *caller = request->data;
    if (status < 0) {
        ts_caller_close(caller);
        return;
    }
    finish_answer(caller);
}

static void write_answer(ts_caller_t *caller)
{
    ts_caller_set_state(caller, CALLER_WRITING);
    uv_buf_t buffers[2] = {uv_buf_init(caller->output->str, (unsigned)caller->output->len)};
    unsigned count = 1;
    if (caller->output_body != NULL)
        buffers[count++] =
            uv_buf_init(caller->output_body->str, (unsigned)caller->output_body->len);
    caller->write_request.data = caller;
    int left = ts_stream_write(&caller->write_request, (uv_stream_t *)&caller->socket, buffers,
                               count, on_write, NULL);
    if (left == 0)
        finish_answer(caller);
    else if (left < 0)
        ts_caller_close(caller);
}

void ts_caller_answer(ts_caller_t *caller, unsigned status, const char *fields, const char *body,
                      size_t length)
{
    GString *copy = length == 0 ? NULL : g_string_new_len(body, (gssize)length);
    ts_caller_answer_with(caller, status, fields, copy);
}

void ts_caller_answer_with(ts_caller_t *caller, unsigned status, const char *fields, GString *body)
{
    size_t length = body == NULL ? 0 : body->len;
    bool is_head = caller->message.parser.method == HTTP_HEAD && caller->message.is_complete;
    caller->is_last =
        caller->is_last || caller->listener->is_keep_alive_disabled || !caller->message.keeps_alive;
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
                           http_status_str((enum http_status)status), fields ? fields : "", length,
                           caller->is_last ? "Connection: close\r\n" : "");
    bool is_long = !is_head && length > JOINED_BODY_MAX;
    if (!is_head && !is_long && length > 0)
        g_string_append_len(out, body->str, (gssize)length);
    if (!is_long && body != NULL)
        g_string_free(body, TRUE);
    free_output(caller);
    caller->output = out;
    caller->output_body = is_long ? body : NULL;
    ts_memory_charge_set(&caller->answer_charge, ts_memory_of_string(caller->output) +
                                                     ts_memory_of_string(caller->output_body));
    caller->request = NULL;
    write_answer(caller);
}

/* -- Accepting --------------------------------------------------------------------------------- */

void ts_caller_accept(ts_listener_t *listener)
{
    ts_caller_t *caller = g_new0(ts_caller_t, 1);
    caller->listener = listener;
    caller->request_charge.budget = listener->request_budget;
    caller->request_charge.is_reclaimable = true;
    caller->answer_charge.budget = listener->answer_budget;
    caller->answer_charge.is_reclaimable = true;
    ts_http_message_init(&caller->message, true, listener->limits.head_bytes,
                         listener->limits.body_bytes);
    uv_tcp_init(listener->socket.loop, &caller->socket);
    caller->socket.data = caller;
    caller->next = listener->callers;
    if (caller->next != NULL) {
        caller->next->previous = caller;
    }
    listener->callers = caller;
    listener->connections++;
    ts_listener_size_buffers(listener);
    ts_count(TS_COUNTER_CALLER_CONNECTIONS, 1);
    ts_caller_set_state(caller, CALLER_READING);
    ts_caller_charge_request(caller);
    if (uv_accept((uv_stream_t *)&listener->socket, (uv_stream_t *)&caller->socket) != 0) {
        ts_caller_close(caller);
        return;
    }
    uv_tcp_nodelay(&caller->socket, 1);
    ts_caller_size_buffers(caller);
    ts_caller_resume_reading(caller);
}

/* -- State ------------------------------------------------------------------------------------- */

bool ts_caller_is_idle(const ts_caller_t *caller)
{
    return caller->state == CALLER_READING && !caller->message.has_begun;
}

const ts_http_message_t *ts_caller_message(const ts_caller_t *caller)
{
    return &caller->message;
}

ts_http_message_t *ts_caller_mutable_message(ts_caller_t *caller)
{
    return &caller->message;
}

void ts_caller_keep_answer(ts_caller_t *caller, ts_time_us_t until_us)
{
    caller->keep_until_us = until_us;
}

const char *ts_caller_state_name(const ts_caller_t *caller)
{
    static const char *const names[] = {
        [CALLER_READING] = "reading",
        [CALLER_PROCESSING] = "processing",
        [CALLER_WRITING] = "writing",
        [CALLER_LINGERING] = "lingering",
    };
    return names[caller->state];
}

bool ts_caller_is_reading(const ts_caller_t *caller)
{
    return caller->state == CALLER_READING;
}

ts_time_us_t ts_caller_state_age_us(const ts_caller_t *caller)
{
    return ts_clock_now_us() - caller->since_us;
}

void ts_caller_set_request(ts_caller_t *caller, void *request)
{
    caller->request = request;
}

void *ts_caller_request(const ts_caller_t *caller)
{
    return caller->request;
}
