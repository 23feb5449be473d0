/**
 * Fleet-wide rate limits. The home node of an account grants tokens to one deputy per zone, and the
 * deputy grants them to the nodes of its zone, so that unspent tokens are at few nodes and a
 * request waits for a nearby node only. Terms as in rate_account.h.
 *
 * The limiter owns the leases of this node, its state as a deputy and the accounts that it is home
 * of. It uses no sockets and does not read the clock. Roles, parameters and transport come from
 * callbacks, so that the same code runs in a simulated fleet.
 */
#ifndef TEALSPAR_RATE_LIMITER_H
#define TEALSPAR_RATE_LIMITER_H

#include "tealspar/rate_lease.h"

/** Which node issues tokens of an account. */
typedef enum ts_rate_issuer {
    TS_RATE_ISSUER_SELF, /**< this node */
    TS_RATE_ISSUER_PEER, /**< another node */
    TS_RATE_ISSUER_NONE  /**< unknown */
} ts_rate_issuer_t;

/**
 * A message between nodes: a claim, a reply, or a notice that the sender leaves an issuer. In the
 * claim of a deputy, `spent_alone`, `request_rate`, `fallback_rate` and `saved` include the nodes
 * of its zone that send claims to it, and `foreign_rate` may be theirs.
 */
typedef struct ts_rate_message {
    const char *account;
    uint32_t sequence;       /**< sequence number of the claim */
    unsigned in_hand;        /**< claim: unspent tokens at the sender */
    uint32_t spent_alone;    /**< claim: total spent on fallback rates since the sender started */
    unsigned wanted;         /**< claim: tokens that the sender wants to hold */
    double request_rate;     /**< claim: requests per second, including refused ones, smoothed */
    double fallback_rate;    /**< claim: tokens per second that may be spent without an issuer */
    double foreign_rate;     /**< claim: part of `fallback_rate` that one other issuer assigned */
    uint64_t foreign_issuer; /**< claim: that issuer, see ts_rate_issuer_id() */
    bool is_alone;           /**< claim: `fallback_rate` is spent, or not lent to the receiver */
    double saved;            /**< claim: tokens handed over, accumulated from `fallback_rate` */
    bool is_leaving; /**< a notice, no claim: the sender leaves the receiver, `foreign_issuer` */
    bool has_moved;  /**< claim: `fallback_rate` was lent elsewhere since the receiver last answered
                      */
    ts_rate_grant_t grant; /**< reply */
} ts_rate_message_t;

typedef struct ts_rate_limiter_ops {
    /** Gets the parameters of an account; false if it has no limit or is unknown. */
    bool (*get_params)(void *ctx, const char *account, ts_rate_params_t *params);
    /** Finds the home of an account. For a peer, sets its address, valid until the view changes. */
    ts_rate_issuer_t (*find_home)(void *ctx, const char *account, const char **address);
    /** Finds the account's deputy in this node's zone, likewise; never TS_RATE_ISSUER_NONE. */
    ts_rate_issuer_t (*find_deputy)(void *ctx, const char *account, const char **address);
    /** Number of nodes in the fleet, or the expected number while discovery is incomplete. */
    unsigned (*count_nodes)(void *ctx);
    /** Sends a claim or a leave notice to another node. */
    void (*send_claim)(void *ctx, const char *address, const ts_rate_message_t *message);
    /** Replies to another node. */
    void (*send_reply)(void *ctx, const char *address, const ts_rate_message_t *message);
    /** Requests an immediate call of ts_rate_limiter_tick(). */
    void (*wake)(void *ctx);
    /** Called after a grant of another node arrived: requests that wait for it may retry. */
    void (*on_grant)(void *ctx, const char *account);
    /** Called when an account reaches its limit at this node or is within it again; for the log. */
    void (*on_limit_change)(void *ctx, const char *account, const ts_rate_params_t *params,
                            bool is_exceeded);
} ts_rate_limiter_ops_t;

typedef struct ts_rate_limiter ts_rate_limiter_t;

/** `node`: hash of this node's name. */
ts_rate_limiter_t *ts_rate_limiter_create(uint64_t node, const ts_rate_limiter_ops_t *ops,
                                          void *ctx, ts_time_us_t now_us);
void ts_rate_limiter_free(ts_rate_limiter_t *limiter);
/**
 * Prefetches a token where this node is the account's deputy, so that the first request does not
 * wait for a distant home.
 */
void ts_rate_limiter_prefetch(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us);
/** Counts a request of the account; call once per request, before the first take. */
void ts_rate_limiter_count_request(ts_rate_limiter_t *limiter, const char *account,
                                   ts_time_us_t now_us);
/** Takes a token of the account; returns TS_RATE_TAKEN if it has no limit or is unknown. */
ts_rate_verdict_t ts_rate_limiter_take(ts_rate_limiter_t *limiter, const char *account,
                                       ts_time_us_t now_us);
/** Returns the token of a request that was not executed and never will be. */
void ts_rate_limiter_refund(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us);
/** How long to wait after TS_RATE_EXCEEDED before a retry can succeed. */
ts_time_us_t ts_rate_limiter_retry_after_us(const ts_rate_limiter_t *limiter, const char *account,
                                            ts_time_us_t now_us);
/** Sends due claims and drops idle state; call four times per second, and on `wake`. */
void ts_rate_limiter_tick(ts_rate_limiter_t *limiter, ts_time_us_t now_us);
/**
 * Handles a claim or leave notice of another node. A claim is answered at once, or after this node
 * has itself received a grant. Returns whether the account is known here
 * and has a limit.
 */
bool ts_rate_limiter_receive_claim(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                                   const ts_rate_message_t *message, ts_time_us_t now_us);
/** Handles the reply to a claim or leave notice of this node. */
void ts_rate_limiter_receive_grant(ts_rate_limiter_t *limiter, const ts_rate_message_t *message,
                                   ts_time_us_t now_us);
/**
 * Handles a change of the view of the fleet. Drops accounts that this node is no longer home of,
 * also if their home is unknown.
 * `has_lost`: a node was lost from the view.
 */
void ts_rate_limiter_update_view(ts_rate_limiter_t *limiter, bool has_lost, ts_time_us_t now_us);
/** Number of accounts that this node is home of, and of leases that it holds. */
unsigned ts_rate_limiter_count_accounts(const ts_rate_limiter_t *limiter);
unsigned ts_rate_limiter_count_leases(const ts_rate_limiter_t *limiter);

#endif
