/** Merges the hits of one snapshot and builds the answer. */
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"
#include "tealspar/counters.h"

static int compare_hits(const void *left_pointer, const void *right_pointer)
{
    const ts_hit_t *left = left_pointer;
    const ts_hit_t *right = right_pointer;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

static const ts_subreply_t *find_answer(const ts_fragment_t *fragment, uint64_t snapshot)
{
    for (uint32_t i = 0; i < fragment->answers_count; i++) {
        if (fragment->answers[i].snapshot == snapshot) {
            return &fragment->answers[i];
        }
    }
    return NULL;
}

/* Sets the coverage of `answer`, in total and by group, by the answers from a snapshot (0: none).
   Returns the array behind `answer->groups`, to be freed after the callback. */
static GArray *count_coverage(const ts_query_t *query, uint64_t snapshot, ts_answer_t *answer)
{
    GArray *groups = g_array_new(FALSE, TRUE, sizeof(ts_group_coverage_t));
    uint32_t last_group = UINT32_MAX;
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_fragment_t *fragment = &query->fragments[i];
        uint32_t group = query->declarations->shards[fragment->shard].group;
        if (group != last_group) { /* the shards of a group are contiguous */
            ts_group_coverage_t empty = {query->declarations->groups[group].name, 0, 0};
            g_array_append_val(groups, empty);
            last_group = group;
        }
        ts_group_coverage_t *coverage =
            &g_array_index(groups, ts_group_coverage_t, groups->len - 1);
        bool is_covered = snapshot != 0 && find_answer(fragment, snapshot) != NULL;
        coverage->shards++;
        coverage->covered += is_covered;
        answer->covered += is_covered;
    }
    answer->shards = query->fragment_count;
    answer->groups = (const ts_group_coverage_t *)(void *)groups->data;
    answer->groups_count = groups->len;
    return groups;
}

/* Hits of a snapshot by descending score, then by id; the strings still belong to the fragments.
   Adds the number of all hits to `total`. */
static GArray *collect_hits(const ts_query_t *query, uint64_t snapshot, uint64_t *total)
{
    GArray *hits = g_array_new(FALSE, FALSE, sizeof(ts_hit_t));
    for (uint32_t i = 0; i < query->fragment_count; i++) {
        const ts_subreply_t *found = find_answer(&query->fragments[i], snapshot);
        if (found != NULL) {
            *total += found->total;
            g_array_append_vals(hits, found->hits, (guint)found->hits_count);
        }
    }
    g_array_sort(hits, compare_hits);
    return hits;
}

static void invoke_callback(ts_query_t *query, ts_answer_t *answer)
{
    answer->id = query->request.id;
    answer->took_us = ts_clock_now_us() - query->started_us;
    query->callback(query->context, answer);
}

void ts_query_deliver_answer(ts_query_t *query, uint64_t snapshot)
{
    ts_answer_t answer = {.outcome = TS_OUTCOME_ANSWERED, .snapshot = snapshot};
    GArray *groups = count_coverage(query, snapshot, &answer);
    GArray *hits = collect_hits(query, snapshot, &answer.total);
    size_t offset = MIN(query->request.offset, hits->len);
    answer.hits = (const ts_hit_t *)(void *)hits->data + offset;
    answer.hits_count = MIN(query->request.limit, hits->len - offset);
    ts_count(TS_COUNTER_ANSWERED, 1);
    ts_count(TS_COUNTER_PARTIAL, answer.covered < answer.shards);
    invoke_callback(query, &answer);
    ts_observe_us(TS_HISTOGRAM_QUERY_LATENCY, answer.took_us);
    g_array_free(hits, TRUE);
    g_array_free(groups, TRUE);
}

void ts_query_deliver_failure(ts_query_t *query, ts_outcome_t outcome, ts_error_t error,
                              uint64_t snapshot, uint32_t retry_after_ms)
{
    ts_answer_t answer = {.outcome = outcome, .error = error, .retry_after_ms = retry_after_ms};
    GArray *groups = count_coverage(query, snapshot, &answer);
    ts_count(outcome == TS_OUTCOME_REFUSED ? TS_COUNTER_REFUSED : TS_COUNTER_UNKNOWN, 1);
    ts_count_error(error);
    invoke_callback(query, &answer);
    g_array_free(groups, TRUE);
}
