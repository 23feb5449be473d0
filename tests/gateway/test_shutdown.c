/** Graceful shutdown: what callers get whose requests are in progress or arrive late. */
#include "fixture.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 4000U
#define CLIENTS 4U
/* The largest answer of a backend; more than fits into the socket buffers of a connection whose
 * client has a small one. */
#define LARGE_BODY_BYTES (4U << 20)
#define SMALL_BUFFER_BYTES 65536
#define ROUTE_REPEATABLE SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 9000)
#define ROUTE_ONCE SERVICE_ROUTE_JSON("once", "/o/", "non_idempotent", "a", 9000)

static bool has_ended;

static void on_ended(ts_gateway_t *gateway)
{
    has_ended = true;
}

static fixture_t *open_fixture(lab_searcher_t **searcher)
{
    fixture_t *fixture = fixture_open("grace_ms: 3000\n");
    *searcher = fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_put_config(fixture, 1, ROUTE_REPEATABLE "," ROUTE_ONCE);
    return fixture;
}

static void begin_shutdown(fixture_t *fixture)
{
    has_ended = false;
    ts_gateway_begin_shutdown(&fixture->gateway, on_ended);
}

/* Runs the loop until the process would exit. */
static void await_end(fixture_t *fixture)
{
    for (unsigned i = 0; i < WAIT_MS && !has_ended; i++)
        fixture_run_ms(fixture, 1);
    assert_true(has_ended);
}

static char *make_request(const char *target)
{
    return g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                           "X-Deadline-Ms: 9000\r\n\r\n",
                           target);
}

static void send_request(client_t *client, const char *target)
{
    char *text = make_request(target);
    client_send(client, text);
    g_free(text);
}

/* Connects and sends a request without the loop, so that the gateway has not accepted the
 * connection yet. Returns the socket. */
static int connect_and_send(unsigned port, const char *target)
{
    struct sockaddr_in address;
    uv_ip4_addr("127.0.0.1", (int)port, &address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (const struct sockaddr *)&address, sizeof(address)), 0);
    char *text = make_request(target);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    g_free(text);
    return fd;
}

/* Status of the response that has arrived on a socket, or 0; closes the socket. */
static unsigned read_status(int fd)
{
    char bytes[512] = "";
    unsigned status = 0;
    if (recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT) > 0)
        (void)sscanf(bytes, "HTTP/1.1 %u", &status);
    close(fd);
    return status;
}

/* Opens connections on each of which one request has been served. */
static void open_kept_connections(fixture_t *fixture, client_t **clients)
{
    for (unsigned i = 0; i < CLIENTS; i++) {
        clients[i] = client_connect(fixture, fixture->callers_port);
        send_request(clients[i], "/p/x");
        assert_int_equal(client_await_response(fixture, clients[i]), 200);
        ts_http_message_reset(&clients[i]->response);
    }
}

/* Status of the complete response, or 0. */
static unsigned status_of(const client_t *client)
{
    return client->response.is_complete ? client->response.parser.status_code : 0;
}

/* A shutdown that ends while requests are at a backend must not close their connections without an
 * answer; the backend may have run them, so they get 504. */
static void check_requests_at_work(const char *target)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *clients[CLIENTS];
    open_kept_connections(fixture, clients);
    searcher->delay_ms = 60000;
    begin_shutdown(fixture);
    fixture_run_ms(fixture, 500);
    for (unsigned i = 0; i < CLIENTS; i++)
        send_request(clients[i], target);
    await_end(fixture);
    assert_int_equal(searcher->runs, 2 * CLIENTS);
    for (unsigned i = 0; i < CLIENTS; i++) {
        assert_int_equal(status_of(clients[i]), 504);
        assert_string_equal(ts_http_message_find(&clients[i]->response, "Connection"), "close");
        assert_null(ts_http_message_find(&clients[i]->response, "Retry-After"));
    }
}

static void test_repeatable_requests_at_work_are_answered(void **state)
{
    check_requests_at_work("/p/y");
}

static void test_once_only_requests_at_work_are_answered(void **state)
{
    check_requests_at_work("/o/y");
}

/* Sends requests to a route until the gateway has learned that it takes `delay_ms`. */
static void teach_response_time(fixture_t *fixture, lab_searcher_t *searcher, const char *target,
                                unsigned delay_ms)
{
    searcher->delay_ms = delay_ms;
    for (unsigned i = 0; i < 2; i++) {
        unsigned status = 0;
        client_close(client_get(fixture, target, "w", 9000, &status));
        assert_int_equal(status, 200);
    }
}

/* A request that takes longer than what is left until the exit must not be sent on and cut off: it
 * is rejected at once, while one that can be finished is served. */
static void test_unfinishable_requests_are_rejected_at_once(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    teach_response_time(fixture, searcher, "/p/x", 1200);
    client_t *clients[CLIENTS];
    searcher->delay_ms = 5;
    open_kept_connections(fixture, clients);
    searcher->delay_ms = 1200;
    begin_shutdown(fixture);
    send_request(clients[0], "/p/early");
    assert_int_equal(client_await_response(fixture, clients[0]), 200);
    fixture_run_ms(fixture, 300);
    unsigned runs = searcher->runs;
    send_request(clients[1], "/p/late");
    fixture_run_ms(fixture, 100);
    assert_int_equal(status_of(clients[1]), 503);
    assert_string_equal(ts_http_message_find(&clients[1]->response, "Connection"), "close");
    assert_non_null(ts_http_message_find(&clients[1]->response, "Retry-After"));
    assert_int_equal(searcher->runs, runs);
    await_end(fixture);
}

/* A request that may run only once is rejected while its slow executions would be cut off, which
 * its caller could not repeat; a repeatable one is still served. */
static void test_once_only_requests_are_rejected_earlier(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    for (unsigned i = 0; i < 30; i++) {
        unsigned status = 0;
        searcher->delay_ms = i == 0 ? 1200 : 5;
        client_close(client_get(fixture, i % 2 == 0 ? "/o/x" : "/p/x", "w", 9000, &status));
        assert_int_equal(status, 200);
    }
    client_t *clients[CLIENTS];
    open_kept_connections(fixture, clients);
    begin_shutdown(fixture);
    fixture_run_ms(fixture, 1500);
    unsigned runs = searcher->runs;
    send_request(clients[0], "/o/late");
    fixture_run_ms(fixture, 100);
    assert_int_equal(status_of(clients[0]), 503);
    assert_int_equal(searcher->runs, runs);
    send_request(clients[1], "/p/late");
    fixture_run_ms(fixture, 100);
    assert_int_equal(status_of(clients[1]), 200);
    await_end(fixture);
}

/* Requests arrive while the process is stalled during a shutdown, on open connections and on one
 * that waits to be accepted; all of them must get `status`. */
static void check_requests_during_stall(unsigned stall_ms, unsigned status, unsigned runs_expected)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *clients[CLIENTS];
    open_kept_connections(fixture, clients);
    unsigned runs = searcher->runs;
    begin_shutdown(fixture);
    fixture_run_ms(fixture, 100);
    for (unsigned i = 0; i < CLIENTS; i++)
        send_request(clients[i], "/p/y");
    int waiting = connect_and_send(fixture->callers_port, "/p/z");
    g_usleep(stall_ms * 1000UL); // the loop does not run, as if the process was stopped
    await_end(fixture);
    for (unsigned i = 0; i < CLIENTS; i++)
        assert_int_equal(status_of(clients[i]), status);
    assert_int_equal(read_status(waiting), status);
    assert_int_equal(searcher->runs, runs + runs_expected);
}

/* After a stall beyond the end of the accepting phase, what has arrived must be read before its
 * connections are closed as idle. */
static void test_requests_that_arrive_during_a_stall_are_served(void **state)
{
    check_requests_during_stall(1900, 200, CLIENTS + 1);
}

/* The same after a stall beyond the deadline of all requests: they are rejected, not closed. */
static void test_requests_that_arrive_during_a_long_stall_are_rejected(void **state)
{
    check_requests_during_stall(2600, 503, 0);
}

/* A request whose body is still arriving at the deadline of all requests must be rejected, not cut
 * off; one that is complete before is served. */
static void test_incomplete_requests_are_rejected_before_the_exit(void **state)
{
    static const char head[] = "POST /p/y HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                               "X-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nab";
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *clients[CLIENTS];
    open_kept_connections(fixture, clients);
    unsigned runs = searcher->runs;
    begin_shutdown(fixture);
    client_send(clients[0], head);
    client_send(clients[1], head);
    client_send(clients[2], "POST /p/y HTTP/1.1\r\nHost: h.exa");
    fixture_run_ms(fixture, 2200);
    client_send(clients[1], "cd");
    await_end(fixture);
    assert_int_equal(status_of(clients[0]), 503);
    assert_int_equal(status_of(clients[1]), 200);
    assert_int_equal(status_of(clients[2]), 503);
    assert_int_equal(searcher->runs, runs + 1);
}

/* A gateway that has no configuration yet must not hold requests while it stops: other gateways may
 * have one. */
static void test_held_requests_are_rejected_at_once(void **state)
{
    fixture_t *fixture = fixture_open("grace_ms: 3000\n");
    client_t *held = client_connect(fixture, fixture->callers_port);
    client_t *late = client_connect(fixture, fixture->callers_port);
    send_request(held, "/p/y");
    fixture_run_ms(fixture, 50);
    assert_int_equal(status_of(held), 0);
    begin_shutdown(fixture);
    send_request(late, "/p/y");
    fixture_run_ms(fixture, 50);
    assert_int_equal(status_of(held), 503);
    assert_int_equal(status_of(late), 503);
    assert_non_null(strstr(held->received->str, "Retry-After: 0.150\r\n"));
    await_end(fixture);
}

static void reload(fixture_t *fixture, unsigned grace_ms)
{
    char *text = g_strdup_printf("name: test\nzone: z1\ndialect: platform\n"
                                 "callers: 127.0.0.1:1\nready: 127.0.0.1:2\n"
                                 "store: 127.0.0.1:%u\ngrace_ms: %u\n",
                                 fixture->store_port, grace_ms);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = ts_gateway_settings_load(text, strlen(text), &problems);
    assert_non_null(settings);
    ts_gateway_set_settings(&fixture->gateway, settings);
    ts_problems_clear(&problems);
    g_free(text);
}

/* The platform counts the grace period from its signal: neither a reload with another one nor a
 * second signal during the shutdown moves the exit. */
static void test_reload_does_not_move_the_exit(void **state)
{
    static const unsigned graces_ms[] = {1000, 60000};
    for (size_t i = 0; i < G_N_ELEMENTS(graces_ms); i++) {
        lab_searcher_t *searcher = NULL;
        fixture_t *fixture = open_fixture(&searcher);
        client_t *client = client_connect(fixture, fixture->callers_port);
        searcher->delay_ms = 60000;
        send_request(client, "/o/y");
        fixture_run_ms(fixture, 20);
        begin_shutdown(fixture);
        ts_time_us_t began_us = ts_clock_now_us();
        reload(fixture, graces_ms[i]);
        ts_gateway_begin_shutdown(&fixture->gateway, on_ended);
        await_end(fixture);
        ts_time_us_t took_us = ts_clock_now_us() - began_us;
        assert_int_equal(status_of(client), 504);
        assert_in_range(took_us, 2500 * TS_US_PER_MS, 3000 * TS_US_PER_MS);
    }
}

/* A gather that has enough of its parts at the exit is answered with them. */
static void test_gather_is_answered_with_its_parts(void **state)
{
    static const char *const services[] = {"a", "b", "c"};
    fixture_t *fixture = fixture_open("grace_ms: 3000\npolicy: naive\n");
    lab_searcher_t *searchers[3];
    for (unsigned i = 0; i < 3; i++)
        searchers[i] = fixture_add_searcher(fixture, services[i], services[i], "z1");
    fixture_put_config(fixture, 1,
                       "{\"name\":\"all\",\"host\":\"h.example\",\"pathPrefix\":\"/g/\","
                       "\"routeType\":\"idempotent\",\"timeoutMs\":9000,\"targetLatencyMs\":9000,"
                       "\"priority\":1,\"gather\":[\"a\",\"b\",\"c\"],\"maxAttempts\":2,"
                       "\"topK\":3,\"minCoverage\":0.6}");
    searchers[2]->delay_ms = 60000;
    client_t *client = client_connect(fixture, fixture->callers_port);
    send_request(client, "/g/x");
    fixture_run_ms(fixture, 50);
    begin_shutdown(fixture);
    await_end(fixture);
    assert_int_equal(status_of(client), 200);
    assert_string_equal(ts_http_message_find(&client->response, "X-Missing-Parts"), "1");
}

/* An answer that a slow client is still reading at the deadline of all requests must be complete
 * before the exit. */
static void test_exit_waits_for_answers_being_written(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    g_string_set_size(searcher->body, LARGE_BODY_BYTES);
    memset(searcher->body->str, 'x', searcher->body->len);
    client_t *client = client_connect(fixture, fixture->callers_port);
    client->response.body_max = LARGE_BODY_BYTES;
    int buffer_bytes = SMALL_BUFFER_BYTES;
    uv_recv_buffer_size((uv_handle_t *)&client->socket, &buffer_bytes);
    begin_shutdown(fixture);
    client_stop_reading(client);
    send_request(client, "/p/x");
    fixture_run_ms(fixture, 2680);
    assert_false(has_ended);
    client_resume_reading(client);
    await_end(fixture);
    assert_int_equal(status_of(client), 200);
    assert_int_equal(client->response.body->len, LARGE_BODY_BYTES);
}

/* A backend that refuses a request when there is no time left to send it again: the caller is told
 * to retry without the delay of an overload. */
static void test_refusal_near_the_exit_is_retried_elsewhere(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_fixture(&searcher);
    client_t *clients[CLIENTS];
    open_kept_connections(fixture, clients);
    begin_shutdown(fixture);
    fixture_run_ms(fixture, 1500);
    searcher->behaviour = LAB_SHEDS;
    searcher->delay_ms = 1040;
    send_request(clients[0], "/o/x");
    await_end(fixture);
    assert_int_equal(status_of(clients[0]), 503);
    assert_non_null(strstr(clients[0]->received->str, "Retry-After: 0.150\r\n"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_repeatable_requests_at_work_are_answered),
        cmocka_unit_test(test_once_only_requests_at_work_are_answered),
        cmocka_unit_test(test_unfinishable_requests_are_rejected_at_once),
        cmocka_unit_test(test_once_only_requests_are_rejected_earlier),
        cmocka_unit_test(test_requests_that_arrive_during_a_stall_are_served),
        cmocka_unit_test(test_requests_that_arrive_during_a_long_stall_are_rejected),
        cmocka_unit_test(test_incomplete_requests_are_rejected_before_the_exit),
        cmocka_unit_test(test_held_requests_are_rejected_at_once),
        cmocka_unit_test(test_reload_does_not_move_the_exit),
        cmocka_unit_test(test_gather_is_answered_with_its_parts),
        cmocka_unit_test(test_exit_waits_for_answers_being_written),
        cmocka_unit_test(test_refusal_near_the_exit_is_retried_elsewhere),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
