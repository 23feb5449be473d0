/**
 * Client connections ("callers"): HTTP/1.1, one request at a time, pipelined requests in order. A
 * request is read completely, within the limits, before it is handed to its owner. While the
 * request is processed, a disconnect of the client is detected at once.
 */
#ifndef TEALSPAR_CALLER_H
#define TEALSPAR_CALLER_H

#include <stdbool.h>
#include <uv.h>

#include "tealspar/clock.h"
#include "tealspar/error.h"
#include "tealspar/http_message.h"
#include "tealspar/memory_budget.h"
#include "tealspar/traffic.h"

typedef struct ts_caller ts_caller_t;
typedef struct ts_listener ts_listener_t;

typedef struct ts_listener_ops {
    /** A request was received; the owner calls ts_caller_answer exactly once, now or later. */
    void (*request)(ts_caller_t *caller, void *context);
    /**
     * The connection was closed before the answer, usually by the client; ts_caller_answer must not
     * be called any more.
     */
    void (*disconnected)(ts_caller_t *caller, void *context);
    /**
     * There is no memory for a request that has been received in part; the owner answers it. NULL:
     * it gets a 503 without further fields.
     */
    void (*no_room)(ts_caller_t *caller, void *context);
} ts_listener_ops_t;

/** Listens on "IP:port". Returns NULL on failure. */
ts_listener_t *ts_listener_open(uv_loop_t *loop, const char *address, const ts_listener_ops_t *ops,
                                void *context);
/**
 * Sets the limits. Timeouts apply to all connections at once, size limits to requests whose first
 * byte has not arrived yet.
 */
void ts_listener_set_limits(ts_listener_t *listener, const ts_traffic_limits_t *limits);
/** Every later answer carries "Connection: close" and ends its connection. */
void ts_listener_disable_keep_alive(ts_listener_t *listener);
/**
 * Stops accepting connections and closes the idle ones, except new ones. May be called again, to
 * close those that are idle by then.
 */
void ts_listener_close(ts_listener_t *listener);
/**
 * Closes connections that exceed their timeouts; if a request was partly received, after a 408
 * answer. Call it about twice per second.
 */
void ts_listener_sweep(ts_listener_t *listener);
/** Calls `visit(caller, ctx)` for each connection whose request is being processed. */
void ts_listener_each_busy(ts_listener_t *listener, void (*visit)(ts_caller_t *caller, void *ctx),
                           void *ctx);
/**
 * Calls `visit(caller, ctx)` for each connection with a request that has begun to arrive and is not
 * answered completely. `visit` may answer it.
 */
void ts_listener_each_unanswered(ts_listener_t *listener,
                                 void (*visit)(ts_caller_t *caller, void *ctx), void *ctx);
/**
 * Sets the budgets of the memory for requests being received and for answers being written, for
 * connections accepted later.
 */
void ts_listener_set_budgets(ts_listener_t *listener, ts_memory_budget_t *requests,
                             ts_memory_budget_t *answers);
/**
 * Sets the maximum number of connections. At the maximum, one that is idle or slow is closed for a
 * new one; if there is none, new ones wait.
 */
void ts_listener_set_connections_max(ts_listener_t *listener, unsigned connections_max);
/**
 * Sets the memory for the kernel's buffers of all connections. The more there are, the smaller are
 * those of further ones.
 */
void ts_listener_set_socket_memory(ts_listener_t *listener, size_t bytes);
/**
 * Closes connections that transfer slowly, the slowest first, until `bytes` more have room in the
 * budget. Only those that have been at it for a second and hold some kilobytes are closed.
 */
void ts_listener_reclaim(ts_listener_t *listener, const ts_memory_budget_t *budget, size_t bytes);
/** Number of open connections. */
unsigned ts_listener_connections(const ts_listener_t *listener);

const ts_http_message_t *ts_caller_message(const ts_caller_t *caller);
/** The same, for an owner that takes buffers of the request in progress, such as its body. */
ts_http_message_t *ts_caller_mutable_message(ts_caller_t *caller);
/** Until this time, the next answer is not given up by ts_listener_reclaim(). */
void ts_caller_keep_answer(ts_caller_t *caller, ts_time_us_t until_us);
/** What the connection does: "reading", "processing", "writing" or "lingering". */
const char *ts_caller_state_name(const ts_caller_t *caller);
/** Whether the connection is idle or a request has not arrived completely. */
bool ts_caller_is_reading(const ts_caller_t *caller);
/** Time since it began to do that, or since the first byte of the request that it reads. */
ts_time_us_t ts_caller_state_age_us(const ts_caller_t *caller);
/** Attaches the owner's request object to the connection; ts_caller_answer detaches it. */
void ts_caller_set_request(ts_caller_t *caller, void *request);
void *ts_caller_request(const ts_caller_t *caller);
/**
 * Answers the request. `fields`: further header fields, each terminated by CR LF; may be NULL.
 * Content-Length and, if needed, Connection are added. The body is copied.
 */
void ts_caller_answer(ts_caller_t *caller, unsigned status, const char *fields, const char *body,
                      size_t length);
/** The same, but takes ownership of the body instead of copying it; NULL: no body. */
void ts_caller_answer_with(ts_caller_t *caller, unsigned status, const char *fields, GString *body);

#endif
