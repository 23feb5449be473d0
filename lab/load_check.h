/** Test oracle: checks answers that callers received against the records (records.h). */
#ifndef TEALSPAR_LAB_LOAD_CHECK_H
#define TEALSPAR_LAB_LOAD_CHECK_H

#include <jansson.h>

#include "tealspar/declarations.h"

/** Answers that violated a guarantee, by guarantee. */
typedef struct lab_violations {
    uint64_t mixed_snapshot; /**< hits of another snapshot than the answer states */
    uint64_t false_coverage; /**< stated coverage does not match the hits */
    uint64_t wrong_answer;   /**< malformed, or wrong id, hits, score order or shards */
} lab_violations_t;

/** The query that an answer is checked against. */
typedef struct lab_query_spec {
    const ts_declarations_t *declarations;
    const ts_selector_t *selector;
    const char *id;
    const char *text; /**< query text, or the key if routed by key */
    bool check_reach; /**< check that hits come only from shards that the kind may query */
} lab_query_spec_t;

/** Snapshot and coverage (number of shards that contributed, of those in reach) of an answer. */
typedef struct lab_answer_summary {
    uint64_t snapshot;
    uint32_t shards;
    uint32_t covered;
} lab_answer_summary_t;

/** Checks one answer; increments each violation counter at most once. */
void lab_check_answer(const lab_query_spec_t *spec, const json_t *answer,
                      lab_answer_summary_t *summary, lab_violations_t *violations);

#endif
