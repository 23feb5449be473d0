/**
 * Lease of one fleet-wide rate limit at a node that uses it: tokens granted by its issuer, the
 * node's demand, and its fallback rate while no issuer answers. Terms as in rate_account.h. Uses no
 * sockets and does not read the clock.
 */
#ifndef TEALSPAR_RATE_LEASE_H
#define TEALSPAR_RATE_LEASE_H

#include "tealspar/rate_account.h"

/** Result of taking a token. */
typedef enum ts_rate_verdict {
    TS_RATE_TAKEN,      /**< got a token */
    TS_RATE_PENDING,    /**< no token at hand; a claim is sent or pending */
    TS_RATE_EXCEEDED,   /**< the rate limit is reached */
    TS_RATE_UNAVAILABLE /**< no issuer answers, and the fallback rate is used up */
} ts_rate_verdict_t;

/** State of the tokens accumulated from the fallback rate, after the issuer is back. */
typedef enum ts_rate_saved_state {
    TS_RATE_SAVED_NONE, /**< none, or still spending on its own */
    TS_RATE_SAVED_KEPT, /**< kept until the new issuer answers */
    TS_RATE_SAVED_DUE   /**< to be handed over with the next claim */
} ts_rate_saved_state_t;

typedef struct ts_rate_lease {
    unsigned tokens;                  /**< granted and unspent */
    ts_time_us_t valid_until_us;      /**< expiry of `tokens` */
    double demand;                    /**< tokens wanted per second, time constant 1 s */
    double request_rate;              /**< requests per second of this node, time constant 5 s */
    ts_time_us_t demand_us;           /**< time of `demand` */
    ts_time_us_t request_rate_us;     /**< time of `request_rate` */
    ts_time_us_t used_us;             /**< when a token was last wanted */
    ts_time_us_t claim_pending_us;    /**< when the unanswered claim was sent; 0: none pending */
    ts_time_us_t claim_sent_us;       /**< when the latest claim was sent */
    uint32_t sequence;                /**< sequence number of the latest claim */
    bool wants_tokens;                /**< the latest claim asks for tokens */
    ts_time_us_t unanswered_since_us; /**< first claim that the issuer has not answered; 0: none */
    ts_time_us_t overdue_us; /**< when a request first found the answer overdue; 0: not yet */
    ts_time_us_t exceeded_until_us; /**< the issuer has no tokens for this node until then */
    ts_time_us_t claim_after_us;    /**< no claim before that, unless a request waits */
    double fallback_rate;           /**< tokens per second; of a deputy: with its zone */
    double reported_fallback_rate;  /**< `fallback_rate` as reported in the latest claim */
    double sublet_rate; /**< part of `fallback_rate` assigned to other nodes of the zone */
    ts_time_us_t fallback_until_us; /**< expiry of `fallback_rate` */
    uint64_t fallback_issuer; /**< issuer that assigned `fallback_rate`, see ts_rate_issuer_id() */
    uint64_t issuer;          /**< issuer of the latest claim: hash of its address */
    uint64_t lent_issuer;     /**< issuer that `fallback_rate` is lent to; 0: none */
    ts_time_us_t lent_us;     /**< when the last claim was sent to that issuer */
    bool is_fallback_lent;    /**< the latest claim lends `fallback_rate` to the issuer */
    bool has_moved; /**< `fallback_rate` was lent to another issuer since `issuer` last answered */
    bool was_alone; /**< `is_fallback_lent` was false in the previous claim */
    ts_rate_saved_state_t saved_state; /**< of `fallback_tokens` */
    uint32_t spent_alone;   /**< total spent on fallback rates; of a deputy: with its zone */
    double fallback_tokens; /**< tokens accumulated from `fallback_rate` */
    ts_time_us_t fallback_tokens_us; /**< time of `fallback_tokens` */
    bool is_deputy;                  /**< this node also serves other nodes of its zone */
    bool is_request_waiting;         /**< a request waits for a token */
    ts_time_us_t refused_us;         /**< when a request was last refused with TS_RATE_EXCEEDED */
    bool was_exceeded;               /**< the limit was last logged as reached */
} ts_rate_lease_t;

/** `fallback_tokens`: tokens that the node may spend before an issuer has answered. */
void ts_rate_lease_open(ts_rate_lease_t *lease, double fallback_tokens, ts_time_us_t now_us);
/** Counts a token wanted by another node, which counts its requests itself. */
void ts_rate_lease_count_demand(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Counts a request; call once per request. */
void ts_rate_lease_count_request(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Takes a granted token; else an accumulated one, if the issuer is silent or new. */
ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us);
/**
 * Takes up to `tokens_max` granted or accumulated tokens for another node of the zone and sets
 * `*taken`. If the issuer is silent and no granted token is left, takes one token of this node's
 * fallback rate, which covers its zone's use.
 */
ts_rate_verdict_t ts_rate_lease_sublet(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                       unsigned tokens_max, unsigned *taken, ts_time_us_t now_us);
/** Treats the issuer as silent, as none is reachable. */
void ts_rate_lease_mark_unreachable(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Returns the token of a request that was not executed, unless granted tokens have expired. */
void ts_rate_lease_refund(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Tokens that the node wants to hold, given its demand. */
unsigned ts_rate_lease_target_tokens(const ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us);
/** Whether to send a claim now. */
bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_params_t *params,
                          ts_time_us_t now_us);
/** The fallback rate; 0 if it has expired. */
double ts_rate_lease_fallback_rate(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Requests per second of this node, including refused ones; time constant 5 s. */
double ts_rate_lease_request_rate(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/**
 * Lends the fallback rate to an issuer (hash of its address) with the claim that is about to be
 * sent. Returns false, and does not lend it, while this node spends it or another issuer may still
 * use it.
 */
bool ts_rate_lease_lend(ts_rate_lease_t *lease, uint64_t issuer, ts_time_us_t now_us);
/** Whether an issuer other than this one may still use the fallback rate. */
bool ts_rate_lease_is_lent_elsewhere(const ts_rate_lease_t *lease, uint64_t issuer,
                                     ts_time_us_t now_us);
/** An issuer confirms that it no longer uses the fallback rate lent to it. */
void ts_rate_lease_confirm_leave(ts_rate_lease_t *lease, uint64_t issuer);
/**
 * Tokens accumulated from the fallback rate that are handed over to the issuer with the claim that
 * is about to be sent. They go with the first claim after the issuer has answered; until then this
 * node spends them. They are handed over once, whether or not the claim arrives. Otherwise returns
 * 0.
 */
double ts_rate_lease_hand_over_saved(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                     ts_time_us_t now_us);
/** Adds tokens handed over by another node; spent on the fallback rate or handed over in turn. */
void ts_rate_lease_accept_saved(ts_rate_lease_t *lease, double saved);
/**
 * Records a claim that is being sent and returns its sequence number. `wants_tokens`: it asks for
 * tokens and not only for renewal of the fallback rate.
 */
uint32_t ts_rate_lease_record_claim(ts_rate_lease_t *lease, bool wants_tokens, ts_time_us_t now_us);
/** Applies the grant for a claim; ignored unless it answers the latest claim. */
void ts_rate_lease_receive_grant(ts_rate_lease_t *lease, const ts_rate_params_t *params,
                                 uint32_t sequence, const ts_rate_grant_t *grant,
                                 ts_time_us_t now_us);
/** Granted tokens that are unspent and have not expired. */
unsigned ts_rate_lease_valid_tokens(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** How long to wait after TS_RATE_EXCEEDED before a retry can succeed. */
ts_time_us_t ts_rate_lease_retry_after_us(const ts_rate_lease_t *lease, ts_time_us_t now_us);

#endif
