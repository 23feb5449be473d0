/** The retry budget: a window of slices, moved on by the given time. */
#include "tealspar/retry_budget.h"

#include <string.h>

/* Held back for requests that other nodes count in another slice. */
#define SAFETY 0.85
#define EXTRA_SLICES (TS_RETRY_BUDGET_SLICES + 1)

static void clear_slice(ts_retry_budget_t *budget, uint64_t slice)
{
    budget->requests[slice % TS_RETRY_BUDGET_SLICES] = 0;
    budget->extras[slice % EXTRA_SLICES] = 0;
}

static void move_on(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                    ts_time_us_t now_us)
{
    uint64_t slice = now_us / (rule->window_us / TS_RETRY_BUDGET_SLICES);
    if (slice - budget->slice > EXTRA_SLICES) {
        uint64_t kept = slice;
        memset(budget, 0, sizeof(*budget));
        budget->slice = kept;
        return;
    }
    while (budget->slice < slice) {
        clear_slice(budget, ++budget->slice);
    }
}

void ts_retry_budget_count_request(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                                   ts_time_us_t now_us)
{
    move_on(budget, rule, now_us);
    budget->requests[budget->slice % TS_RETRY_BUDGET_SLICES]++;
}

bool ts_retry_budget_take(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                          ts_time_us_t now_us)
{
    uint32_t requests = 0;
    uint32_t extras = 0;
    move_on(budget, rule, now_us);
    for (unsigned i = 0; i < TS_RETRY_BUDGET_SLICES; i++) {
        requests += budget->requests[i];
    }
    for (unsigned i = 0; i < EXTRA_SLICES; i++) {
        extras += budget->extras[i];
    }
    if (extras + 1 > SAFETY * rule->ratio * requests + rule->slack_share) {
        return false;
    }
    budget->extras[budget->slice % EXTRA_SLICES]++;
    return true;
}

void ts_retry_budget_return(ts_retry_budget_t *budget)
{
    uint32_t *extras = &budget->extras[budget->slice % EXTRA_SLICES];
    if (*extras > 0) {
        (*extras)--;
    }
}
