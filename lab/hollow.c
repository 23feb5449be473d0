/** Hollow fleets: simulated network, nodes and virtual clock. */
#include "hollow.h"

#include <glib.h>
#include <string.h>

#define SLOT_COUNT 8192U /* slots of 1 ms; longer delays are clamped */
#define TICK_MS (TS_MEMBERSHIP_TICK_US / TS_US_PER_MS)
#define PERCENT 100.0
#define FETCH_MS 20 /* simulated time to fetch and validate an announced configuration */

typedef struct hollow_node {
    lab_hollow_t *fleet;
    unsigned index;
    unsigned zone;
    char *name;
    char *address;
    char *zone_name;
    ts_membership_t *membership;
    bool is_running;
    uint64_t incarnation;
    uint64_t paused_until_ms;
    uint64_t version;
    uint64_t announced_version;
    uint64_t fetch_done_ms;
    unsigned tick_offset;
    uint64_t sent_bytes;
} hollow_node_t;

/* A gossip message in transit. */
typedef struct transit_message {
    unsigned from;
    unsigned to;
    uint8_t *bytes;
    size_t length;
} transit_message_t;

struct lab_hollow {
    lab_hollow_config_t config;
    hollow_node_t *nodes;
    GHashTable *index_by_name;    /* name or address -> index + 1 */
    GPtrArray *slots[SLOT_COUNT]; /* of transit_message_t, by arrival time in ms */
    bool *is_zone_partitioned;
    GRand *random;
    uint64_t now_ms;
    lab_hollow_report_t report;
    uint64_t report_since_ms;
};

static ts_time_us_t now_us(const lab_hollow_t *fleet)
{
    return (fleet->now_ms + 1000) * TS_US_PER_MS;
}

static void free_message(gpointer pointer)
{
    transit_message_t *message = pointer;
    g_free(message->bytes);
    g_free(message);
}

/* ---- membership callbacks ---- */

static bool are_partitioned(const lab_hollow_t *fleet, unsigned from, unsigned to)
{
    unsigned from_zone = fleet->nodes[from].zone;
    unsigned to_zone = fleet->nodes[to].zone;
    return from_zone != to_zone &&
           (fleet->is_zone_partitioned[from_zone] || fleet->is_zone_partitioned[to_zone]);
}

static void enqueue_message(lab_hollow_t *fleet, transit_message_t *message, unsigned delay_ms)
{
    unsigned slot = (unsigned)((fleet->now_ms + MIN(delay_ms, SLOT_COUNT - 1)) % SLOT_COUNT);
    if (fleet->slots[slot] == NULL) {
        fleet->slots[slot] = g_ptr_array_new_with_free_func(free_message);
    }
    g_ptr_array_add(fleet->slots[slot], message);
}

static void send_message(void *context, const char *name, const char *address, const uint8_t *bytes,
                         size_t length)
{
    hollow_node_t *node = context;
    lab_hollow_t *fleet = node->fleet;
    unsigned to = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->index_by_name, name));
    if (to == 0) {
        return;
    }
    to--;
    fleet->report.messages++;
    fleet->report.bytes += length + LAB_MESSAGE_OVERHEAD_BYTES;
    if (fleet->nodes[to].zone != node->zone)
        fleet->report.cross_zone_bytes += length + LAB_MESSAGE_OVERHEAD_BYTES;
    node->sent_bytes += length + LAB_MESSAGE_OVERHEAD_BYTES;
    fleet->report.max_node_bytes = MAX(fleet->report.max_node_bytes, node->sent_bytes);
    bool is_dropped = g_rand_double(fleet->random) * PERCENT < fleet->config.drop_percent;
    if (is_dropped || are_partitioned(fleet, node->index, to)) {
        return;
    }
    transit_message_t *message = g_new0(transit_message_t, 1);
    message->from = node->index;
    message->to = to;
    message->bytes = g_memdup2(bytes, length);
    message->length = length;
    unsigned hops = fleet->nodes[to].zone == node->zone ? 1 : 2;
    unsigned max_ms = MAX(1U, fleet->config.delay_ms) * hops;
    enqueue_message(fleet, message, 1 + (unsigned)g_rand_int_range(fleet->random, 0, (int)max_ms));
}

static void handle_config_announcement(void *context, const char *name, const char *address,
                                       uint64_t version, uint64_t digest)
{
    hollow_node_t *node = context;
    if (version > node->version && version > node->announced_version) {
        node->announced_version = version;
        node->fetch_done_ms = node->fleet->now_ms + FETCH_MS;
    }
}

static void ignore_view_change(void *context)
{
}

static void count_false_death(void *context, const char *name, ts_member_state_t old,
                              ts_member_state_t state)
{
    hollow_node_t *node = context;
    lab_hollow_t *fleet = node->fleet;
    unsigned index = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->index_by_name, name));
    if (state == TS_MEMBER_DEAD && index != 0 && fleet->nodes[index - 1].is_running &&
        !are_partitioned(fleet, node->index, index - 1)) {
        fleet->report.false_deaths++;
    }
}

/* ---- nodes ---- */

static void set_machines(lab_hollow_t *fleet, hollow_node_t *node)
{
    unsigned seeds = fleet->config.seeds;
    ts_membership_begin_machines(node->membership);
    for (unsigned i = 0; i < (seeds > 0 ? seeds : fleet->config.nodes); i++) {
        const hollow_node_t *other = &fleet->nodes[i];
        if (seeds == 0)
            ts_membership_add_machine(node->membership, other->name, other->address,
                                      other->zone_name);
        else if (other != node)
            ts_membership_add_machine(node->membership, other->address, other->address, "");
    }
    ts_membership_end_machines(node->membership);
}

static void start_node(lab_hollow_t *fleet, hollow_node_t *node)
{
    static const ts_membership_ops_t ops = {send_message, handle_config_announcement,
                                            ignore_view_change, count_false_death};
    node->incarnation = fleet->now_ms + 1;
    node->is_running = true;
    node->version = 0;
    node->announced_version = 0;
    ts_membership_config_t config = {
        .name = node->name,
        .address = node->address,
        .zone = node->zone_name,
        .incarnation = node->incarnation,
        .seed = fleet->config.seed * 7919 + node->index + node->incarnation,
    };
    node->membership = ts_membership_create(&config, &ops, node, now_us(fleet));
    set_machines(fleet, node);
}

lab_hollow_t *lab_hollow_create(const lab_hollow_config_t *config)
{
    lab_hollow_t *fleet = g_new0(lab_hollow_t, 1);
    fleet->config = *config;
    fleet->nodes = g_new0(hollow_node_t, config->nodes);
    fleet->is_zone_partitioned = g_new0(bool, config->zones);
    fleet->index_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->random = g_rand_new_with_seed((guint32)config->seed);
    for (unsigned i = 0; i < config->nodes; i++) {
        hollow_node_t *node = &fleet->nodes[i];
        node->fleet = fleet;
        node->index = i;
        node->zone = i % config->zones;
        node->name = g_strdup_printf("node-%04u", i);
        node->address = g_strdup_printf("10.%u.%u.%u:20201", node->zone, i / 250, i % 250 + 1);
        node->zone_name = g_strdup_printf("zone-%u", node->zone);
        node->tick_offset = (unsigned)g_rand_int_range(fleet->random, 0, (int)TICK_MS);
        g_hash_table_insert(fleet->index_by_name, node->name, GUINT_TO_POINTER(i + 1));
        g_hash_table_insert(fleet->index_by_name, node->address, GUINT_TO_POINTER(i + 1));
    }
    for (unsigned i = 0; i < config->nodes; i++) {
        start_node(fleet, &fleet->nodes[i]);
    }
    return fleet;
}

void lab_hollow_destroy(lab_hollow_t *fleet)
{
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        hollow_node_t *node = &fleet->nodes[i];
        if (node->is_running) {
            ts_membership_destroy(node->membership);
        }
        g_free(node->name);
        g_free(node->address);
        g_free(node->zone_name);
    }
    for (unsigned i = 0; i < SLOT_COUNT; i++) {
        if (fleet->slots[i] != NULL) {
            g_ptr_array_free(fleet->slots[i], TRUE);
        }
    }
    g_hash_table_destroy(fleet->index_by_name);
    g_rand_free(fleet->random);
    g_free(fleet->is_zone_partitioned);
    g_free(fleet->nodes);
    g_free(fleet);
}

void lab_hollow_kill(lab_hollow_t *fleet, unsigned index)
{
    hollow_node_t *node = &fleet->nodes[index];
    if (node->is_running) {
        node->is_running = false;
        ts_membership_destroy(node->membership);
        node->membership = NULL;
    }
}

void lab_hollow_start(lab_hollow_t *fleet, unsigned index)
{
    if (!fleet->nodes[index].is_running) {
        start_node(fleet, &fleet->nodes[index]);
    }
}

void lab_hollow_pause(lab_hollow_t *fleet, unsigned index, unsigned ms)
{
    fleet->nodes[index].paused_until_ms = fleet->now_ms + ms;
}

void lab_hollow_partition_zone(lab_hollow_t *fleet, unsigned zone, bool is_partitioned)
{
    fleet->is_zone_partitioned[zone] = is_partitioned;
}

void lab_hollow_set_config_version(lab_hollow_t *fleet, unsigned index, uint64_t version)
{
    fleet->nodes[index].version = version;
    ts_membership_set_config(fleet->nodes[index].membership, version, version);
}

/* ---- time ---- */

static void deliver_message(lab_hollow_t *fleet, transit_message_t *message)
{
    hollow_node_t *to = &fleet->nodes[message->to];
    const hollow_node_t *from = &fleet->nodes[message->from];
    if (!to->is_running || are_partitioned(fleet, message->from, message->to)) {
        free_message(message);
        return;
    }
    if (to->paused_until_ms > fleet->now_ms) {
        enqueue_message(fleet, message, (unsigned)(to->paused_until_ms - fleet->now_ms) + 1);
        return;
    }
    ts_membership_receive(to->membership, from->name, from->address, message->bytes,
                          message->length, now_us(fleet));
    free_message(message);
}

static void deliver_due(lab_hollow_t *fleet)
{
    unsigned slot = (unsigned)(fleet->now_ms % SLOT_COUNT);
    GPtrArray *due = fleet->slots[slot];
    if (due == NULL) {
        return;
    }
    fleet->slots[slot] = NULL;
    g_ptr_array_set_free_func(due, NULL);
    for (guint i = 0; i < due->len; i++) {
        deliver_message(fleet, g_ptr_array_index(due, i));
    }
    g_ptr_array_free(due, TRUE);
}

static void tick_node(lab_hollow_t *fleet, hollow_node_t *node)
{
    bool is_paused = node->paused_until_ms > fleet->now_ms;
    if (!node->is_running || is_paused) {
        return;
    }
    if (node->announced_version > node->version && node->fetch_done_ms <= fleet->now_ms) {
        lab_hollow_set_config_version(fleet, node->index, node->announced_version);
    }
    if (fleet->now_ms % TICK_MS == node->tick_offset) {
        ts_membership_tick(node->membership, now_us(fleet));
    }
}

void lab_hollow_advance(lab_hollow_t *fleet, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        fleet->now_ms++;
        deliver_due(fleet);
        for (unsigned n = 0; n < fleet->config.nodes; n++) {
            tick_node(fleet, &fleet->nodes[n]);
        }
    }
}

/* ---- inspection ---- */

unsigned lab_hollow_count_running(const lab_hollow_t *fleet)
{
    unsigned running = 0;
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        running += fleet->nodes[i].is_running;
    }
    return running;
}

ts_view_t *lab_hollow_view(const lab_hollow_t *fleet, unsigned node)
{
    return ts_membership_view(fleet->nodes[node].membership);
}

static ts_member_state_t state_in_view(const ts_view_t *view, const char *name)
{
    for (size_t i = 0; i < view->count; i++) {
        if (strcmp(view->members[i].name, name) == 0) {
            return view->members[i].state;
        }
    }
    return TS_MEMBER_DEAD;
}

unsigned lab_hollow_count_seeing(const lab_hollow_t *fleet, unsigned node, ts_member_state_t state)
{
    unsigned seeing = 0;
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        if (i == node || !fleet->nodes[i].is_running) {
            continue;
        }
        ts_view_t *view = lab_hollow_view(fleet, i);
        seeing += state_in_view(view, fleet->nodes[node].name) == state;
        ts_view_unref(view);
    }
    return seeing;
}

bool lab_hollow_is_converged(const lab_hollow_t *fleet)
{
    unsigned running = lab_hollow_count_running(fleet);
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        const hollow_node_t *node = &fleet->nodes[i];
        if (node->is_running && (ts_membership_count(node->membership, TS_MEMBER_LIVE) != running ||
                                 ts_membership_count(node->membership, TS_MEMBER_SUSPECT) != 0)) {
            return false;
        }
    }
    return true;
}

unsigned lab_hollow_count_configured(const lab_hollow_t *fleet, uint64_t version)
{
    unsigned count = 0;
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        count += fleet->nodes[i].is_running && fleet->nodes[i].version >= version;
    }
    return count;
}

lab_hollow_report_t lab_hollow_report(const lab_hollow_t *fleet)
{
    lab_hollow_report_t report = fleet->report;
    report.seconds = (double)(fleet->now_ms - fleet->report_since_ms) / 1000.0;
    return report;
}

void lab_hollow_reset_report(lab_hollow_t *fleet)
{
    memset(&fleet->report, 0, sizeof(fleet->report));
    for (unsigned i = 0; i < fleet->config.nodes; i++)
        fleet->nodes[i].sent_bytes = 0;
    fleet->report_since_ms = fleet->now_ms;
}
