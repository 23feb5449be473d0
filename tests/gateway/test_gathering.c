/** Gathering of parts over several services, over real sockets. */
#include "fixture.h"

#include <string.h>

typedef struct shards {
    world_t *world;
    lab_searcher_t *near[3];
    lab_searcher_t *far[3];
} shards_t;

/* `settings`: extra lines, or NULL. */
static shards_t open_shards_with(const char *settings, const char *least)
{
    static const char *const services[] = {"a", "b", "c"};
    shards_t shards = {.world = world_open(settings)};
    for (int i = 0; i < 3; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "n-%s", services[i]);
        shards.near[i] = world_add_searcher(shards.world, id, services[i], "z1");
        g_snprintf(id, sizeof(id), "f-%s", services[i]);
        shards.far[i] = world_add_searcher(shards.world, id, services[i], "z2");
    }
    char *route = g_strdup_printf("{\"name\":\"all\",\"host\":\"h.example\",\"pathPrefix\":\"/g/\","
                                  "\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
                                  "\"targetLatencyMs\":250,\"priority\":1,"
                                  "\"gather\":[\"a\",\"b\",\"c\"],\"maxAttempts\":2,\"topK\":3,"
                                  "\"minCoverage\":%s}",
                                  least);
    world_configure(shards.world, 1, route);
    g_free(route);
    return shards;
}

static shards_t open_shards(const char *least)
{
    return open_shards_with(NULL, least);
}

static unsigned count_signatures(const visit_t *visit)
{
    const char *list = ts_http_message_find(&visit->answer, "X-Part-Stamps");
    char **items = g_strsplit(list, ",", -1);
    unsigned count = g_strv_length(items);
    g_strfreev(items);
    return count;
}

static const char *missing(const visit_t *visit)
{
    return ts_http_message_find(&visit->answer, "X-Missing-Parts");
}

static void test_greatest_records_of_all_parts(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    g_string_assign(shards.near[0]->body, "aaaaaaaaaaaaaaaazzzzzzzzzzzzzzzzrest");
    g_string_assign(shards.near[1]->body, "mmmmmmmmmmmmmmmm");
    g_string_assign(shards.near[2]->body, "zzzzzzzzzzzzzzzz");
    visit_t *visit = visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(visit->answer.body->str,
                        "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzmmmmmmmmmmmmmmmm");
    assert_int_equal(count_signatures(visit), 3);
    assert_string_equal(missing(visit), "0");
}

static void test_pausing_searcher_is_hedged(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    shards.near[1]->behaviour = LAB_HANGS;
    ts_time_us_t begun_us = ts_clock_now_us();
    visit_t *visit = visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing(visit), "0");
    assert_true(ts_clock_now_us() - begun_us < 250 * TS_US_PER_MS);
    /* From now on it is not the first choice. */
    unsigned runs = shards.near[1]->runs;
    visit_get(shards.world, "/g/x", "r2", 1400, &status);
    assert_int_equal(status, 200);
    assert_int_equal(shards.near[1]->runs, runs);
}

/*
 * Urgent requests for one service that is down are all refused; gathers that can do without it are
 * not refused with them.
 */
static void test_refusals_of_one_service_hinder_no_gather(void **state)
{
    world_t *world = world_open(NULL);
    unsigned status = 0;
    lab_searcher_t *gone = world_add_searcher(world, "n-a", "a", "z1");
    world_add_searcher(world, "n-b", "b", "z1");
    world_add_searcher(world, "n-c", "c", "z1");
    world_configure(
        world, 1,
        "{\"name\":\"urgent\",\"host\":\"h.example\",\"pathPrefix\":\"/u/\","
        "\"routeType\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
        "\"priority\":0,\"service\":\"a\",\"maxAttempts\":2}," ROUTE_GATHER("all", "/g/", 0.6));
    uv_close((uv_handle_t *)&gone->socket, NULL);
    for (int i = 0; i < 6; i++) {
        visit_get(world, "/u/x", "u1", 1400, &status);
        assert_int_equal(status, 503);
    }
    ts_time_us_t begun_us = ts_clock_now_us();
    visit_get(world, "/g/x", "g1", 1900, &status);
    assert_int_equal(status, 200);
    assert_true(ts_clock_now_us() - begun_us < 250 * TS_US_PER_MS);
}

/* One shard hangs. With extra sends scarce, a gather that needs half of the shards sends no more.
 */
static unsigned count_second_sends(const char *least)
{
    shards_t shards = open_shards_with("retry_ratio: 0\nretry_slack: 240", least);
    const ts_gateway_t *gateway = &shards.world->gateway;
    ts_retry_budget_t *budget = &ts_registry_service(gateway->registry, "a")->budget;
    unsigned status = 0;
    while (!ts_retry_budget_is_low(budget, &gateway->rule, ts_clock_now_us()))
        assert_true(ts_retry_budget_take(budget, &gateway->rule, ts_clock_now_us()));
    shards.near[0]->behaviour = LAB_HANGS;
    visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    return shards.near[0]->runs + shards.far[0]->runs - 1;
}

static void test_scarce_extra_sends_go_to_needed_parts(void **state)
{
    assert_int_equal(count_second_sends("0.5"), 0);
    assert_int_equal(count_second_sends("1.0"), 1);
}

/* A searcher whose requests nobody waits for any more is believed slow, though it never answers. */
static void test_unanswered_searcher_is_timed(void **state)
{
    shards_t shards = open_shards("0.5");
    unsigned status = 0;
    shards.near[1]->behaviour = LAB_HANGS;
    shards.far[1]->behaviour = LAB_HANGS;
    visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    const ts_registry_t *registry = shards.world->gateway.registry;
    double near = ts_instance_slowness(ts_registry_present(registry, "n-b"), ts_clock_now_us());
    double far = ts_instance_slowness(ts_registry_present(registry, "f-b"), ts_clock_now_us());
    assert_true(MAX(near, far) > 1.3);
}

static void test_part_left_out_at_the_aim(void **state)
{
    shards_t shards = open_shards("0.6");
    unsigned status = 0;
    shards.near[2]->behaviour = LAB_HANGS;
    shards.far[2]->behaviour = LAB_HANGS;
    ts_time_us_t begun_us = ts_clock_now_us();
    visit_t *visit = visit_get(shards.world, "/g/x", "r1", 1400, &status);
    ts_time_us_t span_ms = (ts_clock_now_us() - begun_us) / TS_US_PER_MS;
    assert_int_equal(status, 200);
    assert_string_equal(missing(visit), "1");
    assert_int_equal(count_signatures(visit), 2);
    assert_true(span_ms < 300);
}

static void test_no_success_below_the_least_coverage(void **state)
{
    shards_t shards = open_shards("0.9");
    unsigned status = 0;
    shards.near[2]->behaviour = LAB_FAILS;
    shards.far[2]->behaviour = LAB_FAILS;
    visit_t *visit = visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 502);
    assert_null(ts_http_message_find(&visit->answer, "X-Part-Stamps"));
}

static void test_failure_is_no_part(void **state)
{
    shards_t shards = open_shards("0.6");
    unsigned status = 0;
    shards.near[0]->behaviour = LAB_FAILS;
    shards.far[0]->behaviour = LAB_FAILS;
    visit_t *visit = visit_get(shards.world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing(visit), "1");
    assert_int_equal(count_signatures(visit), 2);
}

static void test_shard_without_a_searcher(void **state)
{
    world_t *world = world_open(NULL);
    unsigned status = 0;
    world_add_searcher(world, "n-a", "a", "z1");
    world_add_searcher(world, "n-b", "b", "z1");
    world_configure(world, 1, ROUTE_GATHER("all", "/g/", 0.6));
    visit_t *visit = visit_get(world, "/g/x", "r1", 1400, &status);
    assert_int_equal(status, 200);
    assert_string_equal(missing(visit), "1");
}

/* A request keeps the shards of the version it began with. */
static void test_version_is_pinned(void **state)
{
    shards_t shards = open_shards("0.9");
    for (int i = 0; i < 3; i++) {
        shards.near[i]->delay_ms = 150;
        shards.far[i]->delay_ms = 150;
    }
    visit_t *visit = visit_open(shards.world, shards.world->callers_port);
    visit_send(visit, "GET /g/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                      "X-Deadline-Ms: 1400\r\n\r\n");
    assert_true(world_run_until(shards.world, &shards.near[0]->runs, 1));
    world_configure(shards.world, 2, ROUTE_ONE("all", "/g/", "idempotent", "a", 1500));
    assert_int_equal(visit_await(shards.world, visit), 200);
    assert_int_equal(count_signatures(visit), 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_greatest_records_of_all_parts),
        cmocka_unit_test(test_pausing_searcher_is_hedged),
        cmocka_unit_test(test_refusals_of_one_service_hinder_no_gather),
        cmocka_unit_test(test_scarce_extra_sends_go_to_needed_parts),
        cmocka_unit_test(test_unanswered_searcher_is_timed),
        cmocka_unit_test(test_part_left_out_at_the_aim),
        cmocka_unit_test(test_no_success_below_the_least_coverage),
        cmocka_unit_test(test_failure_is_no_part),
        cmocka_unit_test(test_shard_without_a_searcher),
        cmocka_unit_test(test_version_is_pinned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
