/** Bytes between gateways over nng. */
#include "tealspar/peer_link.h"

#include <glib.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <string.h>

#include "tealspar/counters.h"

#define SEND_BUFFER_MESSAGES 64
#define RECEIVE_BUFFER_MESSAGES 256
#define MESSAGE_BYTES_MAX (16UL * 1024UL * 1024UL)
#define RECONNECT_LEAST_MS 100
#define RECONNECT_MOST_MS 1000
#define IDLE_CLOSE_US (30ULL * TS_US_PER_S)

typedef struct peer {
    char *address;
    nng_socket socket;
    bool is_open;
    ts_time_us_t used_us;
} peer_t;

struct ts_peer_link {
    char *local_ip;
    nng_socket receiver;
    nng_aio *receive;
    GAsyncQueue *arrived; /* of nng_msg; filled by nng's threads */
    uv_async_t wake;
    GHashTable *peers; /* address -> peer_t, owned */
    ts_peer_received_t received;
    void *context;
};

/* On nng's threads. */
static void on_received(void *data)
{
    ts_peer_link_t *link = data;
    if (nng_aio_result(link->receive) != 0) {
        return; /* the socket is closed */
    }
    g_async_queue_push(link->arrived, nng_aio_get_msg(link->receive));
    uv_async_send(&link->wake);
    nng_recv_aio(link->receiver, link->receive);
}

static void take_arrived(uv_async_t *wake)
{
    ts_peer_link_t *link = wake->data;
    nng_msg *message = NULL;
    while ((message = g_async_queue_try_pop(link->arrived)) != NULL) {
        ts_count(TS_COUNTER_MESH_MESSAGES_RECEIVED, 1);
        ts_count(TS_COUNTER_MESH_BYTES_RECEIVED, (int64_t)nng_msg_len(message));
        link->received(link->context, nng_msg_body(message), nng_msg_len(message));
        nng_msg_free(message);
    }
}

static void close_peer(peer_t *peer)
{
    if (peer->is_open) {
        peer->is_open = false;
        nng_close(peer->socket);
        ts_count(TS_COUNTER_MESH_PEERS, -1);
    }
}

static void free_peer(gpointer data)
{
    peer_t *peer = data;
    close_peer(peer);
    g_free(peer->address);
    g_free(peer);
}

static bool open_peer(const ts_peer_link_t *link, peer_t *peer)
{
    if (peer->is_open) {
        return true;
    }
    if (nng_push0_open(&peer->socket) != 0) {
        return false;
    }
    nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, SEND_BUFFER_MESSAGES);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_LEAST_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MOST_MS);
    char *url = g_strdup_printf("tcp://%s;%s", link->local_ip, peer->address);
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

static peer_t *find_peer(ts_peer_link_t *link, const char *address)
{
    peer_t *peer = g_hash_table_lookup(link->peers, address);
    if (peer == NULL) {
        peer = g_new0(peer_t, 1);
        peer->address = g_strdup(address);
        g_hash_table_insert(link->peers, peer->address, peer);
    }
    return peer;
}

void ts_peer_link_send(ts_peer_link_t *link, const char *address, const uint8_t *bytes,
                       size_t length)
{
    peer_t *peer = find_peer(link, address);
    nng_msg *message = NULL;
    peer->used_us = ts_clock_now_us();
    if (!open_peer(link, peer) || nng_msg_alloc(&message, length) != 0) {
        return;
    }
    memcpy(nng_msg_body(message), bytes, length);
    if (nng_sendmsg(peer->socket, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        ts_count_error(TS_E_PEER_LOST);
        return;
    }
    ts_count(TS_COUNTER_MESH_MESSAGES_SENT, 1);
    ts_count(TS_COUNTER_MESH_BYTES_SENT, (int64_t)length);
}

void ts_peer_link_reset(ts_peer_link_t *link, const char *address)
{
    g_hash_table_remove(link->peers, address);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer now_us)
{
    return *(const ts_time_us_t *)now_us - ((const peer_t *)value)->used_us > IDLE_CLOSE_US;
}

void ts_peer_link_sweep(ts_peer_link_t *link, ts_time_us_t now_us)
{
    g_hash_table_foreach_remove(link->peers, is_idle, &now_us);
}

ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address, ts_peer_received_t received,
                                  void *context)
{
    ts_peer_link_t *link = g_new0(ts_peer_link_t, 1);
    link->local_ip = g_strndup(address, (gsize)(strrchr(address, ':') - address));
    link->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    link->arrived = g_async_queue_new();
    link->received = received;
    link->context = context;
    uv_async_init(loop, &link->wake, take_arrived);
    link->wake.data = link;
    if (nng_pull0_open(&link->receiver) != 0) {
        return NULL; /* the process ends */
    }
    nng_socket_set_int(link->receiver, NNG_OPT_RECVBUF, RECEIVE_BUFFER_MESSAGES);
    nng_socket_set_size(link->receiver, NNG_OPT_RECVMAXSZ, MESSAGE_BYTES_MAX);
    char *url = g_strdup_printf("tcp://%s", address);
    int status = nng_listen(link->receiver, url, NULL, 0);
    g_free(url);
    if (status != 0 || nng_aio_alloc(&link->receive, on_received, link) != 0) {
        return NULL;
    }
    nng_recv_aio(link->receiver, link->receive);
    return link;
}
