/**
 * The account of one rate that the whole fleet keeps together, at the node that deals it out (its
 * home): a token bucket, of which tokens that lie unspent at other nodes are a part. What is dealt
 * is debited at once, so that no message that is lost, late or doubled makes the fleet spend more.
 * Pure: no clock, no sockets.
 */
#ifndef TEALSPAR_RATE_ACCOUNT_H
#define TEALSPAR_RATE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** What an account allows. */
typedef struct ts_rate_terms {
    double rate;      /**< tokens a second over the fleet, above 0 */
    double burst;     /**< tokens beyond the rate */
    double limit;     /**< tokens in any window: rate x window + burst */
    double tolerance; /**< tokens in any window beyond the limit, for want of perfect agreement */
} ts_rate_terms_t;

/** For how long it has been certain who is home of what. */
typedef struct ts_rate_standing {
    ts_time_us_t since_us;  /**< when the view of the fleet last changed */
    ts_time_us_t rested_us; /**< how long it had not changed before that */
} ts_rate_standing_t;

/** What a node says when it asks for tokens. */
typedef struct ts_rate_claim {
    uint64_t node;    /**< hash of its name */
    unsigned in_hand; /**< tokens that lie there unspent */
    unsigned wanted;  /**< tokens that it would like to have in hand */
} ts_rate_claim_t;

/** What it gets. */
typedef struct ts_rate_deal {
    unsigned tokens;
    ts_time_us_t wait_us; /**< none were left: when the next one is its turn; else 0 */
} ts_rate_deal_t;

typedef struct ts_rate_account {
    double tokens;
    ts_time_us_t at_us; /**< when `tokens` was last brought up to date */
    GArray *holders;    /**< nodes that asked lately; of a type of the module */
} ts_rate_account_t;

/**
 * Opens an account. Another home may have dealt until the view changed: the bucket holds what has
 * come in since, and a part of the tolerance, less the shorter the view had rested before, as each
 * home in a row begins with some.
 */
void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                          const ts_rate_standing_t *standing, ts_time_us_t now_us);
void ts_rate_account_clear(ts_rate_account_t *account);
/** Deals tokens to a node. */
ts_rate_deal_t ts_rate_account_deal(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                                    const ts_rate_claim_t *claim, ts_time_us_t now_us);
/** Most that may lie unspent, at home and at all nodes. */
double ts_rate_capacity(const ts_rate_terms_t *terms);

#endif
