/**
 * The mesh: messages between nodes (tealspar/peer_link.h). What tasks send to a peer in one turn of
 * the loop leaves as one frame.
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

/* Frames that may wait for a peer; one a turn of the loop. */
#define BUFFER_FRAMES 256
#define HOUSEKEEPING_MS 1000

typedef struct peer {
    uint64_t id;
    char *name;
    char *address;
    uint64_t incarnation; /* of the last frame from it; 0: none came yet */
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
    GHashTable *peers; /* &id -> peer_t, owned */
    GPtrArray *dirty;  /* peers with something pending */
    uv_timer_t housekeeping;
} mesh;

/* ---- peers ---- */

static peer_t *find_peer(uint64_t id)
{
    return g_hash_table_lookup(mesh.peers, &id);
}

static peer_t *learn_peer(const char *name, const char *address)
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

static void drop_pending(peer_t *peer)
{
    for (guint i = 0; i < peer->pending->len; i++) {
        ts_message_t *message = g_ptr_array_index(peer->pending, i);
        message->destroy(message);
    }
    g_ptr_array_set_size(peer->pending, 0);
}

/* Sends what waits for a peer as one frame. */
static void flush_peer(peer_t *peer)
{
    ts_wire_frame_t *frame = ts_wire_frame_build(
        &mesh.identity, (ts_message_t *const *)peer->pending->pdata, peer->pending->len);
    size_t length = ts_wire_frame_size(frame);
    uint8_t *bytes = g_malloc(length);
    ts_wire_frame_pack(frame, bytes);
    ts_wire_frame_free(frame);
    ts_peer_link_send(mesh.link, peer->address, bytes, length);
    g_free(bytes);
    drop_pending(peer);
}

static void flush_peers(void *state)
{
    for (guint i = 0; i < mesh.dirty->len; i++)
        flush_peer(g_ptr_array_index(mesh.dirty, i));
    g_ptr_array_set_size(mesh.dirty, 0);
}

static void keep_for(peer_t *peer, ts_message_t *message)
{
    if (peer == NULL) {
        /* the kernel destroys the message */
        ts_count_error(TS_E_PEER_LOST);
        ts_log(TS_EVENT_FRAMES_LOST, "peer=- reason=unknown_peer type=%d", (int)message->type);
        return;
    }
    message->kept = true;
    if (peer->pending->len == 0) {
        g_ptr_array_add(mesh.dirty, peer);
    }
    g_ptr_array_add(peer->pending, message);
}

static void send_gossip(ts_gossip_message_t *message)
{
    ts_count(TS_COUNTER_CONTROL_BYTES_SENT, (int64_t)message->length);
    keep_for(learn_peer(message->peer_name, message->peer_address), &message->head);
}

static void send_document(ts_document_message_t *message)
{
    ts_count(TS_COUNTER_CONTROL_BYTES_SENT, (int64_t)message->length);
    keep_for(learn_peer(message->peer_name, message->peer_address), &message->head);
}

/* ---- delivering ---- */

/*
 * Whoever sends a frame can be replied to: a node that has just started is asked by others before
 * membership has told it who they are.
 */
static void hear_sender(void *context, const ts_wire_identity_t *sender)
{
    peer_t *peer = find_peer(ts_hash_text(sender->name));
    if (peer != NULL && sender->incarnation < peer->incarnation)
        return; /* a late frame of an earlier life */
    learn_peer(sender->name, sender->address)->incarnation = sender->incarnation;
}

static void deliver(void *context, ts_message_t *message)
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

static void take_bytes(void *context, const uint8_t *bytes, size_t length)
{
    ts_error_t error =
        ts_wire_frame_receive(&mesh.identity, bytes, length, hear_sender, deliver, NULL);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_MESH_REFUSED, 1);
        ts_count_error(error);
        ts_log(TS_EVENT_FRAME_REFUSED, "error=%s bytes=%zu", ts_error_name(error), length);
    }
}

static void take_lost(void *context, const char *address)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mesh.peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const peer_t *peer = value;
        if (strcmp(peer->address, address) != 0)
            continue;
        ts_task_send(mesh.front, &ts_peer_message(peer->id, peer->name)->head);
        ts_task_send(mesh.membership, &ts_peer_message(peer->id, peer->name)->head);
    }
}

static void take_view(const ts_view_t *view)
{
    for (size_t i = 0; i < view->count; i++) {
        if (!view->members[i].is_self) {
            learn_peer(view->members[i].name, view->members[i].address);
        }
    }
}

static void handle_message(void *state, ts_message_t *message)
{
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        keep_for(find_peer(((ts_subrequests_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        keep_for(find_peer(((ts_subreply_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_CANCEL:
        keep_for(find_peer(((ts_cancel_message_t *)message)->peer), message);
        break;
    case TS_MESSAGE_GOSSIP:
        send_gossip((ts_gossip_message_t *)message);
        break;
    case TS_MESSAGE_DOCUMENT:
        send_document((ts_document_message_t *)message);
        break;
    case TS_MESSAGE_VIEW:
        take_view(((ts_view_message_t *)message)->view);
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
 * nng starts its threads at the first call and they inherit the affinity of the caller. On one core
 * they wake each other without crossing cores, which takes less processor time a message; but they
 * can't leave that core when others take it, so an operator chooses it.
 */
static ts_error_t open_link(ts_node_t *node)
{
    const ts_settings_t *settings = node->settings;
    cpu_set_t all;
    cpu_set_t one;
    pthread_t self = pthread_self();
    bool is_known = pthread_getaffinity_np(self, sizeof(all), &all) == 0;
    int core = settings->cpu != NULL ? *settings->cpu : -1;
    if (is_known && core >= 0) {
        CPU_ZERO(&one);
        CPU_SET(core, &one);
        pthread_setaffinity_np(self, sizeof(one), &one);
    }
    mesh.link = ts_peer_link_open(node->loop, settings->peers, take_bytes, &mesh);
    if (is_known)
        pthread_setaffinity_np(self, sizeof(all), &all);
    if (mesh.link == NULL)
        return TS_E_LISTEN;
    ts_peer_link_set_buffer(mesh.link, BUFFER_FRAMES);
    ts_peer_link_set_disconnect_callback(mesh.link, take_lost);
    return TS_OK;
}

static ts_error_t open_mesh(ts_node_t *node)
{
    mesh.identity.cluster = node->settings->cluster;
    mesh.identity.name = node->settings->name;
    mesh.identity.address = node->settings->advertise;
    mesh.identity.incarnation = node->incarnation;
    mesh.peers = g_hash_table_new(g_int64_hash, g_int64_equal);
    mesh.dirty = g_ptr_array_new();
    mesh.task = ts_task_create(node->tasks, "mesh", handle_message, &mesh);
    return open_link(node);
}

static ts_error_t start_mesh(ts_node_t *node)
{
    mesh.front = ts_task_find(node->tasks, "front");
    mesh.broker = ts_task_find(node->tasks, "broker");
    mesh.membership = ts_task_find(node->tasks, "membership");
    mesh.configuration = ts_task_find(node->tasks, "configuration");
    ts_task_on_drained(mesh.task, flush_peers);
    uv_timer_init(node->loop, &mesh.housekeeping);
    uv_timer_start(&mesh.housekeeping, close_idle_peers, HOUSEKEEPING_MS, HOUSEKEEPING_MS);
    return TS_OK;
}

static void describe_mesh(ts_node_t *node, json_t *status)
{
    json_object_set_new(status, "connections_to_nodes",
                        json_integer(ts_counter_value(TS_COUNTER_MESH_PEERS)));
}

static const ts_task_ops_t mesh_ops = {open_mesh, start_mesh, NULL, NULL, describe_mesh, NULL};
/* After the broker and before the front: what the front sends leaves before the local broker works.
 */
TS_REGISTER_PLUGIN(mesh_plugin, TS_PLUGIN_TASK, "mesh", 2, &mesh_ops,
                   "carries messages between nodes over nng")
