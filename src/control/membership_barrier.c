/**
 * Membership barriers: a leaving node uses them to wait until the other members no longer depend on
 * it. Each member is probed until it acknowledges. A member publishes its view before it
 * acknowledges, and messages between two nodes stay in order, so an acknowledgement means that the
 * member has handled all earlier messages and sends this node no more requests.
 */
#include "membership_internal.h"

#define BARRIER_RETRY_INTERVAL_US (200ULL * TS_US_PER_MS)
/* The barrier counts as passed after this time, even if members have not acknowledged. */
#define BARRIER_TIMEOUT_US (1000ULL * TS_US_PER_MS)

static void probe_member(ts_membership_t *m, const member_t *member)
{
    m->self->rumour_sends_left = TS_MEMBER_RUMOUR_URGENT; // announces that this node is leaving
    ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, member->barrier_sequence,
                          NULL);
}

static void probe_unacked_members(ts_membership_t *m)
{
    m->next_barrier_retry_us = m->now_us + BARRIER_RETRY_INTERVAL_US;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier_sequence != 0 && ts_member_is_active(member))
            probe_member(m, member);
    }
}

void ts_member_begin_barrier(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        bool is_asked = member != m->self && ts_member_is_active(member);
        member->barrier_sequence = is_asked ? ++m->sequence : 0;
    }
    m->barrier_until_us = m->now_us + BARRIER_TIMEOUT_US;
    probe_unacked_members(m);
}

void ts_member_check_barrier(ts_membership_t *m)
{
    if (m->barrier_until_us > m->now_us && m->now_us >= m->next_barrier_retry_us)
        probe_unacked_members(m);
}

bool ts_member_handle_barrier_ack(ts_membership_t *m, uint64_t sequence)
{
    for (guint i = 0; m->barrier_until_us != 0 && i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier_sequence == sequence) {
            member->barrier_sequence = 0;
            return true;
        }
    }
    return false;
}

void ts_membership_begin_barrier(ts_membership_t *m, ts_time_us_t now_us)
{
    ts_member_advance_clock(m, now_us);
    ts_member_begin_barrier(m);
}

bool ts_membership_is_barrier_passed(const ts_membership_t *m, ts_time_us_t now_us)
{
    if (now_us >= m->barrier_until_us)
        return true;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier_sequence != 0 && ts_member_is_active(member))
            return false;
    }
    return true;
}
