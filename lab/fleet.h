/**
 * A fleet of real processes on a separate loopback network: the platform stand-in, the fault proxy,
 * one searcher process per zone, and the nodes.
 */
#ifndef TEALSPAR_LAB_FLEET_H
#define TEALSPAR_LAB_FLEET_H

#include <glib.h>
#include <uv.h>

#include "scenario.h"
#include "tealspar/clock.h"
#include "tealspar/declarations.h"

typedef struct lab_process {
    char *name;
    uv_process_t handle;
    bool is_running;
    bool is_exit_expected; /**< the current incarnation was killed by a fault */
    int64_t exit_status;   /**< of the last exit */
    int signal;            /**< that terminated the last incarnation; 0: none */
    unsigned failed_exits; /**< unexpected exits with a signal or a nonzero status */
} lab_process_t;

/** A node process and its addresses. */
typedef struct lab_node {
    lab_process_t process;
    char *zone;
    char *callers;   /**< IP:PORT for queries */
    char *operators; /**< IP:PORT for health checks and status */
    char *peers;     /**< IP:PORT for other nodes */
    char *advertise; /**< IP:PORT given to other nodes: that of the proxy, or `peers` without one */
    char *settings_path;
} lab_node_t;

typedef struct lab_fleet {
    uv_loop_t *loop;
    const lab_scenario_t *scenario;
    const char *policy;
    const char *directory; /**< output directory for settings, logs and journals */
    uint64_t seed;
    char *base;        /**< first three octets of all addresses, "127.A.B" */
    char *program;     /**< path of tealspar */
    char *lab_program; /**< path of tealspar-lab */
    char *config_path;
    char *config_text;               /**< latest declarations */
    char *first_config;              /**< initial declarations, served by a stale platform */
    ts_declarations_t *declarations; /**< initial declarations, parsed */
    char *platform;
    char *proxy_control;  /**< control address of the fault proxy; NULL without a proxy */
    GPtrArray *nodes;     /**< of lab_node_t */
    GPtrArray *processes; /**< of lab_process_t: platform, proxy, searchers */
    bool is_interrupted;  /**< SIGTERM or SIGINT received: lab_run_until returns at once */
} lab_fleet_t;

/** Writes settings files and assigns addresses; on failure prints a message and returns false. */
bool lab_fleet_prepare(lab_fleet_t *fleet, const char *declarations_path);
/** Starts all processes. */
bool lab_fleet_start(lab_fleet_t *fleet);
bool lab_fleet_start_node(lab_fleet_t *fleet, lab_node_t *node);
/**
 * Starts a program with stdout appended to DIRECTORY/OUTPUT and stderr to DIRECTORY/OUTPUT.err.
 * `on_exit` may be NULL: the exit is then recorded in `process`.
 */
bool lab_fleet_spawn(lab_fleet_t *fleet, lab_process_t *process, char **arguments,
                     const char *output, uv_exit_cb on_exit);
/** Returns the node with this name, or NULL. */
lab_node_t *lab_fleet_find_node(const lab_fleet_t *fleet, const char *name);
/** Publishes declarations through the platform; takes ownership of `text`. */
void lab_fleet_publish(lab_fleet_t *fleet, char *text);
/** Reads the version field of declarations in YAML; 0 if absent. */
uint64_t lab_config_parse_version(const char *text);
/** Returns a copy of the declarations with `version` as version field; the caller frees it. */
char *lab_config_with_version(const char *text, uint64_t version);
/**
 * Runs the loop until `is_done` returns true, `seconds` have passed or the run is interrupted.
 * Returns the last result of `is_done`.
 */
bool lab_run_until(lab_fleet_t *fleet, bool (*is_done)(void *context), void *context,
                   double seconds);
/**
 * Stops all processes: nodes first, with SIGTERM and, after a time limit, SIGKILL. Returns the
 * number of failed node exits during the run and the stop.
 */
unsigned lab_fleet_stop(lab_fleet_t *fleet);

#endif
