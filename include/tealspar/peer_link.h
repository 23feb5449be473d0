/**
 * Message transport between nodes over nng: one socket receives from all peers, and one socket per
 * peer sends; it is dialed on first use and closed when idle. Messages that nng's threads receive
 * are queued for the event loop. Delivery is not reliable: messages are lost when a connection
 * ends or the send queue of a peer is full.
 */
#ifndef TEALSPAR_PEER_LINK_H
#define TEALSPAR_PEER_LINK_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "tealspar/clock.h"

typedef struct ts_peer_link ts_peer_link_t;
/** Called with each received message; `bytes` are valid during the callback only. */
typedef void (*ts_peer_received_cb_t)(void *context, const uint8_t *bytes, size_t length);
/** Called when the connection to the peer at `address` ended without being closed by this node. */
typedef void (*ts_peer_disconnected_cb_t)(void *context, const char *address);
/** Called once a link is closed; see ts_peer_link_close. */
typedef void (*ts_peer_closed_cb_t)(void *context);

/** Listens on "IP:port"; returns NULL on failure. `received` runs on the loop. */
ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address,
                                  ts_peer_received_cb_t received, void *context);
/** Sets the callback for ended connections; it runs on the loop with the link's context. */
void ts_peer_link_set_disconnect_callback(ts_peer_link_t *link,
                                          ts_peer_disconnected_cb_t disconnected);
/** Sets the size of each peer's queues in messages (default 64); call before the first send. */
void ts_peer_link_set_buffer(ts_peer_link_t *link, unsigned messages);
/**
 * Sends a message, or queues it until the peer is connected. Never blocks. When a queue is full,
 * the new message is dropped if the peer is connected, otherwise the oldest queued one.
 */
void ts_peer_link_send(ts_peer_link_t *link, const char *address, const uint8_t *bytes,
                       size_t length);
/** When the current connection to a peer was established; 0: not connected. */
ts_time_us_t ts_peer_link_connected_us(const ts_peer_link_t *link, const char *address);
/** Closes the connection to a peer and drops its queued messages; the next send reconnects. */
void ts_peer_link_reset(ts_peer_link_t *link, const char *address);
/**
 * Closes the link and all its connections; queued messages are dropped in both directions. No
 * callback runs after the call but `closed` (may be NULL), with the link's context: it runs on the
 * loop once the link is freed and no thread refers to the loop any more. The link must not be used
 * after the call, which may come from one of its callbacks.
 */
void ts_peer_link_close(ts_peer_link_t *link, ts_peer_closed_cb_t closed);
/** Closes connections to peers to which nothing was sent for 8 s; to be called periodically. */
void ts_peer_link_sweep(ts_peer_link_t *link, ts_time_us_t now_us);

#endif
