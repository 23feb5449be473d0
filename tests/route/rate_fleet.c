/** A small world of real limiters and messages between them, for tests. */
#include "rate_fleet.h"

#include <string.h>

#include "tealspar/hash.h"

// -- What the limiter is given

static bool terms_of(void *ctx, const char *account, ts_rate_params_t *terms)
{
    const node_t *node = ctx;
    *terms = node->fleet->terms;
    return true;
}

static ts_rate_issuer_t dealer(const node_t *node, unsigned index, const char **address)
{
    const node_t *found = &node->fleet->nodes[index];
    *address = found->address;
    return found == node ? TS_RATE_ISSUER_SELF : TS_RATE_ISSUER_PEER;
}

// -- Beliefs of each node

static bool is_in(const belief_t *belief, ts_time_us_t now_us)
{
    return now_us >= belief->gone_us && now_us < belief->back_us;
}

/* The highest that the node takes for live, of a zone or of all (ZONES). */
static unsigned find_believed(const node_t *node, unsigned zone)
{
    const fleet_t *fleet = node->fleet;
    const belief_t *row = fleet->beliefs + (size_t)(node - fleet->nodes) * fleet->n;
    unsigned best = fleet->n;
    for (unsigned i = 0; i < fleet->n; i++) {
        if (is_in(&row[i], fleet->now_us) || (zone != ZONES && i % ZONES != zone))
            continue;
        if (best == fleet->n || fleet->nodes[i].id > fleet->nodes[best].id)
            best = i;
    }
    return best;
}

static bool believes_majority(const node_t *node)
{
    const fleet_t *fleet = node->fleet;
    const belief_t *row = fleet->beliefs + (size_t)(node - fleet->nodes) * fleet->n;
    unsigned seen = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        seen += !is_in(&row[i], fleet->now_us) || fleet->now_us - row[i].gone_us < DEAD_US;
    return 2 * seen > fleet->n;
}

/* Whether a node can't be home of anything by what it knows. */
static bool is_out(const node_t *node)
{
    return !believes_majority(node) || is_in(&node->out, node->fleet->now_us);
}

static ts_rate_issuer_t believed_home(const node_t *node, const char **address)
{
    const fleet_t *fleet = node->fleet;
    const node_t *home = &fleet->nodes[find_believed(node, ZONES)];
    if (!believes_majority(node) || (home == node && is_out(node)))
        return TS_RATE_ISSUER_NONE;
    return dealer(node, (unsigned)(home - fleet->nodes), address);
}

static ts_rate_issuer_t believed_deputy(const node_t *node, const char **address)
{
    const fleet_t *fleet = node->fleet;
    unsigned zone = (unsigned)(node - fleet->nodes) % ZONES;
    unsigned home = find_believed(node, ZONES);
    bool is_near = home % ZONES == zone && believes_majority(node);
    return dealer(node, is_near ? home : find_believed(node, zone), address);
}

void begin_beliefs(fleet_t *fleet)
{
    fleet->beliefs = g_new0(belief_t, (size_t)fleet->n * fleet->n);
    fleet->changes = g_array_new(FALSE, FALSE, sizeof(view_change_t));
}

static void add_change(fleet_t *fleet, unsigned node, ts_time_us_t at_us, bool has_lost)
{
    view_change_t change = {at_us, node, has_lost};
    g_array_append_val(fleet->changes, change);
}

void believe_gone(fleet_t *fleet, unsigned node, unsigned other, ts_time_us_t gone_us,
                  ts_time_us_t back_us)
{
    fleet->beliefs[(size_t)node * fleet->n + other] = (belief_t){gone_us, back_us};
    add_change(fleet, node, gone_us, true);
    add_change(fleet, node, gone_us + DEAD_US, false);
    add_change(fleet, node, back_us, false);
}

void believe_out(fleet_t *fleet, unsigned node, ts_time_us_t from_us, ts_time_us_t until_us)
{
    fleet->nodes[node].out = (belief_t){from_us, until_us};
    add_change(fleet, node, from_us, false);
    add_change(fleet, node, until_us, false);
}

static gint compare_changes(gconstpointer left, gconstpointer right)
{
    const view_change_t *a = left;
    const view_change_t *b = right;
    return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

void sort_changes(fleet_t *fleet)
{
    g_array_sort(fleet->changes, compare_changes);
}

static void change_views(fleet_t *fleet)
{
    while (fleet->changes != NULL && fleet->changes_done < fleet->changes->len) {
        const view_change_t *change =
            &g_array_index(fleet->changes, view_change_t, fleet->changes_done);
        if (change->at_us > fleet->now_us)
            return;
        const node_t *node = &fleet->nodes[change->node];
        ts_rate_limiter_update_view(node->limiter, change->has_lost, fleet->now_us);
        fleet->changes_done++;
    }
}

// -- What the limiter is given

static ts_rate_issuer_t home_of(void *ctx, const char *account, const char **address)
{
    const node_t *node = ctx;
    if (node->fleet->beliefs != NULL)
        return believed_home(node, address);
    unsigned home = node->fleet->homes[node->noticed_side];
    if (!node->is_known || home == node->fleet->n)
        return TS_RATE_ISSUER_NONE;
    return dealer(node, home, address);
}

static unsigned zone_of(const fleet_t *fleet, unsigned index)
{
    return fleet->n < ZONES ? 0 : index % ZONES;
}

/* The home of an account is its zone's deputy too. */
static ts_rate_issuer_t deputy_of(void *ctx, const char *account, const char **address)
{
    const node_t *node = ctx;
    const fleet_t *fleet = node->fleet;
    if (fleet->beliefs != NULL)
        return believed_deputy(node, address);
    unsigned own = (unsigned)(node - fleet->nodes);
    unsigned zone = zone_of(fleet, own);
    unsigned home = fleet->homes[node->noticed_side];
    if (!node->is_known)
        return TS_RATE_ISSUER_SELF;
    bool is_near = home < fleet->n && zone_of(fleet, home) == zone;
    return dealer(node, is_near ? home : fleet->deputies[node->noticed_side][zone], address);
}

static unsigned count_nodes(void *ctx)
{
    return ((const node_t *)ctx)->fleet->n;
}

static void post(fleet_t *fleet, unsigned from, unsigned to, bool is_deal,
                 const ts_rate_message_t *row)
{
    bool is_far = zone_of(fleet, from) != zone_of(fleet, to);
    bool is_lost = is_deal && fleet->loses_deals;
    if (is_lost || (unsigned)g_rand_int_range(fleet->random, 0, 100) < fleet->loss_percent)
        return;
    for (int i = 0; i <= (int)fleet->is_doubling; i++) {
        message_t *message = g_new0(message_t, 1);
        ts_time_us_t at_us = fleet->now_us + (is_far ? FAR_US : NEAR_US);
        *message = (message_t){at_us, from, to, is_deal, *row};
        message->row.account = ACCOUNT;
        g_queue_push_tail(&fleet->messages[is_far], message);
    }
}

static void send_row(const node_t *node, const char *address, bool is_deal,
                     const ts_rate_message_t *row)
{
    unsigned from = (unsigned)(node - node->fleet->nodes);
    post(node->fleet, from, (unsigned)g_ascii_strtoull(address, NULL, 10), is_deal, row);
}

static void ask(void *ctx, const char *address, const ts_rate_message_t *row)
{
    send_row(ctx, address, false, row);
}

static void answer(void *ctx, const char *address, const ts_rate_message_t *row)
{
    send_row(ctx, address, true, row);
}

static void dealt(void *ctx, const char *account)
{
}

static void wake(void *ctx)
{
    ((node_t *)ctx)->turned_us = 0;
}

static void changed(void *ctx, const char *account, const ts_rate_params_t *terms, bool is_over)
{
}

static const ts_rate_limiter_ops_t ops = {terms_of, home_of, deputy_of, count_nodes, ask,
                                          answer,   wake,    dealt,     changed};

// -- The world

void start_node(node_t *node)
{
    if (node->limiter != NULL)
        ts_rate_limiter_free(node->limiter);
    node->limiter = ts_rate_limiter_create(node->id, &ops, node, node->fleet->now_us);
    g_array_set_size(node->waiting, 0);
    node->is_down = false;
}

static bool is_majority(const fleet_t *fleet, unsigned side)
{
    unsigned live = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        live += fleet->nodes[i].noticed_side == side && !fleet->nodes[i].is_noticed_down;
    return 2 * live > fleet->n;
}

/* The live node of the highest id, of a zone or of all (ZONES); n if there is none. */
static unsigned find_highest(const fleet_t *fleet, unsigned side, unsigned zone)
{
    unsigned best = fleet->n;
    for (unsigned i = 0; i < fleet->n; i++) {
        const node_t *node = &fleet->nodes[i];
        bool may = node->noticed_side == side && !node->is_noticed_down && node->is_known &&
                   (zone == ZONES || zone_of(fleet, i) == zone);
        if (may && (best == fleet->n || node->id > fleet->nodes[best].id))
            best = i;
    }
    return best;
}

/* What was noticed is believed by all from now on: homes move. */
void settle(fleet_t *fleet)
{
    unsigned live = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        live += !fleet->nodes[i].is_noticed_down && fleet->nodes[i].noticed_side == 0;
    bool has_lost = live < fleet->live;
    fleet->live = live;
    for (unsigned side = 0; side < 2; side++) {
        unsigned best = find_highest(fleet, side, ZONES);
        fleet->homes[side] = is_majority(fleet, side) ? best : fleet->n;
        for (unsigned zone = 0; zone < ZONES; zone++)
            fleet->deputies[side][zone] = find_highest(fleet, side, zone);
    }
    for (unsigned i = 0; i < fleet->n; i++)
        ts_rate_limiter_update_view(fleet->nodes[i].limiter, has_lost, fleet->now_us);
}

void notice(fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->n; i++) {
        node_t *node = &fleet->nodes[i];
        node->is_noticed_down = node->is_down || node->is_frozen;
        node->noticed_side = node->side;
        node->is_known = true;
    }
    settle(fleet);
}

fleet_t *open_fleet(unsigned n, double rate, double burst)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    double limit = rate * (double)WINDOW_US / TS_US_PER_S + burst;
    fleet->now_us = 100 * TS_US_PER_S;
    fleet->n = n;
    fleet->nodes = g_new0(node_t, n);
    fleet->terms = (ts_rate_params_t){rate, burst, limit, 0.25 * limit + 20};
    fleet->random = g_rand_new_with_seed(n);
    for (unsigned i = 0; i < n; i++) {
        node_t *node = &fleet->nodes[i];
        node->fleet = fleet;
        g_snprintf(node->address, sizeof(node->address), "%u", i);
        node->id = ts_hash_text(node->address);
        node->waiting = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
        node->is_known = true;
        start_node(node);
    }
    settle(fleet);
    fleet->now_us += 10 * TS_US_PER_S; // buckets are full
    return fleet;
}

void close_fleet(fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->n; i++) {
        ts_rate_limiter_free(fleet->nodes[i].limiter);
        g_array_unref(fleet->nodes[i].waiting);
    }
    g_queue_clear_full(&fleet->messages[0], g_free);
    g_queue_clear_full(&fleet->messages[1], g_free);
    g_queue_clear_full(&fleet->held, g_free);
    g_rand_free(fleet->random);
    g_free(fleet->beliefs);
    if (fleet->changes != NULL)
        g_array_unref(fleet->changes);
    g_free(fleet->nodes);
    g_free(fleet);
}

static unsigned slot_of(const fleet_t *fleet)
{
    return (unsigned)(fleet->now_us * SLOTS / WINDOW_US - 100 * TS_US_PER_S * SLOTS / WINDOW_US);
}

/* Whether the request is decided. */
static bool try_take(node_t *node, ts_time_us_t since_us)
{
    fleet_t *fleet = node->fleet;
    switch (ts_rate_limiter_take(node->limiter, ACCOUNT, fleet->now_us)) {
    case TS_RATE_TAKEN:
        node->taken++;
        fleet->spent[slot_of(fleet)]++;
        return true;
    case TS_RATE_EXCEEDED:
        node->refused++;
        return true;
    default:
        if (fleet->now_us - since_us < WAIT_US)
            return false;
        node->unknown++;
        return true;
    }
}

static void run_node(node_t *node)
{
    fleet_t *fleet = node->fleet;
    if (node->is_down || node->is_frozen)
        return;
    for (guint i = node->waiting->len; i > 0; i--) {
        if (try_take(node, g_array_index(node->waiting, ts_time_us_t, i - 1)))
            g_array_remove_index(node->waiting, i - 1);
    }
    double come = node->load * (double)STEP_US / TS_US_PER_S;
    node->due += fleet->is_random ? g_rand_double(fleet->random) < come : come;
    for (; node->due >= 1; node->due -= 1) {
        ts_rate_limiter_count_request(node->limiter, ACCOUNT, fleet->now_us);
        if (!try_take(node, fleet->now_us))
            g_array_append_val(node->waiting, fleet->now_us);
    }
    if (fleet->now_us - node->turned_us < TURN_US)
        return;
    node->turned_us = fleet->now_us;
    ts_rate_limiter_tick(node->limiter, fleet->now_us);
}

/* A connection takes so many messages while nobody reads them. */
#define HELD_MAX 640

static void deliver(fleet_t *fleet, const message_t *message)
{
    node_t *to = &fleet->nodes[message->to];
    const node_t *from = &fleet->nodes[message->from];
    bool is_cut = from->side != to->side;
    if (is_cut && fleet->holds_messages && fleet->held.length < HELD_MAX)
        g_queue_push_tail(&fleet->held, g_memdup2(message, sizeof(*message)));
    if (to->is_down || to->is_frozen || is_cut)
        return;
    if (message->is_deal)
        ts_rate_limiter_receive_grant(to->limiter, &message->row, fleet->now_us);
    else
        (void)ts_rate_limiter_receive_claim(to->limiter, from->id, from->address, &message->row,
                                            fleet->now_us);
}

static void deliver_due(fleet_t *fleet, GQueue *messages)
{
    message_t *message = NULL;
    while ((message = g_queue_peek_head(messages)) != NULL && message->at_us <= fleet->now_us) {
        g_queue_pop_head(messages);
        deliver(fleet, message);
        g_free(message);
    }
}

void release_messages(fleet_t *fleet)
{
    message_t *message = NULL;
    while ((message = g_queue_pop_head(&fleet->held)) != NULL) {
        deliver(fleet, message);
        g_free(message);
    }
}

void run(fleet_t *fleet, double span_s)
{
    ts_time_us_t until_us = fleet->now_us + (ts_time_us_t)(span_s * TS_US_PER_S);
    for (; fleet->now_us < until_us; fleet->now_us += STEP_US) {
        change_views(fleet);
        deliver_due(fleet, &fleet->messages[0]);
        deliver_due(fleet, &fleet->messages[1]);
        for (unsigned i = 0; i < fleet->n; i++)
            run_node(&fleet->nodes[i]);
    }
}

/* Something has just happened; it is noticed a little later. */
void run_until_noticed(fleet_t *fleet)
{
    run(fleet, (double)NOTICED_US / TS_US_PER_S);
    notice(fleet);
}

/* The load of an account, spread evenly over the first `nodes` that are not home. */
void load_nodes(fleet_t *fleet, unsigned nodes, unsigned each)
{
    for (unsigned i = 0; i < fleet->n; i++)
        fleet->nodes[i].load = 0;
    for (unsigned i = 0, loaded = 0; i < fleet->n && loaded < nodes; i++) {
        if (i == fleet->homes[0] && fleet->n > nodes)
            continue;
        fleet->nodes[i].load = each;
        fleet->nodes[i].due = (double)loaded / nodes; // not all at once
        loaded++;
    }
}

unsigned most_in_a_window(const fleet_t *fleet)
{
    unsigned most = 0;
    for (unsigned i = 0; i + SLOTS < G_N_ELEMENTS(fleet->spent); i++) {
        unsigned sum = 0;
        for (unsigned j = 0; j < SLOTS; j++)
            sum += fleet->spent[i + j];
        most = MAX(most, sum);
    }
    return most;
}

void assert_within_bound(const fleet_t *fleet)
{
    unsigned most = most_in_a_window(fleet);
    if (most > fleet->terms.limit + fleet->terms.tolerance)
        fail_msg("%u in a window of %.0f and %.0f", most, fleet->terms.limit,
                 fleet->terms.tolerance);
}

totals_t take_totals(fleet_t *fleet)
{
    totals_t totals = {0};
    for (unsigned i = 0; i < fleet->n; i++) {
        node_t *node = &fleet->nodes[i];
        totals.taken += node->taken;
        totals.refused += node->refused;
        totals.unknown += node->unknown;
        node->taken = node->refused = node->unknown = 0;
    }
    return totals;
}
