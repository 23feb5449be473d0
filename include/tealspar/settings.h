/** Settings of one node: who it is, where it listens, and its local limits. */
#ifndef TEALSPAR_SETTINGS_H
#define TEALSPAR_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/log.h"
#include "tealspar/problem.h"

typedef enum ts_log_level { TS_LEVEL_NOTICE, TS_LEVEL_WARNING, TS_LEVEL_INFO } ts_log_level_t;

/** The least severe level that is written at a setting, as a GLib level flag. */
GLogLevelFlags ts_log_level_flags(ts_log_level_t level);

/** One node's settings; loaded from YAML and overridden by flags. */
typedef struct ts_settings {
    char *name;    /**< unique in the cluster */
    char *cluster; /**< nodes of another cluster are strangers */
    char *zone;
    char *callers;   /**< "IP:port" for callers */
    char *operators; /**< "IP:port" for operators: status, metrics, health */
    char *peers;     /**< "IP:port" for other nodes */
    char *advertise; /**< "IP:port" at which other nodes reach `peers`; absent: the same */
    char *platform;  /**< "IP:port" of the platform's service */
    char **seeds;    /**< peers' addresses to try while the platform is silent */
    unsigned seeds_count;
    char *policy;             /**< routing policy; absent: adaptive */
    int *cpu;                 /**< core for nng's threads; -1 or absent: all */
    uint32_t queries_max;     /**< queries in flight before refusing; absent: 2000 */
    uint32_t body_bytes_max;  /**< largest request body; absent: 65536 */
    uint32_t connections_max; /**< callers' connections; absent: 4096 */
    uint32_t drain_ms;        /**< longest wait for queries in flight at a stop; absent: 10000 */
    ts_log_format_t log_format;
    ts_log_level_t log_level;
} ts_settings_t;

/** Loads settings from a text. Returns NULL with problems listed. Ended by ts_settings_free. */
ts_settings_t *ts_settings_load(const char *text, size_t length, ts_problems_t *problems);
void ts_settings_free(ts_settings_t *settings);

#endif
