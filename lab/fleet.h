/**
 * A fleet of real processes on loopback addresses of its own: the platform, the fault proxy, one
 * process of searchers a zone, and the nodes.
 */
#ifndef TEALSPAR_LAB_FLEET_H
#define TEALSPAR_LAB_FLEET_H

#include <glib.h>
#include <uv.h>

#include "scenario.h"
#include "tealspar/clock.h"
#include "tealspar/declarations.h"

/** One process. */
typedef struct lab_process {
    char *name;
    uv_process_t handle;
    bool is_running;
    bool is_expected_to_end; /**< this life of it was killed on purpose */
    int64_t exit_status;
    int signal;
    unsigned bad_ends; /**< lives that ended by a signal or with an error, not on purpose */
} lab_process_t;

/** One node and its addresses. */
typedef struct lab_node {
    lab_process_t process;
    char *zone;
    char *callers;
    char *operators;
    char *peers;
    char *advertise;
    char *settings_path;
} lab_node_t;

typedef struct lab_fleet {
    uv_loop_t *loop;
    const lab_scenario_t *scenario;
    const char *policy;
    const char *directory; /**< where files, logs and journals go */
    uint64_t seed;
    char *base;    /**< first three numbers of the addresses, "127.A.B" */
    char *program; /**< path of tealspar */
    char *lab_program;
    char *config_path;
    char *config_text;               /**< newest declarations */
    char *first_config;              /**< the first, for a stale platform */
    ts_declarations_t *declarations; /**< the first, parsed */
    char *platform;
    char *proxy_control;  /**< NULL when the fleet has no proxy */
    GPtrArray *nodes;     /**< of lab_node_t */
    GPtrArray *processes; /**< of lab_process_t, others */
    bool is_interrupted;  /**< the run was told to end: stop everything */
} lab_fleet_t;

/** Prepares files and addresses; false with a message on standard error. */
bool lab_fleet_prepare(lab_fleet_t *fleet, const char *declarations_path);
/** Starts everything. */
bool lab_fleet_start(lab_fleet_t *fleet);
/** Starts one node's process. */
bool lab_fleet_start_node(lab_fleet_t *fleet, lab_node_t *node);
/** Starts a program; its output goes to DIRECTORY/OUTPUT, its errors to DIRECTORY/OUTPUT.err. */
bool lab_fleet_spawn(lab_fleet_t *fleet, lab_process_t *process, char **arguments,
                     const char *output, uv_exit_cb on_exit);
/** Finds a node by name, or NULL. */
lab_node_t *lab_fleet_node(const lab_fleet_t *fleet, const char *name);
/** Writes a new version of the declarations for the platform to serve; takes the text. */
void lab_fleet_publish(lab_fleet_t *fleet, char *text);
/** Version in a text of declarations. */
uint64_t lab_config_version(const char *text);
/** The text with another version; the caller frees it. */
char *lab_config_with_version(const char *text, uint64_t version);
/** Runs the loop until `is_done` says so or the time is over; returns what `is_done` said last. */
bool lab_run_until(lab_fleet_t *fleet, bool (*is_done)(void *context), void *context,
                   double seconds);
/** Ends every process. Nodes are stopped politely first; returns how many failed to exit 0. */
unsigned lab_fleet_stop(lab_fleet_t *fleet);

#endif
