/** Fake searcher. */
#include "standin_searcher.h"

#include <inttypes.h>
#include <string.h>

#include "../platform/names.h"
#include "ports.h"
#include "tealspar/clock.h"
#include "tealspar/http_message.h"

#define HEAD_MAX 65536
#define BODY_MAX (1U << 20)
/* Start time of the first incarnation, and the difference to each following one. */
#define FIRST_START_MS 1700000000000U
#define RESTART_STEP_MS 1000U
#define LISTEN_IP "127.0.0.1"
#define BACKLOG 64
/* Bytes missing at the end of a truncated response. */
#define TRUNCATED_BYTES 8

typedef struct connection {
    uv_tcp_t socket;
    uv_timer_t timer;
    lab_searcher_t *searcher;
    ts_http_message_t request;
    GString *response;
    unsigned handles;       /* open handles; 0: the connection is freed */
    ts_time_us_t active_us; /* when bytes were last received or sent */
    bool is_rejected;       /* the current request is not run */
    bool is_working;
    bool is_closing;
} connection_t;

static void handle_closed(uv_handle_t *handle)
{
    connection_t *connection = handle->data;
    if (--connection->handles == 0) {
        ts_http_message_clear(&connection->request);
        g_string_free(connection->response, TRUE);
        g_free(connection);
    }
}

static void close_connection(connection_t *connection, bool is_reset)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    g_ptr_array_remove_fast(connection->searcher->open_connections, connection);
    connection->searcher->open--;
    connection->searcher->closed_while_busy += connection->is_working;
    if (is_reset) {
        uv_tcp_close_reset(&connection->socket, handle_closed);
    } else {
        uv_close((uv_handle_t *)&connection->socket, handle_closed);
    }
    uv_close((uv_handle_t *)&connection->timer, handle_closed);
}

static void free_rest(uv_write_t *request, int status)
{
    g_free(request->data);
    g_free(request);
}

/* Sends what did not fit into the socket's buffer. */
static void send_rest(connection_t *connection, size_t sent)
{
    size_t length = connection->response->len - sent;
    uv_write_t *request = g_new0(uv_write_t, 1);
    request->data = g_memdup2(connection->response->str + sent, length);
    uv_buf_t buffer = uv_buf_init(request->data, (unsigned)length);
    if (uv_write(request, (uv_stream_t *)&connection->socket, &buffer, 1, free_rest) != 0)
        free_rest(request, 0);
}

static void send_bytes(connection_t *connection)
{
    uv_buf_t buffer = uv_buf_init(connection->response->str, (unsigned)connection->response->len);
    int sent = uv_try_write((uv_stream_t *)&connection->socket, &buffer, 1);
    if (sent >= 0 && (size_t)sent < connection->response->len)
        send_rest(connection, (size_t)sent);
    connection->active_us = ts_clock_now_us();
}

static void append_response_head(connection_t *connection, unsigned status, const char *id,
                                 const char *extra)
{
    g_string_append_printf(connection->response, "HTTP/1.1 %u X\r\n%s: %s\r\n%s", status,
                           NAME_REQUEST_ID, id, extra);
}

/* Replaces the status of the response by a text. */
static void replace_status(connection_t *connection, const char *text)
{
    size_t begin = strlen("HTTP/1.1 ");
    const char *end = strchr(connection->response->str + begin, ' ');
    g_string_erase(connection->response, (gssize)begin,
                   (gssize)(end - connection->response->str) - (gssize)begin);
    g_string_insert(connection->response, (gssize)begin, text);
}

/* Returns the body of the response to a request; the caller frees it. */
static GString *compose_body(lab_searcher_t *searcher, const char *id)
{
    GString *body = g_string_new_len(searcher->body->str, (gssize)searcher->body->len);
    if (searcher->ops != NULL && searcher->ops->compose_body != NULL) {
        g_string_truncate(body, 0);
        searcher->ops->compose_body(searcher->ctx, searcher, id, body);
    }
    return body;
}

static void append_response(connection_t *connection, unsigned status, const char *id,
                            const char *extra)
{
    lab_searcher_t *searcher = connection->searcher;
    GString *body = compose_body(searcher, id);
    char *fields =
        g_strdup_printf("%s: sig.%s.%u.%s\r\n%sContent-Length: %zu\r\n\r\n", NAME_SIGNATURE,
                        searcher->id, searcher->runs, id, extra, body->len);
    append_response_head(connection, status, id, fields);
    g_string_append_len(connection->response, body->str, (gssize)body->len);
    g_string_free(body, TRUE);
    g_free(fields);
}

/* Appends a response without Content-Length, with its complete body or half of it. */
static void append_close_delimited(connection_t *connection, const char *id, bool is_whole)
{
    lab_searcher_t *searcher = connection->searcher;
    GString *body = compose_body(searcher, id);
    char *fields = g_strdup_printf("%s: sig.%s.%u.%s\r\n\r\n", NAME_SIGNATURE, searcher->id,
                                   searcher->runs, id);
    append_response_head(connection, 200, id, fields);
    g_string_append_len(connection->response, body->str,
                        (gssize)(is_whole ? body->len : body->len / 2));
    g_string_free(body, TRUE);
    g_free(fields);
}

static void send_malformed(connection_t *connection, const char *id)
{
    switch (connection->searcher->behaviour) {
    case LAB_TRUNCATES:
        append_response(connection, 200, id, "");
        g_string_truncate(connection->response, connection->response->len - TRUNCATED_BYTES);
        send_bytes(connection);
        close_connection(connection, true);
        break;
    case LAB_CLOSE_DELIMITED:
        append_close_delimited(connection, id, true);
        send_bytes(connection);
        close_connection(connection, false);
        break;
    case LAB_CLOSE_DELIMITED_RESET:
        append_close_delimited(connection, id, false);
        send_bytes(connection);
        close_connection(connection, true);
        break;
    case LAB_MALFORMED:
        g_string_append(connection->response, "these bytes are no answer\r\n\r\n");
        send_bytes(connection);
        break;
    default:
        break;
    }
}

/* A request is rejected or not according to the behaviour when it was received; otherwise the
 * current behaviour applies. */
static lab_searcher_behaviour_t behaviour_for(const connection_t *connection)
{
    if (connection->is_rejected)
        return LAB_SHEDS;
    lab_searcher_behaviour_t behaviour = connection->searcher->behaviour;
    return behaviour == LAB_SHEDS ? LAB_ANSWERS : behaviour;
}

static void listen_again(uv_handle_t *socket);

static void reset_connections(lab_searcher_t *searcher)
{
    while (searcher->open_connections->len > 0)
        close_connection(g_ptr_array_index(searcher->open_connections, 0), true);
}

static void socket_closed(uv_handle_t *socket)
{
    lab_searcher_t *searcher = socket->data;
    searcher->is_socket_closed = true;
    if (searcher->is_restart_pending)
        listen_again(socket);
    searcher->is_restart_pending = false;
    reset_connections(searcher);
}

void lab_searcher_crash(lab_searcher_t *searcher, const char *request_id)
{
    if (searcher->has_crashed)
        return;
    searcher->has_crashed = true;
    if (searcher->ops != NULL && searcher->ops->on_crash != NULL)
        searcher->ops->on_crash(searcher->ctx, searcher, request_id);
    searcher->is_socket_closed = false;
    uv_close((uv_handle_t *)&searcher->socket, socket_closed);
    if (!searcher->is_restart_pending)
        reset_connections(searcher);
}

static bool crashes_on_request(const connection_t *connection)
{
    const char *fatal = connection->searcher->crash_target;
    return fatal != NULL && !connection->is_rejected &&
           strstr(connection->request.target->str, fatal) != NULL;
}

static void respond(connection_t *connection)
{
    lab_searcher_t *searcher = connection->searcher;
    const char *id = ts_http_message_find(&connection->request, NAME_REQUEST_ID);
    id = id == NULL ? "" : id;
    if (crashes_on_request(connection)) {
        lab_searcher_crash(searcher, id);
        return;
    }
    g_string_truncate(connection->response, 0);
    connection->is_working = false;
    switch (behaviour_for(connection)) {
    case LAB_ANSWERS:
    case LAB_CLOSES_AFTER:
        append_response(connection, 200, id, "");
        break;
    case LAB_SHEDS:
        append_response_head(connection, 503, id,
                             NAME_NOT_EXECUTED ": 1\r\nContent-Length: 0\r\n\r\n");
        break;
    case LAB_FAILS:
        append_response(connection, 500, id, "");
        break;
    case LAB_ANSWERS_TWICE:
        append_response(connection, 200, id, "");
        append_response(connection, 200, id, "");
        break;
    case LAB_WRONG_ID:
        append_response(connection, 200, "another", "");
        break;
    case LAB_UNSIGNED:
        append_response_head(connection, 200, id, "Content-Length: 0\r\n\r\n");
        break;
    case LAB_ENCODED:
        append_response(connection, 200, id, "Content-Encoding: gzip\r\n");
        break;
    case LAB_ODD_STATUS:
        append_response(connection, 200, id, "");
        replace_status(connection, searcher->status_text);
        break;
    case LAB_HANGS:
        connection->is_working = true;
        return;
    default:
        send_malformed(connection, id);
        return;
    }
    send_bytes(connection);
    if (searcher->behaviour == LAB_CLOSES_AFTER) {
        close_connection(connection, false);
        return;
    }
    ts_http_message_reset(&connection->request);
}

static void respond_delayed(uv_timer_t *timer)
{
    respond(timer->data);
}

static void store_request(connection_t *connection)
{
    const ts_http_message_t *request = &connection->request;
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%s %s\r\n",
                           http_method_str((enum http_method)request->parser.method),
                           request->target->str);
    for (guint i = 0; i < request->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(request->fields, ts_http_field_t, i);
        g_string_append_printf(text, "%s: %s\r\n", ts_http_message_text(request, field->name),
                               ts_http_message_text(request, field->value));
    }
    g_string_append_printf(text, "\r\n%s", request->body->str);
    g_ptr_array_add(connection->searcher->requests, g_string_free(text, FALSE));
}

static void handle_request(connection_t *connection)
{
    lab_searcher_t *searcher = connection->searcher;
    const char *expected = ts_http_message_find(&connection->request, NAME_EXPECTED_INSTANCE);
    if (expected != NULL && strcmp(expected, searcher->id) != 0) {
        searcher->misdirected++;
        g_string_truncate(connection->response, 0);
        g_string_append(connection->response,
                        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        send_bytes(connection);
        ts_http_message_reset(&connection->request);
        return;
    }
    connection->is_rejected = searcher->behaviour == LAB_SHEDS;
    if (searcher->ops != NULL && searcher->ops->on_message != NULL)
        searcher->ops->on_message(searcher->ctx, searcher, &connection->request);
    if (searcher->ops == NULL)
        store_request(connection);
    else if (searcher->ops->on_request != NULL)
        searcher->ops->on_request(searcher->ctx, searcher,
                                  ts_http_message_find(&connection->request, NAME_REQUEST_ID),
                                  !connection->is_rejected);
    searcher->runs += !connection->is_rejected;
    connection->is_working = true;
    unsigned delay_ms = searcher->delay_ms;
    if (searcher->ops != NULL && searcher->ops->delay_ms != NULL)
        delay_ms += searcher->ops->delay_ms(searcher->ctx, searcher, &connection->request);
    if (delay_ms == 0) {
        respond(connection);
    } else {
        uv_timer_start(&connection->timer, respond_delayed, delay_ms, 0);
    }
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static bool is_idle_too_long(const connection_t *connection)
{
    unsigned idle_reset_ms = connection->searcher->idle_reset_ms;
    ts_time_us_t idle_us = ts_clock_now_us() - connection->active_us;
    return idle_reset_ms > 0 && idle_us > idle_reset_ms * TS_US_PER_MS;
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    if (length < 0) {
        close_connection(connection, false);
        return;
    }
    if (is_idle_too_long(connection)) {
        connection->searcher->connections_reset++;
        close_connection(connection, true);
        return;
    }
    connection->active_us = ts_clock_now_us();
    (void)ts_http_message_feed(&connection->request, buffer->base, (size_t)length);
    if (connection->request.is_complete) {
        handle_request(connection);
    }
}

static void accept_connection(uv_stream_t *server, int status)
{
    connection_t *connection = g_new0(connection_t, 1);
    connection->searcher = server->data;
    connection->searcher->connections++;
    connection->searcher->open++;
    g_ptr_array_add(connection->searcher->open_connections, connection);
    connection->active_us = ts_clock_now_us();
    connection->response = g_string_new(NULL);
    connection->handles = 2;
    ts_http_message_init(&connection->request, true, HEAD_MAX, BODY_MAX);
    uv_tcp_init(server->loop, &connection->socket);
    uv_timer_init(server->loop, &connection->timer);
    connection->socket.data = connection;
    connection->timer.data = connection;
    if (uv_accept(server, (uv_stream_t *)&connection->socket) != 0) {
        close_connection(connection, false);
        return;
    }
    const lab_searcher_t *searcher = connection->searcher;
    if (searcher->connections_max > 0 && searcher->open > searcher->connections_max) {
        connection->searcher->connections_reset++;
        close_connection(connection, true);
        return;
    }
    uv_read_start((uv_stream_t *)&connection->socket, allocate, read_bytes);
}

/* Aborts on failure, as an unreachable searcher would make tests report misleading results. */
static void begin_listening(lab_searcher_t *searcher)
{
    struct sockaddr_in address;
    uv_tcp_init(searcher->loop, &searcher->socket);
    searcher->socket.data = searcher;
    uv_ip4_addr(LISTEN_IP, (int)searcher->port, &address);
    uv_tcp_bind(&searcher->socket, (const struct sockaddr *)&address, 0);
    int status = uv_listen((uv_stream_t *)&searcher->socket, BACKLOG, accept_connection);
    if (status != 0)
        g_error("searcher %s cannot listen on port %u: %s", searcher->id, searcher->port,
                uv_strerror(status));
}

static void listen_again(uv_handle_t *socket)
{
    lab_searcher_t *searcher = socket->data;
    searcher->has_crashed = false;
    begin_listening(searcher);
}

void lab_searcher_restart(lab_searcher_t *searcher)
{
    searcher->born_ms += RESTART_STEP_MS;
    if (uv_is_closing((const uv_handle_t *)&searcher->socket) && searcher->is_socket_closed)
        listen_again((uv_handle_t *)&searcher->socket);
    else
        searcher->is_restart_pending = true; // socket_closed restarts it
}

lab_searcher_t *lab_searcher_open(uv_loop_t *loop, const char *id, const char *service,
                                  const char *zone)
{
    lab_searcher_t *searcher = g_new0(lab_searcher_t, 1);
    searcher->id = g_strdup(id);
    searcher->service = g_strdup(service);
    searcher->zone = g_strdup(zone);
    searcher->body = g_string_new("0123456789abcdef");
    searcher->requests = g_ptr_array_new_with_free_func(g_free);
    searcher->open_connections = g_ptr_array_new();
    searcher->loop = loop;
    searcher->born_ms = FIRST_START_MS;
    searcher->port = lab_next_port(LISTEN_IP);
    begin_listening(searcher);
    return searcher;
}

char *lab_searcher_entry(const lab_searcher_t *searcher, bool is_draining)
{
    return g_strdup_printf("{\"%s\":\"%s\",\"%s\":\"" LISTEN_IP ":%u\",\"%s\":\"%s\",\"%s\":4,"
                           "\"%s\":\"%s\",\"%s\":0,\"%s\":%" PRIu64 "}",
                           FIELD_SERVICE, searcher->service, FIELD_ADDRESS, searcher->port,
                           FIELD_ZONE, searcher->zone, FIELD_SLOTS, FIELD_STATE,
                           is_draining ? VALUE_DRAINING : VALUE_READY, FIELD_WARMUP_MS,
                           FIELD_START_TIME_MS, searcher->born_ms);
}

char *lab_searcher_last_header(const lab_searcher_t *searcher, const char *name)
{
    if (searcher->requests->len == 0) {
        return NULL;
    }
    const char *text = g_ptr_array_index(searcher->requests, searcher->requests->len - 1);
    char *field_start = g_strdup_printf("\r\n%s: ", name);
    const char *found = strstr(text, field_start);
    char *value = NULL;
    if (found != NULL) {
        found += strlen(field_start);
        value = g_strndup(found, strcspn(found, "\r\n"));
    }
    g_free(field_start);
    return value;
}
