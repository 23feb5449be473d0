/** Routing functions shared by all policies. */
#ifndef TEALSPAR_ROUTE_H
#define TEALSPAR_ROUTE_H

#include "tealspar/error.h"
#include "tealspar/plugin.h"
#include "tealspar/route-t.h"

double ts_route_coverage_percent(uint32_t covered, uint32_t shards);
/** Number of shards that must answer to reach the selector's minimum coverage. */
uint32_t ts_route_min_shards(const ts_selector_t *selector, uint32_t shards);
/** Stop conditions that apply under every policy. */
ts_stop_t ts_route_stop_common(const ts_stop_input_t *input);

/** Initializes a budget with a full bucket. */
void ts_budget_init(ts_budget_t *budget, double burst);
/** Adds `percent` of `sent` subrequests to the budget, up to its burst. */
void ts_budget_credit(ts_budget_t *budget, double percent, uint32_t sent);
/** Takes one token; returns false if none is left. */
bool ts_budget_spend(ts_budget_t *budget);

/** Initializes the shedder to admit every query. */
void ts_shedder_init(ts_shedder_t *shedder);
/** Whether to admit a query; `random` is fresh random bits. */
bool ts_shedder_admits(const ts_shedder_t *shedder, uint64_t random);
/** Adjusts the admitted share by the outcome of an admitted query. */
void ts_shedder_record(ts_shedder_t *shedder, bool has_failed_for_overload);
/** Whether an error is caused by overload rather than by a fault. */
bool ts_route_is_overload(ts_error_t error);

/**
 * Selects the snapshot that can cover the most shards, including those that may still answer. On a
 * tie the one with more answers wins, then the newer one.
 */
ts_snapshot_choice_t ts_route_choose_snapshot(const ts_shard_versions_t *shards, size_t count);

/** The shard of a key by rendezvous hashing, as an index into the selector's reach. */
uint32_t ts_route_shard_of_key(const ts_declarations_t *declarations, const ts_selector_t *selector,
                               const char *key);
/** The replica for a request id by rendezvous hashing, as an index into `replicas`. */
uint32_t ts_route_replica_of_id(const ts_declarations_t *declarations, const uint32_t *replicas,
                                uint32_t count, const char *request_id);

#endif
