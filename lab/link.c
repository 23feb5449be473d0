/** Links: proxied connections, and the queues of bytes that wait to be sent. */
#include "link.h"

#include <glib.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/clock.h"
#include "tealspar/stream_end.h"

#define BACKLOG 128
#define CHUNK_SIZE 65536
#define SOURCE_MAX 48

struct lab_link {
    uv_loop_t *loop;
    uv_tcp_t listener;
    struct sockaddr_storage target;
    const lab_link_ops_t *ops;
    void *ctx;
    GPtrArray *connections; // connection_t[], open connections
};

/* Bytes to be sent at `due_us`. */
typedef struct chunk {
    ts_time_us_t due_us;
    size_t length;
    char bytes[];
} chunk_t;

typedef struct connection connection_t;

/* One direction of a connection. */
typedef struct direction {
    connection_t *connection;
    uv_tcp_t *from;
    uv_tcp_t *to;
    GQueue *chunks;           /* chunk_t[] */
    ts_time_us_t last_due_us; /* lower bound for later chunks, as the bytes must stay in order */
    bool has_eof;    /* end of stream received: the connection is closed when all chunks are sent */
    bool is_forward; /* from the client to the server */
} direction_t;

struct connection {
    uv_tcp_t client; /* accepted from the client */
    uv_tcp_t server; /* connected to the target */
    uv_timer_t timer;
    uv_connect_t connect;
    char source[SOURCE_MAX]; // IP address of the client
    lab_link_t *link;
    direction_t forward;
    direction_t backward;
    unsigned open_handles;
    bool is_blackholed; /* drops all traffic from now on */
    bool is_closing;
};

static bool is_held(const direction_t *direction)
{
    const connection_t *connection = direction->connection;
    lab_link_mode_t mode = connection->link->ops->mode(connection->link->ctx, connection->source);
    return connection->is_blackholed || mode == LAB_LINK_SILENT ||
           (mode == LAB_LINK_HALF_OPEN && direction->is_forward) ||
           (mode == LAB_LINK_HOLD_REPLIES && !direction->is_forward);
}

/* ---- closing ---- */

static void free_when_closed(uv_handle_t *handle)
{
    connection_t *connection = handle->data;
    if (--connection->open_handles > 0) {
        return;
    }
    g_queue_free_full(connection->forward.chunks, g_free);
    g_queue_free_full(connection->backward.chunks, g_free);
    g_free(connection);
}

static void close_socket(uv_tcp_t *socket, bool is_reset)
{
    if (!is_reset || uv_tcp_close_reset(socket, free_when_closed) != 0)
        uv_close((uv_handle_t *)socket, free_when_closed);
}

static void end_connection(connection_t *connection, bool is_reset)
{
    if (connection->is_closing)
        return;
    connection->is_closing = true;
    g_ptr_array_remove_fast(connection->link->connections, connection);
    close_socket(&connection->client, is_reset);
    close_socket(&connection->server, is_reset);
    uv_close((uv_handle_t *)&connection->timer, free_when_closed);
}

static void close_connection(connection_t *connection)
{
    end_connection(connection, false);
}

/* ---- forwarding ---- */

typedef struct write_request {
    uv_write_t write;
    chunk_t *chunk;
} write_request_t;

static void on_written(uv_write_t *write, int status)
{
    write_request_t *request = (write_request_t *)write;
    g_free(request->chunk);
    g_free(request);
}

static void send_due_chunks(direction_t *direction, ts_time_us_t now_us)
{
    while (!is_held(direction) && !g_queue_is_empty(direction->chunks)) {
        chunk_t *chunk = g_queue_peek_head(direction->chunks);
        if (chunk->due_us > now_us) {
            return;
        }
        g_queue_pop_head(direction->chunks);
        write_request_t *request = g_new0(write_request_t, 1);
        request->chunk = chunk;
        uv_buf_t buffer = uv_buf_init(chunk->bytes, (unsigned)chunk->length);
        if (uv_write(&request->write, (uv_stream_t *)direction->to, &buffer, 1, on_written) != 0) {
            g_free(chunk);
            g_free(request);
            close_connection(direction->connection);
            return;
        }
    }
}

static void arm_timer(connection_t *connection);

/* Closes the connection if it has reached its end and all bytes have been sent. */
static void close_if_drained(direction_t *direction)
{
    if (direction->has_eof && g_queue_is_empty(direction->chunks))
        close_connection(direction->connection);
}

static void on_timer(uv_timer_t *timer)
{
    connection_t *connection = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    send_due_chunks(&connection->forward, now_us);
    if (!connection->is_closing) {
        send_due_chunks(&connection->backward, now_us);
    }
    if (!connection->is_closing) {
        arm_timer(connection);
    }
}

static void arm_timer(connection_t *connection)
{
    ts_time_us_t due_us = UINT64_MAX;
    const direction_t *directions[] = {&connection->forward, &connection->backward};
    for (size_t i = 0; i < G_N_ELEMENTS(directions); i++) {
        if (!is_held(directions[i]) && !g_queue_is_empty(directions[i]->chunks)) {
            const chunk_t *chunk = g_queue_peek_head(directions[i]->chunks);
            due_us = MIN(due_us, chunk->due_us);
        }
    }
    if (due_us == UINT64_MAX) {
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t left_us = due_us > now_us ? due_us - now_us : 0;
    uv_timer_start(&connection->timer, on_timer, left_us / TS_US_PER_MS, 0);
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[CHUNK_SIZE];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void queue_bytes(direction_t *direction, const char *bytes, size_t length)
{
    connection_t *connection = direction->connection;
    chunk_t *chunk = g_malloc(sizeof(*chunk) + length);
    double delay_ms = connection->link->ops->delay_ms(connection->link->ctx, connection->source);
    chunk->due_us = ts_clock_now_us() + (ts_time_us_t)(delay_ms * (double)TS_US_PER_MS);
    chunk->due_us = MAX(chunk->due_us, direction->last_due_us);
    direction->last_due_us = chunk->due_us;
    chunk->length = length;
    memcpy(chunk->bytes, bytes, length);
    g_queue_push_tail(direction->chunks, chunk);
    send_due_chunks(direction, ts_clock_now_us());
    if (!connection->is_closing) {
        arm_timer(connection);
    }
}

/* One side has closed its connection. After an orderly end the other side is closed as soon as all
 * bytes have been sent; after a reset it is reset immediately. */
static void handle_eof(direction_t *direction)
{
    if (!ts_stream_closed_cleanly((const uv_stream_t *)direction->from)) {
        end_connection(direction->connection, true);
        return;
    }
    direction->has_eof = true;
    uv_read_stop((uv_stream_t *)direction->from);
    close_if_drained(direction);
}

static void handle_read(direction_t *direction, ssize_t length, const uv_buf_t *buffer)
{
    if (length < 0)
        handle_eof(direction);
    else if (length > 0)
        queue_bytes(direction, buffer->base, (size_t)length);
}

static void on_client_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    handle_read(&((connection_t *)stream->data)->forward, length, buffer);
}

static void on_server_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    handle_read(&((connection_t *)stream->data)->backward, length, buffer);
}

/* ---- accepting ---- */

static void on_connected(uv_connect_t *connect, int status)
{
    connection_t *connection = connect->data;
    if (connection->is_closing)
        return;
    if (status != 0) {
        close_connection(connection);
        return;
    }
    uv_read_start((uv_stream_t *)&connection->client, allocate, on_client_read);
    uv_read_start((uv_stream_t *)&connection->server, allocate, on_server_read);
}

static void open_direction(direction_t *direction, connection_t *connection, uv_tcp_t *from,
                           uv_tcp_t *to, bool is_forward)
{
    direction->connection = connection;
    direction->from = from;
    direction->to = to;
    direction->chunks = g_queue_new();
    direction->is_forward = is_forward;
}

static void store_source(connection_t *connection)
{
    struct sockaddr_storage address;
    int length = sizeof(address);
    uv_tcp_getpeername(&connection->client, (struct sockaddr *)&address, &length);
    uv_ip4_name((struct sockaddr_in *)&address, connection->source, sizeof(connection->source));
}

static connection_t *create_connection(lab_link_t *link)
{
    connection_t *connection = g_new0(connection_t, 1);
    connection->link = link;
    connection->open_handles = 3;
    uv_tcp_init(link->loop, &connection->client);
    uv_tcp_init(link->loop, &connection->server);
    uv_timer_init(link->loop, &connection->timer);
    connection->client.data = connection;
    connection->server.data = connection;
    connection->timer.data = connection;
    connection->connect.data = connection;
    open_direction(&connection->forward, connection, &connection->client, &connection->server,
                   true);
    open_direction(&connection->backward, connection, &connection->server, &connection->client,
                   false);
    g_ptr_array_add(link->connections, connection);
    return connection;
}

static void on_accept(uv_stream_t *listener, int status)
{
    lab_link_t *link = listener->data;
    connection_t *connection = create_connection(link);
    if (uv_accept(listener, (uv_stream_t *)&connection->client) != 0) {
        close_connection(connection);
        return;
    }
    store_source(connection);
    uv_tcp_nodelay(&connection->client, 1);
    uv_tcp_nodelay(&connection->server, 1);
    if (link->ops->mode(link->ctx, connection->source) == LAB_LINK_RESET ||
        uv_tcp_connect(&connection->connect, &connection->server, (struct sockaddr *)&link->target,
                       on_connected) != 0)
        close_connection(connection);
}

lab_link_t *lab_link_open(uv_loop_t *loop, const char *listen, const char *target,
                          const lab_link_ops_t *ops, void *ctx)
{
    lab_link_t *link = g_new0(lab_link_t, 1);
    struct sockaddr_storage address;
    link->loop = loop;
    link->ops = ops;
    link->ctx = ctx;
    link->connections = g_ptr_array_new();
    lab_link_set_target(link, target);
    uv_tcp_init(loop, &link->listener);
    link->listener.data = link;
    bool is_open = ts_address_parse(listen, &address) == TS_OK &&
                   uv_tcp_bind(&link->listener, (struct sockaddr *)&address, 0) == 0 &&
                   uv_listen((uv_stream_t *)&link->listener, BACKLOG, on_accept) == 0;
    return is_open ? link : NULL;
}

void lab_link_set_target(lab_link_t *link, const char *target)
{
    ts_address_parse(target, &link->target);
}

void lab_link_mode_changed(lab_link_t *link)
{
    for (guint i = link->connections->len; i > 0; i--) {
        connection_t *connection = g_ptr_array_index(link->connections, i - 1);
        if (link->ops->mode(link->ctx, connection->source) == LAB_LINK_RESET)
            close_connection(connection);
        else
            arm_timer(connection);
    }
}

void lab_link_blackhole(lab_link_t *link)
{
    for (guint i = 0; i < link->connections->len; i++)
        ((connection_t *)g_ptr_array_index(link->connections, i))->is_blackholed = true;
}

void lab_link_close(lab_link_t *link)
{
    uv_close((uv_handle_t *)&link->listener, NULL);
    for (guint i = link->connections->len; i > 0; i--)
        end_connection(g_ptr_array_index(link->connections, i - 1), true);
}
