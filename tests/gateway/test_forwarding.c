/** Forwarding of a request to one backend over real sockets. */
#include "fixture.h"

#include <string.h>

static fixture_t *open_single_route(const char *kind, lab_searcher_t **first,
                                    lab_searcher_t **second)
{
    fixture_t *fixture = fixture_open(NULL);
    *first = fixture_add_searcher(fixture, "i-1", "a", "z1");
    if (second != NULL) {
        *second = fixture_add_searcher(fixture, "i-2", "a", "z2");
    }
    char *route = g_strdup_printf("{\"name\":\"one\",\"host\":\"h.example\",\"pathPrefix\":\"/p/\","
                                  "\"routeType\":\"%s\",\"timeoutMs\":1500,"
                                  "\"targetLatencyMs\":200,\"priority\":1,\"service\":\"a\","
                                  "\"maxAttempts\":2}",
                                  kind);
    fixture_put_config(fixture, 1, route);
    g_free(route);
    return fixture;
}

static void assert_body(const client_t *client, const char *expected)
{
    assert_string_equal(client->response.body->str, expected);
}

static void test_request_is_forwarded_unchanged(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "POST /p/x%20y?q=1&r= HTTP/1.1\r\nHost: h.example:80\r\n"
                        "X-Request-Id: Id-7\r\nX-Deadline-Ms: 900\r\nX-Own: a, b\r\n"
                        "X-Expected-Instance: forged\r\nConnection: keep-alive, X-Hop\r\n"
                        "X-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                        "0\r\n\r\n");
    assert_int_equal(client_await_response(fixture, client), 200);
    const char *text = g_ptr_array_index(searcher->requests, 0);
    assert_true(g_str_has_prefix(text, "POST /p/x%20y?q=1&r=\r\n"));
    assert_true(g_str_has_suffix(text, "\r\n\r\nabcde"));
    assert_non_null(strstr(text, "\r\nX-Own: a, b\r\n"));
    assert_non_null(strstr(text, "\r\nX-Request-Id: Id-7\r\n"));
    assert_non_null(strstr(text, "\r\nX-Expected-Instance: i-1\r\n"));
    assert_null(strstr(text, "forged"));
    assert_null(strstr(text, "X-Hop"));
    char *deadline_left = lab_searcher_last_header(searcher, "X-Deadline-Ms");
    assert_true(atoi(deadline_left) > 500 && atoi(deadline_left) <= 900);
    g_free(deadline_left);
    assert_non_null(ts_http_message_find(&client->response, "X-Server-Stamp"));
    assert_body(client, "0123456789abcdef");
}

static void test_deadline_is_capped_by_route_timeout(void **state)
{
    lab_searcher_t *searcher = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    client_get(fixture, "/p/x", "r1", 60000, &status);
    assert_int_equal(status, 200);
    char *deadline_left = lab_searcher_last_header(searcher, "X-Deadline-Ms");
    assert_true(atoi(deadline_left) <= 1500);
    g_free(deadline_left);
}

static void test_unknown_route_and_no_configuration(void **state)
{
    unsigned status = 0;
    fixture_t *fixture = fixture_open(NULL);
    client_t *early = client_get(fixture, "/p/x", "r1", 1000, &status);
    assert_int_equal(status, 503);
    assert_non_null(ts_http_message_find(&early->response, "Retry-After"));
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500));
    client_get(fixture, "/q/x", "r2", 1000, &status);
    assert_int_equal(status, 404);
}

/*
 * A request that fails in the given way is retried on another instance, and the client never gets a
 * wrong body. `is_failure`: whether it raises the failure rate of the first instance.
 */
static void check_retried(lab_searcher_behaviour_t behaviour, bool is_failure)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &first, &second);
    first->behaviour = behaviour;
    client_t *client = client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_body(client, "0123456789abcdef");
    const char *signature = ts_http_message_find(&client->response, "X-Server-Stamp");
    assert_true(g_str_has_prefix(signature, "sig.i-2."));
    assert_true(second->runs == 1);
    const ts_instance_t *failed = ts_registry_find_current(fixture->gateway.registry, "i-1");
    assert_true((ts_instance_failure_rate(failed, ts_clock_now_us()) > 0.2) == is_failure);
}

static void test_truncated_response(void **state)
{
    check_retried(LAB_TRUNCATES, true);
}
/*
 * libuv reports a reset as an end of stream if it arrives with a short read: the truncated body
 * must not pass for a complete one.
 */
static void test_reset_response_without_length(void **state)
{
    check_retried(LAB_CLOSE_DELIMITED_RESET, true);
}
static void test_response_with_wrong_request_id(void **state)
{
    check_retried(LAB_WRONG_ID, true);
}
static void test_unsigned_response(void **state)
{
    check_retried(LAB_UNSIGNED, true);
}
static void test_encoded_response(void **state)
{
    check_retried(LAB_ENCODED, true);
}
static void test_malformed_response(void **state)
{
    check_retried(LAB_MALFORMED, true);
}
static const char *const invalid_statuses[] = {"000", "0",   "20",  "099",  "101",
                                               "600", "999", "abc", "2000", "-20"};

/*
 * A status outside 100 to 599 is no answer, and 101 was never asked for: taken for an interim
 * answer, it would hold the caller until its deadline; taken for a final one, it would reach the
 * caller.
 */
static void test_invalid_status(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_statuses); i++) {
        lab_searcher_t *first = NULL;
        lab_searcher_t *second = NULL;
        unsigned status = 0;
        fixture_t *fixture = open_single_route("idempotent", &first, &second);
        first->behaviour = LAB_ODD_STATUS;
        first->status_text = invalid_statuses[i];
        client_t *client = client_get(fixture, "/p/x", "r1", 1400, &status);
        if (status != 200 || second->runs != 1)
            print_error("status %s of a backend: the caller got %u\n", invalid_statuses[i], status);
        assert_int_equal(status, 200);
        assert_int_equal(second->runs, 1);
        assert_body(client, "0123456789abcdef");
        const ts_instance_t *failed = ts_registry_find_current(fixture->gateway.registry, "i-1");
        assert_true(ts_instance_failure_rate(failed, ts_clock_now_us()) > 0.2);
        assert_int_equal(failed->connections, 0); // the connection is not used again
    }
}

/* A request that may run only once has run, or may have: it is not sent again, and its caller is
 * told so at once. */
static void test_invalid_status_of_request_that_runs_once(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_statuses); i++) {
        lab_searcher_t *first = NULL;
        lab_searcher_t *second = NULL;
        unsigned status = 0;
        fixture_t *fixture = open_single_route("non_idempotent", &first, &second);
        first->behaviour = LAB_ODD_STATUS;
        first->status_text = invalid_statuses[i];
        client_t *client = client_get(fixture, "/p/x", "r1", 60000, &status);
        assert_int_equal(status, 502);
        assert_int_equal(first->runs + second->runs, 1);
        assert_null(ts_http_message_find(&client->response, "X-Server-Stamp"));
    }
}

static void test_other_statuses_are_passed_on(void **state)
{
    static const char *const valid[] = {"201", "302", "404", "599"};
    for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
        lab_searcher_t *searcher = NULL;
        unsigned status = 0;
        fixture_t *fixture = open_single_route("non_idempotent", &searcher, NULL);
        searcher->behaviour = LAB_ODD_STATUS;
        searcher->status_text = valid[i];
        client_get(fixture, "/p/x", "r1", 1400, &status);
        assert_int_equal(status, atoi(valid[i]));
    }
}

static void test_overloaded_backend(void **state)
{
    check_retried(LAB_SHEDS, false);
}
static void test_error_response(void **state)
{
    check_retried(LAB_FAILS, true);
}
static void test_hanging_backend(void **state)
{
    check_retried(LAB_HANGS, false);
}

static void test_complete_response_without_length(void **state)
{
    lab_searcher_t *searcher = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    searcher->behaviour = LAB_CLOSE_DELIMITED;
    client_t *client = client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_body(client, "0123456789abcdef");
}

/*
 * A surplus response must not be taken for the response to the next request: the connection is not
 * reused.
 */
static void test_surplus_response_is_discarded(void **state)
{
    lab_searcher_t *searcher = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    searcher->behaviour = LAB_ANSWERS_TWICE;
    for (int i = 0; i < 5; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "r%d", i);
        client_t *client = client_get(fixture, "/p/x", id, 1400, &status);
        assert_int_equal(status, 200);
        assert_string_equal(ts_http_message_find(&client->response, "X-Request-Id"), id);
    }
    assert_int_equal(searcher->connections, 5);
}

static void test_connection_is_reused(void **state)
{
    lab_searcher_t *searcher = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    for (int i = 0; i < 5; i++) {
        client_get(fixture, "/p/x", "r", 1400, &status);
        assert_int_equal(status, 200);
    }
    assert_int_equal(searcher->connections, 1);
}

/* A connection that the backend closes between requests must not make a request fail. */
static void test_connection_closed_while_idle(void **state)
{
    lab_searcher_t *searcher = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("non_idempotent", &searcher, NULL);
    searcher->behaviour = LAB_CLOSES_AFTER;
    for (int i = 0; i < 5; i++) {
        client_get(fixture, "/p/x", "r", 1400, &status);
        assert_int_equal(status, 200);
        fixture_run_ms(fixture, 5);
    }
    assert_int_equal(searcher->runs, 5);
}

static void test_non_idempotent_request_runs_once(void **state)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("non_idempotent", &first, &second);
    first->behaviour = LAB_TRUNCATES;
    client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 502);
    assert_int_equal(first->runs + second->runs, 1);
}

static void test_non_idempotent_request_is_retried_after_refusal(void **state)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("non_idempotent", &first, &second);
    first->behaviour = LAB_SHEDS;
    client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_int_equal(first->runs, 0);
    assert_int_equal(second->runs, 1);
}

static void test_non_idempotent_request_is_not_hedged(void **state)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("non_idempotent", &first, &second);
    first->delay_ms = 600;
    client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_int_equal(second->runs, 0);
}

static void test_refused_everywhere_returns_retry_after(void **state)
{
    lab_searcher_t *first = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &first, NULL);
    first->behaviour = LAB_SHEDS;
    client_t *client = client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 503);
    assert_non_null(ts_http_message_find(&client->response, "Retry-After"));
    assert_null(ts_http_message_find(&client->response, "X-Server-Stamp"));
}

static void test_gateway_timeout_at_route_timeout(void **state)
{
    lab_searcher_t *first = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &first, NULL);
    first->behaviour = LAB_HANGS;
    ts_time_us_t start_us = ts_clock_now_us();
    client_get(fixture, "/p/x", "r1", 60000, &status);
    ts_time_us_t duration_ms = (ts_clock_now_us() - start_us) / TS_US_PER_MS;
    assert_int_equal(status, 504);
    assert_true(duration_ms >= 1400 && duration_ms < 2000);
}

static void test_client_disconnect_cancels_request(void **state)
{
    lab_searcher_t *first = NULL;
    fixture_t *fixture = open_single_route("idempotent", &first, NULL);
    first->delay_ms = 1200;
    client_t *client = client_connect(fixture, fixture->callers_port);
    client_send(client, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                        "X-Deadline-Ms: 1400\r\n\r\n");
    assert_true(fixture_run_until(fixture, &first->runs, 1));
    client_close(client);
    fixture_run_ms(fixture, 480);
    assert_int_equal(first->closed_while_busy, 1);
    assert_int_equal(fixture->gateway.requests, 0);
}

/* An instance refuses a request meant for another; the request is retried elsewhere. */
static void test_address_reused_by_another_instance(void **state)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &first, &second);
    g_free(first->id);
    first->id = g_strdup("i-9"); /* same address, different instance */
    client_get(fixture, "/p/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_int_equal(first->runs, 0);
    assert_int_equal(first->misdirected, 1);
    assert_int_equal(second->runs, 1);
}

/*
 * The node never exceeds the number of connections it may open to an instance. Requests that cannot
 * be sent within a fifth of the target latency are refused early, with Retry-After, and do not run.
 */
static void test_connection_limit_is_not_exceeded(void **state)
{
    lab_searcher_t *searcher = NULL;
    fixture_t *fixture = open_single_route("idempotent", &searcher, NULL);
    searcher->delay_ms = 60;
    client_t *clients[12];
    for (int i = 0; i < 12; i++) {
        clients[i] = client_connect(fixture, fixture->callers_port);
        client_send(clients[i], "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                "X-Deadline-Ms: 1400\r\n\r\n");
    }
    unsigned answered = 0;
    for (int i = 0; i < 12; i++) {
        unsigned status = client_await_response(fixture, clients[i]);
        answered += status == 200;
        if (status != 200) {
            assert_int_equal(status, 503);
            assert_non_null(ts_http_message_find(&clients[i]->response, "Retry-After"));
        }
    }
    assert_true(searcher->connections <= 4); // slots in its entry
    assert_true(answered >= 4);
    assert_int_equal(searcher->runs, answered);
}

static void test_draining_instance_gets_no_new_requests(void **state)
{
    lab_searcher_t *first = NULL;
    lab_searcher_t *second = NULL;
    unsigned status = 0;
    fixture_t *fixture = open_single_route("idempotent", &first, &second);
    fixture_set_draining(fixture, first);
    fixture_run_ms(fixture, 1000);
    for (int i = 0; i < 4; i++) {
        client_get(fixture, "/p/x", "r", 1400, &status);
        assert_int_equal(status, 200);
    }
    assert_int_equal(first->runs, 0);
    assert_int_equal(second->runs, 4);
}

/* A zone without searchers must learn from those of its region, not keep the initial estimate. */
static void test_typical_latency_is_learned_in_the_region(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_add_searcher(fixture, "i-1", "a", "z1b");
    fixture_put_config(fixture, 1, SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500));
    for (int i = 0; i < 5; i++) {
        unsigned status = 0;
        client_close(client_get(fixture, "/p/x", "r1", 1000, &status));
        assert_int_equal(status, 200);
    }
    const ts_traffic_route_t *route =
        ts_traffic_match(fixture->gateway.traffic, "h.example", "/p/x");
    assert_int_equal(ts_gateway_route_state(&fixture->gateway, route)->median.count, 5);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_request_is_forwarded_unchanged),
        cmocka_unit_test(test_deadline_is_capped_by_route_timeout),
        cmocka_unit_test(test_unknown_route_and_no_configuration),
        cmocka_unit_test(test_truncated_response),
        cmocka_unit_test(test_reset_response_without_length),
        cmocka_unit_test(test_response_with_wrong_request_id),
        cmocka_unit_test(test_unsigned_response),
        cmocka_unit_test(test_encoded_response),
        cmocka_unit_test(test_malformed_response),
        cmocka_unit_test(test_invalid_status),
        cmocka_unit_test(test_invalid_status_of_request_that_runs_once),
        cmocka_unit_test(test_other_statuses_are_passed_on),
        cmocka_unit_test(test_overloaded_backend),
        cmocka_unit_test(test_error_response),
        cmocka_unit_test(test_hanging_backend),
        cmocka_unit_test(test_complete_response_without_length),
        cmocka_unit_test(test_surplus_response_is_discarded),
        cmocka_unit_test(test_connection_is_reused),
        cmocka_unit_test(test_connection_closed_while_idle),
        cmocka_unit_test(test_non_idempotent_request_runs_once),
        cmocka_unit_test(test_non_idempotent_request_is_retried_after_refusal),
        cmocka_unit_test(test_non_idempotent_request_is_not_hedged),
        cmocka_unit_test(test_refused_everywhere_returns_retry_after),
        cmocka_unit_test(test_gateway_timeout_at_route_timeout),
        cmocka_unit_test(test_client_disconnect_cancels_request),
        cmocka_unit_test(test_address_reused_by_another_instance),
        cmocka_unit_test(test_connection_limit_is_not_exceeded),
        cmocka_unit_test(test_typical_latency_is_learned_in_the_region),
        cmocka_unit_test(test_draining_instance_gets_no_new_requests),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
