/** Hollow fleets. */
#include "hollow.h"

#include <glib.h>
#include <string.h>

#define SLOTS 8192U /* milliseconds that a message may be on its way, at most */
#define TICK_MS (TS_MEMBERSHIP_TICK_US / TS_US_PER_MS)
#define PERCENT 100.0
#define FETCH_MS 20 /* a configuration heard of is fetched and checked in this time */

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
    uint64_t wanted_version;
    uint64_t fetched_at_ms;
    unsigned tick_offset;
    uint64_t sent_bytes;
} hollow_node_t;

/* A gossip on its way. */
typedef struct letter {
    unsigned from;
    unsigned to;
    uint8_t *bytes;
    size_t length;
} letter_t;

struct lab_hollow {
    lab_hollow_config_t config;
    hollow_node_t *nodes;
    GHashTable *index_by_name; /* name or address -> index + 1 */
    GPtrArray *slots[SLOTS];   /* of letter_t, by the millisecond they arrive */
    bool *is_zone_cut;
    GRand *random;
    uint64_t now_ms;
    lab_hollow_report_t report;
    uint64_t report_since_ms;
};

static ts_time_us_t now_us(const lab_hollow_t *fleet)
{
    return (fleet->now_ms + 1000) * TS_US_PER_MS;
}

static void free_letter(gpointer pointer)
{
    letter_t *letter = pointer;
    g_free(letter->bytes);
    g_free(letter);
}

/* ---- what membership asks of its surroundings ---- */

static bool is_cut(const lab_hollow_t *fleet, unsigned from, unsigned to)
{
    unsigned from_zone = fleet->nodes[from].zone;
    unsigned to_zone = fleet->nodes[to].zone;
    return from_zone != to_zone && (fleet->is_zone_cut[from_zone] || fleet->is_zone_cut[to_zone]);
}

static void post_letter(lab_hollow_t *fleet, letter_t *letter, unsigned delay_ms)
{
    unsigned slot = (unsigned)((fleet->now_ms + MIN(delay_ms, SLOTS - 1)) % SLOTS);
    if (fleet->slots[slot] == NULL) {
        fleet->slots[slot] = g_ptr_array_new_with_free_func(free_letter);
    }
    g_ptr_array_add(fleet->slots[slot], letter);
}

static void send_letter(void *context, const char *name, const char *address, const uint8_t *bytes,
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
        fleet->report.zone_bytes += length + LAB_MESSAGE_OVERHEAD_BYTES;
    node->sent_bytes += length + LAB_MESSAGE_OVERHEAD_BYTES;
    fleet->report.busiest = MAX(fleet->report.busiest, node->sent_bytes);
    bool is_dropped = g_rand_double(fleet->random) * PERCENT < fleet->config.drop_percent;
    if (is_dropped || is_cut(fleet, node->index, to)) {
        return;
    }
    letter_t *letter = g_new0(letter_t, 1);
    letter->from = node->index;
    letter->to = to;
    letter->bytes = g_memdup2(bytes, length);
    letter->length = length;
    unsigned hops = fleet->nodes[to].zone == node->zone ? 1 : 2;
    unsigned most_ms = MAX(1U, fleet->config.delay_ms) * hops;
    post_letter(fleet, letter, 1 + (unsigned)g_rand_int_range(fleet->random, 0, (int)most_ms));
}

static void hear_config(void *context, const char *name, const char *address, uint64_t version,
                        uint64_t digest)
{
    hollow_node_t *node = context;
    if (version > node->version && version > node->wanted_version) {
        node->wanted_version = version;
        node->fetched_at_ms = node->fleet->now_ms + FETCH_MS;
    }
}

static void ignore_change(void *context)
{
}

static void note_member(void *context, const char *name, ts_member_state_t old,
                        ts_member_state_t state)
{
    hollow_node_t *node = context;
    lab_hollow_t *fleet = node->fleet;
    unsigned index = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->index_by_name, name));
    if (state == TS_MEMBER_DEAD && index != 0 && fleet->nodes[index - 1].is_running &&
        !is_cut(fleet, node->index, index - 1)) {
        fleet->report.false_deaths++;
    }
}

/* ---- nodes ---- */

static void tell_machines(lab_hollow_t *fleet, hollow_node_t *node)
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
    static const ts_membership_ops_t ops = {send_letter, hear_config, ignore_change, note_member};
    node->incarnation = fleet->now_ms + 1;
    node->is_running = true;
    node->version = 0;
    node->wanted_version = 0;
    ts_membership_config_t config = {
        .name = node->name,
        .address = node->address,
        .zone = node->zone_name,
        .incarnation = node->incarnation,
        .seed = fleet->config.seed * 7919 + node->index + node->incarnation,
    };
    node->membership = ts_membership_create(&config, &ops, node, now_us(fleet));
    tell_machines(fleet, node);
}

lab_hollow_t *lab_hollow_create(const lab_hollow_config_t *config)
{
    lab_hollow_t *fleet = g_new0(lab_hollow_t, 1);
    fleet->config = *config;
    fleet->nodes = g_new0(hollow_node_t, config->nodes);
    fleet->is_zone_cut = g_new0(bool, config->zones);
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
    for (unsigned i = 0; i < SLOTS; i++) {
        if (fleet->slots[i] != NULL) {
            g_ptr_array_free(fleet->slots[i], TRUE);
        }
    }
    g_hash_table_destroy(fleet->index_by_name);
    g_rand_free(fleet->random);
    g_free(fleet->is_zone_cut);
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

void lab_hollow_cut(lab_hollow_t *fleet, unsigned zone, bool is_cut_now)
{
    fleet->is_zone_cut[zone] = is_cut_now;
}

void lab_hollow_configure(lab_hollow_t *fleet, unsigned index, uint64_t version)
{
    fleet->nodes[index].version = version;
    ts_membership_set_config(fleet->nodes[index].membership, version, version);
}

/* ---- time ---- */

static void deliver_letter(lab_hollow_t *fleet, letter_t *letter)
{
    hollow_node_t *to = &fleet->nodes[letter->to];
    const hollow_node_t *from = &fleet->nodes[letter->from];
    if (!to->is_running || is_cut(fleet, letter->from, letter->to)) {
        free_letter(letter);
        return;
    }
    if (to->paused_until_ms > fleet->now_ms) {
        post_letter(fleet, letter, (unsigned)(to->paused_until_ms - fleet->now_ms) + 1);
        return;
    }
    ts_membership_receive(to->membership, from->name, from->address, letter->bytes, letter->length,
                          now_us(fleet));
    free_letter(letter);
}

static void deliver_due(lab_hollow_t *fleet)
{
    unsigned slot = (unsigned)(fleet->now_ms % SLOTS);
    GPtrArray *due = fleet->slots[slot];
    if (due == NULL) {
        return;
    }
    fleet->slots[slot] = NULL;
    g_ptr_array_set_free_func(due, NULL);
    for (guint i = 0; i < due->len; i++) {
        deliver_letter(fleet, g_ptr_array_index(due, i));
    }
    g_ptr_array_free(due, TRUE);
}

static void tick_node(lab_hollow_t *fleet, hollow_node_t *node)
{
    bool is_paused = node->paused_until_ms > fleet->now_ms;
    if (!node->is_running || is_paused) {
        return;
    }
    if (node->wanted_version > node->version && node->fetched_at_ms <= fleet->now_ms) {
        lab_hollow_configure(fleet, node->index, node->wanted_version);
    }
    if (fleet->now_ms % TICK_MS == node->tick_offset) {
        ts_membership_tick(node->membership, now_us(fleet));
    }
}

void lab_hollow_run(lab_hollow_t *fleet, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        fleet->now_ms++;
        deliver_due(fleet);
        for (unsigned n = 0; n < fleet->config.nodes; n++) {
            tick_node(fleet, &fleet->nodes[n]);
        }
    }
}

/* ---- looking ---- */

unsigned lab_hollow_running(const lab_hollow_t *fleet)
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

unsigned lab_hollow_believers(const lab_hollow_t *fleet, unsigned node, ts_member_state_t state)
{
    unsigned believers = 0;
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        if (i == node || !fleet->nodes[i].is_running) {
            continue;
        }
        ts_view_t *view = lab_hollow_view(fleet, i);
        believers += state_in_view(view, fleet->nodes[node].name) == state;
        ts_view_unref(view);
    }
    return believers;
}

bool lab_hollow_is_converged(const lab_hollow_t *fleet)
{
    unsigned running = lab_hollow_running(fleet);
    for (unsigned i = 0; i < fleet->config.nodes; i++) {
        const hollow_node_t *node = &fleet->nodes[i];
        if (node->is_running && (ts_membership_count(node->membership, TS_MEMBER_LIVE) != running ||
                                 ts_membership_count(node->membership, TS_MEMBER_SUSPECT) != 0)) {
            return false;
        }
    }
    return true;
}

unsigned lab_hollow_configured(const lab_hollow_t *fleet, uint64_t version)
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
