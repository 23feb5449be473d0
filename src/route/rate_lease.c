/** The lease of a rate at a node that uses it. */
#include "tealspar/rate_lease.h"

#include <math.h>

/* How fast demand is followed: for tokens ahead, and for the right that stands in when the home is
 * lost. That one counts requests, refused ones too: a right by what was spent would shrink with
 * each refusal. */
#define DEMAND_SPAN_S 1.0
#define ASKING_SPAN_S 5.0
/* Tokens in hand last for so long at the present demand: a deputy's, as the home may be far, with
 * one more; those of another node, whose deputy is near. */
#define AHEAD_DEPUTY_S 0.3
#define AHEAD_S 0.1
/* An ask without an answer is sent again after this. */
#define ASK_AGAIN_US (40 * TS_US_PER_MS)
/*
 * A dealer that leaves asks unanswered for so long is not waited for any more: the home by its
 * deputies, which is a few round trips between regions, and a deputy, a little later, by its zone.
 */
#define HOME_SILENT_US (50 * TS_US_PER_MS)
#define DEPUTY_SILENT_US (70 * TS_US_PER_MS)
/* Asks of a lease that is not waited for are at least so far apart. */
#define ASK_GAP_US (50 * TS_US_PER_MS)
/* The same after the home had none to give, although some are in hand. */
#define ASK_EMPTY_GAP_US (250 * TS_US_PER_MS)
/* A lease in use is renewed this often, well before its tokens are void; it is in use for so long
 * after a request. */
#define RENEW_US (5 * TS_US_PER_S)
#define IN_USE_US (60 * TS_US_PER_S)
/* A right to spend alone is held in view of its dealer, which takes who is not heard for a second
 * to spend by it; it is void as the tokens are. */
#define RENEW_RIGHT_US (500 * TS_US_PER_MS)
#define RIGHT_VALID_US (10 * TS_US_PER_S)
#define RIGHT_OLD_US (4 * TS_US_PER_S) /* before it is void */
/* A right that was lent to one dealer is lent to another after this, when the first no longer
 * counts on it (UNHEARD_US in rate_account.c). */
#define LENT_US (1 * TS_US_PER_S)
/* Bounds on how long the home's answer that it has none is believed. */
#define OVER_LEAST_US (20 * TS_US_PER_MS)
#define OVER_MOST_US (500 * TS_US_PER_MS)
void ts_rate_lease_open(ts_rate_lease_t *lease, double own_tokens, ts_time_us_t now_us)
{
    *lease = (ts_rate_lease_t){.demand_us = now_us,
                               .asking_us = now_us,
                               .used_us = now_us,
                               .own_tokens = own_tokens,
                               .own_us = now_us};
}

/* A rate that was last brought up to date at `at_us`, faded to now. */
static double faded(double rate, ts_time_us_t at_us, ts_time_us_t now_us, double span_s)
{
    double age_s = (double)(now_us - at_us) / TS_US_PER_S;
    return rate * exp(-age_s / span_s);
}

void ts_rate_lease_note_demand(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    lease->demand = faded(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    lease->demand += 1 / DEMAND_SPAN_S;
    lease->demand_us = now_us;
    lease->used_us = now_us;
}

void ts_rate_lease_note_request(ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_rate_lease_note_demand(lease, now_us);
    lease->asking = faded(lease->asking, lease->asking_us, now_us, ASKING_SPAN_S);
    lease->asking += 1 / ASKING_SPAN_S;
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

/* What it may spend by itself: its right less what others hold of it. */
static void fill_own(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    double right = MAX(ts_rate_lease_right(lease, now_us) - lease->sublet, 0);
    double most = ts_rate_saved_most(terms, right);
    double come = right * (double)(now_us - lease->own_us) / TS_US_PER_S;
    lease->own_tokens = MIN(lease->own_tokens + come, MAX(most, lease->own_tokens));
    lease->own_us = now_us;
}

static bool take_own(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    fill_own(lease, terms, now_us);
    if (lease->own_tokens < 1)
        return false;
    lease->own_tokens -= 1;
    lease->spent_alone++;
    return true;
}

/*
 * Spends what was saved up, while the right is lent to another dealer that does not know of it yet:
 * it is not counted as spent alone, as it is no part of what that one deals.
 */
static bool take_saved(ts_rate_lease_t *lease)
{
    if (lease->saved_state == TS_RATE_SAVED_NONE || lease->own_tokens < 1)
        return false;
    lease->own_tokens -= 1;
    return true;
}

static bool is_dealer_silent(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    ts_time_us_t bound_us = lease->is_deputy ? HOME_SILENT_US : DEPUTY_SILENT_US;
    return lease->silent_since_us != 0 && now_us - lease->silent_since_us > bound_us;
}

ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                     ts_time_us_t now_us)
{
    bool is_silent = is_dealer_silent(lease, now_us);
    if (ts_rate_lease_in_hand(lease, now_us) > 0) {
        lease->tokens--;
        return TS_RATE_TAKEN;
    }
    if (!is_silent && take_saved(lease))
        return TS_RATE_TAKEN;
    if (now_us < lease->over_until_us)
        return TS_RATE_OVER;
    if (is_silent) {
        bool is_taken = take_own(lease, terms, now_us);
        lease->is_waited_for = true; // the home goes on being asked
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
    bool is_silent = is_dealer_silent(lease, now_us);
    while (!is_silent && *taken < most && take_saved(lease))
        (*taken)++;
    if (*taken > 0)
        return TS_RATE_TAKEN;
    if (now_us < lease->over_until_us)
        return TS_RATE_OVER;
    lease->is_waited_for = true;
    if (!is_silent)
        return TS_RATE_WAITS;
    *taken = take_own(lease, terms, now_us);
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
    double demand = faded(lease->demand, lease->demand_us, now_us, DEMAND_SPAN_S);
    double ahead = lease->is_deputy ? floor(demand * AHEAD_DEPUTY_S) + 1 : floor(demand * AHEAD_S);
    double least = lease->is_waited_for ? 1 : 0;
    return (unsigned)CLAMP(ahead, least, MAX(floor(ts_rate_capacity(terms)), 1));
}

bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                          ts_time_us_t now_us)
{
    bool is_out = lease->asked_us != 0 && now_us - lease->asked_us < ASK_AGAIN_US;
    bool is_over = now_us < lease->over_until_us;
    if (is_out || is_over)
        return false;
    if (lease->is_waited_for)
        return true;
    if (now_us < lease->ask_after_us || now_us - lease->used_us > IN_USE_US)
        return false;
    unsigned in_hand = ts_rate_lease_in_hand(lease, now_us);
    unsigned wanted = ts_rate_lease_wanted(lease, terms, now_us);
    // one that was taken back counts as held until its dealer is told that it is not
    bool has_right = MAX(ts_rate_lease_right(lease, now_us), lease->told_right) > 0;
    if (has_right && now_us - lease->sent_us > RENEW_RIGHT_US)
        return true;
    if (wanted == 0)
        return false;
    return 2 * in_hand <= wanted || now_us - lease->sent_us > RENEW_US;
}

double ts_rate_lease_asking(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return faded(lease->asking, lease->asking_us, now_us, ASKING_SPAN_S);
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
        lease->silent_since_us = 0; // it was another one that did not answer
    lease->dealer = dealer;
    lease->is_right_lent = is_free && !is_dealer_silent(lease, now_us);
    if (!lease->is_right_lent)
        return false;
    lease->has_moved |= lease->lent_to != dealer;
    lease->lent_to = dealer;
    lease->lent_us = now_us;
    return true;
}

/* What is saved up beyond what a node always may have; it is not this node's any more. */
static double part_with_saved(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
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
        fill_own(lease, terms, now_us);
        lease->saved_state = TS_RATE_SAVED_KEPT;
        if (!lease->has_moved)
            (void)part_with_saved(lease, terms, now_us); // this dealer withheld it
        return 0;
    }
    if (lease->saved_state != TS_RATE_SAVED_DUE)
        return 0;
    if (lease->has_moved) {
        lease->saved_state = TS_RATE_SAVED_KEPT; // to another one again
        return 0;
    }
    return part_with_saved(lease, terms, now_us);
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
 * A dealer may change or take back what it gave itself. One that is new may not know yet what to
 * give: until the right of the one before is nearly void, the larger of the two is gone by. A home
 * that stops being home answers out of its lease, as a deputy does: that is another one, or it
 * would take back the rights of all who ask it just when nobody deals.
 */
static void take_right(ts_rate_lease_t *lease, const ts_rate_deal_t *deal, ts_time_us_t now_us)
{
    bool is_old = now_us + RIGHT_OLD_US > lease->right_until_us;
    uint64_t giver = ts_rate_giver(lease->dealer, deal->is_sublet);
    if (lease->right_from != giver && !is_old && deal->right < lease->right)
        return;
    lease->right = deal->right;
    lease->right_from = giver;
    lease->right_until_us = lease->asked_us + RIGHT_VALID_US;
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
    if (lease->is_right_lent) { // else the one before goes on until it is void
        take_right(lease, deal, now_us);
        lease->own_tokens = MAX(lease->own_tokens, ts_rate_saved(terms, lease->right));
        lease->own_us = MAX(lease->own_us, lease->asked_us);
        if (lease->saved_state == TS_RATE_SAVED_KEPT)
            lease->saved_state = TS_RATE_SAVED_DUE;
    }
    lease->asked_us = 0;
    lease->silent_since_us = 0;
    lease->is_waited_for = false;
    lease->ask_after_us = now_us + (deal->tokens == 0 ? ASK_EMPTY_GAP_US : ASK_GAP_US);
    if (lease->tokens == 0 && lease->is_lacking)
        lease->over_until_us = now_us + CLAMP(deal->wait_us, OVER_LEAST_US, OVER_MOST_US);
}

ts_time_us_t ts_rate_lease_wait_us(const ts_rate_lease_t *lease, ts_time_us_t now_us)
{
    return lease->over_until_us > now_us ? lease->over_until_us - now_us : 0;
}
