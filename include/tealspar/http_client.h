/**
 * HTTP/1.1 client with connection pools, based on h2o. A pool connects to one address and keeps
 * idle connections open. A call is one request; it ends with exactly one callback unless cancelled.
 */
#ifndef TEALSPAR_HTTP_CLIENT_H
#define TEALSPAR_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "tealspar/error.h"

typedef struct ts_http_pool ts_http_pool_t;
typedef struct ts_http_call ts_http_call_t;

/** Result of a call. `body` is valid only during the callback. */
typedef struct ts_http_result {
    ts_error_t
        error;  /**< TS_OK; TS_E_CONNECT: nothing was sent; TS_E_IO: data may have been sent */
    int status; /**< HTTP status, when error is TS_OK */
    const char *body;
    size_t body_length;
} ts_http_result_t;

typedef void (*ts_http_done_t)(void *context, const ts_http_result_t *result);

/**
 * Creates a pool for `address` ("IP:port") with at most `connections` open connections. Returns
 * TS_OK or TS_E_ADDRESS. Closed by ts_http_pool_close().
 */
ts_error_t ts_http_pool_open(ts_http_pool_t **pool, uv_loop_t *loop, const char *address,
                             size_t connections);
/** Closes the pool's connections once its last call has ended. The struct is never freed. */
void ts_http_pool_close(ts_http_pool_t *pool);
/** Number of calls that have not ended; excludes idle connections. */
unsigned ts_http_pool_in_use(const ts_http_pool_t *pool);

/** A request to be sent. The strings are copied. */
typedef struct ts_http_client_request {
    const char *method;
    const char *path;
    const char *headers; /**< additional header lines, each terminated by "\r\n"; may be NULL */
    const char *body;    /**< may be NULL */
    size_t body_length;
} ts_http_client_request_t;

/** Sends a request. The callback is never called before this function returns. */
ts_http_call_t *ts_http_call(ts_http_pool_t *pool, const ts_http_client_request_t *request,
                             ts_http_done_t done, void *context);
/** Cancels a call without its callback. Closes the connection, which notifies the server. */
void ts_http_cancel(ts_http_call_t *call);

#endif
