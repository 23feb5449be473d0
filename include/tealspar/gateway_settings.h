/** Settings of a gateway process: who it is, where it listens, and the bounds it keeps. */
#ifndef TEALSPAR_GATEWAY_SETTINGS_H
#define TEALSPAR_GATEWAY_SETTINGS_H

#include <stdint.h>

#include "tealspar/problem.h"
#include "tealspar/settings.h"

typedef struct ts_zone_setting {
    char *zone;
    char *region;
} ts_zone_setting_t;

/** How late parts are treated; the last two are baselines to measure the first against. */
typedef enum ts_late_policy {
    TS_LATE_ADAPTIVE, /**< suspicion, second sends as late as the aim allows, answers at the aim */
    TS_LATE_FIXED_HEDGE, /**< a second send after a fixed part of the aim; answers at the aim */
    TS_LATE_NAIVE        /**< neither second sends for lateness nor answers before all is in */
} ts_late_policy_t;

/** Loaded from YAML; see etc/gateway.yaml for what each key means. */
typedef struct ts_gateway_settings {
    char *name;
    char *zone;
    char *dialect;    /**< name of the plug-in that speaks the deployment's dialect */
    char *callers;    /**< "IP:port" for callers */
    char *ready;      /**< "IP:port" where readiness is asked */
    char *metrics;    /**< "IP:port" for counters; absent: none */
    char *peers;      /**< "IP:port" for other gateways; absent: this one is alone */
    char *advertised; /**< "IP:port" where others reach `peers`, if not there itself */
    char **seeds;     /**< where some other gateways may be reached at the start */
    unsigned seeds_count;
    char *store; /**< "IP:port" of the configuration service */
    ts_zone_setting_t *zones;
    unsigned zones_count;
    uint32_t drain_ms;     /**< a back end that leaves takes no new work after this */
    uint32_t heartbeat_ms; /**< between two writes of a back end to its entry */
    uint32_t grace_ms;     /**< from the request to stop until the process is killed */
    double retry_ratio;    /**< extra sends for each request, over the fleet */
    uint32_t retry_window_ms;
    double retry_slack;       /**< extra sends in a window beyond the ratio, over the fleet */
    double warmup_overrun;    /**< a cold back end bears this many times its service's rate, */
    double warmup_slack;      /**< and so many requests a second more, from the whole fleet */
    uint32_t quota_window_ms; /**< a tenant's limit counts in each window of this length */
    double quota_overrun;     /**< beyond the limit, in any window: this part of it, */
    double quota_slack;       /**< and so many requests more */
    uint32_t revoke_ms;       /**< with the next: keys are trusted for so long unconfirmed */
    bool revoke_fail_closed;  /**< keyed requests are refused after that; else goes on */
    ts_late_policy_t policy;
    uint32_t without; /**< mechanisms that are switched off; bits of tealspar/mechanism.h */
    ts_log_format_t log_format;
    ts_log_level_t log_level;
} ts_gateway_settings_t;

/** Loads settings from a text. NULL with problems listed. */
ts_gateway_settings_t *ts_gateway_settings_load(const char *text, size_t length,
                                                ts_problems_t *problems);
/** Where other gateways reach this one; NULL when it is alone. */
const char *ts_gateway_settings_reached_at(const ts_gateway_settings_t *settings);
void ts_gateway_settings_free(ts_gateway_settings_t *settings);

#endif
