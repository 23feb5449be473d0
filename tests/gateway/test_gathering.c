/** Requests that gather parts from several services, over real sockets. */
#include "fixture.h"

#include <string.h>

/* Two searchers for each of the services a, b and c. */
typedef struct shards {
    fixture_t *fixture;
    lab_searcher_t *near[3]; /* in the zone of the gateway */
    lab_searcher_t *far[3];  /* in another region */
} shards_t;

/* `settings`: additional YAML lines, or NULL. */
static shards_t open_shards_with(const char *settings, const char *min_coverage)
{
    static const char *const services[] = {"a", "b", "c"};
    shards_t shards = {.fixture = fixture_open(settings)};
    for (int i = 0; i < 3; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "n-%s", services[i]);
        shards.near[i] = fixture_add_searcher(shards.fixture, id, services[i], "z1");
        g_snprintf(id, sizeof(id), "f-%s", services[i]);
        shards.far[i] = fixture_add_searcher(shards.fixture, id, services[i], "z2");
    }
    char *route = g_strdup_printf("{\"name\":\"all\",\"host\":\"h.example\",\"pathPrefix\":\"/g/\","
                                  "\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
                                  "\"targetLatencyMs\":250,\"priority\":1,"
                                  "\"gather\":[\"a\",\"b\",\"c\"],\"maxAttempts\":2,\"topK\":3,"
                                  "\"minCoverage\":%s}",
                                  min_coverage);
    fixture_put_config(shards.fixture, 1, route);
    g_free(route);
    return shards;
}

static shards_t open_shards(const char *min_coverage)
{
    return open_shards_with(NULL, min_coverage);
}

static unsigned count_signatures(const client_t *client)
{
    const char *list = ts_http_message_find(&client->response, "X-Part-Stamps");
    char **items = g_strsplit(list, ",", -1);
    unsigned count = g_strv_length(items);
    g_strfreev(items);
    return count;
}

static const char *missing_parts(const client_t *client)
{
    return ts_http_message_find(&client->response, "X-Missing-Parts");
}

/* Records have 16 bytes; the incomplete one at the end of a part is dropped. */
static void test_top_records_are_merged(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    g_string_assign(shards.near[0]->body, "aaaaaaaaaaaaaaaazzzzzzzzzzzzzzzzrest");
    g_string_assign(shards.near[1]->body, "mmmmmmmmmmmmmmmm");
    g_string_assign(shards.near[2]->body, "zzzzzzzzzzzzzzzz");
    client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(client->response.body->str,
                        "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzmmmmmmmmmmmmmmmm");
    assert_int_equal(count_signatures(client), 3);
    assert_string_equal(missing_parts(client), "0");
}

static void test_hanging_searcher_is_hedged(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    shards.near[1]->behaviour = LAB_HANGS;
    ts_time_us_t start_us = ts_clock_now_us();
    client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing_parts(client), "0");
    assert_true(ts_clock_now_us() - start_us < 250 * TS_US_PER_MS);
    /* The next request prefers the other searcher. */
    unsigned runs = shards.near[1]->runs;
    client_get(shards.fixture, "/g/x", "r2", 1400, &status);
    assert_int_equal(status, 200);
    assert_int_equal(shards.near[1]->runs, runs);
}

/*
 * All urgent requests for a service that is down are refused. Those refusals must not lead to the
 * refusal of gather requests that reach their minimum coverage without that service.
 */
static void test_refusals_of_one_service_do_not_block_gather(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    unsigned status = 0;
    lab_searcher_t *unreachable = fixture_add_searcher(fixture, "n-a", "a", "z1");
    fixture_add_searcher(fixture, "n-b", "b", "z1");
    fixture_add_searcher(fixture, "n-c", "c", "z1");
    fixture_put_config(fixture, 1,
                       "{\"name\":\"urgent\",\"host\":\"h.example\",\"pathPrefix\":\"/u/\","
                       "\"routeType\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
                       "\"priority\":0,\"service\":\"a\",\"maxAttempts\":2}," GATHER_ROUTE_JSON(
                           "all", "/g/", 0.6));
    uv_close((uv_handle_t *)&unreachable->socket, NULL);
    for (int i = 0; i < 6; i++) {
        client_get(fixture, "/u/x", "u1", 1400, &status);
        assert_int_equal(status, 503);
    }
    ts_time_us_t start_us = ts_clock_now_us();
    client_get(fixture, "/g/x", "g1", 1900, &status);
    assert_int_equal(status, 200);
    assert_true(ts_clock_now_us() - start_us < 250 * TS_US_PER_MS);
}

/*
 * Sends the request with one hanging shard and a low retry budget; returns the number of sends to
 * that shard beyond the first.
 */
static unsigned count_extra_sends(const char *min_coverage)
{
    shards_t shards = open_shards_with("retry_ratio: 0\nretry_slack: 240", min_coverage);
    const ts_gateway_t *gateway = &shards.fixture->gateway;
    ts_retry_budget_t *budget = &ts_registry_ensure_service(gateway->registry, "a")->budget;
    unsigned status = 0;
    while (!ts_retry_budget_is_low(budget, &gateway->retry_rule, ts_clock_now_us()))
        assert_true(ts_retry_budget_take(budget, &gateway->retry_rule, ts_clock_now_us()));
    shards.near[0]->behaviour = LAB_HANGS;
    client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    return shards.near[0]->runs + shards.far[0]->runs - 1;
}

static void test_low_retry_budget_is_kept_for_required_parts(void **state)
{
    assert_int_equal(count_extra_sends("0.5"), 0);
    assert_int_equal(count_extra_sends("1.0"), 1);
}

/* Requests that are abandoned without a response must count as slow for their searcher. */
static void test_unanswered_requests_count_as_slow(void **state)
{
    shards_t shards = open_shards("0.5");
    unsigned status = 0;
    shards.near[1]->behaviour = LAB_HANGS;
    shards.far[1]->behaviour = LAB_HANGS;
    client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    const ts_registry_t *registry = shards.fixture->gateway.registry;
    double near =
        ts_instance_latency_ratio(ts_registry_find_current(registry, "n-b"), ts_clock_now_us());
    double far =
        ts_instance_latency_ratio(ts_registry_find_current(registry, "f-b"), ts_clock_now_us());
    assert_true(MAX(near, far) > 1.3);
}

static void test_late_part_is_omitted_at_target_latency(void **state)
{
    shards_t shards = open_shards("0.6");
    unsigned status = 0;
    shards.near[2]->behaviour = LAB_HANGS;
    shards.far[2]->behaviour = LAB_HANGS;
    ts_time_us_t start_us = ts_clock_now_us();
    client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    ts_time_us_t duration_ms = (ts_clock_now_us() - start_us) / TS_US_PER_MS;
    assert_int_equal(status, 200);
    assert_string_equal(missing_parts(client), "1");
    assert_int_equal(count_signatures(client), 2);
    assert_true(duration_ms < 300);
}

static void test_coverage_below_minimum_fails(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    shards.near[2]->behaviour = LAB_FAILS;
    shards.far[2]->behaviour = LAB_FAILS;
    client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 502);
    assert_null(ts_http_message_find(&client->response, "X-Part-Stamps"));
}

static void test_failed_part_is_missing(void **state)
{
    shards_t shards = open_shards("0.6");
    unsigned status = 0;
    shards.near[0]->behaviour = LAB_FAILS;
    shards.far[0]->behaviour = LAB_FAILS;
    client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing_parts(client), "1");
    assert_int_equal(count_signatures(client), 2);
}

static void test_service_without_searchers_is_missing(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    unsigned status = 0;
    fixture_add_searcher(fixture, "n-a", "a", "z1");
    fixture_add_searcher(fixture, "n-b", "b", "z1");
    fixture_put_config(fixture, 1, GATHER_ROUTE_JSON("all", "/g/", 0.6));
    client_t *client = client_get(fixture, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing_parts(client), "1");
}

/* A request keeps the services of the configuration version it started with. */
static void test_configuration_version_is_pinned(void **state)
{
    shards_t shards = open_shards("0.9");
    for (int i = 0; i < 3; i++) {
        shards.near[i]->delay_ms = 150;
        shards.far[i]->delay_ms = 150;
    }
    client_t *client = client_connect(shards.fixture, shards.fixture->callers_port);
    client_send(client, "GET /g/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                        "X-Deadline-Ms: 1400\r\n\r\n");
    assert_true(fixture_run_until(shards.fixture, &shards.near[0]->runs, 1));
    fixture_put_config(shards.fixture, 2,
                       SERVICE_ROUTE_JSON("all", "/g/", "idempotent", "a", 1500));
    assert_int_equal(client_await_response(shards.fixture, client), 200);
    assert_int_equal(count_signatures(client), 3);
}

/* A part with an invalid status is missing from the answer; its records are not merged. */
static void test_part_with_invalid_status_is_missing(void **state)
{
    static const char *const statuses[] = {"000", "101", "600"};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        shards_t shards = open_shards("0.5");
        unsigned status = 0;
        g_string_assign(shards.near[0]->body, "aaaaaaaaaaaaaaaa");
        g_string_assign(shards.near[1]->body, "mmmmmmmmmmmmmmmm");
        g_string_assign(shards.near[2]->body, "zzzzzzzzzzzzzzzz");
        g_string_assign(shards.far[2]->body, "zzzzzzzzzzzzzzzz");
        shards.near[2]->behaviour = shards.far[2]->behaviour = LAB_ODD_STATUS;
        shards.near[2]->status_text = shards.far[2]->status_text = statuses[i];
        client_t *client = client_get(shards.fixture, "/g/x", "r1", 1400, &status);
        assert_int_equal(status, 200);
        assert_string_equal(missing_parts(client), "1");
        assert_int_equal(count_signatures(client), 2);
        assert_int_equal(client->response.body->len, 32);
        assert_int_equal(shards.near[2]->runs + shards.far[2]->runs, 2);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_top_records_are_merged),
        cmocka_unit_test(test_hanging_searcher_is_hedged),
        cmocka_unit_test(test_refusals_of_one_service_do_not_block_gather),
        cmocka_unit_test(test_low_retry_budget_is_kept_for_required_parts),
        cmocka_unit_test(test_unanswered_requests_count_as_slow),
        cmocka_unit_test(test_late_part_is_omitted_at_target_latency),
        cmocka_unit_test(test_coverage_below_minimum_fails),
        cmocka_unit_test(test_failed_part_is_missing),
        cmocka_unit_test(test_service_without_searchers_is_missing),
        cmocka_unit_test(test_configuration_version_is_pinned),
        cmocka_unit_test(test_part_with_invalid_status_is_missing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
