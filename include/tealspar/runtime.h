/**
 * Runtime interface of a node's tasks: timers, background work and mailbox wake-ups. Production
 * uses an implementation over libuv; the simulator has one on a virtual clock, so that the same
 * tasks run in both.
 */
#ifndef TEALSPAR_RUNTIME_H
#define TEALSPAR_RUNTIME_H

#include <stdbool.h>
#include <uv.h>

#include "tealspar/clock.h"

typedef struct ts_runtime ts_runtime_t;
typedef struct ts_timer ts_timer_t;
typedef void (*ts_timer_callback_t)(ts_timer_t *timer);

/** A timer; embedded in its owner's struct. */
struct ts_timer {
    ts_runtime_t *runtime;
    ts_timer_callback_t fired;
    ts_timer_callback_t closed;
    void *data;         /**< for use by the owner */
    uint64_t repeat_ms; /**< 0: fires once */
    bool is_active;
    uv_timer_t uv;       /**< used by the libuv runtime */
    ts_time_us_t due_us; /**< used by virtual runtimes */
    uint64_t sequence;   /**< used by virtual runtimes */
};

typedef struct ts_runtime_ops {
    void (*timer_init)(ts_timer_t *timer);
    void (*timer_start)(ts_timer_t *timer, uint64_t after_ms);
    void (*timer_stop)(ts_timer_t *timer);
    void (*timer_close)(ts_timer_t *timer);
    /** See ts_runtime_queue_work(). */
    void (*queue_work)(ts_runtime_t *runtime, void (*run)(void *context),
                       void (*done)(void *context), void (*drop)(void *context), void *context);
    /** Called when a mailbox becomes non-empty, from any thread. */
    void (*wake)(ts_runtime_t *runtime);
} ts_runtime_ops_t;

struct ts_runtime {
    const ts_runtime_ops_t *ops;
};

/**
 * Calls `run` on a worker thread, then `done` on the node's thread. If the runtime stops before
 * `done` was called, it calls `drop` instead to free the context.
 */
void ts_runtime_queue_work(ts_runtime_t *runtime, void (*run)(void *context),
                           void (*done)(void *context), void (*drop)(void *context), void *context);

void ts_timer_init(ts_timer_t *timer, ts_runtime_t *runtime, ts_timer_callback_t fired, void *data);
/** Starts or restarts a timer. If `repeat_ms` is above zero, the timer fires repeatedly. */
void ts_timer_start(ts_timer_t *timer, uint64_t after_ms, uint64_t repeat_ms);
void ts_timer_stop(ts_timer_t *timer);
/**
 * Closes a timer. `closed` (may be NULL) is called in a later loop iteration; the timer's memory
 * must not be freed before that.
 */
void ts_timer_close(ts_timer_t *timer, ts_timer_callback_t closed);

#endif
