/** The membership task: runs gossip membership on the loop and publishes views to other tasks. */
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/membership.h"
#include "tealspar/messages.h"
#include "tealspar/node.h"

/* A node that reaches no other node publishes its own view after this time. */
#define LONE_NODE_WAIT_US (3000ULL * TS_US_PER_MS)

typedef struct membership_task {
    ts_node_t *node;
    ts_task_t *task;
    ts_task_t *mesh;
    ts_task_t *configuration;
    ts_membership_t *membership;
    ts_time_us_t started_us;
    ts_timer_t timer;
    bool is_published;
    bool had_quorum;
    bool is_broker_idle; /* the broker has no work left; set while the node stops */
} membership_task_t;

static void send_gossip(void *context, const char *name, const char *address, const uint8_t *bytes,
                        size_t length)
{
    membership_task_t *task = context;
    ts_task_send(task->mesh, &ts_gossip_message(name, address, bytes, length)->head);
}

static void send_config_announcement(void *context, const char *name, const char *address,
                                     uint64_t version, uint64_t digest)
{
    membership_task_t *task = context;
    ts_document_message_t *message = ts_document_message(name, address);
    message->version = version;
    message->digest = digest;
    ts_task_send(task->configuration, &message->head);
}

static void log_member_state(void *context, const char *name, ts_member_state_t old,
                             ts_member_state_t state)
{
    ts_log(TS_EVENT_MEMBER_STATE, "%s: %s to %s", name, ts_member_state_name(old),
           ts_member_state_name(state));
}

static void log_quorum_change(membership_task_t *task, const ts_view_t *view)
{
    if (view->has_quorum != task->had_quorum) {
        task->had_quorum = view->has_quorum;
        ts_log(TS_EVENT_QUORUM, "a majority of the zone is %s",
               view->has_quorum ? "heard" : "not heard");
    }
}

static void publish_view(void *context)
{
    membership_task_t *task = context;
    static const char *const receivers[] = {"mesh", "front", "broker", "platform", "configuration"};
    bool has_waited = ts_clock_now_us() - task->started_us > LONE_NODE_WAIT_US;
    if (!ts_membership_has_joined(task->membership) && !has_waited) {
        return;
    }
    task->is_published = true;
    ts_view_t *view = ts_membership_view(task->membership);
    log_quorum_change(task, view);
    for (size_t i = 0; i < G_N_ELEMENTS(receivers); i++) {
        ts_task_send(ts_task_find(task->node->tasks, receivers[i]), &ts_view_message(view)->head);
    }
    ts_view_unref(view);
    ts_gauge_set(TS_COUNTER_MEMBERS_LIVE,
                 (int64_t)ts_membership_count(task->membership, TS_MEMBER_LIVE));
    ts_gauge_set(TS_COUNTER_MEMBERS_SUSPECT,
                 (int64_t)ts_membership_count(task->membership, TS_MEMBER_SUSPECT));
}

static void tick(ts_timer_t *timer)
{
    membership_task_t *task = timer->data;
    ts_membership_tick(task->membership, ts_clock_now_us());
    if (!task->is_published) { /* LONE_NODE_WAIT_US may have passed without a view change */
        publish_view(task);
    }
}

static void apply_machines(membership_task_t *task, const ts_machines_message_t *message)
{
    ts_membership_begin_machines(task->membership);
    for (guint i = 0; i < message->machines->len; i++) {
        const ts_machine_t *machine = g_ptr_array_index(message->machines, i);
        ts_membership_add_machine(task->membership, machine->name, machine->address, machine->zone);
    }
    ts_membership_end_machines(task->membership);
}

static void handle_message(void *state, ts_message_t *message)
{
    membership_task_t *task = state;
    ts_time_us_t now_us = ts_clock_now_us();
    switch (message->type) {
    case TS_MESSAGE_GOSSIP: {
        const ts_gossip_message_t *gossip = (const ts_gossip_message_t *)message;
        if (!ts_membership_receive(task->membership, gossip->peer_name, gossip->peer_address,
                                   gossip->bytes, gossip->length, now_us)) {
            ts_count_error(TS_E_PROTOCOL);
        }
        break;
    }
    case TS_MESSAGE_PEER_LOST:
        ts_membership_handle_peer_lost(task->membership, ((ts_peer_lost_message_t *)message)->name,
                                       now_us);
        break;
    case TS_MESSAGE_MACHINES:
        apply_machines(task, (const ts_machines_message_t *)message);
        break;
    case TS_MESSAGE_DECLARATIONS: {
        const ts_declarations_t *declarations =
            ((ts_declarations_message_t *)message)->declarations;
        ts_membership_set_config(task->membership, declarations->version, declarations->digest);
        break;
    }
    case TS_MESSAGE_BROKER_IDLE:
        task->is_broker_idle = true;
        ts_membership_begin_barrier(task->membership, now_us);
        break;
    default:
        break;
    }
}

/* Seeds are known by address only at first; their names arrive with their answers. */
static void add_seeds(membership_task_t *task, const ts_settings_t *settings)
{
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        if (strcmp(settings->seeds[i], settings->advertise) != 0) {
            ts_membership_add_machine(task->membership, settings->seeds[i], settings->seeds[i], "");
        }
    }
}

static ts_error_t open_membership(ts_node_t *node)
{
    static const ts_membership_ops_t ops = {send_gossip, send_config_announcement, publish_view,
                                            log_member_state};
    ts_membership_config_t config = {
        .name = node->settings->name,
        .address = node->settings->advertise,
        .zone = node->settings->zone,
        .incarnation = node->incarnation,
        .seed = ts_hash_mix(ts_hash_text(node->settings->name), node->incarnation),
        .uses_barriers = true,
    };
    membership_task_t *task = g_new0(membership_task_t, 1);
    ts_node_set_state(node, "membership", task);
    task->node = node;
    task->had_quorum = true;
    task->started_us = ts_clock_now_us();
    task->membership = ts_membership_create(&config, &ops, task, task->started_us);
    task->task = ts_task_create(node->tasks, "membership", handle_message, task);
    return TS_OK;
}

static ts_error_t start_membership(ts_node_t *node)
{
    membership_task_t *task = ts_node_state(node, "membership");
    task->mesh = ts_task_find(node->tasks, "mesh");
    task->configuration = ts_task_find(node->tasks, "configuration");
    add_seeds(task, node->settings);
    ts_timer_init(&task->timer, node->runtime, tick, task);
    uint64_t period_ms = TS_MEMBERSHIP_TICK_US / TS_US_PER_MS;
    ts_timer_start(&task->timer, period_ms, period_ms);
    return TS_OK;
}

static void stop_membership(ts_node_t *node)
{
    membership_task_t *task = ts_node_state(node, "membership");
    ts_membership_leave(task->membership, ts_clock_now_us());
}

/*
 * Once the barrier has passed, the other nodes have received the broker's replies and send it no
 * more requests.
 */
static bool is_membership_idle(ts_node_t *node)
{
    const membership_task_t *task = ts_node_state(node, "membership");
    return task->is_broker_idle &&
           ts_membership_is_barrier_passed(task->membership, ts_clock_now_us());
}

static void describe_membership(ts_node_t *node, json_t *status)
{
    const membership_task_t *task = ts_node_state(node, "membership");
    ts_view_t *view = ts_membership_view(task->membership);
    json_t *rows = json_array();
    for (size_t i = 0; i < view->count; i++) {
        const ts_view_member_t *member = &view->members[i];
        json_array_append_new(rows, json_pack("{s:s, s:s, s:s, s:s, s:I}", "name", member->name,
                                              "address", member->address, "zone", member->zone,
                                              "state", ts_member_state_name(member->state),
                                              "incarnation", (json_int_t)member->incarnation));
    }
    json_object_set_new(status, "members", rows);
    json_object_set_new(status, "has_quorum", json_boolean(view->has_quorum));
    ts_view_unref(view);
}

static void close_membership(ts_node_t *node)
{
    membership_task_t *task = ts_node_state(node, "membership");
    ts_membership_destroy(task->membership);
    g_free(task);
}

static const ts_task_ops_t membership_ops = {open_membership,     start_membership,
                                             stop_membership,     is_membership_idle,
                                             describe_membership, close_membership};
TS_REGISTER_PLUGIN(membership_plugin, TS_PLUGIN_TASK, "membership", 0, &membership_ops,
                   "tracks by gossip which nodes are alive")
