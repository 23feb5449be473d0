/**
 * The gateway: one process between callers and back ends. It owns the listeners, the connections to
 * back ends, the registry and the configuration in force, and hands each request to its route.
 */
#ifndef TEALSPAR_GATEWAY_H
#define TEALSPAR_GATEWAY_H

#include <uv.h>

#include "tealspar/broken_sends.h"
#include "tealspar/caller.h"
#include "tealspar/dialect.h"
#include "tealspar/gateway_settings.h"
#include "tealspar/rate_limiter.h"
#include "tealspar/registry.h"
#include "tealspar/route_state.h"
#include "tealspar/traffic.h"
#include "tealspar/upstream.h"

typedef struct ts_store_watch ts_store_watch_t;
typedef struct ts_store_mirror ts_store_mirror_t;
typedef struct ts_peers ts_peers_t;
typedef struct ts_pending ts_pending_t;

typedef struct ts_gateway {
    uv_loop_t *loop;
    ts_gateway_settings_t *settings; /**< owned; replaced whole at a reload */
    const ts_dialect_t *dialect;
    GHashTable *zones; /**< zone -> region, owned */
    ts_registry_t *registry;
    ts_upstream_t *upstream;
    ts_store_mirror_t *mirror;
    ts_store_watch_t *store;
    ts_peers_t *peers;     /**< NULL: this node is alone */
    ts_pending_t *pending; /**< requests that wait for the first configuration */
    unsigned nodes;        /**< among which limits are divided */
    unsigned nodes_seen;   /**< the most that were live at once */
    ts_time_us_t grown_us; /**< when `nodes_seen` last grew */
    ts_time_us_t opened_us;
    ts_listener_t *callers;
    ts_listener_t *ready;
    ts_listener_t *metrics;          /**< NULL: not asked for */
    ts_traffic_t *traffic;           /**< in force; NULL until one is known */
    GHashTable *route_states;        /**< route name -> ts_route_state_t */
    ts_retry_budget_rule_t rule;     /**< what may be sent beyond the first */
    ts_cold_rule_t cold_rule;        /**< what cold back ends bear */
    ts_quarantine_t *quarantine;     /**< requests under which back ends ended */
    ts_broken_sends_t *broken_sends; /**< what it learns of them by */
    ts_rate_limiter_t *limiter;      /**< what tenants may send over the whole fleet */
    uv_timer_t limiter_timer;        /**< its turns */
    uint64_t expected_changes;       /**< of the fleet, when tenants were last expected, */
    uint64_t expected_version;       /**< and the configuration's version */
    ts_time_us_t expect_at_us;       /**< when they are expected anew; 0: they are */
    GPtrArray *token_waiters;        /**< requests that wait for it, of ts_request_t */
    unsigned requests;               /**< being worked on */
    uint32_t random;                 /**< state of the cheap generator that breaks ties */
    bool is_stopping;
} ts_gateway_t;

/** Opens a gateway on a loop; takes the settings. TS_OK or TS_E_LISTEN. */
ts_error_t ts_gateway_open(ts_gateway_t *gateway, uv_loop_t *loop, ts_gateway_settings_t *settings);
/** Puts other settings in force; addresses that are listened on stay as they are. */
void ts_gateway_set_settings(ts_gateway_t *gateway, ts_gateway_settings_t *settings);
/** Whether it knows the configuration and the back ends, so that requests can begin. */
bool ts_gateway_is_informed(const ts_gateway_t *gateway);
/** Begins to leave: not ready any more, and every answer ends its connection. */
void ts_gateway_leave(ts_gateway_t *gateway);
/** Ends what rests too long and forgets what has left; call it every half second or so. */
void ts_gateway_sweep(ts_gateway_t *gateway);
/** Appends all figures in the Prometheus text format. */
void ts_gateway_write_metrics(const ts_gateway_t *gateway, GString *out);
/** Runs a gateway until it is told to stop. `path` is read again at a reload. */
ts_error_t ts_gateway_run(const char *path, ts_gateway_settings_t *settings);
/** Puts a configuration in force, unless it is older than the one that is. Takes the reference. */
void ts_gateway_set_traffic(ts_gateway_t *gateway, ts_traffic_t *traffic);
/** The number of nodes believed live; limits are divided among them. */
void ts_gateway_set_nodes(ts_gateway_t *gateway, unsigned nodes);
/** Works out this node's shares of what cold instances of the service bear, when they are due. */
void ts_gateway_share_cold(const ts_gateway_t *gateway, const ts_service_t *service,
                           ts_time_us_t now_us);
/** What is known of a route. */
ts_route_state_t *ts_gateway_route_state(ts_gateway_t *gateway, const ts_traffic_route_t *route);
/** A number to break ties with. */
uint32_t ts_gateway_random(ts_gateway_t *gateway);
/** Begins work on the request that a caller has sent. */
void ts_request_begin(ts_gateway_t *gateway, ts_caller_t *caller);
/** The caller left. */
void ts_request_abandon(ts_gateway_t *gateway, ts_caller_t *caller);

#endif
