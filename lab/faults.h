/** Applying a scenario's faults to a running fleet. */
#ifndef TEALSPAR_LAB_FAULTS_H
#define TEALSPAR_LAB_FAULTS_H

#include "fleet.h"

/** A configuration that was published, for the check of its spread. */
typedef struct lab_published {
    uint64_t version;
    ts_time_us_t at_us;
} lab_published_t;

/** A span of wall-clock time in which a node was dead or stood still. */
typedef struct lab_disturbance {
    int64_t begin_ms;
    int64_t end_ms;
} lab_disturbance_t;

/** What the faults have done, for the verdict. */
typedef struct lab_fault_log {
    GArray *published;    /**< of lab_published_t */
    GArray *stops;        /**< of int64_t: wall-clock ms of planned stops */
    GArray *disturbances; /**< of lab_disturbance_t: kills and pauses of nodes */
} lab_fault_log_t;

/** Checks that every fault's target exists; false with a message on standard error. */
bool lab_faults_check(const lab_fleet_t *fleet);
/** Arms a timer for every fault; times count from now. */
void lab_faults_schedule(lab_fleet_t *fleet, lab_fault_log_t *log);

#endif
