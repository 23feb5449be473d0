/** Settings of a gateway process: identity, addresses and limits. */
#ifndef TEALSPAR_GATEWAY_SETTINGS_H
#define TEALSPAR_GATEWAY_SETTINGS_H

#include <stdint.h>

#include "tealspar/problem.h"
#include "tealspar/settings.h"

typedef struct ts_zone_setting {
    char *zone;
    char *region;
} ts_zone_setting_t;

/**
 * How slow requests and parts are handled. The last two are baselines for comparison. The first two
 * send partial responses at the target latency.
 */
typedef enum ts_straggler_policy {
    TS_STRAGGLER_ADAPTIVE,    /**< suspicion, hedges as late as the target allows */
    TS_STRAGGLER_FIXED_HEDGE, /**< hedges after a fixed fraction of the target */
    TS_STRAGGLER_NAIVE        /**< no hedges, no partial responses before the timeout */
} ts_straggler_policy_t;

/*
 * X(name, default in ms): settings that are durations. The key `name` is a number with a unit,
 * "6.5s" or "3000ms", rounded to a millisecond; `name_ms` is a whole number of milliseconds. The
 * loader sets the fields `name_ms`; only those are to be used. A duration of 0 counts as absent.
 */
#define TS_DURATION_SETTINGS(X)                                                                    \
    X(drain, 3000)                                                                                 \
    X(heartbeat, 1200)                                                                             \
    X(grace, 10000)                                                                                \
    X(retry_window, 10000)                                                                         \
    X(quota_window, 5000)                                                                          \
    X(revoke, 5000)

#define TS_DURATION_TEXT(name, default_ms) char *name;

/** Loaded from YAML; etc/gateway.yaml documents the keys. */
typedef struct ts_gateway_settings {
    char *name;
    char *zone;
    char *dialect;    /**< name of the dialect plug-in */
    char *callers;    /**< "IP:port" to listen on for callers */
    char *ready;      /**< "IP:port" to listen on for readiness checks */
    char *metrics;    /**< "IP:port" to listen on for metrics; absent: disabled */
    char *peers;      /**< "IP:port" to listen on for other gateways; absent: standalone */
    char *advertised; /**< "IP:port" under which others reach `peers`, if different */
    char **seeds;     /**< addresses of some other gateways, for joining at the start */
    unsigned seeds_count;
    char *store; /**< "IP:port" of the configuration service */
    ts_zone_setting_t *zones;
    unsigned zones_count;
    /** After this a draining backend takes no new requests; see tealspar/drain_budget.h. */
    uint32_t drain_ms;
    uint32_t heartbeat_ms; /**< interval at which a backend renews its entry */
    uint32_t grace_ms;     /**< from the stop signal until the process is killed */
    double retry_ratio;    /**< hedges and retries per request, for each service, fleet-wide */
    uint32_t retry_window_ms;
    double retry_slack;       /**< plus this many hedges and retries per window, fleet-wide */
    double warmup_overrun;    /**< a backend in warm-up gets this multiple of its service's rate, */
    double warmup_slack;      /**< plus this many requests per second, fleet-wide */
    uint32_t quota_window_ms; /**< window over which a tenant's limit is measured */
    double quota_overrun;     /**< tolerated excess per window, as a fraction of the limit, */
    double quota_slack;       /**< plus this many requests */
    uint32_t revoke_ms;       /**< maximum age of the configuration's last confirmation */
    bool revoke_fail_closed;  /**< beyond `revoke_ms`, refuse requests with keys */
    uint32_t memory_mb;       /**< memory that the process may use, in MB; 0: all of the machine */
    uint32_t descriptors_max; /**< descriptors that it may open; 0: up to the system's limit */
    ts_straggler_policy_t policy;
    uint32_t without; /**< disabled mechanisms; bits from tealspar/mechanism.h */
    TS_DURATION_SETTINGS(TS_DURATION_TEXT) /* durations as written; NULL if absent */
    ts_log_format_t log_format;
    ts_log_level_t log_level;
} ts_gateway_settings_t;
#undef TS_DURATION_TEXT

/** Loads settings from YAML text. Returns NULL with all problems listed on failure. */
ts_gateway_settings_t *ts_gateway_settings_load(const char *text, size_t length,
                                                ts_problems_t *problems);
/** Address under which other gateways reach this one; NULL if standalone. */
const char *ts_gateway_settings_peer_address(const ts_gateway_settings_t *settings);
void ts_gateway_settings_free(ts_gateway_settings_t *settings);

#endif
