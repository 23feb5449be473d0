/**
 * Suspension of the machine: CLOCK_BOOTTIME advances while timers and CLOCK_MONOTONIC stand still.
 * Simulated by a wrapper of clock_gettime that adds to CLOCK_BOOTTIME.
 */
#include "fixture.h"

#include <time.h>

#include "tealspar/counters.h"

/* Longer than the deadlines of all requests. */
#define SUSPENDED_S 5
/* More than the searcher has slots. */
#define CLIENTS 8U
#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)

static time_t suspended_s; /* total of all suspensions */

int __real_clock_gettime(clockid_t clock, struct timespec *time); // NOLINT
int __wrap_clock_gettime(clockid_t clock, struct timespec *time); // NOLINT

int __wrap_clock_gettime(clockid_t clock, struct timespec *time) // NOLINT
{
    int status = __real_clock_gettime(clock, time);
    time->tv_sec += clock == CLOCK_BOOTTIME ? suspended_s : 0;
    return status;
}

static void test_clock_includes_suspension(void **state)
{
    ts_time_us_t before_us = ts_clock_now_us();
    suspended_s += SUSPENDED_S;
    ts_time_us_t span_us = ts_clock_now_us() - before_us;
    assert_true(span_us >= SUSPENDED_S * TS_US_PER_S);
    assert_true(span_us < (SUSPENDED_S + 1) * TS_US_PER_S);
}

static void send_request(client_t *client, unsigned deadline_ms)
{
    char *text = g_strdup_printf("GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 deadline_ms);
    client_send(client, text);
    g_free(text);
}

static client_t *start_request(fixture_t *fixture, unsigned deadline_ms)
{
    client_t *client = client_connect(fixture, fixture->callers_port);
    send_request(client, deadline_ms);
    return client;
}

/* A request in flight at suspension times out right after resume and is not sent again. */
static void test_request_in_flight_times_out(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_searcher_t *first = fixture_add_searcher(fixture, "i-1", "a", "z1");
    lab_searcher_t *second = fixture_add_searcher(fixture, "i-2", "a", "z2");
    first->behaviour = LAB_HANGS;
    second->behaviour = LAB_HANGS;
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("once", "/p/", "non_idempotent", "a", 1500));
    client_t *client = start_request(fixture, 1400);
    fixture_run_ms(fixture, 400); // only the timer of its deadline is pending
    assert_int_equal(first->runs + second->runs, 1);
    int64_t standstills_before = ts_counter_value(TS_COUNTER_STANDSTILLS);
    suspended_s += SUSPENDED_S;
    unsigned status = 0;
    for (int i = 0; i < 20 && status == 0; i++) {
        fixture_run_ms(fixture, 5);
        status = client->response.is_complete ? client->response.parser.status_code : 0;
    }
    assert_int_equal(status, 504);
    assert_int_equal(first->runs + second->runs, 1);
    assert_int_equal(ts_counter_value(TS_COUNTER_STANDSTILLS), standstills_before + 1);
}

/* A hedge that is due at resume is not sent: the deadline of the request has passed. */
static void test_no_hedge_after_resume(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_searcher_t *first = fixture_add_searcher(fixture, "i-1", "a", "z1");
    lab_searcher_t *second = fixture_add_searcher(fixture, "i-2", "a", "z2");
    first->behaviour = LAB_HANGS;
    second->behaviour = LAB_HANGS;
    fixture_put_config(fixture, 1, ROUTE_A);
    (void)start_request(fixture, 1400);
    fixture_run_ms(fixture, 5);
    assert_int_equal(first->runs + second->runs, 1);
    suspended_s += SUSPENDED_S;
    fixture_run_ms(fixture, 300);
    assert_int_equal(first->runs + second->runs, 1);
}

static void suspend_and_compose(void *ctx, lab_searcher_t *searcher, const char *request_id,
                                GString *body)
{
    suspended_s += SUSPENDED_S;
    g_string_append(body, "0123456789abcdef");
}

/*
 * Requests that wait for a free slot are refused with 503 after resume, even if the first event
 * then is a response that frees a slot: they must not be sent after their deadline.
 */
static void test_waiting_requests_are_refused(void **state)
{
    static const lab_searcher_ops_t ops = {.compose_body = suspend_and_compose};
    fixture_t *fixture = fixture_open(NULL);
    lab_searcher_t *searcher = fixture_add_searcher(fixture, "i-1", "a", "z1");
    searcher->delay_ms = 30;
    searcher->ops = &ops;
    fixture_put_config(fixture, 1, ROUTE_A);
    client_t *clients[CLIENTS];
    for (unsigned i = 0; i < CLIENTS; i++)
        clients[i] = client_connect(fixture, fixture->callers_port);
    for (unsigned i = 0; i < CLIENTS; i++)
        send_request(clients[i], 1400);
    fixture_run_ms(fixture, 10);
    unsigned runs = searcher->runs;
    assert_int_equal(fixture->gateway.requests, CLIENTS);
    assert_true(runs > 0 && runs < CLIENTS); // the others wait for a free slot
    fixture_run_ms(fixture, 200);
    unsigned refused = 0;
    for (unsigned i = 0; i < CLIENTS; i++) {
        assert_true(clients[i]->response.is_complete);
        refused += clients[i]->response.parser.status_code == 503;
    }
    assert_int_equal(refused, CLIENTS - runs);
    assert_int_equal(searcher->runs, runs);
}

/* Requests that arrive after resume are served normally. */
static void test_later_requests_are_served(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    unsigned status = 0;
    fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_put_config(fixture, 1, ROUTE_A);
    client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    suspended_s += SUSPENDED_S;
    client_get(fixture, "/p/x", "r2", 1400, &status);
    assert_int_equal(status, 200);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_clock_includes_suspension),
        cmocka_unit_test(test_request_in_flight_times_out),
        cmocka_unit_test(test_no_hedge_after_resume),
        cmocka_unit_test(test_waiting_requests_are_refused),
        cmocka_unit_test(test_later_requests_are_served),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
