/**
 * Membership: barriers, by which a node that leaves knows that the others are done with it. Each
 * member is probed until it answers. It puts its view in force before it answers, and messages
 * between two nodes keep their order, so an answer means that the member has handled all that was
 * sent to it before and asks this node for nothing more.
 */
#include "membership_internal.h"

#define BARRIER_RETRY_US (200ULL * TS_US_PER_MS)
/* Members that don't answer are not waited for any longer. */
#define BARRIER_WAIT_US (1000ULL * TS_US_PER_MS)

static void probe_member(ts_membership_t *m, const member_t *member)
{
    m->self->rumour_sends = TS_MEMBER_RUMOUR_FIRST; // the probe says that this node leaves
    ts_member_send_gossip(m, member->name, member->address, GOSSIP_PING, member->barrier, NULL);
}

static void probe_missing(ts_membership_t *m)
{
    m->next_barrier_us = m->now_us + BARRIER_RETRY_US;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier != 0 && ts_member_is_heard(member))
            probe_member(m, member);
    }
}

void ts_member_begin_barrier(ts_membership_t *m)
{
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        bool is_asked = member != m->self && ts_member_is_heard(member);
        member->barrier = is_asked ? ++m->sequence : 0;
    }
    m->barrier_until_us = m->now_us + BARRIER_WAIT_US;
    probe_missing(m);
}

void ts_member_check_barrier(ts_membership_t *m)
{
    if (m->barrier_until_us > m->now_us && m->now_us >= m->next_barrier_us)
        probe_missing(m);
}

bool ts_member_take_barrier_ack(ts_membership_t *m, uint64_t sequence)
{
    for (guint i = 0; m->barrier_until_us != 0 && i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier == sequence) {
            member->barrier = 0;
            return true;
        }
    }
    return false;
}

void ts_membership_begin_barrier(ts_membership_t *m, ts_time_us_t now_us)
{
    ts_member_notice_stall(m, now_us);
    ts_member_begin_barrier(m);
}

bool ts_membership_is_barrier_passed(const ts_membership_t *m, ts_time_us_t now_us)
{
    if (now_us >= m->barrier_until_us)
        return true;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        if (member->barrier != 0 && ts_member_is_heard(member))
            return false;
    }
    return true;
}
