/** Settings of a node: identity, addresses and local limits. */
#ifndef TEALSPAR_SETTINGS_H
#define TEALSPAR_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/log.h"
#include "tealspar/problem.h"

typedef enum ts_log_level { TS_LEVEL_NOTICE, TS_LEVEL_WARNING, TS_LEVEL_INFO } ts_log_level_t;

/** The least severe level that is logged, as a GLib flag. */
GLogLevelFlags ts_log_level_flags(ts_log_level_t level);

/** Loaded from YAML; command-line options override single keys. A limit of 0 counts as absent. */
typedef struct ts_settings {
    char *name;    /**< unique in the cluster */
    char *cluster; /**< messages from nodes of other clusters are refused */
    char *zone;
    char *callers;   /**< "IP:port" to listen on for callers */
    char *operators; /**< "IP:port" to listen on for status, metrics and health checks */
    char *peers;     /**< "IP:port" to listen on for other nodes */
    char *advertise; /**< "IP:port" under which other nodes reach `peers`; absent: the same */
    char *platform;  /**< "IP:port" of the platform's service */
    char **seeds;    /**< addresses of peers to try while the platform does not respond */
    unsigned seeds_count;
    char *policy;             /**< routing policy; absent: adaptive */
    int *cpu;                 /**< CPU core for nng's threads; -1 or absent: all */
    uint32_t queries_max;     /**< maximum queries in flight; absent: 2000 */
    uint32_t body_bytes_max;  /**< maximum size of a request body; absent: 65536 */
    uint32_t connections_max; /**< maximum connections of callers; absent: 4096 */
    uint32_t drain_ms;        /**< maximum time to drain queries at shutdown; absent: 10000 */
    ts_log_format_t log_format;
    ts_log_level_t log_level;
} ts_settings_t;

/** Loads settings from YAML text. Returns NULL with all problems listed on failure. */
ts_settings_t *ts_settings_load(const char *text, size_t length, ts_problems_t *problems);
void ts_settings_free(ts_settings_t *settings);

#endif
