/** Types of the open-loop load generator. */
#ifndef TEALSPAR_LAB_LOAD_H
#define TEALSPAR_LAB_LOAD_H

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <uv.h>

#include "load_check.h"
#include "tealspar/histogram.h"
#include "tealspar/http_client.h"

/** One kind of query under load. */
typedef struct lab_load_kind {
    char *name;
    double rate; /**< a second */
    const ts_selector_t *selector;
    ts_time_us_t next_us;     /**< next arrival */
    ts_histogram_t latencies; /**< of answered queries */
    uint64_t sent;
    uint64_t answered;
    uint64_t refused;
    uint64_t unknown;
    uint64_t lost;
    uint64_t true_claims;
    double coverage_sum;
    double coverage_least;
} lab_load_kind_t;

/** One node as a balancer sees it. */
typedef struct lab_load_node {
    char *callers;
    char *operators;
    ts_http_pool_t *pool;
    ts_http_pool_t *health;
    bool is_ready;
    bool is_checking;
} lab_load_node_t;

/** The whole generator. */
typedef struct lab_load {
    uv_loop_t *loop;
    const ts_declarations_t *declarations;
    GPtrArray *kinds; /**< of lab_load_kind_t */
    GPtrArray *nodes; /**< of lab_load_node_t */
    ts_time_us_t started_us;
    ts_time_us_t ends_us;
    uint64_t next_number;
    uint64_t seed;
    unsigned next_node;
    uint64_t outstanding;
    bool is_over;
    bool check_reach;
    lab_violations_t violations;
    uint64_t repeats;
    gsl_rng *random;
    FILE *journal;
    FILE *tries; /**< a line for each try of an unrepeatable query; NULL: not wanted */
} lab_load_t;

/** Sends one query of a kind, due at `due_us`. */
void lab_load_send(lab_load_t *load, lab_load_kind_t *kind, ts_time_us_t due_us);
/** The closing report as JSON. */
json_t *lab_load_report(const lab_load_t *load);

#endif
