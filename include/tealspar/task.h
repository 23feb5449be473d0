/**
 * Tasks and typed messages. A task owns its sockets and its state and runs on the loop's thread;
 * other tasks and other threads reach it only by messages put into its mailbox.
 */
#ifndef TEALSPAR_TASK_H
#define TEALSPAR_TASK_H

#include <stdbool.h>

#include "tealspar/error.h"
#include "tealspar/runtime.h"

/** Every message type of the node; the comment names the struct that carries it. */
typedef enum ts_message_type {
    TS_MESSAGE_SUBREQUESTS,  /**< ts_subrequests_message_t: to the broker */
    TS_MESSAGE_SUBREPLIES,   /**< ts_subreplies_message_t: to the front */
    TS_MESSAGE_CANCEL,       /**< ts_cancel_message_t: to the broker */
    TS_MESSAGE_GOSSIP,       /**< ts_gossip_message_t: to membership */
    TS_MESSAGE_PEER_LOST,    /**< ts_peer_message_t: a connection to a node ended */
    TS_MESSAGE_MACHINES,     /**< ts_machines_message_t: the platform's list */
    TS_MESSAGE_DOCUMENT,     /**< ts_document_message_t: a candidate configuration */
    TS_MESSAGE_DECLARATIONS, /**< ts_declarations_message_t: a configuration in force */
    TS_MESSAGE_VIEW,         /**< ts_view_message_t: a new view of the members */
    TS_MESSAGE_BROKER_IDLE   /**< ts_message_t: a stopping broker has nothing left to do */
} ts_message_type_t;

/** Head of every message; embedded first in each message struct. */
typedef struct ts_message {
    ts_message_type_t type;
    void (*destroy)(struct ts_message *message); /**< frees it; called by the kernel once handled */
    bool kept; /**< set by a handler that keeps the message and will destroy it itself */
    struct ts_message *next; /**< owned by the mailbox */
} ts_message_t;

typedef struct ts_task ts_task_t;
/** The tasks of one node. */
typedef struct ts_tasks ts_tasks_t;
/** Handles one message on the node's thread. The kernel destroys the message afterwards. */
typedef void (*ts_task_handler_t)(void *state, ts_message_t *message);

/** Makes an empty set of tasks that wakes `runtime` when a mailbox becomes non-empty. */
ts_tasks_t *ts_tasks_create(ts_runtime_t *runtime);
/** Destroys all tasks, with what is in their mailboxes. */
void ts_tasks_destroy(ts_tasks_t *tasks);
/**
 * Delivers what is in the mailboxes, one round; called by the runtime. Returns whether more may be
 * waiting.
 */
bool ts_tasks_drain(ts_tasks_t *tasks);
/**
 * Creates a task. `name` must outlive it. Tasks are drained from the last created to the first, so
 * a message to a task created earlier is handled in the same round.
 */
ts_task_t *ts_task_create(ts_tasks_t *tasks, const char *name, ts_task_handler_t handler,
                          void *state);
/** Puts a message into a task's mailbox; any thread. Takes ownership of the message. */
void ts_task_send(ts_task_t *task, ts_message_t *message);
/** Calls `drained` each time the task has handled what was in its mailbox. */
void ts_task_on_drained(ts_task_t *task, void (*drained)(void *state));
/** Finds a task by name, or NULL. */
ts_task_t *ts_task_find(const ts_tasks_t *tasks, const char *name);

#endif
