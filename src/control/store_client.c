/** Calls to the configuration service. */
#include "tealspar/store_client.h"

#include <glib.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/counters.h"
#include "tealspar/http_message.h"
#include "tealspar/stream_end.h"

#define HEAD_MAX 65536
#define BODY_MAX (16U * 1024U * 1024U)

/* A connection lives apart from the client: it is freed when its handle is closed. */
typedef struct link {
    uv_tcp_t socket;
    uv_connect_t connecting;
    uv_write_t writing;
    ts_store_client_t *client; /**< NULL once given up */
    ts_http_message_t answer;
    GString *sending;
    bool is_up;
} link_t;

struct ts_store_client {
    uv_loop_t *loop;
    const ts_dialect_t *dialect;
    char *address;
    ts_store_done_t done;
    void *context;
    uv_timer_t timeout;
    link_t *link;
    bool is_calling;
    GString *request;
};

static void free_link(uv_handle_t *handle)
{
    link_t *link = handle->data;
    ts_http_message_clear(&link->answer);
    g_string_free(link->sending, TRUE);
    g_free(link);
}

static void drop_link(ts_store_client_t *client)
{
    link_t *link = client->link;
    if (link != NULL) {
        client->link = NULL;
        link->client = NULL;
        uv_close((uv_handle_t *)&link->socket, free_link);
    }
}

/* Ends the call; `body` may belong to the link, which is dropped afterwards if it is spoilt. */
static void end_call(ts_store_client_t *client, ts_error_t error)
{
    link_t *link = client->link;
    if (!client->is_calling) {
        return;
    }
    client->is_calling = false;
    uv_timer_stop(&client->timeout);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_STORE_FAILURES, 1);
        ts_count_error(error);
        drop_link(client);
        client->done(client->context, error, NULL);
        return;
    }
    const ts_http_message_t *message = &link->answer;
    GString *body = g_string_new_len(message->body->str, (gssize)message->body->len);
    const char *epoch = ts_http_message_find(message, client->dialect->headers.store_epoch);
    ts_store_answer_t answer = {.status = message->parser.status_code,
                                .epoch = client->dialect->read_epoch(epoch),
                                .body = body->str,
                                .length = body->len};
    if (!message->keeps_alive) {
        drop_link(client);
    } else {
        ts_http_message_reset(&link->answer);
    }
    client->done(client->context, TS_OK, &answer);
    g_string_free(body, TRUE);
}

static void call_timed_out(uv_timer_t *timer)
{
    end_call(timer->data, TS_E_DEADLINE);
}

static void fail_soon(uv_timer_t *timer)
{
    end_call(timer->data, TS_E_CONNECT);
}

static void write_done(uv_write_t *request, int status)
{
    link_t *link = request->data;
    if (status < 0 && link->client != NULL) {
        end_call(link->client, TS_E_IO);
    }
}

static void write_request(link_t *link)
{
    g_string_assign(link->sending, link->client->request->str);
    uv_buf_t buffer = uv_buf_init(link->sending->str, (unsigned)link->sending->len);
    link->writing.data = link;
    if (uv_write(&link->writing, (uv_stream_t *)&link->socket, &buffer, 1, write_done) != 0) {
        uv_timer_start(&link->client->timeout, fail_soon, 0, 0);
    }
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536]; /* one loop, and each read is used up at once */
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    link_t *link = stream->data;
    ts_store_client_t *client = link->client;
    if (length == 0 || client == NULL) {
        return;
    }
    if (length < 0 || !client->is_calling) {
        if (length == UV_EOF && client->is_calling && ts_stream_ended_in_order(stream)) {
            ts_http_message_finish(&link->answer);
        }
        if (client->is_calling) {
            end_call(client, link->answer.is_complete ? TS_OK : TS_E_IO);
        } else {
            drop_link(client);
        }
        return;
    }
    (void)ts_http_message_feed(&link->answer, buffer->base, (size_t)length);
    if (link->answer.error != TS_OK) {
        end_call(client, TS_E_BAD_ANSWER);
    } else if (link->answer.is_complete) {
        end_call(client, TS_OK);
    }
}

static void connected(uv_connect_t *request, int status)
{
    link_t *link = request->data;
    if (link->client == NULL) {
        return;
    }
    if (status < 0) {
        end_call(link->client, TS_E_CONNECT);
        return;
    }
    link->is_up = true;
    uv_read_start((uv_stream_t *)&link->socket, allocate, read_bytes);
    write_request(link);
}

static bool open_link(ts_store_client_t *client)
{
    struct sockaddr_storage address;
    if (ts_address_parse(client->address, &address) != TS_OK) {
        return false;
    }
    link_t *link = g_new0(link_t, 1);
    link->client = client;
    link->sending = g_string_new(NULL);
    ts_http_message_init(&link->answer, false, HEAD_MAX, BODY_MAX);
    uv_tcp_init(client->loop, &link->socket);
    uv_tcp_nodelay(&link->socket, 1);
    link->socket.data = link;
    link->connecting.data = link;
    client->link = link;
    return uv_tcp_connect(&link->connecting, &link->socket, (const struct sockaddr *)&address,
                          connected) == 0;
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
    if (client->is_calling) {
        end_call(client, TS_E_CANCELLED);
    } else {
        drop_link(client);
    }
}

void ts_store_client_abandon(ts_store_client_t *client)
{
    if (!client->is_calling)
        return;
    client->is_calling = false;
    uv_timer_stop(&client->timeout);
    drop_link(client);
}

void ts_store_client_reconnect(ts_store_client_t *client)
{
    drop_link(client);
}

void ts_store_client_get(ts_store_client_t *client, const char *target, uint32_t timeout_ms)
{
    client->is_calling = true;
    ts_count(TS_COUNTER_STORE_CALLS, 1);
    g_string_printf(client->request,
                    "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target,
                    client->address);
    uv_timer_start(&client->timeout, call_timed_out, timeout_ms, 0);
    if (client->link != NULL) {
        write_request(client->link);
    } else if (!open_link(client)) {
        uv_timer_start(&client->timeout, fail_soon, 0, 0);
    }
}
