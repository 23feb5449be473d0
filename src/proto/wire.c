/** Frames in protobuf-c, see tealspar/wire.h. */
#include "tealspar/wire.h"

#include <string.h>

#include "tealspar.pb-c.h"
#include "tealspar/hash.h"
#include "tealspar/version.h"

struct ts_wire_frame {
    TsWire__Frame frame;
    GPtrArray *subrequests; /* of TsWire__Subrequests */
    GPtrArray *subreplies;  /* of TsWire__Subreply */
    GArray *gossips;        /* of ProtobufCBinaryData, borrowed */
    GPtrArray *documents;   /* of TsWire__Document */
    GArray *cancels;        /* of uint64_t, counters of parts */
};

/* protobuf-c requires non-NULL pointers for these strings. */
static char *text_or_empty(char *text)
{
    return text == NULL ? (char *)protobuf_c_empty_string : text;
}

/* ---- packing ---- */

static TsWire__Part *build_part(const ts_subrequest_t *part)
{
    TsWire__Part *wire = g_new(TsWire__Part, 1);
    ts_wire__part__init(wire);
    wire->counter = part->counter;
    wire->backend = part->backend;
    wire->shard = part->shard;
    wire->wanted_snapshot = part->wanted_snapshot;
    return wire;
}

static void add_subrequests(ts_wire_frame_t *frame, const ts_subrequests_message_t *message)
{
    ts_time_us_t now_us = ts_clock_now_us();
    const ts_query_params_t *work = message->work;
    if (work->deadline_us <= now_us) {
        return; // see ts_subrequests_refuse_expired()
    }
    TsWire__Subrequests *wire = g_new(TsWire__Subrequests, 1);
    ts_wire__subrequests__init(wire);
    wire->request_id = work->request_id;
    wire->kind = work->kind;
    wire->text = text_or_empty(work->text);
    wire->key = text_or_empty(work->key);
    wire->limit = work->limit;
    wire->deadline_left_us = work->deadline_us - now_us;
    wire->unrepeatable = work->unrepeatable;
    wire->issued_at_ms = work->issued_at_ms;
    wire->priority = work->priority;
    wire->slot_share_percent = work->slot_share_percent;
    wire->n_parts = message->parts_count;
    wire->parts = g_new(TsWire__Part *, message->parts_count);
    for (size_t i = 0; i < message->parts_count; i++) {
        wire->parts[i] = build_part(&message->parts[i]);
    }
    g_ptr_array_add(frame->subrequests, wire);
}

static void add_subreply(ts_wire_frame_t *frame, const ts_subreply_t *subreply)
{
    TsWire__Subreply *wire = g_new(TsWire__Subreply, 1);
    ts_wire__subreply__init(wire);
    wire->counter = subreply->counter;
    wire->error = subreply->error;
    wire->run = subreply->run;
    wire->snapshot = subreply->snapshot;
    wire->total = subreply->total;
    wire->service_us = subreply->service_us;
    wire->queue_us = subreply->queue_us;
    wire->slots_in_use = subreply->slots_in_use;
    wire->queue_length = subreply->queue_length;
    wire->retry_after_ms = subreply->retry_after_ms;
    wire->n_hits = subreply->hits_count;
    wire->hits = g_new(TsWire__Hit *, subreply->hits_count);
    TsWire__Hit *rows = g_new(TsWire__Hit, subreply->hits_count);
    for (size_t i = 0; i < subreply->hits_count; i++) {
        ts_wire__hit__init(&rows[i]);
        rows[i].id = subreply->hits[i].id;
        rows[i].score = subreply->hits[i].score;
        rows[i].text = subreply->hits[i].text;
        wire->hits[i] = &rows[i];
    }
    if (subreply->hits_count == 0) {
        g_free(rows);
    }
    g_ptr_array_add(frame->subreplies, wire);
}

static void add_gossip(ts_wire_frame_t *frame, const ts_gossip_message_t *message)
{
    ProtobufCBinaryData data = {message->length, message->bytes};
    g_array_append_val(frame->gossips, data);
}

static void add_document(ts_wire_frame_t *frame, const ts_document_message_t *message)
{
    TsWire__Document *wire = g_new(TsWire__Document, 1);
    ts_wire__document__init(wire);
    wire->wanted = message->wanted;
    wire->version = message->version;
    wire->content.data = (uint8_t *)message->text;
    wire->content.len = message->length;
    g_ptr_array_add(frame->documents, wire);
}

static void add_message(ts_wire_frame_t *frame, const ts_message_t *message)
{
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        add_subrequests(frame, (const ts_subrequests_message_t *)message);
        break;
    case TS_MESSAGE_SUBREPLIES:
        add_subreply(frame, &((const ts_subreply_message_t *)message)->subreply);
        break;
    case TS_MESSAGE_CANCEL:
        g_array_append_val(frame->cancels, ((const ts_cancel_message_t *)message)->counter);
        break;
    case TS_MESSAGE_GOSSIP:
        add_gossip(frame, (const ts_gossip_message_t *)message);
        break;
    case TS_MESSAGE_DOCUMENT:
        add_document(frame, (const ts_document_message_t *)message);
        break;
    default:
        break;
    }
}

static void attach_lists(ts_wire_frame_t *frame)
{
    frame->frame.n_subrequests = frame->subrequests->len;
    frame->frame.subrequests = (TsWire__Subrequests **)frame->subrequests->pdata;
    frame->frame.n_subreplies = frame->subreplies->len;
    frame->frame.subreplies = (TsWire__Subreply **)frame->subreplies->pdata;
    frame->frame.n_gossips = frame->gossips->len;
    frame->frame.gossips = (ProtobufCBinaryData *)(void *)frame->gossips->data;
    frame->frame.n_documents = frame->documents->len;
    frame->frame.documents = (TsWire__Document **)frame->documents->pdata;
    frame->frame.n_cancels = frame->cancels->len;
    frame->frame.cancels = (uint64_t *)(void *)frame->cancels->data;
}

ts_wire_frame_t *ts_wire_frame_build(const ts_wire_identity_t *identity,
                                     ts_message_t *const *messages, size_t count)
{
    ts_wire_frame_t *frame = g_new0(ts_wire_frame_t, 1);
    ts_wire__frame__init(&frame->frame);
    frame->subrequests = g_ptr_array_new();
    frame->subreplies = g_ptr_array_new();
    frame->gossips = g_array_new(FALSE, FALSE, sizeof(ProtobufCBinaryData));
    frame->documents = g_ptr_array_new();
    frame->cancels = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    frame->frame.protocol = TS_PROTOCOL;
    frame->frame.cluster = (char *)identity->cluster;
    frame->frame.sender = (char *)identity->name;
    frame->frame.sender_address = (char *)identity->address;
    frame->frame.incarnation = identity->incarnation;
    for (size_t i = 0; i < count; i++) {
        add_message(frame, messages[i]);
    }
    attach_lists(frame);
    return frame;
}

size_t ts_wire_frame_size(const ts_wire_frame_t *frame)
{
    return ts_wire__frame__get_packed_size(&frame->frame);
}

void ts_wire_frame_pack(const ts_wire_frame_t *frame, uint8_t *bytes)
{
    ts_wire__frame__pack(&frame->frame, bytes);
}

static void free_subrequests(gpointer pointer, gpointer data)
{
    TsWire__Subrequests *wire = pointer;
    for (size_t i = 0; i < wire->n_parts; i++) {
        g_free(wire->parts[i]);
    }
    g_free(wire->parts);
    g_free(wire);
}

static void free_subreply(gpointer pointer, gpointer data)
{
    TsWire__Subreply *wire = pointer;
    if (wire->n_hits > 0) {
        g_free(wire->hits[0]); /* all hits are in one allocation */
    }
    g_free(wire->hits);
    g_free(wire);
}

static void free_document(gpointer pointer, gpointer data)
{
    g_free(pointer);
}

void ts_wire_frame_free(ts_wire_frame_t *frame)
{
    g_ptr_array_foreach(frame->subrequests, free_subrequests, NULL);
    g_ptr_array_foreach(frame->subreplies, free_subreply, NULL);
    g_ptr_array_foreach(frame->documents, free_document, NULL);
    g_ptr_array_free(frame->subrequests, TRUE);
    g_ptr_array_free(frame->subreplies, TRUE);
    g_array_free(frame->gossips, TRUE);
    g_ptr_array_free(frame->documents, TRUE);
    g_array_free(frame->cancels, TRUE);
    g_free(frame);
}

/* ---- unpacking ---- */

static char *copy_text(const char *text)
{
    return text == NULL || *text == '\0' ? NULL : g_strdup(text);
}

static void deliver_subrequests(const TsWire__Subrequests *wire, uint64_t peer,
                                ts_wire_message_cb_t receiver, void *context)
{
    ts_query_params_t *work = g_new0(ts_query_params_t, 1);
    work->references = 1;
    work->request_id = g_strdup(wire->request_id);
    work->kind = g_strdup(wire->kind);
    work->text = copy_text(wire->text);
    work->key = copy_text(wire->key);
    work->limit = wire->limit;
    work->unrepeatable = wire->unrepeatable;
    work->issued_at_ms = wire->issued_at_ms;
    work->priority = wire->priority;
    work->slot_share_percent = wire->slot_share_percent;
    work->deadline_us = ts_clock_now_us() + wire->deadline_left_us;
    ts_subrequests_message_t *message = ts_subrequests_message(peer, work, wire->n_parts);
    for (size_t i = 0; i < wire->n_parts; i++) {
        message->parts[i].counter = wire->parts[i]->counter;
        message->parts[i].backend = wire->parts[i]->backend;
        message->parts[i].shard = wire->parts[i]->shard;
        message->parts[i].wanted_snapshot = wire->parts[i]->wanted_snapshot;
    }
    ts_query_params_unref(work);
    receiver(context, &message->head);
}

static void deliver_subreply(const TsWire__Subreply *wire, uint64_t peer,
                             ts_wire_message_cb_t receiver, void *context)
{
    ts_subreply_message_t *message = ts_subreply_message(peer);
    ts_subreply_t *subreply = &message->subreply;
    subreply->counter = wire->counter;
    subreply->error = (ts_error_t)wire->error;
    /* An unknown value is taken to mean that the part may have run. */
    subreply->run =
        wire->run > TS_EXECUTION_NOT_HERE ? TS_EXECUTION_POSSIBLE : (ts_execution_t)wire->run;
    subreply->snapshot = wire->snapshot;
    subreply->total = wire->total;
    subreply->service_us = wire->service_us;
    subreply->queue_us = wire->queue_us;
    subreply->slots_in_use = wire->slots_in_use;
    subreply->queue_length = wire->queue_length;
    subreply->retry_after_ms = wire->retry_after_ms;
    subreply->hits = g_new0(ts_hit_t, wire->n_hits);
    subreply->hits_count = wire->n_hits;
    for (size_t i = 0; i < wire->n_hits; i++) {
        subreply->hits[i].id = g_strdup(wire->hits[i]->id);
        subreply->hits[i].score = wire->hits[i]->score;
        subreply->hits[i].text = g_strdup(wire->hits[i]->text);
    }
    receiver(context, &message->head);
}

static void deliver_gossip(const TsWire__Frame *frame, const ProtobufCBinaryData *data,
                           ts_wire_message_cb_t receiver, void *context)
{
    ts_gossip_message_t *message =
        ts_gossip_message(frame->sender, frame->sender_address, data->data, data->len);
    receiver(context, &message->head);
}

static void deliver_document(const TsWire__Frame *frame, const TsWire__Document *wire,
                             ts_wire_message_cb_t receiver, void *context)
{
    ts_document_message_t *message = ts_document_message(frame->sender, frame->sender_address);
    message->wanted = wire->wanted;
    message->version = wire->version;
    if (wire->content.len > 0) {
        message->text = g_strndup((const char *)wire->content.data, wire->content.len);
        message->length = wire->content.len;
    }
    receiver(context, &message->head);
}

static bool is_acceptable(const ts_wire_identity_t *identity, const TsWire__Frame *frame)
{
    return frame->protocol == TS_PROTOCOL && strcmp(frame->cluster, identity->cluster) == 0 &&
           frame->sender[0] != '\0' && strcmp(frame->sender, identity->name) != 0;
}

static void report_sender(const TsWire__Frame *frame, ts_wire_sender_cb_t sender, void *context)
{
    ts_wire_identity_t identity = {frame->cluster, frame->sender, frame->sender_address,
                                   frame->incarnation};
    sender(context, &identity);
}

ts_error_t ts_wire_frame_receive(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                 size_t length, ts_wire_sender_cb_t sender,
                                 ts_wire_message_cb_t receiver, void *context)
{
    TsWire__Frame *frame = ts_wire__frame__unpack(NULL, length, bytes);
    if (frame == NULL) {
        return TS_E_PROTOCOL;
    }
    if (!is_acceptable(identity, frame)) {
        ts_wire__frame__free_unpacked(frame, NULL);
        return TS_E_PROTOCOL;
    }
    uint64_t peer = ts_hash_text(frame->sender);
    if (sender != NULL)
        report_sender(frame, sender, context);
    for (size_t i = 0; i < frame->n_subrequests; i++) {
        deliver_subrequests(frame->subrequests[i], peer, receiver, context);
    }
    for (size_t i = 0; i < frame->n_subreplies; i++) {
        deliver_subreply(frame->subreplies[i], peer, receiver, context);
    }
    for (size_t i = 0; i < frame->n_cancels; i++) {
        receiver(context, &ts_cancel_message(peer, frame->cancels[i])->head);
    }
    for (size_t i = 0; i < frame->n_gossips; i++) {
        deliver_gossip(frame, &frame->gossips[i], receiver, context);
    }
    for (size_t i = 0; i < frame->n_documents; i++) {
        deliver_document(frame, frame->documents[i], receiver, context);
    }
    ts_wire__frame__free_unpacked(frame, NULL);
    return TS_OK;
}

ts_error_t ts_wire_frame_unpack(const ts_wire_identity_t *identity, const uint8_t *bytes,
                                size_t length, ts_wire_message_cb_t receiver, void *context)
{
    return ts_wire_frame_receive(identity, bytes, length, NULL, receiver, context);
}
