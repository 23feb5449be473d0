/** Snapshot selection, compared with an exhaustive search over random cases. */
#include "../test_support.h"

#include "tealspar/route.h"

#define CASES 20000
#define SHARDS_MAX 12
#define VERSIONS 3

static bool contains(const uint64_t *list, uint64_t value)
{
    return list[0] == value || list[1] == value;
}

/* Reference implementation: evaluates every version and keeps the best. */
static ts_snapshot_choice_t choose_exhaustively(const ts_shard_versions_t *shards, size_t count)
{
    ts_snapshot_choice_t best = {0, 0, 0};
    for (uint64_t version = 1; version <= VERSIONS; version++) {
        ts_snapshot_choice_t choice = {version, 0, 0};
        for (size_t i = 0; i < count; i++) {
            bool answered = contains(shards[i].answered, version);
            choice.covered += answered;
            choice.possible += !answered && shards[i].open && !contains(shards[i].denied, version);
        }
        uint32_t reach = choice.covered + choice.possible;
        uint32_t best_reach = best.covered + best.possible;
        bool is_better =
            reach > best_reach || (reach == best_reach && choice.covered >= best.covered);
        if (choice.covered > 0 && (best.snapshot == 0 || is_better)) {
            best = choice;
        }
    }
    return best;
}

static void test_choice_agrees_with_exhaustive_search(void **state)
{
    GRand *random = g_rand_new_with_seed(7);
    for (int i = 0; i < CASES; i++) {
        ts_shard_versions_t shards[SHARDS_MAX] = {0};
        size_t count = (size_t)g_rand_int_range(random, 1, SHARDS_MAX);
        for (size_t s = 0; s < count; s++) {
            shards[s].answered[0] = (uint64_t)g_rand_int_range(random, 0, VERSIONS + 1);
            shards[s].answered[1] = (uint64_t)g_rand_int_range(random, 0, VERSIONS + 1);
            shards[s].denied[0] = (uint64_t)g_rand_int_range(random, 0, VERSIONS + 1);
            shards[s].open = g_rand_boolean(random);
        }
        ts_snapshot_choice_t expected = choose_exhaustively(shards, count);
        ts_snapshot_choice_t choice = ts_route_choose_snapshot(shards, count);
        assert_int_equal(choice.snapshot, expected.snapshot);
        if (expected.snapshot != 0) {
            assert_int_equal(choice.covered, expected.covered);
            assert_int_equal(choice.possible, expected.possible);
        }
    }
    g_rand_free(random);
}

static void test_nothing_answered(void **state)
{
    ts_shard_versions_t shards[2] = {{.open = true}, {.open = false}};
    ts_snapshot_choice_t choice = ts_route_choose_snapshot(shards, 2);
    assert_int_equal(choice.snapshot, 0);
    assert_int_equal(choice.covered, 0);
    assert_int_equal(choice.possible, 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_choice_agrees_with_exhaustive_search),
        cmocka_unit_test(test_nothing_answered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
