/**
 * The mesh task: carries messages between nodes (tealspar/peer_link.h). All messages that tasks
 * send to a peer in one loop iteration are packed into one frame.
 */
#include <pthread.h>
#include <sched.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/node.h"
#include "tealspar/peer_link.h"
#include "tealspar/wire.h"

/* Frames that may be queued for a peer; each loop iteration adds at most one. */
#define SEND_BUFFER_FRAMES 256
#define SWEEP_INTERVAL_MS 1000

typedef struct peer {
    uint64_t id;
    char *name;
    char *address;
    uint64_t incarnation; /* from its last frame; 0: none received */
    GPtrArray *pending;   /* of ts_message_t, owned */
} peer_t;

static struct mesh {
    ts_task_t *task;
    ts_task_t *front;
    ts_task_t *broker;
    ts_task_t *membership;
    ts_task_t *configuration;
    ts_wire_identity_t identity;
    ts_peer_link_t *link;
    GHashTable *peers;         /* &id -> peer_t, owned */
    GPtrArray *peers_to_flush; /* peers with pending messages */
    uv_timer_t sweep_timer;
} mesh;

/* ---- peers ---- */

static peer_t *find_peer(uint64_t id)
{
    return g_hash_table_lookup(mesh.peers, &id);
}

/* Returns the peer with that name; adds it, or updates its address, if needed. */
static peer_t *add_or_update_peer(const char *name, const char *address)
{
    uint64_t id = ts_hash_text(name);
    peer_t *peer = find_peer(id);
    if (peer == NULL) {
        peer = g_new0(peer_t, 1);
        peer->id = id;
        peer->name = g_strdup(name);
        peer->address = g_strdup(address);
        peer->pending = g_ptr_array_new();
        g_hash_table_insert(mesh.peers, &peer->id, peer);
    } else if (strcmp(peer->address, address) != 0) {
        ts_peer_link_reset(mesh.link, peer->address); /* the machine was replaced */
        g_free(peer->address);
        peer->address = g_strdup(address);
    }
    return peer;
}

/* ---- sending ---- */

static void clear_pending(peer_t *peer)
{
    for (guint i = 0; i < peer->pending->len; i++) {
        ts_message_t *message = g_ptr_array_index(peer->pending, i);
        message->destroy(message);
    }
    g_ptr_array_set_size(peer->pending, 0);
}

/* Sends the pending messages of a peer as one frame. */
static void flush_peer(peer_t *peer)
{
    ts_subrequests_refuse_expired((ts_message_t *const *)peer->pending->pdata, peer->pending->len,
                                  mesh.front);
    ts_wire_frame_t *frame = ts_wire_frame_build(
        &mesh.identity, (ts_message_t *const *)peer->pending->pdata, peer->pending->len);
    size_t length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    ts_peer_link_send(mesh.link, peer->address, bytes, length);
    g_free(bytes);
    clear_pending(peer);
}

static void flush_peers(void *state)
{
    for (guint i = 0; i < mesh.peers_to_flush->len; i++)
        flush_peer(g_ptr_array_index(mesh.peers_to_flush, i));
    g_ptr_array_set_size(mesh.peers_to_flush, 0);
}

static void queue_message(peer_t *peer, ts_message_t *message)
{
    if (peer == NULL) {
        /* Not marked as retained, so the task kernel destroys the message. */
        ts_count_error(TS_E_PEER_LOST);
        ts_log(TS_EVENT_FRAMES_LOST, "peer=- reason=unknown_peer type=%d", (int)message->type);
        return;
    }
    message->is_retained = true;
    if (peer->pending->len == 0) {
        g_ptr_array_add(mesh.peers_to_flush, peer);
    }
    g_ptr_array_add(peer->pending, message);
}

static void send_gossip(ts_gossip_message_t *message)
{
    ts_count(TS_COUNTER_CONTROL_BYTES_SENT, (int64_t)message->length);
    queue_message(add_or_update_peer(message->peer_name, message->peer_address), &message->head);
}

static void send_document(ts_document_message_t *message)
{
    ts_count(TS_COUNTER_CONTROL_BYTES_SENT, (int64_t)message->length);
    queue_message(add_or_update_peer(message->peer_name, message->peer_address), &message->head);
}

/* ---- delivering ---- */

/*
 * Registers the sender of a frame, so that it can be replied to. A node that has just started gets
 * requests from nodes that are not yet in its membership view.
 */
static void register_sender(void *context, const ts_wire_identity_t *sender)
{
    peer_t *peer = find_peer(ts_hash_text(sender->name));
    if (peer != NULL && sender->incarnation < peer->incarnation)
        return; /* a delayed frame from before the sender's restart */
    add_or_update_peer(sender->name, sender->address)->incarnation = sender->incarnation;
}

static void deliver_message(void *context, ts_message_t *message)
{
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
    case TS_MESSAGE_CANCEL:
        ts_task_send(mesh.broker, message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        ts_task_send(mesh.front, message);
        break;
    case TS_MESSAGE_GOSSIP:
        ts_task_send(mesh.membership, message);
        break;
    case TS_MESSAGE_DOCUMENT:
        ts_task_send(mesh.configuration, message);
        break;
    default:
        message->destroy(message);
    }
}

static void receive_frame(void *context, const uint8_t *bytes, size_t length)
{
    ts_error_t error = ts_wire_frame_receive(&mesh.identity, bytes, length, register_sender,
                                             deliver_message, NULL);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_MESH_REFUSED, 1);
        ts_count_error(error);
        ts_log(TS_EVENT_FRAME_REFUSED, "error=%s bytes=%zu", ts_error_name(error), length);
    }
}

/* Reports a lost connection to the front and to membership, for each peer with that address. */
static void report_disconnect(void *context, const char *address)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mesh.peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const peer_t *peer = value;
        if (strcmp(peer->address, address) != 0)
            continue;
        ts_task_send(mesh.front, &ts_peer_lost_message(peer->id, peer->name)->head);
        ts_task_send(mesh.membership, &ts_peer_lost_message(peer->id, peer->name)->head);
    }
}

static void register_members(const ts_view_t *view)
{
    for (size_t i = 0; i < view->count; i++) {
        if (!view->members[i].is_self) {
            add_or_update_peer(view->members[i].name, view->members[i].address);
        }
    }
}

static void handle_message(void *state, ts_message_t *message)
{
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        queue_message(find_peer(((ts_subrequests_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        queue_message(find_peer(((ts_subreply_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_CANCEL:
        queue_message(find_peer(((ts_cancel_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_GOSSIP:
        send_gossip((ts_gossip_message_t *)message);
        break;
    case TS_MESSAGE_DOCUMENT:
        send_document((ts_document_message_t *)message);
        break;
    case TS_MESSAGE_VIEW:
        register_members(((ts_view_message_t *)message)->view);
        break;
    default:
        break;
    }
}

/* ---- the task ---- */

static void close_idle_peers(uv_timer_t *timer)
{
    ts_peer_link_sweep(mesh.link, ts_clock_now_us());
}

/*
 * nng starts its threads at the first call, and they inherit the caller's CPU affinity. Pinned to
 * one core they wake each other without crossing cores, which costs less CPU time per message. But
 * they cannot move away when other processes load that core, so pinning is the operator's choice
 * (setting `cpu`).
 */
static ts_error_t open_link(ts_node_t *node)
{
    const ts_settings_t *settings = node->settings;
    cpu_set_t previous_affinity;
    cpu_set_t pinned_affinity;
    pthread_t self = pthread_self();
    bool has_affinity =
        pthread_getaffinity_np(self, sizeof(previous_affinity), &previous_affinity) == 0;
    int core = settings->cpu != NULL ? *settings->cpu : -1;
    if (has_affinity && core >= 0) {
        CPU_ZERO(&pinned_affinity);
        CPU_SET(core, &pinned_affinity);
        pthread_setaffinity_np(self, sizeof(pinned_affinity), &pinned_affinity);
    }
    mesh.link = ts_peer_link_open(node->loop, settings->peers, receive_frame, &mesh);
    if (has_affinity)
        pthread_setaffinity_np(self, sizeof(previous_affinity), &previous_affinity);
    if (mesh.link == NULL)
        return TS_E_LISTEN;
    ts_peer_link_set_buffer(mesh.link, SEND_BUFFER_FRAMES);
    ts_peer_link_set_disconnect_callback(mesh.link, report_disconnect);
    return TS_OK;
}

static ts_error_t open_mesh(ts_node_t *node)
{
    mesh.identity.cluster = node->settings->cluster;
    mesh.identity.name = node->settings->name;
    mesh.identity.address = node->settings->advertise;
    mesh.identity.incarnation = node->incarnation;
    mesh.peers = g_hash_table_new(g_int64_hash, g_int64_equal);
    mesh.peers_to_flush = g_ptr_array_new();
    mesh.task = ts_task_create(node->tasks, "mesh", handle_message, &mesh);
    return open_link(node);
}

static ts_error_t start_mesh(ts_node_t *node)
{
    mesh.front = ts_task_find(node->tasks, "front");
    mesh.broker = ts_task_find(node->tasks, "broker");
    mesh.membership = ts_task_find(node->tasks, "membership");
    mesh.configuration = ts_task_find(node->tasks, "configuration");
    ts_task_set_drained_callback(mesh.task, flush_peers);
    uv_timer_init(node->loop, &mesh.sweep_timer);
    uv_timer_start(&mesh.sweep_timer, close_idle_peers, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
    return TS_OK;
}

static void describe_mesh(ts_node_t *node, json_t *status)
{
    json_object_set_new(status, "connections_to_nodes",
                        json_integer(ts_counter_value(TS_COUNTER_MESH_PEERS)));
}

static const ts_task_ops_t mesh_ops = {open_mesh, start_mesh, NULL, NULL, describe_mesh, NULL};
/*
 * Ordered after the broker and before the front: what the front sends leaves the node before the
 * local broker starts to work.
 */
TS_REGISTER_PLUGIN(mesh_plugin, TS_PLUGIN_TASK, "mesh", 2, &mesh_ops,
                   "carries messages between nodes over nng")
