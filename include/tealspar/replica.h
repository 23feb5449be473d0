/**
 * Selects the instance for a request, or for one part of it, by the lowest expected response time.
 * Depends only on the state that is passed in; does not read the clock.
 */
#ifndef TEALSPAR_REPLICA_H
#define TEALSPAR_REPLICA_H

#include "tealspar/registry.h"

/** Parameters of the selection besides the instances. */
typedef struct ts_replica_input {
    double work_us; /**< typical service time of such a request */
    ts_time_us_t now_us;
    ts_time_us_t drain_us;    /**< how long after `left_us` of an instance it may get new work */
    uint32_t connections_max; /**< limit of this node's connections to one instance */
    uint32_t nodes;           /**< nodes that share an instance's slots */
    uint32_t random;          /**< breaks ties */
    const GPtrArray *regions; /**< allowed regions, interned strings; NULL: all */
} ts_replica_input_t;

/** Why an instance must not get a request, whatever its cost. */
typedef enum ts_exclusion {
    TS_EXCLUSION_NONE,
    TS_EXCLUSION_PLACEMENT,  /**< its region is not allowed for the request */
    TS_EXCLUSION_EVACUATION, /**< its zone is being evacuated */
    TS_EXCLUSION_DRAINED     /**< it started to drain or was delisted more than `drain_us` ago */
} ts_exclusion_t;

/** The first reason, in enum order, that excludes an instance. */
ts_exclusion_t ts_replica_find_exclusion(const ts_instance_t *instance,
                                         const ts_replica_input_t *input);
/** Whether an instance is not excluded. */
bool ts_replica_is_usable(const ts_instance_t *instance, const ts_replica_input_t *input);
/** Whether the service has listed instances, and placement or evacuation excludes all instances. */
bool ts_replica_is_excluded(const ts_service_t *service, const ts_replica_input_t *input);
/** Whether some usable instance has room and is not to be avoided after a failure or refusal. */
bool ts_replica_is_any_free(const ts_service_t *service, const ts_replica_input_t *input);
/** Why instances cannot take a request now. Each instance counts for its first reason only. */
typedef struct ts_replica_summary {
    unsigned listed;    /**< instances of the service, also delisted ones */
    unsigned misplaced; /**< its region is not allowed for the request */
    unsigned evacuated; /**< its zone is being evacuated */
    unsigned leaving;   /**< draining or delisted for more than `drain_us` */
    unsigned full;      /**< at this node's limit */
    unsigned avoided;   /**< to be avoided for now, after a failure or refusal */
    unsigned in_flight; /**< requests of this node at all instances */
} ts_replica_summary_t;

ts_replica_summary_t ts_replica_summarize(const ts_service_t *service,
                                          const ts_replica_input_t *input);
/**
 * Whether this node is at its limit for the instance: of connections, of requests in flight (a
 * learned limit), or its share of the request rate during warm-up.
 */
bool ts_replica_is_full(const ts_instance_t *instance, const ts_replica_input_t *input);
/** Expected response time in microseconds, plus penalties for an instance in doubtful health. */
double ts_replica_cost(const ts_instance_t *instance, const ts_replica_input_t *input);
/**
 * Response time to reckon with, in microseconds, if the best usable instance takes `input->work_us`
 * or longer: behind this node's requests there, and longer if it has been slow. 0 if no instance is
 * usable.
 */
double ts_replica_response_time_us(const ts_service_t *service, const ts_replica_input_t *input);
/**
 * Selects the instance with the lowest cost that is usable, not full and not among `tried`; NULL if
 * there is none. The cost of a suspected instance includes a penalty, except for at most one
 * probe request per second.
 */
ts_instance_t *ts_replica_choose(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count);
/** Whether some untried usable instance is only full, so that waiting for it makes sense. */
bool ts_replica_is_worth_waiting(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count);

#endif
