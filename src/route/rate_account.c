/** The account of a rate at its home. */
#include "tealspar/rate_account.h"

#include <math.h>

/* Of the tolerance: what the bucket may hold beyond the burst, as tokens lie at several nodes. */
#define HOLD_SHARE 0.5
/* Of the tolerance: with what a new account begins, as the old one may have dealt everything. */
#define BEGIN_SHARE 0.25
/* A node that has just begun may itself have been home before: it begins with so much, and what
 * came in since. */
#define BEGIN_LEAST 1.0
/* Least capacity: one token must fit, or nothing is ever dealt. */
#define CAPACITY_LEAST 1.0
/* Of the tokens at home: most that one node gets at once, so that others find some too. */
#define DEAL_SHARE 0.5
/* Tokens are void so long after they were asked for; later, the home counts on none there. */
#define VALID_US (10 * TS_US_PER_S)
#define HOLDER_KEPT_US (12 * TS_US_PER_S)
/* A node that got nothing stands in the queue for so long. */
#define QUEUED_US (1 * TS_US_PER_S)

typedef struct holder {
    uint64_t node;
    uint32_t ask;         /* number of its latest */
    uint32_t spent_alone; /* what it had spent by itself then */
    unsigned in_hand;
    ts_time_us_t heard_us;
    ts_time_us_t empty_us; /* when it last got nothing; 0: it was given some since */
} holder_t;

double ts_rate_capacity(const ts_rate_terms_t *terms)
{
    return MAX(terms->burst + HOLD_SHARE * terms->tolerance, CAPACITY_LEAST);
}

void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                          const ts_rate_standing_t *standing, ts_time_us_t now_us)
{
    double window_s = (terms->limit - terms->burst) / terms->rate;
    double rested_s = (double)standing->rested_us / TS_US_PER_S;
    double since_begun = terms->rate * (double)(now_us - standing->begun_us) / TS_US_PER_S;
    double begin = MIN(BEGIN_SHARE * terms->tolerance, BEGIN_LEAST + since_begun);
    if (standing->lost_us != 0)
        begin *= MIN(rested_s / window_s, 1);
    double come = terms->rate * (double)(now_us - standing->changed_us) / TS_US_PER_S;
    account->tokens = MIN(begin + come, ts_rate_capacity(terms));
    account->at_us = now_us;
    account->holders = g_array_new(FALSE, FALSE, sizeof(holder_t));
}

void ts_rate_account_clear(ts_rate_account_t *account)
{
    g_clear_pointer(&account->holders, g_array_unref);
}

static void forget_old_holders(ts_rate_account_t *account, ts_time_us_t now_us)
{
    for (guint i = account->holders->len; i > 0; i--) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i - 1);
        if (now_us - holder->heard_us > HOLDER_KEPT_US)
            g_array_remove_index_fast(account->holders, i - 1);
    }
}

/* A node that is new here begins with what it has spent by itself so far: that was while there was
 * no home, and is set against what came in meanwhile. */
static holder_t *find_holder(ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    for (guint i = 0; i < account->holders->len; i++) {
        holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (holder->node == claim->node)
            return holder;
    }
    holder_t fresh = {.node = claim->node, .spent_alone = claim->spent_alone};
    g_array_append_val(account->holders, fresh);
    return &g_array_index(account->holders, holder_t, account->holders->len - 1);
}

static unsigned count_in_hands(const ts_rate_account_t *account)
{
    unsigned in_hands = 0;
    for (guint i = 0; i < account->holders->len; i++)
        in_hands += g_array_index(account->holders, holder_t, i).in_hand;
    return in_hands;
}

/* Nodes that wait for a token, `own` left out. */
static unsigned count_queued(const ts_rate_account_t *account, const holder_t *own,
                             ts_time_us_t now_us)
{
    unsigned queued = 0;
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        bool is_waiting = holder->empty_us != 0 && now_us - holder->empty_us < QUEUED_US;
        queued += holder != own && is_waiting;
    }
    return queued;
}

/* Fills the bucket up to now; what lies at other nodes takes room in it. */
static void fill(ts_rate_account_t *account, const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    double room = MAX(ts_rate_capacity(terms) - count_in_hands(account), CAPACITY_LEAST);
    account->tokens += terms->rate * (double)(now_us - account->at_us) / TS_US_PER_S;
    account->tokens = MIN(account->tokens, room);
    account->at_us = now_us;
}

static unsigned tokens_to_deal(const ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    unsigned lacking = claim->wanted > claim->in_hand ? claim->wanted - claim->in_hand : 0;
    double most = MAX(DEAL_SHARE * account->tokens, 1);
    unsigned whole = account->tokens < 1 ? 0 : (unsigned)floor(MIN(most, account->tokens));
    return MIN(whole, lacking);
}

uint32_t ts_rate_debt(uint32_t before, uint32_t now)
{
    return now >= before ? now - before : now; // a process that began anew
}

bool ts_rate_account_is_repeat(const ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (holder->node == claim->node)
            return holder->ask == claim->ask;
    }
    return false;
}

ts_rate_deal_t ts_rate_account_deal(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                                    const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    ts_rate_deal_t deal = {.valid_us = VALID_US};
    forget_old_holders(account, now_us);
    holder_t *holder = find_holder(account, claim);
    holder->heard_us = now_us;
    uint32_t debt = ts_rate_debt(holder->spent_alone, claim->spent_alone);
    holder->ask = claim->ask;
    holder->spent_alone = claim->spent_alone;
    holder->in_hand = claim->in_hand;
    fill(account, terms, now_us);
    account->tokens -= debt;
    deal.tokens = tokens_to_deal(account, claim);
    account->tokens -= deal.tokens;
    holder->in_hand += deal.tokens;
    if (holder->in_hand > 0) {
        holder->empty_us = 0;
        return deal;
    }
    unsigned before = count_queued(account, holder, now_us);
    holder->empty_us = now_us;
    double missing = MAX(1 - account->tokens, 0) + before;
    deal.wait_us = (ts_time_us_t)(missing / terms->rate * TS_US_PER_S);
    return deal;
}
