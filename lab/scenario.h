/** Scenarios: a fleet, the load on it, and a schedule of faults. */
#ifndef TEALSPAR_LAB_SCENARIO_H
#define TEALSPAR_LAB_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"

typedef enum lab_fault_type {
    /** Target backend: every request takes `factor` times as long for `for_s`. */
    LAB_FAULT_STRAGGLE,
    /** Target node: SIGKILL; target backend: closes each connection without a reply. */
    LAB_FAULT_KILL,
    /** Target node: started if it is not running; target backend: serves again. */
    LAB_FAULT_START,
    LAB_FAULT_PAUSE, /**< target node: suspended (SIGSTOP) for `for_s` */
    /** Target zone: cut off from all others for `for_s`; "*": all zones from each other. */
    LAB_FAULT_PARTITION,
    /** Target backend: draining, refuses requests after 2 s; serves again after `for_s`. */
    LAB_FAULT_DRAIN,
    LAB_FAULT_COLD_START,    /**< target backend: starting for a second, then slow for `for_s` */
    LAB_FAULT_SHED,          /**< target backend: refuses requests for `for_s` */
    LAB_FAULT_SNAPSHOT_ROLL, /**< all backends move to `snapshot`, one by one, over `for_s` */
    /** Backends `target` and `to` swap shards; each serves its old and new ones for `for_s`. */
    LAB_FAULT_REPARTITION,
    LAB_FAULT_CONFIG_DOWN,   /**< the platform answers with errors for `for_s` */
    LAB_FAULT_CONFIG_STALE,  /**< the platform serves the initial configuration for `for_s` */
    LAB_FAULT_CONFIG_CHANGE, /**< the platform serves the declarations under a higher version */
    LAB_FAULT_CONFIG_BAD,    /**< the platform serves a higher, invalid version for `for_s` */
    LAB_FAULT_STOP           /**< target node: SIGTERM */
} lab_fault_type_t;

typedef struct lab_fault {
    double at_s; /**< seconds since the start of the load */
    lab_fault_type_t type;
    char *target;      /**< node, backend or zone, as the type requires; NULL if it has no target */
    char *to;          /**< repartition: the backend that swaps shards with the target */
    char *mode;        /**< partition: "blackhole" (default), "reset" or "half_open" */
    double for_s;      /**< duration in seconds; 0: until the load has ended */
    double factor;     /**< straggle: factor on the service time */
    uint32_t snapshot; /**< snapshot_roll: the new snapshot */
    bool keep_previous; /**< snapshot_roll: the previous snapshot is still served on request */
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
    double jitter_ms;         /**< random extra delay on these links, uniform from 0 to this */
    double service_ms;        /**< mean service time of the backends, without slow requests */
    double sigma;             /**< standard deviation of the logarithm of the service time */
    double straggler_percent; /**< percentage of slow requests */
    double straggler_factor;  /**< slow requests take 10 to this many times as long; 0: default */
    uint32_t deadline_ms;     /**< overrides the declared deadline of all kinds; 0: as declared */
    double settle_s;          /**< delay from readiness of all nodes to the load; 0: default */
    double seconds;           /**< duration of the load */
    char *policy;             /**< `policy` setting of the nodes; NULL: "adaptive" */
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
