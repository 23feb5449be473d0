/** Membership by gossip: the members, the beat, and the interface. */
#include "membership_internal.h"

#include "tealspar/counters.h"

#include <math.h>
#include <string.h>

#define SUSPICION_BASE_US (3200ULL * TS_US_PER_MS)
#define SUSPICION_PER_DECADE_US (600.0 * TS_US_PER_MS)
#define PUSH_FANOUT 4U
#define PUSH_DRAWS 8U
#define RUMOUR_SENDS_BASE 3.0
#define RUMOUR_SENDS_PER_DECADE 3.0
#define DEAD_RETRY_US (5ULL * TS_US_PER_S)
/* One node is asked at a time: each answers with the whole fleet, so that more would make those
 * that all starting nodes know the busiest of a large fleet. Another is asked with the next tick.
 */
#define JOIN_RETRY_US (250ULL * TS_US_PER_MS)
#define JOIN_PEERS 1U
#define SYNC_GAP_FIRST_US (1ULL * TS_US_PER_S)
/* A tick that comes this late means that the process stood still: doubt oneself first. */
#define STALL_BOUND_US (1000ULL * TS_US_PER_MS)
#define DOUBT_US (3ULL * TS_US_PER_S)

uint64_t ts_member_next_random(ts_membership_t *m)
{
    m->random ^= m->random >> 12;
    m->random ^= m->random << 25;
    m->random ^= m->random >> 27;
    return m->random * 2685821657736338717ULL;
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

unsigned ts_member_sends_for_rumour(const ts_membership_t *m)
{
    double decades = log10((double)g_hash_table_size(m->members) + 1.0);
    return (unsigned)(RUMOUR_SENDS_BASE + RUMOUR_SENDS_PER_DECADE * decades);
}

static ts_time_us_t suspicion_span(const ts_membership_t *m)
{
    double decades = log10((double)g_hash_table_size(m->members) + 1.0);
    return SUSPICION_BASE_US + (ts_time_us_t)(SUSPICION_PER_DECADE_US * decades);
}

static void spread(ts_membership_t *m, member_t *member)
{
    member->rumour_sends = ts_member_sends_for_rumour(m);
    m->push_due = true;
}

/* The one place where a member's state changes. */
void ts_member_set_state(ts_membership_t *m, member_t *member, ts_member_state_t state,
                         uint64_t incarnation)
{
    ts_member_state_t old = member->state;
    bool is_return = state == TS_MEMBER_LIVE || state == TS_MEMBER_SUSPECT;
    member->has_left = state == TS_MEMBER_LEAVING || (member->has_left && !is_return);
    member->incarnation = incarnation;
    member->state = state;
    member->since_us = m->now_us;
    member->suspicion_us = suspicion_span(m);
    member->is_reconfirmed = false;
    m->is_digest_known = false;
    spread(m, member);
    bool has_died = state == TS_MEMBER_DEAD && (old == TS_MEMBER_LIVE || old == TS_MEMBER_SUSPECT);
    ts_count(TS_COUNTER_MEMBER_DEATHS, has_died);
    if (old != state) {
        m->is_changed = true;
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
    member->since_us = m->now_us;
    g_hash_table_insert(m->members, member->name, member);
    g_ptr_array_add(m->order, member);
    if (m->order->len > 1) { /* to a random place in the round */
        guint other = (guint)(ts_member_next_random(m) % m->order->len);
        gpointer swapped = m->order->pdata[other];
        m->order->pdata[other] = member;
        m->order->pdata[m->order->len - 1] = swapped;
    }
    return member;
}

void ts_member_remove_member(ts_membership_t *m, member_t *member)
{
    g_ptr_array_remove(m->order, member);
    g_hash_table_remove(m->members, member->name);
}

/* ---- joining, healing, pushing ---- */

/*
 * Asks a few members for all they know: of this zone first, and of another with every second try,
 * as the only ones of this zone may be standing still.
 */
static void ask_to_join(ts_membership_t *m)
{
    if (m->has_joined || m->now_us < m->next_join_us) {
        return;
    }
    m->next_join_us = m->now_us + JOIN_RETRY_US;
    unsigned asked = 0;
    bool is_own_first = m->rounds % 2 == 0;
    guint begin = m->rounds / 2;
    for (int pass = 0; pass < 2; pass++) {
        bool wants_own = (pass == 0) == is_own_first;
        for (guint i = 0; i < m->order->len && asked < JOIN_PEERS; i++) {
            const member_t *member = g_ptr_array_index(m->order, (begin + i) % m->order->len);
            if (member != m->self && ts_member_is_same_zone(m, member) == wants_own) {
                ts_member_send_gossip(m, member->name, member->address, GOSSIP_SYNC_REQUEST, 0,
                                      NULL);
                asked++;
            }
        }
    }
    m->rounds++;
    if (m->has_list && m->order->len == 1) {
        m->has_joined = true; /* nobody else is known */
        m->is_changed = true;
    }
}

/* Tries a listed member that is believed dead, so that a healed partition is noticed. */
static void retry_dead(ts_membership_t *m)
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
            member->rumour_sends = MAX(member->rumour_sends, 1U); /* lets it refute its death */
            ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence,
                                  NULL);
            return;
        }
    }
}

/* Anybody, or somebody of this zone if a few draws find one: links between zones are dear. */
static const member_t *choose_push_target(ts_membership_t *m, bool may_be_far)
{
    const member_t *member = ts_member_choose_random(m, NULL);
    for (unsigned i = 0; i < PUSH_DRAWS && !may_be_far && member != NULL; i++) {
        if (ts_member_is_same_zone(m, member)) {
            break;
        }
        member = ts_member_choose_random(m, NULL);
    }
    return member;
}

static void push_rumours(ts_membership_t *m)
{
    if (!m->push_due) {
        return;
    }
    m->push_due = false;
    for (unsigned i = 0; i < PUSH_FANOUT; i++) {
        const member_t *member = choose_push_target(m, i == 0);
        if (member != NULL) {
            ts_member_send_gossip(m, member->name, member->address, GOSSIP_RUMOURS, 0, NULL);
        }
    }
}

void ts_member_notice_stall(ts_membership_t *m, ts_time_us_t now_us)
{
    if (m->now_us != 0 && now_us - m->now_us > STALL_BOUND_US) {
        m->doubt_until_us = now_us + DOUBT_US;
        m->is_doubtful = true;
        m->is_changed = true;
        m->standing++;
        ts_member_clear_probe(m);
    }
    m->now_us = now_us;
}

void ts_membership_tick(ts_membership_t *m, ts_time_us_t now_us)
{
    ts_member_notice_stall(m, now_us);
    ask_to_join(m);
    ts_member_check_probe(m);
    ts_member_start_due_probe(m);
    ts_member_check_barrier(m);
    ts_member_age_members(m);
    retry_dead(m);
    push_rumours(m);
    if (m->is_changed) {
        m->is_changed = false;
        m->ops.changed(m->context);
    }
}

/* ---- the platform's list, the configuration, leaving ---- */

void ts_membership_begin_machines(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        ((member_t *)g_ptr_array_index(m->order, i))->list_mark = false;
    }
}

void ts_membership_add_machine(ts_membership_t *m, const char *name, const char *address,
                               const char *zone)
{
    member_t *member = ts_member_find_member(m, name);
    if (member == NULL) {
        member = ts_member_add_member(m, name, address, zone);
    } else if (member->incarnation == 0) {
        ts_member_replace_text(&member->address, address); /* listed anew before it was heard of */
        ts_member_replace_text(&member->zone, zone);
    }
    member->list_mark = true;
}

void ts_membership_end_machines(ts_membership_t *m)
{
    m->has_list = true;
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        m->is_changed |= member->is_listed != member->list_mark;
        member->is_listed = member->list_mark;
    }
}

void ts_membership_set_config(ts_membership_t *m, uint64_t version, uint64_t digest)
{
    m->config_version = version;
    m->config_digest = digest;
    m->push_due = true;
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

/* A majority of the zone's nodes that are listed or heard and have not left, this one included. */
static bool has_quorum(const ts_membership_t *m)
{
    unsigned known = 0;
    unsigned heard = 0;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        bool counts = ts_member_is_heard(member) || (member->is_listed && !member->has_left);
        if (!ts_member_is_same_zone(m, member) || !counts) {
            continue;
        }
        known++;
        heard += ts_member_is_heard(member);
    }
    return heard * 2 > known && !m->is_doubtful && !ts_member_is_cut_off(m);
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
        if (ts_member_is_heard(member)) {
            g_ptr_array_add(sorted, member);
        }
    }
    g_ptr_array_sort(sorted, compare_names);
    ts_view_t *view = ts_view_create(sorted->len);
    view->has_quorum = has_quorum(m);
    view->standing = m->standing;
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
    m->random = config->seed | 1U;
    m->probes_again = config->probes_again;
    m->uses_barriers = config->uses_barriers;
    m->now_us = now_us;
    m->sync_gap_us = SYNC_GAP_FIRST_US;
    m->rounds = (unsigned)ts_member_next_random(m); /* so that not all ask the same seed first */
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
