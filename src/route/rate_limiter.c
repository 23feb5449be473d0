/** Fleet-wide rate limits: accounts, leases and the exchange of claims and grants. */
#include "tealspar/rate_limiter.h"

#include <math.h>
#include <string.h>

#include "tealspar/hash.h"

/* Idle time after which a lease, and an account that gets no claims, is dropped. */
#define LEASE_IDLE_US (90 * TS_US_PER_S)
#define ACCOUNT_IDLE_US (60 * TS_US_PER_S)
/* Claims queued at a deputy until the home answers: their number, and how long each is kept. */
#define QUEUE_MAX 256U
#define QUEUED_US (300 * TS_US_PER_MS)
/* For the log, an account is within its limit again after this time without a refusal. */
#define WITHIN_US (5 * TS_US_PER_S)
/* Validity of tokens granted by a deputy, shorter than that of the deputy's own tokens. */
#define DEPUTY_VALID_US (1 * TS_US_PER_S)

/* A zone node that is silent for SILENT_US is assumed to spend the fallback rate that this deputy
 * assigned to it, until that rate expires after FALLBACK_TIMEOUT_US; as at the home
 * (rate_account.c). */
#define SILENT_US (1 * TS_US_PER_S)
#define FALLBACK_TIMEOUT_US (12 * TS_US_PER_S)
/* Share of the tolerance that all nodes together may spend before an issuer has answered. For a
 * node that started less than STARTING_US ago, FIRST_STARTING_SHARE of all tokens per window
 * applies if that is more: all nodes may be starting at once, while no node grants any. */
#define FIRST_SHARE 0.25
#define FIRST_STARTING_SHARE 0.5
#define STARTING_US (2 * TS_US_PER_S)
/* How long a node's request rate counts; it may send its claims to another deputy by then. */
#define REQUEST_RATE_VALID_US (3 * TS_US_PER_S)

/* State of a node of the zone, at its deputy. */
typedef struct zone_node {
    uint32_t spent_alone;    /* total spent on its own, by its latest claim */
    double request_rate;     /* requests per second, by its latest claim */
    double fallback_rate;    /* its fallback rate, as far as assigned by this deputy */
    double foreign_rate;     /* the rest of its fallback rate, assigned by others */
    uint64_t foreign_issuer; /* issuer of `foreign_rate`, or of a part of it */
    ts_rate_allowance_t allowance;
    double assumed_spent; /* tokens assumed spent since its latest claim, reported to the home */
    bool is_alone;        /* its fallback rate is not lent to this deputy, by its latest claim */
    ts_time_us_t received_us; /* when its latest claim arrived */
} zone_node_t;

/* A claim that a deputy cannot answer yet. */
typedef struct queued_claim {
    char *address;
    uint64_t node;
    uint32_t sequence;
    unsigned missing; /* tokens */
    ts_time_us_t at_us;
} queued_claim_t;

typedef struct held_lease {
    ts_rate_lease_t lease;
    char *account;
    GArray *queue;          /* of queued_claim_t; NULL: none so far */
    GHashTable *zone_nodes; /* node -> zone_node_t, owned; NULL: none so far */
    char *lent_address;     /* of the issuer with the fallback rate; NULL: none, or this node */
    double owed; /* tokens spent by zone nodes, not yet reported; negative: too many reported */
} held_lease_t;

struct ts_rate_limiter {
    uint64_t node;
    const ts_rate_limiter_ops_t *ops;
    void *ctx;
    GHashTable *leases;   /* account -> held_lease_t, owned */
    GHashTable *accounts; /* account -> ts_rate_account_t, owned; keys owned */
    ts_rate_view_history_t view_history;
};

static void clear_queued(gpointer data)
{
    g_free(((queued_claim_t *)data)->address);
}

static void free_lease(gpointer data)
{
    held_lease_t *held = data;
    if (held->queue != NULL)
        g_array_unref(held->queue);
    if (held->zone_nodes != NULL)
        g_hash_table_unref(held->zone_nodes);
    g_free(held->lent_address);
    g_free(held->account);
    g_free(held);
}

static void free_account(gpointer data)
{
    ts_rate_account_clear(data);
    g_free(data);
}

ts_rate_limiter_t *ts_rate_limiter_create(uint64_t node, const ts_rate_limiter_ops_t *ops,
                                          void *ctx, ts_time_us_t now_us)
{
    ts_rate_limiter_t *limiter = g_new0(ts_rate_limiter_t, 1);
    limiter->node = node;
    limiter->ops = ops;
    limiter->ctx = ctx;
    limiter->view_history.begun_us = now_us;
    limiter->leases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lease);
    limiter->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_account);
    return limiter;
}

void ts_rate_limiter_free(ts_rate_limiter_t *limiter)
{
    g_hash_table_destroy(limiter->leases);
    g_hash_table_destroy(limiter->accounts);
    g_free(limiter);
}

static bool is_home(const ts_rate_limiter_t *limiter, const char *account)
{
    const char *address = NULL;
    return limiter->ops->find_home(limiter->ctx, account, &address) == TS_RATE_ISSUER_SELF;
}

// -- Home: accounts

static ts_rate_account_t *ensure_account(ts_rate_limiter_t *limiter, const char *name,
                                         const ts_rate_params_t *params, ts_time_us_t now_us)
{
    ts_rate_account_t *account = g_hash_table_lookup(limiter->accounts, name);
    if (account != NULL)
        return account;
    account = g_new0(ts_rate_account_t, 1);
    ts_rate_account_open(account, params, &limiter->view_history, now_us);
    g_hash_table_insert(limiter->accounts, g_strdup(name), account);
    return account;
}

/* Answers a claim as the home; returns false and does nothing if the claim is a duplicate. */
static bool grant_as_home(ts_rate_limiter_t *limiter, uint64_t node, uint64_t address,
                          const ts_rate_params_t *params, ts_rate_message_t *message,
                          ts_time_us_t now_us)
{
    ts_rate_claim_t claim = {.node = node,
                             .address = address,
                             .foreign_rate = message->foreign_rate,
                             .foreign_issuer = message->foreign_issuer,
                             .is_local = node == limiter->node,
                             .request_rate = message->request_rate,
                             .fallback_rate = message->fallback_rate,
                             .is_alone = message->is_alone,
                             .has_moved = message->has_moved,
                             .saved = message->saved,
                             .sequence = message->sequence,
                             .spent_alone = message->spent_alone,
                             .in_hand = message->in_hand,
                             .wanted = message->wanted};
    ts_rate_account_t *account = ensure_account(limiter, message->account, params, now_us);
    if (ts_rate_account_is_duplicate(account, &claim))
        return false;
    message->grant = ts_rate_account_grant(account, params, &claim, now_us);
    return true;
}

/*
 * Whether this node is not the home of an account. This includes accounts without a known home, as
 * another node may be home: if the account were kept, it would later grant the tokens that accrued
 * meanwhile, although the other home has granted them too.
 */
static gboolean is_not_home(gpointer name, gpointer account, gpointer ctx)
{
    return !is_home(ctx, name);
}

void ts_rate_limiter_update_view(ts_rate_limiter_t *limiter, bool has_lost, ts_time_us_t now_us)
{
    ts_rate_view_history_t *view_history = &limiter->view_history;
    view_history->changed_us = now_us;
    if (has_lost) {
        ts_time_us_t since_us =
            view_history->lost_us == 0 ? view_history->begun_us : view_history->lost_us;
        view_history->stable_before_loss_us = now_us - since_us;
        view_history->lost_us = now_us;
    }
    g_hash_table_foreach_remove(limiter->accounts, is_not_home, limiter);
}

// -- Leases

/*
 * Tokens of an account that a node may spend before an issuer has answered. One token goes to as
 * many nodes as the shares defined above allow, selected by hash.
 */
static double first_tokens(const ts_rate_limiter_t *limiter, const char *account,
                           ts_time_us_t now_us)
{
    ts_rate_params_t params;
    if (!limiter->ops->get_params(limiter->ctx, account, &params))
        return 0;
    double draw = (double)ts_hash_mix(limiter->node, ts_hash_text(account)) / (double)UINT64_MAX;
    double nodes = limiter->ops->count_nodes(limiter->ctx);
    double tokens = FIRST_SHARE * params.tolerance;
    if (now_us - limiter->view_history.begun_us < STARTING_US)
        tokens = MAX(tokens, FIRST_STARTING_SHARE * (params.limit + params.tolerance));
    return draw * nodes < tokens ? 1 : 0;
}

static held_lease_t *ensure_lease(ts_rate_limiter_t *limiter, const char *account,
                                  ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held != NULL)
        return held;
    held = g_new0(held_lease_t, 1);
    held->account = g_strdup(account);
    ts_rate_lease_open(&held->lease, first_tokens(limiter, account, now_us), now_us);
    g_hash_table_insert(limiter->leases, held->account, held);
    return held;
}

/* Records whether the limit is reached, and reports a change. */
static void update_limit_state(ts_rate_limiter_t *limiter, held_lease_t *held,
                               const ts_rate_params_t *params, bool is_exceeded,
                               ts_time_us_t now_us)
{
    bool is_settled = now_us - held->lease.refused_us > WITHIN_US;
    if (is_exceeded)
        held->lease.refused_us = now_us;
    if (held->lease.was_exceeded == is_exceeded || (!is_exceeded && !is_settled))
        return;
    held->lease.was_exceeded = is_exceeded;
    limiter->ops->on_limit_change(limiter->ctx, held->account, params, is_exceeded);
}

/* Adds spending of zone nodes to the total that is reported to the home, in whole tokens. */
static void add_owed(held_lease_t *held, double tokens)
{
    held->owed += tokens;
    double whole = MAX(floor(held->owed), 0);
    held->lease.spent_alone += (uint32_t)whole;
    held->owed -= whole;
}

/* Assumes that a zone node spends its fallback rate if it is silent or does not lend that rate to
 * this deputy. */
static void assume_spending(held_lease_t *held, zone_node_t *zone_node, ts_time_us_t now_us)
{
    if (!zone_node->is_alone && now_us - zone_node->received_us < SILENT_US)
        return;
    double spent =
        zone_node->fallback_rate * (double)(now_us - zone_node->received_us) / TS_US_PER_S;
    if (spent <= zone_node->assumed_spent)
        return; // the fallback rate has expired
    add_owed(held, spent - zone_node->assumed_spent);
    zone_node->assumed_spent = spent;
}

typedef struct zone_sums {
    double request_rate; /* requests per second */
    double lent;         /* fallback rates assigned by other issuers and lent to this deputy */
    double lent_one;     /* part of `lent` assigned by one of these issuers */
    uint64_t lent_from;  /* that issuer */
} zone_sums_t;

/* Sums up the nodes of the zone, and updates `sublet_rate` and the assumed spending. */
static zone_sums_t sum_zone(held_lease_t *held, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    zone_sums_t sums = {0};
    held->lease.sublet_rate = 0;
    if (held->zone_nodes == NULL)
        return sums;
    g_hash_table_iter_init(&iterator, held->zone_nodes);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        zone_node_t *zone_node = value;
        assume_spending(held, zone_node, now_us);
        // The entry stays, as `spent_alone` is a running total.
        if (now_us - zone_node->received_us > FALLBACK_TIMEOUT_US)
            zone_node->fallback_rate = 0;
        held->lease.sublet_rate += zone_node->fallback_rate;
        bool is_recent = now_us - zone_node->received_us < REQUEST_RATE_VALID_US;
        sums.request_rate += is_recent ? zone_node->request_rate : 0;
        bool is_lent = !zone_node->is_alone && now_us - zone_node->received_us < SILENT_US;
        if (!is_lent || zone_node->foreign_rate <= 0)
            continue;
        sums.lent += zone_node->foreign_rate;
        if (sums.lent_from == 0)
            sums.lent_from = zone_node->foreign_issuer;
        if (sums.lent_from == zone_node->foreign_issuer)
            sums.lent_one += zone_node->foreign_rate;
    }
    return sums;
}

/*
 * Notifies the previous issuer that this node now uses another one. Otherwise it would treat this
 * node as cut off, and withhold or debit its fallback rate until the rate expires.
 */
static void leave_issuer(ts_rate_limiter_t *limiter, const held_lease_t *held)
{
    const ts_rate_lease_t *lease = &held->lease;
    ts_rate_message_t message = {.account = held->account,
                                 .is_leaving = true,
                                 .foreign_issuer = lease->lent_issuer,
                                 .spent_alone = lease->spent_alone};
    if (held->lent_address != NULL)
        limiter->ops->send_claim(limiter->ctx, held->lent_address, &message);
}

/* Lends the fallback rate to an issuer (`address` NULL: this node) with the claim to be sent. */
static bool lend_fallback_rate(ts_rate_limiter_t *limiter, held_lease_t *held, uint64_t id,
                               const char *address, ts_time_us_t now_us)
{
    if (ts_rate_lease_is_lent_elsewhere(&held->lease, id, now_us))
        leave_issuer(limiter, held);
    if (!ts_rate_lease_lend(&held->lease, id, now_us))
        return false;
    if (g_strcmp0(held->lent_address, address) != 0) {
        g_free(held->lent_address);
        held->lent_address = g_strdup(address);
    }
    return true;
}

/*
 * Sends a claim for a lease to the deputy, or to the home where this node is the deputy. Where this
 * node is the home, it answers the claim itself.
 */
static void send_claim(ts_rate_limiter_t *limiter, held_lease_t *held,
                       const ts_rate_params_t *params, ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_lease_t *lease = &held->lease;
    ts_rate_issuer_t issuer = limiter->ops->find_deputy(limiter->ctx, held->account, &address);
    lease->is_deputy = issuer == TS_RATE_ISSUER_SELF;
    if (lease->is_deputy)
        issuer = limiter->ops->find_home(limiter->ctx, held->account, &address);
    uint64_t id = issuer == TS_RATE_ISSUER_PEER ? ts_hash_text(address) : limiter->node;
    ts_rate_message_t message = {.account = held->account,
                                 .in_hand = ts_rate_lease_valid_tokens(lease, now_us),
                                 .wanted = ts_rate_lease_target_tokens(lease, params, now_us)};
    zone_sums_t zone = sum_zone(held, now_us);
    message.request_rate = ts_rate_lease_request_rate(lease, now_us) + zone.request_rate;
    double fallback_rate = ts_rate_lease_fallback_rate(lease, now_us);
    bool is_foreign_rate = fallback_rate > 0 && lease->fallback_issuer != id;
    message.fallback_rate = fallback_rate + zone.lent;
    message.foreign_rate = is_foreign_rate ? fallback_rate : zone.lent_one;
    message.foreign_issuer = is_foreign_rate ? lease->fallback_issuer : zone.lent_from;
    const char *lent_address = issuer == TS_RATE_ISSUER_PEER ? address : NULL;
    message.is_alone = issuer == TS_RATE_ISSUER_NONE ||
                       !lend_fallback_rate(limiter, held, id, lent_address, now_us);
    message.has_moved = lease->has_moved;
    message.saved = ts_rate_lease_hand_over_saved(lease, params, now_us);
    message.sequence = ts_rate_lease_record_claim(lease, message.wanted > message.in_hand, now_us);
    message.spent_alone = lease->spent_alone;
    if (issuer == TS_RATE_ISSUER_PEER) {
        limiter->ops->send_claim(limiter->ctx, address, &message);
    } else if (issuer == TS_RATE_ISSUER_SELF &&
               grant_as_home(limiter, limiter->node, id, params, &message, now_us)) {
        ts_rate_lease_receive_grant(lease, params, message.sequence, &message.grant, now_us);
    } else if (issuer == TS_RATE_ISSUER_NONE) {
        ts_rate_lease_mark_unreachable(lease, now_us);
    }
}

/* Sends a due claim: at once if a request waits for a token, else in a tick requested now. */
static void claim_if_due(ts_rate_limiter_t *limiter, held_lease_t *held,
                         const ts_rate_params_t *params, ts_time_us_t now_us)
{
    if (!ts_rate_lease_is_due(&held->lease, params, now_us))
        return;
    if (held->lease.is_request_waiting)
        send_claim(limiter, held, params, now_us);
    else
        limiter->ops->wake(limiter->ctx);
}

void ts_rate_limiter_prefetch(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_params_t params;
    if (!limiter->ops->get_params(limiter->ctx, account, &params) ||
        limiter->ops->find_deputy(limiter->ctx, account, &address) != TS_RATE_ISSUER_SELF)
        return;
    held_lease_t *held = ensure_lease(limiter, account, now_us);
    held->lease.used_us = now_us;
    held->lease.is_deputy = true;
    claim_if_due(limiter, held, &params, now_us);
}

void ts_rate_limiter_count_request(ts_rate_limiter_t *limiter, const char *account,
                                   ts_time_us_t now_us)
{
    ts_rate_params_t params;
    if (limiter->ops->get_params(limiter->ctx, account, &params))
        ts_rate_lease_count_request(&ensure_lease(limiter, account, now_us)->lease, now_us);
}

ts_rate_verdict_t ts_rate_limiter_take(ts_rate_limiter_t *limiter, const char *account,
                                       ts_time_us_t now_us)
{
    ts_rate_params_t params;
    if (!limiter->ops->get_params(limiter->ctx, account, &params))
        return TS_RATE_TAKEN;
    held_lease_t *held = ensure_lease(limiter, account, now_us);
    ts_rate_verdict_t verdict = ts_rate_lease_take(&held->lease, &params, now_us);
    claim_if_due(limiter, held, &params, now_us);
    // If this node is the home, its claim has been answered by now.
    if (verdict == TS_RATE_PENDING)
        verdict = ts_rate_lease_take(&held->lease, &params, now_us);
    if (verdict == TS_RATE_EXCEEDED || verdict == TS_RATE_TAKEN)
        update_limit_state(limiter, held, &params, verdict == TS_RATE_EXCEEDED, now_us);
    return verdict;
}

void ts_rate_limiter_refund(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held != NULL)
        ts_rate_lease_refund(&held->lease, now_us);
}

ts_time_us_t ts_rate_limiter_retry_after_us(const ts_rate_limiter_t *limiter, const char *account,
                                            ts_time_us_t now_us)
{
    const held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    return held == NULL ? 0 : ts_rate_lease_retry_after_us(&held->lease, now_us);
}

// -- Deputy: claims of the other nodes of the zone

/*
 * Assigns the fallback rate of a zone node: a part of this deputy's fallback rate, in proportion to
 * the zone node's request rate.
 */
static double assign_fallback_rate(held_lease_t *held, uint64_t node, ts_time_us_t now_us)
{
    zone_node_t *zone_node = g_hash_table_lookup(held->zone_nodes, &node);
    if (zone_node == NULL || zone_node->is_alone)
        return 0;
    zone_sums_t zone = sum_zone(held, now_us);
    double total = ts_rate_lease_fallback_rate(&held->lease, now_us);
    double left = MAX(total - (held->lease.sublet_rate - zone_node->fallback_rate), 0);
    double total_rate = MAX(zone.request_rate + ts_rate_lease_request_rate(&held->lease, now_us),
                            zone_node->request_rate);
    double share = zone_node->request_rate > 0 ? total * zone_node->request_rate / total_rate : 0;
    double fallback_rate = MIN(share, left);
    if (fallback_rate < TS_RATE_MIN_FALLBACK_RATE)
        fallback_rate = 0;
    // The node may use its previous fallback rate until the grant arrives.
    zone_node->fallback_rate = MAX(fallback_rate, zone_node->fallback_rate);
    return fallback_rate;
}

/* Answers a claim from the lease; false if this node's own claim has to be answered first. */
static bool answer_from_lease(ts_rate_limiter_t *limiter, held_lease_t *held,
                              const ts_rate_params_t *params, const queued_claim_t *queued,
                              ts_time_us_t now_us)
{
    ts_rate_message_t message = {
        .account = held->account, .sequence = queued->sequence, .grant.is_sublet = true};
    ts_rate_verdict_t verdict = TS_RATE_TAKEN;
    if (queued->missing > 0)
        verdict = ts_rate_lease_sublet(&held->lease, params, queued->missing, &message.grant.tokens,
                                       now_us);
    if (verdict == TS_RATE_PENDING)
        return false;
    message.grant.is_home_unreachable = verdict == TS_RATE_UNAVAILABLE;
    message.grant.fallback_rate = assign_fallback_rate(held, queued->node, now_us);
    message.grant.valid_us = DEPUTY_VALID_US;
    message.grant.wait_us = ts_rate_lease_retry_after_us(&held->lease, now_us);
    limiter->ops->send_reply(limiter->ctx, queued->address, &message);
    return true;
}

/* Queues a claim. It replaces an earlier one of its sender, which expects an answer to the latest
 * claim only. */
static void queue_claim(held_lease_t *held, const queued_claim_t *queued)
{
    if (held->queue == NULL) {
        held->queue = g_array_new(FALSE, FALSE, sizeof(queued_claim_t));
        g_array_set_clear_func(held->queue, clear_queued);
    }
    for (guint i = 0; i < held->queue->len; i++) {
        queued_claim_t *other = &g_array_index(held->queue, queued_claim_t, i);
        if (strcmp(other->address, queued->address) != 0)
            continue;
        other->sequence = queued->sequence;
        other->missing = queued->missing;
        other->at_us = queued->at_us;
        return;
    }
    if (held->queue->len >= QUEUE_MAX)
        return; // the sender repeats the claim
    queued_claim_t copy = *queued;
    copy.address = g_strdup(queued->address);
    g_array_append_val(held->queue, copy);
}

/* Answers queued claims in order of arrival, as far as possible; drops old ones. */
static void answer_queue(ts_rate_limiter_t *limiter, held_lease_t *held,
                         const ts_rate_params_t *params, ts_time_us_t now_us)
{
    while (held->queue != NULL && held->queue->len > 0) {
        const queued_claim_t *first = &g_array_index(held->queue, queued_claim_t, 0);
        bool is_late = now_us - first->at_us > QUEUED_US;
        if (!is_late && !answer_from_lease(limiter, held, params, first, now_us))
            return;
        g_array_remove_index(held->queue, 0);
    }
}

/* Updates a node of the zone from its claim, and adds its spending to the total for the home. */
static void update_zone_node(held_lease_t *held, const ts_rate_params_t *params, uint64_t node,
                             const ts_rate_message_t *message, ts_time_us_t now_us)
{
    if (held->zone_nodes == NULL)
        held->zone_nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    zone_node_t *zone_node = g_hash_table_lookup(held->zone_nodes, &node);
    if (zone_node == NULL) {
        zone_node = g_new0(zone_node_t, 1);
        zone_node->spent_alone = message->spent_alone;
        g_hash_table_insert(held->zone_nodes, g_memdup2(&node, sizeof(node)), zone_node);
    }
    double spent = ts_rate_spent_since(zone_node->spent_alone, message->spent_alone);
    double fallback_rate = MAX(zone_node->fallback_rate, message->fallback_rate);
    double owed =
        ts_rate_allowance_spend(&zone_node->allowance, params, fallback_rate, spent, now_us) -
        zone_node->assumed_spent;
    add_owed(held, message->has_moved ? MAX(owed, 0) : owed);
    zone_node->assumed_spent = 0;
    zone_node->spent_alone = message->spent_alone;
    zone_node->request_rate = message->request_rate;
    zone_node->fallback_rate = MIN(zone_node->fallback_rate, message->fallback_rate);
    zone_node->foreign_rate = message->fallback_rate - zone_node->fallback_rate;
    zone_node->foreign_issuer = message->foreign_issuer;
    zone_node->is_alone = message->is_alone;
    zone_node->received_us = now_us;
}

/*
 * Handles a claim as a deputy. A node that is neither home nor deputy in its own view does so too
 * and sends claims in turn. Such a chain ends at a home, as each issuer has a higher rendezvous
 * weight than the node that sends the claim.
 */
static void grant_as_deputy(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                            const ts_rate_message_t *message, const ts_rate_params_t *params,
                            ts_time_us_t now_us)
{
    held_lease_t *held = ensure_lease(limiter, message->account, now_us);
    unsigned missing = message->wanted > message->in_hand ? message->wanted - message->in_hand : 0;
    queued_claim_t queued = {(char *)address, node, message->sequence, missing, now_us};
    held->lease.is_deputy = true;
    ts_rate_lease_accept_saved(&held->lease, message->saved);
    update_zone_node(held, params, node, message, now_us);
    for (unsigned i = 0; i < missing; i++)
        ts_rate_lease_count_demand(&held->lease, now_us);
    if (!answer_from_lease(limiter, held, params, &queued, now_us))
        queue_claim(held, &queued);
    claim_if_due(limiter, held, params, now_us);
    answer_queue(limiter, held, params, now_us);
}

/*
 * Removes a zone node that now sends its claims to this node as the home, or has left this deputy.
 * Deducts the fallback rate that was assigned to the zone node from that of the lease. If the node
 * stayed in `zone_nodes`, it would look silent and be assumed to spend that rate.
 */
static void release_zone_node(const ts_rate_limiter_t *limiter, const char *account, uint64_t node)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held == NULL || held->zone_nodes == NULL)
        return;
    const zone_node_t *zone_node = g_hash_table_lookup(held->zone_nodes, &node);
    if (zone_node == NULL)
        return;
    held->lease.fallback_rate = MAX(held->lease.fallback_rate - zone_node->fallback_rate, 0);
    g_hash_table_remove(held->zone_nodes, &node);
}

/* Handles the notice of a node that it uses another issuer now. */
static void handle_leave(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                         const ts_rate_message_t *message)
{
    ts_rate_account_t *account = g_hash_table_lookup(limiter->accounts, message->account);
    ts_rate_message_t answer = {.account = message->account,
                                .foreign_issuer = message->foreign_issuer};
    answer.grant.has_left = true;
    release_zone_node(limiter, message->account, node);
    if (account != NULL)
        ts_rate_account_remove_holder(account, node, message->spent_alone);
    limiter->ops->send_reply(limiter->ctx, address, &answer);
}

bool ts_rate_limiter_receive_claim(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                                   const ts_rate_message_t *message, ts_time_us_t now_us)
{
    ts_rate_params_t params;
    if (!limiter->ops->get_params(limiter->ctx, message->account, &params))
        return false;
    if (message->is_leaving) {
        handle_leave(limiter, node, address, message);
        return true;
    }
    ts_rate_message_t answer = *message;
    if (!is_home(limiter, message->account)) {
        grant_as_deputy(limiter, node, address, message, &params, now_us);
        return true;
    }
    release_zone_node(limiter, message->account, node);
    if (grant_as_home(limiter, node, ts_hash_text(address), &params, &answer, now_us))
        limiter->ops->send_reply(limiter->ctx, address, &answer);
    return true;
}

void ts_rate_limiter_receive_grant(ts_rate_limiter_t *limiter, const ts_rate_message_t *message,
                                   ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, message->account);
    ts_rate_params_t params;
    if (held == NULL || !limiter->ops->get_params(limiter->ctx, message->account, &params))
        return;
    if (message->grant.has_left) {
        ts_rate_lease_confirm_leave(&held->lease, message->foreign_issuer);
        return;
    }
    ts_rate_lease_receive_grant(&held->lease, &params, message->sequence, &message->grant, now_us);
    answer_queue(limiter, held, &params, now_us);
    limiter->ops->on_grant(limiter->ctx, message->account);
}

// -- Periodic work

static gboolean is_idle_account(gpointer name, gpointer value, gpointer now)
{
    const ts_rate_account_t *account = value;
    return *(const ts_time_us_t *)now - account->at_us > ACCOUNT_IDLE_US;
}

void ts_rate_limiter_tick(ts_rate_limiter_t *limiter, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, limiter->leases);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        held_lease_t *held = value;
        ts_rate_params_t params;
        bool is_limited = limiter->ops->get_params(limiter->ctx, held->account, &params);
        if (!is_limited || now_us - held->lease.used_us > LEASE_IDLE_US) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        answer_queue(limiter, held, &params, now_us);
        (void)sum_zone(held, now_us);
        if (ts_rate_lease_is_due(&held->lease, &params, now_us))
            send_claim(limiter, held, &params, now_us);
    }
    g_hash_table_foreach_remove(limiter->accounts, is_idle_account, &now_us);
}

unsigned ts_rate_limiter_count_accounts(const ts_rate_limiter_t *limiter)
{
    return g_hash_table_size(limiter->accounts);
}

unsigned ts_rate_limiter_count_leases(const ts_rate_limiter_t *limiter)
{
    return g_hash_table_size(limiter->leases);
}
