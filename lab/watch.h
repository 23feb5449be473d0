/** Watching the nodes of a fleet: readiness, and which configuration each has in force. */
#ifndef TEALSPAR_LAB_WATCH_H
#define TEALSPAR_LAB_WATCH_H

#include "faults.h"

typedef struct lab_watch lab_watch_t;

/** Begins to read every node's status several times a second. */
lab_watch_t *lab_watch_start(lab_fleet_t *fleet);
void lab_watch_stop(lab_watch_t *watch);
/** Whether every running node says that it is ready and sees all the others live. */
bool lab_watch_all_ready(void *watch);
/** Whether every node whose process runs answers its operators; for lab_run_until. */
bool lab_watch_running_answer(void *context);
/** Times that a node showed a lower version than it had shown before. */
unsigned lab_watch_reverted(const lab_watch_t *watch);
/**
 * Longest time in ms from a publication until it was in force at a node that ran throughout, and
 * through `late` the number of those past `bound_ms` (not reached by the end counts as well).
 */
double lab_watch_spread_ms(const lab_watch_t *watch, const lab_fault_log_t *log, double bound_ms,
                           unsigned *late);

#endif
