/**
 * Child processes that are waited for on a separate thread, because reaping a process can take
 * seconds on a busy machine and would block the event loop. The exit time is recorded when the
 * process exits, not when the loop handles the exit.
 */
#ifndef LAB_CHILD_H
#define LAB_CHILD_H

#include <uv.h>

#include "tealspar/clock.h"

typedef struct lab_child lab_child_t;

typedef struct lab_child_exit {
    int status; /**< exit status; 0 if terminated by a signal */
    int signal; /**< terminating signal; 0 if the process exited normally */
    ts_time_us_t ended_us;
} lab_child_exit_t;

/** Called on the loop after the process has exited; `lab_child_t` is freed after the callback. */
typedef void (*lab_child_exit_cb_t)(void *ctx, const lab_child_exit_t *end);

/**
 * Starts a program with stdout and stderr redirected to the descriptor `output`, which the caller
 * closes. Returns NULL on failure. `arguments` and `environment` are NULL-terminated.
 */
lab_child_t *lab_child_start(uv_loop_t *loop, char *const *arguments, char *const *environment,
                             int output, lab_child_exit_cb_t on_exit, void *ctx);
/** Sends a signal unless the process has exited. */
void lab_child_kill(lab_child_t *child, int number);

#endif
