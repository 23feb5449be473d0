/** Runtime implementation over libuv. */
#ifndef TEALSPAR_RUNTIME_UV_H
#define TEALSPAR_RUNTIME_UV_H

#include "tealspar/runtime.h"
#include "tealspar/task.h"

typedef struct ts_runtime_uv {
    ts_runtime_t super;
    uv_loop_t *loop;
    uv_async_t wake_up;
    ts_tasks_t *tasks; /**< drained when the loop is woken */
} ts_runtime_uv_t;

/** Initializes a runtime on a loop. */
void ts_runtime_uv_open(ts_runtime_uv_t *runtime, uv_loop_t *loop);
/** Sets the tasks whose mailboxes are drained when the loop is woken. */
void ts_runtime_uv_set_tasks(ts_runtime_uv_t *runtime, ts_tasks_t *tasks);

#endif
