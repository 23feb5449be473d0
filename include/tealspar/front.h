/** The front: accepts queries, fans them out to shards and merges the answers. */
#ifndef TEALSPAR_FRONT_H
#define TEALSPAR_FRONT_H

#include <uv.h>

#include "tealspar/query-t.h"
#include "tealspar/settings.h"

typedef struct ts_front ts_front_t;

/** TS_OK if queries are accepted now, else TS_E_NOT_READY or TS_E_STOPPING. */
ts_error_t ts_front_readiness(const ts_front_t *front);
/** The active declarations, or NULL. */
ts_declarations_t *ts_front_declarations(const ts_front_t *front);
/** Frees the strings of a request, not the struct. */
void ts_query_request_clear(ts_query_request_t *request);
/**
 * Starts a query and takes ownership of the strings of `request`. `callback` is called exactly
 * once, unless the query is abandoned. Returns NULL if it was already called; else the query is
 * valid until then.
 */
ts_query_t *ts_front_submit(ts_front_t *front, ts_query_request_t *request,
                            ts_answer_callback_t callback, void *context);
/**
 * Ends the query of a caller that has disconnected. Its subrequests are cancelled, except
 * unrepeatable ones; its callback is not called.
 */
void ts_front_abandon(ts_query_t *query);

/** Protocol for callers; a plug-in of kind TS_PLUGIN_CALLER_API. */
typedef struct ts_caller_api {
    /** Starts listening; returns TS_OK or an error. */
    ts_error_t (*open)(uv_loop_t *loop, const ts_settings_t *settings, ts_front_t *front);
    /** Tells callers to close their connections after the next reply; still accepts and serves. */
    void (*leave)(void);
    /** Stops accepting connections and closes open ones once they are idle. */
    void (*drain)(void);
} ts_caller_api_t;

#endif
