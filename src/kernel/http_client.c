/** Pooled HTTP/1.1 client based on h2o's client and socket pool. */
#include "tealspar/http_client.h"

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <string.h>

#include "tealspar/address.h"

#define IO_TIMEOUT_MS 30000
#define IDLE_TIMEOUT_MS 10000

struct ts_http_pool {
    h2o_socketpool_t sockets;
    h2o_http1client_ctx_t context;
    h2o_timeout_t io_timeout;
    uv_loop_t *loop;
    char *host; /* value of the Host header */
    unsigned in_use;
    bool closing;
};

struct ts_http_call {
    ts_http_pool_t *pool;
    h2o_http1client_t *client;
    ts_http_done_t done;
    void *context;
    GString *request;
    h2o_iovec_t buffer;
    GString *body;
    int status;
    bool is_starting; /* inside ts_http_call(): the callback is deferred */
    bool ended_at_start;
    ts_error_t start_error;
    uv_timer_t deferred; /* runs the callback of a call that ended during ts_http_call() */
};

static void free_pool(ts_http_pool_t *pool)
{
    h2o_socketpool_dispose(&pool->sockets);
    h2o_timeout_dispose(pool->loop, &pool->io_timeout);
    g_free(pool->host);
    /* The pool is not freed: it contains the timeout's timer, which closes asynchronously. */
}

ts_error_t ts_http_pool_open(ts_http_pool_t **opened, uv_loop_t *loop, const char *address,
                             size_t connections)
{
    struct sockaddr_storage parsed;
    ts_error_t error = ts_address_parse(address, &parsed);
    if (error != TS_OK) {
        return error;
    }
    ts_http_pool_t *pool = g_new0(ts_http_pool_t, 1);
    pool->loop = loop;
    pool->host = g_strdup(address);
    h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&parsed,
                                   ts_address_length(&parsed), 0, connections);
    h2o_socketpool_set_timeout(&pool->sockets, loop, IDLE_TIMEOUT_MS);
    h2o_timeout_init(loop, &pool->io_timeout, IO_TIMEOUT_MS);
    pool->context.loop = loop;
    pool->context.io_timeout = &pool->io_timeout;
    *opened = pool;
    return TS_OK;
}

void ts_http_pool_close(ts_http_pool_t *pool)
{
    pool->closing = true;
    if (pool->in_use == 0) {
        free_pool(pool);
    }
}

unsigned ts_http_pool_in_use(const ts_http_pool_t *pool)
{
    return pool->in_use;
}

static void free_call(ts_http_call_t *call)
{
    ts_http_pool_t *pool = call->pool;
    g_string_free(call->request, TRUE);
    g_string_free(call->body, TRUE);
    g_free(call);
    pool->in_use--;
    if (pool->closing && pool->in_use == 0) {
        free_pool(pool);
    }
}

static void finish_call(ts_http_call_t *call, ts_error_t error)
{
    if (call->is_starting) {
        call->ended_at_start = true;
        call->start_error = error;
        return;
    }
    ts_http_result_t result = {error, call->status, call->body->str, call->body->len};
    call->done(call->context, &result);
    free_call(call);
}

static void on_deferred_closed(uv_handle_t *handle)
{
    ts_http_call_t *call = handle->data;
    finish_call(call, call->start_error);
}

static void on_deferred(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, on_deferred_closed);
}

static int on_body(h2o_http1client_t *client, const char *error)
{
    ts_http_call_t *call = client->data;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        finish_call(call, TS_E_IO);
        return -1;
    }
    h2o_buffer_t **input = &client->sock->input;
    g_string_append_len(call->body, (*input)->bytes, (gssize)(*input)->size);
    h2o_buffer_consume(input, (*input)->size);
    if (error == h2o_http1client_error_is_eos) {
        finish_call(call, TS_OK);
    }
    return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client, const char *error, int minor,
                                       int status, h2o_iovec_t message, h2o_header_t *headers,
                                       size_t header_count, int received)
{
    ts_http_call_t *call = client->data;
    call->status = status;
    if (error == h2o_http1client_error_is_eos) {
        finish_call(call, TS_OK);
        return NULL;
    }
    if (error != NULL) {
        finish_call(call, TS_E_IO);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client, const char *error,
                                          h2o_iovec_t **buffers, size_t *buffer_count,
                                          int *method_is_head)
{
    ts_http_call_t *call = client->data;
    if (error != NULL) {
        finish_call(call, TS_E_CONNECT);
        return NULL;
    }
    call->buffer = h2o_iovec_init(call->request->str, call->request->len);
    *buffers = &call->buffer;
    *buffer_count = 1;
    *method_is_head = 0;
    return on_head;
}

static GString *format_request(const ts_http_pool_t *pool, const ts_http_client_request_t *request)
{
    GString *text = g_string_sized_new(256 + request->body_length);
    g_string_append_printf(text, "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: keep-alive\r\n",
                           request->method, request->path, pool->host);
    if (request->headers != NULL) {
        g_string_append(text, request->headers);
    }
    if (request->body != NULL) {
        g_string_append_printf(text, "content-type: application/json\r\ncontent-length: %zu\r\n",
                               request->body_length);
    }
    g_string_append(text, "\r\n");
    if (request->body != NULL) {
        g_string_append_len(text, request->body, (gssize)request->body_length);
    }
    return text;
}

ts_http_call_t *ts_http_call(ts_http_pool_t *pool, const ts_http_client_request_t *request,
                             ts_http_done_t done, void *context)
{
    ts_http_call_t *call = g_new0(ts_http_call_t, 1);
    call->pool = pool;
    call->done = done;
    call->context = context;
    call->request = format_request(pool, request);
    call->body = g_string_new(NULL);
    pool->in_use++;
    call->is_starting = true;
    h2o_http1client_connect_with_pool(&call->client, call, &pool->context, &pool->sockets,
                                      on_connect);
    call->is_starting = false;
    if (call->ended_at_start) {
        uv_timer_init(pool->loop, &call->deferred);
        call->deferred.data = call;
        uv_timer_start(&call->deferred, on_deferred, 0, 0);
    }
    return call;
}

static void free_deferred(uv_handle_t *handle)
{
    free_call(handle->data);
}

void ts_http_cancel(ts_http_call_t *call)
{
    if (call->ended_at_start) {
        uv_close((uv_handle_t *)&call->deferred, free_deferred);
        return;
    }
    h2o_http1client_cancel(call->client);
    free_call(call);
}
