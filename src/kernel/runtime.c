/** Timers and background work, dispatched to the runtime implementation. */
#include "tealspar/runtime.h"

#include <string.h>

void ts_runtime_queue_work(ts_runtime_t *runtime, void (*run)(void *context),
                           void (*done)(void *context), void (*drop)(void *context), void *context)
{
    runtime->ops->queue_work(runtime, run, done, drop, context);
}

void ts_timer_init(ts_timer_t *timer, ts_runtime_t *runtime, ts_timer_callback_t fired, void *data)
{
    memset(timer, 0, sizeof(*timer));
    timer->runtime = runtime;
    timer->fired = fired;
    timer->data = data;
    runtime->ops->timer_init(timer);
}

void ts_timer_start(ts_timer_t *timer, uint64_t after_ms, uint64_t repeat_ms)
{
    timer->repeat_ms = repeat_ms;
    timer->is_active = true;
    timer->runtime->ops->timer_start(timer, after_ms);
}

void ts_timer_stop(ts_timer_t *timer)
{
    timer->is_active = false;
    timer->runtime->ops->timer_stop(timer);
}

void ts_timer_close(ts_timer_t *timer, ts_timer_callback_t closed)
{
    timer->is_active = false;
    timer->closed = closed;
    timer->runtime->ops->timer_close(timer);
}
