/** Lease of a rate limit at a node that uses it. */
#include "tealspar/rate_lease.h"

#include <math.h>

/* Time constants of the averages: of the demand, for the tokens to hold, and of the request rate,
 * for the fallback rate. The latter includes refused requests; a fallback rate based on tokens
 * spent would shrink with each refusal. */
#define DEMAND_SPAN_S 1.0
#define REQUEST_RATE_SPAN_S 5.0
/* Demand that the tokens held should cover. A deputy holds more, and one extra token, as the home
 * may be distant; other nodes have a nearby deputy. */
#define DEPUTY_COVER_S 0.3
#define COVER_S 0.1
/* An unanswered claim is repeated after this time. */
#define CLAIM_RETRY_US (40 * TS_US_PER_MS)
/*
 * An issuer that does not answer for this long counts as silent. For the home this is a few round
 * trips between regions; for a deputy a little more, as it waits for the home itself.
 */
#define HOME_SILENT_US (50 * TS_US_PER_MS)
#define DEPUTY_SILENT_US (70 * TS_US_PER_MS)
/* Minimum interval of claims while no request waits. */
#define CLAIM_GAP_US (50 * TS_US_PER_MS)
/* The same after a grant without tokens. */
#define CLAIM_EMPTY_GAP_US (250 * TS_US_PER_MS)
/* A lease in use is renewed at this interval, well before its tokens expire. It counts as in use
 * for some time after a request. */
#define RENEW_US (5 * TS_US_PER_S)
#define IN_USE_US (60 * TS_US_PER_S)
/* A fallback rate is renewed well within the second after which its issuer takes a silent node to
 * be spending it. It is valid as long as granted tokens. */
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

void ts_rate_lease_open(ts_rate_lease_t *lease, double own_tokens, ts_time_us_t now_us)
{
    *lease = (ts_rate_lease_t){.demand_us = now_us,
                               .asking_us = now_us,
                               .used_us = now_us,
                               .own_tokens = own_tokens,
                               .own_us = now_us};
}

/* A smoothed rate as of `at_us`, decayed to `now_us`. */
static double decay_rate(double rate, ts_time_us_t at_us, ts_time_us_t now_us, double span_s)
{
    double age_s = (double)(now_us - at_us) / TS_US_PER_S;
    return rate * exp(-age_s / span_s);
}

void ts_rate_lease_note_demand(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    lease->demand = decay_rate(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    lease->demand += 1 / DEMAND_SPAN_S;
    lease->demand_us = now_us;
    lease->used_us = now_us;
}

void ts_rate_lease_note_request(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_rate_lease_note_demand(lease, now_us);
    lease->asking = decay_rate(lease->asking, lease->asking_us, now_us, REQUEST_RATE_SPAN_S);
    lease->asking += 1 / REQUEST_RATE_SPAN_S;
    lease->asking_us = now_us;
}

unsigned ts_rate_lease_in_hand(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return now_us < lease->valid_until_us ? lease->tokens : 0;
}

double ts_rate_lease_right(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return now_us < lease->right_until_us ? lease->right : 0;
}

/* Accumulates tokens from the fallback rate, less the part assigned to other nodes. */
static void refill_fallback(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                            ts_time_us_t now_us)
{
    double right = MAX(ts_rate_lease_right(lease, now_us) - lease->sublet, 0);
    double tokens_max = ts_rate_saved_most(terms, right);
    double accrued = right * (double)(now_us - lease->own_us) / TS_US_PER_S;
    lease->own_tokens = MIN(lease->own_tokens + accrued, MAX(tokens_max, lease->own_tokens));
    lease->own_us = now_us;
}

static bool take_fallback(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    refill_fallback(lease, terms, now_us);
    if (lease->own_tokens < 1)
        return false;
    lease->own_tokens -= 1;
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
    if (lease->saved_state == TS_RATE_SAVED_NONE || lease->own_tokens < 1)
        return false;
    lease->own_tokens -= 1;
    return true;
}

static bool is_issuer_silent(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_time_us_t bound_us = lease->is_deputy ? HOME_SILENT_US : DEPUTY_SILENT_US;
    return lease->silent_since_us != 0 && now_us - lease->silent_since_us > bound_us;
}

ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                     ts_time_us_t now_us)
{
    bool is_silent = is_issuer_silent(lease, now_us);
    if (ts_rate_lease_in_hand(lease, now_us) > 0) {
        lease->tokens--;
        return TS_RATE_TAKEN;
    }
    if (!is_silent && take_saved(lease))
        return TS_RATE_TAKEN;
    if (now_us < lease->over_until_us)
        return TS_RATE_OVER;
    if (is_silent) {
        bool is_taken = take_fallback(lease, terms, now_us);
        lease->is_waited_for = true; // keeps sending claims
        return is_taken ? TS_RATE_TAKEN : TS_RATE_UNKNOWN;
    }
    lease->is_waited_for = true;
    return TS_RATE_WAITS;
}

ts_rate_verdict_t ts_rate_lease_take_for(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                         unsigned most, unsigned *taken, ts_time_us_t now_us)
{
    *taken = MIN(ts_rate_lease_in_hand(lease, now_us), most);
    lease->tokens -= *taken;
    bool is_silent = is_issuer_silent(lease, now_us);
    while (!is_silent && *taken < most && take_saved(lease))
        (*taken)++;
    if (*taken > 0)
        return TS_RATE_TAKEN;
    if (now_us < lease->over_until_us)
        return TS_RATE_OVER;
    lease->is_waited_for = true;
    if (!is_silent)
        return TS_RATE_WAITS;
    *taken = take_fallback(lease, terms, now_us);
    return *taken > 0 ? TS_RATE_TAKEN : TS_RATE_UNKNOWN;
}

void ts_rate_lease_note_lost(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    lease->silent_since_us = now_us - DEPUTY_SILENT_US - 1;
}

void ts_rate_lease_return(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    if (now_us < lease->valid_until_us)
        lease->tokens++;
}

unsigned ts_rate_lease_wanted(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                              ts_time_us_t now_us)
{
    double demand = decay_rate(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    double wanted = lease->is_deputy ? floor(demand * DEPUTY_COVER_S) + 1 : floor(demand * COVER_S);
    double wanted_min = lease->is_waited_for ? 1 : 0;
    return (unsigned)CLAMP(wanted, wanted_min, MAX(floor(ts_rate_capacity(terms)), 1));
}

bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                          ts_time_us_t now_us)
{
    bool is_pending = lease->asked_us != 0 && now_us - lease->asked_us < CLAIM_RETRY_US;
    bool is_over = now_us < lease->over_until_us;
    if (is_pending || is_over)
        return false;
    if (lease->is_waited_for)
        return true;
    if (now_us < lease->ask_after_us || now_us - lease->used_us > IN_USE_US)
        return false;
    unsigned in_hand = ts_rate_lease_in_hand(lease, now_us);
    unsigned wanted = ts_rate_lease_wanted(lease, terms, now_us);
    // After a fallback rate was withdrawn, claims are sent until one has reported that it is gone.
    bool has_right = MAX(ts_rate_lease_right(lease, now_us), lease->told_right) > 0;
    if (has_right && now_us - lease->sent_us > RENEW_FALLBACK_US)
        return true;
    if (wanted == 0)
        return false;
    return 2 * in_hand <= wanted || now_us - lease->sent_us > RENEW_US;
}

double ts_rate_lease_asking(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return decay_rate(lease->asking, lease->asking_us, now_us, REQUEST_RATE_SPAN_S);
}

bool ts_rate_lease_is_lent_elsewhere(const ts_rate_lease_t *lease, uint64_t dealer,
                                     ts_time_us_t now_us)
{
    bool is_elsewhere = lease->lent_to != 0 && lease->lent_to != dealer;
    return is_elsewhere && now_us - lease->lent_us <= LENT_US;
}

void ts_rate_lease_note_left(ts_rate_lease_t *lease, uint64_t dealer)
{
    if (lease->lent_to == dealer)
        lease->lent_to = 0;
}

bool ts_rate_lease_lend(ts_rate_lease_t *lease, uint64_t dealer, ts_time_us_t now_us)
{
    bool is_free = !ts_rate_lease_is_lent_elsewhere(lease, dealer, now_us);
    if (lease->dealer != dealer)
        lease->silent_since_us = 0; // the previous issuer did not answer
    lease->dealer = dealer;
    lease->is_right_lent = is_free && !is_issuer_silent(lease, now_us);
    if (!lease->is_right_lent)
        return false;
    lease->has_moved |= lease->lent_to != dealer;
    lease->lent_to = dealer;
    lease->lent_us = now_us;
    return true;
}

/* Removes and returns the accumulated tokens beyond those that a node may always have. */
static double remove_saved(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                           ts_time_us_t now_us)
{
    double kept = ts_rate_saved(terms, ts_rate_lease_right(lease, now_us));
    double saved = MAX(lease->own_tokens - kept, 0);
    lease->own_tokens -= saved;
    lease->saved_state = TS_RATE_SAVED_NONE;
    return saved;
}

double ts_rate_lease_give_saved(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                ts_time_us_t now_us)
{
    bool was_alone = lease->was_alone;
    lease->was_alone = !lease->is_right_lent;
    if (!lease->is_right_lent) {
        lease->saved_state = TS_RATE_SAVED_NONE;
        return 0;
    }
    if (was_alone) {
        refill_fallback(lease, terms, now_us);
        lease->saved_state = TS_RATE_SAVED_KEPT;
        if (!lease->has_moved)
            (void)remove_saved(lease, terms,
                               now_us); // this issuer debited them and refunds the unspent
        return 0;
    }
    if (lease->saved_state != TS_RATE_SAVED_DUE)
        return 0;
    if (lease->has_moved) {
        lease->saved_state = TS_RATE_SAVED_KEPT; // lent to yet another issuer
        return 0;
    }
    return remove_saved(lease, terms, now_us);
}

void ts_rate_lease_take_saved(ts_rate_lease_t *lease, double saved)
{
    lease->own_tokens += saved;
}

uint32_t ts_rate_lease_note_ask(ts_rate_lease_t *lease, bool is_lacking, ts_time_us_t now_us)
{
    lease->is_lacking = is_lacking;
    if (lease->silent_since_us == 0)
        lease->silent_since_us = now_us;
    lease->asked_us = now_us;
    lease->sent_us = now_us;
    lease->told_right = ts_rate_lease_right(lease, now_us);
    return ++lease->ask;
}

/*
 * Applies the fallback rate of a grant. An issuer may change or withdraw what it assigned itself. A
 * new issuer may not know the proper rate yet, so the larger of the two is used until the previous
 * one is about to expire. A home that stops being home answers from its lease like a deputy. It
 * then counts as a different issuer; otherwise it would withdraw the fallback rates of all nodes
 * that send claims to it, just when no node grants tokens.
 */
static void update_fallback_rate(ts_rate_lease_t *lease, const ts_rate_deal_t *deal,
                                 ts_time_us_t now_us)
{
    bool is_old = now_us + FALLBACK_OLD_US > lease->right_until_us;
    uint64_t giver = ts_rate_giver(lease->dealer, deal->is_sublet);
    if (lease->right_from != giver && !is_old && deal->right < lease->right)
        return;
    lease->right = deal->right;
    lease->right_from = giver;
    lease->right_until_us = lease->asked_us + FALLBACK_VALID_US;
}

void ts_rate_lease_take_deal(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, uint32_t ask,
                             const ts_rate_deal_t *deal, ts_time_us_t now_us)
{
    if (lease->asked_us == 0 || ask != lease->ask)
        return;
    if (deal->is_lost) {
        ts_rate_lease_note_lost(lease, now_us);
        return;
    }
    lease->tokens = ts_rate_lease_in_hand(lease, now_us) + deal->tokens;
    lease->valid_until_us = lease->asked_us + deal->valid_us;
    lease->has_moved &= !lease->is_right_lent;
    if (lease->is_right_lent) { // else the previous one stays valid until it expires
        update_fallback_rate(lease, deal, now_us);
        lease->own_tokens = MAX(lease->own_tokens, ts_rate_saved(terms, lease->right));
        lease->own_us = MAX(lease->own_us, lease->asked_us);
        if (lease->saved_state == TS_RATE_SAVED_KEPT)
            lease->saved_state = TS_RATE_SAVED_DUE;
    }
    lease->asked_us = 0;
    lease->silent_since_us = 0;
    lease->is_waited_for = false;
    lease->ask_after_us = now_us + (deal->tokens == 0 ? CLAIM_EMPTY_GAP_US : CLAIM_GAP_US);
    if (lease->tokens == 0 && lease->is_lacking)
        lease->over_until_us =
            now_us + CLAMP(deal->wait_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
}

ts_time_us_t ts_rate_lease_wait_us(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return lease->over_until_us > now_us ? lease->over_until_us - now_us : 0;
}
