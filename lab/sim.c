/** Simulator: event queue, virtual clock, nodes and faults. */
#include "sim_internal.h"

#include <string.h>

#include "tealspar/hash.h"
#include "tealspar/log.h"

/* The virtual clock starts above 0, since a time of 0 means "unset"; the wall clock in 2026. */
#define START_US (1000ULL * TS_US_PER_S)
#define WALL_START_MS 1790000000000LL
#define QUERIES_MAX 100000U
#define DRAIN_MS 10000U
#define WORK_DURATION_US 1000ULL
#define SHUTDOWN_POLL_US (10ULL * TS_US_PER_MS)
#define RANDOM_SCALE 18446744073709551616.0

static lab_sim_t *current; /* read by the clock functions, which have no context argument */

static ts_time_us_t virtual_now_us(void)
{
    return current->now_us;
}

static int64_t virtual_wall_ms(void)
{
    return WALL_START_MS + (int64_t)(current->now_us / TS_US_PER_MS);
}

/* ---- event heap ---- */

static bool is_earlier(const lab_sim_event_t *left, const lab_sim_event_t *right)
{
    return left->due_us != right->due_us ? left->due_us < right->due_us
                                         : left->sequence < right->sequence;
}

static void push_event(lab_sim_t *sim, lab_sim_event_t *event)
{
    g_ptr_array_add(sim->heap, event);
    gpointer *items = sim->heap->pdata;
    guint at = sim->heap->len - 1;
    while (at > 0 && is_earlier(items[at], items[(at - 1) / 2])) {
        gpointer swapped = items[at];
        items[at] = items[(at - 1) / 2];
        items[(at - 1) / 2] = swapped;
        at = (at - 1) / 2;
    }
}

static lab_sim_event_t *pop_event(lab_sim_t *sim)
{
    gpointer *items = sim->heap->pdata;
    lab_sim_event_t *first = items[0];
    guint count = sim->heap->len - 1;
    items[0] = items[count];
    g_ptr_array_set_size(sim->heap, (gint)count);
    guint at = 0;
    for (;;) {
        guint earliest = at;
        for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < count; child++) {
            if (is_earlier(items[child], items[earliest])) {
                earliest = child;
            }
        }
        if (earliest == at) {
            return first;
        }
        gpointer swapped = items[at];
        items[at] = items[earliest];
        items[earliest] = swapped;
        at = earliest;
    }
}

lab_sim_event_t *lab_sim_schedule(lab_sim_t *sim, int node, ts_time_us_t after_us,
                                  void (*fire)(void *context), void (*drop)(void *context),
                                  void *context)
{
    lab_sim_event_t *event = g_new0(lab_sim_event_t, 1);
    event->due_us = sim->now_us + after_us;
    event->sequence = sim->sequence++;
    event->node = node;
    event->generation = node == LAB_SIM_NO_NODE ? 0 : sim->nodes[node].generation;
    event->fire = fire;
    event->drop = drop;
    event->context = context;
    push_event(sim, event);
    return event;
}

static void drop_event(lab_sim_event_t *event)
{
    if (!event->is_cancelled && event->drop != NULL) {
        event->drop(event->context);
    }
    g_free(event);
}

static void fire_event(lab_sim_t *sim, lab_sim_event_t *event)
{
    if (event->node != LAB_SIM_NO_NODE && !event->is_cancelled) {
        lab_sim_node_t *node = &sim->nodes[event->node];
        if (node->generation != event->generation) {
            drop_event(event);
            return;
        }
        if (node->paused_until_us > sim->now_us) {
            event->due_us = node->paused_until_us;
            push_event(sim, event);
            return;
        }
    }
    if (!event->is_cancelled) {
        sim->steps++;
        event->fire(event->context);
    }
    g_free(event);
}

void lab_sim_advance(lab_sim_t *sim, ts_time_us_t span_us)
{
    ts_time_us_t until_us = sim->now_us + span_us;
    while (sim->heap->len > 0) {
        const lab_sim_event_t *next = g_ptr_array_index(sim->heap, 0);
        if (next->due_us > until_us) {
            break;
        }
        sim->now_us = MAX(sim->now_us, next->due_us);
        fire_event(sim, pop_event(sim));
    }
    sim->now_us = until_us;
}

void lab_sim_call_at(lab_sim_t *sim, ts_time_us_t at_us, void (*fire)(void *context), void *context)
{
    ts_time_us_t after_us = at_us > sim->now_us ? at_us - sim->now_us : 0;
    lab_sim_schedule(sim, LAB_SIM_NO_NODE, after_us, fire, NULL, context);
}

ts_time_us_t lab_sim_now_us(const lab_sim_t *sim)
{
    return sim->now_us;
}

uint64_t lab_sim_steps(const lab_sim_t *sim)
{
    return sim->steps;
}

uint64_t lab_sim_random(lab_sim_t *sim)
{
    sim->random ^= sim->random >> 12;
    sim->random ^= sim->random << 25;
    sim->random ^= sim->random >> 27;
    return sim->random * 2685821657736338717ULL;
}

double lab_sim_uniform(lab_sim_t *sim)
{
    return (double)lab_sim_random(sim) / RANDOM_SCALE;
}

/* ---- runtime operations of a node ---- */

static void fire_timer(void *context)
{
    ts_timer_t *timer = context;
    lab_sim_node_t *node = (lab_sim_node_t *)timer->runtime;
    g_hash_table_remove(node->timers, timer);
    if (timer->repeat_ms > 0) {
        lab_sim_event_t *event = lab_sim_schedule(
            node->sim, (int)node->index, timer->repeat_ms * TS_US_PER_MS, fire_timer, NULL, timer);
        g_hash_table_insert(node->timers, timer, event);
    } else {
        timer->is_active = false;
    }
    timer->fired(timer);
}

static void cancel_timer(ts_timer_t *timer)
{
    lab_sim_node_t *node = (lab_sim_node_t *)timer->runtime;
    lab_sim_event_t *event = g_hash_table_lookup(node->timers, timer);
    if (event != NULL) {
        event->is_cancelled = true;
        g_hash_table_remove(node->timers, timer);
    }
}

static void init_timer(ts_timer_t *timer)
{
}

static void start_timer(ts_timer_t *timer, uint64_t after_ms)
{
    lab_sim_node_t *node = (lab_sim_node_t *)timer->runtime;
    cancel_timer(timer);
    lab_sim_event_t *event = lab_sim_schedule(node->sim, (int)node->index, after_ms * TS_US_PER_MS,
                                              fire_timer, NULL, timer);
    g_hash_table_insert(node->timers, timer, event);
}

static void handle_timer_closed(void *context)
{
    ts_timer_t *timer = context;
    if (timer->closed != NULL) {
        timer->closed(timer);
    }
}

static void close_timer(ts_timer_t *timer)
{
    lab_sim_node_t *node = (lab_sim_node_t *)timer->runtime;
    cancel_timer(timer);
    /* not bound to the node, so that the timer is freed even if the node ends first */
    lab_sim_schedule(node->sim, LAB_SIM_NO_NODE, 0, handle_timer_closed, handle_timer_closed,
                     timer);
}

/* Runs the work at once; its completion follows after a fixed virtual time. */
static void run_work(ts_runtime_t *runtime, void (*run)(void *context), void (*done)(void *context),
                     void (*drop)(void *context), void *context)
{
    lab_sim_node_t *node = (lab_sim_node_t *)runtime;
    run(context);
    lab_sim_schedule(node->sim, (int)node->index, WORK_DURATION_US, done, drop, context);
}

static void run_tasks(void *context)
{
    lab_sim_node_t *node = context;
    node->is_drain_scheduled = false;
    while (ts_tasks_drain(node->node.tasks)) {
    }
}

static void wake_node(ts_runtime_t *runtime)
{
    lab_sim_node_t *node = (lab_sim_node_t *)runtime;
    if (!node->is_drain_scheduled) {
        node->is_drain_scheduled = true;
        lab_sim_schedule(node->sim, (int)node->index, 0, run_tasks, NULL, node);
    }
}

/* ---- nodes ---- */

lab_sim_node_t *lab_sim_node_of(const ts_node_t *node)
{
    return node->environment;
}

lab_sim_node_t *lab_sim_find_node(lab_sim_t *sim, uint64_t id)
{
    for (unsigned i = 0; i < sim->node_count; i++) {
        if (ts_hash_text(sim->nodes[i].settings.name) == id) {
            return &sim->nodes[i];
        }
    }
    return NULL;
}

bool lab_sim_is_connected(const lab_sim_t *sim, const lab_sim_node_t *from,
                          const lab_sim_node_t *to)
{
    bool is_zone_partitioned = from->zone != to->zone && (sim->is_zone_partitioned[from->zone] ||
                                                          sim->is_zone_partitioned[to->zone]);
    return !is_zone_partitioned && !from->is_isolated && !to->is_isolated;
}

static void start_node(lab_sim_t *sim, lab_sim_node_t *node)
{
    static const ts_runtime_ops_t ops = {init_timer,  start_timer, cancel_timer,
                                         close_timer, run_work,    wake_node};
    node->runtime.ops = &ops;
    node->is_running = true;
    node->is_drain_scheduled = false;
    node->paused_until_us = 0;
    memset(&node->node, 0, sizeof(node->node));
    ts_node_init(&node->node, &node->runtime, &node->settings, (uint64_t)virtual_wall_ms());
    node->node.environment = node;
    node->node.searcher_client = "simulated";
    node->node.platform = "simulated";
    ts_node_start(&node->node);
}

static void end_node(lab_sim_t *sim, lab_sim_node_t *node)
{
    if (!node->is_running) {
        return;
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    node->is_running = false;
    ts_node_close(&node->node);
    lab_sim_mesh_clear(node);
    g_hash_table_iter_init(&iterator, node->timers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((lab_sim_event_t *)value)->is_cancelled = true;
    }
    g_hash_table_remove_all(node->timers);
    node->generation++;
    lab_sim_notify_disconnect(sim, node);
}

void lab_sim_kill(lab_sim_t *sim, unsigned index)
{
    end_node(sim, &sim->nodes[index]);
}

void lab_sim_start(lab_sim_t *sim, unsigned index)
{
    if (!sim->nodes[index].is_running) {
        start_node(sim, &sim->nodes[index]);
    }
}

static void poll_shutdown(void *context)
{
    lab_sim_node_t *node = context;
    if (ts_node_is_idle(&node->node)) {
        end_node(node->sim, node);
        return;
    }
    lab_sim_schedule(node->sim, (int)node->index, SHUTDOWN_POLL_US, poll_shutdown, NULL, node);
}

void lab_sim_stop(lab_sim_t *sim, unsigned index)
{
    lab_sim_node_t *node = &sim->nodes[index];
    if (node->is_running && !node->node.stopping) {
        ts_node_begin_shutdown(&node->node);
        lab_sim_schedule(sim, (int)index, SHUTDOWN_POLL_US, poll_shutdown, NULL, node);
    }
}

void lab_sim_pause(lab_sim_t *sim, unsigned index, ts_time_us_t span_us)
{
    sim->nodes[index].paused_until_us = sim->now_us + span_us;
}

void lab_sim_partition_zone(lab_sim_t *sim, unsigned zone, bool is_partitioned)
{
    sim->is_zone_partitioned[zone] = is_partitioned;
}

void lab_sim_isolate(lab_sim_t *sim, unsigned node, bool is_isolated)
{
    sim->nodes[node].is_isolated = is_isolated;
}

bool lab_sim_is_running(const lab_sim_t *sim, unsigned node)
{
    return sim->nodes[node].is_running;
}

ts_front_t *lab_sim_front(lab_sim_t *sim, unsigned index)
{
    lab_sim_node_t *node = &sim->nodes[index];
    bool is_available = node->is_running && node->paused_until_us <= sim->now_us;
    return is_available ? ts_node_state(&node->node, "front") : NULL;
}

void lab_sim_set_platform(lab_sim_t *sim, const char *text)
{
    g_free(sim->platform_text);
    sim->platform_text = g_strdup(text);
}

void lab_sim_totals(const lab_sim_t *sim, double *work_us, uint64_t *requests)
{
    *work_us = sim->work_us;
    *requests = sim->requests;
}

void lab_sim_reset_totals(lab_sim_t *sim)
{
    sim->work_us = 0;
    sim->requests = 0;
}

/* ---- creation and destruction ---- */

static void prepare_node(lab_sim_t *sim, lab_sim_node_t *node, unsigned index, unsigned zone,
                         unsigned number)
{
    node->sim = sim;
    node->index = index;
    node->zone = zone;
    node->timers = g_hash_table_new(g_direct_hash, g_direct_equal);
    node->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    node->settings.name = g_strdup_printf("%s-%u", sim->declarations->zones[zone].name, number);
    node->settings.cluster = "simulated";
    node->settings.zone = sim->declarations->zones[zone].name;
    node->settings.peers = g_strdup_printf("10.0.%u.%u:20201", zone, number + 1);
    node->settings.advertise = node->settings.peers;
    node->settings.policy = (char *)sim->config.policy;
    node->settings.queries_max = QUERIES_MAX;
    node->settings.drain_ms = DRAIN_MS;
}

static void prepare_searchers(lab_sim_t *sim)
{
    sim->searchers = g_new0(lab_sim_searcher_t, sim->declarations->backends_count);
    for (unsigned i = 0; i < sim->declarations->backends_count; i++) {
        sim->searchers[i].sim = sim;
        sim->searchers[i].backend = &sim->declarations->backends[i];
        sim->searchers[i].slow_factor = 1;
        sim->searchers[i].snapshot = 1;
        sim->searchers[i].waiting = g_queue_new();
    }
}

lab_sim_t *lab_sim_create(const lab_sim_config_t *config, const lab_sim_observer_t *observer)
{
    ts_problems_t problems;
    lab_sim_t *sim = g_new0(lab_sim_t, 1);
    sim->config = *config;
    sim->observer = *observer;
    sim->now_us = START_US;
    sim->random = ts_hash_mix(config->seed, 1) | 1U;
    sim->heap = g_ptr_array_new();
    current = sim;
    ts_clock_set_source(virtual_now_us, virtual_wall_ms);
    ts_log_open("simulated", TS_LOG_TEXT, 0);
    ts_problems_init(&problems);
    sim->declarations =
        ts_declarations_load(config->declarations, strlen(config->declarations), &problems);
    ts_problems_clear(&problems);
    g_assert(sim->declarations != NULL);
    lab_sim_set_platform(sim, config->declarations);
    prepare_searchers(sim);
    unsigned zones = sim->declarations->zones_count;
    sim->is_zone_partitioned = g_new0(bool, zones);
    sim->node_count = zones * config->nodes_per_zone;
    sim->nodes = g_new0(lab_sim_node_t, sim->node_count);
    for (unsigned i = 0; i < sim->node_count; i++) {
        prepare_node(sim, &sim->nodes[i], i, i % zones, i / zones);
    }
    for (unsigned i = 0; i < sim->node_count; i++) {
        start_node(sim, &sim->nodes[i]);
    }
    return sim;
}

void lab_sim_destroy(lab_sim_t *sim)
{
    for (unsigned i = 0; i < sim->node_count; i++) {
        end_node(sim, &sim->nodes[i]);
    }
    while (sim->heap->len > 0) {
        drop_event(pop_event(sim));
    }
    for (unsigned i = 0; i < sim->node_count; i++) {
        g_hash_table_destroy(sim->nodes[i].timers);
        g_hash_table_destroy(sim->nodes[i].pending);
        g_free(sim->nodes[i].settings.name);
        g_free(sim->nodes[i].settings.peers);
    }
    for (unsigned i = 0; i < sim->declarations->backends_count; i++) {
        g_queue_free(sim->searchers[i].waiting);
    }
    g_free(sim->searchers);
    g_free(sim->nodes);
    g_free(sim->is_zone_partitioned);
    g_free(sim->platform_text);
    g_ptr_array_free(sim->heap, TRUE);
    ts_declarations_unref(sim->declarations);
    ts_clock_set_source(NULL, NULL);
    g_free(sim);
}
