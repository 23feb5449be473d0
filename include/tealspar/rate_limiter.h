/**
 * Rates that the whole fleet keeps together. The home of an account deals tokens to one deputy of
 * each zone, and the deputy to the nodes of its zone, so that tokens lie at few nodes and a request
 * waits for a near one. This module owns the leases of this node, what it deals out as a deputy and
 * the accounts that it is the home of. It knows neither sockets nor the clock; whom to ask, what an
 * account allows and how messages go are given to it, so that it runs the same in a simulated
 * fleet.
 */
#ifndef TEALSPAR_RATE_LIMITER_H
#define TEALSPAR_RATE_LIMITER_H

#include "tealspar/rate_lease.h"

/** Who deals an account out. */
typedef enum ts_rate_dealer {
    TS_RATE_DEALER_SELF, /**< this node */
    TS_RATE_DEALER_PEER, /**< another one */
    TS_RATE_DEALER_NONE  /**< nobody that this node can tell */
} ts_rate_dealer_t;

/** One message: an ask, or the answer to one. */
typedef struct ts_rate_row {
    const char *account;
    uint32_t ask;          /**< number of the ask */
    unsigned in_hand;      /**< ask: tokens that the sender has */
    uint32_t spent_alone;  /**< ask: tokens that it has spent by itself since it began */
    unsigned wanted;       /**< ask: tokens that it wants to have */
    double used;           /**< ask: tokens a second that it has used of late */
    double right;          /**< ask: tokens a second that it may spend by itself, */
    double foreign;        /**< ask: part of that which another dealer gave, */
    uint64_t foreign_from; /**< ask: that dealer, see ts_rate_giver */
    bool is_alone;         /**< and does, or has lent to another home: this one can't count on it */
    double saved;          /**< ask: tokens saved up alone that it gives to the dealer */
    bool is_leaving;     /**< no ask: the sender asks another one now; `foreign_from` is this one */
    bool has_moved;      /**< ask: it has lent it to another one since this one last answered */
    ts_rate_deal_t deal; /**< answer: what it gets */
} ts_rate_row_t;

typedef struct ts_rate_limiter_ops {
    /** What an account allows; false when it has no limit or is not known. */
    bool (*terms)(void *ctx, const char *account, ts_rate_terms_t *terms);
    /** Who is home of an account; the address, valid until the view changes, with DEALER_PEER. */
    ts_rate_dealer_t (*home)(void *ctx, const char *account, const char **address);
    /** Who is the account's deputy in this node's zone, likewise; never DEALER_NONE. */
    ts_rate_dealer_t (*deputy)(void *ctx, const char *account, const char **address);
    /** Nodes that there are, or may be before all are found. */
    unsigned (*nodes)(void *ctx);
    /** Asks another node. */
    void (*ask)(void *ctx, const char *address, const ts_rate_row_t *row);
    /** Answers another node's ask. */
    void (*answer)(void *ctx, const char *address, const ts_rate_row_t *row);
    /** Something is due: ts_rate_limiter_turn is to be called at once. */
    void (*wake)(void *ctx);
    /** An ask was answered: requests that wait for the account may try again. */
    void (*dealt)(void *ctx, const char *account);
    /** The limit of an account is reached at this node, or is no longer; for the log. */
    void (*changed)(void *ctx, const char *account, const ts_rate_terms_t *terms, bool is_over);
} ts_rate_limiter_ops_t;

typedef struct ts_rate_limiter ts_rate_limiter_t;

/** `node`: hash of this node's name. */
ts_rate_limiter_t *ts_rate_limiter_create(uint64_t node, const ts_rate_limiter_ops_t *ops,
                                          void *ctx, ts_time_us_t now_us);
void ts_rate_limiter_free(ts_rate_limiter_t *limiter);
/**
 * Requests of the account may come: where this node is its deputy, it gets a token in hand, so that
 * the first request does not wait for a home that is far.
 */
void ts_rate_limiter_expect(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us);
/** A request of the account has come; once a request, before the first take. */
void ts_rate_limiter_note_request(ts_rate_limiter_t *limiter, const char *account,
                                  ts_time_us_t now_us);
/** Takes a token of the account; TS_RATE_TAKEN also when it has no limit. */
ts_rate_verdict_t ts_rate_limiter_take(ts_rate_limiter_t *limiter, const char *account,
                                       ts_time_us_t now_us);
/** Gives a token back: its request has not run and never will. */
void ts_rate_limiter_return(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us);
/** When it may be worth coming back, after TS_RATE_OVER. */
ts_time_us_t ts_rate_limiter_wait_us(const ts_rate_limiter_t *limiter, const char *account,
                                     ts_time_us_t now_us);
/** Asks for what is due; call it four times a second, and after `wake`. */
void ts_rate_limiter_turn(ts_rate_limiter_t *limiter, ts_time_us_t now_us);
/**
 * Another node asks. It is answered at once, or when this node has been answered in its turn.
 * Returns whether the account is known here.
 */
bool ts_rate_limiter_take_ask(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                              const ts_rate_row_t *row, ts_time_us_t now_us);
/** An ask of this node was answered. */
void ts_rate_limiter_take_deal(ts_rate_limiter_t *limiter, const ts_rate_row_t *row,
                               ts_time_us_t now_us);
/**
 * Other nodes may be home now: accounts that this node no longer deals out are forgotten.
 * `has_lost`: the fleet has become smaller.
 */
void ts_rate_limiter_change_view(ts_rate_limiter_t *limiter, bool has_lost, ts_time_us_t now_us);
/** Accounts that this node is home of, and leases that it holds. */
unsigned ts_rate_limiter_accounts(const ts_rate_limiter_t *limiter);
unsigned ts_rate_limiter_leases(const ts_rate_limiter_t *limiter);

#endif
