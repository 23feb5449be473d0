/** The table of unrepeatable requests. */
#include "../test_support.h"

#include "tealspar/idempotency.h"

#define KEEP_US 1000

static ts_query_params_t make_work(const char *id, const char *key)
{
    ts_query_params_t work = {
        .references = 1, .request_id = (char *)id, .kind = "k", .key = (char *)key};
    return work;
}

static void test_runs_once_and_replays(void **state)
{
    ts_idempotency_t *table = ts_idempotency_create(KEEP_US);
    ts_query_params_t work = make_work("a", "1");
    assert_int_equal(ts_idempotency_admit(table, &work, 0), TS_IDEMPOTENCY_RUN);
    assert_int_equal(ts_idempotency_admit(table, &work, 1), TS_IDEMPOTENCY_UNKNOWN);
    ts_hit_t hit = {"h", 0.5, "text"};
    ts_subreply_t outcome = {
        .run = TS_EXECUTION_COMPLETED, .snapshot = 7, .hits = &hit, .hits_count = 1};
    ts_idempotency_finish(table, "a", &outcome, 2);
    assert_int_equal(ts_idempotency_admit(table, &work, 3), TS_IDEMPOTENCY_REPLAY);
    ts_subreply_t kept = {0};
    ts_idempotency_replay(table, "a", &kept);
    assert_int_equal(kept.snapshot, 7);
    assert_string_equal(kept.hits[0].id, "h");
    ts_subreply_clear(&kept);
    ts_idempotency_destroy(table);
}

static void test_other_request_under_one_id(void **state)
{
    ts_idempotency_t *table = ts_idempotency_create(KEEP_US);
    ts_query_params_t first = make_work("a", "1");
    ts_query_params_t second = make_work("a", "2");
    assert_int_equal(ts_idempotency_admit(table, &first, 0), TS_IDEMPOTENCY_RUN);
    assert_int_equal(ts_idempotency_admit(table, &second, 0), TS_IDEMPOTENCY_REUSED);
    ts_idempotency_destroy(table);
}

static void test_release_and_expiry(void **state)
{
    ts_idempotency_t *table = ts_idempotency_create(KEEP_US);
    ts_query_params_t work = make_work("a", "1");
    assert_int_equal(ts_idempotency_admit(table, &work, 0), TS_IDEMPOTENCY_RUN);
    ts_idempotency_release(table, "a");
    assert_int_equal(ts_idempotency_admit(table, &work, 0), TS_IDEMPOTENCY_RUN);
    ts_idempotency_expire(table, KEEP_US);
    assert_int_equal(ts_idempotency_size(table), 1);
    ts_idempotency_expire(table, KEEP_US + 1);
    assert_int_equal(ts_idempotency_size(table), 0);
    ts_idempotency_destroy(table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_runs_once_and_replays),
        cmocka_unit_test(test_other_request_under_one_id),
        cmocka_unit_test(test_release_and_expiry),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
