/**
 * Whether peers hear this node: a connection may go silent without a reset. Frames to a peer are
 * numbered; each frame back tells the last number heard. When that doesn't come although it is due,
 * the connection is given up, and the next frame goes over a new one.
 */
#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"

/* An echo is asked for when something unheard is older than this. */
#define UNHEARD_US (500 * TS_US_PER_MS)
/* An echo that is due for so long does not come: several round trips between regions. */
#define SILENT_US (350 * TS_US_PER_MS)

typedef struct echo {
    uint32_t sent;           /* number of the last frame to it */
    uint32_t acknowledged;   /* the last of them that it said it heard */
    uint32_t heard;          /* number of the last frame from it */
    ts_time_us_t unheard_us; /* since when some frame is not acknowledged; 0: all are */
    ts_time_us_t asked_us;   /* since when an echo is due; 0: none is */
} echo_t;

void ts_peers_open_echoes(ts_peers_t *peers)
{
    peers->echoes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static echo_t *find_echo(ts_peers_t *peers, const char *address)
{
    echo_t *echo = g_hash_table_lookup(peers->echoes, address);
    if (echo != NULL)
        return echo;
    echo = g_new0(echo_t, 1);
    g_hash_table_insert(peers->echoes, g_strdup(address), echo);
    return echo;
}

/* Gives up a connection that has stood since before the echo became due. */
static void reset_if_silent(ts_peers_t *peers, const char *address, echo_t *echo,
                            ts_time_us_t now_us)
{
    ts_time_us_t connected_us = ts_peer_link_connected_us(peers->link, address);
    bool is_due = echo->asked_us != 0 && now_us - echo->asked_us > SILENT_US;
    bool is_new = connected_us > echo->asked_us; // the frame waited for it
    if (!is_due || connected_us == 0)
        return;
    echo->asked_us = 0;
    echo->unheard_us = 0;
    if (is_new)
        return;
    ts_count(TS_COUNTER_PEERS_UNHEARD, 1);
    ts_peer_link_reset(peers->link, address);
}

void ts_peers_mark_frame(ts_peers_t *peers, const char *address, TsPeer__Frame *frame)
{
    ts_time_us_t now_us = ts_clock_now_us();
    echo_t *echo = find_echo(peers, address);
    reset_if_silent(peers, address, echo, now_us);
    bool is_old = echo->unheard_us != 0 && now_us - echo->unheard_us > UNHEARD_US;
    frame->number = ++echo->sent;
    frame->heard = echo->heard;
    frame->wants_echo |= frame->gossip.len > 0 || is_old;
    if (echo->unheard_us == 0)
        echo->unheard_us = now_us;
    if (frame->wants_echo && echo->asked_us == 0)
        echo->asked_us = now_us;
}

bool ts_peers_note_frame(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    ts_time_us_t now_us = ts_clock_now_us();
    echo_t *echo = find_echo(peers, frame->address);
    echo->heard = frame->number;
    bool is_news = frame->heard > echo->acknowledged && frame->heard <= echo->sent;
    if (is_news) {
        ts_contact_note(peers->contact, frame->address, now_us); // it hears this node, and is heard
        ts_peers_check_standing(peers);
        echo->acknowledged = frame->heard;
        echo->unheard_us = frame->heard == echo->sent ? 0 : now_us;
        echo->asked_us = 0;
    }
    return frame->wants_echo;
}

uint32_t ts_peers_frames_sent(ts_peers_t *peers, const char *address)
{
    return find_echo(peers, address)->sent;
}

void ts_peers_send_echo(ts_peers_t *peers, const char *address)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    ts_peers_send(peers, address, &frame);
}

void ts_peers_call(ts_peers_t *peers, const char *address)
{
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    frame.wants_echo = true;
    ts_peers_send(peers, address, &frame);
}

static gboolean is_stranger(gpointer address, gpointer echo, gpointer ctx)
{
    const ts_peers_t *peers = ctx;
    return !g_hash_table_contains(peers->distances, address);
}

void ts_peers_forget_echoes(ts_peers_t *peers)
{
    g_hash_table_foreach_remove(peers->echoes, is_stranger, peers);
}
