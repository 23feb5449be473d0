/** HTTP server based on h2o's libuv binding. */
#include "tealspar/http_server.h"

#include <errno.h>
#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/counters.h"

#define LISTEN_BACKLOG 1024
#define GRACEFUL_SHUTDOWN_MS 1000
#define HTTP2_VERSION 0x200
#define HTTP_TOO_LARGE 413
#define MS_PER_SECOND 1000U
#define RETRY_AFTER_TEXT_MAX 16
#define HTTP_CLIENT_CLOSED 499

struct ts_http_server {
    uv_tcp_t listener; /* must be first: callbacks cast it to ts_http_server_t */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    ts_http_limits_t limits;
    ts_http_handler_t handler;
    void *handler_context;
    unsigned connections;
    bool draining;
};

struct ts_http_exchange {
    h2o_req_t *request;
    ts_http_server_t *server;
    h2o_socket_t *socket; /* set while monitored for a disconnect */
    ts_http_abandoned_cb_t abandoned;
    void *abandoned_context;
    bool replied;
};

typedef struct connection {
    uv_tcp_t tcp; /* must be first: callbacks cast it to connection_t */
    ts_http_server_t *server;
} connection_t;

typedef struct server_handler {
    h2o_handler_t super;
    ts_http_server_t *server;
} server_handler_t;

/* h2o_socket_t of a monitored HTTP/1.1 connection -> exchange; loop's thread only. */
static GHashTable *monitored_sockets;

/* Called when h2o frees the request: after the reply, or because the caller disconnected. */
static void dispose_exchange(void *pointer)
{
    ts_http_exchange_t *exchange = pointer;
    if (exchange->socket != NULL) {
        g_hash_table_remove(monitored_sockets, exchange->socket);
    }
    if (!exchange->replied && exchange->abandoned != NULL) {
        exchange->replied = true;
        exchange->abandoned(exchange->abandoned_context);
    }
}

static int handle_request(h2o_handler_t *super, h2o_req_t *request)
{
    ts_http_server_t *server = ((server_handler_t *)super)->server;
    ts_http_exchange_t *exchange =
        h2o_mem_alloc_shared(&request->pool, sizeof(*exchange), dispose_exchange);
    memset(exchange, 0, sizeof(*exchange));
    exchange->request = request;
    exchange->server = server;
    if (request->entity.len > server->limits.body_bytes) {
        ts_count(TS_COUNTER_HTTP_BAD_REQUESTS, 1);
        ts_http_reply(exchange, HTTP_TOO_LARGE, "text/plain", "too large\n", strlen("too large\n"),
                      0);
        return 0;
    }
    ts_http_request_t view = {
        .method = request->method.base,
        .method_length = request->method.len,
        .path = request->path_normalized.base,
        .path_length = request->path_normalized.len,
        .body = request->entity.base,
        .body_length = request->entity.len,
    };
    server->handler(server->handler_context, exchange, &view);
    return 0;
}

/*
 * h2o stops reading an HTTP/1.1 connection while a request is handled, so it does not detect a
 * disconnect. While an exchange is monitored, this read callback does. h2o restores its own
 * callback for the next request; data of a pipelined request stays in the socket's input buffer.
 */
static void on_disconnect(h2o_socket_t *socket, const char *error)
{
    if (error == NULL) {
        return;
    }
    h2o_socket_read_stop(socket);
    ts_http_exchange_t *exchange = g_hash_table_lookup(monitored_sockets, socket);
    if (exchange == NULL || exchange->replied) {
        return;
    }
    ts_http_abandoned_cb_t abandoned = exchange->abandoned;
    exchange->abandoned = NULL;
    abandoned(exchange->abandoned_context);
    /* The reply cannot be delivered, but sending it makes h2o free the connection. */
    ts_http_reply(exchange, HTTP_CLIENT_CLOSED, "text/plain", "", 0, 0);
}

void ts_http_set_abandoned_callback(ts_http_exchange_t *exchange, ts_http_abandoned_cb_t abandoned,
                                    void *context)
{
    exchange->abandoned = abandoned;
    exchange->abandoned_context = context;
    h2o_req_t *request = exchange->request;
    if (request->version >= HTTP2_VERSION) {
        return; /* h2o frees the request when the stream is reset */
    }
    if (monitored_sockets == NULL) {
        monitored_sockets = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    exchange->socket = request->conn->callbacks->get_socket(request->conn);
    g_hash_table_insert(monitored_sockets, exchange->socket, exchange);
    h2o_socket_read_start(exchange->socket, on_disconnect);
}

bool ts_http_header(ts_http_exchange_t *exchange, const char *name, char *value, size_t size)
{
    h2o_headers_t *headers = &exchange->request->headers;
    ssize_t index = h2o_find_header_by_str(headers, name, strlen(name), -1);
    if (index == -1) {
        return false;
    }
    h2o_iovec_t found = headers->entries[index].value;
    size_t length = found.len < size - 1 ? found.len : size - 1;
    memcpy(value, found.base, length);
    value[length] = '\0';
    return true;
}

static void add_retry_after(h2o_req_t *request, unsigned retry_after_ms)
{
    if (retry_after_ms == 0) {
        return;
    }
    char *text = h2o_mem_alloc_pool(&request->pool, RETRY_AFTER_TEXT_MAX);
    unsigned seconds = (retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
    int length = snprintf(text, RETRY_AFTER_TEXT_MAX, "%u", seconds);
    h2o_add_header_by_str(&request->pool, &request->res.headers, H2O_STRLIT("retry-after"), 0, NULL,
                          text, (size_t)length);
}

void ts_http_reply(ts_http_exchange_t *exchange, int status, const char *content_type,
                   const char *body, size_t length, unsigned retry_after_ms)
{
    h2o_req_t *request = exchange->request;
    exchange->replied = true;
    if (exchange->socket != NULL) {
        g_hash_table_remove(monitored_sockets, exchange->socket);
        exchange->socket = NULL;
    }
    request->res.status = status;
    request->res.reason = "";
    request->res.content_length = length; /* without a length, h2o closes the connection */
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   content_type, strlen(content_type));
    add_retry_after(request, retry_after_ms);
    if (exchange->server->draining) {
        request->http1_is_persistent = 0;
    }
    h2o_send_inline(request, body, length);
}

void ts_http_abort(ts_http_exchange_t *exchange)
{
    h2o_req_t *request = exchange->request;
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    request->http1_is_persistent = 0;
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    ts_http_reply(exchange, HTTP_CLIENT_CLOSED, "text/plain", "", 0, 0);
}

static void free_connection(uv_handle_t *handle)
{
    connection_t *connection = (connection_t *)handle;
    connection->server->connections--;
    free(connection);
}

static void accept_connection(uv_stream_t *listener, int status)
{
    ts_http_server_t *server = (ts_http_server_t *)listener;
    if (status != 0) {
        return;
    }
    connection_t *connection = h2o_mem_alloc(sizeof(*connection));
    connection->server = server;
    server->connections++;
    uv_tcp_init(listener->loop, &connection->tcp);
    bool is_accepted = uv_accept(listener, (uv_stream_t *)&connection->tcp) == 0;
    if (!is_accepted || server->connections > server->limits.connections) {
        uv_close((uv_handle_t *)&connection->tcp, free_connection);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    h2o_socket_t *socket = h2o_uv_socket_create((uv_stream_t *)&connection->tcp, free_connection);
    h2o_accept(&server->accept, socket);
}

static void configure_server(ts_http_server_t *server, uv_loop_t *loop)
{
    h2o_config_init(&server->config);
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("tealspar"));
    /* h2o's limit is above ours, so that handle_request() replies to oversized bodies with 413. */
    server->config.max_request_entity_size = server->limits.body_bytes * 2;
    server->config.http1.req_timeout = server->limits.request_timeout_ms;
    server->config.http1.upgrade_to_http2 = 1;
    server->config.http2.graceful_shutdown_timeout = GRACEFUL_SHUTDOWN_MS;
    h2o_hostconf_t *host =
        h2o_config_register_host(&server->config, h2o_iovec_init(H2O_STRLIT("default")), 0);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    server_handler_t *handler = (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = handle_request;
    handler->server = server;
    h2o_context_init(&server->context, loop, &server->config);
    server->accept.ctx = &server->context;
    server->accept.hosts = server->config.hosts;
}

ts_error_t ts_http_server_open(ts_http_server_t **opened, uv_loop_t *loop, const char *address,
                               const ts_http_limits_t *limits, ts_http_handler_t handler,
                               void *context)
{
    struct sockaddr_storage parsed;
    ts_error_t error = ts_address_parse(address, &parsed);
    if (error != TS_OK) {
        return error;
    }
    ts_http_server_t *server = g_new0(ts_http_server_t, 1);
    server->limits = *limits;
    server->handler = handler;
    server->handler_context = context;
    configure_server(server, loop);
    uv_tcp_init(loop, &server->listener);
    int status = uv_tcp_bind(&server->listener, (struct sockaddr *)&parsed, 0);
    if (status == 0) {
        status = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG, accept_connection);
    }
    if (status != 0) {
        ts_http_server_close(server);
        return TS_E_LISTEN;
    }
    *opened = server;
    return TS_OK;
}

void ts_http_server_disable_keepalive(ts_http_server_t *server)
{
    server->draining = true;
}

void ts_http_server_drain(ts_http_server_t *server)
{
    server->draining = true;
    ts_http_server_close(server);
    h2o_context_request_shutdown(&server->context);
}

unsigned ts_http_server_connections(const ts_http_server_t *server)
{
    return server->connections;
}

void ts_http_server_close(ts_http_server_t *server)
{
    if (!uv_is_closing((uv_handle_t *)&server->listener)) {
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}
