/**
 * The gateway: one process between callers and backends. It owns the listeners, the connections to
 * backends, the registry and the active configuration, and routes each request. The gateways of a
 * fleet are also called its nodes.
 */
#ifndef TEALSPAR_GATEWAY_H
#define TEALSPAR_GATEWAY_H

#include <uv.h>

#include "tealspar/broken_sends.h"
#include "tealspar/caller.h"
#include "tealspar/dialect.h"
#include "tealspar/gateway_settings.h"
#include "tealspar/memory_budget.h"
#include "tealspar/rate_limiter.h"
#include "tealspar/registry.h"
#include "tealspar/route_state.h"
#include "tealspar/shutdown.h"
#include "tealspar/traffic.h"
#include "tealspar/upstream.h"

typedef struct ts_store_watch ts_store_watch_t;
typedef struct ts_store_mirror ts_store_mirror_t;
typedef struct ts_peers ts_peers_t;
typedef struct ts_pending ts_pending_t;
typedef struct ts_admission_queue ts_admission_queue_t;

typedef struct ts_gateway ts_gateway_t;
typedef void (*ts_gateway_cb_t)(ts_gateway_t *gateway);

struct ts_gateway {
    uv_loop_t *loop;
    ts_gateway_settings_t *settings; /**< owned; replaced as a whole on reload */
    const ts_dialect_t *dialect;
    GHashTable *zones; /**< zone -> region, owned */
    ts_registry_t *registry;
    ts_upstream_t *upstream;
    ts_memory_budget_t *request_budget; /**< memory for requests of callers */
    ts_memory_budget_t *answer_budget;  /**< memory for answers on their way to callers */
    ts_store_mirror_t *mirror;
    ts_store_watch_t *store;
    ts_peers_t *peers;                     /**< NULL: a single gateway without peers */
    ts_pending_t *pending;                 /**< requests held until the gateway is initialized */
    ts_admission_queue_t *admission_queue; /**< requests waiting for room at backends */
    unsigned nodes;                        /**< number of gateways among which limits are divided */
    unsigned nodes_seen_max;     /**< most gateways seen live at once; at least NODES_MIN */
    ts_time_us_t nodes_grown_us; /**< when `nodes_seen_max` last grew */
    ts_time_us_t opened_us;
    ts_listener_t *caller_listener;
    ts_listener_t *ready_listener;
    ts_listener_t *metrics_listener;   /**< NULL: no metrics address is configured */
    ts_traffic_t *traffic;             /**< active configuration; NULL until one is received */
    GHashTable *route_states;          /**< route name -> ts_route_state_t */
    ts_retry_budget_rule_t retry_rule; /**< limits on retries and hedged sends */
    ts_cold_rule_t cold_rule;          /**< limits on requests to cold backends */
    ts_quarantine_t *quarantine;       /**< requests that may crash backends */
    ts_broken_sends_t *broken_sends;   /**< detects those crashes */
    ts_rate_limiter_t *limiter;        /**< request rates of tenants, over the whole fleet */
    uv_timer_t limiter_timer;          /**< calls ts_rate_limiter_tick */
    uint64_t prefetch_fleet_changes;   /**< fleet's change counter at the last check */
    uint64_t prefetch_config_version;  /**< configuration version at the last check */
    ts_time_us_t prefetch_at_us;       /**< when tokens are prefetched next; 0: not scheduled */
    GPtrArray *token_waiters;          /**< requests waiting for a token, of ts_request_t */
    unsigned requests;                 /**< number of requests in progress */
    uint32_t random; /**< state of the xorshift generator for tie-breaking and jitter */
    ts_shutdown_t shutdown;
    uv_timer_t shutdown_timer;
    uv_check_t shutdown_check;
    bool is_close_due;                 /**< idle connections are closed after the next poll */
    ts_gateway_cb_t on_shutdown_ended; /**< NULL: nothing to call */
};

/** Opens a gateway on a loop; takes ownership of the settings. TS_OK or TS_E_LISTEN. */
ts_error_t ts_gateway_open(ts_gateway_t *gateway, uv_loop_t *loop, ts_gateway_settings_t *settings);
/** Applies and takes ownership of new settings; listening addresses do not change. */
void ts_gateway_set_settings(ts_gateway_t *gateway, ts_gateway_settings_t *settings);
/** Whether the configuration and the list of backends have been received at least once. */
bool ts_gateway_is_initialized(const ts_gateway_t *gateway);
/**
 * Begins a graceful shutdown: readiness fails, the peers are told, and every answer ends its
 * connection. `on_ended` (may be NULL) is called when the process may exit, within the grace period
 * of the settings. Further calls do nothing.
 */
void ts_gateway_begin_shutdown(ts_gateway_t *gateway, ts_gateway_cb_t on_ended);
/** Whether a shutdown has begun. */
bool ts_gateway_is_stopping(const ts_gateway_t *gateway);
/**
 * Closes timed-out connections, drops expired state and updates the division of limits. Call it
 * about twice per second.
 */
void ts_gateway_sweep(ts_gateway_t *gateway);
/** Appends all metrics in the Prometheus text format. */
void ts_gateway_write_metrics(const ts_gateway_t *gateway, GString *out);
/**
 * Logs and counts the requests that have begun to arrive and are not answered completely. Call it
 * at the end of the process. Returns their number.
 */
unsigned ts_gateway_log_cut_requests(ts_gateway_t *gateway);
/** Runs a gateway until SIGTERM or SIGINT. `path`: the settings file, read again on reload. */
ts_error_t ts_gateway_run(const char *path, ts_gateway_settings_t *settings);
/** Activates a configuration if it is newer than the active one. Takes over the reference. */
void ts_gateway_set_traffic(ts_gateway_t *gateway, ts_traffic_t *traffic);
/**
 * Reports the number of live gateways. Limits are divided among the most seen so far, but at least
 * among NODES_MIN, and among more during startup (see gateway.c).
 */
void ts_gateway_set_node_count(ts_gateway_t *gateway, unsigned nodes);
/** Recomputes this node's shares of the rate limits of the service's cold instances, if due. */
void ts_gateway_update_cold_shares(const ts_gateway_t *gateway, const ts_service_t *service,
                                   ts_time_us_t now_us);
/** State learned about a route, kept by name across configurations; created on first use. */
ts_route_state_t *ts_gateway_route_state(ts_gateway_t *gateway, const ts_traffic_route_t *route);
/** A pseudo-random number for tie-breaking and jitter. */
uint32_t ts_gateway_random(ts_gateway_t *gateway);
/** Starts the request that a caller has sent, or holds it until the gateway is initialized. */
void ts_request_begin(ts_gateway_t *gateway, ts_caller_t *caller);
/** Ends the request of a caller that has disconnected. */
void ts_request_abandon(ts_gateway_t *gateway, ts_caller_t *caller);

#endif
