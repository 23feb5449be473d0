/** Scenarios: what fleet, what load, which faults at which times. */
#ifndef TEALSPAR_LAB_SCENARIO_H
#define TEALSPAR_LAB_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"

typedef enum lab_fault_type {
    LAB_FAULT_STRAGGLE,      /**< target back end: every request takes `factor` times as long */
    LAB_FAULT_KILL,          /**< target node: SIGKILL; target back end: closes everything */
    LAB_FAULT_START,         /**< target node: starts again; target back end: serves again */
    LAB_FAULT_PAUSE,         /**< target node: stands still for `for_s` */
    LAB_FAULT_PARTITION,     /**< target zone: cut from all others for `for_s` */
    LAB_FAULT_DRAIN,         /**< target back end: leaves */
    LAB_FAULT_COLD_START,    /**< target back end: starting for a second, then slow for `for_s` */
    LAB_FAULT_SHED,          /**< target back end: refuses for `for_s` */
    LAB_FAULT_SNAPSHOT_ROLL, /**< all back ends go to `snapshot`, one by one, over `for_s` */
    LAB_FAULT_REPARTITION,  /**< back ends target and `to` change shards; both hold both for `for_s`
                             */
    LAB_FAULT_CONFIG_DOWN,  /**< the platform fails for `for_s` */
    LAB_FAULT_CONFIG_STALE, /**< the platform shows the first configuration for `for_s` */
    LAB_FAULT_CONFIG_CHANGE, /**< a new version of the declarations */
    LAB_FAULT_CONFIG_BAD,    /**< a new version that must be refused, for `for_s` */
    LAB_FAULT_STOP           /**< target node: SIGTERM */
} lab_fault_type_t;

typedef struct lab_fault {
    double at_s; /**< from the start of the load */
    lab_fault_type_t type;
    char *target; /**< name of a node, back end, zone or shard */
    char *to;     /**< repartition: the back end that changes shards with the target */
    char *mode;   /**< partition: blackhole (absent), reset or half_open */
    double for_s;
    double factor;
    uint32_t snapshot;
    bool keep_previous;
} lab_fault_t;

typedef struct lab_scenario_kind {
    char *kind;
    double rate;
    int *unknown_at_most; /**< that may have run, or not; absent: any number */
} lab_scenario_kind_t;

typedef struct lab_scenario {
    char *name;
    char *declarations; /**< path, relative to the scenario's file */
    uint32_t nodes_per_zone;
    double zone_delay_ms;   /**< one way, between zones of a region; 0: none */
    double region_delay_ms; /**< one way, between regions */
    double jitter_ms;       /**< added to the delays, evenly from 0 to this */
    double service_ms;
    double sigma;
    double straggler_percent;
    double straggler_factor;
    uint32_t deadline_ms; /**< of every kind, in place of the declared; absent: as declared */
    double settle_s;      /**< between readiness and load */
    double seconds;       /**< of load */
    char *policy;
    int *lost_at_most;                /**< queries without any reply; absent: any number */
    double answered_at_least_percent; /**< of the queries sent; absent: 0 */
    lab_scenario_kind_t *load;
    unsigned load_count;
    lab_fault_t *faults;
    unsigned faults_count;
} lab_scenario_t;

/** Loads a scenario; NULL with problems listed. Lives as long as the process. */
lab_scenario_t *lab_scenario_load(const char *text, size_t length, ts_problems_t *problems);

#endif
