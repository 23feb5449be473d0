/** Test oracle for answers. */
#include "load_check.h"

#include <math.h>
#include <string.h>

#include "records.h"
#include "tealspar/route.h"

#define NAME_SIZE 128
#define TEXT_SIZE 64
#define SCORE_TOLERANCE 1e-9

/* State of the check of one answer. */
typedef struct findings {
    GHashTable *hits_by_shard; /* shard name -> number of hits */
    bool is_mixed;             /* a hit is of another snapshot than the answer states */
    bool is_wrong;             /* the answer counts as wrong_answer */
} findings_t;

/* Checks one hit. `last_score` is the score of the previous hit: scores must not increase. */
static void check_hit(const lab_query_spec_t *spec, const json_t *hit, uint64_t snapshot,
                      double *last_score, findings_t *findings)
{
    char shard[NAME_SIZE];
    char expected[TEXT_SIZE];
    uint64_t hit_snapshot = 0;
    unsigned number = 0;
    const char *id = json_string_value(json_object_get(hit, "id"));
    const char *text = json_string_value(json_object_get(hit, "text"));
    double score = json_number_value(json_object_get(hit, "score"));
    if (id == NULL || text == NULL || !lab_record_parse_id(id, shard, &hit_snapshot, &number)) {
        findings->is_wrong = true;
        return;
    }
    findings->is_mixed |= hit_snapshot != snapshot;
    lab_record_text(expected, sizeof(expected), spec->text, hit_snapshot, number);
    double expected_score = lab_record_score(shard, spec->text, hit_snapshot, number);
    findings->is_wrong |= strcmp(text, expected) != 0 || score > *last_score ||
                          fabs(score - expected_score) > SCORE_TOLERANCE;
    *last_score = score;
    gpointer count = g_hash_table_lookup(findings->hits_by_shard, shard);
    g_hash_table_insert(findings->hits_by_shard, g_strdup(shard),
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

/*
 * Each shard with hits must be declared and must have returned all its hits. With `check_reach`,
 * the kind must also be allowed to query the shard's group.
 */
static void check_shards(const lab_query_spec_t *spec, uint64_t snapshot, findings_t *findings)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, findings->hits_by_shard);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const char *shard = key;
        findings->is_wrong |=
            GPOINTER_TO_UINT(value) != lab_record_count(shard, spec->text, snapshot);
        /* index of the shard + 1; 0: not declared */
        unsigned position =
            GPOINTER_TO_UINT(g_hash_table_lookup(spec->declarations->shard_by_name, shard));
        if (!spec->check_reach || position == 0) {
            findings->is_wrong |= position == 0;
            continue;
        }
        const ts_group_t *group =
            &spec->declarations->groups[spec->declarations->shards[position - 1].group];
        findings->is_wrong |= !ts_labels_match(spec->selector->groups, spec->selector->groups_count,
                                               group->labels, group->labels_count);
    }
}

/* Whether the answer has hits of the key's shard; always true for queries not routed by key. */
static bool has_key_shard(const lab_query_spec_t *spec, const findings_t *findings)
{
    if (spec->selector->route != TS_ROUTE_KEY) {
        return true;
    }
    uint32_t reach_index = ts_route_shard_of_key(spec->declarations, spec->selector, spec->text);
    const char *name = spec->declarations->shards[spec->selector->reach[reach_index]].name;
    return g_hash_table_contains(findings->hits_by_shard, name);
}

/*
 * Whether the stated coverage of each group equals its number of shards with hits, and the coverage
 * of all groups adds up to the stated total.
 */
static bool is_group_coverage_correct(const json_t *coverage, const findings_t *findings)
{
    size_t index = 0;
    const json_t *row = NULL;
    json_int_t sum = 0;
    json_array_foreach(json_object_get(coverage, "groups"), index, row)
    {
        const char *group = json_string_value(json_object_get(row, "group"));
        json_int_t covered = json_integer_value(json_object_get(row, "covered"));
        json_int_t shards_with_hits = 0;
        GHashTableIter iterator;
        gpointer key = NULL;
        g_hash_table_iter_init(&iterator, findings->hits_by_shard);
        while (g_hash_table_iter_next(&iterator, &key, NULL)) {
            const char *shard = key;
            size_t length = strcspn(shard, "/"); /* shard names are "GROUP/NUMBER" */
            shards_with_hits += strlen(group) == length && strncmp(shard, group, length) == 0;
        }
        if (shards_with_hits != covered) {
            return false;
        }
        sum += covered;
    }
    return sum == json_integer_value(json_object_get(coverage, "covered"));
}

void lab_check_answer(const lab_query_spec_t *spec, const json_t *answer,
                      lab_answer_summary_t *summary, lab_violations_t *violations)
{
    findings_t findings = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL), false,
                           false};
    const json_t *coverage = json_object_get(answer, "coverage");
    const char *id = json_string_value(json_object_get(answer, "id"));
    double last_score = INFINITY;
    size_t index = 0;
    const json_t *hit = NULL;
    summary->snapshot = (uint64_t)json_integer_value(json_object_get(answer, "snapshot"));
    summary->shards = (uint32_t)json_integer_value(json_object_get(coverage, "shards"));
    summary->covered = (uint32_t)json_integer_value(json_object_get(coverage, "covered"));
    json_array_foreach(json_object_get(answer, "hits"), index, hit)
    {
        check_hit(spec, hit, summary->snapshot, &last_score, &findings);
    }
    check_shards(spec, summary->snapshot, &findings);
    findings.is_wrong |= id == NULL || strcmp(id, spec->id) != 0;
    findings.is_wrong |= summary->covered > 0 && !has_key_shard(spec, &findings);
    /* every shard has at least one hit for every query, so covered shards are those with hits */
    bool is_coverage_wrong = g_hash_table_size(findings.hits_by_shard) != summary->covered ||
                             !is_group_coverage_correct(coverage, &findings);
    violations->mixed_snapshot += findings.is_mixed;
    violations->wrong_answer += findings.is_wrong;
    violations->false_coverage += is_coverage_wrong;
    g_hash_table_destroy(findings.hits_by_shard);
}
