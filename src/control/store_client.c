/** HTTP client for the configuration service. */
#include "tealspar/store_client.h"

#include <glib.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/counters.h"
#include "tealspar/http_message.h"
#include "tealspar/stream_end.h"

#define HEAD_MAX 65536
#define BODY_MAX (16U * 1024U * 1024U)
/* A connection that was idle for longer may have gone silent, so calls open a new one. */
#define IDLE_MAX_US (1000 * TS_US_PER_MS)

/* Allocated apart from the client, because it is freed only once libuv has closed its handle. */
typedef struct connection {
    uv_tcp_t socket;
    uv_connect_t connect_req;
    uv_write_t write_req;
    ts_store_client_t *client; /**< NULL once closed by the client */
    ts_http_message_t response;
    GString *write_buffer;
    bool is_connected;
} connection_t;

struct ts_store_client {
    uv_loop_t *loop;
    const ts_dialect_t *dialect;
    char *address;
    ts_store_done_t done;
    void *context;
    uv_timer_t timeout;
    connection_t *connection;
    ts_time_us_t answered_us; /**< end of the last call */
    bool is_call_pending;
    GString *request;
};

static void free_connection(uv_handle_t *handle)
{
    connection_t *connection = handle->data;
    ts_http_message_clear(&connection->response);
    g_string_free(connection->write_buffer, TRUE);
    g_free(connection);
}

static void close_connection(ts_store_client_t *client)
{
    connection_t *connection = client->connection;
    if (connection != NULL) {
        client->connection = NULL;
        connection->client = NULL;
        uv_close((uv_handle_t *)&connection->socket, free_connection);
    }
}

/* Finishes the pending call. The body is copied, as the connection may be closed before `done`. */
static void finish_call(ts_store_client_t *client, ts_error_t error)
{
    connection_t *connection = client->connection;
    if (!client->is_call_pending) {
        return;
    }
    client->is_call_pending = false;
    client->answered_us = ts_clock_now_us();
    uv_timer_stop(&client->timeout);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_STORE_FAILURES, 1);
        ts_count_error(error);
        close_connection(client);
        client->done(client->context, error, NULL);
        return;
    }
    const ts_http_message_t *message = &connection->response;
    GString *body = g_string_new_len(message->body->str, (gssize)message->body->len);
    const char *epoch = ts_http_message_find(message, client->dialect->headers.store_epoch);
    ts_store_response_t response = {.status = message->parser.status_code,
                                    .epoch = client->dialect->read_epoch(epoch),
                                    .body = body->str,
                                    .length = body->len};
    if (!message->keeps_alive) {
        close_connection(client);
    } else {
        ts_http_message_reset(&connection->response);
    }
    client->done(client->context, TS_OK, &response);
    g_string_free(body, TRUE);
}

static void on_timeout(uv_timer_t *timer)
{
    finish_call(timer->data, TS_E_DEADLINE);
}

/* Fails the call from a timer, because `done` must not run before ts_store_client_get returns. */
static void fail_connect(uv_timer_t *timer)
{
    finish_call(timer->data, TS_E_CONNECT);
}

static void on_written(uv_write_t *request, int status)
{
    connection_t *connection = request->data;
    if (status < 0 && connection->client != NULL) {
        finish_call(connection->client, TS_E_IO);
    }
}

static void write_request(connection_t *connection)
{
    g_string_assign(connection->write_buffer, connection->client->request->str);
    uv_buf_t buffer =
        uv_buf_init(connection->write_buffer->str, (unsigned)connection->write_buffer->len);
    connection->write_req.data = connection;
    if (uv_write(&connection->write_req, (uv_stream_t *)&connection->socket, &buffer, 1,
                 on_written) != 0) {
        uv_timer_start(&connection->client->timeout, fail_connect, 0, 0);
    }
}

static void allocate_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536]; /* shared: there is one loop, and each read is consumed at once */
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    ts_store_client_t *client = connection->client;
    if (length == 0 || client == NULL) {
        return;
    }
    if (length < 0 || !client->is_call_pending) {
        /* The end of the connection completes a response without a length. */
        if (length == UV_EOF && client->is_call_pending && ts_stream_closed_cleanly(stream)) {
            ts_http_message_finish(&connection->response);
        }
        if (client->is_call_pending) {
            finish_call(client, connection->response.is_complete ? TS_OK : TS_E_IO);
        } else {
            close_connection(client);
        }
        return;
    }
    (void)ts_http_message_feed(&connection->response, buffer->base, (size_t)length);
    if (connection->response.error != TS_OK) {
        finish_call(client, TS_E_BAD_ANSWER);
    } else if (connection->response.is_complete) {
        finish_call(client, TS_OK);
    }
}

static void on_connected(uv_connect_t *request, int status)
{
    connection_t *connection = request->data;
    if (connection->client == NULL) {
        return;
    }
    if (status < 0) {
        finish_call(connection->client, TS_E_CONNECT);
        return;
    }
    connection->is_connected = true;
    uv_read_start((uv_stream_t *)&connection->socket, allocate_buffer, on_read);
    write_request(connection);
}

static bool open_connection(ts_store_client_t *client)
{
    struct sockaddr_storage address;
    if (ts_address_parse(client->address, &address) != TS_OK) {
        return false;
    }
    connection_t *connection = g_new0(connection_t, 1);
    connection->client = client;
    connection->write_buffer = g_string_new(NULL);
    ts_http_message_init(&connection->response, false, HEAD_MAX, BODY_MAX);
    uv_tcp_init(client->loop, &connection->socket);
    uv_tcp_nodelay(&connection->socket, 1);
    connection->socket.data = connection;
    connection->connect_req.data = connection;
    client->connection = connection;
    return uv_tcp_connect(&connection->connect_req, &connection->socket,
                          (const struct sockaddr *)&address, on_connected) == 0;
}

ts_store_client_t *ts_store_client_create(uv_loop_t *loop, const ts_dialect_t *dialect,
                                          const char *address, ts_store_done_t done, void *context)
{
    ts_store_client_t *client = g_new0(ts_store_client_t, 1);
    client->loop = loop;
    client->dialect = dialect;
    client->address = g_strdup(address);
    client->done = done;
    client->context = context;
    client->request = g_string_new(NULL);
    uv_timer_init(loop, &client->timeout);
    client->timeout.data = client;
    return client;
}

void ts_store_client_set_address(ts_store_client_t *client, const char *address)
{
    if (strcmp(client->address, address) == 0) {
        return;
    }
    g_free(client->address);
    client->address = g_strdup(address);
    if (client->is_call_pending) {
        finish_call(client, TS_E_CANCELLED);
    } else {
        close_connection(client);
    }
}

void ts_store_client_reconnect(ts_store_client_t *client)
{
    close_connection(client);
}

void ts_store_client_get(ts_store_client_t *client, const char *target, uint32_t timeout_ms)
{
    client->is_call_pending = true;
    ts_count(TS_COUNTER_STORE_CALLS, 1);
    g_string_printf(client->request,
                    "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target,
                    client->address);
    uv_timer_start(&client->timeout, on_timeout, timeout_ms, 0);
    if (ts_clock_now_us() - client->answered_us > IDLE_MAX_US)
        close_connection(client);
    if (client->connection != NULL) {
        write_request(client->connection);
    } else if (!open_connection(client)) {
        uv_timer_start(&client->timeout, fail_connect, 0, 0);
    }
}
