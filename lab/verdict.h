/** Evaluation of a run: checks that need the journals of both the callers and the searchers. */
#ifndef TEALSPAR_LAB_VERDICT_H
#define TEALSPAR_LAB_VERDICT_H

#include <jansson.h>

#include "faults.h"

typedef struct lab_verdict {
    unsigned ran_though_refused; /**< queries refused as not run that a searcher did run */
    unsigned ran_twice;          /**< unrepeatable queries that ran more than once */
    unsigned work_after_leave;   /**< requests to a backend more than 3 s after it began to drain */
    unsigned cut_by_stop; /**< queries lost around a planned stop, but not around a kill or pause */
    uint64_t searcher_requests; /**< requests that searchers ran */
    uint64_t over_slots;        /**< requests queued at a searcher because all slots were busy */
} lab_verdict_t;

/** Evaluates the journals in the output directory of a run. */
void lab_verdict_read(lab_verdict_t *verdict, const char *directory, const lab_fault_log_t *log);

#endif
