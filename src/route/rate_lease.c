/** Lease of a rate limit at a node that uses it. */
#include "tealspar/rate_lease.h"

#include <math.h>

/* Time constants of the averages: of the demand, for the tokens to hold, and of the request rate,
 * for the fallback rate. The latter includes refused requests; a fallback rate based on tokens
 * spent would shrink with each refusal. */
#define DEMAND_SPAN_S 1.0
#define REQUEST_RATE_SPAN_S 5.0
/* Seconds of demand that the tokens held should cover. A deputy holds more, and one extra token, as
 * the home may be distant; other nodes have a nearby deputy. */
#define DEPUTY_COVER_S 0.3
#define COVER_S 0.1
/* An unanswered claim is repeated after this time. */
#define CLAIM_RETRY_US (40 * TS_US_PER_MS)
/*
 * An issuer that does not answer for this long counts as silent. For the home this is a few round
 * trips between regions; for a deputy a little more, as the deputy may be waiting for the home.
 */
#define HOME_SILENT_US (50 * TS_US_PER_MS)
#define DEPUTY_SILENT_US (70 * TS_US_PER_MS)
/* A request that finds an answer overdue waits this long for it: if the event loop was delayed, the
 * answer may have arrived without having been read. */
#define OVERDUE_WAIT_US (10 * TS_US_PER_MS)
/* Minimum interval of claims while no request waits. */
#define CLAIM_GAP_US (50 * TS_US_PER_MS)
/* The same after a grant without tokens. */
#define CLAIM_EMPTY_GAP_US (250 * TS_US_PER_MS)
/* A lease in use is renewed at this interval, well before its tokens expire. It counts as in use
 * for some time after a request. */
#define RENEW_US (5 * TS_US_PER_S)
#define IN_USE_US (60 * TS_US_PER_S)
/* A fallback rate is renewed well within the second after which its issuer takes a silent node to
 * be spending it. Its validity is that of granted tokens. */
#define RENEW_FALLBACK_US (500 * TS_US_PER_MS)
#define FALLBACK_VALID_US (10 * TS_US_PER_S)
/* Remaining validity below which a fallback rate of another issuer may be lowered. */
#define FALLBACK_OLD_US (4 * TS_US_PER_S)
/* A fallback rate that was lent to one issuer is lent to another after this time, when the first
 * one no longer uses it (SILENT_US in rate_account.c). */
#define LENT_US (1 * TS_US_PER_S)
/* Bounds on the wait after a grant without tokens. */
#define RETRY_AFTER_MIN_US (20 * TS_US_PER_MS)
#define RETRY_AFTER_MAX_US (500 * TS_US_PER_MS)

void ts_rate_lease_open(ts_rate_lease_t *lease, double fallback_tokens, ts_time_us_t now_us)
{
    *lease = (ts_rate_lease_t){.demand_us = now_us,
                               .request_rate_us = now_us,
                               .used_us = now_us,
                               .fallback_tokens = fallback_tokens,
                               .fallback_tokens_us = now_us};
}

/* A smoothed rate as of `at_us`, decayed to `now_us`. */
static double decay_rate(double rate, ts_time_us_t at_us, ts_time_us_t now_us, double span_s)
{
    double age_s = (double)(now_us - at_us) / TS_US_PER_S;
    return rate * exp(-age_s / span_s);
}

void ts_rate_lease_count_demand(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    lease->demand = decay_rate(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    lease->demand += 1 / DEMAND_SPAN_S;
    lease->demand_us = now_us;
    lease->used_us = now_us;
}

void ts_rate_lease_count_request(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_rate_lease_count_demand(lease, now_us);
    lease->request_rate =
        decay_rate(lease->request_rate, lease->request_rate_us, now_us, REQUEST_RATE_SPAN_S);
    lease->request_rate += 1 / REQUEST_RATE_SPAN_S;
    lease->request_rate_us = now_us;
}

unsigned ts_rate_lease_valid_tokens(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return now_us < lease->valid_until_us ? lease->tokens : 0;
}

double ts_rate_lease_fallback_rate(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return now_us < lease->fallback_until_us ? lease->fallback_rate : 0;
}

/* Accumulates tokens from the fallback rate, less the part assigned to other nodes. */
static void refill_fallback(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                            ts_time_us_t now_us)
{
    double fallback_rate = MAX(ts_rate_lease_fallback_rate(lease, now_us) - lease->sublet_rate, 0);
    double tokens_max = ts_rate_saved_max(params, fallback_rate);
    double accrued = fallback_rate * (double)(now_us - lease->fallback_tokens_us) / TS_US_PER_S;
    lease->fallback_tokens =
        MIN(lease->fallback_tokens + accrued, MAX(tokens_max, lease->fallback_tokens));
    lease->fallback_tokens_us = now_us;
}

static bool take_fallback(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                          ts_time_us_t now_us)
{
    refill_fallback(lease, params, now_us);
    if (lease->fallback_tokens < 1)
        return false;
    lease->fallback_tokens -= 1;
    lease->spent_alone++;
    return true;
}

/*
 * Takes an accumulated token while the fallback rate is lent to an issuer that does not know of
 * these tokens yet. It does not count in `spent_alone`, as it is not part of what that issuer
 * grants.
 */
static bool take_saved(ts_rate_lease_t *lease)
{
    if (lease->saved_state == TS_RATE_SAVED_NONE || lease->fallback_tokens < 1)
        return false;
    lease->fallback_tokens -= 1;
    return true;
}

static bool is_issuer_silent(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_time_us_t bound_us = lease->is_deputy ? HOME_SILENT_US : DEPUTY_SILENT_US;
    return lease->unanswered_since_us != 0 && now_us - lease->unanswered_since_us > bound_us;
}

/* Same as is_issuer_silent, for requests of this node: after the wait for an overdue answer. */
static bool confirm_silence(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    if (!is_issuer_silent(lease, now_us))
        return false;
    if (lease->overdue_us == 0)
        lease->overdue_us = now_us;
    return now_us - lease->overdue_us >= OVERDUE_WAIT_US;
}

/*
 * Spends the fallback rate between the answer to a claim that did not lend it and the next claim.
 * The issuer withholds the fallback rate meanwhile, so nobody else grants it. If it was lent to
 * another issuer last, that one may still be granting it.
 */
static bool take_withheld(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                          ts_time_us_t now_us)
{
    bool is_withheld =
        !lease->is_fallback_lent && lease->lent_issuer != 0 && lease->lent_issuer == lease->issuer;
    return is_withheld && take_fallback(lease, params, now_us);
}

ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us)
{
    bool is_silent = confirm_silence(lease, now_us);
    if (ts_rate_lease_valid_tokens(lease, now_us) > 0) {
        lease->tokens--;
        return TS_RATE_TAKEN;
    }
    if (!is_silent && (take_saved(lease) || take_withheld(lease, params, now_us)))
        return TS_RATE_TAKEN;
    if (now_us < lease->exceeded_until_us)
        return TS_RATE_EXCEEDED;
    if (is_silent) {
        bool is_taken = take_fallback(lease, params, now_us);
        lease->is_request_waiting = true; // keeps sending claims
        return is_taken ? TS_RATE_TAKEN : TS_RATE_UNAVAILABLE;
    }
    lease->is_request_waiting = true;
    return TS_RATE_PENDING;
}

ts_rate_verdict_t ts_rate_lease_sublet(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                       unsigned tokens_max, unsigned *taken, ts_time_us_t now_us)
{
    *taken = MIN(ts_rate_lease_valid_tokens(lease, now_us), tokens_max);
    lease->tokens -= *taken;
    bool is_silent = is_issuer_silent(lease, now_us);
    while (!is_silent && *taken < tokens_max &&
           (take_saved(lease) || take_withheld(lease, params, now_us)))
        (*taken)++;
    if (*taken > 0)
        return TS_RATE_TAKEN;
    if (now_us < lease->exceeded_until_us)
        return TS_RATE_EXCEEDED;
    lease->is_request_waiting = true;
    if (!is_silent)
        return TS_RATE_PENDING;
    *taken = take_fallback(lease, params, now_us);
    return *taken > 0 ? TS_RATE_TAKEN : TS_RATE_UNAVAILABLE;
}

void ts_rate_lease_mark_unreachable(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    lease->unanswered_since_us = now_us - DEPUTY_SILENT_US - 1;
    lease->overdue_us = lease->unanswered_since_us;
}

void ts_rate_lease_refund(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    if (now_us < lease->valid_until_us)
        lease->tokens++;
}

unsigned ts_rate_lease_target_tokens(const ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us)
{
    double demand = decay_rate(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    double wanted = lease->is_deputy ? floor(demand * DEPUTY_COVER_S) + 1 : floor(demand * COVER_S);
    double wanted_min = lease->is_request_waiting ? 1 : 0;
    return (unsigned)CLAMP(wanted, wanted_min, MAX(floor(ts_rate_capacity(params)), 1));
}

bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_params_t *params,
                          ts_time_us_t now_us)
{
    bool is_pending =
        lease->claim_pending_us != 0 && now_us - lease->claim_pending_us < CLAIM_RETRY_US;
    bool is_exceeded = now_us < lease->exceeded_until_us;
    if (is_pending || is_exceeded)
        return false;
    if (lease->is_request_waiting)
        return true;
    if (now_us < lease->claim_after_us || now_us - lease->used_us > IN_USE_US)
        return false;
    unsigned in_hand = ts_rate_lease_valid_tokens(lease, now_us);
    unsigned wanted = ts_rate_lease_target_tokens(lease, params, now_us);
    // After a fallback rate was withdrawn, claims are sent until one has reported that it is gone.
    bool has_fallback_rate =
        MAX(ts_rate_lease_fallback_rate(lease, now_us), lease->reported_fallback_rate) > 0;
    if (has_fallback_rate && now_us - lease->claim_sent_us > RENEW_FALLBACK_US)
        return true;
    if (wanted == 0)
        return false;
    return 2 * in_hand <= wanted || now_us - lease->claim_sent_us > RENEW_US;
}

double ts_rate_lease_request_rate(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return decay_rate(lease->request_rate, lease->request_rate_us, now_us, REQUEST_RATE_SPAN_S);
}

bool ts_rate_lease_is_lent_elsewhere(const ts_rate_lease_t *lease, uint64_t issuer,
                                     ts_time_us_t now_us)
{
    bool is_elsewhere = lease->lent_issuer != 0 && lease->lent_issuer != issuer;
    return is_elsewhere && now_us - lease->lent_us <= LENT_US;
}

void ts_rate_lease_confirm_leave(ts_rate_lease_t *lease, uint64_t issuer)
{
    if (lease->lent_issuer == issuer)
        lease->lent_issuer = 0;
}

bool ts_rate_lease_lend(ts_rate_lease_t *lease, uint64_t issuer, ts_time_us_t now_us)
{
    bool is_free = !ts_rate_lease_is_lent_elsewhere(lease, issuer, now_us);
    if (lease->issuer != issuer) { // the silence was the previous issuer's
        lease->unanswered_since_us = 0;
        lease->overdue_us = 0;
    }
    lease->issuer = issuer;
    lease->is_fallback_lent = is_free && !is_issuer_silent(lease, now_us);
    if (!lease->is_fallback_lent)
        return false;
    lease->has_moved |= lease->lent_issuer != issuer;
    lease->lent_issuer = issuer;
    lease->lent_us = now_us;
    return true;
}

/* Removes and returns the accumulated tokens beyond those that a node may always have. */
static double remove_saved(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                           ts_time_us_t now_us)
{
    double retained = ts_rate_initial_saved(params, ts_rate_lease_fallback_rate(lease, now_us));
    double saved = MAX(lease->fallback_tokens - retained, 0);
    lease->fallback_tokens -= saved;
    lease->saved_state = TS_RATE_SAVED_NONE;
    return saved;
}

double ts_rate_lease_hand_over_saved(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us)
{
    bool was_alone = lease->was_alone;
    lease->was_alone = !lease->is_fallback_lent;
    if (!lease->is_fallback_lent) {
        lease->saved_state = TS_RATE_SAVED_NONE;
        return 0;
    }
    if (was_alone) {
        refill_fallback(lease, params, now_us);
        lease->saved_state = TS_RATE_SAVED_KEPT;
        // The same issuer as before debited these tokens and refunds what was not spent.
        if (!lease->has_moved)
            (void)remove_saved(lease, params, now_us);
        return 0;
    }
    if (lease->saved_state != TS_RATE_SAVED_DUE)
        return 0;
    if (lease->has_moved) {
        lease->saved_state = TS_RATE_SAVED_KEPT; // lent to yet another issuer
        return 0;
    }
    return remove_saved(lease, params, now_us);
}

void ts_rate_lease_accept_saved(ts_rate_lease_t *lease, double saved)
{
    lease->fallback_tokens += saved;
}

uint32_t ts_rate_lease_record_claim(ts_rate_lease_t *lease, bool wants_tokens, ts_time_us_t now_us)
{
    lease->wants_tokens = wants_tokens;
    if (lease->unanswered_since_us == 0)
        lease->unanswered_since_us = now_us;
    lease->claim_pending_us = now_us;
    lease->claim_sent_us = now_us;
    lease->reported_fallback_rate = ts_rate_lease_fallback_rate(lease, now_us);
    return ++lease->sequence;
}

/*
 * Applies the fallback rate of a grant. An issuer may change or withdraw what it assigned itself. A
 * new issuer may not know the proper rate yet, so the larger of the two is used until the previous
 * one is about to expire. A home that stops being home answers from its lease like a deputy. It
 * then counts as a different issuer; otherwise it would withdraw the fallback rates of all nodes
 * that send claims to it, just when no node grants tokens.
 */
static void update_fallback_rate(ts_rate_lease_t *lease, const ts_rate_grant_t *grant,
                                 ts_time_us_t now_us)
{
    bool is_old = now_us + FALLBACK_OLD_US > lease->fallback_until_us;
    uint64_t issuer_id = ts_rate_issuer_id(lease->issuer, grant->is_sublet);
    if (lease->fallback_issuer != issuer_id && !is_old &&
        grant->fallback_rate < lease->fallback_rate)
        return;
    lease->fallback_rate = grant->fallback_rate;
    lease->fallback_issuer = issuer_id;
    lease->fallback_until_us = lease->claim_pending_us + FALLBACK_VALID_US;
}

void ts_rate_lease_receive_grant(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                 uint32_t sequence, const ts_rate_grant_t *grant,
                                 ts_time_us_t now_us)
{
    if (lease->claim_pending_us == 0 || sequence != lease->sequence)
        return;
    if (grant->is_home_unreachable) {
        ts_rate_lease_mark_unreachable(lease, now_us);
        return;
    }
    lease->tokens = ts_rate_lease_valid_tokens(lease, now_us) + grant->tokens;
    lease->valid_until_us = lease->claim_pending_us + grant->valid_us;
    lease->has_moved &= !lease->is_fallback_lent;
    if (lease->is_fallback_lent) { // else the previous rate stays valid until it expires
        update_fallback_rate(lease, grant, now_us);
        lease->fallback_tokens =
            MAX(lease->fallback_tokens, ts_rate_initial_saved(params, lease->fallback_rate));
        lease->fallback_tokens_us = MAX(lease->fallback_tokens_us, lease->claim_pending_us);
        if (lease->saved_state == TS_RATE_SAVED_KEPT)
            lease->saved_state = TS_RATE_SAVED_DUE;
    }
    lease->claim_pending_us = 0;
    lease->unanswered_since_us = 0;
    lease->overdue_us = 0;
    lease->is_request_waiting = false;
    lease->claim_after_us = now_us + (grant->tokens == 0 ? CLAIM_EMPTY_GAP_US : CLAIM_GAP_US);
    if (lease->tokens == 0 && lease->wants_tokens)
        lease->exceeded_until_us =
            now_us + CLAMP(grant->wait_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
}

ts_time_us_t ts_rate_lease_retry_after_us(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return lease->exceeded_until_us > now_us ? lease->exceeded_until_us - now_us : 0;
}
