/** Membership: probes, suspicion, and expiry of states. */
#include "membership_internal.h"

#include <string.h>

#define PROBE_TIMEOUT_US (400ULL * TS_US_PER_MS)
#define INDIRECT_PROBES 3U
/* A node is isolated if two of its last four probes within the zone failed. */
#define PROBE_HISTORY_MASK 0xFU
#define PROBE_FAILURES_ISOLATED 2
/* Suspicion timeout after a connection ended: that is evidence enough for a shorter one. */
#define SUSPICION_AFTER_DISCONNECT_US (1500ULL * TS_US_PER_MS)
/* Mean number of nodes that send a suspect a final probe. */
#define FINAL_PROBE_NODES 20U
/* One probe in this many goes to another zone. */
#define CROSS_ZONE_PROBE_EVERY 4U
#define DEAD_RETENTION_US (120ULL * TS_US_PER_S)
#define LEAVING_TIMEOUT_US (15ULL * TS_US_PER_S)

bool ts_member_is_active(const member_t *member)
{
    return member->state != TS_MEMBER_DEAD;
}

/*
 * Detects within seconds, in a zone of any size, that this node no longer reaches its zone. The
 * view shows that more slowly, because suspicions expire one by one.
 */
bool ts_member_is_isolated(const ts_membership_t *m)
{
    return __builtin_popcount(m->probe_history) >= PROBE_FAILURES_ISOLATED;
}

bool ts_member_is_same_zone(const ts_membership_t *m, const member_t *member)
{
    return strcmp(member->zone, m->self->zone) == 0;
}

member_t *ts_member_choose_random(ts_membership_t *m, const member_t *excluded)
{
    guint begin = (guint)(ts_member_next_random(m) % m->order->len);
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, (begin + i) % m->order->len);
        if (member != m->self && member != excluded && ts_member_is_active(member)) {
            return member;
        }
    }
    return NULL;
}

/*
 * Picks the next active member in order: every fourth time one of another zone, otherwise one of
 * this zone. If there is none of the wanted kind, picks any other active member.
 */
static member_t *choose_probe_target(ts_membership_t *m)
{
    bool wants_other_zone = m->attempts++ % CROSS_ZONE_PROBE_EVERY == CROSS_ZONE_PROBE_EVERY - 1;
    member_t *fallback = NULL;
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, m->order_next++ % m->order->len);
        if (member == m->self || !ts_member_is_active(member)) {
            continue;
        }
        if (ts_member_is_same_zone(m, member) != wants_other_zone) {
            return member;
        }
        fallback = member;
    }
    return fallback;
}

/* ---- probing ---- */

void ts_member_clear_probe(ts_membership_t *m)
{
    g_clear_pointer(&m->probe.target, g_free);
}

static void start_probe(ts_membership_t *m, const member_t *target)
{
    ts_member_clear_probe(m);
    m->probe.target = g_strdup(target->name);
    m->probe.sequence = ++m->sequence;
    m->probe.sent_us = m->now_us;
    m->probe.is_indirect_sent = false;
    ts_member_send_gossip(m, target->name, target->address, GOSSIP_PING, m->probe.sequence, NULL);
}

static void send_indirect_probes(ts_membership_t *m, const member_t *target)
{
    m->probe.is_indirect_sent = true;
    if (m->retries_probe)
        ts_member_send_gossip(m, target->name, target->address, GOSSIP_PING, m->probe.sequence,
                              NULL);
    for (unsigned i = 0; i < INDIRECT_PROBES; i++) {
        const member_t *helper = ts_member_choose_random(m, target);
        if (helper != NULL) {
            ts_member_send_gossip(m, helper->name, helper->address, GOSSIP_PING_REQUEST,
                                  m->probe.sequence, target->name);
        }
    }
}

void ts_member_record_probe(ts_membership_t *m, const member_t *target, bool has_failed)
{
    if (!ts_member_is_same_zone(m, target)) {
        return;
    }
    bool was_isolated = ts_member_is_isolated(m);
    m->probe_history = (m->probe_history << 1 | has_failed) & PROBE_HISTORY_MASK;
    m->is_view_changed |= was_isolated != ts_member_is_isolated(m);
}

static void mark_suspect(ts_membership_t *m, member_t *member)
{
    if (member->state == TS_MEMBER_LIVE && m->now_us >= m->suspicion_paused_until_us) {
        ts_member_set_state(m, member, TS_MEMBER_SUSPECT, member->incarnation);
    }
}

void ts_member_check_probe(ts_membership_t *m)
{
    if (m->probe.target == NULL) {
        return;
    }
    member_t *target = ts_member_find_member(m, m->probe.target);
    ts_time_us_t waited_us = m->now_us - m->probe.sent_us;
    if (target == NULL) {
        ts_member_clear_probe(m);
    } else if (!m->probe.is_indirect_sent && waited_us >= PROBE_TIMEOUT_US) {
        send_indirect_probes(m, target);
    } else if (waited_us >= 2 * PROBE_TIMEOUT_US) {
        ts_member_record_probe(m, target, true);
        mark_suspect(m, target);
        ts_member_clear_probe(m);
    }
}

void ts_member_start_due_probe(ts_membership_t *m)
{
    if (m->now_us < m->next_probe_us || m->probe.target != NULL) {
        return;
    }
    m->next_probe_us = m->now_us + TS_MEMBERSHIP_PERIOD_US * 9 / 10 +
                       ts_member_next_random(m) % (TS_MEMBERSHIP_PERIOD_US / 5);
    const member_t *target = choose_probe_target(m);
    if (target != NULL) {
        start_probe(m, target);
    }
}

void ts_membership_handle_peer_lost(ts_membership_t *m, const char *name, ts_time_us_t now_us)
{
    member_t *member = ts_member_find_member(m, name);
    ts_member_advance_clock(m, now_us);
    if (member == NULL || member == m->self || !ts_member_is_active(member)) {
        return;
    }
    if (member->state == TS_MEMBER_LEAVING) {
        ts_member_set_state(m, member, TS_MEMBER_DEAD, member->incarnation);
        return;
    }
    mark_suspect(m, member);
    member->suspicion_timeout_us = SUSPICION_AFTER_DISCONNECT_US;
    /* If the member is alive, it refutes the suspicion with its acknowledgement. */
    ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence, NULL);
}

/* ---- expiry of states ---- */

static bool has_suspicion_expired(const ts_membership_t *m, const member_t *member)
{
    return member->state == TS_MEMBER_SUSPECT && m->now_us >= m->suspicion_paused_until_us &&
           m->now_us - member->state_since_us >= member->suspicion_timeout_us;
}

/*
 * Halfway through the suspicion timeout a random few nodes probe the suspect once more with the
 * suspicion attached, so that a lost refutation does not lead to a false death.
 */
static void send_final_probe(ts_membership_t *m, member_t *member)
{
    bool is_due = member->state == TS_MEMBER_SUSPECT && !member->is_final_probe_done &&
                  m->now_us - member->state_since_us >= member->suspicion_timeout_us / 2;
    if (!is_due) {
        return;
    }
    member->is_final_probe_done = true;
    if (ts_member_next_random(m) % m->order->len < FINAL_PROBE_NODES) {
        member->rumour_sends_left = TS_MEMBER_RUMOUR_URGENT;
        ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence, NULL);
    }
}

static bool has_leaving_expired(const ts_membership_t *m, const member_t *member)
{
    return member != m->self && member->state == TS_MEMBER_LEAVING &&
           m->now_us - member->state_since_us >= LEAVING_TIMEOUT_US;
}

static bool is_removable(const ts_membership_t *m, const member_t *member)
{
    return member->state == TS_MEMBER_DEAD && !member->is_listed &&
           m->now_us - member->state_since_us >= DEAD_RETENTION_US;
}

void ts_member_expire_members(ts_membership_t *m)
{
    for (guint i = m->order->len; i > 0; i--) {
        member_t *member = g_ptr_array_index(m->order, i - 1);
        send_final_probe(m, member);
        if (has_suspicion_expired(m, member) || has_leaving_expired(m, member)) {
            ts_member_set_state(m, member, TS_MEMBER_DEAD, member->incarnation);
        } else if (is_removable(m, member)) {
            ts_member_remove_member(m, member);
        }
    }
}
