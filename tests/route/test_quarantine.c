/** Quarantine table: states, expiry, size limits, and rows merged from other nodes. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/log.h"
#include "tealspar/quarantine.h"

#define S TS_US_PER_S
#define BEGIN_US (1000 * S)

static ts_request_digest_t make_digest(uint32_t number)
{
    ts_digest_piece_t piece = {(const char *)&number, sizeof(number)};
    return ts_request_digest(&piece, 1);
}

static void test_two_strikes_quarantine(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
    ts_request_digest_t other = make_digest(2);
    assert_true(ts_quarantine_is_empty(q));
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_SUSPECT);
    assert_string_equal(ts_quarantine_service(q, &one), "a");
    ts_quarantine_strike(q, &one, "b", BEGIN_US, BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_SUSPECT);
    ts_quarantine_strike(q, &one, "b", BEGIN_US + S, BEGIN_US + S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    assert_int_equal(ts_quarantine_find(q, &other, BEGIN_US + S), TS_QUARANTINE_CLEAR);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US + 2 * S); // from a send before the quarantine
    assert_string_equal(ts_quarantine_service(q, &one), "b");
    ts_quarantine_destroy(q);
}

/* Several attempts of one request, each with an isolated send in flight as backends crash. */
static void test_concurrent_sends_are_one_strike(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
    ts_quarantine_strike(q, &one, "a", BEGIN_US, BEGIN_US + 10);
    ts_quarantine_strike(q, &one, "a", BEGIN_US, BEGIN_US + 10);
    ts_quarantine_strike(q, &one, "b", BEGIN_US + 5, BEGIN_US + 20);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 20), TS_QUARANTINE_SUSPECT);
    ts_quarantine_strike(q, &one, "a", BEGIN_US + 10, BEGIN_US + S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    ts_quarantine_destroy(q);
}

/*
 * A quarantine ends after ten minutes. One isolated send then decides: a crash starts a quarantine
 * of twice the length, a successful response clears the entry.
 */
static void test_quarantine_expires(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
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

static void test_suspicion_expires(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_expire(q, BEGIN_US + 600 * S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 600 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_expire(q, BEGIN_US + 601 * S);
    assert_true(ts_quarantine_is_empty(q));
    ts_quarantine_destroy(q);
}

/*
 * A request is cleared only by a successful response of the service whose backend crashed last.
 * Strikes then count from zero.
 */
static void test_completion_clears(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
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

static void test_only_one_trial_at_a_time(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_begin_trial(q, &one, BEGIN_US);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + S), TS_QUARANTINE_TRIAL);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 2 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_begin_trial(q, &one, BEGIN_US + 2 * S);
    ts_quarantine_end_trial(q, &one, BEGIN_US + 2 * S);
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US + 2 * S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_begin_trial(q, &one, BEGIN_US + 2 * S);
    ts_quarantine_strike(q, &one, "a", BEGIN_US + 2 * S, BEGIN_US + 2 * S); // ends the trial
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

/* 100,000 different suspects take limited space and evict no quarantined entry. */
static void test_number_of_suspects_is_limited(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t quarantined = make_digest(1);
    ts_quarantine_strike(q, &quarantined, "a", BEGIN_US, BEGIN_US);
    ts_quarantine_strike(q, &quarantined, "a", BEGIN_US, BEGIN_US);
    uint64_t checksum = ts_quarantine_checksum(q, BEGIN_US);
    for (uint32_t i = 2; i < 100002; i++) {
        ts_request_digest_t digest = make_digest(i);
        ts_quarantine_suspect(q, &digest, "a", BEGIN_US + i);
    }
    assert_int_equal(ts_quarantine_find(q, &quarantined, BEGIN_US + S), TS_QUARANTINE_QUARANTINED);
    assert_int_equal(count_rows(q, UINT32_MAX / 2), 1025); // 1024 suspects, 1 quarantined
    assert_int_equal(count_rows(q, 64), 65); // sent to a node with a different checksum
    assert_true(ts_quarantine_checksum(q, BEGIN_US) == checksum);
    ts_request_digest_t latest = make_digest(100001);
    assert_int_equal(ts_quarantine_find(q, &latest, BEGIN_US + S), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

/* When the table is full of quarantined entries, none is evicted and others stay suspects. */
static void test_number_of_quarantined_is_limited(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    for (uint32_t i = 0; i < 1100; i++) {
        ts_request_digest_t digest = make_digest(i);
        ts_quarantine_strike(q, &digest, "a", BEGIN_US, BEGIN_US);
        ts_quarantine_strike(q, &digest, "a", BEGIN_US, BEGIN_US);
    }
    assert_int_equal(ts_quarantine_count(q, TS_QUARANTINE_QUARANTINED, BEGIN_US), 1024);
    ts_request_digest_t last = make_digest(1099);
    assert_int_equal(ts_quarantine_find(q, &last, BEGIN_US), TS_QUARANTINE_SUSPECT);
    ts_quarantine_destroy(q);
}

// -- Rows between nodes

#define NODES 4
#define DIGESTS 3
#define STEPS 60

typedef struct message {
    ts_quarantine_row_t row;
    unsigned to;
} message_t;

typedef struct sender {
    GArray *messages; /* of message_t, all that were ever sent */
    unsigned from;
} sender_t;

static void publish_to_others(void *ctx, const ts_quarantine_row_t *row)
{
    sender_t *sender = ctx;
    for (unsigned i = 0; i < NODES; i++) {
        message_t message = {*row, i};
        message.row.service = g_intern_string(row->service);
        if (i != sender->from)
            g_array_append_val(sender->messages, message);
    }
}

static void apply_action(ts_quarantine_t *q, const ts_request_digest_t *digest, int action,
                         ts_time_us_t now_us)
{
    switch (action) {
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

/*
 * Nodes make random changes, and rows are lost, duplicated, delayed and reordered. After a final
 * synchronization through node 0 all tables must agree.
 */
static void run_random_exchange(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    ts_quarantine_t *nodes[NODES];
    sender_t senders[NODES];
    GArray *messages = g_array_new(FALSE, FALSE, sizeof(message_t));
    for (unsigned i = 0; i < NODES; i++) {
        nodes[i] = ts_quarantine_create();
        senders[i] = (sender_t){messages, i};
        ts_quarantine_set_publisher(nodes[i], publish_to_others, &senders[i]);
    }
    for (unsigned step = 0; step < STEPS; step++) {
        ts_time_us_t now_us = BEGIN_US + step * TS_US_PER_MS;
        ts_request_digest_t digest = make_digest((uint32_t)g_rand_int_range(random, 0, DIGESTS));
        apply_action(nodes[g_rand_int_range(random, 0, NODES)], &digest,
                     g_rand_int_range(random, 0, 5), now_us);
        for (int i = 0; i < 2 && messages->len > 0; i++) { // some arrive, some of them twice
            guint at = (guint)g_rand_int_range(random, 0, (gint32)messages->len);
            const message_t *message = &g_array_index(messages, message_t, at);
            (void)ts_quarantine_merge(nodes[message->to], &message->row, now_us);
        }
    }
    for (unsigned i = 0; i < NODES; i++) { // synchronizes node 0 with each other node
        ts_quarantine_foreach(nodes[i], BEGIN_US + S, 1024, merge_into, nodes[0]);
    }
    for (unsigned i = 1; i < NODES; i++)
        ts_quarantine_foreach(nodes[0], BEGIN_US + S, 1024, merge_into, nodes[i]);
    for (uint32_t i = 0; i < DIGESTS; i++) {
        ts_request_digest_t digest = make_digest(i);
        ts_quarantine_state_t expected = ts_quarantine_find(nodes[0], &digest, BEGIN_US + 3 * S);
        for (unsigned j = 1; j < NODES; j++) {
            if (ts_quarantine_find(nodes[j], &digest, BEGIN_US + 3 * S) != expected)
                fail_msg("seed %u: node %u differs on request %u", seed, j, i);
        }
    }
    for (unsigned i = 1; i < NODES; i++)
        assert_true(ts_quarantine_checksum(nodes[i], BEGIN_US + S) ==
                    ts_quarantine_checksum(nodes[0], BEGIN_US + S));
    for (unsigned i = 0; i < NODES; i++)
        ts_quarantine_destroy(nodes[i]);
    g_array_unref(messages);
    g_rand_free(random);
}

static void test_nodes_converge(void **state)
{
    for (uint32_t seed = 1; seed <= 2000; seed++)
        run_random_exchange(seed);
}

/* A row from before an entry was cleared does not quarantine the request again. */
static void test_late_row_does_not_undo_clear(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
    ts_quarantine_row_t late = {.digest = one, .strikes = 2, .service = "a"};
    ts_quarantine_suspect(q, &one, "a", BEGIN_US);
    ts_quarantine_clear(q, &one, "a", BEGIN_US);
    assert_false(ts_quarantine_merge(q, &late, BEGIN_US));
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_CLEAR);
    late.epoch = 1;
    assert_true(ts_quarantine_merge(q, &late, BEGIN_US));
    assert_int_equal(ts_quarantine_find(q, &one, BEGIN_US), TS_QUARANTINE_QUARANTINED);
    assert_false(ts_quarantine_merge(q, &late, BEGIN_US)); // no change, so not forwarded
    ts_quarantine_destroy(q);
}

/* The length of a quarantine counts from the last strike, also at nodes that received the row. */
static void test_received_row_keeps_its_age(void **state)
{
    ts_quarantine_t *q = ts_quarantine_create();
    ts_request_digest_t one = make_digest(1);
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
        cmocka_unit_test(test_two_strikes_quarantine),
        cmocka_unit_test(test_concurrent_sends_are_one_strike),
        cmocka_unit_test(test_quarantine_expires),
        cmocka_unit_test(test_suspicion_expires),
        cmocka_unit_test(test_completion_clears),
        cmocka_unit_test(test_only_one_trial_at_a_time),
        cmocka_unit_test(test_number_of_suspects_is_limited),
        cmocka_unit_test(test_number_of_quarantined_is_limited),
        cmocka_unit_test(test_nodes_converge),
        cmocka_unit_test(test_late_row_does_not_undo_clear),
        cmocka_unit_test(test_received_row_keeps_its_age),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
