/** The retry budget: a window of slices, moved on by the given time. */
#include "tealspar/retry_budget.h"

#include <glib.h>
#include <string.h>

/* Held back for requests that other nodes count in another slice. */
#define SAFETY 0.85
/* A lender keeps this many extra sends for itself. */
#define LEND_KEEPS 1.0
/* Of what the window allows: with less left, extra sends are for what needs them most. */
#define LOW_SHARE 0.5
/* A loan is void after this: it was counted when it was granted, and must be spent near that. */
#define LOAN_VALID_US (300 * TS_US_PER_MS)
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
        memset(budget->requests, 0, sizeof(budget->requests));
        memset(budget->extras, 0, sizeof(budget->extras));
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

/* Extra sends that the window allows, spent or not. */
static double count_allowed(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                            ts_time_us_t now_us)
{
    uint32_t requests = 0;
    move_on(budget, rule, now_us);
    for (unsigned i = 0; i < TS_RETRY_BUDGET_SLICES; i++)
        requests += budget->requests[i];
    return SAFETY * rule->ratio * requests + rule->slack_share;
}

/* Extra sends that the window still holds. */
static double count_left(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                         ts_time_us_t now_us)
{
    double allowed = count_allowed(budget, rule, now_us);
    uint32_t extras = 0;
    for (unsigned i = 0; i < EXTRA_SLICES; i++)
        extras += budget->extras[i];
    return allowed - extras;
}

bool ts_retry_budget_is_low(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                            ts_time_us_t now_us)
{
    return count_left(budget, rule, now_us) < LOW_SHARE * count_allowed(budget, rule, now_us);
}

bool ts_retry_budget_take(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                          ts_time_us_t now_us)
{
    if (count_left(budget, rule, now_us) >= 1) {
        budget->extras[budget->slice % EXTRA_SLICES]++;
        return true;
    }
    if (budget->borrowed > 0 && now_us < budget->borrowed_until_us) {
        budget->borrowed--;
        return true;
    }
    return false;
}

uint32_t ts_retry_budget_lend(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                              uint32_t most, ts_time_us_t now_us)
{
    double spare = count_left(budget, rule, now_us) - LEND_KEEPS;
    uint32_t granted = spare < 1 ? 0 : MIN((uint32_t)spare, most);
    budget->extras[budget->slice % EXTRA_SLICES] += granted;
    return granted;
}

void ts_retry_budget_borrow(ts_retry_budget_t *budget, uint32_t count, ts_time_us_t now_us)
{
    if (now_us >= budget->borrowed_until_us)
        budget->borrowed = 0;
    budget->borrowed += count;
    budget->borrowed_until_us = now_us + LOAN_VALID_US;
}

void ts_retry_budget_return(ts_retry_budget_t *budget)
{
    uint32_t *extras = &budget->extras[budget->slice % EXTRA_SLICES];
    if (*extras > 0) {
        (*extras)--;
    }
}
