/** Which of two entries of one key stands, pair by pair. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/plugin.h"
#include "tealspar/store_precedence.h"

#define FORMER 4
#define PRESENT 5
#define BASE 40

static const ts_dialect_t *platform(void)
{
    return ts_plugin_find(TS_PLUGIN_DIALECT, "platform");
}

/* An instance's entry: draining, or in some life; born 0: it has gone. */
static ts_store_entry_t instance(uint64_t epoch, uint64_t revision, const char *state,
                                 unsigned born)
{
    ts_store_entry_t entry = {.kind = TS_STORE_INSTANCE,
                              .key = "servers/i-1",
                              .id = "i-1",
                              .changed = {epoch, revision},
                              .is_gone = born == 0};
    if (entry.is_gone)
        return entry;
    entry.value = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":%u}",
                                  state, born);
    entry.length = strlen(entry.value);
    return entry;
}

static ts_store_entry_t evacuation(uint64_t epoch, uint64_t revision, bool is_gone)
{
    return (ts_store_entry_t){.kind = TS_STORE_EVACUATION,
                              .key = "op/evacuate/z1",
                              .id = "z1",
                              .changed = {epoch, revision},
                              .is_gone = is_gone,
                              .value = is_gone ? NULL : "{}",
                              .length = is_gone ? 0 : 2};
}

static ts_store_verdict_t judge(bool is_holding, ts_store_entry_t known, ts_store_entry_t entry)
{
    const ts_store_restore_t restore = {PRESENT, BASE, is_holding};
    return ts_store_judge(platform(), &restore, &known, &entry);
}

static void test_revisions_order_entries_of_one_epoch(void **state)
{
    assert_int_equal(
        judge(true, instance(PRESENT, 10, "ready", 1), instance(PRESENT, 11, "draining", 1)),
        TS_STORE_TAKE);
    assert_int_equal(
        judge(true, instance(PRESENT, 11, "ready", 1), instance(PRESENT, 11, "draining", 1)),
        TS_STORE_PASS_OVER);
    assert_int_equal(judge(true, instance(FORMER, 60, "ready", 1), instance(FORMER, 61, "", 0)),
                     TS_STORE_TAKE);
}

static void test_copy_does_not_take_back_what_was_known(void **state)
{
    ts_store_entry_t copy = instance(PRESENT, 30, "ready", 1);
    assert_int_equal(judge(true, instance(FORMER, 60, "", 0), copy), TS_STORE_HOLD);
    assert_int_equal(judge(true, instance(FORMER, 60, "draining", 1), copy), TS_STORE_HOLD);
    assert_int_equal(judge(true, instance(FORMER, 60, "ready", 2), copy), TS_STORE_HOLD);
    assert_int_equal(judge(true, instance(FORMER, 60, "ready", 1), copy), TS_STORE_TAKE);
    assert_int_equal(judge(true, evacuation(FORMER, 60, true), evacuation(PRESENT, 30, false)),
                     TS_STORE_HOLD);
}

static void test_what_was_written_again_counts(void **state)
{
    ts_store_entry_t later = instance(PRESENT, BASE + 1, "ready", 1);
    assert_int_equal(judge(true, instance(FORMER, 60, "", 0), later), TS_STORE_TAKE);
    assert_int_equal(judge(true, instance(FORMER, 60, "draining", 1), later), TS_STORE_TAKE);
    assert_int_equal(
        judge(true, evacuation(FORMER, 60, true), evacuation(PRESENT, BASE + 1, false)),
        TS_STORE_TAKE);
}

static void test_back_end_that_drains_in_the_copy_drains(void **state)
{
    assert_int_equal(
        judge(true, instance(FORMER, 60, "ready", 1), instance(PRESENT, 30, "draining", 1)),
        TS_STORE_TAKE);
}

static void test_service_counts_once_the_time_is_over(void **state)
{
    ts_store_entry_t copy = instance(PRESENT, 30, "ready", 1);
    assert_int_equal(judge(false, instance(FORMER, 60, "", 0), copy), TS_STORE_TAKE);
    assert_int_equal(judge(false, instance(FORMER, 60, "draining", 1), copy), TS_STORE_TAKE);
    assert_int_equal(judge(false, copy, instance(FORMER, 60, "draining", 1)), TS_STORE_PASS_OVER);
}

/* A node that read the copy first hears from a peer what was known before. */
static void test_copy_read_first_is_no_better(void **state)
{
    ts_store_entry_t copy = instance(PRESENT, 30, "ready", 1);
    assert_int_equal(judge(true, copy, instance(FORMER, 60, "draining", 1)), TS_STORE_RECALL);
    assert_int_equal(judge(true, copy, instance(FORMER, 60, "", 0)), TS_STORE_RECALL);
    assert_int_equal(judge(true, instance(PRESENT, 30, "", 0), instance(FORMER, 60, "ready", 1)),
                     TS_STORE_PASS_OVER);
    assert_int_equal(
        judge(true, instance(PRESENT, BASE + 1, "ready", 1), instance(FORMER, 60, "draining", 1)),
        TS_STORE_PASS_OVER);
}

/* Of two epochs that are both over the later one counts. */
static void test_former_epochs_are_ordered(void **state)
{
    ts_store_entry_t earlier = instance(FORMER - 1, 60, "draining", 1);
    ts_store_entry_t later = instance(FORMER, 30, "ready", 1);
    assert_int_equal(judge(true, earlier, later), TS_STORE_TAKE);
    assert_int_equal(judge(true, later, earlier), TS_STORE_PASS_OVER);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_revisions_order_entries_of_one_epoch),
        cmocka_unit_test(test_copy_does_not_take_back_what_was_known),
        cmocka_unit_test(test_what_was_written_again_counts),
        cmocka_unit_test(test_back_end_that_drains_in_the_copy_drains),
        cmocka_unit_test(test_service_counts_once_the_time_is_over),
        cmocka_unit_test(test_copy_read_first_is_no_better),
        cmocka_unit_test(test_former_epochs_are_ordered),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
