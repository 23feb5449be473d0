/** Records of the stand-in searchers. */
#include "records.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "tealspar/hash.h"

#define ID_SIZE 128
#define TEXT_SIZE 64
#define SHARD_SIZE 128
#define SCORE_STEPS 1000U

static uint64_t hash_query(const char *shard, const char *query, uint64_t snapshot)
{
    return ts_hash_mix(ts_hash_mix(ts_hash_text(shard), ts_hash_text(query)), snapshot);
}

unsigned lab_record_count(const char *shard, const char *query, uint64_t snapshot)
{
    return 1U + (unsigned)(hash_query(shard, query, snapshot) % LAB_HITS_PER_SHARD_MAX);
}

void lab_record_id(char *id, size_t size, const char *shard, uint64_t snapshot, unsigned number)
{
    snprintf(id, size, "%s@%" PRIu64 "#%u", shard, snapshot, number);
}

double lab_record_score(const char *shard, const char *query, uint64_t snapshot, unsigned number)
{
    uint64_t hash = ts_hash_mix(hash_query(shard, query, snapshot), number);
    return (double)(hash % SCORE_STEPS) / SCORE_STEPS;
}

void lab_record_text(char *text, size_t size, const char *query, uint64_t snapshot, unsigned number)
{
    snprintf(text, size, "record %u of %016" PRIx64, number,
             ts_hash_mix(ts_hash_text(query), snapshot));
}

bool lab_record_parse_id(const char *id, char *shard, uint64_t *snapshot, unsigned *number)
{
    const char *at = strrchr(id, '@');
    if (at == NULL || (size_t)(at - id) >= SHARD_SIZE) {
        return false;
    }
    memcpy(shard, id, (size_t)(at - id));
    shard[at - id] = '\0';
    return sscanf(at, "@%" SCNu64 "#%u", snapshot, number) == 2;
}

json_t *lab_record_answer(const char *shard, const char *query, uint64_t snapshot, unsigned limit)
{
    unsigned total = lab_record_count(shard, query, snapshot);
    json_t *hits = json_array();
    for (unsigned i = 0; i < total && i < limit; i++) {
        char id[ID_SIZE];
        char text[TEXT_SIZE];
        lab_record_id(id, sizeof(id), shard, snapshot, i);
        lab_record_text(text, sizeof(text), query, snapshot, i);
        json_array_append_new(hits,
                              json_pack("{s:s, s:f, s:s}", "id", id, "score",
                                        lab_record_score(shard, query, snapshot, i), "text", text));
    }
    return json_pack("{s:I, s:i, s:o}", "snapshot", (json_int_t)snapshot, "total", (int)total,
                     "hits", hits);
}
