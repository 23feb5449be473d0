/** The simulated mesh: frames of the real codec between simulated nodes. */
#include <string.h>

#include "sim_internal.h"
#include "tealspar/hash.h"
#include "tealspar/wire.h"

#define PERCENT 100.0
/* A frame that meets a cut is lost, or held and tried again, as TCP would. */
#define HELD_PART 0.5
#define HELD_US (500ULL * TS_US_PER_MS)
#define LOST_NOTICE_US 2000ULL

/* A frame on its way. */
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

static ts_wire_identity_t identify(const lab_sim_node_t *node)
{
    ts_wire_identity_t identity = {node->settings.cluster, node->settings.name,
                                   node->settings.advertise, node->node.incarnation};
    return identity;
}

/* ---- delivering ---- */

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

static void take_frame(void *context)
{
    frame_t *frame = context;
    lab_sim_node_t *to = &frame->sim->nodes[frame->to];
    ts_wire_identity_t identity = identify(to);
    ts_wire_frame_unpack(&identity, frame->bytes, frame->length, deliver_message, to);
    free_frame(frame);
}

/* Arrives at the machine: a paused process finds it when it wakes up. */
static void arrive_frame(void *context)
{
    frame_t *frame = context;
    lab_sim_t *sim = frame->sim;
    const lab_sim_node_t *from = &sim->nodes[frame->from];
    const lab_sim_node_t *to = &sim->nodes[frame->to];
    if (!lab_sim_is_connected(sim, from, to)) {
        if (lab_sim_uniform(sim) < HELD_PART) {
            lab_sim_schedule(sim, LAB_SIM_WORLD, HELD_US, arrive_frame, free_frame, frame);
        } else {
            free_frame(frame);
        }
        return;
    }
    if (!to->is_running) {
        free_frame(frame);
        return;
    }
    lab_sim_schedule(sim, (int)frame->to, 0, take_frame, free_frame, frame);
}

/* ---- sending ---- */

static ts_time_us_t draw_delay(lab_sim_t *sim, const lab_sim_node_t *from, const lab_sim_node_t *to)
{
    double ms = sim->config.network_ms + (from->zone == to->zone ? 0 : sim->config.zone_ms);
    ms *= 1.0 + sim->config.jitter * lab_sim_uniform(sim);
    return (ts_time_us_t)(ms * (double)TS_US_PER_MS);
}

static void post_frame(lab_sim_node_t *from, const lab_sim_node_t *to, const uint8_t *bytes,
                       size_t length)
{
    lab_sim_t *sim = from->sim;
    frame_t *frame = g_new0(frame_t, 1);
    frame->sim = sim;
    frame->from = from->index;
    frame->to = to->index;
    frame->bytes = g_memdup2(bytes, length);
    frame->length = length;
    lab_sim_schedule(sim, LAB_SIM_WORLD, draw_delay(sim, from, to), arrive_frame, free_frame,
                     frame);
}

static void send_pending(lab_sim_node_t *node, uint64_t peer, GPtrArray *messages)
{
    lab_sim_t *sim = node->sim;
    const lab_sim_node_t *to = lab_sim_find_node(sim, peer);
    ts_wire_identity_t identity = identify(node);
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
    post_frame(node, to, bytes, length);
    if (lab_sim_uniform(sim) * PERCENT < sim->config.double_percent) {
        post_frame(node, to, bytes, length);
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

/* Hash tables have no order that is the same in every run: peers are sent to by their id. */
static gint compare_ids(gconstpointer left, gconstpointer right)
{
    uint64_t left_id = *(const uint64_t *)left;
    uint64_t right_id = *(const uint64_t *)right;
    return left_id < right_id ? -1 : left_id > right_id;
}

static void flush(void *state)
{
    lab_sim_node_t *node = state;
    GList *peers = g_list_sort(g_hash_table_get_keys(node->pending), compare_ids);
    for (GList *item = peers; item != NULL; item = item->next) {
        GPtrArray *messages = g_hash_table_lookup(node->pending, item->data);
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

static void keep_for(lab_sim_node_t *node, uint64_t peer, ts_message_t *message)
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
        keep_for(node, ((ts_subrequests_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        keep_for(node, ((ts_subreply_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_CANCEL:
        keep_for(node, ((ts_cancel_message_t *)message)->peer, message);
        break;
    case TS_MESSAGE_GOSSIP:
        keep_for(node, ts_hash_text(((ts_gossip_message_t *)message)->peer_name), message);
        break;
    case TS_MESSAGE_DOCUMENT:
        keep_for(node, ts_hash_text(((ts_document_message_t *)message)->peer_name), message);
        break;
    default:
        break;
    }
}

/* ---- lost connections ---- */

typedef struct notice {
    lab_sim_t *sim;
    unsigned to;
    uint64_t lost;
} notice_t;

static void give_notice(void *context)
{
    notice_t *notice = context;
    const lab_sim_node_t *to = &notice->sim->nodes[notice->to];
    const lab_sim_node_t *lost = lab_sim_find_node(notice->sim, notice->lost);
    ts_task_send(ts_task_find(to->node.tasks, "front"),
                 &ts_peer_lost_message(notice->lost, lost->settings.name)->head);
    ts_task_send(ts_task_find(to->node.tasks, "membership"),
                 &ts_peer_lost_message(notice->lost, lost->settings.name)->head);
    g_free(notice);
}

void lab_sim_tell_lost(lab_sim_t *sim, const lab_sim_node_t *lost)
{
    for (unsigned i = 0; i < sim->node_count; i++) {
        const lab_sim_node_t *node = &sim->nodes[i];
        if (node == lost || !node->is_running || !lab_sim_is_connected(sim, node, lost)) {
            continue;
        }
        notice_t *notice = g_new0(notice_t, 1);
        notice->sim = sim;
        notice->to = i;
        notice->lost = ts_hash_text(lost->settings.name);
        lab_sim_schedule(sim, (int)i, LOST_NOTICE_US, give_notice, g_free, notice);
    }
}

/* ---- the task ---- */

static ts_error_t open_mesh(ts_node_t *node)
{
    lab_sim_node_t *simulated = lab_sim_node_of(node);
    simulated->mesh = ts_task_create(node->tasks, "mesh", handle_message, simulated);
    ts_task_set_drained_callback(simulated->mesh, flush);
    return TS_OK;
}

/* Watches what is put in force, for the observer. */
static void watch_declarations(void *state, ts_message_t *message)
{
    lab_sim_node_t *node = state;
    if (message->type == TS_MESSAGE_DECLARATIONS) {
        /* by the text, so that a node that miscounts versions is found out */
        uint64_t version =
            lab_sim_version_of(((ts_declarations_message_t *)message)->declarations->text);
        if (node->sim->observer.configured != NULL) {
            node->sim->observer.configured(node->sim->observer.context, node->index, version);
        }
    }
}

static ts_error_t open_watch(ts_node_t *node)
{
    ts_task_create(node->tasks, "observer", watch_declarations, lab_sim_node_of(node));
    return TS_OK;
}

static const ts_task_ops_t mesh_ops = {open_mesh, NULL, NULL, NULL, NULL, NULL};
TS_REGISTER_PLUGIN(sim_mesh, TS_PLUGIN_TASK, "mesh", 2, &mesh_ops, "simulated frames")
static const ts_task_ops_t watch_ops = {open_watch, NULL, NULL, NULL, NULL, NULL};
TS_REGISTER_PLUGIN(sim_watch, TS_PLUGIN_TASK, "observer", 7, &watch_ops, "tells the simulation")
