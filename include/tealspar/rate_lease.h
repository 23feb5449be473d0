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
    TS_RATE_TAKEN,  /**< got a token */
    TS_RATE_WAITS,  /**< no token at hand; a claim is sent or pending */
    TS_RATE_OVER,   /**< the rate limit is reached */
    TS_RATE_UNKNOWN /**< no issuer answers, and the fallback rate is used up */
} ts_rate_verdict_t;

/** State of the tokens accumulated from the fallback rate, after the issuer is back. */
typedef enum ts_rate_saved_state {
    TS_RATE_SAVED_NONE, /**< none, or still spending on its own */
    TS_RATE_SAVED_KEPT, /**< kept until the new issuer answers */
    TS_RATE_SAVED_DUE   /**< to be handed over with the next claim */
} ts_rate_saved_state_t;

typedef struct ts_rate_lease {
    unsigned tokens;              /**< granted and unspent */
    ts_time_us_t valid_until_us;  /**< expiry of `tokens` */
    double demand;                /**< tokens wanted per second, short average */
    double asking;                /**< requests per second, longer average */
    ts_time_us_t demand_us;       /**< time of `demand` */
    ts_time_us_t asking_us;       /**< time of `asking` */
    ts_time_us_t used_us;         /**< when a token was last wanted */
    ts_time_us_t asked_us;        /**< when the unanswered claim was sent; 0: none pending */
    ts_time_us_t sent_us;         /**< when the latest claim was sent */
    uint32_t ask;                 /**< sequence number of the latest claim */
    bool is_lacking;              /**< the latest claim asks for tokens */
    ts_time_us_t silent_since_us; /**< when the oldest unanswered claim was sent; 0: none */
    ts_time_us_t over_until_us;   /**< the issuer has no tokens for this node until then */
    ts_time_us_t ask_after_us;    /**< no claim before that, unless a request waits */
    double right;                 /**< fallback rate in tokens per second */
    double told_right;            /**< `right` as reported in the latest claim */
    double sublet; /**< part of `right` that this deputy has assigned to nodes of its zone */
    ts_time_us_t right_until_us;       /**< expiry of `right` */
    uint64_t right_from;               /**< issuer that assigned `right`, see ts_rate_giver() */
    uint64_t dealer;                   /**< issuer of the latest claim: hash of its address */
    uint64_t lent_to;                  /**< issuer that `right` is lent to; 0: none */
    ts_time_us_t lent_us;              /**< when the last claim was sent to that issuer */
    bool is_right_lent;                /**< the latest claim lends `right` to the issuer */
    bool has_moved;                    /**< `right` was lent to another issuer since an answer */
    bool was_alone;                    /**< `is_right_lent` was false in the previous claim */
    ts_rate_saved_state_t saved_state; /**< of `own_tokens` */
    uint32_t spent_alone;    /**< total spent on fallback rates, incl. nodes of its zone */
    double own_tokens;       /**< tokens accumulated from `right` */
    ts_time_us_t own_us;     /**< time of `own_tokens` */
    bool is_deputy;          /**< this node also serves other nodes of its zone */
    bool is_waited_for;      /**< a request waits for a token */
    ts_time_us_t refused_us; /**< when a request was last refused */
    bool was_over;           /**< the log says that the limit is reached */
} ts_rate_lease_t;

/** `own_tokens`: tokens that the node may spend before an issuer has answered. */
void ts_rate_lease_open(ts_rate_lease_t *lease, double own_tokens, ts_time_us_t now_us);
/** Counts a token wanted by another node, which counts its requests itself. */
void ts_rate_lease_note_demand(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Counts a request; call once per request. */
void ts_rate_lease_note_request(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Takes a token. */
ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                     ts_time_us_t now_us);
/**
 * Takes up to `most` tokens for another node of the zone and sets `*taken`. If the home does not
 * answer, takes one token of this node's fallback rate, which covers the zone's use.
 */
ts_rate_verdict_t ts_rate_lease_take_for(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                         unsigned most, unsigned *taken, ts_time_us_t now_us);
/** Treats the issuer as silent, as none is reachable. */
void ts_rate_lease_note_lost(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Returns the token of a request that was not executed. */
void ts_rate_lease_return(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Tokens that the node wants to hold, given its demand. */
unsigned ts_rate_lease_wanted(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                              ts_time_us_t now_us);
/** Whether to send a claim now. */
bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                          ts_time_us_t now_us);
/** The fallback rate; 0 if it has expired. */
double ts_rate_lease_right(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Requests per second, averaged over a few seconds. */
double ts_rate_lease_asking(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/**
 * Lends the fallback rate to an issuer (hash of its address) with the claim that is about to be
 * sent. Returns false, and does not lend it, while this node spends it or another issuer may still
 * use it.
 */
bool ts_rate_lease_lend(ts_rate_lease_t *lease, uint64_t dealer, ts_time_us_t now_us);
/** Whether an issuer other than this one may still use the fallback rate. */
bool ts_rate_lease_is_lent_elsewhere(const ts_rate_lease_t *lease, uint64_t dealer,
                                     ts_time_us_t now_us);
/** An issuer confirms that it no longer uses the fallback rate lent to it. */
void ts_rate_lease_note_left(ts_rate_lease_t *lease, uint64_t dealer);
/**
 * Tokens accumulated from the fallback rate that are handed over to the issuer with the claim that
 * is about to be sent. They go with the first claim after the issuer has answered; until then this
 * node spends them. They are handed over once, whether or not the claim arrives. Otherwise returns
 * 0.
 */
double ts_rate_lease_give_saved(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                ts_time_us_t now_us);
/** Adds tokens handed over by another node; spent on the fallback rate or handed over in turn. */
void ts_rate_lease_take_saved(ts_rate_lease_t *lease, double saved);
/** Records a claim that is being sent and returns its sequence number. `is_lacking`: it asks for
 * tokens and not only for renewal of the fallback rate. */
uint32_t ts_rate_lease_note_ask(ts_rate_lease_t *lease, bool is_lacking, ts_time_us_t now_us);
/** Applies the grant for a claim; ignored unless it answers the latest claim. */
void ts_rate_lease_take_deal(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, uint32_t ask,
                             const ts_rate_deal_t *deal, ts_time_us_t now_us);
/** Granted tokens that are unspent and have not expired. */
unsigned ts_rate_lease_in_hand(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** How long to wait after TS_RATE_OVER before a retry can succeed. */
ts_time_us_t ts_rate_lease_wait_us(const ts_rate_lease_t *lease, ts_time_us_t now_us);

#endif
