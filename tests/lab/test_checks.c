/** The lab's checks: each must detect its kind of violation and accept correct input. */
#include "../test_support.h"

#include <glib/gstdio.h>
#include <string.h>

#include "load_check.h"
#include "records.h"
#include "verdict.h"

#define QUERY "name-1"
#define SNAPSHOT 4

/* ---- answers ---- */

static json_t *make_answer(unsigned covered_claimed, uint64_t snapshot_of_second)
{
    static const char *const shards[] = {"one/0", "one/1", "two/0"};
    json_t *hits = json_array();
    for (size_t i = 0; i < G_N_ELEMENTS(shards); i++) {
        uint64_t snapshot = i == 1 ? snapshot_of_second : SNAPSHOT;
        json_t *answer = lab_record_answer(shards[i], QUERY, snapshot, 10);
        json_array_extend(hits, json_object_get(answer, "hits"));
        json_decref(answer);
    }
    /* sort by descending score, as the front does */
    for (size_t i = 0; i < json_array_size(hits); i++) {
        for (size_t j = 0; j + 1 < json_array_size(hits); j++) {
            json_t *left = json_array_get(hits, j);
            json_t *right = json_array_get(hits, j + 1);
            if (json_number_value(json_object_get(left, "score")) <
                json_number_value(json_object_get(right, "score"))) {
                json_incref(left);
                json_array_set(hits, j, right);
                json_array_set_new(hits, j + 1, left);
            }
        }
    }
    json_t *groups =
        json_pack("[{s:s, s:i, s:i}, {s:s, s:i, s:i}]", "group", "one", "shards", 2, "covered", 2,
                  "group", "two", "shards", 1, "covered", (int)covered_claimed - 2);
    json_t *coverage = json_pack("{s:i, s:i, s:o}", "shards", 3, "covered", (int)covered_claimed,
                                 "groups", groups);
    return json_pack("{s:s, s:i, s:o, s:o}", "id", "q", "snapshot", SNAPSHOT, "coverage", coverage,
                     "hits", hits);
}

static lab_violations_t check(json_t *answer, const char *id, const char *text)
{
    lab_violations_t violations = {0};
    lab_answer_summary_t told = {0};
    ts_declarations_t *declarations = test_load(test_declarations_text);
    lab_query_spec_t asked = {declarations, ts_declarations_selector(declarations, "all"), id, text,
                              true};
    lab_check_answer(&asked, answer, &told, &violations);
    ts_declarations_unref(declarations);
    json_decref(answer);
    return violations;
}

static void test_right_answer_passes(void **state)
{
    lab_violations_t violations = check(make_answer(3, SNAPSHOT), "q", QUERY);
    assert_int_equal(violations.mixed_snapshot, 0);
    assert_int_equal(violations.false_coverage, 0);
    assert_int_equal(violations.wrong_answer, 0);
}

static void test_mixed_snapshot_is_caught(void **state)
{
    assert_int_equal(check(make_answer(3, SNAPSHOT + 1), "q", QUERY).mixed_snapshot, 1);
}

static void test_false_coverage_is_caught(void **state)
{
    assert_int_equal(check(make_answer(2, SNAPSHOT), "q", QUERY).false_coverage, 1);
}

static void test_wrong_answers_are_caught(void **state)
{
    assert_int_equal(check(make_answer(3, SNAPSHOT), "another", QUERY).wrong_answer, 1);
    assert_int_equal(check(make_answer(3, SNAPSHOT), "q", "other text").wrong_answer, 1);
    json_t *incomplete = make_answer(3, SNAPSHOT);
    json_t *hits = json_object_get(incomplete, "hits");
    json_array_append(hits, json_array_get(hits, 0)); /* a duplicate hit */
    assert_int_equal(check(incomplete, "q", QUERY).wrong_answer, 1);
}

/* ---- journals ---- */

static lab_verdict_t judge(const char *searchers, const char *callers, int64_t stop_ms,
                           int64_t kill_ms)
{
    char *directory = g_dir_make_tmp("tealspar-XXXXXX", NULL);
    char *searcher_path = g_build_filename(directory, "searchers-z.journal", NULL);
    char *caller_path = g_build_filename(directory, "load.journal", NULL);
    lab_fault_log_t log = {NULL, g_array_new(FALSE, FALSE, sizeof(int64_t)),
                           g_array_new(FALSE, FALSE, sizeof(lab_disturbance_t))};
    g_array_append_val(log.stops, stop_ms);
    if (kill_ms != 0) {
        lab_disturbance_t kill = {kill_ms, kill_ms};
        g_array_append_val(log.disturbances, kill);
    }
    g_file_set_contents(searcher_path, searchers, -1, NULL);
    g_file_set_contents(caller_path, callers, -1, NULL);
    lab_verdict_t verdict;
    lab_verdict_read(&verdict, directory, &log);
    g_unlink(searcher_path);
    g_unlink(caller_path);
    g_rmdir(directory);
    g_array_free(log.stops, TRUE);
    g_array_free(log.disturbances, TRUE);
    g_free(searcher_path);
    g_free(caller_path);
    g_free(directory);
    return verdict;
}

static void test_clean_journals_pass(void **state)
{
    lab_verdict_t verdict =
        judge("100000 b run q1 s 1 1\n100000 b run q2 s 1 0\n100000 b run q2 s 1 0\n"
              "100000 b after_leave q2 - 0 2900\n",
              "100000 5 k q1 answered ok 1 1 1 0\n100000 5 k q3 refused overload 0 0 0 0\n", 1, 0);
    assert_int_equal(verdict.ran_twice, 0);
    assert_int_equal(verdict.ran_though_refused, 0);
    assert_int_equal(verdict.work_after_leave, 0);
    assert_int_equal(verdict.cut_by_stop, 0);
    assert_int_equal(verdict.searcher_requests, 3);
}

static void test_planted_journals_are_caught(void **state)
{
    assert_int_equal(judge("1 b run q1 s 1 1\n2 c run q1 s 1 1\n", "", 1, 0).ran_twice, 1);
    assert_int_equal(
        judge("1 b run q1 s 1 0\n", "2 5 k q1 refused overload 0 0 0 0\n", 1, 0).ran_though_refused,
        1);
    assert_int_equal(judge("1 b after_leave q1 - 0 3001\n", "", 1, 0).work_after_leave, 1);
    const char *lost = "100000 5 k q1 lost io 0 0 0 0\n";
    assert_int_equal(judge("", lost, 99000, 0).cut_by_stop, 1);
    assert_int_equal(judge("", lost, 50000, 0).cut_by_stop, 0);
    assert_int_equal(judge("", lost, 99000, 99500).cut_by_stop,
                     0); /* lost because of the kill, not the stop */
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_right_answer_passes),
        cmocka_unit_test(test_mixed_snapshot_is_caught),
        cmocka_unit_test(test_false_coverage_is_caught),
        cmocka_unit_test(test_wrong_answers_are_caught),
        cmocka_unit_test(test_clean_journals_pass),
        cmocka_unit_test(test_planted_journals_are_caught),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
