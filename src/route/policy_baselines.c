/** Baseline policies for comparison with the adaptive one; never the default. */
#include "tealspar/route.h"

#define FIXED_HEDGE_US 20000
#define CANDIDATES_MAX 64

static int choose_random(const ts_choice_input_t *input)
{
    size_t untried[CANDIDATES_MAX];
    size_t untried_count = 0;
    for (size_t i = 0; i < input->count && untried_count < CANDIDATES_MAX; i++) {
        if (!input->candidates[i].tried) {
            untried[untried_count++] = i;
        }
    }
    if (untried_count == 0) {
        return TS_CHOOSE_NONE;
    }
    return (int)untried[(input->random >> 32) % untried_count];
}

static ts_time_us_t never_hedge(const ts_hedge_input_t *input)
{
    return TS_HEDGE_NEVER;
}

static ts_time_us_t hedge_at_fixed_age(const ts_hedge_input_t *input)
{
    return input->selector->unrepeatable ? TS_HEDGE_NEVER : FIXED_HEDGE_US;
}

static ts_time_us_t check_at_deadline(const ts_stop_input_t *input)
{
    return input->deadline_span_us;
}

static const ts_policy_t naive_policy = {
    .choose = choose_random,
    .hedge_after_us = never_hedge,
    .stop = ts_route_stop_common,
    .stop_check_us = check_at_deadline,
    .retries = false,
};

static const ts_policy_t fixed_hedge_policy = {
    .choose = choose_random,
    .hedge_after_us = hedge_at_fixed_age,
    .stop = ts_route_stop_common,
    .stop_check_us = check_at_deadline,
    .retries = false,
    .unlimited_hedges = true,
};

TS_REGISTER_PLUGIN(naive, TS_PLUGIN_POLICY, "naive", 1, &naive_policy,
                   "one random replica, wait for all until the deadline")
TS_REGISTER_PLUGIN(fixed_hedge, TS_PLUGIN_POLICY, "fixed-hedge", 2, &fixed_hedge_policy,
                   "one random replica, a second one after 20 ms")
