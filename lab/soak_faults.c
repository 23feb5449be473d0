/** The soak's faults: effects and random schedule. */
#include "soak.h"

#include <signal.h>
#include <string.h>

#define GAP_MIN_MS 150
#define GAP_MAX_MS 1500
#define DURATION_MIN_MS 200
#define DURATION_MAX_MS 4000
#define DOWNTIME_MIN_MS 100
#define DOWNTIME_MAX_MS 1500
#define DELAY_MAX_MS 400
#define SKEW_MAX_MS 20000
// Maximum number of gateways that faults of single gateways keep down, paused or stopping at once.
#define UNAVAILABLE_NODES_MAX 2
#define STOP_CHECK_MS 100
// Gateways apply an evacuation within 3 s, so it must last longer to be checked.
#define EVACUATION_EXTRA_MS 4000
// A fatal request must be sent for longer than the gateways need to exchange their knowledge about
// it.
#define FATAL_REQUEST_EXTRA_MS 8000

typedef struct fault fault_t;

typedef struct fault_kind {
    const char *name;
    unsigned weight;
    bool (*begin)(fault_t *fault); // false: no suitable target at present
    void (*end)(fault_t *fault);   // NULL: the fault has no duration
    unsigned extra_ms;             // added to its random duration
} fault_kind_t;

struct fault {
    soak_t *s;
    const fault_kind_t *kind;
    soak_node_t *node;
    soak_searcher_t *searcher;
    soak_link_t *link;
    uv_timer_t timer;
};

static gint32 random_between(soak_t *s, gint32 begin, gint32 end)
{
    return g_rand_int_range(s->random, begin, end);
}

// -- Gateways

static unsigned count_unavailable_nodes(const soak_t *s)
{
    unsigned n = 0;
    for (unsigned i = 0; i < s->options.nodes; i++) {
        const soak_node_t *node = &s->nodes[i];
        n += !node->is_running || node->is_paused || node->is_stopping;
    }
    return n;
}

static bool choose_node(fault_t *fault)
{
    soak_t *s = fault->s;
    soak_node_t *node = &s->nodes[random_between(s, 0, (gint32)s->options.nodes)];
    bool is_available = node->is_running && !node->is_paused && !node->is_stopping;
    if (!is_available || count_unavailable_nodes(s) >= UNAVAILABLE_NODES_MAX)
        return false;
    fault->node = node;
    return true;
}

static bool pause_node(fault_t *fault)
{
    if (!choose_node(fault))
        return false;
    fault->node->is_paused = true;
    soak_node_count_fault(fault->node, 1);
    soak_node_signal(fault->node, SIGSTOP);
    return true;
}

static void resume_node(fault_t *fault)
{
    soak_node_signal(fault->node, SIGCONT);
    fault->node->is_paused = false;
    soak_node_count_fault(fault->node, -1);
}

static bool kill_node(fault_t *fault)
{
    if (!choose_node(fault))
        return false;
    soak_node_count_fault(fault->node, 1);
    soak_node_signal(fault->node, SIGKILL);
    return true;
}

static void restart_node(fault_t *fault)
{
    soak_node_start(fault->node);
    soak_node_count_fault(fault->node, -1);
}

static bool skew_clock(fault_t *fault)
{
    if (fault->s->options.skewed_program == NULL || !kill_node(fault))
        return false;
    fault->node->clock_skew_ms = random_between(fault->s, -SKEW_MAX_MS, SKEW_MAX_MS);
    return true;
}

static bool kill_all(fault_t *fault)
{
    soak_t *s = fault->s;
    if (count_unavailable_nodes(s) > 0)
        return false;
    for (unsigned i = 0; i < s->options.nodes; i++) {
        soak_node_count_fault(&s->nodes[i], 1);
        soak_node_signal(&s->nodes[i], SIGKILL);
    }
    return true;
}

static void restart_all(fault_t *fault)
{
    soak_t *s = fault->s;
    for (unsigned i = 0; i < s->options.nodes; i++) {
        soak_node_start(&s->nodes[i]);
        soak_node_count_fault(&s->nodes[i], -1);
    }
}

// A planned stop does not count as a fault: requests in progress at the gateway must be answered.
static bool stop_node(fault_t *fault)
{
    if (!choose_node(fault))
        return false;
    soak_node_signal(fault->node, SIGTERM);
    return true;
}

static void restart_when_stopped(fault_t *fault);

static void check_stopped(uv_timer_t *timer)
{
    restart_when_stopped(timer->data);
}

static void free_fault(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void restart_when_stopped(fault_t *fault)
{
    if (fault->node->is_running) {
        uv_timer_start(&fault->timer, check_stopped, STOP_CHECK_MS, 0);
        return;
    }
    soak_node_start(fault->node);
    uv_close((uv_handle_t *)&fault->timer, free_fault);
}

static bool send_sighup(fault_t *fault)
{
    if (!choose_node(fault))
        return false;
    soak_node_signal(fault->node, SIGHUP);
    return true;
}

// -- Links

static bool disturb_link(fault_t *fault, soak_link_t *link)
{
    static const lab_link_mode_t modes[] = {LAB_LINK_PASS, LAB_LINK_SILENT, LAB_LINK_RESET,
                                            LAB_LINK_HALF_OPEN, LAB_LINK_HOLD_REPLIES};
    static const char *const names[] = {"delay", "silent", "reset", "half open", "deaf"};
    gint32 mode = random_between(fault->s, 0, G_N_ELEMENTS(modes));
    if (link->mode != LAB_LINK_PASS || link->delay_ms > 0)
        return false;
    fault->link = link;
    soak_log(fault->s, "link %s: %s", link->address, names[mode]);
    soak_set_link_mode(link, modes[mode],
                       mode == 0 ? random_between(fault->s, 5, DELAY_MAX_MS) : 0);
    return true;
}

static void restore_link(fault_t *fault)
{
    soak_set_link_mode(fault->link, LAB_LINK_PASS, 0);
    soak_log(fault->s, "link %s: well", fault->link->address);
}

static bool disturb_node_link(fault_t *fault)
{
    soak_t *s = fault->s;
    soak_node_t *node = &s->nodes[random_between(s, 0, (gint32)s->options.nodes)];
    if (!disturb_link(fault, random_between(s, 0, 2) == 0 ? &node->store_link : &node->peers_link))
        return false;
    fault->node = node;
    soak_node_count_fault(node, 1);
    return true;
}

static void restore_node_link(fault_t *fault)
{
    restore_link(fault);
    soak_node_count_fault(fault->node, -1);
}

static soak_searcher_t *choose_searcher(soak_t *s)
{
    unsigned service = (unsigned)random_between(s, 0, SOAK_SERVICES);
    return s->searchers[service][random_between(s, 0, SOAK_REPLICAS)];
}

static bool disturb_searcher_link(fault_t *fault)
{
    return disturb_link(fault, &choose_searcher(fault->s)->link);
}

/*
 * Open connections drop all traffic from now on, new ones work: those of one gateway to the store
 * and from its peers, or those to one searcher.
 */
static bool blackhole_connections(fault_t *fault)
{
    soak_t *s = fault->s;
    soak_node_t *node = &s->nodes[random_between(s, 0, (gint32)s->options.nodes)];
    if (random_between(s, 0, 2) == 0) {
        soak_searcher_t *searcher = choose_searcher(s);
        lab_link_blackhole(searcher->link.link);
        soak_log(s, "connections to %s go silent", searcher->fake->id);
        return true;
    }
    lab_link_blackhole(node->store_link.link);
    lab_link_blackhole(node->peers_link.link);
    for (unsigned i = 0; i < s->options.nodes; i++)
        soak_node_count_fault(&s->nodes[i], 0); // messages from its peers are lost
    soak_log(s, "connections of %s go silent", node->name);
    return true;
}

// -- Searchers

static bool misbehave(fault_t *fault)
{
    static const lab_searcher_behaviour_t behaviours[] = {
        LAB_SHEDS,         LAB_FAILS,           LAB_HANGS,
        LAB_TRUNCATES,     LAB_CLOSE_DELIMITED, LAB_CLOSE_DELIMITED_RESET,
        LAB_ANSWERS_TWICE, LAB_WRONG_ID,        LAB_UNSIGNED,
        LAB_ENCODED,       LAB_MALFORMED,       LAB_CLOSES_AFTER};
    soak_searcher_t *searcher = choose_searcher(fault->s);
    if (searcher->has_fault)
        return false;
    searcher->has_fault = true;
    searcher->fake->behaviour = behaviours[random_between(fault->s, 0, G_N_ELEMENTS(behaviours))];
    soak_log(fault->s, "%s behaves by %d", searcher->fake->id, searcher->fake->behaviour);
    fault->searcher = searcher;
    return true;
}

static bool slow_down(fault_t *fault)
{
    soak_searcher_t *searcher = choose_searcher(fault->s);
    if (searcher->has_fault)
        return false;
    searcher->has_fault = true;
    searcher->fake->delay_ms = (unsigned)random_between(fault->s, 30, DELAY_MAX_MS);
    searcher->fake->idle_reset_ms = random_between(fault->s, 0, 2) == 0 ? 200 : 0;
    searcher->fake->connections_max = random_between(fault->s, 0, 2) == 0 ? 4 : 0;
    soak_log(fault->s, "%s takes %u ms", searcher->fake->id, searcher->fake->delay_ms);
    fault->searcher = searcher;
    return true;
}

static void restore_searcher(fault_t *fault)
{
    lab_searcher_t *fake = fault->searcher->fake;
    fake->behaviour = LAB_ANSWERS;
    fake->delay_ms = 5;
    fake->idle_reset_ms = 0;
    fake->connections_max = 0;
    fault->searcher->has_fault = false;
    soak_log(fault->s, "%s is well", fake->id);
}

static bool crash_searcher(fault_t *fault)
{
    lab_searcher_t *fake = choose_searcher(fault->s)->fake;
    if (fake->has_crashed)
        return false;
    lab_searcher_crash(fake, NULL);
    return true;
}

static bool write_foreign_entry(fault_t *fault)
{
    soak_write_foreign_entry(fault->s);
    return true;
}

static bool begin_fatal_request(fault_t *fault)
{
    return soak_begin_fatal_request(fault->s);
}

static void end_fatal_request(fault_t *fault)
{
    soak_end_fatal_request(fault->s);
}

static bool replace_searcher(fault_t *fault)
{
    soak_t *s = fault->s;
    soak_replace_searcher(s, (unsigned)random_between(s, 0, SOAK_SERVICES),
                          (unsigned)random_between(s, 0, SOAK_REPLICAS));
    return true;
}

// -- Store and configuration

void soak_count_store_fault(soak_t *s, int faults)
{
    s->store_faults = (unsigned)((int)s->store_faults + faults);
    s->store_fault_changed_us = ts_clock_now_us();
}

static bool disturb_store(fault_t *fault)
{
    static const lab_store_mode_t modes[] = {LAB_STORE_UNAVAILABLE, LAB_STORE_THROTTLED,
                                             LAB_STORE_SILENT};
    gint32 mode = random_between(fault->s, 0, G_N_ELEMENTS(modes));
    if (fault->s->store_faults > 0)
        return false;
    soak_count_store_fault(fault->s, 1);
    lab_store_set_mode(fault->s->store, modes[mode]);
    soak_log(fault->s, "store: mode %d", modes[mode]);
    return true;
}

static void restore_store_mode(fault_t *fault)
{
    lab_store_set_mode(fault->s->store, LAB_STORE_NORMAL);
    soak_count_store_fault(fault->s, -1);
    soak_log(fault->s, "store: well");
}

static bool prepare_restore(fault_t *fault)
{
    return soak_prepare_restore(fault->s);
}

static void restore_after_outage(fault_t *fault)
{
    soak_restore_after_outage(fault->s);
}

static bool drop_history(fault_t *fault)
{
    lab_store_drop_history(fault->s->store);
    fault->s->store_fault_changed_us = ts_clock_now_us();
    soak_log(fault->s, "store: history forgotten");
    return true;
}

static bool publish_configuration(fault_t *fault)
{
    soak_publish_configuration(fault->s);
    return true;
}

static bool evacuate(fault_t *fault)
{
    if (fault->s->evacuated_zone != 0)
        return false;
    soak_evacuate(fault->s, (unsigned)random_between(fault->s, 1, 3));
    return true;
}

static void end_evacuation(fault_t *fault)
{
    soak_end_evacuation(fault->s);
}

// -- Schedule

static const fault_kind_t kinds[] = {
    {"pause", 4, pause_node, resume_node, 0},
    {"kill", 3, kill_node, restart_node, 0},
    {"clock", 2, skew_clock, restart_node, 0},
    {"kill all", 1, kill_all, restart_all, 0},
    {"stop", 3, stop_node, restart_when_stopped, 0},
    {"hang up", 2, send_sighup, NULL, 0},
    {"node's link", 5, disturb_node_link, restore_node_link, 0},
    {"silent connections", 4, blackhole_connections, NULL, 0},
    {"searcher's link", 6, disturb_searcher_link, restore_link, 0},
    {"misbehaviour", 8, misbehave, restore_searcher, 0},
    {"slowness", 5, slow_down, restore_searcher, 0},
    {"replacement", 4, replace_searcher, NULL, 0},
    {"crash", 4, crash_searcher, NULL, 0},
    {"foreign entry", 3, write_foreign_entry, NULL, 0},
    {"fatal request", 3, begin_fatal_request, end_fatal_request, FATAL_REQUEST_EXTRA_MS},
    {"store", 2, disturb_store, restore_store_mode, 0},
    {"older copy", 2, prepare_restore, restore_after_outage, 0},
    {"history", 1, drop_history, NULL, 0},
    {"configuration", 5, publish_configuration, NULL, 0},
    {"evacuation", 2, evacuate, end_evacuation, EVACUATION_EXTRA_MS},
};

static const fault_kind_t *draw_kind(soak_t *s)
{
    unsigned total = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
        total += kinds[i].weight;
    unsigned drawn = (unsigned)random_between(s, 0, (gint32)total);
    size_t i = 0;
    for (; drawn >= kinds[i].weight; i++)
        drawn -= kinds[i].weight;
    return &kinds[i];
}

static void end_fault(uv_timer_t *timer)
{
    fault_t *fault = timer->data;
    fault->kind->end(fault);
    if (fault->kind->end != restart_when_stopped)
        uv_close((uv_handle_t *)timer, free_fault);
}

static bool ends_downtime(const fault_kind_t *kind)
{
    return kind->end == restart_node || kind->end == restart_all ||
           kind->end == restart_when_stopped;
}

static void begin_fault(soak_t *s)
{
    fault_t *fault = g_new0(fault_t, 1);
    fault->s = s;
    fault->kind = draw_kind(s);
    if (!fault->kind->begin(fault)) {
        g_free(fault);
        return;
    }
    s->faults_begun++;
    if (fault->kind->end == NULL) {
        g_free(fault);
        return;
    }
    uint64_t duration_ms = (uint64_t)(ends_downtime(fault->kind)
                                          ? random_between(s, DOWNTIME_MIN_MS, DOWNTIME_MAX_MS)
                                          : random_between(s, DURATION_MIN_MS, DURATION_MAX_MS));
    duration_ms += fault->kind->extra_ms;
    uv_timer_init(&s->loop, &fault->timer);
    fault->timer.data = fault;
    uv_timer_start(&fault->timer, end_fault, duration_ms, 0);
}

static void begin_next_fault(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    if (s->is_load_ended)
        return;
    begin_fault(s);
    uv_timer_start(timer, begin_next_fault, (uint64_t)random_between(s, GAP_MIN_MS, GAP_MAX_MS), 0);
}

void soak_faults_start(soak_t *s)
{
    static uv_timer_t timer;
    uv_timer_init(&s->loop, &timer);
    timer.data = s;
    uv_timer_start(&timer, begin_next_fault, GAP_MAX_MS, 0);
    soak_watch_store_calls(s);
}
