/** The gateway's life: start, reload, readiness, stop. */
#include "tealspar/gateway.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/plugin.h"
#include "tealspar/store_watch.h"
#include "tealspar/version.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define TICK_MS 500
#define STOP_TICK_MS 50
/* After the request to stop new connections still come for so long; then the listener closes. */
#define STOP_ACCEPT_US (3500 * TS_US_PER_MS)
/* The process ends so long before it would be killed. */
#define STOP_MARGIN_US (400 * TS_US_PER_MS)
/* Of the slack, which cannot be divided among nodes nobody counts, one takes this part. */
#define SLACK_DIVISOR 3.0

typedef struct process {
    ts_gateway_t gateway;
    uv_loop_t loop;
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t hang_up;
    uv_timer_t tick;
    uv_timer_t stop_tick;
    const char *path;
    struct timespec settings_changed;
    ts_time_us_t stop_began_us;
} process_t;

static process_t process;

uint32_t ts_gateway_random(ts_gateway_t *gateway) {
    uint32_t value = gateway->random;
    value ^= value << 13;
    value ^= value >> 17;
    value ^= value << 5;
    gateway->random = value;
    return value;
}

ts_route_state_t *ts_gateway_route_state(ts_gateway_t *gateway, const ts_traffic_route_t *route) {
    ts_route_state_t *state = g_hash_table_lookup(gateway->route_states, route->name);
    if (state == NULL) {
        state = ts_route_state_create(route->aim_ms);
        g_hash_table_insert(gateway->route_states, g_strdup(route->name), state);
    }
    return state;
}

/* Services carry the limits of the configuration in force. */
static void apply_services(ts_gateway_t *gateway) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, gateway->traffic->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_traffic_service_t *service = value;
        ts_registry_service(gateway->registry, service->name)->connections_max =
            service->connections_max;
    }
}

void ts_gateway_set_traffic(ts_gateway_t *gateway, ts_traffic_t *traffic) {
    if (gateway->traffic != NULL && traffic->version <= gateway->traffic->version) {
        if (traffic->version < gateway->traffic->version) {
            ts_count(TS_COUNTER_CONFIG_STALE, 1);
        }
        ts_traffic_unref(traffic);
        return;
    }
    ts_log(TS_EVENT_CONFIG_ACCEPTED, "version=%lu before=%lu routes=%u",
           (unsigned long)traffic->version,
           gateway->traffic ? (unsigned long)gateway->traffic->version : 0UL,
           traffic->routes->len);
    ts_traffic_unref(gateway->traffic);
    gateway->traffic = traffic;
    ts_count(TS_COUNTER_CONFIG_ACCEPTED, 1);
    ts_gauge_set(TS_COUNTER_CONFIG_VERSION, (int64_t)traffic->version);
    ts_listener_set_limits(gateway->callers, &traffic->limits);
    apply_services(gateway);
}

/* -- Listeners --------------------------------------------------------------------------------- */

static void begin_request(ts_caller_t *caller, void *context) {
    ts_request_begin(context, caller);
}

static void abandon_request(ts_caller_t *caller, void *context) {
    ts_request_abandon(context, caller);
}

static const ts_listener_ops_t caller_ops = {begin_request, abandon_request};

static bool is_ready(const ts_gateway_t *gateway) {
    return !gateway->is_stopping && gateway->traffic != NULL &&
           ts_store_watch_is_primed(gateway->store);
}

static void answer_ready(ts_caller_t *caller, void *context) {
    const ts_gateway_t *gateway = context;
    const char *target = ts_caller_message(caller)->target->str;
    unsigned status = STATUS_NOT_FOUND;
    if (strcmp(target, gateway->dialect->ready_path) == 0) {
        status = is_ready(gateway) ? STATUS_OK : STATUS_UNAVAILABLE;
    }
    ts_caller_answer(caller, status, NULL, NULL, 0);
}

static void answer_metrics(ts_caller_t *caller, void *context) {
    GString *text = g_string_new(NULL);
    ts_counters_write_prometheus(text);
    ts_caller_answer(caller, STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                     text->len);
    g_string_free(text, TRUE);
}

static void ignore_leaving(ts_caller_t *caller, void *context) {
}

static const ts_listener_ops_t ready_ops = {answer_ready, ignore_leaving};
static const ts_listener_ops_t metrics_ops = {answer_metrics, ignore_leaving};

static ts_error_t open_listeners(ts_gateway_t *gateway) {
    const ts_gateway_settings_t *settings = gateway->settings;
    gateway->callers = ts_listener_open(gateway->loop, settings->callers, &caller_ops, gateway);
    gateway->ready = ts_listener_open(gateway->loop, settings->ready, &ready_ops, gateway);
    if (settings->metrics != NULL) {
        gateway->metrics =
            ts_listener_open(gateway->loop, settings->metrics, &metrics_ops, gateway);
    }
    bool is_open = gateway->callers != NULL && gateway->ready != NULL &&
                   (settings->metrics == NULL || gateway->metrics != NULL);
    return is_open ? TS_OK : TS_E_LISTEN;
}

/* -- Settings ---------------------------------------------------------------------------------- */

static void apply_settings(ts_gateway_t *gateway) {
    const ts_gateway_settings_t *settings = gateway->settings;
    gateway->rule.ratio = settings->retry_ratio;
    gateway->rule.window_us = settings->retry_window_ms * TS_US_PER_MS;
    gateway->rule.slack_share =
        settings->retry_slack / (SLACK_DIVISOR * settings->fleet_nodes);
    for (unsigned i = 0; i < settings->zones_count; i++) {
        g_hash_table_replace(gateway->zones, g_strdup(settings->zones[i].zone),
                             g_strdup(settings->zones[i].region));
    }
}

static bool settings_file_changed(void) {
    struct stat status;
    if (stat(process.path, &status) != 0) {
        return false;
    }
    bool changed = status.st_mtim.tv_sec != process.settings_changed.tv_sec ||
                   status.st_mtim.tv_nsec != process.settings_changed.tv_nsec;
    process.settings_changed = status.st_mtim;
    return changed;
}

/* Reads the settings again; a file that does not pass changes nothing. */
static void reload(const char *reason) {
    ts_gateway_t *gateway = &process.gateway;
    char *text = NULL;
    size_t length = 0;
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = NULL;
    if (g_file_get_contents(process.path, &text, &length, NULL)) {
        settings = ts_gateway_settings_load(text, length, &problems);
    }
    if (settings != NULL) {
        ts_gateway_settings_free(gateway->settings);
        gateway->settings = settings;
        apply_settings(gateway);
        ts_store_watch_reload(gateway->store);
    } else {
        ts_count_error(TS_E_INVALID);
    }
    ts_log(TS_EVENT_RELOADED, "reason=%s accepted=%s", reason, settings ? "yes" : "no");
    ts_problems_clear(&problems);
    g_free(text);
}

static void hang_up(uv_signal_t *handle, int number) {
    (void)settings_file_changed();
    reload("signal");
}

/* -- Time -------------------------------------------------------------------------------------- */

static void sweep_service(gpointer name, gpointer value, gpointer context) {
    const ts_service_t *service = value;
    ts_gateway_t *gateway = context;
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = 0; i < service->instances->len; i++) {
        ts_upstream_sweep(gateway->upstream, g_ptr_array_index(service->instances, i), now_us);
    }
}

static void tick(uv_timer_t *timer) {
    ts_gateway_t *gateway = &process.gateway;
    ts_listener_sweep(gateway->callers);
    ts_listener_sweep(gateway->ready);
    if (gateway->metrics != NULL) {
        ts_listener_sweep(gateway->metrics);
    }
    ts_registry_each_service(gateway->registry, sweep_service, gateway);
    ts_registry_sweep(gateway->registry, ts_clock_now_us());
    if (settings_file_changed()) {
        reload("file");
    }
}

static void check_stop(uv_timer_t *timer) {
    ts_gateway_t *gateway = &process.gateway;
    ts_time_us_t age_us = ts_clock_now_us() - process.stop_began_us;
    ts_time_us_t grace_us = gateway->settings->grace_ms * TS_US_PER_MS;
    ts_time_us_t last_us = grace_us > 2 * STOP_MARGIN_US ? grace_us - STOP_MARGIN_US : grace_us / 2;
    ts_time_us_t accept_us = STOP_ACCEPT_US < last_us ? STOP_ACCEPT_US : last_us * 2 / 3;
    if (age_us > accept_us) {
        ts_listener_close(gateway->callers);
    }
    bool is_done = age_us > accept_us && gateway->requests == 0 &&
                   ts_listener_connections(gateway->callers) == 0;
    if (is_done || age_us > last_us) {
        uv_stop(&process.loop);
    }
}

static void begin_stop(uv_signal_t *handle, int number) {
    if (process.gateway.is_stopping) {
        return;
    }
    process.gateway.is_stopping = true;
    process.stop_began_us = ts_clock_now_us();
    ts_log(TS_EVENT_STOPPING, "signal=%d requests=%u", number, process.gateway.requests);
    ts_listener_leave(process.gateway.callers);
    uv_timer_start(&process.stop_tick, check_stop, STOP_TICK_MS, STOP_TICK_MS);
}

/* -- Start ------------------------------------------------------------------------------------- */

static void raise_open_files(void) {
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        (void)setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static void watch_signals(void) {
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&process.loop, &process.terminate);
    uv_signal_init(&process.loop, &process.interrupt);
    uv_signal_init(&process.loop, &process.hang_up);
    uv_signal_start(&process.terminate, begin_stop, SIGTERM);
    uv_signal_start(&process.interrupt, begin_stop, SIGINT);
    uv_signal_start(&process.hang_up, hang_up, SIGHUP);
}

static void init_gateway(ts_gateway_settings_t *settings) {
    ts_gateway_t *gateway = &process.gateway;
    gateway->loop = &process.loop;
    gateway->settings = settings;
    gateway->dialect = ts_plugin_find(TS_PLUGIN_DIALECT, settings->dialect);
    gateway->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->route_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                                  (GDestroyNotify)ts_route_state_free);
    gateway->random = (uint32_t)ts_clock_now_us() ^ g_str_hash(settings->name);
    gateway->random |= 1;
    apply_settings(gateway);
    gateway->registry = ts_registry_create(settings->zone, gateway->zones);
    gateway->upstream = ts_upstream_create(gateway->loop, gateway->dialect);
    gateway->store = ts_store_watch_create(gateway);
}

ts_error_t ts_gateway_run(const char *path, ts_gateway_settings_t *settings) {
    process.path = path;
    raise_open_files();
    uv_loop_init(&process.loop);
    watch_signals();
    init_gateway(settings);
    (void)settings_file_changed();
    ts_error_t error = open_listeners(&process.gateway);
    if (error != TS_OK) {
        return error;
    }
    uv_timer_init(&process.loop, &process.tick);
    uv_timer_init(&process.loop, &process.stop_tick);
    uv_timer_start(&process.tick, tick, TICK_MS, TICK_MS);
    ts_store_watch_start(process.gateway.store);
    ts_log(TS_EVENT_STARTED, "version=%s zone=%s callers=%s", TS_VERSION, settings->zone,
           settings->callers);
    uv_run(&process.loop, UV_RUN_DEFAULT);
    ts_log(TS_EVENT_STOPPED, "after_ms=%lu",
           (unsigned long)((ts_clock_now_us() - process.stop_began_us) / TS_US_PER_MS));
    return TS_OK;
}
