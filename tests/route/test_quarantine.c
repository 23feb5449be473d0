/** The quarantine as pure decisions: states, their ends, bounds, and rows that merge. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/log.h"
#include "tealspar/quarantine.h"

#define S TS_US_PER_S
#define BEGIN_US (1000 * S)

static ts_request_digest_t digest_of(uint32_t number)
{
    ts_digest_piece_t piece = {(const char *)&number, sizeof(number)};
    return ts_request_digest(&piece, 1);
}

static void test_two_strikes_hold(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_request_digest_t other = digest_of(2);
    assert_true(ts_quarantine_is_empty(q));
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_SUSPECT);
    assert_string_equal(ts_quarantine_service(q, &one), "a");
    ts_quarantine_strike(q, &one, "b", BEGIN_US, BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_SUSPECT);
    ts_quarantine_strike(q, &one, "b", BEGIN_US + S, BEGIN_US + S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    assert_int_equal(ts_quarantine_find(q, &other, BEGIN_US + S), TS_QUARANTINE_CLEAR);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US + 2 * S); // a send from before the verdict
    assert_string_equal(ts_quarantine_service(q, &one), "b");
    ts_quarantine_destroy(q);
}

/* Several tries of one request, each with its lone send out while back ends end. */
static void test_sends_out_at_once_are_one_strike(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_strike(q, &one, "a", BEGIN_US, BEGIN_US + 10);
    ts_quarantine_strike(q, &one, "a", BEGIN_US, BEGIN_US + 10);
    ts_quarantine_strike(q, &one, "b", BEGIN_US + 5, BEGIN_US + 20);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 20), TS_QUARANTINE_SUSPECT);
    ts_quarantine_strike(q, &one, "a", BEGIN_US + 10, BEGIN_US + S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    ts_quarantine_destroy(q);
}

/* Ten minutes, then one lone send decides: twice as long, or nothing speaks against it. */
static void test_verdict_ends_by_time(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_time_us_t now_us = BEGIN_US;
    ts_quarantine_strike(q, &one, "a", now_us, now_us);
    ts_quarantine_strike(q, &one, "a", now_us, now_us);
    assert_int_equal(ts_quarantine_find(q, &one, now_us + 599 * S), TS_QUARANTINE_QUARANTINED);
    now_us += 600 * S;
    assert_int_equal(ts_quarantine_find(q, &one, now_us), TS_QUARANTINE_SUSPECT);
    ts_quarantine_strike(q, &one, "a", now_us, now_us);
    assert_int_equal(ts_quarantine_find(q, &one, now_us + 1199 * S), TS_QUARANTINE_QUARANTINED);
    now_us += 1200 * S;
    assert_int_equal(ts_quarantine_find(q, &one, now_us), TS_QUARANTINE_SUSPECT);
    ts_quarantine_clear(q, &one, "a", now_us);
    assert_int_equal(ts_quarantine_find(q, &one, now_us), TS_QUARANTINE_CLEAR);
    ts_quarantine_expire(q, now_us + 31 * S);
    assert_true(ts_quarantine_is_empty(q));
    ts_quarantine_destroy(q);
}

static void test_suspicion_is_forgotten(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_expire(q, BEGIN_US + 600 * S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 600 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_expire(q, BEGIN_US + 601 * S);
    assert_true(ts_quarantine_is_empty(q));
    ts_quarantine_destroy(q);
}

/* Only the service where back ends ended under it speaks for it; then all begins anew. */
static void test_whole_run_clears(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_strike(q, &one, "a", BEGIN_US, BEGIN_US);
    ts_quarantine_clear(q, &one, "b", BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_SUSPECT);
    ts_quarantine_clear(q, &one, "a", BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_CLEAR);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US + S);
    ts_quarantine_strike(q, &one, "a", BEGIN_US + S, BEGIN_US + S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

static void test_trial_keeps_others_waiting(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_begin_trial(q, &one, BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_TRIAL);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 2 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_begin_trial(q, &one, BEGIN_US + 2 * S);
    ts_quarantine_end_trial(q, &one, BEGIN_US + 2 * S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 2 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_begin_trial(q, &one, BEGIN_US + 2 * S);
    ts_quarantine_strike(q, &one, "a", BEGIN_US + 2 * S, BEGIN_US + 2 * S); // its outcome
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 2 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

static bool count_row(void *ctx, const ts_quarantine_row_t *row)
{
    ++*(unsigned *)ctx;
    return true;
}

static unsigned count_rows(const ts_quarantine_t *q, unsigned suspects_max)
{
    unsigned rows = 0;
    ts_quarantine_foreach(q, BEGIN_US, suspects_max, count_row, &rows);
    return rows;
}

/* A hundred thousand different suspects take bounded room and push out nothing that is held. */
static void test_flood_is_bounded(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t held = digest_of(1);
    ts_quarantine_strike(q, &held, "a", BEGIN_US, BEGIN_US);
    ts_quarantine_strike(q, &held, "a", BEGIN_US, BEGIN_US);
    uint64_t sum = ts_quarantine_checksum(q, BEGIN_US);
    for (uint32_t i = 2; i < 100002; i++) {
        ts_request_digest_t digest = digest_of(i);
        ts_quarantine_suspect(q, &digest, "a", BEGIN_US + i);
    }
    assert_int_equal(ts_quarantine_find(q, &held, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    assert_int_equal(count_rows(q, UINT32_MAX / 2), 1025);
    assert_int_equal(count_rows(q, 64), 65); // what is told when nodes differ
    assert_true(ts_quarantine_checksum(q, BEGIN_US) == sum);
    ts_request_digest_t latest = digest_of(100001);
    assert_int_equal(ts_quarantine_find(q, &latest, BEGIN_US + S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

/* Nothing that is held is pushed out by more that ought to be: those stay suspects. */
static void test_held_are_bounded(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    for (uint32_t i = 0; i < 1100; i++) {
        ts_request_digest_t digest = digest_of(i);
        ts_quarantine_strike(q, &digest, "a", BEGIN_US, BEGIN_US);
        ts_quarantine_strike(q, &digest, "a", BEGIN_US, BEGIN_US);
    }
    assert_int_equal(ts_quarantine_count(q, TS_QUARANTINE_QUARANTINED, BEGIN_US), 1024);
    ts_request_digest_t last = digest_of(1099);
    assert_int_equal(ts_quarantine_find(q, &last, BEGIN_US), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

// -- Rows between nodes

#define NODES 4
#define DIGESTS 3
#define STEPS 60

typedef struct mail {
    ts_quarantine_row_t row;
    unsigned to;
} mail_t;

typedef struct sender {
    GArray *mails; /* of mail_t, all that was ever told */
    unsigned from;
} sender_t;

static void tell_others(void *ctx, const ts_quarantine_row_t *row)
{
    sender_t *sender = ctx;
    for (unsigned i = 0; i < NODES; i++) {
        mail_t mail = {*row, i};
        mail.row.service = g_intern_string(row->service);
        if (i != sender->from)
            g_array_append_val(sender->mails, mail);
    }
}

static void act(ts_quarantine_t *q, const ts_request_digest_t *digest, int what,
                ts_time_us_t now_us)
{
    switch (what) {
    case 0:
        ts_quarantine_suspect(q, digest, "a", now_us);
        break;
    case 1:
        ts_quarantine_strike(q, digest, "a", now_us, now_us);
        break;
    case 2:
        ts_quarantine_clear(q, digest, "a", now_us);
        break;
    case 3:
        ts_quarantine_begin_trial(q, digest, now_us);
        break;
    default:
        ts_quarantine_end_trial(q, digest, now_us);
        break;
    }
}

static bool merge_into(void *ctx, const ts_quarantine_row_t *row)
{
    (void)ts_quarantine_merge(ctx, row, BEGIN_US + S);
    return true;
}

/* Nodes act as they like; rows are lost, doubled and late, in any order; then they compare. */
static void play_drawn(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    ts_quarantine_t *nodes[NODES];
    sender_t senders[NODES];
    GArray *mails = g_array_new(FALSE, FALSE, sizeof(mail_t));
    for (unsigned i = 0; i < NODES; i++) {
        nodes[i] = ts_quarantine_create();
        senders[i] = (sender_t){mails, i};
        ts_quarantine_set_publisher(nodes[i], tell_others, &senders[i]);
    }
    for (unsigned step = 0; step < STEPS; step++) {
        ts_time_us_t now_us = BEGIN_US + step * TS_US_PER_MS;
        ts_request_digest_t digest = digest_of((uint32_t)g_rand_int_range(random, 0, DIGESTS));
        act(nodes[g_rand_int_range(random, 0, NODES)], &digest, g_rand_int_range(random, 0, 5),
            now_us);
        for (int i = 0; i < 2 && mails->len > 0; i++) { // some come, some of them twice
            guint at = (guint)g_rand_int_range(random, 0, (gint32)mails->len);
            const mail_t *mail = &g_array_index(mails, mail_t, at);
            (void)ts_quarantine_merge(nodes[mail->to], &mail->row, now_us);
        }
    }
    for (unsigned i = 0; i < NODES; i++) { // each hears all that node 0 has, and node 0 of each
        ts_quarantine_foreach(nodes[i], BEGIN_US + S, 1024, merge_into, nodes[0]);
    }
    for (unsigned i = 1; i < NODES; i++)
        ts_quarantine_foreach(nodes[0], BEGIN_US + S, 1024, merge_into, nodes[i]);
    for (uint32_t i = 0; i < DIGESTS; i++) {
        ts_request_digest_t digest = digest_of(i);
        ts_quarantine_state_t wanted = ts_quarantine_find(nodes[0], &digest, BEGIN_US + 3 * S);
        for (unsigned j = 1; j < NODES; j++) {
            if (ts_quarantine_find(nodes[j], &digest, BEGIN_US + 3 * S) != wanted)
                fail_msg("seed %u: node %u differs on request %u", seed, j, i);
        }
    }
    for (unsigned i = 1; i < NODES; i++)
        assert_true(ts_quarantine_checksum(nodes[i], BEGIN_US + S) ==
                    ts_quarantine_checksum(nodes[0], BEGIN_US + S));
    for (unsigned i = 0; i < NODES; i++)
        ts_quarantine_destroy(nodes[i]);
    g_array_unref(mails);
    g_rand_free(random);
}

static void test_nodes_agree_whatever_is_lost(void **state)
{
    for (uint32_t seed = 1; seed <= 2000; seed++)
        play_drawn(seed);
}

/* A row from before an entry was cleared doesn't bring the verdict back. */
static void test_late_row_does_not_bring_back(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_row_t late = {.digest = one, .strikes = 2, .service = "a"};
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_clear(q, &one, "a", BEGIN_US);
    assert_false(ts_quarantine_merge(q, &late, BEGIN_US));
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_CLEAR);
    late.epoch = 1;
    assert_true(ts_quarantine_merge(q, &late, BEGIN_US));
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_QUARANTINED);
    assert_false(ts_quarantine_merge(q, &late, BEGIN_US)); // no news, not passed on
    ts_quarantine_destroy(q);
}

/* The age of a verdict is that of its last strike, wherever it is told. */
static void test_told_verdict_keeps_its_age(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = digest_of(1);
    ts_quarantine_row_t row = {.digest = one, .strikes = 2, .age_ms = 590000, .service = "a"};
    assert_true(ts_quarantine_merge(q, &row, BEGIN_US));
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 9 * S), TS_QUARANTINE_QUARANTINED);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 11 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

int main(void)
{
    ts_log_open("test", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_two_strikes_hold),
        cmocka_unit_test(test_sends_out_at_once_are_one_strike),
        cmocka_unit_test(test_verdict_ends_by_time),
        cmocka_unit_test(test_suspicion_is_forgotten),
        cmocka_unit_test(test_whole_run_clears),
        cmocka_unit_test(test_trial_keeps_others_waiting),
        cmocka_unit_test(test_flood_is_bounded),
        cmocka_unit_test(test_held_are_bounded),
        cmocka_unit_test(test_nodes_agree_whatever_is_lost),
        cmocka_unit_test(test_late_row_does_not_bring_back),
        cmocka_unit_test(test_told_verdict_keeps_its_age),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
