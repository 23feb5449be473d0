/** Membership: probes, suspicion, and the ageing of states. */
#include "membership_internal.h"

#include <string.h>

#define PROBE_TIMEOUT_US (400ULL * TS_US_PER_MS)
#define INDIRECT_PROBES 3U
/* The last four probes within the zone count; two failures among them are doubt enough. */
#define PROBE_HISTORY_MASK 0xFU
#define PROBE_FAILURES_CUT_OFF 2
/* A connection that ended is evidence enough to shorten the suspicion. */
#define SUSPICION_LOST_US (1500ULL * TS_US_PER_MS)
#define RECONFIRMING_NODES 20U
/* Every so many probes, one goes to another zone. */
#define OTHER_ZONE_EVERY 4U
#define DEAD_KEEP_US (120ULL * TS_US_PER_S)
#define LEAVING_KEEP_US (15ULL * TS_US_PER_S)

bool ts_member_is_heard(const member_t *member)
{
    return member->state != TS_MEMBER_DEAD;
}

/*
 * Whether most of the latest probes within the zone failed. Views change only as suspicions end,
 * one by one; this says within seconds, in a zone of any size, that a node no longer hears its
 * zone.
 */
bool ts_member_is_cut_off(const ts_membership_t *m)
{
    return __builtin_popcount(m->probe_history) >= PROBE_FAILURES_CUT_OFF;
}

bool ts_member_is_same_zone(const ts_membership_t *m, const member_t *member)
{
    return strcmp(member->zone, m->self->zone) == 0;
}

/* A random member that is not this node, not dead, and not `other`; or NULL. */
member_t *ts_member_choose_random(ts_membership_t *m, const member_t *other)
{
    guint begin = (guint)(ts_member_next_random(m) % m->order->len);
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, (begin + i) % m->order->len);
        if (member != m->self && member != other && ts_member_is_heard(member)) {
            return member;
        }
    }
    return NULL;
}

/* The next member of the round: this zone's, and now and then one of another zone. */
static member_t *choose_probe_target(ts_membership_t *m)
{
    bool wants_other_zone = m->rounds++ % OTHER_ZONE_EVERY == OTHER_ZONE_EVERY - 1;
    member_t *fallback = NULL;
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, m->order_next++ % m->order->len);
        if (member == m->self || !ts_member_is_heard(member)) {
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
    if (m->probes_again)
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

/* Remembers how a probe within the zone ended: many failures mean that this node is cut off. */
void ts_member_note_probe(ts_membership_t *m, const member_t *target, bool has_failed)
{
    if (!ts_member_is_same_zone(m, target)) {
        return;
    }
    bool was_cut_off = ts_member_is_cut_off(m);
    m->probe_history = (m->probe_history << 1 | has_failed) & PROBE_HISTORY_MASK;
    m->is_changed |= was_cut_off != ts_member_is_cut_off(m);
}

static void suspect(ts_membership_t *m, member_t *member)
{
    if (member->state == TS_MEMBER_LIVE && m->now_us >= m->doubt_until_us) {
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
        ts_member_note_probe(m, target, true);
        suspect(m, target);
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

void ts_membership_peer_lost(ts_membership_t *m, const char *name, ts_time_us_t now_us)
{
    member_t *member = ts_member_find_member(m, name);
    m->now_us = now_us;
    if (member == NULL || member == m->self || !ts_member_is_heard(member)) {
        return;
    }
    if (member->state == TS_MEMBER_LEAVING) {
        ts_member_set_state(m, member, TS_MEMBER_DEAD, member->incarnation);
        return;
    }
    suspect(m, member);
    member->suspicion_us = SUSPICION_LOST_US;
    /* Its refutation, if it lives, comes with the answer. */
    ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence, NULL);
}

/* ---- ageing of states ---- */

static bool is_suspicion_over(const ts_membership_t *m, const member_t *member)
{
    return member->state == TS_MEMBER_SUSPECT && m->now_us >= m->doubt_until_us &&
           m->now_us - member->since_us >= member->suspicion_us;
}

/*
 * Some time before a suspicion ends, a few of the nodes that hold it probe the suspect once more
 * and tell it of the suspicion, so that a lost refutation does not become a death.
 */
static void reconfirm(ts_membership_t *m, member_t *member)
{
    bool is_due = member->state == TS_MEMBER_SUSPECT && !member->is_reconfirmed &&
                  m->now_us - member->since_us >= member->suspicion_us / 2;
    if (!is_due) {
        return;
    }
    member->is_reconfirmed = true;
    if (ts_member_next_random(m) % m->order->len < RECONFIRMING_NODES) {
        member->rumour_sends = TS_MEMBER_RUMOUR_FIRST;
        ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, ++m->sequence, NULL);
    }
}

static bool is_leaving_over(const ts_membership_t *m, const member_t *member)
{
    return member != m->self && member->state == TS_MEMBER_LEAVING &&
           m->now_us - member->since_us >= LEAVING_KEEP_US;
}

static bool is_forgettable(const ts_membership_t *m, const member_t *member)
{
    return member->state == TS_MEMBER_DEAD && !member->is_listed &&
           m->now_us - member->since_us >= DEAD_KEEP_US;
}

void ts_member_age_members(ts_membership_t *m)
{
    for (guint i = m->order->len; i > 0; i--) {
        member_t *member = g_ptr_array_index(m->order, i - 1);
        reconfirm(m, member);
        if (is_suspicion_over(m, member) || is_leaving_over(m, member)) {
            ts_member_set_state(m, member, TS_MEMBER_DEAD, member->incarnation);
        } else if (is_forgettable(m, member)) {
            ts_member_remove_member(m, member);
        }
    }
}
