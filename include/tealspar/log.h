/**
 * Structured logging through GLib: one line per state change of the process and per decision about
 * a single request; frequent occurrences are counted by metrics instead. Each line names an event
 * of the table below.
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
    X(PLATFORM_LISTED, MESSAGE, "platform_listed")                                                 \
    X(PLATFORM_RESTORED, WARNING, "platform_restored")                                             \
    X(PLATFORM_SETTLED, MESSAGE, "platform_settled")                                               \
    X(MEMBER_STATE, MESSAGE, "member_state")                                                       \
    X(BACKEND_STATE, MESSAGE, "backend_state")                                                     \
    X(ZONE_STATE, MESSAGE, "zone_state")                                                           \
    X(BACKEND_REFUSED, WARNING, "backend_refused")                                                 \
    X(BACKEND_SUSPECT, MESSAGE, "backend_suspect")                                                 \
    X(QUARANTINE_STATE, MESSAGE, "quarantine_state")                                               \
    X(QUARANTINE_SUSPECT, INFO, "quarantine_suspect")                                              \
    X(QUARANTINE_REFUSED, INFO, "quarantine_refused")                                              \
    X(QUOTA_STATE, MESSAGE, "quota_state")                                                         \
    X(REQUEST_DONE, INFO, "request_done")                                                          \
    X(REQUEST_PARTIAL, MESSAGE, "request_partial")                                                 \
    X(REQUEST_FAILED, MESSAGE, "request_failed")                                                   \
    X(REQUEST_LEFT, MESSAGE, "request_left")                                                       \
    X(REQUEST_CUT, WARNING, "request_cut")                                                         \
    X(ACCEPT_FAILED, WARNING, "accept_failed")                                                     \
    X(CALLER_CLOSED, INFO, "caller_closed")                                                        \
    X(PART_SENT_AGAIN, INFO, "part_sent_again")                                                    \
    X(PART_DENIED, INFO, "part_denied")                                                            \
    X(PART_FAILED, INFO, "part_failed")                                                            \
    X(SEND_BROKEN, INFO, "send_broken")                                                            \
    X(PART_BLOCKED, INFO, "part_blocked")                                                          \
    X(PART_LOST, INFO, "part_lost")                                                                \
    X(LOG_DROPPED, WARNING, "log_dropped")                                                         \
    X(RESUMED, WARNING, "resumed")                                                                 \
    X(RELOADED, MESSAGE, "reloaded")                                                               \
    X(QUERY_UNKNOWN, MESSAGE, "query_unknown")                                                     \
    X(QUERY_REFUSED, INFO, "query_refused")                                                        \
    X(DISPATCH_TAKEN, INFO, "dispatch_taken")                                                      \
    X(DISPATCH_REFUSED, INFO, "dispatch_refused")                                                  \
    X(FRAMES_LOST, WARNING, "frames_lost")                                                         \
    X(FRAME_REFUSED, WARNING, "frame_refused")                                                     \
    X(OWNERSHIP, INFO, "ownership_changed")                                                        \
    X(LOOP_STALLED, WARNING, "loop_stalled")                                                       \
    X(QUORUM, WARNING, "quorum_changed")                                                           \
    X(FAILURE, WARNING, "failure")

#define TS_EVENT_ENUM(symbol, level, name) TS_EVENT_##symbol,
typedef enum ts_event { TS_EVENT_TABLE(TS_EVENT_ENUM) TS_EVENT_COUNT } ts_event_t;
#undef TS_EVENT_ENUM

typedef enum ts_log_format { TS_LOG_TEXT, TS_LOG_JSON } ts_log_format_t;

/** Version of the log line schema; see docs/OPERATIONS.md. */
#define TS_LOG_SCHEMA 1

/**
 * Installs the process's log writer, which writes to standard output. `node`: name of this process
 * in each line. `minimum`: the least severe level that is written, as a GLib level flag. The output
 * is rate-limited and never blocks, see tealspar/line_writer.h.
 */
void ts_log_open(const char *node, ts_log_format_t format, GLogLevelFlags minimum);
/**
 * Writes one line. `format` yields "name=value" pairs separated by blanks, which become fields of a
 * JSON line; values must not contain blanks.
 */
void ts_log(ts_event_t event, const char *format, ...) G_GNUC_PRINTF(2, 3);
/**
 * Writes queued lines without blocking, and reports dropped lines at most once per second; call it
 * on each loop iteration.
 */
void ts_log_flush(void);
/** Writes the remaining lines as far as possible without blocking, at the end of the process. */
void ts_log_close(void);
/** Whether a line of this event would be written, to avoid formatting it in vain. */
gboolean ts_log_is_wanted(ts_event_t event);

#endif
