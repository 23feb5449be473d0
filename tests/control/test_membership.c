/** Membership of simulated fleets on a virtual clock: deaths, pauses, message loss, partitions. */
#include "../test_support.h"

#include <string.h>

#include "hollow.h"

#define SECOND 1000U

static lab_hollow_t *start_fleet(unsigned nodes, double drop_percent, uint64_t seed)
{
    lab_hollow_config_t config = {
        .nodes = nodes, .zones = 3, .delay_ms = 3, .drop_percent = drop_percent, .seed = seed};
    lab_hollow_t *fleet = lab_hollow_create(&config);
    for (int i = 0; i < 120 && !lab_hollow_is_converged(fleet); i++) {
        lab_hollow_advance(fleet, SECOND);
    }
    assert_true(lab_hollow_is_converged(fleet));
    lab_hollow_reset_report(fleet);
    return fleet;
}

/*
 * All nodes start at once with the same three seeds. Join traffic must not concentrate on the
 * seeds, and the views must converge before requests from callers arrive.
 */
static void test_seeds_share_join_load(void **state)
{
    static const unsigned sizes[] = {30, 95, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        lab_hollow_config_t config = {
            .nodes = sizes[i], .zones = 6, .delay_ms = 6, .seed = 3, .seeds = 3};
        lab_hollow_t *fleet = lab_hollow_create(&config);
        lab_hollow_advance(fleet, 14 * SECOND);
        assert_true(lab_hollow_is_converged(fleet));
        lab_hollow_report_t report = lab_hollow_report(fleet);
        double mean_bytes = (double)report.bytes / sizes[i];
        /* Each seed is asked by a third of all nodes. */
        assert_true((double)report.max_node_bytes < 8 * mean_bytes);
        assert_int_equal(report.false_deaths, 0);
        lab_hollow_destroy(fleet);
    }
}

/*
 * A node starts while the only other node of its zone is stalled. Join requests must go to other
 * zones too: with eleven requests to the stalled node in three seconds (one per 300 ms) the node
 * got no answer and accepted an outdated document of the platform, although five other nodes had a
 * newer one (fuzz seed 31539).
 */
static void test_join_does_not_depend_on_one_node(void **state)
{
    lab_hollow_t *fleet = start_fleet(6, 0, 1); // two in each of three zones, assigned round-robin
    lab_hollow_kill(fleet, 0);
    lab_hollow_advance(fleet, 10 * SECOND);
    lab_hollow_pause(fleet, 3, 10 * SECOND);
    lab_hollow_start(fleet, 0);
    lab_hollow_advance(fleet, 2 * SECOND);
    ts_view_t *view = lab_hollow_view(fleet, 0);
    assert_true(view->count >= 5);
    ts_view_unref(view);
    lab_hollow_destroy(fleet);
}

static void test_death_is_known_everywhere(void **state)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        lab_hollow_t *fleet = start_fleet(30, 0, seed);
        lab_hollow_kill(fleet, 7);
        lab_hollow_advance(fleet, 15 * SECOND);
        assert_int_equal(lab_hollow_count_seeing(fleet, 7, TS_MEMBER_DEAD), 29);
        assert_true(lab_hollow_is_converged(fleet));
        assert_int_equal(lab_hollow_report(fleet).false_deaths, 0);
        lab_hollow_start(fleet, 7);
        lab_hollow_advance(fleet, 15 * SECOND);
        assert_true(lab_hollow_is_converged(fleet));
        lab_hollow_destroy(fleet);
    }
}

static void test_pauses_and_loss_cause_no_false_deaths(void **state)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        lab_hollow_t *fleet = start_fleet(30, 5, seed);
        for (unsigned i = 0; i < 20; i++) {
            lab_hollow_pause(fleet, i % 30, 3 * SECOND);
            lab_hollow_advance(fleet, 4 * SECOND);
        }
        assert_int_equal(lab_hollow_report(fleet).false_deaths, 0);
        lab_hollow_destroy(fleet);
    }
}

static void test_long_pause_is_refuted_afterwards(void **state)
{
    lab_hollow_t *fleet = start_fleet(20, 0, 3);
    lab_hollow_pause(fleet, 4, 30 * SECOND);
    lab_hollow_advance(fleet, 25 * SECOND);
    assert_int_equal(lab_hollow_count_seeing(fleet, 4, TS_MEMBER_DEAD), 19);
    lab_hollow_advance(fleet, 30 * SECOND);
    assert_true(lab_hollow_is_converged(fleet));
    lab_hollow_destroy(fleet);
}

static void test_isolated_zone_rejoins(void **state)
{
    lab_hollow_t *fleet = start_fleet(24, 0, 9);
    lab_hollow_partition_zone(fleet, 1, true);
    lab_hollow_advance(fleet, 60 * SECOND);
    ts_view_t *inside = lab_hollow_view(fleet, 1); /* zone 1 has eight nodes, node 1 included */
    assert_int_equal(inside->count, 8);
    assert_true(inside->has_quorum); /* of its own zone */
    ts_view_unref(inside);
    ts_view_t *outside = lab_hollow_view(fleet, 0);
    assert_int_equal(outside->count, 16);
    ts_view_unref(outside);
    assert_int_equal(lab_hollow_report(fleet).false_deaths, 0);
    lab_hollow_partition_zone(fleet, 1, false);
    lab_hollow_advance(fleet, 60 * SECOND);
    assert_true(lab_hollow_is_converged(fleet));
    lab_hollow_destroy(fleet);
}

static void test_minority_of_a_zone_has_no_quorum(void **state)
{
    lab_hollow_t *fleet = start_fleet(15, 0, 2); /* zone 0: nodes 0, 3, 6, 9, 12 */
    lab_hollow_kill(fleet, 3);
    lab_hollow_kill(fleet, 6);
    lab_hollow_advance(fleet, 20 * SECOND);
    ts_view_t *view = lab_hollow_view(fleet, 0);
    assert_true(view->has_quorum);
    ts_view_unref(view);
    lab_hollow_kill(fleet, 9);
    lab_hollow_advance(fleet, 20 * SECOND);
    view = lab_hollow_view(fleet, 0);
    assert_false(view->has_quorum);
    ts_view_unref(view);
    lab_hollow_destroy(fleet);
}

static void test_configuration_reaches_all(void **state)
{
    lab_hollow_t *fleet = start_fleet(60, 10, 5);
    lab_hollow_set_config_version(fleet, 3, 4);
    lab_hollow_advance(fleet, 13 * SECOND);
    assert_int_equal(lab_hollow_count_configured(fleet, 4), 60);
    lab_hollow_destroy(fleet);
}

/* Ownership is spread evenly and changes only for the backends of a node that leaves. */
static void test_ownership_moves_minimally(void **state)
{
    ts_view_t *before = ts_view_create(10);
    ts_view_t *after = ts_view_create(10);
    for (int i = 0; i < 10; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        ts_view_add(before, name, "", "z", 1, TS_MEMBER_LIVE, false);
        ts_view_add(after, name, "", "z", 1, i == 4 ? TS_MEMBER_LEAVING : TS_MEMBER_LIVE, false);
    }
    unsigned owned[10] = {0};
    for (uint64_t id = 1; id <= 2000; id++) {
        ts_backend_t backend = {.id = id * 2654435761U, .zone = "z"};
        const ts_view_member_t *old = ts_view_owner(before, &backend);
        const ts_view_member_t *new = ts_view_owner(after, &backend);
        owned[old->name[1] - '0']++;
        assert_true(strcmp(old->name, "n4") == 0 || strcmp(old->name, new->name) == 0);
        assert_string_not_equal(new->name, "n4");
    }
    for (int i = 0; i < 10; i++) {
        assert_in_range(owned[i], 140, 260);
    }
    ts_view_unref(before);
    ts_view_unref(after);
}

static void test_other_zone_owns_only_if_zone_is_empty(void **state)
{
    ts_view_t *view = ts_view_create(2);
    ts_view_add(view, "a", "", "north", 1, TS_MEMBER_DEAD, false);
    ts_view_add(view, "b", "", "south", 1, TS_MEMBER_SUSPECT, false);
    ts_backend_t backend = {.id = 5, .zone = "north"};
    assert_string_equal(ts_view_owner(view, &backend)->name, "b");
    ts_view_unref(view);
    ts_view_t *empty = ts_view_create(0);
    assert_null(ts_view_owner(empty, &backend));
    ts_view_unref(empty);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_seeds_share_join_load),
        cmocka_unit_test(test_join_does_not_depend_on_one_node),
        cmocka_unit_test(test_death_is_known_everywhere),
        cmocka_unit_test(test_pauses_and_loss_cause_no_false_deaths),
        cmocka_unit_test(test_long_pause_is_refuted_afterwards),
        cmocka_unit_test(test_isolated_zone_rejoins),
        cmocka_unit_test(test_minority_of_a_zone_has_no_quorum),
        cmocka_unit_test(test_configuration_reaches_all),
        cmocka_unit_test(test_ownership_moves_minimally),
        cmocka_unit_test(test_other_zone_owns_only_if_zone_is_empty),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
