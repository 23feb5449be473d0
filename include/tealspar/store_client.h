/**
 * HTTP client for the configuration service: one call at a time over a persistent connection. A
 * call that times out closes the connection.
 */
#ifndef TEALSPAR_STORE_CLIENT_H
#define TEALSPAR_STORE_CLIENT_H

#include <stdint.h>
#include <uv.h>

#include "tealspar/dialect.h"
#include "tealspar/error.h"

typedef struct ts_store_client ts_store_client_t;

/** A response; the body is valid during the callback. */
typedef struct ts_store_response {
    unsigned status;
    uint64_t epoch; /**< epoch reported by the service; 0: none */
    const char *body;
    size_t length;
} ts_store_response_t;

/** Completion callback; `response` is NULL unless `error` is TS_OK. */
typedef void (*ts_store_done_t)(void *context, ts_error_t error,
                                const ts_store_response_t *response);

ts_store_client_t *ts_store_client_create(uv_loop_t *loop, const ts_dialect_t *dialect,
                                          const char *address, ts_store_done_t done, void *context);
/** Changes the address of the service; if it differs, a pending call fails with TS_E_CANCELLED. */
void ts_store_client_set_address(ts_store_client_t *client, const char *address);
/** Closes the connection; the next call opens another. Must not be used during a call. */
void ts_store_client_reconnect(ts_store_client_t *client);
/** Sends a GET; no other call may be pending. `done` is called once, after this has returned. */
void ts_store_client_get(ts_store_client_t *client, const char *target, uint32_t timeout_ms);

#endif
