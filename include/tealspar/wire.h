/** Packing and unpacking between the typed messages and the frames that nodes exchange. */
#ifndef TEALSPAR_WIRE_H
#define TEALSPAR_WIRE_H

#include "tealspar/messages.h"

/** Bytes a frame may have; larger ones are refused. */
#define TS_FRAME_BYTES_MAX (32U * 1024U * 1024U)

/** Who speaks; put into every frame. */
typedef struct ts_wire_identity {
    const char *cluster;
    const char *name;
    const char *address;
    uint64_t incarnation;
} ts_wire_identity_t;

/** Packs messages into one frame. The array holds ts_message_t pointers and is not changed. */
typedef struct ts_wire_frame ts_wire_frame_t;
ts_wire_frame_t *ts_wire_frame_build(const ts_wire_identity_t *identity,
                                     ts_message_t *const *messages, size_t count);
/** Size of the packed frame. */
size_t ts_wire_frame_size(const ts_wire_frame_t *frame);
/** Writes the packed frame into `bytes`, which has room for its size. */
void ts_wire_frame_pack(const ts_wire_frame_t *frame, uint8_t *bytes);
void ts_wire_frame_free(ts_wire_frame_t *frame);

/** Takes the messages of a frame, one by one, in the order of their kinds. Takes ownership. */
typedef void (*ts_wire_receiver_t)(void *context, ts_message_t *message);
/**
 * Unpacks a frame from another node. Returns TS_OK, or TS_E_PROTOCOL for what is not a frame of
 * this protocol and cluster; then nothing was delivered.
 */
ts_error_t ts_wire_frame_unpack(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                size_t length, ts_wire_receiver_t receiver, void *context);

/** Told once a frame, before its messages, who sent it; the texts are valid during the call. */
typedef void (*ts_wire_sender_t)(void *context, const ts_wire_identity_t *sender);
/** As ts_wire_frame_unpack, and names the sender. */
ts_error_t ts_wire_frame_receive(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                 size_t length, ts_wire_sender_t sender,
                                 ts_wire_receiver_t receiver, void *context);

#endif
