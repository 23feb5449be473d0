/** A process stall that ends with the report of a lost connection. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/membership.h"

#define STALL_US (30 * TS_US_PER_S)
#define SETTLE_TICKS 100U

typedef struct node {
    ts_membership_t *membership;
    const char *name;
    struct node *other;
    bool is_connected;
} node_t;

static ts_time_us_t now_us = 1000 * TS_US_PER_S;

static void send_gossip(void *context, const char *name, const char *address, const uint8_t *bytes,
                        size_t length)
{
    const node_t *from = context;
    if (from->is_connected && strcmp(name, from->other->name) == 0)
        (void)ts_membership_receive(from->other->membership, from->name, from->name, bytes, length,
                                    now_us);
}

static void ignore_config(void *context, const char *name, const char *address, uint64_t version,
                          uint64_t digest)
{
}

static void ignore_view(void *context)
{
}

static void ignore_change(void *context, const char *name, ts_member_state_t old,
                          ts_member_state_t state)
{
}

static void open_node(node_t *node, const char *name, node_t *other)
{
    static const ts_membership_ops_t ops = {send_gossip, ignore_config, ignore_view, ignore_change};
    ts_membership_config_t config = {
        .name = name, .address = name, .zone = "z1", .incarnation = 1, .seed = 7};
    node->name = name;
    node->other = other;
    node->is_connected = true;
    node->membership = ts_membership_create(&config, &ops, node, now_us);
    ts_membership_begin_machines(node->membership);
    ts_membership_add_machine(node->membership, "a", "a", "z1");
    ts_membership_add_machine(node->membership, "b", "b", "z1");
    ts_membership_end_machines(node->membership);
}

static bool has_quorum(const node_t *node)
{
    ts_view_t *view = ts_membership_view(node->membership);
    bool result = view->has_quorum;
    ts_view_unref(view);
    return result;
}

/* Whether a node has a quorum right after a stall, before any acknowledgement. */
static bool has_quorum_after_stall(bool is_disconnect_first)
{
    node_t a = {0};
    node_t b = {0};
    open_node(&a, "a", &b);
    open_node(&b, "b", &a);
    for (unsigned i = 0; i < SETTLE_TICKS; i++) {
        now_us += TS_MEMBERSHIP_TICK_US;
        ts_membership_tick(a.membership, now_us);
        ts_membership_tick(b.membership, now_us);
    }
    assert_true(has_quorum(&a));
    a.is_connected = b.is_connected = false;
    now_us += STALL_US;
    if (is_disconnect_first)
        ts_membership_handle_peer_lost(a.membership, "b", now_us);
    ts_membership_tick(a.membership, now_us);
    bool result = has_quorum(&a);
    ts_membership_destroy(a.membership);
    ts_membership_destroy(b.membership);
    return result;
}

// A node that stood still has no quorum until a peer acknowledges.
static void test_no_quorum_after_stall(void **state)
{
    assert_false(has_quorum_after_stall(false));
}

// The stall must be noticed if a lost connection is the first event after it. That event sets the
// clock without the check, so that the node keeps its quorum and suspects its peer at once.
static void test_no_quorum_if_stall_ends_with_disconnect(void **state)
{
    assert_false(has_quorum_after_stall(true));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_quorum_after_stall),
        cmocka_unit_test(test_no_quorum_if_stall_ends_with_disconnect),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
