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
    uint64_t unknown;     /**< outcome "unknown": the query may have run */
    uint64_t lost;        /**< no reply: connection error or time-out */
    uint64_t true_claims; /**< answers whose coverage matched their hits */
    double coverage_sum;
    double coverage_min;
} lab_load_kind_t;

/** A node as seen by the load balancer that the generator emulates. */
typedef struct lab_load_node {
    char *callers;
    char *operators;
    ts_http_pool_t *pool;
    ts_http_pool_t *health; /**< connections to the operators' address, for health checks */
    bool is_ready;
    bool is_checking; /**< a health check is in flight */
} lab_load_node_t;

typedef struct lab_load {
    uv_loop_t *loop;
    const ts_declarations_t *declarations;
    GPtrArray *kinds; /**< of lab_load_kind_t */
    GPtrArray *nodes; /**< of lab_load_node_t */
    ts_time_us_t started_us;
    ts_time_us_t ends_us;
    uint64_t next_number; /**< sequence number of the next query id */
    uint64_t seed;
    unsigned next_node;
    uint64_t outstanding;
    bool is_over;     /**< no more arrivals; replies may be outstanding */
    bool check_reach; /**< the declared reach is constant, so answers are checked against it */
    lab_violations_t violations;
    uint64_t repeats;
    gsl_rng *random;
    FILE *journal;
    FILE *tries; /**< one line per attempt of an unrepeatable query; may be NULL */
} lab_load_t;

/** Sends one query; its latency is counted from the scheduled arrival time `due_us`. */
void lab_load_send(lab_load_t *load, lab_load_kind_t *kind, ts_time_us_t due_us);
/** Returns the final report as a new JSON object. */
json_t *lab_load_report(const lab_load_t *load);

#endif
