/**
 * A searcher that sends bytes without end, until the gateway closes the connection. The caller gets
 * an answer in time, the connection is closed, and the gateway reads a bounded number of bytes.
 */
#include "fixture.h"

#include <string.h>

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
#define GATHER                                                                                     \
    "{\"name\":\"all\",\"host\":\"h.example\",\"pathPrefix\":\"/g/\",\"routeType\":"               \
    "\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,\"priority\":1,"                    \
    "\"gather\":[\"a\"],\"maxAttempts\":2,\"topK\":3,\"minCoverage\":1}"
#define DEADLINE_MS 1500U
/* From the caller's deadline until the answer. */
#define LATE_MAX_MS 500U
#define CLOSE_TIMEOUT_MS 5000U
/* More than the largest body that a gateway accepts, and what the kernel queues besides. */
#define BYTES_MAX (48U << 20)
#define SEND_BYTES 65536U
#define SLOW_INTERVAL_MS 20U
#define OK_HEAD "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r\r\n"

/** What the searcher sends: a beginning, and a piece that is repeated. */
typedef struct answer {
    const char *begin;
    const char *repeated;
    bool is_slow; /* one piece at intervals, not as many as the connection takes */
} answer_t;

typedef struct searcher {
    uv_tcp_t socket;
    const answer_t *answer;
    GString *bytes; /* the repeated piece, as often as fits into SEND_BYTES */
    unsigned port;
    unsigned open;
    size_t sent;
} searcher_t;

typedef struct connection {
    uv_tcp_t socket;
    uv_write_t write_request;
    uv_timer_t timer;
    searcher_t *searcher;
    bool has_begun;
} connection_t;

static void on_closed(uv_handle_t *handle)
{
    connection_t *connection = handle->data;
    connection->searcher->open--;
}

static void close_connection(connection_t *connection)
{
    uv_timer_stop(&connection->timer);
    if (!uv_is_closing((uv_handle_t *)&connection->socket))
        uv_close((uv_handle_t *)&connection->socket, on_closed);
}

static void send_more(connection_t *connection);

static void on_timer(uv_timer_t *timer)
{
    send_more(timer->data);
}

static void on_written(uv_write_t *request, int status)
{
    connection_t *connection = request->data;
    if (status < 0)
        close_connection(connection);
    else if (connection->searcher->answer->is_slow)
        uv_timer_start(&connection->timer, on_timer, SLOW_INTERVAL_MS, 0);
    else
        send_more(connection);
}

static void send_more(connection_t *connection)
{
    searcher_t *searcher = connection->searcher;
    const answer_t *answer = searcher->answer;
    uv_buf_t buffer = uv_buf_init(searcher->bytes->str, (unsigned)searcher->bytes->len);
    if (!connection->has_begun)
        buffer = uv_buf_init((char *)answer->begin, (unsigned)strlen(answer->begin));
    else if (answer->is_slow)
        buffer = uv_buf_init((char *)answer->repeated, (unsigned)strlen(answer->repeated));
    connection->has_begun = true;
    searcher->sent += buffer.len;
    connection->write_request.data = connection;
    if (uv_write(&connection->write_request, (uv_stream_t *)&connection->socket, &buffer, 1,
                 on_written) != 0)
        close_connection(connection);
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    if (length < 0)
        close_connection(connection);
    else if (length > 0 && !connection->has_begun)
        send_more(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
    connection_t *connection = g_new0(connection_t, 1);
    connection->searcher = listener->data;
    connection->searcher->open++;
    uv_tcp_init(listener->loop, &connection->socket);
    uv_timer_init(listener->loop, &connection->timer);
    connection->socket.data = connection;
    connection->timer.data = connection;
    assert_int_equal(uv_accept(listener, (uv_stream_t *)&connection->socket), 0);
    uv_read_start((uv_stream_t *)&connection->socket, allocate, on_read);
}

static searcher_t *open_searcher(fixture_t *fixture, const answer_t *answer)
{
    searcher_t *searcher = g_new0(searcher_t, 1);
    struct sockaddr_in address;
    searcher->answer = answer;
    searcher->bytes = g_string_new(NULL);
    while (searcher->bytes->len + strlen(answer->repeated) <= SEND_BYTES)
        g_string_append(searcher->bytes, answer->repeated);
    searcher->port = fixture_next_port();
    uv_ip4_addr("127.0.0.1", (int)searcher->port, &address);
    uv_tcp_init(&fixture->loop, &searcher->socket);
    searcher->socket.data = searcher;
    assert_int_equal(uv_tcp_bind(&searcher->socket, (const struct sockaddr *)&address, 0), 0);
    assert_int_equal(uv_listen((uv_stream_t *)&searcher->socket, 16, on_connection), 0);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
                                  "\"slots\":4,\"state\":\"ready\",\"warmupLeftMs\":0}",
                                  searcher->port);
    lab_store_put(fixture->store, "servers/i-1", entry);
    g_free(entry);
    fixture_await_backend_count(fixture, 1);
    return searcher;
}

static void await_connections_closed(fixture_t *fixture, const searcher_t *searcher)
{
    for (unsigned i = 0; i < CLOSE_TIMEOUT_MS / 10 && searcher->open > 0; i++)
        fixture_run_ms(fixture, 10);
    assert_int_equal(searcher->open, 0);
}

static void check_answer(const answer_t *answer, const char *target)
{
    unsigned status = 0;
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A "," GATHER);
    searcher_t *searcher = open_searcher(fixture, answer);
    ts_time_us_t start_us = ts_clock_now_us();
    client_t *client = client_get(fixture, target, "r", DEADLINE_MS, &status);
    ts_time_us_t took_us = ts_clock_now_us() - start_us;
    if (status < 500 || took_us > (DEADLINE_MS + LATE_MAX_MS) * TS_US_PER_MS)
        fail_msg("status %u after %lu ms: %s", status, (unsigned long)(took_us / TS_US_PER_MS),
                 answer->begin);
    await_connections_closed(fixture, searcher);
    if (searcher->sent > BYTES_MAX)
        fail_msg("%zu bytes read: %s", searcher->sent, answer->begin);
    client_close(client);
}

static const answer_t answers[] = {
    {"HTTP/1.1 200 ", "x", false},                                                // status line
    {"HTTP/1.1 200 OK\r\nX-Long: ", "x", false},                                  // header field
    {"HTTP/1.1 200 OK\r\n", "X-Field: x\r\n", false},                             // header fields
    {"", "\r\n", false},                                                          // blank lines
    {"", "junk ", false},                                                         // no HTTP at all
    {OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "0", false},                   // chunk size
    {OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1;", "x", false},                 // extension
    {OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", false},       // chunks
    {OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: x\r\n", false}, // trailers
    {OK_HEAD "\r\n", "x", false},                                                 // no length
    {OK_HEAD "Content-Length: 99999999999999\r\n\r\n", "x", false},               // a length
    {"HTTP/1.1 200 ", "x", true},
    {"HTTP/1.1 200 OK\r\n", "X-Field: x\r\n", true},
    {OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", true},
    {OK_HEAD "\r\n", "x", true},
};

/* Guards against an answer without end that a gateway reads, and keeps, for ever. */
static void test_endless_answers(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++)
        check_answer(&answers[i], "/p/x");
}

/* The same for a part of a gathered answer. */
static void test_endless_parts(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++)
        check_answer(&answers[i], "/g/x");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_endless_answers),
        cmocka_unit_test(test_endless_parts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
