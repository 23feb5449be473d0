/**
 * A child process whose end is waited for on a thread of its own: reaping a process can take
 * seconds on a busy machine, for which the loop must not stand still. Tells when the process ended,
 * not when that was noticed.
 */
#ifndef LAB_CHILD_H
#define LAB_CHILD_H

#include <uv.h>

#include "tealspar/clock.h"

typedef struct lab_child lab_child_t;

typedef struct lab_child_end {
    int status; /**< it exited with; 0 after a signal */
    int signal; /**< that ended it; 0: it exited */
    ts_time_us_t ended_us;
} lab_child_end_t;

/** Called on the loop once the process has ended; the child is freed after that. */
typedef void (*lab_child_ended_t)(void *ctx, const lab_child_end_t *end);

/**
 * Starts a program with its output going to `output`, which the caller closes. NULL when that
 * fails. `arguments` and `environment` end with NULL.
 */
lab_child_t *lab_child_start(uv_loop_t *loop, char *const *arguments, char *const *environment,
                             int output, lab_child_ended_t ended, void *ctx);
/** Sends a signal, unless the process has ended. */
void lab_child_kill(lab_child_t *child, int number);

#endif
