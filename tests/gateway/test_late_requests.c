/**
 * Planned stops under steady requests, on kept and new connections, pipelined, and with bodies that
 * arrive in pieces, until the process is gone. A request that a backend has run, or that was sent
 * well before the end, must be answered completely.
 */
#include "fixture.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tealspar/peers.h"

#define GRACE_MS 6000U
#define GATEWAYS_MAX 2
#define SEARCHERS 4
#define REQUEST_INTERVAL_US (15 * TS_US_PER_MS)
#define PIECE_INTERVAL_US (30 * TS_US_PER_MS)
#define LEAD_US (500 * TS_US_PER_MS)
/* A request sent less than this before the end may not have been read. */
#define UNREAD_MAX_US (400 * TS_US_PER_MS)
#define CALLER_DEADLINE_MS 9000U
#define ROUTES                                                                                     \
    SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 9000)                                      \
    "," SERVICE_ROUTE_JSON("once", "/o/", "non_idempotent", "a", 9000)

typedef enum kind { KEPT, NEW, PIPELINED, IN_PIECES, KINDS } kind_t;

typedef struct sent_request {
    char *id;
    ts_time_us_t sent_us; /* its last byte; 0: not yet */
    unsigned runs;
    unsigned status;      /* 0: no complete answer */
    bool is_behind_close; /* the answer before it on its connection says that it is the last one */
} sent_request_t;

typedef struct connection {
    int fd;
    kind_t kind;
    unsigned gateway;
    GString *received;
    GPtrArray *requests;      /* of sent_request_t, not owned: sent and not answered yet */
    ts_time_us_t rest_due_us; /* when the rest of a body is sent; 0: none is left */
    bool is_idle;             /* kept, and without a request in progress */
    bool is_ended;            /* an answer was the last one by its header */
    bool is_closed;
} connection_t;

typedef struct stop {
    fixture_t *fixture;
    unsigned gateway_count;
    ts_gateway_t *gateways[GATEWAYS_MAX];
    unsigned ports[GATEWAYS_MAX];
    GPtrArray *connections;
    GPtrArray *requests;
    GHashTable *requests_by_id;
    GRand *random;
    unsigned work_max_ms;
} stop_t;

static unsigned ended;

static void on_ended(ts_gateway_t *gateway)
{
    ended++;
}

static void on_request(void *ctx, lab_searcher_t *searcher, const char *request_id, bool runs)
{
    sent_request_t *request = g_hash_table_lookup(((stop_t *)ctx)->requests_by_id, request_id);
    if (request != NULL && runs)
        request->runs++;
}

static unsigned work_ms(void *ctx, lab_searcher_t *searcher, const ts_http_message_t *request)
{
    stop_t *stop = ctx;
    bool is_long = g_rand_int_range(stop->random, 0, 10) == 0;
    return is_long ? (unsigned)g_rand_int_range(stop->random, 5, (gint32)stop->work_max_ms) : 20;
}

static const lab_searcher_ops_t searcher_ops = {.on_request = on_request, .delay_ms = work_ms};

/* -- Connections ------------------------------------------------------------------------------- */

/* Returns NULL if the gateway no longer listens. */
static connection_t *open_connection(stop_t *stop, unsigned gateway, kind_t kind)
{
    struct sockaddr_in address;
    uv_ip4_addr("127.0.0.1", (int)stop->ports[gateway], &address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (const struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return NULL;
    }
    (void)fcntl(fd, F_SETFL, O_NONBLOCK);
    connection_t *connection = g_new0(connection_t, 1);
    connection->fd = fd;
    connection->kind = kind;
    connection->gateway = gateway;
    connection->received = g_string_new(NULL);
    connection->requests = g_ptr_array_new();
    g_ptr_array_add(stop->connections, connection);
    return connection;
}

static void write_text(connection_t *connection, const char *text)
{
    if (send(connection->fd, text, strlen(text), MSG_NOSIGNAL) != (ssize_t)strlen(text))
        connection->is_closed = true;
}

static sent_request_t *add_request(stop_t *stop, connection_t *connection)
{
    sent_request_t *request = g_new0(sent_request_t, 1);
    request->id = g_strdup_printf("r-%u", stop->requests->len);
    g_ptr_array_add(stop->requests, request);
    g_ptr_array_add(connection->requests, request);
    g_hash_table_insert(stop->requests_by_id, request->id, request);
    return request;
}

static void send_one(stop_t *stop, connection_t *connection)
{
    bool has_body = connection->kind == IN_PIECES;
    sent_request_t *request = add_request(stop, connection);
    char *text = g_strdup_printf(
        "%s /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n%s\r\n%s",
        has_body ? "POST" : "GET", stop->requests->len % 3 == 0 ? "o" : "p", request->id,
        CALLER_DEADLINE_MS, has_body ? "Content-Length: 4\r\n" : "", has_body ? "ab" : "");
    write_text(connection, text);
    g_free(text);
    ts_time_us_t now_us = ts_clock_now_us();
    request->sent_us = has_body ? 0 : now_us;
    connection->rest_due_us = has_body ? now_us + PIECE_INTERVAL_US : 0;
    connection->is_idle = false;
}

static void send_rest(connection_t *connection)
{
    sent_request_t *request = g_ptr_array_index(connection->requests, 0);
    connection->rest_due_us = 0;
    request->sent_us = ts_clock_now_us();
    write_text(connection, "cd");
}

/* Takes a complete answer off the bytes received; returns its status, 0 if there is none. */
static unsigned take_answer(connection_t *connection)
{
    unsigned status = 0;
    GString *received = connection->received;
    const char *end = strstr(received->str, "\r\n\r\n");
    const char *length = strstr(received->str, "Content-Length: ");
    if (end == NULL || length == NULL || length > end)
        return 0;
    size_t bytes =
        (size_t)(end - received->str) + 4 + strtoul(length + strlen("Content-Length: "), NULL, 10);
    if (received->len < bytes || sscanf(received->str, "HTTP/1.1 %u", &status) != 1)
        return 0;
    const char *closes = strstr(received->str, "Connection: close");
    connection->is_ended = closes != NULL && closes < end;
    connection->is_idle = connection->kind == KEPT && !connection->is_ended;
    g_string_erase(received, 0, (gssize)bytes);
    return status;
}

static void receive(connection_t *connection)
{
    char bytes[4096];
    ssize_t length = 0;
    while ((length = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
        g_string_append_len(connection->received, bytes, length);
    if (length == 0)
        connection->is_closed = true;
    while (connection->requests->len > 0) {
        unsigned status = take_answer(connection);
        if (status == 0)
            break;
        ((sent_request_t *)g_ptr_array_index(connection->requests, 0))->status = status;
        g_ptr_array_remove_index(connection->requests, 0);
        for (guint i = 0; i < connection->requests->len && connection->is_ended; i++)
            ((sent_request_t *)g_ptr_array_index(connection->requests, i))->is_behind_close = true;
    }
}

static connection_t *find_idle(const stop_t *stop, unsigned gateway)
{
    for (guint i = 0; i < stop->connections->len; i++) {
        connection_t *connection = g_ptr_array_index(stop->connections, i);
        if (connection->is_idle && !connection->is_closed && connection->gateway == gateway)
            return connection;
    }
    return NULL;
}

/* -- Runs -------------------------------------------------------------------------------------- */

static void send_next(stop_t *stop)
{
    kind_t kind = (kind_t)g_rand_int_range(stop->random, 0, KINDS);
    unsigned gateway = (unsigned)g_rand_int_range(stop->random, 0, (gint32)stop->gateway_count);
    connection_t *connection = kind == KEPT ? find_idle(stop, gateway) : NULL;
    if (connection == NULL)
        connection = open_connection(stop, gateway, kind);
    if (connection == NULL)
        return;
    send_one(stop, connection);
    if (kind == PIPELINED)
        send_one(stop, connection);
}

static void serve_connections(stop_t *stop)
{
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = 0; i < stop->connections->len; i++) {
        connection_t *connection = g_ptr_array_index(stop->connections, i);
        if (connection->is_closed)
            continue;
        receive(connection);
        if (connection->rest_due_us != 0 && now_us >= connection->rest_due_us &&
            connection->requests->len > 0)
            send_rest(connection);
    }
}

static void run_until(stop_t *stop, ts_time_us_t end_us, unsigned ended_count)
{
    ts_time_us_t next_us = ts_clock_now_us();
    while (ended < ended_count && ts_clock_now_us() < end_us) {
        if (ts_clock_now_us() >= next_us) {
            send_next(stop);
            next_us += REQUEST_INTERVAL_US;
        }
        fixture_run_ms(stop->fixture, 2);
        serve_connections(stop);
    }
}

static stop_t *open_stop(unsigned gateway_count, unsigned work_max_ms, unsigned seed)
{
    stop_t *stop = g_new0(stop_t, 1);
    const unsigned peers_ports[GATEWAYS_MAX] = {fixture_next_port(), fixture_next_port()};
    stop->fixture = fixture_open(NULL);
    stop->gateway_count = gateway_count;
    stop->connections = g_ptr_array_new();
    stop->requests = g_ptr_array_new();
    stop->requests_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    stop->random = g_rand_new_with_seed(seed);
    stop->work_max_ms = work_max_ms;
    for (int i = 0; i < SEARCHERS; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        lab_searcher_t *searcher = fixture_add_searcher(stop->fixture, id, "a", "z1");
        searcher->ops = &searcher_ops;
        searcher->ctx = stop;
    }
    fixture_put_config(stop->fixture, 1, ROUTES);
    for (unsigned i = 0; i < gateway_count; i++) {
        stop->ports[i] = fixture_next_port();
        char *text = g_strdup_printf(
            "name: n%u\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
            "peers: 127.0.0.1:%u\nseeds: ['127.0.0.1:%u']\nstore: 127.0.0.1:%u\n"
            "zones: [{zone: z1, region: r1}]\nretry_ratio: 0.2\nretry_slack: 60\ngrace_ms: %u\n",
            i, stop->ports[i], fixture_next_port(), peers_ports[i], peers_ports[1 - i],
            stop->fixture->store_port, GRACE_MS);
        stop->gateways[i] = fixture_open_gateway(stop->fixture, text);
        g_free(text);
    }
    for (unsigned i = 0; i < gateway_count; i++)
        assert_true(fixture_await_synced(stop->fixture, stop->gateways[i], 1, SEARCHERS));
    return stop;
}

static void check_request(const sent_request_t *request, ts_time_us_t ended_us)
{
    bool was_refused = request->status == 503 || request->status == 429;
    bool is_due = request->sent_us != 0 && !request->is_behind_close &&
                  ended_us - request->sent_us > UNREAD_MAX_US;
    long before_end_ms = (long)(ended_us - request->sent_us) / 1000;
    if (request->status == 0 && (request->runs > 0 || is_due))
        fail_msg("%s, sent %ld ms before the end, runs %u: no answer", request->id, before_end_ms,
                 request->runs);
    if (was_refused && request->runs > 0)
        fail_msg("%s, sent %ld ms before the end: refused, but run", request->id, before_end_ms);
}

static void check_stop(unsigned gateway_count, unsigned work_max_ms, unsigned seed)
{
    unsigned served = 0;
    stop_t *stop = open_stop(gateway_count, work_max_ms, seed);
    ended = 0;
    run_until(stop, ts_clock_now_us() + LEAD_US, gateway_count);
    ts_time_us_t begun_us = ts_clock_now_us();
    for (unsigned i = 0; i < gateway_count; i++)
        ts_gateway_begin_shutdown(stop->gateways[i], on_ended);
    run_until(stop, begun_us + GRACE_MS * TS_US_PER_MS, gateway_count);
    ts_time_us_t ended_us = ts_clock_now_us();
    assert_int_equal(ended, gateway_count);
    serve_connections(stop);
    for (guint i = 0; i < stop->requests->len; i++) {
        const sent_request_t *request = g_ptr_array_index(stop->requests, i);
        check_request(request, ended_us);
        served += request->status == 200;
    }
    assert_true(served > 0);
}

/* Guards against requests that are taken late in the grace period and cut off at its end. */
static void test_late_requests_are_answered(void **state)
{
    check_stop(1, 2000, 1);
}

/* The same while backends take up to four seconds, more than is left. */
static void test_late_requests_at_slow_backends_are_answered(void **state)
{
    check_stop(1, 4000, 2);
}

/* The same while all gateways of the zone stop at once. */
static void test_late_requests_of_two_stops_are_answered(void **state)
{
    check_stop(2, 4000, 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_late_requests_are_answered),
        cmocka_unit_test(test_late_requests_at_slow_backends_are_answered),
        cmocka_unit_test(test_late_requests_of_two_stops_are_answered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
