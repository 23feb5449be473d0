/**
 * HTTP server based on h2o: HTTP/1.1 and HTTP/2 (by prior knowledge or upgrade). Each server has
 * one address and one handler. The reply to an exchange may be sent later, from any callback.
 */
#ifndef TEALSPAR_HTTP_SERVER_H
#define TEALSPAR_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "tealspar/error.h"

typedef struct ts_http_server ts_http_server_t;
typedef struct ts_http_exchange ts_http_exchange_t;

/** A request as passed to the handler; valid until the reply or until the caller disconnects. */
typedef struct ts_http_request {
    const char *method;
    size_t method_length;
    const char *path; /**< without the query string */
    size_t path_length;
    const char *body;
    size_t body_length;
} ts_http_request_t;

/** Called once per request. Must cause exactly one ts_http_reply() unless abandoned. */
typedef void (*ts_http_handler_t)(void *context, ts_http_exchange_t *exchange,
                                  const ts_http_request_t *request);
/** Called when the caller disconnects before the reply; the exchange is invalid afterwards. */
typedef void (*ts_http_abandoned_cb_t)(void *context);

typedef struct ts_http_limits {
    size_t body_bytes;           /**< larger bodies are rejected with 413 */
    unsigned request_timeout_ms; /**< maximum time to receive headers and body */
    unsigned connections;        /**< further connections are closed on accept */
} ts_http_limits_t;

/**
 * Listens on `address` ("IP:port"). Returns TS_OK, TS_E_ADDRESS or TS_E_LISTEN; on success
 * `*server` is owned by the caller and closed by ts_http_server_close().
 */
ts_error_t ts_http_server_open(ts_http_server_t **server, uv_loop_t *loop, const char *address,
                               const ts_http_limits_t *limits, ts_http_handler_t handler,
                               void *context);
/** Closes each HTTP/1.1 connection after its next reply. The server still accepts connections. */
void ts_http_server_disable_keepalive(ts_http_server_t *server);
/** Stops accepting, sends GOAWAY to HTTP/2 clients and closes idle connections. */
void ts_http_server_drain(ts_http_server_t *server);
/** Number of open connections. */
unsigned ts_http_server_connections(const ts_http_server_t *server);
/** Stops accepting. The memory is never freed, as connections may still refer to the server. */
void ts_http_server_close(ts_http_server_t *server);

/** Sets the callback for a caller that disconnects before the reply. */
void ts_http_set_abandoned_callback(ts_http_exchange_t *exchange, ts_http_abandoned_cb_t abandoned,
                                    void *context);
/**
 * Copies the value of a request header (lower-case name) into `value`, silently truncated to
 * `size` - 1 bytes. Returns false if the header is absent.
 */
bool ts_http_header(ts_http_exchange_t *exchange, const char *name, char *value, size_t size);
/**
 * Sends the reply and ends the exchange. If `retry_after_ms` is above zero, adds a Retry-After
 * header in seconds, rounded up. The body is copied.
 */
void ts_http_reply(ts_http_exchange_t *exchange, int status, const char *content_type,
                   const char *body, size_t length, unsigned retry_after_ms);

/** Closes the connection without a reply, as if the process had crashed. */
void ts_http_abort(ts_http_exchange_t *exchange);

#endif
