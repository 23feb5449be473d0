/**
 * The default policy. Selects the replica with the earliest expected finish, from the load that
 * owners reported with their last replies and the subrequests in flight from this front. Hedges are
 * sent at the latency quantile that fits the hedge budget. Waiting ends by the selector's wait
 * rule.
 */
#include "tealspar/route.h"

#include <math.h>

/* A reported load is assumed to have halved after this time. */
#define LOAD_HALF_LIFE_US 50000.0
#define DEFAULT_SERVICE_US 2000.0
#define OTHER_ZONE_COST_US 2000.0
/* Penalties that outweigh any load but keep the replica available as a last resort. */
#define OTHER_SNAPSHOT_COST_US 200000.0
#define AVOID_COST_US 10000000.0
#define TRIED_COST_US 100000000.0
/* Random increase of a score, as a share of it, to break ties. */
#define JITTER 0.05
#define RANDOM_SCALE 18446744073709551616.0

#define HEDGE_MIN_QUANTILE 0.95
#define HEDGE_MIN_SAMPLES 64
/* With fewer samples the hedge is sent after this fraction of the deadline. */
#define HEDGE_FALLBACK_DIVISOR 4
/* Earlier hedges would only duplicate fast requests. */
#define HEDGE_MIN_US 1000
#define PERCENT 100.0
/* Wait rule 'gain': the wait ends at this multiple of a latency quantile, past which the remaining
 * shards are stragglers. */
#define GAIN_QUANTILE 0.99
#define GAIN_WAIT_FACTOR 2.0

static double score_candidate(const ts_candidate_t *candidate, uint64_t wanted_snapshot)
{
    double service = candidate->service_us > 0 ? candidate->service_us : DEFAULT_SERVICE_US;
    double decay = exp2(-(double)candidate->hint_age_us / LOAD_HALF_LIFE_US);
    double remote_load = (candidate->slots_in_use + candidate->queue_length) * decay;
    double load = fmax(remote_load, candidate->in_flight);
    double score = service * (1.0 + load / (candidate->slots > 0 ? candidate->slots : 1));
    score += candidate->same_zone ? 0 : OTHER_ZONE_COST_US;
    bool other_snapshot =
        wanted_snapshot != 0 && candidate->snapshot != 0 && candidate->snapshot != wanted_snapshot;
    score += other_snapshot ? OTHER_SNAPSHOT_COST_US : 0;
    score += candidate->avoid ? AVOID_COST_US : 0;
    score += candidate->tried ? TRIED_COST_US : 0;
    return score;
}

static int choose_replica(const ts_choice_input_t *input)
{
    int best = TS_CHOOSE_NONE;
    double best_score = INFINITY;
    uint64_t random = input->random;
    for (size_t i = 0; i < input->count; i++) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        double jitter = 1.0 + JITTER * ((double)random / RANDOM_SCALE);
        double score = score_candidate(&input->candidates[i], input->wanted_snapshot) * jitter;
        if (score < best_score) {
            best = (int)i;
            best_score = score;
        }
    }
    return best;
}

static ts_time_us_t hedge_after(const ts_hedge_input_t *input)
{
    const ts_selector_t *selector = input->selector;
    if (selector->unrepeatable || selector->hedge_percent <= 0) {
        return TS_HEDGE_NEVER;
    }
    if (input->latencies->total < HEDGE_MIN_SAMPLES) {
        return input->deadline_span_us / HEDGE_FALLBACK_DIVISOR;
    }
    double quantile = fmax(HEDGE_MIN_QUANTILE, 1.0 - selector->hedge_percent / PERCENT);
    ts_time_us_t after = ts_histogram_quantile(input->latencies, quantile);
    return after < HEDGE_MIN_US ? HEDGE_MIN_US : after;
}

static ts_time_us_t gain_wait(const ts_stop_input_t *input)
{
    if (input->latencies->total < HEDGE_MIN_SAMPLES) {
        return input->deadline_span_us;
    }
    double wait = GAIN_WAIT_FACTOR * (double)ts_histogram_quantile(input->latencies, GAIN_QUANTILE);
    return wait < (double)input->deadline_span_us ? (ts_time_us_t)wait : input->deadline_span_us;
}

static ts_stop_t decide_stop(const ts_stop_input_t *input)
{
    ts_stop_t common = ts_route_stop_common(input);
    if (common != TS_STOP_WAIT) {
        return common;
    }
    uint32_t shards_min = ts_route_min_shards(input->selector, input->shards);
    if (input->selector->wait == TS_WAIT_DEADLINE || input->covered < shards_min) {
        return TS_STOP_WAIT;
    }
    if (input->selector->wait == TS_WAIT_COVERAGE) {
        return TS_STOP_ENOUGH;
    }
    return input->elapsed_us >= gain_wait(input) ? TS_STOP_ENOUGH : TS_STOP_WAIT;
}

static ts_time_us_t next_stop_check(const ts_stop_input_t *input)
{
    return input->selector->wait == TS_WAIT_GAIN ? gain_wait(input) : input->deadline_span_us;
}

static const ts_policy_t adaptive_policy = {
    .choose = choose_replica,
    .hedge_after_us = hedge_after,
    .stop = decide_stop,
    .stop_check_us = next_stop_check,
    .retries = true,
};

TS_REGISTER_PLUGIN(adaptive, TS_PLUGIN_POLICY, "adaptive", 0, &adaptive_policy,
                   "expected finish, hedges at the measured quantile, the selector's wait rule")
