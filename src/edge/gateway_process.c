/** The gateway process: signals, reload of settings, graceful shutdown. */
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "tealspar/counters.h"
#include "tealspar/gateway.h"
#include "tealspar/log.h"
#include "tealspar/version.h"

#define TICK_MS 500

typedef struct process {
    ts_gateway_t gateway;
    uv_loop_t loop;
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t hangup;
    uv_prepare_t log_flush;
    uv_timer_t tick_timer;
    const char *settings_path;
    struct timespec settings_mtime;
    ts_time_us_t stop_began_us;
} process_t;

static process_t process;

/* Records the modification time of the settings file; returns whether it has changed. */
static bool update_settings_mtime(void)
{
    struct stat status;
    if (stat(process.settings_path, &status) != 0) {
        return false;
    }
    bool changed = status.st_mtim.tv_sec != process.settings_mtime.tv_sec ||
                   status.st_mtim.tv_nsec != process.settings_mtime.tv_nsec;
    process.settings_mtime = status.st_mtim;
    return changed;
}

/* Reloads the settings file. If it is unreadable or invalid, the current settings remain active and
 * an error is counted. */
static void reload(const char *reason)
{
    ts_gateway_t *gateway = &process.gateway;
    char *text = NULL;
    size_t length = 0;
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = NULL;
    if (g_file_get_contents(process.settings_path, &text, &length, NULL)) {
        settings = ts_gateway_settings_load(text, length, &problems);
    }
    if (settings != NULL) {
        ts_gateway_set_settings(gateway, settings);
    } else {
        ts_count_error(TS_E_INVALID);
    }
    ts_log(TS_EVENT_RELOADED, "reason=%s accepted=%s", reason, settings ? "yes" : "no");
    ts_problems_clear(&problems);
    g_free(text);
}

static void on_hangup(uv_signal_t *handle, int number)
{
    (void)update_settings_mtime();
    reload("signal");
}

/* -- Timers ------------------------------------------------------------------------------------ */

static void flush_log(uv_prepare_t *prepare)
{
    ts_log_flush();
}

static void on_tick(uv_timer_t *timer)
{
    ts_gateway_sweep(&process.gateway);
    if (update_settings_mtime()) {
        reload("file");
    }
}

static void on_shutdown_ended(ts_gateway_t *gateway)
{
    uv_stop(gateway->loop);
}

static void on_stop_signal(uv_signal_t *handle, int number)
{
    if (ts_gateway_is_stopping(&process.gateway))
        return;
    process.stop_began_us = ts_clock_now_us();
    ts_log(TS_EVENT_STOPPING, "signal=%d requests=%u", number, process.gateway.requests);
    ts_gateway_begin_shutdown(&process.gateway, on_shutdown_ended);
}

/* -- Start ------------------------------------------------------------------------------------- */

static void raise_open_file_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        (void)setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static void watch_signals(void)
{
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&process.loop, &process.terminate);
    uv_signal_init(&process.loop, &process.interrupt);
    uv_signal_init(&process.loop, &process.hangup);
    uv_signal_start(&process.terminate, on_stop_signal, SIGTERM);
    uv_signal_start(&process.interrupt, on_stop_signal, SIGINT);
    uv_signal_start(&process.hangup, on_hangup, SIGHUP);
}

ts_error_t ts_gateway_run(const char *path, ts_gateway_settings_t *settings)
{
    process.settings_path = path;
    raise_open_file_limit();
    uv_loop_init(&process.loop);
    watch_signals();
    (void)update_settings_mtime();
    ts_error_t error = ts_gateway_open(&process.gateway, &process.loop, settings);
    if (error != TS_OK) {
        return error;
    }
    uv_timer_init(&process.loop, &process.tick_timer);
    uv_prepare_init(&process.loop, &process.log_flush);
    uv_prepare_start(&process.log_flush, flush_log);
    uv_timer_start(&process.tick_timer, on_tick, TICK_MS, TICK_MS);
    ts_log(TS_EVENT_STARTED, "version=%s zone=%s callers=%s", TS_VERSION, settings->zone,
           settings->callers);
    uv_run(&process.loop, UV_RUN_DEFAULT);
    unsigned cut = ts_gateway_log_cut_requests(&process.gateway);
    ts_log(TS_EVENT_STOPPED, "after_ms=%lu cut=%u",
           (unsigned long)((ts_clock_now_us() - process.stop_began_us) / TS_US_PER_MS), cut);
    ts_log_close();
    return TS_OK;
}
