/**
 * The configuration task: receives documents from the platform and from peers, accepts one only if
 * all of it is valid and its version is not lower than the active one, and activates it. A starting
 * node first waits to learn which versions its peers have, so that a stale platform cannot bring
 * back an old one.
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
/* A tick adds at most this to `listen_time_us`; a longer gap means that the process was stalled. */
#define TICK_CREDIT_MAX_US (150 * TS_US_PER_MS)
/* How long a starting node waits for an announcement before it accepts the platform's document. */
#define PEER_WAIT_US (3000ULL * TS_US_PER_MS)
/* How long to wait after the first peer's announcement: others may have a newer version. */
#define PEER_SETTLE_US (500ULL * TS_US_PER_MS)
/*
 * How long a starting node waits for a newer version that was announced but not delivered, before
 * it accepts an older document.
 */
#define NEWER_VERSION_WAIT_US (20ULL * TS_US_PER_S)
/* After this time a document that has not arrived is requested from the next announcing peer. */
#define FETCH_RETRY_INTERVAL_US (500ULL * TS_US_PER_MS)

typedef struct configuration {
    ts_node_t *node;
    ts_task_t *task;
    ts_task_t *mesh;
    ts_declarations_t *declarations; /* active; NULL until one is accepted */
    ts_declarations_t *pending;      /* valid, but may not be accepted yet */
    uint64_t refused_digest;         /* last refused document, so that it is reported only once */
    uint64_t refused_version;
    char *refused_reason;
    ts_document_loader_t *loader;
    uint64_t highest_peer_version;
    uint64_t requested_version; /* requested from a peer, not received yet */
    /*
     * Time during which this node could receive announcements. A stalled process receives none, so
     * each tick adds little more than the tick interval.
     */
    ts_time_us_t listen_time_us;
    ts_time_us_t last_tick_us;
    bool has_peer_version; /* some peer has announced a version */
    bool has_platform_answered;
    ts_time_us_t first_peer_version_us; /* `listen_time_us` at the first announcement */
    ts_time_us_t next_fetch_us;
    ts_timer_t timer;
} configuration_t;

/* Sends the active declarations to the other tasks; `observer` exists only in simulations. */
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

static void activate(configuration_t *configuration, ts_declarations_t *declarations)
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
 * Returns TS_OK if a valid document replaces the active one: the higher version wins. If two
 * documents have the same version, the higher digest wins, so that all nodes choose the same one.
 */
static ts_error_t compare_with_active(const configuration_t *configuration,
                                      const ts_declarations_t *declarations)
{
    const ts_declarations_t *active = configuration->declarations;
    if (active == NULL || declarations->version > active->version) {
        return TS_OK;
    }
    if (declarations->version < active->version) {
        return TS_E_STALE_VERSION;
    }
    if (declarations->digest == active->digest) {
        return TS_E_STALE_VERSION;
    }
    ts_count_error(TS_E_VERSION_CLASH);
    ts_log(TS_EVENT_CONFIG_CLASH, "version %" PRIu64 " has digests %016" PRIx64 " and %016" PRIx64,
           active->version, active->digest, declarations->digest);
    return declarations->digest > active->digest ? TS_OK : TS_E_VERSION_CLASH;
}

static void record_refusal(configuration_t *configuration, uint64_t digest, uint64_t version,
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

static bool is_document_known(const configuration_t *configuration, uint64_t digest)
{
    bool is_active =
        configuration->declarations != NULL && configuration->declarations->digest == digest;
    bool is_pending = configuration->pending != NULL && configuration->pending->digest == digest;
    return is_active || is_pending || configuration->refused_digest == digest;
}

/*
 * Whether a document can be accepted now. Only a node without an active document waits: for further
 * announcements after the first one, for any announcement, or for a newer version that a peer has
 * announced. Peers without a configuration announce none, which proves nothing, as they may have
 * started together with this node.
 */
static bool can_accept(const configuration_t *configuration, const ts_declarations_t *declarations)
{
    ts_time_us_t waited_us = configuration->listen_time_us;
    bool is_newest = declarations->version >= configuration->highest_peer_version;
    if (configuration->declarations != NULL) {
        return true; /* was compared with the active one */
    }
    if (is_newest && configuration->has_peer_version) {
        return waited_us - configuration->first_peer_version_us > PEER_SETTLE_US;
    }
    if (is_newest) {
        return waited_us > PEER_WAIT_US;
    }
    return waited_us > NEWER_VERSION_WAIT_US;
}

/* Keeps the newest of the documents that cannot be accepted yet. */
static void set_pending(configuration_t *configuration, ts_declarations_t *declarations)
{
    ts_declarations_t *pending = configuration->pending;
    if (pending != NULL && pending->version > declarations->version) {
        ts_declarations_unref(declarations);
        return;
    }
    ts_declarations_unref(pending);
    configuration->pending = declarations;
}

static void accept_or_defer(configuration_t *configuration, ts_declarations_t *declarations)
{
    ts_error_t error = compare_with_active(configuration, declarations);
    if (error != TS_OK) {
        ts_count(TS_COUNTER_CONFIG_STALE, 1);
        ts_declarations_unref(declarations);
    } else if (can_accept(configuration, declarations)) {
        activate(configuration, declarations);
    } else {
        set_pending(configuration, declarations);
    }
}

static void submit_text(const configuration_t *configuration, const ts_document_message_t *message)
{
    if (!is_document_known(configuration, ts_hash_bytes(message->text, message->length))) {
        ts_document_loader_submit(configuration->loader, message->text, message->length,
                                  message->version);
    }
}

static void handle_loaded(void *context, const ts_loaded_document_t *document)
{
    configuration_t *configuration = context;
    if (document->declarations == NULL) {
        record_refusal(configuration, document->digest, document->version, document->problems);
    } else {
        accept_or_defer(configuration, document->declarations);
    }
}

static void send_document(const configuration_t *configuration,
                          const ts_document_message_t *request)
{
    if (configuration->declarations == NULL) {
        return;
    }
    ts_document_message_t *message = ts_document_message(request->peer_name, request->peer_address);
    message->version = configuration->declarations->version;
    message->text =
        g_strndup(configuration->declarations->text, configuration->declarations->text_length);
    message->length = configuration->declarations->text_length;
    ts_task_send(configuration->mesh, &message->head);
}

/*
 * Whether to request an announced document: its version is higher than the active one's and it is
 * not the document refused last, or it has the active version and a higher digest (see
 * compare_with_active). While none is active, it must also be newer than the pending one.
 */
static bool should_fetch(const configuration_t *configuration, uint64_t version, uint64_t digest)
{
    const ts_declarations_t *active = configuration->declarations;
    if (active == NULL && configuration->pending != NULL &&
        configuration->pending->version >= version) {
        return false;
    }
    if (active == NULL || version > active->version) {
        return configuration->refused_digest != digest;
    }
    return version == active->version && digest > active->digest;
}

static void retry_pending(configuration_t *configuration)
{
    ts_declarations_t *pending = configuration->pending;
    if (pending == NULL || !can_accept(configuration, pending)) {
        return;
    }
    configuration->pending = NULL;
    accept_or_defer(configuration, pending);
}

/*
 * Handles a peer's announcement of its version; requests the document if it is newer, unless that
 * version or a later one was requested less than FETCH_RETRY_INTERVAL_US ago.
 */
static void handle_announcement(configuration_t *configuration,
                                const ts_document_message_t *message)
{
    ts_time_us_t now_us = ts_clock_now_us();
    configuration->highest_peer_version =
        MAX(configuration->highest_peer_version, message->version);
    if (!configuration->has_peer_version) {
        configuration->has_peer_version = true;
        configuration->first_peer_version_us = configuration->listen_time_us;
    }
    retry_pending(configuration);
    if (!should_fetch(configuration, message->version, message->digest) ||
        (now_us < configuration->next_fetch_us &&
         message->version <= configuration->requested_version)) {
        return;
    }
    configuration->requested_version = message->version;
    configuration->next_fetch_us = now_us + FETCH_RETRY_INTERVAL_US;
    ts_document_message_t *request = ts_document_message(message->peer_name, message->peer_address);
    request->wanted = true;
    ts_task_send(configuration->mesh, &request->head);
}

/*
 * Restarts the wait for peers at the platform's first answer. The machine list arrives with it;
 * until then this node may have known no peers that could send announcements.
 */
static void record_platform_answer(configuration_t *configuration)
{
    if (!configuration->has_platform_answered && !configuration->has_peer_version) {
        configuration->listen_time_us = 0;
    }
    configuration->has_platform_answered = true;
}

static void handle_document(configuration_t *configuration, const ts_document_message_t *message)
{
    if (message->text != NULL && message->peer_name == NULL) {
        record_platform_answer(configuration);
    }
    if (message->text != NULL) {
        /* Do not request the document again while it is being validated. */
        configuration->next_fetch_us = ts_clock_now_us() + FETCH_RETRY_INTERVAL_US;
        ts_count(TS_COUNTER_CONFIG_FROM_PEER, message->peer_name != NULL);
        submit_text(configuration, message);
    } else if (message->wanted) {
        send_document(configuration, message);
    } else {
        handle_announcement(configuration, message);
    }
}

static void tick(ts_timer_t *timer)
{
    configuration_t *configuration = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t elapsed_us = now_us - configuration->last_tick_us;
    configuration->last_tick_us = now_us;
    configuration->listen_time_us += MIN(elapsed_us, TICK_CREDIT_MAX_US);
    retry_pending(configuration);
}

static void handle_message(void *state, ts_message_t *message)
{
    configuration_t *configuration = state;
    if (message->type == TS_MESSAGE_DOCUMENT) {
        handle_document(configuration, (ts_document_message_t *)message);
    }
}

static ts_error_t open_configuration(ts_node_t *node)
{
    configuration_t *configuration = g_new0(configuration_t, 1);
    ts_node_set_state(node, "configuration", configuration);
    configuration->node = node;
    configuration->last_tick_us = ts_clock_now_us();
    configuration->loader = ts_document_loader_create(node->runtime, handle_loaded, configuration);
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
    const ts_declarations_t *active = configuration->declarations;
    json_t *description = json_object();
    json_object_set_new(description, "version",
                        json_integer(active == NULL ? 0 : (json_int_t)active->version));
    char digest[20];
    g_snprintf(digest, sizeof(digest), "%016" PRIx64, active == NULL ? 0 : active->digest);
    json_object_set_new(description, "digest", json_string(digest));
    if (configuration->refused_reason != NULL) {
        json_object_set_new(description, "refused", json_string(configuration->refused_reason));
    }
    json_object_set_new(status, "configuration", description);
}

static void close_configuration(ts_node_t *node)
{
    configuration_t *configuration = ts_node_state(node, "configuration");
    ts_declarations_unref(configuration->declarations);
    ts_declarations_unref(configuration->pending);
    ts_document_loader_destroy(configuration->loader);
    g_free(configuration->refused_reason);
    g_free(configuration);
}

static const ts_task_ops_t configuration_ops = {
    open_configuration,     start_configuration, NULL, NULL,
    describe_configuration, close_configuration};
TS_REGISTER_PLUGIN(configuration_plugin, TS_PLUGIN_TASK, "configuration", 4, &configuration_ops,
                   "accepts declarations and activates them")
