/** Routing functions shared by all policies. */
#include "tealspar/route.h"

#include <math.h>

#include "tealspar/hash.h"

#define PERCENT 100.0
/* Compensates for rounding errors of percentages such as 99.9 % of 1000 shards. */
#define ROUNDING 1e-9
/* In equilibrium about one in ten admitted queries fails because of overload. */
#define SHED_DECREASE 0.05
#define SHED_INCREASE 0.006
#define RANDOM_SCALE 18446744073709551616.0

double ts_route_coverage_percent(uint32_t covered, uint32_t shards)
{
    return shards == 0 ? 0.0 : PERCENT * covered / shards;
}

uint32_t ts_route_min_shards(const ts_selector_t *selector, uint32_t shards)
{
    return (uint32_t)ceil(selector->least_coverage_percent * shards / PERCENT - ROUNDING);
}

ts_stop_t ts_route_stop_common(const ts_stop_input_t *input)
{
    if (input->covered == input->shards) {
        return TS_STOP_COMPLETE;
    }
    uint32_t shards_min = ts_route_min_shards(input->selector, input->shards);
    if (input->covered + input->possible < shards_min) {
        return TS_STOP_UNREACHABLE;
    }
    if (input->possible == 0) {
        return TS_STOP_ENOUGH;
    }
    if (input->elapsed_us >= input->deadline_span_us) {
        return TS_STOP_DEADLINE;
    }
    return TS_STOP_WAIT;
}

void ts_budget_init(ts_budget_t *budget, double burst)
{
    budget->tokens = burst;
    budget->burst = burst;
}

void ts_budget_credit(ts_budget_t *budget, double percent, uint32_t sent)
{
    budget->tokens += percent * sent / PERCENT;
    if (budget->tokens > budget->burst) {
        budget->tokens = budget->burst;
    }
}

bool ts_budget_spend(ts_budget_t *budget)
{
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}

void ts_shedder_init(ts_shedder_t *shedder)
{
    shedder->admit_ratio = 1.0;
}

bool ts_shedder_admits(const ts_shedder_t *shedder, uint64_t random)
{
    return shedder->admit_ratio >= 1.0 || (double)random / RANDOM_SCALE < shedder->admit_ratio;
}

void ts_shedder_record(ts_shedder_t *shedder, bool has_failed_for_overload)
{
    shedder->admit_ratio = has_failed_for_overload ? shedder->admit_ratio * (1.0 - SHED_DECREASE)
                                                   : shedder->admit_ratio + SHED_INCREASE;
    shedder->admit_ratio = fmin(fmax(shedder->admit_ratio, TS_SHEDDER_MIN_RATIO), 1.0);
}

bool ts_route_is_overload(ts_error_t error)
{
    switch (error) {
    case TS_E_QUEUE_FULL:
    case TS_E_CANNOT_FINISH:
    case TS_E_PAST_DEADLINE:
    case TS_E_SHEDDING:
    case TS_E_DEADLINE:
        return true;
    default:
        return false;
    }
}

static bool contains(const uint64_t *snapshots, uint64_t snapshot)
{
    for (int i = 0; i < TS_SHARD_ANSWERS_MAX; i++) {
        if (snapshots[i] == snapshot) {
            return true;
        }
    }
    return false;
}

static ts_snapshot_choice_t count_shards(const ts_shard_versions_t *shards, size_t count,
                                         uint64_t snapshot)
{
    ts_snapshot_choice_t choice = {snapshot, 0, 0};
    for (size_t i = 0; i < count; i++) {
        if (contains(shards[i].answered, snapshot)) {
            choice.covered++;
        } else if (shards[i].open && !contains(shards[i].denied, snapshot)) {
            choice.possible++;
        }
    }
    return choice;
}

static bool is_better(const ts_snapshot_choice_t *left, const ts_snapshot_choice_t *right)
{
    uint32_t left_max = left->covered + left->possible;
    uint32_t right_max = right->covered + right->possible;
    if (left_max != right_max) {
        return left_max > right_max;
    }
    if (left->covered != right->covered) {
        return left->covered > right->covered;
    }
    return left->snapshot > right->snapshot;
}

/* Lists the distinct versions in answers; returns their number. */
static size_t list_snapshots(const ts_shard_versions_t *shards, size_t count, uint64_t *found)
{
    size_t found_count = 0;
    for (size_t i = 0; i < count; i++) {
        for (int j = 0; j < TS_SHARD_ANSWERS_MAX; j++) {
            uint64_t snapshot = shards[i].answered[j];
            size_t k = 0;
            while (k < found_count && found[k] != snapshot) {
                k++;
            }
            if (snapshot != 0 && k == found_count && found_count < TS_SNAPSHOTS_MAX) {
                found[found_count++] = snapshot;
            }
        }
    }
    return found_count;
}

ts_snapshot_choice_t ts_route_choose_snapshot(const ts_shard_versions_t *shards, size_t count)
{
    uint64_t snapshots[TS_SNAPSHOTS_MAX];
    size_t snapshot_count = list_snapshots(shards, count, snapshots);
    ts_snapshot_choice_t best = count_shards(shards, count, UINT64_MAX);
    best.snapshot = 0;
    for (size_t i = 0; i < snapshot_count; i++) {
        ts_snapshot_choice_t choice = count_shards(shards, count, snapshots[i]);
        if (best.snapshot == 0 || is_better(&choice, &best)) {
            best = choice;
        }
    }
    return best;
}

uint32_t ts_route_shard_of_key(const ts_declarations_t *declarations, const ts_selector_t *selector,
                               const char *key)
{
    uint64_t key_hash = ts_hash_text(key);
    uint64_t best_weight = 0;
    uint32_t best = 0;
    for (uint32_t i = 0; i < selector->reach_count; i++) {
        uint64_t weight = ts_hash_mix(declarations->shards[selector->reach[i]].id, key_hash);
        if (i == 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

uint32_t ts_route_replica_of_id(const ts_declarations_t *declarations, const uint32_t *replicas,
                                uint32_t count, const char *request_id)
{
    uint64_t id_hash = ts_hash_text(request_id);
    uint64_t best_weight = 0;
    uint32_t best = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint64_t weight = ts_hash_mix(declarations->backends[replicas[i]].id, id_hash);
        if (i == 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}
