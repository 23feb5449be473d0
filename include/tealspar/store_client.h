/**
 * Calls to the configuration service: one at a time, over one kept connection. A call that is not
 * answered in time ends its connection.
 */
#ifndef TEALSPAR_STORE_CLIENT_H
#define TEALSPAR_STORE_CLIENT_H

#include <stdint.h>
#include <uv.h>

#include "tealspar/dialect.h"
#include "tealspar/error.h"

typedef struct ts_store_client ts_store_client_t;

/** An answer; the body is valid during the call that gives it. */
typedef struct ts_store_answer {
    unsigned status;
    uint64_t epoch; /**< of the service; 0: not told */
    const char *body;
    size_t length;
} ts_store_answer_t;

/** `answer` is NULL unless `error` is TS_OK. */
typedef void (*ts_store_done_t)(void *context, ts_error_t error, const ts_store_answer_t *answer);

ts_store_client_t *ts_store_client_create(uv_loop_t *loop, const ts_dialect_t *dialect,
                                          const char *address, ts_store_done_t done, void *context);
/** Changes where the service is; a call under way fails with TS_E_CANCELLED. */
void ts_store_client_set_address(ts_store_client_t *client, const char *address);
/** Gives up the call under way, if there is one; `done` is not called for it. */
void ts_store_client_abandon(ts_store_client_t *client);
/** Gives up its connection, between two calls: the next one opens another. */
void ts_store_client_reconnect(ts_store_client_t *client);
/** Begins a GET; no other may be under way. `done` is called once, never before this returns. */
void ts_store_client_get(ts_store_client_t *client, const char *target, uint32_t timeout_ms);

#endif
