/** The gateway: setup, active configuration, listeners and division of limits among the fleet. */
#include "tealspar/gateway.h"

#include <string.h>

#include "request.h"
#include "tealspar/broken_sends.h"
#include "tealspar/connection_share.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"
#include "tealspar/peers.h"
#include "tealspar/pending.h"
#include "tealspar/plugin.h"
#include "tealspar/process_limits.h"
#include "tealspar/stall_detector.h"
#include "tealspar/store_mirror.h"
#include "tealspar/store_watch.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
/*
 * Fraction of its even share of the retry slack that a node uses: half while the fleet size is not
 * stable, as other nodes may count fewer nodes, and more once no node has been added for a while.
 */
#define SLACK_SHARE_UNSTABLE 0.5
#define SLACK_SHARE_STABLE 0.8
#define STABLE_AFTER_US (15 * TS_US_PER_S)
/*
 * Limits are divided among at least NODES_MIN nodes. During startup, when not all existing nodes
 * may be known yet, they are divided among at least STARTUP_NODES_PER_ZONE nodes for each
 * configured zone, and among at least STARTUP_NODES_MIN.
 */
#define NODES_MIN 4U
#define STARTUP_NODES_PER_ZONE 8U
#define STARTUP_NODES_MIN 12U
#define STARTUP_US (5 * TS_US_PER_S)
/* A node's index in the fleet is reliable only while the node sees at least this fraction of
 * `nodes_seen_max`. */
#define CERTAIN_NODES_SHARE 0.75
/* Minimum interval between two computations of this node's share of an instance's connections, or
 * of the rate limit of a cold instance. */
#define SHARE_VALID_US (500 * TS_US_PER_MS)
/* Low bits of `idle_connections_basis`, for the number of nodes; the others hold the fleet's change
 * counter. */
#define BASIS_NODES_BITS 24
/* Maximum number of idle connections to an instance whose connection limit is not known. */
#define IDLE_CONNECTIONS_DEFAULT 4U

uint32_t ts_gateway_random(ts_gateway_t *gateway)
{
    uint32_t value = gateway->random;
    value ^= value << 13;
    value ^= value >> 17;
    value ^= value << 5;
    gateway->random = value;
    return value;
}

ts_route_state_t *ts_gateway_route_state(ts_gateway_t *gateway, const ts_traffic_route_t *route)
{
    ts_route_state_t *state = g_hash_table_lookup(gateway->route_states, route->name);
    if (state == NULL) {
        state = ts_route_state_create(route->aim_ms);
        ts_route_state_set_start(state, ts_gateway_random(gateway));
        g_hash_table_insert(gateway->route_states, g_strdup(route->name), state);
    }
    return state;
}

/* Copies the services' limits from the active configuration to the registry. */
static void apply_services(ts_gateway_t *gateway)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->traffic->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_traffic_service_t *service = value;
        ts_service_t *known = ts_registry_ensure_service(gateway->registry, service->name);
        known->connections_max = service->connections_max;
        known->warmup_us = service->warmup_ms * TS_US_PER_MS;
        known->warmup_rate = service->warmup_rate;
    }
}

void ts_gateway_set_traffic(ts_gateway_t *gateway, ts_traffic_t *traffic)
{
    if (gateway->traffic != NULL && traffic->version <= gateway->traffic->version) {
        if (traffic->version < gateway->traffic->version) {
            ts_count(TS_COUNTER_CONFIG_STALE, 1);
        }
        ts_traffic_unref(traffic);
        return;
    }
    ts_log(TS_EVENT_CONFIG_ACCEPTED, "version=%lu before=%lu routes=%u",
           (unsigned long)traffic->version,
           gateway->traffic ? (unsigned long)gateway->traffic->version : 0UL, traffic->routes->len);
    ts_traffic_unref(gateway->traffic);
    gateway->traffic = traffic;
    ts_count(TS_COUNTER_CONFIG_ACCEPTED, 1);
    ts_gauge_set(TS_COUNTER_CONFIG_VERSION, (int64_t)traffic->version);
    ts_listener_set_limits(gateway->caller_listener, &traffic->limits);
    apply_services(gateway);
}

/* -- Listeners --------------------------------------------------------------------------------- */

static void begin_request(ts_caller_t *caller, void *context)
{
    ts_request_begin(context, caller);
}

static void abandon_request(ts_caller_t *caller, void *context)
{
    ts_request_abandon(context, caller);
}

static void refuse_for_room(ts_caller_t *caller, void *context)
{
    ts_answer_no_room(context, caller);
}

static const ts_listener_ops_t caller_ops = {begin_request, abandon_request, refuse_for_room};

bool ts_gateway_is_initialized(const ts_gateway_t *gateway)
{
    return gateway->traffic != NULL && ts_store_mirror_is_loaded(gateway->mirror);
}

static bool is_ready(const ts_gateway_t *gateway)
{
    return !ts_gateway_is_stopping(gateway) && ts_gateway_is_initialized(gateway);
}

static void answer_ready(ts_caller_t *caller, void *context)
{
    const ts_gateway_t *gateway = context;
    const char *target = ts_caller_message(caller)->target->str;
    unsigned status = STATUS_NOT_FOUND;
    if (strcmp(target, gateway->dialect->ready_path) == 0) {
        status = is_ready(gateway) ? STATUS_OK : STATUS_UNAVAILABLE;
    }
    ts_caller_answer(caller, status, NULL, NULL, 0);
}

static void answer_metrics(ts_caller_t *caller, void *context)
{
    GString *text = g_string_new(NULL);
    ts_gateway_write_metrics(context, text);
    ts_caller_answer(caller, STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                     text->len);
    g_string_free(text, TRUE);
}

static void ignore_disconnect(ts_caller_t *caller, void *context)
{
}

static const ts_listener_ops_t ready_ops = {answer_ready, ignore_disconnect, NULL};
static const ts_listener_ops_t metrics_ops = {answer_metrics, ignore_disconnect, NULL};

static void apply_process_limits(ts_gateway_t *gateway)
{
    const ts_gateway_settings_t *settings = gateway->settings;
    ts_process_limits_t limits = ts_process_limits(settings->memory_mb, settings->descriptors_max);
    ts_memory_budget_set_limit(gateway->request_budget, limits.request_bytes);
    ts_memory_budget_set_limit(gateway->answer_budget, limits.answer_bytes);
    if (gateway->caller_listener == NULL)
        return; // applied again once the listeners are open
    ts_listener_set_socket_memory(gateway->caller_listener, limits.socket_bytes);
    ts_listener_set_connections_max(gateway->caller_listener, limits.callers_max);
    ts_listener_set_connections_max(gateway->ready_listener, limits.others_max);
    if (gateway->metrics_listener != NULL)
        ts_listener_set_connections_max(gateway->metrics_listener, limits.others_max);
    ts_upstream_set_connections_max(gateway->upstream, limits.backends_max);
}

static ts_error_t open_listeners(ts_gateway_t *gateway)
{
    const ts_gateway_settings_t *settings = gateway->settings;
    gateway->caller_listener =
        ts_listener_open(gateway->loop, settings->callers, &caller_ops, gateway);
    gateway->ready_listener = ts_listener_open(gateway->loop, settings->ready, &ready_ops, gateway);
    if (settings->metrics != NULL) {
        gateway->metrics_listener =
            ts_listener_open(gateway->loop, settings->metrics, &metrics_ops, gateway);
    }
    bool is_open = gateway->caller_listener != NULL && gateway->ready_listener != NULL &&
                   (settings->metrics == NULL || gateway->metrics_listener != NULL);
    if (!is_open)
        return TS_E_LISTEN;
    ts_listener_set_budgets(gateway->caller_listener, gateway->request_budget,
                            gateway->answer_budget);
    if (gateway->metrics_listener != NULL)
        ts_listener_set_budgets(gateway->metrics_listener, NULL, gateway->answer_budget);
    apply_process_limits(gateway);
    return TS_OK;
}

/* -- Settings and fleet ------------------------------------------------------------------------ */

void ts_gateway_set_node_count(ts_gateway_t *gateway, unsigned nodes)
{
    /* Nodes that are down may return and use their full shares, so the maximum seen counts. */
    if (nodes > gateway->nodes_seen_max)
        gateway->nodes_grown_us = ts_clock_now_us();
    gateway->nodes_seen_max = MAX(MAX(gateway->nodes_seen_max, nodes), NODES_MIN);
    unsigned startup_nodes = STARTUP_NODES_PER_ZONE * gateway->settings->zones_count;
    startup_nodes = MAX(startup_nodes, STARTUP_NODES_MIN);
    bool is_starting = ts_clock_now_us() - gateway->opened_us < STARTUP_US;
    gateway->nodes =
        is_starting ? MAX(gateway->nodes_seen_max, startup_nodes) : gateway->nodes_seen_max;
    bool is_stable = ts_clock_now_us() - gateway->nodes_grown_us > STABLE_AFTER_US;
    double slack_share = is_stable ? SLACK_SHARE_STABLE : SLACK_SHARE_UNSTABLE;
    gateway->retry_rule.slack_share = slack_share * gateway->settings->retry_slack / gateway->nodes;
}

/* Makes room in a budget, at the cost of callers that transfer slowly. */
static void reclaim_memory(void *ctx, ts_memory_budget_t *budget, size_t bytes)
{
    const ts_gateway_t *gateway = ctx;
    if (gateway->caller_listener != NULL)
        ts_listener_reclaim(gateway->caller_listener, budget, bytes);
    if (gateway->metrics_listener != NULL)
        ts_listener_reclaim(gateway->metrics_listener, budget, bytes);
}

static void apply_settings(ts_gateway_t *gateway)
{
    const ts_gateway_settings_t *settings = gateway->settings;
    apply_process_limits(gateway);
    ts_mechanisms_set_off(settings->without);
    gateway->retry_rule.ratio = settings->retry_ratio;
    gateway->cold_rule = (ts_cold_rule_t){settings->warmup_overrun, settings->warmup_slack};
    gateway->retry_rule.window_us = settings->retry_window_ms * TS_US_PER_MS;
    ts_gateway_set_node_count(gateway, gateway->nodes_seen_max);
    for (unsigned i = 0; i < settings->zones_count; i++) {
        g_hash_table_replace(gateway->zones, g_strdup(settings->zones[i].zone),
                             g_strdup(settings->zones[i].region));
    }
}

void ts_gateway_set_settings(ts_gateway_t *gateway, ts_gateway_settings_t *settings)
{
    ts_gateway_settings_free(gateway->settings);
    gateway->settings = settings;
    apply_settings(gateway);
    ts_registry_update_locations(gateway->registry);
    ts_store_watch_reload(gateway->store);
}

static void announce_sighting(void *ctx, const ts_instance_t *instance, ts_sighting_t sighting)
{
    const ts_gateway_t *gateway = ctx;
    ts_peers_share_sighting(gateway->peers, ts_instance_key_of(instance), sighting);
}

/* Maximum number of idle connections to an instance; recomputed when the fleet has changed and the
 * last value is older than SHARE_VALID_US. */
static uint32_t idle_connections_max(void *ctx, ts_instance_t *instance, ts_time_us_t now_us)
{
    const ts_gateway_t *gateway = ctx;
    uint64_t changes = gateway->peers == NULL ? 0 : ts_peers_view_version(gateway->peers);
    uint64_t basis = (changes << BASIS_NODES_BITS) + gateway->nodes;
    bool is_recent = now_us - instance->idle_connections_max_at_us < SHARE_VALID_US;
    if (instance->idle_connections_max_at_us != 0 &&
        (instance->idle_connections_basis == basis || is_recent))
        return instance->idle_connections_max;
    uint32_t connections_max = instance->service->connections_max;
    unsigned index = gateway->peers == NULL ? 0 : ts_peers_index(gateway->peers, instance);
    instance->idle_connections_max =
        connections_max == 0 ? IDLE_CONNECTIONS_DEFAULT
                             : ts_connection_share(connections_max, gateway->nodes, index);
    instance->idle_connections_max_at_us = now_us;
    instance->idle_connections_basis = basis;
    return instance->idle_connections_max;
}

/*
 * Whether other nodes are likely to have the same view of the fleet: startup is over, and few nodes
 * are missing. If this node is cut off by a network partition, many nodes are missing.
 */
static bool is_fleet_certain(const ts_gateway_t *gateway, ts_time_us_t now_us)
{
    if (gateway->peers == NULL)
        return true;
    bool is_starting = now_us - gateway->opened_us < STARTUP_US;
    double nodes_needed = CERTAIN_NODES_SHARE * gateway->nodes_seen_max;
    return !is_starting && ts_peers_count(gateway->peers) >= nodes_needed;
}

void ts_gateway_update_cold_shares(const ts_gateway_t *gateway, const ts_service_t *service,
                                   ts_time_us_t now_us)
{
    for (guint i = 0; i < service->instances->len; i++) {
        ts_instance_t *instance = g_ptr_array_index(service->instances, i);
        bool is_due = instance->cold_at_us == 0 || now_us - instance->cold_at_us > SHARE_VALID_US;
        if (!is_due || !ts_instance_is_warmup_limited(instance, now_us))
            continue;
        ts_fleet_index_t fleet = {gateway->nodes, 0, is_fleet_certain(gateway, now_us)};
        if (gateway->peers != NULL)
            fleet.index = ts_peers_index(gateway->peers, instance);
        instance->cold.share = ts_cold_share(&gateway->cold_rule, service->warmup_rate, &fleet);
        instance->cold_at_us = now_us;
    }
}

static void recheck_request(ts_caller_t *caller, void *ctx)
{
    ts_request_t *request = ts_caller_request(caller);
    if (request != NULL)
        ts_request_recheck(request); // NULL: held until the gateway is initialized, see pending.c
}

/* After a process stall: timers are late, so all requests check their deadlines now. */
static void on_resume(void *ctx, ts_time_us_t lost_us)
{
    ts_gateway_t *gateway = ctx;
    ts_count(TS_COUNTER_STANDSTILLS, 1);
    ts_log(TS_EVENT_RESUMED, "lost_ms=%lu requests=%u", (unsigned long)(lost_us / TS_US_PER_MS),
           gateway->requests);
    ts_upstream_invalidate_times(gateway->upstream);
    if (gateway->caller_listener != NULL)
        ts_listener_each_busy(gateway->caller_listener, recheck_request, NULL);
}

ts_error_t ts_gateway_open(ts_gateway_t *gateway, uv_loop_t *loop, ts_gateway_settings_t *settings)
{
    gateway->loop = loop;
    gateway->settings = settings;
    gateway->opened_us = ts_clock_now_us();
    gateway->nodes_grown_us = gateway->opened_us;
    gateway->dialect = ts_plugin_find(TS_PLUGIN_DIALECT, settings->dialect);
    gateway->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->route_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)ts_route_state_free);
    gateway->request_budget = ts_memory_budget_create(loop, reclaim_memory, gateway);
    gateway->answer_budget = ts_memory_budget_create(loop, reclaim_memory, gateway);
    gateway->random = ((uint32_t)ts_clock_now_us() ^ g_str_hash(settings->name)) | 1U;
    apply_settings(gateway);
    gateway->registry = ts_registry_create(settings->zone, gateway->zones);
    gateway->upstream = ts_upstream_create(loop, gateway->dialect);
    ts_upstream_set_answer_budget(gateway->upstream, gateway->answer_budget);
    ts_upstream_set_idle_limit_callback(gateway->upstream, idle_connections_max, gateway);
    gateway->quarantine = ts_quarantine_create();
    gateway->broken_sends = ts_broken_sends_create(loop, gateway->quarantine);
    ts_upstream_set_broken_send_callback(gateway->upstream, ts_broken_sends_add,
                                         gateway->broken_sends);
    gateway->mirror = ts_store_mirror_create(gateway);
    gateway->store = ts_store_watch_create(gateway);
    gateway->pending = ts_pending_create(gateway);
    gateway->admission_queue = ts_admission_queue_create(gateway);
    ts_gateway_open_quotas(gateway);
    ts_upstream_set_stall_detector(gateway->upstream,
                                   ts_stall_detector_start(loop, on_resume, gateway));
    ts_error_t error = open_listeners(gateway);
    if (error == TS_OK && settings->peers != NULL) {
        gateway->peers = ts_peers_open(gateway, gateway->mirror);
        ts_registry_set_sighting_callback(gateway->registry, announce_sighting, gateway);
        error = gateway->peers == NULL ? TS_E_LISTEN : TS_OK;
    }
    if (error == TS_OK) {
        ts_store_watch_start(gateway->store);
    }
    return error;
}

static void sweep_service(gpointer name, gpointer value, gpointer context)
{
    const ts_service_t *service = value;
    ts_gateway_t *gateway = context;
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = 0; i < service->instances->len; i++) {
        ts_upstream_sweep(gateway->upstream, g_ptr_array_index(service->instances, i), now_us);
    }
}

void ts_gateway_sweep(ts_gateway_t *gateway)
{
    ts_listener_sweep(gateway->caller_listener);
    ts_listener_sweep(gateway->ready_listener);
    if (gateway->metrics_listener != NULL) {
        ts_listener_sweep(gateway->metrics_listener);
    }
    ts_registry_each_service(gateway->registry, sweep_service, gateway);
    ts_time_us_t now_us = ts_clock_now_us();
    ts_registry_sweep(gateway->registry, now_us);
    ts_quarantine_expire(gateway->quarantine, now_us);
    ts_gauge_set(TS_COUNTER_QUARANTINE_ENTRIES,
                 ts_quarantine_count(gateway->quarantine, TS_QUARANTINE_QUARANTINED, now_us));
    ts_gateway_set_node_count(gateway, gateway->nodes_seen_max); /* startup or growth may be over */
    ts_store_mirror_sweep(gateway->mirror, now_us);
    if (gateway->peers != NULL) {
        ts_peers_sweep(gateway->peers, now_us);
    }
}
