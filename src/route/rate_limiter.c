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

/* A node with a fallback rate from this deputy that is silent for this long is assumed to spend it,
 * until it expires; as at the home (rate_account.c). */
#define SILENT_US (1 * TS_US_PER_S)
#define FALLBACK_TIMEOUT_US (12 * TS_US_PER_S)
/* Share of the tolerance that all nodes together may spend before an issuer has answered. For a
 * node that has just started it is a share of all tokens per window: all nodes may be starting at
 * once, while no node grants any. */
#define FIRST_SHARE 0.25
#define FIRST_STARTING_SHARE 0.5
#define STARTING_US (2 * TS_US_PER_S)
/* How long a node's request rate counts; it may send its claims to another deputy by then. */
#define REQUEST_RATE_VALID_US (3 * TS_US_PER_S)

/* State of a node of the zone, at its deputy. */
typedef struct debtor {
    uint32_t spent_alone;  /* total spent on its own, by its latest claim */
    double used;           /* requests per second, by its latest claim */
    double right;          /* its fallback rate, as far as assigned by this deputy */
    double foreign;        /* its fallback rate, as far as assigned by another issuer */
    uint64_t foreign_from; /* that issuer */
    ts_rate_allowance_t allowance;
    double assumed;        /* tokens assumed spent since its latest claim, reported to the home */
    bool is_alone;         /* its fallback rate is not lent to this deputy, by its latest claim */
    ts_time_us_t heard_us; /* when its latest claim arrived */
} debtor_t;

/* A claim that a deputy cannot answer yet. */
typedef struct queued_claim {
    char *address;
    uint64_t node;
    uint32_t ask;
    unsigned missing; /* tokens */
    ts_time_us_t at_us;
} queued_claim_t;

typedef struct held_lease {
    ts_rate_lease_t lease;
    char *account;
    GArray *queue;       /* of queued_claim_t; NULL: none so far */
    GHashTable *debtors; /* node -> debtor_t, owned; NULL: none so far */
    char *lent_address;  /* issuer that the fallback rate is lent to; NULL: none, or this node */
    double owed;         /* spent by debtors but not yet reported; negative: reported too much */
} held_lease_t;

struct ts_rate_limiter {
    uint64_t node;
    const ts_rate_limiter_ops_t *ops;
    void *ctx;
    GHashTable *leases;   /* account -> held_lease_t, owned */
    GHashTable *accounts; /* account -> ts_rate_account_t, owned; keys owned */
    ts_rate_standing_t standing;
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
    if (held->debtors != NULL)
        g_hash_table_unref(held->debtors);
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
    limiter->standing.begun_us = now_us;
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
    return limiter->ops->home(limiter->ctx, account, &address) == TS_RATE_DEALER_SELF;
}

// -- Home: accounts

static ts_rate_account_t *find_account(ts_rate_limiter_t *limiter, const char *name,
                                       const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    ts_rate_account_t *account = g_hash_table_lookup(limiter->accounts, name);
    if (account != NULL)
        return account;
    account = g_new0(ts_rate_account_t, 1);
    ts_rate_account_open(account, terms, &limiter->standing, now_us);
    g_hash_table_insert(limiter->accounts, g_strdup(name), account);
    return account;
}

/* Answers a claim as the home; returns false and does nothing if the claim is a duplicate. */
static bool grant_as_home(ts_rate_limiter_t *limiter, uint64_t node, uint64_t address,
                          const ts_rate_terms_t *terms, ts_rate_row_t *row, ts_time_us_t now_us)
{
    ts_rate_claim_t claim = {.node = node,
                             .address = address,
                             .foreign = row->foreign,
                             .foreign_from = row->foreign_from,
                             .is_local = node == limiter->node,
                             .used = row->used,
                             .right = row->right,
                             .is_alone = row->is_alone,
                             .has_moved = row->has_moved,
                             .saved = row->saved,
                             .ask = row->ask,
                             .spent_alone = row->spent_alone,
                             .in_hand = row->in_hand,
                             .wanted = row->wanted};
    ts_rate_account_t *account = find_account(limiter, row->account, terms, now_us);
    if (ts_rate_account_is_repeat(account, &claim))
        return false;
    row->deal = ts_rate_account_deal(account, terms, &claim, now_us);
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

void ts_rate_limiter_change_view(ts_rate_limiter_t *limiter, bool has_lost, ts_time_us_t now_us)
{
    ts_rate_standing_t *standing = &limiter->standing;
    standing->changed_us = now_us;
    if (has_lost) {
        ts_time_us_t since_us = standing->lost_us == 0 ? standing->begun_us : standing->lost_us;
        standing->rested_us = now_us - since_us;
        standing->lost_us = now_us;
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
    ts_rate_terms_t terms;
    if (!limiter->ops->terms(limiter->ctx, account, &terms))
        return 0;
    double draw = (double)ts_hash_mix(limiter->node, ts_hash_text(account)) / (double)UINT64_MAX;
    double nodes = limiter->ops->nodes(limiter->ctx);
    double tokens = FIRST_SHARE * terms.tolerance;
    if (now_us - limiter->standing.begun_us < STARTING_US)
        tokens = MAX(tokens, FIRST_STARTING_SHARE * (terms.limit + terms.tolerance));
    return draw * nodes < tokens ? 1 : 0;
}

static held_lease_t *find_lease(ts_rate_limiter_t *limiter, const char *account,
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
                               const ts_rate_terms_t *terms, bool is_over, ts_time_us_t now_us)
{
    bool is_settled = now_us - held->lease.refused_us > WITHIN_US;
    if (is_over)
        held->lease.refused_us = now_us;
    if (held->lease.was_over == is_over || (!is_over && !is_settled))
        return;
    held->lease.was_over = is_over;
    limiter->ops->changed(limiter->ctx, held->account, terms, is_over);
}

/* Adds spending of debtors to the total that is reported to the home, in whole tokens. */
static void add_owed(held_lease_t *held, double tokens)
{
    held->owed += tokens;
    double whole = MAX(floor(held->owed), 0);
    held->lease.spent_alone += (uint32_t)whole;
    held->owed -= whole;
}

/* Assumes that a silent debtor spends its fallback rate. */
static void assume_spending(held_lease_t *held, debtor_t *debtor, ts_time_us_t now_us)
{
    if (!debtor->is_alone && now_us - debtor->heard_us < SILENT_US)
        return;
    double spent = debtor->right * (double)(now_us - debtor->heard_us) / TS_US_PER_S;
    if (spent <= debtor->assumed)
        return; // the fallback rate has expired
    add_owed(held, spent - debtor->assumed);
    debtor->assumed = spent;
}

typedef struct zone_sums {
    double used;        /* requests per second */
    double lent;        /* fallback rates assigned by other issuers and lent to this deputy */
    double lent_one;    /* part of `lent` assigned by one of these issuers */
    uint64_t lent_from; /* that issuer */
} zone_sums_t;

/* Sums up the nodes of the zone, and assumes spending of silent ones. */
static zone_sums_t sum_debtors(held_lease_t *held, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    zone_sums_t sums = {0};
    held->lease.sublet = 0;
    if (held->debtors == NULL)
        return sums;
    g_hash_table_iter_init(&iterator, held->debtors);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        debtor_t *debtor = value;
        assume_spending(held, debtor, now_us);
        if (now_us - debtor->heard_us > FALLBACK_TIMEOUT_US)
            debtor->right = 0; // the entry stays: spending is reported as a running total
        held->lease.sublet += debtor->right;
        bool is_recent = now_us - debtor->heard_us < REQUEST_RATE_VALID_US;
        sums.used += is_recent ? debtor->used : 0;
        bool is_lent = !debtor->is_alone && now_us - debtor->heard_us < SILENT_US;
        if (!is_lent || debtor->foreign <= 0)
            continue;
        sums.lent += debtor->foreign;
        if (sums.lent_from == 0)
            sums.lent_from = debtor->foreign_from;
        if (sums.lent_from == debtor->foreign_from)
            sums.lent_one += debtor->foreign;
    }
    return sums;
}

/*
 * Notifies the previous issuer that this node now uses another one. Otherwise it would treat this
 * node as cut off, and withhold or debit its fallback rate until that expires.
 */
static void leave_issuer(ts_rate_limiter_t *limiter, const held_lease_t *held)
{
    const ts_rate_lease_t *lease = &held->lease;
    ts_rate_row_t row = {.account = held->account,
                         .is_leaving = true,
                         .foreign_from = lease->lent_to,
                         .spent_alone = lease->spent_alone};
    if (held->lent_address != NULL)
        limiter->ops->ask(limiter->ctx, held->lent_address, &row);
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
static void send_claim(ts_rate_limiter_t *limiter, held_lease_t *held, const ts_rate_terms_t *terms,
                       ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_lease_t *lease = &held->lease;
    ts_rate_dealer_t dealer = limiter->ops->deputy(limiter->ctx, held->account, &address);
    lease->is_deputy = dealer == TS_RATE_DEALER_SELF;
    if (lease->is_deputy)
        dealer = limiter->ops->home(limiter->ctx, held->account, &address);
    uint64_t id = dealer == TS_RATE_DEALER_PEER ? ts_hash_text(address) : limiter->node;
    ts_rate_row_t row = {.account = held->account,
                         .in_hand = ts_rate_lease_in_hand(lease, now_us),
                         .wanted = ts_rate_lease_wanted(lease, terms, now_us)};
    zone_sums_t zone = sum_debtors(held, now_us);
    row.used = ts_rate_lease_asking(lease, now_us) + zone.used;
    double right = ts_rate_lease_right(lease, now_us);
    bool is_foreign = right > 0 && lease->right_from != id;
    row.right = right + zone.lent;
    row.foreign = is_foreign ? right : zone.lent_one;
    row.foreign_from = is_foreign ? lease->right_from : zone.lent_from;
    const char *lent_address = dealer == TS_RATE_DEALER_PEER ? address : NULL;
    row.is_alone = dealer == TS_RATE_DEALER_NONE ||
                   !lend_fallback_rate(limiter, held, id, lent_address, now_us);
    row.has_moved = lease->has_moved;
    row.saved = ts_rate_lease_give_saved(lease, terms, now_us);
    row.ask = ts_rate_lease_note_ask(lease, row.wanted > row.in_hand, now_us);
    row.spent_alone = lease->spent_alone;
    if (dealer == TS_RATE_DEALER_PEER) {
        limiter->ops->ask(limiter->ctx, address, &row);
    } else if (dealer == TS_RATE_DEALER_SELF &&
               grant_as_home(limiter, limiter->node, id, terms, &row, now_us)) {
        ts_rate_lease_take_deal(lease, terms, row.ask, &row.deal, now_us);
    } else if (dealer == TS_RATE_DEALER_NONE) {
        ts_rate_lease_note_lost(lease, now_us);
    }
}

/* Sends a due claim: at once if a request waits for it, else on the next tick. */
static void claim_if_due(ts_rate_limiter_t *limiter, held_lease_t *held,
                         const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    if (!ts_rate_lease_is_due(&held->lease, terms, now_us))
        return;
    if (held->lease.is_waited_for)
        send_claim(limiter, held, terms, now_us);
    else
        limiter->ops->wake(limiter->ctx);
}

void ts_rate_limiter_expect(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_terms_t terms;
    if (!limiter->ops->terms(limiter->ctx, account, &terms) ||
        limiter->ops->deputy(limiter->ctx, account, &address) != TS_RATE_DEALER_SELF)
        return;
    held_lease_t *held = find_lease(limiter, account, now_us);
    held->lease.used_us = now_us;
    held->lease.is_deputy = true;
    claim_if_due(limiter, held, &terms, now_us);
}

void ts_rate_limiter_note_request(ts_rate_limiter_t *limiter, const char *account,
                                  ts_time_us_t now_us)
{
    ts_rate_terms_t terms;
    if (limiter->ops->terms(limiter->ctx, account, &terms))
        ts_rate_lease_note_request(&find_lease(limiter, account, now_us)->lease, now_us);
}

ts_rate_verdict_t ts_rate_limiter_take(ts_rate_limiter_t *limiter, const char *account,
                                       ts_time_us_t now_us)
{
    ts_rate_terms_t terms;
    if (!limiter->ops->terms(limiter->ctx, account, &terms))
        return TS_RATE_TAKEN;
    held_lease_t *held = find_lease(limiter, account, now_us);
    ts_rate_verdict_t verdict = ts_rate_lease_take(&held->lease, &terms, now_us);
    claim_if_due(limiter, held, &terms, now_us);
    if (verdict == TS_RATE_WAITS)
        verdict =
            ts_rate_lease_take(&held->lease, &terms, now_us); // succeeds if this node is the home
    if (verdict == TS_RATE_OVER || verdict == TS_RATE_TAKEN)
        update_limit_state(limiter, held, &terms, verdict == TS_RATE_OVER, now_us);
    return verdict;
}

void ts_rate_limiter_return(ts_rate_limiter_t *limiter, const char *account, ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held != NULL)
        ts_rate_lease_return(&held->lease, now_us);
}

ts_time_us_t ts_rate_limiter_wait_us(const ts_rate_limiter_t *limiter, const char *account,
                                     ts_time_us_t now_us)
{
    const held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    return held == NULL ? 0 : ts_rate_lease_wait_us(&held->lease, now_us);
}

// -- Deputy: claims of the other nodes of the zone

/*
 * Assigns the fallback rate of a node of the zone: its part of this node's, in proportion to its
 * request rate.
 */
static double assign_fallback_rate(held_lease_t *held, uint64_t node, ts_time_us_t now_us)
{
    debtor_t *debtor = g_hash_table_lookup(held->debtors, &node);
    if (debtor == NULL || debtor->is_alone)
        return 0;
    zone_sums_t zone = sum_debtors(held, now_us);
    double total = ts_rate_lease_right(&held->lease, now_us);
    double left = MAX(total - (held->lease.sublet - debtor->right), 0);
    double used = MAX(zone.used + ts_rate_lease_asking(&held->lease, now_us), debtor->used);
    double share = debtor->used > 0 ? total * debtor->used / used : 0;
    double right = MIN(share, left);
    if (right < TS_RATE_RIGHT_LEAST)
        right = 0;
    debtor->right = MAX(right, debtor->right); // it may use the previous one until it gets this
    return right;
}

/* Answers a claim from the lease; returns false if this node's own claim has to be answered first.
 */
static bool answer_from_lease(ts_rate_limiter_t *limiter, held_lease_t *held,
                              const ts_rate_terms_t *terms, const queued_claim_t *queued,
                              ts_time_us_t now_us)
{
    ts_rate_row_t row = {.account = held->account, .ask = queued->ask, .deal.is_sublet = true};
    ts_rate_verdict_t verdict = TS_RATE_TAKEN;
    if (queued->missing > 0)
        verdict =
            ts_rate_lease_take_for(&held->lease, terms, queued->missing, &row.deal.tokens, now_us);
    if (verdict == TS_RATE_WAITS)
        return false;
    row.deal.is_lost = verdict == TS_RATE_UNKNOWN;
    row.deal.right = assign_fallback_rate(held, queued->node, now_us);
    row.deal.valid_us = DEPUTY_VALID_US;
    row.deal.wait_us = ts_rate_lease_wait_us(&held->lease, now_us);
    limiter->ops->answer(limiter->ctx, queued->address, &row);
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
        other->ask = queued->ask;
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
                         const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    while (held->queue != NULL && held->queue->len > 0) {
        const queued_claim_t *first = &g_array_index(held->queue, queued_claim_t, 0);
        bool is_late = now_us - first->at_us > QUEUED_US;
        if (!is_late && !answer_from_lease(limiter, held, terms, first, now_us))
            return;
        g_array_remove_index(held->queue, 0);
    }
}

/* Updates a node of the zone from its claim, and adds its spending to the total for the home. */
static void update_debtor(held_lease_t *held, const ts_rate_terms_t *terms, uint64_t node,
                          const ts_rate_row_t *row, ts_time_us_t now_us)
{
    if (held->debtors == NULL)
        held->debtors = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    debtor_t *debtor = g_hash_table_lookup(held->debtors, &node);
    if (debtor == NULL) {
        debtor = g_new0(debtor_t, 1);
        debtor->spent_alone = row->spent_alone;
        g_hash_table_insert(held->debtors, g_memdup2(&node, sizeof(node)), debtor);
    }
    double spent = ts_rate_debt(debtor->spent_alone, row->spent_alone);
    double right = MAX(debtor->right, row->right);
    double owed = ts_rate_allow(&debtor->allowance, terms, right, spent, now_us) - debtor->assumed;
    add_owed(held, row->has_moved ? MAX(owed, 0) : owed);
    debtor->assumed = 0;
    debtor->spent_alone = row->spent_alone;
    debtor->used = row->used;
    debtor->right = MIN(debtor->right, row->right);
    debtor->foreign = row->right - debtor->right;
    debtor->foreign_from = row->foreign_from;
    debtor->is_alone = row->is_alone;
    debtor->heard_us = now_us;
}

/*
 * Handles a claim as a deputy. A node that is neither home nor deputy in its own view does so too
 * and sends claims in turn. Such a chain ends at a home, as each issuer has a higher rendezvous
 * weight than the node that sends the claim.
 */
static void grant_as_deputy(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                            const ts_rate_row_t *row, const ts_rate_terms_t *terms,
                            ts_time_us_t now_us)
{
    held_lease_t *held = find_lease(limiter, row->account, now_us);
    unsigned missing = row->wanted > row->in_hand ? row->wanted - row->in_hand : 0;
    queued_claim_t queued = {(char *)address, node, row->ask, missing, now_us};
    held->lease.is_deputy = true;
    ts_rate_lease_take_saved(&held->lease, row->saved);
    update_debtor(held, terms, node, row, now_us);
    for (unsigned i = 0; i < missing; i++)
        ts_rate_lease_note_demand(&held->lease, now_us);
    if (!answer_from_lease(limiter, held, terms, &queued, now_us))
        queue_claim(held, &queued);
    claim_if_due(limiter, held, terms, now_us);
    answer_queue(limiter, held, terms, now_us);
}

/*
 * Removes a debtor that now sends its claims to this node as the home, or leaves it. The fallback
 * rate that this deputy assigned to it is no longer part of this node's. If it stayed a debtor, it
 * would look silent and be assumed to spend that rate.
 */
static void release_debtor(const ts_rate_limiter_t *limiter, const char *account, uint64_t node)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held == NULL || held->debtors == NULL)
        return;
    const debtor_t *debtor = g_hash_table_lookup(held->debtors, &node);
    if (debtor == NULL)
        return;
    held->lease.right = MAX(held->lease.right - debtor->right, 0);
    g_hash_table_remove(held->debtors, &node);
}

/* Handles the notice of a node that it uses another issuer now. */
static void handle_leave(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                         const ts_rate_row_t *row)
{
    ts_rate_account_t *account = g_hash_table_lookup(limiter->accounts, row->account);
    ts_rate_row_t answer = {.account = row->account, .foreign_from = row->foreign_from};
    answer.deal.has_left = true;
    release_debtor(limiter, row->account, node);
    if (account != NULL)
        ts_rate_account_leave(account, node, row->spent_alone);
    limiter->ops->answer(limiter->ctx, address, &answer);
}

bool ts_rate_limiter_take_ask(ts_rate_limiter_t *limiter, uint64_t node, const char *address,
                              const ts_rate_row_t *row, ts_time_us_t now_us)
{
    ts_rate_terms_t terms;
    if (!limiter->ops->terms(limiter->ctx, row->account, &terms))
        return false;
    if (row->is_leaving) {
        handle_leave(limiter, node, address, row);
        return true;
    }
    ts_rate_row_t answer = *row;
    if (!is_home(limiter, row->account)) {
        grant_as_deputy(limiter, node, address, row, &terms, now_us);
        return true;
    }
    release_debtor(limiter, row->account, node);
    if (grant_as_home(limiter, node, ts_hash_text(address), &terms, &answer, now_us))
        limiter->ops->answer(limiter->ctx, address, &answer);
    return true;
}

void ts_rate_limiter_take_deal(ts_rate_limiter_t *limiter, const ts_rate_row_t *row,
                               ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, row->account);
    ts_rate_terms_t terms;
    if (held == NULL || !limiter->ops->terms(limiter->ctx, row->account, &terms))
        return;
    if (row->deal.has_left) {
        ts_rate_lease_note_left(&held->lease, row->foreign_from);
        return;
    }
    ts_rate_lease_take_deal(&held->lease, &terms, row->ask, &row->deal, now_us);
    answer_queue(limiter, held, &terms, now_us);
    limiter->ops->dealt(limiter->ctx, row->account);
}

// -- Periodic work

static gboolean is_idle_account(gpointer name, gpointer value, gpointer now)
{
    const ts_rate_account_t *account = value;
    return *(const ts_time_us_t *)now - account->at_us > ACCOUNT_IDLE_US;
}

void ts_rate_limiter_turn(ts_rate_limiter_t *limiter, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, limiter->leases);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        held_lease_t *held = value;
        ts_rate_terms_t terms;
        bool is_limited = limiter->ops->terms(limiter->ctx, held->account, &terms);
        if (!is_limited || now_us - held->lease.used_us > LEASE_IDLE_US) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        answer_queue(limiter, held, &terms, now_us);
        (void)sum_debtors(held, now_us);
        if (ts_rate_lease_is_due(&held->lease, &terms, now_us))
            send_claim(limiter, held, &terms, now_us);
    }
    g_hash_table_foreach_remove(limiter->accounts, is_idle_account, &now_us);
}

unsigned ts_rate_limiter_accounts(const ts_rate_limiter_t *limiter)
{
    return g_hash_table_size(limiter->accounts);
}

unsigned ts_rate_limiter_leases(const ts_rate_limiter_t *limiter)
{
    return g_hash_table_size(limiter->leases);
}
