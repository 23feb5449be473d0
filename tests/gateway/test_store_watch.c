/** Reading configuration and backends from the store, including its failures. */
#include "fixture.h"

#include <string.h>

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)

static void test_paginated_list(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_page_size(fixture->store, 2);
    for (int i = 0; i < 5; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        lab_searcher_t *searcher = lab_searcher_open(&fixture->loop, id, "a", "z1");
        char *key = g_strdup_printf("servers/%s", id);
        char *entry = lab_searcher_entry(searcher, false);
        lab_store_put(fixture->store, key, entry);
        g_free(entry);
        g_free(key);
    }
    fixture_put_config(fixture, 3, ROUTE_A);
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), 5);
    assert_int_equal(fixture->gateway.traffic->version, 3);
}

static void test_deleted_entry(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_add_searcher(fixture, "i-2", "a", "z1");
    lab_store_delete(fixture->store, "servers/i-1");
    fixture_await_backend_count(fixture, 1);
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), 1);
}

/* After a 410, as its revision is older than the history, the gateway must read the list anew. */
static void test_compacted_history(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_add_searcher(fixture, "i-2", "a", "z1");
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_mode(fixture->store, LAB_STORE_SILENT); /* the next writes are not reported */
    lab_store_delete(fixture->store, "servers/i-2");
    lab_store_put(fixture->store, "op/config",
                  "{\"version\":9,\"routes\":[" ROUTE_A "],\"services\":[]}");
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
    lab_store_drop_history(fixture->store);
    fixture_await_version(fixture, 9);
    assert_int_equal(fixture->gateway.traffic->version, 9);
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), 1);
}

static void test_older_version_is_ignored(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 5, ROUTE_A);
    lab_store_put(fixture->store, "op/config", "{\"version\":4,\"routes\":[],\"services\":[]}");
    fixture_run_ms(fixture, 1500);
    assert_int_equal(fixture->gateway.traffic->version, 5);
}

static void test_invalid_document_is_rejected(void **state)
{
    static const char *const documents[] = {
        "{",
        "[]",
        "{\"version\":8}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/no\","
        "\"service\":\"a\"}]}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/p/\"}]}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
        "\"routeType\":\"idempotent\",\"gather\":[\"a\",\"a\"]}]}",
    };
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 5, ROUTE_A);
    for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
        lab_store_put(fixture->store, "op/config", documents[i]);
        fixture_run_ms(fixture, 900);
        assert_int_equal(fixture->gateway.traffic->version, 5);
    }
}

/* A store that responds with 429 must not be called rapidly. */
static void test_throttling_store(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_mode(fixture->store, LAB_STORE_THROTTLED);
    lab_store_drop_history(fixture->store); /* ends the watch: the next call is refused */
    unsigned calls_before = lab_store_call_count(fixture->store);
    fixture_run_ms(fixture, 2000);
    assert_true(lab_store_call_count(fixture->store) - calls_before < 10); /* calls are billed */
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
    fixture_put_config(fixture, 2, ROUTE_A);
    assert_int_equal(fixture->gateway.traffic->version, 2);
}

/* If the store keeps no history the gateway reads the whole list instead, with pauses between. */
static void test_store_without_history_is_not_polled_rapidly(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_mode(fixture->store, LAB_STORE_NO_HISTORY);
    lab_store_fail_watches(fixture->store);
    fixture_run_ms(fixture, 2000);
    unsigned calls_before = lab_store_call_count(fixture->store);
    fixture_run_ms(fixture, 2000);
    assert_true(lab_store_call_count(fixture->store) - calls_before <= 10); /* calls are billed */
    fixture_put_config(fixture, 2, ROUTE_A);
    assert_int_equal(fixture->gateway.traffic->version, 2);
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
    fixture_put_config(fixture, 3, ROUTE_A);
    assert_int_equal(fixture->gateway.traffic->version, 3);
}

/*
 * A long poll that is lost because the store did not answer for a while is given up soon after the
 * store has recovered.
 */
static void test_lost_long_poll(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    fixture_run_ms(fixture, 1500); /* until a long poll is waiting */
    lab_store_set_mode(fixture->store, LAB_STORE_SILENT);
    lab_store_put(fixture->store, "op/config",
                  "{\"version\":2,\"routes\":[" ROUTE_A "],\"services\":[]}");
    fixture_run_ms(fixture, 300);
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
    fixture_run_ms(fixture, 4000);
    assert_int_equal(fixture->gateway.traffic->version, 2);
}

/* A gateway started while the store does not answer is configured soon after it recovers. */
static void test_lost_first_list(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_mode(fixture->store, LAB_STORE_SILENT);
    ts_gateway_t *new_node = fixture_add_gateway(fixture, "late", "z1", fixture_next_port(),
                                                 fixture_next_port(), fixture->store_port);
    fixture_run_ms(fixture, 200);
    assert_null(new_node->traffic);
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
    fixture_run_ms(fixture, 1500);
    assert_non_null(new_node->traffic);
}

static void test_few_calls_without_changes(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    unsigned calls_before = lab_store_call_count(fixture->store);
    fixture_run_ms(fixture, 2000);
    assert_true(lab_store_call_count(fixture->store) - calls_before <= 2);
}

/* An invalid entry does not affect others; a valid one that becomes invalid counts as removed. */
static void test_invalid_entries(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    (void)fixture_add_searcher(fixture, "i-1", "a", "z1");
    lab_store_put(fixture->store, "servers/i-0", "{\"service\":7}");
    lab_store_put(fixture->store, "servers/i-2 x", "not to be read");
    // follows the invalid entries and is still listed
    (void)fixture_add_searcher(fixture, "i-3", "a", "z1");
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), 2);
    lab_store_put(fixture->store, "servers/i-1", "{\"state\":\"resting\"}");
    fixture_await_backend_count(fixture, 1);
    assert_false(ts_registry_find_current(fixture->gateway.registry, "i-1")->is_listed);
    assert_true(ts_registry_find_current(fixture->gateway.registry, "i-3")->is_listed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_invalid_entries),
        cmocka_unit_test(test_paginated_list),
        cmocka_unit_test(test_deleted_entry),
        cmocka_unit_test(test_compacted_history),
        cmocka_unit_test(test_older_version_is_ignored),
        cmocka_unit_test(test_invalid_document_is_rejected),
        cmocka_unit_test(test_throttling_store),
        cmocka_unit_test(test_store_without_history_is_not_polled_rapidly),
        cmocka_unit_test(test_lost_long_poll),
        cmocka_unit_test(test_lost_first_list),
        cmocka_unit_test(test_few_calls_without_changes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
