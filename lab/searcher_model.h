/**
 * Model of one stand-in searcher (the server process behind a declared backend): slots, queue,
 * service times and states. Not thread-safe; used from one event loop.
 */
#ifndef TEALSPAR_LAB_SEARCHER_MODEL_H
#define TEALSPAR_LAB_SEARCHER_MODEL_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <uv.h>

#include "tealspar/clock.h"
#include "tealspar/declarations-t.h"
#include "tealspar/http_server.h"

/** Distribution of service times: log-normal, with a percentage of slow requests. */
typedef struct lab_service {
    double mean_ms;             /**< mean without slow requests */
    double sigma;               /**< standard deviation of the logarithm */
    double straggler_percent;   /**< percentage of slow requests */
    double straggler_factor[2]; /**< minimum and maximum slowdown of a slow request */
} lab_service_t;

typedef enum lab_searcher_state {
    LAB_SERVING,
    LAB_STARTING, /**< refuses all requests */
    LAB_DRAINING, /**< serves for a grace period, then refuses */
    LAB_SHEDDING, /**< refuses all requests but reports itself as serving */
    LAB_DEAD      /**< closes the connection of each request without a reply */
} lab_searcher_state_t;

typedef struct lab_searcher {
    uv_loop_t *loop;
    const ts_backend_t *backend;
    lab_service_t service;
    lab_searcher_state_t state;
    ts_time_us_t state_since_us;
    lab_searcher_state_t reported; /**< state in health replies; follows `state` with a delay */
    double slow_factor;            /**< slowdown of all requests; 1: none */
    double cold_ms;                /**< requests are slow for this long after a state change */
    uint64_t snapshot;
    uint64_t previous_snapshot; /**< still served on request; 0: none */
    char **shards;              /**< NULL-terminated; changed by repartition */
    GPtrArray *running;         /**< of lab_request_t */
    GQueue *waiting;            /**< of lab_request_t */
    unsigned max_running;
    ts_time_us_t load_sampled_us; /**< time of the last sample for the load endpoint */
    unsigned sampled_running;
    unsigned sampled_waiting;
    unsigned reported_running; /**< value of the load endpoint: the sample before the last */
    unsigned reported_waiting;
    gsl_rng *random;
    FILE *journal; /**< NULL: not written */
    ts_http_server_t *server;
    uv_timer_t report_timer; /**< delays updates of `reported` */
} lab_searcher_t;

/** A request that a searcher has accepted. */
typedef struct lab_request {
    lab_searcher_t *searcher;
    ts_http_exchange_t *exchange;
    uv_timer_t timer;
    char *id;
    char *shard;
    char *query;
    unsigned limit;
    uint64_t wanted_snapshot;
    ts_time_us_t deadline_us; /**< if still queued at this time, the request is refused */
    bool is_unrepeatable;
    bool is_running;
    bool is_abandoned; /**< the client has closed the connection */
} lab_request_t;

/**
 * Creates a searcher for a backend. The caller opens `server` with lab_searcher_handle as its
 * handler.
 */
lab_searcher_t *lab_searcher_create(uv_loop_t *loop, const ts_backend_t *backend,
                                    const lab_service_t *service, uint64_t seed, FILE *journal);
/** Handles a request to /health, /load or /control; all other paths are searches. */
void lab_searcher_handle(void *searcher, ts_http_exchange_t *exchange,
                         const ts_http_request_t *request);

#endif
