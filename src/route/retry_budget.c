/** Retry budget over a sliding window of slices. */
#include "tealspar/retry_budget.h"

#include <glib.h>
#include <string.h>

/* Share of the ratio that is used. The margin is for requests that other nodes count in another
 * slice. */
#define RATIO_SAFETY 0.85
/* Retries that a lender keeps for itself. */
#define LENDER_RESERVE 1.0
/* The budget is low below this share; retries are then reserved for parts that need them. */
#define LOW_SHARE 0.5
/* A loan is charged to the window when it is granted, so it has to be spent soon after. */
#define LOAN_VALID_US (300 * TS_US_PER_MS)
#define RETRY_SLICES (TS_RETRY_BUDGET_SLICES + 1)

static void clear_slice(ts_retry_budget_t *budget, uint64_t slice)
{
    budget->requests[slice % TS_RETRY_BUDGET_SLICES] = 0;
    budget->retries[slice % RETRY_SLICES] = 0;
}

static void advance(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                    ts_time_us_t now_us)
{
    uint64_t slice = now_us / (rule->window_us / TS_RETRY_BUDGET_SLICES);
    if (slice - budget->slice > RETRY_SLICES) {
        memset(budget->requests, 0, sizeof(budget->requests));
        memset(budget->retries, 0, sizeof(budget->retries));
        budget->slice = slice;
        return;
    }
    while (budget->slice < slice) {
        clear_slice(budget, ++budget->slice);
    }
}

void ts_retry_budget_count_request(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                                   ts_time_us_t now_us)
{
    advance(budget, rule, now_us);
    budget->requests[budget->slice % TS_RETRY_BUDGET_SLICES]++;
}

/* Retries allowed in the window, spent or not. */
static double count_allowed(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                            ts_time_us_t now_us)
{
    uint32_t requests = 0;
    advance(budget, rule, now_us);
    for (unsigned i = 0; i < TS_RETRY_BUDGET_SLICES; i++)
        requests += budget->requests[i];
    return RATIO_SAFETY * rule->ratio * requests + rule->slack_share;
}

/* Retries left in the window. */
static double count_left(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                         ts_time_us_t now_us)
{
    double allowed = count_allowed(budget, rule, now_us);
    uint32_t retries = 0;
    for (unsigned i = 0; i < RETRY_SLICES; i++)
        retries += budget->retries[i];
    return allowed - retries;
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
        budget->retries[budget->slice % RETRY_SLICES]++;
        return true;
    }
    if (budget->borrowed > 0 && now_us < budget->borrowed_until_us) {
        budget->borrowed--;
        return true;
    }
    return false;
}

uint32_t ts_retry_budget_lend(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                              uint32_t retries_max, ts_time_us_t now_us)
{
    double spare = count_left(budget, rule, now_us) - LENDER_RESERVE;
    uint32_t granted = spare < 1 ? 0 : MIN((uint32_t)spare, retries_max);
    budget->retries[budget->slice % RETRY_SLICES] += granted;
    return granted;
}

void ts_retry_budget_borrow(ts_retry_budget_t *budget, uint32_t count, ts_time_us_t now_us)
{
    if (now_us >= budget->borrowed_until_us)
        budget->borrowed = 0;
    budget->borrowed += count;
    budget->borrowed_until_us = now_us + LOAN_VALID_US;
}

void ts_retry_budget_refund(ts_retry_budget_t *budget)
{
    uint32_t *retries = &budget->retries[budget->slice % RETRY_SLICES];
    if (*retries > 0) {
        (*retries)--;
    }
}
