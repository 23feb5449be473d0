/**
 * Bytes between nodes over nng.
 *
 * The sockets are raw request and reply sockets, used in one direction: one reply socket listens
 * and receives, and one request socket for each peer dials it and only sends. Raw sockets match no
 * replies and send nothing again. A request socket hands a message to its connection when that has
 * written the one before, and refuses further ones when its buffer is full. Others of libnng 1.5.2
 * that would fit don't: a bus socket drops messages without a word once 16 wait for a connection,
 * and a push socket may be offered a connection that has ended (docs/FAILURES.md).
 */
#include "tealspar/peer_link.h"

#include <glib.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"

/* What waits for a peer at most: in its socket, and before that for its connection, where the
 * oldest is dropped first. */
#define BUFFER_MESSAGES 64U
#define RECEIVE_BUFFER_MESSAGES 256
#define MESSAGE_BYTES_MAX (16UL * 1024UL * 1024UL)
#define RECONNECT_LEAST_MS 100
#define RECONNECT_MOST_MS 1000
/*
 * A dial that has no connection after this is given up for a new one: the opening packet was lost,
 * in a cut or at a full queue, and the kernel repeats it at gaps that double, so that a node which
 * is reachable again would not be reached for as long as it was cut off.
 */
#define DIAL_MOST_US (1ULL * TS_US_PER_S)
/* Longer than a round of the messages that go on between two nodes; a seed would keep a connection
 * to each node that has ever asked it. */
#define IDLE_CLOSE_US (8ULL * TS_US_PER_S)
/* The id that a request carries in its header: the highest bit marks the end of the header. */
#define REQUEST_ID 0x80000000U

typedef struct peer {
    char *address;
    nng_socket socket;
    uint32_t dial; /* which opening of a socket this is; names it on nng's threads */
    bool is_open;
    ts_time_us_t dialled_us;   /* when its socket was opened, or lost its connection */
    ts_time_us_t connected_us; /* when its connection came up */
    int pipe;                  /* nng's number of its connection; 0: it has none */
    GQueue waiting;            /* of nng_msg, until it is connected */
    bool is_dropping;          /* the last message found no room */
    ts_time_us_t used_us;
} peer_t;

/* What nng's threads tell the loop. */
typedef enum arrival_kind {
    ARRIVAL_MESSAGE,      /* a message from a peer */
    ARRIVAL_CONNECTED,    /* a dial has a connection */
    ARRIVAL_DISCONNECTED, /* it has none any more */
    ARRIVAL_FAILED        /* a message could not be received */
} arrival_kind_t;

typedef struct arrival {
    arrival_kind_t kind;
    nng_msg *message; /* owned; only with ARRIVAL_MESSAGE */
    uint32_t dial;    /* with the others */
    int pipe;         /* which connection; the end of an old one may be told after a new one */
    int status;       /* nng's error, with ARRIVAL_FAILED */
} arrival_t;

/* Context of a dial on nng's threads; lives as long as the link, which is as long as the process.
 */
typedef struct dial {
    ts_peer_link_t *link;
    uint32_t id;
} dial_t;

struct ts_peer_link {
    char *local_ip;
    nng_socket receiver;
    nng_aio *receive;
    GAsyncQueue *arrived; /* of arrival_t; filled by nng's threads */
    uv_async_t wake;
    GHashTable *peers; /* address -> peer_t, owned */
    GHashTable *dials; /* number of the dial -> peer_t that it is for, while it is open */
    uint32_t dials_made;
    unsigned buffer; /* see BUFFER_MESSAGES */
    ts_peer_received_t received;
    ts_peer_lost_t lost; /* NULL: nobody wants to know */
    void *context;
};

/* -- On nng's threads -------------------------------------------------------------------------- */

static void tell_loop(ts_peer_link_t *link, arrival_t arrival)
{
    g_async_queue_push(link->arrived, g_memdup2(&arrival, sizeof(arrival)));
    uv_async_send(&link->wake);
}

static void on_received(void *data)
{
    ts_peer_link_t *link = data;
    int status = nng_aio_result(link->receive);
    if (status == NNG_ECLOSED)
        return;
    if (status != 0) { // the loop receives on
        tell_loop(link, (arrival_t){.kind = ARRIVAL_FAILED, .status = status});
        return;
    }
    nng_msg *message = nng_aio_get_msg(link->receive);
    tell_loop(link, (arrival_t){.kind = ARRIVAL_MESSAGE, .message = message});
    nng_recv_aio(link->receiver, link->receive);
}

static void on_pipe(nng_pipe pipe, nng_pipe_ev event, void *data)
{
    dial_t *dial = data;
    bool is_up = event == NNG_PIPE_EV_ADD_POST;
    arrival_kind_t kind = is_up ? ARRIVAL_CONNECTED : ARRIVAL_DISCONNECTED;
    tell_loop(dial->link, (arrival_t){.kind = kind, .dial = dial->id, .pipe = nng_pipe_id(pipe)});
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

static void watch_pipes(ts_peer_link_t *link, peer_t *peer)
{
    dial_t *dial = g_new0(dial_t, 1);
    dial->link = link;
    dial->id = peer->dial = ++link->dials_made;
    g_hash_table_insert(link->dials, GUINT_TO_POINTER(peer->dial), peer);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_ADD_POST, on_pipe, dial);
    nng_pipe_notify(peer->socket, NNG_PIPE_EV_REM_POST, on_pipe, dial);
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
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_LEAST_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MOST_MS);
    peer->is_open = true;
    peer->dialled_us = ts_clock_now_us();
    ts_count(TS_COUNTER_MESH_PEERS, 1);
    watch_pipes(link, peer);
    char *url = g_strdup_printf("tcp://%s;%s", link->local_ip, peer->address);
    int status = nng_dial(peer->socket, url, NULL, NNG_FLAG_NONBLOCK);
    g_free(url);
    if (status != 0)
        close_peer(link, peer);
    return status == 0;
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

/* -- Sending ----------------------------------------------------------------------------------- */

/* A line for the first message of a series that found no room. */
static void note_dropped(peer_t *peer, const char *reason)
{
    ts_count(TS_COUNTER_MESH_MESSAGES_DROPPED, 1);
    ts_count_error(TS_E_PEER_LOST);
    if (!peer->is_dropping)
        ts_log(TS_EVENT_FRAMES_LOST, "peer=%s reason=%s waiting=%u", peer->address, reason,
               peer->waiting.length);
    peer->is_dropping = true;
}

/* Takes the message. */
static void send_now(peer_t *peer, nng_msg *message)
{
    size_t length = nng_msg_len(message);
    if (nng_sendmsg(peer->socket, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        note_dropped(peer, "full");
        return;
    }
    peer->is_dropping = false;
    ts_count(TS_COUNTER_MESH_MESSAGES_SENT, 1);
    ts_count(TS_COUNTER_MESH_BYTES_SENT, (int64_t)length);
}

/* Takes the message. */
static void let_wait(const ts_peer_link_t *link, peer_t *peer, nng_msg *message)
{
    g_queue_push_tail(&peer->waiting, message);
    if (peer->waiting.length > link->buffer) {
        nng_msg_free(g_queue_pop_head(&peer->waiting));
        note_dropped(peer, "not_connected");
    }
}

static bool is_dial_stuck(const peer_t *peer, ts_time_us_t now_us)
{
    return peer->is_open && peer->pipe == 0 && now_us - peer->dialled_us > DIAL_MOST_US;
}

void ts_peer_link_send(ts_peer_link_t *link, const char *address, const uint8_t *bytes,
                       size_t length)
{
    peer_t *peer = find_peer(link, address);
    nng_msg *message = NULL;
    peer->used_us = ts_clock_now_us();
    if (is_dial_stuck(peer, peer->used_us))
        close_peer(link, peer);
    if (!open_peer(link, peer) || nng_msg_alloc(&message, length) != 0) {
        note_dropped(peer, "not_opened");
        return;
    }
    memcpy(nng_msg_body(message), bytes, length);
    if (nng_msg_header_append_u32(message, REQUEST_ID) != 0) {
        nng_msg_free(message);
        note_dropped(peer, "no_memory");
        return;
    }
    if (peer->pipe != 0)
        send_now(peer, message);
    else
        let_wait(link, peer, message);
}

static void lose_connection(const ts_peer_link_t *link, peer_t *peer)
{
    peer->pipe = 0;
    peer->dialled_us = ts_clock_now_us(); /* nng dials again by itself */
    if (link->lost != NULL)
        link->lost(link->context, peer->address);
}

static void set_connected(peer_t *peer, int pipe)
{
    peer->pipe = pipe;
    peer->connected_us = ts_clock_now_us();
}

static void take_connection(ts_peer_link_t *link, const arrival_t *arrival)
{
    peer_t *peer = g_hash_table_lookup(link->dials, GUINT_TO_POINTER(arrival->dial));
    if (peer == NULL)
        return; /* closed meanwhile */
    bool is_up = arrival->kind == ARRIVAL_CONNECTED;
    if (is_up ? peer->pipe != 0 : peer->pipe == arrival->pipe)
        lose_connection(link, peer); // its end is told now, or has not been told yet
    if (is_up)
        set_connected(peer, arrival->pipe);
    while (peer->pipe != 0 && peer->waiting.length > 0)
        send_now(peer, g_queue_pop_head(&peer->waiting));
}

static void take_message(const ts_peer_link_t *link, nng_msg *message)
{
    ts_count(TS_COUNTER_MESH_MESSAGES_RECEIVED, 1);
    ts_count(TS_COUNTER_MESH_BYTES_RECEIVED, (int64_t)nng_msg_len(message));
    link->received(link->context, nng_msg_body(message), nng_msg_len(message));
    nng_msg_free(message);
}

static void receive_on(ts_peer_link_t *link, int status)
{
    ts_count_error(TS_E_PROTOCOL);
    ts_log(TS_EVENT_FRAME_REFUSED, "error=receive reason=%s", nng_strerror(status));
    nng_recv_aio(link->receiver, link->receive);
}

static void take_arrived(uv_async_t *wake)
{
    ts_peer_link_t *link = wake->data;
    arrival_t *arrival = NULL;
    while ((arrival = g_async_queue_try_pop(link->arrived)) != NULL) {
        if (arrival->kind == ARRIVAL_MESSAGE)
            take_message(link, arrival->message);
        else if (arrival->kind == ARRIVAL_FAILED)
            receive_on(link, arrival->status);
        else
            take_connection(link, arrival);
        g_free(arrival);
    }
}

/* -- Life -------------------------------------------------------------------------------------- */

void ts_peer_link_on_lost(ts_peer_link_t *link, ts_peer_lost_t lost)
{
    link->lost = lost;
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
        if (now_us - peer->used_us <= IDLE_CLOSE_US)
            continue;
        g_hash_table_iter_steal(&iterator);
        free_peer(link, peer);
    }
}

ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address, ts_peer_received_t received,
                                  void *context)
{
    ts_peer_link_t *link = g_new0(ts_peer_link_t, 1);
    link->local_ip = g_strndup(address, (gsize)(strrchr(address, ':') - address));
    link->peers = g_hash_table_new(g_str_hash, g_str_equal);
    link->dials = g_hash_table_new(NULL, NULL);
    link->arrived = g_async_queue_new();
    link->received = received;
    link->context = context;
    link->buffer = BUFFER_MESSAGES;
    uv_async_init(loop, &link->wake, take_arrived);
    link->wake.data = link;
    if (nng_rep0_open_raw(&link->receiver) != 0) {
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
