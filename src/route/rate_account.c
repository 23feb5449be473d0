/** Account of a rate limit at its home node. */
#include "tealspar/rate_account.h"

#include <math.h>

#include "tealspar/hash.h"

/*
 * Shares of the tolerance. They add up to more than 1 but are not all spent within one window: 80
 * random sequences of partition, surge and recovery stay within the tolerance (test_rate_cuts).
 */
/* Capacity of the bucket beyond the burst; less where the tolerance is small relative to the rate.
 * Without it the bucket would be empty while deputies hold unspent tokens. */
#define CAPACITY_SHARE 0.5
/* Initial tokens of a new account, as the previous home may have granted everything. */
#define INITIAL_SHARE 0.2
/* Tokens that nodes have at hand when they start to spend their fallback rate. */
#define SAVED_SHARE 0.15
/* Part of the rate that may be spent twice: by two homes, or by a home and a node on its own. */
#define DOUBLE_SPEND_SHARE 0.3
/*
 * A holder that is silent for this long is assumed to spend its fallback rate since its last claim.
 * Holders renew a fallback rate at least every RENEW_FALLBACK_US (rate_lease.c).
 */
#define SILENT_US (1 * TS_US_PER_S)
/*
 * A home that took over after nodes were lost grants the rates that holders lend to it, and a part
 * of the remaining rate that ramps up to the whole in this time, starting from the part that may be
 * spent twice. A lost node may still be running as home, but notices a partition within 2 s;
 * until then both homes together grant in excess, besides what may be spent twice, a third of a
 * second's rate (2 s x 2 s / 2 / 6 s). If nodes only joined, the previous home learns of it at
 * once, and no ramp is needed.
 */
#define RAMP_US (6 * TS_US_PER_S)
/* After a start, initial tokens are limited to this plus what accrued since, as the process may
 * have been home before a restart. */
#define RESTART_TOKENS 1.0
/* One token must fit into the bucket, or nothing is ever granted. */
#define CAPACITY_MIN 1.0
/* Largest share of the available tokens granted to one node at once, to leave some for others. */
#define GRANT_SHARE 0.5
/* Validity of granted tokens, from when the claim was sent. Holders are dropped some time later,
 * when they can have no valid tokens left. */
#define VALID_US (10 * TS_US_PER_S)
#define HOLDER_TIMEOUT_US (12 * TS_US_PER_S)
/* Limit of a negative balance, in seconds of the rate. The rates that nodes may be spending on
 * their own are withheld, so a debt only covers spending that the home noticed late. */
#define DEBT_MAX_S 2.0
/* How long a holder's request rate counts; its callers may have moved to another node by then. */
#define REQUEST_RATE_VALID_US (3 * TS_US_PER_S)
/* Share of the ramped rate that a new home may assign as fallback rates beyond those lent to it. */
#define NEW_FALLBACK_SHARE 0.5
/* How long a node that got no token counts as queued. */
#define QUEUED_US (1 * TS_US_PER_S)

typedef struct holder {
    uint64_t node;
    uint64_t address;
    uint32_t sequence;    /* sequence number of its latest claim */
    uint32_t spent_alone; /* total spent on its own, as of that claim */
    unsigned in_hand;
    bool is_local;           /* this is the home node itself */
    bool is_alone;           /* `fallback_rate` is not lent to this home, by its latest claim */
    double fallback_rate;    /* tokens per second */
    double request_rate;     /* requests per second */
    double foreign_rate;     /* part of `fallback_rate` by another issuer; 0 if `is_alone` */
    uint64_t foreign_issuer; /* that issuer */
    ts_rate_allowance_t allowance;
    double assumed_spent;          /* tokens debited since its latest claim, as assumed spending */
    ts_time_us_t received_us;      /* when its latest claim arrived */
    ts_time_us_t assumed_spent_us; /* time of `assumed_spent` */
    ts_time_us_t empty_us;         /* when its claim got no tokens; 0: not queued */
} holder_t;

/* Distinguishes a node's id as deputy from its id as home. */
#define SUBLET_SALT 1

uint64_t ts_rate_issuer_id(uint64_t address, bool is_sublet)
{
    return is_sublet ? ts_hash_mix(address, SUBLET_SALT) : address;
}

/* Limit of ts_rate_initial_saved(), in seconds of the fallback rate. */
#define SAVED_MAX_S 5.0

/* A node on its own must be able to accumulate one token, or it could never spend any. */
#define SAVED_MIN 1.0

double ts_rate_initial_saved(const ts_rate_params_t *params, double fallback_rate)
{
    return fallback_rate * MIN(SAVED_SHARE * params->tolerance / params->rate, SAVED_MAX_S);
}

double ts_rate_saved_max(const ts_rate_params_t *params, double fallback_rate)
{
    double burst = fallback_rate / params->rate * params->burst;
    return MAX(ts_rate_initial_saved(params, fallback_rate) + burst, SAVED_MIN);
}

double ts_rate_allowance_spend(ts_rate_allowance_t *allowance, const ts_rate_params_t *params,
                               double fallback_rate, double spent, ts_time_us_t now_us)
{
    double tokens_max = ts_rate_saved_max(params, fallback_rate);
    double span_s = (double)(now_us - allowance->at_us) / TS_US_PER_S;
    double available = allowance->at_us == 0 ? 0 : allowance->tokens + fallback_rate * span_s;
    double allowed = MIN(spent, available);
    allowance->tokens = MIN(available - allowed, tokens_max);
    allowance->at_us = now_us;
    return allowed;
}

/* Share of the rate that may always be spent twice. For small accounts it is the whole rate, as
 * their tolerance is larger than the rate over a window. */
static double double_spend_share(const ts_rate_params_t *params)
{
    return MIN(DOUBLE_SPEND_SHARE * params->tolerance / (params->limit - params->burst), 1);
}

double ts_rate_capacity(const ts_rate_params_t *params)
{
    double relative = MIN(params->tolerance / (params->limit - params->burst), 1);
    return MAX(params->burst + CAPACITY_SHARE * relative * params->tolerance, CAPACITY_MIN);
}

/*
 * Length of a time span weighted by the ramp of a new home: the integral of a factor that rises
 * linearly from `first` to 1 within RAMP_US from the account's `ramp_start_us`.
 */
static double ramped_s(const ts_rate_account_t *account, double first, ts_time_us_t from_us,
                       ts_time_us_t to_us)
{
    ts_time_us_t ramp_start_us = account->ramp_start_us;
    double ramp_s = (double)RAMP_US / TS_US_PER_S;
    double from_s = (double)(MAX(from_us, ramp_start_us) - ramp_start_us) / TS_US_PER_S;
    double to_s = (double)(MAX(to_us, ramp_start_us) - ramp_start_us) / TS_US_PER_S;
    double rising_s = MIN(to_s, ramp_s);
    double before_s = MIN(from_s, ramp_s);
    double whole_s = MAX(to_s - MAX(from_s, ramp_s), 0);
    double risen_s = (rising_s * rising_s - before_s * before_s) / (2 * ramp_s);
    return first * (rising_s - before_s) + (1 - first) * risen_s + whole_s;
}

void ts_rate_account_open(ts_rate_account_t *account, const ts_rate_params_t *params,
                          const ts_rate_view_history_t *view_history, ts_time_us_t now_us)
{
    double window_s = (params->limit - params->burst) / params->rate;
    double stable_s = (double)view_history->stable_before_loss_us / TS_US_PER_S;
    double since_begun = params->rate * (double)(now_us - view_history->begun_us) / TS_US_PER_S;
    double initial = MIN(INITIAL_SHARE * params->tolerance, RESTART_TOKENS + since_begun);
    if (view_history->lost_us != 0)
        initial *= MIN(stable_s / window_s, 1);
    ts_time_us_t since_us =
        view_history->changed_us == 0 ? view_history->begun_us : view_history->changed_us;
    account->ramp_start_us = view_history->lost_us;
    double accrued = params->rate * ramped_s(account, double_spend_share(params), since_us, now_us);
    account->tokens = MIN(initial + accrued, ts_rate_capacity(params));
    account->at_us = now_us;
    account->holders = g_array_new(FALSE, FALSE, sizeof(holder_t));
}

void ts_rate_account_clear(ts_rate_account_t *account)
{
    g_clear_pointer(&account->holders, g_array_unref);
}

static void drop_expired_holders(ts_rate_account_t *account, ts_time_us_t now_us)
{
    for (guint i = account->holders->len; i > 0; i--) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i - 1);
        if (now_us - holder->received_us > HOLDER_TIMEOUT_US)
            g_array_remove_index_fast(account->holders, i - 1);
    }
}

/* Finds or adds the holder of a claim. Earlier spending of a new holder is not debited: it happened
 * while there was no home, and is covered by the tokens that accrued meanwhile. */
static holder_t *ensure_holder(ts_rate_account_t *account, const ts_rate_claim_t *claim)
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

static unsigned count_unspent(const ts_rate_account_t *account)
{
    unsigned unspent = 0;
    for (guint i = 0; i < account->holders->len; i++)
        unspent += g_array_index(account->holders, holder_t, i).in_hand;
    return unspent;
}

/* Number of nodes that wait for a token, other than `own`. */
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

/* Whether a holder may be spending its fallback rate. */
static bool may_spend_alone(const holder_t *holder, ts_time_us_t now_us)
{
    return holder->is_alone || (!holder->is_local && now_us - holder->received_us > SILENT_US);
}

/* Sum of the fallback rates lent to this home; their holders don't spend them. */
static double lent_rate(const ts_rate_account_t *account, ts_time_us_t now_us)
{
    double lent = 0;
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        lent += may_spend_alone(holder, now_us) ? 0 : holder->fallback_rate;
    }
    return lent;
}

/*
 * Rate that a holder may be spending on its own: its fallback rate, less the parts that it assigned
 * as a deputy to nodes that now lend them through another issuer. Otherwise a deputy that is cut
 * off would block the fallback rate of its whole zone.
 */
static double rate_alone(const ts_rate_account_t *account, const holder_t *holder,
                         ts_time_us_t now_us)
{
    double fallback_rate = holder->fallback_rate;
    uint64_t issuer_id = ts_rate_issuer_id(holder->address, true);
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *other = &g_array_index(account->holders, holder_t, i);
        if (other->foreign_issuer == issuer_id && !may_spend_alone(other, now_us))
            fallback_rate -= other->foreign_rate;
    }
    return MAX(fallback_rate, 0);
}

/*
 * Returns the rate to withhold for holders that may be spending on their own: `share` of their
 * fallback rates, as the remainder may be spent twice. Also debits what the balance already
 * includes of that rate: what accrued from a holder's last claim or assumed spending to `at_us` of
 * the account.
 */
static double withhold_rates_alone(ts_rate_account_t *account, double share, ts_time_us_t now_us)
{
    double withheld = 0;
    for (guint i = 0; i < account->holders->len; i++) {
        holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (!may_spend_alone(holder, now_us))
            continue;
        double fallback_rate = share * rate_alone(account, holder, now_us);
        ts_time_us_t since_us = MAX(holder->received_us, holder->assumed_spent_us);
        if (since_us < account->at_us)
            account->tokens -= fallback_rate * (double)(account->at_us - since_us) / TS_US_PER_S;
        holder->assumed_spent += fallback_rate * (double)(now_us - since_us) / TS_US_PER_S;
        holder->assumed_spent_us = now_us;
        withheld += fallback_rate;
    }
    return withheld;
}

/* Tokens that the bucket may hold now, besides those unspent at nodes. */
static double available_capacity(const ts_rate_account_t *account, const ts_rate_params_t *params)
{
    return MAX(ts_rate_capacity(params) - count_unspent(account), CAPACITY_MIN);
}

/* Adds the tokens that accrued until now. */
static void refill(ts_rate_account_t *account, const ts_rate_params_t *params, ts_time_us_t now_us)
{
    double room = available_capacity(account, params);
    double span_s = (double)(now_us - account->at_us) / TS_US_PER_S;
    double lent = MIN(lent_rate(account, now_us), params->rate);
    double double_share = double_spend_share(params);
    double withheld = withhold_rates_alone(account, 1 - double_share, now_us);
    double rest = MAX(params->rate - lent - withheld, 0);
    double ramped_span_s = ramped_s(account, double_share, account->at_us, now_us);
    account->tokens += lent * span_s + rest * ramped_span_s;
    account->tokens = CLAMP(account->tokens, -DEBT_MAX_S * params->rate, room);
    account->at_us = now_us;
}

void ts_rate_account_remove_holder(ts_rate_account_t *account, uint64_t node, uint32_t spent_alone)
{
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (holder->node != node)
            continue;
        double owed = ts_rate_spent_since(holder->spent_alone, spent_alone) - holder->assumed_spent;
        account->tokens -= MAX(owed, 0);
        g_array_remove_index_fast(account->holders, i);
        return;
    }
}

/*
 * Assigns a holder's fallback rate: its share of the whole rate in proportion to its request rate,
 * as far as the sum of all fallback rates stays within the rate. The whole rate is shared out
 * because the unassigned part cannot be spent after the home is lost, until a new home may grant
 * it. A new home assigns little more than was lent to it, as it does not know what other nodes
 * hold. Until the holder receives the grant it may spend its previous fallback rate, so the larger
 * of the two is recorded.
 */
static double assign_fallback_rate(const ts_rate_account_t *account, const ts_rate_params_t *params,
                                   holder_t *holder, const ts_rate_claim_t *claim)
{
    ts_time_us_t age_us = account->at_us - account->ramp_start_us;
    double ramp = (double)age_us / RAMP_US;
    if (claim->is_alone) {
        holder->fallback_rate = claim->fallback_rate;
        return 0;
    }
    double others = 0;
    double total_rate = claim->request_rate;
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *other = &g_array_index(account->holders, holder_t, i);
        others += other == holder ? 0 : other->fallback_rate;
        bool is_recent = account->at_us - other->received_us < REQUEST_RATE_VALID_US;
        total_rate += other != holder && is_recent ? other->request_rate : 0;
    }
    double left = params->rate - others;
    if (ramp < 1)
        left = MAX(claim->fallback_rate, NEW_FALLBACK_SHARE * ramp * params->rate - others);
    double share = params->rate * claim->request_rate / MAX(total_rate, TS_RATE_MIN_FALLBACK_RATE);
    double fallback_rate = MIN(share, MAX(left, 0));
    if (fallback_rate < TS_RATE_MIN_FALLBACK_RATE)
        fallback_rate = 0;
    holder->fallback_rate = MAX(fallback_rate, claim->fallback_rate);
    return fallback_rate;
}

static unsigned count_missing(const ts_rate_claim_t *claim)
{
    return claim->wanted > claim->in_hand ? claim->wanted - claim->in_hand : 0;
}

static unsigned tokens_to_grant(const ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    double tokens_max = MAX(GRANT_SHARE * account->tokens, 1);
    unsigned whole = account->tokens < 1 ? 0 : (unsigned)floor(MIN(tokens_max, account->tokens));
    return MIN(whole, count_missing(claim));
}

uint32_t ts_rate_spent_since(uint32_t previous, uint32_t current)
{
    return current >= previous ? current - previous : current; // else the process has restarted
}

bool ts_rate_account_is_duplicate(const ts_rate_account_t *account, const ts_rate_claim_t *claim)
{
    for (guint i = 0; i < account->holders->len; i++) {
        const holder_t *holder = &g_array_index(account->holders, holder_t, i);
        if (holder->node == claim->node)
            return holder->sequence == claim->sequence;
    }
    return false;
}

/*
 * Replaces the assumed spending of a holder by what it reports. An excess is refunded, as far as
 * the capacity allows and unless another home may have granted it.
 */
static void settle_spending(ts_rate_account_t *account, const ts_rate_params_t *params,
                            holder_t *holder, const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    double spent = ts_rate_spent_since(holder->spent_alone, claim->spent_alone);
    double fallback_rate = MAX(holder->fallback_rate, claim->fallback_rate);
    double owed =
        ts_rate_allowance_spend(&holder->allowance, params, fallback_rate, spent, now_us) -
        holder->assumed_spent;
    if (owed >= 0)
        account->tokens -= owed;
    else if (!claim->has_moved)
        account->tokens = MIN(account->tokens - owed, available_capacity(account, params));
}

/*
 * Adds tokens that a holder accumulated on its own. They belong to the bucket, but a new home does
 * not know of them: it starts with few tokens, and callers within the limit would have to wait for
 * the bucket to fill.
 */
static void add_saved(ts_rate_account_t *account, const ts_rate_params_t *params, double saved)
{
    if (saved > 0)
        account->tokens =
            MAX(account->tokens, MIN(account->tokens + saved, available_capacity(account, params)));
}

/* Updates a holder from its claim. */
static void update_holder(ts_rate_account_t *account, const ts_rate_params_t *params,
                          holder_t *holder, const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    settle_spending(account, params, holder, claim, now_us);
    holder->assumed_spent = 0;
    holder->sequence = claim->sequence;
    holder->spent_alone = claim->spent_alone;
    holder->in_hand = claim->in_hand;
    holder->is_local = claim->is_local;
    holder->address = claim->address;
    holder->request_rate = claim->request_rate;
    holder->foreign_rate = claim->is_alone ? 0 : claim->foreign_rate;
    holder->foreign_issuer = claim->foreign_issuer;
    holder->is_alone = claim->is_alone;
    holder->received_us = now_us;
    add_saved(account, params, claim->saved);
}

ts_rate_grant_t ts_rate_account_grant(ts_rate_account_t *account, const ts_rate_params_t *params,
                                      const ts_rate_claim_t *claim, ts_time_us_t now_us)
{
    ts_rate_grant_t grant = {.valid_us = VALID_US};
    refill(account, params, now_us);
    drop_expired_holders(account, now_us);
    holder_t *holder = ensure_holder(account, claim);
    update_holder(account, params, holder, claim, now_us);
    grant.fallback_rate = assign_fallback_rate(account, params, holder, claim);
    grant.tokens = tokens_to_grant(account, claim);
    account->tokens -= grant.tokens;
    holder->in_hand += grant.tokens;
    if (holder->in_hand > 0 || count_missing(claim) == 0) {
        holder->empty_us = 0;
        return grant;
    }
    unsigned queued_ahead = count_queued(account, holder, now_us);
    holder->empty_us = now_us;
    double missing = MAX(1 - account->tokens, 0) + queued_ahead;
    grant.wait_us = (ts_time_us_t)(missing / params->rate * TS_US_PER_S);
    return grant;
}
