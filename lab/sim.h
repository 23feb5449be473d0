/**
 * The simulator: whole nodes (the same front, broker, membership, ownership, configuration and wire
 * code as the product) on a virtual clock, with a simulated network, searchers and platform.
 * Deterministic by seed: the same seed gives the same run, step by step. The fuzzer and the
 * emulator stand on it.
 */
#ifndef TEALSPAR_LAB_SIM_H
#define TEALSPAR_LAB_SIM_H

#include <glib.h>
#include <stdbool.h>

#include "tealspar/front.h"
#include "tealspar/node.h"

typedef struct lab_sim lab_sim_t;

/** How searchers behave. */
typedef struct lab_sim_service {
    double mean_ms;
    double sigma;
    double straggler_percent;
    double straggler_factor[2];
} lab_sim_service_t;

typedef struct lab_sim_config {
    const char *declarations; /**< text */
    unsigned nodes_per_zone;
    const char *policy;
    double network_ms;     /**< one way between nodes of a zone, mean */
    double zone_ms;        /**< added between zones */
    double drop_percent;   /**< of frames between nodes */
    double double_percent; /**< of frames that arrive twice */
    double jitter;         /**< of delays, as a part: frames may cross */
    lab_sim_service_t service;
    uint64_t seed;
} lab_sim_config_t;

/** One request that a searcher began to work on. */
typedef struct lab_sim_run {
    const char *request_id;
    const char *backend;
    bool is_unrepeatable;
} lab_sim_run_t;

/** What the owner of a simulation wants to hear. */
typedef struct lab_sim_observer {
    void *context;
    void (*ran)(void *context, const lab_sim_run_t *run);
    /** A request reached a searcher that had left over 3 s before. */
    void (*after_leave)(void *context, const char *request_id, const char *backend);
    /** A configuration was put in force at a node. */
    void (*configured)(void *context, unsigned node, uint64_t version);
} lab_sim_observer_t;

lab_sim_t *lab_sim_create(const lab_sim_config_t *config, const lab_sim_observer_t *observer);
void lab_sim_destroy(lab_sim_t *sim);
/** Lets virtual time pass. */
void lab_sim_run(lab_sim_t *sim, ts_time_us_t span_us);
/** Virtual time in microseconds; the wall clock runs with it. */
ts_time_us_t lab_sim_now_us(const lab_sim_t *sim);
/** Number of steps (timers, deliveries, completions) made so far. */
uint64_t lab_sim_steps(const lab_sim_t *sim);
/** Fresh random bits of the simulation's own stream. */
uint64_t lab_sim_random(lab_sim_t *sim);

bool lab_sim_is_running(const lab_sim_t *sim, unsigned node);
/** Calls `fire` at a virtual time. */
void lab_sim_at(lab_sim_t *sim, ts_time_us_t at_us, void (*fire)(void *context), void *context);
/** Puts a query to a node; as ts_front_submit. NULL when the node does not run. */
ts_front_t *lab_sim_front(lab_sim_t *sim, unsigned node);

/* ---- faults ---- */

void lab_sim_kill(lab_sim_t *sim, unsigned node);
void lab_sim_start(lab_sim_t *sim, unsigned node);
void lab_sim_stop(lab_sim_t *sim, unsigned node); /**< planned */
void lab_sim_pause(lab_sim_t *sim, unsigned node, ts_time_us_t span_us);
/** Cuts a zone from the others (frames are held back or lost), or heals it. */
void lab_sim_cut(lab_sim_t *sim, unsigned zone, bool is_cut);
/** Cuts one node from all others, within its zone as well. */
void lab_sim_isolate(lab_sim_t *sim, unsigned node, bool is_isolated);
typedef enum lab_sim_searcher_state {
    LAB_SIM_SERVING,
    LAB_SIM_DRAINING,
    LAB_SIM_SHEDDING,
    LAB_SIM_DEAD
} lab_sim_searcher_state_t;
void lab_sim_set_searcher(lab_sim_t *sim, unsigned searcher, lab_sim_searcher_state_t state);
void lab_sim_slow_searcher(lab_sim_t *sim, unsigned searcher, double factor);
void lab_sim_set_snapshot(lab_sim_t *sim, unsigned searcher, uint64_t snapshot, bool keep_previous);
/** What the platform shows from now on; NULL: it fails. The text is copied. */
void lab_sim_set_platform(lab_sim_t *sim, const char *text);
/** Work that searchers have spent, in microseconds, and requests they began. */
void lab_sim_totals(const lab_sim_t *sim, double *work_us, uint64_t *requests);
/** Beginning anew with the two totals above. */
void lab_sim_reset_totals(lab_sim_t *sim);

#endif
