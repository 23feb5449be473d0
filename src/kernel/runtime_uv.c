/** Runtime implementation over libuv. */
#include "tealspar/runtime_uv.h"

#include <glib.h>

static void on_timer(uv_timer_t *handle)
{
    ts_timer_t *timer = handle->data;
    timer->is_active = timer->repeat_ms > 0;
    timer->fired(timer);
}

static void on_closed(uv_handle_t *handle)
{
    ts_timer_t *timer = handle->data;
    if (timer->closed != NULL) {
        timer->closed(timer);
    }
}

static void init_timer(ts_timer_t *timer)
{
    uv_timer_init(((ts_runtime_uv_t *)timer->runtime)->loop, &timer->uv);
    timer->uv.data = timer;
}

static void start_timer(ts_timer_t *timer, uint64_t after_ms)
{
    uv_timer_start(&timer->uv, on_timer, after_ms, timer->repeat_ms);
}

static void stop_timer(ts_timer_t *timer)
{
    uv_timer_stop(&timer->uv);
}

static void close_timer(ts_timer_t *timer)
{
    uv_close((uv_handle_t *)&timer->uv, on_closed);
}

/* A work item in libuv's thread pool. */
typedef struct pool_work {
    uv_work_t request;
    void (*run)(void *context);
    void (*done)(void *context);
    void *context;
} pool_work_t;

static void run_pool_work(uv_work_t *request)
{
    const pool_work_t *work = (const pool_work_t *)request;
    work->run(work->context);
}

static void finish_pool_work(uv_work_t *request, int status)
{
    pool_work_t *work = (pool_work_t *)request;
    work->done(work->context);
    g_free(work);
}

/* `drop` is unused: the loop runs until the process exits. */
static void queue_work(ts_runtime_t *runtime, void (*run)(void *context),
                       void (*done)(void *context), void (*drop)(void *context), void *context)
{
    pool_work_t *work = g_new0(pool_work_t, 1);
    work->run = run;
    work->done = done;
    work->context = context;
    uv_queue_work(((ts_runtime_uv_t *)runtime)->loop, &work->request, run_pool_work,
                  finish_pool_work);
}

static void wake(ts_runtime_t *runtime)
{
    uv_async_send(&((ts_runtime_uv_t *)runtime)->wake_up);
}

static void drain(uv_async_t *handle)
{
    const ts_runtime_uv_t *runtime = handle->data;
    if (runtime->tasks != NULL && ts_tasks_drain(runtime->tasks)) {
        uv_async_send(handle);
    }
}

void ts_runtime_uv_open(ts_runtime_uv_t *runtime, uv_loop_t *loop)
{
    static const ts_runtime_ops_t ops = {init_timer,  start_timer, stop_timer,
                                         close_timer, queue_work,  wake};
    runtime->super.ops = &ops;
    runtime->loop = loop;
    runtime->tasks = NULL;
    uv_async_init(loop, &runtime->wake_up, drain);
    runtime->wake_up.data = runtime;
}

void ts_runtime_uv_set_tasks(ts_runtime_uv_t *runtime, ts_tasks_t *tasks)
{
    runtime->tasks = tasks;
}
