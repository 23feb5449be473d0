/** The front task: admission of queries, the table of attempts, and message handling. */
#include <inttypes.h>
#include <string.h>

#include "front_internal.h"
#include "tealspar/counters.h"
#include "tealspar/declarations.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"
#include "tealspar/node.h"

#define HEDGE_BURST 20.0
#define RETRY_BURST 200.0
#define COUNTER_HIGH_SHIFT 32U
#define OVERLOAD_RETRY_AFTER_MS 1000U
/* Time during which a stopping front still accepts queries, while callers are already told to close
   their connections and the status says not ready. */
#define LAME_DUCK_MS 1000
/*
 * A node is silent if it has several subrequests outstanding and has not replied for a multiple of
 * a latency quantile. Its attempts are sent to other replicas as far as the retry budget allows;
 * the others, and unrepeatable ones, stay in flight, as a node that is only slow still replies.
 * Until it does, it is avoided, except for periodic probes. This node itself is never avoided.
 */
#define SILENCE_TIMEOUT_MIN_US (60ULL * TS_US_PER_MS)
#define SILENCE_TIMEOUT_DEFAULT_US (500ULL * TS_US_PER_MS)
#define SILENCE_FACTOR 3U
#define SILENCE_QUANTILE 0.99
#define SILENCE_SAMPLES_MIN 64U
#define SILENCE_CHECK_INTERVAL_MS 20
#define SILENCE_CHECK_INTERVAL_US (SILENCE_CHECK_INTERVAL_MS * TS_US_PER_MS)
/* Time to read the replies of a node that has ended, after the loss of the connection to it. */
#define LOSS_GRACE_US (100ULL * TS_US_PER_MS)

ts_kind_stats_t *ts_front_ensure_kind_stats(ts_front_t *front, const char *kind)
{
    ts_kind_stats_t *stats = g_hash_table_lookup(front->kinds, kind);
    if (stats == NULL) {
        stats = g_new0(ts_kind_stats_t, 1);
        ts_budget_init(&stats->hedges, HEDGE_BURST);
        ts_budget_init(&stats->retries, RETRY_BURST);
        ts_shedder_init(&stats->shedder);
        g_hash_table_insert(front->kinds, g_strdup(kind), stats);
    }
    return stats;
}

uint64_t ts_front_next_random(ts_front_t *front)
{
    /* xorshift64*: good enough to spread load, never used for secrets */
    front->random_state ^= front->random_state >> 12;
    front->random_state ^= front->random_state << 25;
    front->random_state ^= front->random_state >> 27;
    return front->random_state * 2685821657736338717ULL;
}

ts_error_t ts_front_readiness(const ts_front_t *front)
{
    if (front->has_stopped_accepting) {
        return TS_E_STOPPING;
    }
    bool has_view = ts_directory_view(front->directory) != NULL;
    return front->declarations != NULL && has_view ? TS_OK : TS_E_NOT_READY;
}

ts_declarations_t *ts_front_declarations(const ts_front_t *front)
{
    return front->declarations;
}

void ts_query_request_clear(ts_query_request_t *request)
{
    g_free(request->id);
    g_free(request->kind);
    g_free(request->text);
    g_free(request->key);
}

static ts_query_params_t *create_work(const ts_query_t *query)
{
    const ts_query_request_t *request = &query->request;
    ts_query_params_t *work = g_new0(ts_query_params_t, 1);
    work->references = 1;
    work->request_id = g_strdup(request->id);
    work->kind = g_strdup(request->kind);
    work->text = g_strdup(request->text);
    work->key = g_strdup(request->key);
    work->limit = request->offset + request->limit;
    work->unrepeatable = request->unrepeatable || query->selector->unrepeatable;
    work->issued_at_ms = request->issued_at_ms;
    work->priority = query->selector->priority;
    work->slot_share_percent = query->selector->slot_share_percent;
    work->deadline_us = query->started_us + query->deadline_span_us;
    return work;
}

/* Checks that need the declarations; the caller API has already validated the format. */
static ts_error_t check_request(ts_front_t *front, const ts_query_request_t *request,
                                const ts_selector_t **found)
{
    ts_error_t readiness = ts_front_readiness(front);
    if (readiness != TS_OK) {
        return readiness;
    }
    const ts_selector_t *selector = ts_declarations_selector(front->declarations, request->kind);
    if (selector == NULL) {
        return TS_E_UNKNOWN_KIND;
    }
    *found = selector;
    bool is_unrepeatable = request->unrepeatable || selector->unrepeatable;
    bool is_by_key = selector->route == TS_ROUTE_KEY;
    if (is_by_key && request->key == NULL) {
        return TS_E_BAD_REQUEST;
    }
    if (is_unrepeatable && (!is_by_key || request->issued_at_ms == 0)) {
        return TS_E_BAD_REQUEST;
    }
    if (request->limit + request->offset > selector->result_limit) {
        return TS_E_TOO_LARGE;
    }
    if (g_hash_table_size(front->queries) >= front->settings->queries_max) {
        return TS_E_OVERLOAD;
    }
    const ts_kind_stats_t *stats = ts_front_ensure_kind_stats(front, selector->kind);
    if (front->policy->retries &&
        !ts_shedder_admits(&stats->shedder, ts_front_next_random(front))) {
        return TS_E_OVERLOAD;
    }
    return TS_OK;
}

static void refuse_request(ts_query_request_t *request, ts_error_t error,
                           ts_answer_callback_t callback, void *context)
{
    ts_answer_t answer = {
        .id = request->id,
        /* Only the owner can tell that an earlier send of a repeated request was not executed. */
        .outcome = request->repeat ? TS_OUTCOME_UNKNOWN : TS_OUTCOME_REFUSED,
        .error = error,
        .retry_after_ms = OVERLOAD_RETRY_AFTER_MS,
    };
    ts_count(request->repeat ? TS_COUNTER_UNKNOWN : TS_COUNTER_REFUSED, 1);
    ts_count_error(error);
    callback(context, &answer);
    ts_query_request_clear(request);
}

static ts_query_t *create_query(ts_front_t *front, const ts_query_request_t *request,
                                const ts_selector_t *selector)
{
    ts_query_t *query = g_new0(ts_query_t, 1);
    query->front = front;
    query->request = *request;
    query->declarations = ts_declarations_ref(front->declarations);
    query->selector = selector;
    query->stats = ts_front_ensure_kind_stats(front, selector->kind);
    query->started_us = ts_clock_now_us();
    uint32_t deadline_ms = selector->deadline_ms;
    if (request->deadline_ms != 0) {
        deadline_ms = MIN(deadline_ms, request->deadline_ms);
    }
    query->deadline_span_us = deadline_ms * TS_US_PER_MS;
    query->work = create_work(query);
    return query;
}

ts_query_t *ts_front_submit(ts_front_t *front, ts_query_request_t *request,
                            ts_answer_callback_t callback, void *context)
{
    const ts_selector_t *selector = NULL;
    ts_count(TS_COUNTER_QUERIES, 1);
    ts_error_t error = check_request(front, request, &selector);
    if (error != TS_OK) {
        refuse_request(request, error, callback, context);
        return NULL;
    }
    ts_query_t *query = create_query(front, request, selector);
    query->callback = callback;
    query->context = context;
    g_hash_table_add(front->queries, query);
    ts_count(TS_COUNTER_QUERIES_IN_FLIGHT, 1);
    ts_query_start(query);
    return query->is_finished ? NULL : query;
}

void ts_front_abandon(ts_query_t *query)
{
    ts_query_abandon(query);
}

static void handle_subreply(ts_front_t *front, ts_subreply_t *subreply)
{
    ts_count(TS_COUNTER_SUBREPLIES, 1);
    ts_attempt_t *attempt = g_hash_table_lookup(front->attempts, &subreply->counter);
    if (attempt == NULL) {
        ts_count(TS_COUNTER_SUBREPLIES_UNMATCHED, 1);
        return;
    }
    ts_directory_note_reply(front->directory, attempt->peer, ts_clock_now_us());
    ts_query_handle_reply(attempt, subreply);
}

void ts_front_send_cancel(const ts_front_t *front, uint64_t peer, uint64_t counter)
{
    ts_cancel_message_t *message = ts_cancel_message(peer, counter);
    ts_task_send(peer == TS_PEER_SELF ? front->broker : front->mesh, &message->head);
}

/* Fails attempts at nodes whose connection is lost. */
static void fail_attempts(ts_front_t *front, const GArray *counters)
{
    for (guint i = 0; i < counters->len; i++) {
        uint64_t counter = g_array_index(counters, uint64_t, i);
        ts_attempt_t *attempt = g_hash_table_lookup(front->attempts, &counter);
        if (attempt != NULL) {
            ts_subreply_t subreply = {.error = TS_E_PEER_LOST, .run = TS_EXECUTION_POSSIBLE};
            ts_front_send_cancel(front, attempt->peer, counter);
            ts_query_handle_reply(attempt, &subreply);
        }
    }
}

/*
 * Handles the loss of the connection to a node. Replies come on a connection of their own and may
 * not have been read yet: repeatable requests are sent elsewhere at once, unrepeatable ones, which
 * would end with an unknown outcome, wait for LOSS_GRACE_US.
 */
static void handle_peer_loss(ts_front_t *front, uint64_t peer)
{
    GArray *counters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, front->attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_attempt_t *attempt = value;
        if (attempt->peer != peer) {
            continue;
        }
        if (!attempt->query->work->unrepeatable) {
            g_array_append_val(counters, attempt->counter);
        } else if (attempt->lost_us == 0) {
            attempt->lost_us = ts_clock_now_us();
        }
    }
    fail_attempts(front, counters);
    g_array_free(counters, TRUE);
}

/* Fails unrepeatable requests whose node was lost LOSS_GRACE_US ago. */
static void expire_lost_attempts(ts_front_t *front, ts_time_us_t now_us)
{
    GArray *counters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, front->attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_attempt_t *attempt = value;
        if (attempt->lost_us != 0 && now_us - attempt->lost_us >= LOSS_GRACE_US) {
            g_array_append_val(counters, attempt->counter);
        }
    }
    fail_attempts(front, counters);
    g_array_free(counters, TRUE);
}

/* Marks the attempts at a silent node as overdue, and retries those that other replicas can serve.
 */
static void retry_attempts_of_peer(ts_front_t *front, uint64_t peer)
{
    GHashTable *queries = g_hash_table_new(g_direct_hash, g_direct_equal);
    GPtrArray *order = g_ptr_array_new(); // the set's own order differs between runs
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, front->attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_attempt_t *attempt = value;
        if (attempt->peer != peer) {
            continue;
        }
        ts_query_handle_overdue(attempt);
        if (g_hash_table_add(queries, attempt->query)) {
            g_ptr_array_add(order, attempt->query);
        }
    }
    for (guint i = 0; i < order->len; i++) {
        ts_query_t *query = g_ptr_array_index(order, i);
        if (g_hash_table_contains(front->queries, query)) { // not ended by an earlier step
            ts_query_step(query);
        }
    }
    g_ptr_array_free(order, TRUE);
    g_hash_table_destroy(queries);
}

/*
 * Time without a reply after which a node is silent: well above the measured latencies of every
 * kind, so that a node with slow searchers is not considered silent. At least
 * SILENCE_TIMEOUT_DEFAULT_US while some kind has fewer than SILENCE_SAMPLES_MIN samples.
 */
static ts_time_us_t silence_timeout_us(const ts_front_t *front)
{
    ts_time_us_t timeout_us = SILENCE_TIMEOUT_MIN_US;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, front->kinds);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_kind_stats_t *stats = value;
        bool is_measured = stats->latencies.total >= SILENCE_SAMPLES_MIN;
        ts_time_us_t quantile_us = ts_histogram_quantile(&stats->latencies, SILENCE_QUANTILE);
        timeout_us = MAX(timeout_us,
                         is_measured ? SILENCE_FACTOR * quantile_us : SILENCE_TIMEOUT_DEFAULT_US);
    }
    return timeout_us;
}

static void check_silence(ts_timer_t *timer)
{
    ts_front_t *front = timer->data;
    if (g_hash_table_size(front->attempts) == 0) {
        ts_timer_stop(timer); /* no attempts in flight */
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    if (ts_late_check_must_repeat(&front->late_check, now_us, SILENCE_CHECK_INTERVAL_US)) {
        front->stalled_until_us = now_us;
        ts_timer_start(timer, TS_LATE_CHECK_REPEAT_MS, SILENCE_CHECK_INTERVAL_MS);
        return;
    }
    expire_lost_attempts(front, now_us);
    GArray *silent =
        ts_directory_find_silent_peers(front->directory, silence_timeout_us(front), now_us);
    for (guint i = 0; i < silent->len; i++) {
        ts_count(TS_COUNTER_PEERS_SILENT, 1);
        retry_attempts_of_peer(front, g_array_index(silent, uint64_t, i));
    }
    g_array_free(silent, TRUE);
}

void ts_front_start_silence_check(ts_front_t *front)
{
    if (!front->silence_timer.is_active) {
        ts_late_check_start(&front->late_check, ts_clock_now_us());
        ts_timer_start(&front->silence_timer, SILENCE_CHECK_INTERVAL_MS, SILENCE_CHECK_INTERVAL_MS);
    }
}

static void set_declarations(ts_front_t *front, ts_declarations_t *declarations)
{
    ts_declarations_unref(front->declarations);
    front->declarations = ts_declarations_ref(declarations);
}

/* Logs once that queries are accepted. */
static void log_readiness(ts_front_t *front)
{
    if (!front->has_been_ready && ts_front_readiness(front) == TS_OK) {
        front->has_been_ready = true;
        ts_log(TS_EVENT_READY, "declarations version %" PRIu64, front->declarations->version);
    }
}

static void handle_message(void *state, ts_message_t *message)
{
    ts_front_t *front = state;
    switch (message->type) {
    case TS_MESSAGE_SUBREPLIES:
        handle_subreply(front, &((ts_subreply_message_t *)message)->subreply);
        break;
    case TS_MESSAGE_PEER_LOST:
        handle_peer_loss(front, ((ts_peer_lost_message_t *)message)->peer);
        break;
    case TS_MESSAGE_DECLARATIONS:
        set_declarations(front, ((ts_declarations_message_t *)message)->declarations);
        break;
    case TS_MESSAGE_VIEW:
        ts_directory_set_view(front->directory, ((ts_view_message_t *)message)->view);
        break;
    default:
        break;
    }
    log_readiness(front);
}

static void check_silence(ts_timer_t *timer);
static void stop_accepting(ts_timer_t *timer);

static ts_error_t open_front(ts_node_t *node)
{
    ts_front_t *front = g_new0(ts_front_t, 1);
    ts_node_set_state(node, "front", front);
    front->node = node;
    front->settings = node->settings;
    front->policy = ts_plugin_find(TS_PLUGIN_POLICY, node->settings->policy);
    front->directory = ts_directory_create();
    front->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    front->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    front->queries = g_hash_table_new(g_direct_hash, g_direct_equal);
    uint64_t seed = ts_hash_mix(ts_hash_text(node->settings->name), node->incarnation);
    front->next_counter = seed << COUNTER_HIGH_SHIFT;
    front->random_state = seed | 1U;
    front->task = ts_task_create(node->tasks, "front", handle_message, front);
    return TS_OK;
}

static ts_error_t start_front(ts_node_t *node)
{
    ts_front_t *front = ts_node_state(node, "front");
    front->broker = ts_task_find(node->tasks, "broker");
    front->mesh = ts_task_find(node->tasks, "mesh");
    ts_timer_init(&front->silence_timer, node->runtime, check_silence, front);
    ts_timer_init(&front->lame_duck_timer, node->runtime, stop_accepting, front);
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(TS_PLUGIN_CALLER_API, plugin)) != NULL) {
        const ts_caller_api_t *api = plugin->ops;
        ts_error_t error = api->open(node->loop, node->settings, front);
        if (error != TS_OK) {
            return error;
        }
    }
    return TS_OK;
}

static void stop_accepting(ts_timer_t *timer)
{
    ts_front_t *front = timer->data;
    const ts_plugin_t *plugin = NULL;
    front->has_stopped_accepting = true;
    while ((plugin = ts_plugin_next(TS_PLUGIN_CALLER_API, plugin)) != NULL) {
        ((const ts_caller_api_t *)plugin->ops)->drain();
    }
}

/* Queries are still accepted for LAME_DUCK_MS, until callers and load balancers have noticed. */
static void stop_front(ts_node_t *node)
{
    ts_front_t *front = ts_node_state(node, "front");
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(TS_PLUGIN_CALLER_API, plugin)) != NULL) {
        ((const ts_caller_api_t *)plugin->ops)->leave();
    }
    ts_timer_start(&front->lame_duck_timer, LAME_DUCK_MS, 0);
}

static bool is_front_idle(ts_node_t *node)
{
    const ts_front_t *front = ts_node_state(node, "front");
    return front->has_stopped_accepting && g_hash_table_size(front->queries) == 0;
}

static void describe_front(ts_node_t *node, json_t *status)
{
    const ts_front_t *front = ts_node_state(node, "front");
    json_object_set_new(status, "ready",
                        json_boolean(ts_front_readiness(front) == TS_OK && !node->stopping));
    json_object_set_new(status, "policy", json_string(node->settings->policy));
    json_object_set_new(status, "queries_in_flight",
                        json_integer(g_hash_table_size(front->queries)));
}

static void close_front(ts_node_t *node)
{
    ts_front_t *front = ts_node_state(node, "front");
    GList *queries = g_hash_table_get_keys(front->queries);
    for (GList *item = queries; item != NULL; item = item->next) {
        ts_query_discard(item->data);
    }
    g_list_free(queries);
    g_hash_table_destroy(front->queries);
    g_hash_table_destroy(front->attempts);
    g_hash_table_destroy(front->kinds);
    ts_directory_destroy(front->directory);
    ts_declarations_unref(front->declarations);
    g_free(front);
}

static const ts_task_ops_t front_ops = {open_front,    start_front,    stop_front,
                                        is_front_idle, describe_front, close_front};
TS_REGISTER_PLUGIN(front_plugin, TS_PLUGIN_TASK, "front", 3, &front_ops,
                   "accepts queries, fans them out and merges the answers")
