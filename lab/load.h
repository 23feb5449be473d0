/** Open-loop load generator: state and internal interface. */
#ifndef TEALSPAR_LAB_LOAD_H
#define TEALSPAR_LAB_LOAD_H

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <uv.h>

#include "load_check.h"
#include "tealspar/histogram.h"
#include "tealspar/http_client.h"

/** Arrivals and results of one query kind. */
typedef struct lab_load_kind {
    char *name;
    double rate; /**< queries per second */
    const ts_selector_t *selector;
    ts_time_us_t next_us;     /**< scheduled time of the next arrival */
    ts_histogram_t latencies; /**< of answered queries, in microseconds */
    uint64_t sent;
    uint64_t answered;
    uint64_t refused;
    uint64_t unknown;          /**< outcome "unknown": the query may have run */
    uint64_t lost;             /**< no reply: connection error or time-out */
    uint64_t correct_coverage; /**< answers whose stated coverage matched their hits */
    double coverage_sum;       /**< of the fraction of shards covered, over all answers */
    double coverage_min;       /**< lowest fraction of shards covered by an answer */
} lab_load_kind_t;

/** A node as seen by the load balancer that the generator emulates. */
typedef struct lab_load_node {
    char *callers_address;   /**< IP:PORT for queries */
    char *operators_address; /**< IP:PORT for health checks */
    ts_http_pool_t *query_pool;
    ts_http_pool_t *health_pool;
    bool is_ready;    /**< result of the last health check */
    bool is_checking; /**< a health check is in flight */
} lab_load_node_t;

typedef struct lab_load {
    uv_loop_t *loop;
    const ts_declarations_t *declarations;
    GPtrArray *kinds; /**< of lab_load_kind_t */
    GPtrArray *nodes; /**< of lab_load_node_t */
    ts_time_us_t started_us;
    ts_time_us_t ends_us;
    uint64_t next_query_number; /**< sequence number in the id of the next query */
    uint64_t seed;
    unsigned next_node; /**< round-robin counter, taken modulo the number of nodes */
    uint64_t outstanding;
    bool has_arrivals_ended; /**< replies may still be outstanding */
    /** Check that hits come only from shards that the kind may query (its reach); off if the reach
     * changes during the run. */
    bool check_reach;
    lab_violations_t violations;
    uint64_t repeats; /**< unrepeatable queries sent again under the same id, marked as repeats */
    gsl_rng *random;
    FILE *journal; /**< one line per query; NULL: not written */
    FILE *tries;   /**< one line per attempt of an unrepeatable query; NULL: not written */
} lab_load_t;

/** Sends one query; its latency is counted from the scheduled arrival time `due_us`. */
void lab_load_send(lab_load_t *load, lab_load_kind_t *kind, ts_time_us_t due_us);
/** Returns the final report as a new JSON object. */
json_t *lab_load_report(const lab_load_t *load);

#endif
