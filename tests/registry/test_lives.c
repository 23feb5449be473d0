/** Searchers that restart under the same id: each incarnation is an instance of its own. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/registry.h"

#define NOW_US (100 * TS_US_PER_S)

static ts_instance_t *update_instance(ts_registry_t *registry, uint64_t born_ms,
                                      const char *address)
{
    ts_instance_record_t record = {.id = g_strdup("i-1"),
                                   .born_ms = born_ms,
                                   .service = g_strdup("s"),
                                   .address = g_strdup(address),
                                   .zone = g_strdup("z1"),
                                   .slots = 4};
    (void)ts_registry_update(registry, &record, NOW_US);
    ts_instance_record_clear(&record);
    return ts_registry_find_current(registry, "i-1");
}

static guint count_candidates(ts_registry_t *registry)
{
    return ts_registry_ensure_service(registry, "s")->instances->len;
}

/* Nothing learned about one incarnation is applied to the next. */
static void test_next_incarnation_starts_fresh(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = update_instance(registry, 1000, "10.0.0.1:80");
    first->in_flight = 1;
    first->limit = 2;
    first->suspected_us = NOW_US;
    ts_instance_note_result(first, true, NOW_US);
    ts_instance_t *second = update_instance(registry, 2000, "10.0.0.1:80");
    assert_ptr_not_equal(first, second);
    assert_true(second->is_listed && !first->is_listed);
    assert_true(second->limit == 0 && second->suspected_us == 0 && second->in_flight == 0);
    assert_true(ts_instance_failure_rate(second, NOW_US) < ts_instance_failure_rate(first, NOW_US));
    assert_int_equal(ts_instance_liveness(first, NOW_US, NOW_US), TS_LIVENESS_ENDED);
    assert_int_equal(ts_instance_liveness(second, NOW_US, NOW_US), TS_LIVENESS_UNKNOWN);
    assert_int_equal(count_candidates(registry), 1); // never the ended one
    assert_int_equal(ts_registry_count_listed(registry), 1);
    ts_registry_destroy(registry);
}

/* A key matches only its own incarnation, so that reports from peers are not misattributed. */
static void test_incarnations_are_distinguished(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    const ts_instance_key_t first = {"i-1", 1000};
    const ts_instance_key_t second = {"i-1", 2000};
    ts_instance_t *instance = update_instance(registry, 1000, "10.0.0.1:80");
    assert_ptr_equal(ts_registry_find(registry, first), instance);
    assert_null(ts_registry_find(registry, second));
    assert_int_equal(ts_instance_key_of(instance).born_ms, 1000);
    instance = update_instance(registry, 2000, "10.0.0.1:80");
    assert_null(ts_registry_find(registry, first));
    assert_ptr_equal(ts_registry_find(registry, second), instance);
    ts_registry_destroy(registry);
}

/* The searcher's clock was set back: records arrive in the order of writing, so the later record is
 * the next incarnation despite its earlier start time. */
static void test_earlier_start_time_is_next_incarnation(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = update_instance(registry, 2000, "10.0.0.1:80");
    ts_instance_t *second = update_instance(registry, 1000, "10.0.0.1:80");
    assert_ptr_not_equal(first, second);
    assert_true(second->is_listed);
    ts_registry_destroy(registry);
}

/* A change of the address or state of the same incarnation keeps its instance. */
static void test_same_incarnation_keeps_instance(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = update_instance(registry, 1000, "10.0.0.1:80");
    assert_ptr_equal(update_instance(registry, 1000, "10.0.0.2:80"), first);
    ts_registry_delist(registry, "i-1", NOW_US);
    assert_ptr_equal(update_instance(registry, 1000, "10.0.0.1:80"), first); // a late heartbeat
    ts_registry_destroy(registry);
}

/* Without a start time, an instance that ended and was delisted is a new incarnation when listed
 * again. */
static void test_missing_start_time(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = update_instance(registry, 0, "10.0.0.1:80");
    ts_instance_note_ended(first);
    assert_ptr_equal(update_instance(registry, 0, "10.0.0.1:80"), first); // still listed
    ts_registry_delist(registry, "i-1", NOW_US);
    assert_ptr_not_equal(update_instance(registry, 0, "10.0.0.1:80"), first);
    ts_registry_destroy(registry);
}

static void count_instance(ts_instance_t *instance, void *instances)
{
    ++*(unsigned *)instances;
}

/* A replaced instance is kept while something refers to it; afterwards a sweep frees it. */
static void test_replaced_instances_are_freed(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    unsigned instances = 0;
    ts_instance_t *first = update_instance(registry, 1000, "10.0.0.1:80");
    first->references = 1;
    for (uint64_t born_ms = 2000; born_ms <= 100000; born_ms += 1000)
        (void)update_instance(registry, born_ms, "10.0.0.1:80");
    ts_registry_sweep(registry, NOW_US + 20 * TS_US_PER_S);
    ts_registry_each_instance(registry, count_instance, &instances);
    assert_int_equal(instances, 2);
    first->references = 0;
    instances = 0;
    ts_registry_sweep(registry, NOW_US + 20 * TS_US_PER_S);
    ts_registry_each_instance(registry, count_instance, &instances);
    assert_int_equal(instances, 1);
    ts_registry_destroy(registry);
}

/* Ids are sent in a header field of each request, so they must be valid there. */
static void test_invalid_records_are_rejected(void **state)
{
    char too_long[300];
    memset(too_long, 'i', sizeof(too_long));
    too_long[299] = '\0';
    const char *const ids[] = {"", "a b", "a\r\nX: y", "i-\xc3\xa4", too_long};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        ts_instance_record_t record = {
            .id = (char *)ids[i], .service = "s", .address = "10.0.0.1:80", .zone = "z1"};
        assert_int_equal(ts_registry_validate(&record), TS_E_INVALID);
    }
    const char *const addresses[] = {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "host:80"};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        ts_instance_record_t record = {
            .id = "i-1", .service = "s", .address = (char *)addresses[i], .zone = "z1"};
        assert_int_equal(ts_registry_validate(&record), TS_E_ADDRESS);
    }
    ts_instance_record_t no_service = {
        .id = "i-1", .service = "", .address = "10.0.0.1:80", .zone = "z1"};
    assert_int_equal(ts_registry_validate(&no_service), TS_E_INVALID);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_next_incarnation_starts_fresh),
        cmocka_unit_test(test_incarnations_are_distinguished),
        cmocka_unit_test(test_earlier_start_time_is_next_incarnation),
        cmocka_unit_test(test_same_incarnation_keeps_instance),
        cmocka_unit_test(test_missing_start_time),
        cmocka_unit_test(test_replaced_instances_are_freed),
        cmocka_unit_test(test_invalid_records_are_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
