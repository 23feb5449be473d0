/** Gossip membership: the member table, the periodic tick and the public functions. */
#include "membership_internal.h"

#include "tealspar/counters.h"

#include <math.h>
#include <string.h>

/* The suspicion timeout is the base plus this much per factor of ten in the number of members. */
#define SUSPICION_BASE_US (3200ULL * TS_US_PER_MS)
#define SUSPICION_PER_DECADE_US (600.0 * TS_US_PER_MS)
/* Number of members to which new rumours are pushed. */
#define PUSH_FANOUT 4U
#define PUSH_TARGET_ATTEMPTS 8U
/* Messages that carry a rumour: the base plus this many per factor of ten in members. */
#define RUMOUR_SENDS_BASE 3.0
#define RUMOUR_SENDS_PER_DECADE 3.0
/* Mean interval between probes of dead members, see probe_dead_member. */
#define DEAD_RETRY_US (5ULL * TS_US_PER_S)
/*
 * A joining node asks one node at a time: each answers with the full member list, and asking
 * several would make the seeds, which all starting nodes know, the busiest nodes of a large fleet.
 * The next retry asks another node.
 */
#define JOIN_RETRY_US (250ULL * TS_US_PER_MS)
#define JOIN_FANOUT 1U
#define SYNC_INTERVAL_MIN_US (1ULL * TS_US_PER_S)
/*
 * If the clock advances by more than this between calls, this process was stalled. Other members
 * are not suspected for a while then, since their answers may just not have been read.
 */
#define STALL_THRESHOLD_US (1000ULL * TS_US_PER_MS)
#define SUSPICION_PAUSE_US (3ULL * TS_US_PER_S)

uint64_t ts_member_next_random(ts_membership_t *m)
{
    m->random_state ^= m->random_state >> 12;
    m->random_state ^= m->random_state << 25;
    m->random_state ^= m->random_state >> 27;
    return m->random_state * 2685821657736338717ULL;
}

static void free_member(gpointer pointer)
{
    member_t *member = pointer;
    g_free(member->name);
    g_free(member->address);
    g_free(member->zone);
    g_free(member);
}

static void free_relay(gpointer pointer)
{
    relay_t *relay = pointer;
    g_free(relay->requester);
    g_free(relay->requester_address);
    g_free(relay);
}

member_t *ts_member_find_member(const ts_membership_t *m, const char *name)
{
    return g_hash_table_lookup(m->members, name);
}

unsigned ts_member_rumour_limit(const ts_membership_t *m)
{
    double decades = log10((double)g_hash_table_size(m->members) + 1.0);
    return (unsigned)(RUMOUR_SENDS_BASE + RUMOUR_SENDS_PER_DECADE * decades);
}

static ts_time_us_t suspicion_timeout(const ts_membership_t *m)
{
    double decades = log10((double)g_hash_table_size(m->members) + 1.0);
    return SUSPICION_BASE_US + (ts_time_us_t)(SUSPICION_PER_DECADE_US * decades);
}

static void queue_rumour(ts_membership_t *m, member_t *member)
{
    member->rumour_sends_left = ts_member_rumour_limit(m);
    m->is_rumour_push_due = true;
}

void ts_member_set_state(ts_membership_t *m, member_t *member, ts_member_state_t state,
                         uint64_t incarnation)
{
    ts_member_state_t old = member->state;
    bool is_running = state == TS_MEMBER_LIVE || state == TS_MEMBER_SUSPECT;
    member->has_left = state == TS_MEMBER_LEAVING || (member->has_left && !is_running);
    member->incarnation = incarnation;
    member->state = state;
    member->state_since_us = m->now_us;
    member->suspicion_timeout_us = suspicion_timeout(m);
    member->is_final_probe_done = false;
    m->is_digest_valid = false;
    queue_rumour(m, member);
    bool has_died = state == TS_MEMBER_DEAD && (old == TS_MEMBER_LIVE || old == TS_MEMBER_SUSPECT);
    ts_count(TS_COUNTER_MEMBER_DEATHS, has_died);
    if (old != state) {
        m->is_view_changed = true;
        m->ops.member_changed(m->context, member->name, old, state);
    }
}

member_t *ts_member_add_member(ts_membership_t *m, const char *name, const char *address,
                               const char *zone)
{
    member_t *member = g_new0(member_t, 1);
    member->name = g_strdup(name);
    member->address = g_strdup(address);
    member->zone = g_strdup(zone);
    member->state = TS_MEMBER_DEAD;
    member->state_since_us = m->now_us;
    g_hash_table_insert(m->members, member->name, member);
    g_ptr_array_add(m->order, member);
    if (m->order->len > 1) { /* insert at a random position */
        guint position = (guint)(ts_member_next_random(m) % m->order->len);
        gpointer displaced = m->order->pdata[position];
        m->order->pdata[position] = member;
        m->order->pdata[m->order->len - 1] = displaced;
    }
    return member;
}

void ts_member_remove_member(ts_membership_t *m, member_t *member)
{
    g_ptr_array_remove(m->order, member);
    g_hash_table_remove(m->members, member->name);
}

/* ---- joining, healing partitions, pushing rumours ---- */

/*
 * Requests the full member list. Every second attempt prefers a member of another zone, as all
 * other nodes of this zone may be stalled.
 */
static void request_join(ts_membership_t *m)
{
    if (m->has_joined || m->now_us < m->next_join_us) {
        return;
    }
    m->next_join_us = m->now_us + JOIN_RETRY_US;
    unsigned requests_sent = 0;
    bool is_own_zone_first = m->attempts % 2 == 0;
    guint begin = m->attempts / 2;
    for (int pass = 0; pass < 2; pass++) {
        bool wants_own_zone = (pass == 0) == is_own_zone_first;
        for (guint i = 0; i < m->order->len && requests_sent < JOIN_FANOUT; i++) {
            const member_t *member = g_ptr_array_index(m->order, (begin + i) % m->order->len);
            if (member != m->self && ts_member_is_same_zone(m, member) == wants_own_zone) {
                ts_member_send_gossip(m, member->name, member->address, GOSSIP_SYNC_REQUEST, 0,
                                      NULL);
                requests_sent++;
            }
        }
    }
    m->attempts++;
    if (m->has_machine_list && m->order->len == 1) {
        m->has_joined = true; /* no other member is known */
        m->is_view_changed = true;
    }
}

/* Probes a listed member that is considered dead, to detect that a partition has healed. */
static void probe_dead_member(ts_membership_t *m)
{
    if (m->now_us < m->next_dead_retry_us) {
        return;
    }
    m->next_dead_retry_us =
        m->now_us + DEAD_RETRY_US / 2 + ts_member_next_random(m) % DEAD_RETRY_US;
    guint begin = (guint)(ts_member_next_random(m) % m->order->len);
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, (begin + i) % m->order->len);
        if (member->state == TS_MEMBER_DEAD && member->is_listed) {
            /* The probe carries the rumour, so that the member can refute it. */
            member->rumour_sends_left = MAX(member->rumour_sends_left, 1U);
            ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence,
                                  NULL);
            return;
        }
    }
}

/*
 * Picks a random member. Unless `may_cross_zones` is set, retries a few times to get one of this
 * zone, because traffic between zones is expensive.
 */
static const member_t *choose_push_target(ts_membership_t *m, bool may_cross_zones)
{
    const member_t *member = ts_member_choose_random(m, NULL);
    for (unsigned i = 0; i < PUSH_TARGET_ATTEMPTS && !may_cross_zones && member != NULL; i++) {
        if (ts_member_is_same_zone(m, member)) {
            break;
        }
        member = ts_member_choose_random(m, NULL);
    }
    return member;
}

static void push_rumours(ts_membership_t *m)
{
    if (!m->is_rumour_push_due) {
        return;
    }
    m->is_rumour_push_due = false;
    for (unsigned i = 0; i < PUSH_FANOUT; i++) {
        const member_t *member = choose_push_target(m, i == 0);
        if (member != NULL) {
            ts_member_send_gossip(m, member->name, member->address, GOSSIP_RUMOURS, 0, NULL);
        }
    }
}

void ts_member_advance_clock(ts_membership_t *m, ts_time_us_t now_us)
{
    if (m->now_us != 0 && now_us - m->now_us > STALL_THRESHOLD_US) {
        m->suspicion_paused_until_us = now_us + SUSPICION_PAUSE_US;
        m->is_unacked_since_stall = true;
        m->is_view_changed = true;
        m->ownership_epoch++;
        ts_member_clear_probe(m);
    }
    m->now_us = now_us;
}

void ts_membership_tick(ts_membership_t *m, ts_time_us_t now_us)
{
    ts_member_advance_clock(m, now_us);
    request_join(m);
    ts_member_check_probe(m);
    ts_member_start_due_probe(m);
    ts_member_check_barrier(m);
    ts_member_expire_members(m);
    probe_dead_member(m);
    push_rumours(m);
    if (m->is_view_changed) {
        m->is_view_changed = false;
        m->ops.view_changed(m->context);
    }
}

/* ---- machine list, configuration, leaving ---- */

void ts_membership_begin_machines(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        ((member_t *)g_ptr_array_index(m->order, i))->is_in_new_list = false;
    }
}

void ts_membership_add_machine(ts_membership_t *m, const char *name, const char *address,
                               const char *zone)
{
    member_t *member = ts_member_find_member(m, name);
    if (member == NULL) {
        member = ts_member_add_member(m, name, address, zone);
    } else if (member->incarnation == 0) {
        /* Only known from the list so far, which may have changed. */
        ts_member_replace_string(&member->address, address);
        ts_member_replace_string(&member->zone, zone);
    }
    member->is_in_new_list = true;
}

void ts_membership_end_machines(ts_membership_t *m)
{
    m->has_machine_list = true;
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        m->is_view_changed |= member->is_listed != member->is_in_new_list;
        member->is_listed = member->is_in_new_list;
    }
}

void ts_membership_set_config(ts_membership_t *m, uint64_t version, uint64_t digest)
{
    m->config_version = version;
    m->config_digest = digest;
    m->is_rumour_push_due = true;
}

void ts_membership_leave(ts_membership_t *m, ts_time_us_t now_us)
{
    m->now_us = now_us;
    m->is_leaving = true;
    ts_member_set_state(m, m->self, TS_MEMBER_LEAVING, m->self->incarnation + 1);
    push_rumours(m);
    if (m->uses_barriers)
        ts_member_begin_barrier(m);
}

bool ts_membership_has_joined(const ts_membership_t *m)
{
    return m->has_joined;
}

/*
 * Whether this node can reach a majority of its zone: more than half of the zone's nodes, this one
 * included, are active; an acknowledgement was received since the last stall; and this node is not
 * isolated. The zone's nodes are the active ones and the listed ones that have not left.
 */
static bool has_quorum(const ts_membership_t *m)
{
    unsigned zone_nodes = 0;
    unsigned active = 0;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        bool is_counted = ts_member_is_active(member) || (member->is_listed && !member->has_left);
        if (!ts_member_is_same_zone(m, member) || !is_counted) {
            continue;
        }
        zone_nodes++;
        active += ts_member_is_active(member);
    }
    return active * 2 > zone_nodes && !m->is_unacked_since_stall && !ts_member_is_isolated(m);
}

static int compare_names(const void *left, const void *right)
{
    const member_t *const *left_member = left;
    const member_t *const *right_member = right;
    return strcmp((*left_member)->name, (*right_member)->name);
}

ts_view_t *ts_membership_view(const ts_membership_t *m)
{
    GPtrArray *sorted = g_ptr_array_sized_new(m->order->len);
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (ts_member_is_active(member)) {
            g_ptr_array_add(sorted, member);
        }
    }
    g_ptr_array_sort(sorted, compare_names);
    ts_view_t *view = ts_view_create(sorted->len);
    view->has_quorum = has_quorum(m);
    view->ownership_epoch = m->ownership_epoch;
    for (guint i = 0; i < sorted->len; i++) {
        const member_t *member = g_ptr_array_index(sorted, i);
        ts_view_add(view, member->name, member->address, member->zone, member->incarnation,
                    member->state, member == m->self);
    }
    g_ptr_array_free(sorted, TRUE);
    return view;
}

size_t ts_membership_count(const ts_membership_t *m, ts_member_state_t state)
{
    size_t count = 0;
    for (guint i = 0; i < m->order->len; i++) {
        count += ((member_t *)g_ptr_array_index(m->order, i))->state == state;
    }
    return count;
}

ts_membership_t *ts_membership_create(const ts_membership_config_t *config,
                                      const ts_membership_ops_t *ops, void *context,
                                      ts_time_us_t now_us)
{
    ts_membership_t *m = g_new0(ts_membership_t, 1);
    m->ops = *ops;
    m->context = context;
    m->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_member);
    m->order = g_ptr_array_new();
    m->relays = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_relay);
    m->random_state = config->seed | 1U;
    m->retries_probe = config->retries_probe;
    m->uses_barriers = config->uses_barriers;
    m->now_us = now_us;
    m->sync_interval_us = SYNC_INTERVAL_MIN_US;
    /* A random start, so that nodes send their first join requests to different seeds. */
    m->attempts = (unsigned)ts_member_next_random(m);
    m->next_probe_us = now_us + ts_member_next_random(m) % TS_MEMBERSHIP_PERIOD_US;
    m->next_dead_retry_us = now_us + ts_member_next_random(m) % DEAD_RETRY_US;
    m->self = ts_member_add_member(m, config->name, config->address, config->zone);
    ts_member_set_state(m, m->self, TS_MEMBER_LIVE, config->incarnation);
    return m;
}

void ts_membership_destroy(ts_membership_t *m)
{
    ts_member_clear_probe(m);
    g_hash_table_destroy(m->relays);
    g_ptr_array_free(m->order, TRUE);
    g_hash_table_destroy(m->members);
    g_free(m);
}
