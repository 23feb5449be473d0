/** Precedence of two entries of the same key, for each relevant pair. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/plugin.h"
#include "tealspar/store_precedence.h"

#define EARLIER_EPOCH 4
#define CURRENT_EPOCH 5
#define BASE_REVISION 40

static const ts_dialect_t *platform(void)
{
    return ts_plugin_find(TS_PLUGIN_DIALECT, "platform");
}

/* An instance entry with that state and incarnation; `born` 0: a deleted entry. */
static ts_store_entry_t instance(uint64_t epoch, uint64_t revision, const char *state,
                                 unsigned born)
{
    ts_store_entry_t entry = {.kind = TS_STORE_INSTANCE,
                              .key = "servers/i-1",
                              .id = "i-1",
                              .changed = {epoch, revision},
                              .is_deleted = born == 0};
    if (entry.is_deleted)
        return entry;
    entry.value = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":%u}",
                                  state, born);
    entry.length = strlen(entry.value);
    return entry;
}

static ts_store_entry_t evacuation(uint64_t epoch, uint64_t revision, bool is_deleted)
{
    return (ts_store_entry_t){.kind = TS_STORE_EVACUATION,
                              .key = "op/evacuate/z1",
                              .id = "z1",
                              .changed = {epoch, revision},
                              .is_deleted = is_deleted,
                              .value = is_deleted ? NULL : "{}",
                              .length = is_deleted ? 0 : 2};
}

static ts_store_decision_t resolve(bool is_window_open, ts_store_entry_t known,
                                   ts_store_entry_t entry)
{
    const ts_store_epoch_state_t epoch_state = {CURRENT_EPOCH, BASE_REVISION, is_window_open};
    return ts_store_resolve(platform(), &epoch_state, &known, &entry);
}

static void test_revisions_order_entries_of_one_epoch(void **state)
{
    assert_int_equal(resolve(true, instance(CURRENT_EPOCH, 10, "ready", 1),
                             instance(CURRENT_EPOCH, 11, "draining", 1)),
                     TS_STORE_APPLY);
    assert_int_equal(resolve(true, instance(CURRENT_EPOCH, 11, "ready", 1),
                             instance(CURRENT_EPOCH, 11, "draining", 1)),
                     TS_STORE_IGNORE);
    assert_int_equal(
        resolve(true, instance(EARLIER_EPOCH, 60, "ready", 1), instance(EARLIER_EPOCH, 61, "", 0)),
        TS_STORE_APPLY);
}

static void test_restored_entry_does_not_override_known_one(void **state)
{
    ts_store_entry_t restored = instance(CURRENT_EPOCH, 30, "ready", 1);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "", 0), restored), TS_STORE_DEFER);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "draining", 1), restored),
                     TS_STORE_DEFER);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "ready", 2), restored),
                     TS_STORE_DEFER);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "ready", 1), restored),
                     TS_STORE_APPLY);
    assert_int_equal(
        resolve(true, evacuation(EARLIER_EPOCH, 60, true), evacuation(CURRENT_EPOCH, 30, false)),
        TS_STORE_DEFER);
}

static void test_rewritten_entry_is_applied(void **state)
{
    ts_store_entry_t rewritten = instance(CURRENT_EPOCH, BASE_REVISION + 1, "ready", 1);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "", 0), rewritten), TS_STORE_APPLY);
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "draining", 1), rewritten),
                     TS_STORE_APPLY);
    assert_int_equal(resolve(true, evacuation(EARLIER_EPOCH, 60, true),
                             evacuation(CURRENT_EPOCH, BASE_REVISION + 1, false)),
                     TS_STORE_APPLY);
}

static void test_draining_in_restored_entry_is_applied(void **state)
{
    assert_int_equal(resolve(true, instance(EARLIER_EPOCH, 60, "ready", 1),
                             instance(CURRENT_EPOCH, 30, "draining", 1)),
                     TS_STORE_APPLY);
}

static void test_restored_entry_is_applied_after_rewrite_window(void **state)
{
    ts_store_entry_t restored = instance(CURRENT_EPOCH, 30, "ready", 1);
    assert_int_equal(resolve(false, instance(EARLIER_EPOCH, 60, "", 0), restored), TS_STORE_APPLY);
    assert_int_equal(resolve(false, instance(EARLIER_EPOCH, 60, "draining", 1), restored),
                     TS_STORE_APPLY);
    assert_int_equal(resolve(false, restored, instance(EARLIER_EPOCH, 60, "draining", 1)),
                     TS_STORE_IGNORE);
}

/* A node that read the restored entry first learns the earlier one from a peer. */
static void test_earlier_entry_is_reinstated(void **state)
{
    ts_store_entry_t restored = instance(CURRENT_EPOCH, 30, "ready", 1);
    assert_int_equal(resolve(true, restored, instance(EARLIER_EPOCH, 60, "draining", 1)),
                     TS_STORE_REINSTATE);
    assert_int_equal(resolve(true, restored, instance(EARLIER_EPOCH, 60, "", 0)),
                     TS_STORE_REINSTATE);
    assert_int_equal(
        resolve(true, instance(CURRENT_EPOCH, 30, "", 0), instance(EARLIER_EPOCH, 60, "ready", 1)),
        TS_STORE_IGNORE);
    assert_int_equal(resolve(true, instance(CURRENT_EPOCH, BASE_REVISION + 1, "ready", 1),
                             instance(EARLIER_EPOCH, 60, "draining", 1)),
                     TS_STORE_IGNORE);
}

/* Of entries from two earlier epochs the one of the later epoch wins. */
static void test_earlier_epochs_are_ordered(void **state)
{
    ts_store_entry_t earlier = instance(EARLIER_EPOCH - 1, 60, "draining", 1);
    ts_store_entry_t later = instance(EARLIER_EPOCH, 30, "ready", 1);
    assert_int_equal(resolve(true, earlier, later), TS_STORE_APPLY);
    assert_int_equal(resolve(true, later, earlier), TS_STORE_IGNORE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_revisions_order_entries_of_one_epoch),
        cmocka_unit_test(test_restored_entry_does_not_override_known_one),
        cmocka_unit_test(test_rewritten_entry_is_applied),
        cmocka_unit_test(test_draining_in_restored_entry_is_applied),
        cmocka_unit_test(test_restored_entry_is_applied_after_rewrite_window),
        cmocka_unit_test(test_earlier_entry_is_reinstated),
        cmocka_unit_test(test_earlier_epochs_are_ordered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
