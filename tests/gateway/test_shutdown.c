/** Graceful shutdown: what callers get whose requests are in progress or arrive late. */
#include "fixture.h"

#include <string.h>

#define GRACE_MS "2000"
#define WAIT_MS 4000U
#define CLIENTS 4U
#define ROUTE_REPEATABLE SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 9000)
#define ROUTE_ONCE SERVICE_ROUTE_JSON("once", "/o/", "non_idempotent", "a", 9000)

static bool has_ended;

static void on_ended(ts_gateway_t *gateway)
{
    has_ended = true;
}

static fixture_t *open_fixture(lab_searcher_t **searcher)
{
    fixture_t *fixture = fixture_open("grace_ms: " GRACE_MS "\n");
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

static void send_request(client_t *client, const char *target)
{
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                 "X-Deadline-Ms: 9000\r\n\r\n",
                                 target);
    client_send(client, text);
    g_free(text);
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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_repeatable_requests_at_work_are_answered),
        cmocka_unit_test(test_once_only_requests_at_work_are_answered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
