/**
 * A machine that was suspended: its boot time went on, timers and the steady clock stood still. The
 * boot time is put forward here, by a wrapped clock_gettime.
 */
#include "fixture.h"

#include <time.h>

#include "tealspar/counters.h"

#define SUSPENDED_S 5
#define CALLERS 8U
#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)

static time_t suspended_s; /* so far */

int __real_clock_gettime(clockid_t clock, struct timespec *time); // NOLINT
int __wrap_clock_gettime(clockid_t clock, struct timespec *time); // NOLINT

int __wrap_clock_gettime(clockid_t clock, struct timespec *time) // NOLINT
{
    int status = __real_clock_gettime(clock, time);
    time->tv_sec += clock == CLOCK_BOOTTIME ? suspended_s : 0;
    return status;
}

static void test_clock_counts_suspension(void **state)
{
    ts_time_us_t before_us = ts_clock_now_us();
    suspended_s += SUSPENDED_S;
    ts_time_us_t span_us = ts_clock_now_us() - before_us;
    assert_true(span_us >= SUSPENDED_S * TS_US_PER_S);
    assert_true(span_us < (SUSPENDED_S + 1) * TS_US_PER_S);
}

static void send_request(visit_t *visit, unsigned deadline_ms)
{
    char *text = g_strdup_printf("GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 deadline_ms);
    visit_send(visit, text);
    g_free(text);
}

static visit_t *ask(world_t *world, unsigned deadline_ms)
{
    visit_t *visit = visit_open(world, world->callers_port);
    send_request(visit, deadline_ms);
    return visit;
}

/* What is out when the machine is suspended ends at once after, and nothing more is sent. */
static void test_request_under_way_ends(void **state)
{
    world_t *world = world_open(NULL);
    lab_searcher_t *first = world_add_searcher(world, "i-1", "a", "z1");
    lab_searcher_t *second = world_add_searcher(world, "i-2", "a", "z2");
    first->behaviour = LAB_HANGS;
    second->behaviour = LAB_HANGS;
    world_configure(world, 1, ROUTE_ONE("once", "/p/", "non_idempotent", "a", 1500));
    visit_t *visit = ask(world, 1400);
    world_run_ms(world, 400); // nothing is due any more but its deadline
    assert_int_equal(first->runs + second->runs, 1);
    int64_t seen = ts_counter_value(TS_COUNTER_STANDSTILLS);
    suspended_s += SUSPENDED_S;
    unsigned status = 0;
    for (int i = 0; i < 20 && status == 0; i++) {
        world_run_ms(world, 5);
        status = visit->answer.is_complete ? visit->answer.parser.status_code : 0;
    }
    assert_int_equal(status, 504);
    assert_int_equal(first->runs + second->runs, 1);
    assert_int_equal(ts_counter_value(TS_COUNTER_STANDSTILLS), seen + 1);
}

/* A second send that is due when the machine wakes is not made: nobody waits any more. */
static void test_no_second_send_after_waking(void **state)
{
    world_t *world = world_open(NULL);
    lab_searcher_t *first = world_add_searcher(world, "i-1", "a", "z1");
    lab_searcher_t *second = world_add_searcher(world, "i-2", "a", "z2");
    first->behaviour = LAB_HANGS;
    second->behaviour = LAB_HANGS;
    world_configure(world, 1, ROUTE_A);
    (void)ask(world, 1400);
    world_run_ms(world, 5);
    assert_int_equal(first->runs + second->runs, 1);
    suspended_s += SUSPENDED_S;
    world_run_ms(world, 300);
    assert_int_equal(first->runs + second->runs, 1);
}

static void suspend(void *ctx, lab_searcher_t *searcher, const char *request_id, GString *body)
{
    suspended_s += SUSPENDED_S;
    g_string_append(body, "0123456789abcdef");
}

/*
 * Requests that wait for room are not begun though the answer that makes room is the first thing
 * that comes after waking: their callers are told that nothing of them ran.
 */
static void test_waiting_requests_are_not_begun(void **state)
{
    static const lab_searcher_ops_t ops = {.compose = suspend};
    world_t *world = world_open(NULL);
    lab_searcher_t *searcher = world_add_searcher(world, "i-1", "a", "z1");
    searcher->delay_ms = 30;
    searcher->ops = &ops;
    world_configure(world, 1, ROUTE_A);
    visit_t *visits[CALLERS];
    for (unsigned i = 0; i < CALLERS; i++)
        visits[i] = visit_open(world, world->callers_port);
    for (unsigned i = 0; i < CALLERS; i++)
        send_request(visits[i], 1400);
    world_run_ms(world, 10);
    unsigned runs = searcher->runs;
    assert_int_equal(world->gateway.requests, CALLERS);
    assert_true(runs > 0 && runs < CALLERS); // the others wait for room
    world_run_ms(world, 200);
    unsigned refused = 0;
    for (unsigned i = 0; i < CALLERS; i++) {
        assert_true(visits[i]->answer.is_complete);
        refused += visits[i]->answer.parser.status_code == 503;
    }
    assert_int_equal(refused, CALLERS - runs);
    assert_int_equal(searcher->runs, runs);
}

/* Requests that come after are served as ever. */
static void test_work_goes_on(void **state)
{
    world_t *world = world_open(NULL);
    unsigned status = 0;
    world_add_searcher(world, "i-1", "a", "z1");
    world_configure(world, 1, ROUTE_A);
    visit_get(world, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    suspended_s += SUSPENDED_S;
    visit_get(world, "/p/x", "r2", 1400, &status);
    assert_int_equal(status, 200);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_clock_counts_suspension),
        cmocka_unit_test(test_request_under_way_ends),
        cmocka_unit_test(test_no_second_send_after_waking),
        cmocka_unit_test(test_waiting_requests_are_not_begun),
        cmocka_unit_test(test_work_goes_on),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
