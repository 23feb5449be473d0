/** A node: opens the task plug-ins, runs the loop and shuts down gracefully. */
#include "tealspar/node.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include "tealspar/counters.h"
#include "tealspar/runtime_uv.h"
#include "tealspar/version.h"

#define STOP_CHECK_MS 10
#define STALL_CHECK_MS 100
/* Longer intervals between two stall checks are counted and logged as stalls of the loop. */
#define STALL_THRESHOLD_US (1000ULL * TS_US_PER_MS)
#define OPEN_FILES_MIN 4096
/* Delay after the tasks are idle, so that the last replies are written to the sockets. */
#define FLUSH_MS 50

typedef struct running {
    ts_node_t node;
    uv_loop_t loop;
    ts_runtime_uv_t runtime;
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_timer_t stop_check;
    uv_timer_t stall_check;
    ts_time_us_t last_stall_check_us;
    ts_time_us_t stop_began_us;
    ts_time_us_t idle_since_us;
} running_t;

static running_t running;

static ts_error_t raise_open_file_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return TS_E_LIMIT;
    }
    limit.rlim_cur = limit.rlim_max;
    (void)setrlimit(RLIMIT_NOFILE, &limit);
    (void)getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < OPEN_FILES_MIN) {
        ts_log(TS_EVENT_FAILURE, "open file limit too low: %lu, required %d",
               (unsigned long)limit.rlim_cur, OPEN_FILES_MIN);
        return TS_E_LIMIT;
    }
    return TS_OK;
}

bool ts_node_is_idle(ts_node_t *node)
{
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(TS_PLUGIN_TASK, plugin)) != NULL) {
        const ts_task_ops_t *ops = plugin->ops;
        if (ops->is_idle != NULL && !ops->is_idle(node)) {
            return false;
        }
    }
    return true;
}

void ts_node_begin_shutdown(ts_node_t *node)
{
    const ts_plugin_t *plugin = NULL;
    node->stopping = true;
    while ((plugin = ts_plugin_next(TS_PLUGIN_TASK, plugin)) != NULL) {
        const ts_task_ops_t *ops = plugin->ops;
        if (ops->stop != NULL) {
            ops->stop(node);
        }
    }
}

void *ts_node_state(const ts_node_t *node, const char *task)
{
    return g_hash_table_lookup(node->states, task);
}

void ts_node_set_state(ts_node_t *node, const char *task, void *state)
{
    g_hash_table_insert(node->states, (gpointer)task, state);
}

void ts_node_init(ts_node_t *node, ts_runtime_t *runtime, const ts_settings_t *settings,
                  uint64_t incarnation)
{
    node->runtime = runtime;
    node->tasks = ts_tasks_create(runtime);
    node->states = g_hash_table_new(g_str_hash, g_str_equal);
    node->settings = settings;
    node->incarnation = incarnation;
    node->searcher_client = "http-json";
    node->platform = "http";
}

void ts_node_close(ts_node_t *node)
{
    const ts_plugin_t *plugin = NULL;
    ts_tasks_destroy(node->tasks); /* first, as queued messages refer to the task states */
    while ((plugin = ts_plugin_next(TS_PLUGIN_TASK, plugin)) != NULL) {
        const ts_task_ops_t *ops = plugin->ops;
        if (ops->close != NULL) {
            ops->close(node);
        }
    }
    g_hash_table_destroy(node->states);
}

static void check_stop(uv_timer_t *timer)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (!ts_node_is_idle(&running.node)) {
        running.idle_since_us = 0;
    } else if (running.idle_since_us == 0) {
        running.idle_since_us = now_us;
    }
    bool is_flushed =
        running.idle_since_us != 0 && now_us - running.idle_since_us > FLUSH_MS * TS_US_PER_MS;
    ts_time_us_t drain_us = running.node.settings->drain_ms * TS_US_PER_MS;
    if (is_flushed || now_us - running.stop_began_us > drain_us) {
        uv_stop(&running.loop);
    }
}

static void begin_stop(uv_signal_t *handle, int signal_number)
{
    if (running.node.stopping) {
        uv_stop(&running.loop); /* a second signal stops the node immediately */
        return;
    }
    running.stop_began_us = ts_clock_now_us();
    ts_log(TS_EVENT_STOPPING, "signal %d", signal_number);
    ts_node_begin_shutdown(&running.node);
    uv_timer_start(&running.stop_check, check_stop, STOP_CHECK_MS, STOP_CHECK_MS);
}

static void check_stall(uv_timer_t *timer)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t interval_us = now_us - running.last_stall_check_us;
    running.last_stall_check_us = now_us;
    if (interval_us > STALL_THRESHOLD_US) {
        ts_count(TS_COUNTER_LOOP_STALLS, 1);
        ts_log(TS_EVENT_LOOP_STALLED, "event loop stalled for %lu ms",
               (unsigned long)(interval_us / TS_US_PER_MS));
    }
}

/* Opens or starts all tasks in order, until one fails. */
static ts_error_t call_tasks(ts_node_t *node, bool is_opening)
{
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(TS_PLUGIN_TASK, plugin)) != NULL) {
        const ts_task_ops_t *ops = plugin->ops;
        ts_error_t (*operation)(ts_node_t *) = is_opening ? ops->open : ops->start;
        ts_error_t error = operation == NULL ? TS_OK : operation(node);
        if (error != TS_OK) {
            ts_log(TS_EVENT_FAILURE, "%s: %s", plugin->name, ts_error_text(error));
            return error;
        }
    }
    return TS_OK;
}

ts_error_t ts_node_start(ts_node_t *node)
{
    ts_error_t error = call_tasks(node, true);
    return error == TS_OK ? call_tasks(node, false) : error;
}

static void watch_signals(void)
{
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&running.loop, &running.terminate);
    uv_signal_init(&running.loop, &running.interrupt);
    uv_signal_start(&running.terminate, begin_stop, SIGTERM);
    uv_signal_start(&running.interrupt, begin_stop, SIGINT);
    uv_timer_init(&running.loop, &running.stop_check);
    uv_timer_init(&running.loop, &running.stall_check);
    running.last_stall_check_us = ts_clock_now_us();
    uv_timer_start(&running.stall_check, check_stall, STALL_CHECK_MS, STALL_CHECK_MS);
}

ts_error_t ts_node_run(const ts_settings_t *settings)
{
    ts_error_t error = raise_open_file_limit();
    if (error != TS_OK) {
        return error;
    }
    uv_loop_init(&running.loop);
    ts_runtime_uv_open(&running.runtime, &running.loop);
    ts_node_init(&running.node, &running.runtime.super, settings, (uint64_t)ts_clock_wall_ms());
    ts_runtime_uv_set_tasks(&running.runtime, running.node.tasks);
    running.node.loop = &running.loop;
    watch_signals();
    error = ts_node_start(&running.node);
    if (error != TS_OK) {
        return error;
    }
    ts_log(TS_EVENT_STARTED, "version %s, callers %s, operators %s, peers %s", TS_VERSION,
           settings->callers, settings->operators, settings->peers);
    uv_run(&running.loop, UV_RUN_DEFAULT);
    ts_log(TS_EVENT_STOPPED, "after %lu ms",
           (unsigned long)((ts_clock_now_us() - running.stop_began_us) / TS_US_PER_MS));
    return TS_OK;
}

json_t *ts_node_status(ts_node_t *node)
{
    json_t *status = json_object();
    json_object_set_new(status, "name", json_string(node->settings->name));
    json_object_set_new(status, "cluster", json_string(node->settings->cluster));
    json_object_set_new(status, "zone", json_string(node->settings->zone));
    json_object_set_new(status, "version", json_string(TS_VERSION));
    json_object_set_new(status, "incarnation", json_integer((json_int_t)node->incarnation));
    json_object_set_new(status, "stopping", json_boolean(node->stopping));
    const ts_plugin_t *plugin = NULL;
    while ((plugin = ts_plugin_next(TS_PLUGIN_TASK, plugin)) != NULL) {
        const ts_task_ops_t *ops = plugin->ops;
        if (ops->describe != NULL) {
            ops->describe(node, status);
        }
    }
    return status;
}
