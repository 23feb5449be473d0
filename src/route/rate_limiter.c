/** Rates that the whole fleet keeps together: leases, accounts, and who is asked. */
#include "tealspar/rate_limiter.h"

#include <string.h>

/* A lease that nobody used for so long is forgotten, and so is an account nobody asked for. */
#define LEASE_KEPT_US (20 * TS_US_PER_S)
#define ACCOUNT_KEPT_US (60 * TS_US_PER_S)

typedef struct held_lease {
    ts_rate_lease_t lease;
    char *account;
} held_lease_t;

struct ts_rate_limiter {
    uint64_t node;
    const ts_rate_limiter_ops_t *ops;
    void *ctx;
    GHashTable *leases;   /* account -> held_lease_t, owned */
    GHashTable *accounts; /* account -> ts_rate_account_t, owned; keys owned */
    ts_rate_standing_t standing;
};

static void free_lease(gpointer data)
{
    held_lease_t *held = data;
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
    limiter->standing.since_us = now_us;
    limiter->standing.rested_us = now_us; // nothing is known to have moved before
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

bool ts_rate_limiter_take_ask(ts_rate_limiter_t *limiter, uint64_t node, ts_rate_row_t *row,
                              ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_terms_t terms;
    if (limiter->ops->home(limiter->ctx, row->account, &address) != TS_RATE_HOME_SELF ||
        !limiter->ops->terms(limiter->ctx, row->account, &terms))
        return false;
    ts_rate_claim_t claim = {node, row->in_hand, row->wanted};
    ts_rate_account_t *account = find_account(limiter, row->account, &terms, now_us);
    row->deal = ts_rate_account_deal(account, &terms, &claim, now_us);
    return true;
}

static gboolean is_foreign(gpointer name, gpointer account, gpointer ctx)
{
    const ts_rate_limiter_t *limiter = ctx;
    const char *address = NULL;
    return limiter->ops->home(limiter->ctx, name, &address) != TS_RATE_HOME_SELF;
}

void ts_rate_limiter_change_view(ts_rate_limiter_t *limiter, ts_time_us_t now_us)
{
    limiter->standing.rested_us = now_us - limiter->standing.since_us;
    limiter->standing.since_us = now_us;
    g_hash_table_foreach_remove(limiter->accounts, is_foreign, limiter);
}

// -- Leases

static held_lease_t *find_lease(ts_rate_limiter_t *limiter, const char *account,
                                ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, account);
    if (held != NULL)
        return held;
    held = g_new0(held_lease_t, 1);
    held->account = g_strdup(account);
    ts_rate_lease_open(&held->lease, now_us);
    g_hash_table_insert(limiter->leases, held->account, held);
    return held;
}

/* Notes whether the limit is reached, and tells a change. */
static void note_over(ts_rate_limiter_t *limiter, held_lease_t *held, const ts_rate_terms_t *terms,
                      bool is_over)
{
    if (held->lease.was_over == is_over)
        return;
    held->lease.was_over = is_over;
    limiter->ops->changed(limiter->ctx, held->account, terms, is_over);
}

/* Asks the home of a lease: another node by a message, this node at once. */
static void ask_home(ts_rate_limiter_t *limiter, held_lease_t *held, const ts_rate_terms_t *terms,
                     ts_time_us_t now_us)
{
    const char *address = NULL;
    ts_rate_lease_t *lease = &held->lease;
    ts_rate_row_t row = {.account = held->account,
                         .in_hand = ts_rate_lease_in_hand(lease, now_us),
                         .wanted = ts_rate_lease_wanted(lease, terms, now_us)};
    row.ask = ts_rate_lease_note_ask(lease, now_us);
    ts_rate_home_t home = limiter->ops->home(limiter->ctx, held->account, &address);
    if (home == TS_RATE_HOME_PEER)
        limiter->ops->ask(limiter->ctx, address, &row);
    if (home == TS_RATE_HOME_SELF && ts_rate_limiter_take_ask(limiter, limiter->node, &row, now_us))
        ts_rate_limiter_take_deal(limiter, &row, now_us);
}

void ts_rate_limiter_take_deal(ts_rate_limiter_t *limiter, const ts_rate_row_t *row,
                               ts_time_us_t now_us)
{
    held_lease_t *held = g_hash_table_lookup(limiter->leases, row->account);
    if (held != NULL)
        ts_rate_lease_take_deal(&held->lease, row->ask, &row->deal, now_us);
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
    bool is_due = ts_rate_lease_is_due(&held->lease, &terms, now_us);
    if (is_due && verdict == TS_RATE_WAITS) {
        ask_home(limiter, held, &terms, now_us);
        verdict = ts_rate_lease_take(&held->lease, &terms, now_us); // this node may be the home
    } else if (is_due) {
        limiter->ops->wake(limiter->ctx);
    }
    if (verdict == TS_RATE_OVER || verdict == TS_RATE_TAKEN)
        note_over(limiter, held, &terms, verdict == TS_RATE_OVER);
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

// -- Time

static gboolean is_idle_account(gpointer name, gpointer value, gpointer now)
{
    const ts_rate_account_t *account = value;
    return *(const ts_time_us_t *)now - account->at_us > ACCOUNT_KEPT_US;
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
        if (!is_limited || now_us - held->lease.used_us > LEASE_KEPT_US)
            g_hash_table_iter_remove(&iterator);
        else if (ts_rate_lease_is_due(&held->lease, &terms, now_us))
            ask_home(limiter, held, &terms, now_us);
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
