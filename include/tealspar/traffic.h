/**
 * Routing configuration of the gateway: routes, services, tenants and limits. Each configuration
 * version is one immutable, reference-counted `ts_traffic_t`; a request uses the version with which
 * it started. It is filled by readers, independently of the document format.
 */
#ifndef TEALSPAR_TRAFFIC_H
#define TEALSPAR_TRAFFIC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/problem.h"
#include "tealspar/tenants.h"

/** How a route distributes requests among services. */
typedef enum ts_target_kind {
    TS_TARGET_SINGLE, /**< one service */
    TS_TARGET_SPLIT,  /**< one of several services, chosen by weight */
    TS_TARGET_GATHER  /**< one part to each of several services (shards) */
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
    GPtrArray *regions;    /**< allowed regions, interned names; NULL: any */
    bool is_auth_exempt;   /**< needs no key, even if there are tenants */
    bool is_repeatable;    /**< a request may be executed more than once */
    uint32_t attempts_max; /**< per request (per part if gathered), including the first */
    uint32_t timeout_ms;   /**< maximum time from the arrival to the response */
    uint32_t aim_ms;       /**< target latency; 0: none */
    uint32_t priority;     /**< 0 is the highest */
    uint32_t top_count;    /**< gather: maximum records in a response */
    double coverage_min;   /**< gather: minimum fraction of parts answered for a success */
} ts_traffic_route_t;

typedef struct ts_traffic_service {
    char *name;
    char *health_path;
    uint32_t connections_max; /**< per backend, from all gateways together */
    uint32_t warmup_ms;       /**< duration of the warm-up after the start of a backend */
    double warmup_rate;       /**< requests per second during the warm-up; 0: no limit */
} ts_traffic_service_t;

/** Limits on the requests and connections of callers. */
typedef struct ts_traffic_limits {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_ms; /**< from the first byte to the complete head */
    uint32_t idle_ms; /**< idle timeout of a connection between requests */
} ts_traffic_limits_t;

typedef struct ts_traffic {
    int references;
    uint64_t version;
    ts_traffic_limits_t limits;
    GPtrArray *routes;     /**< of ts_traffic_route_t, owned */
    GHashTable *by_host;   /**< host -> GPtrArray of routes, longest prefix first */
    GHashTable *by_name;   /**< name -> route */
    GHashTable *services;  /**< name -> ts_traffic_service_t, owned */
    ts_tenants_t *tenants; /**< owned; if empty, requests need no key */
} ts_traffic_t;

/** Creates an empty configuration with the default limits and one reference. */
ts_traffic_t *ts_traffic_create(uint64_t version);
ts_traffic_t *ts_traffic_ref(ts_traffic_t *traffic);
void ts_traffic_unref(ts_traffic_t *traffic);
/** Adds a route with default values, to be filled in before ts_traffic_finish(). */
ts_traffic_route_t *ts_traffic_add_route(ts_traffic_t *traffic);
void ts_traffic_route_add_target(ts_traffic_route_t *route, const char *service, double weight);
/**
 * Adds an allowed region to a route; without any, all regions are allowed. NULL stands for a
 * malformed name, which makes ts_traffic_finish() fail.
 */
void ts_traffic_route_allow_region(ts_traffic_route_t *route, const char *region);
/** Adds a service, or replaces that of the same name; the caller fills in the other fields. */
ts_traffic_service_t *ts_traffic_add_service(ts_traffic_t *traffic, const char *name);
/**
 * Validates and indexes the configuration. Adds all errors to `problems`. Returns TS_OK, or
 * TS_E_INVALID if the configuration must not be used.
 */
ts_error_t ts_traffic_finish(ts_traffic_t *traffic, ts_problems_t *problems);
/** Returns the route for a host (the port is ignored) and a request target, or NULL. */
const ts_traffic_route_t *ts_traffic_match(const ts_traffic_t *traffic, const char *host,
                                           const char *target);
/** Returns the route of that name, or NULL. */
const ts_traffic_route_t *ts_traffic_find_route(const ts_traffic_t *traffic, const char *name);

#endif
