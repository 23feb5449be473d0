/** Request validation, limits, readiness and the end of client connections. */
#include "fixture.h"

#include "../../src/edge/caller_internal.h"

#include <string.h>
#include <sys/socket.h>

#define REQUIRED_FIELDS "Host: h.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 1000\r\n"

static fixture_t *open_fixture(lab_searcher_t **searcher)
{
    fixture_t *fixture = fixture_open(NULL);
    *searcher = fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500));
    return fixture;
}

static unsigned fetch_status(fixture_t *fixture, const char *bytes)
{
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, bytes);
    unsigned status = client_await_response(fixture, client);
    client_close(client);
    return status;
}

/*
 * Requests that two HTTP parsers could interpret differently (request smuggling) or that are
 * malformed get 400 and are not forwarded.
 */
static void test_ambiguous_requests_are_rejected(void **state)
{
    static const char *const requests[] = {
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "Content-Length: -1\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        "GET /p/x HTTP/1.1\nHost: h.example\nX-Request-Id: r\n\n",
        "GET /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "X-A : b\r\n\r\n",
        "GET /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "Host: other.example\r\n\r\n",
        "GET /p/x HTTP/1.1\r\nX-Request-Id: r\r\n\r\n",
        "GET /p/x HTTP/1.1\r\nHost: h.example\r\n\r\n",
        "not a request\r\n\r\n",
    };
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        unsigned status = fetch_status(fixture, requests[i]);
        if (status != 400) {
            print_error("request %zu: expected status 400, got %u\n%s\n", i, status, requests[i]);
        }
        assert_int_equal(status, 400);
    }
    assert_int_equal(searcher->runs, 0);
}

/* Just above maxHeaderBytes and maxBodyBytes of fixture_put_config. */
static void test_request_size_limits(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    char *filler = g_strnfill(5000, 'a');
    char *large_head =
        g_strdup_printf("GET /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "X-A: %s\r\n\r\n", filler);
    assert_int_equal(fetch_status(fixture, large_head), 431);
    assert_int_equal(fetch_status(fixture, "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
                                           "Content-Length: 65537\r\n\r\n"),
                     413);
    char *chunk = g_strnfill(66000, 'a');
    char *large_body = g_strdup_printf("POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
                                       "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
                                       66000, chunk);
    assert_int_equal(fetch_status(fixture, large_body), 413);
    assert_int_equal(searcher->runs, 0);
    g_free(filler);
    g_free(large_head);
    g_free(chunk);
    g_free(large_body);
}

/* The head is incomplete for 3.6 s; headerTimeoutMs of fixture_put_config is 3000. */
static void test_slow_request_head_times_out(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "GET /p/x HTT");
    for (int i = 0; i < 18; i++) {
        fixture_run_ms(fixture, 200);
        ts_gateway_sweep(&fixture->gateway);
    }
    assert_int_equal(client->response.parser.status_code, 408);
}

static void test_pipelined_requests(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "GET /p/1 HTTP/1.1\r\n" REQUIRED_FIELDS
                        "\r\nGET /p/2 HTTP/1.1\r\n" REQUIRED_FIELDS "\r\n");
    assert_true(fixture_run_until(fixture, &searcher->runs, 2));
    fixture_run_ms(fixture, 20);
    assert_true(g_str_has_prefix(g_ptr_array_index(searcher->requests, 0), "GET /p/1"));
    assert_true(g_str_has_prefix(g_ptr_array_index(searcher->requests, 1), "GET /p/2"));
    const char *second_response = strstr(client->received->str + 5, "HTTP/1.1 200");
    assert_non_null(second_response);
    assert_false(client->is_closed_by_peer);
}

static void test_expect_100_continue(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
                        "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    fixture_run_ms(fixture, 30);
    assert_true(g_str_has_prefix(client->received->str, "HTTP/1.1 100 "));
    client_send(client, "abc");
    assert_int_equal(client_await_response(fixture, client), 200);
    assert_null(strstr(g_ptr_array_index(searcher->requests, 0), "\r\nExpect:"));
}

/* Trailer fields are not kept: they must not count as header fields, of which a client could send
 * more than the head may have. */
static void test_trailer_fields_are_dropped(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    static const char chunked[] = "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS
                                  "Transfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n0\r\n"
                                  "X-Late: 1\r\n\r\n";
    assert_int_equal(fetch_status(fixture, chunked), 200);
    assert_int_equal(searcher->runs, 1);
    assert_null(strstr(g_ptr_array_index(searcher->requests, 0), "X-Late"));
    static const char id_in_trailer[] =
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nX-Request-Id: late\r\n\r\n";
    assert_int_equal(fetch_status(fixture, id_in_trailer), 400);
    assert_int_equal(searcher->runs, 1);
}

/*
 * Bodies that do not fit together into the memory for requests are refused when they are announced,
 * as not run, and short requests still pass. Clients that do not send the body that they announced
 * are closed for one that does.
 */
static void test_bodies_without_room_are_refused(void **state)
{
    enum { CLIENTS = 80, SLOW_MS = 1100 };
    fixture_t *fixture = fixture_open("memory_mb: 32\n");
    lab_searcher_t *searcher = fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 9000));
    client_t *clients[CLIENTS];
    for (unsigned i = 0; i < CLIENTS; i++) {
        clients[i] = client_connect(fixture, fixture->callers_port);
        client_send(clients[i],
                    "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "Content-Length: 65536\r\n\r\n");
        fixture_run_ms(fixture, 1);
    }
    client_t *refused = clients[CLIENTS - 1];
    assert_int_equal(client_await_response(fixture, refused), 503);
    assert_string_equal(ts_http_message_find(&refused->response, "X-Request-Id"), "r");
    assert_string_equal(ts_http_message_find(&refused->response, "Connection"), "close");
    assert_non_null(ts_http_message_find(&refused->response, "Retry-After"));
    assert_non_null(strstr(refused->response.body->str, "no_room"));
    assert_int_equal(clients[0]->received->len, 0);
    assert_int_equal(searcher->runs, 0);
    unsigned status = 0;
    client_get(fixture, "/p/short", "r2", 1000, &status);
    assert_int_equal(status, 200);
    fixture_run_ms(fixture, SLOW_MS);
    client_t *sender = client_connect(fixture, fixture->callers_port);
    client_send(sender, "POST /p/x HTTP/1.1\r\n" REQUIRED_FIELDS "Content-Length: 65536\r\n\r\n");
    char *body = g_strnfill(65536, 'b');
    client_send(sender, body);
    assert_int_equal(client_await_response(fixture, sender), 200);
    g_free(body);
}

/*
 * Guards against answers that fill the kernel's memory: connections that wait to be accepted while
 * the process is busy got the buffers of the first one.
 */
static void test_buffers_of_connections_that_waited(void **state)
{
    enum { CLIENTS = 120, MEMORY_MB = 64, SOCKET_PARTS = 4 };
    fixture_t *fixture = fixture_open("memory_mb: 64\n");
    struct sockaddr_in address;
    assert_int_equal(uv_ip4_addr("127.0.0.1", (int)fixture->callers_port, &address), 0);
    for (unsigned i = 0; i < CLIENTS; i++) {
        int client = socket(AF_INET, SOCK_STREAM, 0);
        assert_int_equal(connect(client, (struct sockaddr *)&address, sizeof(address)), 0);
    }
    fixture_run_ms(fixture, 200);
    uint64_t bytes = 0;
    unsigned accepted = 0;
    for (ts_caller_t *caller = fixture->gateway.caller_listener->callers; caller != NULL;
         caller = caller->next) {
        int send_bytes = 0;
        int receive_bytes = 0;
        assert_int_equal(uv_send_buffer_size((uv_handle_t *)&caller->socket, &send_bytes), 0);
        assert_int_equal(uv_recv_buffer_size((uv_handle_t *)&caller->socket, &receive_bytes), 0);
        bytes += (unsigned)send_bytes + (unsigned)receive_bytes;
        accepted++;
    }
    assert_int_equal(accepted, CLIENTS);
    assert_in_range(bytes, 1, MEMORY_MB * (1 << 20) / SOCKET_PARTS);
}

static void test_readiness(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    client_t *client = client_connect(fixture, fixture->ready_port);
    client_send(client, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(client_await_response(fixture, client), 503);
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500));
    client_send(client, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(client_await_response(fixture, client), 200);
    ts_gateway_begin_shutdown(&fixture->gateway, NULL);
    client_send(client, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(client_await_response(fixture, client), 503);
}

/* A reload frees the strings of the old settings; no pointer to them may remain in use. */
static void test_settings_reload_keeps_distances(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    const char *text = "name: test\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:1\n"
                       "ready: 127.0.0.1:2\nstore: 127.0.0.1:%u\n"
                       "zones: [{zone: z1, region: r1}, {zone: z2, region: r1}]\n";
    char *settings = g_strdup_printf(text, fixture->store_port);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_set_settings(&fixture->gateway,
                            ts_gateway_settings_load(settings, strlen(settings), &problems));
    fixture_add_searcher(fixture, "i-2", "a", "z2");
    const ts_instance_t *instance = ts_registry_find_current(fixture->gateway.registry, "i-2");
    assert_non_null(instance);
    assert_int_equal(instance->distance, TS_DISTANCE_SAME_REGION);
    unsigned status = 0;
    client_get(fixture, "/p/x", "r", 1000, &status);
    assert_int_equal(status, 200);
    ts_problems_clear(&problems);
    g_free(settings);
}

static void test_shutdown_closes_connections_after_responses(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    searcher->delay_ms = 100;
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "GET /p/1 HTTP/1.1\r\n" REQUIRED_FIELDS "\r\n");
    assert_true(fixture_run_until(fixture, &searcher->runs, 1));
    ts_gateway_begin_shutdown(&fixture->gateway, NULL);
    assert_int_equal(client_await_response(fixture, client), 200);
    assert_string_equal(ts_http_message_find(&client->response, "Connection"), "close");
    unsigned status = 0;
    client_t *late_client = client_get(fixture, "/p/2", "r2", 1000, &status);
    assert_int_equal(status, 200);
    assert_string_equal(ts_http_message_find(&late_client->response, "Connection"), "close");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ambiguous_requests_are_rejected),
        cmocka_unit_test(test_request_size_limits),
        cmocka_unit_test(test_slow_request_head_times_out),
        cmocka_unit_test(test_pipelined_requests),
        cmocka_unit_test(test_expect_100_continue),
        cmocka_unit_test(test_trailer_fields_are_dropped),
        cmocka_unit_test(test_bodies_without_room_are_refused),
        cmocka_unit_test(test_buffers_of_connections_that_waited),
        cmocka_unit_test(test_readiness),
        cmocka_unit_test(test_settings_reload_keeps_distances),
        cmocka_unit_test(test_shutdown_closes_connections_after_responses),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
