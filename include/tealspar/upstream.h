/**
 * Connections to backends. A connection belongs to one instance and carries one request at a time.
 * It is reused only after exactly one complete, well-framed response with the expected request id
 * and no bytes after it. An exchange is one request sent to one instance, and its response.
 */
#ifndef TEALSPAR_UPSTREAM_H
#define TEALSPAR_UPSTREAM_H

#include <stdbool.h>
#include <uv.h>

#include "tealspar/clock.h"
#include "tealspar/dialect.h"
#include "tealspar/http_message.h"
#include "tealspar/memory_budget.h"
#include "tealspar/messages.h"
#include "tealspar/outgoing.h"
#include "tealspar/registry.h"
#include "tealspar/stall_detector.h"

typedef struct ts_upstream ts_upstream_t;
typedef struct ts_exchange ts_exchange_t;

/** How an exchange ended. */
typedef struct ts_exchange_result {
    ts_error_t error;          /**< TS_OK: `answer` is complete, with any status code */
    ts_execution_t run;        /**< whether the instance ran the request */
    ts_http_message_t *answer; /**< response, valid during the callback, which may take its body;
                                    NULL on an error */
    ts_time_us_t span_us;   /**< from sending the request to the end of the exchange; 0: not sent */
    bool has_invalid_times; /**< `span_us` includes a stall of this process */
} ts_exchange_result_t;

/**
 * Called once when the exchange ends, unless it was cancelled or released. The exchange is freed
 * after the call.
 */
typedef void (*ts_exchange_done_t)(ts_exchange_t *exchange, const ts_exchange_result_t *result,
                                   void *owner);

/** Returns the number of idle connections to the instance that this node may keep. */
typedef uint32_t (*ts_upstream_idle_limit_cb_t)(void *ctx, ts_instance_t *instance,
                                                ts_time_us_t now_us);

ts_upstream_t *ts_upstream_create(uv_loop_t *loop, const ts_dialect_t *dialect);
/** Sets the limit of idle connections; without a callback their number is not limited. */
void ts_upstream_set_idle_limit_callback(ts_upstream_t *upstream,
                                         ts_upstream_idle_limit_cb_t callback, void *ctx);
/**
 * Sets the maximum number of connections. At the maximum, the one that has been idle for longest is
 * closed for a new one; if none is idle, a send that needs a new one fails as not sent.
 */
void ts_upstream_set_connections_max(ts_upstream_t *upstream, unsigned connections_max);
/**
 * Sets the budget of the memory for answers. An answer that does not fit is not read further,
 * beyond its first few kilobytes, until there is room; without a budget all are read.
 */
void ts_upstream_set_answer_budget(ts_upstream_t *upstream, ts_memory_budget_t *budget);
/**
 * Sets the detector of process stalls. It is run when an exchange ends more than TS_STALL_MIN_US
 * after its request was sent, before the result is evaluated, so that a stall of this process does
 * not count against the instance.
 */
void ts_upstream_set_stall_detector(ts_upstream_t *upstream, ts_stall_detector_t *detector);
/** Marks the times of all current exchanges as invalid, as they include a process stall. */
void ts_upstream_invalidate_times(ts_upstream_t *upstream);
/** A send whose connection failed after the request was sent and before a complete response. */
typedef struct ts_broken_send {
    ts_instance_t *instance;
    ts_outgoing_t *outgoing;
    ts_time_us_t span_us; /**< time since the request was sent */
    bool is_awaited;      /**< its response was still awaited: the exchange was not released */
    bool is_isolated;     /**< sent alone, as the request may crash backends */
} ts_broken_send_t;

/** Called for each broken send, before the `done` callback of its exchange. */
typedef void (*ts_upstream_broken_send_cb_t)(void *ctx, const ts_broken_send_t *send);
void ts_upstream_set_broken_send_callback(ts_upstream_t *upstream,
                                          ts_upstream_broken_send_cb_t callback, void *ctx);
/** Parameters of a send that are not part of the request. */
typedef struct ts_send_terms {
    double typical_us; /**< usual response time of such a request at this node; 0: not known */
    bool is_repeat;    /**< a hedge or retry of the request or part */
    bool is_isolated;  /**< only one send of the request at a time, as it may crash backends */
} ts_send_terms_t;

/** Sends a request to an instance, on an idle connection or a new one. */
ts_exchange_t *ts_upstream_send(ts_upstream_t *upstream, ts_instance_t *instance,
                                ts_outgoing_t *outgoing, const ts_send_terms_t *terms,
                                ts_exchange_done_t done, void *owner);
/** Ends an exchange at once by closing its connection; `done` is not called. */
void ts_exchange_cancel(ts_exchange_t *exchange);
/**
 * Marks the response as no longer awaited: `done` is not called. The exchange may still complete
 * until `until_us`, so that its connection can be reused; after that time it is cancelled.
 */
void ts_exchange_release(ts_exchange_t *exchange, ts_time_us_t until_us);
/** When the request was sent; 0 while the connection is being established. */
ts_time_us_t ts_exchange_sent_us(const ts_exchange_t *exchange);
/** Whether this process stalled during the exchange, so that its times are invalid. */
bool ts_exchange_has_invalid_times(const ts_exchange_t *exchange);
/** Whether an answer has begun to arrive and is not read further until there is memory for it. */
bool ts_exchange_is_answer_delayed(const ts_exchange_t *exchange);
ts_instance_t *ts_exchange_instance(const ts_exchange_t *exchange);
/**
 * Closes idle connections that timed out or exceed the limit, and all idle connections to an
 * instance that is draining or no longer listed by discovery.
 */
void ts_upstream_sweep(ts_upstream_t *upstream, ts_instance_t *instance, ts_time_us_t now_us);

#endif
