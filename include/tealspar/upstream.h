/**
 * Connections to back ends. A connection belongs to one instance and carries one request at a time;
 * it is used again only after exactly one whole, well-framed answer with the right request id and
 * nothing after it. One exchange is one request sent to one instance.
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
#include "tealspar/stall_detector.h"

typedef struct ts_upstream ts_upstream_t;
typedef struct ts_exchange ts_exchange_t;

/** How an exchange ended. */
typedef struct ts_exchange_result {
    ts_error_t error;                /**< TS_OK: `answer` is whole, whatever its status */
    ts_execution_t run;              /**< whether the instance ran the request */
    const ts_http_message_t *answer; /**< valid during the call; NULL on an error */
    ts_time_us_t span_us;            /**< from the sending to the end */
    bool is_untimed;                 /**< this process stood still meanwhile */
} ts_exchange_result_t;

/** Called once, unless the exchange was cancelled or released before. */
typedef void (*ts_exchange_done_t)(ts_exchange_t *exchange, const ts_exchange_result_t *result,
                                   void *owner);

/** How many connections to the instance this node may keep while they rest. */
typedef uint32_t (*ts_upstream_kept_t)(void *ctx, ts_instance_t *instance, ts_time_us_t now_us);

ts_upstream_t *ts_upstream_create(uv_loop_t *loop, const ts_dialect_t *dialect);
/** Who decides how many connections are kept; without it none is closed for being too many. */
void ts_upstream_on_rest(ts_upstream_t *upstream, ts_upstream_kept_t kept, void *ctx);
/** Who notices that this process stood still; asked when an answer is very late. */
void ts_upstream_on_late(ts_upstream_t *upstream, ts_stall_detector_t *wake);
/** This process stood still: what is out now is not timed, as its times are this node's own. */
void ts_upstream_forget_times(ts_upstream_t *upstream);
/** A send that left and whose connection failed before a whole answer came. */
typedef struct ts_broken_send {
    ts_instance_t *instance;
    ts_outgoing_t *outgoing;
    ts_time_us_t span_us; /**< from the sending to the end */
    bool is_awaited;      /**< somebody still waited for its answer */
    bool is_lone;         /**< as its terms said */
} ts_broken_send_t;

/** Called for each such send, before its owner is told. */
typedef void (*ts_upstream_broken_t)(void *ctx, const ts_broken_send_t *send);
void ts_upstream_on_broken(ts_upstream_t *upstream, ts_upstream_broken_t broken, void *ctx);
/** What is known of a send beside its bytes. */
typedef struct ts_send_terms {
    double typical_us; /**< what such a request takes from here, to judge by; 0: not known */
    bool is_repeat;    /**< another send of the request, or of the part, went before */
    bool is_lone;      /**< its request is tried by one send at a time */
} ts_send_terms_t;

/** Sends a request to an instance, on an idle connection or a new one. */
ts_exchange_t *ts_upstream_send(ts_upstream_t *upstream, ts_instance_t *instance,
                                ts_outgoing_t *outgoing, const ts_send_terms_t *terms,
                                ts_exchange_done_t done, void *owner);
/** Ends an exchange at once by closing its connection; `done` is not called. */
void ts_exchange_cancel(ts_exchange_t *exchange);
/** Nobody waits any more: it may finish until `until_us`, then it is cancelled. */
void ts_exchange_release(ts_exchange_t *exchange, ts_time_us_t until_us);
/** When the request left this node; 0 while the connection is coming up. */
ts_time_us_t ts_exchange_sent_us(const ts_exchange_t *exchange);
/** Whether this process stood still while it was out, so that its times say nothing. */
bool ts_exchange_is_untimed(const ts_exchange_t *exchange);
ts_instance_t *ts_exchange_instance(const ts_exchange_t *exchange);
/** Closes idle connections that have rested too long, or whose instance has left. */
void ts_upstream_sweep(ts_upstream_t *upstream, ts_instance_t *instance, ts_time_us_t now_us);

#endif
