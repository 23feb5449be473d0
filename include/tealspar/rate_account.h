/**
 * Account of one fleet-wide rate limit, at its home node. The account is a token bucket; unspent
 * tokens held by other nodes count against its capacity.
 *
 * A node sends a claim to its issuer, which is the home node or a deputy of the home in the node's
 * zone. The issuer replies with a grant of tokens. Granted tokens are debited at once, so that a
 * lost, late or duplicated message cannot make the fleet spend more. For each node that sent a
 * claim within the last 12 s (HOLDER_TIMEOUT_US) the account keeps a record, the holder.
 *
 * A grant also assigns a fallback rate: a part of the rate that the node may spend on its own while
 * no issuer answers. While an issuer answers, the node does not spend its fallback rate; it is lent
 * to the issuer, which may grant those tokens to any node. The fallback rates of all nodes add up
 * to at most the rate. The home withholds the fallback rate of a node that may be spending it,
 * because the node is silent for 1 s (SILENT_US) or does not lend it to this home, until the holder
 * expires.
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
    double rate;  /**< tokens per second of the whole fleet, above 0 */
    double burst; /**< tokens that may be spent at once on top of the rate */
    double limit; /**< tokens in any window of the quota window's length: rate x window + burst */
    double tolerance; /**< excess over `limit` in any window, as nodes cannot agree perfectly */
} ts_rate_params_t;

/**
 * When this node's view of the fleet changed. A change may have moved the home of an account, so
 * the initial tokens of a new account depend on it.
 */
typedef struct ts_rate_view_history {
    ts_time_us_t begun_us;              /**< when this node started */
    ts_time_us_t changed_us;            /**< when the view last changed; 0: never */
    ts_time_us_t lost_us;               /**< when the view last lost a node; 0: never */
    ts_time_us_t stable_before_loss_us; /**< `lost_us` minus the previous loss or the start */
} ts_rate_view_history_t;

/**
 * A claim as received by the home node. In the claim of a deputy, `spent_alone`, `request_rate`,
 * `fallback_rate` and `saved` include the nodes of its zone that send claims to it, and
 * `foreign_rate` may be theirs.
 */
typedef struct ts_rate_claim {
    uint64_t node;           /**< hash of the sender's name */
    uint64_t address;        /**< hash of the sender's address */
    uint32_t sequence;       /**< sequence number of the claim */
    uint32_t spent_alone;    /**< total spent on fallback rates since the sender started */
    unsigned in_hand;        /**< unspent tokens at the sender */
    unsigned wanted;         /**< tokens that the sender wants to hold */
    bool is_local;           /**< the sender is the home node itself, which is never silent */
    double foreign_rate;     /**< part of `fallback_rate` that one other issuer assigned */
    uint64_t foreign_issuer; /**< that issuer, see ts_rate_issuer_id() */
    double request_rate;     /**< requests per second, including refused ones, smoothed */
    double fallback_rate;    /**< tokens per second that may be spent without an issuer */
    bool is_alone;  /**< `fallback_rate` is spent, or lent to an issuer other than this home */
    bool has_moved; /**< `fallback_rate` was lent to another issuer since this home last answered */
    double saved;   /**< tokens accumulated from `fallback_rate` and handed over with this claim */
} ts_rate_claim_t;

/** Reply to a claim, or (`has_left`) to a notice that a node leaves this issuer. */
typedef struct ts_rate_grant {
    unsigned tokens;
    ts_time_us_t valid_us; /**< validity of the tokens, from when the claim was sent */
    double fallback_rate;  /**< tokens per second; of a deputy: with its zone */
    bool has_left;         /**< confirms that the receiver has left; the other fields are unset */
    bool is_sublet;        /**< granted by a deputy out of tokens that the home granted to it */
    bool is_home_unreachable; /**< deputy without tokens, its home silent: use the fallback rate */
    ts_time_us_t wait_us;     /**< if no tokens were left: time until the receiver's turn; else 0 */
} ts_rate_grant_t;

/** The issuer's upper bound on the tokens that a node has accumulated from its fallback rate. */
typedef struct ts_rate_allowance {
    double tokens;
    ts_time_us_t at_us; /**< time of `tokens`; 0: new holder, earlier spending is not counted */
} ts_rate_allowance_t;

typedef struct ts_rate_account {
    double tokens;              /**< balance; negative: debt */
    ts_time_us_t at_us;         /**< time of `tokens` */
    ts_time_us_t ramp_start_us; /**< last loss of a node before the opening; 0: no ramp (RAMP_US) */
    GArray *holders; /**< of holder_t: nodes whose latest claim is at most HOLDER_TIMEOUT_US old */
} ts_rate_account_t;

/**
 * Opens an account. Another node may have been home until the view changed, so the bucket starts
 * with the tokens that accrued since then and a part of the tolerance. That part is smaller if
 * nodes were lost shortly one after the other: each home in a row starts with a part of the
 * tolerance, and together they must stay within it.
 */
void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_params_t *params,
                          const ts_rate_view_history_t *view_history, ts_time_us_t now_us);
void ts_rate_account_clear(ts_rate_account_t *account);
/** Tokens that a node has spent on its own between two values of its `spent_alone`. */
uint32_t ts_rate_spent_since(uint32_t previous, uint32_t current);
/** Whether a claim duplicates the node's latest one; duplicates are not answered. */
bool ts_rate_account_is_duplicate(const ts_rate_account_t *account, const ts_rate_claim_t *claim);
/**
 * Removes a node that lends its fallback rate to another issuer from now on. Debits what the node
 * spent on its own since its last claim, less what was already debited as assumed spending.
 * `spent_alone` as in a claim. Does nothing if the node is no holder.
 */
void ts_rate_account_remove_holder(ts_rate_account_t *account, uint64_t node, uint32_t spent_alone);
/** Identifies an issuer: the node with this address (hash), as home or as deputy (`is_sublet`). */
uint64_t ts_rate_issuer_id(uint64_t address, bool is_sublet);
/** Answers a claim. */
ts_rate_grant_t ts_rate_account_grant(ts_rate_account_t *account, const ts_rate_params_t *params,
                                      const ts_rate_claim_t *claim, ts_time_us_t now_us);
/**
 * Tokens that a node may spend at once when it starts to use its fallback rate, in proportion to
 * the tolerance.
 */
double ts_rate_initial_saved(const ts_rate_params_t *params, double fallback_rate);
/**
 * Most tokens that a node may accumulate from its fallback rate: the initial ones and its
 * proportional part of the burst; at least one.
 */
double ts_rate_saved_max(const ts_rate_params_t *params, double fallback_rate);
/**
 * Returns how many of `spent` tokens an allowance covers, and deducts them from it. The caller
 * debits only these: claims delayed by a partition arrive all at once, and report tokens that were
 * spent long before.
 */
double ts_rate_allowance_spend(ts_rate_allowance_t *allowance, const ts_rate_params_t *params,
                               double fallback_rate, double spent, ts_time_us_t now_us);
/** Maximum of unspent tokens, at the home and all other nodes together. */
double ts_rate_capacity(const ts_rate_params_t *params);

#endif
