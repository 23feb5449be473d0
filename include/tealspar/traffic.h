/**
 * The traffic model: which request goes where, and within which limits. One version of the
 * configuration is one immutable `ts_traffic_t`, counted by references; a request keeps the one it
 * began with. Readers (our YAML, the service's document) fill it; nothing here knows their formats.
 */
#ifndef TEALSPAR_TRAFFIC_H
#define TEALSPAR_TRAFFIC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"
#include "tealspar/tenants.h"

/** How a route divides its requests over services. */
typedef enum ts_target_kind {
    TS_TARGET_ONE,   /**< one service */
    TS_TARGET_SPLIT, /**< one of several services, by weight */
    TS_TARGET_GATHER /**< all of several services (shards), one part each */
} ts_target_kind_t;

typedef struct ts_target {
    char *service;
    double weight; /**< TS_TARGET_SPLIT only; relative */
} ts_target_t;

typedef struct ts_traffic_route {
    char *name;
    char *host;   /**< lower case, without a port */
    char *prefix; /**< begins and ends with a slash */
    size_t prefix_length;
    ts_target_kind_t kind;
    GArray *targets;       /**< of ts_target_t */
    GPtrArray *regions;    /**< where its requests may be served, interned names; NULL: anywhere */
    bool is_open;          /**< needs no key, also where tenants are named */
    bool is_repeatable;    /**< a request may run more than once */
    uint32_t attempts_max; /**< most searchers that one request (one part) may be sent to */
    uint32_t timeout_ms;   /**< longest time a request is held */
    uint32_t aim_ms;       /**< an answer within this time earns its full worth; 0: none given */
    uint32_t priority;     /**< 0 is the most urgent */
    uint32_t top_count;    /**< gather: records in an answer */
    double coverage_min;   /**< gather: least share of the parts in a success */
} ts_traffic_route_t;

typedef struct ts_traffic_service {
    char *name;
    char *health_path;
    uint32_t connections_max; /**< that one back end takes from all callers together */
    uint32_t warmup_ms;       /**< how long a back end is slow from its start */
    double warmup_rate;       /**< requests a second that it bears meanwhile; 0: no limit */
} ts_traffic_service_t;

/** Bounds on what callers may send. */
typedef struct ts_traffic_limits {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_ms; /**< longest time from the first byte to the whole head */
    uint32_t idle_ms; /**< longest rest of a connection between requests */
} ts_traffic_limits_t;

typedef struct ts_traffic {
    int references;
    uint64_t version;
    ts_traffic_limits_t limits;
    GPtrArray *routes;     /**< of ts_traffic_route_t, owned */
    GHashTable *by_host;   /**< host -> GPtrArray of routes, longest prefix first */
    GHashTable *by_name;   /**< name -> route */
    GHashTable *services;  /**< name -> ts_traffic_service_t, owned */
    ts_tenants_t *tenants; /**< owned; empty: requests need no key */
} ts_traffic_t;

/** An empty model with the default limits; one reference. */
ts_traffic_t *ts_traffic_create(uint64_t version);
ts_traffic_t *ts_traffic_ref(ts_traffic_t *traffic);
void ts_traffic_unref(ts_traffic_t *traffic);
/** Adds an empty route; the reader fills it, then calls ts_traffic_finish. */
ts_traffic_route_t *ts_traffic_add_route(ts_traffic_t *traffic);
void ts_traffic_route_add_target(ts_traffic_route_t *route, const char *service, double weight);
/**
 * Names one more region in which requests of the route may be served; without any, everywhere. NULL
 * stands for one that cannot be read: the model does not pass then.
 */
void ts_traffic_route_allow_region(ts_traffic_route_t *route, const char *region);
/** Adds a service with its name alone; the reader fills it. */
ts_traffic_service_t *ts_traffic_add_service(ts_traffic_t *traffic, const char *name);
/**
 * Checks the model as a whole and indexes it. Every contradiction is listed; returns TS_OK or
 * TS_E_INVALID. A model that does not pass is not used.
 */
ts_error_t ts_traffic_finish(ts_traffic_t *traffic, ts_problems_t *problems);
/** The route of a host (a port is ignored) and a request target, or NULL. */
const ts_traffic_route_t *ts_traffic_match(const ts_traffic_t *traffic, const char *host,
                                           const char *target);
/** The route of a name, or NULL. */
const ts_traffic_route_t *ts_traffic_find_route(const ts_traffic_t *traffic, const char *name);

#endif
