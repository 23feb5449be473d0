/**
 * Acknowledgement of frames between peers, to detect connections that lose data without being
 * reset. Frames to a peer are numbered, and each frame in the other direction carries the last
 * number received. If an acknowledgement is overdue, the connection is reset, and the next frame
 * uses a new one.
 */
#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"

/* A frame requests an acknowledgement if earlier frames have been unacknowledged for longer than
 * this; a frame with gossip always does. */
#define REQUEST_AFTER_US (500 * TS_US_PER_MS)
/* Time after the request of an acknowledgement until it is overdue: several round trips between
 * regions. */
#define ACK_TIMEOUT_US (350 * TS_US_PER_MS)

typedef struct ack_state {
    uint32_t last_sent;             /* number of the last frame to the peer */
    uint32_t last_acknowledged;     /* last of these that the peer has acknowledged */
    uint32_t last_received;         /* number of the last frame from the peer */
    ts_time_us_t unacknowledged_us; /* begin of the wait for an ack of the last frame, restarted by
                                       each partial ack; 0: all frames are acknowledged */
    ts_time_us_t requested_us;      /* when an ack was requested; 0: no request is outstanding */
    ts_transit_t transit;           /* of frames from the peer */
} ack_state_t;

void ts_peers_init_acks(ts_peers_t *peers)
{
    peers->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static ack_state_t *find_or_add_ack_state(ts_peers_t *peers, const char *address)
{
    ack_state_t *ack = g_hash_table_lookup(peers->acks, address);
    if (ack != NULL)
        return ack;
    ack = g_new0(ack_state_t, 1);
    g_hash_table_insert(peers->acks, g_strdup(address), ack);
    return ack;
}

/* Resets a connection that was established before the overdue ack was requested. */
static void reset_if_overdue(ts_peers_t *peers, const char *address, ack_state_t *ack,
                             ts_time_us_t now_us)
{
    ts_time_us_t connected_us = ts_peer_link_connected_us(peers->link, address);
    bool is_overdue = ack->requested_us != 0 && now_us - ack->requested_us > ACK_TIMEOUT_US;
    bool is_new = connected_us > ack->requested_us; // the frame was queued until it was established
    if (!is_overdue || connected_us == 0)
        return;
    ack->requested_us = 0;
    ack->unacknowledged_us = 0;
    if (is_new)
        return;
    ts_count(TS_COUNTER_PEERS_UNHEARD, 1);
    ts_peer_link_reset(peers->link, address);
}

void ts_peers_number_frame(ts_peers_t *peers, const char *address, TsPeer__Frame *frame)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ack_state_t *ack = find_or_add_ack_state(peers, address);
    reset_if_overdue(peers, address, ack, now_us);
    bool needs_ack =
        ack->unacknowledged_us != 0 && now_us - ack->unacknowledged_us > REQUEST_AFTER_US;
    frame->number = ++ack->last_sent;
    frame->heard = ack->last_received;
    frame->wants_echo |= frame->gossip.len > 0 || needs_ack;
    if (ack->unacknowledged_us == 0)
        ack->unacknowledged_us = now_us;
    if (frame->wants_echo && ack->requested_us == 0)
        ack->requested_us = now_us;
}

bool ts_peers_process_ack(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ack_state_t *ack = find_or_add_ack_state(peers, frame->address);
    ack->last_received = frame->number;
    bool is_new_ack = frame->heard > ack->last_acknowledged && frame->heard <= ack->last_sent;
    if (is_new_ack) {
        ts_contact_note_ack(peers->contact, frame->address, now_us); // both directions work
        ts_peers_update_home_eligibility(peers);
        ack->last_acknowledged = frame->heard;
        ack->unacknowledged_us = frame->heard == ack->last_sent ? 0 : now_us;
        ack->requested_us = 0;
    }
    return frame->wants_echo;
}

ts_time_us_t ts_peers_frame_delay(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    ack_state_t *ack = find_or_add_ack_state(peers, frame->address);
    return ts_transit_add(&ack->transit, frame->clock, frame->sent_ms * TS_US_PER_MS,
                          ts_clock_now_us());
}

uint32_t ts_peers_frames_sent(ts_peers_t *peers, const char *address)
{
    return find_or_add_ack_state(peers, address)->last_sent;
}

void ts_peers_send_ack(ts_peers_t *peers, const char *address)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    ts_peers_send(peers, address, &frame);
}

void ts_peers_send_probe(ts_peers_t *peers, const char *address)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.wants_echo = true;
    ts_peers_send(peers, address, &frame);
}

static gboolean is_not_member(gpointer address, gpointer ack, gpointer ctx)
{
    const ts_peers_t *peers = ctx;
    return !g_hash_table_contains(peers->distances, address);
}

void ts_peers_prune_acks(ts_peers_t *peers)
{
    g_hash_table_foreach_remove(peers->acks, is_not_member, peers);
}
