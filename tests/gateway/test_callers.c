/** What callers may send, and how their connections end. */
#include "fixture.h"

#include <string.h>

#define HEAD "Host: h.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 1000\r\n"

static world_t *open_world(lab_searcher_t **searcher)
{
    world_t *world = world_open(NULL);
    *searcher = world_add_searcher(world, "i-1", "a", "z1");
    world_configure(world, 1, ROUTE_ONE("one", "/p/", "idempotent", "a", 1500));
    return world;
}

static unsigned status_of(world_t *world, const char *bytes)
{
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, bytes);
    unsigned status = visit_await(world, visit);
    visit_close(visit);
    return status;
}

/* Requests that two readers could read differently are refused, and reach no searcher. */
static void test_ambiguous_requests_are_refused(void **state)
{
    static const char *const requests[] = {
        "POST /p/x HTTP/1.1\r\n" HEAD "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /p/x HTTP/1.1\r\n" HEAD "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST /p/x HTTP/1.1\r\n" HEAD
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" HEAD "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" HEAD "Content-Length: -1\r\n\r\n",
        "POST /p/x HTTP/1.1\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        "GET /p/x HTTP/1.1\nHost: h.example\nX-Request-Id: r\n\n",
        "GET /p/x HTTP/1.1\r\n" HEAD "X-A : b\r\n\r\n",
        "GET /p/x HTTP/1.1\r\n" HEAD "Host: other.example\r\n\r\n",
        "GET /p/x HTTP/1.1\r\nX-Request-Id: r\r\n\r\n",
        "GET /p/x HTTP/1.1\r\nHost: h.example\r\n\r\n",
        "not a request\r\n\r\n",
    };
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        unsigned status = status_of(world, requests[i]);
        if (status != 400) {
            print_error("request %zu: %u\n%s\n", i, status, requests[i]);
        }
        assert_int_equal(status, 400);
    }
    assert_int_equal(searcher->runs, 0);
}

static void test_limits(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    char *filler = g_strnfill(5000, 'a');
    char *large_head = g_strdup_printf("GET /p/x HTTP/1.1\r\n" HEAD "X-A: %s\r\n\r\n", filler);
    assert_int_equal(status_of(world, large_head), 431);
    assert_int_equal(
        status_of(world, "POST /p/x HTTP/1.1\r\n" HEAD "Content-Length: 65537\r\n\r\n"), 413);
    char *chunk = g_strnfill(66000, 'a');
    char *large_body = g_strdup_printf("POST /p/x HTTP/1.1\r\n" HEAD
                                       "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
                                       66000, chunk);
    assert_int_equal(status_of(world, large_body), 413);
    assert_int_equal(searcher->runs, 0);
    g_free(filler);
    g_free(large_head);
    g_free(chunk);
    g_free(large_body);
}

static void test_head_that_dawdles(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, "GET /p/x HTT");
    for (int i = 0; i < 18; i++) {
        world_run_ms(world, 200);
        ts_gateway_sweep(&world->gateway);
    }
    assert_int_equal(visit->answer.parser.status_code, 408);
}

static void test_requests_in_a_row_on_one_connection(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, "GET /p/1 HTTP/1.1\r\n" HEAD "\r\nGET /p/2 HTTP/1.1\r\n" HEAD "\r\n");
    assert_true(world_run_until(world, &searcher->runs, 2));
    world_run_ms(world, 20);
    assert_true(g_str_has_prefix(g_ptr_array_index(searcher->heads, 0), "GET /p/1"));
    assert_true(g_str_has_prefix(g_ptr_array_index(searcher->heads, 1), "GET /p/2"));
    const char *second = strstr(visit->received->str + 5, "HTTP/1.1 200");
    assert_non_null(second);
    assert_false(visit->is_ended);
}

static void test_expect_is_answered(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit,
               "POST /p/x HTTP/1.1\r\n" HEAD "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    world_run_ms(world, 30);
    assert_true(g_str_has_prefix(visit->received->str, "HTTP/1.1 100 "));
    visit_send(visit, "abc");
    assert_int_equal(visit_await(world, visit), 200);
    assert_null(strstr(g_ptr_array_index(searcher->heads, 0), "\r\nExpect:"));
}

static void test_readiness(void **state)
{
    world_t *world = world_open(NULL);
    visit_t *visit = visit_open(world, world->ready_port);
    visit_send(visit, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(visit_await(world, visit), 503);
    world_configure(world, 1, ROUTE_ONE("one", "/p/", "idempotent", "a", 1500));
    visit_send(visit, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(visit_await(world, visit), 200);
    ts_gateway_leave(&world->gateway);
    visit_send(visit, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_int_equal(visit_await(world, visit), 503);
}

/* A reload replaces every text of the settings; nothing may still point at the old ones. */
static void test_reload_keeps_distances(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    const char *text = "name: test\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:1\n"
                       "ready: 127.0.0.1:2\nstore: 127.0.0.1:%u\n"
                       "zones: [{zone: z1, region: r1}, {zone: z2, region: r1}]\n";
    char *settings = g_strdup_printf(text, world->store_port);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_set_settings(&world->gateway,
                            ts_gateway_settings_load(settings, strlen(settings), &problems));
    world_add_searcher(world, "i-2", "a", "z2");
    const ts_instance_t *instance = ts_registry_present(world->gateway.registry, "i-2");
    assert_non_null(instance);
    assert_int_equal(instance->distance, TS_DISTANCE_REGION);
    unsigned status = 0;
    visit_get(world, "/p/x", "r", 1000, &status);
    assert_int_equal(status, 200);
    ts_problems_clear(&problems);
    g_free(settings);
}

static void test_leaving_ends_connections_after_answers(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(&searcher);
    searcher->delay_ms = 100;
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, "GET /p/1 HTTP/1.1\r\n" HEAD "\r\n");
    assert_true(world_run_until(world, &searcher->runs, 1));
    ts_gateway_leave(&world->gateway);
    assert_int_equal(visit_await(world, visit), 200);
    assert_string_equal(ts_http_message_find(&visit->answer, "Connection"), "close");
    unsigned status = 0;
    visit_t *late = visit_get(world, "/p/2", "r2", 1000, &status);
    assert_int_equal(status, 200);
    assert_string_equal(ts_http_message_find(&late->answer, "Connection"), "close");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ambiguous_requests_are_refused),
        cmocka_unit_test(test_limits),
        cmocka_unit_test(test_head_that_dawdles),
        cmocka_unit_test(test_requests_in_a_row_on_one_connection),
        cmocka_unit_test(test_expect_is_answered),
        cmocka_unit_test(test_readiness),
        cmocka_unit_test(test_reload_keeps_distances),
        cmocka_unit_test(test_leaving_ends_connections_after_answers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
