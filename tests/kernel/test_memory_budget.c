/** The bound on the memory of many holders together. */
#include "../test_support.h"

#include "tealspar/memory_budget.h"

typedef struct scene {
    uv_loop_t loop;
    ts_memory_budget_t *budget;
    ts_memory_charge_t client; /* freed by reclaim() */
    bool is_client_slow;
    unsigned reclaims;
    GString *granted; /* names of the charges that were granted, in order */
} scene_t;

typedef struct holder {
    scene_t *scene;
    ts_memory_charge_t charge;
    const char *name;
} holder_t;

static void reclaim(void *ctx, ts_memory_budget_t *budget, size_t bytes)
{
    scene_t *scene = ctx;
    scene->reclaims++;
    if (scene->is_client_slow && !ts_memory_budget_has_room(budget, bytes, 1))
        ts_memory_charge_clear(&scene->client);
}

static void open_scene(scene_t *scene, size_t limit)
{
    memset(scene, 0, sizeof(*scene));
    uv_loop_init(&scene->loop);
    scene->budget = ts_memory_budget_create(&scene->loop, reclaim, scene);
    scene->client = (ts_memory_charge_t){.budget = scene->budget, .is_reclaimable = true};
    scene->granted = g_string_new(NULL);
    ts_memory_budget_set_limit(scene->budget, limit);
}

static void on_granted(void *ctx)
{
    const holder_t *holder = ctx;
    g_string_append(holder->scene->granted, holder->name);
}

static bool reserve(holder_t *holder, scene_t *scene, const char *name, size_t bytes,
                    uint64_t order)
{
    *holder = (holder_t){scene, {.budget = scene->budget}, name};
    return ts_memory_reserve(&holder->charge, bytes, order, on_granted, holder);
}

static void run_once(scene_t *scene)
{
    uv_run(&scene->loop, UV_RUN_ONCE);
}

static void test_room_is_granted_in_order(void **state)
{
    scene_t scene;
    holder_t a, b, c, d;
    open_scene(&scene, 100);
    ts_memory_charge_set(&scene.client, 90);
    assert_false(reserve(&b, &scene, "b", 20, 2));
    assert_false(reserve(&a, &scene, "a", 20, 1));
    assert_false(reserve(&c, &scene, "c", 5, 3)); // would fit, but others wait ahead of it
    assert_int_equal(ts_memory_budget_waiting(scene.budget), 3);
    ts_memory_charge_set(&scene.client, 60);
    assert_string_equal(scene.granted->str, ""); // not from within the call
    run_once(&scene);
    assert_string_equal(scene.granted->str, "ab");
    assert_int_equal(ts_memory_budget_used(scene.budget), 100);
    ts_memory_charge_clear(&c.charge);
    assert_int_equal(ts_memory_budget_waiting(scene.budget), 0);
    ts_memory_charge_clear(&a.charge);
    assert_true(reserve(&d, &scene, "d", 20, 4));
}

static void test_slow_holders_make_room(void **state)
{
    scene_t scene;
    holder_t a, b;
    open_scene(&scene, 100);
    ts_memory_charge_set(&scene.client, 90);
    assert_false(reserve(&a, &scene, "a", 50, 1));
    scene.is_client_slow = true;
    run_once(&scene);
    assert_string_equal(scene.granted->str, "a");
    assert_int_equal(ts_memory_budget_used(scene.budget), 50);
    ts_memory_charge_set(&scene.client, 50);
    assert_true(reserve(&b, &scene, "b", 50, 2));
}

/* Charges that each hold a part of what they need must not wait for each other for ever: one at a
 * time may exceed the limit. It may not while others can be expected to give room back. */
static void test_one_at_a_time_exceeds_the_limit(void **state)
{
    scene_t scene;
    holder_t a, b, c;
    open_scene(&scene, 100);
    assert_true(reserve(&a, &scene, "a", 60, 1));
    assert_true(reserve(&b, &scene, "b", 40, 2));
    assert_false(ts_memory_reserve(&a.charge, 120, 1, on_granted, &a));
    assert_false(ts_memory_reserve(&b.charge, 120, 2, on_granted, &b));
    run_once(&scene);
    assert_string_equal(scene.granted->str, "a");
    run_once(&scene);
    assert_string_equal(scene.granted->str, "a");
    ts_memory_charge_clear(&a.charge);
    run_once(&scene);
    assert_string_equal(scene.granted->str, "ab");
    ts_memory_charge_set(&scene.client, 30);
    assert_false(reserve(&c, &scene, "c", 10, 3));
    ts_memory_charge_clear(&b.charge);
    ts_memory_charge_set(&scene.client, 95);
    run_once(&scene);
    assert_string_equal(scene.granted->str, "ab");
    ts_memory_charge_clear(&c.charge);
}

static void test_charges_without_a_budget_are_not_limited(void **state)
{
    ts_memory_charge_t charge = {0};
    ts_memory_charge_set(&charge, 1000);
    assert_true(ts_memory_reserve(&charge, 5000, 1, on_granted, NULL));
    ts_memory_charge_clear(&charge);
}

static void test_shares_of_the_limit(void **state)
{
    scene_t scene;
    open_scene(&scene, 100);
    ts_memory_charge_set(&scene.client, 50);
    assert_true(ts_memory_budget_has_room(scene.budget, 25, 0.75));
    assert_false(ts_memory_budget_has_room(scene.budget, 26, 0.75));
    assert_false(ts_memory_budget_make_room(scene.budget, 26, 0.75));
    assert_int_equal(scene.reclaims, 1);
    scene.is_client_slow = true;
    assert_true(ts_memory_budget_make_room(scene.budget, 26, 0.75));
    assert_int_equal(ts_memory_budget_used(scene.budget), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_room_is_granted_in_order),
        cmocka_unit_test(test_slow_holders_make_room),
        cmocka_unit_test(test_one_at_a_time_exceeds_the_limit),
        cmocka_unit_test(test_charges_without_a_budget_are_not_limited),
        cmocka_unit_test(test_shares_of_the_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
