/** Searchers that start again under their id: each life is an instance of its own. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/registry.h"

#define NOW_US (100 * TS_US_PER_S)

static ts_instance_t *enter(ts_registry_t *registry, uint64_t born_ms, const char *address)
{
    ts_instance_record_t record = {.id = g_strdup("i-1"),
                                   .born_ms = born_ms,
                                   .service = g_strdup("s"),
                                   .address = g_strdup(address),
                                   .zone = g_strdup("z1"),
                                   .slots = 4};
    (void)ts_registry_update(registry, &record, NOW_US);
    ts_instance_record_clear(&record);
    return ts_registry_present(registry, "i-1");
}

static guint count_candidates(ts_registry_t *registry)
{
    return ts_registry_service(registry, "s")->instances->len;
}

/* What was learned of one life is not believed of the next. */
static void test_next_life_is_not_known(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = enter(registry, 1000, "10.0.0.1:80");
    first->in_flight = 1;
    first->limit = 2;
    first->suspected_us = NOW_US;
    ts_instance_note_verdict(first, true, NOW_US);
    ts_instance_t *second = enter(registry, 2000, "10.0.0.1:80");
    assert_ptr_not_equal(first, second);
    assert_true(second->is_listed && !first->is_listed);
    assert_true(second->limit == 0 && second->suspected_us == 0 && second->in_flight == 0);
    assert_true(ts_instance_failure_rate(second, NOW_US) < ts_instance_failure_rate(first, NOW_US));
    assert_int_equal(ts_instance_fate(first, NOW_US, NOW_US), TS_FATE_ENDED);
    assert_int_equal(ts_instance_fate(second, NOW_US, NOW_US), TS_FATE_UNKNOWN);
    assert_int_equal(count_candidates(registry), 1); // not even while nothing else is left
    assert_int_equal(ts_registry_listed(registry), 1);
    ts_registry_destroy(registry);
}

/* What a peer tells of a life is taken for that life only. */
static void test_lives_are_told_apart(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    const ts_life_t first = {"i-1", 1000};
    const ts_life_t second = {"i-1", 2000};
    ts_instance_t *instance = enter(registry, 1000, "10.0.0.1:80");
    assert_ptr_equal(ts_registry_find(registry, first), instance);
    assert_null(ts_registry_find(registry, second));
    assert_int_equal(ts_instance_life(instance).born_ms, 1000);
    instance = enter(registry, 2000, "10.0.0.1:80");
    assert_null(ts_registry_find(registry, first));
    assert_ptr_equal(ts_registry_find(registry, second), instance);
    ts_registry_destroy(registry);
}

/* A clock that was set back: records come in the order of writing, so that life is the next one. */
static void test_born_sooner_by_its_clock(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = enter(registry, 2000, "10.0.0.1:80");
    ts_instance_t *second = enter(registry, 1000, "10.0.0.1:80");
    assert_ptr_not_equal(first, second);
    assert_true(second->is_listed);
    ts_registry_destroy(registry);
}

/* The same life with another address or state stays what it is. */
static void test_same_life_changes(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = enter(registry, 1000, "10.0.0.1:80");
    assert_ptr_equal(enter(registry, 1000, "10.0.0.2:80"), first);
    ts_registry_remove(registry, "i-1", NOW_US);
    assert_ptr_equal(enter(registry, 1000, "10.0.0.1:80"), first); // a heartbeat that came late
    ts_registry_destroy(registry);
}

/* Without a birth: one that had ended, left, and is listed again lives anew. */
static void test_birth_is_not_told(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    ts_instance_t *first = enter(registry, 0, "10.0.0.1:80");
    ts_instance_note_ended(first);
    assert_ptr_equal(enter(registry, 0, "10.0.0.1:80"), first); // still listed
    ts_registry_remove(registry, "i-1", NOW_US);
    assert_ptr_not_equal(enter(registry, 0, "10.0.0.1:80"), first);
    ts_registry_destroy(registry);
}

static void count_visit(ts_instance_t *instance, void *lives)
{
    ++*(unsigned *)lives;
}

/* A former life stays while something refers to it, and no longer. */
static void test_former_lives_are_forgotten(void **state)
{
    ts_registry_t *registry = ts_registry_create("z1", NULL);
    unsigned lives = 0;
    ts_instance_t *first = enter(registry, 1000, "10.0.0.1:80");
    first->references = 1;
    for (uint64_t born_ms = 2000; born_ms <= 100000; born_ms += 1000)
        (void)enter(registry, born_ms, "10.0.0.1:80");
    ts_registry_sweep(registry, NOW_US + 20 * TS_US_PER_S);
    ts_registry_each_instance(registry, count_visit, &lives);
    assert_int_equal(lives, 2);
    first->references = 0;
    lives = 0;
    ts_registry_sweep(registry, NOW_US + 20 * TS_US_PER_S);
    ts_registry_each_instance(registry, count_visit, &lives);
    assert_int_equal(lives, 1);
    ts_registry_destroy(registry);
}

/* Ids go into a header field of each request. */
static void test_records_that_name_nothing(void **state)
{
    char longest[300];
    memset(longest, 'i', sizeof(longest));
    longest[299] = '\0';
    const char *const ids[] = {"", "a b", "a\r\nX: y", "i-\xc3\xa4", longest};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        ts_instance_record_t record = {
            .id = (char *)ids[i], .service = "s", .address = "10.0.0.1:80", .zone = "z1"};
        assert_int_equal(ts_registry_check(&record), TS_E_INVALID);
    }
    const char *const addresses[] = {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "host:80"};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        ts_instance_record_t record = {
            .id = "i-1", .service = "s", .address = (char *)addresses[i], .zone = "z1"};
        assert_int_equal(ts_registry_check(&record), TS_E_ADDRESS);
    }
    ts_instance_record_t nowhere = {
        .id = "i-1", .service = "", .address = "10.0.0.1:80", .zone = "z1"};
    assert_int_equal(ts_registry_check(&nowhere), TS_E_INVALID);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_next_life_is_not_known),
        cmocka_unit_test(test_lives_are_told_apart),
        cmocka_unit_test(test_born_sooner_by_its_clock),
        cmocka_unit_test(test_same_life_changes),
        cmocka_unit_test(test_birth_is_not_told),
        cmocka_unit_test(test_former_lives_are_forgotten),
        cmocka_unit_test(test_records_that_name_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
