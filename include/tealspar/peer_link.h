/**
 * Bytes between nodes over nng: one bus socket to receive, one for each peer to send, dialled
 * when first needed and closed when idle. nng's threads reach the loop through a queue. Messages
 * may be lost, whenever a connection ends or a peer takes no more.
 */
#ifndef TEALSPAR_PEER_LINK_H
#define TEALSPAR_PEER_LINK_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "tealspar/clock.h"

typedef struct ts_peer_link ts_peer_link_t;
typedef void (*ts_peer_received_t)(void *context, const uint8_t *bytes, size_t length);
/** The connection to the peer at `address` has ended, and not because this node closed it. */
typedef void (*ts_peer_lost_t)(void *context, const char *address);

/** Listens on "IP:port"; NULL when that fails. `received` runs on the loop. */
ts_peer_link_t *ts_peer_link_open(uv_loop_t *loop, const char *address, ts_peer_received_t received,
                                  void *context);
/** Who is told of connections that ended; `lost` runs on the loop with the link's context. */
void ts_peer_link_on_lost(ts_peer_link_t *link, ts_peer_lost_t lost);
/** How many messages may wait for a peer, 64 unless it is set; before anything is sent. */
void ts_peer_link_set_buffer(ts_peer_link_t *link, unsigned messages);
/** Sends a message, or drops it when the peer cannot take more. Never blocks. */
void ts_peer_link_send(ts_peer_link_t *link, const char *address, const uint8_t *bytes,
                       size_t length);
/** Since when there is a connection to a peer; 0: there is none. */
ts_time_us_t ts_peer_link_connected_us(const ts_peer_link_t *link, const char *address);
/** Ends the connection to a peer; the next message opens another. */
void ts_peer_link_reset(ts_peer_link_t *link, const char *address);
/** Stops listening and ends the connections that others have to this node. */
void ts_peer_link_close(ts_peer_link_t *link);
/** Closes connections that were not used for a while. */
void ts_peer_link_sweep(ts_peer_link_t *link, ts_time_us_t now_us);

#endif
