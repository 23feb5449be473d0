/**
 * How searchers are spoken to. Another wire form is another plug-in of kind
 * TS_PLUGIN_SEARCHER_CLIENT and nothing else.
 */
#ifndef TEALSPAR_SEARCHER_CLIENT_H
#define TEALSPAR_SEARCHER_CLIENT_H

#include "tealspar/messages.h"
#include "tealspar/node.h"

typedef struct ts_searcher ts_searcher_t;           /**< one back end, with its connections */
typedef struct ts_searcher_call ts_searcher_call_t; /**< one request to it */

/** What a searcher says of itself when asked for its health; it may lag. */
typedef enum ts_searcher_health {
    TS_HEALTH_UNREACHABLE,
    TS_HEALTH_STARTING,
    TS_HEALTH_SERVING,
    TS_HEALTH_DRAINING
} ts_searcher_health_t;

/** Called once per call that is not cancelled. The hits belong to the receiver. */
typedef void (*ts_searcher_done_t)(void *context, ts_subreply_t *subreply);
typedef void (*ts_searcher_health_done_t)(void *context, ts_searcher_health_t health);

typedef struct ts_searcher_client {
    /** Opens a back end with at most `connections` connections; TS_OK or TS_E_ADDRESS. */
    ts_error_t (*open)(ts_searcher_t **searcher, const ts_node_t *node, const char *address,
                       uint32_t connections);
    /** Closes it; calls in flight end first. */
    void (*close)(ts_searcher_t *searcher);
    /** Asks for one shard. `left_us` is the time until the deadline. */
    ts_searcher_call_t *(*search)(ts_searcher_t *searcher, const ts_query_params_t *work,
                                  const char *shard, uint64_t wanted_snapshot, ts_time_us_t left_us,
                                  ts_searcher_done_t done, void *context);
    /** Cancels a call: the searcher is told, the callback does not run. */
    void (*cancel)(ts_searcher_call_t *call);
    /** Asks for the health. */
    void (*check_health)(ts_searcher_t *searcher, ts_searcher_health_done_t done, void *context);
} ts_searcher_client_t;

#endif
