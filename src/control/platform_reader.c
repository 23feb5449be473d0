/**
 * The platform reader task: in each zone a few live nodes, chosen by rendezvous hashing, poll the
 * platform for the configuration and the machine list; the others learn of both by gossip. A node
 * without a view polls for itself.
 */
#include "tealspar/platform.h"

#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/node.h"

#define READERS_PER_ZONE 2U
#define POLL_MS 500
/* A reader reads the machine list with one poll in this many. */
#define MACHINES_EVERY_POLLS 4U
/*
 * A document is forwarded only once the machine list was read too, so that a starting node knows
 * the peers that may have a newer one. After this many polls without a list it is forwarded anyway.
 */
#define MAX_POLLS_WITHOUT_MACHINES 40U
/* A non-reader still reads the machine list occasionally, so that an isolated node can rejoin. */
#define NON_READER_MACHINES_EVERY_POLLS 120U

typedef struct reader {
    const ts_platform_t *platform;
    ts_task_t *task;
    ts_task_t *configuration;
    ts_task_t *membership;
    ts_timer_t timer;
    void *handle; /* of the platform plug-in */
    uint64_t known_version;
    unsigned polls;
    bool is_reader;
    bool is_document_call_pending;
    bool is_machines_call_pending;
    bool is_lost;      /* the last call failed */
    bool has_machines; /* the machine list was read at least once */
} reader_t;

static void record_result(reader_t *reader, ts_error_t error)
{
    bool is_lost = error != TS_OK;
    ts_count(TS_COUNTER_PLATFORM_FAILURES, is_lost);
    if (is_lost != reader->is_lost) {
        reader->is_lost = is_lost;
        ts_log(is_lost ? TS_EVENT_PLATFORM_LOST : TS_EVENT_PLATFORM_BACK, "%s",
               ts_error_name(error));
    }
}

static void handle_document(void *context, ts_error_t error, const char *text, size_t length)
{
    reader_t *reader = context;
    reader->is_document_call_pending = false;
    record_result(reader, error);
    bool can_forward = reader->has_machines || reader->polls > MAX_POLLS_WITHOUT_MACHINES;
    if (error != TS_OK || text == NULL || !can_forward) {
        return;
    }
    ts_document_message_t *message = ts_document_message(NULL, NULL);
    message->text = g_strndup(text, length);
    message->length = length;
    ts_task_send(reader->configuration, &message->head);
}

static void handle_machines(void *context, ts_error_t error, ts_machines_message_t *machines)
{
    reader_t *reader = context;
    reader->is_machines_call_pending = false;
    record_result(reader, error);
    if (machines != NULL) {
        reader->has_machines = true;
        ts_task_send(reader->membership, &machines->head);
    }
}

static void poll_platform(ts_timer_t *timer)
{
    reader_t *reader = timer->data;
    unsigned every = reader->is_reader ? MACHINES_EVERY_POLLS : NON_READER_MACHINES_EVERY_POLLS;
    if (reader->is_reader && !reader->is_document_call_pending) {
        reader->is_document_call_pending = true;
        reader->platform->read_document(reader->handle, reader->known_version, handle_document,
                                        reader);
    }
    bool is_due = !reader->has_machines || reader->polls % every == 0;
    reader->polls++;
    if (is_due && !reader->is_machines_call_pending) {
        reader->is_machines_call_pending = true;
        reader->platform->read_machines(reader->handle, handle_machines, reader);
    }
}

/* Whether fewer than READERS_PER_ZONE live nodes of the zone have a higher rendezvous weight. */
static bool should_be_reader(const ts_view_t *view)
{
    const ts_view_member_t *self = NULL;
    for (size_t i = 0; i < view->count; i++) {
        if (view->members[i].is_self) {
            self = &view->members[i];
        }
    }
    unsigned higher_weights = 0;
    uint64_t key = ts_hash_text("platform reader");
    for (size_t i = 0; self != NULL && i < view->count; i++) {
        const ts_view_member_t *member = &view->members[i];
        bool is_candidate =
            strcmp(member->zone, self->zone) == 0 && member->state == TS_MEMBER_LIVE;
        higher_weights += is_candidate && ts_hash_mix(member->id, key) > ts_hash_mix(self->id, key);
    }
    return higher_weights < READERS_PER_ZONE;
}

static void handle_message(void *state, ts_message_t *message)
{
    reader_t *reader = state;
    if (message->type == TS_MESSAGE_VIEW) {
        reader->is_reader = should_be_reader(((ts_view_message_t *)message)->view);
    } else if (message->type == TS_MESSAGE_DECLARATIONS) {
        reader->known_version = ((ts_declarations_message_t *)message)->declarations->version;
    }
}

static ts_error_t open_reader(ts_node_t *node)
{
    reader_t *reader = g_new0(reader_t, 1);
    ts_node_set_state(node, "platform", reader);
    reader->is_reader = true;
    reader->platform = ts_plugin_find(TS_PLUGIN_PLATFORM, node->platform);
    reader->task = ts_task_create(node->tasks, "platform", handle_message, reader);
    return reader->platform->open(&reader->handle, node);
}

static ts_error_t start_reader(ts_node_t *node)
{
    reader_t *reader = ts_node_state(node, "platform");
    reader->configuration = ts_task_find(node->tasks, "configuration");
    reader->membership = ts_task_find(node->tasks, "membership");
    ts_timer_init(&reader->timer, node->runtime, poll_platform, reader);
    ts_timer_start(&reader->timer, 0, POLL_MS);
    return TS_OK;
}

static void describe_reader(ts_node_t *node, json_t *status)
{
    const reader_t *reader = ts_node_state(node, "platform");
    json_object_set_new(
        status, "platform",
        json_pack("{s:b, s:b}", "is_reader", reader->is_reader, "is_lost", reader->is_lost));
}

static void close_reader(ts_node_t *node)
{
    g_free(ts_node_state(node, "platform"));
}

static const ts_task_ops_t reader_ops = {open_reader, start_reader,    NULL,
                                         NULL,        describe_reader, close_reader};
TS_REGISTER_PLUGIN(reader_plugin, TS_PLUGIN_TASK, "platform", 5, &reader_ops,
                   "reads the platform's configuration and list of machines")
