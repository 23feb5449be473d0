/** Task mailboxes: one mutex-protected queue per task, drained in rounds. */
#include "tealspar/task.h"

#include <glib.h>
#include <string.h>

struct ts_task {
    ts_tasks_t *tasks;
    const char *name;
    ts_task_handler_t handler;
    void (*drained)(void *state);
    void *state;
    ts_message_t *head;
    ts_message_t **tail;
    uv_mutex_t lock;
    struct ts_task *next;
};

struct ts_tasks {
    ts_runtime_t *runtime;
    ts_task_t *first;
};

/* Limit per task and round, so that a busy task does not starve the sockets. */
#define MESSAGES_PER_ROUND 256

ts_tasks_t *ts_tasks_create(ts_runtime_t *runtime)
{
    ts_tasks_t *tasks = g_new0(ts_tasks_t, 1);
    tasks->runtime = runtime;
    return tasks;
}

static ts_message_t *pop_message(ts_task_t *task)
{
    uv_mutex_lock(&task->lock);
    ts_message_t *message = task->head;
    if (message != NULL) {
        task->head = message->next;
        if (task->head == NULL) {
            task->tail = &task->head;
        }
    }
    uv_mutex_unlock(&task->lock);
    return message;
}

static int handle_messages(ts_task_t *task)
{
    for (int i = 0; i < MESSAGES_PER_ROUND; i++) {
        ts_message_t *message = pop_message(task);
        if (message == NULL) {
            return i;
        }
        task->handler(task->state, message);
        if (!message->is_retained) {
            message->destroy(message);
        }
    }
    return MESSAGES_PER_ROUND;
}

/* Returns true if messages may be left. */
static bool drain_task(ts_task_t *task)
{
    int handled = handle_messages(task);
    if (handled > 0 && task->drained != NULL) {
        task->drained(task->state);
    }
    return handled == MESSAGES_PER_ROUND;
}

bool ts_tasks_drain(ts_tasks_t *tasks)
{
    bool more = false;
    for (ts_task_t *task = tasks->first; task != NULL; task = task->next) {
        more |= drain_task(task);
    }
    return more;
}

ts_task_t *ts_task_create(ts_tasks_t *tasks, const char *name, ts_task_handler_t handler,
                          void *state)
{
    ts_task_t *task = g_new0(ts_task_t, 1);
    task->tasks = tasks;
    task->name = name;
    task->handler = handler;
    task->state = state;
    task->tail = &task->head;
    uv_mutex_init(&task->lock);
    task->next = tasks->first;
    tasks->first = task;
    return task;
}

static void destroy_task(ts_task_t *task)
{
    ts_message_t *message = NULL;
    while ((message = pop_message(task)) != NULL) {
        message->destroy(message);
    }
    uv_mutex_destroy(&task->lock);
    g_free(task);
}

void ts_tasks_destroy(ts_tasks_t *tasks)
{
    while (tasks->first != NULL) {
        ts_task_t *task = tasks->first;
        tasks->first = task->next;
        destroy_task(task);
    }
    g_free(tasks);
}

void ts_task_send(ts_task_t *task, ts_message_t *message)
{
    message->next = NULL;
    uv_mutex_lock(&task->lock);
    bool was_empty = task->head == NULL;
    *task->tail = message;
    task->tail = &message->next;
    uv_mutex_unlock(&task->lock);
    if (was_empty) {
        task->tasks->runtime->ops->wake(task->tasks->runtime);
    }
}

void ts_task_set_drained_callback(ts_task_t *task, void (*drained)(void *state))
{
    task->drained = drained;
}

ts_task_t *ts_task_find(const ts_tasks_t *tasks, const char *name)
{
    for (ts_task_t *task = tasks->first; task != NULL; task = task->next) {
        if (strcmp(task->name, name) == 0) {
            return task;
        }
    }
    return NULL;
}
