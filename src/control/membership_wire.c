/** Membership: packing and sending messages, and choosing the rumours they carry. */
#include "membership_internal.h"

#include <string.h>

#include "tealspar/hash.h"

#define RUMOURS_PER_MESSAGE 8U
#define SYNC_MEMBERS_PER_MESSAGE 200U

static TsWire__Member pack_member(const member_t *member)
{
    TsWire__Member wire = TS_WIRE__MEMBER__INIT;
    wire.name = member->name;
    wire.address = member->address;
    wire.zone = member->zone;
    wire.incarnation = member->incarnation;
    wire.state = member->state;
    return wire;
}

/* Chooses the rumours with the most sends left; returns how many were written to `rows`. */
static size_t choose_rumours(ts_membership_t *m, TsWire__Member *rows)
{
    member_t *chosen[RUMOURS_PER_MESSAGE];
    size_t count = 0;
    for (guint i = 0; i < m->order->len; i++) {
        member_t *member = g_ptr_array_index(m->order, i);
        if (member->rumour_sends_left == 0) {
            continue;
        }
        size_t index = count;
        while (index > 0 && chosen[index - 1]->rumour_sends_left < member->rumour_sends_left) {
            index--;
        }
        if (index >= RUMOURS_PER_MESSAGE) {
            continue;
        }
        size_t last = MIN(count, RUMOURS_PER_MESSAGE - 1);
        memmove(&chosen[index + 1], &chosen[index], (last - index) * sizeof(member_t *));
        chosen[index] = member;
        count = last + 1;
    }
    for (size_t i = 0; i < count; i++) {
        chosen[i]->rumour_sends_left =
            MIN(chosen[i]->rumour_sends_left, ts_member_rumour_limit(m)) - 1;
        rows[i] = pack_member(chosen[i]);
    }
    return count;
}

uint64_t ts_member_digest_view(ts_membership_t *m)
{
    if (m->is_digest_valid) {
        return m->digest;
    }
    uint64_t digest = 0;
    for (guint i = 0; i < m->order->len; i++) {
        const member_t *member = g_ptr_array_index(m->order, i);
        if (member->state != TS_MEMBER_DEAD) { /* a sum does not depend on the order */
            digest += ts_hash_mix(ts_hash_text(member->name), member->incarnation);
        }
    }
    m->digest = digest;
    m->is_digest_valid = true;
    return digest;
}

static void send_packed(ts_membership_t *m, const char *name, const char *address,
                        TsWire__Gossip *gossip)
{
    gossip->config_version = m->config_version;
    gossip->config_digest = m->config_digest;
    size_t length = ts_wire__gossip__get_packed_size(gossip);
    uint8_t *bytes = g_malloc(length);
    ts_wire__gossip__pack(gossip, bytes);
    m->ops.send(m->context, name, address, bytes, length);
    g_free(bytes);
}

void ts_member_send_gossip(ts_membership_t *m, const char *name, const char *address,
                           gossip_type_t type, uint64_t sequence, const char *target)
{
    TsWire__Gossip gossip = TS_WIRE__GOSSIP__INIT;
    TsWire__Member rows[RUMOURS_PER_MESSAGE];
    TsWire__Member *pointers[RUMOURS_PER_MESSAGE];
    gossip.type = type;
    gossip.sequence = sequence;
    if (target != NULL) {
        gossip.target = (char *)target;
    }
    gossip.n_members = choose_rumours(m, rows);
    for (size_t i = 0; i < gossip.n_members; i++) {
        pointers[i] = &rows[i];
    }
    gossip.members = pointers;
    if (type == GOSSIP_PING || type == GOSSIP_ACK) {
        gossip.view_digest = ts_member_digest_view(m);
    }
    send_packed(m, name, address, &gossip);
}

void ts_member_send_sync(ts_membership_t *m, const char *name, const char *address)
{
    for (guint begin = 0; begin < m->order->len; begin += SYNC_MEMBERS_PER_MESSAGE) {
        guint count = MIN(SYNC_MEMBERS_PER_MESSAGE, m->order->len - begin);
        TsWire__Gossip gossip = TS_WIRE__GOSSIP__INIT;
        TsWire__Member *rows = g_new(TsWire__Member, count);
        TsWire__Member **pointers = g_new(TsWire__Member *, count);
        for (guint i = 0; i < count; i++) {
            const member_t *member = g_ptr_array_index(m->order, begin + i);
            if (member->incarnation == 0) {
                continue; /* listed by the platform only */
            }
            rows[gossip.n_members] = pack_member(member);
            pointers[gossip.n_members] = &rows[gossip.n_members];
            gossip.n_members++;
        }
        gossip.type = GOSSIP_SYNC;
        gossip.members = pointers;
        send_packed(m, name, address, &gossip);
        g_free(pointers);
        g_free(rows);
    }
}
