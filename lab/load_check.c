/** The oracle of answers. */
#include "load_check.h"

#include <math.h>
#include <string.h>

#include "records.h"
#include "tealspar/route.h"

#define NAME_SIZE 128
#define TEXT_SIZE 64
#define SCORE_TOLERANCE 1e-9

/* What the hits themselves show. */
typedef struct evidence {
    GHashTable *hits_by_shard; /* shard -> number of hits */
    bool is_mixed;
    bool is_wrong;
} evidence_t;

static void examine_hit(const lab_asked_t *asked, const json_t *hit, uint64_t snapshot,
                        double *last_score, evidence_t *evidence)
{
    char shard[NAME_SIZE];
    char expected[TEXT_SIZE];
    uint64_t hit_snapshot = 0;
    unsigned number = 0;
    const char *id = json_string_value(json_object_get(hit, "id"));
    const char *text = json_string_value(json_object_get(hit, "text"));
    double score = json_number_value(json_object_get(hit, "score"));
    if (id == NULL || text == NULL || !lab_record_split(id, shard, &hit_snapshot, &number)) {
        evidence->is_wrong = true;
        return;
    }
    evidence->is_mixed |= hit_snapshot != snapshot;
    lab_record_text(expected, sizeof(expected), asked->text, hit_snapshot, number);
    double expected_score = lab_record_score(shard, asked->text, hit_snapshot, number);
    evidence->is_wrong |= strcmp(text, expected) != 0 || score > *last_score ||
                          fabs(score - expected_score) > SCORE_TOLERANCE;
    *last_score = score;
    gpointer count = g_hash_table_lookup(evidence->hits_by_shard, shard);
    g_hash_table_insert(evidence->hits_by_shard, g_strdup(shard),
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

/* Every covered shard must have given all its hits, and be one that the kind may reach. */
static void examine_shards(const lab_asked_t *asked, uint64_t snapshot, evidence_t *evidence)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, evidence->hits_by_shard);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const char *shard = key;
        evidence->is_wrong |=
            GPOINTER_TO_UINT(value) != lab_record_count(shard, asked->text, snapshot);
        unsigned index =
            GPOINTER_TO_UINT(g_hash_table_lookup(asked->declarations->shard_by_name, shard));
        if (!asked->check_reach || index == 0) {
            evidence->is_wrong |= index == 0;
            continue;
        }
        const ts_group_t *group =
            &asked->declarations->groups[asked->declarations->shards[index - 1].group];
        evidence->is_wrong |=
            !ts_labels_match(asked->selector->groups, asked->selector->groups_count, group->labels,
                             group->labels_count);
    }
}

static bool is_key_shard(const lab_asked_t *asked, const evidence_t *evidence)
{
    if (asked->selector->route != TS_ROUTE_KEY) {
        return true;
    }
    uint32_t reach_index = ts_route_shard_of_key(asked->declarations, asked->selector, asked->text);
    const char *name = asked->declarations->shards[asked->selector->reach[reach_index]].name;
    return g_hash_table_contains(evidence->hits_by_shard, name);
}

/* The groups' coverage must add up and agree with the hits. */
static bool is_group_coverage_true(const json_t *coverage, const evidence_t *evidence)
{
    size_t index = 0;
    const json_t *row = NULL;
    json_int_t sum = 0;
    json_array_foreach(json_object_get(coverage, "groups"), index, row)
    {
        const char *group = json_string_value(json_object_get(row, "group"));
        json_int_t covered = json_integer_value(json_object_get(row, "covered"));
        json_int_t found = 0;
        GHashTableIter iterator;
        gpointer key = NULL;
        g_hash_table_iter_init(&iterator, evidence->hits_by_shard);
        while (g_hash_table_iter_next(&iterator, &key, NULL)) {
            const char *shard = key;
            size_t length = strcspn(shard, "/");
            found += strlen(group) == length && strncmp(shard, group, length) == 0;
        }
        if (found != covered) {
            return false;
        }
        sum += covered;
    }
    return sum == json_integer_value(json_object_get(coverage, "covered"));
}

void lab_check_answer(const lab_asked_t *asked, const json_t *answer, lab_told_t *told,
                      lab_violations_t *violations)
{
    evidence_t evidence = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL), false,
                           false};
    const json_t *coverage = json_object_get(answer, "coverage");
    const char *id = json_string_value(json_object_get(answer, "id"));
    double last_score = INFINITY;
    size_t index = 0;
    const json_t *hit = NULL;
    told->snapshot = (uint64_t)json_integer_value(json_object_get(answer, "snapshot"));
    told->shards = (uint32_t)json_integer_value(json_object_get(coverage, "shards"));
    told->covered = (uint32_t)json_integer_value(json_object_get(coverage, "covered"));
    json_array_foreach(json_object_get(answer, "hits"), index, hit)
    {
        examine_hit(asked, hit, told->snapshot, &last_score, &evidence);
    }
    examine_shards(asked, told->snapshot, &evidence);
    evidence.is_wrong |= id == NULL || strcmp(id, asked->id) != 0;
    evidence.is_wrong |= told->covered > 0 && !is_key_shard(asked, &evidence);
    bool is_false = g_hash_table_size(evidence.hits_by_shard) != told->covered ||
                    !is_group_coverage_true(coverage, &evidence);
    violations->mixed_snapshot += evidence.is_mixed;
    violations->wrong_answer += evidence.is_wrong;
    violations->false_coverage += is_false;
    g_hash_table_destroy(evidence.hits_by_shard);
}
