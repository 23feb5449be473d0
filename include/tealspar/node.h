/**
 * A node: the loop, the settings and the tasks, which are plug-ins. The kernel opens all tasks in
 * order, then starts them in order. On shutdown it stops each task and waits until all are idle or
 * the drain time has expired.
 */
#ifndef TEALSPAR_NODE_H
#define TEALSPAR_NODE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "tealspar/clock.h"
#include "tealspar/plugin.h"
#include "tealspar/settings.h"
#include "tealspar/task.h"

typedef struct ts_node {
    uv_loop_t *loop; /**< for plug-ins with sockets; NULL in the simulator */
    ts_runtime_t *runtime;
    ts_tasks_t *tasks;
    GHashTable *states;          /**< task name -> state, owned by the task */
    const char *searcher_client; /**< name of the searcher client plug-in */
    const char *platform;        /**< name of the platform plug-in */
    void *environment;           /**< used by the simulator */
    const ts_settings_t *settings;
    uint64_t incarnation; /**< start time, wall clock in ms; later starts must have larger values */
    bool stopping;
} ts_node_t;

/** Operations of a task plug-in; each may be NULL. */
typedef struct ts_task_ops {
    ts_error_t (*open)(ts_node_t *node);  /**< creates the task, so that other tasks can find it */
    ts_error_t (*start)(ts_node_t *node); /**< starts processing */
    void (*stop)(ts_node_t *node);        /**< begins the shutdown */
    bool (*is_idle)(ts_node_t *node);     /**< whether nothing is in flight */
    void (*describe)(ts_node_t *node,
                     json_t *status); /**< adds the task's fields to the status view */
    void (*close)(ts_node_t *node);   /**< frees the task's state after the node has stopped */
} ts_task_ops_t;

/** Initializes the fields of a node that tasks use. */
void ts_node_init(ts_node_t *node, ts_runtime_t *runtime, const ts_settings_t *settings,
                  uint64_t incarnation);
/** Opens and starts all tasks. Returns TS_OK or the first error. */
ts_error_t ts_node_start(ts_node_t *node);
/** Begins the shutdown of all tasks. */
void ts_node_begin_shutdown(ts_node_t *node);
/** Whether all tasks are idle. */
bool ts_node_is_idle(ts_node_t *node);
/** Frees the tasks and their state after the runtime has stopped; for simulated nodes. */
void ts_node_close(ts_node_t *node);
/** Returns the state of a task, or NULL. */
void *ts_node_state(const ts_node_t *node, const char *task);
/** Stores the state of a task, which the task owns. */
void ts_node_set_state(ts_node_t *node, const char *task, void *state);
/** Runs a node until SIGTERM or SIGINT. Returns TS_OK or an error. */
ts_error_t ts_node_run(const ts_settings_t *settings);
/** Returns the status view, owned by the caller. */
json_t *ts_node_status(ts_node_t *node);

#endif
