/**
 * The account of one rate that the whole fleet keeps together, at the node that deals it out (its
 * home): a token bucket, of which tokens that lie unspent at other nodes are a part. What is dealt
 * is debited at once, so that no message that is lost, late or doubled makes the fleet spend more.
 * Each node that asks also holds a right: a part of the rate that it spends by itself while it
 * hears no dealer, and lends to its home while it does. Rights sum to the rate at most; a home
 * debits those of nodes that it doesn't hear, until they are void.
 * Pure: no clock, no sockets.
 */
#ifndef TEALSPAR_RATE_ACCOUNT_H
#define TEALSPAR_RATE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** A right below this, in tokens a second, is not worth the messages that keep it. */
#define TS_RATE_RIGHT_LEAST 0.5

/** What an account allows. */
typedef struct ts_rate_terms {
    double rate;      /**< tokens a second over the fleet, above 0 */
    double burst;     /**< tokens beyond the rate */
    double limit;     /**< tokens in any window: rate x window + burst */
    double tolerance; /**< tokens in any window beyond the limit, for want of perfect agreement */
} ts_rate_terms_t;

/** How long it has been certain who is home of what; what a new home begins with depends on it. */
typedef struct ts_rate_standing {
    ts_time_us_t begun_us;   /**< when this node began */
    ts_time_us_t changed_us; /**< when the view of the fleet last changed; 0: it never did */
    ts_time_us_t lost_us;    /**< when a node was last lost from it; 0: none yet */
    ts_time_us_t rested_us;  /**< how long none had been lost before that */
} ts_rate_standing_t;

/** What a node says when it asks for tokens. */
typedef struct ts_rate_claim {
    uint64_t node;         /**< hash of its name */
    uint64_t address;      /**< hash of its address */
    uint32_t ask;          /**< number of its ask */
    uint32_t spent_alone;  /**< tokens that it has spent by itself since it began */
    unsigned in_hand;      /**< tokens that lie there unspent */
    unsigned wanted;       /**< tokens that it would like to have in hand */
    bool is_local;         /**< it is the home itself, which always hears itself */
    double foreign;        /**< part of `right` that another dealer gave it or nodes of its zone, */
    uint64_t foreign_from; /**< that dealer, see ts_rate_giver */
    double used;           /**< tokens a second that it has used of late */
    double right;          /**< tokens a second that it may spend by itself, */
    bool is_alone;  /**< and does, or has lent to another home; else it is lent to this one */
    bool has_moved; /**< it has lent it to another home since this one last answered it */
    double saved;   /**< tokens that it saved up of its right while it was alone, and gives here */
} ts_rate_claim_t;

/** What it gets. */
typedef struct ts_rate_deal {
    unsigned tokens;
    ts_time_us_t valid_us; /**< they are void so long after they were asked for */
    double right;          /**< tokens a second that it may spend by itself if dealers are silent */
    bool has_left;         /**< no answer to an ask: the receiver's right is not counted on here */
    bool is_sublet;        /**< out of a deputy's own lease, not by the home */
    bool is_lost;          /**< a deputy knows no home now: who asked goes on by itself */
    ts_time_us_t wait_us;  /**< none were left: when the next one is its turn; else 0 */
} ts_rate_deal_t;

/** What a holder can have saved up of its right. */
typedef struct ts_rate_allowance {
    double tokens;
    ts_time_us_t at_us; /**< when that was; 0: the holder is new, what it spent is not counted */
} ts_rate_allowance_t;

typedef struct ts_rate_account {
    double tokens;
    ts_time_us_t at_us;         /**< when `tokens` was last brought up to date */
    ts_time_us_t home_since_us; /**< another node may have been home until then */
    GArray *holders;            /**< nodes that asked lately; of a type of the module */
} ts_rate_account_t;

/**
 * Opens an account. Another home may have dealt until the view changed: the bucket holds what has
 * come in since, and a part of the tolerance; less of that the sooner nodes were lost one after the
 * other, as each home in a row begins with some.
 */
void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                          const ts_rate_standing_t *standing, ts_time_us_t now_us);
void ts_rate_account_clear(ts_rate_account_t *account);
/** What a node has spent by itself since its last claim, from the two totals. */
uint32_t ts_rate_debt(uint32_t before, uint32_t now);
/** Whether the claim is the node's latest once more: it is not to be answered again. */
bool ts_rate_account_is_repeat(const ts_rate_account_t *account, const ts_rate_claim_t *claim);
/** A node lends its right to another dealer from now on; `spent_alone` as in a claim. */
void ts_rate_account_leave(ts_rate_account_t *account, uint64_t node, uint32_t spent_alone);
/** Names who gives a right: the node of an address (its hash), as a home or out of its lease. */
uint64_t ts_rate_giver(uint64_t address, bool is_sublet);
/** Deals tokens to a node. */
ts_rate_deal_t ts_rate_account_deal(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                                    const ts_rate_claim_t *claim, ts_time_us_t now_us);
/** What a right has saved up when its holder goes alone, by the tolerance. */
double ts_rate_saved(const ts_rate_terms_t *terms, double right);
/** Most that a right may amount to in time: with its part of the burst. */
double ts_rate_saved_most(const ts_rate_terms_t *terms, double right);
/**
 * Of what a holder says that it has spent by itself, what its right can have amounted to since it
 * was last heard. Asks that lay on the way while it was cut off come all at once, and tell of what
 * was spent long before.
 */
double ts_rate_allow(ts_rate_allowance_t *allowance, const ts_rate_terms_t *terms, double right,
                     double spent, ts_time_us_t now_us);
/** Most that may lie unspent, at home and at all nodes. */
double ts_rate_capacity(const ts_rate_terms_t *terms);

#endif
