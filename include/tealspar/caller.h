/**
 * Connections of callers: HTTP/1.1, one request at a time, in order. A request is read whole within
 * the limits before it is handed on; while it is worked on, a caller that leaves is noticed at
 * once.
 */
#ifndef TEALSPAR_CALLER_H
#define TEALSPAR_CALLER_H

#include <stdbool.h>
#include <uv.h>

#include "tealspar/error.h"
#include "tealspar/http_message.h"
#include "tealspar/traffic.h"

typedef struct ts_caller ts_caller_t;
typedef struct ts_listener ts_listener_t;

typedef struct ts_listener_ops {
    /** A whole request is in; ends with one call of ts_caller_answer, at once or later. */
    void (*request)(ts_caller_t *caller, void *context);
    /** The caller left while its request was worked on; nothing may be answered any more. */
    void (*left)(ts_caller_t *caller, void *context);
} ts_listener_ops_t;

/** Listens on "IP:port". NULL when that fails. */
ts_listener_t *ts_listener_open(uv_loop_t *loop, const char *address, const ts_listener_ops_t *ops,
                                void *context);
/** The limits for requests that begin from now on. */
void ts_listener_set_limits(ts_listener_t *listener, const ts_traffic_limits_t *limits);
/** From now on every answer ends its connection. */
void ts_listener_leave(ts_listener_t *listener);
/** Takes no new connections and closes the resting ones. */
void ts_listener_close(ts_listener_t *listener);
/** Ends connections that rest or dawdle too long; call it every half second or so. */
void ts_listener_sweep(ts_listener_t *listener);
/** Calls `visit(caller, ctx)` for each connection whose request is worked on. */
void ts_listener_each_working(ts_listener_t *listener,
                              void (*visit)(ts_caller_t *caller, void *ctx), void *ctx);
/** Open connections. */
unsigned ts_listener_connections(const ts_listener_t *listener);

const ts_http_message_t *ts_caller_message(const ts_caller_t *caller);
/** What the owner of the request keeps with the connection. */
void ts_caller_set_request(ts_caller_t *caller, void *request);
void *ts_caller_request(const ts_caller_t *caller);
/**
 * Answers the request. `fields`: further header fields, each ended by CR LF, may be NULL; the
 * length and connection fields are added. The body is copied.
 */
void ts_caller_answer(ts_caller_t *caller, unsigned status, const char *fields, const char *body,
                      size_t length);

#endif
