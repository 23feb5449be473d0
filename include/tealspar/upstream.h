/**
 * Connections to backends. A connection belongs to one instance and carries one request at a time.
 * It is reused only after exactly one complete, well-framed answer with the expected request id
 * and no bytes after it. An exchange is one request sent to one instance, and its answer.
 */
#ifndef TEALSPAR_UPSTREAM_H
#define TEALSPAR_UPSTREAM_H

#include <stdbool.h>
#include <uv.h>

#include "tealspar/clock.h"
#include "tealspar/dialect.h"
#include "tealspar/http_message.h"
#include "tealspar/messages.h"
#include "tealspar/outgoing.h"
#include "tealspar/registry.h"
#include "tealspar/wake.h"

typedef struct ts_upstream ts_upstream_t;
typedef struct ts_exchange ts_exchange_t;

/** How an exchange ended. */
typedef struct ts_exchange_result {
    ts_error_t error;                /**< TS_OK: `answer` is complete, with any status code */
    ts_run_t run;                    /**< whether the instance ran the request */
    const ts_http_message_t *answer; /**< valid during the call; NULL on an error */
    ts_time_us_t span_us;            /**< time since the request was sent; 0: it was not sent */
    bool is_untimed;                 /**< `span_us` is invalid: this process stalled meanwhile */
} ts_exchange_result_t;

/** Called once, unless the exchange is cancelled or released before. */
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
 * Sets the detector of process stalls. It is run before a very late answer is evaluated, so that
 * a stall of this process does not count against the instance.
 */
void ts_upstream_set_stall_detector(ts_upstream_t *upstream, ts_wake_t *detector);
/** Marks all exchanges as untimed after a process stall, as their times include the stall. */
void ts_upstream_mark_untimed(ts_upstream_t *upstream);
/** A send whose connection failed after the request was sent and before a complete answer. */
typedef struct ts_broken_send {
    ts_instance_t *instance;
    ts_outgoing_t *outgoing;
    ts_time_us_t span_us; /**< time since the request was sent */
    bool is_awaited;      /**< the exchange was not released */
    bool is_isolated;     /**< as in ts_send_terms_t */
} ts_broken_send_t;

/** Called for each broken send, before the `done` callback of its exchange. */
typedef void (*ts_upstream_broken_send_cb_t)(void *ctx, const ts_broken_send_t *send);
void ts_upstream_set_broken_send_callback(ts_upstream_t *upstream,
                                          ts_upstream_broken_send_cb_t callback, void *ctx);
/** Parameters of a send that are not part of the request. */
typedef struct ts_send_terms {
    double typical_us; /**< usual response time of such a request at this node; 0: not known */
    bool is_repeat;    /**< a hedge or retry of the request or part */
    bool is_isolated;  /**< the request is limited to one send at a time */
} ts_send_terms_t;

/** Sends a request to an instance, on an idle connection or a new one. */
ts_exchange_t *ts_upstream_send(ts_upstream_t *upstream, ts_instance_t *instance,
                                ts_outgoing_t *outgoing, const ts_send_terms_t *terms,
                                ts_exchange_done_t done, void *owner);
/** Ends an exchange at once by closing its connection; `done` is not called. */
void ts_exchange_cancel(ts_exchange_t *exchange);
/**
 * The answer is no longer awaited: `done` is not called. The exchange may still complete until
 * `until_us`, so that its connection can be reused; then it is cancelled.
 */
void ts_exchange_release(ts_exchange_t *exchange, ts_time_us_t until_us);
/** When the request was sent; 0 while the connection is being established. */
ts_time_us_t ts_exchange_sent_us(const ts_exchange_t *exchange);
/** Whether this process stalled during the exchange, so that its times are invalid. */
bool ts_exchange_is_untimed(const ts_exchange_t *exchange);
ts_instance_t *ts_exchange_instance(const ts_exchange_t *exchange);
/** Closes idle connections that timed out, exceed the limit, or belong to a departing instance. */
void ts_upstream_sweep(ts_upstream_t *upstream, ts_instance_t *instance, ts_time_us_t now_us);

#endif
