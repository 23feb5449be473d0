/** Simulated fleet of rate limiters for tests. */
#include "rate_fleet.h"

#include <string.h>

#include "tealspar/hash.h"

// -- Callbacks of the limiter

static bool get_params(void *ctx, const char *account, ts_rate_params_t *params)
{
    const node_t *node = ctx;
    *params = node->fleet->params;
    return true;
}

static ts_rate_issuer_t identify_issuer(const node_t *node, unsigned index, const char **address)
{
    const node_t *found = &node->fleet->nodes[index];
    *address = found->address;
    return found == node ? TS_RATE_ISSUER_SELF : TS_RATE_ISSUER_PEER;
}

static unsigned zone_of(const fleet_t *fleet, unsigned index)
{
    if (fleet->zone_count != 0)
        return index % fleet->zone_count;
    return fleet->n < ZONES ? 0 : index % ZONES;
}

// -- Local views

/* Same as zone_of, except that without `zone_count` the nodes of a small fleet are in zones of
 * their own. */
static unsigned zone_in_view(const fleet_t *fleet, unsigned index)
{
    return index % (fleet->zone_count != 0 ? fleet->zone_count : ZONES);
}

static bool is_within(const period_t *period, ts_time_us_t now_us)
{
    return now_us >= period->start_us && now_us < period->end_us;
}

/*
 * The node with the highest id that `node` does not suspect, in a zone or in all (ZONES); n if
 * there is none. A node never suspects itself, so there is one in its own zone and in all zones.
 */
static unsigned find_highest_in_view(const node_t *node, unsigned zone)
{
    const fleet_t *fleet = node->fleet;
    const period_t *suspicions = fleet->suspicions + (size_t)(node - fleet->nodes) * fleet->n;
    unsigned best = fleet->n;
    for (unsigned i = 0; i < fleet->n; i++) {
        if (is_within(&suspicions[i], fleet->now_us) ||
            (zone != ZONES && zone_in_view(fleet, i) != zone))
            continue;
        if (best == fleet->n || fleet->nodes[i].id > fleet->nodes[best].id)
            best = i;
    }
    return best;
}

static bool sees_majority(const node_t *node)
{
    const fleet_t *fleet = node->fleet;
    const period_t *suspicions = fleet->suspicions + (size_t)(node - fleet->nodes) * fleet->n;
    unsigned members = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        members += !is_within(&suspicions[i], fleet->now_us) ||
                   fleet->now_us - suspicions[i].start_us < SUSPICION_TIMEOUT_US;
    return 2 * members > fleet->n;
}

/* Whether a node knows that it must not act as home. */
static bool is_out_of_contact(const node_t *node)
{
    return !sees_majority(node) || is_within(&node->out_of_contact, node->fleet->now_us);
}

static ts_rate_issuer_t find_home_in_view(const node_t *node, const char **address)
{
    const fleet_t *fleet = node->fleet;
    const node_t *home = &fleet->nodes[find_highest_in_view(node, ZONES)];
    if (!sees_majority(node) || (home == node && is_out_of_contact(node)))
        return TS_RATE_ISSUER_NONE;
    return identify_issuer(node, (unsigned)(home - fleet->nodes), address);
}

static ts_rate_issuer_t find_deputy_in_view(const node_t *node, const char **address)
{
    const fleet_t *fleet = node->fleet;
    unsigned zone = zone_in_view(fleet, (unsigned)(node - fleet->nodes));
    unsigned home = find_highest_in_view(node, ZONES);
    bool is_home_in_zone = zone_in_view(fleet, home) == zone && sees_majority(node);
    return identify_issuer(node, is_home_in_zone ? home : find_highest_in_view(node, zone),
                           address);
}

void enable_local_views(fleet_t *fleet)
{
    fleet->suspicions = g_new0(period_t, (size_t)fleet->n * fleet->n);
    fleet->changes = g_array_new(FALSE, FALSE, sizeof(view_change_t));
}

static void add_change(fleet_t *fleet, unsigned node, ts_time_us_t at_us, bool is_loss)
{
    view_change_t change = {at_us, node, is_loss};
    g_array_append_val(fleet->changes, change);
}

void add_suspicion(fleet_t *fleet, unsigned node, unsigned other, ts_time_us_t start_us,
                   ts_time_us_t end_us)
{
    fleet->suspicions[(size_t)node * fleet->n + other] = (period_t){start_us, end_us};
    add_change(fleet, node, start_us, true);
    add_change(fleet, node, start_us + SUSPICION_TIMEOUT_US, false);
    add_change(fleet, node, end_us, false);
}

void set_out_of_contact(fleet_t *fleet, unsigned node, ts_time_us_t from_us, ts_time_us_t until_us)
{
    fleet->nodes[node].out_of_contact = (period_t){from_us, until_us};
    add_change(fleet, node, from_us, false);
    add_change(fleet, node, until_us, false);
}

static gint compare_changes(gconstpointer left, gconstpointer right)
{
    const view_change_t *a = left;
    const view_change_t *b = right;
    return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

void sort_view_changes(fleet_t *fleet)
{
    g_array_sort(fleet->changes, compare_changes);
}

static void apply_view_changes(fleet_t *fleet)
{
    while (fleet->changes != NULL && fleet->changes_applied < fleet->changes->len) {
        const view_change_t *change =
            &g_array_index(fleet->changes, view_change_t, fleet->changes_applied);
        if (change->at_us > fleet->now_us)
            return;
        const node_t *node = &fleet->nodes[change->node];
        ts_rate_limiter_update_view(node->limiter, change->is_loss, fleet->now_us);
        fleet->changes_applied++;
    }
}

// -- Callbacks of the limiter, continued

static ts_rate_issuer_t find_home(void *ctx, const char *account, const char **address)
{
    const node_t *node = ctx;
    if (node->fleet->suspicions != NULL)
        return find_home_in_view(node, address);
    unsigned home = node->fleet->homes[node->detected_side];
    if (!node->has_discovered || home == node->fleet->n)
        return TS_RATE_ISSUER_NONE;
    return identify_issuer(node, home, address);
}

/* The home is also the deputy of its zone. */
static ts_rate_issuer_t find_deputy(void *ctx, const char *account, const char **address)
{
    const node_t *node = ctx;
    const fleet_t *fleet = node->fleet;
    if (fleet->suspicions != NULL)
        return find_deputy_in_view(node, address);
    unsigned own = (unsigned)(node - fleet->nodes);
    unsigned zone = zone_of(fleet, own);
    unsigned home = fleet->homes[node->detected_side];
    if (!node->has_discovered)
        return TS_RATE_ISSUER_SELF;
    bool is_home_in_zone = home < fleet->n && zone_of(fleet, home) == zone;
    return identify_issuer(
        node, is_home_in_zone ? home : fleet->deputies[node->detected_side][zone], address);
}

static unsigned count_nodes(void *ctx)
{
    return ((const node_t *)ctx)->fleet->n;
}

static void send_message(fleet_t *fleet, unsigned from, unsigned to, bool is_reply,
                         const ts_rate_message_t *content)
{
    bool is_cross_zone = zone_of(fleet, from) != zone_of(fleet, to);
    bool is_lost = fleet->nodes[from].is_mute || (is_reply && fleet->is_dropping_replies);
    if (is_lost || (unsigned)g_rand_int_range(fleet->random, 0, 100) < fleet->loss_percent)
        return;
    for (int i = 0; i <= (int)fleet->is_duplicating; i++) {
        message_t *message = g_new0(message_t, 1);
        ts_time_us_t at_us =
            fleet->now_us + (is_cross_zone ? CROSS_ZONE_DELAY_US : SAME_ZONE_DELAY_US);
        *message = (message_t){at_us, from, to, is_reply, *content};
        message->body.account = ACCOUNT;
        g_queue_push_tail(&fleet->messages[is_cross_zone], message);
    }
}

static void send_to_address(const node_t *node, const char *address, bool is_reply,
                            const ts_rate_message_t *content)
{
    unsigned from = (unsigned)(node - node->fleet->nodes);
    send_message(node->fleet, from, (unsigned)g_ascii_strtoull(address, NULL, 10), is_reply,
                 content);
}

static void send_claim(void *ctx, const char *address, const ts_rate_message_t *content)
{
    send_to_address(ctx, address, false, content);
}

static void send_reply(void *ctx, const char *address, const ts_rate_message_t *content)
{
    send_to_address(ctx, address, true, content);
}

static void on_grant(void *ctx, const char *account)
{
}

static void wake(void *ctx)
{
    ((node_t *)ctx)->ticked_us = 0;
}

static void on_limit_change(void *ctx, const char *account, const ts_rate_params_t *params,
                            bool is_exceeded)
{
}

static const ts_rate_limiter_ops_t ops = {get_params,  find_home,  find_deputy,
                                          count_nodes, send_claim, send_reply,
                                          wake,        on_grant,   on_limit_change};

// -- Fleet

void start_node(node_t *node)
{
    if (node->limiter != NULL)
        ts_rate_limiter_free(node->limiter);
    node->limiter = ts_rate_limiter_create(node->id, &ops, node, node->fleet->now_us);
    g_array_set_size(node->waiting_since, 0);
    node->is_down = false;
}

static bool has_majority(const fleet_t *fleet, unsigned side)
{
    unsigned live_count = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        live_count += fleet->nodes[i].detected_side == side && !fleet->nodes[i].is_detected_down;
    return 2 * live_count > fleet->n;
}

/* The live node with the highest id, in a zone or in all (ZONES); n if there is none. */
static unsigned find_highest_id(const fleet_t *fleet, unsigned side, unsigned zone)
{
    unsigned best = fleet->n;
    for (unsigned i = 0; i < fleet->n; i++) {
        const node_t *node = &fleet->nodes[i];
        bool is_candidate = node->detected_side == side && !node->is_detected_down &&
                            node->has_discovered && (zone == ZONES || zone_of(fleet, i) == zone);
        if (is_candidate && (best == fleet->n || node->id > fleet->nodes[best].id))
            best = i;
    }
    return best;
}

void apply_detected_state(fleet_t *fleet)
{
    unsigned live_count = 0;
    for (unsigned i = 0; i < fleet->n; i++)
        live_count += !fleet->nodes[i].is_detected_down && fleet->nodes[i].detected_side == 0;
    bool is_loss = live_count < fleet->live_count;
    fleet->live_count = live_count;
    for (unsigned side = 0; side < 2; side++) {
        unsigned best = find_highest_id(fleet, side, ZONES);
        fleet->homes[side] = has_majority(fleet, side) ? best : fleet->n;
        for (unsigned zone = 0; zone < ZONES; zone++)
            fleet->deputies[side][zone] = find_highest_id(fleet, side, zone);
    }
    for (unsigned i = 0; i < fleet->n; i++)
        ts_rate_limiter_update_view(fleet->nodes[i].limiter, is_loss, fleet->now_us);
}

void detect_changes(fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->n; i++) {
        node_t *node = &fleet->nodes[i];
        node->is_detected_down = node->is_down || node->is_frozen;
        node->detected_side = node->side;
        node->has_discovered = true;
    }
    apply_detected_state(fleet);
}

fleet_t *open_fleet(unsigned n, double rate, double burst)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    double limit = rate * (double)WINDOW_US / TS_US_PER_S + burst;
    fleet->now_us = START_US;
    fleet->n = n;
    fleet->nodes = g_new0(node_t, n);
    fleet->params = (ts_rate_params_t){rate, burst, limit, 0.25 * limit + 20};
    fleet->random = g_rand_new_with_seed(n);
    for (unsigned i = 0; i < n; i++) {
        node_t *node = &fleet->nodes[i];
        node->fleet = fleet;
        g_snprintf(node->address, sizeof(node->address), "%u", i);
        node->id = ts_hash_text(node->address);
        node->waiting_since = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
        node->has_discovered = true;
        start_node(node);
    }
    apply_detected_state(fleet);
    fleet->now_us += 10 * TS_US_PER_S; // buckets are full
    return fleet;
}

void close_fleet(fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->n; i++) {
        ts_rate_limiter_free(fleet->nodes[i].limiter);
        g_array_unref(fleet->nodes[i].waiting_since);
    }
    g_queue_clear_full(&fleet->messages[0], g_free);
    g_queue_clear_full(&fleet->messages[1], g_free);
    g_queue_clear_full(&fleet->buffered, g_free);
    g_rand_free(fleet->random);
    g_free(fleet->suspicions);
    if (fleet->changes != NULL)
        g_array_unref(fleet->changes);
    g_free(fleet->nodes);
    g_free(fleet);
}

static unsigned current_slot(const fleet_t *fleet)
{
    return (unsigned)(fleet->now_us * SLOTS_PER_WINDOW / WINDOW_US -
                      START_US * SLOTS_PER_WINDOW / WINDOW_US);
}

/* Returns whether the request was decided; if not, it keeps waiting for a token. */
static bool try_take(node_t *node, ts_time_us_t since_us)
{
    fleet_t *fleet = node->fleet;
    switch (ts_rate_limiter_take(node->limiter, ACCOUNT, fleet->now_us)) {
    case TS_RATE_TAKEN:
        node->taken++;
        fleet->spent[current_slot(fleet)]++;
        return true;
    case TS_RATE_EXCEEDED:
        node->refused++;
        return true;
    default:
        if (fleet->now_us - since_us < TOKEN_TIMEOUT_US)
            return false;
        node->timed_out++;
        return true;
    }
}

static void run_node(node_t *node)
{
    fleet_t *fleet = node->fleet;
    if (node->is_down || node->is_frozen)
        return;
    for (guint i = node->waiting_since->len; i > 0; i--) {
        if (try_take(node, g_array_index(node->waiting_since, ts_time_us_t, i - 1)))
            g_array_remove_index(node->waiting_since, i - 1);
    }
    double arrivals = node->load * (double)STEP_US / TS_US_PER_S;
    node->requests_due +=
        fleet->has_random_arrivals ? g_rand_double(fleet->random) < arrivals : arrivals;
    for (; node->requests_due >= 1; node->requests_due -= 1) {
        ts_rate_limiter_count_request(node->limiter, ACCOUNT, fleet->now_us);
        if (!try_take(node, fleet->now_us))
            g_array_append_val(node->waiting_since, fleet->now_us);
    }
    if (fleet->now_us - node->ticked_us < TICK_INTERVAL_US)
        return;
    node->ticked_us = fleet->now_us;
    ts_rate_limiter_tick(node->limiter, fleet->now_us);
}

/* Messages that the connections across a partition buffer while nobody reads from them. */
#define BUFFERED_MAX 640

static void deliver(fleet_t *fleet, const message_t *message)
{
    node_t *to = &fleet->nodes[message->to];
    const node_t *from = &fleet->nodes[message->from];
    bool is_cut = from->side != to->side;
    if (is_cut && fleet->is_buffering && fleet->buffered.length < BUFFERED_MAX)
        g_queue_push_tail(&fleet->buffered, g_memdup2(message, sizeof(*message)));
    if (to->is_down || to->is_frozen || is_cut)
        return;
    if (message->is_reply)
        ts_rate_limiter_receive_grant(to->limiter, &message->body, fleet->now_us);
    else
        (void)ts_rate_limiter_receive_claim(to->limiter, from->id, from->address, &message->body,
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

void deliver_buffered(fleet_t *fleet)
{
    message_t *message = NULL;
    while ((message = g_queue_pop_head(&fleet->buffered)) != NULL) {
        deliver(fleet, message);
        g_free(message);
    }
}

void run_fleet(fleet_t *fleet, double span_s)
{
    ts_time_us_t until_us = fleet->now_us + (ts_time_us_t)(span_s * TS_US_PER_S);
    for (; fleet->now_us < until_us; fleet->now_us += STEP_US) {
        apply_view_changes(fleet);
        deliver_due(fleet, &fleet->messages[0]);
        deliver_due(fleet, &fleet->messages[1]);
        for (unsigned i = 0; i < fleet->n; i++)
            run_node(&fleet->nodes[i]);
    }
}

void run_until_detected(fleet_t *fleet)
{
    run_fleet(fleet, (double)DETECTION_TIME_US / TS_US_PER_S);
    detect_changes(fleet);
}

void spread_load(fleet_t *fleet, unsigned nodes, unsigned each)
{
    for (unsigned i = 0; i < fleet->n; i++)
        fleet->nodes[i].load = 0;
    for (unsigned i = 0, loaded = 0; i < fleet->n && loaded < nodes; i++) {
        if (i == fleet->homes[0] && fleet->n > nodes)
            continue;
        fleet->nodes[i].load = each;
        // staggers the arrivals of different nodes
        fleet->nodes[i].requests_due = (double)loaded / nodes;
        loaded++;
    }
}

unsigned max_spent_in_window(const fleet_t *fleet)
{
    unsigned most = 0;
    for (unsigned i = 0; i + SLOTS_PER_WINDOW < G_N_ELEMENTS(fleet->spent); i++) {
        unsigned sum = 0;
        for (unsigned j = 0; j < SLOTS_PER_WINDOW; j++)
            sum += fleet->spent[i + j];
        most = MAX(most, sum);
    }
    return most;
}

void assert_within_bound(const fleet_t *fleet)
{
    unsigned most = max_spent_in_window(fleet);
    if (most > fleet->params.limit + fleet->params.tolerance)
        fail_msg("%u tokens spent in one window; limit %.0f, tolerance %.0f", most,
                 fleet->params.limit, fleet->params.tolerance);
}

outcomes_t take_outcomes(fleet_t *fleet)
{
    outcomes_t outcomes = {0};
    for (unsigned i = 0; i < fleet->n; i++) {
        node_t *node = &fleet->nodes[i];
        outcomes.taken += node->taken;
        outcomes.refused += node->refused;
        outcomes.timed_out += node->timed_out;
        node->taken = node->refused = node->timed_out = 0;
    }
    return outcomes;
}
