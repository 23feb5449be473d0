/** The account of a rate at its home. */
#include "tealspar/rate_account.h"

#include <math.h>

#include "tealspar/hash.h"

/*
 * Parts of the tolerance: what the bucket may hold beyond the burst, as tokens lie at several nodes
 * (less where the tolerance is small against the rate); with what a new account begins, as the old
 * one may have dealt everything; what nodes save up for when they go alone; what may be spent twice
 * of the rate over a window, by two homes or by a home and a node that is alone. They make more
 * than the whole, and are not all spent in one window: 80 drawn orders of cut, surge and heal stay
 * within it (test_rate_cuts). A bucket without this room is empty while tokens lie at deputies.
 */
#define HOLD_SHARE 0.5
#define BEGIN_SHARE 0.2
#define SAVED_SHARE 0.15
#define TWICE_SHARE 0.3
/*
 * A holder that has a right to spend by itself asks each RENEW_RIGHT_US at least (rate_lease.c);
 * one that was not heard for so long is taken to spend by it, from when it was last heard.
 */
#define UNHEARD_US (1 * TS_US_PER_S)
/*
 * A home that is new since nodes were lost deals what its holders lend it, and of the rest of the
 * rate a part that grows in this time, from what may be spent twice to the whole: a lost node may
 * live and take itself for home. (Where nodes were only found, the home before learns of it within
 * a moment.) One that was cut off knows within 2 s; what the two have dealt too much by then is a
 * third of a second's rate beside what may be spent twice (2 s x 2 s / 2 / 6 s).
 */
#define RAMP_US (6 * TS_US_PER_S)
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
/* Seconds of the rate that are owed at most: what is spent by rights is withheld as it is spent, so
 * a debt is what was noticed late. */
#define DEBT_MOST_S 2.0
/* What a holder said that it uses counts for so long: its callers may be elsewhere by now. */
#define USED_KEPT_US (3 * TS_US_PER_S)
/* Of what the ramp lets a new home deal, what it may give as rights beyond those lent to it. */
#define NEW_RIGHTS_SHARE 0.5
/* A node that got nothing stands in the queue for so long. */
#define QUEUED_US (1 * TS_US_PER_S)

typedef struct holder {
    uint64_t node;
    uint64_t address;
    uint32_t ask;         /* number of its latest */
    uint32_t spent_alone; /* what it had spent by itself then */
    unsigned in_hand;
    bool is_local;         /* the home itself */
    bool is_alone;         /* it said that it spends by its right now */
    double right;          /* tokens a second that it may spend by itself, of the rate */
    double used;           /* tokens a second that it uses */
    double foreign;        /* of `right`, what another dealer gave: that one need not spend it */
    uint64_t foreign_from; /* that dealer */
    ts_rate_allowance_t allowance;
    double assumed; /* tokens debited for that since it was last heard */
    ts_time_us_t heard_us;
    ts_time_us_t assumed_us; /* when `assumed` was brought up to date */
    ts_time_us_t empty_us;   /* when it last got nothing; 0: it was given some since */
} holder_t;

/* Mixed into the names of givers that deal out of their leases. */
#define SUBLET_SALT 1

uint64_t ts_rate_giver(uint64_t address, bool is_sublet)
{
    return is_sublet ? ts_hash_mix(address, SUBLET_SALT) : address;
}

/* Most seconds of its right that a node saves up for when it goes alone. */
#define SAVED_MOST_S 5.0

/* A node that is alone may save up one token at least, or it could never spend any. */
#define SAVED_LEAST 1.0

double ts_rate_saved(const ts_rate_terms_t *terms, double right)
{
    return right * MIN(SAVED_SHARE * terms->tolerance / terms->rate, SAVED_MOST_S);
}

double ts_rate_saved_most(const ts_rate_terms_t *terms, double right)
{
    double burst = right / terms->rate * terms->burst;
    return MAX(ts_rate_saved(terms, right) + burst, SAVED_LEAST);
}

double ts_rate_allow(ts_rate_allowance_t *allowance, const ts_rate_terms_t *terms, double right,
                     double spent, ts_time_us_t now_us)
{
    double most = ts_rate_saved_most(terms, right);
    double span_s = (double)(now_us - allowance->at_us) / TS_US_PER_S;
    double had = allowance->at_us == 0 ? 0 : allowance->tokens + right * span_s;
    double allowed = MIN(spent, had);
    allowance->tokens = MIN(had - allowed, most);
    allowance->at_us = now_us;
    return allowed;
}

/* Part of the rate that may be spent twice all the time: small accounts have a tolerance that is
 * larger than what they may send. */
static double twice_share(const ts_rate_terms_t *terms)
{
    return MIN(TWICE_SHARE * terms->tolerance / (terms->limit - terms->burst), 1);
}

double ts_rate_capacity(const ts_rate_terms_t *terms)
{
    double bearing = MIN(terms->tolerance / (terms->limit - terms->burst), 1);
    return MAX(terms->burst + HOLD_SHARE * bearing * terms->tolerance, CAPACITY_LEAST);
}

/*
 * Seconds of the whole rate that the ramp of a new home lets through in a span: the integral of
 * what rises from `first` to 1 in RAMP_US from when it became home.
 */
static double ramped_s(const ts_rate_account_t *account, double first, ts_time_us_t from_us,
                       ts_time_us_t to_us)
{
    ts_time_us_t home_us = account->home_since_us;
    double ramp_s = (double)RAMP_US / TS_US_PER_S;
    double from_s = (double)(MAX(from_us, home_us) - home_us) / TS_US_PER_S;
    double to_s = (double)(MAX(to_us, home_us) - home_us) / TS_US_PER_S;
    double rising_s = MIN(to_s, ramp_s);
    double before_s = MIN(from_s, ramp_s);
    double whole_s = MAX(to_s - MAX(from_s, ramp_s), 0);
    double risen_s = (rising_s * rising_s - before_s * before_s) / (2 * ramp_s);
    return first * (rising_s - before_s) + (1 - first) * risen_s + whole_s;
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
    ts_time_us_t since_us = standing->changed_us == 0 ? standing->begun_us : standing->changed_us;
    account->home_since_us = standing->lost_us;
    double come = terms->rate * ramped_s(account, twice_share(terms), since_us, now_us);
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

/* Whether a holder may be spending by its right. */
static bool is_unheard(const holder_t *holder, ts_time_us_t now_us)
{
    return holder->is_alone || (!holder->is_local && now_us - holder->heard_us > UNHEARD_US);
}

/* Of the rate, what holders that are heard have lent to this home: they don't spend it. */
static double lent_rate(const ts_rate_account_t *account, ts_time_us_t now_us)
{
    double lent = 0;
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        lent += is_unheard(holder, now_us) ? 0 : holder->right;
    }
    return lent;
}

/*
 * What a holder that is not heard may spend: its right, less what nodes that it gave a part to now
 * lend by way of others. Without that a deputy that is cut off holds its whole zone's part.
 */
static double unheard_right(const ts_rate_account_t *account, const holder_t *holder,
                            ts_time_us_t now_us)
{
    double right = holder->right;
    uint64_t giver = ts_rate_giver(holder->address, true);
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *other = &g_array_index(account->holders, holder_t, i);
        if (other->foreign_from == giver && !is_unheard(other, now_us))
            right -= other->foreign;
    }
    return MAX(right, 0);
}

/*
 * Of the rate, what holders that are not heard may spend, but for what may be spent twice (`share`
 * is the rest). It is withheld from now on; what was dealt of it since a holder was last heard, up
 * to `at_us` of the account, is debited.
 */
static double withhold_unheard(ts_rate_account_t *account, double share, ts_time_us_t now_us)
{
    double withheld = 0;
    for (guint i = 0; i < account->holders->len; i++) {
        holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (!is_unheard(holder, now_us))
            continue;
        double right = share * unheard_right(account, holder, now_us);
        ts_time_us_t since_us = MAX(holder->heard_us, holder->assumed_us);
        if (since_us < account->at_us)
            account->tokens -= right * (double)(account->at_us - since_us) / TS_US_PER_S;
        holder->assumed += right * (double)(now_us - since_us) / TS_US_PER_S;
        holder->assumed_us = now_us;
        withheld += right;
    }
    return withheld;
}

/* What the bucket may hold now: what lies at other nodes takes room in it. */
static double find_room(const ts_rate_account_t *account, const ts_rate_terms_t *terms)
{
    return MAX(ts_rate_capacity(terms) - count_in_hands(account), CAPACITY_LEAST);
}

/* Fills the bucket up to now. */
static void fill(ts_rate_account_t *account, const ts_rate_terms_t *terms, ts_time_us_t now_us)
{
    double room = find_room(account, terms);
    double span_s = (double)(now_us - account->at_us) / TS_US_PER_S;
    double lent = MIN(lent_rate(account, now_us), terms->rate);
    double twice = twice_share(terms);
    double withheld = withhold_unheard(account, 1 - twice, now_us);
    double rest = MAX(terms->rate - lent - withheld, 0);
    double ramped_span_s = ramped_s(account, twice, account->at_us, now_us);
    account->tokens += lent * span_s + rest * ramped_span_s;
    account->tokens = CLAMP(account->tokens, -DEBT_MOST_S * terms->rate, room);
    account->at_us = now_us;
}

void ts_rate_account_leave(ts_rate_account_t *account, uint64_t node, uint32_t spent_alone)
{
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (holder->node != node)
            continue;
        double owed = ts_rate_debt(holder->spent_alone, spent_alone) - holder->assumed;
        account->tokens -= MAX(owed, 0);
        g_array_remove_index_fast(account->holders, i);
        return;
    }
}

/*
 * What a holder may spend by itself when it loses its dealer: its share, by use, of the whole rate,
 * so far as the rights of all are not more than that. What nobody holds is out of reach when the
 * home is lost, until another one may count on it. A home that is new gives
 * little more than it was lent, as it does not know what others hold. Until the holder has the
 * answer it may go by the right that it had: the larger of the two counts.
 */
static double grant(const ts_rate_account_t *account, const ts_rate_terms_t *terms,
                    holder_t *holder, const ts_rate_claim_t *claim)
{
    ts_time_us_t age_us = account->at_us - account->home_since_us;
    double risen = (double)age_us / RAMP_US;
    if (claim->is_alone) {
        holder->right = claim->right;
        return 0;
    }
    double others = 0;
    double used = claim->used;
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *other = &g_array_index(account->holders, holder_t, i);
        others += other == holder ? 0 : other->right;
        bool is_there = account->at_us - other->heard_us < USED_KEPT_US;
        used += other != holder && is_there ? other->used : 0;
    }
    double left = terms->rate - others;
    if (risen < 1)
        left = MAX(claim->right, NEW_RIGHTS_SHARE * risen * terms->rate - others);
    double share = terms->rate * claim->used / MAX(used, TS_RATE_RIGHT_LEAST);
    double right = MIN(share, MAX(left, 0));
    if (right < TS_RATE_RIGHT_LEAST)
        right = 0;
    holder->right = MAX(right, claim->right);
    return right;
}

static unsigned count_lacking(const ts_rate_claim_t *claim)
{
    return claim->wanted > claim->in_hand ? claim->wanted - claim->in_hand : 0;
}

static unsigned tokens_to_deal(const ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    double most = MAX(DEAL_SHARE * account->tokens, 1);
    unsigned whole = account->tokens < 1 ? 0 : (unsigned)floor(MIN(most, account->tokens));
    return MIN(whole, count_lacking(claim));
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

/*
 * Sets what a holder has spent alone against what was assumed. What was withheld for nothing comes
 * back as far as there is room, unless another home may have dealt it.
 */
static void settle_debt(ts_rate_account_t *account, const ts_rate_terms_t *terms, holder_t *holder,
                        const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    double spent = ts_rate_debt(holder->spent_alone, claim->spent_alone);
    double right = MAX(holder->right, claim->right);
    double owed = ts_rate_allow(&holder->allowance, terms, right, spent, now_us) - holder->assumed;
    if (owed >= 0)
        account->tokens -= owed;
    else if (!claim->has_moved)
        account->tokens = MIN(account->tokens - owed, find_room(account, terms));
}

/*
 * What a holder saved up by itself is a part of the bucket that no other home knows of: a new one
 * begins with little, and callers below the limit would wait for it to fill.
 */
static void take_saved(ts_rate_account_t *account, const ts_rate_terms_t *terms, double saved)
{
    if (saved > 0)
        account->tokens =
            MAX(account->tokens, MIN(account->tokens + saved, find_room(account, terms)));
}

/* Notes what a holder says of itself. */
static void note_claim(ts_rate_account_t *account, const ts_rate_terms_t *terms, holder_t *holder,
                       const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    settle_debt(account, terms, holder, claim, now_us);
    holder->assumed = 0;
    holder->ask = claim->ask;
    holder->spent_alone = claim->spent_alone;
    holder->in_hand = claim->in_hand;
    holder->is_local = claim->is_local;
    holder->address = claim->address;
    holder->used = claim->used;
    holder->foreign = claim->is_alone ? 0 : claim->foreign;
    holder->foreign_from = claim->foreign_from;
    holder->is_alone = claim->is_alone;
    holder->heard_us = now_us;
    take_saved(account, terms, claim->saved);
}

ts_rate_deal_t ts_rate_account_deal(ts_rate_account_t *account, const ts_rate_terms_t *terms,
                                    const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    ts_rate_deal_t deal = {.valid_us = VALID_US};
    fill(account, terms, now_us);
    forget_old_holders(account, now_us);
    holder_t *holder = find_holder(account, claim);
    note_claim(account, terms, holder, claim, now_us);
    deal.right = grant(account, terms, holder, claim);
    deal.tokens = tokens_to_deal(account, claim);
    account->tokens -= deal.tokens;
    holder->in_hand += deal.tokens;
    if (holder->in_hand > 0 || count_lacking(claim) == 0) {
        holder->empty_us = 0;
        return deal;
    }
    unsigned before = count_queued(account, holder, now_us);
    holder->empty_us = now_us;
    double missing = MAX(1 - account->tokens, 0) + before;
    deal.wait_us = (ts_time_us_t)(missing / terms->rate * TS_US_PER_S);
    return deal;
}
