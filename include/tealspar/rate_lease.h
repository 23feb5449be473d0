/**
 * The lease of one rate at a node that uses it: tokens that the rate's home has dealt to it and
 * already debited, what it uses, and what it does while the home doesn't answer. Pure: no clock,
 * no sockets.
 */
#ifndef TEALSPAR_RATE_LEASE_H
#define TEALSPAR_RATE_LEASE_H

#include "tealspar/rate_account.h"

/** How a request stands that wants a token. */
typedef enum ts_rate_verdict {
    TS_RATE_TAKEN,  /**< it has one */
    TS_RATE_WAITS,  /**< the home is being asked */
    TS_RATE_OVER,   /**< the fleet has spent what it may */
    TS_RATE_UNKNOWN /**< the home doesn't answer, and this node may not spend more by itself */
} ts_rate_verdict_t;

/** What becomes of the tokens that a node saved up of its right while it was alone. */
typedef enum ts_rate_saved_state {
    TS_RATE_SAVED_NONE, /**< it has none, or is alone and saves up */
    TS_RATE_SAVED_KEPT, /**< the dealer that the right is lent to now has not answered yet */
    TS_RATE_SAVED_DUE   /**< it has: what is left goes to it with the next ask */
} ts_rate_saved_state_t;

typedef struct ts_rate_lease {
    unsigned tokens;             /**< in hand */
    ts_time_us_t valid_until_us; /**< they are void from then on */
    double demand;               /**< requests a second, as of late */
    double asking;               /**< the same over a longer span */
    ts_time_us_t demand_us;      /**< when `demand` was brought up to date */
    ts_time_us_t asking_us;
    ts_time_us_t used_us;         /**< when a request last wanted a token */
    ts_time_us_t asked_us;        /**< when the ask left that is not answered; 0: none is out */
    ts_time_us_t sent_us;         /**< when the latest ask left */
    uint32_t ask;                 /**< number of the latest ask */
    bool is_lacking;              /**< that wanted tokens */
    ts_time_us_t silent_since_us; /**< the home answers nothing since; 0: it answers */
    ts_time_us_t over_until_us;   /**< the home has none for this node until then */
    ts_time_us_t ask_after_us;    /**< not asked before that, unless a request waits */
    double right;                 /**< tokens a second that it may spend by itself */
    double told_right;            /**< of that, as the latest ask told it */
    double sublet;                /**< of that, what this deputy has given others of its zone */
    ts_time_us_t right_until_us;  /**< that is void from then on */
    uint64_t right_from;          /**< who gave it, see ts_rate_giver */
    uint64_t dealer;              /**< hash of the address of the one asked last */
    uint64_t lent_to;     /**< dealer that the right is lent to while it is asked; 0: none */
    ts_time_us_t lent_us; /**< when that one was last asked */
    bool is_right_lent;   /**< the latest ask lent the right */
    bool has_moved;       /**< it was lent to another one since the dealer last answered */
    bool was_alone;       /**< it was not lent, by the ask before the latest */
    ts_rate_saved_state_t saved_state; /**< of `own_tokens` */
    uint32_t spent_alone;    /**< spent by itself since it began, own and told by others */
    double own_tokens;       /**< what has come in of its right */
    ts_time_us_t own_us;     /**< when that was brought up to date */
    bool is_deputy;          /**< it holds tokens for other nodes of its zone too */
    bool is_waited_for;      /**< a request found none and waits */
    ts_time_us_t refused_us; /**< when it was last said that the limit is reached */
    bool was_over;           /**< it was said that the limit is reached */
} ts_rate_lease_t;

/** `own_tokens`: what it may spend by itself before it has found a dealer. */
void ts_rate_lease_open(ts_rate_lease_t *lease, double own_tokens, ts_time_us_t now_us);
/** A token is wanted by another node, which counts its requests itself. */
void ts_rate_lease_note_demand(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** A request has come that wants a token; once a request. */
void ts_rate_lease_note_request(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Takes a token if there is one. */
ts_rate_verdict_t ts_rate_lease_take(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                     ts_time_us_t now_us);
/**
 * Takes up to `most` of the tokens in hand for another node; sets how many. With the home lost, one
 * of what this node may spend by itself: its right stands for its zone's use.
 */
ts_rate_verdict_t ts_rate_lease_take_for(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                         unsigned most, unsigned *taken, ts_time_us_t now_us);
/** There is nobody to ask: as if the dealer had been silent for long. */
void ts_rate_lease_note_lost(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** A request that has a token ends without having run. */
void ts_rate_lease_return(ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Tokens that are worth having in hand. */
unsigned ts_rate_lease_wanted(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                              ts_time_us_t now_us);
/** Whether the home is to be asked now. */
bool ts_rate_lease_is_due(const ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                          ts_time_us_t now_us);
/** Tokens a second that it may spend by itself while no dealer is heard. */
double ts_rate_lease_right(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** Tokens a second that requests have asked for of late. */
double ts_rate_lease_asking(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/**
 * Lends the right to a dealer (hash of its address) with an ask that is about to leave; false, and
 * not lent, while this node goes by it itself or another dealer may still count on it.
 */
bool ts_rate_lease_lend(ts_rate_lease_t *lease, uint64_t dealer, ts_time_us_t now_us);
/** Whether another dealer than this one may still count on the right. */
bool ts_rate_lease_is_lent_elsewhere(const ts_rate_lease_t *lease, uint64_t dealer,
                                     ts_time_us_t now_us);
/** A dealer that the right was lent to says that it doesn't count on it any more. */
void ts_rate_lease_note_left(ts_rate_lease_t *lease, uint64_t dealer);
/**
 * Tokens saved up alone that go to the dealer with the ask that is about to leave: with the first
 * one after it has answered; 0 otherwise. Until then this node spends them. They are given once,
 * whether the ask arrives or not.
 */
double ts_rate_lease_give_saved(ts_rate_lease_t *lease, const ts_rate_terms_t *terms,
                                ts_time_us_t now_us);
/** Another node gives what it saved up: it is spent while this node is alone, or given on. */
void ts_rate_lease_take_saved(ts_rate_lease_t *lease, double saved);
/** An ask leaves; returns its number. `is_lacking`: it wants tokens, not a right alone. */
uint32_t ts_rate_lease_note_ask(ts_rate_lease_t *lease, bool is_lacking, ts_time_us_t now_us);
/** The home's answer to an ask; one that is not awaited is ignored. */
void ts_rate_lease_take_deal(ts_rate_lease_t *lease, const ts_rate_terms_t *terms, uint32_t ask,
                             const ts_rate_deal_t *deal, ts_time_us_t now_us);
/** Tokens in hand that are still valid. */
unsigned ts_rate_lease_in_hand(const ts_rate_lease_t *lease, ts_time_us_t now_us);
/** When it may be worth coming back, after TS_RATE_OVER. */
ts_time_us_t ts_rate_lease_wait_us(const ts_rate_lease_t *lease, ts_time_us_t now_us);

#endif
