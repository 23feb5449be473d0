/**
 * The choice of an instance for one request or one part: the least expected time to an answer.
 * Pure: a function of the given beliefs and time.
 */
#ifndef TEALSPAR_REPLICA_H
#define TEALSPAR_REPLICA_H

#include "tealspar/registry.h"

/** What the choice depends on beside the instances. */
typedef struct ts_replica_input {
    double work_us; /**< typical time of such a request at an instance */
    ts_time_us_t now_us;
    ts_time_us_t drain_us;    /**< an instance that is leaving takes no new work after this */
    uint32_t connections_max; /**< this node's connections to one instance */
    uint32_t nodes;           /**< among which an instance's slots are divided */
    uint32_t random;          /**< breaks ties */
    const GPtrArray *regions; /**< where the request may be served, interned; NULL: anywhere */
} ts_replica_input_t;

/** What keeps new work from an instance, whatever it costs; the first that holds. */
typedef enum ts_obstacle {
    TS_OBSTACLE_NONE,
    TS_OBSTACLE_PLACEMENT,  /**< it stands where the request may not be served */
    TS_OBSTACLE_EVACUATION, /**< its zone is being evacuated */
    TS_OBSTACLE_LEAVING     /**< it has been draining or gone for too long */
} ts_obstacle_t;

/** What rules an instance out for a request, if anything does. */
ts_obstacle_t ts_replica_find_obstacle(const ts_instance_t *instance,
                                       const ts_replica_input_t *input);
/** Whether an instance may be sent new work at all. */
bool ts_replica_is_usable(const ts_instance_t *instance, const ts_replica_input_t *input);
/** Whether instances of the service are listed, and placement or evacuations rule out them all. */
bool ts_replica_is_excluded(const ts_service_t *service, const ts_replica_input_t *input);
/** Whether some instance of the service could take a request at once, and is believed well. */
bool ts_replica_is_any_free(const ts_service_t *service, const ts_replica_input_t *input);
/** Why instances of a service cannot take a request at once; each counts under its first reason. */
typedef struct ts_replica_census {
    unsigned listed;
    unsigned misplaced; /**< stands where the request may not be served */
    unsigned evacuated; /**< its zone is being evacuated */
    unsigned leaving;   /**< drains or left, for too long */
    unsigned full;      /**< has as many requests of this node as it may */
    unsigned avoided;   /**< failed or refused a moment ago */
    unsigned in_flight; /**< requests of this node at all of them */
} ts_replica_census_t;

ts_replica_census_t ts_replica_count(const ts_service_t *service, const ts_replica_input_t *input);
/**
 * Whether this node has as many requests there as it may: by connections, by what was learned, and
 * by its share of what a cold one bears.
 */
bool ts_replica_is_full(const ts_instance_t *instance, const ts_replica_input_t *input);
/** Expected time to an answer in microseconds, with penalties for what is doubtful. */
double ts_replica_cost(const ts_instance_t *instance, const ts_replica_input_t *input);
/**
 * The best instance of a service that is not among `tried`; NULL when there is none. One that was
 * suspected for a while is given a single request now and then.
 */
ts_instance_t *ts_replica_choose(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count);
/** Whether some instance that was not tried could take the request once it is less busy. */
bool ts_replica_is_worth_waiting(const ts_service_t *service, const ts_replica_input_t *input,
                                 ts_instance_t *const *tried, unsigned tried_count);

#endif
