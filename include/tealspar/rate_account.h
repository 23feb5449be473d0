/**
 * Account of one fleet-wide rate limit, at its home node. The account is a token bucket; tokens
 * that are unspent at other nodes take up room in it.
 *
 * A node sends a claim to its issuer (the home node, or a deputy of the home in the node's zone)
 * and gets a grant of tokens. Granted tokens are debited at once, so that a lost, late or
 * duplicated message cannot make the fleet spend more.
 *
 * A grant also assigns a fallback rate: a part of the rate that the node may spend on its own while
 * no issuer answers. While an issuer answers, the node lends its fallback rate to it. The fallback
 * rates of all nodes add up to at most the rate. The home debits the fallback rate of a node that
 * is silent until it expires.
 *
 * Uses no sockets and does not read the clock.
 */
#ifndef TEALSPAR_RATE_ACCOUNT_H
#define TEALSPAR_RATE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Smallest fallback rate in tokens per second; less does not justify the messages to renew it. */
#define TS_RATE_MIN_FALLBACK_RATE 0.5

/** Parameters of a rate limit. */
typedef struct ts_rate_params {
    double rate;      /**< tokens per second of the whole fleet, above 0 */
    double burst;     /**< tokens that may be spent at once on top of the rate */
    double limit;     /**< tokens per window: rate x window + burst */
    double tolerance; /**< tokens per window beyond `limit` that disagreeing nodes may spend */
} ts_rate_params_t;

/** Recent changes in this node's view of the fleet; determines the initial tokens of an account. */
typedef struct ts_rate_view_history {
    ts_time_us_t begun_us;   /**< when this node started */
    ts_time_us_t changed_us; /**< when the view last changed; 0: never */
    ts_time_us_t lost_us;    /**< when the view last lost a node; 0: never */
    ts_time_us_t stable_us;  /**< how long the view had lost no node before that */
} ts_rate_view_history_t;

/** A claim as received by the home node. */
typedef struct ts_rate_claim {
    uint64_t node;           /**< hash of the sender's name */
    uint64_t address;        /**< hash of the sender's address */
    uint32_t sequence;       /**< sequence number of the claim */
    uint32_t spent_alone;    /**< total of tokens spent on its own since it started */
    unsigned in_hand;        /**< unspent tokens at the sender */
    unsigned wanted;         /**< tokens that the sender wants to hold */
    bool is_local;           /**< the sender is the home node itself, which is never silent */
    double foreign_rate;     /**< part of `fallback_rate` assigned by another issuer */
    uint64_t foreign_issuer; /**< that issuer, see ts_rate_issuer_id() */
    double request_rate;     /**< requests per second, smoothed */
    double fallback_rate;    /**< tokens per second that it may spend on its own */
    bool is_alone;           /**< the node spends `fallback_rate`, or lends it to another issuer */
    bool has_moved; /**< `fallback_rate` was lent to another issuer since this home last answered */
    double saved;   /**< tokens accumulated from `fallback_rate` and handed over with this claim */
} ts_rate_claim_t;

/** Reply to a claim. */
typedef struct ts_rate_grant {
    unsigned tokens;
    ts_time_us_t valid_us; /**< validity of the tokens, from when the claim was sent */
    double fallback_rate;  /**< fallback rate in tokens per second */
    bool has_left;  /**< confirms that the receiver has left this issuer; no reply to a claim */
    bool is_sublet; /**< granted by a deputy from its own lease, not by the home */
    bool is_lost;   /**< the deputy reaches no home; the receiver is to use its fallback rate */
    ts_time_us_t wait_us; /**< if no tokens were left: time until the receiver's turn; else 0 */
} ts_rate_grant_t;

/** Bound on the tokens that a holder can have accumulated from its fallback rate. */
typedef struct ts_rate_allowance {
    double tokens;
    ts_time_us_t at_us; /**< time of `tokens`; 0: new holder, earlier spending is not counted */
} ts_rate_allowance_t;

typedef struct ts_rate_account {
    double tokens;
    ts_time_us_t at_us;         /**< time of `tokens` */
    ts_time_us_t home_since_us; /**< another node may have been home until then; 0: no */
    GArray *holders;            /**< nodes that sent a claim lately, of holder_t */
} ts_rate_account_t;

/**
 * Opens an account. Another node may have been home until the view changed, so the bucket starts
 * with the tokens that accrued since then and a part of the tolerance. That part is smaller if
 * nodes were lost shortly one after the other, as each successive home starts with some.
 */
void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_params_t *params,
                          const ts_rate_view_history_t *view_history, ts_time_us_t now_us);
void ts_rate_account_clear(ts_rate_account_t *account);
/** Tokens that a node has spent between two values of its `spent_alone`. */
uint32_t ts_rate_spent_since(uint32_t before, uint32_t now);
/** Whether a claim duplicates the node's latest one; duplicates are not answered. */
bool ts_rate_account_is_duplicate(const ts_rate_account_t *account, const ts_rate_claim_t *claim);
/** Removes a node that lends its fallback rate to another issuer from now on. */
void ts_rate_account_remove_holder(ts_rate_account_t *account, uint64_t node, uint32_t spent_alone);
/** Identifies an issuer: the node with this address (hash), as home or as deputy (`is_sublet`). */
uint64_t ts_rate_issuer_id(uint64_t address, bool is_sublet);
/** Answers a claim. */
ts_rate_grant_t ts_rate_account_grant(ts_rate_account_t *account, const ts_rate_params_t *params,
                                      const ts_rate_claim_t *claim, ts_time_us_t now_us);
/** Tokens that a holder has at hand when it starts to spend its fallback rate. */
double ts_rate_initial_saved(const ts_rate_params_t *params, double fallback_rate);
/** Most tokens that a holder may accumulate from its fallback rate, with its part of the burst. */
double ts_rate_saved_max(const ts_rate_params_t *params, double fallback_rate);
/**
 * Charges tokens that a holder reports as spent on its own, and returns how many of them its
 * fallback rate covers since it was last heard. The rest is not charged: claims delayed by a
 * partition arrive all at once and report tokens that were spent long before.
 */
double ts_rate_allowance_spend(ts_rate_allowance_t *allowance, const ts_rate_params_t *params,
                               double fallback_rate, double spent, ts_time_us_t now_us);
/** Maximum of unspent tokens, at the home and at all other nodes. */
double ts_rate_capacity(const ts_rate_params_t *params);

#endif
