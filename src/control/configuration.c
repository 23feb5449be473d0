/**
 * The configuration task: takes documents from the platform and from nodes, accepts one only as a
 * whole and never a lower version, and puts it in force. A node that starts first hears which
 * version its peers have, so that a stale platform cannot bring an old one back.
 */
#include <inttypes.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/declarations.h"
#include "tealspar/document_loader.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/messages.h"
#include "tealspar/node.h"

#define TICK_MS 100
/* A tick that comes later than this was late because the process stood still. */
#define TICK_COUNTS_MOST_US (150 * TS_US_PER_MS)
/* How long a starting node waits for its peers before it believes the platform alone. */
#define JOIN_WAIT_US (3000ULL * TS_US_PER_MS)
/* After the first peer is heard, others may have something newer: listen to them for this time. */
#define HEARING_US (500ULL * TS_US_PER_MS)
/* A newer version that was heard of and cannot be had from anybody is given up after this time. */
#define GIVE_UP_US (20ULL * TS_US_PER_S)
/* A document asked for and not given is asked for again, of whoever is heard next. */
#define FETCH_RETRY_US (500ULL * TS_US_PER_MS)

typedef struct configuration {
    ts_node_t *node;
    ts_task_t *task;
    ts_task_t *mesh;
    ts_declarations_t *declarations;
    ts_declarations_t *held; /* valid, from the platform, waiting for the join */
    uint64_t refused_digest; /* the refused document, so that it is reported once */
    uint64_t refused_version;
    char *refused_reason;
    ts_document_loader_t *loader;
    uint64_t highest_heard;
    uint64_t fetching_version; /* asked for and not given yet */
    /*
     * Time in which this node could hear its peers: a process that stood still has not listened, so
     * each tick counts for little more than its own length.
     */
    ts_time_us_t listened_us;
    ts_time_us_t ticked_us; /* when the last tick was */
    bool has_heard;         /* some peer's version */
    bool has_platform_answered;
    ts_time_us_t first_heard_us; /* `listened_us` when a peer's version was first heard */
    ts_time_us_t fetch_after_us;
    ts_timer_t timer;
} configuration_t;

/* Tells all who work by the declarations; the observer is there in simulations only. */
static void broadcast(const configuration_t *configuration)
{
    static const char *const receivers[] = {"front", "broker", "platform", "membership",
                                            "observer"};
    for (size_t i = 0; i < G_N_ELEMENTS(receivers); i++) {
        ts_task_t *task = ts_task_find(configuration->node->tasks, receivers[i]);
        if (task != NULL) {
            ts_task_send(task, &ts_declarations_message(configuration->declarations)->head);
        }
    }
}

static void put_in_force(configuration_t *configuration, ts_declarations_t *declarations)
{
    ts_declarations_unref(configuration->declarations);
    configuration->declarations = declarations;
    g_clear_pointer(&configuration->refused_reason, g_free);
    configuration->refused_version = 0;
    ts_count(TS_COUNTER_CONFIG_ACCEPTED, 1);
    ts_gauge_set(TS_COUNTER_CONFIG_VERSION, (int64_t)declarations->version);
    ts_log(TS_EVENT_CONFIG_ACCEPTED, "version %" PRIu64 ", digest %016" PRIx64,
           declarations->version, declarations->digest);
    broadcast(configuration);
}

/*
 * Whether a valid document replaces the one in force: a higher version does; of two documents under
 * one version the one with the higher digest wins, everywhere alike.
 */
static ts_error_t compare_with_accepted(const configuration_t *configuration,
                                        const ts_declarations_t *declarations)
{
    const ts_declarations_t *accepted = configuration->declarations;
    if (accepted == NULL || declarations->version > accepted->version) {
        return TS_OK;
    }
    if (declarations->version < accepted->version) {
        return TS_E_STALE_VERSION;
    }
    if (declarations->digest == accepted->digest) {
        return TS_E_STALE_VERSION;
    }
    ts_count_error(TS_E_VERSION_CLASH);
    ts_log(TS_EVENT_CONFIG_CLASH, "version %" PRIu64 " has digests %016" PRIx64 " and %016" PRIx64,
           accepted->version, accepted->digest, declarations->digest);
    return declarations->digest > accepted->digest ? TS_OK : TS_E_VERSION_CLASH;
}

static void note_refusal(configuration_t *configuration, uint64_t digest, uint64_t version,
                         const ts_problems_t *problems)
{
    if (configuration->refused_digest == digest) {
        return;
    }
    configuration->refused_digest = digest;
    configuration->refused_version = version;
    g_free(configuration->refused_reason);
    configuration->refused_reason = ts_problems_format(problems, "config");
    ts_count(TS_COUNTER_CONFIG_REFUSED, 1);
    ts_log(TS_EVENT_CONFIG_REFUSED, "%s", configuration->refused_reason);
}

static bool is_known(const configuration_t *configuration, uint64_t digest)
{
    bool is_accepted =
        configuration->declarations != NULL && configuration->declarations->digest == digest;
    bool is_held = configuration->held != NULL && configuration->held->digest == digest;
    return is_accepted || is_held || configuration->refused_digest == digest;
}

/*
 * Whether the platform may be believed: a peer that has a configuration was heard, and it has no
 * newer one; or there was time enough for one to be heard. Peers that have none prove nothing: they
 * may have started together with this node.
 */
static bool may_accept(const configuration_t *configuration, const ts_declarations_t *declarations)
{
    ts_time_us_t span_us = configuration->listened_us;
    bool is_newest = declarations->version >= configuration->highest_heard;
    if (configuration->declarations != NULL) {
        return true; /* compared with what is in force */
    }
    if (is_newest && configuration->has_heard) {
        return span_us - configuration->first_heard_us > HEARING_US;
    }
    if (is_newest) {
        return span_us > JOIN_WAIT_US;
    }
    return span_us > GIVE_UP_US;
}

/* Keeps the newest of the documents that may not be accepted yet. */
static void hold(configuration_t *configuration, ts_declarations_t *declarations)
{
    ts_declarations_t *held = configuration->held;
    if (held != NULL && held->version > declarations->version) {
        ts_declarations_unref(declarations);
        return;
    }
    ts_declarations_unref(held);
    configuration->held = declarations;
}

static void consider(configuration_t *configuration, ts_declarations_t *declarations)
{
    ts_error_t error = compare_with_accepted(configuration, declarations);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_CONFIG_STALE, 1);
        ts_declarations_unref(declarations);
    } else if (may_accept(configuration, declarations)) {
        put_in_force(configuration, declarations);
    } else {
        hold(configuration, declarations);
    }
}

static void take_text(const configuration_t *configuration, const ts_document_message_t *message)
{
    if (!is_known(configuration, ts_hash_bytes(message->text, message->length))) {
        ts_document_loader_submit(configuration->loader, message->text, message->length,
                                  message->version);
    }
}

static void take_loaded(void *context, const ts_loaded_document_t *document)
{
    configuration_t *configuration = context;
    if (document->declarations == NULL) {
        note_refusal(configuration, document->digest, document->version, document->problems);
    } else {
        consider(configuration, document->declarations);
    }
}

static void give_document(const configuration_t *configuration, const ts_document_message_t *wish)
{
    if (configuration->declarations == NULL) {
        return;
    }
    ts_document_message_t *message = ts_document_message(wish->peer_name, wish->peer_address);
    message->version = configuration->declarations->version;
    message->text =
        g_strndup(configuration->declarations->text, configuration->declarations->text_length);
    message->length = configuration->declarations->text_length;
    ts_task_send(configuration->mesh, &message->head);
}

static bool is_wanted(const configuration_t *configuration, uint64_t version, uint64_t digest)
{
    const ts_declarations_t *accepted = configuration->declarations;
    if (accepted == NULL && configuration->held != NULL &&
        configuration->held->version >= version) {
        return false;
    }
    if (accepted == NULL || version > accepted->version) {
        return configuration->refused_digest != digest;
    }
    return version == accepted->version && digest > accepted->digest;
}

static void try_held(configuration_t *configuration)
{
    ts_declarations_t *held = configuration->held;
    if (held == NULL || !may_accept(configuration, held)) {
        return;
    }
    configuration->held = NULL;
    consider(configuration, held);
}

/* Somebody has said which version it has: ask for it if it is newer. */
static void take_announcement(configuration_t *configuration, const ts_document_message_t *message)
{
    ts_time_us_t now_us = ts_clock_now_us();
    configuration->highest_heard = MAX(configuration->highest_heard, message->version);
    if (!configuration->has_heard) {
        configuration->has_heard = true;
        configuration->first_heard_us = configuration->listened_us;
    }
    try_held(configuration);
    if (!is_wanted(configuration, message->version, message->digest) ||
        (now_us < configuration->fetch_after_us &&
         message->version <= configuration->fetching_version)) {
        return;
    }
    configuration->fetching_version = message->version;
    configuration->fetch_after_us = now_us + FETCH_RETRY_US;
    ts_document_message_t *wish = ts_document_message(message->peer_name, message->peer_address);
    wish->wanted = true;
    ts_task_send(configuration->mesh, &wish->head);
}

/*
 * The platform answers for the first time. Its list of machines comes with it: before, this node
 * may have known nobody to listen to, so the wait for its peers begins now.
 */
static void note_platform(configuration_t *configuration)
{
    if (!configuration->has_platform_answered && !configuration->has_heard) {
        configuration->listened_us = 0;
    }
    configuration->has_platform_answered = true;
}

static void take_document(configuration_t *configuration, const ts_document_message_t *message)
{
    if (message->text != NULL && message->peer_name == NULL) {
        note_platform(configuration);
    }
    if (message->text != NULL) {
        configuration->fetch_after_us = ts_clock_now_us() + FETCH_RETRY_US; /* it is checked now */
        ts_count(TS_COUNTER_CONFIG_FROM_PEER, message->peer_name != NULL);
        take_text(configuration, message);
    } else if (message->wanted) {
        give_document(configuration, message);
    } else {
        take_announcement(configuration, message);
    }
}

static void tick(ts_timer_t *timer)
{
    configuration_t *configuration = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t since_us = now_us - configuration->ticked_us;
    configuration->ticked_us = now_us;
    configuration->listened_us += MIN(since_us, TICK_COUNTS_MOST_US);
    try_held(configuration);
}

static void handle_message(void *state, ts_message_t *message)
{
    configuration_t *configuration = state;
    if (message->type == TS_MESSAGE_DOCUMENT) {
        take_document(configuration, (ts_document_message_t *)message);
    }
}

static ts_error_t open_configuration(ts_node_t *node)
{
    configuration_t *configuration = g_new0(configuration_t, 1);
    ts_node_set_state(node, "configuration", configuration);
    configuration->node = node;
    configuration->ticked_us = ts_clock_now_us();
    configuration->loader = ts_document_loader_create(node->runtime, take_loaded, configuration);
    configuration->task =
        ts_task_create(node->tasks, "configuration", handle_message, configuration);
    return TS_OK;
}

static ts_error_t start_configuration(ts_node_t *node)
{
    configuration_t *configuration = ts_node_state(node, "configuration");
    configuration->mesh = ts_task_find(node->tasks, "mesh");
    ts_timer_init(&configuration->timer, node->runtime, tick, configuration);
    ts_timer_start(&configuration->timer, TICK_MS, TICK_MS);
    return TS_OK;
}

static void describe_configuration(ts_node_t *node, json_t *status)
{
    const configuration_t *configuration = ts_node_state(node, "configuration");
    const ts_declarations_t *accepted = configuration->declarations;
    json_t *view = json_object();
    json_object_set_new(view, "version",
                        json_integer(accepted == NULL ? 0 : (json_int_t)accepted->version));
    char digest[20];
    g_snprintf(digest, sizeof(digest), "%016" PRIx64, accepted == NULL ? 0 : accepted->digest);
    json_object_set_new(view, "digest", json_string(digest));
    if (configuration->refused_reason != NULL) {
        json_object_set_new(view, "refused", json_string(configuration->refused_reason));
    }
    json_object_set_new(status, "configuration", view);
}

static void close_configuration(ts_node_t *node)
{
    configuration_t *configuration = ts_node_state(node, "configuration");
    ts_declarations_unref(configuration->declarations);
    ts_declarations_unref(configuration->held);
    ts_document_loader_destroy(configuration->loader);
    g_free(configuration->refused_reason);
    g_free(configuration);
}

static const ts_task_ops_t configuration_ops = {
    open_configuration,     start_configuration, NULL, NULL,
    describe_configuration, close_configuration};
TS_REGISTER_PLUGIN(configuration_plugin, TS_PLUGIN_TASK, "configuration", 4, &configuration_ops,
                   "accepts declarations and puts them in force")
