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

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tealspar/address.h"
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
/* While a link closes, connections that were accepted meanwhile are looked for this often. */
#define CLOSE_CHECK_US (20 * G_TIME_SPAN_MILLISECOND)
/* Request id in the message header; the highest bit marks the end of the header. */
#define REQUEST_ID 0x80000000U

typedef struct dial dial_t;

typedef struct peer {
    char *address;
    nng_socket socket;
    dial_t *dial;              /* its current dial, owned; NULL: its socket is not open */
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

/* Callback context of a dial on nng's threads; freed once its socket is closed. */
struct dial {
    ts_peer_link_t *link;
    uint32_t id;
};

struct ts_peer_link {
    char *local_ip;
    struct sockaddr_storage local; /* where it listens */
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
    /* Incoming connections; they are refused once the link closes. */
    GMutex incoming_lock;
    GCond incoming_changed;
    unsigned incoming;
    bool is_refusing;
    bool is_closing;
    uv_work_t close_work;
    ts_peer_closed_cb_t closed; /* may be NULL */
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
    if (status == NNG_ECLOSED || status == NNG_ECANCELED)
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

/* Counts incoming connections. */
static void on_incoming_event(nng_pipe pipe, nng_pipe_ev event, void *data)
{
    ts_peer_link_t *link = data;
    g_mutex_lock(&link->incoming_lock);
    bool is_refused = link->is_refusing && event == NNG_PIPE_EV_ADD_PRE;
    if (event == NNG_PIPE_EV_ADD_PRE)
        link->incoming++;
    else
        link->incoming--;
    g_cond_signal(&link->incoming_changed);
    g_mutex_unlock(&link->incoming_lock);
    if (is_refused)
        nng_pipe_close(pipe);
}

/* -- Peers ------------------------------------------------------------------------------------- */

/* Releases the dial of a peer whose socket is closed: nng_close waits for the callbacks of its
 * connections. */
static void release_dial(ts_peer_link_t *link, peer_t *peer)
{
    g_hash_table_remove(link->dials, GUINT_TO_POINTER(peer->dial->id));
    g_free(peer->dial);
    peer->dial = NULL;
    peer->pipe = 0;
    ts_count(TS_COUNTER_MESH_PEERS, -1);
}

static void close_peer(ts_peer_link_t *link, peer_t *peer)
{
    if (peer->dial == NULL)
        return;
    nng_close(peer->socket);
    release_dial(link, peer);
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
    dial_t *dial = peer->dial = g_new0(dial_t, 1);
    dial->link = link;
    dial->id = ++link->last_dial;
    g_hash_table_insert(link->dials, GUINT_TO_POINTER(dial->id), peer);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_ADD_POST, on_connection_event, dial);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_REM_POST, on_connection_event, dial);
}

static bool open_peer(ts_peer_link_t *link, peer_t *peer)
{
    if (peer->dial != NULL) {
        return true;
    }
    if (nng_req0_open_raw(&peer->socket) != 0) {
        return false;
    }
    nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, (int)link->buffer);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
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
    return peer->dial != NULL && peer->pipe == 0 && now_us - peer->dialed_us > DIAL_TIMEOUT_US;
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
    if (link->is_closing)
        return;
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
    // a callback may close the link
    while (!link->is_closing && (event = g_async_queue_try_pop(link->events)) != NULL) {
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

/* -- Opening and closing ----------------------------------------------------------------------- */

static void free_event(gpointer data)
{
    event_t *event = data;
    if (event->message != NULL)
        nng_msg_free(event->message);
    g_free(event);
}

static void free_link(ts_peer_link_t *link)
{
    g_hash_table_destroy(link->peers);
    g_hash_table_destroy(link->dials);
    g_async_queue_unref(link->events);
    g_cond_clear(&link->incoming_changed);
    g_mutex_clear(&link->incoming_lock);
    g_free(link->local_ip);
    g_free(link);
}

static void on_wake_closed(uv_handle_t *wake)
{
    ts_peer_link_t *link = wake->data;
    ts_peer_closed_cb_t closed = link->closed;
    void *context = link->context;
    free_link(link);
    if (closed != NULL)
        closed(context);
}

/* Whether the local address of a socket is the one at which the link listens. */
static bool is_local_address(const ts_peer_link_t *link, const struct sockaddr_storage *address)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
    const struct sockaddr_in *own_v4 = (const struct sockaddr_in *)&link->local;
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
    const struct sockaddr_in6 *own_v6 = (const struct sockaddr_in6 *)&link->local;
    if (address->ss_family != link->local.ss_family)
        return false;
    if (address->ss_family == AF_INET)
        return v4->sin_port == own_v4->sin_port &&
               (v4->sin_addr.s_addr == own_v4->sin_addr.s_addr ||
                own_v4->sin_addr.s_addr == htonl(INADDR_ANY));
    return address->ss_family == AF_INET6 && v6->sin6_port == own_v6->sin6_port &&
           (IN6_ARE_ADDR_EQUAL(&v6->sin6_addr, &own_v6->sin6_addr) ||
            IN6_IS_ADDR_UNSPECIFIED(&own_v6->sin6_addr));
}

/* Whether a descriptor is the listening socket or an incoming connection of the link. */
static bool belongs_to_receiver(const ts_peer_link_t *link, int fd)
{
    struct sockaddr_storage local = {0};
    socklen_t size = sizeof(local);
    return getsockname(fd, (struct sockaddr *)&local, &size) == 0 && is_local_address(link, &local);
}

/* Works on a duplicate, as nng may close the descriptor at any time. */
static void shut_down_if_incoming(const ts_peer_link_t *link, int fd)
{
    if (!belongs_to_receiver(link, fd))
        return;
    int duplicate = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0)
        return;
    if (belongs_to_receiver(link, duplicate))
        shutdown(duplicate, SHUT_RDWR);
    close(duplicate);
}

/* Shuts down the listening socket too, as peers dial again while their connections end. */
static void shut_down_incoming(const ts_peer_link_t *link)
{
    GDir *directory = g_dir_open("/proc/self/fd", 0, NULL);
    const char *name = NULL;
    if (directory == NULL)
        return;
    while ((name = g_dir_read_name(directory)) != NULL)
        shut_down_if_incoming(link, (int)strtol(name, NULL, 10));
    g_dir_close(directory);
}

/*
 * Ends the incoming connections from outside of nng. If libnng 1.5.2 closes a connection while a
 * message is being read from it, that read is never completed, and nng_close of every socket in the
 * process waits for it forever. A connection that ends by itself is closed correctly.
 */
static void end_incoming(ts_peer_link_t *link)
{
    g_mutex_lock(&link->incoming_lock);
    link->is_refusing = true;
    while (link->incoming > 0) {
        g_mutex_unlock(&link->incoming_lock);
        shut_down_incoming(link);
        g_mutex_lock(&link->incoming_lock);
        if (link->incoming > 0)
            g_cond_wait_until(&link->incoming_changed, &link->incoming_lock,
                              g_get_monotonic_time() + CLOSE_CHECK_US);
    }
    g_mutex_unlock(&link->incoming_lock);
}

/* Runs on a thread of the pool, as it waits for nng's threads. Messages are received until all
 * connections have ended. */
static void close_sockets(uv_work_t *work)
{
    ts_peer_link_t *link = work->data;
    GHashTableIter iterator;
    gpointer value = NULL;
    end_incoming(link);
    nng_aio_stop(link->receive); // waits for its callback, which can't receive again
    nng_close(link->receiver);
    nng_aio_free(link->receive);
    g_hash_table_iter_init(&iterator, link->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const peer_t *peer = value;
        if (peer->dial != NULL)
            nng_close(peer->socket);
    }
}

/* From here on, no thread of nng refers to the link. */
static void finish_close(uv_work_t *work, int status)
{
    ts_peer_link_t *link = work->data;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, link->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        peer_t *peer = value;
        g_hash_table_iter_steal(&iterator);
        if (peer->dial != NULL)
            release_dial(link, peer);
        free_peer(link, peer);
    }
    uv_close((uv_handle_t *)&link->wake, on_wake_closed);
}

void ts_peer_link_close(ts_peer_link_t *link, ts_peer_closed_cb_t closed)
{
    link->is_closing = true;
    link->closed = closed;
    link->close_work.data = link;
    uv_queue_work(link->wake.loop, &link->close_work, close_sockets, finish_close);
}

/* Opens the receiving socket; on failure, nothing is left open. */
static bool open_receiver(ts_peer_link_t *link, const char *address)
{
    if (nng_rep0_open_raw(&link->receiver) != 0)
        return false;
    nng_socket_set_int(link->receiver, NNG_OPT_RECVBUF, RECEIVE_BUFFER_MESSAGES);
    nng_socket_set_size(link->receiver, NNG_OPT_RECVMAXSZ, MESSAGE_BYTES_MAX);
    nng_pipe_notify(link->receiver, NNG_PIPE_EV_ADD_PRE, on_incoming_event, link);
    nng_pipe_notify(link->receiver, NNG_PIPE_EV_REM_POST, on_incoming_event, link);
    char *url = g_strdup_printf("tcp://%s", address);
    bool is_open = nng_aio_alloc(&link->receive, on_received, link) == 0 &&
                   nng_listen(link->receiver, url, NULL, 0) == 0;
    g_free(url);
    if (!is_open) {
        nng_close(link->receiver);
        nng_aio_free(link->receive);
    }
    return is_open;
}

static ts_peer_link_t *create_link(const char *address, ts_peer_received_cb_t received,
                                   void *context)
{
    ts_peer_link_t *link = g_new0(ts_peer_link_t, 1);
    link->local_ip = g_strndup(address, (gsize)(strrchr(address, ':') - address));
    (void)ts_address_parse(address, &link->local);
    g_mutex_init(&link->incoming_lock);
    g_cond_init(&link->incoming_changed);
    link->peers = g_hash_table_new(g_str_hash, g_str_equal);
    link->dials = g_hash_table_new(NULL, NULL);
    link->events = g_async_queue_new_full(free_event);
    link->received = received;
    link->context = context;
    link->buffer = BUFFER_MESSAGES;
    link->wake.data = link;
    return link;
}

ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address,
                                  ts_peer_received_cb_t received, void *context)
{
    ts_peer_link_t *link = create_link(address, received, context);
    if (!open_receiver(link, address)) {
        free_link(link);
        return NULL;
    }
    uv_async_init(loop, &link->wake, process_events);
    nng_recv_aio(link->receiver, link->receive); // from here on, nng's threads wake the loop
    return link;
}
