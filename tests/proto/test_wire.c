/** Frames: what goes in comes out; strangers, other versions and garbage are refused. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/wire.h"

static const ts_wire_identity_t sender = {"cluster", "alpha", "10.0.0.1:1", 5};
static const ts_wire_identity_t receiver = {"cluster", "beta", "10.0.0.2:1", 6};

typedef struct inbox {
    ts_message_t *messages[8];
    size_t count;
} inbox_t;

static void take(void *context, ts_message_t *message)
{
    inbox_t *inbox = context;
    assert_true(inbox->count < G_N_ELEMENTS(inbox->messages));
    inbox->messages[inbox->count++] = message;
}

static void empty(inbox_t *inbox)
{
    for (size_t i = 0; i < inbox->count; i++) {
        inbox->messages[i]->destroy(inbox->messages[i]);
    }
    inbox->count = 0;
}

static uint8_t *pack(const ts_wire_identity_t *identity, ts_message_t **messages, size_t count,
                     size_t *length)
{
    ts_wire_frame_t *frame = ts_wire_frame_build(identity, messages, count);
    *length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(*length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    return bytes;
}

static ts_query_params_t *make_work(void)
{
    ts_query_params_t *work = g_new0(ts_query_params_t, 1);
    work->references = 1;
    work->request_id = g_strdup("id");
    work->kind = g_strdup("kind");
    work->text = g_strdup("text");
    work->limit = 9;
    work->deadline_us = ts_clock_now_us() + 60 * TS_US_PER_S;
    return work;
}

static ts_message_t *make_subrequests(void)
{
    ts_query_params_t *work = make_work();
    ts_subrequests_message_t *message = ts_subrequests_message(1, work, 2);
    message->parts[1].counter = 77;
    message->parts[1].shard = UINT64_MAX;
    ts_query_params_unref(work);
    return &message->head;
}

static ts_message_t *make_subreply(void)
{
    ts_subreply_message_t *message = ts_subreply_message(1);
    message->subreply.counter = 42;
    message->subreply.error = TS_E_QUEUE_FULL;
    message->subreply.run = TS_EXECUTION_NONE;
    message->subreply.hits = g_new0(ts_hit_t, 1);
    message->subreply.hits_count = 1;
    message->subreply.hits[0].id = g_strdup("hit");
    message->subreply.hits[0].text = g_strdup("");
    message->subreply.hits[0].score = -1.5;
    return &message->head;
}

static void test_round_trip(void **state)
{
    ts_message_t *messages[] = {make_subrequests(), make_subreply(),
                                &ts_cancel_message(1, 43)->head,
                                &ts_gossip_message("beta", "x", (const uint8_t *)"abc", 3)->head};
    size_t length = 0;
    uint8_t *bytes = pack(&sender, messages, 4, &length);
    inbox_t inbox = {0};
    assert_int_equal(ts_wire_frame_unpack(&receiver, bytes, length, take, &inbox), TS_OK);
    assert_int_equal(inbox.count, 4);
    const ts_subrequests_message_t *subrequests = (void *)inbox.messages[0];
    assert_int_equal(subrequests->parts_count, 2);
    assert_true(subrequests->parts[1].shard == UINT64_MAX);
    assert_string_equal(subrequests->work->text, "text");
    assert_null(subrequests->work->key);
    assert_true(subrequests->work->deadline_us > ts_clock_now_us());
    const ts_subreply_t *subreply = &((ts_subreply_message_t *)inbox.messages[1])->subreply;
    assert_int_equal(subreply->error, TS_E_QUEUE_FULL);
    assert_string_equal(subreply->hits[0].id, "hit");
    assert_true(subreply->hits[0].score == -1.5);
    assert_int_equal(((ts_cancel_message_t *)inbox.messages[2])->counter, 43);
    const ts_gossip_message_t *gossip = (void *)inbox.messages[3];
    assert_string_equal(gossip->peer_name, "alpha");
    assert_memory_equal(gossip->bytes, "abc", 3);
    empty(&inbox);
    g_free(bytes);
    for (size_t i = 0; i < 4; i++) {
        messages[i]->destroy(messages[i]);
    }
}

static void test_late_work_is_not_sent(void **state)
{
    ts_query_params_t *work = make_work();
    work->deadline_us = 1;
    ts_message_t *message = &ts_subrequests_message(1, work, 1)->head;
    size_t length = 0;
    uint8_t *bytes = pack(&sender, &message, 1, &length);
    inbox_t inbox = {0};
    assert_int_equal(ts_wire_frame_unpack(&receiver, bytes, length, take, &inbox), TS_OK);
    assert_int_equal(inbox.count, 0);
    g_free(bytes);
    message->destroy(message);
    ts_query_params_unref(work);
}

static void test_strangers_are_refused(void **state)
{
    ts_message_t *message = &ts_cancel_message(1, 1)->head;
    ts_wire_identity_t other_cluster = sender;
    ts_wire_identity_t nameless = sender;
    ts_wire_identity_t impostor = sender;
    other_cluster.cluster = "other";
    nameless.name = "";
    impostor.name = receiver.name;
    const ts_wire_identity_t *identities[] = {&other_cluster, &nameless, &impostor};
    inbox_t inbox = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(identities); i++) {
        size_t length = 0;
        uint8_t *bytes = pack(identities[i], &message, 1, &length);
        assert_int_equal(ts_wire_frame_unpack(&receiver, bytes, length, take, &inbox),
                         TS_E_PROTOCOL);
        g_free(bytes);
    }
    assert_int_equal(inbox.count, 0);
    message->destroy(message);
}

/* Random damage must never crash; what is still a frame may be delivered. */
static void test_damage_does_no_harm(void **state)
{
    ts_message_t *messages[] = {make_subrequests(), make_subreply()};
    size_t length = 0;
    uint8_t *good = pack(&sender, messages, 2, &length);
    GRand *random = g_rand_new_with_seed(3);
    for (int i = 0; i < 20000; i++) {
        uint8_t *bytes = g_memdup2(good, length);
        size_t used = (size_t)g_rand_int_range(random, 0, (gint32)length + 1);
        for (int j = 0; j < 3; j++) {
            bytes[g_rand_int_range(random, 0, (gint32)length)] =
                (uint8_t)g_rand_int_range(random, 0, 256);
        }
        inbox_t inbox = {0};
        ts_wire_frame_unpack(&receiver, bytes, used, take, &inbox);
        empty(&inbox);
        g_free(bytes);
    }
    g_rand_free(random);
    g_free(good);
    messages[0]->destroy(messages[0]);
    messages[1]->destroy(messages[1]);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_late_work_is_not_sent),
        cmocka_unit_test(test_strangers_are_refused),
        cmocka_unit_test(test_damage_does_no_harm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
