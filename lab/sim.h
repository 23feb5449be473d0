/**
 * Discrete-event simulator: complete nodes (with the production code of front, broker, membership,
 * ownership, configuration and wire format) on a virtual clock, with a simulated network, searchers
 * and platform. Deterministic: the same seed gives the same sequence of events. Used by the fuzzer
 * and the emulator. Only one simulation can exist at a time, since it replaces the process's clock.
 */
#ifndef TEALSPAR_LAB_SIM_H
#define TEALSPAR_LAB_SIM_H

#include <glib.h>
#include <stdbool.h>

#include "tealspar/front.h"
#include "tealspar/node.h"

typedef struct lab_sim lab_sim_t;

/** Distribution of service times: log-normal, with a percentage of slow requests. */
typedef struct lab_sim_service {
    double mean_ms;             /**< mean without slow requests */
    double sigma;               /**< standard deviation of the logarithm */
    double straggler_percent;   /**< percentage of slow requests */
    double straggler_factor[2]; /**< minimum and maximum slowdown of a slow request */
} lab_sim_service_t;

typedef struct lab_sim_config {
    const char *declarations; /**< in YAML */
    unsigned nodes_per_zone;
    const char *policy;
    double network_ms;        /**< minimum one-way delay between nodes of a zone */
    double zone_ms;           /**< additional one-way delay between zones */
    double drop_percent;      /**< percentage of frames between nodes that are lost */
    double duplicate_percent; /**< percentage of frames that are delivered twice */
    double jitter; /**< maximum extra delay as a fraction of the delay; may reorder frames */
    lab_sim_service_t service;
    uint64_t seed;
} lab_sim_config_t;

/** A request whose execution a searcher started. */
typedef struct lab_sim_execution {
    const char *request_id;
    const char *backend;
    bool is_unrepeatable;
} lab_sim_execution_t;

/** Callbacks for simulation events; each may be NULL. */
typedef struct lab_sim_observer {
    void *context;
    /** A searcher started to execute a request. */
    void (*on_execution)(void *context, const lab_sim_execution_t *execution);
    /** A request reached a searcher more than 3 s after it began to drain. */
    void (*on_after_leave)(void *context, const char *request_id, const char *backend);
    /** A configuration became effective at a node. */
    void (*on_config_applied)(void *context, unsigned node, uint64_t version);
} lab_sim_observer_t;

lab_sim_t *lab_sim_create(const lab_sim_config_t *config, const lab_sim_observer_t *observer);
void lab_sim_destroy(lab_sim_t *sim);
/** Advances the virtual clock by `span_us` and runs all events that are due. */
void lab_sim_advance(lab_sim_t *sim, ts_time_us_t span_us);
/** Virtual time in microseconds; the virtual wall clock advances with it. */
ts_time_us_t lab_sim_now_us(const lab_sim_t *sim);
/** Number of events (timers, deliveries, completions) run so far. */
uint64_t lab_sim_steps(const lab_sim_t *sim);
/** Next 64 bits of the simulation's random number generator. */
uint64_t lab_sim_random(lab_sim_t *sim);

bool lab_sim_is_running(const lab_sim_t *sim, unsigned node);
/** Calls `fire` at a virtual time, at once if that has passed. */
void lab_sim_call_at(lab_sim_t *sim, ts_time_us_t at_us, void (*fire)(void *context),
                     void *context);
/** Front of a node for ts_front_submit; NULL if the node is not running or is suspended. */
ts_front_t *lab_sim_front(lab_sim_t *sim, unsigned node);

/* ---- faults ---- */

void lab_sim_kill(lab_sim_t *sim, unsigned node);
void lab_sim_start(lab_sim_t *sim, unsigned node);
/** Starts a graceful shutdown; the process ends once the node is idle. */
void lab_sim_stop(lab_sim_t *sim, unsigned node);
/** Suspends a node; its events are delayed until it resumes. */
void lab_sim_pause(lab_sim_t *sim, unsigned node, ts_time_us_t span_us);
/** Partitions a zone from the others (frames are delayed or lost), or heals the partition. */
void lab_sim_partition_zone(lab_sim_t *sim, unsigned zone, bool is_partitioned);
/** Partitions a node from all others, including those of its zone, or heals the partition. */
void lab_sim_isolate(lab_sim_t *sim, unsigned node, bool is_isolated);
typedef enum lab_sim_searcher_state {
    LAB_SIM_SERVING,
    LAB_SIM_DRAINING,
    LAB_SIM_SHEDDING,
    LAB_SIM_DEAD
} lab_sim_searcher_state_t;
void lab_sim_set_searcher_state(lab_sim_t *sim, unsigned searcher, lab_sim_searcher_state_t state);
void lab_sim_slow_searcher(lab_sim_t *sim, unsigned searcher, double factor);
void lab_sim_set_snapshot(lab_sim_t *sim, unsigned searcher, uint64_t snapshot, bool keep_previous);
/** Sets the declarations that the platform serves (copied); NULL: it is unreachable. */
void lab_sim_set_platform(lab_sim_t *sim, const char *text);
/** Total service time of all searchers, and the number of requests they started. */
void lab_sim_totals(const lab_sim_t *sim, double *work_us, uint64_t *requests);
/** Resets both totals to 0. */
void lab_sim_reset_totals(lab_sim_t *sim);

#endif
