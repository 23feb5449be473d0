/**
 * Message transport between nodes over nng.
 *
 * Uses raw request and reply sockets in one direction only: a reply socket listens and receives,
 * and one request socket per peer dials and sends. Raw sockets neither match replies nor
 * retransmit. A request socket passes a message to its connection once the previous one is written,
 * and returns an error when its buffer is full. Other socket types of libnng 1.5.2 are unsuitable:
 * a bus socket silently drops messages once 16 are queued for a connection, and a push socket may
 * be offered a connection that has already ended (docs/FAILURES.md).
 */
#include "tealspar/peer_link.h"

#include <glib.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"

/* Default size of each queue of a peer: the send buffer of its socket, and the queue of messages
 * that wait for its connection, which drops the oldest first. */
#define BUFFER_MESSAGES 64U
#define RECEIVE_BUFFER_MESSAGES 256
#define MESSAGE_BYTES_MAX (16UL * 1024UL * 1024UL)
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 1000
/*
 * A dial without a connection after this time is replaced at the next send. Its SYN was lost in a
 * network partition or at a full accept queue, and the kernel retransmits it at intervals that
 * double, so that reaching the peer after the partition could take as long as the partition lasted.
 */
#define DIAL_TIMEOUT_US (1ULL * TS_US_PER_S)
/* A connection is closed this long after the last send to the peer; longer than the interval
 * between regular messages to the same peer. Without a limit, a seed node would keep a connection
 * to every node that has ever joined through it. */
#define IDLE_TIMEOUT_US (8ULL * TS_US_PER_S)
/* Request id in the message header; the highest bit marks the end of the header. */
#define REQUEST_ID 0x80000000U

typedef struct peer {
    char *address;
    nng_socket socket;
    uint32_t dial; /* number of the current dial; identifies it on nng's threads */
    bool is_open;
    ts_time_us_t dialed_us;    /* when its socket was opened or lost its connection */
    ts_time_us_t connected_us; /* when its current connection was established */
    int pipe;                  /* nng's id of its connection; 0: not connected */
    GQueue waiting;            /* of nng_msg, sent once connected */
    bool is_dropping; /* the last message was dropped; limits logging to the first of a series */
    ts_time_us_t used_us; /* when a message to it was last sent, queued or dropped */
} peer_t;

/* Events passed from nng's threads to the loop. */
typedef enum event_type {
    EVENT_MESSAGE,       /* a message was received */
    EVENT_CONNECTED,     /* a dial has established a connection */
    EVENT_DISCONNECTED,  /* the connection of a dial has ended */
    EVENT_RECEIVE_FAILED /* receiving a message failed */
} event_type_t;

typedef struct event {
    event_type_t type;
    nng_msg *message; /* owned; only with EVENT_MESSAGE */
    uint32_t dial;    /* only with EVENT_CONNECTED and EVENT_DISCONNECTED */
    int pipe;   /* nng's id of the connection; an old one's end may be reported after a new one */
    int status; /* nng's error; only with EVENT_RECEIVE_FAILED */
} event_t;

/* Callback context of a dial on nng's threads; never freed, like the link itself. */
typedef struct dial {
    ts_peer_link_t *link;
    uint32_t id;
} dial_t;

struct ts_peer_link {
    char *local_ip;
    nng_socket receiver;
    nng_aio *receive;
    GAsyncQueue *events; /* of event_t; pushed by nng's threads */
    uv_async_t wake;
    GHashTable *peers; /* address -> peer_t, owned */
    GHashTable *dials; /* number of an open dial -> its peer_t */
    uint32_t last_dial;
    unsigned buffer; /* see BUFFER_MESSAGES */
    ts_peer_received_cb_t received;
    ts_peer_disconnected_cb_t disconnected; /* may be NULL */
    void *context;
};

/* -- On nng's threads -------------------------------------------------------------------------- */

static void post_event(ts_peer_link_t *link, event_t event)
{
    g_async_queue_push(link->events, g_memdup2(&event, sizeof(event)));
    uv_async_send(&link->wake);
}

static void on_received(void *data)
{
    ts_peer_link_t *link = data;
    int status = nng_aio_result(link->receive);
    if (status == NNG_ECLOSED)
        return;
    if (status != 0) { // the loop starts the next receive
        post_event(link, (event_t){.type = EVENT_RECEIVE_FAILED, .status = status});
        return;
    }
    nng_msg *message = nng_aio_get_msg(link->receive);
    post_event(link, (event_t){.type = EVENT_MESSAGE, .message = message});
    nng_recv_aio(link->receiver, link->receive);
}

static void on_connection_event(nng_pipe pipe, nng_pipe_ev event, void *data)
{
    dial_t *dial = data;
    bool is_up = event == NNG_PIPE_EV_ADD_POST;
    event_type_t type = is_up ? EVENT_CONNECTED : EVENT_DISCONNECTED;
    post_event(dial->link, (event_t){.type = type, .dial = dial->id, .pipe = nng_pipe_id(pipe)});
}

/* -- Peers ------------------------------------------------------------------------------------- */

static void close_peer(ts_peer_link_t *link, peer_t *peer)
{
    if (!peer->is_open)
        return;
    peer->is_open = false;
    peer->pipe = 0;
    g_hash_table_remove(link->dials, GUINT_TO_POINTER(peer->dial));
    nng_close(peer->socket);
    ts_count(TS_COUNTER_MESH_PEERS, -1);
}

static void free_message(gpointer message)
{
    nng_msg_free(message);
}

static void free_peer(ts_peer_link_t *link, peer_t *peer)
{
    close_peer(link, peer);
    g_queue_clear_full(&peer->waiting, free_message);
    g_free(peer->address);
    g_free(peer);
}

static void watch_connections(ts_peer_link_t *link, peer_t *peer)
{
    dial_t *dial = g_new0(dial_t, 1);
    dial->link = link;
    dial->id = peer->dial = ++link->last_dial;
    g_hash_table_insert(link->dials, GUINT_TO_POINTER(peer->dial), peer);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_ADD_POST, on_connection_event, dial);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_REM_POST, on_connection_event, dial);
}

static bool open_peer(ts_peer_link_t *link, peer_t *peer)
{
    if (peer->is_open) {
        return true;
    }
    if (nng_req0_open_raw(&peer->socket) != 0) {
        return false;
    }
    nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, (int)link->buffer);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
    peer->is_open = true;
    peer->dialed_us = ts_clock_now_us();
    ts_count(TS_COUNTER_MESH_PEERS, 1);
    watch_connections(link, peer);
    char *url = g_strdup_printf("tcp://%s;%s", link->local_ip, peer->address);
    int status = nng_dial(peer->socket, url, NULL, NNG_FLAG_NONBLOCK);
    g_free(url);
    if (status != 0)
        close_peer(link, peer);
    return status == 0;
}

static peer_t *find_or_add_peer(ts_peer_link_t *link, const char *address)
{
    peer_t *peer = g_hash_table_lookup(link->peers, address);
    if (peer == NULL) {
        peer = g_new0(peer_t, 1);
        peer->address = g_strdup(address);
        g_hash_table_insert(link->peers, peer->address, peer);
    }
    return peer;
}

/* -- Sending ----------------------------------------------------------------------------------- */

/* Counts a dropped message, and logs the first of a series. */
static void count_dropped(peer_t *peer, const char *reason)
{
    ts_count(TS_COUNTER_MESH_MESSAGES_DROPPED, 1);
    ts_count_error(TS_E_PEER_LOST);
    if (!peer->is_dropping)
        ts_log(TS_EVENT_FRAMES_LOST, "peer=%s reason=%s waiting=%u", peer->address, reason,
               peer->waiting.length);
    peer->is_dropping = true;
}

/* Takes ownership of the message. */
static void send_now(peer_t *peer, nng_msg *message)
{
    size_t length = nng_msg_len(message);
    if (nng_sendmsg(peer->socket, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        count_dropped(peer, "full");
        return;
    }
    peer->is_dropping = false;
    ts_count(TS_COUNTER_MESH_MESSAGES_SENT, 1);
    ts_count(TS_COUNTER_MESH_BYTES_SENT, (int64_t)length);
}

/* Takes ownership of the message. */
static void enqueue(const ts_peer_link_t *link, peer_t *peer, nng_msg *message)
{
    g_queue_push_tail(&peer->waiting, message);
    if (peer->waiting.length > link->buffer) {
        nng_msg_free(g_queue_pop_head(&peer->waiting));
        count_dropped(peer, "not_connected");
    }
}

static bool has_dial_timed_out(const peer_t *peer, ts_time_us_t now_us)
{
    return peer->is_open && peer->pipe == 0 && now_us - peer->dialed_us > DIAL_TIMEOUT_US;
}

void ts_peer_link_send(ts_peer_link_t *link, const char *address, const uint8_t *bytes,
                       size_t length)
{
    peer_t *peer = find_or_add_peer(link, address);
    nng_msg *message = NULL;
    peer->used_us = ts_clock_now_us();
    if (has_dial_timed_out(peer, peer->used_us))
        close_peer(link, peer);
    if (!open_peer(link, peer) || nng_msg_alloc(&message, length) != 0) {
        count_dropped(peer, "not_opened");
        return;
    }
    memcpy(nng_msg_body(message), bytes, length);
    if (nng_msg_header_append_u32(message, REQUEST_ID) != 0) {
        nng_msg_free(message);
        count_dropped(peer, "no_memory");
        return;
    }
    if (peer->pipe != 0)
        send_now(peer, message);
    else
        enqueue(link, peer, message);
}

static void handle_disconnect(const ts_peer_link_t *link, peer_t *peer)
{
    peer->pipe = 0;
    peer->dialed_us = ts_clock_now_us(); /* nng redials automatically */
    if (link->disconnected != NULL)
        link->disconnected(link->context, peer->address);
}

static void set_connected(peer_t *peer, int pipe)
{
    peer->pipe = pipe;
    peer->connected_us = ts_clock_now_us();
}

static void handle_connection_event(ts_peer_link_t *link, const event_t *event)
{
    peer_t *peer = g_hash_table_lookup(link->dials, GUINT_TO_POINTER(event->dial));
    if (peer == NULL)
        return; /* this dial was closed in the meantime */
    bool is_up = event->type == EVENT_CONNECTED;
    if (is_up ? peer->pipe != 0 : peer->pipe == event->pipe)
        handle_disconnect(link, peer); // the end of a replaced connection may be reported later
    if (is_up)
        set_connected(peer, event->pipe);
    while (peer->pipe != 0 && peer->waiting.length > 0)
        send_now(peer, g_queue_pop_head(&peer->waiting));
}

static void deliver_message(const ts_peer_link_t *link, nng_msg *message)
{
    ts_count(TS_COUNTER_MESH_MESSAGES_RECEIVED, 1);
    ts_count(TS_COUNTER_MESH_BYTES_RECEIVED, (int64_t)nng_msg_len(message));
    link->received(link->context, nng_msg_body(message), nng_msg_len(message));
    nng_msg_free(message);
}

static void handle_receive_error(ts_peer_link_t *link, int status)
{
    ts_count_error(TS_E_PROTOCOL);
    ts_log(TS_EVENT_FRAME_REFUSED, "error=receive reason=%s", nng_strerror(status));
    nng_recv_aio(link->receiver, link->receive);
}

static void process_events(uv_async_t *wake)
{
    ts_peer_link_t *link = wake->data;
    event_t *event = NULL;
    while ((event = g_async_queue_try_pop(link->events)) != NULL) {
        if (event->type == EVENT_MESSAGE)
            deliver_message(link, event->message);
        else if (event->type == EVENT_RECEIVE_FAILED)
            handle_receive_error(link, event->status);
        else
            handle_connection_event(link, event);
        g_free(event);
    }
}

/* -- Public interface -------------------------------------------------------------------------- */

void ts_peer_link_set_disconnect_callback(ts_peer_link_t *link,
                                          ts_peer_disconnected_cb_t disconnected)
{
    link->disconnected = disconnected;
}

void ts_peer_link_set_buffer(ts_peer_link_t *link, unsigned messages)
{
    link->buffer = messages;
}

ts_time_us_t ts_peer_link_connected_us(const ts_peer_link_t *link, const char *address)
{
    const peer_t *peer = g_hash_table_lookup(link->peers, address);
    return peer == NULL || peer->pipe == 0 ? 0 : peer->connected_us;
}

void ts_peer_link_reset(ts_peer_link_t *link, const char *address)
{
    peer_t *peer = g_hash_table_lookup(link->peers, address);
    if (peer == NULL)
        return;
    g_hash_table_steal(link->peers, address);
    free_peer(link, peer);
}

void ts_peer_link_close(ts_peer_link_t *link)
{
    nng_close(link->receiver);
}

void ts_peer_link_sweep(ts_peer_link_t *link, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, link->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        peer_t *peer = value;
        if (now_us - peer->used_us <= IDLE_TIMEOUT_US)
            continue;
        g_hash_table_iter_steal(&iterator);
        free_peer(link, peer);
    }
}

ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address,
                                  ts_peer_received_cb_t received, void *context)
{
    ts_peer_link_t *link = g_new0(ts_peer_link_t, 1);
    link->local_ip = g_strndup(address, (gsize)(strrchr(address, ':') - address));
    link->peers = g_hash_table_new(g_str_hash, g_str_equal);
    link->dials = g_hash_table_new(NULL, NULL);
    link->events = g_async_queue_new();
    link->received = received;
    link->context = context;
    link->buffer = BUFFER_MESSAGES;
    uv_async_init(loop, &link->wake, process_events);
    link->wake.data = link;
    if (nng_rep0_open_raw(&link->receiver) != 0) {
        return NULL; /* nothing is freed: the process exits */
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
