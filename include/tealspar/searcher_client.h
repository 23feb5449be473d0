/**
 * Interface to searchers. Each wire protocol is a plug-in of kind TS_PLUGIN_SEARCHER_CLIENT; no
 * other code depends on the protocol.
 */
#ifndef TEALSPAR_SEARCHER_CLIENT_H
#define TEALSPAR_SEARCHER_CLIENT_H

#include "tealspar/messages.h"
#include "tealspar/node.h"

typedef struct ts_searcher ts_searcher_t;           /**< a backend with its connections */
typedef struct ts_searcher_call ts_searcher_call_t; /**< a request to a searcher */

/** Health as reported by the searcher; may be out of date. */
typedef enum ts_searcher_health {
    TS_HEALTH_UNREACHABLE,
    TS_HEALTH_STARTING,
    TS_HEALTH_SERVING,
    TS_HEALTH_DRAINING
} ts_searcher_health_t;

/** Called once per call unless it is cancelled. The receiver owns the hits. */
typedef void (*ts_searcher_done_t)(void *context, ts_subreply_t *subreply);
typedef void (*ts_searcher_health_done_t)(void *context, ts_searcher_health_t health);

typedef struct ts_searcher_client {
    /** Opens a backend with at most `connections` connections. Returns TS_OK or TS_E_ADDRESS. */
    ts_error_t (*open)(ts_searcher_t **searcher, const ts_node_t *node, const char *address,
                       uint32_t connections);
    /** Closes a backend; calls in flight end first. */
    void (*close)(ts_searcher_t *searcher);
    /**
     * Queries one shard. `wanted_snapshot`: index version to be queried; 0: any. `left_us`: time
     * until the deadline.
     */
    ts_searcher_call_t *(*search)(ts_searcher_t *searcher, const ts_query_params_t *work,
                                  const char *shard, uint64_t wanted_snapshot, ts_time_us_t left_us,
                                  ts_searcher_done_t done, void *context);
    /** Cancels a call: notifies the searcher; the callback is not called. */
    void (*cancel)(ts_searcher_call_t *call);
    /** Requests the backend's health. */
    void (*check_health)(ts_searcher_t *searcher, ts_searcher_health_done_t done, void *context);
} ts_searcher_client_t;

#endif
