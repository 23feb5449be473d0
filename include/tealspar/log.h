/**
 * Structured logging over GLib. Lines are written for changes of state only; everything else is a
 * counter. Each line names an event of the table below.
 */
#ifndef TEALSPAR_LOG_H
#define TEALSPAR_LOG_H

#include <glib.h>

/* X(symbol, level, name) */
#define TS_EVENT_TABLE(X)                                                                          \
    X(STARTED, MESSAGE, "started")                                                                 \
    X(READY, MESSAGE, "ready")                                                                     \
    X(STOPPING, MESSAGE, "stopping")                                                               \
    X(STOPPED, MESSAGE, "stopped")                                                                 \
    X(CONFIG_ACCEPTED, MESSAGE, "config_accepted")                                                 \
    X(CONFIG_REFUSED, WARNING, "config_refused")                                                   \
    X(CONFIG_CLASH, WARNING, "config_version_clash")                                               \
    X(PLATFORM_LOST, WARNING, "platform_lost")                                                     \
    X(PLATFORM_BACK, MESSAGE, "platform_back")                                                     \
    X(MEMBER_STATE, MESSAGE, "member_state")                                                       \
    X(BACKEND_STATE, MESSAGE, "backend_state")                                                     \
    X(BACKEND_SUSPECT, MESSAGE, "backend_suspect")                                                 \
    X(REQUEST_FAILED, MESSAGE, "request_failed")                                                   \
    X(RELOADED, MESSAGE, "reloaded")                                                               \
    X(OWNERSHIP, INFO, "ownership_changed")                                                        \
    X(LOOP_STALLED, WARNING, "loop_stalled")                                                       \
    X(QUORUM, WARNING, "quorum_changed")                                                           \
    X(FAILURE, WARNING, "failure")

#define TS_EVENT_ENUM(symbol, level, name) TS_EVENT_##symbol,
typedef enum ts_event { TS_EVENT_TABLE(TS_EVENT_ENUM) TS_EVENT_COUNT } ts_event_t;
#undef TS_EVENT_ENUM

typedef enum ts_log_format { TS_LOG_TEXT, TS_LOG_JSON } ts_log_format_t;

/**
 * Installs the process's log writer (standard error). `node` names the process in each line.
 * `minimum` is the least severe level that is written, as a GLib level flag.
 */
void ts_log_open(const char *node, ts_log_format_t format, GLogLevelFlags minimum);
/** Writes one line for a change of state; `format` gives the details. */
void ts_log(ts_event_t event, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
