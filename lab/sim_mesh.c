/** Simulated mesh: transfers frames, encoded by the production codec, between simulated nodes. */
#include <string.h>

#include "sim_internal.h"
#include "tealspar/hash.h"
#include "tealspar/wire.h"

#define PERCENT 100.0
/* A frame that meets a partition is either lost or retransmitted later, as TCP would do. */
#define RETRANSMIT_FRACTION 0.5
#define RETRANSMIT_US (500ULL * TS_US_PER_MS)
#define DISCONNECT_DELAY_US 2000ULL

/* A frame in transit. */
typedef struct frame {
    lab_sim_t *sim;
    unsigned from;
    unsigned to;
    uint8_t *bytes;
    size_t length;
} frame_t;

static void free_frame(void *context)
{
    frame_t *frame = context;
    g_free(frame->bytes);
    g_free(frame);
}

static ts_wire_identity_t make_identity(const lab_sim_node_t *node)
{
    ts_wire_identity_t identity = {node->settings.cluster, node->settings.name,
                                   node->settings.advertise, node->node.incarnation};
    return identity;
}

/* ---- delivery ---- */

static void deliver_message(void *context, ts_message_t *message)
{
    const lab_sim_node_t *node = context;
    const char *receiver = NULL;
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
    case TS_MESSAGE_CANCEL:
        receiver = "broker";
        break;
    case TS_MESSAGE_SUBREPLIES:
        receiver = "front";
        break;
    case TS_MESSAGE_GOSSIP:
        receiver = "membership";
        break;
    case TS_MESSAGE_DOCUMENT:
        receiver = "configuration";
        break;
    default:
        message->destroy(message);
        return;
    }
    ts_task_send(ts_task_find(node->node.tasks, receiver), message);
}

static void receive_frame(void *context)
{
    frame_t *frame = context;
    lab_sim_node_t *to = &frame->sim->nodes[frame->to];
    ts_wire_identity_t identity = make_identity(to);
    ts_wire_frame_unpack(&identity, frame->bytes, frame->length, deliver_message, to);
    free_frame(frame);
}

/* Arrival at the host. A suspended process receives the frame when it resumes. */
static void handle_arrival(void *context)
{
    frame_t *frame = context;
    lab_sim_t *sim = frame->sim;
    const lab_sim_node_t *from = &sim->nodes[frame->from];
    const lab_sim_node_t *to = &sim->nodes[frame->to];
    if (!lab_sim_is_connected(sim, from, to)) {
        if (lab_sim_uniform(sim) < RETRANSMIT_FRACTION) {
            lab_sim_schedule(sim, LAB_SIM_NO_NODE, RETRANSMIT_US, handle_arrival, free_frame,
                             frame);
        } else {
            free_frame(frame);
        }
        return;
    }
    if (!to->is_running) {
        free_frame(frame);
        return;
    }
    lab_sim_schedule(sim, (int)frame->to, 0, receive_frame, free_frame, frame);
}

/* ---- sending ---- */

static ts_time_us_t draw_delay(lab_sim_t *sim, const lab_sim_node_t *from, const lab_sim_node_t *to)
{
    double ms = sim->config.network_ms + (from->zone == to->zone ? 0 : sim->config.zone_ms);
    ms *= 1.0 + sim->config.jitter * lab_sim_uniform(sim);
    return (ts_time_us_t)(ms * (double)TS_US_PER_MS);
}

static void schedule_frame(lab_sim_node_t *from, const lab_sim_node_t *to, const uint8_t *bytes,
                           size_t length)
{
    lab_sim_t *sim = from->sim;
    frame_t *frame = g_new0(frame_t, 1);
    frame->sim = sim;
    frame->from = from->index;
    frame->to = to->index;
    frame->bytes = g_memdup2(bytes, length);
    frame->length = length;
    lab_sim_schedule(sim, LAB_SIM_NO_NODE, draw_delay(sim, from, to), handle_arrival, free_frame,
                     frame);
}

static void send_pending(lab_sim_node_t *node, uint64_t peer, GPtrArray *messages)
{
    lab_sim_t *sim = node->sim;
    const lab_sim_node_t *to = lab_sim_find_node(sim, peer);
    ts_wire_identity_t identity = make_identity(node);
    bool is_dropped = lab_sim_uniform(sim) * PERCENT < sim->config.drop_percent;
    if (to == NULL || is_dropped) {
        return;
    }
    ts_wire_frame_t *frame =
        ts_wire_frame_build(&identity, (ts_message_t *const *)messages->pdata, messages->len);
    size_t length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    schedule_frame(node, to, bytes, length);
    if (lab_sim_uniform(sim) * PERCENT < sim->config.duplicate_percent) {
        schedule_frame(node, to, bytes, length);
    }
    g_free(bytes);
}

static void free_messages(GPtrArray *messages)
{
    for (guint i = 0; i < messages->len; i++) {
        ts_message_t *message = g_ptr_array_index(messages, i);
        message->destroy(message);
    }
    g_ptr_array_free(messages, TRUE);
}

/* Sorts peers by id: the iteration order of a hash table would make runs non-deterministic. */
static gint compare_ids(gconstpointer left, gconstpointer right)
{
    uint64_t left_id = *(const uint64_t *)left;
    uint64_t right_id = *(const uint64_t *)right;
    return left_id < right_id ? -1 : left_id > right_id;
}

static void flush_pending(void *state)
{
    lab_sim_node_t *node = state;
    GList *peers = g_list_sort(g_hash_table_get_keys(node->pending), compare_ids);
    for (GList *item = peers; item != NULL; item = item->next) {
        GPtrArray *messages = g_hash_table_lookup(node->pending, item->data);
        ts_subrequests_refuse_expired((ts_message_t *const *)messages->pdata, messages->len,
                                      ts_task_find(node->node.tasks, "front"));
        send_pending(node, *(uint64_t *)item->data, messages);
        free_messages(messages);
    }
    g_list_free(peers);
    g_hash_table_remove_all(node->pending);
}

void lab_sim_mesh_clear(lab_sim_node_t *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->pending);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        free_messages(value);
    }
    g_hash_table_remove_all(node->pending);
}

static void queue_message(lab_sim_node_t *node, uint64_t peer, ts_message_t *message)
{
    GPtrArray *messages = g_hash_table_lookup(node->pending, &peer);
    if (messages == NULL) {
        uint64_t *key = g_new(uint64_t, 1);
        *key = peer;
        messages = g_ptr_array_new();
        g_hash_table_insert(node->pending, key, messages);
    }
    message->is_retained = true;
    g_ptr_array_add(messages, message);
}

static void handle_message(void *state, ts_message_t *message)
{
    lab_sim_node_t *node = state;
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        queue_message(node, ((ts_subrequests_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        queue_message(node, ((ts_subreply_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_CANCEL:
        queue_message(node, ((ts_cancel_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_GOSSIP:
        queue_message(node, ts_hash_text(((ts_gossip_message_t *)message)->peer_name), message);
        break;
    case TS_MESSAGE_DOCUMENT:
        queue_message(node, ts_hash_text(((ts_document_message_t *)message)->peer_name), message);
        break;
    default:
        break;
    }
}

/* ---- lost connections ---- */

typedef struct disconnect {
    lab_sim_t *sim;
    unsigned to;
    uint64_t lost;
} disconnect_t;

static void report_disconnect(void *context)
{
    disconnect_t *disconnect = context;
    const lab_sim_node_t *to = &disconnect->sim->nodes[disconnect->to];
    const lab_sim_node_t *lost = lab_sim_find_node(disconnect->sim, disconnect->lost);
    ts_task_send(ts_task_find(to->node.tasks, "front"),
                 &ts_peer_lost_message(disconnect->lost, lost->settings.name)->head);
    ts_task_send(ts_task_find(to->node.tasks, "membership"),
                 &ts_peer_lost_message(disconnect->lost, lost->settings.name)->head);
    g_free(disconnect);
}

void lab_sim_notify_disconnect(lab_sim_t *sim, const lab_sim_node_t *lost)
{
    for (unsigned i = 0; i < sim->node_count; i++) {
        const lab_sim_node_t *node = &sim->nodes[i];
        if (node == lost || !node->is_running || !lab_sim_is_connected(sim, node, lost)) {
            continue;
        }
        disconnect_t *disconnect = g_new0(disconnect_t, 1);
        disconnect->sim = sim;
        disconnect->to = i;
        disconnect->lost = ts_hash_text(lost->settings.name);
        lab_sim_schedule(sim, (int)i, DISCONNECT_DELAY_US, report_disconnect, g_free, disconnect);
    }
}

/* ---- tasks ---- */

static ts_error_t open_mesh(ts_node_t *node)
{
    lab_sim_node_t *simulated = lab_sim_node_of(node);
    simulated->mesh = ts_task_create(node->tasks, "mesh", handle_message, simulated);
    ts_task_set_drained_callback(simulated->mesh, flush_pending);
    return TS_OK;
}

/* Reports configurations that become effective to the observer. */
static void handle_declarations(void *state, ts_message_t *message)
{
    lab_sim_node_t *node = state;
    if (message->type == TS_MESSAGE_DECLARATIONS) {
        /* read from the text, to detect a node that has a wrong version number */
        uint64_t version =
            lab_sim_parse_version(((ts_declarations_message_t *)message)->declarations->text);
        if (node->sim->observer.on_config_applied != NULL) {
            node->sim->observer.on_config_applied(node->sim->observer.context, node->index,
                                                  version);
        }
    }
}

static ts_error_t open_observer(ts_node_t *node)
{
    ts_task_create(node->tasks, "observer", handle_declarations, lab_sim_node_of(node));
    return TS_OK;
}

static const ts_task_ops_t mesh_ops = {open_mesh, NULL, NULL, NULL, NULL, NULL};
TS_REGISTER_PLUGIN(sim_mesh, TS_PLUGIN_TASK, "mesh", 2, &mesh_ops, "simulated frames")
static const ts_task_ops_t observer_ops = {open_observer, NULL, NULL, NULL, NULL, NULL};
TS_REGISTER_PLUGIN(sim_watch, TS_PLUGIN_TASK, "observer", 7, &observer_ops,
                   "reports configuration changes to the simulator")
