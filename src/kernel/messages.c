/** Constructors and destructors of the typed messages. */
#include "tealspar/messages.h"

#include "tealspar/declarations.h"

ts_query_params_t *ts_query_params_ref(ts_query_params_t *params)
{
    params->references++;
    return params;
}

void ts_query_params_unref(ts_query_params_t *params)
{
    if (params == NULL || --params->references > 0) {
        return;
    }
    g_free(params->request_id);
    g_free(params->kind);
    g_free(params->text);
    g_free(params->key);
    g_free(params);
}

void ts_subreply_clear(ts_subreply_t *subreply)
{
    for (size_t i = 0; i < subreply->hits_count; i++) {
        g_free(subreply->hits[i].id);
        g_free(subreply->hits[i].text);
    }
    g_free(subreply->hits);
    subreply->hits = NULL;
    subreply->hits_count = 0;
}

static void destroy_subrequests(ts_message_t *message)
{
    ts_query_params_unref(((ts_subrequests_message_t *)message)->work);
    g_free(message);
}

ts_subrequests_message_t *ts_subrequests_message(uint64_t peer, ts_query_params_t *params,
                                                 size_t parts_count)
{
    ts_subrequests_message_t *message =
        g_malloc0(sizeof(*message) + parts_count * sizeof(ts_subrequest_t));
    message->head.type = TS_MESSAGE_SUBREQUESTS;
    message->head.destroy = destroy_subrequests;
    message->peer = peer;
    message->work = ts_query_params_ref(params);
    message->parts_count = parts_count;
    return message;
}

static void destroy_subreply(ts_message_t *message)
{
    ts_subreply_clear(&((ts_subreply_message_t *)message)->subreply);
    g_free(message);
}

ts_subreply_message_t *ts_subreply_message(uint64_t peer)
{
    ts_subreply_message_t *message = g_new0(ts_subreply_message_t, 1);
    message->head.type = TS_MESSAGE_SUBREPLIES;
    message->head.destroy = destroy_subreply;
    message->peer = peer;
    return message;
}

static void refuse_subrequests(const ts_subrequests_message_t *message, ts_task_t *front)
{
    for (size_t i = 0; i < message->parts_count; i++) {
        ts_subreply_message_t *reply = ts_subreply_message(message->peer);
        reply->subreply.counter = message->parts[i].counter;
        reply->subreply.error = TS_E_PAST_DEADLINE;
        reply->subreply.run = TS_EXECUTION_NONE;
        ts_task_send(front, &reply->head);
    }
}

void ts_subrequests_refuse_expired(ts_message_t *const *messages, size_t count, ts_task_t *front)
{
    ts_time_us_t now_us = ts_clock_now_us();
    for (size_t i = 0; i < count; i++) {
        const ts_subrequests_message_t *message = (const ts_subrequests_message_t *)messages[i];
        if (messages[i]->type == TS_MESSAGE_SUBREQUESTS && message->work->deadline_us <= now_us) {
            refuse_subrequests(message, front);
        }
    }
}

static void destroy_plain(ts_message_t *message)
{
    g_free(message);
}

ts_cancel_message_t *ts_cancel_message(uint64_t peer, uint64_t counter)
{
    ts_cancel_message_t *message = g_new0(ts_cancel_message_t, 1);
    message->head.type = TS_MESSAGE_CANCEL;
    message->head.destroy = destroy_plain;
    message->peer = peer;
    message->counter = counter;
    return message;
}

ts_message_t *ts_broker_idle_message(void)
{
    ts_message_t *message = g_new0(ts_message_t, 1);
    message->type = TS_MESSAGE_BROKER_IDLE;
    message->destroy = destroy_plain;
    return message;
}

static void destroy_gossip(ts_message_t *message)
{
    ts_gossip_message_t *gossip = (ts_gossip_message_t *)message;
    g_free(gossip->peer_name);
    g_free(gossip->peer_address);
    g_free(gossip->bytes);
    g_free(gossip);
}

ts_gossip_message_t *ts_gossip_message(const char *peer_name, const char *peer_address,
                                       const uint8_t *bytes, size_t length)
{
    ts_gossip_message_t *message = g_new0(ts_gossip_message_t, 1);
    message->head.type = TS_MESSAGE_GOSSIP;
    message->head.destroy = destroy_gossip;
    message->peer_name = g_strdup(peer_name);
    message->peer_address = g_strdup(peer_address);
    message->bytes = g_memdup2(bytes, length);
    message->length = length;
    return message;
}

static void destroy_peer(ts_message_t *message)
{
    g_free(((ts_peer_lost_message_t *)message)->name);
    g_free(message);
}

ts_peer_lost_message_t *ts_peer_lost_message(uint64_t peer, const char *name)
{
    ts_peer_lost_message_t *message = g_new0(ts_peer_lost_message_t, 1);
    message->head.type = TS_MESSAGE_PEER_LOST;
    message->head.destroy = destroy_peer;
    message->peer = peer;
    message->name = g_strdup(name);
    return message;
}

static void free_machine(gpointer pointer)
{
    ts_machine_t *machine = pointer;
    g_free(machine->name);
    g_free(machine->address);
    g_free(machine->zone);
    g_free(machine);
}

static void destroy_machines(ts_message_t *message)
{
    g_ptr_array_free(((ts_machines_message_t *)message)->machines, TRUE);
    g_free(message);
}

ts_machines_message_t *ts_machines_message(void)
{
    ts_machines_message_t *message = g_new0(ts_machines_message_t, 1);
    message->head.type = TS_MESSAGE_MACHINES;
    message->head.destroy = destroy_machines;
    message->machines = g_ptr_array_new_with_free_func(free_machine);
    return message;
}

void ts_machines_message_add(ts_machines_message_t *message, const char *name, const char *address,
                             const char *zone, bool leaving)
{
    ts_machine_t *machine = g_new0(ts_machine_t, 1);
    machine->name = g_strdup(name);
    machine->address = g_strdup(address);
    machine->zone = g_strdup(zone);
    machine->leaving = leaving;
    g_ptr_array_add(message->machines, machine);
}

static void destroy_document(ts_message_t *message)
{
    ts_document_message_t *document = (ts_document_message_t *)message;
    g_free(document->peer_name);
    g_free(document->peer_address);
    g_free(document->text);
    g_free(document);
}

ts_document_message_t *ts_document_message(const char *peer_name, const char *peer_address)
{
    ts_document_message_t *message = g_new0(ts_document_message_t, 1);
    message->head.type = TS_MESSAGE_DOCUMENT;
    message->head.destroy = destroy_document;
    message->peer_name = g_strdup(peer_name);
    message->peer_address = g_strdup(peer_address);
    return message;
}

static void destroy_declarations(ts_message_t *message)
{
    ts_declarations_unref(((ts_declarations_message_t *)message)->declarations);
    g_free(message);
}

ts_declarations_message_t *ts_declarations_message(ts_declarations_t *declarations)
{
    ts_declarations_message_t *message = g_new0(ts_declarations_message_t, 1);
    message->head.type = TS_MESSAGE_DECLARATIONS;
    message->head.destroy = destroy_declarations;
    message->declarations = ts_declarations_ref(declarations);
    return message;
}

static void destroy_view(ts_message_t *message)
{
    ts_view_unref(((ts_view_message_t *)message)->view);
    g_free(message);
}

ts_view_message_t *ts_view_message(ts_view_t *view)
{
    ts_view_message_t *message = g_new0(ts_view_message_t, 1);
    message->head.type = TS_MESSAGE_VIEW;
    message->head.destroy = destroy_view;
    message->view = ts_view_ref(view);
    return message;
}
