/** Serialization of typed messages into frames, the unit that nodes exchange, and back. */
#ifndef TEALSPAR_WIRE_H
#define TEALSPAR_WIRE_H

#include "tealspar/messages.h"

/** Maximum size of a frame; larger ones are refused. */
#define TS_FRAME_BYTES_MAX (32U * 1024U * 1024U)

/** Identity of a node, included in every frame that it sends. */
typedef struct ts_wire_identity {
    const char *cluster;
    const char *name;
    const char *address;
    uint64_t incarnation;
} ts_wire_identity_t;

typedef struct ts_wire_frame ts_wire_frame_t;
/**
 * Builds a frame of messages from the node `identity`. The frame refers to the messages and the
 * identity, which must outlive it.
 */
ts_wire_frame_t *ts_wire_frame_build(const ts_wire_identity_t *identity,
                                     ts_message_t *const *messages, size_t count);
/** Size of the packed frame in bytes. */
size_t ts_wire_frame_size(const ts_wire_frame_t *frame);
/** Writes the packed frame to `bytes`, which must have room for ts_wire_frame_size() bytes. */
void ts_wire_frame_pack(const ts_wire_frame_t *frame, uint8_t *bytes);
void ts_wire_frame_free(ts_wire_frame_t *frame);

/** Called for each message of a frame, ordered by message type. Takes ownership. */
typedef void (*ts_wire_message_cb_t)(void *context, ts_message_t *message);
/**
 * Unpacks a frame from another node. `identity`: this node. Returns TS_OK, or TS_E_PROTOCOL for
 * malformed bytes, another protocol version or cluster, or a sender without a name or with this
 * node's name; then no callback was called.
 */
ts_error_t ts_wire_frame_unpack(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                size_t length, ts_wire_message_cb_t receiver, void *context);

/** Called once per frame, before its messages; the strings are valid during the call. */
typedef void (*ts_wire_sender_cb_t)(void *context, const ts_wire_identity_t *sender);
/**
 * Unpacks a frame like ts_wire_frame_unpack(), with the same results. Calls `sender`, unless it is
 * NULL, once before the messages of an accepted frame.
 */
ts_error_t ts_wire_frame_receive(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                 size_t length, ts_wire_sender_cb_t sender,
                                 ts_wire_message_cb_t receiver, void *context);

#endif
