/**
 * Tasks and typed messages. A task owns its sockets and state and runs on the loop's thread. Other
 * tasks and threads communicate with it only by posting messages to its mailbox.
 */
#ifndef TEALSPAR_TASK_H
#define TEALSPAR_TASK_H

#include <stdbool.h>

#include "tealspar/error.h"
#include "tealspar/runtime.h"

/** Message types of a node; each comment names the message struct. */
typedef enum ts_message_type {
    TS_MESSAGE_SUBREQUESTS,  /**< ts_subrequests_message_t: to the broker or the mesh */
    TS_MESSAGE_SUBREPLIES,   /**< ts_subreply_message_t: to the front or the mesh */
    TS_MESSAGE_CANCEL,       /**< ts_cancel_message_t: to the broker or the mesh */
    TS_MESSAGE_GOSSIP,       /**< ts_gossip_message_t: to membership or the mesh */
    TS_MESSAGE_PEER_LOST,    /**< ts_peer_lost_message_t: the connection to a peer was closed */
    TS_MESSAGE_MACHINES,     /**< ts_machines_message_t: the platform's list of machines */
    TS_MESSAGE_DOCUMENT,     /**< ts_document_message_t: announces, requests or has a configuration
                                document */
    TS_MESSAGE_DECLARATIONS, /**< ts_declarations_message_t: the configuration now in effect */
    TS_MESSAGE_VIEW,         /**< ts_view_message_t: a new membership view */
    TS_MESSAGE_BROKER_IDLE   /**< ts_message_t: a broker that is shutting down is idle */
} ts_message_type_t;

/** Common header, the first member of every message struct. */
typedef struct ts_message {
    ts_message_type_t type;
    void (*destroy)(struct ts_message *message); /**< called by the kernel after the handler */
    bool is_retained;        /**< set by a handler that takes ownership of the message */
    struct ts_message *next; /**< owned by the mailbox */
} ts_message_t;

typedef struct ts_task ts_task_t;
/** The tasks of one node. */
typedef struct ts_tasks ts_tasks_t;
/**
 * Handles one message on the node's thread. The kernel destroys the message afterwards unless the
 * handler set `is_retained`.
 */
typedef void (*ts_task_handler_t)(void *state, ts_message_t *message);

/** Creates an empty set of tasks that wakes `runtime` when a mailbox becomes non-empty. */
ts_tasks_t *ts_tasks_create(ts_runtime_t *runtime);
/** Destroys all tasks and their queued messages. */
void ts_tasks_destroy(ts_tasks_t *tasks);
/**
 * Delivers queued messages in one round with a limit per task; called by the runtime. Returns true
 * if messages may be left.
 */
bool ts_tasks_drain(ts_tasks_t *tasks);
/**
 * Creates a task. `name` must outlive it. Tasks are drained in reverse order of creation, so a
 * message to a task created earlier is handled in the same round.
 */
ts_task_t *ts_task_create(ts_tasks_t *tasks, const char *name, ts_task_handler_t handler,
                          void *state);
/** Posts a message to a task's mailbox, from any thread. Takes ownership of the message. */
void ts_task_send(ts_task_t *task, ts_message_t *message);
/** Sets a callback for the end of each round in which the task handled messages. */
void ts_task_set_drained_callback(ts_task_t *task, void (*drained)(void *state));
/** Returns the task of that name, or NULL. */
ts_task_t *ts_task_find(const ts_tasks_t *tasks, const char *name);

#endif
