/** Scenarios: a fleet, the load on it, and a schedule of faults. */
#ifndef TEALSPAR_LAB_SCENARIO_H
#define TEALSPAR_LAB_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"

typedef enum lab_fault_type {
    LAB_FAULT_STRAGGLE,      /**< target backend: every request takes `factor` times as long */
    LAB_FAULT_KILL,          /**< target node: SIGKILL; target backend: closes all connections */
    LAB_FAULT_START,         /**< target node: restarts; target backend: serves again */
    LAB_FAULT_PAUSE,         /**< target node: suspended for `for_s` */
    LAB_FAULT_PARTITION,     /**< target zone, "*" for all: partitioned for `for_s` */
    LAB_FAULT_DRAIN,         /**< target backend: drains and leaves */
    LAB_FAULT_COLD_START,    /**< target backend: starting for a second, then slow for `for_s` */
    LAB_FAULT_SHED,          /**< target backend: refuses requests for `for_s` */
    LAB_FAULT_SNAPSHOT_ROLL, /**< all backends move to `snapshot`, one by one, over `for_s` */
    LAB_FAULT_REPARTITION,  /**< backends target and `to` swap shards; both hold both for `for_s` */
    LAB_FAULT_CONFIG_DOWN,  /**< the platform answers with errors for `for_s` */
    LAB_FAULT_CONFIG_STALE, /**< the platform serves the initial configuration for `for_s` */
    LAB_FAULT_CONFIG_CHANGE, /**< the platform serves a new version of the declarations */
    LAB_FAULT_CONFIG_BAD,    /**< the platform serves an invalid new version for `for_s` */
    LAB_FAULT_STOP           /**< target node: SIGTERM */
} lab_fault_type_t;

typedef struct lab_fault {
    double at_s; /**< seconds since the start of the load */
    lab_fault_type_t type;
    char *target; /**< name of a node, backend or zone, by type */
    char *to;     /**< repartition: the backend that swaps shards with the target */
    char *mode;   /**< partition: "blackhole" (default), "reset" or "half_open" */
    double for_s; /**< duration in seconds */
    double factor;
    uint32_t snapshot;
    bool keep_previous;
} lab_fault_t;

typedef struct lab_scenario_kind {
    char *kind;
    double rate;          /**< queries per second */
    int *unknown_at_most; /**< limit of queries with outcome "unknown"; NULL: no limit */
} lab_scenario_kind_t;

typedef struct lab_scenario {
    char *name;
    char *declarations; /**< path, relative to the directory of the scenario file */
    uint32_t nodes_per_zone;
    double zone_delay_ms;     /**< one-way delay between zones of a region; 0: none */
    double region_delay_ms;   /**< one-way delay between regions */
    double jitter_ms;         /**< maximum of a uniformly distributed extra delay */
    double service_ms;        /**< mean service time of the searchers */
    double sigma;             /**< standard deviation of the logarithm of the service time */
    double straggler_percent; /**< percentage of slow requests */
    double straggler_factor;  /**< maximum slowdown of a slow request */
    uint32_t deadline_ms;     /**< overrides the declared deadline of all kinds; 0: as declared */
    double settle_s;          /**< delay between readiness of all nodes and start of the load */
    double seconds;           /**< duration of the load */
    char *policy;             /**< NULL: adaptive */
    int *lost_at_most;        /**< limit of queries without any reply; NULL: no limit */
    double answered_at_least_percent; /**< required percentage of queries answered; default 0 */
    lab_scenario_kind_t *load;
    unsigned load_count;
    lab_fault_t *faults;
    unsigned faults_count;
} lab_scenario_t;

/** Parses a scenario in YAML; on failure fills `problems` and returns NULL. It is never freed. */
lab_scenario_t *lab_scenario_load(const char *text, size_t length, ts_problems_t *problems);

#endif
