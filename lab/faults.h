/** Applies a scenario's faults to a running fleet. */
#ifndef TEALSPAR_LAB_FAULTS_H
#define TEALSPAR_LAB_FAULTS_H

#include "fleet.h"

/** A published configuration, to check how fast it reaches the nodes. */
typedef struct lab_published {
    uint64_t version;
    ts_time_us_t at_us;
} lab_published_t;

/** Interval of wall-clock time in which a node was killed or paused. */
typedef struct lab_disturbance {
    int64_t begin_ms;
    int64_t end_ms;
} lab_disturbance_t;

/** Effects of the faults, as needed for the verdict. */
typedef struct lab_fault_log {
    GArray *published;    /**< lab_published_t[] */
    GArray *stops;        /**< int64_t[]: wall-clock time of planned stops, ms */
    GArray *disturbances; /**< lab_disturbance_t[]: kills and pauses of nodes */
} lab_fault_log_t;

typedef struct lab_faults lab_faults_t;

/** Checks that every fault's target exists; if not, prints an error and returns false. */
bool lab_faults_check(const lab_fleet_t *fleet);
/** Starts a timer for every fault; their times are relative to this call. Never freed. */
lab_faults_t *lab_faults_schedule(lab_fleet_t *fleet, lab_fault_log_t *log);
/**
 * Cancels the faults that are still due and ends those in progress: paused nodes are resumed,
 * partitions are healed, backends and the platform behave normally again.
 */
void lab_faults_end(lab_faults_t *faults);
/** Whether proxy, backends and platform have received all changes; for lab_run_until. */
bool lab_faults_have_ended(void *context);

#endif
