/**
 * Records of the stand-in searchers, computed from shard, query and snapshot. The load generator
 * uses the same functions as test oracle: an answer is correct if and only if it contains, for
 * every shard it states as covered, exactly these records in the snapshot it states.
 */
#ifndef TEALSPAR_LAB_RECORDS_H
#define TEALSPAR_LAB_RECORDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define LAB_HITS_PER_SHARD_MAX 2U

/** Number of hits that a shard has for a query: 1 to LAB_HITS_PER_SHARD_MAX. */
unsigned lab_record_count(const char *shard, const char *query, uint64_t snapshot);
/** Writes the id of a hit, "SHARD@SNAPSHOT#NUMBER"; 128 bytes are sufficient. */
void lab_record_id(char *id, size_t size, const char *shard, uint64_t snapshot, unsigned number);
/** Score of a hit, from 0 to below 1. */
double lab_record_score(const char *shard, const char *query, uint64_t snapshot, unsigned number);
/** Writes the text of a hit; 64 bytes are sufficient. */
void lab_record_text(char *text, size_t size, const char *query, uint64_t snapshot,
                     unsigned number);
/** Parses the id of a hit; returns false if it is malformed. `shard` must hold 128 bytes. */
bool lab_record_parse_id(const char *id, char *shard, uint64_t *snapshot, unsigned *number);
/** Returns a shard's answer as a new JSON object with snapshot, total and hits. */
json_t *lab_record_answer(const char *shard, const char *query, uint64_t snapshot, unsigned limit);

#endif
