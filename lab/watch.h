/** Monitors the nodes of a fleet: readiness and effective configuration version. */
#ifndef TEALSPAR_LAB_WATCH_H
#define TEALSPAR_LAB_WATCH_H

#include "faults.h"

typedef struct lab_watch lab_watch_t;

/** Starts polling the status of every node. */
lab_watch_t *lab_watch_start(lab_fleet_t *fleet);
void lab_watch_stop(lab_watch_t *watch);
/** Whether every node is ready and sees all nodes as live; for lab_run_until. */
bool lab_watch_all_ready(void *context);
/** Makes lab_watch_all_responsive require new replies. */
void lab_watch_discard_replies(lab_watch_t *watch);
/** Whether every node with a running process answers status requests; for lab_run_until. */
bool lab_watch_all_responsive(void *context);
/** Counts status replies with a lower configuration version than the node reported before. */
unsigned lab_watch_count_reverted(const lab_watch_t *watch);
/**
 * Returns the longest time in ms from a publication until a node had it in effect. A node that had
 * not reached it counts with the time until its last status reply, a node that has been down since
 * the publication is left out. Sets `late` to the number of propagations that exceeded `bound_ms`.
 */
double lab_watch_propagation_ms(const lab_watch_t *watch, const lab_fault_log_t *log,
                                double bound_ms, unsigned *late);

#endif
