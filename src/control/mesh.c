/**
 * The mesh: messages between nodes over nng. Each node receives on one pull socket and sends to
 * each peer on one push socket, dialled when first needed and closed when idle. What tasks send to
 * a peer in one turn of the loop leaves as one frame. nng's threads reach the loop by messages
 * only.
 */
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <pthread.h>
#include <sched.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/node.h"
#include "tealspar/wire.h"

#define SEND_BUFFER_FRAMES 256
#define RECEIVE_BUFFER_FRAMES 1024
#define RECONNECT_LEAST_MS 50
#define RECONNECT_MOST_MS 1000
#define IDLE_CLOSE_US (60ULL * TS_US_PER_S)
#define HOUSEKEEPING_MS 1000
#define RETRY_MS 20
/* Messages a peer that cannot be reached may have waiting; past that all are dropped. */
#define PENDING_MAX 10000U
#define CORES_FOR_PINNING 4

typedef struct peer {
    uint64_t id;
    char *name;
    char *address;
    nng_socket socket;
    bool is_open;
    GPtrArray *pending; /* of ts_message_t, owned */
    ts_time_us_t used_us;
} peer_t;

/* Bytes that nng's thread hands to the loop. */
typedef struct network_message {
    ts_message_t head;
    nng_msg *bytes;
} network_message_t;

static struct mesh {
    ts_task_t *task;
    ts_task_t *front;
    ts_task_t *broker;
    ts_task_t *membership;
    ts_task_t *configuration;
    ts_wire_identity_t identity;
    char *local_ip; /* this node's side of its connections to others */
    nng_socket receiver;
    nng_aio *receive;
    GHashTable *peers; /* &id -> peer_t, owned */
    GPtrArray *dirty;  /* peers with something pending */
    uv_timer_t retry;
    uv_timer_t housekeeping;
} mesh;

/* ---- receiving, on nng's threads ---- */

static void destroy_network(ts_message_t *message)
{
    nng_msg_free(((network_message_t *)message)->bytes);
    g_free(message);
}

static void on_received(void *unused)
{
    if (nng_aio_result(mesh.receive) != 0) {
        return; /* the socket is closed */
    }
    network_message_t *message = g_new0(network_message_t, 1);
    message->head.type = TS_MESSAGE_NETWORK;
    message->head.destroy = destroy_network;
    message->bytes = nng_aio_get_msg(mesh.receive);
    ts_task_send(mesh.task, &message->head);
    nng_recv_aio(mesh.receiver, mesh.receive);
}

static void on_pipe_removed(nng_pipe pipe, nng_pipe_ev event, void *peer_id)
{
    ts_peer_message_t *message = ts_peer_message((uint64_t)(uintptr_t)peer_id, "");
    ts_task_send(mesh.task, &message->head);
}

/* ---- peers ---- */

static peer_t *find_peer(uint64_t id)
{
    return g_hash_table_lookup(mesh.peers, &id);
}

static void close_peer(peer_t *peer)
{
    if (peer->is_open) {
        peer->is_open = false;
        nng_close(peer->socket);
        ts_count(TS_COUNTER_MESH_PEERS, -1);
    }
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
        close_peer(peer); /* the machine was replaced */
        g_free(peer->address);
        peer->address = g_strdup(address);
    }
    return peer;
}

static bool open_peer(peer_t *peer)
{
    if (peer->is_open) {
        return true;
    }
    if (nng_push0_open(&peer->socket) != 0) {
        return false;
    }
    char *url = g_strdup_printf("tcp://%s;%s", mesh.local_ip, peer->address);
    nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, SEND_BUFFER_FRAMES);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_LEAST_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MOST_MS);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_REM_POST, on_pipe_removed,
                    (void *)(uintptr_t)peer->id); // NOLINT(performance-no-int-to-ptr)
    int status = nng_dial(peer->socket, url, NULL, NNG_FLAG_NONBLOCK);
    g_free(url);
    if (status != 0) {
        nng_close(peer->socket);
        return false;
    }
    peer->is_open = true;
    ts_count(TS_COUNTER_MESH_PEERS, 1);
    return true;
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

static nng_msg *pack_pending(const peer_t *peer)
{
    ts_wire_frame_t *frame = ts_wire_frame_build(
        &mesh.identity, (ts_message_t *const *)peer->pending->pdata, peer->pending->len);
    nng_msg *bytes = NULL;
    if (nng_msg_alloc(&bytes, ts_wire_frame_size(frame)) == 0) {
        ts_wire_frame_pack(frame, nng_msg_body(bytes));
    }
    ts_wire_frame_free(frame);
    return bytes;
}

/* Sends what waits for a peer as one frame; false when its buffer is full. */
static bool flush_peer(peer_t *peer)
{
    if (!open_peer(peer)) {
        drop_pending(peer);
        return true;
    }
    nng_msg *bytes = pack_pending(peer);
    if (bytes == NULL) {
        return false;
    }
    size_t length = nng_msg_len(bytes);
    if (nng_sendmsg(peer->socket, bytes, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(bytes);
        if (peer->pending->len > PENDING_MAX) {
            drop_pending(peer);
            return true;
        }
        return false;
    }
    ts_count(TS_COUNTER_MESH_MESSAGES_SENT, 1);
    ts_count(TS_COUNTER_MESH_BYTES_SENT, (int64_t)length);
    drop_pending(peer);
    return true;
}

static void retry_flush(uv_timer_t *timer);

static void flush_peers(void *state)
{
    for (guint i = mesh.dirty->len; i > 0; i--) {
        if (flush_peer(g_ptr_array_index(mesh.dirty, i - 1))) {
            g_ptr_array_remove_index_fast(mesh.dirty, i - 1);
        }
    }
    if (mesh.dirty->len > 0 && !uv_is_active((uv_handle_t *)&mesh.retry)) {
        uv_timer_start(&mesh.retry, retry_flush, RETRY_MS, 0);
    }
}

/* Tries again what a full buffer has held back. */
static void retry_flush(uv_timer_t *timer)
{
    flush_peers(NULL);
}

static void keep_for(peer_t *peer, ts_message_t *message)
{
    if (peer == NULL) {
        return; /* a peer nobody knows: the kernel destroys the message */
    }
    message->kept = true;
    if (peer->pending->len == 0) {
        g_ptr_array_add(mesh.dirty, peer);
    }
    g_ptr_array_add(peer->pending, message);
    peer->used_us = ts_clock_now_us();
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
    case TS_MESSAGE_GOSSIP: {
        const ts_gossip_message_t *gossip = (const ts_gossip_message_t *)message;
        learn_peer(gossip->peer_name, gossip->peer_address);
        ts_task_send(mesh.membership, message);
        break;
    }
    case TS_MESSAGE_DOCUMENT:
        ts_task_send(mesh.configuration, message);
        break;
    default:
        message->destroy(message);
    }
}

static void take_network(const network_message_t *message)
{
    const uint8_t *bytes = nng_msg_body(message->bytes);
    size_t length = nng_msg_len(message->bytes);
    ts_error_t error = ts_wire_frame_unpack(&mesh.identity, bytes, length, deliver, NULL);
    ts_count(TS_COUNTER_MESH_MESSAGES_RECEIVED, 1);
    ts_count(TS_COUNTER_MESH_BYTES_RECEIVED, (int64_t)length);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_MESH_REFUSED, 1);
        ts_count_error(error);
    }
}

static void take_peer_lost(uint64_t id)
{
    const peer_t *peer = find_peer(id);
    if (peer == NULL || !peer->is_open) {
        return; /* closed by this node */
    }
    ts_task_send(mesh.front, &ts_peer_message(id, peer->name)->head);
    ts_task_send(mesh.membership, &ts_peer_message(id, peer->name)->head);
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
    case TS_MESSAGE_NETWORK:
        take_network((const network_message_t *)message);
        break;
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
    case TS_MESSAGE_PEER_LOST:
        take_peer_lost(((ts_peer_message_t *)message)->peer);
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
    ts_time_us_t now_us = ts_clock_now_us();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mesh.peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        peer_t *peer = value;
        if (peer->is_open && peer->pending->len == 0 && now_us - peer->used_us > IDLE_CLOSE_US) {
            close_peer(peer);
        }
    }
}

/*
 * nng starts its threads at the first call and they inherit the affinity of the caller. On one core
 * they wake each other without crossing cores, which costs several times less a message.
 */
static void pin_nng_threads(const ts_settings_t *settings)
{
    cpu_set_t all;
    cpu_set_t one;
    pthread_t self = pthread_self();
    if (pthread_getaffinity_np(self, sizeof(all), &all) != 0) {
        return;
    }
    int core = settings->cpu != NULL ? *settings->cpu : -1;
    if (settings->cpu == NULL && CPU_COUNT(&all) >= CORES_FOR_PINNING) {
        core = (int)(ts_hash_text(settings->name) % (uint64_t)CPU_COUNT(&all));
    }
    if (core >= 0) {
        CPU_ZERO(&one);
        CPU_SET(core, &one);
        pthread_setaffinity_np(self, sizeof(one), &one);
    }
    nng_aio_alloc(&mesh.receive, on_received, NULL);
    pthread_setaffinity_np(self, sizeof(all), &all);
}

static ts_error_t listen_for_peers(const ts_settings_t *settings)
{
    if (nng_pull0_open(&mesh.receiver) != 0) {
        return TS_E_LISTEN;
    }
    nng_socket_set_int(mesh.receiver, NNG_OPT_RECVBUF, RECEIVE_BUFFER_FRAMES);
    nng_socket_set_size(mesh.receiver, NNG_OPT_RECVMAXSZ, TS_FRAME_BYTES_MAX);
    char *url = g_strdup_printf("tcp://%s", settings->peers);
    int status = nng_listen(mesh.receiver, url, NULL, 0);
    g_free(url);
    return status == 0 ? TS_OK : TS_E_LISTEN;
}

static ts_error_t open_mesh(ts_node_t *node)
{
    mesh.identity.cluster = node->settings->cluster;
    mesh.identity.name = node->settings->name;
    mesh.identity.address = node->settings->advertise;
    mesh.local_ip = g_strndup(node->settings->peers,
                              (gsize)(strrchr(node->settings->peers, ':') - node->settings->peers));
    mesh.identity.incarnation = node->incarnation;
    mesh.peers = g_hash_table_new(g_int64_hash, g_int64_equal);
    mesh.dirty = g_ptr_array_new();
    mesh.task = ts_task_create(node->tasks, "mesh", handle_message, &mesh);
    pin_nng_threads(node->settings);
    return listen_for_peers(node->settings);
}

static ts_error_t start_mesh(ts_node_t *node)
{
    mesh.front = ts_task_find(node->tasks, "front");
    mesh.broker = ts_task_find(node->tasks, "broker");
    mesh.membership = ts_task_find(node->tasks, "membership");
    mesh.configuration = ts_task_find(node->tasks, "configuration");
    ts_task_on_drained(mesh.task, flush_peers);
    uv_timer_init(node->loop, &mesh.retry);
    uv_timer_init(node->loop, &mesh.housekeeping);
    uv_timer_start(&mesh.housekeeping, close_idle_peers, HOUSEKEEPING_MS, HOUSEKEEPING_MS);
    nng_recv_aio(mesh.receiver, mesh.receive);
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
